// The admission check rejects jobs that can never run, and accepts all others.
#include <gtest/gtest.h>

#include <limits>

#include "gateway/admission.hpp"

namespace bankhill::gateway {
namespace {

TEST(Admission, RejectsJobsThatCanNeverRun) {
  wire::MachineType machine_type;
  machine_type.name = "m";
  machine_type.capacity = {8, 0, 32};
  machine_type.zones = {"a"};
  const std::vector<TeamLimit> teams = {{"red", {16, 0, 0}}};
  wire::JobSpec spec;
  spec.team = "red";
  spec.request = {8, 0, 32};
  spec.task_count = 50;
  EXPECT_FALSE(find_rejection_reason(spec, teams, {machine_type}))
      << "an array needs resources for one task only";
  auto other = spec;
  other.kind = wire::JobKind::service;
  EXPECT_EQ(find_rejection_reason(other, teams, {machine_type}), RejectionReason::exceeds_team_limit)
      << "a service needs resources for all its tasks";
  const std::vector<TeamLimit> unlimited_teams = {{"red", {std::numeric_limits<double>::infinity(), 0, 0}}};
  EXPECT_FALSE(find_rejection_reason(other, unlimited_teams, {machine_type})) << "the team has no core limit";
  other = spec;
  other.team = "blue";
  EXPECT_EQ(find_rejection_reason(other, teams, {machine_type}), RejectionReason::unknown_team);
  other = spec;
  other.request.ram_gb = 33;
  EXPECT_EQ(find_rejection_reason(other, teams, {machine_type}), RejectionReason::fits_no_machine_type);
  other = spec;
  other.request.accelerators = 1;
  EXPECT_EQ(find_rejection_reason(other, teams, {machine_type}), RejectionReason::exceeds_team_limit);
  other = spec;
  other.machine_types = std::vector<std::string>{"x"};
  EXPECT_EQ(find_rejection_reason(other, teams, {machine_type}), RejectionReason::fits_no_machine_type);
  other = spec;
  other.zone = "b";
  EXPECT_EQ(find_rejection_reason(other, teams, {machine_type}), RejectionReason::fits_no_machine_type);
}

}  // namespace
}  // namespace bankhill::gateway
