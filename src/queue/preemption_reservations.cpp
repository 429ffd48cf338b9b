#include "queue/preemption_reservations.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace bankhill::queue {

const char* text(PreemptionEnd end) {
  switch (end) {
    case PreemptionEnd::used:
      return "used";
    case PreemptionEnd::taken_by_higher_priority:
      return "taken by tasks of higher priority";
    case PreemptionEnd::started_elsewhere:
      return "started on another machine";
    case PreemptionEnd::job_ended:
      return "job ended";
    case PreemptionEnd::superseded:
      return "replaced by a preemption on another machine";
    case PreemptionEnd::machine_reused:
      return "machine preempted for another job";
    case PreemptionEnd::machine_lost:
      return "machine accepts no more tasks";
    case PreemptionEnd::unclaimed:
      return "unclaimed by any waiting job";
    case PreemptionEnd::expired:
      return "expired";
  }
  return "";
}

std::uint64_t PreemptionReservations::reserve(const wire::JobId& job, const wire::MachineId& machine_id,
                                              wire::Priority priority, const wire::Resources& request,
                                              double now, double expires_at) {
  open_or_end(job, PreemptionEnd::superseded);
  // A linear scan is cheap: a reservation lasts for some control intervals, so few exist at a time.
  for (auto item = preemptions_.begin(); item != preemptions_.end();) {
    if (now > item->second.expires_at)
      item = end(item, PreemptionEnd::expired);
    else if (item->first == machine_id)
      item = end(item, PreemptionEnd::machine_reused);
    else
      ++item;
  }
  Preemption preemption;
  preemption.number = ++last_number_;
  preemption.job = job;
  preemption.priority = priority;
  preemption.request = request;
  preemption.decided_at = preemption.vacated_at = now;
  preemption.planned_expires_at = preemption.expires_at = expires_at;
  preemptions_[machine_id] = std::move(preemption);
  bound_machines_[job] = machine_id;
  return last_number_;
}

void PreemptionReservations::add_victim(const wire::MachineId& machine_id, const wire::TaskId& task,
                                        wire::Priority priority) {
  const auto found = preemptions_.find(machine_id);
  if (found == preemptions_.end()) return;
  auto& preemption = found->second;
  if (!preemption.remaining_victims.insert(task).second) return;
  ++preemption.victim_count;
  preemption.max_victim_priority = std::max(preemption.max_victim_priority, priority);
}

std::uint64_t PreemptionReservations::victim_gone(const wire::MachineId& machine_id, const wire::TaskId& task,
                                                  double now) {
  const auto found = preemptions_.find(machine_id);
  if (found == preemptions_.end() || found->second.remaining_victims.erase(task) == 0) return 0;
  found->second.vacated_at = now;
  return found->second.number;
}

void PreemptionReservations::extend(const wire::MachineId& machine_id, double expires_at) {
  const auto found = preemptions_.find(machine_id);
  if (found != preemptions_.end() && found->second.phase == PreemptionPhase::bound)
    found->second.expires_at = std::max(found->second.expires_at, expires_at);
}

void PreemptionReservations::open_to_others(const wire::MachineId& machine_id) {
  if (const auto found = preemptions_.find(machine_id); found != preemptions_.end()) open_to_others(found);
}

void PreemptionReservations::open_to_others(PreemptionsByMachine::iterator item) {
  auto& preemption = item->second;
  if (preemption.phase == PreemptionPhase::bound) bound_machines_.erase(preemption.job);
  preemption.phase = PreemptionPhase::open;
  preemption.expires_at = std::numeric_limits<double>::max();
}

void PreemptionReservations::end(const wire::MachineId& machine_id, PreemptionEnd reason) {
  if (const auto found = preemptions_.find(machine_id); found != preemptions_.end()) end(found, reason);
}

PreemptionReservations::PreemptionsByMachine::iterator PreemptionReservations::end(
    PreemptionsByMachine::iterator item, PreemptionEnd reason) {
  const auto& [machine_id, preemption] = *item;
  ended_.push_back(
      {preemption.number, preemption.job, machine_id, reason, preemption.remaining_victims.size()});
  if (preemption.phase == PreemptionPhase::bound) bound_machines_.erase(preemption.job);
  return preemptions_.erase(item);
}

void PreemptionReservations::open_or_end(const wire::JobId& job, PreemptionEnd reason) {
  const auto found = bound_machines_.find(job);
  if (found == bound_machines_.end()) return;
  const auto item = preemptions_.find(found->second);
  if (item->second.victim_count > 0)
    open_to_others(item);
  else
    end(item, reason);
}

