// The fleet: cutoffs ahead, machines that are drained, silent or gone, and what renting needs of the leader.
#include <algorithm>
#include <cmath>
#include <utility>

#include "leader/leader.hpp"
#include "model/decay.hpp"

namespace bankhill::leader {

using model::Machine;
using queue::estimated_runtime_s;
using state::FlushDelay;

// What is left, after so many seconds, of something counted.
double Leader::decay_factor(double passed) const { return model::decay(passed, settings_.round_s); }

// How the cutoffs stand, once a round: whoever comes at eight finds either the work done or a plain stall.
void Leader::look_ahead() {
  forecast_.begin(loop().wall());
  for (const auto& [id, job] : live_jobs_)
    if (const auto by = queue_.cutoff(*job); by && !job->is_service())
      forecast_.add(job->spec.team, *by,
                    job->unfinished_tasks() * job->spec.request.cores * estimated_runtime_s(*job),
                    estimated_runtime_s(*job));
  const auto changed = forecast_.end([this](const std::string& team) { return supply(team); });
  if (changed.empty()) return;
  for (const auto& told : changed)
    log_->log(
        told.state == calendar::DeadlineForecast::State::on_time ? spdlog::level::info : spdlog::level::warn,
        "cutoff of {} in {:.0f} s: {}", told.owner, told.cutoff - loop().wall(), told.text);
  for (auto& [id, job] : live_jobs_)
    if (queue_.cutoff(*job)) job->progress_dirty = true;
}

// Its guarantee, or what it holds and what is free, if that is more; beyond that what can be rented.
calendar::DeadlineForecast::Supply Leader::supply(const std::string& team) const {
  const auto* tenant = quota_.find_team(team);
  if (tenant == nullptr) return {};
  const auto usage = quota_.usage(team);
  double cores = 0;
  double free = 0;
  for (const auto& [pool, state] : fleet_.pools()) {
    cores += state.totals.cores;
    free += state.totals.free_cores;
  }
  const double limit = std::max(0.0, tenant->limit.cores - usage.service_cores);
  const double own = std::max(std::min(tenant->guarantee.cores, cores), usage.total.cores + free);
  const double now = std::min(limit, std::max(0.0, own - usage.service_cores));
  return {now, queue_.is_overloaded() ? now : limit, planner::longest_boot_s(machine_types_)};
}

// Takes no more tasks, and is returned once empty.
void Leader::drain(Machine& machine, const std::string& reason) {
  machine.draining = true;
  machine.drain_reason = reason;
  fleet_.refresh(machine);
  on_gang_machine_draining(machine);
}

// Undoes it if that was the reason; says whether it was.
bool Leader::cancel_drain(Machine& machine, const std::string& reason) {
  if (machine.drain_reason != reason) return false;
  machine.draining = false;
  machine.drain_reason.clear();
  fleet_.refresh(machine);
  for (const auto& [task_id, assignment] : machine.assignments) gangs_.tracker().may_stay(task_id);
  schedule_placement();
  return true;
}

// After a gap in which this controller answered nobody, leases that it knew to last may end.
void Leader::note_acting() {
  if (!lease_forecast_.record_leading(loop().now())) return;
  for (auto& [machine_id, machine] : fleet_) update_lease_forecast(machine);
}

// Nothing is started where it would be lost with the lease: the machine's heartbeat comes within seconds.
void Leader::update_lease_forecast(Machine& machine) {
  const bool ends = !lease_forecast_.lasts_until_renewal(loop().now(), machine.answered_at);
  if (std::exchange(machine.lease_may_end, ends) == ends) return;
  fleet_.refresh(machine);
  if (ends) {
    ++event_counts_["machines whose lease may end"];
    return;
  }
  machine.restart_idle_time(loop().now());
  schedule_placement();
}

void Leader::monitor_machines(double share) {
  const double now = loop().now();
  uncertain_start_ = false;
  fleet_.visit(share, [this](Machine& machine) { monitor(machine); });
  // A direct start in doubt is made void by a new term (invariant 6).
  if (uncertain_start_ && !raising_term_ && now - term_raised_at_ > 2 * settings_.control_interval_s) {
    term_raised_at_ = now;
    raising_term_ = true;
    ports_.raise_term();
  } else if (raising_term_ && now - term_raised_at_ > 2 * settings_.control_interval_s) {
    raising_term_ = false;
  }
}

double Leader::boot_s(const Machine& machine) const {
  const auto* type = find_machine_type(machine.machine_type);
  return type == nullptr ? cloud::kMinBillingS : type->boot_s;
}

MachineMonitor::Ports Leader::monitor_ports() {
  return {
      .send_probe = [this](Machine& machine) { send_command(machine, {}); },
      .terminate = [this](Machine& machine,
                          MachineMonitor::Fault fault) { terminate(machine, MachineMonitor::text(fault)); },
      .drain = [this](Machine& machine, const std::string& reason) { drain(machine, reason); },
      .sessions_over = [this](Machine& machine, wire::AgentEpoch next) { on_new_agent_epoch(machine, next); },
      .lost_to_cloud =
          [this](const Machine& machine) { autoscaler_.on_machine_reclaimed(machine.machine_type); },
      .usual_boot_s = [this](const Machine& machine) { return boot_s(machine); },
      .count_event = [this](const std::string& event) { ++event_counts_[event]; },
      .plan_soon = [this] { plan_soon(); },
      .place_soon = [this] { schedule_placement(); },
  };
}

void Leader::monitor(Machine& machine) {
  if (!machine.up) return machine_monitor_.check_boot(machine);
  const auto silence = machine_monitor_.check_silence(machine);
  machine_monitor_.check_heartbeats(machine, silence);
  update_lease_forecast(machine);
  note_starts_in_doubt(machine);
  drain_if_excess(machine);
  if (machine.draining && machine.assignments.empty() && machine.confirmed)
    return terminate(machine, machine.drain_reason);
  if (machine.preemption_at && silence.now > *machine.preemption_at)
    return terminate(machine, "its notice has run out");
  if (terminate_idle(machine)) return;
  machine_monitor_.check_given_up(machine, silence, reachability_probe_.failing());
}

// Whether a start sent directly may still be executed there although it is to be taken back.
void Leader::note_starts_in_doubt(const Machine& machine) {
  if (machine.last_contact <= machine.uncertain_start_at) return;
  const wire::FencingToken token{term_};
  for (const auto& [task, assignment] : machine.assignments)
    uncertain_start_ =
        uncertain_start_ || (assignment.stopping && assignment.in_flight_starts.in_doubt(token));
  for (const auto& [task, exited] : machine.exited_attempts)
    uncertain_start_ = uncertain_start_ || exited.in_flight_starts.in_doubt(token);
}

RentalManager::Settings Leader::rental_settings() const {
  return {settings_.control_interval_s, settings_.round_s,      settings_.lease_s,
          settings_.list_lag_s,         settings_.max_machines, settings_.main_zone};
}

RentalManager::Ports Leader::rental_ports() {
  RentalManager::Ports ports;
  ports.is_active_leader = [this] { return is_active_leader(); };
  ports.send_to_cloud = [this](cloud::Cloud::Message message) { ports_.cloud.tell(std::move(message)); };
  ports.machine_type = [this](const std::string& name) { return find_machine_type(name); };
  ports.store_request = [this](const std::string& name, const wire::RentalRecord& record,
                               Continuation stored) {
    writes_.store(wire::rental_key(name), to_json(record), FlushDelay::none, std::move(stored));
  };
  ports.store_machines = [this](const std::string& name, const wire::RentalRecord& record) {
    writes_.store(wire::rental_key(name), to_json(record), FlushDelay::machines);
  };
  ports.remove_record = [this](const std::string& name) {
    writes_.store(wire::rental_key(name), std::nullopt, FlushDelay::garbage);
  };
  ports.on_terminating = [this](const Machine& machine) { on_gang_machine_failed(machine); };
  ports.on_terminated = [this](const wire::MachineId& machine_id) { forget_machine(machine_id); };
  ports.plan_soon = [this] { plan_soon(); };
  ports.count_event = [this](const std::string& event) { ++event_counts_[event]; };
  return ports;
}

Autoscaler::Settings Leader::autoscaler_settings() const {
  return {settings_.control_interval_s, settings_.round_s, settings_.alpha, settings_.phi,
          settings_.idle_boots};
}

Autoscaler::Ports Leader::autoscaler_ports() {
  Autoscaler::Ports ports;
  ports.is_active_leader = [this] { return is_active_leader(); };
  ports.may_start = [this](const model::Job& job) { return may_start(job); };
  ports.quota_allows = [this](const model::Job& job) { return quota_admits(job); };
  ports.placeable_tasks = [this](const model::Job& job) { return placeable_tasks(job); };
  ports.is_gang = [this](const wire::JobId& id) { return gangs_.follows(id); };
  ports.core_limit = [this](const std::string& name) -> std::optional<double> {
    const auto* owner = quota_.find_team(name);
    if (owner == nullptr) return std::nullopt;
    return owner->limit.cores;
  };
  ports.rent_for_gangs = [this](const std::vector<planner::Offer>& offers) { rent_for_gangs(offers); };
  ports.report_core_demand = [this](double wanted, double lacking) {
    update_overload_state(wanted, lacking);
  };
  ports.drain = [this](Machine& machine, const std::string& reason) { drain(machine, reason); };
  ports.cancel_drain = [this](Machine& machine, const std::string& reason) {
    return cancel_drain(machine, reason);
  };
  ports.count_event = [this](const std::string& event) { ++event_counts_[event]; };
  return ports;
}

// It is gone, and so is all that ran there.
void Leader::forget_machine(const wire::MachineId& machine_id) {
  autoscaler_.on_machine_terminated(machine_id);
  auto* machine = fleet_.find(machine_id);
  if (machine == nullptr) return;
  std::vector<wire::TaskId> tasks;
  for (const auto& [task, assignment] : machine->assignments) tasks.push_back(task);
  for (const auto& task : tasks) remove_assignment(*machine, task);
  machine_groups_.remove(*machine);
  fleet_.erase(machine_id);
  schedule_placement();
  plan_soon();
}

}  // namespace bankhill::leader
