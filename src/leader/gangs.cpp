// Gangs: replicas of a service that span machines (docs/REPLICAS.md). Reports events of their tasks and
// machines to the gang tracker, and carries out the actions that it returns.
#include <algorithm>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using model::Machine;
using wire::Command;
using wire::CommandType;

namespace {
// Gangs of one job that are tried in one placement pass.
constexpr std::size_t kMaxGangsPerPass = 16;
// Gangs of one job that may fail to find machines in a pass before the job's other gangs are skipped.
constexpr std::size_t kMaxUnplacedGangs = 2;
constexpr std::size_t kMaxMovesPerPass = 4;
}  // namespace

void Leader::track_gang(const Job& job) {
  if (!settings_.replica_span || !job.is_service()) return;
  const auto span = settings_.replica_span(job.spec.team, job.spec.job_class);
  if (span < 2) return;
  double max_image_pull_s = 0;
  for (const auto& type : machine_types_)
    if (planner::allows(job.spec.machine_types, type.name) && type.image_pull_gb_per_s > 0)
      max_image_pull_s = std::max(max_image_pull_s, job.spec.image_size_gb / type.image_pull_gb_per_s);
  gangs_.add_job(job.spec, span, max_image_pull_s);
  if (const auto unusable_tasks = gangs_.tracker().unusable_tasks(job.spec.id); unusable_tasks > 0)
    log_->warn("job {}: {} of its {} tasks do not fill a replica of {} machines and stay queued",
               job.spec.id.value, unusable_tasks, job.spec.task_count, span);
}

// Applies a changed number of machines per gang after a policy update. Running tasks are not stopped: the
// tracker is told where they are.
void Leader::update_gang_spans() {
  if (!settings_.replica_span) return;
  const double now = loop().now();
  for (auto& [id, job] : live_jobs_) {
    if (!job->is_service()) continue;
    const auto new_span = std::max(1U, settings_.replica_span(job->spec.team, job->spec.job_class));
    if (new_span == gangs_.tracker().span(id)) continue;
    gangs_.remove_job(id);
    track_gang(*job);
    job->set_reason({});
    update_queue_membership(*job);
    for (const auto& [index, machine_id] : job->task_machines) {
      const auto* machine = fleet_.peek(machine_id);
      const auto assignment = machine->assignments.find({id, index});
      if (assignment == machine->assignments.end()) continue;
      gangs_.tracker().on_task_found(assignment->first, {machine_id, machine->zone}, now);
      if (assignment->second.stopping) gangs_.tracker().on_task_failing(assignment->first, now);
      if (assignment->second.state == model::AssignmentState::running)
        gangs_.tracker().on_task_running(assignment->first, now);
      if (machine->draining)
        gangs_.tracker().request_move(assignment->first, machine->preemption_at.has_value(), now);
    }
  }
}

std::uint32_t Leader::placeable_tasks(const Job& job) const {
  return job.ready_count - std::min(job.ready_count, gangs_.tracker().unusable_tasks(job.spec.id));
}

void Leader::apply_gang_actions() {
  if (!gangs_.has_work()) return;
  gangs_.tracker().advance(loop().now(), [this](const wire::JobId& id) {
    const auto job = live_jobs_.find(id);
    return job != live_jobs_.end() && !may_run_on_unconfirmed_machine(*job->second);
  });
  CommandsByMachine commands;
  for (const auto& action : gangs_.apply_reservations(fleet_)) {
    auto* machine = fleet_.find(action.machine_id);
    if (machine == nullptr) continue;
    const auto assignment = machine->assignments.find({action.gang_id.first, action.task_index});
    if (assignment == machine->assignments.end()) continue;
    commands[action.machine_id].push_back(mark_stopping(assignment->second, 0));
    ++event_counts_["gang tasks stopped"];
  }
  for (auto& [machine_id, machine_commands] : commands)
    send_commands(*fleet_.find(machine_id), std::move(machine_commands));
}

gang::GangConstraints Leader::gang_constraints(const Job& job) const {
  return {job.spec,
          settings_.main_zone,
          [this, &job](const Pool& pool) { return image_pull_s(job, pool); },
          [this, &job](const Machine& machine) {
            return !job.failed_on.contains(machine.id) && !has_too_many_services(machine, job);
          },
          [this, &job](std::uint32_t task_count, const std::string& zone) {
            if (!zone_allows(job, zone)) return false;
            const auto found = job.tasks_by_zone.find(zone);
            const std::uint32_t tasks_in_zone = found == job.tasks_by_zone.end() ? 0 : found->second;
            return !job.spec.zone_spread || tasks_in_zone + task_count <= (job.spec.task_count + 1) / 2;
          },
          [this, &job](std::uint32_t index, const wire::MachineId& machine_id) {
            const auto* machine = fleet_.peek(machine_id);
            return machine == nullptr || machine->exited_attempts.contains({job.spec.id, index});
          }};
}

