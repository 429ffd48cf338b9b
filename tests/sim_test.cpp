// Seeded random days: several controllers, random faults, every rule checked after each step.
#include <gtest/gtest.h>

#include "sim/world.hpp"

namespace bankhill::sim {
namespace {

std::string listing(const std::vector<std::string>& broken) {
  std::string text;
  for (const auto& item : broken) text += item + "\n";
  return text;
}

void expect_all_over(World& world) {
  for (const auto& [uid, job] : world.jobs()) {
    EXPECT_TRUE(job.accepted) << uid << " was never accepted";
    if (job.spec.shape != wire::Shape::sweep || job.cancel_asked || job.broken) continue;
    EXPECT_TRUE(job.told_done) << uid << " did not finish: " << job.completed.size() << " of "
                               << job.spec.members;
  }
}

class RandomDay : public testing::TestWithParam<int> {};

TEST_P(RandomDay, KeepsTheRulesAndFinishes) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  World world(static_cast<std::uint64_t>(GetParam()));
  world.run(5);
  constexpr double kFaultsEnd = 240;
  double next_job = 5;
  double next_fault = 30;
  while (world.now() < kFaultsEnd) {
    world.run(std::min(next_job, next_fault));
    ASSERT_TRUE(world.broken().empty()) << listing(world.broken());
    if (world.now() >= next_job) {
      world.submit_random();
      next_job = world.now() + world.uniform(1, 12);
    }
    if (world.now() >= next_fault) {
      world.random_fault();
      next_fault = world.now() + world.uniform(2, 25);
    }
  }
  world.heal();
  world.run(kFaultsEnd + 260);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  EXPECT_GT(world.starts(), 20U);
  EXPECT_EQ(world.leaders(), 1);
  expect_all_over(world);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomDay, testing::Range(1, 41));

SimJob plain_job(const std::string& owner, std::uint32_t members, double cores, double run_s) {
  SimJob job;
  job.spec.queue = "any";
  job.spec.owner = owner;
  job.spec.members = members;
  job.spec.need = {cores, 0, 2};
  job.spec.bundle = "img-1";
  job.spec.size_gb = 1;
  job.spec.guess_s = job.run_s = run_s;
  return job;
}

bool caught(World& world, const std::string& rule) {
  for (const auto& item : world.broken())
    if (item.starts_with(rule)) return true;
  return false;
}

// The checker itself: each kind of broken rule must be seen.
TEST(Checker, SeesATaskThatRunsTwice) {
  World world(7);
  world.run(5);
  world.submit(plain_job("red", 8, 4, 300));
  world.run(60);
  ASSERT_TRUE(world.broken().empty());
  ASSERT_GE(world.machines().size(), 2U);
  // Start a running task once more on every other machine, with no leader to stop it.
  for (int node = 0; node < World::kNodes; ++node) world.crash(node, 1000);
  const wire::MemberId running{wire::JobId{"job-000000"}, 0};
  for (std::size_t i = 0; i < world.machines().size(); ++i) {
    auto& machine = std::next(world.machines().begin(), static_cast<std::ptrdiff_t>(i))->second;
    if (!machine.up || machine.tasks.contains(running)) continue;
    machine.tasks.clear();
    world.force_start(running, i);
  }
  world.run(63);
  EXPECT_TRUE(caught(world, "ran_twice"));
}

TEST(Checker, SeesATeamAboveItsLimitAndAWrongPlace) {
  World world(8);
  world.run(5);
  auto fixed = plain_job("blue", 1, 1, 300);
  fixed.spec.rack_room = "za";
  world.submit(fixed);
  world.submit(plain_job("blue", 8, 4, 300));
  world.run(60);
  ASSERT_TRUE(world.broken().empty());
  for (std::size_t i = 0; i < world.machines().size(); ++i) {
    auto machine = std::next(world.machines().begin(), static_cast<std::ptrdiff_t>(i));
    machine->second.tasks.clear();
    if (machine->second.zone == "zb") world.force_start({wire::JobId{"job-000000"}, 0}, i);
    for (std::uint32_t task = 0; task < 8; ++task) world.force_start({wire::JobId{"job-000001"}, task}, i);
  }
  world.run(63);
  EXPECT_TRUE(caught(world, "wrong_place") || caught(world, "quota"));
}

// A leader that dies during a state outage leaves a site that goes on by itself once the outage is over.
TEST(Scenario, LeaderLostDuringAStateOutage) {
  World world(11);
  world.run(5);
  for (int i = 0; i < 4; ++i) world.submit(plain_job("red", 4, 2, 20));
  world.run(40);
  world.state_outage(15);
  world.run(42);
  for (int node = 0; node < World::kNodes; ++node) world.crash(node, 3);
  world.run(200);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  expect_all_over(world);
}

// Every machine unreachable from the leader alone: workers must be heard through its siblings, and their
// machines must not be released.
TEST(Scenario, LeaderThatCannotReachTheWorkers) {
  World world(12);
  world.run(5);
  for (int i = 0; i < 4; ++i) {
    auto job = plain_job("red", 4, 2, 200);
    job.spec.shape = wire::Shape::sweep;
    world.submit(job);
  }
  world.run(45);
  std::vector<std::string> before;
  for (const auto& [host, machine] : world.machines()) before.push_back(host);
  ASSERT_GE(before.size(), 1U);
  const int leader = world.leader();
  ASSERT_GE(leader, 0);
  const auto starts = world.starts();
  for (const auto* zone : {"workers-za", "workers-zb"})
    world.cut("node-" + std::to_string(leader), zone, 35, false);
  world.run(70);
  EXPECT_GE(world.leader(), 0);
  if (before.size() >= 4) {
    EXPECT_NE(world.leader(), leader) << "a leader that reaches no worker kept the leadership";
  }
  world.run(85);
  for (const auto& host : before) EXPECT_TRUE(world.machines().contains(host)) << host << " was released";
  EXPECT_EQ(world.starts(), starts) << "tasks were started again";
  world.run(400);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  expect_all_over(world);
}

}  // namespace
}  // namespace bankhill::sim
