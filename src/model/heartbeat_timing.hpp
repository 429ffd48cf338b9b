// The times that all decisions on missing heartbeats and lost responses go by.
#pragma once

#include <cstddef>

namespace bankhill::model {

// Seconds, but for the last.
struct HeartbeatTiming {
  double response_wait_s = 4;  // the worker drops a response that takes longer
  double heartbeat_interval_s = 3;
  double control_interval_s = 3;
  double lease_s = 40;
  std::size_t controllers = 1;
};

// Heartbeat intervals after which the next regular one has come: the protocol's interval varies by a quarter.
constexpr double kLatestHeartbeat = 1.25;
// A worker that got no answer tries the next controller so much later.
constexpr double kNextTryS = 1;

// A worker that lost an answer, or that nobody answers, is silent until it has given the answer up and tried
// the next controller, twice if the first cannot answer either.
inline double unanswered_return_s(const HeartbeatTiming& timing) {
  return timing.response_wait_s + 2 * kNextTryS;
}

// A machine with a lost link is returned after so many leases: its tasks are over for a lease by then.
constexpr double kGiveUpLeases = 2;

}  // namespace bankhill::model
