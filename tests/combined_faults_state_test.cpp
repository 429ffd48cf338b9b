// Meetings of docs/MEETINGS.md at the state service: transactions that are carried out late, and a service
// that is slow or refuses.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/jobs.hpp"
#include "sim/transactions.hpp"

namespace bankhill::sim {
namespace {

// Once all is over, or the time is.
void expect_all_over(SimulatedCluster& cluster, double within) {
  run_until_all_over(cluster, within);
  cluster.run(cluster.now() + 10);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  EXPECT_EQ(cluster.leaders(), 1);
  for (const auto& [job_id, job] : cluster.jobs())
    EXPECT_TRUE(over(cluster, job)) << job_id << ": " << job.completed.size() << " of "
                                    << job.spec.task_count;
}

// ---- a transaction without an answer, carried out late

// Whether a later transaction has done what the held one was to do.
bool repeated(SimulatedCluster& cluster) {
  const auto& body = *cluster.state_service().delayed;
  for (const auto& condition : body["when"]) {
    if (condition["k"] == wire::kTermKey) continue;
    const auto found = cluster.keys().find(condition["k"].get<std::string>());
    const auto revision = found == cluster.keys().end() ? 0 : found->second.revision;
    if (revision != condition["stamp"].get<std::uint64_t>()) return true;
  }
  return false;
}

// All keys that it was to create have come and gone again: its conditions are true once more.
bool gone_again(SimulatedCluster& cluster, bool& came) {
  bool there = false;
  for (const auto& write : (*cluster.state_service().delayed)["writes"])
    there = there || cluster.keys().contains(key_of(write));
  came = came || there;
  return came && !there;
}

using Held = std::tuple<int, int>;  // which record, controllers
class LateTransaction : public testing::TestWithParam<Held> {};
INSTANTIATE_TEST_SUITE_P(Records, LateTransaction,
                         testing::Combine(testing::Range(0, 18), testing::Values(3, 5)), [](const auto& of) {
                           return records()[static_cast<std::size_t>(std::get<0>(of.param))].name +
                                  std::string("_") + std::to_string(std::get<1>(of.param));
                         });

// Guards against a write that matters again when a newer one has been made: each kind of record is held back,
// its writer repeats it, and the first copy comes at once after the repetition, some seconds later, or when
// the key is gone once more. Then all controllers end and the next leader reads what is stored.
TEST_P(LateTransaction, ChangesNothingAfterItsRepetition) {
  const auto record = records()[static_cast<std::size_t>(std::get<0>(GetParam()))];
  int moment = 0;  // not on every day is there such a record to hold back
  for (int seed = 40; seed < 52 && moment < 4; ++seed) {
    SCOPED_TRACE("moment " + std::to_string(moment) + ", seed " + std::to_string(seed));
    SimulatedCluster cluster(static_cast<std::uint64_t>(seed), std::get<1>(GetParam()));
    cluster.state_service().delay_next = [&cluster, record](const wire::Json& write) {
      return matches(cluster, record, write);
    };
    deploy_policies(cluster);
    for (const double when : {6.0, 14.0, 40.0, 60.0}) cluster.at(when, [&cluster] { submit_some(cluster); });
    // Machines come and go, and with them their records; starts that may still arrive raise the term.
    for (const double when : {30.0, 50.0}) cluster.at(when, [&cluster] { cluster.kill_machines(0.5); });
    for (const double when : {15.0, 40.5}) cluster.at(when, [&cluster] { cluster.deafen_machines(0.7, 8); });
    bool came = false;
    while (cluster.now() < 150 && !cluster.state_service().delayed) cluster.run(cluster.now() + 0.05);
    if (!cluster.state_service().delayed) continue;
    bool newer = false;
    for (const double limit = cluster.now() + 15; cluster.now() < limit && !newer; newer = repeated(cluster))
      cluster.run(cluster.now() + 0.05);
    if (moment == 1) cluster.run(cluster.now() + 1.5);
    if (moment == 2) cluster.run(cluster.now() + cluster.uniform(2, 12));
    if (moment == 3)
      for (const double limit = cluster.now() + 60; cluster.now() < limit && !gone_again(cluster, came);)
        cluster.run(cluster.now() + 0.1);
    const auto writes = (*cluster.state_service().delayed)["writes"];
    const auto term = [&cluster] {
      const auto found = cluster.keys().find(wire::kTermKey);
      return found == cluster.keys().end() ? 0 : found->second.data["n"].get<int>();
    };
    const int before = term();
    const auto status = cluster.state_service().carry_out_delayed().status;
    for (const auto& write : writes)
      EXPECT_TRUE(status != 200 || key_of(write) != wire::kTermKey || term() > before)
          << "a term begun twice";
    cluster.run(cluster.now() + 20);
    const bool made = std::string(record.what) == "create";
    EXPECT_TRUE(status != 200 || !newer || made) << writes.dump();
    // Made once more, for nobody: it is removed.
    for (const auto& write : writes)
      EXPECT_TRUE(status != 200 || !made || !cluster.keys().contains(key_of(write)))
          << key_of(write) << " is left";
    for (int node = 0; node < cluster.nodes(); ++node) cluster.crash(node, 1);
    cluster.run(std::max(cluster.now() + 5, 65.0));
    expect_all_over(cluster, 120);
    ++moment;
  }
  EXPECT_EQ(moment, 4) << "held back too seldom";
}

class Meeting : public testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(Controllers, Meeting, testing::Values(3, 5));

// Guards against luck in the mass: a part or all of the transactions of every controller come late, also
// those of elections, while users submit, cancel and ask, and the leader ends.
TEST_P(Meeting, TransactionsCarriedOutLate) {
  std::uint64_t late = 0;
  for (const double share : {0.3, 1.0})
    for (int seed = 1; seed <= 4; ++seed) {
      SCOPED_TRACE("share " + std::to_string(share) + ", seed " + std::to_string(seed));
      SimulatedCluster cluster(static_cast<std::uint64_t>(seed), GetParam());
      cluster.run(5);
      submit_some(cluster);
      cluster.run(12 + seed);
      cluster.late_writes(share, 40);
      for (int i = 1; i < 5; ++i) cluster.at(cluster.now() + 8 * i, [&cluster] { submit_some(cluster); });
      cluster.at(cluster.now() + 9 * seed, [&cluster] { cluster.crash(std::max(0, cluster.leader()), 1); });
      cluster.run(70);
      late += cluster.state_service().committed_late;
      expect_all_over(cluster, 170);
    }
  EXPECT_GE(late, 100U);
}

// Guards against an end that a late transaction changes: every `done` of a job, or every cancellation, stays
// without an answer until the other one was told; the last copy of it comes then.
TEST_P(Meeting, OneEndOnly) {
  for (const std::string phase : {"done", "cancelled"})
    for (int seed = 1; seed <= 4; ++seed) {
      SCOPED_TRACE(phase + " comes late, seed " + std::to_string(seed));
      SimulatedCluster cluster(static_cast<std::uint64_t>(seed), GetParam());
      cluster.run(5);
      const auto job_id = cluster.submit(batch(2, 10));
      const auto& job = cluster.jobs().at(job_id);
      const auto over = [&job] { return job.told_done || job.told_cancelled > 0; };
      std::function<bool(const wire::Json&)> end = [&](const wire::Json& write) {
        if (key_of(write) != wire::job_key({job_id}) || write["data"]["phase"] != phase || over())
          return false;
        cluster.at(cluster.now(), [&] { cluster.state_service().delay_next = end; });
        return true;
      };
      cluster.state_service().delay_next = end;
      while (cluster.now() < 60 && (phase == "done" ? !cluster.state_service().delayed : job.begun == 0))
        cluster.run(cluster.now() + 0.1);
      cluster.run(cluster.now() + 2 * seed * (phase == "done" ? 0.1 : 1));
      cluster.cancel(job_id);
      while (cluster.now() < 120 && !over()) cluster.run(cluster.now() + 0.1);
      ASSERT_TRUE(over() && cluster.state_service().delayed);
      EXPECT_EQ(job.told_done, phase != "done");
      EXPECT_EQ(cluster.state_service().carry_out_delayed().status, 409);
      expect_all_over(cluster, 30);
    }
}

// Guards against a controller that waits for ever for a win that never comes: its transaction is lost, its
// lease is renewed, and no other controller can take over.
TEST_P(Meeting, AWinThatIsLostIsTriedAgain) {
  SimulatedCluster cluster(31, GetParam());
  int lost = 0;
  std::function<bool(const wire::Json&)> win = [&](const wire::Json& write) {
    if (key_of(write) != wire::kLeaderKey || lost >= cluster.nodes()) return false;
    ++lost;
    cluster.at(cluster.now() + 0.001, [&] { cluster.state_service().delay_next = win; });
    return true;
  };
  cluster.state_service().delay_next = win;
  for (int node = 1; node < cluster.nodes(); ++node) cluster.crash(node, 120);
  cluster.run(20);
  EXPECT_GE(lost, 1);
  cluster.run(60);
  EXPECT_EQ(cluster.leaders(), 1);
  cluster.run(130);
  submit_some(cluster);
  expect_all_over(cluster, 120);
}

// Guards against a term that is begun twice: the copy of a win that comes when the leader's key has just gone
// and its own lease has not ended.
TEST_P(Meeting, AWinOfBeforeBeginsNoTermAgain) {
  SimulatedCluster cluster(32, GetParam());
  cluster.state_service().delay_next = [](const wire::Json& write) {
    return key_of(write) == wire::kLeaderKey;
  };
  while (cluster.now() < 30 && !cluster.keys().contains(wire::kLeaderKey)) cluster.run(cluster.now() + 0.05);
  ASSERT_TRUE(cluster.state_service().delayed && cluster.keys().contains(wire::kLeaderKey));
  cluster.tamper(wire::kLeaderKey, std::nullopt);
  EXPECT_EQ(cluster.state_service().carry_out_delayed().status, 409);
  cluster.run(cluster.now() + 20);
  submit_some(cluster);
  expect_all_over(cluster, 120);
}

// ---- the state service slow, or refusing the leader and then all

struct Slow {
  double from_s;
  double to_s;
};

// Guards against an answer that comes after its time-out, or is older than it looks: the service takes from
// less to more than each time-out (a second, the lease's renewal, a list, a watch), while users submit,
// cancel and ask, a leader ends and another wins slowly, and a controller reads all keys.
TEST_P(Meeting, TheStateServiceIsSlow) {
  for (const auto& slow : {Slow{0.1, 0.9}, {0.5, 1.5}, {0.9, 1.1}, {0, 3}, {2, 6}, {0, 16}})
    for (int seed = 1; seed <= 3; ++seed) {
      SCOPED_TRACE("slow " + std::to_string(slow.to_s) + ", seed " + std::to_string(seed));
      SimulatedCluster cluster(static_cast<std::uint64_t>(seed), GetParam());
      cluster.run(5);
      submit_some(cluster);
      cluster.run(10 + 3 * seed);
      cluster.slow_state(slow.from_s, slow.to_s, 60);
      for (int i = 1; i < 6; ++i) cluster.at(cluster.now() + 8 * i, [&cluster] { submit_some(cluster); });
      cluster.at(cluster.now() + 10 * seed, [&cluster] { cluster.crash(std::max(0, cluster.leader()), 1); });
      cluster.at(cluster.now() + 15 * seed, [&cluster] { cluster.crash(cluster.pick(cluster.nodes()), 1); });
      const auto term = [&cluster] { return cluster.keys().at(wire::kTermKey).data["n"].get<int>(); };
      const int before = term();
      cluster.run(70);
      EXPECT_TRUE(term() > before || slow.to_s > 1) << "nobody won";
      expect_all_over(cluster, 150);
    }
}

// Guards against a leader that outlives its lease: renewals are carried out at once and answered just before
// they would be given up, then it is cut off and another wins without delay.
TEST_P(Meeting, ALeaseCountsFromWhenItsRenewalWasSent) {
  int followed = 0;
  for (int seed = 1; seed <= 30; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulatedCluster cluster(static_cast<std::uint64_t>(seed), GetParam());
    cluster.run(10);
    const int first = cluster.leader();
    ASSERT_GE(first, 0);
    cluster.slow_state(0.9, 0.98, 1.5);
    cluster.run(11.6);
    cluster.slow_state(0, 0, 0);
    cluster.run(cluster.now() + cluster.uniform(0.5, 0.9));
    cluster.isolate(first, 20);
    cluster.run(18);
    followed += cluster.leader() >= 0 && cluster.leader() != first;
    EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  }
  EXPECT_GE(followed, 20);
}

// Guards against tasks that outlive their cancellation, and against older answers: the service refuses the
// leader alone, then all for up to three times cancel_s, while users cancel and ask.
TEST_P(Meeting, RefusedAloneAndThenAll) {
  for (int seed = 1; seed <= 8; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulatedCluster cluster(static_cast<std::uint64_t>(seed), GetParam());
    cluster.run(5);
    std::vector<std::string> jobs;
    for (int i = 0; i < 10; ++i) jobs.push_back(cluster.submit(batch(2, 300)));
    cluster.run(40);
    const double refused = cluster.uniform(1, 14);
    cluster.refuse(std::max(0, cluster.leader()), refused);
    for (const auto& job_id : jobs)
      cluster.at(cluster.now() + cluster.uniform(0, refused), [&cluster, job_id] { cluster.cancel(job_id); });
    cluster.at(cluster.now() + cluster.uniform(0.8, 1) * refused,
               [&cluster, seed] { cluster.state_outage(15 * seed); });
    cluster.run(cluster.now() + refused + 15 * seed);
    expect_all_over(cluster, 100);
  }
}

}  // namespace
}  // namespace bankhill::sim
