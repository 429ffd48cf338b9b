#include "gang/gang_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bankhill::gang {

namespace {
// An image takes a third longer than its type's rate says, and several fetched at once share that rate.
constexpr double kFetchSpread = 1.5;
}  // namespace

void GangTracker::clear() {
  jobs_.clear();
  halves_.clear();
  stopping_.clear();
  keeping_.clear();
  leavers_.clear();
  holder_.reset();
  held_last_.reset();
  actions_.clear();
}

void GangTracker::add_job(const wire::JobId& job, std::uint32_t members, std::uint32_t span, double fetch_s) {
  if (span < 2) return;
  Job item;
  item.span = span;
  item.unusable_tasks = members % span;
  item.image_pull_s = fetch_s;
  item.replicas.resize(members / span);
  for (auto& replica : item.replicas) replica.tasks.resize(span);
  for (std::uint32_t number = 0; number < item.replicas.size(); ++number) item.open.insert(number);
  jobs_.insert_or_assign(job, std::move(item));
}

void GangTracker::remove_job(const wire::JobId& job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  for (std::uint32_t number = 0; number < found->second.replicas.size(); ++number) {
    const ReplicaId id{job, number};
    keep(id, found->second.replicas[number], {});
    halves_.erase(id);
    stopping_.erase(id);
    leavers_.erase(id);
    if (holder_ == id) holder_.reset();
    if (held_last_ == id) held_last_.reset();
  }
  jobs_.erase(found);
}

std::uint32_t GangTracker::span(const wire::JobId& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? 1 : found->second.span;
}

std::uint32_t GangTracker::unusable_tasks(const wire::JobId& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? 0 : found->second.unusable_tasks;
}

GangTracker::Replica* GangTracker::find(const ReplicaId& id) {
  const auto job = jobs_.find(id.first);
  if (job == jobs_.end() || id.second >= job->second.replicas.size()) return nullptr;
  return &job->second.replicas[id.second];
}

const GangTracker::Replica* GangTracker::find(const ReplicaId& id) const {
  return const_cast<GangTracker*>(this)->find(id);
}

std::pair<ReplicaId, std::uint32_t> GangTracker::place_of(const wire::TaskId& task_id) const {
  const auto wide = span(task_id.job);
  return {{task_id.job, task_id.index / wide}, task_id.index % wide};
}

// Members that share a machine or stand in several zones, as a version that places them one by one leaves
// them.
bool GangTracker::split(const Replica& replica) {
  std::set<wire::MachineId> machine_ids;
  std::set<std::string> zones;
  for (const auto& member : replica.tasks) {
    if (member.state == State::absent) continue;
    if (!machine_ids.insert(member.placement.machine_id).second) return true;
    zones.insert(member.placement.zone);
  }
  return zones.size() > 1;
}

void GangTracker::enter(const ReplicaId& id, Replica& replica, Phase phase, double now) {
  replica.phase = phase;
  replica.since = now;
  if (phase == Phase::starting)
    halves_.insert(id);
  else
    halves_.erase(id);
  if (phase == Phase::stopping)
    stopping_.insert(id);
  else
    stopping_.erase(id);
  note(id, replica);
}

// Brings the sets that the others are found by up to date.
void GangTracker::note(const ReplicaId& id, const Replica& replica) {
  auto& open = jobs_.at(id.first).open;
  const auto absent = [](const Task& member) { return member.state == State::absent; };
  const bool lacks = std::any_of(replica.tasks.begin(), replica.tasks.end(), absent);
  if (lacks && (replica.phase == Phase::waiting || replica.phase == Phase::starting))
    open.insert(id.second);
  else
    open.erase(id.second);
  const auto leaves = [](const Task& member) { return member.state != State::absent && member.leave; };
  if (replica.phase == Phase::whole &&
      (std::any_of(replica.tasks.begin(), replica.tasks.end(), leaves) || split(replica)))
    leavers_.insert(id);
  else
    leavers_.erase(id);
}

