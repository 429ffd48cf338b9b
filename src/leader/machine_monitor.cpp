#include "leader/machine_monitor.hpp"

#include <algorithm>
#include <utility>

#include "model/decay.hpp"

namespace bankhill::leader {

using model::Machine;

namespace {
constexpr std::uint32_t kProbesUnanswered = 2;  // with at least so many unanswered a machine is given up
constexpr double kUnconfirmedGivenUp = 1.5;  // control intervals after which one never heard in this term is
constexpr double kMassShare = 0.4;           // more machines silent than this: it is our network, not theirs
// Ratios to a type's usual boot time.
constexpr double kBootLate = 1.6;  // no longer counted as coming: the protocol's usual boot takes up to 1.5
constexpr double kBootNever = 3;   // given up
}  // namespace

const char* MachineMonitor::text(Fault fault) {
  switch (fault) {
    case Fault::never_booted:
      return "never came up";
    case Fault::silent:
      return "silent";
    case Fault::downlink_lost:
      return "deaf";
    case Fault::uplink_lost:
      return "mute";
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
  const double booting_s = loop_.now() - machine.first_seen;
  if (booting_s > kBootLate * usual_s && !std::exchange(machine.boot_overdue, true)) {
    count_boot(false);
    fleet_.refresh(machine);
    ports_.plan_soon();
  }
  if (booting_s > kBootNever * usual_s) ports_.terminate(machine, Fault::never_booted);
}

void MachineMonitor::count_boot(bool in_time) {
  const double now = loop_.now();
  const double passed_s = now - std::exchange(boots_counted_at_, now);
  const auto bad = boots_.record_boot(in_time, model::decay(passed_s, settings_.round_s));
  if (!bad) return;
  if (*bad)
    log_->warn("boots: {:.0f} % of the last {:.0f} machines are late; others are rented in their place",
               100 * boots_.late_share(), boots_.weighted_count());
  else
    log_->info("boots: as usual again, {:.0f} % of the last {:.0f} machines are late",
               100 * boots_.late_share(), boots_.weighted_count());
}

// Heartbeats and the lease.

MachineMonitor::SilenceCheck MachineMonitor::check_silence(const Machine& machine) const {
  SilenceCheck check;
  check.now = loop_.now();
  check.silence_s = check.now - machine.last_contact;
  check.downlink_works = machine.downlink.takes_tasks();
  // Services are missed at once: their machines are asked between two heartbeats, and given up sooner.
  check.limits = failure_detector_.thresholds(
      {machine.service_cores > 0, check.downlink_works, machine.probes_unanswered > 0});
  return check;
}

void MachineMonitor::check_heartbeats(Machine& machine, const SilenceCheck& check) {
  if (probe_due(machine, check)) ports_.send_probe(machine);
  mark_overdue(machine, check);
  update_reporting(machine);
  if (lease_expired(machine, check.now)) expire_lease(machine);
}

bool MachineMonitor::probe_due(const Machine& machine, const SilenceCheck& check) const {
  if (machine.downlink.probe_due(check.now)) return true;
  return check.silence_s > check.limits.probe_after_s &&
         check.now - machine.last_probe > check.limits.probe_again_after_s;
}

void MachineMonitor::mark_overdue(Machine& machine, const SilenceCheck& check) {
  const bool service_unanswered = machine.service_cores > 0 && machine.probes_unanswered > 0;
  if (machine.overdue || (check.silence_s <= check.limits.overdue_after_s && !service_unanswered)) return;
  machine.overdue = true;
  fleet_.refresh(machine);
}

void MachineMonitor::update_reporting(Machine& machine) {
  const auto before = machine.uplink;
  machine.uplink = failure_detector_.uplink_state(unreported_s(machine));
  if (machine.uplink == before) return;
  fleet_.refresh(machine);
  if (machine.uplink == model::UplinkState::up) machine.restart_idle_time(loop_.now());
  ports_.place_soon();
  ports_.plan_soon();
}

double MachineMonitor::unreported_s(const Machine& machine) const {
  return loop_.now() - std::max({machine.last_heartbeat_received_at, term_began_at_, listening_since_});
}

// Invariant 5: no earlier leader answered after this term began, so the lease has run out by now.
bool MachineMonitor::lease_expired(const Machine& machine, double now) const {
  return now > machine.lease.latest_expiry_at(settings_.timing.lease_s);
}

void MachineMonitor::expire_lease(Machine& machine) {
  if (!machine.confirmed) {
    log_->debug("machine {}: unconfirmed and its lease has run out", machine.id.value);
    machine.confirmed = true;
    ports_.drain(machine, "lease ran out unheard");
  }
  // Once, and nothing is placed there until it is heard again: a task told to start in an agent epoch that
  // is only assumed could run although its lease seems to have run out long ago.
  if (!std::exchange(machine.lease_expired, true)) {
    const wire::AgentEpoch next{machine.agent_epoch.value + 1};
    ports_.sessions_over(machine, next);
    machine.agent_epoch = next;
    machine.last_sequence = machine.heartbeat_sequence = 0;
  }
  fleet_.refresh(machine);
}

// One-way links.

void MachineMonitor::downlink_changed(Machine& machine, model::DownlinkHealth::State before) {
  using State = model::DownlinkHealth::State;
  const auto state = machine.downlink.state();
  if (state == before) return;
  fleet_.refresh(machine);
  if (state == State::probing) {
    log_->debug("machine {}: what it was told did not arrive, asking it", machine.id.value);
    ports_.count_event("machines asked whether they hear");
  } else if (state == State::lost) {
    log_->warn("machine {}: reports arrive, answers and commands do not; nothing more for it until it hears",
               machine.id.value);
    ports_.count_event("deaf machines");
    ports_.plan_soon();
  } else {
    if (before == State::lost) {
      log_->info("machine {}: hears again after {:.0f} s", machine.id.value,
                 loop_.now() - machine.downlink.suspect_since());
      ports_.count_event("deaf machines that hear again");
    }
    machine.restart_idle_time(loop_.now());
    ports_.place_soon();
  }
}

// What it ran is over with its agent epoch; as long as something is bound there it hears after all.
void MachineMonitor::check_lost_links(Machine& machine, double now) {
  const bool downlink_lost = machine.downlink.should_terminate(now, settings_.timing);
  const bool uplink_lost = failure_detector_.should_terminate(unreported_s(machine));
  if (!downlink_lost && !uplink_lost) return;
  if (!machine.assignments.empty() || !machine.confirmed || many_unheard(machine)) return;
  ports_.terminate(machine, downlink_lost ? Fault::downlink_lost : Fault::uplink_lost);
}

// Silent machines.

void MachineMonitor::check_given_up(Machine& machine, const SilenceCheck& check, bool reachability_in_doubt) {
  if (unconfirmed_probe_due(machine, check)) ports_.send_probe(machine);
  if (!silent_for_too_long(machine, check)) return check_lost_links(machine, check.now);
  if (machine.confirmed && fault_may_be_ours(machine, check, reachability_in_doubt)) return;
  // Many of a zone at once: rather the network; releasing them would end work that goes on there.
  const double unheard_s = check.now - std::max(machine.last_contact, term_began_at_);
  if (many_unheard(machine) && unheard_s < settings_.timing.lease_s) return;
  if (!machine.preemption_at && machine.preemptible && !machine.terminating) ports_.lost_to_cloud(machine);
  ports_.terminate(machine, Fault::silent);
}

bool MachineMonitor::unconfirmed_probe_due(const Machine& machine, const SilenceCheck& check) const {
  return !machine.confirmed && check.downlink_works && machine.probes_unanswered > 0 &&
         check.now - machine.last_probe > kUnconfirmedTimeoutIntervals * settings_.timing.control_interval_s;
}

// One that this term never heard holds up others' tasks: it is waited for less long.
bool MachineMonitor::silent_for_too_long(const Machine& machine, const SilenceCheck& check) const {
  if (machine.probes_unanswered < kProbesUnanswered) return false;
  if (machine.confirmed) return check.silence_s > check.limits.dead_after_s;
  return check.now - term_began_at_ > kUnconfirmedGivenUp * settings_.timing.control_interval_s;
}

// Another machine must have been heard directly since, or be all that there is; nor is it given up while we
// are in doubt whether anybody hears us.
bool MachineMonitor::fault_may_be_ours(const Machine& machine, const SilenceCheck& check,
                                       bool reachability_in_doubt) const {
  if (check.silence_s >= settings_.timing.lease_s) return false;
  const bool others_heard = last_direct_contact_at_ >= machine.last_contact + check.limits.dead_after_s / 2;
  if (fleet_.total().up > 1 && !others_heard) return true;
  return reachability_in_doubt;
}

// Many of a zone at once: rather the network, or us; returned one by one the fleet would be empty.
bool MachineMonitor::many_unheard(const Machine& machine) const {
  const auto zone = fleet_.zone_totals(machine.zone);
  const auto unheard = zone.overdue + zone.downlink_lost + zone.unconfirmed;
  return unheard >= 2 && static_cast<double>(unheard) > kMassShare * static_cast<double>(zone.up);
}

}  // namespace bankhill::leader
