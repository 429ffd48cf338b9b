// Jobs that wait for others (not in the paper, whose workflows are known whole; docs/DESIGN.md, "Pipelines").
#include <algorithm>
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::DependencyInfo;
using model::Job;
using queue::estimated_runtime_s;
using state::FlushDelay;

namespace {
// A job's tasks take longer than guessed and not equally long; the next stage waits for the last one.
constexpr double kStageShare = 1.5;  // of the guess
constexpr double kStagePaces = 1;    // image, report, commit
}  // namespace

DependencyInfo Leader::dependency_info(const Job& job) const {
  auto fact = model::dependency_info(job.state, job.revision);
  fact.ended_at = job.ended_at;
  fact.priority = job.spec.priority;
  if (job.spec.deadline_s) fact.deadline_at = job.accepted_at + *job.spec.deadline_s;
  if (job.cutoff) fact.deadline_at = std::min(fact.deadline_at, *job.cutoff);
  fact.duration_s = kStageShare * estimated_runtime_s(job) + kStagePaces * settings_.control_interval_s;
  return fact;
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
    auto needs = ports_.store.parsed(wire::dependencies_key(id, part), entry->revision,
                                     [entry] { return wire::parse_dependencies_part(entry->data); });
    incomplete = incomplete || !needs;
    if (!needs) continue;
    for (auto& need : *needs) job.spec.depends_on.push_back(std::move(need));
  }
  // They are written with the job and deleted after its end: it is over, and the news of that is on its way.
  if (incomplete) log_->warn("job {}: not all that it waits for is stored", id.value);
  job.dependencies_met = false;
  dependencies_.add(id, dependency_info(job), job.spec.depends_on, incomplete,
                    [this](const wire::JobId& need) { return dependency_info_of(need); });
}

void Leader::apply_dependency_updates() {
  const auto news = dependencies_.take_updates();
  for (const auto& id : news.ready)
    if (const auto job = jobs_.find(id); job != jobs_.end()) release_job(job->second);
  for (const auto& id : news.cancelled)
    if (const auto job = jobs_.find(id); job != jobs_.end()) cancel_unstarted_job(job->second);
  fetch_unknown_dependencies();
}

// Invariant 13: `done` of everything that it needs is committed.
void Leader::release_job(Job& job) {
  if (job.dependencies_met || !job.is_live()) return;
  job.dependencies_met = true;
  // Written by version 0.2.0 an end has no time.
  const double ended = dependencies_.ready_at(job.spec.id);
  job.eligible_at = std::max(job.accepted_at, ended > 0 || !is_leader_ ? ended : loop().wall());
  job.eligible_revision = std::max(job.revision, dependencies_.ready_revision(job.spec.id));
  if (!is_leader_) return;
  log_->debug("job {}: all that it waited for is done, {:.1f} s after its acceptance", job.spec.id.value,
              loop().wall() - job.accepted_at);
  ++event_counts_["jobs released"];
  update_queue_membership(job);
  schedule_placement();
  plan_soon();
}

// Invariant 14: one that it needs is cancelled. Nothing of it ever started; its record follows.
void Leader::cancel_unstarted_job(Job& job) {
  if (!job.is_live()) return;
  job.dependency_cancelled = true;
  remove_live_job(job);
  if (!is_leader_) return;
  log_->debug("job {}: cancelled with one that it waits for", job.spec.id.value);
  ++event_counts_["waiting jobs cancelled"];
  cancelled_dependents_.push_back(job.spec.id);
}

// A few at a time, behind all else: what the records say decides already, and a cancellation of hundreds must
// not hold up what tasks wait for.
void Leader::write_cancelled_dependents() {
  for (std::size_t room = writes_.batch_limit() / 2; room > 0 && !cancelled_dependents_.empty(); --room) {
    if (writes_.size() >= writes_.batch_limit() || ports_.store.writes_to_spare() < static_cast<double>(room))
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

// Named jobs that left memory long ago: not knowing is taken neither for done nor for cancelled.
void Leader::fetch_unknown_dependencies() {
  for (const auto& id : dependencies_.take_unknown())
    fetcher_.tell(state::FetchRequest{
        wire::job_key(id), guard([this, id](const std::optional<state::Entry>& entry) {
          if (!entry) {
            log_->warn("job {}: is waited for and has no record", id.value);
            return dependencies_.update(id, model::missing_dependency());
          }
          const auto record = ports_.store.parsed(wire::job_key(id), entry->revision,
                                                  [&entry] { return wire::parse_job_record(entry->data); });
          const auto phase =
              record ? record->state
                     : wire::parse_partial_job_record(entry->data).state.value_or(wire::JobState::accepted);
          auto found = model::dependency_info(phase, entry->revision);
          if (record) found.ended_at = record->ended_at;
          dependencies_.update(id, found);
          apply_dependency_updates();
        })});
}

void Leader::delete_dependency_parts(const wire::JobId& id, std::uint32_t parts) {
  for (std::uint32_t part = 0; part < parts; ++part)
    writes_.store(wire::dependencies_key(id, part), std::nullopt, FlushDelay::garbage);
}

// What is left of jobs that ended while nobody led.
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
