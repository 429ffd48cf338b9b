// Rules on where and when tasks run: limits, places, replicas that span machines.
#include <algorithm>

#include "sim/controller.hpp"

namespace bankhill::sim {

using wire::MemberId;

void World::check_start(const SimMachine& machine, const MemberId& member) {
  // Invariant 4: else a new leader would not know that the task may be here.
  if (!unchecked_records && !recorded(machine.host))
    violate("unrecorded", member.text() + " on " + machine.host);
  const auto& job = jobs_.at(member.job.value);
  const auto& spec = job.spec;
  // Invariant 13, and not only that all tasks are complete: that may still lose against a cancellation.
  for (const auto& need : spec.waits_on) {
    const auto record = keys_.find(wire::job_key(need));
    const auto& other = jobs_.at(need.value);
    if (record == keys_.end() || record->second.data["phase"] != "done" ||
        other.completed.size() < other.spec.members || other.told_cancelled > 0)
      violate("too_early", member.text() + " before " + need.value);
  }
  std::map<std::string, double> cores;
  std::string held;
  std::map<std::string, std::uint32_t> zones;
  for (const auto& [host, other] : machines_) {
    for (const auto& [task, state] : other.tasks) {
      if (!other.on(task, now_, settings_.lease_s)) continue;
      const auto& its = jobs_.at(task.job.value).spec;
      cores[its.owner] += its.need.cores;
      if (its.owner == spec.owner)
        held += " " + task.text() + "@" + host + "=" + std::to_string(its.need.cores);
      if (task.job == member.job) ++zones[other.zone];
      if (task == member && host != machine.host)
        violate("ran_twice", member.text() + " on " + host + " and " + machine.host);
    }
  }
  for (const auto& team : settings_.teams)
    if (cores[team.name] > team.limit.cores + 1e-6) violate("quota", team.name + ":" + held);
  check_replica_start(machine, member);
  // Invariant 21: what the next leader would believe.
  const auto bounds = keys_.find(wire::kBoundsKey);
  if (const auto term = keys_.find(wire::kTermKey); bounds != keys_.end() && term != keys_.end()) {
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

std::uint32_t World::span(const MemberId& member) const {
  const auto job = jobs_.find(member.job.value);
  if (job == jobs_.end() || job->second.spec.shape != wire::Shape::daemon) return 1;
  const auto found = spans.find(job->second.spec.queue);
  return found == spans.end() ? 1 : found->second;
}

bool World::whole(const std::string& uid, std::uint32_t replica) const {
  const auto wide = span({wire::JobId{uid}, 0});
  for (std::uint32_t i = replica * wide; i < (replica + 1) * wide; ++i)
    if (std::none_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
          return entry.second.on({wire::JobId{uid}, i}, now_, settings_.lease_s);
        }))
      return false;
  return true;
}

std::uint32_t World::whole(const std::string& uid) const {
  const MemberId first{wire::JobId{uid}, 0};
  std::uint32_t count = 0;
  for (std::uint32_t i = 0; i < jobs_.at(uid).spec.members / span(first); ++i) count += whole(uid, i) ? 1 : 0;
  return count;
}

// Invariant 32: a replica's members start on machines of their own, in one zone.
void World::check_replica_start(const SimMachine& machine, const MemberId& member) {
  const auto wide = span(member);
  // A version that knows no replicas places their members one by one.
  const int ruler = leader();
  if (wide < 2 || (ruler >= 0 && !nodes_[static_cast<std::size_t>(ruler)]->spanning && !split_seen)) return;
  for (const auto& [host, other] : machines_)
    for (const auto& [task, state] : other.tasks)
      if (task.job == member.job && task != member && task.index / wide == member.index / wide &&
          other.on(task, now_, settings_.lease_s) && (host == machine.host || other.zone != machine.zone))
        violate("split_replica", member.text() + " on " + machine.host + ", " + task.text() + " on " + host);
}

// Invariant 33: of a job's replicas that serve, a part at most is stopped to go elsewhere, never the last.
void World::check_replica_stop(const MemberId& member) {
  const auto wide = span(member);
  if (wide < 2 || !moves_checked || cancel_asked(jobs_.at(member.job.value))) return;
  const Replica id{member.job.value, member.index / wide};
  if (!whole(id.first, id.second)) return;  // repaired, or its next member
  for (const auto& [host, machine] : machines_)
    for (const auto& [task, state] : machine.tasks)
      if (task.job == member.job && task.index / wide == id.second &&
          (machine.taken_at > 0 || now_ < machine.hung_until || machine.sick))
        return;
  on_move_.insert(id);
  const auto all = jobs_.at(id.first).spec.members / wide;
  const auto moving = std::count_if(on_move_.begin(), on_move_.end(),
                                    [&](const Replica& other) { return other.first == id.first; });
  if (moving > std::max(1, static_cast<int>(all / 4)) || whole(id.first) <= 1)
    violate("too_many_moving", member.text() + ", " + std::to_string(moving) + " of " + std::to_string(all));
}

// Invariant 32: members that run while a peer does not count for nothing, and are stopped in time.
void World::check_replicas() {
  if (spans.empty() || now_ < next_replica_check_) return;
  next_replica_check_ = now_ + 0.5;
  std::map<Replica, std::set<std::uint32_t>> there;
  for (const auto& [host, machine] : machines_)
    for (const auto& [task, state] : machine.tasks)
      if (span(task) > 1 && machine.on(task, now_, settings_.lease_s))
        there[{task.job.value, task.index / span(task)}].insert(task.index);
  std::erase_if(half_since_, [&](const auto& entry) { return !there.contains(entry.first); });
  for (const auto& [id, members] : there) {
    const auto& job = jobs_.at(id.first);
    if (members.size() == span({wire::JobId{id.first}, 0})) {
      half_since_.erase(id);
      on_move_.erase(id);
      continue;
    }
    // Without a leader nobody can know of it.
    if (leaders() != 1 || cancel_asked(job)) {
      half_since_.erase(id);
      continue;
    }
    const auto since = half_since_.emplace(id, now_).first->second;
    if (half_limit_s > 0 && now_ - since > half_limit_s) {
      violate("half_replica", id.first + " replica " + std::to_string(id.second) + ", " +
                                  std::to_string(members.size()) + " there");
      half_since_[id] = now_;
    }
  }
}

}  // namespace bankhill::sim
