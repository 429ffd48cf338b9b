// Selects the running tasks (victims) to stop so that a task of a waiting job can start (docs/DESIGN.md,
// "Preemption by rank and for guarantees"). Victims have a lower priority, or belong to a team above its
// guarantee while the job's team is within its own guarantee. All victims are on one machine, the one where
// the least progress is lost. Pure: the caller stops the tasks. Times are seconds on the caller's steady
// clock.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "leader/quota_ledger.hpp"
#include "model/dependency_graph.hpp"
#include "model/fleet.hpp"
#include "model/job.hpp"

namespace bankhill::leader {

// Cost of stopping the victims on one machine. Costs are compared member by member in this order; lower is
// better.
struct PreemptionCost {
  // Whether the machine must pull the image first, which delays the start.
  bool lacks_image = false;
  // Progress of the victims that is lost, in core-seconds.
  double lost_core_s = 0;
  auto operator<=>(const PreemptionCost&) const = default;
};

struct PreemptionCandidate {
  wire::MachineId machine_id;
  std::vector<wire::TaskId> victims;
  PreemptionCost cost;
};

// The waiting job, and what entitles it to stop other tasks.
struct Preemptor {
  const model::Job& job;
  // The highest priority among the job and the jobs that depend on it.
  wire::Priority priority = wire::Priority::normal;
  // Whether tasks of other teams above their guarantees may be stopped, whatever their priority.
  bool reclaims_borrowed = false;
  // Longest time that a victim may take to stop, including its checkpoint, in seconds.
  double max_grace_period_s = std::numeric_limits<double>::max();
};

// Time that a task of the job is given to save a checkpoint when it is stopped, in seconds.
double checkpoint_grace_s(const wire::JobSpec& spec);

class VictimSelector {
 public:
  using Jobs = std::map<wire::JobId, model::Job>;
  // Further conditions on a machine that the caller sets.
  using MachineFilter = std::function<bool(const model::Machine&)>;

  // Borrowed resources are reclaimed only from tasks that would run for more than `long_task_s` seconds from
  // now. The referenced objects must outlive this one.
  VictimSelector(const Jobs& jobs, const model::DependencyGraph& dependencies, const QuotaLedger& quota,
                 double long_task_s);

  // The tasks to stop on this machine. Nothing if stopping tasks cannot free enough, or if enough is free
  // already.
  std::optional<PreemptionCandidate> victims_on(const model::Machine& machine, const Preemptor& preemptor,
                                                double now) const;
  // The candidate with the lowest cost among the next `machine_count` machines of the fleet, in round-robin
  // order.
  std::optional<PreemptionCandidate> choose(model::Fleet& fleet, std::size_t machine_count,
                                            const Preemptor& preemptor, const MachineFilter& allowed,
                                            double now);

 private:
  bool may_stop(const model::Assignment& assignment, const model::Job& victim, const Preemptor& preemptor,
                double now) const;

  const Jobs& jobs_;
  const model::DependencyGraph& dependencies_;
  const QuotaLedger& quota_;
  double long_task_s_;
  // The last machine that choose() examined.
  wire::MachineId cursor_;
};

}  // namespace bankhill::leader
