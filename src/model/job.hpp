// Jobs and their tasks as the leader sees them. Pure: no input, output or clocks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wire/records.hpp"

namespace bankhill::model {

enum TaskMark : char { kTaskReady = 0, kTaskAssigned = 1, kTaskDone = 2 };

struct Job {
  wire::JobSpec spec;
  wire::JobState state = wire::JobState::accepted;
  double accepted_at = 0;  // time of day
  double ended_at = 0;     // time of day; 0: not over, or not known
  wire::KeyRevision revision;
  std::optional<double> cutoff;  // time of day: as its record says, for good

  // Of a job that waits for others (model/dependency_graph.hpp).
  bool dependencies_met = true;  // all of them are done
  bool dependency_cancelled =
      false;               // one of them is cancelled: it never starts, whatever its record still says
  double eligible_at = 0;  // time of day from when its waiting counts: its acceptance or its release
  std::uint32_t dependency_parts = 0;  // further keys that hold what it waits for
  wire::KeyRevision
      eligible_revision;  // what was accepted or released later than a term began no earlier leader started

  std::vector<char> task_progress;  // a Mark for each task; empty until led
  std::uint32_t ready_count = 0;
  std::uint32_t assigned_count = 0;
  std::uint32_t finished_count = 0;
  std::uint32_t running_count = 0;
  std::uint32_t cursor = 0;  // no ready task lies before it

  std::map<std::uint32_t, wire::MachineId> task_machines;     // the machines that tasks are bound to
  std::map<std::string, std::uint32_t> tasks_by_zone;         // how many of them in each zone
  std::map<std::uint32_t, std::uint64_t> completion_buckets;  // chunk -> where its finished tasks are stored

  // Failures of tasks, to tell a faulty machine from a faulty job.
  std::set<wire::MachineId> failed_on;
  bool faulty = false;  // its tasks fail wherever they are tried
  std::uint32_t failures_in_row = 0;
  double blocked_until = 0;  // steady clock
  double triggered_preemption_at = -1e9;
  double preemption_tried_at = -1e9;
  std::string reason;  // why it waits or what failed, for its owner
  bool progress_dirty = true;

  bool has_ended() const { return state != wire::JobState::accepted; }
  bool is_live() const { return !has_ended() && !dependency_cancelled; }
  // A task of it runs, is told to, or is done.
  bool has_started() const { return assigned_count > 0 || finished_count > 0; }
  bool is_service() const { return spec.kind == wire::JobKind::service; }

  void reset_task_progress();
  void set_task_progress(std::uint32_t index, TaskMark mark);
  // Of a faulty job one task is enough to see.
  bool has_trial_task() const { return faulty && assigned_count > 0; }
  // Tasks that are worth a machine: of a faulty job one.
  std::uint32_t unfinished_tasks() const { return faulty ? 1 : ready_count + assigned_count; }
  // The next ready task at or after the cursor; false if there is none.
  bool find_ready_task(std::uint32_t& index);
};

}  // namespace bankhill::model
