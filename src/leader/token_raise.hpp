// Decides when the leader raises its fencing token. An agent that has seen a higher token refuses every
// command that was sent to it directly under a lower one, however late a copy of it arrives (docs/SAFETY.md,
// invariants 6 and 7). Pure: the caller passes the times, in seconds on the steady clock, and raises the
// token.
#pragma once

namespace bankhill::leader {

class TokenRaise {
 public:
  // What waits for a higher token, in ascending order.
  enum class Demand {
    none,
    routine,  // exited attempts that agents still list
    urgent,   // a task that cannot be started elsewhere before, or an agent that lists many exited attempts
  };

  // An agent sends a heartbeat of its own for a higher token once in half a lease at most (PROTOCOL, "Workers
  // -> controller nodes"), which is therefore the routine interval.
  TokenRaise(double control_interval_s, double lease_s)
      : urgent_interval_s_(2 * control_interval_s), routine_interval_s_(lease_s / 2) {}

  // Begins a new look at what waits.
  void begin_pass() { demand_ = Demand::none; }
  void add_demand(Demand demand) { demand_ = demand > demand_ ? demand : demand_; }
  // Whether to raise the token now. An attempt that does not succeed is repeated like any other.
  bool should_raise(double now);

 private:
  double urgent_interval_s_;
  double routine_interval_s_;
  Demand demand_ = Demand::none;
  double raised_at_ = -1e9;  // time of the last attempt
};

}  // namespace bankhill::leader
