// Preemption (docs/DESIGN.md, "Preemption by rank and for guarantees"): which running tasks to stop so that a
// task of a waiting job can start. Chosen are tasks of lower priority, or of a team above its guarantee when
// the job's team is within its own, on the one machine where the least progress is lost. Pure: it only
// chooses; the caller stops the tasks. Times are seconds on the caller's steady clock.
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

// What stopping tasks on a machine costs: the first member that differs decides, the lower is better.
struct PreemptionCost {
  bool lacks_image = false;  // a machine that must fetch the image first has room only later
  double lost_core_s = 0;    // progress of the tasks that are stopped
  auto operator<=>(const PreemptionCost&) const = default;
};

struct PreemptionCandidate {
  wire::MachineId machine_id;
  std::vector<wire::TaskId> victims;
  PreemptionCost cost;
};

// The waiting job, and what gives it the right to stop others.
struct Preemptor {
  const model::Job& job;
  wire::Priority priority = wire::Priority::normal;  // with that of the jobs that depend on it
  bool reclaims_borrowed = false;                    // also what other teams hold above their guarantees
  // Only tasks that have stopped after so long at the most, checkpoint included.
  double longest_stop_s = std::numeric_limits<double>::max();
};

// Seconds that a task of the job is given to save a checkpoint when it is stopped.
double checkpoint_grace_s(const wire::JobSpec& spec);

class VictimSelector {
 public:
  using Jobs = std::map<wire::JobId, model::Job>;
  // What the caller asks of a machine beyond what is checked here.
  using MachineFilter = std::function<bool(const model::Machine&)>;

  // Borrowed resources are reclaimed only from tasks that would run on for longer than `long_task_s`. The
  // references must outlive this object.
  VictimSelector(const Jobs& jobs, const model::DependencyGraph& dependencies, const QuotaLedger& quota,
                 double long_task_s);

  // The tasks to stop on this machine; nothing if that makes no room, or is not needed.
  std::optional<PreemptionCandidate> victims_on(const model::Machine& machine, const Preemptor& preemptor,
                                                double now) const;
  // The best among the next `machine_count` machines of the fleet, going round.
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
  wire::MachineId cursor_;  // the machine looked at last
};

}  // namespace bankhill::leader
