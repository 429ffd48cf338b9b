// The fleet: forecasts for cutoffs, machines that are drained, unreachable or terminated, and the ports of
// rental manager and autoscaler.
#include <algorithm>
#include <cmath>
#include <utility>

#include "leader/leader.hpp"
#include "model/decay.hpp"

namespace bankhill::leader {

using model::Machine;
using queue::estimated_runtime_s;
using state::FlushDelay;

// The factor by which a count that decays with time shrinks in `elapsed_s` seconds.
double Leader::decay_factor(double elapsed_s) const { return model::decay(elapsed_s, settings_.round_s); }

// Updates, once per planning round, whether the work due by each cutoff will be done in time, so that a
// shortfall is logged and shown in the job status before the cutoff.
void Leader::update_deadline_forecast() {
  deadline_forecast_.start_update(loop().wall());
  for (const auto& [id, job] : live_jobs_)
    if (const auto cutoff = queue_.cutoff(*job); cutoff && !job->is_service())
      deadline_forecast_.add_work(
          job->spec.team, *cutoff,
          job->unfinished_tasks() * job->spec.request.cores * estimated_runtime_s(*job),
          estimated_runtime_s(*job));
  const auto changed =
      deadline_forecast_.finish_update([this](const std::string& team) { return supply_for(team); });
  if (changed.empty()) return;
  for (const auto& change : changed)
    log_->log(change.state == calendar::DeadlineForecast::State::on_time ? spdlog::level::info
                                                                         : spdlog::level::warn,
              "cutoff of {} in {:.0f} s: {}", change.team, change.cutoff - loop().wall(), change.text);
  for (auto& [id, job] : live_jobs_)
    if (queue_.cutoff(*job)) job->progress_dirty = true;
}

// The cores that the batch tasks of a team can use: now its guarantee, or its current use plus the free cores
// if that is more, and later what can be rented in addition.
calendar::DeadlineForecast::Supply Leader::supply_for(const std::string& team) const {
  const auto* team_quota = quota_.find_team(team);
  if (team_quota == nullptr) return {};
  const auto usage = quota_.usage(team);
  double cores = 0;
  double free = 0;
  for (const auto& [pool, state] : fleet_.pools()) {
    cores += state.totals.cores;
    free += state.totals.free_cores;
  }
  const double limit = std::max(0.0, team_quota->limit.cores - usage.service_cores);
  const double usable_cores =
      std::max(std::min(team_quota->guarantee.cores, cores), usage.total.cores + free);
  const double cores_now = std::min(limit, std::max(0.0, usable_cores - usage.service_cores));
  return {cores_now, queue_.is_overloaded() ? cores_now : limit, planner::longest_boot_s(machine_types_)};
}

// Stops placement on the machine, which is terminated once it is empty.
void Leader::drain(Machine& machine, const std::string& reason) {
  machine.draining = true;
  machine.drain_reason = reason;
  fleet_.refresh(machine);
  on_gang_machine_draining(machine);
}

// Cancels the drain if it has this reason; returns whether it did.
bool Leader::cancel_drain(Machine& machine, const std::string& reason) {
  if (machine.drain_reason != reason) return false;
  machine.draining = false;
  machine.drain_reason.clear();
  fleet_.refresh(machine);
  for (const auto& [task_id, assignment] : machine.assignments) gangs_.tracker().cancel_move_request(task_id);
  schedule_placement();
  return true;
}

// Records that this controller leads now. After a gap in which it answered no heartbeats, leases that were
// expected to last may expire.
void Leader::record_leading() {
  if (!lease_forecast_.record_leading(loop().now())) return;
  for (auto& [machine_id, machine] : fleet_) update_lease_forecast(machine);
}

// Excludes the machine from placement while its lease may expire before the next renewal, since tasks started
// now would be lost with the lease. The machine is available again after its next heartbeat, within seconds.
void Leader::update_lease_forecast(Machine& machine) {
  const bool may_end = !lease_forecast_.lasts_until_renewal(loop().now(), machine.answered_at);
  if (std::exchange(machine.lease_may_end, may_end) == may_end) return;
  fleet_.refresh(machine);
  if (may_end) {
    ++event_counts_["machines whose lease may expire before renewal"];
    return;
  }
  machine.restart_idle_time(loop().now());
  schedule_placement();
}

void Leader::monitor_machines(double share) {
  token_raise_.begin_pass();
  fleet_.visit(share, [this](Machine& machine) { monitor_machine(machine); });
  if (token_raise_.should_raise(loop().now())) ports_.raise_term();
}

double Leader::usual_boot_s(const Machine& machine) const {
  const auto* type = find_machine_type(machine.machine_type);
  return type == nullptr ? cloud::kMinBillingS : type->boot_s;
}

MachineMonitor::Ports Leader::monitor_ports() {
  return {
      .send_probe = [this](Machine& machine) { send_commands(machine, {}); },
      .terminate =
          [this](Machine& machine, MachineMonitor::Fault fault) {
            terminate(machine, MachineMonitor::termination_reason(fault));
          },
      .drain = [this](Machine& machine, const std::string& reason) { drain(machine, reason); },
      .on_agent_epochs_ended = [this](Machine& machine,
                                      wire::AgentEpoch next) { on_new_agent_epoch(machine, next); },
      .on_presumed_reclaim =
          [this](const Machine& machine) { autoscaler_.on_machine_reclaimed(machine.machine_type); },
      .usual_boot_s = [this](const Machine& machine) { return usual_boot_s(machine); },
      .count_event = [this](const std::string& event) { ++event_counts_[event]; },
      .schedule_planning = [this] { schedule_planning(); },
      .schedule_placement = [this] { schedule_placement(); },
  };
}

void Leader::monitor_machine(Machine& machine) {
  if (!machine.up) return machine_monitor_.check_boot(machine);
  const auto contact = machine_monitor_.check_contact(machine);
  machine_monitor_.check_heartbeats(machine, contact);
  update_lease_forecast(machine);
  add_token_raise_demand(machine);
  drain_if_excess(machine);
  if (machine.draining && machine.assignments.empty() && machine.confirmed)
    return terminate(machine, machine.drain_reason);
  if (machine.preemption_at && contact.now > *machine.preemption_at)
    return terminate(machine, "preemption notice expired");
  if (terminate_if_idle(machine)) return;
  machine_monitor_.check_unreachable(machine, contact, reachability_probe_.is_failing());
}

// Notes whether a start that was sent directly under the current fencing token could be executed on the
// machine although the task must not start there any more (invariants 6 and 7).
void Leader::add_token_raise_demand(const Machine& machine) {
  if (machine.last_contact <= machine.uncertain_start_at) return;
  const wire::FencingToken token{term_};
  for (const auto& [task, assignment] : machine.assignments)
    if (assignment.stopping && assignment.state == model::AssignmentState::sent &&
        !assignment.in_flight_starts.direct_starts_settled(token))
      token_raise_.add_demand(TokenRaise::Demand::urgent);
  const auto listed_demand = machine.exited_attempts.size() < kMaxExitedAttempts / 2
                                 ? TokenRaise::Demand::routine
                                 : TokenRaise::Demand::urgent;
  for (const auto& [task, exited] : machine.exited_attempts)
    if (!exited.in_flight_starts.direct_starts_settled(token)) token_raise_.add_demand(listed_demand);
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
  ports.on_terminated = [this](const wire::MachineId& machine_id) { remove_machine(machine_id); };
  ports.schedule_planning = [this] { schedule_planning(); };
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
  ports.zone_allows = [this](const model::Job& job, const std::string& zone) {
    return zone_allows(job, zone);
  };
  ports.quota_allows = [this](const model::Job& job) { return quota_admits(job); };
  ports.placeable_tasks = [this](const model::Job& job) { return placeable_tasks(job); };
  ports.is_gang = [this](const wire::JobId& id) { return gangs_.has_job(id); };
  ports.core_limit = [this](const std::string& name) -> std::optional<double> {
    const auto* team = quota_.find_team(name);
    if (team == nullptr) return std::nullopt;
    return team->limit.cores;
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

// Removes a terminated machine and all its tasks.
void Leader::remove_machine(const wire::MachineId& machine_id) {
  autoscaler_.on_machine_terminated(machine_id);
  auto* machine = fleet_.find(machine_id);
  if (machine == nullptr) return;
  std::vector<wire::TaskId> tasks;
  for (const auto& [task, assignment] : machine->assignments) tasks.push_back(task);
  for (const auto& task : tasks) remove_assignment(*machine, task);
  machine_groups_.remove(*machine);
  fleet_.erase(machine_id);
  schedule_placement();
  schedule_planning();
}

}  // namespace bankhill::leader
