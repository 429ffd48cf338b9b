// Admission: what can never run is refused, and nothing else.
#include <gtest/gtest.h>

#include <limits>

#include "gateway/admission.hpp"

namespace bankhill::gateway {
namespace {

TEST(Admission, Reasons) {
  wire::Flavor flavor;
  flavor.name = "m";
  flavor.size = {8, 0, 32};
  flavor.rack_rooms = {"a"};
  const std::vector<TeamLimit> teams = {{"red", {16, 0, 0}}};
  wire::JobSpec spec;
  spec.owner = "red";
  spec.need = {8, 0, 32};
  spec.members = 50;
  EXPECT_FALSE(refusal(spec, teams, {flavor})) << "an array needs room for one task";
  auto other = spec;
  other.shape = wire::Shape::daemon;
  EXPECT_EQ(refusal(other, teams, {flavor}), RejectionReason::exceeds_team_limit)
      << "a service needs room for all";
  const std::vector<TeamLimit> guests = {{"red", {std::numeric_limits<double>::infinity(), 0, 0}}};
  EXPECT_FALSE(refusal(other, guests, {flavor})) << "a team without a limit";
  other = spec;
  other.owner = "blue";
  EXPECT_EQ(refusal(other, teams, {flavor}), RejectionReason::unknown_team);
  other = spec;
  other.need.ram_gb = 33;
  EXPECT_EQ(refusal(other, teams, {flavor}), RejectionReason::fits_no_machine_type);
  other = spec;
  other.need.accelerators = 1;
  EXPECT_EQ(refusal(other, teams, {flavor}), RejectionReason::exceeds_team_limit);
  other = spec;
  other.flavors = std::vector<std::string>{"x"};
  EXPECT_EQ(refusal(other, teams, {flavor}), RejectionReason::fits_no_machine_type);
  other = spec;
  other.rack_room = "b";
  EXPECT_EQ(refusal(other, teams, {flavor}), RejectionReason::fits_no_machine_type);
}

}  // namespace
}  // namespace bankhill::gateway
