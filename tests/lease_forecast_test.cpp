// What a leader knows of leases after a time in which nobody answered heartbeats, and that it waits for them
// no longer than it must.
//
// What happened: all controllers were away for over a lease; when they were back tasks were started on
// machines that had answered a direct request, and killed when the agent epoch ended before its first
// heartbeat was answered (NobodyBack.LosesNoStartToALeaseThatEnds, 7 starts lost). Why: only answered
// heartbeats extend a lease; the epoch had begun while nobody was there. The log of seed 605 with five
// controllers:
//   107.986436 machine n-000000: job-000001/5 is assigned in agent epoch 4, never answered, 0.0 s into the
//   term 108.412643 machine n-000000: job-000001/5, assigned 0.4 s ago, is gone with agent epoch 4
#include "model/lease_forecast.hpp"

#include <gtest/gtest.h>

#include "sim/jobs.hpp"
#include "sim/scenario.hpp"

namespace bankhill {
namespace {

// A worker that nobody answers has come after 4 + 2 s; an answer proves a heartbeat sent at most 4 s before.
const model::HeartbeatTiming kTiming{4, 3, 3, 20, 3};
constexpr double kReturnS = 6;

// Acts from one time to another, as the leader's tick does.
void act(model::LeaseForecast& forecast, double from, double to) {
  for (double now = from; now <= to; now += 0.25) forecast.record_leading(now);
}

TEST(LeaseForecastTest, WaitsForHeartbeatsWhereNothingIsKnown) {
  model::LeaseForecast forecast(kTiming);
  EXPECT_TRUE(forecast.record_leading(100));
  EXPECT_FALSE(forecast.lasts_until_renewal(100, std::nullopt));
  EXPECT_FALSE(forecast.lasts_until_renewal(100 + kReturnS, std::nullopt));
  // One that has not come by then was answered by somebody and its next heartbeat is not due.
  EXPECT_TRUE(forecast.lasts_until_renewal(100 + kReturnS + 0.1, std::nullopt));
}

TEST(LeaseForecastTest, AnAnswerIsEnough) {
  model::LeaseForecast forecast(kTiming);
  forecast.record_leading(100);
  EXPECT_TRUE(forecast.lasts_until_renewal(100.5, 100.5));
  EXPECT_FALSE(forecast.lasts_until_renewal(100.5, std::nullopt));
}

TEST(LeaseForecastTest, AQuickChangeOfLeaderNeedsNoWait) {
  model::LeaseForecast forecast(kTiming);
  for (double at = 50; at <= 100; at += 0.5) forecast.record_peer_leading(at);
  forecast.record_leading(103);
  EXPECT_TRUE(forecast.lasts_until_renewal(103, std::nullopt));
  // 20 s of lease, less 4 and 6, less the 3.75 s since the last heartbeat of before.
  EXPECT_TRUE(forecast.lasts_until_renewal(106.25, std::nullopt));
  EXPECT_FALSE(forecast.lasts_until_renewal(106.3, std::nullopt));
}

// The first one may have answered nobody yet: what is known is of the one before it, if anything.
TEST(LeaseForecastTest, ALeaderOfAMomentProvesNothing) {
  model::LeaseForecast forecast(kTiming);
  for (double at = 100; at <= 103; at += 0.5) forecast.record_peer_leading(at);
  forecast.record_leading(104);
  EXPECT_FALSE(forecast.lasts_until_renewal(104, std::nullopt));

  model::LeaseForecast second(kTiming);
  for (double at = 50; at <= 96; at += 0.5) second.record_peer_leading(at);
  for (double at = 100; at <= 101; at += 0.5) second.record_peer_leading(at);
  second.record_leading(102);
  EXPECT_TRUE(second.lasts_until_renewal(102, std::nullopt));
}

TEST(LeaseForecastTest, ALeaderThatCouldNotActForgetsWhatItKnew) {
  model::LeaseForecast forecast(kTiming);
  act(forecast, 0, 100);
  EXPECT_TRUE(forecast.lasts_until_renewal(100, 1));
  EXPECT_FALSE(forecast.record_leading(102.9));
  EXPECT_TRUE(forecast.lasts_until_renewal(102.9, 1));
  // An outage of over half a lease.
  EXPECT_TRUE(forecast.record_leading(114));
  EXPECT_FALSE(forecast.lasts_until_renewal(114, 101));
  EXPECT_FALSE(forecast.lasts_until_renewal(114, std::nullopt));
  EXPECT_TRUE(forecast.lasts_until_renewal(114, 113.9));
}

// ---- leaders that change twice and three times within half a lease

class LeadersInARow : public testing::TestWithParam<std::tuple<int, int>> {};
INSTANTIATE_TEST_SUITE_P(Controllers, LeadersInARow,
                         testing::Combine(testing::Values(3, 5), testing::Values(2, 3)));

// Each time work is there for machines with room, and begins as soon as somebody leads: leases are known to
// last, so no heartbeat is waited for. A worker tells a higher token once in half a lease only, so the second
// leader would wait for up to an interval.
TEST_P(LeadersInARow, StartAtOnce) {
  const auto [controllers, changes] = GetParam();
  sim::SimulatedCluster cluster(700 + static_cast<std::uint64_t>(controllers), controllers);
  cluster.cloud().offers_large = false;
  cluster.run(5);
  cluster.submit(sim::small_service(8, 1));
  cluster.submit(sim::small_batch(8, 1, 10));  // leaves room
  ASSERT_TRUE(sim::run_within(cluster, 60, [&] { return cluster.starts() >= 16; }));
  cluster.run(cluster.now() + 15);
  for (int i = 0; i < changes; ++i) {
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    cluster.crash(leader, 2);
    ASSERT_TRUE(sim::run_within(cluster, 10, [&] { return cluster.leaders() == 1; })) << "change " << i;
    const auto job = cluster.submit(sim::small_batch(2, 1, 2));
    ASSERT_TRUE(sim::run_within(cluster, 10, [&] { return cluster.jobs().at(job).accepted; }));
    EXPECT_TRUE(sim::run_within(cluster, 1, [&] { return cluster.jobs().at(job).starts >= 2; }))
        << "change " << i << ": " << cluster.jobs().at(job).starts << " of 2 have started";
  }
  EXPECT_TRUE(cluster.broken().empty()) << sim::listing(cluster.broken());
}

}  // namespace
}  // namespace bankhill
