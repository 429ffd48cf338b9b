// Whether a machine hears what it is told, judged by what its heartbeats show of the answers before them.
// Pure: the times are told. Its reports may arrive while answers and commands do not reach it: such a machine
// looks fresh and empty.
//
// Proof that an answer was lost is a later heartbeat in its turn: a worker has one heartbeat under way at a
// time, and drops an answer that comes after the next heartbeat has gone. It proves nothing about who lost
// it, machine, controller or network: so the machine is asked directly before it counts as lost, and an
// answer to that clears it.
#pragma once

#include <cstdint>
#include <string>

#include "model/heartbeat_timing.hpp"
#include "wire/ids.hpp"

namespace bankhill::model {

class DownlinkHealth {
 public:
  // What a heartbeat that came in its turn shows.
  struct Evidence {
    std::uint64_t sequence = 0;
    wire::AgentEpoch agent_epoch;
    wire::FencingToken fencing_token;
    std::string forwarded_by;  // the controller that it came through; empty: the leader itself
    bool lost_start = false;   // a start that an earlier answer carried is not listed
    bool ran_start = false;    // one is listed for the first time
    bool alone = false;        // no other controller is there: a worker comes back here whatever it heard
  };
  enum class State { healthy, probing, lost };

  // A report was answered with the right to give orders.
  void response_sent(double now, std::uint64_t sequence, wire::AgentEpoch agent_epoch,
                     wire::FencingToken fencing_token, const std::string& by);
  // A newer heartbeat came in its turn.
  void heartbeat_received(double now, const HeartbeatTiming& times, const Evidence& shown);
  // A start sent directly was not answered. That may be our own link: it is asked, and no more is held
  // against it.
  void command_unanswered(double now);
  // A direct request was sent, answered, or not answered in time.
  void probe_sent(double now, const HeartbeatTiming& times);
  void probe_ended(double now, const HeartbeatTiming& times, bool reached);

  State state() const { return state_; }
  bool takes_tasks() const { return state_ == State::healthy; }
  bool probe_due(double now) const { return state_ != State::healthy && now >= next_probe_; }
  // Asked in vain more than once: others are rented in its place.
  bool considered_lost() const { return state_ == State::lost && unanswered_ >= kLostAfterProbes; }
  // To be returned to the cloud.
  bool should_terminate(double now, const HeartbeatTiming& times) const;
  double suspect_since() const { return since_; }  // steady clock: when it became suspect

  // When a heartbeat last showed that an answer of a peer was heard, or lost: tells a leader that is not
  // heard from machines that do not hear.
  double peer_response_received_at() const { return heard_by_peer_; }
  double peer_response_lost_at() const { return lost_by_peer_; }

 private:
  static constexpr std::uint32_t kLostAfterProbes = 2;
  struct Response {
    std::uint64_t sequence = 0;  // 0: none
    wire::AgentEpoch agent_epoch;
    wire::FencingToken fencing_token;
    std::string forwarded_by;
    double sent_at = 0;
  };
  void suspect(double now, double pause_s);
  double pause(const HeartbeatTiming& times, std::uint32_t times_before) const;

  State state_ = State::healthy;
  Response last_;
  double since_ = 0;
  wire::AgentEpoch suspected_epoch_;  // in which it became suspect
  double next_probe_ = 0;
  double hold_until_ = 0;         // one that fell back so soon is not used again before
  std::uint32_t unanswered_ = 0;  // questions, since it became suspect
  std::uint32_t relapses_ = 0;    // suspect again without an answer proved heard in between
  double heard_by_peer_ = -1e9;
  double lost_by_peer_ = -1e9;
};

}  // namespace bankhill::model
