// Whether a task that is started now will still be there when its machine's next heartbeat is answered. Only
// answered heartbeats extend an agent's lease; a command does not. After a time in which no controller
// answered, leases are about to end everywhere, and what is started by a command alone is lost with them.
//
// The opposite of AgentLease: that one counts a lease as long as it may be at most, for safety; this one as
// short as it may be, so that no work is lost. Nothing unsafe follows where it errs. Pure.
// Units: seconds on the leader's steady clock. Source: PROTOCOL, "Leases" and the table of a worker's
// retries.
#pragma once

#include <optional>

#include "model/heartbeat_timing.hpp"

namespace bankhill::model {

// When some controller acted as the leader, as far as this one knows.
class LeadershipHistory {
 public:
  explicit LeadershipHistory(const HeartbeatTiming& timing) : timing_(timing) {}
  void led(double at);
  // Until when every worker that could reach a leader was answered: a leadership counts once it has lasted
  // for so long that those which nobody had answered before have come.
  double answered_until() const { return answered_until_; }

 private:
  HeartbeatTiming timing_;
  double since_ = -1e9;  // without a gap
  double until_ = -1e9;
  double answered_until_ = -1e9;
};

class LeaseForecast {
 public:
  explicit LeaseForecast(const HeartbeatTiming& timing) : timing_(timing), history_(timing) {}

  // Another controller was known to act as the leader then; times must not fall.
  void record_peer_leading(double at) { history_.led(at); }
  // This controller acts as the leader at this moment. Says whether a gap of more than a control interval
  // ends with it.
  bool record_leading(double now);
  // Whether the lease lasts until the next heartbeat is answered. `answered_at`: when a heartbeat of the
  // present agent epoch was last answered by this leader; nothing: none was in this term.
  bool lasts_until_renewal(double now, std::optional<double> answered_at) const;

 private:
  bool renewed_late_enough(double now, double renewed_at) const;

  HeartbeatTiming timing_;
  LeadershipHistory history_;
  double acted_at_ = -1e9;
  double resumed_at_ = -1e9;      // since when it acts without a gap
  double answered_until_ = -1e9;  // before that gap, heartbeats were answered until then, as far as is known
};

}  // namespace bankhill::model
