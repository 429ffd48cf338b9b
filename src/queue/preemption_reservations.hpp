// Reservations of the resources that a preemption frees: tasks are stopped on a machine so that a task of a
// waiting job can start there. The resources are reserved from the decision until that task is placed,
// because the stopped tasks may have less slack than the waiting job and would otherwise be placed on the
// same machine again. The leader reports victims, placements and starts, and asks before each placement
// whether the machine is reserved. Pure: no input, output or clocks; times are seconds on the caller's steady
// clock.
//
// A new reservation is bound to its job: one task of the job waits for this machine and for no other. If that
// task can no longer use it (the job has ended or waited too long, or the task started beside the victims
// before they were gone), the reservation is opened to all tasks whose priority is above that of the victims,
// so that the victims were not stopped in vain, for one complete pass over the waiting jobs. A reservation in
// which a task was placed is filled. It ends when the start of the task is confirmed; if the start is lost,
// it is bound to the job again.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "wire/records.hpp"

namespace bankhill::queue {

// Why a preemption's reservation ended.
enum class PreemptionEnd {
  used,                      // The job's task, or another of higher priority than the victims, started there.
  taken_by_higher_priority,  // Tasks of higher priority left too few free resources for the job's task.
  started_elsewhere,         // The job's last waiting task was placed on another machine.
  job_ended,                 // The job was cancelled or has completed.
  superseded,                // Tasks were stopped on another machine for the same job.
  machine_reused,            // Tasks were stopped on the same machine for another job.
  machine_lost,              // The machine accepts no more tasks.
  unclaimed,                 // No task of higher priority than the victims waits for the resources.
  expired                    // The reservation's time was over before any of the above happened.
};
// Describes the reason in log lines and event counters.
const char* text(PreemptionEnd end);

enum class PreemptionPhase {
  bound,  // Only the job's task, and tasks of higher priority than the job, may use the resources.
  open,   // Every task of higher priority than the victims may use the resources.
  filled  // A task was placed there, and its start is not confirmed yet.
};

struct Preemption {
  // Identifies the preemption in the log.
  std::uint64_t number = 0;
  PreemptionPhase phase = PreemptionPhase::bound;
  // The job that the tasks were stopped for; of a filled reservation, the job whose task was placed there.
  wire::JobId job;
  // Priority of the task that the resources are reserved for.
  wire::Priority priority = wire::Priority::normal;
  // Resources that are reserved for the task.
  wire::Resources request;
  // Time when the preemption was decided.
  double decided_at = 0;
  // Time until which the reservation is bound to its job, as set at the decision or after a lost start.
  double planned_expires_at = 0;
  // Time until which the reservation is valid: `planned_expires_at` with extensions; the largest number for
  // an open or filled reservation.
  double expires_at = 0;
  // Victims that are not known to be gone.
  std::set<wire::TaskId> remaining_victims;
  std::size_t victim_count = 0;
  // The highest priority among the victims.
  wire::Priority max_victim_priority = wire::Priority::best_effort;
  // Time when the latest victim was gone; the time of the decision until then.
  double vacated_at = 0;
  // Whether the reservation was open and all victims were gone when the current placement pass began.
  bool available_at_pass_begin = false;

  bool all_victims_gone() const { return remaining_victims.empty(); }
};

struct EndedPreemption {
  std::uint64_t number = 0;
  wire::JobId job;
  wire::MachineId machine_id;
  PreemptionEnd reason = PreemptionEnd::used;
  // Number of victims that are not known to be gone.
  std::size_t victims_left = 0;
};

class PreemptionReservations {
 public:
  using PreemptionsByMachine = std::map<wire::MachineId, Preemption>;

