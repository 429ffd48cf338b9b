#include "model/spot_reclaim_history.hpp"

namespace bankhill::model {

namespace {
constexpr double kMinMachineS = 600;  // machine seconds below which the rate is unknown
}  // namespace

// Reclaims decay over a few planning rounds. When they did not, one wave of reclaims kept the rate of every
// spot type above phi for the rest of the term: alpha's budget stayed unspent while work waited
// (days/ops-boots-slow).
void SpotReclaimHistory::advance(const Fleet& fleet, double elapsed_s, double decay_factor) {
  for (const auto& [pool, state] : fleet.pools())
    if (pool.preemptible)
      types_[pool.machine_type].machine_s += elapsed_s * static_cast<double>(state.totals.up);
  for (auto& [machine_type, history] : types_) {
    history.reclaims *= decay_factor;
    history.machine_s *= decay_factor;
  }
}

std::optional<double> SpotReclaimHistory::rate(const std::string& machine_type) const {
  const auto found = types_.find(machine_type);
  if (found == types_.end() || found->second.machine_s < kMinMachineS) return std::nullopt;
  return found->second.reclaims / found->second.machine_s;
}

}  // namespace bankhill::model
