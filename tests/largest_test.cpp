// The largest jobs of a class are served too: which they are, their turns, room kept for them, and whole
// floods with several controllers.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "fair_share/fair_share_order.hpp"
#include "queue/backfill_reservations.hpp"
#include "queue/largest_jobs.hpp"
#include "sim/jobs.hpp"
#include "sim/scenario.hpp"
#include "sim/simulated_cluster.hpp"

namespace bankhill {
namespace {

using sim::broke_rule;
using sim::listing;
using sim::SimJob;
using sim::SimulatedCluster;
using sim::small_batch;

model::Job sized(const std::string& kind, std::uint32_t tasks, double cores, double at) {
  model::Job job;
  job.spec.job_class = kind;
  job.spec.task_count = tasks;
  job.spec.request = {cores, 0, 1};
  job.accepted_at = at;
  return job;
}

// A new leader has read the same records in another order, and is to say the same of each.
TEST(LargestTest, TheUpperTenthInWhateverOrderItIsRead) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    std::mt19937 random(seed);
    std::lognormal_distribution<double> sizes(3.4, 0.73);
    std::vector<model::Job> jobs;
    for (int i = 0; i < 1500; ++i)
      jobs.push_back(sized("night", 1 + static_cast<std::uint32_t>(sizes(random)), 4, 0.3 * i));
    queue::LargestJobs first(0.1, 240);
    for (const auto& job : jobs) first.came(job);
    auto mixed = jobs;
    std::shuffle(mixed.begin(), mixed.end(), random);
    queue::LargestJobs second(0.1, 240);
    for (const auto& job : mixed) second.came(job);
    int count = 0;
    std::uint32_t least = 1000;
    std::uint32_t most_other = 0;
    for (const auto& job : jobs) {
      EXPECT_EQ(first.is(job), second.is(job)) << "seed " << seed << ", " << job.spec.task_count;
      count += first.is(job) ? 1 : 0;
      if (first.is(job))
        least = std::min(least, job.spec.task_count);
      else
        most_other = std::max(most_other, job.spec.task_count);
    }
    EXPECT_GT(count, 100) << "seed " << seed;
    EXPECT_LT(count, 230) << "seed " << seed;
    EXPECT_GT(least, most_other) << "seed " << seed;
  }
}

// Of a class whose jobs are all alike none is the largest: they all would go before each other.
TEST(LargestTest, OfEqualsNoneUnlessFewCame) {
  queue::LargestJobs largest(0.1, 240);
  for (int i = 0; i < 100; ++i) largest.came(sized("alike", 8, 1, i));
  EXPECT_FALSE(largest.is(sized("alike", 8, 1, 100)));
  EXPECT_TRUE(largest.is(sized("alike", 8, 16, 100)));  // by cores a task
  largest.came(sized("rare", 8, 1, 0));
  EXPECT_TRUE(largest.is(sized("rare", 8, 1, 0)));
  EXPECT_FALSE(largest.is(sized("unheard of", 8, 1, 0)));
}

// Sizes of an hour ago are those of another crowd.
TEST(LargestTest, WhatCameLongAgoCountsNoMore) {
  queue::LargestJobs largest(0.1, 240);
  for (int i = 0; i < 100; ++i) largest.came(sized("night", 1000, 1, i));
  for (int i = 0; i < 100; ++i) largest.came(sized("night", i % 20 == 0 ? 100 : 10, 1, 4000 + i));
  EXPECT_TRUE(largest.is(sized("night", 100, 1, 4100)));
  EXPECT_FALSE(largest.is(sized("night", 10, 1, 4100)));
}

