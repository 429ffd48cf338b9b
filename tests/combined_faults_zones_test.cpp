// Jobs that wait beside room, machines that reach no controller, zones cut off and short of machines
// (docs/MEETINGS.md).
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <tuple>

#include "sim/jobs.hpp"
#include "sim/scenario.hpp"

namespace bankhill::sim {
namespace {

int on_machines(SimulatedCluster& cluster, const std::string& job_id, const std::string& zone = "") {
  int count = 0;
  for (const auto& [host, machine] : cluster.machines())
    for (const auto& [task_id, task] : machine.tasks)
      count += task_id.job.value == job_id && task.state == wire::TaskState::running &&
               (zone.empty() || machine.zone == zone);
  return count;
}

// ---- the rule `stranded`

// The leader's key is held by somebody who does nothing: controllers and machines are well, and nobody
// orders.
TEST(Checker, SeesAJobThatWaitsBesideRoom) {
  SimulatedCluster cluster(9);
  cluster.run(5);
  const auto job_id = cluster.submit(kept_batch(2, 1, 400));
  cluster.run(60);
  ASSERT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  ASSERT_EQ(on_machines(cluster, job_id), 2);
  cluster.tamper(wire::kLeaderKey, wire::Json::object());
  const double lost = cluster.now();
  cluster.run(lost + 85);
  EXPECT_FALSE(broke_rule(cluster, "stranded"));
  cluster.run(lost + 130);
  EXPECT_TRUE(broke_rule(cluster, "stranded"));
}

// ---- mute machines

constexpr Timing kOperators{10, 44, 69};  // the operators' ratios

struct MuteCase {
  double share;
  const char* zone;
};

// Workers reach no controller for some leases, direct commands reach them: an answer to a question extends no
// lease, so their tasks end with it and run elsewhere; what is cancelled is stopped there at once; nothing is
// placed where it would be lost; afterwards all is used again.
class Mute : public testing::TestWithParam<std::tuple<int, int, bool>> {};

TEST_P(Mute, MachinesAreServedStraightAndUsedAgain) {
  const auto [controllers, kind, slow] = GetParam();
  const MuteCase each =
      std::array{MuteCase{0.4, ""}, MuteCase{1, "zb"}, MuteCase{1, ""}}.at(static_cast<std::size_t>(kind));
  const Timing timing = slow ? kOperators : Timing{};
  SimulatedCluster cluster(static_cast<std::uint64_t>(10 * controllers + kind), controllers, timing);
  cluster.cloud().offers_large = false;
  cluster.run(5);
  std::vector<std::string> cancelled;
  for (int i = 0; i < 3; ++i) cancelled.push_back(cluster.submit(kept_batch(4, 1, 900)));
  const auto service = cluster.submit(kept_service(3, 1));
  auto in_zone = kept_batch(4, 1, 30);
  in_zone.spec.zone = "zb";
  cluster.submit(in_zone);
  cluster.run(70);
  ASSERT_EQ(cluster.whole(service), 3U);
  const double begin = cluster.now();
  cluster.mute_machines(each.share, 3 * timing.lease_s, each.zone);
  std::vector<std::string> short_ones;
  for (int i = 0; i < 12; ++i)
    cluster.at(begin + 1 + i * timing.lease_s / 4,
               [&cluster, &short_ones] { short_ones.push_back(cluster.submit(kept_batch(3, 1, 6))); });
  // One is cancelled at once, one when leases are about to end, one when they have ended.
  const double ask[] = {1, 0.8 * timing.lease_s, 1.7 * timing.lease_s};
  for (std::size_t i = 0; i < cancelled.size(); ++i)
    cluster.at(begin + ask[i], [&cluster, job_id = cancelled[i]] { cluster.cancel(job_id); });
  cluster.run(begin + 1 + 2.5 * timing.heartbeat_interval_s);
  EXPECT_GT(cluster.jobs().at(cancelled[0]).told_cancelled, 0);
  EXPECT_EQ(on_machines(cluster, cancelled[0]), 0) << "not stopped straight";
  cluster.run(begin + 3 * timing.lease_s);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  EXPECT_EQ(cluster.starts_on_mute, 0U);
  if (each.share < 1 || *each.zone != 0) {
    EXPECT_EQ(cluster.whole(service), 3U);
  }
  cluster.run(begin + 3 * timing.lease_s + 160);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  EXPECT_EQ(cluster.whole(service), 3U);
  for (const auto& [job_id, job] : cluster.jobs())
    if (job.spec.kind == wire::JobKind::array && !job.cancel_asked) {
      EXPECT_TRUE(job.told_done) << job_id;
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Mute,
                         testing::Combine(testing::Values(3, 5), testing::Range(0, 3), testing::Bool()));

// ---- a zone alone

void expect_all_done(SimulatedCluster& cluster) {
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  EXPECT_EQ(cluster.leaders(), 1);
  for (const auto& [job_id, job] : cluster.jobs()) {
    if (job.cancel_asked) {
      EXPECT_TRUE(job.told_cancelled > 0 || job.told_done) << job_id << " neither cancelled nor done";
    } else if (job.spec.kind == wire::JobKind::array) {
      EXPECT_TRUE(job.told_done) << job_id << " " << job.completed.size() << " of " << job.spec.task_count;
    } else {
      EXPECT_EQ(cluster.whole(job_id), job.spec.task_count) << job_id << " is not back";
    }
  }
}

SimJob bound_to(const std::string& zone, SimJob job) {
  job.spec.zone = zone;
  return job;
}
SimJob together(SimJob job) {
  job.spec.zone_affinity = true;
  return job;
}
SimJob scattered(SimJob job) {
  job.spec.zone_spread = true;
  return job;
}

// For longer than a lease a zone's workers and one controller, which leads or does not, reach only each
// other.
class CutZone : public testing::TestWithParam<std::tuple<int, bool, bool, bool>> {};

TEST_P(CutZone, WithAControllerEndsNothingTwiceAndStrandsNothing) {
  const auto [controllers, leads, lease_id, slow] = GetParam();
  const Timing timing = slow ? kOperators : Timing{};
  SimulatedCluster cluster(static_cast<std::uint64_t>(20 * controllers + 4 * leads + 2 * lease_id + slow),
                           controllers, timing);
  cluster.cloud().offers_large = false;
  cluster.run(5);
  std::vector<std::string> cancelled;
  for (const char* zone : {"za", "zb"})
    cancelled.push_back(cluster.submit(bound_to(zone, kept_batch(3, 1, 900))));
  cancelled.push_back(cluster.submit(scattered(kept_batch(4, 1, 900))));
  for (const char* zone : {"za", "zb"}) {
    cluster.submit(bound_to(zone, kept_batch(4, 1, 2.2 * timing.lease_s)));
    cluster.submit(bound_to(zone, kept_service(1, 1)));
  }
  cluster.submit(together(kept_batch(4, 1, 2.2 * timing.lease_s)));
  cluster.submit(kept_service(2, 1));
  cluster.run(70);
  const int leader = cluster.leader();
  ASSERT_GE(leader, 0);
  const int inside = leads ? leader : (leader + 1) % controllers;
  const std::string zone = inside % 2 == 0 ? "za" : "zb";
  const double begin = cluster.now();
  const double length = 2.5 * timing.lease_s;
  cluster.cut_zone(zone, inside, length, lease_id);
  // Before the leases are over, when they are about to be, and after.
  const double ask[] = {0.5, 0.9 * timing.lease_s, 1.6 * timing.lease_s};
  for (std::size_t i = 0; i < cancelled.size(); ++i)
    cluster.at(begin + ask[i], [&cluster, job_id = cancelled[i]] { cluster.cancel(job_id); });
  for (int i = 0; i < 8; ++i)
    cluster.at(begin + 2 + i * length / 8, [&cluster, i, zone] {
      cluster.submit(i % 2 == 0 ? kept_batch(2, 1, 5) : bound_to(zone, kept_batch(2, 1, 5)));
    });
  cluster.run(begin + length);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  // Work that may be anywhere went on outside.
  int outside = 0;
  for (const auto& [job_id, job] : cluster.jobs())
    outside += job.created > begin && job.created < begin + length / 2 && !job.spec.zone && job.told_done;
  EXPECT_GE(outside, 1);
  cluster.run(begin + length + 100 + 4 * timing.lease_s);
  expect_all_done(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CutZone,
                         testing::Combine(testing::Values(3, 5), testing::Bool(), testing::Bool(),
                                          testing::Bool()));

// ---- jobs of one zone that lose machines

// All or most of a zone's machines die, and the cloud has none there for a while: what is bound to the zone
// waits and holds up nobody else, then gets others there.
class LostZone : public testing::TestWithParam<std::tuple<int, bool, double>> {};

TEST_P(LostZone, JobsBoundToItGetOthersThere) {
  const auto [controllers, out, share] = GetParam();
  SimulatedCluster cluster(
      static_cast<std::uint64_t>(7 * controllers + 2 * out + static_cast<int>(4 * share)), controllers);
  cluster.cloud().offers_large = false;
  cluster.cloud().machine_limit = 30;
  cluster.run(5);
  cluster.submit(bound_to("zb", kept_batch(6, 1, 40)));
  cluster.submit(bound_to("zb", kept_batch(3, 3, 40)));
  cluster.submit(bound_to("zb", kept_service(2, 1)));
  cluster.submit(together(kept_batch(5, 2, 40)));
  cluster.submit(bound_to("zb", together(kept_batch(4, 1, 40))));
  cluster.submit(scattered(kept_batch(6, 1, 40)));
  cluster.run(45);
  const double begin = cluster.now();
  cluster.kill_zone("zb", share);
  if (out) cluster.zone_stockout("zb", 60);
  // Further ones for the zone, and for any: the latter must not wait for the former.
  std::vector<std::string> any;
  for (int i = 0; i < 10; ++i)
    cluster.at(begin + 1 + 4 * i, [&cluster, &any, i] {
      if (i % 2 == 0)
        any.push_back(cluster.submit(kept_batch(2, 1, 5)));
      else
        cluster.submit(bound_to("zb", i % 4 == 1 ? kept_batch(8, 1, 10) : together(kept_batch(3, 2, 10))));
    });
  cluster.run(begin + 60);
  for (const auto& job_id : any) {
    EXPECT_TRUE(cluster.jobs().at(job_id).told_done) << job_id << " waited for those of the zone";
  }
  cluster.run(begin + 260);
  expect_all_done(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LostZone,
                         testing::Combine(testing::Values(3, 5), testing::Bool(), testing::Values(0.6, 1.0)));

// ---- more work than room, over slow links

// Commands, reports and their answers are late by up to some seconds while far more is wanted than fits, some
// of it urgent. Whatever is stopped makes room for something that begins there; nothing is stopped again and
// again for the same class; services and urgent batches begin; the rest goes on in the end.
struct Pressed {
  SimulatedCluster world;
  std::vector<std::string> urgent;
  std::vector<std::string> rest;
  std::vector<std::string> services;
  double slow_s;

  Pressed(int controllers, double slow)
      : world(static_cast<std::uint64_t>(30 + controllers), controllers), slow_s(slow) {
    world.cloud().offers_large = false;
    world.cloud().machine_limit = 6;
    world.rules().room_used_within_s = 12 + 3 * slow_s;
    if (slow_s <= 0) return;
    world.held_up = [this](const std::string& from, const std::string& to, const std::string&) {
      const auto of_workers = [](const std::string& end) {
        return end.starts_with("n-") || end.starts_with("workers-");
      };
      const bool late = of_workers(from) || of_workers(to);
      return late && world.chance(0.5) ? world.uniform(0, slow_s) : 0.0;
    };
  }
  void submit(std::vector<std::string>& to, SimJob job, const char* owner, wire::Priority priority) {
    job.spec.team = owner;
    job.spec.priority = priority;
    job.spec.job_class = priority == wire::Priority::high ? "urgent" : "any";
    to.push_back(world.submit(job));
  }
  void play() {
    world.run(5);
    for (int i = 0; i < 8; ++i)
      submit(rest, kept_batch(6, 1, 25), i % 2 == 0 ? "red" : "blue", wire::Priority::normal);
    for (int i = 0; i < 4; ++i) submit(rest, kept_batch(20, 0.25, 25), "guest", wire::Priority::best_effort);
    const double begin = 50;
    for (int i = 0; i < 12; ++i)
      world.at(begin + 12 * i, [this, i] {
        submit(urgent, kept_batch(3, 2, 5), i % 2 == 0 ? "red" : "blue", wire::Priority::high);
        submit(rest, kept_batch(4, 1, 25), i % 2 == 0 ? "blue" : "red", wire::Priority::normal);
      });
    for (int i = 0; i < 3; ++i)
      world.at(begin + 30 * i, [this] { submit(services, kept_service(1, 2), "red", wire::Priority::high); });
    world.run(begin + 180);
  }
  double longest_wait(const std::vector<std::string>& jobs) {
    double longest = 0;
    for (const auto& job_id : jobs) {
      const auto& job = world.jobs().at(job_id);
      longest = std::max(longest, job.begun > 0 ? job.begun - job.created : 1e9);
    }
    return longest;
  }
  std::string told() {
    return std::to_string(world.rules().made_room) + " stopped, " +
           std::to_string(world.rules().made_room_again) + " again for the same class, " +
           std::to_string(world.rules().made_room_in_vain) + " in vain";
  }
};

class SlowLinks : public testing::TestWithParam<std::tuple<int, double>> {};

TEST_P(SlowLinks, PreemptionDoesNotThrash) {
  const auto [controllers, slow_s] = GetParam();
  Pressed quick(controllers, 0);
  quick.play();
  Pressed slow(controllers, slow_s);
  slow.play();
  auto& cluster = slow.world;
  const auto told = slow.told() + "; over quick links " + quick.told();
  RecordProperty("preemption", told);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  EXPECT_GT(quick.world.rules().made_room, 50U) << told;
  // What makes room, not the links, decides how much is stopped.
  EXPECT_LE(cluster.rules().made_room, quick.world.rules().made_room * 3 / 2) << told;
  EXPECT_LE(cluster.rules().made_room_again, cluster.rules().made_room * 6 / 10) << told;
  EXPECT_LT(slow.longest_wait(slow.services), 20 + 4 * slow_s);
  EXPECT_LT(slow.longest_wait(slow.urgent), 30 + 4 * slow_s);
  cluster.held_up = nullptr;
  cluster.run(cluster.now() + 220);
  expect_all_done(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SlowLinks,
                         testing::Combine(testing::Values(3, 5), testing::Values(1.5, 4.0)));

// Each stop is followed on its machine by the start of something above it.
TEST(Preemption, StopsNothingInVain) {
  for (const int controllers : {3, 5})
    for (const double slow_s : {0.0, 1.5, 4.0}) {
      Pressed pressed(controllers, slow_s);
      pressed.play();
      EXPECT_EQ(pressed.world.rules().made_room_in_vain, 0U)
          << controllers << " controllers, up to " << slow_s << " s: " << pressed.told();
    }
}

}  // namespace
}  // namespace bankhill::sim
