// Timing parameters for all decisions on missing heartbeats and lost responses.
#pragma once

#include <cstddef>

namespace bankhill::model {

// Intervals and timeouts of the heartbeat protocol, and the number of controllers of the site.
struct HeartbeatTiming {
  double response_wait_s = 4;  // the agent discards a heartbeat response that takes longer
  double heartbeat_interval_s = 3;
  double control_interval_s = 3;
  double lease_s = 40;
  std::size_t controllers = 1;
};

// Longest time between two regular heartbeats, in heartbeat intervals: the protocol varies the interval by a
// quarter.
constexpr double kMaxHeartbeatIntervals = 1.25;
// Delay after which an agent without a response retries with the next controller, in seconds.
constexpr double kRetryDelayS = 1;

// Longest time after which an agent that receives no response sends its next heartbeat to a controller that
// can respond: it waits for the response, then tries the next controller, and one more if that one cannot
// respond either.
inline double unanswered_return_s(const HeartbeatTiming& timing) {
  return timing.response_wait_s + 2 * kRetryDelayS;
}

// Number of lease durations after which a machine with a lost uplink or downlink is terminated: its tasks
// ended with its lease, one lease duration earlier.
constexpr double kTerminateAfterLeases = 2;

}  // namespace bankhill::model