void PreemptionReservations::task_placed(const wire::JobId& job, const wire::MachineId& machine_id,
                                         bool more_waiting, wire::Priority priority) {
  const auto here = preemptions_.find(machine_id);
  const auto bound = bound_machines_.find(job);
  const bool waited_here = bound != bound_machines_.end() && bound->second == machine_id;
  const bool open_to_task = here != preemptions_.end() && here->second.phase == PreemptionPhase::open &&
                            priority > here->second.max_victim_priority;
  if (waited_here || open_to_task) {
    // The task fits beside victims that are still there: what they free is left for another task.
    if (!here->second.all_victims_gone()) return open_to_others(here);
    if (waited_here) bound_machines_.erase(bound);
    here->second.phase = PreemptionPhase::filled;
    here->second.expires_at = std::numeric_limits<double>::max();
    here->second.job = job;
  } else if (bound != bound_machines_.end() && !more_waiting) {
    open_or_end(job, PreemptionEnd::started_elsewhere);
  }
}

Preemption* PreemptionReservations::find_filled(const wire::JobId& job, const wire::MachineId& machine_id) {
  const auto found = preemptions_.find(machine_id);
  const bool filled_by_job = found != preemptions_.end() && found->second.phase == PreemptionPhase::filled &&
                             found->second.job == job;
  return filled_by_job ? &found->second : nullptr;
}

void PreemptionReservations::start_arrived(const wire::JobId& job, const wire::MachineId& machine_id) {
  if (find_filled(job, machine_id) != nullptr) end(machine_id, PreemptionEnd::used);
}

void PreemptionReservations::start_lost(const wire::JobId& job, const wire::MachineId& machine_id,
                                        double expires_at) {
  auto* const preemption = find_filled(job, machine_id);
  if (preemption == nullptr) return;
  // Another machine may have been reserved meanwhile for a further task of the job.
  if (!bound_machines_.emplace(job, machine_id).second) return open_to_others(machine_id);
  preemption->phase = PreemptionPhase::bound;
  preemption->planned_expires_at = preemption->expires_at = expires_at;
}

void PreemptionReservations::release(const wire::JobId& job) { open_or_end(job, PreemptionEnd::job_ended); }

void PreemptionReservations::begin_pass() {
  for (auto& [machine_id, preemption] : preemptions_)
    preemption.available_at_pass_begin =
        preemption.phase == PreemptionPhase::open && preemption.all_victims_gone();
}

void PreemptionReservations::end_pass() {
  for (auto item = preemptions_.begin(); item != preemptions_.end();)
    item = item->second.available_at_pass_begin ? end(item, PreemptionEnd::unclaimed) : std::next(item);
}

const wire::MachineId* PreemptionReservations::machine_of(const wire::JobId& job, double now) const {
  const auto found = bound_machines_.find(job);
  return found != bound_machines_.end() && is_reserved(found->second, now) ? &found->second : nullptr;
}

bool PreemptionReservations::is_pending(const wire::JobId& job, double now) const {
  return machine_of(job, now) != nullptr;
}

bool PreemptionReservations::is_pending_elsewhere(const wire::JobId& job, const wire::MachineId& machine_id,
                                                  double now) const {
  const auto* reserved_machine = machine_of(job, now);
  return reserved_machine != nullptr && *reserved_machine != machine_id;
}

bool PreemptionReservations::is_reserved(const wire::MachineId& machine_id, double now) const {
  const auto found = preemptions_.find(machine_id);
  return found != preemptions_.end() && found->second.phase != PreemptionPhase::filled &&
         now <= found->second.expires_at;
}

bool PreemptionReservations::allows(const wire::MachineId& machine_id, const wire::JobId& job,
                                    wire::Priority priority, const wire::Resources& request,
                                    const wire::Resources& available, double now) const {
  if (!is_reserved(machine_id, now)) return true;
  const auto& preemption = preemptions_.at(machine_id);
  const bool bound = preemption.phase == PreemptionPhase::bound;
  if (bound && preemption.job == job) return true;
  if (priority > (bound ? preemption.priority : preemption.max_victim_priority)) return true;
  auto unreserved = available;
  unreserved -= preemption.request;
  return request.fits(unreserved);
}

std::vector<EndedPreemption> PreemptionReservations::take_ended() { return std::exchange(ended_, {}); }

void PreemptionReservations::reset() {
  preemptions_.clear();
  bound_machines_.clear();
  ended_.clear();
}

}  // namespace bankhill::queue
