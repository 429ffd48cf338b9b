#include "leader/victim_selector.hpp"

#include <algorithm>
#include <limits>

#include "queue/deadline.hpp"

namespace bankhill::leader {

namespace {

// Time that the task is expected to run on, in seconds. Services do not end by themselves.
double remaining_s(const model::Job& job, const model::Assignment& assignment, double now) {
  if (job.is_service()) return std::numeric_limits<double>::max();
  return queue::estimated_runtime_s(job) - assignment.running_s(now);
}

// Whether the start command may still be in flight: a stop command that overtakes it has no effect.
bool is_start_in_flight(const model::Assignment& assignment) {
  return assignment.state == model::AssignmentState::sent && assignment.running_since <= 0;
}

// Whether tasks are already being stopped on the machine: the resources that they free are meant for another
// job.
bool is_stopping_tasks(const model::Machine& machine) {
  return std::any_of(machine.assignments.begin(), machine.assignments.end(),
                     [](const auto& entry) { return entry.second.stopping; });
}

// Removes victims that are not needed: a large victim found last may make the small ones before it
// unnecessary.
void remove_unneeded_victims(std::vector<const model::Assignment*>& victims, const wire::Resources& request,
                             wire::Resources free) {
  std::erase_if(victims, [&](const model::Assignment* victim) {
    auto free_without_victim = free;
    free_without_victim -= victim->request;
    if (!request.fits(free_without_victim)) return false;
    free = free_without_victim;
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
  auto free = machine.available();
  for (const auto& [task, assignment] : machine.assignments) {
    if (spec.request.fits(free)) break;
    const auto victim = jobs_.find(task.job);
    if (victim == jobs_.end() || assignment.team.empty()) continue;
    if (!may_stop(assignment, victim->second, preemptor, now)) continue;
    free += assignment.request;
    victims.push_back(&assignment);
  }
  if (victims.empty() || !spec.request.fits(free)) return std::nullopt;
  remove_unneeded_victims(victims, spec.request, free);
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
  if (checkpoint_grace_s(victim.spec) > preemptor.max_grace_period_s) return false;
  // The task was started ahead of all other batch tasks because its job had waited long. If it were stopped
  // for one of them, it would be started ahead of them again.
  if (assignment.started_for_long_wait && !preemptor.job.is_service()) return false;
  if (dependencies_.effective_priority(victim.spec.id, victim.spec.priority) < preemptor.priority)
    return true;
  if (!preemptor.reclaims_borrowed || assignment.team == preemptor.job.spec.team) return false;
  // A team's services count towards its guarantee first, so only its batch tasks borrow. When services were
  // stopped to reclaim borrowed resources, they were down all day while their team's batch tasks ran on
  // (lakaskalk-grown).
  if (!quota_.is_borrowing(assignment.team, assignment.is_service)) return false;
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
