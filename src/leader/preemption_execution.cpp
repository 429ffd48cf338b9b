// Preemption: which tasks are stopped for a job that finds no machine, and what becomes of the room
// (docs/DESIGN.md, "Preemption by rank and for guarantees").
#include <algorithm>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using model::Machine;
using queue::estimated_runtime_s;

namespace {
// In control intervals.
constexpr double kRoomPaces = 4;         // for which a batch waits for the room that was made for it
constexpr double kServiceRoomPaces = 2;  // the same for a service
constexpr double kStopPaces =
    8;  // the same for any, where the machine was heard since: the stop is under way
constexpr double kLostStartPaces = 2;  // for which room is waited for again after a start there was lost
constexpr double kSearchAgain = 0.2;   // after which a batch looks for others to stop again
constexpr std::size_t kMachinesSearched = 48;  // for tasks to stop, at a time
constexpr double kRounding = 1e-6;
}  // namespace

// Stops tasks that the selector chooses on one machine, so that a task of the job can start. Says whether
// room is on its way.
bool Leader::preempt_for(Job& job, const Machine* instead_of) {
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
  // What takes longer to stop than the image to fetch makes it start no sooner.
  if (instead_of != nullptr)
    preemptor.longest_stop_s =
        image_pull_s(job, {instead_of->machine_type, instead_of->zone, instead_of->preemptible});
  if (!preemptor.reclaims_borrowed && quota_.cores_below(preemptor.priority) < kRounding) return false;
  const auto allowed = [&](const Machine& machine) {
    return could_preempt_on(machine, job) &&
           (instead_of == nullptr || machine.images.contains(job.spec.image));
  };
  // A part of the fleet at a time, going round: the best of some dozens is hardly worse than the best of all.
  const auto chosen = victim_selector_.choose(fleet_, kMachinesSearched, preemptor, allowed, now);
  if (!chosen) return false;
  job.triggered_preemption_at = now;
  const double paces = job.is_service() ? kServiceRoomPaces : kRoomPaces;
  const auto number = preemption_reservations_.reserve(
      job.spec.id, chosen->machine_id, preemptor.priority, job.spec.request, now,
      now + max_grace_period_s(*chosen) + paces * settings_.control_interval_s);
  log_->debug("preemption {}: makes room on {} for job {} ({}{}{}), {} tasks are stopped", number,
              chosen->machine_id.value, job.spec.id.value, name_of(preemptor.priority),
              job.is_service() ? ", a service" : "", preemptor.reclaims_borrowed ? ", reclaims" : "",
              chosen->victims.size());
  stop_victims(*chosen, job);
  return true;
}

// Whether a task of the job could start there at once if it had room: else others were stopped in vain.
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
  double longest = 0;
  for (const auto& victim : chosen.victims) longest = std::max(longest, grace_period_s(victim.job));
  return longest;
}

// Whether other tasks may be stopped for the job now.
Leader::PreemptionState Leader::preemption_state(const Job& job) const {
  const double now = loop().now();
  if (preemption_reservations_.is_pending(job.spec.id, now)) return PreemptionState::pending;
  if (now - job.triggered_preemption_at < settings_.control_interval_s) return PreemptionState::deferred;
  if (job.is_service()) return PreemptionState::allowed;
  // A batch in a flood is one of thousands that look for room at each event.
  return now - job.preemption_tried_at < kSearchAgain * settings_.control_interval_s
             ? PreemptionState::deferred
             : PreemptionState::allowed;
}

// The machine where room was made for the job's task, once it is there.
Machine* Leader::find_freed_machine(const Job& job) {
  const auto* machine_id = preemption_reservations_.machine_of(job.spec.id, loop().now());
  if (machine_id == nullptr) return nullptr;
  auto* machine = fleet_.find(*machine_id);
  const bool usable = machine != nullptr && machine->takes_tasks() && !machine->overdue &&
                      job.spec.request.fits(machine->available()) &&
                      is_suitable(*machine, job, {job.spec.id, job.cursor});
  return usable && preemption_reservations_.machines().at(*machine_id).all_victims_gone() ? machine : nullptr;
}

