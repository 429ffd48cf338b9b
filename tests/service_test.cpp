// What services wait for when something ends beneath them.
#include <gtest/gtest.h>

#include "sim/simulated_cluster.hpp"

namespace bankhill::sim {
namespace {

constexpr Timing kTiming{3, 44, 69};  // of the smallest sites
constexpr double kPaceS =
    3;  // as the settings have it: a heartbeat interval is less than a 14th of the lease
constexpr double kGivenUpPaces =
    2.6;  // after its end: after its last sign of life, and what a round of looking takes

SimJob service_job(std::uint32_t members) {
  SimJob job;
  job.spec.job_class = "any";
  job.spec.team = "red";
  job.spec.kind = wire::JobKind::service;
  job.spec.task_count = members;
  job.spec.request = {1, 0, 2};
  job.spec.image = "img-1";
  job.spec.image_size_gb = 1;
  job.kept = true;
  return job;
}

SimMachine* fullest(SimulatedCluster& cluster) {
  SimMachine* most = nullptr;
  for (auto& [host, machine] : cluster.machines())
    if (machine.up && !machine.dead && (most == nullptr || machine.tasks.size() > most->tasks.size()))
      most = &machine;
  return most;
}

// A machine with services that dies is given up sooner than others. Three control intervals were as long as
// three report intervals: three of the smallest site's 25 services were down for 10 s whenever it was theirs
// that died.
TEST(Services, AMachineThatDiesIsGivenUpSoon) {
  for (const std::uint64_t seed : {3U, 4U, 5U, 6U, 7U, 8U}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulatedCluster cluster(seed, 3, kTiming);
    cluster.run(5);
    cluster.submit(service_job(3));
    cluster.run(70);
    SimMachine* dying = nullptr;
    for (auto& [host, machine] : cluster.machines())
      for (const auto& [task_id, task] : machine.tasks)
        if (task_id.job.value == "job-000000") dying = &machine;
    ASSERT_NE(dying, nullptr);
    const auto host = dying->id;
    const double died = cluster.now();
    dying->hung_until = died + 1000;  // like a dead one, but the cloud's list does not tell
    while (cluster.now() < died + 30 && cluster.machines().contains(host)) cluster.run(cluster.now() + 0.1);
    EXPECT_LT(cluster.now() - died, kGivenUpPaces * kPaceS) << "until it was given up";
    EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  }
}

// One that stands still for a moment keeps them, whenever it was asked last.
TEST(Services, StayWhereAMachineStandsStillForAMoment) {
  for (const std::uint64_t seed : {3U, 4U, 5U, 6U, 7U, 8U}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulatedCluster cluster(seed, 3, kTiming);
    cluster.run(5);
    cluster.submit(service_job(6));
    cluster.run(70);
    const auto starts = cluster.starts();
    ASSERT_EQ(starts, 6U);
    for (int round = 0; round < 6; ++round) {
      fullest(cluster)->hung_until = cluster.now() + 0.8 * kPaceS;
      cluster.run(cluster.now() + 9.7);
    }
    EXPECT_EQ(cluster.starts(), starts) << "services were started again";
    EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  }
}

}  // namespace
}  // namespace bankhill::sim
