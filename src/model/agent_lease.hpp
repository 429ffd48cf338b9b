// When what was ordered on a machine is surely over (docs/SAFETY.md, invariants 5, 6 and 7): the one count of
// a worker's lease, and of the starts that may still arrive there. Where nothing is known both take the
// worst. Units: seconds on the leader's steady clock. Errors: none. Source: PROTOCOL, "Leases", "Tokens" and
// "Delayed messages".
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "model/cancellation_bound.hpp"
#include "wire/ids.hpp"

namespace bankhill::model {

// A worker's lease counts from when it sent a heartbeat that was answered, so at the latest from the answer.
// A machine that hangs goes on within its lease or not at all; an answer that waits in its socket was counted
// when it was given.
class AgentLease {
 public:
  // It may have been lengthened until now: an answer, an agent epoch that began unseen, an earlier leader.
  void record_renewal(double now) { renewed_ = std::max(renewed_, now); }
  // From here on the tasks of this agent epoch are gone, whatever cannot be reached or hangs.
  double latest_expiry_at(double lease_s) const { return renewed_ + lease_s * kDriftAllowance + kAllowanceS; }

 private:
  double renewed_ = 0;
};

// Starts of one attempt that were sent and may still be executed.
class InFlightStarts {
 public:
  void record_direct_start() { ++unanswered_; }
  // A direct start was answered, or given up and may arrive as long as its fencing token is not below what
  // the worker has seen.
  void record_direct_result(wire::FencingToken fencing_token, bool answered) {
    unanswered_ = std::max(0, unanswered_ - 1);
    if (!answered) doubt_ = std::max(doubt_, fencing_token);
  }
  // The answer to the heartbeat of this counter carried it.
  void record_response_start(std::uint64_t counter) { answered_counter_ = counter; }
  // Whether this heartbeat, not a direct answer, was sent after the worker had that answer, or lost it.
  bool is_reflected_in(std::uint64_t counter) const {
    return answered_counter_ != 0 && answered_counter_ < counter;
  }
  bool direct_starts_settled(wire::FencingToken seen) const {
    return unanswered_ == 0 && (doubt_.value == 0 || doubt_ < seen);
  }
  // Nothing: a direct answer, which shows nothing of it.
  bool response_start_settled(std::optional<std::uint64_t> counter) const {
    return answered_counter_ == 0 || (counter && is_reflected_in(*counter));
  }
  bool in_doubt(wire::FencingToken fencing_token) const { return doubt_ == fencing_token; }

 private:
  int unanswered_ = 0;
  wire::FencingToken doubt_;  // 0: none
  std::uint64_t answered_counter_ = 0;
};

}  // namespace bankhill::model
