// Tests of the paper's planning algorithms.
#include "planner/planner.hpp"

#include <gtest/gtest.h>

#include <numeric>
#include <random>

namespace bankhill::planner {
namespace {

Offer offer(const std::string& name, double cores, double hourly_price, double preemptible_hourly_price,
            bool spot_allowed = true) {
  wire::MachineType machine_type;
  machine_type.name = name;
  machine_type.capacity = {cores, 0, cores * 4};
  machine_type.hourly_price = hourly_price;
  machine_type.preemptible_hourly_price = preemptible_hourly_price;
  machine_type.boot_s = 30;
  machine_type.zones = {"a"};
  return {machine_type, spot_allowed};
}

Workload work(double cores, double tasks, double estimated_runtime_s, bool allows_preemptible) {
  Workload item;
  item.request = {cores, 0, 1};
  item.task_count = tasks;
  item.estimated_runtime_s = item.window_s = estimated_runtime_s;
  item.allows_preemptible = allows_preemptible;
  return item;
}

// The example of section 3.1: with a budget of 1.4, 3 large, 2 medium and 1 small machines become 2, 1 and 1.
TEST(Scale, PaperExample) {
  const double on_demand_cost = 3 * 0.5 + 2 * 0.3 + 0.1;
  EXPECT_EQ(scale({3, 2, 1}, 1.4 / on_demand_cost), (std::vector<double>{2, 1, 1}));
  EXPECT_EQ(scale({3.4, 0.6}, 2), (std::vector<double>{3, 1}));
}

TEST(Plan, AlphaSplitsTheBudgetBetweenOnDemandAndSpot) {
  const std::vector<Offer> offers = {offer("m", 8, 0.4, 0.1)};
  const auto half_spot = plan({work(4, 40, 60, true)}, offers, 0.5);
  EXPECT_EQ(half_spot.on_demand[0], 10);
  EXPECT_EQ(half_spot.spot[0], 10);
  const auto no_spot = plan({work(4, 40, 60, true)}, offers, 0);
  EXPECT_EQ(no_spot.on_demand[0], 20);
  EXPECT_EQ(no_spot.spot[0], 0);
}

TEST(Plan, PlansOnDemandMachinesForTasksThatDoNotAllowPreemption) {
  const std::vector<Offer> offers = {offer("m", 8, 0.4, 0.1), offer("s", 4, 0.3, 0.1, false)};
  std::mt19937 random(3);
  for (int round = 0; round < 200; ++round) {
    const double alpha = static_cast<double>(random() % 101) / 100;
    const double on_demand_tasks = 1 + static_cast<double>(random() % 20);
    const auto result =
        plan({work(4, on_demand_tasks, 60, false), work(4, random() % 50, 30, true)}, offers, alpha);
    EXPECT_GE(result.on_demand[0] * 2, on_demand_tasks);
    EXPECT_EQ(result.spot[1], 0) << "a type above phi is not rented as spot";
  }
}

// The plan reports spot machines of a type above phi separately, so that the caller can rent other types or
// on-demand machines in their place.
TEST(Plan, ReportsSpotMachinesOfTypesAbovePhiAsDisallowed) {
  const auto item = work(4, 100, 60, true);
  const auto allowed = plan({item}, {offer("m", 8, 0.4, 0.1)}, 0.5);
  const auto disallowed = plan({item}, {offer("m", 8, 0.4, 0.1, false)}, 0.5);
  EXPECT_GT(allowed.spot[0], 0);
  EXPECT_EQ(allowed.disallowed_spot[0], 0);
  EXPECT_EQ(disallowed.spot[0], 0);
  EXPECT_EQ(disallowed.disallowed_spot[0], allowed.spot[0]);
  EXPECT_EQ(disallowed.on_demand[0], allowed.on_demand[0]);
}

TEST(Plan, SpotCostStaysWithinAlphaShareOfTheBudget) {
  const std::vector<Offer> offers = {offer("m", 8, 0.4, 0.1), offer("l", 64, 3.2, 0.9)};
  std::mt19937 random(4);
  for (int round = 0; round < 200; ++round) {
    const auto result =
        plan({work(4, 20 + random() % 200, 60, true), work(40, random() % 9, 100, true)}, offers, 0.3);
    const double spot_cost = result.spot[0] * 0.1 + result.spot[1] * 0.9;
    EXPECT_LE(spot_cost, result.hourly_budget * 0.3 + 0.1 / 2 + 0.9 / 2) << "beyond rounding";
  }
}

// Guards against planning for more tasks on a machine than its heartbeats can list.
TEST(Slots, AreAtMostAsManyAsAHeartbeatCanList) {
  EXPECT_EQ(slots({0.05, 0, 0.2}, {64, 0, 256}), static_cast<double>(wire::kMaxHeartbeatTasks));
  EXPECT_EQ(slots({0.5, 0, 0.2}, {64, 0, 256}), 128);
}

// Guards against counting machine types that a workload's zone does not offer.
TEST(CanHost, RequiresRoomAnAllowedTypeAndAnAllowedZone) {
  const auto small = offer("small", 4, 1, 0.25).machine_type;
  auto item = work(4, 1, 100, false);
  EXPECT_TRUE(can_host(item, small));
  item.zones = {"b", "a"};
  item.machine_types = std::vector<std::string>{"small"};
  EXPECT_TRUE(can_host(item, small));
  item.zones = {"b", "c"};
  EXPECT_FALSE(can_host(item, small));
  item.zones.reset();
  item.machine_types = std::vector<std::string>{"large"};
  EXPECT_FALSE(can_host(item, small));
  item.machine_types.reset();
  item.request.cores = 5;
  EXPECT_FALSE(can_host(item, small));
}

TEST(Slack, IsTheTimeToTheDeadlineLessTheRunTime) {
  EXPECT_EQ(slack(true, 100.0, 10), 0);
  EXPECT_EQ(slack(false, 100.0, 10), 90);
  EXPECT_EQ(slack(false, 5.0, 10), 0);
  EXPECT_GT(slack(false, std::nullopt, 10), 1e9);
}

}  // namespace
}  // namespace bankhill::planner
