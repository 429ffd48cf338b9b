// Tasks that exit: completed tasks and jobs, and failures, which show that a machine or a job is faulty.
#include <algorithm>
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Assignment;
using model::ExitedAttempt;
using model::Job;
using model::Machine;
using state::FlushDelay;
using wire::ExitReason;

namespace {
// A machine counts as faulty after this many failures in a row, or after failures of this many jobs. A job
// counts as faulty after failures on this many machines.
constexpr std::uint32_t kMachineErrorThreshold = 3;
constexpr std::size_t kMachineErrorJobThreshold = 2;
constexpr std::size_t kJobErrorMachineThreshold = 3;
const std::string kTasksFailReason = "its tasks fail";
// Pause after the n-th failure in a row: n times the step, up to the maximum, in control intervals.
constexpr double kBackoffStepIntervals = 2;
constexpr double kMaxBackoffIntervals = 20;
}  // namespace

void Leader::on_task_exited(Machine& machine, const wire::TaskStatus& task_status) {
  const auto found = machine.assignments.find(task_status.task);
  const Assignment assignment = found->second;
  ExitedAttempt exited_attempt{task_status.attempt, true, assignment.in_flight_starts};
  remove_assignment(machine, task_status.task);
  const auto job = jobs_.find(task_status.task.job);
  const bool live = job != jobs_.end() && job->second.is_live() && !assignment.orphaned;
  if (live && task_status.exit_reason == ExitReason::done) {
    machine.errors_in_row = 0;
    machine.error_jobs.clear();
    job->second.failures_in_row = 0;
    job->second.failed_on.clear();
    job->second.set_reason({});
    if (std::exchange(job->second.faulty, false))
      log_->info("job {}: a task completed, the job no longer counts as faulty", job->second.spec.id.value);
    exited_attempt.stored = false;  // Invariant 7.
    on_task_completed(job->second, task_status.task.index, exit_stored_callback(machine, task_status.task));
  } else if (live && task_status.exit_reason != ExitReason::stopped) {
    log_->debug("machine {}: {} exited with {}", machine.id.value, task_status.task.text(),
                name_of(task_status.exit_reason));
    ++event_counts_[std::string("tasks exited with ") + name_of(task_status.exit_reason)];
    on_task_failed(machine, job->second, task_status.exit_reason);
  }
  machine.exited_attempts[task_status.task] = exited_attempt;
}

// Returns a callback to be called after an exit is stored: the attempt may then be forgotten (invariant 7).
std::function<void()> Leader::exit_stored_callback(const Machine& machine, const wire::TaskId& task_id) {
  return [this, machine_id = machine.id, task_id] {
    auto* found = fleet_.find(machine_id);
    if (found == nullptr) return;
    if (const auto left = found->exited_attempts.find(task_id); left != found->exited_attempts.end())
      left->second.stored = true;
  };
}

// Distinguishes a faulty machine from a faulty job. A job is faulty if it failed on several machines and none
// of its tasks finished since: one of its tasks is tried from time to time, and its failures are not held
// against machines. A machine is faulty if several jobs fail there, or if a job that works elsewhere fails
// there repeatedly. When every failure counted against the machine and one batch in 25 was faulty, 200
// healthy machines were taken out of use on a day without a faulty one (lakaskalk-ops).
void Leader::on_task_failed(Machine& machine, Job& job, ExitReason reason) {
  job.set_reason(std::string("a task failed: ") + name_of(reason));
  job.progress_dirty = true;
  if (reason == ExitReason::error) {
    job.failed_on.insert(machine.id);
    // A job with a complete replica is not faulty: tasks of services never finish, so finished tasks prove
    // nothing for them.
    const bool has_complete_replica = gangs_.tracker().running_gangs(job.spec.id) > 0;
    if (!job.faulty) {
      ++machine.errors_in_row;
      machine.error_jobs.insert(job.spec.id);
      if (job.failed_on.size() >= kJobErrorMachineThreshold && !has_complete_replica) {
        job.faulty = true;
        log_->warn(
            "job {}: tasks failed on {} machines; trying one task at a time until one completes or the job "
            "is cancelled",
            job.spec.id.value, job.failed_on.size());
        clear_failures_of_faulty_job(job);
      }
    }
    const bool machine_faulty = machine.error_jobs.size() >= kMachineErrorJobThreshold ||
                                (!job.faulty && (job.finished_count > 0 || has_complete_replica) &&
                                 machine.errors_in_row >= kMachineErrorThreshold);
    if (machine_faulty && !machine.draining) {
      drain(machine, kTasksFailReason);
      log_->warn("machine {}: tasks fail there repeatedly, draining it", machine.id.value);
    }
    if (!job.faulty) return;
    job.set_reason("its tasks fail on every machine tried");
  }
  // After a refused start or a failure on all machines the job is tried again later, with growing pauses.
  const double now = loop().now();
  if (now < job.blocked_until) return;
  ++job.failures_in_row;
  job.blocked_until = now + std::min(kMaxBackoffIntervals, kBackoffStepIntervals * job.failures_in_row) *
                                settings_.control_interval_s;
  if (job.faulty) job.failed_on.clear();
}

// Clears the failures of a faulty job from its machines, which are not to blame for them.
void Leader::clear_failures_of_faulty_job(Job& job) {
  for (const auto& machine_id : job.failed_on) {
    auto* machine = fleet_.find(machine_id);
    if (machine == nullptr || machine->error_jobs.erase(job.spec.id) == 0) continue;
    machine->errors_in_row = 0;
    if (machine->error_jobs.size() < kMachineErrorJobThreshold) cancel_drain(*machine, kTasksFailReason);
  }
}

void Leader::on_task_completed(Job& job, std::uint32_t index, std::function<void()> on_stored) {
  job.set_task_progress(index, model::kTaskDone);
  update_queue_membership(job);
  ++event_counts_["tasks done"];
  if (job.finished_count < job.spec.task_count)
    return completion_bitmaps_.store(
        completion_bitmaps_.ensure_record(job, index / wire::kCompletionChunkTasks), FlushDelay::exits,
        std::move(on_stored));
  log_->debug("job {}: all {} tasks done, {:.1f} s after acceptance (class {}, estimated {:.1f} s each)",
              job.spec.id.value, job.spec.task_count, loop().wall() - job.accepted_at, job.spec.job_class,
              job.spec.estimated_runtime_s);
  ++event_counts_["jobs done"];
  write_job_done(job, std::move(on_stored));
}

void Leader::write_job_done(const Job& job, Continuation on_stored) {
  writes_.store(
      wire::job_key(job.spec.id),
      final_record_json(make_job_record(job), wire::JobState::done, loop().wall(), writes_.value_limit()),
      dependencies_.has_dependents(job.spec.id) ? FlushDelay::awaited : FlushDelay::none,
      std::move(on_stored));
}

}  // namespace bankhill::leader
