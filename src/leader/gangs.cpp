// Replicas that span machines (docs/REPLICAS.md): tells the board what happens to their members and machines,
// and carries out what it decides.
#include <algorithm>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using model::Machine;
using wire::Command;
using wire::CommandType;

namespace {
constexpr std::size_t kReplicasPerTurn = 16;  // of a job
constexpr std::size_t kInVain = 2;            // replicas of a job that find no place before the others wait
constexpr std::size_t kMovesPerTurn = 4;
}  // namespace

void Leader::track_gang(const Job& job) {
  if (!settings_.replica_span || !job.is_service()) return;
  const auto span = settings_.replica_span(job.spec.team, job.spec.job_class);
  if (span < 2) return;
  double slowest = 0;
  for (const auto& type : machine_types_)
    if (planner::allows(job.spec.machine_types, type.name) && type.image_pull_gb_per_s > 0)
      slowest = std::max(slowest, job.spec.image_size_gb / type.image_pull_gb_per_s);
  gangs_.follow(job.spec, span, slowest);
  if (const auto rest = gangs_.tracker().unusable_tasks(job.spec.id); rest > 0)
    log_->warn("job {}: {} of its {} tasks make no whole replica of {} machines and stay queued",
               job.spec.id.value, rest, job.spec.task_count, span);
}

// The policy may have changed: what runs stays, and is taken as found.
void Leader::update_gang_spans() {
  if (!settings_.replica_span) return;
  const double now = loop().now();
  for (auto& [id, job] : live_jobs_) {
    if (!job->is_service()) continue;
    const auto wanted = std::max(1U, settings_.replica_span(job->spec.team, job->spec.job_class));
    if (wanted == gangs_.tracker().span(id)) continue;
    gangs_.leave(id);
    track_gang(*job);
    job->reason.clear();
    update_queue_membership(*job);
    for (const auto& [index, host] : job->task_machines) {
      const auto* machine = fleet_.peek(host);
      const auto assignment = machine->assignments.find({id, index});
      if (assignment == machine->assignments.end()) continue;
      gangs_.tracker().found(assignment->first, {host, machine->zone}, now);
      if (assignment->second.stopping) gangs_.tracker().failing(assignment->first, now);
      if (assignment->second.state == model::AssignmentState::running)
        gangs_.tracker().running(assignment->first, now);
      if (machine->draining)
        gangs_.tracker().must_leave(assignment->first, machine->preemption_at.has_value(), now);
    }
  }
}

std::uint32_t Leader::placeable_tasks(const Job& job) const {
  return job.ready_count - std::min(job.ready_count, gangs_.tracker().unusable_tasks(job.spec.id));
}

void Leader::apply_gang_actions() {
  if (!gangs_.any()) return;
  gangs_.tracker().pass(loop().now(), [this](const wire::JobId& id) {
    const auto job = live_jobs_.find(id);
    return job != live_jobs_.end() && !may_run_on_unconfirmed_machine(*job->second);
  });
  CommandsByMachine commands;
  for (const auto& action : gangs_.act(fleet_)) {
    auto* machine = fleet_.find(action.machine_id);
    if (machine == nullptr) continue;
    const auto assignment = machine->assignments.find({action.replica.first, action.task});
    if (assignment == machine->assignments.end()) continue;
    commands[action.machine_id].push_back(mark_stopping(assignment->second, 0));
    ++event_counts_["members of replicas stopped"];
  }
  for (auto& [host, list] : commands) send_command(*fleet_.find(host), std::move(list));
}

gang::GangConstraints Leader::gang_constraints(const Job& job) const {
  return {job.spec,
          settings_.main_zone,
          [this, &job](const Pool& pool) { return image_pull_s(job, pool); },
          [this, &job](const Machine& machine) {
            return !job.failed_on.contains(machine.id) && !has_too_many_services(machine, job);
          },
          [this, &job](std::uint32_t members, const std::string& zone) {
            if (!zone_allows(job, zone)) return false;
            const auto found = job.tasks_by_zone.find(zone);
            const std::uint32_t here = found == job.tasks_by_zone.end() ? 0 : found->second;
            return !job.spec.zone_spread || here + members <= (job.spec.task_count + 1) / 2;
          },
          [this, &job](std::uint32_t index, const wire::MachineId& machine_id) {
            const auto* machine = fleet_.peek(machine_id);
            return machine == nullptr || machine->exited_attempts.contains({job.spec.id, index});
          }};
}