// Many small ones and some large ones of one class, a few cores: the large ones have their part of them all
// the time, whatever comes, and the small ones all the rest.
TEST(LargestTest, HaveTheirPartOfTheirPartysTurns) {
  const fair_share::Party party{"red", "night"};
  std::vector<fair_share::Waiting> waiting;
  for (int i = 0; i < 100; ++i) waiting.push_back({party, 10, 100, false, 1.0 * i, false});
  for (int i = 0; i < 20; ++i) waiting.push_back({party, 100, 5000, false, 1.0 * i, true});
  const auto turn = fair_share::fair_share_order(waiting, {}, {{"red", 10}}, 0.25);
  std::vector<std::size_t> order(waiting.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::sort(order.begin(), order.end(), [&](auto a, auto b) { return turn[a] < turn[b]; });
  double large = 0;
  double all = 0;
  for (const auto job : order) {
    large += waiting[job].largest ? waiting[job].cores : 0;
    all += waiting[job].cores;
    if (all < 200 || all > 1200) continue;
    EXPECT_NEAR(large, 0.25 * all, 100) << all;
  }
  // They hold more than their part: the others first.
  const auto held = fair_share::fair_share_order(waiting, {{{party, true}, 1000}, {{party, false}, 1000}},
                                                 {{"red", 10}}, 0.25);
  EXPECT_LT(*std::max_element(held.begin(), held.begin() + 100),
            *std::min_element(held.begin() + 100, held.end()));
}

TEST(KeptRoomTest, KeepsAMachineForOneAndLetsShorterOnesUseItMeanwhile) {
  queue::BackfillReservations room({3, 60, 2});
  const wire::JobId big{"big"};
  const wire::JobId small{"small"};
  const wire::MachineId machine_id{"host"};
  EXPECT_FALSE(room.should_reserve(big, 0));
  EXPECT_TRUE(room.should_reserve(big, 3));
  room.reserve(big, machine_id, 20);
  EXPECT_FALSE(room.should_reserve(big, 4));
  EXPECT_TRUE(room.allows(machine_id, big, 4, 500));
  EXPECT_TRUE(room.allows(machine_id, small, 4, 15));
  EXPECT_FALSE(room.allows(machine_id, small, 4, 17));
  EXPECT_TRUE(room.allows(wire::MachineId{"other"}, small, 4, 17));
  // What should have ended there goes on: all may use it again, and another is chosen.
  EXPECT_FALSE(room.allows(machine_id, small, 80, 1));
  EXPECT_TRUE(room.allows(machine_id, small, 81, 500));
  EXPECT_TRUE(room.should_reserve(big, 81));
  room.reserve(big, machine_id, 100);
  room.drop_machine(machine_id);
  EXPECT_TRUE(room.should_reserve(big, 82));
  // No more than two at a time, and one that asks no more gives its machine back.
  room.reserve(big, machine_id, 100);
  EXPECT_FALSE(room.should_reserve(small, 82));
  EXPECT_FALSE(room.should_reserve(wire::JobId{"third"}, 90));
  EXPECT_FALSE(room.should_reserve(wire::JobId{"third"}, 150));
  EXPECT_FALSE(room.is_reserved(machine_id));
  EXPECT_TRUE(room.should_reserve(wire::JobId{"third"}, 153));
  room.release(wire::JobId{"third"});
  EXPECT_EQ(room.size(), 0U);
}

SimJob array(const std::string& team, std::uint32_t members, double cores, double run_s) {
  auto job = small_batch(members, cores, run_s, team);
  job.spec.request.ram_gb = 1;
  return job;
}

// Three machines of four cores, and a job of three tasks of ten seconds each second: two and a half times as
// much as can be had.
struct Flood {
  SimulatedCluster world;
  std::string large;
  explicit Flood(std::uint64_t seed) : world(seed) {
    world.cloud().machine_limit = 3;
    world.run(5);
  }
  void come(const std::string& team, double until) {
    for (double time = world.now(); time < until; time += 1)
      world.at(time, [this, team] { world.submit(array(team, 3, 1, 10)); });
  }
  const SimJob& job() { return world.jobs().at(large); }
  void expect_begun_in_time() {
    EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
    ASSERT_GT(job().begun, 0) << "never begun";
    EXPECT_LE(job().begun - job().created, 240);
  }
};

TEST(LargestScenario, BeginsAndEndsInAFloodOfItsOwnClass) {
  Flood flood(41);
  flood.come("red", 330);
  flood.world.run(30);
  flood.large = flood.world.submit(array("red", 40, 1, 10));
  flood.world.run(330);
  flood.expect_begun_in_time();
  EXPECT_TRUE(flood.job().told_done) << flood.job().completed.size()
                                     << " of 40 tasks done while the flood lasts";
}

// Its team has no guarantee, and another within its own floods: it borrows as long as that lasts.
TEST(LargestScenario, BeginsWhileItsTeamBorrowsAndOthersFlood) {
  Flood flood(43);
  flood.come("blue", 330);
  flood.world.run(40);
  flood.large = flood.world.submit(array("guest", 40, 1, 10));
  flood.world.run(330);
  flood.expect_begun_in_time();
}

// By slack: it is too late for its deadline, and those that can still make theirs keep coming.
TEST(LargestScenario, BeginsWhenItIsLate) {
  Flood flood(45);
  for (double time = 5; time < 330; time += 3)
    flood.world.at(time, [&flood] {
      auto job = array("red", 4, 1, 10);
      job.spec.deadline_s = 60;
      flood.world.submit(job);
    });
  flood.world.run(40);
  auto late = array("red", 40, 1, 10);
  late.spec.deadline_s = 5;
  flood.large = flood.world.submit(late);
  flood.world.run(330);
  flood.expect_begun_in_time();
}

// It fits an empty machine only. The small ones end one after the other, and each core is taken up at once by
// the next: without a machine that drains none is ever empty.
TEST(LargestScenario, RoomIsKeptForATaskThatNeedsAWholeMachine) {
  Flood flood(47);
  int count = 0;
  for (double time = 5; time < 230; time += 0.5)
    flood.world.at(
        time, [&flood, run_s = 10 + 0.37 * (count++ % 7)] { flood.world.submit(array("red", 1, 1, run_s)); });
  flood.world.run(30);
  flood.large = flood.world.submit(array("red", 2, 4, 10));
  flood.world.run(230);
  flood.expect_begun_in_time();
  EXPECT_TRUE(flood.job().told_done);
}

// A large job of a team without a guarantee, as above: nothing but its age makes it begin, at second 150 or
// soon after. Whatever counts its age anew at a crash just before makes it begin more than four minutes late.
struct Old : Flood {
  explicit Old(std::uint64_t seed) : Flood(seed) {
    come("red", 330);  // within its guarantee whatever it holds
    world.run(30);
    large = world.submit(array("guest", 40, 1, 10));
    world.run(149);
    EXPECT_EQ(job().begun, 0) << "begun without its age: shows nothing";
  }
};

TEST(LargestScenario, AgesGoOnInANewReign) {
  Old flood(49);
  // Each new leader is lost too, so that the last begins to lead well after the second 150.
  for (const double time : {149.0, 153.0, 157.0, 161.0}) {
    flood.world.run(time);
    if (flood.world.leader() >= 0) flood.world.crash(flood.world.leader(), 3);
  }
  flood.world.run(330);
  flood.expect_begun_in_time();
  EXPECT_GT(flood.job().begun, 150);
}

TEST(LargestScenario, AgesGoOnAfterACrashOfAllControllers) {
  Old flood(51);
  for (int node = 0; node < flood.world.nodes(); ++node) flood.world.crash(node, 10);
  flood.world.run(330);
  flood.expect_begun_in_time();
}

TEST(Checker, SeesWhatIsNotServed) {
  SimulatedCluster cluster(53);
  cluster.run(5);
  for (int i = 0; i < 12; ++i) cluster.submit(array("red", 1, 1, 3));
  cluster.run(60);
  cluster.check_served();
  ASSERT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  // Nobody can start it: it is of a type that the cloud does not have.
  auto never = array("red", 50, 1, 3);
  never.spec.machine_types = std::vector<std::string>{"none"};
  cluster.submit(never);
  cluster.run(200);
  cluster.check_served(240, 0);
  EXPECT_FALSE(broke_rule(cluster, "unserved")) << "called late before its time";
  cluster.run(310);
  cluster.check_served(240, 0);
  EXPECT_TRUE(broke_rule(cluster, "unserved")) << "not begun in time";
  cluster.broken().clear();
  cluster.check_served(1000, 0.5);
  EXPECT_NE(listing(cluster.broken()).find("largest of any: 0"), std::string::npos)
      << "none of the largest done";
}

}  // namespace
}  // namespace bankhill
