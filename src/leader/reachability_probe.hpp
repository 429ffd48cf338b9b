// Tells whether this controller still reaches its machines, or should leave the leadership to another.
//
// A leader on the small side of a partition between zones, or cut off from the machines, keeps its lease
// through the state service and can give commands to few. It sends direct requests to a random sample of its
// machines, and resigns where most of them stay unanswered and another controller can be expected to do
// better. All decisions about one-way and two-way partitions of the controller itself are made here.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "runtime/log.hpp"
#include "runtime/loop.hpp"
#include "wire/ids.hpp"

namespace bankhill::leader {

class ReachabilityProbe {
 public:
  struct Settings {
    double lease_s = 40;
    double heartbeat_interval_s = 3;
    double control_interval_s = 3;
    std::size_t controllers = 1;
  };
  // What is known of a machine once the request to it was answered, or its time had run out.
  struct MachineState {
    bool unanswered = false;
    // Steady clock: when its heartbeats last showed that a response of a peer reached it, or was lost.
    double peer_response_arrived_at = 0;
    double peer_response_lost_at = 0;
    double last_heartbeat_at = 0;
  };
  // What it needs of the leader.
  struct Ports {
    // Machines that are expected to answer a direct request.
    std::function<std::vector<wire::MachineId>()> candidates;
    // Sends a direct request without commands; calls `done` once it was answered or given up.
    std::function<void(const wire::MachineId& machine_id, std::function<void()> done)> send_probe;
    // Nothing if the machine is no longer known: it then counts as one that answered.
    std::function<std::optional<MachineState>(const wire::MachineId& machine_id)> machine_state;
    // Whether any other controller is heard.
    std::function<bool()> has_peer_contact;
    std::function<void()> resign;
  };

  ReachabilityProbe(runtime::Loop& loop, runtime::Log log, Settings settings, Ports ports);

  // To be called with each tick of the leader; starts a sample when one is due.
  void tick(double term_began_at);
  // Gives rise to a sample when it comes often: a direct request stayed unanswered, or a heartbeat came
  // through a peer.
  void note_suspicion() { ++suspicions_; }
  // Whether samples have failed since some time ago, be it for the fault of this controller or not.
  bool failing() const { return failing_since_.has_value(); }
  // At the beginning and at the end of a leadership term. Requests under way count no more.
  void reset();

 private:
  struct Sample {
    std::size_t size = 0;
    std::size_t outstanding = 0;  // neither answered nor given up
    std::size_t unanswered = 0;
    // Of those unanswered:
    std::size_t downlink_alive = 0;  // responses of peers reach them
    std::size_t downlink_lost = 0;   // responses of peers are lost as well
    std::size_t uplink_lost = 0;     // not even their heartbeats arrive
  };

  void age_suspicions(double now);
  bool sample_due(double now, double term_began_at) const;
  std::vector<wire::MachineId> pick_machines();
  void start_sample(const std::vector<wire::MachineId>& machine_ids);
  void probe_done(const wire::MachineId& machine_id);
  void count_unanswered(const MachineState& state);
  void judge_sample();
  bool wait_for_evidence(double now) const;

  runtime::Loop& loop_;
  runtime::Log log_;
  Settings settings_;
  Ports ports_;

  Sample sample_;
  std::size_t suspicions_ = 0;           // in this control interval
  std::optional<double> failing_since_;  // steady clock: since when every sample failed
  double next_sample_at_ = 0;
  double suspicions_expire_at_ = 0;
};

}  // namespace bankhill::leader
