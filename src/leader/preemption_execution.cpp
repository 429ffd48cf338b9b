// Preemption, as carried out by the leader (docs/DESIGN.md, "Preemption by rank and for guarantees"): when
// victims are stopped for a job that finds no machine, and who may use the freed resources.
#include <algorithm>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using model::Machine;
using queue::estimated_runtime_s;

namespace {
// The following durations are in control intervals.

// How long resources stay reserved for a batch job after its victims' grace periods, and for any job after
// its last victim is gone.
constexpr double kReservationIntervals = 4;
// How long they stay reserved for a service after its victims' grace periods.
constexpr double kServiceReservationIntervals = 2;
// How long any job waits, counted from the decision, if the machine has been in contact since then: the stop
// commands are being carried out.
constexpr double kStopInProgressIntervals = 8;
// How long freed resources are reserved again after a start command for that machine was lost.
constexpr double kLostStartIntervals = 2;
// Minimum time between two victim searches for the same batch job.
constexpr double kSearchRetryIntervals = 0.2;
// Machines examined in one victim search.
constexpr std::size_t kMachinesPerSearch = 48;
constexpr double kRoundingTolerance = 1e-6;
}  // namespace

// Stops the victims that the selector chooses on one machine, so that a task of the job can start there.
// Returns whether resources are being freed for the job.
bool Leader::preempt_for(Job& job, const Machine* machine_without_image) {
  const double now = loop().now();
  switch (preemption_state(job)) {
    case PreemptionState::pending:
      return true;
    case PreemptionState::deferred:
      return false;
    case PreemptionState::allowed:
      break;
  }
  job.preemption_tried_at = now;
  Preemptor preemptor{job, effective_priority(job), may_reclaim_borrowed(job)};
  // If a victim takes longer to stop than the image takes to pull, the service would start no sooner.
  if (machine_without_image != nullptr)
    preemptor.max_grace_period_s =
        image_pull_s(job, {machine_without_image->machine_type, machine_without_image->zone,
                           machine_without_image->preemptible});
  if (!preemptor.reclaims_borrowed && quota_.cores_below(preemptor.priority) < kRoundingTolerance)
    return false;
  const auto allowed = [&](const Machine& machine) {
    return could_preempt_on(machine, job) &&
           (machine_without_image == nullptr || machine.images.contains(job.spec.image));
  };
  // Examines a part of the fleet at a time, in round-robin order: the best of some dozens of machines is
  // hardly worse than the best of all.
  const auto chosen = victim_selector_.choose(fleet_, kMachinesPerSearch, preemptor, allowed, now);
  if (!chosen) return false;
  job.triggered_preemption_at = now;
  const double intervals = job.is_service() ? kServiceReservationIntervals : kReservationIntervals;
  const auto number = preemption_reservations_.reserve(
      job.spec.id, chosen->machine_id, preemptor.priority, job.spec.request, now,
      now + max_grace_period_s(*chosen) + intervals * settings_.control_interval_s);
  log_->debug("preemption {}: freeing resources on machine {} for job {} ({}{}{}), stopping {} tasks", number,
              chosen->machine_id.value, job.spec.id.value, name_of(preemptor.priority),
              job.is_service() ? ", service" : "",
              preemptor.reclaims_borrowed ? ", reclaiming borrowed resources" : "", chosen->victims.size());
  stop_victims(*chosen, job);
  return true;
}

// Whether a task of the job could start on the machine as soon as the victims are gone. If not, stopping them
// would be useless.
bool Leader::could_preempt_on(const Machine& machine, const Job& job) const {
  const double now = loop().now();
  const wire::TaskId next_task{job.spec.id, job.cursor};
  return !preemption_reservations_.machines().contains(machine.id) && could_run_on(machine, job) &&
         is_suitable(machine, job, next_task) &&
         (job.is_service() ||
          backfill_reservations_.allows(machine.id, job.spec.id, now, estimated_runtime_s(job)));
}

double Leader::grace_period_s(const wire::JobId& id) const { return checkpoint_grace_s(jobs_.at(id).spec); }

double Leader::max_grace_period_s(const PreemptionCandidate& chosen) const {
  double max_grace_s = 0;
  for (const auto& victim : chosen.victims) max_grace_s = std::max(max_grace_s, grace_period_s(victim.job));
  return max_grace_s;
}

// Whether victims may be stopped for the job now.
Leader::PreemptionState Leader::preemption_state(const Job& job) const {
  const double now = loop().now();
  if (preemption_reservations_.is_pending(job.spec.id, now)) return PreemptionState::pending;
  if (now - job.triggered_preemption_at < settings_.control_interval_s) return PreemptionState::deferred;
  if (job.is_service()) return PreemptionState::allowed;
  // In a flood of batch jobs, thousands of them search for victims at each event, so the searches of each are
  // limited in rate.
  return now - job.preemption_tried_at < kSearchRetryIntervals * settings_.control_interval_s
             ? PreemptionState::deferred
             : PreemptionState::allowed;
}

// The machine on which victims were stopped for the job, once the request fits there; null before that.
Machine* Leader::find_freed_machine(const Job& job) {
  const auto* machine_id = preemption_reservations_.machine_of(job.spec.id, loop().now());
  if (machine_id == nullptr) return nullptr;
  auto* machine = fleet_.find(*machine_id);
  const bool usable = machine != nullptr && machine->takes_tasks() && !machine->overdue &&
                      job.spec.request.fits(machine->available()) &&
                      is_suitable(*machine, job, {job.spec.id, job.cursor});
  return usable && preemption_reservations_.machines().at(*machine_id).all_victims_gone() ? machine : nullptr;
}

