// Rules on what users get: who is served, who waits beside room, and what is stopped in vain.
#include <algorithm>

#include "sim/simulated_cluster.hpp"
#include "sim/site.hpp"

namespace bankhill::sim {

using wire::TaskId;
using wire::TaskState;

namespace {
constexpr double kStrandedS = 90;    // the operators' rule
constexpr double kStrandedLook = 1;  // seconds between two looks for it
}  // namespace

void RuleChecker::check_served(double begin_within_s, double share) {
  struct Count {
    double came = 0;
    double served = 0;
  };
  std::map<std::string, Count> counts;
  std::map<std::string, std::vector<const SimJob*>> classes;
  for (const auto& [job_id, job] : world_.jobs()) {
    if (job.broken || world_.cancel_asked(job)) continue;
    const bool served = job.spec.kind == wire::JobKind::array ? job.told_done : job.begun > 0;
    for (const auto& group : {"class " + job.spec.job_class, "team " + job.spec.team}) {
      ++counts[group].came;
      counts[group].served += served ? 1 : 0;
    }
    if (job.spec.kind == wire::JobKind::array) classes[job.spec.job_class].push_back(&job);
  }
  for (auto& [name, members] : classes) {
    std::sort(members.begin(), members.end(),
              [](const SimJob* a, const SimJob* b) { return a->spec.task_count > b->spec.task_count; });
    const auto median = members[members.size() / 2]->spec.task_count;
    members.resize((members.size() + 9) / 10);
    for (const auto* job : members) {
      if (job->spec.task_count <= median) continue;
      auto& count = counts["largest of " + name];
      ++count.came;
      count.served += job->told_done ? 1 : 0;
      if (job->begun > 0 ? job->begun - job->created > begin_within_s
                         : world_.now() - job->created > begin_within_s)
        violate("unserved", job->spec.id.value + ", of the largest of " + name + ", began after " +
                                (job->begun > 0 ? std::to_string(job->begun - job->created) : "never"));
    }
  }
  for (const auto& [group, count] : counts)
    if (count.served < share * count.came)
      violate("unserved", group + ": " + std::to_string(count.served) + " of " + std::to_string(count.came));
}

// Whether a machine that is well and that the job may use has room for one more of its tasks.
bool RuleChecker::room_beside(const SimJob& job, const std::map<std::string, double>& team_cores) const {
  const auto& spec = job.spec;
  const auto team = std::find_if(world_.settings().teams.begin(), world_.settings().teams.end(),
                                 [&](const auto& each) { return each.name == spec.team; });
  const auto used = team_cores.find(spec.team);
  if (team == world_.settings().teams.end() ||
      (used == team_cores.end() ? 0 : used->second) + spec.request.cores > team->limit.cores + 1e-6)
    return false;
  std::map<std::string, std::uint32_t> zones;
  if (spec.zone_affinity || spec.zone_spread)
    for (const auto& [host, machine] : world_.machines())
      for (const auto& [task_id, task] : machine.tasks)
        if (task_id.job == spec.id && task.state != TaskState::exited) ++zones[machine.zone];
  return std::any_of(world_.machines().begin(), world_.machines().end(), [&](const auto& entry) {
    const auto& machine = entry.second;
    if (!machine.up || machine.dead || machine.unhealthy || machine.preempted_at > 0) return false;
    if (spec.zone && *spec.zone != machine.zone) return false;
    if (machine.spot && !spec.allows_preemptible) return false;
    if (spec.machine_types && std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                        machine.machine_type) == spec.machine_types->end())
      return false;
    const auto here = zones.contains(machine.zone) ? zones.at(machine.zone) : 0U;
    if (spec.zone_affinity && !zones.empty() && here == 0) return false;
    if (spec.zone_spread && here >= (spec.task_count + 1) / 2) return false;
    wire::Resources want = spec.request;
    for (const auto& [member, task] : machine.tasks)
      if (task.state != TaskState::exited) want += world_.jobs().at(member.job.value).spec.request;
    return want.fits(machine_resources(machine.machine_type));
  });
}

