#include "leader/victim_selector.hpp"

#include <algorithm>
#include <limits>

#include "queue/deadline.hpp"

namespace bankhill::leader {

namespace {

// Seconds that a task of the job will still run. Services do not end.
double remaining_s(const model::Job& job, const model::Assignment& assignment, double now) {
  if (job.is_service()) return std::numeric_limits<double>::max();
  return queue::estimated_runtime_s(job) - assignment.running_s(now);
}

// Its start may still be on its way, and a stop that overtakes it stops nothing.
bool is_start_in_flight(const model::Assignment& assignment) {
  return assignment.state == model::AssignmentState::sent && assignment.running_since <= 0;
}

// Room that is on its way there is meant for another.
bool is_stopping_tasks(const model::Machine& machine) {
  return std::any_of(machine.assignments.begin(), machine.assignments.end(),
                     [](const auto& entry) { return entry.second.stopping; });
}

// A large victim that was found last may make the small ones before it needless.
void spare_unneeded(std::vector<const model::Assignment*>& victims, const wire::Resources& request,
                    wire::Resources room) {
  std::erase_if(victims, [&](const model::Assignment* victim) {
    auto without = room;
    without -= victim->request;
    if (!request.fits(without)) return false;
    room = without;
    return true;
  });
}

}  // namespace

double checkpoint_grace_s(const wire::JobSpec& spec) {
  return spec.checkpoint_interval_s > 0 ? spec.checkpoint_duration_s : 0;
}

VictimSelector::VictimSelector(const Jobs& jobs, const model::DependencyGraph& dependencies,
                               const QuotaLedger& quota, double long_task_s)
    : jobs_(jobs), dependencies_(dependencies), quota_(quota), long_task_s_(long_task_s) {}

std::optional<PreemptionCandidate> VictimSelector::victims_on(const model::Machine& machine,
                                                              const Preemptor& preemptor, double now) const {
  if (is_stopping_tasks(machine)) return std::nullopt;
  const auto& spec = preemptor.job.spec;
  std::vector<const model::Assignment*> victims;
  auto room = machine.available();
  for (const auto& [task, assignment] : machine.assignments) {
    if (spec.request.fits(room)) break;
    const auto victim = jobs_.find(task.job);
    if (victim == jobs_.end() || assignment.team.empty()) continue;
    if (!may_stop(assignment, victim->second, preemptor, now)) continue;
    room += assignment.request;
    victims.push_back(&assignment);
  }
  if (victims.empty() || !spec.request.fits(room)) return std::nullopt;
  spare_unneeded(victims, spec.request, room);
  PreemptionCandidate candidate{machine.id, {}, {!machine.images.contains(spec.image), 0}};
  for (const auto* victim : victims) {
    candidate.victims.push_back(victim->task);
    candidate.cost.lost_core_s += victim->running_s(now) * victim->request.cores;
  }
  return candidate;
}

bool VictimSelector::may_stop(const model::Assignment& assignment, const model::Job& victim,
                              const Preemptor& preemptor, double now) const {
  if (is_start_in_flight(assignment)) return false;
  if (checkpoint_grace_s(victim.spec) > preemptor.longest_stop_s) return false;
  // Placed before all batches for its long wait and stopped for one of them, it would be placed first again.
  if (assignment.started_for_long_wait && !preemptor.job.is_service()) return false;
  if (dependencies_.effective_priority(victim.spec.id, victim.spec.priority) < preemptor.priority)
    return true;
  if (!preemptor.reclaims_borrowed || assignment.team == preemptor.job.spec.team) return false;
  // A team's services count towards its guarantee first: it is its batches that borrow. Stopped for that,
  // services were down all day while their team's batches went on (lakaskalk-grown).
  if (!quota_.borrows(assignment.team, assignment.is_service)) return false;
  return remaining_s(victim, assignment, now) > long_task_s_;
}

std::optional<PreemptionCandidate> VictimSelector::choose(model::Fleet& fleet, std::size_t machine_count,
                                                          const Preemptor& preemptor,
                                                          const MachineFilter& allowed, double now) {
  std::optional<PreemptionCandidate> best;
  fleet.visit_after(cursor_, machine_count, [&](const model::Machine& machine) {
    if (!machine.takes_tasks() || machine.overdue || !allowed(machine)) return;
    auto candidate = victims_on(machine, preemptor, now);
    if (candidate && (!best || candidate->cost < best->cost)) best = std::move(candidate);
  });
  return best;
}

}  // namespace bankhill::leader
