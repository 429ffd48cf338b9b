// In-memory index of the accepted jobs and of the machine types that jobs may use. It changes only with the
// published changes of the state service and its own look-ups.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/dependency_graph.hpp"
#include "runtime/lifetime.hpp"
#include "runtime/log.hpp"
#include "runtime/loop.hpp"
#include "state/key_fetcher.hpp"
#include "state/store.hpp"
#include "wire/records.hpp"

namespace bankhill::gateway {

// What this controller knows about one accepted job.
struct KnownJob {
  wire::JobState state = wire::JobState::accepted;
  wire::KeyRevision revision;  // Revision of the job's record that was read last.
  std::uint32_t task_count = 0;
  bool is_service = false;
  std::optional<wire::JobRecord> record;  // The last readable record; set only for jobs that have not ended.
  bool record_unreadable = false;         // Whether the record in the state service could not be parsed.
  bool phase_unknown = false;             // Whether not even the phase in that record could be parsed.
};

// The result of a look-up of a job.
enum class LookupStatus {
  unavailable,     // The state service did not answer, or the job's state cannot be determined yet.
  never_accepted,  // No controller has accepted the job.
  found,
};

struct JobLookup {
  LookupStatus status = LookupStatus::unavailable;
  const KnownJob* job = nullptr;  // Set for `found` only; valid only during the callback.
};

// Owned by the gateway, which applies the changes to it and answers users from it.
class JobIndex {
 public:
  using LookupCallback = std::function<void(JobLookup)>;
  struct Observers {
    std::function<void(const wire::JobId&)> on_first_seen;  // a job's record is read for the first time
    std::function<void(const wire::JobId&)> on_ended;  // its record says for the first time that it ended
  };

  // Of the jobs that have ended, keeps the `final_jobs_kept` that were read last in memory. Others are read
  // from the state service again when they are looked up.
  JobIndex(runtime::Loop& loop, runtime::Log log, state::Store& store, std::size_t final_jobs_kept,
           Observers observers);

  // Applies changes that the state service published.
  void apply(const std::vector<state::Change>& changes);
  // Passes `done` the job's state, at least as new as this call.
  void look_up(const wire::JobId& id, LookupCallback done);

  // Returns the job if it is in memory. Null does not mean that the job was never accepted.
  const KnownJob* find(const wire::JobId& id) const;
  bool empty() const { return jobs_.empty(); }
  // Whether the job is known from memory to have been accepted. False does not mean that it was not.
  bool is_known_accepted(const wire::JobId& id) const;
  // Whether the job has ended: according to its record, or because a job that it depends on was cancelled
  // (invariant 14).
  bool has_ended(const wire::JobId& id, const KnownJob& job) const;
  // Whether the job is known from memory to be cancelled, by its record or because a job that it depends on
  // was cancelled.
  bool is_cancelled(const wire::JobId& id) const;
  // The graph of the jobs' dependencies.
  const model::DependencyGraph& dependencies() const { return dependencies_; }
  // The machine types of the cloud's catalogue; empty until the catalogue has been read.
  const std::vector<wire::MachineType>& machine_types() const { return machine_types_; }

 private:
  void apply_catalogue(const state::Change& change);
  void apply_dependency_part(const state::Change& change);
  void apply_record(const wire::JobId& id, const state::Entry& entry);
  void apply_unreadable_record(const wire::JobId& id, const state::Entry& entry);
  void apply_record_if_final(const wire::JobId& id, const state::Entry& entry);
  bool append_dependency_parts(const wire::JobId& id, wire::JobRecord& record, wire::KeyRevision revision);
  void add_dependencies(const wire::JobId& id, wire::JobRecord& record, wire::KeyRevision revision);
  void update_dependencies(const wire::JobId& id, const model::DependencyInfo& info);
  model::DependencyInfo known_dependency_info(const wire::JobId& id) const;
  void fetch_unknown_dependencies();
  void apply_fetched_dependency(const wire::JobId& id, const std::optional<state::Entry>& entry);
  void drop_live_state(const wire::JobId& id, KnownJob& job);
  void evict_oldest_final_jobs();
  void finish_look_up(const wire::JobId& id, const LookupCallback& done);
  void fetch(const wire::JobId& id, const LookupCallback& done);
  void finish_fetch(const wire::JobId& id, const state::KeyResponse& answer, const LookupCallback& done);

  runtime::Loop& loop_;
  runtime::Log log_;
  state::Store& store_;
  std::size_t final_jobs_kept_;
  Observers observers_;
  state::KeyFetcher key_fetcher_;  // Reads the records of dependencies that are not in memory.
  wire::CatalogueReader catalogue_reader_;
  std::vector<wire::MachineType> machine_types_;
  std::map<wire::JobId, KnownJob> jobs_;
  std::deque<wire::JobId>
      final_order_;  // Jobs in memory that have ended, in the order in which they were read.
  model::DependencyGraph dependencies_;
  std::map<std::string, wire::Json> dependency_parts_;  // Parts of long dependency lists, by key.
  runtime::Lifetime lifetime_;
};

}  // namespace bankhill::gateway