  // Reserves `request` on the machine for a task of the job until `expires_at`. An earlier reservation of the
  // job ends or is opened to others; an earlier one of the machine ends. Returns the preemption's number.
  std::uint64_t reserve(const wire::JobId& job, const wire::MachineId& machine_id, wire::Priority priority,
                        const wire::Resources& request, double now, double expires_at);
  // Adds a task that is being stopped on the machine to the victims of its reservation.
  void add_victim(const wire::MachineId& machine_id, const wire::TaskId& task, wire::Priority priority);
  // Notes that a task is gone from the machine. Returns the number of the preemption that the task was a
  // victim of; 0 if it was none.
  std::uint64_t victim_gone(const wire::MachineId& machine_id, const wire::TaskId& task, double now);
  // Postpones the expiry of a bound reservation; an earlier time has no effect.
  void extend(const wire::MachineId& machine_id, double expires_at);
  // Opens the machine's reservation to all tasks of higher priority than the victims.
  void open_to_others(const wire::MachineId& machine_id);
  // Ends the machine's reservation: any task may use the resources.
  void end(const wire::MachineId& machine_id, PreemptionEnd reason);
  // Notes that a task of the job, with that priority, was placed on the machine. `more_waiting`: whether the
  // job has further tasks to place.
  void task_placed(const wire::JobId& job, const wire::MachineId& machine_id, bool more_waiting,
                   wire::Priority priority = wire::Priority::production);
  // Notes that the start of the job's task on the machine is confirmed.
  void start_arrived(const wire::JobId& job, const wire::MachineId& machine_id);
  // Notes that the start of the job's task on the machine is lost: the reservation is bound to the job again
  // until `expires_at`.
  void start_lost(const wire::JobId& job, const wire::MachineId& machine_id, double expires_at);
  // The job no longer needs a reservation: ends it, or opens it to others if tasks were stopped for it.
  void release(const wire::JobId& job);
  // A placement pass over all waiting jobs begins.
  void begin_pass();
  // The pass has tried all waiting jobs. Ends the reservations that were open, with all victims gone, when
  // the pass began.
  void end_pass();

  // Whether a task of the job waits for reserved resources. Over slow links a stop and its confirmation take
  // longer than a control interval: without this check, a single batch job had tasks stopped on one machine
  // after another, several times as many as it needed.
  bool is_pending(const wire::JobId& job, double now) const;
  // The machine that is reserved for the job's task; null if there is none.
  const wire::MachineId* machine_of(const wire::JobId& job, double now) const;
  // Whether the machine has a bound or open reservation that has not expired.
  bool is_reserved(const wire::MachineId& machine_id, double now) const;
  // Whether a task of the job may start in the machine's free resources `available`. A task that the
  // reservation is not for may do so if its priority is high enough or if it leaves the reserved resources
  // free.
  bool allows(const wire::MachineId& machine_id, const wire::JobId& job, wire::Priority priority,
              const wire::Resources& request, const wire::Resources& available, double now) const;
  // Whether a machine other than `machine_id` is reserved for the job. If the job's last waiting task started
  // on `machine_id`, the victims on the other machine would have been stopped in vain.
  bool is_pending_elsewhere(const wire::JobId& job, const wire::MachineId& machine_id, double now) const;
  const PreemptionsByMachine& machines() const { return preemptions_; }
  // Returns the reservations that have ended since the last call.
  std::vector<EndedPreemption> take_ended();
  void reset();

 private:
  PreemptionsByMachine::iterator end(PreemptionsByMachine::iterator item, PreemptionEnd reason);
  // Opens the job's reservation to others if tasks were stopped for it; ends it otherwise.
  void open_or_end(const wire::JobId& job, PreemptionEnd reason);
  void open_to_others(PreemptionsByMachine::iterator item);
  // The machine's reservation if a task of the job has filled it; null otherwise.
  Preemption* find_filled(const wire::JobId& job, const wire::MachineId& machine_id);

  PreemptionsByMachine preemptions_;
  // Machines of the bound reservations, by job.
  std::map<wire::JobId, wire::MachineId> bound_machines_;
  std::vector<EndedPreemption> ended_;
  std::uint64_t last_number_ = 0;
};

}  // namespace bankhill::queue
