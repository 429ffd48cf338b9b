// The life of a preemption: tasks were stopped on a machine so that a task of a waiting job can start there.
// From the decision until that task is placed the room is reserved, for by slack what was stopped may well
// come before it and would go back to where it had been. Pure; times are seconds on the caller's steady
// clock.
//
// A reservation is bound to its job first: one task of the job waits for it and for no other room. If that
// task cannot use it any more (the job is over or waited too long, or its task started beside the victims),
// the room is open to whatever ranks above the victims, so that they are not stopped in vain, until one pass
// over the waiting jobs has found no use for it. Filled, it is over once the start is known to have arrived;
// if the start is lost it is bound to its job again.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "wire/records.hpp"

namespace bankhill::queue {

// What became of the room that a preemption made.
enum class PreemptionEnd {
  used,                      // the task that it was made for was placed there, or one above the victims
  taken_by_higher_priority,  // work of higher priority left too little of it
  started_elsewhere,         // the job's last waiting task was placed on another machine
  job_over,                  // the job was cancelled or is done
  made_again,                // tasks were stopped on another machine for the same job
  machine_reused,            // tasks were stopped on the same machine for another job
  machine_lost,              // the machine takes no more tasks
  unwanted,                  // nothing that ranks above the victims waits for it
  expired                    // the time was over before any of this
};
const char* text(PreemptionEnd end);

enum class PreemptionPhase { bound, open, filled };

struct Preemption {
  std::uint64_t number = 0;  // names it in the log
  PreemptionPhase phase = PreemptionPhase::bound;
  wire::JobId job;
  wire::Priority priority = wire::Priority::normal;
  wire::Resources request;
  double decided_at = 0;
  double planned_expires_at = 0;    // bound to its job for so long, as decided
  double until = 0;                 // the same, with what it was extended by
  std::set<wire::TaskId> stopping;  // victims that are not known to be gone
  std::size_t victims = 0;
  wire::Priority victims_priority = wire::Priority::best_effort;  // the highest
  double vacated_at = 0;                                          // when the last of them was gone
  bool in_pass = false;  // was open and had room when the present pass over the waiting jobs began

  bool all_victims_gone() const { return stopping.empty(); }
};

struct EndedPreemption {
  std::uint64_t number = 0;
  wire::JobId job;
  wire::MachineId machine_id;
  PreemptionEnd reason = PreemptionEnd::used;
  std::size_t victims_left = 0;  // stopped tasks that are not known to be gone
};

class PreemptionReservations {
 public:
  using Machines = std::map<wire::MachineId, Preemption>;

  // The job's task of that rank needs so much there, and is waited for until then. Returns the preemption's
  // number.
  std::uint64_t reserve(const wire::JobId& job, const wire::MachineId& machine_id, wire::Priority priority,
                        const wire::Resources& request, double now, double until);
  // A task that is stopped there to make the room.
  void add_victim(const wire::MachineId& machine_id, const wire::TaskId& task, wire::Priority priority);
  // A task is gone from the machine. Returns the number of the preemption that waited for it, or 0.
  std::uint64_t victim_gone(const wire::MachineId& machine_id, const wire::TaskId& task, double now);
  // The job's task waits for it until then.
  void extend(const wire::MachineId& machine_id, double until);
  // The job's task waits for it no longer.
  void open_to_others(const wire::MachineId& machine_id);
  // The room is anybody's.
  void end(const wire::MachineId& machine_id, PreemptionEnd how);
  // A task of the job was placed there; `more` of its tasks wait.
  void task_placed(const wire::JobId& job, const wire::MachineId& machine_id, bool more,
                   wire::Priority priority = wire::Priority::production);
  // The start of the job's task there has arrived, or it never will and the room is waited for until then.
  void start_arrived(const wire::JobId& job, const wire::MachineId& machine_id);
  void start_lost(const wire::JobId& job, const wire::MachineId& machine_id, double until);
  // The job needs none any more.
  void release(const wire::JobId& job);
  // All waiting jobs are tried, and were: what was open throughout and was not used is anybody's.
  void begin_pass();
  void end_pass();

  // Over slow links a stop and its news take longer than a control interval: made again meanwhile on the next
  // machine, and the next, one batch stopped what it needed several times over.
  bool is_pending(const wire::JobId& job, double now) const;
  // The machine with the room that the job's task waits for; nothing if none does.
  const wire::MachineId* machine_of(const wire::JobId& job, double now) const;
  bool is_reserved(const wire::MachineId& machine_id, double now) const;
  // Whether a task of another job may start in what is free there: in what is left, or before lower ranks.
  bool allows(const wire::MachineId& machine_id, const wire::JobId& job, wire::Priority priority,
              const wire::Resources& request, const wire::Resources& room, double now) const;
  // Whether the job's only task waits for room elsewhere: started here, others were stopped for nothing.
  bool is_pending_elsewhere(const wire::JobId& job, const wire::MachineId& here, double now) const;
  const Machines& machines() const { return machines_; }
  // Those that ended since this was last asked.
  std::vector<EndedPreemption> take_ended();
  void reset();

 private:
  Machines::iterator end(Machines::iterator item, PreemptionEnd how);
  // Leaves the room to others that rank above the victims, if there are any.
  void open_or_end(const wire::JobId& job, PreemptionEnd how);
  void open_to_others(Machines::iterator item);
  Preemption* filled(const wire::JobId& job, const wire::MachineId& machine_id);

  Machines machines_;
  std::map<wire::JobId, wire::MachineId> jobs_;  // of those that are bound
  std::vector<EndedPreemption> ended_;
  std::uint64_t last_number_ = 0;
};

}  // namespace bankhill::queue
