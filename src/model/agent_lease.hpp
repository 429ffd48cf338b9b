// Bounds on how long work on a machine can continue (docs/SAFETY.md, invariants 5, 6 and 7): the latest end
// of the agent's lease, and the start commands that may still arrive there. Both assume the worst case where
// nothing is known. Units: seconds on the leader's steady clock. Errors: none. Source: PROTOCOL, "Leases",
// "Tokens" and "Delayed messages".
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "model/cancellation_bound.hpp"
#include "wire/ids.hpp"

namespace bankhill::model {

// Upper bound on an agent's lease. The lease runs from the time at which the agent sent a heartbeat that was
// answered, so the time of the response is the latest possible start. A response that is still in a socket
// buffer was counted when the leader sent it; a machine that hangs and resumes is bound by the same lease.
class AgentLease {
 public:
  // Records that the lease may have been renewed up to `now`: by a response, by an agent epoch whose start
  // was not observed, or by an earlier leader.
  void record_renewal(double now) { renewed_at_ = std::max(renewed_at_, now); }
  // Time from which no task of this agent epoch can run any more, even on a machine that is unreachable or
  // hangs.
  double latest_expiry_at(double lease_s) const {
    return renewed_at_ + lease_s * kDriftAllowance + kAllowanceS;
  }

 private:
  double renewed_at_ = 0;
};

// The start commands of one attempt that were sent and may still be executed.
class InFlightStarts {
 public:
  void record_direct_start() { ++unanswered_; }
  // Records the end of a direct start request. One that was not answered may still arrive, and is executed
  // unless the agent has already seen a higher fencing token.
  void record_direct_result(wire::FencingToken fencing_token, bool answered) {
    unanswered_ = std::max(0, unanswered_ - 1);
    if (!answered) unknown_outcome_token_ = std::max(unknown_outcome_token_, fencing_token);
  }
  // Records that the response to the heartbeat with this sequence number carried the start.
  void record_response_start(std::uint64_t sequence) { response_sequence_ = sequence; }
  // Whether the heartbeat with this sequence number was sent after the agent had received that response or
  // had stopped waiting for it. Not to be called for the response to a direct request.
  bool is_reflected_in(std::uint64_t sequence) const {
    return response_sequence_ != 0 && response_sequence_ < sequence;
  }
  // Whether no direct start can be executed any more by an agent that has seen the token `seen`.
  bool direct_starts_settled(wire::FencingToken seen) const {
    return unanswered_ == 0 && (unknown_outcome_token_.value == 0 || unknown_outcome_token_ < seen);
  }
  // Whether no start in a heartbeat response can be executed any more. `sequence`: of the heartbeat just
  // received; nullopt for the response to a direct request, which proves nothing about heartbeat responses.
  bool response_start_settled(std::optional<std::uint64_t> sequence) const {
    return response_sequence_ == 0 || (sequence && is_reflected_in(*sequence));
  }
  // Whether a direct start with this fencing token has an unknown outcome.
  bool has_unknown_outcome(wire::FencingToken fencing_token) const {
    return unknown_outcome_token_ == fencing_token;
  }

 private:
  int unanswered_ = 0;                        // number of direct start requests without a response so far
  wire::FencingToken unknown_outcome_token_;  // highest token of a direct start with unknown outcome; 0: none
  std::uint64_t response_sequence_ = 0;  // sequence of the heartbeat whose response carried a start; 0: none
};

}  // namespace bankhill::model