void GangTracker::keep(const ReplicaId& id, Replica& replica, std::vector<Placement> spots) {
  const auto has = [](const std::vector<Placement>& list, const Placement& spot) {
    return std::find(list.begin(), list.end(), spot) != list.end();
  };
  for (const auto& spot : replica.reserved)
    if (!has(spots, spot)) actions_.push_back({Action::Kind::drop, id, 0, spot.machine_id});
  for (const auto& spot : spots)
    if (!has(replica.reserved, spot)) actions_.push_back({Action::Kind::keep, id, 0, spot.machine_id});
  replica.reserved = std::move(spots);
  if (replica.reserved.empty())
    keeping_.erase(id);
  else
    keeping_.insert(id);
}

void GangTracker::leave_hold(const ReplicaId& id, double now) {
  if (holder_ != id) return;
  holder_.reset();
  held_last_ = id;
  held_until_ = now;
}

void GangTracker::order_stops(const ReplicaId& id, Replica& replica, double now) {
  replica.stopped_at = now;
  for (std::uint32_t i = 0; i < replica.tasks.size(); ++i) {
    const auto& member = replica.tasks[i];
    if (member.state == State::absent) continue;
    const auto index = id.second * static_cast<std::uint32_t>(replica.tasks.size()) + i;
    actions_.push_back({Action::Kind::stop, id, index, member.placement.machine_id});
  }
}

// Its members count for nothing alone. Where they are the weights are: that room is kept for it for a while.
void GangTracker::stop(const ReplicaId& id, Replica& replica, bool keep_room, double now) {
  if (replica.phase == Phase::stopping) return;
  std::vector<Placement> spots;
  order_stops(id, replica, now);
  for (const auto& member : replica.tasks) {
    if (member.state == State::absent) continue;
    if (keep_room && !member.leave && !replica.avoid.contains(member.placement.machine_id))
      spots.push_back(member.placement);
  }
  // Places that were found for a move hold what all need.
  if (!replica.on_move) {
    leave_hold(id, now);
    keep(id, replica, std::move(spots));
    replica.reserved_until = now + settings_.wait_s;
  }
  enter(id, replica, Phase::stopping, now);
  settle(id, replica, now);
}

void GangTracker::settle(const ReplicaId& id, Replica& replica, double now) {
  const auto absent = [](const Task& member) { return member.state == State::absent; };
  const auto runs = [](const Task& member) { return member.state == State::running; };
  if (replica.phase == Phase::stopping && std::all_of(replica.tasks.begin(), replica.tasks.end(), absent))
    return enter(id, replica, Phase::waiting, now);
  if (replica.phase == Phase::starting && std::all_of(replica.tasks.begin(), replica.tasks.end(), runs)) {
    replica.avoid.clear();
    replica.hold_s = 0;
    replica.on_move = false;
    leave_hold(id, now);
    keep(id, replica, {});
    return enter(id, replica, Phase::whole, now);
  }
  note(id, replica);
}

void GangTracker::on_task_found(const wire::TaskId& task_id, const Placement& spot, double now) {
  const auto [id, place] = place_of(task_id);
  auto* replica = find(id);
  if (replica == nullptr) return;
  replica->tasks[place] = {State::sent, spot, false, false};
  if (replica->phase == Phase::stopping) {
    actions_.push_back({Action::Kind::stop, id, task_id.index, spot.machine_id});
    return;
  }
  if (replica->phase == Phase::waiting) {
    leave_hold(id, now);
    keep(id, *replica, {});
    replica->on_move = false;
    replica->deadline = -1;
    enter(id, *replica, Phase::starting, now);
  }
  note(id, *replica);
}

void GangTracker::on_task_running(const wire::TaskId& task_id, double now) {
  const auto [id, place] = place_of(task_id);
  auto* replica = find(id);
  if (replica == nullptr || replica->tasks[place].state != State::sent) return;
  replica->tasks[place].state = State::running;
  settle(id, *replica, now);
}

void GangTracker::on_task_ended(const wire::TaskId& task_id, double now) {
  const auto [id, place] = place_of(task_id);
  auto* replica = find(id);
  if (replica == nullptr || replica->tasks[place].state == State::absent) return;
  replica->tasks[place] = {};
  if (replica->phase == Phase::stopping)
    settle(id, *replica, now);
  else
    stop(id, *replica, true, now);
}

void GangTracker::on_task_failing(const wire::TaskId& task_id, double now) {
  const auto [id, place] = place_of(task_id);
  auto* replica = find(id);
  if (replica == nullptr || replica->tasks[place].state == State::absent) return;
  replica->tasks[place].leave = true;
  stop(id, *replica, true, now);
}