// Returns how many tasks it bound.
int Leader::place_gangs(Job& job, CommandsByMachine& commands) {
  const double now = loop().now();
  const auto site = gang_constraints(job);
  const auto span = gangs_.tracker().span(job.spec.id);
  int placed = 0;
  std::size_t in_vain = 0;
  if (placeable_tasks(job) == 0)
    job.reason = "the last tasks make no whole replica of " + std::to_string(span) + " machines";
  for (const auto& want : gangs_.tracker().wants(job.spec.id, kReplicasPerTurn, now)) {
    if (in_vain >= kInVain) break;
    if (!quota_admits(job, static_cast<std::uint32_t>(want.tasks.size()))) {
      job.reason = "the team's limit is reached";
      break;
    }
    const auto start = gangs_.place(fleet_, want, site, now);
    apply_gang_actions();
    if (!start) {
      // One that is half there wants a certain zone: that it finds nothing there says nothing of the others.
      if (want.zone.empty()) ++in_vain;
      job.reason = "no " + std::to_string(span) + " machines of one zone have room yet";
      continue;
    }
    for (const auto& [index, host] : start->tasks) {
      auto& machine = *fleet_.find(host);
      assign_task(machine, job, index);
      const wire::TaskId task_id{job.spec.id, index};
      commands[host].push_back({CommandType::start, task_id, machine.assignments.at(task_id).attempt, 0});
      ++placed;
    }
    ++event_counts_["replicas started"];
  }
  return placed;
}

void Leader::move_gangs() {
  if (!gangs_.any()) return;
  std::size_t left = kMovesPerTurn;
  for (const auto& move : gangs_.tracker().moves(loop().now())) {
    if (left-- == 0) break;
    const auto job = live_jobs_.find(move.id.first);
    if (job == live_jobs_.end() || !gangs_.move(fleet_, move, gang_constraints(*job->second), loop().now()))
      continue;
    ++event_counts_["replicas moved"];
  }
  apply_gang_actions();
}

// Machines in one zone for a replica that waits, when none are coming that it could use.
void Leader::rent_for_gangs(const std::vector<planner::Offer>& offers) {
  if (!gangs_.any()) return;
  if (rental_manager_.has_pending_rental()) return;
  for (const auto& [id, lack] : gangs_.shortages(loop().now())) {
    const auto found = live_jobs_.find(id);
    if (found == live_jobs_.end()) continue;
    const auto& job = *found->second;
    // What is moved stays within its team's limit: it is stopped before it starts.
    const bool waits = placeable_tasks(job) > 0;
    if (waits && (!may_start(job) || !quota_admits(job, gangs_.tracker().span(id)))) continue;
    const bool coming =
        std::any_of(fleet_.pools().begin(), fleet_.pools().end(), [&, &lack = lack](const auto& entry) {
          return model::allows(job.spec, entry.first) && entry.second.totals.booting > 0 &&
                 (lack.zone.empty() || entry.first.zone == lack.zone) &&
                 job.spec.request.fits(entry.second.capacity);
        });
    if (coming) return;
    planner::Workload item;
    item.request = job.spec.request;
    item.machine_types = job.spec.machine_types;
    item.zone = lack.zone.empty() ? job.spec.zone : lack.zone;
    const auto type = planner::choose_offer(item, offers);
    // Where the zone has none, any that it may have: the next search finds the zone with most.
    if (type && rental_manager_.request(offers[*type].machine_type, false, static_cast<double>(lack.machines),
                                        lack.zone) > 0)
      return;
    item.zone = job.spec.zone;
    item.task_count = gangs_.tracker().span(id);
    for (const auto& offer : offers) {
      if (planner::slots(item.request, offer.machine_type.capacity) < 1 ||
          !planner::allows(item.machine_types, offer.machine_type.name))
        continue;
      for (const auto& zone : offer.machine_type.zones) {
        if (zone == lack.zone || (item.zone && zone != *item.zone)) continue;
        if (rental_manager_.request(offer.machine_type, false, item.task_count, zone) > 0) return;
      }
    }
  }
}

void Leader::on_gang_machine_draining(const Machine& machine) {
  if (!gangs_.any()) return;
  for (const auto& [task_id, assignment] : machine.assignments)
    if (!assignment.orphaned)
      gangs_.tracker().must_leave(task_id, machine.preemption_at.has_value(), loop().now());
  schedule_placement();
}

// Its members are taken for lost: their peers count for nothing alone.
void Leader::on_gang_machine_failed(const Machine& machine) {
  if (!gangs_.any()) return;
  for (const auto& [task_id, assignment] : machine.assignments)
    if (!assignment.orphaned) gangs_.tracker().failing(task_id, loop().now());
  schedule_placement();
}

}  // namespace bankhill::leader
