// Tests of QuotaLedger without a leader: limits while machines are unconfirmed, guarantees, separate counting
// of services, and the bounds that the next leader relies on.
#include "leader/quota_ledger.hpp"

#include <gtest/gtest.h>

namespace bankhill::leader {
namespace {

using wire::Priority;
using wire::Resources;

constexpr std::uint64_t kToken = 7;
const Resources kNoMachines;

// Team red is limited to 80 cores and 8 accelerators, team blue to 40 cores.
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

// Stores the bounds at once if the ledger wants to store any.
void store_bounds(QuotaLedger& ledger, const Resources& unconfirmed_capacity = kNoMachines) {
  if (ledger.next_record(unconfirmed_capacity, kToken, false)) ledger.record_stored();
}

// A ledger in a term that trusts the bounds recorded by the previous leader.
QuotaLedger ledger_with_inherited_bounds(const Resources& red_bound, const Resources& blue_bound) {
  QuotaLedger ledger(two_teams());
  ledger.begin_term(wire::QuotaRecord{kToken - 1, {{"red", red_bound}, {"blue", blue_bound}}}, kToken);
  return ledger;
}

TEST(QuotaLedgerTest, TracksTheResourcesOfEachTeam) {
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

TEST(QuotaLedgerTest, AdmitsKnownTeamsUpToTheirLimits) {
  auto ledger = ledger_with_inherited_bounds({}, {});
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
  // Memory is not limited.
  EXPECT_EQ(admit({1, 0, 1e6}, 1), Admission::allowed);
  EXPECT_EQ(ledger.admit("green", {1, 0, 1}, 1, kNoMachines, kToken), Admission::over_limit);
}

TEST(QuotaLedgerTest, UnconfirmedMachinesCountInFullAgainstEveryTeam) {
  QuotaLedger ledger(two_teams());
  ledger.begin_term(std::nullopt, kToken);
  store_bounds(ledger);
  const Resources unconfirmed{32, 4, 256};
  ledger.add(task("red", 8));
  EXPECT_EQ(ledger.max_usage("red", unconfirmed).cores, 40);
  EXPECT_EQ(ledger.max_usage("red", unconfirmed).accelerators, 4);
  EXPECT_EQ(ledger.max_usage("blue", unconfirmed).cores, 32);
  EXPECT_EQ(ledger.admit("blue", {9, 0, 1}, 1, unconfirmed, kToken), Admission::over_limit);
  EXPECT_NE(ledger.admit("blue", {8, 0, 1}, 1, {32, 0, 256}, kToken), Admission::over_limit);
  // No team is assumed to hold more than its limit on unconfirmed machines.
  EXPECT_EQ(ledger.max_usage("blue", {500, 0, 1}).cores, 40);
  EXPECT_EQ(ledger.max_usage("red", {500, 0, 1}).cores, 88);
  // Earlier bounds are unknown, so guarantees count only the tasks that this leader has seen.
  EXPECT_TRUE(ledger.within_guarantee("red", {12, 0, 1}, unconfirmed));
}

TEST(QuotaLedgerTest, RecordOfTheLastTermBoundsUsageOnUnconfirmedMachines) {
  auto ledger = ledger_with_inherited_bounds({24, 0, 0}, {8, 0, 0});
  const Resources unconfirmed{64, 0, 512};
  EXPECT_EQ(ledger.max_usage("red", unconfirmed).cores, 24);
  EXPECT_EQ(ledger.max_usage("blue", unconfirmed).cores, 8);
  EXPECT_EQ(ledger.max_usage("blue", {4, 0, 32}).cores, 4);
  EXPECT_FALSE(ledger.within_guarantee("red", {1, 0, 1}, unconfirmed));
  EXPECT_TRUE(ledger.within_guarantee("blue", {2, 0, 1}, unconfirmed));
  EXPECT_FALSE(ledger.within_guarantee("blue", {3, 0, 1}, unconfirmed));
  // A task that was found on a machine is counted there, and no longer among the unknown tasks.
  ledger.add(task("red", 10));
  ledger.inherited_task_seen("red", {10, 0, 4});
  EXPECT_EQ(ledger.max_usage("red", unconfirmed).cores, 24);
  ledger.remove(task("red", 10));
  EXPECT_EQ(ledger.max_usage("red", unconfirmed).cores, 14);
}

TEST(QuotaLedgerTest, TasksOfUnknownJobsCountAgainstEveryTeam) {
  QuotaLedger ledger(two_teams());
  ledger.begin_term(std::nullopt, kToken);
  ledger.add(task("", 16));
  EXPECT_EQ(ledger.max_usage("red", kNoMachines).cores, 16);
  EXPECT_EQ(ledger.max_usage("blue", kNoMachines).cores, 16);
  EXPECT_EQ(ledger.usage("red").total, Resources{});
  // Tasks of unknown jobs have no team, and so no guarantee that they could exceed.
  EXPECT_FALSE(ledger.is_borrowing("", false));
  EXPECT_FALSE(ledger.has_other_borrowers("red"));
}

TEST(QuotaLedgerTest, BorrowingCountsServicesSeparately) {
  QuotaLedger ledger(two_teams());
  ledger.begin_term(std::nullopt, kToken);
  ledger.add(task("blue", 8, Priority::normal, true));
  ledger.add(task("blue", 2));
  EXPECT_FALSE(ledger.is_borrowing("blue", false));
  EXPECT_FALSE(ledger.has_other_borrowers("red"));
  EXPECT_TRUE(ledger.within_guarantee("red", {20, 2, 1}, kNoMachines));
  EXPECT_FALSE(ledger.within_guarantee("red", {20, 3, 1}, kNoMachines));
  EXPECT_FALSE(ledger.within_guarantee("green", {}, kNoMachines));
  // One core above the guarantee: the team's batch tasks borrow, its services do not. A team does not count
  // as another borrower for itself.
  ledger.add(task("blue", 1));
  EXPECT_TRUE(ledger.is_borrowing("blue", false));
  EXPECT_FALSE(ledger.is_borrowing("blue", true));
  EXPECT_TRUE(ledger.has_other_borrowers("red"));
  EXPECT_FALSE(ledger.has_other_borrowers("blue"));
  ledger.add(task("blue", 3, Priority::normal, true));
  EXPECT_TRUE(ledger.is_borrowing("blue", true));
}

// Invariant 21: admitted usage is covered both by the record in the state service and by the record being
// written.
TEST(QuotaLedgerTest, BoundsAreRaisedBeforeUseAndLoweredAfter) {
  QuotaLedger ledger(two_teams());
  ledger.begin_term(std::nullopt, kToken);
  // Until a record of this term is stored, the next leader trusts no bounds, so usage need not be covered.
  EXPECT_EQ(ledger.admit("red", {40, 0, 1}, 1, kNoMachines, kToken), Admission::allowed);
  auto record = ledger.next_record(kNoMachines, kToken, false);
  ASSERT_TRUE(record);
  EXPECT_EQ(record->term, kToken);
  // The bound is one step of ten cores above the requested usage. Only one record is pending at a time.
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
  // A record that is still being written does not cover usage yet.
  EXPECT_EQ(ledger.admit("red", {11, 0, 1}, 1, kNoMachines, kToken), Admission::bound_not_covered);
  ledger.record_stored();
  EXPECT_EQ(ledger.admit("red", {11, 0, 1}, 1, kNoMachines, kToken), Admission::allowed);
  ledger.add(task("red", 11));
  ledger.remove(task("red", 40));
  // The last request came near the bound again. That is remembered once, and the bound is stored without
  // being lowered.
  while (ledger.next_record(kNoMachines, kToken, false)) ledger.record_stored();
  EXPECT_EQ(ledger.admit("red", {50, 0, 1}, 1, kNoMachines, kToken), Admission::allowed);
  record = ledger.next_record(kNoMachines, kToken, true);
  ASSERT_TRUE(record);
  EXPECT_LT(record->teams.at("red").cores, 70);
  EXPECT_GE(record->teams.at("red").cores, ledger.max_usage("red", kNoMachines).cores);
  // Usage above a bound that is being lowered is no longer admitted, whether or not the record has been
  // stored.
  EXPECT_EQ(ledger.admit("red", {50, 0, 1}, 1, kNoMachines, kToken), Admission::bound_not_covered);
  ledger.record_stored();
  EXPECT_EQ(ledger.admit("red", {50, 0, 1}, 1, kNoMachines, kToken), Admission::bound_not_covered);
}

}  // namespace
}  // namespace bankhill::leader
