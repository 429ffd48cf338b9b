// The paper's algorithms.
#include "planner/planner.hpp"

#include <gtest/gtest.h>

#include <numeric>
#include <random>

namespace bankhill::planner {
namespace {

Offer offer(const std::string& name, double cores, double rate, double low, bool spot = true) {
  wire::MachineType machine_type;
  machine_type.name = name;
  machine_type.capacity = {cores, 0, cores * 4};
  machine_type.hourly_price = rate;
  machine_type.preemptible_hourly_price = low;
  machine_type.boot_s = 30;
  machine_type.zones = {"a"};
  return {machine_type, spot};
}

Workload work(double cores, double tasks, double task_s, bool reclaimable) {
  Workload item;
  item.request = {cores, 0, 1};
  item.task_count = tasks;
  item.task_s = item.window_s = task_s;
  item.allows_preemptible = reclaimable;
  return item;
}

// The example of section 3.1: 3 L, 2 M and 1 S at a budget of 1.4 become 2, 1 and 1.
TEST(Scale, PaperExample) {
  const double fast = 3 * 0.5 + 2 * 0.3 + 0.1;
  EXPECT_EQ(scale({3, 2, 1}, 1.4 / fast), (std::vector<double>{2, 1, 1}));
  EXPECT_EQ(scale({3.4, 0.6}, 2), (std::vector<double>{3, 1}));
}

TEST(Plan, AlphaSplitsTheBudget) {
  const std::vector<Offer> offers = {offer("m", 8, 0.4, 0.1)};
  const auto half = plan({work(4, 40, 60, true)}, offers, 0.5);
  EXPECT_EQ(half.steady[0], 10);
  EXPECT_EQ(half.spot[0], 10);
  const auto none = plan({work(4, 40, 60, true)}, offers, 0);
  EXPECT_EQ(none.steady[0], 20);
  EXPECT_EQ(none.spot[0], 0);
}

TEST(Plan, KeepsWorkThatMayNotBeReclaimedOnSteadyMachines) {
  const std::vector<Offer> offers = {offer("m", 8, 0.4, 0.1), offer("s", 4, 0.3, 0.1, false)};
  std::mt19937 random(3);
  for (int round = 0; round < 200; ++round) {
    const double alpha = static_cast<double>(random() % 101) / 100;
    const double fixed = 1 + static_cast<double>(random() % 20);
    const auto result = plan({work(4, fixed, 60, false), work(4, random() % 50, 30, true)}, offers, alpha);
    EXPECT_GE(result.steady[0] * 2, fixed);
    EXPECT_EQ(result.spot[1], 0) << "a type above phi is not rented as spot";
  }
}

// What alpha would buy of a type above phi is told, so that other types, or steady machines, take its place.
TEST(Plan, WhatPhiRulesOutIsNotForgotten) {
  const auto item = work(4, 100, 60, true);
  const auto free = plan({item}, {offer("m", 8, 0.4, 0.1)}, 0.5);
  const auto barred = plan({item}, {offer("m", 8, 0.4, 0.1, false)}, 0.5);
  EXPECT_GT(free.spot[0], 0);
  EXPECT_EQ(free.avoided[0], 0);
  EXPECT_EQ(barred.spot[0], 0);
  EXPECT_EQ(barred.avoided[0], free.spot[0]);
  EXPECT_EQ(barred.steady[0], free.steady[0]);
}

TEST(Plan, SpotStaysWithinItsPartOfTheBudget) {
  const std::vector<Offer> offers = {offer("m", 8, 0.4, 0.1), offer("l", 64, 3.2, 0.9)};
  std::mt19937 random(4);
  for (int round = 0; round < 200; ++round) {
    const auto result =
        plan({work(4, 20 + random() % 200, 60, true), work(40, random() % 9, 100, true)}, offers, 0.3);
    const double spent = result.spot[0] * 0.1 + result.spot[1] * 0.9;
    EXPECT_LE(spent, result.budget * 0.3 + 0.1 / 2 + 0.9 / 2) << "beyond rounding";
  }
}

TEST(Slack, RisesWithTheTimeLeft) {
  EXPECT_EQ(slack(true, 100.0, 10), 0);
  EXPECT_EQ(slack(false, 100.0, 10), 90);
  EXPECT_EQ(slack(false, 5.0, 10), 0);
  EXPECT_GT(slack(false, std::nullopt, 10), 1e9);
}

}  // namespace
}  // namespace bankhill::planner
