// The progress of live jobs as all controllers tell it to users: this controller's own copy and those of its
// peers (gateway/progress_sync.hpp).
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;

namespace {
constexpr double kProgressIntervalS = 0.5;
// A leader that took no heartbeats for longer than this does not know what its machines run.
constexpr double kMaxInactiveS = 1;
// Time in which agents whose heartbeats were not answered have sent the next one to an active leader: they
// try another controller after 1 s.
constexpr double kListenS = 2;
}  // namespace

// A task that an earlier leader started may run where this one has not heard of it yet.
bool Leader::is_progress_certain(const Job& job) const {
  if (job.running_count > 0) return true;
  const bool may_be_inherited = job.eligible_revision <= elected_at_revision_;
  if (may_be_inherited && loop().now() < unreadable_machine_leases_until_) return false;
  return !may_run_on_unconfirmed_machine(job);
}

wire::ProgressEntry Leader::progress_entry(const wire::JobId& id) const {
  const auto& job = *live_jobs_.at(id);
  auto reason = job.reason();
  if (const auto cutoff = queue_.cutoff(job))
    if (const auto& forecast_reason = deadline_forecast_.reason(job.spec.team, *cutoff);
        !forecast_reason.empty())
      reason += (reason.empty() ? "cutoff: " : "; cutoff: ") + forecast_reason;
  return {{job.finished_count, job.running_count, id.value, std::move(reason)}, job.progress_certain};
}

void Leader::note_active(double now) {
  if (now - std::exchange(last_active_at_, now) > kMaxInactiveS) listening_until_ = now + kListenS;
}

// Whether heartbeats could be taken long enough for what is known to be told.
bool Leader::has_listened() const {
  const double now = loop().now();
  return now - last_active_at_ <= kMaxInactiveS && now >= listening_until_;
}

void Leader::publish_progress() {
  const double as_of = loop().now();
  next_progress_at_ = as_of + kProgressIntervalS;
  const bool all_certain = fleet_.total().unconfirmed == 0 && as_of >= unreadable_machine_leases_until_;
  for (auto& [id, job] : live_jobs_) {
    const bool certain = all_certain || is_progress_certain(*job);
    if (job->progress_certain != certain) job->progress_dirty = true;
    job->progress_certain = certain;
    if (std::exchange(job->progress_dirty, false))
      job->progress_version = progress_feed_.record(id, job->progress_version);
  }
  for (bool complete = false; !complete;) {
    auto update = progress_after({0, progress_feed_.stream(), published_version_});
    published_version_ = update.version;
    complete = update.complete;
    ports_.publish_progress(std::move(update), as_of);
  }
}

wire::ProgressUpdate Leader::progress_after(const wire::ProgressRequest& request) const {
  auto update = progress_feed_.answer(request, [this](const wire::JobId& id) { return progress_entry(id); });
  update.settled = has_listened();
  return update;
}

// A leader that has been replaced, or cannot tell, does not answer: its peers ask its successor.
void Leader::on(ProgressRequested& message) {
  if (!is_active_leader()) return;
  // The first update of a term follows the first look at all jobs.
  if (progress_feed_.size() < live_jobs_.size()) publish_progress();
  message.reply(progress_after(message.request), loop().now());
}

}  // namespace bankhill::leader
