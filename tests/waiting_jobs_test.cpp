// Jobs whose tasks can run only where the fleet has no machine yet, and jobs of very many small tasks: each
// is started, on a machine that is rented for it if need be.
#include <gtest/gtest.h>

#include <string>

#include "sim/jobs.hpp"
#include "sim/scenario.hpp"
#include "sim/simulated_cluster.hpp"

namespace bankhill::sim {
namespace {

constexpr std::uint64_t kSeed = 3;
constexpr int kControllers = 3;
constexpr double kStrandedS = 90;  // the operators' limit on waiting
constexpr std::uint32_t kGangSpan = 3;

// The machine that runs this task of the job; empty if none does.
std::string machine_of(SimulatedCluster& cluster, const std::string& job_id, std::uint32_t index) {
  for (const auto& [machine_id, machine] : cluster.machines())
    if (machine.on({wire::JobId{job_id}, index}, cluster.now(), Timing{}.lease_s)) return machine_id;
  return {};
}

bool runs_within(SimulatedCluster& cluster, const std::string& job_id, int tasks) {
  return run_within(cluster, kStrandedS, [&] { return running_tasks(cluster, job_id) == tasks; });
}

// Guards against counting room in a zone that may hold no more of the job's tasks.
TEST(WaitingJobs, ASpreadServiceGetsAMachineInTheOtherZone) {
  SimulatedCluster cluster(kSeed, kControllers);
  cluster.cloud().offers_large = false;
  cluster.run(5);
  auto service = kept_service(2, 1);
  service.spec.zone_spread = true;
  const auto job_id = cluster.submit(service);
  ASSERT_TRUE(runs_within(cluster, job_id, 2));
  for (auto& [machine_id, machine] : cluster.machines())
    if (machine.zone == "zb" && machine.up) machine.dead = true;
  ASSERT_EQ(running_tasks(cluster, job_id), 1);
  EXPECT_TRUE(runs_within(cluster, job_id, 2)) << "a replica was lost for good";
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// Guards against counting room in a zone other than the one that the job's tasks must share.
TEST(WaitingJobs, AServiceInOneZoneGetsAMachineThereBesideRoomElsewhere) {
  SimulatedCluster cluster(kSeed, kControllers);
  cluster.cloud().offers_large = false;
  cluster.run(5);
  auto service = kept_service(2, 3);
  service.spec.zone_affinity = true;
  const auto job_id = cluster.submit(service);
  ASSERT_TRUE(runs_within(cluster, job_id, 2));
  const auto& zone = cluster.machines().at(machine_of(cluster, job_id, 0)).zone;
  const std::string other_zone = zone == "za" ? "zb" : "za";
  cluster.stray_machine(other_zone);
  auto elsewhere = kept_service(1, 1);  // keeps a machine with room in the other zone
  elsewhere.spec.zone = other_zone;
  ASSERT_TRUE(runs_within(cluster, cluster.submit(elsewhere), 1));
  cluster.machines().at(machine_of(cluster, job_id, 1)).dead = true;
  EXPECT_TRUE(runs_within(cluster, job_id, 2)) << "a replica was lost for good";
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// Replicas of several machines follow the rules on zones too.
TEST(WaitingJobs, ASpreadReplicaOfSeveralMachinesGetsThemInTheOtherZone) {
  SimulatedCluster cluster(kSeed, kControllers);
  cluster.cloud().offers_large = false;
  cluster.spans["any"] = kGangSpan;
  for (int node = 0; node < cluster.nodes(); ++node) cluster.crash(node, 0);
  cluster.run(5);
  auto service = kept_service(2 * kGangSpan, 3);
  service.spec.zone_spread = true;
  const auto job_id = cluster.submit(service);
  EXPECT_TRUE(run_within(cluster, kStrandedS, [&] { return cluster.whole(job_id) == 2; }));
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// Guards against a machine that gets more tasks than its heartbeats may list and loses all of them with its
// lease.
TEST(WaitingJobs, MoreSmallTasksThanAHeartbeatListsAreSpreadOverMachines) {
  SimulatedCluster cluster(kSeed, kControllers);
  cluster.run(5);
  auto job = kept_batch(1200, 0.01, 15);
  job.spec.request.ram_gb = 0.01;
  job.spec.machine_types = std::vector<std::string>{"large"};
  const auto job_id = cluster.submit(job);
  EXPECT_TRUE(run_within(cluster, kStrandedS, [&] { return cluster.jobs().at(job_id).told_done; }));
  EXPECT_EQ(cluster.starts(), 1200U);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

}  // namespace
}  // namespace bankhill::sim
