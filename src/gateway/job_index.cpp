#include "gateway/job_index.hpp"

#include <utility>

namespace bankhill::gateway {

using wire::JobId;
using wire::JobState;

namespace {
// A job that is over needs neither.
void drop_live_state(KnownJob& job) {
  job.record.reset();
  job.progress = {};
}
}  // namespace

JobIndex::JobIndex(runtime::Loop& loop, runtime::Log log, state::Store& store, std::size_t final_jobs_kept,
                   FirstSeen first_seen)
    : loop_(loop),
      log_(std::move(log)),
      store_(store),
      final_jobs_kept_(final_jobs_kept),
      first_seen_(std::move(first_seen)),
      key_fetcher_(loop, store) {}

const KnownJob* JobIndex::find(const JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

bool JobIndex::surely_accepted(const JobId& id) const {
  return jobs_.contains(id) || dependencies_.was_accepted(id);
}

bool JobIndex::is_over(const JobId& id, const KnownJob& job) const {
  return job.state != JobState::accepted || dependencies_.is_cancelled(id);
}

bool JobIndex::is_cancelled(const JobId& id) const {
  const auto* job = find(id);
  return dependencies_.is_cancelled(id) || (job != nullptr && job->state == JobState::cancelled);
}

void JobIndex::apply(const std::vector<state::Change>& changes) {
  // Jobs last: what they depend on may stand under further keys of the same transaction.
  for (const auto& change : changes) {
    apply_catalogue(change);
    apply_dependency_part(change);
  }
  for (const auto& change : changes)
    if (change.key.starts_with(wire::kJobKeyPrefix) && change.data)
      learn(JobId{change.key.substr(wire::kJobKeyPrefix.size())}, {*change.data, change.revision});
  fetch_unknown_dependencies();
  forget_oldest();
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

void JobIndex::update_progress(wire::JobProgress progress) {
  const auto found = jobs_.find(JobId{progress.job});
  if (found != jobs_.end() && found->second.state == JobState::accepted)
    found->second.progress = std::move(progress);
}

void JobIndex::learn(const JobId& id, const state::Entry& entry) {
  if (const auto* known = find(id); known != nullptr && known->revision >= entry.revision) return;
  auto record = store_.try_parse(wire::job_key(id), entry.revision,
                                 [&entry] { return wire::parse_job_record(entry.data); });
  if (!record) return learn_unreadable(id, entry);
  auto& job = jobs_[id];
  const bool first_seen = job.revision.value == 0;
  if (first_seen) first_seen_(id);
  const bool was_final = job.state != JobState::accepted;
  job.revision = entry.revision;
  job.record_unreadable = job.phase_unknown = false;
  job.state = record->state;
  job.task_count = record->spec.task_count;
  job.is_service = record->spec.kind == wire::JobKind::service;
  if (job.state == JobState::accepted && first_seen) add_dependencies(id, *record, entry.revision);
  update_dependencies(id, model::dependency_info(job.state, entry.revision));
  if (job.state == JobState::accepted) {
    job.record = std::move(*record);
    return;
  }
  drop_live_state(job);
  if (!was_final) final_order_.push_back(id);
}

// A job stays known although its record cannot be read: what of it can be told is told, and what was known of
// it before stays. Whoever waits for it waits on.
void JobIndex::learn_unreadable(const JobId& id, const state::Entry& entry) {
  const auto remains = wire::parse_partial_job_record(entry.data);
  auto& job = jobs_[id];
  job.revision = entry.revision;
  job.record_unreadable = true;
  if (job.state != JobState::accepted) return;  // for good
  job.phase_unknown = !remains.state;
  job.state = remains.state.value_or(JobState::accepted);
  if (remains.task_count > 0) job.task_count = remains.task_count;
  update_dependencies(id, model::dependency_info(job.state, entry.revision));
  if (job.state == JobState::accepted) return;
  drop_live_state(job);
  final_order_.push_back(id);
}

// A record read by itself. One of a live job comes with the watch, in order and with all that belongs to it.
void JobIndex::learn_if_final(const JobId& id, const state::Entry& entry) {
  if (wire::parse_partial_job_record(entry.data).state != JobState::accepted) learn(id, entry);
}

void JobIndex::update_dependencies(const JobId& id, const model::DependencyInfo& fact) {
  dependencies_.update(id, fact);
  dependencies_.take_updates();  // what has become of a job is asked when its user asks
}

model::DependencyInfo JobIndex::fact(const JobId& id) const {
  const auto* job = find(id);
  return job == nullptr ? model::DependencyInfo{} : model::dependency_info(job->state, job->revision);
}

// Adds what stands under further keys to the job's dependencies; false if some of it could not be read.
bool JobIndex::append_dependency_parts(const JobId& id, wire::JobRecord& record, wire::KeyRevision revision) {
  bool complete = true;
  for (std::uint32_t part = 0; part < record.dependency_parts; ++part) {
    const auto found = dependency_parts_.find(wire::dependencies_key(id, part));
    if (found == dependency_parts_.end()) {
      complete = false;
      continue;
    }
    auto needs = store_.try_parse(found->first, revision,
                                  [&found] { return wire::parse_dependencies_part(found->second); });
    if (!needs) {
      complete = false;
      continue;
    }
    for (auto& need : *needs) record.spec.depends_on.push_back(std::move(need));
  }
  return complete;
}

void JobIndex::add_dependencies(const JobId& id, wire::JobRecord& record, wire::KeyRevision revision) {
  const bool complete = append_dependency_parts(id, record, revision);
  if (record.spec.depends_on.empty() && complete) return;
  dependencies_.add(id, model::dependency_info(record.state, revision), record.spec.depends_on, !complete,
                    [this](const JobId& need) { return fact(need); });
}

// Named jobs that left memory long ago: not knowing is taken neither for done nor for cancelled.
void JobIndex::fetch_unknown_dependencies() {
  for (const auto& id : dependencies_.take_unknown())
    key_fetcher_.tell(state::FetchRequest{
        wire::job_key(id), lifetime_.guard([this, id](const std::optional<state::Entry>& entry) {
          learn_dependency(id, entry);
        })});
}

void JobIndex::learn_dependency(const JobId& id, const std::optional<state::Entry>& entry) {
  if (entry) {
    learn_if_final(id, *entry);
    return forget_oldest();
  }
  dependencies_.update(id, model::missing_dependency());
  log_->warn("job {}: is waited for and has no record", id.value);
}

// Invariant 12: memory is bounded; what leaves it is read from the state service.
void JobIndex::forget_oldest() {
  while (final_order_.size() > final_jobs_kept_) {
    jobs_.erase(final_order_.front());
    final_order_.pop_front();
  }
}

void JobIndex::look_up(const JobId& id, LookupDone done) {
  // Final states never change. Anything else, "never heard of it" included, needs a read barrier (invariant
  // 9).
  const auto* known = find(id);
  if (known != nullptr && is_over(id, *known)) return done({LookupStatus::found, known});
  store_.tell(state::ReadBarrier{lifetime_.guard([this, id, done = std::move(done)](bool synced) mutable {
    if (!synced) return done({LookupStatus::unavailable});
    // On the next turn, when the changes that the barrier published have been taken in.
    loop_.post(lifetime_.guard([this, id, done = std::move(done)] { finish_look_up(id, done); }));
  })});
}

void JobIndex::finish_look_up(const JobId& id, const LookupDone& done) {
  const auto* job = find(id);
  if (job == nullptr) {
    if (!store_.has(wire::job_key(id))) return done({LookupStatus::never_accepted});
    return fetch(id, done);
  }
  // A job that it depends on may have been cancelled long ago: not known is not "no".
  if (dependencies_.may_be_cancelled(id) || job->phase_unknown) return done({LookupStatus::unavailable});
  done({LookupStatus::found, job});
}

// Reads a job that left memory.
void JobIndex::fetch(const JobId& id, const LookupDone& done) {
  store_.tell(
      state::FetchKey{wire::job_key(id), lifetime_.guard([this, id, done](const state::KeyResponse& answer) {
                        finish_fetch(id, answer, done);
                      })});
}

void JobIndex::finish_fetch(const JobId& id, const state::KeyResponse& answer, const LookupDone& done) {
  if (answer.status == state::KeyStatus::unknown) return done({LookupStatus::unavailable});
  if (answer.status == state::KeyStatus::missing) return done({LookupStatus::never_accepted});
  learn_if_final(id, *answer.entry);
  const auto* job = find(id);
  if (job == nullptr || job->phase_unknown) return done({LookupStatus::unavailable});
  done({LookupStatus::found, job});
}

}  // namespace bankhill::gateway
