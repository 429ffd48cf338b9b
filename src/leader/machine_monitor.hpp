// Monitors each machine: overdue boots, overdue heartbeats, expired leases, lost links, and machines that
// have to be terminated because they are unreachable (docs/SAFETY.md, invariant 5). The monitor decides; the
// leader carries out the consequences for tasks, for the fleet and in the cloud.
#pragma once

#include <functional>
#include <string>

#include "model/boot_statistics.hpp"
#include "model/failure_detector.hpp"
#include "model/fleet.hpp"
#include "model/heartbeat_timing.hpp"
#include "runtime/log.hpp"
#include "runtime/loop.hpp"

namespace bankhill::leader {

// Response timeout for a machine that is not confirmed in this term, in control intervals. It is short
// because tasks of other machines wait until the machine is confirmed.
constexpr double kUnconfirmedProbeTimeoutIntervals = 0.5;

// Owned by the leader, which calls it for every machine of the fleet in turn.
class MachineMonitor {
 public:
  struct Settings {
    model::HeartbeatTiming timing;
    double round_s = 15;
  };
  // Why a machine is terminated.
  enum class Fault {
    never_booted,
    unreachable,    // Neither heartbeats nor responses to probes arrive.
    downlink_lost,  // Heartbeats arrive, but no response or command reaches the machine.
    uplink_lost     // The machine answers probes, but its heartbeats reach no controller.
  };
  // The reason of the termination, as logged.
  static const char* termination_reason(Fault fault);

  // Actions that the monitor requests and the leader carries out.
  struct Ports {
    // Sends a direct request without commands.
    std::function<void(model::Machine& machine)> send_probe;
    std::function<void(model::Machine& machine, Fault fault)> terminate;
    // Stops placement on the machine and terminates it once it is empty.
    std::function<void(model::Machine& machine, const std::string& reason)> drain;
    // All agent epochs of the machine before `next` have ended, and with them the tasks started there.
    std::function<void(model::Machine& machine, wire::AgentEpoch next)> on_agent_epochs_ended;
    // The cloud may have reclaimed the machine without notice.
    std::function<void(const model::Machine& machine)> on_presumed_reclaim;
    std::function<double(const model::Machine& machine)> usual_boot_s;
    std::function<void(const std::string& event)> count_event;
    std::function<void()> schedule_planning;
    std::function<void()> schedule_placement;
  };
  // Time since the last contact with a machine and the thresholds for it, at one moment. The same values are
  // used for one whole check of the machine, although its tasks may be removed during the check.
  struct ContactCheck {
    double now = 0;
    double since_contact_s = 0;
    bool downlink_works = true;  // False if the downlink is suspect or lost.
    model::FailureDetector::Thresholds thresholds;
  };

  // `fleet` must outlive the monitor.
  MachineMonitor(runtime::Loop& loop, runtime::Log log, Settings settings, model::Fleet& fleet, Ports ports);

  void begin_term() { term_began_at_ = loop_.now(); }
  // This controller could not accept heartbeats until now: heartbeats missing so far say nothing about a
  // machine.
  void restart_listening() { listening_since_ = loop_.now(); }
  // A machine reached this controller, or this controller a machine, without the help of a peer.
  void record_direct_contact() { last_direct_contact_at_ = loop_.now(); }

  // Checks a machine that is not up yet.
  void check_boot(model::Machine& machine);
  // Counts a boot, and logs when boots in general become slow or return to normal.
  void count_boot(bool in_time);

  // The checks of a machine that is up, called in this order. Before the last one the leader terminates
  // machines that it no longer needs.
  ContactCheck check_contact(const model::Machine& machine) const;
  void check_heartbeats(model::Machine& machine, const ContactCheck& check);
  void check_unreachable(model::Machine& machine, const ContactCheck& check, bool reachability_uncertain);

  // Updates the state of the machine's uplink. Must be called after each heartbeat.
  void update_uplink(model::Machine& machine);
  // Must be called after each change of the machine's downlink state, which was `before`.
  void on_downlink_changed(model::Machine& machine, model::DownlinkHealth::State before);
  const model::HeartbeatTiming& timing() const { return settings_.timing; }

 private:
  bool is_probe_due(const model::Machine& machine, const ContactCheck& check) const;
  bool is_unconfirmed_probe_due(const model::Machine& machine, const ContactCheck& check) const;
  void mark_overdue(model::Machine& machine, const ContactCheck& check);
  bool has_lease_expired(const model::Machine& machine, double now) const;
  void expire_lease(model::Machine& machine);
  bool is_contact_timed_out(const model::Machine& machine, const ContactCheck& check) const;
  bool may_be_controller_fault(const model::Machine& machine, const ContactCheck& check,
                               bool reachability_uncertain) const;
  bool has_zone_outage(const model::Machine& machine) const;
  void check_lost_links(model::Machine& machine, double now);
  double since_heartbeat_s(const model::Machine& machine) const;

  runtime::Loop& loop_;
  runtime::Log log_;
  Settings settings_;
  model::Fleet& fleet_;
  Ports ports_;
  model::FailureDetector failure_detector_;

  model::BootStatistics boot_statistics_;
  // Times on the steady clock.
  double boots_last_counted_at_ = 0;
  double term_began_at_ = 0;
  double listening_since_ = 0;  // Start of the current period without a gap in accepting heartbeats.
  double last_direct_contact_at_ = 0;
};

}  // namespace bankhill::leader
