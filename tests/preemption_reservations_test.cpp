// Room that was made for a job by stopping others' tasks: whose it is, until when, and what may pass.
#include "queue/preemption_reservations.hpp"

#include <gtest/gtest.h>

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
  EXPECT_TRUE(room.reserved(kMachine, 10));
  EXPECT_TRUE(room.pending(kJob, 20));
  EXPECT_FALSE(room.pending(kJob, 20.1));
  EXPECT_FALSE(room.reserved(kMachine, 20.1));
  EXPECT_FALSE(room.reserved(kElsewhere, 10));
  EXPECT_FALSE(room.pending(kOther, 10));
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
  EXPECT_TRUE(room.pending_elsewhere(kJob, kElsewhere, 12));
  EXPECT_FALSE(room.pending_elsewhere(kJob, kMachine, 12));
  EXPECT_FALSE(room.pending_elsewhere(kOther, kElsewhere, 12));
  EXPECT_FALSE(room.pending_elsewhere(kJob, kElsewhere, 20.1));
}

TEST(MadeRoomTest, IsUsedByTheTaskThatIsPlacedThere) {
  auto room = made_room();
  room.placed(kOther, kMachine, false);
  EXPECT_TRUE(room.pending(kJob, 12));
  // Of several tasks one may start elsewhere: another still waits for the room.
  room.placed(kJob, kElsewhere, true);
  EXPECT_TRUE(room.pending(kJob, 12));
  room.placed(kJob, kMachine, true);
  EXPECT_FALSE(room.pending(kJob, 12));
  EXPECT_FALSE(room.reserved(kMachine, 12));
  // The last one needs no room any more, wherever it starts.
  room = made_room();
  room.placed(kJob, kElsewhere, false);
  EXPECT_FALSE(room.reserved(kMachine, 12));
}

TEST(MadeRoomTest, AJobHasOneMachineAndAMachineOneJob) {
  auto room = made_room();
  room.reserve(kJob, kElsewhere, Priority::normal, kRequest, 12, 22);
  EXPECT_FALSE(room.reserved(kMachine, 12));
  EXPECT_TRUE(room.reserved(kElsewhere, 12));
  // A job that takes the machine over takes the room with it.
  room.reserve(kOther, kElsewhere, Priority::high, kRequest, 13, 23);
  EXPECT_FALSE(room.pending(kJob, 13));
  EXPECT_TRUE(room.pending(kOther, 23));
  room.release(kJob);
  EXPECT_TRUE(room.reserved(kElsewhere, 13));
}

TEST(MadeRoomTest, IsGivenUpWithItsJobOrItsTerm) {
  auto room = made_room();
  room.release(kJob);
  EXPECT_FALSE(room.reserved(kMachine, 12));
  room = made_room();
  room.reset();
  EXPECT_FALSE(room.reserved(kMachine, 12));
  EXPECT_FALSE(room.pending(kJob, 12));
}

// Room whose time was over is forgotten when other is made: what it was kept for then counts as waiting no
// more.
TEST(MadeRoomTest, ForgetsWhatIsOver) {
  auto room = made_room();
  room.reserve(kOther, kElsewhere, Priority::normal, kRequest, 30, 40);
  EXPECT_FALSE(room.pending(kJob, 15));
  EXPECT_TRUE(room.pending(kOther, 35));
}

}  // namespace
}  // namespace bankhill::queue
