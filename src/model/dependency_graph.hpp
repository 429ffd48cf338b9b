// What jobs wait for and who waits for them: the graph of pipelines. Pure: no input, output or clocks.
//
// Everything here follows from records that never change back: a job may start once `done` of each job that
// it names is committed, and it is cancelled as soon as one of them is, since then it can never start.
// Whoever has read the same records derives the same.
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

// What the record of a job says, and what its owner asks of it.
struct DependencyInfo {
  enum class State { unknown, missing, accepted, done, cancelled };  // missing: no such record
  State state = State::unknown;
  wire::KeyRevision revision;
  double ended_at = 0;  // time of day; 0: not known
  wire::Priority priority = wire::Priority::best_effort;
  double deadline_at = std::numeric_limits<double>::infinity();  // time of day
  double duration_s = 0;                                         // from its release to its end
};

// Of a job of which only this is of interest.
DependencyInfo dependency_info(wire::JobState phase, wire::KeyRevision revision);
DependencyInfo missing_dependency();

class DependencyGraph {
 public:
  using State = DependencyInfo::State;
  // Of jobs that wait: what has become of them.
  struct Updates {
    std::vector<wire::JobId> ready;
    std::vector<wire::JobId> cancelled;
  };
  // For whom a job is needed first.
  struct Goal {
    wire::JobId job_id;  // whose deadline it is; empty: none
    double deadline_at = std::numeric_limits<double>::infinity();
    double downstream_s = 0;  // from the end of this job to the end of that one
    double latest() const { return deadline_at - downstream_s; }
    bool operator==(const Goal&) const = default;
  };
  using LookUp = std::function<DependencyInfo(const wire::JobId&)>;

  // A live job that names others. `look_up` says what the caller knows of them; what it does not know comes
  // with questions(). `incomplete`: some of what it waits for could not be read: it is never released.
  void add(const wire::JobId& id, const DependencyInfo& fact, const std::vector<wire::JobId>& needs,
           bool incomplete, const LookUp& look_up);
  // A record of any job was read. Costs a look if nobody waits for it.
  void update(const wire::JobId& id, const DependencyInfo& fact);
  // What has changed since the last call.
  Updates take_updates() { return std::exchange(updates_, {}); }
  // Jobs of which nothing is known, to be read by the caller; each is named once.
  std::vector<wire::JobId> take_unknown();

  // Whether everything that it needs is done.
  bool is_ready(const wire::JobId& id) const;
  bool is_cancelled(const wire::JobId& id) const;
  // Whether something that it needs, directly or through others, is still to be read, so that a job that
  // waits may be over without our knowing. Costs a walk over what it needs while anything at all is unknown.
  bool may_be_cancelled(const wire::JobId& id) const;
  // Whether the graph knows that the job was accepted once.
  bool was_accepted(const wire::JobId& id) const;
  bool has_dependents(const wire::JobId& id) const;  // by a job that is not over
  // Jobs accepted or finished later than this no earlier leader has started.
  wire::KeyRevision ready_revision(const wire::JobId& id) const;
  double ready_at(const wire::JobId& id) const;  // time of day; 0: not known
  // The highest rank among the job and what needs it.
  wire::Priority effective_priority(const wire::JobId& id, wire::Priority own) const;
  Goal effective_deadline(const wire::JobId& id) const;
  // Up to `most` jobs that it still waits for directly, and how many there are.
  std::vector<wire::JobId> unmet_dependencies(const wire::JobId& id, std::size_t most,
                                              std::size_t& count) const;
  std::size_t size() const { return nodes_.size(); }

 private:
  struct Node {
    DependencyInfo info;
    bool cancelled = false;  // it, or one that it needs
    bool waits = false;      // live and named others when it was accepted
    std::uint32_t open = 0;  // needs that are not done
    std::vector<wire::JobId> dependencies;
    std::set<wire::JobId> dependents;  // jobs that need it and are not over
    wire::KeyRevision ready_revision;
    double ready_at = 0;
    wire::Priority priority = wire::Priority::best_effort;
    Goal goal;
  };
  using Upward = std::set<std::pair<wire::KeyRevision, wire::JobId>>;

  const Node* find(const wire::JobId& id) const;
  void done(const Node& node);
  void cancel(const wire::JobId& id);
  void detach(const wire::JobId& id, Node& node);
  void raise(const wire::JobId& id);
  void lower(Upward upward);
  bool take_over(Node& node, const Node& later) const;
  bool weigh(const wire::JobId& id, Node& node) const;
  void drop_if_idle(const wire::JobId& id);

  std::map<wire::JobId, Node> nodes_;
  std::size_t unknown_ = 0;
  Updates updates_;
  std::vector<wire::JobId> unknown_ids_;
};

}  // namespace bankhill::model
