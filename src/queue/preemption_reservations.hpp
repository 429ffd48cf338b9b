// Room on its way: tasks were stopped on a machine so that a task of this job can start there. Until it has,
// the room is nobody else's: by slack, what was stopped may well come before it, and went back to where it
// had been. Pure; times are seconds on the caller's steady clock.
#pragma once

#include <map>

#include "wire/records.hpp"

namespace bankhill::queue {

class PreemptionReservations {
 public:
  // The job's task of that rank needs so much there, and is waited for until then.
  void reserve(const wire::JobId& job, const wire::MachineId& machine_id, wire::Priority priority,
               const wire::Resources& request, double now, double until);
  // A task of the job was placed there; `more` of its tasks wait.
  void placed(const wire::JobId& job, const wire::MachineId& machine_id, bool more);
  // The job needs none any more.
  void release(const wire::JobId& job);
  // Over slow links a stop and its news take longer than a control interval: made again meanwhile on the next
  // machine, and the next, one batch stopped what it needed several times over.
  bool pending(const wire::JobId& job, double now) const;
  bool reserved(const wire::MachineId& machine_id, double now) const;
  // Whether a task of another job may start in what is free there: in what is left, or before lower ranks.
  bool allows(const wire::MachineId& machine_id, const wire::JobId& job, wire::Priority priority,
              const wire::Resources& request, const wire::Resources& room, double now) const;
  // Whether the job's only task waits for room elsewhere: started here, others were stopped for nothing.
  bool pending_elsewhere(const wire::JobId& job, const wire::MachineId& here, double now) const;
  void reset();

 private:
  struct Reservation {
    wire::JobId job;
    wire::Priority priority = wire::Priority::normal;
    wire::Resources request;
    double until = 0;
  };
  std::map<wire::MachineId, Reservation> machines_;
  std::map<wire::JobId, wire::MachineId> jobs_;
};

}  // namespace bankhill::queue
