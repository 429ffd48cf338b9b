// Placement of ready tasks (the paper's Algorithm 4; design, "Ready tasks go by rising slack"): jobs are
// taken in order of increasing slack. A task goes to an on-demand machine if one fits, otherwise to a spot
// machine; among these, to the one where it should complete earliest.
#include <algorithm>
#include <cmath>
#include <limits>

#include "leader/leader.hpp"
#include "leader/unplaceable_requests.hpp"

namespace bankhill::leader {

using model::Job;
using model::Machine;
using queue::estimated_runtime_s;
using queue::kNoMachineHasRoom;
using state::FlushDelay;
using wire::Command;
using wire::CommandType;

namespace {
constexpr int kMaxStartsPerPass = 200;
// Services of the requested size that one machine may hold in any case.
constexpr double kServicesAlwaysAllowed = 8;
// One machine may also hold services up to this part of all service cores, if that is more.
constexpr double kMaxServiceShare = 0.04;
// How long a service waits for a machine with fewer services, in multiples of the longest boot time.
constexpr double kSpreadWaitBootTimes = 2;
// Machines examined in one search for a machine to reserve for a waiting task.
constexpr std::size_t kReservationSearchMachines = 48;
// Jobs that may search for preemption victims in one placement pass.
constexpr std::size_t kMaxVictimSearches = queue::kCandidatesTried;
constexpr double kRoundingTolerance = 1e-6;
const std::string kDrainingReason = "a machine drains for it";
}  // namespace

// State of one placement pass: its remaining limits and what it has found so far.
struct Leader::PlacementPass {
  int starts_left = kMaxStartsPerPass;
  std::size_t victim_searches_left = kMaxVictimSearches;
  UnplaceableRequests unplaceable;
  // Machines whose last heartbeat is not answered yet; their start commands go out with the response.
  std::set<wire::MachineId> machines_awaiting_response;
  // Start commands that are sent directly when the pass ends, except to `machines_awaiting_response`.
  CommandsByMachine start_commands;
  // Whether some task found no machine.
  bool has_unplaced_tasks = false;
};

void Leader::schedule_placement() {
  if (std::exchange(placement_scheduled_, true)) return;
  loop().post(guard([this] {
    placement_scheduled_ = false;
    run_placement_pass();
  }));
}

queue::JobQueue::Settings Leader::queue_settings() const {
  queue::JobQueue::Settings result{settings_.control_interval_s,
                                   settings_.round_s,
                                   {settings_.completion_targets_s, settings_.deadline_multiples},
                                   {},
                                   settings_.begin_within_s,
                                   settings_.largest_share};
  for (const auto& team : settings_.teams) result.weights[team.name] = team.guarantee.cores;
  return result;
}

queue::JobQueue::Callbacks Leader::queue_callbacks() {
  return {[this](const Job& job) { return may_start(job); },
          [this](const Job& job) { return within_guarantee(job); },
          [this](const Job& job) {
            const auto effective_deadline = dependencies_.effective_deadline(job.spec.id);
            const auto found =
                effective_deadline.job_id.value.empty() ? jobs_.end() : jobs_.find(effective_deadline.job_id);
            return queue::Deadline{found == jobs_.end() ? nullptr : &found->second,
                                   effective_deadline.downstream_s};
          }};
}

// Invariant 5: a task that an inherited machine may still run is not started again. Returns whether an
// unconfirmed machine could hold tasks of the job that an earlier leader started.
bool Leader::may_run_on_unconfirmed_machine(const Job& job) const {
  if (job.eligible_revision > elected_at_revision_ || fleet_.total().unconfirmed == 0) return false;
  return std::any_of(fleet_.pools().begin(), fleet_.pools().end(), [&](const auto& entry) {
    return entry.second.totals.unconfirmed > 0 && model::allows(job.spec, entry.first);
  });
}

bool Leader::may_start(const Job& job) const {
  if (!job.is_live() || !job.dependencies_met || job.ready_count == 0 || loop().now() < job.blocked_until)
    return false;
  return !job.has_trial_task() && !may_run_on_unconfirmed_machine(job);
}

bool Leader::quota_admits(const Job& job, std::uint32_t tasks) {
  const auto admission =
      quota_.admit(job.spec.team, job.spec.request, tasks, fleet_.total().unconfirmed_capacity, term_);
  // Invariant 21: the recorded bound that the next leader relies on is raised before the capacity is used.
  if (admission == Admission::bound_not_covered) write_quota(false);
  return admission == Admission::allowed;
}

// All teams share one record. It is written when a team's usage nears its bound; bounds are lowered only once
// per planning round.
void Leader::write_quota(bool lower) {
  const auto record = quota_.next_record(fleet_.total().unconfirmed_capacity, term_, lower);
  if (!record) return;
  writes_.store(wire::kQuotaKey, to_json(*record), FlushDelay::awaited, [this] {
    quota_.record_stored();
    schedule_placement();
  });
}

bool Leader::within_guarantee(const Job& job) const {
  return quota_.within_guarantee(job.spec.team, job.spec.request, fleet_.total().unconfirmed_capacity);
}

bool Leader::zone_allows(const Job& job, const std::string& zone) const {
  const auto& spec = job.spec;
  if (spec.zone && *spec.zone != zone) return false;
  if (!spec.zone_affinity && !spec.zone_spread) return true;
  // Invariant 5: the tasks on unconfirmed machines are unknown, so tasks cannot be counted by zone yet.
  if (job.eligible_revision <= elected_at_revision_ && fleet_.total().unconfirmed > 0) return false;
  const auto found = job.tasks_by_zone.find(zone);
  const std::uint32_t tasks_in_zone = found == job.tasks_by_zone.end() ? 0 : found->second;
  if (spec.zone_affinity && job.task_machines.size() > tasks_in_zone) return false;
  return !spec.zone_spread || tasks_in_zone < (spec.task_count + 1) / 2;
}

// Whether one more service would put too large a part of all services on this machine, so that its failure
// would stop too many at once.
bool Leader::has_too_many_services(const Machine& machine, const Job& job) const {
  if (!job.is_service()) return false;
  // The limit is dropped for services that have waited long. In a fleet of few large machines, none with
  // fewer services ever appears: hundreds of services waited for minutes beside free cores.
  if (!job.has_started() &&
      loop().wall() - job.eligible_at > kSpreadWaitBootTimes * planner::longest_boot_s(machine_types_))
    return false;
  const double max_cores =
      std::max(kServicesAlwaysAllowed * job.spec.request.cores, kMaxServiceShare * quota_.service_cores());
  return machine.service_cores + job.spec.request.cores > max_cores + kRoundingTolerance;
}

// Whether this task may run on the machine, regardless of free resources and reservations.
bool Leader::is_suitable(const Machine& machine, const Job& job, const wire::TaskId& task) const {
  return !job.failed_on.contains(machine.id) && !has_too_many_services(machine, job) &&
         zone_allows(job, machine.zone) && !machine.exited_attempts.contains(task);
}

// Whether the machine's free resources are reserved for another job: tasks were preempted there for that job,
// or the machine drains for it. Also true if tasks were preempted on a different machine for this job's last
// ready task: placing it here would waste that preemption.
bool Leader::is_reserved_for_others(const Machine& machine, const Job& job, wire::Priority priority,
                                    double now) const {
  const auto& id = job.spec.id;
  if (!preemption_reservations_.allows(machine.id, id, priority, job.spec.request, machine.available(), now))
    return true;
  if (job.ready_count < 2 && preemption_reservations_.is_pending_elsewhere(id, machine.id, now)) return true;
  if (job.is_service()) return false;
  return !backfill_reservations_.allows(machine.id, id, now, estimated_runtime_s(job));
}

double Leader::image_pull_s(const Job& job, const Pool& pool) const {
  const auto* type = find_machine_type(pool.machine_type);
  return type == nullptr || type->image_pull_gb_per_s <= 0
             ? 0.0
             : job.spec.image_size_gb / type->image_pull_gb_per_s;
}

// Searches the on-demand or the preemptible machines for one that can take the job's next task. Records in
// `search` why others were rejected.
void Leader::search_machines(const Job& job, bool preemptible, MachineSearchResult& search) {
  const double now = loop().now();
  const auto priority = effective_priority(job);
  const wire::TaskId task{job.spec.id, job.cursor};
  // When the network between zones is partitioned, the leader is in the zone with most controllers. Services
  // in the other zones would stop when their machines' leases expire.
  const bool prefers_main_zone = job.is_service() && !settings_.main_zone.empty();
  bool found_reserved = false;
  bool found_unsuitable = false;
  model::Fleet::MachineQuery query{
      job.spec, preemptible,
      // A service runs until it is cancelled: on a large machine it would keep the whole machine rented.
      job.is_service(), [&](const Pool& pool) { return image_pull_s(job, pool); },
      [&](const Pool& pool) {
        return prefers_main_zone && pool.zone != settings_.main_zone ? settings_.control_interval_s : 0.0;
      },
      [&](const Machine& machine) {
        const bool suitable = is_suitable(machine, job, task);
        const bool reserved_for_another = suitable && is_reserved_for_others(machine, job, priority, now);
        found_unsuitable = found_unsuitable || !suitable;
        found_reserved = found_reserved || reserved_for_another;
        return suitable && !reserved_for_another;
      },
      false};
  search.machine = fleet_.find_best(query);
  search.rejected_for_task =
      search.rejected_for_task || found_unsuitable || (query.skipped_any && !found_reserved);
  search.rejected_as_reserved = search.rejected_as_reserved || found_reserved;
}

void Leader::assign_task(Machine& machine, Job& job, std::uint32_t index) {
  model::Assignment assignment;
  assignment.task = {job.spec.id, index};
  assignment.attempt = wire::AttemptNumber{(term_ << kAttemptBits) + ++attempts_};
  assignment.team = job.spec.team;
  assignment.job_class = job.spec.job_class;
  assignment.priority = effective_priority(job);
  assignment.is_service = job.is_service();
  assignment.largest = queue_.is_among_largest(job);
  assignment.request = job.spec.request;
  assignment.agent_epoch = machine.agent_epoch;
  assignment.assigned_at = loop().now();
  job.set_task_progress(index, model::kTaskAssigned);
  update_queue_membership(job);
  add_assignment(machine, std::move(assignment));
}

// Adds the cores of a batch task to those allocated to its team and class (`sign` 1), or subtracts them (-1).
void Leader::adjust_allocated_cores(const model::Assignment& assignment, double sign) {
  if (!assignment.is_service)
    queue_.adjust_allocated_cores({assignment.team, assignment.job_class}, assignment.largest,
                                  sign * assignment.request.cores);
}

// Adds an assignment to its machine, to the quota usage of its team and to its job.
void Leader::add_assignment(Machine& machine, model::Assignment assignment) {
  machine.used += assignment.request;
  if (assignment.is_service) machine.service_cores += assignment.request.cores;
  quota_.add(assignment);
  adjust_allocated_cores(assignment, 1);
  if (const auto job = jobs_.find(assignment.task.job); job != jobs_.end() && !assignment.orphaned) {
    job->second.task_machines[assignment.task.index] = machine.id;
    ++job->second.tasks_by_zone[machine.zone];
  }
  const auto task_id = assignment.task;
  machine.assignments.emplace(task_id, std::move(assignment));
  fleet_.refresh(machine);
}

void Leader::update_overload_state(double wanted, double lacking) {
  if (!queue_.update_overload(loop().now(), wanted, lacking)) return;
  if (queue_.is_overloaded())
    log_->warn(
        "overload: {:.0f} of {:.0f} requested cores are unavailable; fair sharing between teams and classes "
        "replaces the order by slack, jobs closest to completion first",
        lacking, wanted);
  else
    log_->info("overload: ended, jobs are ordered by slack again");
}

// One placement pass (the paper's Algorithm 4): goes through the waiting jobs, best first, and starts their
// tasks where they fit.
void Leader::run_placement_pass() {
  if (!is_active_leader() || machine_types_.empty() || loop().now() < unreadable_machine_leases_until_)
    return answer_pending_heartbeats();
  apply_gang_actions();
  move_gangs();
  review_preemptions();
  preemption_reservations_.begin_pass();
  const auto& candidates = queue_.ordered_candidates({loop().now(), loop().wall()});
  schedule_pass_at_reorder();
  PlacementPass pass;
  for (const auto& response : pending_responses_) pass.machines_awaiting_response.insert(response.machine_id);
  for (const auto& candidate : candidates) {
    if (pass.starts_left <= 0) break;
    place_job(candidate, pass);
  }
  send_start_commands(pass);
  answer_pending_heartbeats();
  if (pass.starts_left > 0) preemption_reservations_.end_pass();
  log_ended_preemptions();
  if (pass.has_unplaced_tasks) schedule_planning();
  // The number of starts per pass is limited, so that leases, heartbeats and probes are not delayed behind
  // thousands of tasks. The next pass continues.
  if (pass.starts_left <= 0) schedule_placement();
}

// With many waiting jobs, the queue reuses its order for some time. Schedules a pass for the next reordering,
// because the new order may contain other jobs even without any event in between.
void Leader::schedule_pass_at_reorder() {
  if (queue_.reorder_delay_s() <= 0 || placement_timer_) return;
  placement_timer_ = loop().after(queue_.reorder_delay_s(), guard([this] {
                                    placement_timer_.reset();
                                    schedule_placement();
                                  }));
}

void Leader::place_job(const queue::Candidate& candidate, PlacementPass& pass) {
  const bool has_reservation = backfill_reservations_.machine_of(candidate.id) != nullptr ||
                               preemption_reservations_.is_pending(candidate.id, loop().now());
  const bool known_unplaceable = !has_reservation && pass.unplaceable.covers(candidate);
  // Thousands of jobs may be unplaceable at a time. Only the first of them search for preemption victims; the
  // others cost one comparison each.
  if (known_unplaceable && pass.victim_searches_left == 0 && !gangs_.has_job(candidate.id)) return;
  auto* const job = queue_.find(candidate.id);
  if (job == nullptr || !may_start(*job)) return;
  if (gangs_.has_job(job->spec.id)) {
    pass.starts_left -= place_gangs(*job, pass.start_commands);
    pass.has_unplaced_tasks = pass.has_unplaced_tasks || placeable_tasks(*job) > 0;
    return;
  }
  if (candidate.first_task_only && job->has_started()) return;
  place_tasks(*job, candidate.first_task_only, known_unplaceable, pass);
}

// Starts ready tasks of the job until one finds no machine, or only one task if `first_task_only`. If
// `known_unplaceable`, no search is made, because an earlier job of this pass found no machine for a request
// that is no larger.
void Leader::place_tasks(Job& job, bool first_task_only, bool known_unplaceable, PlacementPass& pass) {
  std::uint32_t index = 0;
  while (pass.starts_left > 0 && !job.has_trial_task() && job.find_ready_task(index)) {
    if (!quota_admits(job)) {
      job.set_reason("the team's limit is reached");
      return;
    }
    const auto search = known_unplaceable ? MachineSearchResult{} : find_machine(job);
    if (search.machine == nullptr) return on_no_machine_found(job, search, known_unplaceable, pass);
    // A service whose image is missing on the machine found may start sooner on a machine that has the image,
    // once victims there are stopped.
    const bool must_pull_image = !search.machine->images.contains(job.spec.image);
    if (job.is_service() && must_pull_image && !search.preempted && preempt_for(job, search.machine) &&
        job.ready_count < 2)
      return;
    start_task(*search.machine, job, index, pass);
    if (first_task_only) {
      search.machine->assignments.at({job.spec.id, index}).started_for_long_wait = true;
      return record_early_start(job);
    }
  }
}

// Prefers the machine on which victims were stopped for this job, then on-demand machines, then preemptible
// ones if the job allows them.
Leader::MachineSearchResult Leader::find_machine(const Job& job) {
  MachineSearchResult search;
  if (auto* const machine = find_freed_machine(job)) {
    search.machine = machine;
    search.preempted = true;
    return search;
  }
  search.rejected_for_task = would_use_service_reserve(job);
  if (!search.rejected_for_task) search_machines(job, false, search);
  if (search.machine == nullptr && job.spec.allows_preemptible) search_machines(job, true, search);
  return search;
}

// Whether starting a batch task would use on-demand cores that are reserved for future services. A job for
// which a machine drains is exempt: otherwise the cores that become free elsewhere would go to smaller tasks,
// which fit above the reserve sooner.
bool Leader::would_use_service_reserve(const Job& job) const {
  if (job.is_service() || backfill_reservations_.machine_of(job.spec.id) != nullptr) return false;
  double free_on_demand_cores = 0;
  for (const auto& [pool, state] : fleet_.pools())
    if (!pool.preemptible) free_on_demand_cores += state.totals.free_cores;
  return free_on_demand_cores - job.spec.request.cores < autoscaler_.reserved_cores() - kRoundingTolerance;
}

// Handles a task that found no machine: sets the reason that the job shows, and may reserve a machine for the
// job or stop victims for it.
void Leader::on_no_machine_found(Job& job, const MachineSearchResult& search, bool known_unplaceable,
                                 PlacementPass& pass) {
  pass.has_unplaced_tasks = true;
  if (!job.faulty) job.set_reason(kNoMachineHasRoom);
  if (!known_unplaceable && !search.rejected_for_task && !job.spec.machine_types && !job.spec.zone)
    pass.unplaceable.add(
        {job.spec.request, job.spec.allows_preemptible,
         search.rejected_as_reserved ? estimated_runtime_s(job) : 0,
         search.rejected_as_reserved ? effective_priority(job) : wire::Priority::production});
  // A machine may be reserved even if the whole fleet has less free capacity than the task needs, as in any
  // full fleet.
  if (queue_.is_overdue(job, loop().wall()) && reserve_for_backfill(job)) job.set_reason(kDrainingReason);
  if (job.faulty || pass.victim_searches_left == 0) return;
  --pass.victim_searches_left;
  preempt_for(job);
}

// Logs when the machine's last heartbeat was answered, because the machine's lease may expire before the
// first heartbeat with the task is answered.
void Leader::log_start(const Machine& machine, const wire::TaskId& task) const {
  const double term_age_s = loop().now() - term_began_at_;
  const auto attempt = machine.assignments.at(task).attempt;
  if (machine.answered_at)
    log_->debug(
        "machine {}: task {} assigned as attempt {} in agent epoch {} under fencing token {}, last heartbeat "
        "answered {:.1f} s ago, {:.1f} s into the term",
        machine.id.value, task.text(), attempt.value, machine.agent_epoch.value, term_,
        loop().now() - *machine.answered_at, term_age_s);
  else
    log_->debug(
        "machine {}: task {} assigned as attempt {} in agent epoch {} under fencing token {}, no heartbeat "
        "answered yet, {:.1f} s into the term",
        machine.id.value, task.text(), attempt.value, machine.agent_epoch.value, term_, term_age_s);
}

void Leader::start_task(Machine& machine, Job& job, std::uint32_t index, PlacementPass& pass) {
  assign_task(machine, job, index);
  backfill_reservations_.release(job.spec.id);
  preemption_reservations_.task_placed(job.spec.id, machine.id, job.ready_count > 0, effective_priority(job));
  --pass.starts_left;
  const wire::TaskId task{job.spec.id, index};
  log_start(machine, task);
  // A machine whose heartbeat is not answered yet receives the command with the response.
  if (!pass.machines_awaiting_response.contains(machine.id))
    pass.start_commands[machine.id].push_back(
        {CommandType::start, task, machine.assignments.at(task).attempt, 0});
  if (job.ready_count == 0) job.set_reason({});
}

void Leader::record_early_start(const Job& job) {
  ++event_counts_["large jobs started ahead of others"];
  log_->debug("job {}: first task started ahead of other jobs after {:.0f} s of waiting", job.spec.id.value,
              loop().wall() - job.eligible_at);
}

void Leader::send_start_commands(PlacementPass& pass) {
  for (auto& [machine_id, commands] : pass.start_commands) {
    if (pass.machines_awaiting_response.contains(machine_id)) continue;
    auto* machine = fleet_.find(machine_id);
    // Beyond the limit, starts go with the next response: only direct ones have their attempts listed longer.
    if (machine != nullptr && machine->exited_attempts.size() < kMaxExitedAttempts)
      send_commands(*machine, std::move(commands));
  }
}

// Reserves the machine that is expected to have capacity for one of the job's tasks first, so that it drains
// for the job: otherwise smaller tasks keep overtaking the job as long as they arrive. Returns whether a
// machine is reserved for the job.
bool Leader::reserve_for_backfill(Job& job) {
  const double now = loop().now();
  const auto is_usable = [](const Machine& machine) { return machine.takes_tasks() && !machine.overdue; };
  if (const auto* machine_id = backfill_reservations_.machine_of(job.spec.id)) {
    const auto* machine = fleet_.peek(*machine_id);
    if (machine == nullptr || !is_usable(*machine))
      backfill_reservations_.drop_machine(wire::MachineId{*machine_id});
  }
  if (!backfill_reservations_.should_reserve(job.spec.id, now))
    return backfill_reservations_.machine_of(job.spec.id) != nullptr;
  const Machine* best = nullptr;
  double best_fit_at = std::numeric_limits<double>::max();
  fleet_.visit_after(backfill_cursor_, kReservationSearchMachines, [&](const Machine& machine) {
    if (!is_usable(machine) || backfill_reservations_.is_reserved(machine.id)) return;
    if (preemption_reservations_.is_reserved(machine.id, now)) return;
    if (!could_run_on(machine, job) || job.failed_on.contains(machine.id)) return;
    const auto fit_at = expected_fit_at(machine, job.spec.request);
    if (!fit_at || *fit_at >= best_fit_at) return;
    best = &machine;
    best_fit_at = *fit_at;
  });
  if (best == nullptr) return false;
  backfill_reservations_.reserve(job.spec.id, best->id, best_fit_at);
  ++event_counts_["machines reserved for large tasks"];
  log_->debug(
      "job {}: waiting for {:.0f} s, machine {} is reserved for it and should have free capacity in {:.0f} s",
      job.spec.id.value, loop().wall() - job.eligible_at, best->id.value, best_fit_at - now);
  return true;
}

// Time (seconds, steady clock) at which enough tasks on the machine should have ended for the request to fit,
// by their estimated run times. Nothing if the request would not fit even then.
std::optional<double> Leader::expected_fit_at(const Machine& machine, const wire::Resources& request) const {
  struct Ending {
    double ends_at = 0;
    wire::Resources resources;
  };
  const double now = loop().now();
  std::vector<Ending> endings;
  for (const auto& [task_id, assignment] : machine.assignments) {
    const auto job = jobs_.find(task_id.job);
    if (job == jobs_.end() || (assignment.is_service && !assignment.stopping)) continue;
    const double remaining_s = std::max(0.0, estimated_runtime_s(job->second) - assignment.running_s(now));
    endings.push_back({assignment.stopping ? now : now + remaining_s, assignment.request});
  }
  std::sort(endings.begin(), endings.end(),
            [](const Ending& a, const Ending& b) { return a.ends_at < b.ends_at; });
  auto free = machine.available();
  double fit_at = now;
  for (const auto& ending : endings) {
    if (request.fits(free)) break;
    free += ending.resources;
    fit_at = ending.ends_at;
  }
  return request.fits(free) ? std::optional(fit_at) : std::nullopt;
}

void Leader::answer_pending_heartbeats() {
  for (auto& response : std::exchange(pending_responses_, {})) {
    auto* machine = fleet_.find(response.machine_id);
    if (machine == nullptr || !is_active_leader())
      response.reply({});
    else
      answer_heartbeat(*machine, response.sequence, response.reply);
  }
}

}  // namespace bankhill::leader
