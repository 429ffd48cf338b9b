#include "gateway/job_index.hpp"

#include <utility>

namespace bankhill::gateway {

using wire::JobId;
using wire::JobState;

JobIndex::JobIndex(runtime::Loop& loop, runtime::Log log, state::Store& store, std::size_t final_jobs_kept,
                   Observers observers)
    : loop_(loop),
      log_(std::move(log)),
      store_(store),
      final_jobs_kept_(final_jobs_kept),
      observers_(std::move(observers)),
      key_fetcher_(loop, store) {}

const KnownJob* JobIndex::find(const JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

bool JobIndex::is_known_accepted(const JobId& id) const {
  return jobs_.contains(id) || dependencies_.was_accepted(id);
}

bool JobIndex::has_ended(const JobId& id, const KnownJob& job) const {
  return job.state != JobState::accepted || dependencies_.is_cancelled(id);
}

bool JobIndex::is_cancelled(const JobId& id) const {
  const auto* job = find(id);
  return dependencies_.is_cancelled(id) || (job != nullptr && job->state == JobState::cancelled);
}

void JobIndex::apply(const std::vector<state::Change>& changes) {
  // Job records are applied last: parts of their dependency lists may be stored under other keys of the same
  // transaction.
  for (const auto& change : changes) {
    apply_catalogue(change);
    apply_dependency_part(change);
  }
  for (const auto& change : changes)
    if (change.key.starts_with(wire::kJobKeyPrefix) && change.data)
      apply_record(JobId{change.key.substr(wire::kJobKeyPrefix.size())}, {*change.data, change.revision});
  fetch_unknown_dependencies();
  evict_oldest_final_jobs();
}

void JobIndex::apply_catalogue(const state::Change& change) {
  auto machine_types = store_.try_parse(change.key, change.revision,
                                        [&] { return catalogue_reader_.learn(change.key, change.data); });
  if (machine_types && *machine_types) machine_types_ = std::move(**machine_types);
}

void JobIndex::apply_dependency_part(const state::Change& change) {
  if (!change.key.starts_with(wire::kDependencyKeyPrefix)) return;
  if (change.data)
    dependency_parts_[change.key] = *change.data;
  else
    dependency_parts_.erase(change.key);
}

// Drops what only live jobs need.
void JobIndex::drop_live_state(const JobId& id, KnownJob& job) {
  job.record.reset();
  observers_.on_ended(id);
}

void JobIndex::apply_record(const JobId& id, const state::Entry& entry) {
  if (const auto* known = find(id); known != nullptr && known->revision >= entry.revision) return;
  auto record = store_.try_parse(wire::job_key(id), entry.revision,
                                 [&entry] { return wire::parse_job_record(entry.data); });
  if (!record) return apply_unreadable_record(id, entry);
  auto& job = jobs_[id];
  const bool is_first_seen = job.revision.value == 0;
  if (is_first_seen) observers_.on_first_seen(id);
  const bool had_ended = job.state != JobState::accepted;
  job.revision = entry.revision;
  job.record_unreadable = job.phase_unknown = false;
  job.state = record->state;
  job.task_count = record->spec.task_count;
  job.is_service = record->spec.kind == wire::JobKind::service;
  if (job.state == JobState::accepted && is_first_seen) add_dependencies(id, *record, entry.revision);
  update_dependencies(id, model::dependency_info(job.state, entry.revision));
  if (job.state == JobState::accepted) {
    job.record = std::move(*record);
    return;
  }
  drop_live_state(id, job);
  if (!had_ended) final_order_.push_back(id);
}

// A job whose record cannot be parsed stays in the index, with the fields that can be parsed and what was
// known before. Jobs that depend on it keep waiting.
void JobIndex::apply_unreadable_record(const JobId& id, const state::Entry& entry) {
  const auto partial_record = wire::parse_partial_job_record(entry.data);
  auto& job = jobs_[id];
  job.revision = entry.revision;
  job.record_unreadable = true;
  if (job.state != JobState::accepted) return;  // A final state never changes.
  job.phase_unknown = !partial_record.state;
  job.state = partial_record.state.value_or(JobState::accepted);
  if (partial_record.task_count > 0) job.task_count = partial_record.task_count;
  update_dependencies(id, model::dependency_info(job.state, entry.revision));
  if (job.state == JobState::accepted) return;
  drop_live_state(id, job);
  final_order_.push_back(id);
}

// Applies a record that was fetched singly, if its job has ended. The record of a live job arrives with the
// watch instead, in order and together with the parts of its dependency list.
void JobIndex::apply_record_if_final(const JobId& id, const state::Entry& entry) {
  if (wire::parse_partial_job_record(entry.data).state != JobState::accepted) apply_record(id, entry);
}

void JobIndex::update_dependencies(const JobId& id, const model::DependencyInfo& info) {
  dependencies_.update(id, info);
  dependencies_.take_updates();  // Discarded: the status of a job is computed when a user requests it.
}

model::DependencyInfo JobIndex::known_dependency_info(const JobId& id) const {
  const auto* job = find(id);
  return job == nullptr ? model::DependencyInfo{} : model::dependency_info(job->state, job->revision);
}

// Appends the parts of the dependency list that are stored under keys of their own. Returns false if a part
// is missing or cannot be parsed.
bool JobIndex::append_dependency_parts(const JobId& id, wire::JobRecord& record, wire::KeyRevision revision) {
  bool complete = true;
  for (std::uint32_t part = 0; part < record.dependency_parts; ++part) {
    const auto found = dependency_parts_.find(wire::dependencies_key(id, part));
    if (found == dependency_parts_.end()) {
      complete = false;
      continue;
    }
    auto dependencies = store_.try_parse(found->first, revision,
                                         [&found] { return wire::parse_dependencies_part(found->second); });
    if (!dependencies) {
      complete = false;
      continue;
    }
    for (auto& dependency : *dependencies) record.spec.depends_on.push_back(std::move(dependency));
  }
  return complete;
}

void JobIndex::add_dependencies(const JobId& id, wire::JobRecord& record, wire::KeyRevision revision) {
  const bool complete = append_dependency_parts(id, record, revision);
  if (record.spec.depends_on.empty() && complete) return;
  dependencies_.add(id, model::dependency_info(record.state, revision), record.spec.depends_on, !complete,
                    [this](const JobId& dependency) { return known_dependency_info(dependency); });
}

// Reads the records of dependencies that are no longer in memory: an unknown dependency counts neither as
// done nor as cancelled.
void JobIndex::fetch_unknown_dependencies() {
  for (const auto& id : dependencies_.take_unknown())
    key_fetcher_.tell(state::FetchRequest{
        wire::job_key(id), lifetime_.guard([this, id](const std::optional<state::Entry>& entry) {
          apply_fetched_dependency(id, entry);
        })});
}

void JobIndex::apply_fetched_dependency(const JobId& id, const std::optional<state::Entry>& entry) {
  if (entry) {
    apply_record_if_final(id, *entry);
    return evict_oldest_final_jobs();
  }
  dependencies_.update(id, model::missing_dependency());
  log_->warn("job {}: other jobs depend on it, but the state service has no record of it", id.value);
}

// Invariant 12: memory is bounded; evicted jobs are read from the state service when needed.
void JobIndex::evict_oldest_final_jobs() {
  while (final_order_.size() > final_jobs_kept_) {
    jobs_.erase(final_order_.front());
    final_order_.pop_front();
  }
}

void JobIndex::look_up(const JobId& id, LookupCallback done) {
  // Final states never change. Any other result, an unknown job included, needs a read barrier (invariant 9).
  const auto* known = find(id);
  if (known != nullptr && has_ended(id, *known)) return done({LookupStatus::found, known});
  store_.tell(state::ReadBarrier{lifetime_.guard([this, id, done = std::move(done)](bool synced) mutable {
    if (!synced) return done({LookupStatus::unavailable});
    // Continues in the next turn of the event loop, when the changes that the barrier published are applied.
    loop_.post(lifetime_.guard([this, id, done = std::move(done)] { finish_look_up(id, done); }));
  })});
}

void JobIndex::finish_look_up(const JobId& id, const LookupCallback& done) {
  const auto* job = find(id);
  if (job == nullptr) {
    if (!store_.has(wire::job_key(id))) return done({LookupStatus::never_accepted});
    return fetch(id, done);
  }
  // A job that it depends on may have been cancelled long ago: as long as that is unknown, so is this job's
  // state.
  if (dependencies_.may_be_cancelled(id) || job->phase_unknown) return done({LookupStatus::unavailable});
  done({LookupStatus::found, job});
}

// Reads a job that was evicted from memory.
void JobIndex::fetch(const JobId& id, const LookupCallback& done) {
  store_.tell(
      state::FetchKey{wire::job_key(id), lifetime_.guard([this, id, done](const state::KeyResponse& answer) {
                        finish_fetch(id, answer, done);
                      })});
}

void JobIndex::finish_fetch(const JobId& id, const state::KeyResponse& answer, const LookupCallback& done) {
  if (answer.status == state::KeyStatus::unknown) return done({LookupStatus::unavailable});
  if (answer.status == state::KeyStatus::missing) return done({LookupStatus::never_accepted});
  apply_record_if_final(id, *answer.entry);
  const auto* job = find(id);
  if (job == nullptr || job->phase_unknown) return done({LookupStatus::unavailable});
  done({LookupStatus::found, job});
}

}  // namespace bankhill::gateway
