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
constexpr std::size_t kNamedDependencies = 20;      // that an answer lists
constexpr std::size_t kExplainedDependencies = 16;  // of them, looked at for why they are not done yet
constexpr int kMaxPipelineSteps = 64;               // from a job to the one that its pipeline stands at

Json counted(const JobId& id, const char* phase, std::uint32_t done, std::uint32_t running) {
  return Json{{"uid", id.value}, {"phase", phase}, {"done", done}, {"running", running}};
}

// The job where the pipeline above `id` stands: it depends on nothing that is not done.
JobId blocking_job(const JobIndex& jobs, JobId id) {
  const auto& dependencies = jobs.dependencies();
  for (int step = 0; step < kMaxPipelineSteps && !dependencies.is_ready(id); ++step) {
    std::size_t count = 0;
    const auto open = dependencies.unmet_dependencies(id, 1, count);
    if (open.empty()) break;
    id = open.front();
  }
  return id;
}

// Why the first of these that has a reason is not done; empty: none has.
std::string blocking_reason(const JobIndex& jobs, const std::vector<JobId>& open) {
  for (std::size_t i = 0; i < std::min(open.size(), kExplainedDependencies); ++i) {
    const auto id = blocking_job(jobs, open[i]);
    const auto* job = jobs.find(id);
    if (job == nullptr || job->progress.reason.empty()) continue;
    return "; " + id.value + ": " + job->progress.reason;
  }
  return {};
}

// What it depends on, and why the job where its pipeline stands is not done.
Json waiting_status(const JobIndex& jobs, const JobId& id) {
  std::size_t count = 0;
  const auto open = jobs.dependencies().unmet_dependencies(id, kNamedDependencies, count);
  auto status = counted(id, "queued", 0, 0);
  status["waits_on"] = Json::array();
  for (const auto& dependency : open) status["waits_on"].push_back(dependency.value);
  std::string reason = "waits for " + (open.empty() ? "others" : open.front().value);
  if (count > 1) reason += " and " + std::to_string(count - 1) + " more";
  status["reason"] = reason + blocking_reason(jobs, open);
  return status;
}

Json live_status(const JobId& id, const KnownJob& job) {
  const auto& progress = job.progress;
  auto status = counted(id, progress.running > 0 ? "running" : "queued", progress.done, progress.running);
  if (!progress.reason.empty()) status["reason"] = progress.reason;
  if (job.record_unreadable) status["reason"] = "its record cannot be read, its operators must see to it";
  return status;
}
}  // namespace

Json job_status(const JobIndex& jobs, const JobId& id, const KnownJob& job) {
  switch (jobs.dependencies().is_cancelled(id) ? JobState::cancelled : job.state) {
    case JobState::accepted:
      return jobs.dependencies().is_ready(id) ? live_status(id, job) : waiting_status(jobs, id);
    case JobState::done:
      return counted(id, "done", job.task_count, 0);
    case JobState::cancelled:
      return counted(id, "cancelled", 0, 0);
  }
  return {};
}

}  // namespace bankhill::gateway
