// What teams use and may use, without a leader: limits with machines that are not confirmed, guarantees,
// services counted apart, and the bounds that the next leader relies on.
#include "leader/quota_ledger.hpp"

#include <gtest/gtest.h>

namespace bankhill::leader {
namespace {

using wire::Priority;
using wire::Resources;

constexpr std::uint64_t kToken = 7;
const Resources kNoMachines;

// Red may hold 80 cores and 8 accelerators, blue 40 cores.
std::vector<Team> two_teams() { return {{"red", {20, 2, 0}, {80, 8, 0}}, {"blue", {10, 0, 0}, {40, 0, 0}}}; }

model::Assignment task(const std::string& team, double cores, Priority priority = Priority::normal,
                       bool service = false) {
  model::Assignment assignment;
  assignment.team = team;
  assignment.request = {cores, 0, 4};
  assignment.priority = priority;
  assignment.is_service = service;
  return assignment;
}

// Stores what the ledger asks for at once.
void store_bounds(QuotaLedger& ledger, const Resources& unconfirmed_size = kNoMachines) {
  if (ledger.next_record(unconfirmed_size, kToken, false)) ledger.record_stored();
}

// A ledger in a term for which bounds that an earlier leader left are believed.
QuotaLedger ledger_after(const Resources& red_bound, const Resources& blue_bound) {
  QuotaLedger ledger(two_teams());
  ledger.begin_term(wire::QuotaRecord{kToken - 1, {{"red", red_bound}, {"blue", blue_bound}}}, kToken);
  return ledger;
}

TEST(QuotaLedgerTest, AddsAndRemovesWhatATeamHolds) {
  QuotaLedger ledger(two_teams());
  ledger.add(task("red", 8));
  ledger.add(task("red", 4, Priority::high, true));
  ledger.add(task("blue", 2, Priority::best_effort));
  EXPECT_EQ(ledger.usage("red").total, (Resources{12, 0, 8}));
  EXPECT_EQ(ledger.usage("red").service_cores, 4);
  EXPECT_EQ(ledger.service_cores(), 4);
  EXPECT_EQ(ledger.cores_below(Priority::best_effort), 0);
  EXPECT_EQ(ledger.cores_below(Priority::normal), 2);
  EXPECT_EQ(ledger.cores_below(Priority::high), 10);
  EXPECT_EQ(ledger.cores_below(Priority::production), 14);
  ledger.remove(task("red", 4, Priority::high, true));
  EXPECT_EQ(ledger.usage("red").total, (Resources{8, 0, 4}));
  EXPECT_EQ(ledger.usage("red").service_cores, 0);
  EXPECT_EQ(ledger.service_cores(), 0);
  EXPECT_EQ(ledger.cores_below(Priority::production), 10);
  ledger.clear();
  EXPECT_EQ(ledger.usage("red").total, Resources{});
  EXPECT_EQ(ledger.usage("green").total, Resources{});
  EXPECT_EQ(ledger.cores_below(Priority::production), 0);
}

TEST(QuotaLedgerTest, AdmitsUpToTheLimitOfATeamThatIsKnown) {
  auto ledger = ledger_after({}, {});
  store_bounds(ledger);
  ledger.add(task("blue", 30));
  const auto admit = [&](const Resources& request, std::uint32_t task_count) {
    const auto admission = ledger.admit("blue", request, task_count, kNoMachines, kToken);
    store_bounds(ledger);
    return admission == Admission::over_limit
               ? admission
               : ledger.admit("blue", request, task_count, kNoMachines, kToken);
  };
  EXPECT_EQ(admit({10, 0, 1}, 1), Admission::allowed);
  EXPECT_EQ(admit({5, 0, 1}, 2), Admission::allowed);
  EXPECT_EQ(admit({5, 0, 1}, 3), Admission::over_limit);
  EXPECT_EQ(admit({10.1, 0, 1}, 1), Admission::over_limit);
  EXPECT_EQ(admit({1, 1, 1}, 1), Admission::over_limit);
  // Memory has no limit.
  EXPECT_EQ(admit({1, 0, 1e6}, 1), Admission::allowed);
  EXPECT_EQ(ledger.admit("green", {1, 0, 1}, 1, kNoMachines, kToken), Admission::over_limit);
}

TEST(QuotaLedgerTest, UnconfirmedMachinesCountInFullAgainstEveryTeam) {
  QuotaLedger ledger(two_teams());
  ledger.begin_term(std::nullopt, kToken);
  store_bounds(ledger);
  const Resources unconfirmed{32, 4, 256};
  ledger.add(task("red", 8));
  EXPECT_EQ(ledger.highest_usage("red", unconfirmed).cores, 40);
  EXPECT_EQ(ledger.highest_usage("red", unconfirmed).accelerators, 4);
  EXPECT_EQ(ledger.highest_usage("blue", unconfirmed).cores, 32);
  EXPECT_EQ(ledger.admit("blue", {9, 0, 1}, 1, unconfirmed, kToken), Admission::over_limit);
  EXPECT_NE(ledger.admit("blue", {8, 0, 1}, 1, {32, 0, 256}, kToken), Admission::over_limit);
  // But no team is taken to hold more than its limit there.
  EXPECT_EQ(ledger.highest_usage("blue", {500, 0, 1}).cores, 40);
  EXPECT_EQ(ledger.highest_usage("red", {500, 0, 1}).cores, 88);
  // Nothing is known of earlier bounds: guarantees go by what this leader has seen.
  EXPECT_TRUE(ledger.within_guarantee("red", {12, 0, 1}, unconfirmed));
}

TEST(QuotaLedgerTest, WhatUnconfirmedMachinesHoldIsBoundedByTheRecordOfTheLastTerm) {
  auto ledger = ledger_after({24, 0, 0}, {8, 0, 0});
  const Resources unconfirmed{64, 0, 512};
  EXPECT_EQ(ledger.highest_usage("red", unconfirmed).cores, 24);
  EXPECT_EQ(ledger.highest_usage("blue", unconfirmed).cores, 8);
  EXPECT_EQ(ledger.highest_usage("blue", {4, 0, 32}).cores, 4);
  EXPECT_FALSE(ledger.within_guarantee("red", {1, 0, 1}, unconfirmed));
  EXPECT_TRUE(ledger.within_guarantee("blue", {2, 0, 1}, unconfirmed));
  EXPECT_FALSE(ledger.within_guarantee("blue", {3, 0, 1}, unconfirmed));
  // A task that was seen counts where it is used, and no more among the others.
  ledger.add(task("red", 10));
  ledger.inherited_task_seen("red", {10, 0, 4});
  EXPECT_EQ(ledger.highest_usage("red", unconfirmed).cores, 24);
  ledger.remove(task("red", 10));
  EXPECT_EQ(ledger.highest_usage("red", unconfirmed).cores, 14);
}

TEST(QuotaLedgerTest, TasksOfUnknownJobsCountAgainstEveryTeam) {
  QuotaLedger ledger(two_teams());
  ledger.begin_term(std::nullopt, kToken);
  ledger.add(task("", 16));
  EXPECT_EQ(ledger.highest_usage("red", kNoMachines).cores, 16);
  EXPECT_EQ(ledger.highest_usage("blue", kNoMachines).cores, 16);
  EXPECT_EQ(ledger.usage("red").total, Resources{});
  // They are of a team that has no guarantee to borrow above.
  EXPECT_FALSE(ledger.borrows("", false));
  EXPECT_FALSE(ledger.others_borrow("red"));
}

TEST(QuotaLedgerTest, BorrowingCountsServicesApart) {
  QuotaLedger ledger(two_teams());
  ledger.begin_term(std::nullopt, kToken);
  ledger.add(task("blue", 8, Priority::normal, true));
  ledger.add(task("blue", 2));
  EXPECT_FALSE(ledger.borrows("blue", false));
  EXPECT_FALSE(ledger.others_borrow("red"));
  EXPECT_TRUE(ledger.within_guarantee("red", {20, 2, 1}, kNoMachines));
  EXPECT_FALSE(ledger.within_guarantee("red", {20, 3, 1}, kNoMachines));
  EXPECT_FALSE(ledger.within_guarantee("green", {}, kNoMachines));
  // One core above the guarantee: its batches borrow, its services do not, and nobody borrows from itself.
  ledger.add(task("blue", 1));
  EXPECT_TRUE(ledger.borrows("blue", false));
  EXPECT_FALSE(ledger.borrows("blue", true));
  EXPECT_TRUE(ledger.others_borrow("red"));
  EXPECT_FALSE(ledger.others_borrow("blue"));
  ledger.add(task("blue", 3, Priority::normal, true));
  EXPECT_TRUE(ledger.borrows("blue", true));
}

// Invariant 21: what is admitted is covered by the record that stands in the state service, and by the one on
// its way there.
TEST(QuotaLedgerTest, BoundsAreRaisedBeforeUseAndLoweredAfter) {
  QuotaLedger ledger(two_teams());
  ledger.begin_term(std::nullopt, kToken);
  // Until a record of this term stands there, the next leader believes none: what is used binds nobody.
  EXPECT_EQ(ledger.admit("red", {40, 0, 1}, 1, kNoMachines, kToken), Admission::allowed);
  auto record = ledger.next_record(kNoMachines, kToken, false);
  ASSERT_TRUE(record);
  EXPECT_EQ(record->term, kToken);
  // One step of ten above what was wanted; one record is under way at a time.
  EXPECT_EQ(record->teams.at("red").cores, 50);
  EXPECT_FALSE(ledger.next_record(kNoMachines, kToken, true));
  EXPECT_EQ(ledger.admit("red", {51, 0, 1}, 1, kNoMachines, kToken), Admission::bound_not_covered);
  ledger.record_stored();
  ledger.add(task("red", 40));
  EXPECT_EQ(ledger.admit("red", {10, 0, 1}, 1, kNoMachines, kToken), Admission::allowed);
  EXPECT_EQ(ledger.admit("red", {11, 0, 1}, 1, kNoMachines, kToken), Admission::bound_not_covered);
  record = ledger.next_record(kNoMachines, kToken, false);
  ASSERT_TRUE(record);
  EXPECT_EQ(record->teams.at("red").cores, 70);
  // On its way is not there.
  EXPECT_EQ(ledger.admit("red", {11, 0, 1}, 1, kNoMachines, kToken), Admission::bound_not_covered);
  ledger.record_stored();
  EXPECT_EQ(ledger.admit("red", {11, 0, 1}, 1, kNoMachines, kToken), Admission::allowed);
  ledger.add(task("red", 11));
  ledger.remove(task("red", 40));
  // Asked for above: that it nears its bound again was remembered once, and is stored without being lowered.
  while (ledger.next_record(kNoMachines, kToken, false)) ledger.record_stored();
  EXPECT_EQ(ledger.admit("red", {50, 0, 1}, 1, kNoMachines, kToken), Admission::allowed);
  record = ledger.next_record(kNoMachines, kToken, true);
  ASSERT_TRUE(record);
  EXPECT_LT(record->teams.at("red").cores, 70);
  EXPECT_GE(record->teams.at("red").cores, ledger.highest_usage("red", kNoMachines).cores);
  // What is being lowered is no longer admitted, whether the record got there or not.
  EXPECT_EQ(ledger.admit("red", {50, 0, 1}, 1, kNoMachines, kToken), Admission::bound_not_covered);
  ledger.record_stored();
  EXPECT_EQ(ledger.admit("red", {50, 0, 1}, 1, kNoMachines, kToken), Admission::bound_not_covered);
}

}  // namespace
}  // namespace bankhill::leader
