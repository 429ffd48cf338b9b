// The cancellation in the gap (docs/MEETINGS.md, invariant 34): the state service refuses the leader alone,
// another controller confirms cancellations, then the service is down for all, while workers still report to
// the old leader. Whatever coincides, the tasks are gone within cancel_s of the confirmation.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>

#include "sim/jobs.hpp"

namespace bankhill::sim {
namespace {

// In the operators' ratios: a worker's lease is most of what a cancellation has.
constexpr Timing kTiming{10, 44, 69};
constexpr double kRefused = 14;

struct Site {
  SimulatedCluster world;
  std::vector<std::string> cancelled;
  std::string service;
  int old_leader = -1;

  Site(std::uint64_t seed, int controllers) : world(seed, controllers, kTiming) {
    world.cloud().offers_large = false;
    world.run(5);
    for (int i = 0; i < 6; ++i) cancelled.push_back(world.submit(kept_batch(3, 1, 2000)));
    service = world.submit(kept_service(2, 1));
    world.run(70);
    old_leader = world.leader();
  }
  // Users withdraw through the controllers that are served, until they are told.
  void cancel_all() {
    for (const auto& job_id : cancelled) world.cancel(job_id);
  }
  int confirmed() {
    int count = 0;
    for (const auto& job_id : cancelled) count += world.jobs().at(job_id).told_cancelled > 0;
    return count;
  }
  void expect_well_after() {
    for (int node = 0; node < world.nodes(); ++node) world.refuse(node, 0);
    world.heal();
    world.run(world.now() + 160);
    EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
    EXPECT_EQ(confirmed(), static_cast<int>(cancelled.size()));
    EXPECT_EQ(world.leaders(), 1);
    EXPECT_EQ(world.whole(service), 2U) << "its service is not back";
  }
};

// Refusal before, at and after the confirmation; the outage from the same moment up to half a lease later, up
// to three times as long as a cancellation may take; a second refusal and outage as the machines are being
// confirmed after the first, when every lease has its full time again.
class Gap : public testing::TestWithParam<int> {};

TEST_P(Gap, TheCancelledAreGoneInTime) {
  int confirmed = 0;
  for (const double asked_after : {-0.3, 0.0, 0.5, 1.7}) {
    const auto draw = static_cast<unsigned>(GetParam()) + static_cast<unsigned>(10 * (asked_after + 1));
    Site site(static_cast<std::uint64_t>(GetParam()), GetParam() % 2 == 0 ? 5 : 3);
    auto& cluster = site.world;
    ASSERT_GE(site.old_leader, 0);
    const double refused = cluster.now() + 1;
    cluster.at(refused, [&] { cluster.refuse(site.old_leader, kRefused); });
    cluster.at(refused + asked_after, [&] { site.cancel_all(); });
    const double gap = std::array{0.2, 1.0, 2.0, 6.0, 30.0}[draw % 5];
    const double length = kTiming.cancel_s * std::array{0.4, 0.6, 1.2, 3.0}[draw % 4];
    const double down = refused + std::max(0.0, asked_after) + gap;
    cluster.at(down, [&cluster, length] { cluster.state_outage(length); });
    // A controller stands still in the middle of an answer.
    if (draw % 3 == 0) cluster.at(down - 0.1, [&] { cluster.freeze(site.old_leader, 3 + draw % 30); });
    const double again = down + length + std::array{0.5, 2.0, 8.0}[draw % 3];
    cluster.at(again, [&cluster] {
      cluster.refuse(std::max(0, cluster.leader()), kRefused);
      cluster.at(cluster.now() + 1.5, [&cluster] { cluster.state_outage(1.2 * kTiming.cancel_s); });
    });
    cluster.run(down - 0.01);
    confirmed += site.confirmed();
    cluster.run(again + 1.3 * kTiming.cancel_s);
    ASSERT_TRUE(cluster.broken().empty()) << asked_after << " " << listing(cluster.broken());
    site.expect_well_after();
  }
  EXPECT_GT(confirmed, 0) << "none was confirmed before the outage";
}

INSTANTIATE_TEST_SUITE_P(Seeds, Gap, testing::Range(1, 13));

// Every moment of the cancellation from half a second before to half a second after the refusal; a second
// after the refusal the service is out for longer than a cancellation may take.
TEST(GapScenario, EveryMomentOfTheCancellation) {
  constexpr double kStep = 0.05;
  for (const int controllers : {3, 5})
    for (const std::uint64_t seed : {1, 2, 3}) {
      SimulatedCluster cluster(seed, controllers, kTiming);
      cluster.cloud().offers_large = false;
      cluster.run(5);
      std::vector<std::string> uids;
      for (int i = 0; i <= 20; ++i) uids.push_back(cluster.submit(kept_batch(2, 0.5, 2000)));
      cluster.run(70);
      const int old_leader = cluster.leader();
      ASSERT_GE(old_leader, 0);
      const double refused = cluster.now() + 1;
      cluster.at(refused, [&] { cluster.refuse(old_leader, kRefused); });
      for (std::size_t i = 0; i < uids.size(); ++i)
        cluster.at(refused - 0.5 + kStep * static_cast<double>(i),
                   [&cluster, job_id = uids[i]] { cluster.cancel(job_id); });
      cluster.at(refused + 1, [&] { cluster.state_outage(1.2 * kTiming.cancel_s); });
      cluster.run(refused + 1);
      const auto told = std::count_if(uids.begin(), uids.end(), [&](const std::string& job_id) {
        return cluster.jobs().at(job_id).told_cancelled > 0;
      });
      EXPECT_GE(told, 8) << "too few were confirmed before the outage";
      cluster.run(refused + 3.2 * kTiming.cancel_s);
      ASSERT_TRUE(cluster.broken().empty()) << controllers << " " << seed << " " << listing(cluster.broken());
      EXPECT_EQ(cluster.leaders(), 1);
      for (const auto& job_id : uids) EXPECT_GT(cluster.jobs().at(job_id).told_cancelled, 0) << job_id;
    }
}

// The leader's lease outlives the outage, since every lease has its full time again, and is renewed; its read
// barriers alone get no answer. Until one does it must not go on by what it knew before.
TEST(GapScenario, ALeaseThatOutlivesTheOutageIsNoReasonToAnswer) {
  for (const int controllers : {3, 5})
    for (const std::uint64_t seed : {1, 2, 3}) {
      Site site(seed, controllers);
      auto& cluster = site.world;
      ASSERT_GE(site.old_leader, 0);
      cluster.cut("node-" + std::to_string(site.old_leader), "state", 0.4, false);
      site.cancel_all();
      cluster.run(cluster.now() + 0.4);
      ASSERT_GT(site.confirmed(), 0);
      cluster.state_service().node_without_watches = site.old_leader;
      cluster.state_outage(30);
      cluster.run(cluster.now() + 1.3 * kTiming.cancel_s);
      cluster.state_service().node_without_watches = -1;
      cluster.run(cluster.now() + kTiming.cancel_s);
      ASSERT_TRUE(cluster.broken().empty()) << controllers << " " << listing(cluster.broken());
      site.expect_well_after();
    }
}

// It stands still with the answer to a read barrier in its socket: what it reads when it wakes is as old as
// the question.
TEST(GapScenario, AnAnswerReadLateIsAsOldAsItsQuestion) {
  for (const int controllers : {3, 5})
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
      Site site(seed, controllers);
      auto& cluster = site.world;
      ASSERT_GE(site.old_leader, 0);
      const auto me = "node-" + std::to_string(site.old_leader);
      cluster.held_up = [&me](const std::string& from, const std::string& to, const std::string& body) {
        return from == "state" && to == me && body.find("\"epoch\"") != std::string::npos ? 0.6 : 0.0;
      };
      cluster.run(cluster.now() + 1);
      cluster.freeze(site.old_leader, 34);
      cluster.run(cluster.now() + 0.3);
      cluster.held_up = {};
      site.cancel_all();
      cluster.run(cluster.now() + 0.3);
      ASSERT_GT(site.confirmed(), 0);
      cluster.state_outage(33);
      cluster.state_service().node_without_watches = site.old_leader;
      // What it still answers by what it knew then is the last that the machines hear for long.
      cluster.run(cluster.now() + 40);
      cluster.deafen_machines(1, 2 * kTiming.lease_s);
      cluster.run(cluster.now() + 20);
      cluster.state_service().node_without_watches = -1;
      cluster.run(cluster.now() + kTiming.cancel_s);
      ASSERT_TRUE(cluster.broken().empty()) << controllers << " " << listing(cluster.broken());
      site.expect_well_after();
    }
}

// A forwarding controller whose leader was refused, and that is then alone with its workers, keeps no lease
// alive.
TEST(GapScenario, ADelegateAloneKeepsNoLeaseAlive) {
  for (const int controllers : {3, 5})
    for (const std::uint64_t seed : {1, 2, 3}) {
      Site site(seed, controllers);
      auto& cluster = site.world;
      ASSERT_GE(site.old_leader, 0);
      const int delegate = (site.old_leader + 1) % cluster.nodes();
      cluster.refuse(site.old_leader, kRefused);
      site.cancel_all();
      cluster.isolate(delegate, 1.3 * kTiming.cancel_s, seed % 2 == 0);
      cluster.run(cluster.now() + 1);
      cluster.state_outage(1.2 * kTiming.cancel_s);
      cluster.run(cluster.now() + 1.5 * kTiming.cancel_s);
      ASSERT_TRUE(cluster.broken().empty()) << controllers << " " << listing(cluster.broken());
      site.expect_well_after();
    }
}

// A machine that was out of reach until just before its lease ends is answered by a leader that it does not
// know yet, and then hears nothing more: that one answer gave its tasks a whole lease, so it must stop what
// is cancelled.
TEST(GapScenario, TheFirstAnswerOfANewLeaderStopsWhatIsCancelled) {
  int answered = 0;
  for (const int controllers : {3, 5})
    for (const std::uint64_t seed : {1, 2, 3}) {
      Site site(seed, controllers);
      auto& cluster = site.world;
      ASSERT_GE(site.old_leader, 0);
      std::map<std::string, std::uint64_t> fences;
      for (const auto& [host, machine] : cluster.machines()) fences[host] = machine.fencing_token;
      cluster.crash(site.old_leader, 4);
      for (int node = 0; node < cluster.nodes(); ++node)
        for (const auto& [host, machine] : cluster.machines())
          cluster.cut("node-" + std::to_string(node), host, 0.6 * kTiming.lease_s, false);
      site.cancel_all();
      cluster.run(cluster.now() + 20);
      // The new leader reaches none of them: they report to its peers.
      const int leader = cluster.leader();
      ASSERT_GE(leader, 0);
      for (const auto& [host, machine] : cluster.machines())
        cluster.cut("node-" + std::to_string(leader), host, 100, false);
      for (int step = 0; step < 400; ++step) {
        cluster.run(cluster.now() + 0.1);
        for (auto& [host, machine] : cluster.machines())
          if (machine.up && fences.contains(host) && machine.fencing_token > fences.at(host) &&
              machine.downlink_lost_until < cluster.now()) {
            machine.downlink_lost_until = cluster.now() + 2 * kTiming.lease_s;
            answered += !machine.tasks.empty();
          }
      }
      cluster.run(cluster.now() + kTiming.cancel_s);
      ASSERT_TRUE(cluster.broken().empty()) << controllers << " " << listing(cluster.broken());
      site.expect_well_after();
    }
  EXPECT_GE(answered, 4) << "too few machines were answered and then deaf";
}

}  // namespace
}  // namespace bankhill::sim
