// Jobs that depend on other jobs (docs/DESIGN.md, "Pipelines"). Not in the paper, whose workflows are fully
// known in advance.
#include <algorithm>
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::DependencyInfo;
using model::Job;
using queue::estimated_runtime_s;
using state::FlushDelay;

namespace {
// Estimated duration of a pipeline stage, in multiples of the estimated run time of its tasks. The next stage
// waits for the last task, and tasks take longer than estimated and not equally long.
constexpr double kStageDurationFactor = 1.5;
// Time added per stage for image pull, heartbeat and commit, in control intervals.
constexpr double kStageOverheadIntervals = 1;
}  // namespace

DependencyInfo Leader::dependency_info(const Job& job) const {
  auto info = model::dependency_info(job.state, job.revision);
  info.ended_at = job.ended_at;
  info.priority = job.spec.priority;
  if (job.spec.deadline_s) info.deadline_at = job.accepted_at + *job.spec.deadline_s;
  if (job.cutoff) info.deadline_at = std::min(info.deadline_at, *job.cutoff);
  info.duration_s = kStageDurationFactor * estimated_runtime_s(job) +
                    kStageOverheadIntervals * settings_.control_interval_s;
  return info;
}

DependencyInfo Leader::dependency_info_of(const wire::JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? DependencyInfo{} : dependency_info(found->second);
}

const Job* Leader::job(const wire::JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() || found->second.revision.value == 0 ? nullptr : &found->second;
}

wire::Priority Leader::effective_priority(const Job& job) const {
  return dependencies_.effective_priority(job.spec.id, job.spec.priority);
}

void Leader::add_dependencies(Job& job) {
  const auto& id = job.spec.id;
  bool incomplete = false;
  for (std::uint32_t part = 0; part < job.dependency_parts; ++part) {
    const auto* entry = cache_.find(wire::dependencies_key(id, part));
    incomplete = incomplete || entry == nullptr;
    if (entry == nullptr) continue;
    auto dependencies = ports_.store.try_parse(wire::dependencies_key(id, part), entry->revision, [entry] {
      return wire::parse_dependencies_part(entry->data);
    });
    incomplete = incomplete || !dependencies;
    if (!dependencies) continue;
    for (auto& dependency : *dependencies) job.spec.depends_on.push_back(std::move(dependency));
  }
  // The dependency keys are written together with the job and deleted after it has ended. If one is missing,
  // the job has ended and the change that records this has not arrived yet.
  if (incomplete)
    log_->warn("job {}: some of its dependency keys are missing or unreadable, it will not be released",
               id.value);
  job.dependencies_met = false;
  dependencies_.add(id, dependency_info(job), job.spec.depends_on, incomplete,
                    [this](const wire::JobId& dependency) { return dependency_info_of(dependency); });
}

void Leader::apply_dependency_updates() {
  const auto updates = dependencies_.take_updates();
  for (const auto& id : updates.ready)
    if (const auto job = jobs_.find(id); job != jobs_.end()) release_job(job->second);
  for (const auto& id : updates.cancelled)
    if (const auto job = jobs_.find(id); job != jobs_.end()) cancel_unstarted_job(job->second);
  fetch_unknown_dependencies();
}

// Invariant 13: all dependencies of the job are committed as `done`.
void Leader::release_job(Job& job) {
  if (job.dependencies_met || !job.is_live()) return;
  job.dependencies_met = true;
  // Records written by version 0.2.0 have no end time.
  const double ended_at = dependencies_.ready_at(job.spec.id);
  job.eligible_at = std::max(job.accepted_at, ended_at > 0 || !is_leader_ ? ended_at : loop().wall());
  job.eligible_revision = std::max(job.revision, dependencies_.ready_revision(job.spec.id));
  if (!is_leader_) return;
  log_->debug("job {}: released, all dependencies done {:.1f} s after its acceptance", job.spec.id.value,
              loop().wall() - job.accepted_at);
  ++event_counts_["jobs released"];
  update_queue_membership(job);
  schedule_placement();
  schedule_planning();
}

// Invariant 14: a dependency of the job is cancelled. No task of the job has ever started; its record is
// updated later.
void Leader::cancel_unstarted_job(Job& job) {
  if (!job.is_live()) return;
  job.dependency_cancelled = true;
  remove_live_job(job);
  if (!is_leader_) return;
  log_->debug("job {}: cancelled because a job that it depends on is cancelled", job.spec.id.value);
  ++event_counts_["dependent jobs cancelled"];
  cancelled_dependents_.push_back(job.spec.id);
}

// Writes the final records of jobs that were cancelled with a dependency. Only a few at a time, behind all
// other writes: the records of their dependencies already imply the cancellation, and hundreds of these
// writes must not delay the ones that tasks wait for.
void Leader::write_cancelled_dependents() {
  for (std::size_t writes_left = writes_.batch_limit() / 2; writes_left > 0 && !cancelled_dependents_.empty();
       --writes_left) {
    if (writes_.size() >= writes_.batch_limit() ||
        ports_.store.background_write_budget() < static_cast<double>(writes_left))
      return;
    const auto job = jobs_.find(cancelled_dependents_.front());
    cancelled_dependents_.pop_front();
    if (job == jobs_.end() || job->second.has_ended()) continue;
    writes_.store(wire::job_key(job->first),
                  final_record_json(make_job_record(job->second), wire::JobState::cancelled, loop().wall(),
                                    writes_.value_limit()),
                  FlushDelay::garbage);
  }
}

wire::JobRecord Leader::make_job_record(const Job& job) const {
  return {job.spec, job.state, job.accepted_at, job.ended_at, 0, job.cutoff};
}

// Reads the records of dependencies that are no longer in memory. Until the record is read, such a job counts
// neither as done nor as cancelled.
void Leader::fetch_unknown_dependencies() {
  for (const auto& id : dependencies_.take_unknown())
    fetcher_.tell(state::FetchRequest{
        wire::job_key(id), guard([this, id](const std::optional<state::Entry>& entry) {
          if (!entry) {
            log_->warn("job {}: other jobs depend on it, but it has no record", id.value);
            return dependencies_.update(id, model::missing_dependency());
          }
          const auto record = ports_.store.try_parse(
              wire::job_key(id), entry->revision, [&entry] { return wire::parse_job_record(entry->data); });
          const auto state =
              record ? record->state
                     : wire::parse_partial_job_record(entry->data).state.value_or(wire::JobState::accepted);
          auto info = model::dependency_info(state, entry->revision);
          if (record) info.ended_at = record->ended_at;
          dependencies_.update(id, info);
          apply_dependency_updates();
        })});
}

void Leader::delete_dependency_parts(const wire::JobId& id, std::uint32_t parts) {
  for (std::uint32_t part = 0; part < parts; ++part)
    writes_.store(wire::dependencies_key(id, part), std::nullopt, FlushDelay::garbage);
}

// Deletes the dependency keys of jobs that ended while no controller was leader.
void Leader::collect_dependency_garbage() {
  for (auto entry = cache_.entries().lower_bound(wire::kDependencyKeyPrefix);
       entry != cache_.entries().end() && entry->first.starts_with(wire::kDependencyKeyPrefix); ++entry) {
    const auto name = entry->first.substr(wire::kDependencyKeyPrefix.size());
    const auto job = jobs_.find(wire::JobId{name.substr(0, name.find('/'))});
    if (job == jobs_.end() || job->second.has_ended())
      writes_.store(entry->first, std::nullopt, FlushDelay::garbage);
  }
}

}  // namespace bankhill::leader
