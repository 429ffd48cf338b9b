// The dependency graph of jobs (pipelines). Pure: no input, output or clocks.
//
// Its state is derived only from records that never change back: a job may start once every job that it
// depends on is committed as done, and it is cancelled as soon as one of them is, because then it can never
// start. Controllers that have read the same records derive the same state.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wire/records.hpp"

namespace bankhill::model {

// State of a job from its record, and its scheduling requirements.
struct DependencyInfo {
  enum class State { unknown, missing, accepted, done, cancelled };  // missing: the job has no record
  State state = State::unknown;
  wire::KeyRevision revision;
  double ended_at = 0;  // time of day; 0: not known
  wire::Priority priority = wire::Priority::best_effort;
  double deadline_at = std::numeric_limits<double>::infinity();  // time of day
  double duration_s = 0;  // time from the release of the job to its end
};

// Info of a job with default scheduling requirements.
DependencyInfo dependency_info(wire::JobState phase, wire::KeyRevision revision);
DependencyInfo missing_dependency();

class DependencyGraph {
 public:
  using State = DependencyInfo::State;
  // Waiting jobs that have become ready or cancelled.
  struct Updates {
    std::vector<wire::JobId> ready;
    std::vector<wire::JobId> cancelled;
  };
  // The tightest deadline for a job: its own or one of a job that depends on it, directly or indirectly.
  struct EffectiveDeadline {
    wire::JobId job_id;  // the job that has the deadline; empty: no deadline
    double deadline_at = std::numeric_limits<double>::infinity();  // time of day
    double downstream_s = 0;  // time from the end of this job to the end of `job_id`
    // Latest time of day at which this job can end.
    double latest_end_at() const { return deadline_at - downstream_s; }
    bool operator==(const EffectiveDeadline&) const = default;
  };
  using LookUp = std::function<DependencyInfo(const wire::JobId&)>;

  // Adds a live job that depends on others. `look_up` returns what the caller knows of a job; jobs that it
  // does not know are returned by take_unknown(). `incomplete`: part of the list of dependencies could not be
  // read, so the job is never released.
  void add(const wire::JobId& id, const DependencyInfo& info, const std::vector<wire::JobId>& dependencies,
           bool incomplete, const LookUp& look_up);
  // Applies a newly read record of any job. Costs one look-up if the job is not in the graph.
  void update(const wire::JobId& id, const DependencyInfo& info);
  // Returns the changes since the last call.
  Updates take_updates() { return std::exchange(updates_, {}); }
  // Returns jobs whose state is unknown, for the caller to read; each is returned once.
  std::vector<wire::JobId> take_unknown();

  // Whether all jobs that the job depends on are done.
  bool is_ready(const wire::JobId& id) const;
  bool is_cancelled(const wire::JobId& id) const;
  // Whether the state of a direct or indirect dependency is unknown, so that a waiting job may already be
  // cancelled. While the state of any job is unknown, this traverses the dependencies of the job.
  bool may_be_cancelled(const wire::JobId& id) const;
  // Whether the graph knows that the job was accepted at some time.
  bool was_accepted(const wire::JobId& id) const;
  // Whether a job that has not ended depends on this one.
  bool has_dependents(const wire::JobId& id) const;
  // Highest revision at which a dependency of the job was committed as done. If it is later than the start of
  // a term, no earlier leader has started the job.
  wire::KeyRevision ready_revision(const wire::JobId& id) const;
  double ready_at(const wire::JobId& id) const;  // time of day; 0: not known
  // The highest priority among the job and the jobs that depend on it, directly or indirectly.
  wire::Priority effective_priority(const wire::JobId& id, wire::Priority own) const;
  EffectiveDeadline effective_deadline(const wire::JobId& id) const;
  // Returns up to `max_count` direct dependencies that are not done, and sets `count` to their total number.
  std::vector<wire::JobId> unmet_dependencies(const wire::JobId& id, std::size_t max_count,
                                              std::size_t& count) const;
  std::size_t size() const { return nodes_.size(); }

 private:
  struct Node {
    DependencyInfo info;
    bool cancelled = false;         // the job or one that it depends on is cancelled
    bool has_dependencies = false;  // the job was added with dependencies and has not ended
    std::uint32_t unmet_count = 0;  // number of dependencies that are not done
    std::vector<wire::JobId> dependencies;
    std::set<wire::JobId> dependents;  // jobs that depend on this one and have not ended
    wire::KeyRevision ready_revision;
    double ready_at = 0;
    wire::Priority priority = wire::Priority::best_effort;
    EffectiveDeadline deadline;
  };
  // Jobs whose priority and deadline must be updated, in order of acceptance.
  using UpdateQueue = std::set<std::pair<wire::KeyRevision, wire::JobId>>;

  const Node* find(const wire::JobId& id) const;
  void release_dependents(const Node& node);
  void cancel_with_dependents(const wire::JobId& first);
  void remove_dependencies(const wire::JobId& id, Node& node);
  void propagate(const wire::JobId& id);
  void recompute(UpdateQueue queue);
  bool inherit_from(Node& node, const Node& dependent) const;
  bool recompute_node(const wire::JobId& id, Node& node) const;
  void erase_if_unused(const wire::JobId& id);

  std::map<wire::JobId, Node> nodes_;
  std::size_t unknown_count_ = 0;  // number of nodes whose state is unknown
  Updates updates_;
  std::vector<wire::JobId> unknown_ids_;  // to be returned by the next take_unknown()
};

}  // namespace bankhill::model
