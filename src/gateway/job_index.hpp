// What this controller knows of jobs, and of the machine types that they may use, from the changes in the
// state service. It is changed by those changes, by the leader's progress and by its own look-ups alone.
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
#include "wire/frames.hpp"
#include "wire/records.hpp"

namespace bankhill::gateway {

// What is known of one job that was accepted.
struct KnownJob {
  wire::JobState state = wire::JobState::accepted;
  wire::KeyRevision revision;  // of its record
  std::uint32_t task_count = 0;
  bool is_service = false;
  std::optional<wire::JobRecord> record;  // of live jobs
  bool record_unreadable = false;         // the record in the state service
  bool phase_unknown = false;             // and not even the phase in it
  wire::JobProgress progress;
};

// What a look-up of a job came to.
enum class LookupStatus {
  unavailable,     // the state service did not answer, or what it holds cannot be told yet
  never_accepted,  // no controller has accepted the job
  found,
};

struct JobLookup {
  LookupStatus status = LookupStatus::unavailable;
  const KnownJob* job = nullptr;  // of `found` only; valid during the call that hands it over
};

class JobIndex {
 public:
  using LookupDone = std::function<void(JobLookup)>;
  // A job's record was read for the first time.
  using FirstSeen = std::function<void(const wire::JobId&)>;

  // Keeps the newest `final_jobs_kept` of the jobs that are over; older ones are read again when asked for.
  JobIndex(runtime::Loop& loop, runtime::Log log, state::Store& store, std::size_t final_jobs_kept,
           FirstSeen first_seen);

  // Takes in what the state service published.
  void apply(const std::vector<state::Change>& changes);
  // Takes in what the leader tells of a running job.
  void update_progress(wire::JobProgress progress);
  // Hands over what is known of the job, at least as new as this call.
  void look_up(const wire::JobId& id, LookupDone done);

  // Of a job in memory; null: it is not there, though it may have been accepted.
  const KnownJob* find(const wire::JobId& id) const;
  bool empty() const { return jobs_.empty(); }
  // Whether memory alone tells that the job was accepted. False says nothing.
  bool surely_accepted(const wire::JobId& id) const;
  // Over for good: by its record, or with a job that it depends on (invariant 14).
  bool is_over(const wire::JobId& id, const KnownJob& job) const;
  // Cancelled by its record or with a job that it depends on, as far as memory tells.
  bool is_cancelled(const wire::JobId& id) const;
  // Which jobs wait for which.
  const model::DependencyGraph& dependencies() const { return dependencies_; }
  // The cloud's catalogue; empty until it has been read.
  const std::vector<wire::MachineType>& machine_types() const { return machine_types_; }

 private:
  void apply_catalogue(const state::Change& change);
  void apply_dependency_part(const state::Change& change);
  void learn(const wire::JobId& id, const state::Entry& entry);
  void learn_unreadable(const wire::JobId& id, const state::Entry& entry);
  void learn_if_final(const wire::JobId& id, const state::Entry& entry);
  bool append_dependency_parts(const wire::JobId& id, wire::JobRecord& record, wire::KeyRevision revision);
  void add_dependencies(const wire::JobId& id, wire::JobRecord& record, wire::KeyRevision revision);
  void update_dependencies(const wire::JobId& id, const model::DependencyInfo& fact);
  model::DependencyInfo fact(const wire::JobId& id) const;
  void fetch_unknown_dependencies();
  void learn_dependency(const wire::JobId& id, const std::optional<state::Entry>& entry);
  void forget_oldest();
  void finish_look_up(const wire::JobId& id, const LookupDone& done);
  void fetch(const wire::JobId& id, const LookupDone& done);
  void finish_fetch(const wire::JobId& id, const state::KeyResponse& answer, const LookupDone& done);

  runtime::Loop& loop_;
  runtime::Log log_;
  state::Store& store_;
  std::size_t final_jobs_kept_;
  FirstSeen first_seen_;
  state::KeyFetcher key_fetcher_;  // of jobs that are named as dependencies and not known
  wire::CatalogueReader catalogue_reader_;
  std::vector<wire::MachineType> machine_types_;
  std::map<wire::JobId, KnownJob> jobs_;
  std::deque<wire::JobId> final_order_;  // jobs that are over, the oldest first
  model::DependencyGraph dependencies_;
  std::map<std::string, wire::Json> dependency_parts_;  // by key
  runtime::Lifetime lifetime_;
};

}  // namespace bankhill::gateway
