// Tells whether responses and commands reach a machine (its downlink), judged by what its heartbeats show of
// the responses before them. Heartbeats may arrive while responses and commands do not: such a machine looks
// up to date and empty. Pure: the caller passes the times.
//
// A later heartbeat in sequence can prove that a response was lost: an agent has one heartbeat outstanding at
// a time and drops a response that arrives after it has sent the next one. This does not prove whether the
// machine, the controller or the network lost the response. So the machine is probed directly before its
// downlink counts as lost, and a response to the probe clears it.
#pragma once

#include <cstdint>
#include <string>

#include "model/heartbeat_timing.hpp"
#include "wire/ids.hpp"

namespace bankhill::model {

class DownlinkHealth {
 public:
  // What a heartbeat received in sequence shows.
  struct Evidence {
    std::uint64_t sequence = 0;
    wire::AgentEpoch agent_epoch;
    wire::FencingToken fencing_token;
    std::string forwarded_by;       // controller that forwarded the heartbeat; empty: the leader received it
    bool start_missing = false;     // the task of a start in an earlier response is not listed
    bool new_start_listed = false;  // the task of a start in an earlier response is listed for the first time
    // The leader is the only controller, so the agent returns to it whether or not it received a response.
    bool only_controller = false;
  };
  enum class State { healthy, probing, lost };

  // Records a response that was sent while this controller was allowed to give commands.
  void response_sent(double now, std::uint64_t sequence, wire::AgentEpoch agent_epoch,
                     wire::FencingToken fencing_token, const std::string& forwarded_by);
  // Evaluates a new heartbeat that was received in sequence.
  void heartbeat_received(double now, const HeartbeatTiming& timing, const Evidence& evidence);
  // Records that a direct start command was not answered. The fault may be this controller's own link, so the
  // machine is probed but the failure does not count towards the back-off.
  void command_unanswered(double now);
  // Record that a direct probe was sent, and that it was answered or timed out.
  void probe_sent(double now, const HeartbeatTiming& timing);
  void probe_ended(double now, const HeartbeatTiming& timing, bool answered);

  State state() const { return state_; }
  bool takes_tasks() const { return state_ == State::healthy; }
  bool probe_due(double now) const { return state_ != State::healthy && now >= next_probe_at_; }
  // Whether more than one probe got no response since the downlink became suspect, so that replacements are
  // rented.
  bool considered_lost() const {
    return state_ == State::lost && unanswered_probes_ >= kConsideredLostProbes;
  }
  // Whether the downlink has been lost for so long that the machine is to be terminated.
  bool should_terminate(double now, const HeartbeatTiming& timing) const;
  // Time at which the downlink last became suspect, on the steady clock.
  double suspect_since() const { return suspect_since_; }

  // Times of the last heartbeat which showed that a response sent through a peer was received, or was lost.
  // They distinguish a leader whose own responses are lost from machines with a faulty downlink.
  double peer_response_received_at() const { return peer_response_received_at_; }
  double peer_response_lost_at() const { return peer_response_lost_at_; }

 private:
  static constexpr std::uint32_t kConsideredLostProbes = 2;
  // The last response sent to the machine.
  struct Response {
    std::uint64_t sequence = 0;  // 0: no response sent yet
    wire::AgentEpoch agent_epoch;
    wire::FencingToken fencing_token;
    std::string forwarded_by;
    double sent_at = 0;
  };
  // Starts probing. The first probe is due, and the machine can be used again, after `retry_after_s`.
  void mark_suspect(double now, double retry_after_s);
  // Delay before the next probe: doubles with each earlier attempt, at most a lease.
  double backoff_s(const HeartbeatTiming& timing, std::uint32_t attempts) const;

  State state_ = State::healthy;
  Response last_response_;
  double suspect_since_ = 0;
  wire::AgentEpoch suspected_epoch_;  // agent epoch at the time the downlink became suspect
  double next_probe_at_ = 0;
  // Earliest time at which the machine can be used again. Later if its downlink has failed repeatedly.
  double unusable_until_ = 0;
  std::uint32_t unanswered_probes_ = 0;  // number of probes without a response since it became suspect
  // Number of times that the downlink became suspect after a lost response, since a start was last received.
  std::uint32_t recurrences_ = 0;
  double peer_response_received_at_ = -1e9;
  double peer_response_lost_at_ = -1e9;
};

}  // namespace bankhill::model
