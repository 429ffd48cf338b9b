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
      return "taken by a higher priority";
    case PreemptionEnd::started_elsewhere:
      return "started elsewhere";
    case PreemptionEnd::job_over:
      return "job over";
    case PreemptionEnd::made_again:
      return "made again on another machine";
    case PreemptionEnd::machine_reused:
      return "machine taken over by another";
    case PreemptionEnd::machine_lost:
      return "machine lost";
    case PreemptionEnd::unwanted:
      return "unwanted";
    case PreemptionEnd::expired:
      return "expired";
  }
  return "";
}

std::uint64_t PreemptionReservations::reserve(const wire::JobId& job, const wire::MachineId& machine_id,
                                              wire::Priority priority, const wire::Resources& request,
                                              double now, double until) {
  open_or_end(job, PreemptionEnd::made_again);
  // Few at a time: each lives for some control intervals.
  for (auto item = machines_.begin(); item != machines_.end();) {
    if (now > item->second.until)
      item = end(item, PreemptionEnd::expired);
    else if (item->first == machine_id)
      item = end(item, PreemptionEnd::machine_reused);
    else
      ++item;
  }
  Preemption made;
  made.number = ++last_number_;
  made.job = job;
  made.priority = priority;
  made.request = request;
  made.decided_at = made.vacated_at = now;
  made.planned_expires_at = made.until = until;
  machines_[machine_id] = std::move(made);
  jobs_[job] = machine_id;
  return last_number_;
}

void PreemptionReservations::add_victim(const wire::MachineId& machine_id, const wire::TaskId& task,
                                        wire::Priority priority) {
  const auto found = machines_.find(machine_id);
  if (found == machines_.end()) return;
  auto& made = found->second;
  if (!made.stopping.insert(task).second) return;
  ++made.victims;
  made.victims_priority = std::max(made.victims_priority, priority);
}

std::uint64_t PreemptionReservations::victim_gone(const wire::MachineId& machine_id, const wire::TaskId& task,
                                                  double now) {
  const auto found = machines_.find(machine_id);
  if (found == machines_.end() || found->second.stopping.erase(task) == 0) return 0;
  found->second.vacated_at = now;
  return found->second.number;
}

void PreemptionReservations::extend(const wire::MachineId& machine_id, double until) {
  const auto found = machines_.find(machine_id);
  if (found != machines_.end() && found->second.phase == PreemptionPhase::bound)
    found->second.until = std::max(found->second.until, until);
}

void PreemptionReservations::open_to_others(const wire::MachineId& machine_id) {
  if (const auto found = machines_.find(machine_id); found != machines_.end()) open_to_others(found);
}

void PreemptionReservations::open_to_others(Machines::iterator item) {
  auto& made = item->second;
  if (made.phase == PreemptionPhase::bound) jobs_.erase(made.job);
  made.phase = PreemptionPhase::open;
  made.until = std::numeric_limits<double>::max();
}

void PreemptionReservations::end(const wire::MachineId& machine_id, PreemptionEnd how) {
  if (const auto found = machines_.find(machine_id); found != machines_.end()) end(found, how);
}

PreemptionReservations::Machines::iterator PreemptionReservations::end(Machines::iterator item,
                                                                       PreemptionEnd how) {
  const auto& [machine_id, made] = *item;
  ended_.push_back({made.number, made.job, machine_id, how, made.stopping.size()});
  if (made.phase == PreemptionPhase::bound) jobs_.erase(made.job);
  return machines_.erase(item);
}

void PreemptionReservations::open_or_end(const wire::JobId& job, PreemptionEnd how) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  const auto item = machines_.find(found->second);
  if (item->second.victims > 0)
    open_to_others(item);
  else
    end(item, how);
}

