#include "gateway/admission.hpp"

#include <algorithm>

namespace bankhill::gateway {

namespace {
constexpr double kRoundingTolerance = 1e-6;
}

std::optional<RejectionReason> find_rejection_reason(const wire::JobSpec& spec,
                                                     const std::vector<TeamLimit>& teams,
                                                     const std::vector<wire::MachineType>& machine_types) {
  const auto team = std::find_if(teams.begin(), teams.end(),
                                 [&](const TeamLimit& candidate) { return candidate.name == spec.team; });
  if (team == teams.end()) return RejectionReason::unknown_team;
  // All tasks of a service run at the same time; an array can run one task after another.
  const double min_running_tasks = spec.kind == wire::JobKind::service ? spec.task_count : 1;
  if (spec.request.cores * min_running_tasks > team->limit.cores + kRoundingTolerance ||
      spec.request.accelerators * min_running_tasks > team->limit.accelerators + kRoundingTolerance)
    return RejectionReason::exceeds_team_limit;
  const bool fits_a_machine_type =
      std::any_of(machine_types.begin(), machine_types.end(), [&](const wire::MachineType& machine_type) {
        const bool is_allowed =
            !spec.machine_types || std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                             machine_type.name) != spec.machine_types->end();
        const bool is_in_zone = !spec.zone || std::find(machine_type.zones.begin(), machine_type.zones.end(),
                                                        *spec.zone) != machine_type.zones.end();
        return is_allowed && is_in_zone && spec.request.fits(machine_type.capacity);
      });
  if (!fits_a_machine_type) return RejectionReason::fits_no_machine_type;
  return std::nullopt;
}

}  // namespace bankhill::gateway
