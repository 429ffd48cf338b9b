// How long a job waits for room that was made for it.
//
// What happened: each look at a preemption put its end off by a control interval, so that a job waited for a
// machine that does not hear its stops until the machine was returned, two leases and more, beside others
// that could have made room. Why: the limit was counted from the look, not from the decision.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/jobs.hpp"
#include "sim/scenario.hpp"

namespace bankhill::sim {
namespace {

constexpr double kUrgentBeginsWithinS = 30;  // as over links without delays (Seeds/SlowLinks)

class DeafToStops : public testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(Controllers, DeafToStops, testing::Values(3, 5));

// One of two machines hears nothing any more; two urgent jobs each need one of them whole.
TEST_P(DeafToStops, HoldNoJobUpForLong) {
  SimulatedCluster cluster(800 + static_cast<std::uint64_t>(GetParam()), GetParam());
  cluster.cloud().offers_large = false;
  cluster.cloud().machine_limit = 2;
  cluster.run(5);
  cluster.submit(small_batch(8, 1, 400, "guest"));
  ASSERT_TRUE(run_within(cluster, 60, [&] { return cluster.starts() >= 8; }));
  cluster.run(cluster.now() + 10);
  const auto zone = cluster.machines().begin()->second.zone;
  cluster.deafen_machines(1, 200, zone);
  std::vector<std::string> urgent;
  for (int i = 0; i < 2; ++i) {
    auto job = small_batch(1, 4, 3, i == 0 ? "red" : "blue");
    job.spec.priority = wire::Priority::high;
    urgent.push_back(cluster.submit(job));
  }
  EXPECT_TRUE(run_within(cluster, kUrgentBeginsWithinS,
                         [&] {
                           return std::all_of(urgent.begin(), urgent.end(), [&](const auto& id) {
                             return cluster.jobs().at(id).begun > 0;
                           });
                         }))
      << cluster.jobs().at(urgent[0]).begun << " and " << cluster.jobs().at(urgent[1]).begun << " at "
      << cluster.now();
}

}  // namespace
}  // namespace bankhill::sim
