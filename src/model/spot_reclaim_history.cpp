#include "model/spot_reclaim_history.hpp"

namespace bankhill::model {

namespace {
constexpr double kLeastMachineS = 600;  // machine seconds below which the rate is unknown
}  // namespace

// Reclaims are forgotten after some rounds. Counted for good, one wave kept every spot type above phi for the
// rest of the leadership term: alpha's budget stayed unspent and work waited (days/ops-boots-slow).
void SpotReclaimHistory::advance(const Fleet& fleet, double passed_s, double remaining) {
  for (const auto& [pool, state] : fleet.pools())
    if (pool.preemptible)
      types_[pool.machine_type].machine_s += passed_s * static_cast<double>(state.totals.up);
  for (auto& [machine_type, history] : types_) {
    history.reclaims *= remaining;
    history.machine_s *= remaining;
  }
}

std::optional<double> SpotReclaimHistory::rate(const std::string& machine_type) const {
  const auto found = types_.find(machine_type);
  if (found == types_.end() || found->second.machine_s < kLeastMachineS) return std::nullopt;
  return found->second.reclaims / found->second.machine_s;
}

}  // namespace bankhill::model
