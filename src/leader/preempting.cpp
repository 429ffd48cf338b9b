// Preemption: which tasks are stopped for a job that finds no machine, and what becomes of the room
// (docs/DESIGN.md, "Preemption by rank and for guarantees").
#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using model::Machine;

namespace {
// In control intervals.
constexpr double kRoomComes = 0.15;  // that a task needs to stop and tell
constexpr double kRoomPaces = 4;     // for which room that was made is its task's alone
constexpr double kServiceRoomPaces = 2;
constexpr double kSearchAgain = 0.2;           // after which a batch looks for others to stop again
constexpr std::size_t kMachinesSearched = 48;  // for tasks to stop, at a time
constexpr double kRounding = 1e-6;
}  // namespace

// Preemption: stops tasks that the selector chooses on one machine, so that a task of the job can start.
// `with_image`: only where the image is. Says whether room is on its way.
bool Leader::preempt(Job& job, bool with_image) {
  const double now = loop().now();
  switch (preemption_state(job, with_image)) {
    case PreemptionState::room_coming:
      return true;
    case PreemptionState::wait:
      return false;
    case PreemptionState::may_search:
      break;
  }
  job.preemption_tried_at = now;
  const Preemptor preemptor{job, effective_priority(job), may_reclaim_borrowed(job)};
  if (!preemptor.reclaims_borrowed && quota_.cores_below(preemptor.priority) < kRounding) return false;
  const auto allowed = [&](const Machine& machine) {
    if (preemption_reservations_.reserved(machine.id, now) || !could_run_on(machine, job)) return false;
    return (!with_image || machine.images.contains(job.spec.image)) && !crowded(machine, job);
  };
  // A part of the fleet at a time, going round: the best of some dozens is hardly worse than the best of all.
  const auto chosen = victim_selector_.choose(fleet_, kMachinesSearched, preemptor, allowed, now);
  if (!chosen) return false;
  job.preempted_at = now;
  job.preempted_room_has_image = !chosen->cost.lacks_image;
  const double room_paces = job.is_service() ? kServiceRoomPaces : kRoomPaces;
  const auto number =
      preemption_reservations_.reserve(job.spec.id, chosen->machine_id, preemptor.priority, job.spec.request,
                                       now, now + room_paces * settings_.control_interval_s);
  log_->debug("preemption {}: makes room on {} for job {} ({}{}{}), {} tasks are stopped", number,
              chosen->machine_id.value, job.spec.id.value, name_of(preemptor.priority),
              job.is_service() ? ", a service" : "", preemptor.reclaims_borrowed ? ", reclaims" : "",
              chosen->victims.size());
  stop_victims(*chosen, job);
  return true;
}

// Whether other tasks may be stopped for the job now.
Leader::PreemptionState Leader::preemption_state(const Job& job, bool with_image) const {
  const double now = loop().now();
  // What was stopped for it before is on its way.
  if (now - job.preempted_at < settings_.control_interval_s) {
    // Room made where the image is not is all that it gets: waiting on for a better one, a service left it to
    // the next batch and made room again each control interval, 20 s down after its machine died (lakaskalk,
    // troubles).
    const bool comes = now - job.preempted_at < kRoomComes * settings_.control_interval_s;
    return comes && (!with_image || job.preempted_room_has_image) ? PreemptionState::room_coming
                                                                  : PreemptionState::wait;
  }
  if (job.is_service()) return PreemptionState::may_search;
  if (preemption_reservations_.pending(job.spec.id, now)) return PreemptionState::room_coming;
  // A batch in a flood is one of thousands that look for room at each event.
  return now - job.preemption_tried_at < kSearchAgain * settings_.control_interval_s
             ? PreemptionState::wait
             : PreemptionState::may_search;
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

void Leader::stop_victims(const PreemptionCandidate& chosen, const Job& job) {
  auto& machine = *fleet_.find(chosen.machine_id);
  for (const auto& victim : chosen.victims) {
    if (const auto span = gangs_.tracker().span(victim.job); span > 1) {  // whole, or not at all
      gangs_.tracker().evict({victim.job, victim.index / span}, loop().now());
      continue;
    }
    const auto& spec = jobs_.at(victim.job).spec;
    log_->debug("job {}: {} makes room for it", job.spec.id.value, victim.text());
    ++event_counts_["tasks made room"];
    preemption_reservations_.add_victim(machine.id, victim);
    stop_task(machine, machine.assignments.at(victim),
              spec.checkpoint_interval_s > 0 ? spec.checkpoint_duration_s : 0);
  }
  apply_gang_actions();
}

// One of the tasks that were stopped to make room may be gone.
void Leader::note_victim_gone(const Machine& machine, const wire::TaskId& task) {
  if (const auto number = preemption_reservations_.victim_gone(machine.id, task); number > 0)
    log_->debug("preemption {}: {} is gone from {}", number, task.text(), machine.id.value);
}

void Leader::log_ended_preemptions() {
  for (const auto& ended : preemption_reservations_.take_ended()) {
    ++event_counts_[std::string("preemptions ended: ") + text(ended.end)];
    log_->debug("preemption {}: for job {} on {} ended: {}, {} tasks not gone", ended.number, ended.job.value,
                ended.machine_id.value, text(ended.end), ended.victims_left);
  }
}

}  // namespace bankhill::leader
