// Tests that a job waits only a limited time for resources that are being freed for it by preemption.
//
// Guards against this failure: each review of a preemption extended its deadline by a control interval,
// because the deadline was counted from the review instead of the decision. If the machine's downlink was
// lost, the job waited until the machine was terminated, for two leases and more, although other machines
// could have been freed.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/jobs.hpp"
#include "sim/scenario.hpp"

namespace bankhill::sim {
namespace {

// As over links without delays (Seeds/SlowLinks).
constexpr double kMaxUrgentStartS = 30;

class VictimsWithLostDownlink : public testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(Controllers, VictimsWithLostDownlink, testing::Values(3, 5));

// One of two machines loses its downlink, so stop commands do not reach it. Two urgent jobs need a whole
// machine each.
TEST_P(VictimsWithLostDownlink, DoNotDelayUrgentJobs) {
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
  EXPECT_TRUE(run_within(cluster, kMaxUrgentStartS,
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
