// Machines that drain for a task that finds room nowhere, since smaller ones take what becomes free. What
// ends before the machine would be free goes on there meanwhile. Pure; times are seconds on the caller's
// steady clock. Source: docs/SHARES.md, "The largest".
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "wire/records.hpp"

namespace bankhill::queue {

class BackfillReservations {
 public:
  struct Settings {
    double wait_s = 3;       // a task looks for room this long before some is kept
    double overdue_s = 120;  // beyond the time when a machine should have been free, until another is chosen
    std::size_t most = 8;    // machines at a time
  };
  explicit BackfillReservations(Settings settings) : settings_(settings) {}

  // A task of the job, which waits for too long, found no room. Says whether a machine should be chosen.
  bool should_reserve(const wire::JobId& job, double now);
  // Keeps the machine, which should have room at that time.
  void reserve(const wire::JobId& job, const wire::MachineId& machine_id, double free_at);
  // The job has found room, or needs none any more.
  void release(const wire::JobId& job);
  // The machine takes no tasks any more.
  void drop_machine(const wire::MachineId& machine_id);
  // Whether a task of the job that should run so long may be started there now.
  bool allows(const wire::MachineId& machine_id, const wire::JobId& job, double now, double runs_s) const;
  bool is_reserved(const wire::MachineId& machine_id) const { return machines_.contains(machine_id); }
  const wire::MachineId* machine_of(const wire::JobId& job) const;  // nothing if none is kept for it
  std::size_t size() const { return machines_.size(); }
  void reset();

 private:
  struct Reservation {
    wire::JobId job;
    double free_at = 0;
  };
  struct Seeker {
    double since = 0;
    double last = 0;  // asked
    std::optional<wire::MachineId> machine_id;
  };
  void forget_idle(double now);

  Settings settings_;
  std::map<wire::MachineId, Reservation> machines_;
  std::map<wire::JobId, Seeker> seekers_;
};

}  // namespace bankhill::queue
