#include "queue/deadline.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

#include "planner/planner.hpp"

namespace bankhill::queue {

namespace {
// Estimated run times are often wrong by half: a job counts as too late for a deadline only if not even this
// part of its estimate fits before the deadline.
constexpr double kMinRuntimePart = 0.75;

double time_to_own_deadline(const Objectives& objectives, const model::Job& job, const Deadline& deadline,
                            double wall_s, double min_time_s) {
  // The deadline of a pipeline is given with its last job and counts from the submission of that job.
  const auto& last_job = deadline.last_job == nullptr ? job : *deadline.last_job;
  if (last_job.spec.deadline_s) {
    const double passed_s = wall_s - last_job.accepted_at + deadline.downstream_s;
    static const std::vector<double> kOnce{1.0};
    const auto multiples = objectives.deadline_multiples.find(last_job.spec.job_class);
    for (const double multiple : multiples == objectives.deadline_multiples.end() ? kOnce : multiples->second)
      if (*last_job.spec.deadline_s * multiple - passed_s >= min_time_s)
        return *last_job.spec.deadline_s * multiple - passed_s;
    return std::numeric_limits<double>::infinity();
  }
  const double waited_s = wall_s - job.eligible_at;
  if (const auto within = objectives.completion_targets_s.find(job.spec.job_class);
      within != objectives.completion_targets_s.end())
    for (const double time_s : within->second)
      if (time_s - waited_s >= min_time_s) return time_s - waited_s;
  return std::numeric_limits<double>::infinity();
}
}  // namespace

std::optional<double> cutoff(const model::Job& job, const Deadline& deadline) {
  return deadline.last_job != nullptr && deadline.last_job->cutoff ? deadline.last_job->cutoff : job.cutoff;
}

double time_to_deadline(const Objectives& objectives, const model::Job& job, const Deadline& deadline,
                        double wall_s) {
  const double min_time_s = kMinRuntimePart * estimated_runtime_s(job);
  const double due_in_s = time_to_own_deadline(objectives, job, deadline, wall_s, min_time_s);
  const auto cutoff_at = cutoff(job, deadline);
  if (!cutoff_at) return due_in_s;
  const bool is_of_last_job = deadline.last_job != nullptr && deadline.last_job->cutoff;
  const double left_s = *cutoff_at - wall_s - (is_of_last_job ? deadline.downstream_s : 0);
  return left_s >= min_time_s ? std::min(due_in_s, left_s) : due_in_s;
}

// A job that is too late for its deadlines ranks like a job without a deadline. With a slack of 0 it would go
// before jobs that can still meet theirs and make them late, too.
double slack(const Objectives& objectives, const model::Job& job, const Deadline& deadline, double wall_s) {
  const double due_in_s = time_to_deadline(objectives, job, deadline, wall_s);
  return planner::slack(job.is_service(),
                        std::isinf(due_in_s) ? std::nullopt : std::optional<double>(due_in_s),
                        estimated_runtime_s(job));
}

}  // namespace bankhill::queue
