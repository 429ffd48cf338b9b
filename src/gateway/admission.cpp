#include "gateway/admission.hpp"

#include <algorithm>

namespace bankhill::gateway {

namespace {
constexpr double kRounding = 1e-6;
}

std::optional<RejectionReason> refusal(const wire::JobSpec& spec, const std::vector<TeamLimit>& teams,
                                       const std::vector<wire::Flavor>& flavors) {
  const auto team = std::find_if(teams.begin(), teams.end(),
                                 [&](const TeamLimit& item) { return item.name == spec.owner; });
  if (team == teams.end()) return RejectionReason::unknown_team;
  const double count = spec.shape == wire::Shape::daemon ? spec.members : 1;
  if (spec.need.cores * count > team->limit.cores + kRounding ||
      spec.need.accelerators * count > team->limit.accelerators + kRounding)
    return RejectionReason::exceeds_team_limit;
  const bool fits = std::any_of(flavors.begin(), flavors.end(), [&](const wire::Flavor& flavor) {
    const bool allowed = !spec.flavors || std::find(spec.flavors->begin(), spec.flavors->end(),
                                                    flavor.name) != spec.flavors->end();
    const bool zone = !spec.rack_room || std::find(flavor.rack_rooms.begin(), flavor.rack_rooms.end(),
                                                   *spec.rack_room) != flavor.rack_rooms.end();
    return allowed && zone && spec.need.fits(flavor.size);
  });
  if (!fits) return RejectionReason::fits_no_machine_type;
  return std::nullopt;
}

}  // namespace bankhill::gateway
