#include "gateway/job_status.hpp"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace bankhill::gateway {

using wire::JobId;
using wire::JobState;
using wire::Json;

namespace {
// At most this many unmet dependencies are listed in a status.
constexpr std::size_t kMaxListedDependencies = 20;
// Of the listed dependencies, at most this many are searched for a reason why they are not done.
constexpr std::size_t kMaxExplainedDependencies = 16;
// Maximum number of dependency edges followed from a job to the job that blocks its pipeline.
constexpr int kMaxPipelineSteps = 64;

Json status_with_counts(const JobId& id, const char* phase, std::uint32_t done, std::uint32_t running) {
  return Json{{"uid", id.value}, {"phase", phase}, {"done", done}, {"running", running}};
}

// Returns the job that blocks the pipeline upstream of `id`: one that has no unmet dependencies itself.
JobId blocking_job(const JobIndex& jobs, JobId id) {
  const auto& dependencies = jobs.dependencies();
  for (int step = 0; step < kMaxPipelineSteps && !dependencies.is_ready(id); ++step) {
    std::size_t count = 0;
    const auto unmet = dependencies.unmet_dependencies(id, 1, count);
    if (unmet.empty()) break;
    id = unmet.front();
  }
  return id;
}

// Returns why the first of the unmet dependencies with a known reason is not done; empty if no reason is
// known.
std::string blocking_reason(const JobIndex& jobs, const ProgressSync& progress,
                            const std::vector<JobId>& unmet) {
  for (std::size_t i = 0; i < std::min(unmet.size(), kMaxExplainedDependencies); ++i) {
    const auto id = blocking_job(jobs, unmet[i]);
    if (const auto reason = progress.reason(id); !reason.empty()) return "; " + id.value + ": " + reason;
  }
  return {};
}

// Status of a job with unmet dependencies: lists them, and says why the job that blocks the pipeline is not
// done.
Json waiting_status(const JobIndex& jobs, const ProgressSync& progress, const JobId& id) {
  std::size_t count = 0;
  const auto unmet = jobs.dependencies().unmet_dependencies(id, kMaxListedDependencies, count);
  auto status = status_with_counts(id, "queued", 0, 0);
  status["waits_on"] = Json::array();
  for (const auto& dependency : unmet) status["waits_on"].push_back(dependency.value);
  std::string reason = "waits for " + (unmet.empty() ? "others" : unmet.front().value);
  if (count > 1) reason += " and " + std::to_string(count - 1) + " more";
  status["reason"] = reason + blocking_reason(jobs, progress, unmet);
  return status;
}

Json live_status(const JobId& id, const KnownJob& job, const KnownProgress& progress) {
  auto status =
      status_with_counts(id, progress.running > 0 ? "running" : "queued", progress.done, progress.running);
  if (!progress.reason.empty()) status["reason"] = progress.reason;
  if (job.record_unreadable) status["reason"] = "its record cannot be read, its operators must see to it";
  return status;
}
}  // namespace

std::variant<Json, ProgressGap> job_status(const JobIndex& jobs, const ProgressSync& progress,
                                           const JobId& id, const KnownJob& job) {
  switch (jobs.dependencies().is_cancelled(id) ? JobState::cancelled : job.state) {
    case JobState::accepted: {
      if (!jobs.dependencies().is_ready(id)) return waiting_status(jobs, progress, id);
      const auto known = progress.progress(id);
      if (const auto* gap = std::get_if<ProgressGap>(&known)) return *gap;
      return live_status(id, job, std::get<KnownProgress>(known));
    }
    case JobState::done:
      return status_with_counts(id, "done", job.task_count, 0);
    case JobState::cancelled:
      return status_with_counts(id, "cancelled", 0, 0);
  }
  return Json{};
}

}  // namespace bankhill::gateway
