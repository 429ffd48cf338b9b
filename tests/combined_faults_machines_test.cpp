// Meetings of docs/MEETINGS.md at the machines: new ones that are up at once while writes lag, old heartbeats
// that meet a new leader, leaders that change again and again, and nobody there for longer than a lease. With
// three and with five controllers.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>

#include "sim/jobs.hpp"
#include "sim/scenario.hpp"

namespace bankhill::sim {
namespace {

constexpr double kLease = 20;  // of the simulated site
constexpr double kReport = 3;

std::uint64_t term(const SimulatedCluster& cluster) {
  const auto found = cluster.keys().find(wire::kTermKey);
  return found == cluster.keys().end() ? 0 : wire::count_field(found->second.data, "n");
}

std::size_t there(SimulatedCluster& cluster) {
  return static_cast<std::size_t>(
      std::count_if(cluster.machines().begin(), cluster.machines().end(),
                    [](const auto& entry) { return entry.second.up && !entry.second.dead; }));
}

// Tasks that are on machines, as the machines have it.
std::size_t running(SimulatedCluster& cluster) {
  std::size_t count = 0;
  for (const auto& [host, machine] : cluster.machines())
    for (const auto& [task_id, task] : machine.tasks) count += machine.on(task_id, cluster.now(), kLease);
  return count;
}

bool all_done(SimulatedCluster& cluster) {
  return std::all_of(cluster.jobs().begin(), cluster.jobs().end(), [](const auto& entry) {
    const auto& job = entry.second;
    return job.spec.kind != wire::JobKind::array || job.told_done || job.told_cancelled > 0;
  });
}

void expect_well(SimulatedCluster& cluster, const std::string& about) {
  EXPECT_TRUE(cluster.broken().empty()) << about << "\n" << listing(cluster.broken());
  EXPECT_EQ(cluster.leaders(), 1) << about;
  for (const auto& [job_id, job] : cluster.jobs()) {
    EXPECT_TRUE(job.accepted) << about << " " << job_id;
    if (job.spec.kind == wire::JobKind::array) {
      EXPECT_TRUE(job.told_done || job.told_cancelled > 0)
          << about << " " << job_id << ": " << job.completed.size() << " of " << job.spec.task_count;
    } else if (!job.cancel_asked) {
      EXPECT_EQ(cluster.whole(job_id), job.spec.task_count) << about << " " << job_id;
    }
  }
}

// Each at sites of three and of five controllers.
class Machines : public testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(Controllers, Machines, testing::Values(3, 5));

// ---- the checks

TEST(Checker, SeesAMachineThatNobodyOwns) {
  SimulatedCluster cluster(1, 3);
  cluster.rules().unowned_limit_s = 20;
  cluster.run(5);
  const auto host = cluster.stray_machine("za");
  ASSERT_TRUE(run_within(cluster, 20, [&] { return cluster.recorded(host); }));
  cluster.run(cluster.now() + 25);
  ASSERT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  for (auto key = cluster.keys().lower_bound(wire::kMachineKeyPrefix);
       key != cluster.keys().end() && key->first.starts_with(wire::kMachineKeyPrefix);
       key = cluster.keys().lower_bound(wire::kMachineKeyPrefix))
    cluster.tamper(std::string(key->first), std::nullopt);
  cluster.run(cluster.now() + 25);
  ASSERT_EQ(cluster.broken().size(), 1U) << listing(cluster.broken());
  EXPECT_NE(cluster.broken()[0].find("unowned"), std::string::npos) << cluster.broken()[0];
}

// ---- new machines that are up at once, while writes lag and the leader ends

enum class Lag { late, lost, slow, limit };
enum class End { crash, all, handover, freeze };

// By the record: while the state service is slow, it may not be valid at this very moment.
int leader_by_record(const SimulatedCluster& cluster) {
  const auto found = cluster.keys().find(wire::kLeaderKey);
  if (found == cluster.keys().end()) return std::max(0, cluster.leader());
  return wire::parse_leader_record(found->second.data).node.back() - '0';
}

void end_leader(SimulatedCluster& cluster, End how) {
  const int leader = leader_by_record(cluster);
  switch (how) {
    case End::crash:
      return cluster.crash(leader, 2);
    case End::all:
      for (int node = 0; node < cluster.nodes(); ++node) cluster.crash(node, 0.3);
      return;
    case End::handover:
      return cluster.refuse(leader, 8);
    case End::freeze:
      return cluster.freeze(leader, 9);
  }
}

void lag_writes(SimulatedCluster& cluster, Lag how, double seconds) {
  switch (how) {
    case Lag::late:
      return cluster.late_writes(1, seconds);
    case Lag::lost:
      return cluster.late_writes(0.6, seconds);
    case Lag::slow:
      return cluster.slow_state(0.5, 2.5, seconds);
    case Lag::limit:
      cluster.state_service().writes_exhausted = true;
      cluster.at(cluster.now() + seconds, [&cluster] { cluster.state_service().writes_exhausted = false; });
  }
}

class NewMachines : public testing::TestWithParam<std::tuple<int, Lag>> {};
INSTANTIATE_TEST_SUITE_P(Controllers, NewMachines,
                         testing::Combine(testing::Values(3, 5),
                                          testing::Values(Lag::late, Lag::lost, Lag::slow, Lag::limit)));

// Guards against starts on machines that no record names, and machines that nobody knows of: writes lag from
// the moment the cloud has rented, a leader ends when the machines are up and perhaps not recorded, and the
// cloud is out when the next one begins, so that it meets them by their heartbeats.
TEST_P(NewMachines, AreUpBeforeAnyRecordNamesThem) {
  const auto [controllers, lag] = GetParam();
  int unrecorded = 0;
  int seed = 100;
  for (const auto how : {End::crash, End::all, End::handover, End::freeze})
    for (const double after : {0.0, 0.4, 1.2, 4.0}) {
      const auto about = "seed " + std::to_string(++seed) + ", " + std::to_string(after) + " s after";
      SimulatedCluster cluster(static_cast<std::uint64_t>(seed), controllers);
      cluster.cloud().quick_boot_share = 1;
      cluster.cloud().lists_lag = true;
      cluster.cloud().offers_large = false;
      cluster.cloud().machine_limit = 8;
      cluster.rules().unowned_limit_s = 30;
      cluster.run(5);
      auto wide = small_batch(30, 1, 6);  // more than its team may use
      wide.spec.team = "blue";
      cluster.submit(wide);
      cluster.submit(small_service(2, 1));
      ASSERT_TRUE(run_within(cluster, 30, [&] { return !cluster.machines().empty(); })) << about;
      lag_writes(cluster, lag, after + 6);
      ASSERT_TRUE(run_within(cluster, 15, [&] { return there(cluster) > 0; })) << about;
      cluster.run(cluster.now() + after);
      for (const auto& [host, machine] : cluster.machines())
        unrecorded += machine.up && !cluster.recorded(host) ? 1 : 0;
      cluster.cloud_outage(25);
      const auto before = term(cluster);
      end_leader(cluster, how);
      // The next leader has room for them while the cloud says nothing, and writes go again.
      ASSERT_TRUE(run_within(cluster, 20, [&] { return cluster.leader() >= 0 && term(cluster) > before; }))
          << about;
      cluster.run(cluster.now() + 9);
      for (const auto& [host, machine] : cluster.machines())
        EXPECT_TRUE(!machine.up || machine.dead || cluster.recorded(host)) << about << ": " << host;
      run_within(cluster, 120, [&] { return all_done(cluster); });
      cluster.run(cluster.now() + 10);
      expect_well(cluster, about);
      EXPECT_EQ(cluster.starts(), 32U) << about;  // none is lost or repeated
    }
  EXPECT_GT(unrecorded, 5) << "the records were always there in time";
}

// The cloud has answered, and what it answered is not stored when the leader ends: the next one asks under
// the same name. The first one's write comes when that is settled.
TEST_P(Machines, ARentalAnsweredAndNotStored) {
  for (const auto how : {End::crash, End::all, End::handover}) {
    SimulatedCluster cluster(static_cast<std::uint64_t>(200 + GetParam()), GetParam());
    cluster.cloud().quick_boot_share = 1;
    cluster.cloud().lists_lag = true;
    cluster.cloud().offers_large = false;
    cluster.rules().unowned_limit_s = 30;
    cluster.state_service().delay_next = [](const wire::Json& write) {
      return write.value("write", "").starts_with(wire::kRentalKeyPrefix) &&
             write["data"].contains("hosts") && !write["data"]["hosts"].is_null();
    };
    cluster.run(5);
    cluster.submit(small_batch(6, 4, 12));
    ASSERT_TRUE(run_within(cluster, 30, [&] { return cluster.state_service().delayed.has_value(); }));
    const auto before = term(cluster);
    end_leader(cluster, how);
    ASSERT_TRUE(run_within(cluster, 20, [&] { return cluster.leader() >= 0 && term(cluster) > before; }));
    cluster.run(cluster.now() + 3);
    const auto rented = cluster.machines().size();
    EXPECT_EQ(cluster.state_service().carry_out_delayed().status, 409);
    run_within(cluster, 120, [&] { return all_done(cluster); });
    EXPECT_EQ(cluster.starts(), 6U);
    EXPECT_EQ(cluster.machines().size(), rented) << "rented once more";
    for (const auto& [key, entry] : cluster.keys())
      EXPECT_FALSE(key.starts_with(wire::kRentalKeyPrefix)) << key << " is not settled";
    expect_well(cluster, "");
  }
}

// ---- old heartbeats that meet a new leader

// A site of three small machines whose heartbeats of the last minute tell of what is over: tasks that ran and
// are forgotten, a service that was stopped, and a machine's earlier agent epoch, whose service is elsewhere.
struct OldSite {
  SimulatedCluster world;
  std::string service;
  std::string stopped;
  std::string first;
  std::uint64_t starts = 0;  // when all of this is over

