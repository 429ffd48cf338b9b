// How long a task of a cancelled job can still be on a machine, computed once from the platform's settings
// (docs/SAFETY.md, invariant 34). What limits the leader's validity follows from it.
// Units: seconds. Errors: none thrown; settings for which it cannot hold say so by is_feasible().
// Source: PROTOCOL, "Leases", "Outages and cuts" and the rule ran_cancelled.
#pragma once

#include <string>

namespace bankhill::model {

// A worker's lease has surely run out after this much more, its clock running slow: steady clocks differ by
// up to 0.05 % each way.
constexpr double kDriftAllowance = 1.002;
// And this much, for what ends late: a lease, a step of a process.
constexpr double kAllowanceS = 1;

class CancellationBound {
 public:
  // `answer_s`: that a worker waits for the answer to a heartbeat.
  CancellationBound(double lease_s, double cancel_s, double answer_s);

  // The age that the leader's last read barrier may have, counted from its sending: a leader whose knowledge
  // is older extends no worker's lease. It is cut where the settings leave less.
  double max_read_age_s() const { return read_age_s_; }
  // Time-to-live of the leader's lease: well within it, so that another takes over in time.
  double leader_ttl_s() const;
  // From the commit of a cancellation to the last moment at which a task of it can be on a machine.
  double worst_case_removal_s() const;
  bool is_feasible() const;
  // The sum in words.
  std::string describe() const;

 private:
  double lease_s_;
  double cancel_s_;
  double answer_s_;
  double read_age_s_;
};

}  // namespace bankhill::model
