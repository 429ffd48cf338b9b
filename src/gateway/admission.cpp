#include "gateway/admission.hpp"

#include <algorithm>

namespace bankhill::gateway {

namespace {
constexpr double kRounding = 1e-6;
}

std::optional<RejectionReason> find_rejection_reason(const wire::JobSpec& spec,
                                                     const std::vector<TeamLimit>& teams,
                                                     const std::vector<wire::MachineType>& machine_types) {
  const auto team =
      std::find_if(teams.begin(), teams.end(), [&](const TeamLimit& item) { return item.name == spec.team; });
  if (team == teams.end()) return RejectionReason::unknown_team;
  const double count = spec.kind == wire::JobKind::service ? spec.task_count : 1;
  if (spec.request.cores * count > team->limit.cores + kRounding ||
      spec.request.accelerators * count > team->limit.accelerators + kRounding)
    return RejectionReason::exceeds_team_limit;
  const bool fits =
      std::any_of(machine_types.begin(), machine_types.end(), [&](const wire::MachineType& machine_type) {
        const bool allowed =
            !spec.machine_types || std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                             machine_type.name) != spec.machine_types->end();
        const bool zone = !spec.zone || std::find(machine_type.zones.begin(), machine_type.zones.end(),
                                                  *spec.zone) != machine_type.zones.end();
        return allowed && zone && spec.request.fits(machine_type.capacity);
      });
  if (!fits) return RejectionReason::fits_no_machine_type;
  return std::nullopt;
}

}  // namespace bankhill::gateway