void GangTracker::request_move(const wire::TaskId& task_id, bool taken, double now) {
  const auto [id, place] = place_of(task_id);
  auto* replica = find(id);
  if (replica == nullptr || replica->tasks[place].state == State::absent) return;
  auto& there = replica->tasks[place];
  there.leave = true;
  there.taken = there.taken || taken;
  // One that does not serve yet loses nothing.
  if (replica->phase == Phase::starting) return stop(id, *replica, true, now);
  note(id, *replica);
}

void GangTracker::cancel_move_request(const wire::TaskId& task_id) {
  const auto [id, place] = place_of(task_id);
  auto* replica = find(id);
  if (replica == nullptr) return;
  replica->tasks[place].leave = replica->tasks[place].taken = false;
  note(id, *replica);
}

void GangTracker::started(const PlacementRequest& want, const std::vector<Placement>& spots, double now) {
  auto* replica = find(want.id);
  if (replica == nullptr) return;
  const auto wide = static_cast<std::uint32_t>(replica->tasks.size());
  for (std::size_t i = 0; i < want.tasks.size(); ++i)
    replica->tasks[want.tasks[i] % wide] = {State::sent, spots[i], false, false};
  leave_hold(want.id, now);
  keep(want.id, *replica, {});
  replica->on_move = false;
  // One that was found half is completed within the time that began when it was found.
  if (replica->phase != Phase::starting || replica->deadline < 0)
    replica->deadline = now + settings_.wait_s + kFetchSpread * jobs_.at(want.id.first).image_pull_s;
  enter(want.id, *replica, Phase::starting, now);
}

void GangTracker::moving(const ReplicaId& id, const std::vector<Placement>& spots, double now) {
  auto* replica = find(id);
  if (replica == nullptr || replica->phase != Phase::whole) return;
  keep(id, *replica, spots);
  replica->reserved_until = now + settings_.wait_s;
  replica->on_move = true;
  replica->moved_at = now;
  stop(id, *replica, true, now);
}

bool GangTracker::reserve_partial(const ReplicaId& id, const std::vector<Placement>& partial, double now) {
  auto* replica = find(id);
  if (replica == nullptr || replica->phase != Phase::waiting) return false;
  // One at a time: two that each keep a part of what the other lacks would wait for each other.
  const bool its_turn = !holder_ && !(held_last_ == id && now < held_until_ + settings_.wait_s);
  if (holder_ != id && !its_turn) {
    replica->on_move = false;
    keep(id, *replica, {});
    return false;
  }
  if (!holder_) {
    holder_ = id;
    // Longer each time in vain: what it waits for may take long to end.
    replica->hold_s =
        std::clamp(2 * replica->hold_s, settings_.wait_s, settings_.longest_hold * settings_.wait_s);
    replica->reserved_until = now + replica->hold_s;
  }
  replica->on_move = false;
  keep(id, *replica, partial);
  return true;
}

void GangTracker::evict(const ReplicaId& id, double now) {
  auto* replica = find(id);
  if (replica == nullptr || replica->phase == Phase::waiting) return;
  replica->not_before = now + settings_.wait_s;
  stop(id, *replica, false, now);
}

void GangTracker::look(double now) {
  if (holder_) {
    const auto* replica = find(*holder_);
    if (replica == nullptr || now >= replica->reserved_until) leave_hold(ReplicaId(*holder_), now);
  }
  // An order may be lost, and a heartbeat be longer than the peers have.
  for (const auto& id : stopping_)
    if (auto* replica = find(id); now >= replica->stopped_at + settings_.peer_s / 2)
      order_stops(id, *replica, now);
  for (const auto& id : std::set<ReplicaId>(keeping_)) {
    auto* replica = find(id);
    if (replica == nullptr || now < replica->reserved_until) continue;
    replica->on_move = false;
    keep(id, *replica, {});
  }
}

