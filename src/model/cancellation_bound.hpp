// Upper bound on the time for which a task of a cancelled job can remain on a machine, computed once from the
// platform's settings (docs/SAFETY.md, invariant 34). The limits on the leader's lease and on the age of its
// state follow from it.
// Units: seconds. Errors: none thrown; is_feasible() is false for settings under which the bound cannot hold.
// Source: PROTOCOL, "Leases", "Outages and cuts" and the rule ran_cancelled.
#pragma once

#include <string>

namespace bankhill::model {

// Factor on a duration after which it has passed on every machine: steady clocks drift by up to 0.05 % in
// either direction.
constexpr double kDriftAllowance = 1.002;
// Added to such a duration for timers that fire late: the end of a lease or a step of a process.
constexpr double kAllowanceS = 1;

class CancellationBound {
 public:
  // `cancel_s`: time within which tasks of a cancelled job must be gone; `response_wait_s`: time for which an
  // agent waits for the response to a heartbeat.
  CancellationBound(double lease_s, double cancel_s, double response_wait_s);

  // Maximum age of the leader's last read barrier, counted from when it was sent: a leader whose state is
  // older renews no agent's lease. Reduced where the settings leave less time.
  double max_read_age_s() const { return max_read_age_s_; }
  // Time-to-live of the leader's lease: well below the bound, so that a successor takes over in time.
  double leader_ttl_s() const;
  // Longest time from the commit of a cancellation until no task of the job can be on any machine.
  double worst_case_removal_s() const;
  bool is_feasible() const;
  // The terms of the bound with their values, for operators.
  std::string describe() const;

 private:
  double lease_s_;
  double cancel_s_;
  double response_wait_s_;
  double max_read_age_s_;
};

}  // namespace bankhill::model
