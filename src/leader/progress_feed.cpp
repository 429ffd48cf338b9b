#include "leader/progress_feed.hpp"

namespace bankhill::leader {

namespace {
// Bounds of one update, far below the largest frame: a large copy must not delay the leader's other frames.
constexpr std::size_t kMaxUpdateEntries = 1000;
constexpr std::size_t kMaxUpdateTextBytes = std::size_t{32} * 1024;
}  // namespace

void ProgressFeed::begin_term(std::uint64_t stream) {
  stream_ = stream;
  last_version_ = 0;
  jobs_.clear();
}

std::uint64_t ProgressFeed::record(const wire::JobId& id, std::uint64_t version) {
  if (version != 0) jobs_.erase(version);
  jobs_.emplace_hint(jobs_.end(), ++last_version_, id);
  return last_version_;
}

wire::ProgressUpdate ProgressFeed::answer(const wire::ProgressRequest& request, const Render& render) const {
  wire::ProgressUpdate update;
  update.id = request.id;
  update.stream = stream_;
  update.after = update.version = request.stream == stream_ ? request.version : 0;
  update.live_jobs = static_cast<std::uint32_t>(jobs_.size());
  std::size_t text_bytes = 0;
  auto next = jobs_.upper_bound(update.after);
  for (; next != jobs_.end() && update.entries.size() < kMaxUpdateEntries && text_bytes < kMaxUpdateTextBytes;
       ++next) {
    update.entries.push_back(render(next->second));
    const auto& progress = update.entries.back().progress;
    text_bytes += progress.job.size() + progress.reason.size();
    update.version = next->first;
  }
  update.complete = next == jobs_.end();
  return update;
}

}  // namespace bankhill::leader
