// Room that was made for a job by stopping others' tasks: whose it is, until when, and what may pass.
#include "queue/preemption_reservations.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace bankhill::queue {
namespace {

using wire::Priority;
using wire::Resources;

const wire::JobId kJob{"waiting"};
const wire::JobId kOther{"other"};
const wire::MachineId kMachine{"machine"};
const wire::MachineId kElsewhere{"elsewhere"};
const Resources kRequest{4, 1, 8};
const Resources kSmall{1, 0, 1};

// Room for one task of normal priority, made at 10 and reserved until 20.
PreemptionReservations made_room() {
  PreemptionReservations room;
  room.reserve(kJob, kMachine, Priority::normal, kRequest, 10, 20);
  return room;
}

TEST(MadeRoomTest, IsOnItsWayUntilItsTimeIsOver) {
  const auto room = made_room();
  EXPECT_TRUE(room.is_reserved(kMachine, 10));
  EXPECT_TRUE(room.is_pending(kJob, 20));
  EXPECT_FALSE(room.is_pending(kJob, 20.1));
  EXPECT_FALSE(room.is_reserved(kMachine, 20.1));
  EXPECT_FALSE(room.is_reserved(kElsewhere, 10));
  EXPECT_FALSE(room.is_pending(kOther, 10));
}

TEST(MadeRoomTest, IsItsJobsOwnAndOfHigherPriorities) {
  const auto room = made_room();
  EXPECT_TRUE(room.allows(kMachine, kJob, Priority::best_effort, kRequest, kRequest, 12));
  EXPECT_FALSE(room.allows(kMachine, kOther, Priority::best_effort, kSmall, kRequest, 12));
  EXPECT_FALSE(room.allows(kMachine, kOther, Priority::normal, kSmall, kRequest, 12));
  EXPECT_TRUE(room.allows(kMachine, kOther, Priority::high, kSmall, kRequest, 12));
  // It is anybody's elsewhere, and once its time is over.
  EXPECT_TRUE(room.allows(kElsewhere, kOther, Priority::best_effort, kSmall, kRequest, 12));
  EXPECT_TRUE(room.allows(kMachine, kOther, Priority::best_effort, kSmall, kRequest, 20.1));
}

TEST(MadeRoomTest, OthersMayUseWhatIsFreeBesideIt) {
  const auto room = made_room();
  EXPECT_TRUE(room.allows(kMachine, kOther, Priority::normal, kSmall, {5, 1, 9}, 12));
  EXPECT_FALSE(room.allows(kMachine, kOther, Priority::normal, kSmall, {4.9, 1, 9}, 12));
  EXPECT_FALSE(room.allows(kMachine, kOther, Priority::normal, kSmall, {5, 1, 8.9}, 12));
  EXPECT_FALSE(room.allows(kMachine, kOther, Priority::normal, {1, 1, 1}, {5, 1, 9}, 12));
}

TEST(MadeRoomTest, ItsJobsOnlyTaskWaitsForItAndStartsNowhereElse) {
  const auto room = made_room();
  EXPECT_TRUE(room.is_pending_elsewhere(kJob, kElsewhere, 12));
  EXPECT_FALSE(room.is_pending_elsewhere(kJob, kMachine, 12));
  EXPECT_FALSE(room.is_pending_elsewhere(kOther, kElsewhere, 12));
  EXPECT_FALSE(room.is_pending_elsewhere(kJob, kElsewhere, 20.1));
}

TEST(MadeRoomTest, IsUsedByTheTaskThatIsPlacedThere) {
  auto room = made_room();
  room.task_placed(kOther, kMachine, false);
  EXPECT_TRUE(room.is_pending(kJob, 12));
  // Of several tasks one may start elsewhere: another still waits for the room.
  room.task_placed(kJob, kElsewhere, true);
  EXPECT_TRUE(room.is_pending(kJob, 12));
  room.task_placed(kJob, kMachine, true);
  EXPECT_FALSE(room.is_pending(kJob, 12));
  EXPECT_FALSE(room.is_reserved(kMachine, 12));
  // The last one needs no room any more, wherever it starts.
  room = made_room();
  room.task_placed(kJob, kElsewhere, false);
  EXPECT_FALSE(room.is_reserved(kMachine, 12));
}

TEST(MadeRoomTest, AJobHasOneMachineAndAMachineOneJob) {
  auto room = made_room();
  room.reserve(kJob, kElsewhere, Priority::normal, kRequest, 12, 22);
  EXPECT_FALSE(room.is_reserved(kMachine, 12));
  EXPECT_TRUE(room.is_reserved(kElsewhere, 12));
  // A job that takes the machine over takes the room with it.
  room.reserve(kOther, kElsewhere, Priority::high, kRequest, 13, 23);
  EXPECT_FALSE(room.is_pending(kJob, 13));
  EXPECT_TRUE(room.is_pending(kOther, 23));
  room.release(kJob);
  EXPECT_TRUE(room.is_reserved(kElsewhere, 13));
}

TEST(MadeRoomTest, IsGivenUpWithItsJobOrItsTerm) {
  auto room = made_room();
  room.release(kJob);
  EXPECT_FALSE(room.is_reserved(kMachine, 12));
  room = made_room();
  room.reset();
  EXPECT_FALSE(room.is_reserved(kMachine, 12));
  EXPECT_FALSE(room.is_pending(kJob, 12));
}

// Room whose time was over is forgotten when other is made: what it was kept for then counts as waiting no
// more.
TEST(MadeRoomTest, ForgetsWhatIsOver) {
  auto room = made_room();
  room.reserve(kOther, kElsewhere, Priority::normal, kRequest, 30, 40);
  EXPECT_FALSE(room.is_pending(kJob, 15));
  EXPECT_TRUE(room.is_pending(kOther, 35));
}

// ---- with the tasks that were stopped

const wire::TaskId kFirst{kOther, 0};
const wire::TaskId kSecond{kOther, 1};

// Two tasks, the higher of normal priority, are stopped for a task of high priority.
PreemptionReservations stopped_two() {
  PreemptionReservations room;
  room.reserve(kJob, kMachine, Priority::high, kRequest, 10, 20);
  room.add_victim(kMachine, kFirst, Priority::best_effort);
  room.add_victim(kMachine, kSecond, Priority::normal);
  return room;
}

bool may_use(const PreemptionReservations& room, Priority priority) {
  return room.allows(kMachine, wire::JobId{"third"}, priority, kRequest, kRequest, 12);
}

std::vector<PreemptionEnd> ends(PreemptionReservations& room) {
  std::vector<PreemptionEnd> result;
  for (const auto& ended : room.take_ended()) result.push_back(ended.reason);
  return result;
}

using Ends = std::vector<PreemptionEnd>;

TEST(PreemptionLifeTest, HasRoomOnceAllVictimsAreGone) {
  auto room = stopped_two();
  EXPECT_EQ(room.victim_gone(kElsewhere, kFirst, 11), 0U);
  EXPECT_EQ(room.victim_gone(kMachine, {kJob, 0}, 11), 0U);
  EXPECT_EQ(room.victim_gone(kMachine, kFirst, 11), 1U);
  EXPECT_EQ(room.victim_gone(kMachine, kFirst, 11), 0U);
  EXPECT_FALSE(room.machines().at(kMachine).all_victims_gone());
  EXPECT_EQ(room.victim_gone(kMachine, kSecond, 12), 1U);
  EXPECT_TRUE(room.machines().at(kMachine).all_victims_gone());
  EXPECT_EQ(room.machines().at(kMachine).vacated_at, 12);
}

// Of a job that needs the room no more it goes to what ranks above the victims.
TEST(PreemptionLifeTest, IsOpenToWhatRanksAboveTheVictimsWhenItsJobIsOver) {
  auto room = stopped_two();
  EXPECT_FALSE(may_use(room, Priority::high));
  room.release(kJob);
  EXPECT_FALSE(room.is_pending(kJob, 12));
  EXPECT_TRUE(room.is_reserved(kMachine, 1000));
  EXPECT_TRUE(may_use(room, Priority::high));
  EXPECT_FALSE(may_use(room, Priority::normal));
}

TEST(PreemptionLifeTest, IsAnybodysAfterAPassThatHadNoUseForIt) {
  auto room = stopped_two();
  room.release(kJob);
  room.begin_pass();
  room.end_pass();
  EXPECT_TRUE(room.is_reserved(kMachine, 12));  // not there yet
  room.begin_pass();
  room.victim_gone(kMachine, kFirst, 13);
  room.victim_gone(kMachine, kSecond, 13);
  room.end_pass();
  EXPECT_TRUE(room.is_reserved(kMachine, 13));  // only since this pass
  room.begin_pass();
  room.end_pass();
  EXPECT_FALSE(room.is_reserved(kMachine, 13));
  EXPECT_EQ(ends(room), Ends{PreemptionEnd::unwanted});
}

TEST(PreemptionLifeTest, IsStillToBeUsedWhenItsTaskStartedBesideTheVictims) {
  auto room = stopped_two();
  room.task_placed(kJob, kMachine, true, Priority::high);
  EXPECT_FALSE(room.is_pending(kJob, 12));
  EXPECT_TRUE(may_use(room, Priority::high));
  EXPECT_FALSE(may_use(room, Priority::normal));
  // What ranks no higher than the victims and finds room beside it leaves it as it is.
  room.victim_gone(kMachine, kFirst, 12);
  room.victim_gone(kMachine, kSecond, 12);
  room.task_placed(kOther, kMachine, true, Priority::normal);
  EXPECT_TRUE(room.is_reserved(kMachine, 12));
  room.task_placed(kOther, kMachine, true, Priority::high);
  EXPECT_FALSE(room.is_reserved(kMachine, 12));
  room.start_arrived(kOther, kMachine);
  EXPECT_EQ(ends(room), Ends{PreemptionEnd::used});
}

TEST(PreemptionLifeTest, IsWaitedForAgainWhenTheStartIsLost) {
  auto room = stopped_two();
  room.victim_gone(kMachine, kFirst, 11);
  room.victim_gone(kMachine, kSecond, 11);
  room.task_placed(kJob, kMachine, true, Priority::high);
  EXPECT_FALSE(room.is_pending(kJob, 12));
  EXPECT_TRUE(room.machines().contains(kMachine));
  room.start_lost(kOther, kMachine, 18);
  EXPECT_FALSE(room.is_pending(kJob, 12));
  room.start_lost(kJob, kMachine, 18);
  EXPECT_TRUE(room.is_pending(kJob, 18));
  EXPECT_FALSE(may_use(room, Priority::normal));
  room.task_placed(kJob, kMachine, true, Priority::high);
  room.start_arrived(kJob, kMachine);
  EXPECT_FALSE(room.machines().contains(kMachine));
  EXPECT_EQ(ends(room), Ends{PreemptionEnd::used});
  // Nothing is left that could be lost.
  room.start_lost(kJob, kMachine, 30);
  EXPECT_FALSE(room.is_pending(kJob, 20));
}

// Meanwhile other room was made for the job's next task: that is the one it waits for.
TEST(PreemptionLifeTest, IsOpenWhenTheStartIsLostAndItsJobWaitsElsewhere) {
  auto room = stopped_two();
  room.victim_gone(kMachine, kFirst, 11);
  room.victim_gone(kMachine, kSecond, 11);
  room.task_placed(kJob, kMachine, true, Priority::high);
  room.reserve(kJob, kElsewhere, Priority::high, kRequest, 12, 22);
  room.start_lost(kJob, kMachine, 18);
  EXPECT_EQ(*room.machine_of(kJob, 12), kElsewhere);
  EXPECT_TRUE(may_use(room, Priority::high));
  EXPECT_FALSE(may_use(room, Priority::normal));
}

TEST(PreemptionLifeTest, IsBoundForLongerOnlyWhileItIsBound) {
  auto room = stopped_two();
  room.extend(kMachine, 30);
  EXPECT_TRUE(room.is_pending(kJob, 30));
  room.extend(kMachine, 15);
  EXPECT_TRUE(room.is_pending(kJob, 30));
  room.open_to_others(kMachine);
  room.extend(kMachine, 40);
  EXPECT_FALSE(room.is_pending(kJob, 12));
  room.end(kMachine, PreemptionEnd::machine_lost);
  EXPECT_FALSE(room.is_reserved(kMachine, 12));
  EXPECT_EQ(ends(room), Ends{PreemptionEnd::machine_lost});
  EXPECT_EQ(ends(room), Ends{});
}

}  // namespace
}  // namespace bankhill::queue
