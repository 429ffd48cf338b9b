#include "queue/backfill_reservations.hpp"

namespace bankhill::queue {

// A job that was cancelled or became blocked asks no more: its machine goes back to all.
void BackfillReservations::forget_idle(double now) {
  for (auto seeker = seekers_.begin(); seeker != seekers_.end();) {
    const bool idle = now - seeker->second.last > settings_.overdue_s;
    if (idle && seeker->second.machine_id) machines_.erase(*seeker->second.machine_id);
    seeker = idle ? seekers_.erase(seeker) : std::next(seeker);
  }
}

bool BackfillReservations::should_reserve(const wire::JobId& job, double now) {
  // As many at the most as have one, or wait for theirs: the table is never larger.
  if (!seekers_.contains(job) && seekers_.size() >= settings_.most) {
    forget_idle(now);
    if (seekers_.size() >= settings_.most) return false;
  }
  auto& seeker = seekers_.try_emplace(job, Seeker{now, now, std::nullopt}).first->second;
  seeker.last = now;
  if (seeker.machine_id) {
    // Guesses are often wrong: what should have ended goes on.
    const auto& kept = machines_.at(*seeker.machine_id);
    if (now <= kept.free_at + settings_.overdue_s) return false;
    machines_.erase(*seeker.machine_id);
    seeker.machine_id.reset();
  }
  return now - seeker.since >= settings_.wait_s;
}

void BackfillReservations::reserve(const wire::JobId& job, const wire::MachineId& machine_id,
                                   double free_at) {
  const auto seeker = seekers_.find(job);
  if (seeker == seekers_.end() || seeker->second.machine_id || machines_.contains(machine_id)) return;
  seeker->second.machine_id = machine_id;
  machines_[machine_id] = {job, free_at};
}

void BackfillReservations::release(const wire::JobId& job) {
  const auto seeker = seekers_.find(job);
  if (seeker == seekers_.end()) return;
  if (seeker->second.machine_id) machines_.erase(*seeker->second.machine_id);
  seekers_.erase(seeker);
}

void BackfillReservations::drop_machine(const wire::MachineId& machine_id) {
  const auto found = machines_.find(machine_id);
  if (found == machines_.end()) return;
  seekers_.at(found->second.job).machine_id.reset();
  machines_.erase(found);
}

const wire::MachineId* BackfillReservations::machine_of(const wire::JobId& job) const {
  const auto seeker = seekers_.find(job);
  return seeker == seekers_.end() || !seeker->second.machine_id ? nullptr : &*seeker->second.machine_id;
}

// Nor longer than stated if nobody asks any more.
bool BackfillReservations::allows(const wire::MachineId& machine_id, const wire::JobId& job, double now,
                                  double runs_s) const {
  const auto found = machines_.find(machine_id);
  if (found == machines_.end() || found->second.job == job) return true;
  const double free_at = found->second.free_at;
  return now + runs_s <= free_at || now > free_at + settings_.overdue_s;
}

void BackfillReservations::reset() {
  machines_.clear();
  seekers_.clear();
}

}  // namespace bankhill::queue
