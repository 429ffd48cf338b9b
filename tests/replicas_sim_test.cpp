// Replicas that span machines on simulated sites: several controllers, machines that die, hang, are sick or
// taken back, and every rule checked after each step.
#include <gtest/gtest.h>

#include "sim/scenario.hpp"
#include "sim/world.hpp"

namespace bankhill::sim {
namespace {

constexpr std::uint32_t kSpan = 3;
constexpr double kHalf = 9;  // paces and all: a member's end is known and its peers are stopped

// A model that is served: each member takes a machine of its own of the smaller type.
SimJob served(std::uint32_t members, const std::string& owner = "red") {
  SimJob job;
  job.spec.queue = "serve";
  job.spec.owner = owner;
  job.spec.shape = wire::Shape::daemon;
  job.spec.rank = wire::Rank::production;
  job.spec.members = members;
  job.spec.need = {3, 0, 2};
  job.spec.flavors = std::vector<std::string>{"small"};
  job.spec.bundle = "weights";
  job.spec.size_gb = 1;
  job.kept = true;
  return job;
}

SimJob batch(std::uint32_t members, double run_s) {
  auto job = served(members, "blue");
  job.spec.queue = "any";
  job.spec.shape = wire::Shape::sweep;
  job.spec.rank = wire::Rank::best_effort;
  job.spec.need = {1, 0, 1};
  job.spec.bundle = "img-1";
  job.spec.guess_s = job.run_s = run_s;
  return job;
}

void begin(World& world, int machines = 24) {
  world.spans["serve"] = kSpan;
  world.cloud().machine_limit = machines;
  for (int node = 0; node < world.nodes(); ++node) world.crash(node, 0);
  world.run(5);
}

// The machine that a member runs on; empty if none.
std::string host_of(World& world, const std::string& uid, std::uint32_t index) {
  for (const auto& [host, machine] : world.machines())
    if (machine.on({wire::JobId{uid}, index}, world.now(), 20)) return host;
  return {};
}

// Runs until so many replicas are whole, returns how long that took; a large number if it never was.
double until_whole(World& world, const std::string& uid, std::uint32_t count, double most) {
  const double began = world.now();
  while (world.now() < began + most) {
    if (world.whole(uid) >= count) return world.now() - began;
    world.run(world.now() + 0.25);
  }
  return 1e9;
}

TEST(ReplicaScenario, StartsAsOne) {
  World world(3);
  begin(world);
  world.rules().half_limit_s = kHalf;
  const auto uid = world.submit(served(7));
  EXPECT_LT(until_whole(world, uid, 2, 60), 40);
  world.run(90);
  EXPECT_EQ(world.starts(), 6U) << "the seventh makes no replica";
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// Without an entry a service is placed member by member, as ever.
TEST(ReplicaScenario, WithoutAnEntryNothingChanges) {
  World world(3);
  begin(world);
  auto job = served(7);
  job.spec.queue = "any";
  world.submit(job);
  world.run(60);
  EXPECT_EQ(world.starts(), 7U);
}

TEST(ReplicaScenario, ADeadMachineIsReplacedAndTheRestStaysWhereTheWeightsAre) {
  World world(5);
  begin(world);
  const auto uid = world.submit(served(6));
  ASSERT_LT(until_whole(world, uid, 2, 60), 60);
  world.submit(batch(1, 1));
  world.run(world.now() + 10);
  world.rules().half_limit_s = kHalf;
  std::set<std::string> before;
  for (std::uint32_t i = 0; i < kSpan; ++i) before.insert(host_of(world, uid, i));
  const auto starts = world.starts();
  world.machines().at(host_of(world, uid, 1)).dead = true;
  world.run(world.now() + 1);
  EXPECT_LT(until_whole(world, uid, 2, 90), 45);
  EXPECT_EQ(world.starts(), starts + kSpan);
  std::size_t stayed = 0;
  for (std::uint32_t i = 0; i < kSpan; ++i) stayed += before.contains(host_of(world, uid, i)) ? 1 : 0;
  EXPECT_GE(stayed, kSpan - 1);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// A hang longer than the lease, and one that ends just before: never two of one member.
TEST(ReplicaScenario, AHangingMachineEndsAllOfItsReplica) {
  for (const double seconds : {8.0, 18.0, 30.0}) {
    World world(7);
    begin(world);
    const auto uid = world.submit(served(6));
    ASSERT_LT(until_whole(world, uid, 2, 60), 60);
    world.rules().half_limit_s = kHalf + 21;  // a hanging machine holds its member until its lease is over
    world.machines().at(host_of(world, uid, 4)).hung_until = world.now() + seconds;
    world.run(world.now() + 1);
    world.run(world.now() + 80);
    EXPECT_EQ(world.whole(uid), 2U);
    EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  }
}

// A machine that fails each start is found out, and the replica is whole without it.
TEST(ReplicaScenario, ASickMachineDoesNotKeepItDown) {
  World world(9);
  begin(world);
  const auto uid = world.submit(served(6));
  ASSERT_LT(until_whole(world, uid, 2, 60), 60);
  const auto sick = host_of(world, uid, 0);
  world.machines().at(sick).sick = true;
  // Its member ends, as one that has just been started there does.
  auto& task = world.machines().at(sick).tasks.at({wire::JobId{uid}, 0});
  task.phase = wire::MemberPhase::exited;
  task.cause = wire::ExitCause::error;
  world.run(world.now() + 2);
  world.rules().half_limit_s = kHalf;
  EXPECT_LT(until_whole(world, uid, 2, 90), 60);
  for (std::uint32_t i = 0; i < kSpan; ++i) EXPECT_NE(host_of(world, uid, i), sick);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// The cloud takes a machine back: the replica is elsewhere before it does, and starts as one.
TEST(ReplicaScenario, ANoticeMovesItAsOne) {
  World world(11);
  begin(world);
  auto job = served(6);
  job.spec.flavors.reset();
  const auto uid = world.submit(job);
  ASSERT_LT(until_whole(world, uid, 2, 60), 60);
  world.submit(batch(12, 200));  // brings machines with room
  world.run(world.now() + 40);
  world.rules().half_limit_s = kHalf;
  world.rules().moves_checked = true;
  auto& machine = world.machines().at(host_of(world, uid, 1));
  const auto taken = machine.host;
  machine.taken_at = world.now() + 12;
  machine.report_wanted = true;
  const auto starts = world.starts();
  world.run(world.now() + 11);
  EXPECT_EQ(world.whole(uid), 2U);
  EXPECT_NE(host_of(world, uid, 1), taken);
  // The other one had a member there too, or not.
  EXPECT_GE(world.starts() - starts, kSpan);
  EXPECT_EQ((world.starts() - starts) % kSpan, 0U);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// All controllers end when some members run and others still fetch their image.
TEST(ReplicaScenario, AllControllersCrashInTheMiddleOfAStart) {
  for (const int seed : {13, 14, 15, 16}) {
    World world(static_cast<std::uint64_t>(seed));
    begin(world);
    world.rules().half_limit_s = 20 + 30;  // a lease and the time to start
    const auto uid = world.submit(served(9));
    while (world.starts() < 1 + static_cast<std::uint64_t>(seed - 13) && world.now() < 60)
      world.run(world.now() + 0.02);
    ASSERT_LT(world.now(), 60);
    for (int node = 0; node < world.nodes(); ++node) world.crash(node, 0.5 + node);
    // One of the machines does not come through it.
    if (seed % 2 == 0) world.kill_machine();
    EXPECT_LT(until_whole(world, uid, 3, 120), 100) << "seed " << seed;
    EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  }
}

// The leader ends when a move has stopped members and started none elsewhere.
TEST(ReplicaScenario, ALeaderIsReplacedBetweenStopAndStart) {
  for (const int seed : {17, 18, 19}) {
    World world(static_cast<std::uint64_t>(seed));
    begin(world);
    auto job = served(6);
    job.spec.flavors.reset();
    const auto uid = world.submit(job);
    ASSERT_LT(until_whole(world, uid, 2, 60), 60);
    world.submit(batch(12, 200));
    world.run(world.now() + 40);
    world.rules().half_limit_s = 20 + 30;
    auto& machine = world.machines().at(host_of(world, uid, 1));
    machine.taken_at = world.now() + 25;
    machine.report_wanted = true;
    const auto stops = world.service_stops;
    const double until = world.now() + 20;
    while (world.service_stops == stops && world.now() < until) world.run(world.now() + 0.0005);
    ASSERT_GT(world.service_stops, stops);
    world.crash(world.leader(), 5);
    world.run(world.now() + 1);
    EXPECT_LT(until_whole(world, uid, 2, 120), 80) << "seed " << seed;
    EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  }
}

// A start is held back on its way to one machine until the replica has gone elsewhere.
TEST(ReplicaScenario, AStartArrivesAfterItWentElsewhere) {
  World world(21);
  begin(world);
  world.submit(batch(20, 15));
  world.run(35);
  // Machines are there, idle: what comes now is started by direct orders, which are held, and with the
  // answers to reports. One machine hangs before it reports; it cannot be released, and so goes on later.
  const auto leader = world.leader();
  ASSERT_GE(leader, 0);
  for (const auto& [host, machine] : world.machines())
    world.cut("node-" + std::to_string(leader), host, 70, true);
  const auto uid = world.submit(served(3));
  std::string held;
  while (held.empty() && world.now() < 45) {
    world.run(world.now() + 0.01);
    for (const auto& host : world.awaited_starts())
      if (world.machines().at(host).tasks.empty()) held = host;
  }
  ASSERT_FALSE(held.empty());
  world.machines().at(held).hung_until = world.now() + 16;
  world.cloud_outage(30);
  world.rules().half_limit_s = 20 + 30;
  EXPECT_LT(until_whole(world, uid, 1, 60), 60);
  EXPECT_TRUE(world.awaited_starts().contains(held)) << "the start is not late";
  world.run(world.now() + 110);
  EXPECT_EQ(world.whole(uid), 1U);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// Placed member by member by a version that knows no replicas, it is put right one by one, never all down.
TEST(ReplicaScenario, AnUpgradePutsRightWhatWasPlacedOneByOne) {
  World world(22);
  world.spanning = false;
  begin(world);
  auto job = served(6);
  job.spec.flavors = std::vector<std::string>{"large"};  // several members a machine
  job.spec.need = {4, 0, 2};
  const auto uid = world.submit(job);
  world.run(60);
  ASSERT_EQ(world.starts(), 6U);
  std::set<std::string> hosts;
  for (std::uint32_t i = 0; i < 6; ++i) hosts.insert(host_of(world, uid, i));
  ASSERT_LT(hosts.size(), 6U);
  world.spanning = true;
  for (int node = 0; node < world.nodes(); ++node) {
    world.crash(node, 1);
    world.run(world.now() + 6);
  }
  std::uint32_t least = 2;
  for (const double until = world.now() + 150; world.now() < until; world.run(world.now() + 0.5))
    least = std::min(least, world.whole(uid));
  EXPECT_GE(least, 1U) << "none served";
  for (std::uint32_t replica = 0; replica < 2; ++replica) {
    hosts.clear();
    for (std::uint32_t i = 0; i < kSpan; ++i) hosts.insert(host_of(world, uid, replica * kSpan + i));
    EXPECT_EQ(hosts.size(), kSpan);
    EXPECT_FALSE(hosts.contains(""));
  }
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// The policy gets an entry for a class that runs, and loses it again.
TEST(ReplicaScenario, ThePolicyChangesWhileItRuns) {
  World world(23);
  begin(world);
  world.spans.clear();
  const auto uid = world.submit(served(7));
  world.run(60);
  ASSERT_EQ(world.starts(), 7U);
  world.spans["serve"] = kSpan;
  world.run(100);
  EXPECT_EQ(world.whole(uid), 2U);
  world.spans.clear();
  auto more = served(2);
  world.submit(more);
  world.run(150);
  EXPECT_GE(world.starts(), 9U);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// Batches fill every machine with short tasks that follow one another: a replica gets its room all the same.
TEST(ReplicaScenario, SmallWorkDoesNotPassItForEver) {
  World world(24);
  begin(world, 6);
  for (int i = 0; i < 40; ++i) {
    auto job = batch(24, 6);
    job.spec.rank = wire::Rank::production;  // not to be stopped for it
    world.submit(job);
  }
  world.run(40);
  const auto uid = world.submit(served(3));
  EXPECT_LT(until_whole(world, uid, 1, 150), 100);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// ---- the checker itself

TEST(Checker, SeesAHalfReplica) {
  World world(25);
  begin(world);
  const auto uid = world.submit(served(3));
  ASSERT_LT(until_whole(world, uid, 1, 60), 60);
  world.rules().half_limit_s = kHalf;
  world.spanning = false;  // the next leader knows of no replicas
  for (int node = 0; node < world.nodes(); ++node) world.crash(node, 0.5);
  world.run(world.now() + 10);
  world.cloud().machine_limit = 0;
  const auto lost = host_of(world, uid, 1);
  for (auto& [host, machine] : world.machines())  // nor is there room elsewhere
    machine.dead = machine.dead || host == lost || machine.tasks.empty();
  world.run(world.now() + 30);
  EXPECT_TRUE(broke_rule(world, "half_replica"));
}

TEST(Checker, SeesASplitReplica) {
  World world(26);
  world.spanning = false;
  world.rules().split_seen = true;
  begin(world);
  auto job = served(3);
  job.spec.flavors = std::vector<std::string>{"large"};
  world.submit(job);
  world.run(60);
  EXPECT_TRUE(broke_rule(world, "split_replica"));
}

TEST(Checker, SeesTooManyMoving) {
  World world(27);
  begin(world);
  const auto uid = world.submit(served(9));
  ASSERT_LT(until_whole(world, uid, 3, 60), 60);
  world.rules().moves_checked = true;
  // A leader that stops two at once: as orders of its own they come with its fence.
  const auto fence = wire::count_field(world.keys().at(wire::kTermKey).data, "n");
  for (const std::uint32_t index : {0U, 3U}) {
    auto& machine = world.machines().at(host_of(world, uid, index));
    const auto& task = machine.tasks.at({wire::JobId{uid}, index});
    const wire::Order stop{wire::Verb::stop, {wire::JobId{uid}, index}, task.try_no, 0};
    const wire::Json body{
        {"fence", fence}, {"tenure", machine.tenure}, {"orders", wire::to_json(std::vector{stop})}};
    world.serve_machine(machine.host, {net::Method::post, "/commands", body.dump()});
  }
  EXPECT_TRUE(broke_rule(world, "too_many_moving"));
}

// ---- random days

class ReplicaDay : public testing::TestWithParam<int> {};

TEST_P(ReplicaDay, KeepsTheRulesAndEndsWhole) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  World world(static_cast<std::uint64_t>(GetParam()) + 500);
  const bool upgrade = GetParam() % 4 == 0;
  begin(world, 26);
  if (upgrade) {
    world.announced = false;
    world.crash(0, 1);
    world.at(60, [&world] {
      world.announced = true;
      world.crash(0, 1);
    });
  }
  // A lease for what is cut off or hangs, the time to start or to complete, and what faults add to both.
  world.rules().half_limit_s = 20 + 30 + 20;
  auto job = served(6);
  job.spec.reclaimable = GetParam() % 2 == 1;  // on machines that the cloud takes back
  const auto first = world.submit(job);
  const auto second = world.submit(served(7, "blue"));
  double next_job = 20;
  double next_fault = 35;
  constexpr double kFaultsEnd = 200;
  while (world.now() < kFaultsEnd) {
    world.run(std::min(next_job, next_fault));
    ASSERT_TRUE(world.broken().empty()) << listing(world.broken());
    if (world.now() >= next_job) {
      world.submit(batch(static_cast<std::uint32_t>(1 + world.pick(8)), world.uniform(2, 12)));
      next_job = world.now() + world.uniform(3, 15);
    }
    if (world.now() >= next_fault) {
      world.random_fault();
      next_fault = world.now() + world.uniform(3, 25);
    }
  }
  world.heal();
  world.run(kFaultsEnd + 40);
  world.rules().half_limit_s = 20 + 30;
  world.run(kFaultsEnd + 200);
  EXPECT_EQ(world.whole(first), 2U);
  EXPECT_EQ(world.whole(second), 2U);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

INSTANTIATE_TEST_SUITE_P(Seeds, ReplicaDay, testing::Range(1, 25));

}  // namespace
}  // namespace bankhill::sim
