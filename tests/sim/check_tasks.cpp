// Rules on where and when tasks run: limits, places, replicas that span machines.
#include <algorithm>

#include "sim/controller.hpp"

namespace bankhill::sim {

using wire::MemberId;

void RuleChecker::check_start(const SimMachine& machine, const MemberId& member, double ordered) {
  count_cancelled_start(world_.jobs().at(member.job.value), ordered);
  // Invariant 4: else a new leader would not know that the task may be here.
  if (!unchecked_records && !world_.recorded(machine.host))
    violate("unrecorded", member.text() + " on " + machine.host);
  const auto& job = world_.jobs().at(member.job.value);
  const auto& spec = job.spec;
  // Invariant 13, and not only that all tasks are complete: that may still lose against a cancellation.
  for (const auto& need : spec.waits_on) {
    const auto record = world_.keys().find(wire::job_key(need));
    const auto& other = world_.jobs().at(need.value);
    if (record == world_.keys().end() || record->second.data["phase"] != "done" ||
        other.completed.size() < other.spec.members || other.told_cancelled > 0)
      violate("too_early", member.text() + " before " + need.value);
  }
  std::map<std::string, double> cores;
  std::string held;
  std::map<std::string, std::uint32_t> zones;
  for (const auto& [host, other] : world_.machines()) {
    for (const auto& [task, state] : other.tasks) {
      if (!other.on(task, world_.now(), world_.settings().lease_s)) continue;
      const auto& its = world_.jobs().at(task.job.value).spec;
      cores[its.owner] += its.need.cores;
      if (its.owner == spec.owner)
        held += " " + task.text() + "@" + host + "=" + std::to_string(its.need.cores);
      if (task.job == member.job) ++zones[other.zone];
      if (task == member && host != machine.host)
        violate("ran_twice", member.text() + " on " + host + " and " + machine.host);
    }
  }
  for (const auto& team : world_.settings().teams)
    if (cores[team.name] > team.limit.cores + 1e-6) violate("quota", team.name + ":" + held);
  check_replica_start(machine, member);
  // Invariant 21: what the next leader would believe.
  const auto bounds = world_.keys().find(wire::kBoundsKey);
  if (const auto term = world_.keys().find(wire::kTermKey);
      bounds != world_.keys().end() && term != world_.keys().end()) {
    const auto record = wire::parse_bounds_record(bounds->second.data);
    if (record.term == wire::count_field(term->second.data, "n"))
      for (const auto& [team, bound] : record.teams)
        if (cores[team] > bound.cores + 1e-6) violate("overshoot", team + ":" + held);
  }
  if (spec.flavors &&
      std::find(spec.flavors->begin(), spec.flavors->end(), machine.flavor) == spec.flavors->end())
    violate("wrong_place", member.text() + " on flavor " + machine.flavor);
  if (spec.rack_room && *spec.rack_room != machine.zone)
    violate("wrong_place", member.text() + " in " + machine.zone);
  if (!spec.reclaimable && machine.spot) violate("wrong_place", member.text() + " on spot");
  if (spec.together && zones.size() > 1) violate("wrong_place", member.text() + " not together");
  if (spec.scatter && zones[machine.zone] > (spec.members + 1) / 2)
    violate("wrong_place", member.text() + " not scattered");
}

// Invariant 32: a replica's members start on machines of their own, in one zone.
void RuleChecker::check_replica_start(const SimMachine& machine, const MemberId& member) {
  const auto wide = world_.span(member);
  // A version that knows no replicas places their members one by one.
  const int leader = world_.leader();
  const auto* controller = leader < 0 ? nullptr : world_.controller(leader);
  if (wide < 2 || (controller != nullptr && !controller->spanning && !split_seen)) return;
  for (const auto& [host, other] : world_.machines())
    for (const auto& [task, state] : other.tasks)
      if (task.job == member.job && task != member && task.index / wide == member.index / wide &&
          other.on(task, world_.now(), world_.settings().lease_s) &&
          (host == machine.host || other.zone != machine.zone))
        violate("split_replica", member.text() + " on " + machine.host + ", " + task.text() + " on " + host);
}

void RuleChecker::check_stop(const SimMachine& machine, const SimTask& state, const MemberId& task) {
  if (state.phase == wire::MemberPhase::running) check_replica_stop(task);
  note_stop(machine, task);
}

// Invariant 33: of a job's replicas that serve, a part at most is stopped to go elsewhere, never the last.
void RuleChecker::check_replica_stop(const MemberId& member) {
  const auto wide = world_.span(member);
  if (wide < 2 || !moves_checked || world_.cancel_asked(world_.jobs().at(member.job.value))) return;
  const Replica id{member.job.value, member.index / wide};
  if (!world_.whole(id.first, id.second)) return;  // repaired, or its next member
  for (const auto& [host, machine] : world_.machines())
    for (const auto& [task, state] : machine.tasks)
      if (task.job == member.job && task.index / wide == id.second &&
          (machine.taken_at > 0 || world_.now() < machine.hung_until || machine.sick))
        return;
  on_move_.insert(id);
  const auto all = world_.jobs().at(id.first).spec.members / wide;
  const auto moving = std::count_if(on_move_.begin(), on_move_.end(),
                                    [&](const Replica& other) { return other.first == id.first; });
  if (moving > std::max(1, static_cast<int>(all / 4)) || world_.whole(id.first) <= 1)
    violate("too_many_moving", member.text() + ", " + std::to_string(moving) + " of " + std::to_string(all));
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