// One that is not whole in time is stopped, and goes where it did not fail to start.
void GangTracker::judge(const ReplicaId& id, double now) {
  auto* replica = find(id);
  if (replica == nullptr || replica->phase != Phase::starting) return;
  // One that was placed member by member and then lost some cannot be completed.
  if (replica->deadline < 0 && split(*replica)) return stop(id, *replica, true, now);
  if (replica->deadline < 0)
    replica->deadline = now + settings_.wait_s + kFetchSpread * jobs_.at(id.first).image_pull_s;
  if (now < replica->deadline) return;
  for (const auto& member : replica->tasks)
    if (member.state == State::sent) replica->avoid.insert(member.placement.machine_id);
  // Where it fails everywhere, nowhere is better than where it was.
  if (replica->avoid.size() > 4 * replica->tasks.size()) replica->avoid.clear();
  stop(id, *replica, true, now);
}

std::vector<PlacementRequest> GangTracker::placement_requests(const wire::JobId& job, std::size_t most,
                                                              double now) const {
  std::vector<PlacementRequest> result;
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return result;
  std::vector<std::pair<std::size_t, std::uint32_t>> order;
  for (const auto number : found->second.open) {
    const auto& replica = found->second.replicas[number];
    if (now < replica.not_before) continue;
    const auto there = std::count_if(replica.tasks.begin(), replica.tasks.end(),
                                     [](const Task& member) { return member.state != State::absent; });
    // One that is half there comes first: its members count for nothing until it is whole.
    order.emplace_back(replica.tasks.size() - static_cast<std::size_t>(there) - replica.reserved.size(),
                       number);
  }
  const auto count = std::min(most, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
  order.resize(count);
  for (const auto& [lacks, number] : order) {
    const auto& replica = found->second.replicas[number];
    PlacementRequest want{{job, number}, {}, replica.reserved, {}, {}, replica.avoid};
    for (std::uint32_t i = 0; i < replica.tasks.size(); ++i) {
      const auto& member = replica.tasks[i];
      if (member.state == State::absent) {
        want.tasks.push_back(number * found->second.span + i);
        continue;
      }
      want.peers.insert(member.placement.machine_id);
      want.zone = member.placement.zone;
    }
    result.push_back(std::move(want));
  }
  return result;
}

std::vector<Move> GangTracker::allowed_moves(double now) const {
  std::vector<Move> result;
  std::map<wire::JobId, std::size_t> chosen;
  for (const auto& id : leavers_) {
    const auto* replica = find(id);
    const auto& job = jobs_.at(id.first);
    const bool taken = std::any_of(replica->tasks.begin(), replica->tasks.end(), [](const Task& member) {
      return member.state != State::absent && member.taken;
    });
    // What the cloud takes ends anyway. All else waits for its turn, and the last whole one stays.
    if (!taken) {
      const auto serving = running_gangs(id.first) - chosen[id.first];
      const auto out = job.replicas.size() - serving;
      const auto most = std::max<std::size_t>(
          1, static_cast<std::size_t>(settings_.moving * static_cast<double>(job.replicas.size())));
      if (now < replica->moved_at + settings_.again_s || out >= most || serving <= 1) continue;
    }
    // Of one that is split those stay that are in the zone of most, on machines of their own.
    std::map<std::string, std::set<wire::MachineId>> machine_ids;
    for (const auto& member : replica->tasks)
      if (!member.leave) machine_ids[member.placement.zone].insert(member.placement.machine_id);
    const auto zone =
        std::max_element(machine_ids.begin(), machine_ids.end(),
                         [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
    Move move{id, {}, {}};
    for (std::uint32_t i = 0; i < replica->tasks.size(); ++i) {
      const auto& member = replica->tasks[i];
      if (!member.leave && zone != machine_ids.end() && member.placement.zone == zone->first &&
          zone->second.erase(member.placement.machine_id) > 0)
        move.staying.push_back(member.placement);
      else
        move.leaving_tasks.push_back(id.second * job.span + i);
    }
    ++chosen[id.first];
    result.push_back(std::move(move));
  }
  return result;
}

bool GangTracker::leaving(const wire::JobId& job) const {
  const auto first = leavers_.lower_bound({job, 0});
  return first != leavers_.end() && first->first == job;
}

std::optional<Phase> GangTracker::phase(const ReplicaId& id) const {
  const auto* replica = find(id);
  if (replica == nullptr) return std::nullopt;
  return replica->phase;
}

std::size_t GangTracker::running_gangs(const wire::JobId& job) const {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(found->second.replicas.begin(), found->second.replicas.end(),
                    [](const Replica& replica) { return replica.phase == Phase::whole; }));
}

}  // namespace bankhill::gang
