#include "gateway/progress_replica.hpp"

#include <algorithm>
#include <iterator>

namespace bankhill::gateway {

using wire::JobId;

namespace {
// A job that ended here just before an update named it once more stays until the next copy from the first
// version, which is asked for when there are this many more jobs here than at the leader.
constexpr std::size_t kMaxLeftoverJobs = 1000;
}  // namespace

bool ProgressReplica::apply(const wire::ProgressUpdate& update, double as_of) {
  if (update.stream < stream_) return false;
  const bool is_new_term = update.stream > stream_;
  if (update.after != (is_new_term ? 0 : version_)) return false;
  if (is_new_term) start_copy(update.stream);
  for (const auto& entry : update.entries) store(entry);
  version_ = update.version;
  if (!update.complete) return true;
  if (copying_) finish_copy();
  if (update.settled) complete_as_of_ = std::max(complete_as_of_, as_of);
  if (jobs_.size() > update.live_jobs + kMaxLeftoverJobs) start_copy(stream_);
  return true;
}

void ProgressReplica::start_copy(std::uint64_t stream) {
  if (stream != stream_) complete_as_of_ = -1e9;
  stream_ = stream;
  version_ = 0;
  ++copy_;
  copying_ = true;
}

// What the copy from the first version did not tell is of jobs that have ended.
void ProgressReplica::finish_copy() {
  copying_ = false;
  for (auto job = jobs_.begin(); job != jobs_.end();) {
    const auto& entry = job->second;
    if (entry.copy < copy_ && !entry.progress.certain) --uncertain_;
    job = entry.copy < copy_ ? jobs_.erase(job) : std::next(job);
  }
}

void ProgressReplica::remove(const JobId& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  if (!found->second.progress.certain) --uncertain_;
  jobs_.erase(found);
}

ProgressReplica::Entry& ProgressReplica::touch(const std::string& job, bool certain) {
  const auto [found, added] = jobs_.try_emplace(JobId{job});
  auto& entry = found->second;
  if (!added && !entry.progress.certain) --uncertain_;
  if (!certain) ++uncertain_;
  entry.copy = copy_;
  entry.progress.certain = certain;
  return entry;
}

void ProgressReplica::store(const wire::ProgressEntry& told) {
  const auto& progress = told.progress;
  touch(progress.job, told.certain).progress = {progress.done, progress.running, progress.reason,
                                                told.certain};
}

void ProgressReplica::note_unversioned(const wire::JobProgress& progress) {
  touch(progress.job, false).progress = {progress.done, progress.running, progress.reason, false};
}

const KnownProgress* ProgressReplica::find(const JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second.progress;
}

}  // namespace bankhill::gateway