// Returns how many tasks were assigned.
int Leader::place_gangs(Job& job, CommandsByMachine& commands) {
  const double now = loop().now();
  const auto constraints = gang_constraints(job);
  const auto span = gangs_.tracker().span(job.spec.id);
  int placed_tasks = 0;
  std::size_t unplaced_gangs = 0;
  if (placeable_tasks(job) == 0)
    job.set_reason("the last tasks make no whole replica of " + std::to_string(span) + " machines");
  for (const auto& request : gangs_.tracker().placement_requests(job.spec.id, kMaxGangsPerPass, now)) {
    if (unplaced_gangs >= kMaxUnplacedGangs) break;
    if (!quota_admits(job, static_cast<std::uint32_t>(request.tasks.size()))) {
      job.set_reason("the team's limit is reached");
      break;
    }
    const auto start = gangs_.place_gang(fleet_, request, constraints, now);
    apply_gang_actions();
    if (!start) {
      // A partly placed gang is bound to one zone: if it finds no machines there, that says nothing about the
      // other gangs.
      if (request.zone.empty()) ++unplaced_gangs;
      job.set_reason("no " + std::to_string(span) + " machines of one zone have room yet");
      continue;
    }
    for (const auto& [index, machine_id] : start->tasks) {
      auto& machine = *fleet_.find(machine_id);
      assign_task(machine, job, index);
      const wire::TaskId task_id{job.spec.id, index};
      commands[machine_id].push_back(
          {CommandType::start, task_id, machine.assignments.at(task_id).attempt, 0});
      ++placed_tasks;
    }
    ++event_counts_["gangs started"];
  }
  return placed_tasks;
}

void Leader::move_gangs() {
  if (!gangs_.has_work()) return;
  std::size_t moves_left = kMaxMovesPerPass;
  for (const auto& move : gangs_.tracker().allowed_moves(loop().now())) {
    if (moves_left-- == 0) break;
    const auto job = live_jobs_.find(move.id.first);
    if (job == live_jobs_.end() ||
        !gangs_.begin_move(fleet_, move, gang_constraints(*job->second), loop().now()))
      continue;
    ++event_counts_["gangs moved"];
  }
  apply_gang_actions();
}

// Rents machines in one zone for a waiting gang, unless machines that it could use are already booting.
void Leader::rent_for_gangs(const std::vector<planner::Offer>& offers) {
  if (!gangs_.has_work()) return;
  if (rental_manager_.has_pending_rental()) return;
  for (const auto& [id, shortage] : gangs_.shortages(loop().now())) {
    const auto found = live_jobs_.find(id);
    if (found == live_jobs_.end()) continue;
    const auto& job = *found->second;
    // Moving a gang needs no further quota: it is stopped before it is started again.
    const bool is_waiting = placeable_tasks(job) > 0;
    if (is_waiting && (!may_start(job) || !quota_admits(job, gangs_.tracker().span(id)))) continue;
    if (rent_for_gang(job, shortage, offers)) return;
  }
}

// Returns whether machines for the gang were requested or are already booting.
bool Leader::rent_for_gang(const Job& job, const gang::Shortage& shortage,
                           const std::vector<planner::Offer>& offers) {
  planner::Workload workload;
  workload.request = job.spec.request;
  workload.machine_types = job.spec.machine_types;
  if (job.spec.has_zone_rules()) workload.zones = zones_for_gang(job);
  auto workload_in_zone = workload;
  if (!shortage.zone.empty()) workload_in_zone.zones = {shortage.zone};
  if (is_machine_booting_for(job, workload_in_zone)) return true;
  if (const auto offer = planner::choose_offer(workload_in_zone, offers);
      offer &&
      rental_manager_.request_in_one_zone(offers[*offer].machine_type, false,
                                          static_cast<double>(shortage.machines), workload_in_zone.zones) > 0)
    return true;
  // If the cloud has no such machines in that zone, requests them in any other zone that the job allows. The
  // next search then picks the zone with most machines.
  const double gang_machines = gangs_.tracker().span(job.spec.id);
  for (const auto& offer : offers) {
    if (!planner::can_host(workload, offer.machine_type)) continue;
    for (const auto& zone : offer.machine_type.zones) {
      if (zone == shortage.zone || !planner::allows(workload.zones, zone)) continue;
      if (rental_manager_.request(offer.machine_type, false, gang_machines, zone) > 0) return true;
    }
  }
  return false;
}

// Whether a machine is booting that holds a task of the job and is in a zone of the workload.
bool Leader::is_machine_booting_for(const Job& job, const planner::Workload& workload) const {
  return std::any_of(fleet_.pools().begin(), fleet_.pools().end(), [&](const auto& entry) {
    const auto& [pool, state] = entry;
    return state.totals.booting > 0 && model::allows(job.spec, pool) &&
           planner::allows(workload.zones, pool.zone) && job.spec.request.fits(state.capacity);
  });
}

// The zones in which a whole gang of the job may run, given where the job's other tasks are.
std::vector<std::string> Leader::zones_for_gang(const Job& job) const {
  const auto constraints = gang_constraints(job);
  const auto span = gangs_.tracker().span(job.spec.id);
  std::vector<std::string> zones;
  for (const auto& zone : planner::offered_zones(machine_types_))
    if (constraints.zone_allows(span, zone)) zones.push_back(zone);
  return zones;
}

void Leader::on_gang_machine_draining(const Machine& machine) {
  if (!gangs_.has_work()) return;
  for (const auto& [task_id, assignment] : machine.assignments)
    if (!assignment.orphaned)
      gangs_.tracker().request_move(task_id, machine.preemption_at.has_value(), loop().now());
  schedule_placement();
}

// The tasks on the machine are treated as lost: the remaining tasks of their gangs cannot run without them.
void Leader::on_gang_machine_failed(const Machine& machine) {
  if (!gangs_.has_work()) return;
  for (const auto& [task_id, assignment] : machine.assignments)
    if (!assignment.orphaned) gangs_.tracker().on_task_failing(task_id, loop().now());
  schedule_placement();
}

}  // namespace bankhill::leader
