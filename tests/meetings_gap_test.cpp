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
  World world;
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
    for (const auto& uid : cancelled) world.cancel(uid);
  }
  int confirmed() {
    int count = 0;
    for (const auto& uid : cancelled) count += world.jobs().at(uid).told_cancelled > 0;
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
    auto& world = site.world;
    ASSERT_GE(site.old_leader, 0);
    const double refused = world.now() + 1;
    world.at(refused, [&] { world.refuse(site.old_leader, kRefused); });
    world.at(refused + asked_after, [&] { site.cancel_all(); });
    const double gap = std::array{0.2, 1.0, 2.0, 6.0, 30.0}[draw % 5];
    const double length = kTiming.cancel_s * std::array{0.4, 0.6, 1.2, 3.0}[draw % 4];
    const double down = refused + std::max(0.0, asked_after) + gap;
    world.at(down, [&world, length] { world.state_outage(length); });
    // A controller stands still in the middle of an answer.
    if (draw % 3 == 0) world.at(down - 0.1, [&] { world.freeze(site.old_leader, 3 + draw % 30); });
    const double again = down + length + std::array{0.5, 2.0, 8.0}[draw % 3];
    world.at(again, [&world] {
      world.refuse(std::max(0, world.leader()), kRefused);
      world.at(world.now() + 1.5, [&world] { world.state_outage(1.2 * kTiming.cancel_s); });
    });
    world.run(down - 0.01);
    confirmed += site.confirmed();
    world.run(again + 1.3 * kTiming.cancel_s);
    ASSERT_TRUE(world.broken().empty()) << asked_after << " " << listing(world.broken());
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
      World world(seed, controllers, kTiming);
      world.cloud().offers_large = false;
      world.run(5);
      std::vector<std::string> uids;
      for (int i = 0; i <= 20; ++i) uids.push_back(world.submit(kept_batch(2, 0.5, 2000)));
      world.run(70);
      const int old_leader = world.leader();
      ASSERT_GE(old_leader, 0);
      const double refused = world.now() + 1;
      world.at(refused, [&] { world.refuse(old_leader, kRefused); });
      for (std::size_t i = 0; i < uids.size(); ++i)
        world.at(refused - 0.5 + kStep * static_cast<double>(i),
                 [&world, uid = uids[i]] { world.cancel(uid); });
      world.at(refused + 1, [&] { world.state_outage(1.2 * kTiming.cancel_s); });
      world.run(refused + 1);
      const auto told = std::count_if(uids.begin(), uids.end(), [&](const std::string& uid) {
        return world.jobs().at(uid).told_cancelled > 0;
      });
      EXPECT_GE(told, 8) << "too few were confirmed before the outage";
      world.run(refused + 3.2 * kTiming.cancel_s);
      ASSERT_TRUE(world.broken().empty()) << controllers << " " << seed << " " << listing(world.broken());
      EXPECT_EQ(world.leaders(), 1);
      for (const auto& uid : uids) EXPECT_GT(world.jobs().at(uid).told_cancelled, 0) << uid;
    }
}

// The leader's lease outlives the outage, since every lease has its full time again, and is renewed; its read
// barriers alone get no answer. Until one does it must not go on by what it knew before.
TEST(GapScenario, ALeaseThatOutlivesTheOutageIsNoReasonToAnswer) {
  for (const int controllers : {3, 5})
    for (const std::uint64_t seed : {1, 2, 3}) {
      Site site(seed, controllers);
      auto& world = site.world;
      ASSERT_GE(site.old_leader, 0);
      world.cut("node-" + std::to_string(site.old_leader), "state", 0.4, false);
      site.cancel_all();
      world.run(world.now() + 0.4);
      ASSERT_GT(site.confirmed(), 0);
      world.state_service().node_without_watches = site.old_leader;
      world.state_outage(30);
      world.run(world.now() + 1.3 * kTiming.cancel_s);
      world.state_service().node_without_watches = -1;
      world.run(world.now() + kTiming.cancel_s);
      ASSERT_TRUE(world.broken().empty()) << controllers << " " << listing(world.broken());
      site.expect_well_after();
    }
}

