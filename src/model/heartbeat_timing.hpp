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

// A machine with a lost link is returned after so many leases: its tasks are over for a lease by then.
constexpr double kGiveUpLeases = 2;

}  // namespace bankhill::model