// The operators' rule: all troubles over, no job waits beside room that it may use. Counted from the world's
// machines, whatever the leader makes of them. Of replicas that span machines it knows nothing.
void RuleChecker::check_stranded() {
  if (world_.now() < next_stranded_check_) return;
  next_stranded_check_ = world_.now() + kStrandedLook;
  if (world_.disturbed()) world_.note_disturbed(world_.now());
  // A machine that died or that tasks fail on may be there for good: it is the moment that counts.
  for (const auto& [host, machine] : world_.machines())
    if ((machine.dead || machine.unhealthy) && failed_machines_.insert(host).second)
      world_.note_disturbed(world_.now());
  if (world_.now() < world_.disturbed_at() + kStrandedLook) return beside_room_.clear();
  std::map<std::string, double> team_cores;
  std::map<std::string, std::uint32_t> on_machines;  // by job: tasks that are neither over nor waiting
  for (const auto& [host, machine] : world_.machines())
    for (const auto& [task_id, task] : machine.tasks) {
      const auto& job = world_.jobs().at(task_id.job.value);
      if (task.state == TaskState::exited) continue;
      team_cores[job.spec.team] += job.spec.request.cores;
      if (!job.completed.contains(task_id.index)) ++on_machines[task_id.job.value];
    }
  for (const auto& [job_id, job] : world_.jobs()) {
    const bool open = job.accepted && !job.told_done && job.told_cancelled == 0 && !job.broken &&
                      world_.span({job.spec.id, 0}) == 1 && !world_.cancel_asked(job);
    const auto there = on_machines.contains(job_id) ? on_machines.at(job_id) : 0U;
    const bool waits =
        open && job.completed.size() + there < job.spec.task_count &&
        std::all_of(job.spec.depends_on.begin(), job.spec.depends_on.end(), [this](const wire::JobId& need) {
          const auto record = world_.keys().find(wire::job_key(need));
          return record != world_.keys().end() && record->second.data.is_object() &&
                 record->second.data["phase"] == "done";
        });
    if (!waits || !room_beside(job, team_cores)) {
      beside_room_.erase(job_id);
      continue;
    }
    auto& waiting = beside_room_.try_emplace(job_id, Wait{world_.now(), job.starts}).first->second;
    if (waiting.starts != job.starts) waiting = {world_.now(), job.starts};
    waited_most_s = std::max(waited_most_s, world_.now() - waiting.since);
    if (world_.now() - waiting.since <= kStrandedS) continue;
    violate("stranded", job_id + ": " + std::to_string(job.completed.size()) + " done and " +
                            std::to_string(there) + " on machines of " + std::to_string(job.spec.task_count));
    beside_room_.erase(job_id);
  }
}

void RuleChecker::note_stop(const SimMachine& machine, const TaskId& task_id) {
  const auto job = world_.jobs().find(task_id.job.value);
  if (job == world_.jobs().end() || world_.cancel_asked(job->second) ||
      job->second.completed.contains(task_id.index))
    return;
  // Not where the task runs elsewhere too, or goes with its machine.
  if (machine.preempted_at > 0 || machine.unhealthy || world_.span(task_id) > 1) return;
  ++made_room;
  world_.log()->debug("{} is stopped on {}", task_id.text(), machine.id);
  room_made_.push_back({machine.id, task_id, world_.now()});
}

void RuleChecker::note_room_used(const SimMachine& machine, const TaskId& task_id) {
  const auto& spec = world_.jobs().at(task_id.job.value).spec;
  const auto kind = spec.job_class + "/" + std::to_string(static_cast<int>(spec.priority));
  std::erase_if(room_made_, [&](const RoomMade& made) {
    // What does not rank above it takes no room that was made: it finds some beside.
    if (made.host != machine.id || spec.priority <= world_.jobs().at(made.member.job.value).spec.priority)
      return false;
    const auto [last, first] = made_room_for_.try_emplace(made.member, kind);
    if (!first && last->second == kind) {
      ++made_room_again;
      world_.log()->debug("{} made room for {} again", made.member.text(), kind);
    }
    last->second = kind;
    return true;
  });
}

void RuleChecker::check_room_made() {
  for (; !room_made_.empty() && world_.now() - room_made_.front().at > room_used_within_s;
       room_made_.pop_front()) {
    ++made_room_in_vain;
    world_.log()->debug("{} was stopped on {} in vain", room_made_.front().member.text(),
                        room_made_.front().host);
  }
}

}  // namespace bankhill::sim
