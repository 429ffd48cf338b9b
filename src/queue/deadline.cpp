#include "queue/deadline.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

#include "planner/planner.hpp"

namespace bankhill::queue {

namespace {
// Guesses are often wrong by half: a job counts as too late only when even this part of its guess does not
// fit.
constexpr double kHopeful = 0.75;

double own_due_in(const Objectives& goals, const model::Job& job, const Deadline& deadline, double wall,
                  double least) {
  // The deadline of a pipeline stands on its last job, and counts from that one's submission.
  const auto& last = deadline.last == nullptr ? job : *deadline.last;
  if (last.spec.deadline_s) {
    const double passed = wall - last.accepted_at + deadline.rest_s;
    static const std::vector<double> kOnce{1.0};
    const auto times = goals.deadline_times.find(last.spec.job_class);
    for (const double multiple : times == goals.deadline_times.end() ? kOnce : times->second)
      if (*last.spec.deadline_s * multiple - passed >= least)
        return *last.spec.deadline_s * multiple - passed;
    return std::numeric_limits<double>::infinity();
  }
  const double waited = wall - job.eligible_at;
  if (const auto within = goals.within_s.find(job.spec.job_class); within != goals.within_s.end())
    for (const double time : within->second)
      if (time - waited >= least) return time - waited;
  return std::numeric_limits<double>::infinity();
}
}  // namespace

std::optional<double> cutoff(const model::Job& job, const Deadline& deadline) {
  return deadline.last != nullptr && deadline.last->cutoff ? deadline.last->cutoff : job.cutoff;
}

double time_to_deadline(const Objectives& goals, const model::Job& job, const Deadline& deadline,
                        double wall) {
  const double least = kHopeful * estimated_runtime_s(job);
  const double due = own_due_in(goals, job, deadline, wall, least);
  const auto by = cutoff(job, deadline);
  if (!by) return due;
  const bool of_last = deadline.last != nullptr && deadline.last->cutoff;
  const double left = *by - wall - (of_last ? deadline.rest_s : 0);
  return left >= least ? std::min(due, left) : due;
}

// A job that is too late for its deadline would, with slack 0, go before those that still can make theirs
// and make them late in turn: it ranks like one without a deadline.
double slack(const Objectives& goals, const model::Job& job, const Deadline& deadline, double wall) {
  const double due = time_to_deadline(goals, job, deadline, wall);
  return planner::slack(job.is_service(), std::isinf(due) ? std::nullopt : std::optional<double>(due),
                        estimated_runtime_s(job));
}

}  // namespace bankhill::queue
