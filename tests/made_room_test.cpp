// Room that was made for a job by stopping others' tasks: whose it is, until when, and what may pass.
#include "queue/made_room.hpp"

#include <gtest/gtest.h>

namespace bankhill::queue {
namespace {

using wire::Amounts;
using wire::Rank;

const wire::JobId kJob{"waiting"};
const wire::JobId kOther{"other"};
const wire::HostId kMachine{"machine"};
const wire::HostId kElsewhere{"elsewhere"};
const Amounts kRequest{4, 1, 8};
const Amounts kSmall{1, 0, 1};

// Room for one task of normal priority, made at 10 and reserved until 20.
MadeRoom made_room() {
  MadeRoom room;
  room.make(kJob, kMachine, Rank::normal, kRequest, 10, 20);
  return room;
}

TEST(MadeRoomTest, IsOnItsWayUntilItsTimeIsOver) {
  const auto room = made_room();
  EXPECT_TRUE(room.made(kMachine, 10));
  EXPECT_TRUE(room.on_its_way(kJob, 20));
  EXPECT_FALSE(room.on_its_way(kJob, 20.1));
  EXPECT_FALSE(room.made(kMachine, 20.1));
  EXPECT_FALSE(room.made(kElsewhere, 10));
  EXPECT_FALSE(room.on_its_way(kOther, 10));
}

TEST(MadeRoomTest, IsItsJobsOwnAndOfHigherPriorities) {
  const auto room = made_room();
  EXPECT_TRUE(room.allows(kMachine, kJob, Rank::best_effort, kRequest, kRequest, 12));
  EXPECT_FALSE(room.allows(kMachine, kOther, Rank::best_effort, kSmall, kRequest, 12));
  EXPECT_FALSE(room.allows(kMachine, kOther, Rank::normal, kSmall, kRequest, 12));
  EXPECT_TRUE(room.allows(kMachine, kOther, Rank::high, kSmall, kRequest, 12));
  // It is anybody's elsewhere, and once its time is over.
  EXPECT_TRUE(room.allows(kElsewhere, kOther, Rank::best_effort, kSmall, kRequest, 12));
  EXPECT_TRUE(room.allows(kMachine, kOther, Rank::best_effort, kSmall, kRequest, 20.1));
}

TEST(MadeRoomTest, OthersMayUseWhatIsFreeBesideIt) {
  const auto room = made_room();
  EXPECT_TRUE(room.allows(kMachine, kOther, Rank::normal, kSmall, {5, 1, 9}, 12));
  EXPECT_FALSE(room.allows(kMachine, kOther, Rank::normal, kSmall, {4.9, 1, 9}, 12));
  EXPECT_FALSE(room.allows(kMachine, kOther, Rank::normal, kSmall, {5, 1, 8.9}, 12));
  EXPECT_FALSE(room.allows(kMachine, kOther, Rank::normal, {1, 1, 1}, {5, 1, 9}, 12));
}

TEST(MadeRoomTest, ItsJobsOnlyTaskWaitsForItAndStartsNowhereElse) {
  const auto room = made_room();
  EXPECT_TRUE(room.waits_elsewhere(kJob, kElsewhere, 12));
  EXPECT_FALSE(room.waits_elsewhere(kJob, kMachine, 12));
  EXPECT_FALSE(room.waits_elsewhere(kOther, kElsewhere, 12));
  EXPECT_FALSE(room.waits_elsewhere(kJob, kElsewhere, 20.1));
}

TEST(MadeRoomTest, IsUsedByTheTaskThatIsPlacedThere) {
  auto room = made_room();
  room.placed(kOther, kMachine, false);
  EXPECT_TRUE(room.on_its_way(kJob, 12));
  // Of several tasks one may start elsewhere: another still waits for the room.
  room.placed(kJob, kElsewhere, true);
  EXPECT_TRUE(room.on_its_way(kJob, 12));
  room.placed(kJob, kMachine, true);
  EXPECT_FALSE(room.on_its_way(kJob, 12));
  EXPECT_FALSE(room.made(kMachine, 12));
  // The last one needs no room any more, wherever it starts.
  room = made_room();
  room.placed(kJob, kElsewhere, false);
  EXPECT_FALSE(room.made(kMachine, 12));
}

TEST(MadeRoomTest, AJobHasOneMachineAndAMachineOneJob) {
  auto room = made_room();
  room.make(kJob, kElsewhere, Rank::normal, kRequest, 12, 22);
  EXPECT_FALSE(room.made(kMachine, 12));
  EXPECT_TRUE(room.made(kElsewhere, 12));
  // A job that takes the machine over takes the room with it.
  room.make(kOther, kElsewhere, Rank::high, kRequest, 13, 23);
  EXPECT_FALSE(room.on_its_way(kJob, 13));
  EXPECT_TRUE(room.on_its_way(kOther, 23));
  room.release(kJob);
  EXPECT_TRUE(room.made(kElsewhere, 13));
}

TEST(MadeRoomTest, IsGivenUpWithItsJobOrItsTerm) {
  auto room = made_room();
  room.release(kJob);
  EXPECT_FALSE(room.made(kMachine, 12));
  room = made_room();
  room.reset();
  EXPECT_FALSE(room.made(kMachine, 12));
  EXPECT_FALSE(room.on_its_way(kJob, 12));
}

// Room whose time was over is forgotten when other is made: what it was kept for then counts as waiting no
// more.
TEST(MadeRoomTest, ForgetsWhatIsOver) {
  auto room = made_room();
  room.make(kOther, kElsewhere, Rank::normal, kRequest, 30, 40);
  EXPECT_FALSE(room.on_its_way(kJob, 15));
  EXPECT_TRUE(room.on_its_way(kOther, 35));
}

}  // namespace
}  // namespace bankhill::queue
