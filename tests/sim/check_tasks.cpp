// Rules on where and when tasks run: limits, places, replicas that span machines.
#include <fmt/format.h>

#include <algorithm>

#include "sim/controller.hpp"

namespace bankhill::sim {

using wire::TaskId;

void RuleChecker::check_start(const SimMachine& machine, const TaskId& task_id, double ordered) {
  count_cancelled_start(world_.jobs().at(task_id.job.value), ordered);
  // Invariant 4: else a new leader would not know that the task may be here.
  if (!unchecked_records && !world_.recorded(machine.id))
    violate("unrecorded", task_id.text() + " on " + machine.id);
  const auto& job = world_.jobs().at(task_id.job.value);
  const auto& spec = job.spec;
  // Invariant 13, and not only that all tasks are complete: that may still lose against a cancellation.
  for (const auto& need : spec.depends_on) {
    const auto record = world_.keys().find(wire::job_key(need));
    const auto& other = world_.jobs().at(need.value);
    if (record == world_.keys().end() || record->second.data["phase"] != "done" ||
        other.completed.size() < other.spec.task_count || other.told_cancelled > 0)
      violate("too_early", task_id.text() + " before " + need.value);
  }
  std::map<std::string, double> cores;
  std::string held;
  std::map<std::string, std::uint32_t> zones;
  for (const auto& [host, other] : world_.machines()) {
    for (const auto& [task, state] : other.tasks) {
      if (!other.on(task, world_.now(), world_.settings().lease_s)) continue;
      const auto& its = world_.jobs().at(task.job.value).spec;
      cores[its.team] += its.request.cores;
      if (its.team == spec.team) held += fmt::format(" {}@{}={:f}", task.text(), host, its.request.cores);
      if (task.job == task_id.job) ++zones[other.zone];
      if (task == task_id && host != machine.id)
        violate("ran_twice", task_id.text() + " on " + host + " and " + machine.id);
    }
  }
  for (const auto& team : world_.settings().teams)
    if (cores[team.name] > team.limit.cores + 1e-6) violate("quota", team.name + ":" + held);
  check_replica_start(machine, task_id);
  // Invariant 21: what the next leader would believe.
  const auto bounds = world_.keys().find(wire::kQuotaKey);
  if (const auto term = world_.keys().find(wire::kTermKey);
      bounds != world_.keys().end() && term != world_.keys().end()) {
    const auto record = wire::parse_quota_record(bounds->second.data);
    if (record.term == wire::count_field(term->second.data, "n"))
      for (const auto& [team, bound] : record.teams)
        if (cores[team] > bound.cores + 1e-6) violate("overshoot", team + ":" + held);
  }
  if (spec.machine_types && std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                      machine.machine_type) == spec.machine_types->end())
    violate("wrong_place", task_id.text() + " on flavor " + machine.machine_type);
  if (spec.zone && *spec.zone != machine.zone) violate("wrong_place", task_id.text() + " in " + machine.zone);
  if (!spec.allows_preemptible && machine.spot) violate("wrong_place", task_id.text() + " on spot");
  if (spec.zone_affinity && zones.size() > 1) violate("wrong_place", task_id.text() + " not together");
  if (spec.zone_spread && zones[machine.zone] > (spec.task_count + 1) / 2)
    violate("wrong_place", task_id.text() + " not scattered");
}

// Invariant 32: a replica's members start on machines of their own, in one zone.
void RuleChecker::check_replica_start(const SimMachine& machine, const TaskId& task_id) {
  const auto wide = world_.span(task_id);
  // A version that knows no replicas places their members one by one.
  const int leader = world_.leader();
  const auto* controller = leader < 0 ? nullptr : world_.controller(leader);
  if (wide < 2 || (controller != nullptr && !controller->spanning && !split_seen)) return;
  for (const auto& [host, other] : world_.machines())
    for (const auto& [task, state] : other.tasks)
      if (task.job == task_id.job && task != task_id && task.index / wide == task_id.index / wide &&
          other.on(task, world_.now(), world_.settings().lease_s) &&
          (host == machine.id || other.zone != machine.zone))
        violate("split_replica", task_id.text() + " on " + machine.id + ", " + task.text() + " on " + host);
}

void RuleChecker::check_stop(const SimMachine& machine, const SimTask& state, const TaskId& task) {
  if (state.state == wire::TaskState::running) check_replica_stop(task);
  note_stop(machine, task);
}

// Invariant 33: of a job's replicas that serve, a part at most is stopped to go elsewhere, never the last.
void RuleChecker::check_replica_stop(const TaskId& task_id) {
  const auto wide = world_.span(task_id);
  if (wide < 2 || !moves_checked || world_.cancel_asked(world_.jobs().at(task_id.job.value))) return;
  const Replica id{task_id.job.value, task_id.index / wide};
  if (!world_.whole(id.first, id.second)) return;  // repaired, or its next member
  for (const auto& [host, machine] : world_.machines())
    for (const auto& [task, state] : machine.tasks)
      if (task.job == task_id.job && task.index / wide == id.second &&
          (machine.preempted_at > 0 || world_.now() < machine.hung_until || machine.unhealthy))
        return;
  on_move_.insert(id);
  const auto all = world_.jobs().at(id.first).spec.task_count / wide;
  const auto moving = std::count_if(on_move_.begin(), on_move_.end(),
                                    [&](const Replica& other) { return other.first == id.first; });
  if (moving > std::max(1, static_cast<int>(all / 4)) || world_.whole(id.first) <= 1)
    violate("too_many_moving", task_id.text() + ", " + std::to_string(moving) + " of " + std::to_string(all));
}

// Invariant 32: members that run while a peer does not count for nothing, and are stopped in time.
void RuleChecker::check_replicas() {
  if (world_.spans.empty() || world_.now() < next_replica_check_) return;
  next_replica_check_ = world_.now() + 0.5;
  std::map<Replica, std::set<std::uint32_t>> there;
  for (const auto& [host, machine] : world_.machines())
    for (const auto& [task, state] : machine.tasks)
      if (world_.span(task) > 1 && machine.on(task, world_.now(), world_.settings().lease_s))
        there[{task.job.value, task.index / world_.span(task)}].insert(task.index);
  std::erase_if(half_since_, [&](const auto& entry) { return !there.contains(entry.first); });
  for (const auto& [id, members] : there) {
    const auto& job = world_.jobs().at(id.first);
    if (members.size() == world_.span({wire::JobId{id.first}, 0})) {
      half_since_.erase(id);
      on_move_.erase(id);
      continue;
    }
    // Without a leader nobody can know of it.
    if (world_.leaders() != 1 || world_.cancel_asked(job)) {
      half_since_.erase(id);
      continue;
    }
    const auto since = half_since_.emplace(id, world_.now()).first->second;
    if (half_limit_s > 0 && world_.now() - since > half_limit_s) {
      violate("half_replica", id.first + " replica " + std::to_string(id.second) + ", " +
                                  std::to_string(members.size()) + " there");
      half_since_[id] = world_.now();
    }
  }
}

}  // namespace bankhill::sim
