#include "queue/backfill_reservations.hpp"

namespace bankhill::queue {

// Drops jobs without recent requests, such as cancelled and blocked ones, and releases their machines.
void BackfillReservations::drop_idle_requests(double now) {
  for (auto request = requests_.begin(); request != requests_.end();) {
    const bool idle = now - request->second.last_requested_at > settings_.overdue_s;
    if (idle && request->second.machine_id) reservations_.erase(*request->second.machine_id);
    request = idle ? requests_.erase(request) : std::next(request);
  }
}

bool BackfillReservations::should_reserve(const wire::JobId& job, double now) {
  // The table holds at most `max_jobs` jobs, whether they have a machine or wait for one.
  if (!requests_.contains(job) && requests_.size() >= settings_.max_jobs) {
    drop_idle_requests(now);
    if (requests_.size() >= settings_.max_jobs) return false;
  }
  auto& request = requests_.try_emplace(job, Request{now, now, std::nullopt}).first->second;
  request.last_requested_at = now;
  if (request.machine_id) {
    // Estimated run times are often wrong: tasks that should have ended may still run on the machine.
    const auto& reservation = reservations_.at(*request.machine_id);
    if (now <= reservation.free_at + settings_.overdue_s) return false;
    reservations_.erase(*request.machine_id);
    request.machine_id.reset();
  }
  return now - request.first_requested_at >= settings_.wait_s;
}

void BackfillReservations::reserve(const wire::JobId& job, const wire::MachineId& machine_id,
                                   double free_at) {
  const auto request = requests_.find(job);
  if (request == requests_.end() || request->second.machine_id || reservations_.contains(machine_id)) return;
  request->second.machine_id = machine_id;
  reservations_[machine_id] = {job, free_at};
}

void BackfillReservations::release(const wire::JobId& job) {
  const auto request = requests_.find(job);
  if (request == requests_.end()) return;
  if (request->second.machine_id) reservations_.erase(*request->second.machine_id);
  requests_.erase(request);
}

void BackfillReservations::drop_machine(const wire::MachineId& machine_id) {
  const auto found = reservations_.find(machine_id);
  if (found == reservations_.end()) return;
  requests_.at(found->second.job).machine_id.reset();
  reservations_.erase(found);
}

const wire::MachineId* BackfillReservations::machine_of(const wire::JobId& job) const {
  const auto request = requests_.find(job);
  return request == requests_.end() || !request->second.machine_id ? nullptr : &*request->second.machine_id;
}

// A reservation loses its effect `overdue_s` after `free_at` even if should_reserve() is not called again for
// its job.
bool BackfillReservations::allows(const wire::MachineId& machine_id, const wire::JobId& job, double now,
                                  double runtime_s) const {
  const auto found = reservations_.find(machine_id);
  if (found == reservations_.end() || found->second.job == job) return true;
  const double free_at = found->second.free_at;
  return now + runtime_s <= free_at || now > free_at + settings_.overdue_s;
}

void BackfillReservations::reset() {
  reservations_.clear();
  requests_.clear();
}

}  // namespace bankhill::queue
