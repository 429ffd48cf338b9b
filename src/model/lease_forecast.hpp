// Predicts whether an agent's lease lasts until its next heartbeat is answered. Only answered heartbeats
// renew the lease; a command does not. After a period in which no controller answered heartbeats, leases are
// about to expire everywhere, and tasks started by a direct command would be lost with them.
//
// The counterpart of AgentLease, which is an upper bound on a lease, for safety; this is a lower bound, so
// that no work is lost. A wrong prediction violates no safety invariant. Pure. Units: seconds on the leader's
// steady clock. Source: PROTOCOL, "Leases" and the table of a worker's retries.
#pragma once

#include <optional>

#include "model/heartbeat_timing.hpp"

namespace bankhill::model {

// The periods in which some controller acted as the leader, as far as this controller knows.
class LeadershipHistory {
 public:
  explicit LeadershipHistory(const HeartbeatTiming& timing) : timing_(timing) {}
  // Records that some controller acted as the leader at this time.
  void record_leading(double at);
  // Time until which every agent that could reach a leader was answered. A leader counts once it has led for
  // long enough that agents which received no response before it have reached it.
  double answered_until() const { return answered_until_; }

 private:
  HeartbeatTiming timing_;
  double leading_since_ = -1e9;  // start of the last period of leading without a gap
  double leading_until_ = -1e9;
  double answered_until_ = -1e9;
};

class LeaseForecast {
 public:
  explicit LeaseForecast(const HeartbeatTiming& timing) : timing_(timing), history_(timing) {}

  // Records that another controller acted as the leader at this time. Times must not decrease.
  void record_peer_leading(double at) { history_.record_leading(at); }
  // Records that this controller acts as the leader now. Returns whether this ends a gap of more than a
  // control interval.
  bool record_leading(double now);
  // Whether the lease of an agent lasts until its next heartbeat is answered. `answered_at`: time at which
  // this leader last answered a heartbeat of the current agent epoch; nullopt: not yet in this term.
  bool lasts_until_renewal(double now, std::optional<double> answered_at) const;

 private:
  // Whether a lease renewed by a response at `answered_at` outlasts the longest gap before the agent's next
  // heartbeat.
  bool renewal_outlasts_retry(double now, double answered_at) const;

  HeartbeatTiming timing_;
  LeadershipHistory history_;
  double last_leading_at_ = -1e9;
  double resumed_at_ = -1e9;  // time since which this controller has led without a gap
  // Latest time before that gap until which heartbeats are known to have been answered.
  double answered_until_ = -1e9;
};

}  // namespace bankhill::model
