#include "model/failure_detector.hpp"

#include <algorithm>

#include "model/cancellation_bound.hpp"

namespace bankhill::model {

namespace {
// Control intervals after the latest time of the next regular heartbeat at which a machine is
// probed, and at which it counts as dead.
constexpr double kProbeIntervals = 0.45;
constexpr double kDeadIntervals = 1.75;
// Machines with services: heartbeat intervals after which one is probed, and control intervals after which
// one that does not answer is probed again and counts as dead.
constexpr double kServiceProbeHeartbeats = 0.5;
constexpr double kServiceDeadIntervals = 2;
constexpr double kServiceReprobeIntervals = 0.75;
}  // namespace

FailureDetector::Thresholds FailureDetector::thresholds(const Observation& machine) const {
  const double latest_heartbeat_s = kMaxHeartbeatIntervals * timing_.heartbeat_interval_s;
  const double probe_s = latest_heartbeat_s + kProbeIntervals * timing_.control_interval_s;
  const double dead_s = latest_heartbeat_s + kDeadIntervals * timing_.control_interval_s;
  // An agent that receives no response moves on to the next controller, and a controller that redirects it
  // does not forward the heartbeat to the leader. So a machine with a faulty downlink may be out of contact
  // for a whole cycle through the controllers and still be running.
  const double lost_response_s = unanswered_return_s(timing_);
  const double min_dead_s =
      machine.downlink_healthy ? lost_response_s : std::min(controller_cycle_s(), timing_.lease_s);
  Thresholds result;
  result.overdue_after_s = probe_s;
  result.probe_after_s = !machine.downlink_healthy ? std::max(probe_s, min_dead_s)
                         : machine.runs_services
                             ? std::min(probe_s, kServiceProbeHeartbeats * timing_.heartbeat_interval_s)
                             : probe_s;
  result.probe_again_after_s = machine.runs_services && machine.last_probe_unanswered
                                   ? kServiceReprobeIntervals * timing_.control_interval_s
                                   : timing_.control_interval_s;
  result.dead_after_s = std::max(
      min_dead_s,
      machine.runs_services ? std::min(dead_s, kServiceDeadIntervals * timing_.control_interval_s) : dead_s);
  return result;
}

UplinkState FailureDetector::uplink_state(double since_heartbeat_s) const {
  // Neither one lost response nor a cycle through all controllers counts as a lost uplink while half of the
  // lease is left.
  const double lost_response_s =
      kMaxHeartbeatIntervals * timing_.heartbeat_interval_s + unanswered_return_s(timing_);
  if (since_heartbeat_s <= std::max(lost_response_s, std::min(controller_cycle_s(), timing_.lease_s / 2)))
    return UplinkState::up;
  return since_heartbeat_s > timing_.lease_s * kDriftAllowance + kAllowanceS ? UplinkState::lost
                                                                             : UplinkState::overdue;
}

double FailureDetector::controller_cycle_s() const {
  return static_cast<double>(timing_.controllers) * (timing_.response_wait_s + kRetryDelayS) +
         timing_.heartbeat_interval_s;
}

bool FailureDetector::should_terminate(double since_heartbeat_s) const {
  return uplink_state(since_heartbeat_s) == UplinkState::lost &&
         since_heartbeat_s > kTerminateAfterLeases * timing_.lease_s;
}

}  // namespace bankhill::model
