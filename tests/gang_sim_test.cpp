// Replicas that span machines on simulated sites: several controllers, machines that die, hang, are sick or
// taken back, and every rule checked after each step.
#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/simulated_cluster.hpp"

namespace bankhill::sim {
namespace {

constexpr std::uint32_t kSpan = 3;
constexpr double kHalf = 9;  // control intervals and all: a member's end is known and its peers are stopped

// A model that is served: each member takes a machine of its own of the smaller type.
SimJob served(std::uint32_t members, const std::string& team = "red") {
  SimJob job;
  job.spec.job_class = "serve";
  job.spec.team = team;
  job.spec.kind = wire::JobKind::service;
  job.spec.priority = wire::Priority::production;
  job.spec.task_count = members;
  job.spec.request = {3, 0, 2};
  job.spec.machine_types = std::vector<std::string>{"small"};
  job.spec.image = "weights";
  job.spec.image_size_gb = 1;
  job.kept = true;
  return job;
}

SimJob batch(std::uint32_t members, double run_s) {
  auto job = served(members, "blue");
  job.spec.job_class = "any";
  job.spec.kind = wire::JobKind::array;
  job.spec.priority = wire::Priority::best_effort;
  job.spec.request = {1, 0, 1};
  job.spec.image = "img-1";
  job.spec.estimated_runtime_s = job.run_s = run_s;
  return job;
}

void begin(SimulatedCluster& cluster, int machines = 24) {
  cluster.spans["serve"] = kSpan;
  cluster.cloud().machine_limit = machines;
  for (int node = 0; node < cluster.nodes(); ++node) cluster.crash(node, 0);
  cluster.run(5);
}

// The machine that a member runs on; empty if none.
std::string host_of(SimulatedCluster& cluster, const std::string& job_id, std::uint32_t index) {
  for (const auto& [host, machine] : cluster.machines())
    if (machine.on({wire::JobId{job_id}, index}, cluster.now(), 20)) return host;
  return {};
}

// Runs until so many replicas are whole, returns how long that took; a large number if it never was.
double until_whole(SimulatedCluster& cluster, const std::string& job_id, std::uint32_t count, double most) {
  const double began = cluster.now();
  while (cluster.now() < began + most) {
    if (cluster.whole(job_id) >= count) return cluster.now() - began;
    cluster.run(cluster.now() + 0.25);
  }
  return 1e9;
}

TEST(ReplicaScenario, StartsAsOne) {
  SimulatedCluster cluster(3);
  begin(cluster);
  cluster.rules().half_limit_s = kHalf;
  const auto job_id = cluster.submit(served(7));
  EXPECT_LT(until_whole(cluster, job_id, 2, 60), 40);
  cluster.run(90);
  EXPECT_EQ(cluster.starts(), 6U) << "the seventh makes no replica";
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// Without an entry a service is placed member by member, as ever.
TEST(ReplicaScenario, WithoutAnEntryNothingChanges) {
  SimulatedCluster cluster(3);
  begin(cluster);
  auto job = served(7);
  job.spec.job_class = "any";
  cluster.submit(job);
  cluster.run(60);
  EXPECT_EQ(cluster.starts(), 7U);
}

TEST(ReplicaScenario, ADeadMachineIsReplacedAndTheRestStaysWhereTheWeightsAre) {
  SimulatedCluster cluster(5);
  begin(cluster);
  const auto job_id = cluster.submit(served(6));
  ASSERT_LT(until_whole(cluster, job_id, 2, 60), 60);
  cluster.submit(batch(1, 1));
  cluster.run(cluster.now() + 10);
  cluster.rules().half_limit_s = kHalf;
  std::set<std::string> before;
  for (std::uint32_t i = 0; i < kSpan; ++i) before.insert(host_of(cluster, job_id, i));
  const auto starts = cluster.starts();
  cluster.machines().at(host_of(cluster, job_id, 1)).dead = true;
  cluster.run(cluster.now() + 1);
  EXPECT_LT(until_whole(cluster, job_id, 2, 90), 45);
  EXPECT_EQ(cluster.starts(), starts + kSpan);
  std::size_t stayed = 0;
  for (std::uint32_t i = 0; i < kSpan; ++i) stayed += before.contains(host_of(cluster, job_id, i)) ? 1 : 0;
  EXPECT_GE(stayed, kSpan - 1);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// A hang longer than the lease, and one that ends just before: never two of one member.
TEST(ReplicaScenario, AHangingMachineEndsAllOfItsReplica) {
  for (const double seconds : {8.0, 18.0, 30.0}) {
    SimulatedCluster cluster(7);
    begin(cluster);
    const auto job_id = cluster.submit(served(6));
    ASSERT_LT(until_whole(cluster, job_id, 2, 60), 60);
    cluster.rules().half_limit_s = kHalf + 21;  // a hanging machine holds its member until its lease is over
    cluster.machines().at(host_of(cluster, job_id, 4)).hung_until = cluster.now() + seconds;
    cluster.run(cluster.now() + 1);
    cluster.run(cluster.now() + 80);
    EXPECT_EQ(cluster.whole(job_id), 2U);
    EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  }
}

// A machine that fails each start is found out, and the replica is whole without it.
TEST(ReplicaScenario, ASickMachineDoesNotKeepItDown) {
  SimulatedCluster cluster(9);
  begin(cluster);
  const auto job_id = cluster.submit(served(6));
  ASSERT_LT(until_whole(cluster, job_id, 2, 60), 60);
  const auto sick = host_of(cluster, job_id, 0);
  cluster.machines().at(sick).unhealthy = true;
  // Its member ends, as one that has just been started there does.
  auto& task = cluster.machines().at(sick).tasks.at({wire::JobId{job_id}, 0});
  task.state = wire::TaskState::exited;
  task.exit_reason = wire::ExitReason::error;
  cluster.run(cluster.now() + 2);
  cluster.rules().half_limit_s = kHalf;
  EXPECT_LT(until_whole(cluster, job_id, 2, 90), 60);
  for (std::uint32_t i = 0; i < kSpan; ++i) EXPECT_NE(host_of(cluster, job_id, i), sick);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// The cloud takes a machine back: the replica is elsewhere before it does, and starts as one.
TEST(ReplicaScenario, ANoticeMovesItAsOne) {
  SimulatedCluster cluster(11);
  begin(cluster);
  auto job = served(6);
  job.spec.machine_types.reset();
  const auto job_id = cluster.submit(job);
  ASSERT_LT(until_whole(cluster, job_id, 2, 60), 60);
  cluster.submit(batch(12, 200));  // brings machines with room
  cluster.run(cluster.now() + 40);
  cluster.rules().half_limit_s = kHalf;
  cluster.rules().moves_checked = true;
  auto& machine = cluster.machines().at(host_of(cluster, job_id, 1));
  const auto taken = machine.id;
  machine.preempted_at = cluster.now() + 12;
  machine.report_wanted = true;
  const auto starts = cluster.starts();
  cluster.run(cluster.now() + 11);
  EXPECT_EQ(cluster.whole(job_id), 2U);
  EXPECT_NE(host_of(cluster, job_id, 1), taken);
  // The other one had a member there too, or not.
  EXPECT_GE(cluster.starts() - starts, kSpan);
  EXPECT_EQ((cluster.starts() - starts) % kSpan, 0U);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// All controllers end when some members run and others still fetch their image.
TEST(ReplicaScenario, AllControllersCrashInTheMiddleOfAStart) {
  for (const int seed : {13, 14, 15, 16}) {
    SimulatedCluster cluster(static_cast<std::uint64_t>(seed));
    begin(cluster);
    cluster.rules().half_limit_s = 20 + 30;  // a lease and the time to start
    const auto job_id = cluster.submit(served(9));
    while (cluster.starts() < 1 + static_cast<std::uint64_t>(seed - 13) && cluster.now() < 60)
      cluster.run(cluster.now() + 0.02);
    ASSERT_LT(cluster.now(), 60);
    for (int node = 0; node < cluster.nodes(); ++node) cluster.crash(node, 0.5 + node);
    // One of the machines does not come through it.
    if (seed % 2 == 0) cluster.kill_machine();
    EXPECT_LT(until_whole(cluster, job_id, 3, 120), 100) << "seed " << seed;
    EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  }
}

// The leader ends when a move has stopped members and started none elsewhere.
TEST(ReplicaScenario, ALeaderIsReplacedBetweenStopAndStart) {
  for (const int seed : {17, 18, 19}) {
    SimulatedCluster cluster(static_cast<std::uint64_t>(seed));
    begin(cluster);
    auto job = served(6);
    job.spec.machine_types.reset();
    const auto job_id = cluster.submit(job);
    ASSERT_LT(until_whole(cluster, job_id, 2, 60), 60);
    cluster.submit(batch(12, 200));
    cluster.run(cluster.now() + 40);
    cluster.rules().half_limit_s = 20 + 30;
    auto& machine = cluster.machines().at(host_of(cluster, job_id, 1));
    machine.preempted_at = cluster.now() + 25;
    machine.report_wanted = true;
    const auto stops = cluster.service_stops;
    const double until = cluster.now() + 20;
    while (cluster.service_stops == stops && cluster.now() < until) cluster.run(cluster.now() + 0.0005);
    ASSERT_GT(cluster.service_stops, stops);
    cluster.crash(cluster.leader(), 5);
    cluster.run(cluster.now() + 1);
    EXPECT_LT(until_whole(cluster, job_id, 2, 120), 80) << "seed " << seed;
    EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  }
}

// A start is held back on its way to one machine until the replica has gone elsewhere.
TEST(ReplicaScenario, AStartArrivesAfterItWentElsewhere) {
  SimulatedCluster cluster(21);
  begin(cluster);
  cluster.submit(batch(20, 15));
  cluster.run(35);
  // Machines are there, idle: what comes now is started by direct orders, which are held, and with the
  // answers to reports. One machine hangs before it reports; it cannot be released, and so goes on later.
  const auto leader = cluster.leader();
  ASSERT_GE(leader, 0);
  for (const auto& [host, machine] : cluster.machines())
    cluster.cut("node-" + std::to_string(leader), host, 70, true);
  const auto job_id = cluster.submit(served(3));
  std::string held;
  while (held.empty() && cluster.now() < 45) {
    cluster.run(cluster.now() + 0.01);
    for (const auto& host : cluster.awaited_starts())
      if (cluster.machines().at(host).tasks.empty()) held = host;
  }
  ASSERT_FALSE(held.empty());
  cluster.machines().at(held).hung_until = cluster.now() + 16;
  cluster.cloud_outage(30);
  cluster.rules().half_limit_s = 20 + 30;
  EXPECT_LT(until_whole(cluster, job_id, 1, 60), 60);
  EXPECT_TRUE(cluster.awaited_starts().contains(held)) << "the start is not late";
  cluster.run(cluster.now() + 110);
  EXPECT_EQ(cluster.whole(job_id), 1U);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// Placed member by member by a version that knows no replicas, it is put right one by one, never all down.
TEST(ReplicaScenario, AnUpgradePutsRightWhatWasPlacedOneByOne) {
  SimulatedCluster cluster(22);
  cluster.spanning = false;
  begin(cluster);
  auto job = served(6);
  job.spec.machine_types = std::vector<std::string>{"large"};  // several members a machine
  job.spec.request = {4, 0, 2};
  const auto job_id = cluster.submit(job);
  cluster.run(60);
  ASSERT_EQ(cluster.starts(), 6U);
  std::set<std::string> hosts;
  for (std::uint32_t i = 0; i < 6; ++i) hosts.insert(host_of(cluster, job_id, i));
  ASSERT_LT(hosts.size(), 6U);
  cluster.spanning = true;
  for (int node = 0; node < cluster.nodes(); ++node) {
    cluster.crash(node, 1);
    cluster.run(cluster.now() + 6);
  }
  std::uint32_t least = 2;
  for (const double until = cluster.now() + 150; cluster.now() < until; cluster.run(cluster.now() + 0.5))
    least = std::min(least, cluster.whole(job_id));
  EXPECT_GE(least, 1U) << "none served";
  for (std::uint32_t replica = 0; replica < 2; ++replica) {
    hosts.clear();
    for (std::uint32_t i = 0; i < kSpan; ++i) hosts.insert(host_of(cluster, job_id, replica * kSpan + i));
    EXPECT_EQ(hosts.size(), kSpan);
    EXPECT_FALSE(hosts.contains(""));
  }
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// The policy gets an entry for a class that runs, and loses it again.
TEST(ReplicaScenario, ThePolicyChangesWhileItRuns) {
  SimulatedCluster cluster(23);
  begin(cluster);
  cluster.spans.clear();
  const auto job_id = cluster.submit(served(7));
  cluster.run(60);
  ASSERT_EQ(cluster.starts(), 7U);
  cluster.spans["serve"] = kSpan;
  cluster.run(100);
  EXPECT_EQ(cluster.whole(job_id), 2U);
  cluster.spans.clear();
  auto more = served(2);
  cluster.submit(more);
  cluster.run(150);
  EXPECT_GE(cluster.starts(), 9U);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// Batches fill every machine with short tasks that follow one another: a replica gets its room all the same.
TEST(ReplicaScenario, SmallWorkDoesNotPassItForEver) {
  SimulatedCluster cluster(24);
  begin(cluster, 6);
  for (int i = 0; i < 40; ++i) {
    auto job = batch(24, 6);
    job.spec.priority = wire::Priority::production;  // not to be stopped for it
    cluster.submit(job);
  }
  cluster.run(40);
  const auto job_id = cluster.submit(served(3));
  EXPECT_LT(until_whole(cluster, job_id, 1, 150), 100);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// ---- the checker itself

TEST(Checker, SeesAHalfReplica) {
  SimulatedCluster cluster(25);
  begin(cluster);
  const auto job_id = cluster.submit(served(3));
  ASSERT_LT(until_whole(cluster, job_id, 1, 60), 60);
  cluster.rules().half_limit_s = kHalf;
  cluster.spanning = false;  // the next leader knows of no replicas
  for (int node = 0; node < cluster.nodes(); ++node) cluster.crash(node, 0.5);
  cluster.run(cluster.now() + 10);
  cluster.cloud().machine_limit = 0;
  const auto lost = host_of(cluster, job_id, 1);
  for (auto& [host, machine] : cluster.machines())  // nor is there room elsewhere
    machine.dead = machine.dead || host == lost || machine.tasks.empty();
  cluster.run(cluster.now() + 30);
  EXPECT_TRUE(broke_rule(cluster, "half_replica"));
}

TEST(Checker, SeesASplitReplica) {
  SimulatedCluster cluster(26);
  cluster.spanning = false;
  cluster.rules().split_seen = true;
  begin(cluster);
  auto job = served(3);
  job.spec.machine_types = std::vector<std::string>{"large"};
  cluster.submit(job);
  cluster.run(60);
  EXPECT_TRUE(broke_rule(cluster, "split_replica"));
}

TEST(Checker, SeesTooManyMoving) {
  SimulatedCluster cluster(27);
  begin(cluster);
  const auto job_id = cluster.submit(served(9));
  ASSERT_LT(until_whole(cluster, job_id, 3, 60), 60);
  cluster.rules().moves_checked = true;
  // A leader that stops two at once: as orders of its own they come with its fencing token.
  const auto fencing_token = wire::count_field(cluster.keys().at(wire::kTermKey).data, "n");
  for (const std::uint32_t index : {0U, 3U}) {
    auto& machine = cluster.machines().at(host_of(cluster, job_id, index));
    const auto& task = machine.tasks.at({wire::JobId{job_id}, index});
    const wire::Command stop{wire::CommandType::stop, {wire::JobId{job_id}, index}, task.attempt, 0};
    const wire::Json body{{"fence", fencing_token},
                          {"tenure", machine.agent_epoch},
                          {"orders", wire::to_json(std::vector{stop})}};
    cluster.serve_machine(machine.id, {net::Method::post, "/commands", body.dump()});
  }
  EXPECT_TRUE(broke_rule(cluster, "too_many_moving"));
}

// ---- random days

class ReplicaDay : public testing::TestWithParam<int> {};

TEST_P(ReplicaDay, KeepsTheRulesAndEndsWhole) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  SimulatedCluster cluster(static_cast<std::uint64_t>(GetParam()) + 500);
  const bool upgrade = GetParam() % 4 == 0;
  begin(cluster, 26);
  if (upgrade) {
    cluster.announced = false;
    cluster.crash(0, 1);
    cluster.at(60, [&cluster] {
      cluster.announced = true;
      cluster.crash(0, 1);
    });
  }
  // A lease for what is cut off or hangs, the time to start or to complete, and what faults add to both.
  cluster.rules().half_limit_s = 20 + 30 + 20;
  auto job = served(6);
  job.spec.allows_preemptible = GetParam() % 2 == 1;  // on machines that the cloud takes back
  const auto first = cluster.submit(job);
  const auto second = cluster.submit(served(7, "blue"));
  double next_job = 20;
  double next_fault = 35;
  constexpr double kFaultsEnd = 200;
  while (cluster.now() < kFaultsEnd) {
    cluster.run(std::min(next_job, next_fault));
    ASSERT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
    if (cluster.now() >= next_job) {
      cluster.submit(batch(static_cast<std::uint32_t>(1 + cluster.pick(8)), cluster.uniform(2, 12)));
      next_job = cluster.now() + cluster.uniform(3, 15);
    }
    if (cluster.now() >= next_fault) {
      cluster.random_fault();
      next_fault = cluster.now() + cluster.uniform(3, 25);
    }
  }
  cluster.heal();
  cluster.run(kFaultsEnd + 40);
  cluster.rules().half_limit_s = 20 + 30;
  cluster.run(kFaultsEnd + 200);
  EXPECT_EQ(cluster.whole(first), 2U);
  EXPECT_EQ(cluster.whole(second), 2U);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

INSTANTIATE_TEST_SUITE_P(Seeds, ReplicaDay, testing::Range(1, 25));

}  // namespace
}  // namespace bankhill::sim
