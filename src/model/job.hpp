// Jobs and the progress of their tasks, as known to the leader. Pure: no input, output or clocks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wire/records.hpp"

namespace bankhill::model {

// Progress of a task within its job.
enum TaskProgress : char { kTaskReady = 0, kTaskAssigned = 1, kTaskDone = 2 };

struct Job {
  wire::JobSpec spec;
  wire::JobState state = wire::JobState::accepted;
  double accepted_at = 0;  // time of day
  double ended_at = 0;     // time of day; 0: not ended, or not known
  wire::KeyRevision revision;
  std::optional<double> cutoff;  // time of day; fixed in the job's record at its acceptance

  // Dependencies on other jobs (model/dependency_graph.hpp).
  bool dependencies_met = true;  // all jobs that this one depends on are done
  // A job that this one depends on is cancelled: this one never starts, whatever its own record still says.
  bool dependency_cancelled = false;
  // Time of day from which the waiting time counts: the job's acceptance, or its release by its dependencies.
  double eligible_at = 0;
  std::uint32_t dependency_parts = 0;  // number of additional keys that store the list of dependencies
  // Revision at which the job was accepted or released. If it is later than the start of a term, no earlier
  // leader has started the job.
  wire::KeyRevision eligible_revision;

  std::vector<char> task_progress;  // a TaskProgress for each task; empty until this controller leads
  std::uint32_t ready_count = 0;
  std::uint32_t assigned_count = 0;
  std::uint32_t finished_count = 0;
  std::uint32_t running_count = 0;
  std::uint32_t cursor = 0;  // no task before this index is ready

  std::map<std::uint32_t, wire::MachineId> task_machines;  // maps a task to the machine that it is bound to
  std::map<std::string, std::uint32_t> tasks_by_zone;      // number of bound tasks by zone
  // Maps a chunk of tasks to the number of the bucket in which its completed tasks are stored.
  std::map<std::uint32_t, std::uint64_t> completion_buckets;

  // Failures of tasks, to distinguish a faulty machine from a faulty job.
  std::set<wire::MachineId> failed_on;
  bool faulty = false;  // tasks of the job have failed on every machine tried
  std::uint32_t failures_in_row = 0;
  double blocked_until = 0;  // no task is placed before this time, on the steady clock
  // Times at which tasks were last preempted for this job, and at which victims were last searched for.
  double triggered_preemption_at = -1e9;
  double preemption_tried_at = -1e9;
  // What the controllers' copies of the job's progress are built from (leader/progress_feed.hpp).
  bool progress_dirty = true;          // changed since the last version
  bool progress_certain = true;        // as told with the last version
  std::uint64_t progress_version = 0;  // 0: not told in this term

  bool has_ended() const { return state != wire::JobState::accepted; }
  bool is_live() const { return !has_ended() && !dependency_cancelled; }
  // Whether a task of the job is assigned or finished.
  bool has_started() const { return assigned_count > 0 || finished_count > 0; }
  bool is_service() const { return spec.kind == wire::JobKind::service; }

  // Why the job waits or what failed, shown to its owner.
  const std::string& reason() const { return reason_; }
  void set_reason(const std::string& reason);

  void reset_task_progress();
  void set_task_progress(std::uint32_t index, TaskProgress progress);
  // Whether a faulty job already has a task assigned. One at a time is enough to see whether it still fails.
  bool has_trial_task() const { return faulty && assigned_count > 0; }
  // Number of unfinished tasks to provide machines for: for a faulty job only one.
  std::uint32_t unfinished_tasks() const { return faulty ? 1 : ready_count + assigned_count; }
  // Sets `index` to the first ready task at or after the cursor. Returns false if there is none.
  bool find_ready_task(std::uint32_t& index);

 private:
  std::string reason_;
};

}  // namespace bankhill::model
