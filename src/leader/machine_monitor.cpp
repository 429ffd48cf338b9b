#include "leader/machine_monitor.hpp"

#include <algorithm>
#include <utility>

#include "model/decay.hpp"

namespace bankhill::leader {

using model::Machine;

namespace {
// Minimum number of consecutive unanswered probes before a machine is terminated as unreachable.
constexpr std::uint32_t kMinUnansweredProbes = 2;
// Control intervals after the start of the term at which a machine without contact in this term is
// terminated.
constexpr double kUnconfirmedDeadIntervals = 1.5;
// If contact is lost with more than this share of a zone's machines, the network or this controller is
// assumed to be at fault, not the machines.
constexpr double kZoneOutageShare = 0.4;
// Multiple of the machine type's usual boot time after which a boot counts as overdue. By the protocol a
// usual boot takes up to 1.5 times that time.
constexpr double kBootOverdueRatio = 1.6;
// Multiple of the usual boot time after which the boot has failed and the machine is terminated.
constexpr double kBootFailedRatio = 3;
}  // namespace

const char* MachineMonitor::termination_reason(Fault fault) {
  switch (fault) {
    case Fault::never_booted:
      return "boot timed out";
    case Fault::unreachable:
      return "unreachable";
    case Fault::downlink_lost:
      return "downlink lost";
    case Fault::uplink_lost:
      return "uplink lost";
  }
  return "";
}

MachineMonitor::MachineMonitor(runtime::Loop& loop, runtime::Log log, Settings settings, model::Fleet& fleet,
                               Ports ports)
    : loop_(loop),
      log_(std::move(log)),
      settings_(settings),
      fleet_(fleet),
      ports_(std::move(ports)),
      failure_detector_(settings_.timing) {}

// Boots.

void MachineMonitor::check_boot(Machine& machine) {
  const double usual_s = ports_.usual_boot_s(machine);
  const double boot_time_s = loop_.now() - machine.first_seen;
  if (boot_time_s > kBootOverdueRatio * usual_s && !std::exchange(machine.boot_overdue, true)) {
    count_boot(false);
    fleet_.refresh(machine);
    ports_.schedule_planning();
  }
  if (boot_time_s > kBootFailedRatio * usual_s) ports_.terminate(machine, Fault::never_booted);
}

void MachineMonitor::count_boot(bool in_time) {
  const double now = loop_.now();
  const double passed_s = now - std::exchange(boots_last_counted_at_, now);
  const auto became_slow = boot_statistics_.record_boot(in_time, model::decay(passed_s, settings_.round_s));
  if (!became_slow) return;
  if (*became_slow)
    log_->warn("boots: {:.0f} % of the last {:.0f} machines are overdue, renting replacements",
               100 * boot_statistics_.late_share(), boot_statistics_.weighted_count());
  else
    log_->info("boots: back to normal, {:.0f} % of the last {:.0f} machines are overdue",
               100 * boot_statistics_.late_share(), boot_statistics_.weighted_count());
}

// Heartbeats and the lease.

MachineMonitor::ContactCheck MachineMonitor::check_contact(const Machine& machine) const {
  ContactCheck check;
  check.now = loop_.now();
  check.since_contact_s = check.now - machine.last_contact;
  check.downlink_works = machine.downlink.takes_tasks();
  // Users notice the outage of a service at once, so machines with services are probed between two heartbeats
  // and terminated sooner.
  check.thresholds = failure_detector_.thresholds(
      {machine.service_cores > 0, check.downlink_works, machine.probes_unanswered > 0});
  return check;
}

void MachineMonitor::check_heartbeats(Machine& machine, const ContactCheck& check) {
  if (is_probe_due(machine, check)) ports_.send_probe(machine);
  mark_overdue(machine, check);
  update_uplink(machine);
  if (has_lease_expired(machine, check.now)) expire_lease(machine);
}

bool MachineMonitor::is_probe_due(const Machine& machine, const ContactCheck& check) const {
  if (machine.downlink.probe_due(check.now)) return true;
  return check.since_contact_s > check.thresholds.probe_after_s &&
         check.now - machine.last_probe > check.thresholds.probe_again_after_s;
}

void MachineMonitor::mark_overdue(Machine& machine, const ContactCheck& check) {
  const bool service_unanswered = machine.service_cores > 0 && machine.probes_unanswered > 0;
  if (machine.overdue || (check.since_contact_s <= check.thresholds.overdue_after_s && !service_unanswered))
    return;
  machine.overdue = true;
  fleet_.refresh(machine);
}

void MachineMonitor::update_uplink(Machine& machine) {
  const auto before = machine.uplink;
  machine.uplink = failure_detector_.uplink_state(since_heartbeat_s(machine));
  if (machine.uplink == before) return;
  fleet_.refresh(machine);
  if (machine.uplink == model::UplinkState::up) machine.restart_idle_time(loop_.now());
  ports_.schedule_placement();
  ports_.schedule_planning();
}

double MachineMonitor::since_heartbeat_s(const Machine& machine) const {
  return loop_.now() - std::max({machine.last_heartbeat_received_at, term_began_at_, listening_since_});
}

// Invariant 5: no earlier leader answered a heartbeat after this term began, so leases granted by earlier
// leaders are covered too.
bool MachineMonitor::has_lease_expired(const Machine& machine, double now) const {
  return now > machine.lease.latest_expiry_at(settings_.timing.lease_s);
}

void MachineMonitor::expire_lease(Machine& machine) {
  if (!machine.confirmed) {
    log_->debug("machine {}: agent lease expired before the machine was confirmed, draining it",
                machine.id.value);
    machine.confirmed = true;
    ports_.drain(machine, "lease expired while unconfirmed");
  }
  // Done only once per expiry. Nothing is placed on the machine until its next heartbeat: a task started in
  // an agent epoch that is only assumed could run although its lease appears to have expired long ago.
  if (!std::exchange(machine.lease_expired, true)) {
    const wire::AgentEpoch next{machine.agent_epoch.value + 1};
    ports_.on_agent_epochs_ended(machine, next);
    machine.agent_epoch = next;
    machine.last_sequence = machine.heartbeat_sequence = 0;
  }
  fleet_.refresh(machine);
}

// One-way links.

void MachineMonitor::on_downlink_changed(Machine& machine, model::DownlinkHealth::State before) {
  using State = model::DownlinkHealth::State;
  const auto state = machine.downlink.state();
  if (state == before) return;
  fleet_.refresh(machine);
  if (state == State::probing) {
    log_->debug("machine {}: a response or command was not delivered, probing its downlink",
                machine.id.value);
    ports_.count_event("downlinks probed");
  } else if (state == State::lost) {
    log_->warn(
        "machine {}: downlink lost: heartbeats arrive, responses and commands do not; placing no tasks there "
        "until it recovers",
        machine.id.value);
    ports_.count_event("downlinks lost");
    ports_.schedule_planning();
  } else {
    if (before == State::lost) {
      log_->info("machine {}: downlink recovered after {:.0f} s", machine.id.value,
                 loop_.now() - machine.downlink.suspect_since());
      ports_.count_event("downlinks recovered");
    }
    machine.restart_idle_time(loop_.now());
    ports_.schedule_placement();
  }
}

// A machine with a lost link is terminated only when no tasks are assigned to it: its tasks end with its
// agent epoch, and while there is an assignment some commands still reach the machine.
void MachineMonitor::check_lost_links(Machine& machine, double now) {
  const bool downlink_lost = machine.downlink.should_terminate(now, settings_.timing);
  const bool uplink_lost = failure_detector_.should_terminate(since_heartbeat_s(machine));
  if (!downlink_lost && !uplink_lost) return;
  if (!machine.assignments.empty() || !machine.confirmed || has_zone_outage(machine)) return;
  ports_.terminate(machine, downlink_lost ? Fault::downlink_lost : Fault::uplink_lost);
}

// Unreachable machines.

void MachineMonitor::check_unreachable(Machine& machine, const ContactCheck& check,
                                       bool reachability_uncertain) {
  if (is_unconfirmed_probe_due(machine, check)) ports_.send_probe(machine);
  if (!is_contact_timed_out(machine, check)) return check_lost_links(machine, check.now);
  if (machine.confirmed && may_be_controller_fault(machine, check, reachability_uncertain)) return;
  // If many machines of a zone are affected at once, the network is the likely cause. Terminating them would
  // end tasks that still run there.
  const double without_contact_s = check.now - std::max(machine.last_contact, term_began_at_);
  if (has_zone_outage(machine) && without_contact_s < settings_.timing.lease_s) return;
  if (!machine.preemption_at && machine.preemptible && !machine.terminating)
    ports_.on_presumed_reclaim(machine);
  ports_.terminate(machine, Fault::unreachable);
}

bool MachineMonitor::is_unconfirmed_probe_due(const Machine& machine, const ContactCheck& check) const {
  return !machine.confirmed && check.downlink_works && machine.probes_unanswered > 0 &&
         check.now - machine.last_probe >
             kUnconfirmedProbeTimeoutIntervals * settings_.timing.control_interval_s;
}

// A machine without contact in this term is given less time, because tasks of other machines wait for its
// confirmation.
bool MachineMonitor::is_contact_timed_out(const Machine& machine, const ContactCheck& check) const {
  if (machine.probes_unanswered < kMinUnansweredProbes) return false;
  if (machine.confirmed) return check.since_contact_s > check.thresholds.dead_after_s;
  return check.now - term_began_at_ > kUnconfirmedDeadIntervals * settings_.timing.control_interval_s;
}

// The machine is terminated only if another machine was in direct contact since, or if it is the only one up,
// and only while this controller does not doubt its own reachability.
bool MachineMonitor::may_be_controller_fault(const Machine& machine, const ContactCheck& check,
                                             bool reachability_uncertain) const {
  if (check.since_contact_s >= settings_.timing.lease_s) return false;
  const bool has_other_contact =
      last_direct_contact_at_ >= machine.last_contact + check.thresholds.dead_after_s / 2;
  if (fleet_.total().up > 1 && !has_other_contact) return true;
  return reachability_uncertain;
}

// If many machines of a zone are affected at once, the network or this controller is the likely cause.
// Terminating them one by one would empty the fleet.
bool MachineMonitor::has_zone_outage(const Machine& machine) const {
  const auto totals = fleet_.zone_totals(machine.zone);
  const auto affected = totals.overdue + totals.downlink_lost + totals.unconfirmed;
  return affected >= 2 && static_cast<double>(affected) > kZoneOutageShare * static_cast<double>(totals.up);
}

}  // namespace bankhill::leader
