#include "queue/preemption_reservations.hpp"

#include <utility>

namespace bankhill::queue {

const char* text(PreemptionEnd end) {
  switch (end) {
    case PreemptionEnd::used:
      return "used";
    case PreemptionEnd::started_elsewhere:
      return "started elsewhere";
    case PreemptionEnd::job_over:
      return "job over";
    case PreemptionEnd::made_again:
      return "made again on another machine";
    case PreemptionEnd::machine_reused:
      return "machine taken over by another";
    case PreemptionEnd::expired:
      return "expired";
  }
  return "";
}

std::uint64_t PreemptionReservations::reserve(const wire::JobId& job, const wire::MachineId& machine_id,
                                              wire::Priority priority, const wire::Resources& request,
                                              double now, double until) {
  end_of(job, PreemptionEnd::made_again);
  // Few at a time: each lives for some control intervals.
  for (auto made = machines_.begin(); made != machines_.end();) {
    if (now > made->second.until)
      made = end(made, PreemptionEnd::expired);
    else if (made->first == machine_id)
      made = end(made, PreemptionEnd::machine_reused);
    else
      ++made;
  }
  machines_[machine_id] = {++last_number_, job, priority, request, until, {}};
  jobs_[job] = machine_id;
  return last_number_;
}

void PreemptionReservations::add_victim(const wire::MachineId& machine_id, const wire::TaskId& task) {
  if (const auto found = machines_.find(machine_id); found != machines_.end())
    found->second.victims.insert(task);
}

std::uint64_t PreemptionReservations::victim_gone(const wire::MachineId& machine_id,
                                                  const wire::TaskId& task) {
  const auto found = machines_.find(machine_id);
  if (found == machines_.end() || found->second.victims.erase(task) == 0) return 0;
  return found->second.number;
}

std::vector<EndedPreemption> PreemptionReservations::take_ended() { return std::exchange(ended_, {}); }

void PreemptionReservations::placed(const wire::JobId& job, const wire::MachineId& machine_id, bool more) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  if (found->second == machine_id)
    end_of(job, PreemptionEnd::used);
  else if (!more)
    end_of(job, PreemptionEnd::started_elsewhere);
}

PreemptionReservations::Reservations::iterator PreemptionReservations::end(Reservations::iterator reservation,
                                                                           PreemptionEnd how) {
  const auto& [machine_id, made] = *reservation;
  ended_.push_back({made.number, made.job, machine_id, how, made.victims.size()});
  jobs_.erase(made.job);
  return machines_.erase(reservation);
}

void PreemptionReservations::end_of(const wire::JobId& job, PreemptionEnd how) {
  if (const auto found = jobs_.find(job); found != jobs_.end()) end(machines_.find(found->second), how);
}

bool PreemptionReservations::pending_elsewhere(const wire::JobId& job, const wire::MachineId& here,
                                               double now) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && found->second != here && reserved(found->second, now);
}

void PreemptionReservations::release(const wire::JobId& job) { end_of(job, PreemptionEnd::job_over); }

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
  ended_.clear();
}

}  // namespace bankhill::queue