void PreemptionReservations::task_placed(const wire::JobId& job, const wire::MachineId& machine_id, bool more,
                                         wire::Priority priority) {
  const auto here = machines_.find(machine_id);
  const auto bound = jobs_.find(job);
  const bool waited_here = bound != jobs_.end() && bound->second == machine_id;
  const bool open_to_it = here != machines_.end() && here->second.phase == PreemptionPhase::open &&
                          priority > here->second.victims_priority;
  if (waited_here || open_to_it) {
    // Started beside victims that are not gone yet: their room is still to be used.
    if (!here->second.all_victims_gone()) return open_to_others(here);
    if (waited_here) jobs_.erase(bound);
    here->second.phase = PreemptionPhase::filled;
    here->second.until = std::numeric_limits<double>::max();
    here->second.job = job;
  } else if (bound != jobs_.end() && !more) {
    open_or_end(job, PreemptionEnd::started_elsewhere);
  }
}

Preemption* PreemptionReservations::filled(const wire::JobId& job, const wire::MachineId& machine_id) {
  const auto found = machines_.find(machine_id);
  const bool by_job =
      found != machines_.end() && found->second.phase == PreemptionPhase::filled && found->second.job == job;
  return by_job ? &found->second : nullptr;
}

void PreemptionReservations::start_arrived(const wire::JobId& job, const wire::MachineId& machine_id) {
  if (filled(job, machine_id) != nullptr) end(machine_id, PreemptionEnd::used);
}

void PreemptionReservations::start_lost(const wire::JobId& job, const wire::MachineId& machine_id,
                                        double until) {
  auto* const made = filled(job, machine_id);
  if (made == nullptr) return;
  // Its other tasks may have had room made elsewhere meanwhile.
  if (!jobs_.emplace(job, machine_id).second) return open_to_others(machine_id);
  made->phase = PreemptionPhase::bound;
  made->planned_expires_at = made->until = until;
}

void PreemptionReservations::release(const wire::JobId& job) { open_or_end(job, PreemptionEnd::job_over); }

void PreemptionReservations::begin_pass() {
  for (auto& [machine_id, made] : machines_)
    made.in_pass = made.phase == PreemptionPhase::open && made.all_victims_gone();
}

void PreemptionReservations::end_pass() {
  for (auto item = machines_.begin(); item != machines_.end();)
    item = item->second.in_pass ? end(item, PreemptionEnd::unwanted) : std::next(item);
}

const wire::MachineId* PreemptionReservations::machine_of(const wire::JobId& job, double now) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && is_reserved(found->second, now) ? &found->second : nullptr;
}

bool PreemptionReservations::is_pending(const wire::JobId& job, double now) const {
  return machine_of(job, now) != nullptr;
}

bool PreemptionReservations::is_pending_elsewhere(const wire::JobId& job, const wire::MachineId& here,
                                                  double now) const {
  const auto* machine_id = machine_of(job, now);
  return machine_id != nullptr && *machine_id != here;
}

bool PreemptionReservations::is_reserved(const wire::MachineId& machine_id, double now) const {
  const auto found = machines_.find(machine_id);
  return found != machines_.end() && found->second.phase != PreemptionPhase::filled &&
         now <= found->second.until;
}

bool PreemptionReservations::allows(const wire::MachineId& machine_id, const wire::JobId& job,
                                    wire::Priority priority, const wire::Resources& request,
                                    const wire::Resources& room, double now) const {
  if (!is_reserved(machine_id, now)) return true;
  const auto& made = machines_.at(machine_id);
  const bool bound = made.phase == PreemptionPhase::bound;
  if (bound && made.job == job) return true;
  if (priority > (bound ? made.priority : made.victims_priority)) return true;
  auto left = room;
  left -= made.request;
  return request.fits(left);
}

std::vector<EndedPreemption> PreemptionReservations::take_ended() { return std::exchange(ended_, {}); }

void PreemptionReservations::reset() {
  machines_.clear();
  jobs_.clear();
  ended_.clear();
}

}  // namespace bankhill::queue
