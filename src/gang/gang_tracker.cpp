#include "gang/gang_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bankhill::gang {

namespace {
// Margin on the expected time of an image pull: a pull takes a third longer than the machine type's rate
// suggests, and images that are pulled at the same time share that rate.
constexpr double kImagePullMargin = 1.5;
}  // namespace

void GangTracker::clear() {
  jobs_.clear();
  starting_.clear();
  stopping_.clear();
  reserving_.clear();
  needing_move_.clear();
  partial_holder_.reset();
  last_partial_holder_.reset();
  actions_.clear();
}

void GangTracker::add_job(const wire::JobId& job, std::uint32_t task_count, std::uint32_t span,
                          double image_pull_s) {
  if (span < 2) return;
  Job entry;
  entry.span = span;
  entry.unusable_tasks = task_count % span;
  entry.image_pull_s = image_pull_s;
  entry.gangs.resize(task_count / span);
  for (auto& gang : entry.gangs) gang.tasks.resize(span);
  for (std::uint32_t number = 0; number < entry.gangs.size(); ++number) entry.placeable_gangs.insert(number);
  jobs_.insert_or_assign(job, std::move(entry));
}

void GangTracker::remove_job(const wire::JobId& job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  for (std::uint32_t number = 0; number < found->second.gangs.size(); ++number) {
    const GangId id{job, number};
    set_reservations(id, found->second.gangs[number], {});
    starting_.erase(id);
    stopping_.erase(id);
    needing_move_.erase(id);
    if (partial_holder_ == id) partial_holder_.reset();
    if (last_partial_holder_ == id) last_partial_holder_.reset();
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

GangTracker::Gang* GangTracker::find(const GangId& id) {
  const auto job = jobs_.find(id.first);
  if (job == jobs_.end() || id.second >= job->second.gangs.size()) return nullptr;
  return &job->second.gangs[id.second];
}

const GangTracker::Gang* GangTracker::find(const GangId& id) const {
  return const_cast<GangTracker*>(this)->find(id);
}

std::pair<GangId, std::uint32_t> GangTracker::locate(const wire::TaskId& task_id) const {
  const auto tasks_per_gang = span(task_id.job);
  return {{task_id.job, task_id.index / tasks_per_gang}, task_id.index % tasks_per_gang};
}

// Whether tasks of the gang share a machine or are in several zones. This occurs when a version without gang
// scheduling has placed the tasks one by one.
bool GangTracker::is_split(const Gang& gang) {
  std::set<wire::MachineId> machine_ids;
  std::set<std::string> zones;
  for (const auto& task : gang.tasks) {
    if (task.state == State::unassigned) continue;
    if (!machine_ids.insert(task.placement.machine_id).second) return true;
    zones.insert(task.placement.zone);
  }
  return zones.size() > 1;
}

void GangTracker::enter_phase(const GangId& id, Gang& gang, Phase phase, double now) {
  gang.phase = phase;
  gang.phase_started_at = now;
  if (phase == Phase::starting)
    starting_.insert(id);
  else
    starting_.erase(id);
  if (phase == Phase::stopping)
    stopping_.insert(id);
  else
    stopping_.erase(id);
  update_indexes(id, gang);
}

// Updates the sets by which gangs with tasks to place and gangs that have to be moved are found.
void GangTracker::update_indexes(const GangId& id, const Gang& gang) {
  auto& placeable_gangs = jobs_.at(id.first).placeable_gangs;
  const auto is_unassigned = [](const Task& task) { return task.state == State::unassigned; };
  const bool has_unassigned = std::any_of(gang.tasks.begin(), gang.tasks.end(), is_unassigned);
  if (has_unassigned && (gang.phase == Phase::waiting || gang.phase == Phase::starting))
    placeable_gangs.insert(id.second);
  else
    placeable_gangs.erase(id.second);
  const auto must_leave = [](const Task& task) { return task.state != State::unassigned && task.must_leave; };
  if (gang.phase == Phase::running &&
      (std::any_of(gang.tasks.begin(), gang.tasks.end(), must_leave) || is_split(gang)))
    needing_move_.insert(id);
  else
    needing_move_.erase(id);
}

void GangTracker::set_reservations(const GangId& id, Gang& gang, std::vector<Placement> placements) {
  const auto contains = [](const std::vector<Placement>& list, const Placement& placement) {
    return std::find(list.begin(), list.end(), placement) != list.end();
  };
  for (const auto& placement : gang.reserved)
    if (!contains(placements, placement))
      actions_.push_back({Action::Kind::release, id, 0, placement.machine_id});
  for (const auto& placement : placements)
    if (!contains(gang.reserved, placement))
      actions_.push_back({Action::Kind::reserve, id, 0, placement.machine_id});
  gang.reserved = std::move(placements);
  if (gang.reserved.empty())
    reserving_.erase(id);
  else
    reserving_.insert(id);
}

void GangTracker::end_partial_hold(const GangId& id, double now) {
  if (partial_holder_ != id) return;
  partial_holder_.reset();
  last_partial_holder_ = id;
  last_partial_hold_ended_at_ = now;
}

void GangTracker::issue_stops(const GangId& id, Gang& gang, double now) {
  gang.stops_issued_at = now;
  for (std::uint32_t i = 0; i < gang.tasks.size(); ++i) {
    const auto& task = gang.tasks[i];
    if (task.state == State::unassigned) continue;
    const auto index = id.second * static_cast<std::uint32_t>(gang.tasks.size()) + i;
    actions_.push_back({Action::Kind::stop, id, index, task.placement.machine_id});
  }
}

// Stops all tasks, because a part of a gang can't serve. With `keep_placements` the resources of the tasks
// stay reserved for the gang for a while: their machines already hold the image.
void GangTracker::stop_gang(const GangId& id, Gang& gang, bool keep_placements, double now) {
  if (gang.phase == Phase::stopping) return;
  std::vector<Placement> placements;
  issue_stops(id, gang, now);
  for (const auto& task : gang.tasks) {
    if (task.state == State::unassigned) continue;
    if (keep_placements && !task.must_leave && !gang.excluded_machines.contains(task.placement.machine_id))
      placements.push_back(task.placement);
  }
  // A gang that is moving already has reservations for all of its tasks.
  if (!gang.is_moving) {
    end_partial_hold(id, now);
    set_reservations(id, gang, std::move(placements));
    gang.reserved_until = now + settings_.start_timeout_s;
  }
  enter_phase(id, gang, Phase::stopping, now);
  update_phase(id, gang, now);
}

void GangTracker::update_phase(const GangId& id, Gang& gang, double now) {
  const auto is_unassigned = [](const Task& task) { return task.state == State::unassigned; };
  const auto is_running = [](const Task& task) { return task.state == State::running; };
  if (gang.phase == Phase::stopping && std::all_of(gang.tasks.begin(), gang.tasks.end(), is_unassigned))
    return enter_phase(id, gang, Phase::waiting, now);
  if (gang.phase == Phase::starting && std::all_of(gang.tasks.begin(), gang.tasks.end(), is_running)) {
    gang.excluded_machines.clear();
    gang.hold_s = 0;
    gang.is_moving = false;
    end_partial_hold(id, now);
    set_reservations(id, gang, {});
    return enter_phase(id, gang, Phase::running, now);
  }
  update_indexes(id, gang);
}

void GangTracker::on_task_found(const wire::TaskId& task_id, const Placement& placement, double now) {
  const auto [id, position] = locate(task_id);
  auto* gang = find(id);
  if (gang == nullptr) return;
  gang->tasks[position] = {State::starting, placement, false, false};
  if (gang->phase == Phase::stopping) {
    actions_.push_back({Action::Kind::stop, id, task_id.index, placement.machine_id});
    return;
  }
  if (gang->phase == Phase::waiting) {
    end_partial_hold(id, now);
    set_reservations(id, *gang, {});
    gang->is_moving = false;
    gang->start_deadline = -1;
    enter_phase(id, *gang, Phase::starting, now);
  }
  update_indexes(id, *gang);
}

void GangTracker::on_task_running(const wire::TaskId& task_id, double now) {
  const auto [id, position] = locate(task_id);
  auto* gang = find(id);
  if (gang == nullptr || gang->tasks[position].state != State::starting) return;
  gang->tasks[position].state = State::running;
  update_phase(id, *gang, now);
}

void GangTracker::on_task_ended(const wire::TaskId& task_id, double now) {
  const auto [id, position] = locate(task_id);
  auto* gang = find(id);
  if (gang == nullptr || gang->tasks[position].state == State::unassigned) return;
  gang->tasks[position] = {};
  if (gang->phase == Phase::stopping)
    update_phase(id, *gang, now);
  else
    stop_gang(id, *gang, true, now);
}

void GangTracker::on_task_failing(const wire::TaskId& task_id, double now) {
  const auto [id, position] = locate(task_id);
  auto* gang = find(id);
  if (gang == nullptr || gang->tasks[position].state == State::unassigned) return;
  gang->tasks[position].must_leave = true;
  stop_gang(id, *gang, true, now);
}

void GangTracker::request_move(const wire::TaskId& task_id, bool preempted, double now) {
  const auto [id, position] = locate(task_id);
  auto* gang = find(id);
  if (gang == nullptr || gang->tasks[position].state == State::unassigned) return;
  auto& task = gang->tasks[position];
  task.must_leave = true;
  task.preempted = task.preempted || preempted;
  // A gang that is still starting does not serve yet, so it is stopped at once.
  if (gang->phase == Phase::starting) return stop_gang(id, *gang, true, now);
  update_indexes(id, *gang);
}

void GangTracker::cancel_move_request(const wire::TaskId& task_id) {
  const auto [id, position] = locate(task_id);
  auto* gang = find(id);
  if (gang == nullptr) return;
  gang->tasks[position].must_leave = gang->tasks[position].preempted = false;
  update_indexes(id, *gang);
}

void GangTracker::on_gang_placed(const PlacementRequest& request, const std::vector<Placement>& placements,
                                 double now) {
  auto* gang = find(request.id);
  if (gang == nullptr) return;
  const auto tasks_per_gang = static_cast<std::uint32_t>(gang->tasks.size());
  for (std::size_t i = 0; i < request.tasks.size(); ++i)
    gang->tasks[request.tasks[i] % tasks_per_gang] = {State::starting, placements[i], false, false};
  end_partial_hold(request.id, now);
  set_reservations(request.id, *gang, {});
  gang->is_moving = false;
  // A partly running gang from an earlier term keeps the deadline that was set after it was found.
  if (gang->phase != Phase::starting || gang->start_deadline < 0)
    gang->start_deadline =
        now + settings_.start_timeout_s + kImagePullMargin * jobs_.at(request.id.first).image_pull_s;
  enter_phase(request.id, *gang, Phase::starting, now);
}

void GangTracker::begin_move(const GangId& id, const std::vector<Placement>& placements, double now) {
  auto* gang = find(id);
  if (gang == nullptr || gang->phase != Phase::running) return;
  set_reservations(id, *gang, placements);
  gang->reserved_until = now + settings_.start_timeout_s;
  gang->is_moving = true;
  gang->last_moved_at = now;
  stop_gang(id, *gang, true, now);
}

bool GangTracker::reserve_partial(const GangId& id, const std::vector<Placement>& partial, double now) {
  auto* gang = find(id);
  if (gang == nullptr || gang->phase != Phase::waiting) return false;
  // Only one gang may hold a partial reservation: two gangs that each reserve a part of what the other one
  // needs would wait for each other.
  const bool may_hold = !partial_holder_ && !(last_partial_holder_ == id &&
                                              now < last_partial_hold_ended_at_ + settings_.start_timeout_s);
  if (partial_holder_ != id && !may_hold) {
    gang->is_moving = false;
    set_reservations(id, *gang, {});
    return false;
  }
  if (!partial_holder_) {
    partial_holder_ = id;
    // The reservation lasts longer each time: the tasks that occupy the machines may run for long.
    gang->hold_s = std::clamp(2 * gang->hold_s, settings_.start_timeout_s,
                              settings_.max_hold_factor * settings_.start_timeout_s);
    gang->reserved_until = now + gang->hold_s;
  }
  gang->is_moving = false;
  set_reservations(id, *gang, partial);
  return true;
}

void GangTracker::evict(const GangId& id, double now) {
  auto* gang = find(id);
  if (gang == nullptr || gang->phase == Phase::waiting) return;
  gang->not_before = now + settings_.start_timeout_s;
  stop_gang(id, *gang, false, now);
}

void GangTracker::process_timeouts(double now) {
  if (partial_holder_) {
    const auto* gang = find(*partial_holder_);
    if (gang == nullptr || now >= gang->reserved_until) end_partial_hold(GangId(*partial_holder_), now);
  }
  // Stop commands are repeated because one may be lost, and the next heartbeat may come after the time within
  // which the peers must stop.
  for (const auto& id : stopping_)
    if (auto* gang = find(id); now >= gang->stops_issued_at + settings_.peer_stop_timeout_s / 2)
      issue_stops(id, *gang, now);
  for (const auto& id : std::set<GangId>(reserving_)) {
    auto* gang = find(id);
    if (gang == nullptr || now < gang->reserved_until) continue;
    gang->is_moving = false;
    set_reservations(id, *gang, {});
  }
}

// Stops a gang whose tasks do not all run in time, and excludes the machines on which a task did not start.
void GangTracker::check_start_deadline(const GangId& id, double now) {
  auto* gang = find(id);
  if (gang == nullptr || gang->phase != Phase::starting) return;
  // A gang whose tasks were placed one by one and which has lost some of them can't be completed.
  if (gang->start_deadline < 0 && is_split(*gang)) return stop_gang(id, *gang, true, now);
  if (gang->start_deadline < 0)
    gang->start_deadline =
        now + settings_.start_timeout_s + kImagePullMargin * jobs_.at(id.first).image_pull_s;
  if (now < gang->start_deadline) return;
  for (const auto& task : gang->tasks)
    if (task.state == State::starting) gang->excluded_machines.insert(task.placement.machine_id);
  // If tasks fail to start on many machines, the exclusions do not help: all machines are allowed again.
  if (gang->excluded_machines.size() > 4 * gang->tasks.size()) gang->excluded_machines.clear();
  stop_gang(id, *gang, true, now);
}

std::vector<PlacementRequest> GangTracker::placement_requests(const wire::JobId& job, std::size_t limit,
                                                              double now) const {
  std::vector<PlacementRequest> result;
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return result;
  std::vector<std::pair<std::size_t, std::uint32_t>> order;
  for (const auto number : found->second.placeable_gangs) {
    const auto& gang = found->second.gangs[number];
    if (now < gang.not_before) continue;
    const auto assigned = std::count_if(gang.tasks.begin(), gang.tasks.end(),
                                        [](const Task& task) { return task.state != State::unassigned; });
    // Partly placed gangs come first: their tasks do not serve until all of them run.
    order.emplace_back(gang.tasks.size() - static_cast<std::size_t>(assigned) - gang.reserved.size(), number);
  }
  const auto count = std::min(limit, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
  order.resize(count);
  for (const auto& [missing, number] : order) {
    const auto& gang = found->second.gangs[number];
    PlacementRequest request{{job, number}, {}, gang.reserved, {}, {}, gang.excluded_machines};
    for (std::uint32_t i = 0; i < gang.tasks.size(); ++i) {
      const auto& task = gang.tasks[i];
      if (task.state == State::unassigned) {
        request.tasks.push_back(number * found->second.span + i);
        continue;
      }
      request.peer_machines.insert(task.placement.machine_id);
      request.zone = task.placement.zone;
    }
    result.push_back(std::move(request));
  }
  return result;
}

std::vector<Move> GangTracker::allowed_moves(double now) const {
  std::vector<Move> result;
  std::map<wire::JobId, std::size_t> selected;
  for (const auto& id : needing_move_) {
    const auto* gang = find(id);
    const auto& job = jobs_.at(id.first);
    const bool preempted = std::any_of(gang->tasks.begin(), gang->tasks.end(), [](const Task& task) {
      return task.state != State::unassigned && task.preempted;
    });
    // A task on a machine that the cloud preempts ends in any case, so its gang may be moved at any time. All
    // other moves are limited in number and interval, and the last running gang of a job is not moved.
    if (!preempted) {
      const auto remaining = running_gangs(id.first) - selected[id.first];
      const auto not_running = job.gangs.size() - remaining;
      const auto max_moving = std::max<std::size_t>(
          1, static_cast<std::size_t>(settings_.max_moving_fraction * static_cast<double>(job.gangs.size())));
      if (now < gang->last_moved_at + settings_.min_move_interval_s || not_running >= max_moving ||
          remaining <= 1)
        continue;
    }
    // Of a split gang, the tasks stay that are in the zone with the most of its machines, one per machine.
    std::map<std::string, std::set<wire::MachineId>> machine_ids;
    for (const auto& task : gang->tasks)
      if (!task.must_leave) machine_ids[task.placement.zone].insert(task.placement.machine_id);
    const auto zone =
        std::max_element(machine_ids.begin(), machine_ids.end(),
                         [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
    Move move{id, {}, {}};
    for (std::uint32_t i = 0; i < gang->tasks.size(); ++i) {
      const auto& task = gang->tasks[i];
      if (!task.must_leave && zone != machine_ids.end() && task.placement.zone == zone->first &&
          zone->second.erase(task.placement.machine_id) > 0)
        move.staying.push_back(task.placement);
      else
        move.leaving_tasks.push_back(id.second * job.span + i);
    }
    ++selected[id.first];
    result.push_back(std::move(move));
  }
  return result;
}

bool GangTracker::has_gang_to_move(const wire::JobId& job) const {
  const auto first = needing_move_.lower_bound({job, 0});
  return first != needing_move_.end() && first->first == job;
}

std::optional<Phase> GangTracker::phase(const GangId& id) const {
  const auto* gang = find(id);
  if (gang == nullptr) return std::nullopt;
  return gang->phase;
}

std::size_t GangTracker::running_gangs(const wire::JobId& job) const {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(found->second.gangs.begin(), found->second.gangs.end(),
                    [](const Gang& gang) { return gang.phase == Phase::running; }));
}

}  // namespace bankhill::gang
