#include "queue/preemption_reservations.hpp"

namespace bankhill::queue {

void PreemptionReservations::reserve(const wire::JobId& job, const wire::MachineId& machine_id,
                                     wire::Priority priority, const wire::Resources& request, double now,
                                     double until) {
  release(job);
  // Few at a time: each lives for some control intervals.
  for (auto made = machines_.begin(); made != machines_.end();) {
    const bool over = now > made->second.until || made->first == machine_id;
    if (over) jobs_.erase(made->second.job);
    made = over ? machines_.erase(made) : std::next(made);
  }
  machines_[machine_id] = {job, priority, request, until};
  jobs_[job] = machine_id;
}

void PreemptionReservations::placed(const wire::JobId& job, const wire::MachineId& machine_id, bool more) {
  const auto found = jobs_.find(job);
  if (found != jobs_.end() && (found->second == machine_id || !more)) release(job);
}

bool PreemptionReservations::pending_elsewhere(const wire::JobId& job, const wire::MachineId& here,
                                               double now) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && found->second != here && reserved(found->second, now);
}

void PreemptionReservations::release(const wire::JobId& job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  machines_.erase(found->second);
  jobs_.erase(found);
}

bool PreemptionReservations::pending(const wire::JobId& job, double now) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && reserved(found->second, now);
}

bool PreemptionReservations::reserved(const wire::MachineId& machine_id, double now) const {
  const auto found = machines_.find(machine_id);
  return found != machines_.end() && now <= found->second.until;
}

bool PreemptionReservations::allows(const wire::MachineId& machine_id, const wire::JobId& job,
                                    wire::Priority priority, const wire::Resources& request,
                                    const wire::Resources& room, double now) const {
  if (!reserved(machine_id, now)) return true;
  const auto& made = machines_.at(machine_id);
  if (made.job == job || priority > made.priority) return true;
  auto left = room;
  left -= made.request;
  return request.fits(left);
}

void PreemptionReservations::reset() {
  machines_.clear();
  jobs_.clear();
}

}  // namespace bankhill::queue