// Ends what can be used no more, and lets go the jobs that have waited for too long. Few are under way.
void Leader::review_preemptions() {
  std::vector<std::pair<wire::MachineId, queue::PreemptionEnd>> over;
  std::vector<wire::MachineId> too_late;
  for (const auto& [machine_id, preemption] : preemption_reservations_.machines()) {
    const auto* machine = fleet_.peek(machine_id);
    const bool filled = preemption.phase == queue::PreemptionPhase::filled;
    if (machine == nullptr || (!filled && (machine->terminating || machine->draining)))
      over.emplace_back(machine_id, queue::PreemptionEnd::machine_lost);
    else if (preemption.phase != queue::PreemptionPhase::bound)
      continue;
    else if (preemption.all_victims_gone() && !preemption.request.fits(machine->available()))
      over.emplace_back(machine_id, queue::PreemptionEnd::taken_by_higher_priority);
    else if (const double limit = preemption_deadline(preemption, *machine); loop().now() > limit)
      too_late.push_back(machine_id);
    else
      preemption_reservations_.extend(machine_id, limit);
  }
  for (const auto& [machine_id, how] : over) preemption_reservations_.end(machine_id, how);
  for (const auto& machine_id : too_late) preemption_reservations_.open_to_others(machine_id);
  if (!over.empty() || !too_late.empty()) schedule_placement();
}

// A machine that was heard since carries out the stop, however long its news take; one that was not, or that
// is known not to hear, may never do it. Counted from what happened, not from now, so that it comes to an
// end.
double Leader::preemption_deadline(const queue::Preemption& preemption, const Machine& machine) const {
  const double interval = settings_.control_interval_s;
  const bool heard = machine.last_contact > preemption.decided_at && !machine.overdue;
  if (preemption.all_victims_gone())
    return std::max(preemption.planned_expires_at, preemption.vacated_at + kRoomPaces * interval);
  if (heard && !machine.downlink.considered_lost())
    return std::max(preemption.planned_expires_at, preemption.decided_at + kStopPaces * interval);
  return preemption.planned_expires_at;
}

// Stopped work is mostly lost, and borrowed room comes back by itself as tasks end: taken back by force is
// only what long tasks would not give back soon, when a whole round has not brought enough.
bool Leader::may_reclaim_borrowed(const Job& job) const {
  return within_guarantee(job) && loop().wall() - job.eligible_at > settings_.round_s &&
         quota_.others_borrow(job.spec.team);
}

// Whether the machine could run a task of the job if it were empty.
bool Leader::could_run_on(const Machine& machine, const Job& job) const {
  return model::allows(job.spec, {machine.machine_type, machine.zone, machine.preemptible}) &&
         zone_allows(job, machine.zone) && job.spec.request.fits(machine.capacity);
}

// All in one request: of stops that travel apart one may arrive when the room is taken already.
void Leader::stop_victims(const PreemptionCandidate& chosen, const Job& job) {
  auto& machine = *fleet_.find(chosen.machine_id);
  std::vector<wire::Command> stops;
  for (const auto& victim : chosen.victims) {
    auto& assignment = machine.assignments.at(victim);
    preemption_reservations_.add_victim(machine.id, victim, assignment.priority);
    if (const auto span = gangs_.tracker().span(victim.job); span > 1) {  // whole, or not at all
      gangs_.tracker().evict({victim.job, victim.index / span}, loop().now());
      continue;
    }
    log_->debug("job {}: {} makes room for it", job.spec.id.value, victim.text());
    ++event_counts_["tasks made room"];
    stops.push_back(mark_stopping(assignment, grace_period_s(victim.job)));
  }
  if (!stops.empty()) send_command(machine, std::move(stops));
  apply_gang_actions();
}

// A task that is gone may be one that was stopped to make room, or the one that the room was made for.
void Leader::on_assignment_removed(const Machine& machine, const model::Assignment& assignment) {
  const auto& task = assignment.task;
  if (assignment.state == model::AssignmentState::sent) {
    preemption_reservations_.start_lost(task.job, machine.id,
                                        loop().now() + kLostStartPaces * settings_.control_interval_s);
    // Lost as its job ended, it needs the room no more.
    if (!live_jobs_.contains(task.job)) preemption_reservations_.release(task.job);
  } else {
    preemption_reservations_.start_arrived(task.job, machine.id);
  }
  if (const auto number = preemption_reservations_.victim_gone(machine.id, task, loop().now()); number > 0)
    log_->debug("preemption {}: {} is gone from {}", number, task.text(), machine.id.value);
}

void Leader::log_ended_preemptions() {
  for (const auto& ended : preemption_reservations_.take_ended()) {
    ++event_counts_[std::string("preemptions ended: ") + text(ended.reason)];
    log_->debug("preemption {}: for job {} on {} ended: {}, {} tasks not gone", ended.number, ended.job.value,
                ended.machine_id.value, text(ended.reason), ended.victims_left);
  }
}

}  // namespace bankhill::leader
