#include "model/failure_detector.hpp"

#include <algorithm>

#include "model/cancellation_bound.hpp"

namespace bankhill::model {

namespace {
// Beyond the latest report, in control intervals.
constexpr double kProbeAfter = 0.45;   // silence after which a machine is asked directly
constexpr double kSilentAfter = 1.75;  // silence after which it is given up
constexpr double kServiceProbe = 0.5;  // heartbeat intervals after which a machine with services is asked
constexpr double kServiceSilent = 2;   // control intervals after which one that does not answer is given up
constexpr double kServiceAgain =
    0.75;  // control intervals after which one that does not answer is asked again
}  // namespace

FailureDetector::Thresholds FailureDetector::thresholds(const Observation& machine) const {
  const double latest = kLatestHeartbeat * times_.heartbeat_interval_s;
  const double probe = latest + kProbeAfter * times_.control_interval_s;
  const double silent = latest + kSilentAfter * times_.control_interval_s;
  // One that hears no answer goes on from one controller to the next, and one that names another to it shows
  // us nothing of it: a machine known for that may be silent for a whole round without being gone.
  const double lost_answer = unanswered_return_s(times_);
  const double walks = machine.downlink_healthy ? lost_answer : std::min(round_s(), times_.lease_s);
  Thresholds result;
  result.overdue_after_s = probe;
  result.probe_after_s = !machine.downlink_healthy ? std::max(probe, walks)
                         : machine.runs_services
                             ? std::min(probe, kServiceProbe * times_.heartbeat_interval_s)
                             : probe;
  result.probe_again_after_s = machine.runs_services && machine.unanswered
                                   ? kServiceAgain * times_.control_interval_s
                                   : times_.control_interval_s;
  result.dead_after_s = std::max(
      walks, machine.runs_services ? std::min(silent, kServiceSilent * times_.control_interval_s) : silent);
  return result;
}

UplinkState FailureDetector::uplink_state(double unreported_s) const {
  // One lost answer is no sign of it, nor is a round of the controllers, as long as half a lease is left.
  const double lost_answer = kLatestHeartbeat * times_.heartbeat_interval_s + unanswered_return_s(times_);
  if (unreported_s <= std::max(lost_answer, std::min(round_s(), times_.lease_s / 2))) return UplinkState::up;
  return unreported_s > times_.lease_s * kDriftAllowance + kAllowanceS ? UplinkState::lost
                                                                       : UplinkState::overdue;
}

double FailureDetector::round_s() const {
  return static_cast<double>(times_.controllers) * (times_.response_wait_s + kNextTryS) +
         times_.heartbeat_interval_s;
}

bool FailureDetector::should_terminate(double unreported_s) const {
  return uplink_state(unreported_s) == UplinkState::lost && unreported_s > kGiveUpLeases * times_.lease_s;
}

}  // namespace bankhill::model