  OldSite(std::uint64_t seed, int controllers) : world(seed, controllers) {
    world.cloud().offers_large = false;
    world.cloud().machine_limit = 3;
    world.rules().unowned_limit_s = 30;
    world.run(5);
    service = world.submit(small_service(2, 2));
    stopped = world.submit(small_service(1, 3));
    first = world.submit(small_batch(3, 1, 4));
  }
  bool settle() {
    if (!run_within(world, 90, [&] { return world.whole(service) == 2 && running(world) >= 3; }))
      return false;
    world.run(world.now() + 2);
    // A machine hangs until its agent epoch is over; its service goes elsewhere.
    for (auto& [host, machine] : world.machines())
      if (machine.on({{service}, 0}, world.now(), kLease)) machine.hung_until = world.now() + kLease + 4;
    world.cancel(stopped);
    world.run(world.now() + kLease + 6);
    const bool well = run_within(world, 60, [&] {
      return world.whole(service) == 2 && world.jobs().at(first).told_done &&
             world.jobs().at(stopped).told_cancelled > 0;
    });
    world.run(world.now() + 6);
    starts = world.starts();
    return well && world.whole(service) == 2;
  }
  // Where the members of the service run.
  std::set<std::string> places() {
    std::set<std::string> hosts;
    for (const auto& [host, machine] : world.machines())
      for (const auto& [task_id, task] : machine.tasks)
        if (task_id.job.value == service && machine.on(task_id, world.now(), kLease))
          hosts.insert(task_id.text() + "@" + host + "#" + std::to_string(task.attempt.value));
    return hosts;
  }
};

// Guards against a leader that takes for true what was, before a stop, a forget, an exit or an agent epoch's
// end, as it knows no counters yet: copies of all reports of the last minute come at every controller, or at
// the winner alone, as it begins; and those sent under it are kept for the one after it.
TEST_P(Machines, OldReportsComeAsALeaderBegins) {
  int seed = 300;
  std::uint64_t copies = 0;
  for (const auto how : {End::crash, End::all, End::handover})
    for (const bool everywhere : {true, false}) {
      const auto about = "seed " + std::to_string(++seed);
      OldSite site(static_cast<std::uint64_t>(seed), GetParam());
      auto& cluster = site.world;
      ASSERT_TRUE(site.settle()) << about << listing(cluster.broken());
      const auto places = site.places();
      for (int change = 0; change < 3; ++change) {
        // Of a minute, then of what the last leader was told, then of both.
        const bool recent = change == 1;
        cluster.copies_at_win(1, recent ? cluster.now() : 0, recent ? 1 : 4, everywhere);
        if (recent) cluster.run(cluster.now() + 6);
        const auto before = term(cluster);
        end_leader(cluster, how);
        ASSERT_TRUE(run_within(cluster, 30, [&] { return cluster.leader() >= 0 && term(cluster) > before; }))
            << about;
        cluster.run(cluster.now() + 12);
        EXPECT_EQ(site.places(), places) << about << ", change " << change;
        EXPECT_EQ(cluster.starts(), site.starts) << about << ", change " << change << ": started again";
      }
      // What was said to be there takes no room.
      cluster.submit(small_batch(4, 2, 3));
      EXPECT_TRUE(run_within(cluster, 15, [&] { return cluster.starts() == site.starts + 4; })) << about;
      EXPECT_TRUE(run_within(cluster, 30, [&] { return all_done(cluster); })) << about;
      expect_well(cluster, about);
      copies += cluster.copies();
    }
  EXPECT_GT(copies, 1000U);
}

// Heartbeats that tell of exits, of a new agent epoch and of nothing new are held back until the next leader
// has asked the machine, stored or placed something, and come there then: from at once to a lease after its
// win.
TEST_P(Machines, AReportHeldBackUntilANewLeaderHasActed) {
  int seed = 400;
  std::uint64_t held = 0;
  for (const auto how : {End::crash, End::all, End::handover})
    for (const double after : {0.3, 1.5, 5.0, 0.9 * kLease, 1.5 * kLease}) {
      const auto about = "seed " + std::to_string(++seed) + ", " + std::to_string(after) + " s after";
      SimulatedCluster cluster(static_cast<std::uint64_t>(seed), GetParam());
      cluster.cloud().offers_large = false;
      cluster.cloud().machine_limit = 3;
      cluster.rules().unowned_limit_s = 30;
      cluster.run(5);
      const auto service = cluster.submit(small_service(1, 1));
      const auto long_one = cluster.submit(small_batch(1, 1, 45));
      const auto jobs = {cluster.submit(small_batch(6, 1, 6)), cluster.submit(small_batch(3, 2, 7))};
      ASSERT_TRUE(run_within(cluster, 90, [&] { return cluster.starts() >= 8; })) << about;
      const auto ending = [&] {
        return std::any_of(jobs.begin(), jobs.end(), [&](const std::string& job_id) {
          return !cluster.jobs().at(job_id).completed.empty();
        });
      };
      run_within(cluster, 30, ending);
      cluster.hold_reports(1, 3, after);
      cluster.run(cluster.now() + 2.5);
      const auto before = term(cluster);
      end_leader(cluster, how);
      ASSERT_TRUE(run_within(cluster, 30, [&] { return cluster.leader() >= 0 && term(cluster) > before; }))
          << about;
      // It acts: what was held tells of tasks that are gone, and knows nothing of these.
      cluster.submit(small_batch(4, 1, 5));
      if (seed % 2 == 0) cluster.cancel(long_one);
      cluster.run(cluster.now() + after + 6);
      EXPECT_TRUE(run_within(cluster, 90, [&] { return all_done(cluster); })) << about;
      EXPECT_EQ(cluster.starts(), 15U) << about << ": lost or started again";
      EXPECT_EQ(cluster.whole(service), 1U) << about;
      expect_well(cluster, about);
      held += cluster.late_reports();
    }
  EXPECT_GT(held, 20U);
}

// ---- leaders change again and again

// Ten changes in two minutes, of all kinds, in the second half of the days within an outage of the state
// service too. What each term has to wait for is counted from its own begin: services are back within a
// lease and the time of a boot after the last change, and nothing waits 90 s after it.
class Changes : public testing::TestWithParam<std::tuple<int, int>> {};
INSTANTIATE_TEST_SUITE_P(Controllers, Changes, testing::Combine(testing::Values(3, 5), testing::Range(0, 6)));

TEST_P(Changes, TenInTwoMinutes) {
  const auto [controllers, day] = GetParam();
  const bool outage = day % 2 == 1;
  SimulatedCluster cluster(static_cast<std::uint64_t>(500 + 10 * controllers + day), controllers);
  cluster.cloud().offers_large = false;
  cluster.rules().unowned_limit_s = 60;
  cluster.run(5);
  const auto service = cluster.submit(small_service(3, 2));
  auto guest = small_service(2, 1);
  guest.spec.team = "blue";
  const auto other = cluster.submit(guest);
  cluster.submit(small_batch(6, 1, 40));
  ASSERT_TRUE(
      run_within(cluster, 90, [&] { return cluster.whole(service) == 3 && cluster.whole(other) == 2; }));
  cluster.run(cluster.now() + 5);
  const double begin = cluster.now();
  std::vector<std::string> cancelled;
  const auto terms = term(cluster);
  int changes = 0;
  for (int change = 0; change < 10; ++change) {
    cluster.at(begin + 12 * change, [&, change] {
      if (cluster.leader() < 0) cluster.crash(change % cluster.nodes(), 0.5);
      if (cluster.leader() >= 0) end_leader(cluster, static_cast<End>((change + day) % 4));
      ++changes;
    });
    // Submitted and cancelled in between; some machines are not to be reached for a part of it.
    cluster.at(begin + 12 * change + 4, [&, change] {
      cluster.submit(small_batch(2, 1, 5));
      auto job = small_batch(2, 2, 300);
      job.spec.team = change % 2 == 0 ? "blue" : "red";
      cancelled.push_back(cluster.submit(job));
    });
    cluster.at(begin + 12 * change + 9 + 0.3 * day, [&, change] {
      if (change > 0) cluster.cancel(cancelled[static_cast<std::size_t>(change) - 1]);
    });
    if (day >= 2 && change % 3 == 0)
      cluster.at(begin + 12 * change + 1, [&cluster, day = day] {
        if (day < 4)
          cluster.deafen_machines(0.5, 9);
        else
          cluster.hang_machines(0.4, 9);
      });
  }
  if (outage) cluster.at(begin + 30, [&cluster] { cluster.state_outage(45); });
  const double last = begin + 108;
  cluster.run(last + 9);  // the longest of the ends is over
  for (const auto& job_id : cancelled) cluster.cancel(job_id);
  EXPECT_TRUE(run_within(cluster, last + kLease + 16 - cluster.now(),
                         [&] { return cluster.whole(service) == 3 && cluster.whole(other) == 2; }))
      << "services: " << cluster.whole(service) << " and " << cluster.whole(other);
  cluster.run(last + 90);
  EXPECT_EQ(changes, 10);
  EXPECT_GE(term(cluster), terms + (outage ? 5 : 9));
  expect_well(cluster, "");
}

// ---- nobody there for longer than a lease

enum class Away { crash, outage };
class NobodyThere : public testing::TestWithParam<std::tuple<int, Away>> {};
INSTANTIATE_TEST_SUITE_P(Controllers, NobodyThere,
                         testing::Combine(testing::Values(3, 5), testing::Values(Away::crash, Away::outage)));

// All tasks were killed by their leases. None of them is taken for running, none is started twice, and the
// machines that are there are used again, none rented in their place. Adds what was started and lost again.
void nobody_there(int controllers, Away how, std::uint64_t& lost) {
  int seed = 600;
  for (const double away : {1.15, 2.0, 4.0})
    for (const bool hung : {false, true}) {
      const auto about = "seed " + std::to_string(++seed) + ", " + std::to_string(away) + " leases";
      SimulatedCluster cluster(static_cast<std::uint64_t>(seed), controllers);
      cluster.cloud().offers_large = false;
      cluster.cloud().machine_limit = 4;
      cluster.rules().unowned_limit_s = 30;
      cluster.run(5);
      const auto service = cluster.submit(small_service(3, 1));
      const auto long_job = cluster.submit(small_batch(8, 1, 100));
      const auto short_job = cluster.submit(small_batch(2, 1, 5));
      ASSERT_TRUE(run_within(cluster, 90, [&] {
        return running(cluster) == 11 && all_done(cluster) == false && cluster.jobs().at(short_job).told_done;
      })) << about;
      cluster.run(cluster.now() + 3);
      const auto starts = cluster.starts();
      std::set<std::string> hosts;
      for (const auto& [host, machine] : cluster.machines()) hosts.insert(host);
      const double gone = away * kLease;
      // Some hang over the end of their leases, and for a while under the next leader.
      if (hung) cluster.hang_machines(0.5, gone + 3);
      if (how == Away::crash)
        for (int node = 0; node < cluster.nodes(); ++node) cluster.crash(node, gone);
      else
        cluster.state_outage(gone);
      cluster.run(cluster.now() + gone - 0.1);
      EXPECT_EQ(running(cluster), 0U) << about;
      EXPECT_EQ(cluster.starts(), starts) << about;
      const double back = cluster.now() + 0.1;
      // From 3 s after they are back, or a machine has gone on, the lag of a state, nothing is told to run
      // that does not.
      std::size_t told_wrong = 0;
      for (double asked = hung ? 6.5 : 3.5; asked < 8; asked += 0.5) {
        cluster.run(back + asked);
        const auto answer = cluster.ask(0, {net::Method::get, "/submissions/" + long_job, ""});
        if (answer.status != 200) continue;
        std::size_t on = 0;
        for (const auto& [host, machine] : cluster.machines())
          for (const auto& [task_id, task] : machine.tasks) on += task_id.job.value == long_job;
        told_wrong += wire::Json::parse(answer.body)["running"].get<std::size_t>() > on;
      }
      EXPECT_EQ(told_wrong, 0U) << about;
      const double within = (hung ? kLease : 0) + 14;
      EXPECT_TRUE(run_within(cluster, back + within - cluster.now(), [&] { return running(cluster) == 11; }))
          << about << ": " << running(cluster) << " run";
      EXPECT_GE(cluster.starts(), starts + 11) << about;
      lost += cluster.starts() - starts - 11;
      EXPECT_EQ(cluster.jobs().at(service).completed.size(), 0U);
      for (const auto& [host, machine] : cluster.machines())
        EXPECT_TRUE(hung || hosts.contains(host)) << about << ": " << host << " was rented";
      EXPECT_TRUE(run_within(cluster, 130, [&] { return all_done(cluster); })) << about;
      expect_well(cluster, about);
    }
}

TEST_P(NobodyThere, ForLongerThanALease) {
  const auto [controllers, how] = GetParam();
  std::uint64_t lost = 0;
  nobody_there(controllers, how, lost);
}

// Commands renew no lease: what is started on a machine whose agent epoch began while nobody was there may be
// lost with its lease a moment later.
TEST(NobodyBack, LosesNoStartToALeaseThatEnds) {
  std::uint64_t lost = 0;
  for (const int controllers : {3, 5})
    for (const auto how : {Away::crash, Away::outage}) nobody_there(controllers, how, lost);
  EXPECT_EQ(lost, 0U);
}

}  // namespace
}  // namespace bankhill::sim
