// Watches each machine: boots that take too long, overdue heartbeats, expired leases, lost links, and
// machines that are given up as silent (docs/SAFETY.md, invariant 5). It decides; the leader carries out what
// follows for tasks, for the fleet and in the cloud.
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

// Control intervals in which a machine that is not confirmed in this term must answer: it holds up others'
// tasks.
constexpr double kUnconfirmedTimeoutIntervals = 0.5;

class MachineMonitor {
 public:
  struct Settings {
    model::HeartbeatTiming timing;
    double round_s = 15;
  };
  // Why a machine is given up.
  enum class Fault {
    never_booted,
    silent,         // neither heartbeats nor answers to probes arrive
    downlink_lost,  // heartbeats arrive, but no response or command reaches it
    uplink_lost     // it answers probes, but its heartbeats reach no controller
  };
  // As the reason of its termination in logs.
  static const char* text(Fault fault);

  // What the monitor causes, carried out by the leader.
  struct Ports {
    // Sends a direct request without commands.
    std::function<void(model::Machine& machine)> send_probe;
    std::function<void(model::Machine& machine, Fault fault)> terminate;
    // The machine takes no more tasks and is returned once empty.
    std::function<void(model::Machine& machine, const std::string& reason)> drain;
    // All agent epochs of its worker before `next` are over, with the tasks started in them.
    std::function<void(model::Machine& machine, wire::AgentEpoch next)> sessions_over;
    // The cloud may have taken it without notice.
    std::function<void(const model::Machine& machine)> lost_to_cloud;
    std::function<double(const model::Machine& machine)> usual_boot_s;
    std::function<void(const std::string& event)> count_event;
    std::function<void()> plan_soon;
    std::function<void()> place_soon;
  };
  // How long a machine has been silent, and how long it may be, at one moment. Kept through one check of a
  // machine, whose tasks may go while it lasts.
  struct SilenceCheck {
    double now = 0;
    double silence_s = 0;
    bool downlink_works = true;  // as far as is known
    model::FailureDetector::Thresholds limits;
  };

  // `fleet` must outlive it.
  MachineMonitor(runtime::Loop& loop, runtime::Log log, Settings settings, model::Fleet& fleet, Ports ports);

  void begin_term() { term_began_at_ = loop_.now(); }
  // No heartbeat could be taken until now: none that is missing tells anything of its machine.
  void listens_from_now() { listening_since_ = loop_.now(); }
  // A machine reached this controller, or the other way round, without a peer's help.
  void note_direct_contact() { last_direct_contact_at_ = loop_.now(); }

  // Of a machine that is not up yet.
  void check_boot(model::Machine& machine);
  // Counts a boot, and tells the operators when boots in general become bad or well again.
  void count_boot(bool in_time);

  // Of a machine that is up, in this order; between the two the leader returns those it no longer wants.
  SilenceCheck check_silence(const model::Machine& machine) const;
  void check_heartbeats(model::Machine& machine, const SilenceCheck& check);
  void check_given_up(model::Machine& machine, const SilenceCheck& check, bool reachability_in_doubt);

  // To be called after each heartbeat: whether its heartbeats come may have changed.
  void update_reporting(model::Machine& machine);
  // To be called after each change of its downlink's health, which was `before`.
  void downlink_changed(model::Machine& machine, model::DownlinkHealth::State before);
  const model::HeartbeatTiming& timing() const { return settings_.timing; }

 private:
  bool probe_due(const model::Machine& machine, const SilenceCheck& check) const;
  bool unconfirmed_probe_due(const model::Machine& machine, const SilenceCheck& check) const;
  void mark_overdue(model::Machine& machine, const SilenceCheck& check);
  bool lease_expired(const model::Machine& machine, double now) const;
  void expire_lease(model::Machine& machine);
  bool silent_for_too_long(const model::Machine& machine, const SilenceCheck& check) const;
  bool fault_may_be_ours(const model::Machine& machine, const SilenceCheck& check,
                         bool reachability_in_doubt) const;
  bool many_unheard(const model::Machine& machine) const;
  void check_lost_links(model::Machine& machine, double now);
  double unreported_s(const model::Machine& machine) const;

  runtime::Loop& loop_;
  runtime::Log log_;
  Settings settings_;
  model::Fleet& fleet_;
  Ports ports_;
  model::FailureDetector failure_detector_;

  model::BootStatistics boots_;
  // Steady clock.
  double boots_counted_at_ = 0;
  double term_began_at_ = 0;
  double listening_since_ = 0;  // without a gap
  double last_direct_contact_at_ = 0;
};

}  // namespace bankhill::leader