// It stands still with the answer to a read barrier in its socket: what it reads when it wakes is as old as
// the question.
TEST(GapScenario, AnAnswerReadLateIsAsOldAsItsQuestion) {
  for (const int controllers : {3, 5})
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
      Site site(seed, controllers);
      auto& world = site.world;
      ASSERT_GE(site.old_leader, 0);
      const auto me = "node-" + std::to_string(site.old_leader);
      world.held_up = [&me](const std::string& from, const std::string& to, const std::string& body) {
        return from == "state" && to == me && body.find("\"epoch\"") != std::string::npos ? 0.6 : 0.0;
      };
      world.run(world.now() + 1);
      world.freeze(site.old_leader, 34);
      world.run(world.now() + 0.3);
      world.held_up = {};
      site.cancel_all();
      world.run(world.now() + 0.3);
      ASSERT_GT(site.confirmed(), 0);
      world.state_outage(33);
      world.state_service().node_without_watches = site.old_leader;
      // What it still answers by what it knew then is the last that the machines hear for long.
      world.run(world.now() + 40);
      world.deafen_machines(1, 2 * kTiming.lease_s);
      world.run(world.now() + 20);
      world.state_service().node_without_watches = -1;
      world.run(world.now() + kTiming.cancel_s);
      ASSERT_TRUE(world.broken().empty()) << controllers << " " << listing(world.broken());
      site.expect_well_after();
    }
}

// A delegate whose leader was refused, and that is then alone with its workers, keeps no lease alive.
TEST(GapScenario, ADelegateAloneKeepsNoLeaseAlive) {
  for (const int controllers : {3, 5})
    for (const std::uint64_t seed : {1, 2, 3}) {
      Site site(seed, controllers);
      auto& world = site.world;
      ASSERT_GE(site.old_leader, 0);
      const int delegate = (site.old_leader + 1) % world.nodes();
      world.refuse(site.old_leader, kRefused);
      site.cancel_all();
      world.isolate(delegate, 1.3 * kTiming.cancel_s, seed % 2 == 0);
      world.run(world.now() + 1);
      world.state_outage(1.2 * kTiming.cancel_s);
      world.run(world.now() + 1.5 * kTiming.cancel_s);
      ASSERT_TRUE(world.broken().empty()) << controllers << " " << listing(world.broken());
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
      auto& world = site.world;
      ASSERT_GE(site.old_leader, 0);
      std::map<std::string, std::uint64_t> fences;
      for (const auto& [host, machine] : world.machines()) fences[host] = machine.fence;
      world.crash(site.old_leader, 4);
      for (int node = 0; node < world.nodes(); ++node)
        for (const auto& [host, machine] : world.machines())
          world.cut("node-" + std::to_string(node), host, 0.6 * kTiming.lease_s, false);
      site.cancel_all();
      world.run(world.now() + 20);
      // The new leader reaches none of them: they report to its siblings.
      const int leader = world.leader();
      ASSERT_GE(leader, 0);
      for (const auto& [host, machine] : world.machines())
        world.cut("node-" + std::to_string(leader), host, 100, false);
      for (int step = 0; step < 400; ++step) {
        world.run(world.now() + 0.1);
        for (auto& [host, machine] : world.machines())
          if (machine.up && fences.contains(host) && machine.fence > fences.at(host) &&
              machine.deaf_until < world.now()) {
            machine.deaf_until = world.now() + 2 * kTiming.lease_s;
            answered += !machine.tasks.empty();
          }
      }
      world.run(world.now() + kTiming.cancel_s);
      ASSERT_TRUE(world.broken().empty()) << controllers << " " << listing(world.broken());
      site.expect_well_after();
    }
  EXPECT_GE(answered, 4) << "too few machines were answered and then deaf";
}

}  // namespace
}  // namespace bankhill::sim
