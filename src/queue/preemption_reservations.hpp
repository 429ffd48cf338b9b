// Room on its way: tasks were stopped on a machine so that a task of this job can start there. Until it has,
// the room is nobody else's: by slack, what was stopped may well come before it, and went back to where it
// had been. Pure; times are seconds on the caller's steady clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "wire/records.hpp"

namespace bankhill::queue {

// What became of the room that a preemption made.
enum class PreemptionEnd {
  used,               // the task that it was made for was placed there
  started_elsewhere,  // the job's last waiting task was placed on another machine
  job_over,           // the job was cancelled or is done
  made_again,         // tasks were stopped on another machine for the same job
  machine_reused,     // tasks were stopped on the same machine for another job
  expired             // neither came in time
};
const char* text(PreemptionEnd end);

struct EndedPreemption {
  std::uint64_t number = 0;
  wire::JobId job;
  wire::MachineId machine_id;
  PreemptionEnd end = PreemptionEnd::used;
  std::size_t victims_left = 0;  // stopped tasks that are not known to be gone
};

class PreemptionReservations {
 public:
  // The job's task of that rank needs so much there, and is waited for until then. Returns the preemption's
  // number, which names it in the log.
  std::uint64_t reserve(const wire::JobId& job, const wire::MachineId& machine_id, wire::Priority priority,
                        const wire::Resources& request, double now, double until);
  // A task that is stopped there to make the room.
  void add_victim(const wire::MachineId& machine_id, const wire::TaskId& task);
  // A task is gone from the machine. Returns the number of the preemption that waited for it, or 0.
  std::uint64_t victim_gone(const wire::MachineId& machine_id, const wire::TaskId& task);
  // Those that ended since this was last asked.
  std::vector<EndedPreemption> take_ended();
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
    std::uint64_t number = 0;
    wire::JobId job;
    wire::Priority priority = wire::Priority::normal;
    wire::Resources request;
    double until = 0;
    std::set<wire::TaskId> victims;  // not known to be gone
  };
  using Reservations = std::map<wire::MachineId, Reservation>;
  Reservations::iterator end(Reservations::iterator reservation, PreemptionEnd how);
  void end_of(const wire::JobId& job, PreemptionEnd how);

  Reservations machines_;
  std::map<wire::JobId, wire::MachineId> jobs_;
  std::vector<EndedPreemption> ended_;
  std::uint64_t last_number_ = 0;
};

}  // namespace bankhill::queue