// Ends preemptions whose resources can no longer be used. Once a job has waited too long for a preemption,
// the resources are opened to other jobs. Only a few preemptions are in progress at a time.
void Leader::review_preemptions() {
  std::vector<std::pair<wire::MachineId, queue::PreemptionEnd>> to_end;
  std::vector<wire::MachineId> to_open;
  for (const auto& [machine_id, preemption] : preemption_reservations_.machines()) {
    const auto* machine = fleet_.peek(machine_id);
    const bool filled = preemption.phase == queue::PreemptionPhase::filled;
    if (machine == nullptr || (!filled && (machine->terminating || machine->draining)))
      to_end.emplace_back(machine_id, queue::PreemptionEnd::machine_lost);
    else if (preemption.phase != queue::PreemptionPhase::bound)
      continue;
    else if (preemption.all_victims_gone() && !preemption.request.fits(machine->available()))
      to_end.emplace_back(machine_id, queue::PreemptionEnd::taken_by_higher_priority);
    else if (const double limit = preemption_deadline(preemption, *machine); loop().now() > limit)
      to_open.push_back(machine_id);
    else
      preemption_reservations_.extend(machine_id, limit);
  }
  for (const auto& [machine_id, reason] : to_end) preemption_reservations_.end(machine_id, reason);
  for (const auto& machine_id : to_open) preemption_reservations_.open_to_others(machine_id);
  if (!to_end.empty() || !to_open.empty()) schedule_placement();
}

// Until when the job waits for a preemption (steady clock, seconds). A machine that has been in contact since
// the decision carries out the stop, however long its confirmation takes. A machine without contact, or with
// its downlink lost, may never do so. The time is derived from past events and not from the current time, so
// that the wait ends.
double Leader::preemption_deadline(const queue::Preemption& preemption, const Machine& machine) const {
  const double interval = settings_.control_interval_s;
  const bool had_contact = machine.last_contact > preemption.decided_at && !machine.overdue;
  if (preemption.all_victims_gone())
    return std::max(preemption.planned_expires_at, preemption.vacated_at + kReservationIntervals * interval);
  if (had_contact && !machine.downlink.considered_lost())
    return std::max(preemption.planned_expires_at,
                    preemption.decided_at + kStopInProgressIntervals * interval);
  return preemption.planned_expires_at;
}

// Whether victims may be taken from teams that use more than their guarantees. Most work of a stopped task is
// lost, and borrowed resources come back by themselves as tasks end. So they are reclaimed only from long
// tasks, and only after a whole planning round has not freed enough.
bool Leader::may_reclaim_borrowed(const Job& job) const {
  return within_guarantee(job) && loop().wall() - job.eligible_at > settings_.round_s &&
         quota_.has_other_borrowers(job.spec.team);
}

// Whether the machine could run a task of the job if the machine were empty.
bool Leader::could_run_on(const Machine& machine, const Job& job) const {
  return model::allows(job.spec, {machine.machine_type, machine.zone, machine.preemptible}) &&
         zone_allows(job, machine.zone) && job.spec.request.fits(machine.capacity);
}

// All stop commands go into one request: if they were sent separately, one might arrive after the freed
// resources are already in use.
void Leader::stop_victims(const PreemptionCandidate& chosen, const Job& job) {
  auto& machine = *fleet_.find(chosen.machine_id);
  std::vector<wire::Command> stop_commands;
  for (const auto& victim : chosen.victims) {
    auto& assignment = machine.assignments.at(victim);
    preemption_reservations_.add_victim(machine.id, victim, assignment.priority);
    // A gang is stopped as a whole or not at all.
    if (const auto span = gangs_.tracker().span(victim.job); span > 1) {
      gangs_.tracker().evict({victim.job, victim.index / span}, loop().now());
      continue;
    }
    log_->debug("job {}: preempting task {} for it", job.spec.id.value, victim.text());
    ++event_counts_["tasks preempted"];
    stop_commands.push_back(mark_stopping(assignment, grace_period_s(victim.job)));
  }
  if (!stop_commands.empty()) send_commands(machine, std::move(stop_commands));
  apply_gang_actions();
}

// The removed task may be a victim, or the task that the victims were stopped for.
void Leader::on_assignment_removed(const Machine& machine, const model::Assignment& assignment) {
  const auto& task = assignment.task;
  if (assignment.state == model::AssignmentState::sent) {
    preemption_reservations_.start_lost(task.job, machine.id,
                                        loop().now() + kLostStartIntervals * settings_.control_interval_s);
    // The start was lost because the job ended, so the job no longer needs the resources.
    if (!live_jobs_.contains(task.job)) preemption_reservations_.release(task.job);
  } else {
    preemption_reservations_.start_arrived(task.job, machine.id);
  }
  if (const auto number = preemption_reservations_.victim_gone(machine.id, task, loop().now()); number > 0)
    log_->debug("preemption {}: victim {} has ended on machine {}", number, task.text(), machine.id.value);
}

void Leader::log_ended_preemptions() {
  for (const auto& ended : preemption_reservations_.take_ended()) {
    ++event_counts_[std::string("preemptions ended: ") + text(ended.reason)];
    log_->debug("preemption {}: for job {} on machine {} ended: {}, {} victims not confirmed as ended",
                ended.number, ended.job.value, ended.machine_id.value, text(ended.reason),
                ended.victims_left);
  }
}

}  // namespace bankhill::leader
