// Decides whether this controller still reaches its machines, or should leave the leadership to a peer.
//
// A leader on the smaller side of a partition between zones, or cut off from the machines, keeps its lease
// through the state service but can send commands to few machines. It sends direct requests to a random
// sample of its machines, and resigns if most of them stay unanswered and a peer can be expected to reach
// more. All decisions about one-way and two-way partitions of the controller itself are made here.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "runtime/log.hpp"
#include "runtime/loop.hpp"
#include "wire/ids.hpp"

namespace bankhill::leader {

// Owned by the leader, which calls tick() while it leads.
class ReachabilityProbe {
 public:
  struct Settings {
    double lease_s = 40;
    double heartbeat_interval_s = 3;
    double control_interval_s = 3;
    std::size_t controllers = 1;
  };
  // What the leader knows of a machine after its probe was answered or timed out.
  struct MachineState {
    bool unanswered = false;
    // Times on the steady clock at which the machine's heartbeats last showed that it received a response
    // sent by a peer, and that such a response was lost.
    double peer_response_arrived_at = 0;
    double peer_response_lost_at = 0;
    double last_heartbeat_at = 0;  // Time of the machine's last heartbeat, on the steady clock.
  };
  // Functions that the leader provides.
  struct Ports {
    // The machines that are expected to answer a direct request.
    std::function<std::vector<wire::MachineId>()> candidates;
    // Sends a direct request without commands; calls `done` after it was answered or timed out.
    std::function<void(const wire::MachineId& machine_id, std::function<void()> done)> send_probe;
    // The state of a machine. A machine that is no longer known (nullopt) counts as one that answered.
    std::function<std::optional<MachineState>(const wire::MachineId& machine_id)> machine_state;
    // Whether any other controller is in contact with this one.
    std::function<bool()> has_peer_contact;
    std::function<void()> resign;
  };

  ReachabilityProbe(runtime::Loop& loop, runtime::Log log, Settings settings, Ports ports);

  // Starts a sample if one is due. Must be called with each tick of the leader.
  void tick(double term_began_at);
  // Counts an event that hints at a lost link of this controller: a direct request that stayed unanswered, or
  // a heartbeat relayed by a peer. Several of them within a control interval cause a sample.
  void record_suspicion() { ++suspicions_; }
  // Whether the last samples failed, be it by the fault of this controller or not.
  bool is_failing() const { return failing_since_.has_value(); }
  // Discards the sample in progress. Must be called when a leadership term begins or ends; probes in flight
  // are then ignored.
  void reset();

 private:
  struct Sample {
    std::size_t size = 0;
    std::size_t outstanding = 0;  // Probes neither answered nor timed out.
    std::size_t unanswered = 0;   // Machines that did not answer.
    // Of the machines that did not answer:
    std::size_t downlink_works = 0;  // Machines that receive responses from peers.
    std::size_t downlink_lost = 0;   // Machines that lose responses from peers as well.
    std::size_t uplink_lost = 0;     // Machines whose heartbeats do not arrive either.
  };

  void expire_suspicions(double now);
  bool is_sample_due(double now, double term_began_at) const;
  std::vector<wire::MachineId> pick_machines();
  void start_sample(const std::vector<wire::MachineId>& machine_ids);
  void on_probe_done(const wire::MachineId& machine_id);
  void count_unanswered(const MachineState& state);
  void evaluate_sample();
  bool should_wait_for_evidence(double now) const;

  runtime::Loop& loop_;
  runtime::Log log_;
  Settings settings_;
  Ports ports_;

  Sample sample_;
  std::size_t suspicions_ = 0;           // Number of suspicions in the current control interval.
  std::optional<double> failing_since_;  // Steady clock: time since which every sample has failed.
  double next_sample_at_ = 0;
  double suspicions_expire_at_ = 0;
};

}  // namespace bankhill::leader
