// Reservations of machines for large tasks. A task that fits on no machine would wait for as long as smaller
// tasks take the resources that become free; one machine is therefore drained for it. Tasks that should end
// before the machine is free may start there meanwhile (backfill). The leader requests and releases the
// reservations and asks before each placement. Pure: no input, output or clocks; times are seconds on the
// caller's steady clock. Source: docs/SHARES.md, "The largest".
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "wire/records.hpp"

namespace bankhill::queue {

class BackfillReservations {
 public:
  struct Settings {
    // Time for which a task looks for a machine before one is reserved for it.
    double wait_s = 3;
    // Time after the expected end of the drain at which the reservation loses its effect and another machine
    // is chosen; also the time after which a job without new requests is dropped.
    double overdue_s = 120;
    // Greatest number of jobs that have a reserved machine or wait for one.
    std::size_t max_jobs = 8;
  };
  explicit BackfillReservations(Settings settings) : settings_(settings) {}

  // Notes that an overdue job found no machine for a task. Returns whether the caller should choose a machine
  // and reserve it.
  bool should_reserve(const wire::JobId& job, double now);
  // Reserves the machine, which is expected to have enough free resources at `free_at`.
  void reserve(const wire::JobId& job, const wire::MachineId& machine_id, double free_at);
  // Ends the job's request and reservation: it has found a machine or needs none any more.
  void release(const wire::JobId& job);
  // Ends the reservation of a machine that no longer accepts tasks; the job's request stays.
  void drop_machine(const wire::MachineId& machine_id);
  // Whether a task of the job with this expected run time may start on the machine now.
  bool allows(const wire::MachineId& machine_id, const wire::JobId& job, double now, double runtime_s) const;
  bool is_reserved(const wire::MachineId& machine_id) const { return reservations_.contains(machine_id); }
  // The machine that is reserved for the job; null if there is none.
  const wire::MachineId* machine_of(const wire::JobId& job) const;
  // Number of reserved machines.
  std::size_t size() const { return reservations_.size(); }
  void reset();

 private:
  struct Reservation {
    wire::JobId job;
    // Expected end of the drain.
    double free_at = 0;
  };
  // A job that needs a machine.
  struct Request {
    double first_requested_at = 0;
    double last_requested_at = 0;
    // The machine that is reserved for the job.
    std::optional<wire::MachineId> machine_id;
  };
  void drop_idle_requests(double now);

  Settings settings_;
  std::map<wire::MachineId, Reservation> reservations_;
  std::map<wire::JobId, Request> requests_;
};

}  // namespace bankhill::queue
