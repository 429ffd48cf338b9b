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
  // Records that a start was sent directly with this fencing token. An answer settles nothing: a copy of the
  // request may arrive at any later time, and is executed unless the agent has seen a higher token.
  void record_direct_start(wire::FencingToken fencing_token) {
    direct_token_ = std::max(direct_token_, fencing_token);
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
    return direct_token_.value == 0 || direct_token_ < seen;
  }
  // Whether no start in a heartbeat response can be executed any more. `sequence`: of the heartbeat just
  // received; nullopt for the response to a direct request, which proves nothing about heartbeat responses.
  bool response_start_settled(std::optional<std::uint64_t> sequence) const {
    return response_sequence_ == 0 || (sequence && is_reflected_in(*sequence));
  }

 private:
  wire::FencingToken direct_token_;      // highest token that a direct start was sent with; 0: none was sent
  std::uint64_t response_sequence_ = 0;  // sequence of the heartbeat whose response carried a start; 0: none
};

}  // namespace bankhill::model
