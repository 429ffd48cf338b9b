// Computes after how long without contact a machine is probed, gets no more tasks or counts as dead. Pure:
// the caller passes the times.
//
// There are two kinds of failure. A machine can be out of contact altogether, or it can answer direct
// requests while its heartbeats reach no controller. In the second case its lease is not renewed, because
// only answered heartbeats renew it, and a task started there would end with the lease.
#pragma once

#include "model/heartbeat_timing.hpp"

namespace bankhill::model {

// Whether a machine's heartbeats arrive, regardless of whether it answers direct requests.
enum class UplinkState {
  up,
  overdue,  // heartbeats are late: no tasks are started on the machine
  lost      // the lease has expired for certain: replacements are rented
};

class FailureDetector {
 public:
  struct Observation {
    bool runs_services = false;          // an outage of a service is noticed at once
    bool downlink_healthy = true;        // no sign that responses and commands do not reach the machine
    bool last_probe_unanswered = false;  // the last direct probe got no response
  };
  // Limits in seconds, counted from the last contact with the machine except where noted.
  struct Thresholds {
    double probe_after_s = 0;        // the machine is probed directly
    double probe_again_after_s = 0;  // the machine is probed again; counted from the last probe
    double overdue_after_s = 0;      // the machine gets no more tasks
    double dead_after_s = 0;         // the machine counts as dead if it does not answer probes either
  };

  explicit FailureDetector(const HeartbeatTiming& timing) : timing_(timing) {}
  Thresholds thresholds(const Observation& machine) const;
  UplinkState uplink_state(double since_heartbeat_s) const;
  // Whether the uplink has been lost for so long that the machine is to be terminated.
  bool should_terminate(double since_heartbeat_s) const;

 private:
  // Time an agent takes to try every controller when none responds, in seconds.
  double controller_cycle_s() const;

  HeartbeatTiming timing_;
};

}  // namespace bankhill::model
