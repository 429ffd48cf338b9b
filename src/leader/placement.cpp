// Placement: ready tasks by rising slack, steady machines first, then spot, earliest completion first
// (the paper's Algorithm 4; design: "Ready tasks go by rising slack").
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
constexpr int kBindsPerTurn = 200;
constexpr double kServicesTogether = 8;        // may be on one machine in any case
constexpr double kServiceShare = 0.04;         // of all services: may be on one machine
constexpr double kSpreadBoots = 2;             // boots that a service waits for a machine that has fewer
constexpr std::size_t kMachinesLookedAt = 48;  // for one that should drain for a task
constexpr std::size_t kRoomTries = queue::kCandidatesTried;  // jobs in a pass that look for others to stop
constexpr double kRounding = 1e-6;
const std::string kDrains = "a machine drains for it";
}  // namespace

// One pass over the waiting jobs: what it may still do, and what it has found.
struct Leader::PlacementPass {
  int binds_left = kBindsPerTurn;
  std::size_t preemptions_left = kRoomTries;
  UnplaceableRequests unplaceable;
  std::set<wire::MachineId> answered_machines;  // whose heartbeat waits for its answer
  CommandsByMachine starts;                     // for the other machines
  bool tasks_wait = false;                      // for a machine
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
                                   {settings_.within_s, settings_.deadline_times},
                                   {},
                                   settings_.begin_within_s,
                                   settings_.largest_share};
  for (const auto& item : settings_.teams) result.weights[item.name] = item.guarantee.cores;
  return result;
}

queue::JobQueue::Callbacks Leader::queue_callbacks() {
  return {[this](const Job& job) { return may_start(job); },
          [this](const Job& job) { return within_guarantee(job); },
          [this](const Job& job) {
            const auto goal = dependencies_.effective_deadline(job.spec.id);
            const auto found = goal.job_id.value.empty() ? jobs_.end() : jobs_.find(goal.job_id);
            return queue::Deadline{found == jobs_.end() ? nullptr : &found->second, goal.downstream_s};
          }};
}

// Invariant 5: what an earlier leader may have started waits until no unconfirmed machine could hold it.
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
  // Invariant 21: what the next leader is to count on is raised before it is used.
  if (admission == Admission::bound_not_covered) write_quota(false);
  return admission == Admission::allowed;
}

// One record for all teams, a put when one nears its bound; lowered once a round.
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
  // Invariant 5: tasks of an unconfirmed machine are not known.
  if (job.eligible_revision <= elected_at_revision_ && fleet_.total().unconfirmed > 0) return false;
  const auto found = job.tasks_by_zone.find(zone);
  const std::uint32_t here = found == job.tasks_by_zone.end() ? 0 : found->second;
  if (spec.zone_affinity && job.task_machines.size() > here) return false;
  return !spec.zone_spread || here < (spec.task_count + 1) / 2;
}

// One machine's end must not take too large a part of all services with it.
bool Leader::has_too_many_services(const Machine& machine, const Job& job) const {
  if (!job.is_service()) return false;
  // In a fleet of few large machines none with fewer ever comes: hundreds waited for minutes beside free
  // cores.
  if (!job.has_started() &&
      loop().wall() - job.eligible_at > kSpreadBoots * planner::longest_boot_s(machine_types_))
    return false;
  const double most =
      std::max(kServicesTogether * job.spec.request.cores, kServiceShare * quota_.service_cores());
  return machine.service_cores + job.spec.request.cores > most + kRounding;
}

// Whether the task itself may be on the machine, whatever else waits.
bool Leader::is_suitable(const Machine& machine, const Job& job, const wire::TaskId& task) const {
  return !job.failed_on.contains(machine.id) && !has_too_many_services(machine, job) &&
         zone_allows(job, machine.zone) && !machine.exited_attempts.contains(task);
}

// Whether room on the machine is for others: tasks were stopped there for another job, or it drains for one.
// Also if tasks were stopped elsewhere for the job's last task, which would be in vain.
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

// Looks among the steady or the preemptible machines for one that takes the job's next task, and adds to
// `search` why there is none.
void Leader::search_machines(const Job& job, bool reclaimable, MachineSearchResult& search) {
  const double now = loop().now();
  const auto priority = effective_priority(job);
  const wire::TaskId task{job.spec.id, job.cursor};
  // When zones are apart, the leader is where most controllers are: services elsewhere would end with their
  // machines' leases.
  const bool prefers_main_zone = job.is_service() && !settings_.main_zone.empty();
  bool reserved = false;
  bool unsuitable = false;
  model::Fleet::MachineQuery choice{
      job.spec, reclaimable,
      // A service stays: on a large machine it would keep all of it rented.
      job.is_service(), [&](const Pool& pool) { return image_pull_s(job, pool); },
      [&](const Pool& pool) {
        return prefers_main_zone && pool.zone != settings_.main_zone ? settings_.control_interval_s : 0.0;
      },
      [&](const Machine& machine) {
        const bool fine = is_suitable(machine, job, task);
        const bool for_others = fine && is_reserved_for_others(machine, job, priority, now);
        unsuitable = unsuitable || !fine;
        reserved = reserved || for_others;
        return fine && !for_others;
      },
      false};
  search.machine = fleet_.find_best(choice);
  search.rejected_for_task = search.rejected_for_task || unsuitable || (choice.skipped_any && !reserved);
  search.rejected_as_reserved = search.rejected_as_reserved || reserved;
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

// Books what a batch task holds for its team and class, or with -1 gives it back.
void Leader::adjust_allocated_cores(const model::Assignment& assignment, double sign) {
  if (!assignment.is_service)
    queue_.adjust_allocated_cores({assignment.team, assignment.job_class}, assignment.largest,
                                  sign * assignment.request.cores);
}

// Books the task on the machine, for its team and for its job.
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
        "overload: {:.0f} of {:.0f} cores wanted cannot be had; teams and classes take turns, what is "
        "nearest to its end first",
        lacking, wanted);
  else
    log_->info("overload: over, work goes by slack again");
}

// The paper's Algorithm 4: goes through the waiting jobs, best first, and starts their tasks where they fit.
void Leader::run_placement_pass() {
  if (!is_active_leader() || machine_types_.empty() || loop().now() < unreadable_machine_leases_until_)
    return answer_pending_heartbeats();
  apply_gang_actions();
  move_gangs();
  review_preemptions();
  preemption_reservations_.begin_pass();
  const auto& order = queue_.ordered_candidates({loop().now(), loop().wall()});
  schedule_pass_at_reorder();
  PlacementPass pass;
  for (const auto& waiting : pending_responses_) pass.answered_machines.insert(waiting.machine_id);
  for (const auto& candidate : order) {
    if (pass.binds_left <= 0) break;
    place_job(candidate, pass);
  }
  send_start_commands(pass);
  answer_pending_heartbeats();
  if (pass.binds_left > 0) preemption_reservations_.end_pass();
  log_ended_preemptions();
  if (pass.tasks_wait) plan_soon();
  // Bounded, so that leases, reports and probes are never late behind thousands of tasks.
  if (pass.binds_left <= 0) schedule_placement();
}

// The order of many waiting jobs lasts for a while: the next one may show others although nothing happened.
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
  const bool hopeless = !has_reservation && pass.unplaceable.cover(candidate);
  // Thousands may wait in vain: only the first of them make room, the others cost a comparison.
  if (hopeless && pass.preemptions_left == 0 && !gangs_.follows(candidate.id)) return;
  auto* const job = queue_.find(candidate.id);
  if (job == nullptr || !may_start(*job)) return;
  if (gangs_.follows(job->spec.id)) {
    pass.binds_left -= place_gangs(*job, pass.starts);
    pass.tasks_wait = pass.tasks_wait || placeable_tasks(*job) > 0;
    return;
  }
  if (candidate.first_task_only && job->has_started()) return;
  place_tasks(*job, candidate.first_task_only, hopeless, pass);
}

// Starts the job's ready tasks until one finds no machine; `first_only`: one of them.
void Leader::place_tasks(Job& job, bool first_only, bool hopeless, PlacementPass& pass) {
  std::uint32_t index = 0;
  while (pass.binds_left > 0 && !job.has_trial_task() && job.find_ready_task(index)) {
    if (!quota_admits(job)) {
      job.reason = "the team's limit is reached";
      return;
    }
    const auto search = hopeless ? MachineSearchResult{} : find_machine(job);
    if (search.machine == nullptr) return on_no_machine_found(job, search, hopeless, pass);
    // A service that would have to wait for its image starts sooner where a batch makes room beside it.
    const bool must_fetch = !search.machine->images.contains(job.spec.image);
    if (job.is_service() && must_fetch && !search.preempted && preempt_for(job, search.machine) &&
        job.ready_count < 2)
      return;
    start_task(*search.machine, job, index, pass);
    if (first_only) {
      search.machine->assignments.at({job.spec.id, index}).started_for_long_wait = true;
      return record_early_start(job);
    }
  }
}

// Where room was made for it, else steady machines first, then preemptible ones if the job allows them.
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

// Room that services to come will need is not given to batches.
// Except to the few for which a machine drains: what ends beside it goes to smaller ones, which fit above the
// reserve sooner.
bool Leader::would_use_service_reserve(const Job& job) const {
  if (job.is_service() || backfill_reservations_.machine_of(job.spec.id) != nullptr) return false;
  double steady_free = 0;
  for (const auto& [pool, state] : fleet_.pools())
    if (!pool.preemptible) steady_free += state.totals.free_cores;
  return steady_free - job.spec.request.cores < autoscaler_.reserved_cores() - kRounding;
}

// The job's next task found no machine: says why, and may make one drain or stop other tasks for it.
void Leader::on_no_machine_found(Job& job, const MachineSearchResult& search, bool hopeless,
                                 PlacementPass& pass) {
  pass.tasks_wait = true;
  if (!job.faulty) job.reason = kNoMachineHasRoom;
  if (!hopeless && !search.rejected_for_task && !job.spec.machine_types && !job.spec.zone)
    pass.unplaceable.add(
        {job.spec.request, job.spec.allows_preemptible,
         search.rejected_as_reserved ? estimated_runtime_s(job) : 0,
         search.rejected_as_reserved ? effective_priority(job) : wire::Priority::production});
  // Also when less is free in all than it needs, as in any full fleet.
  if (queue_.is_overdue(job, loop().wall()) && reserve_for_backfill(job)) job.reason = kDrains;
  if (job.faulty || pass.preemptions_left == 0) return;
  --pass.preemptions_left;
  preempt_for(job);
}

// With what is known of the machine's lease: it may end before the task's first heartbeat is answered.
void Leader::log_start(const Machine& machine, const wire::TaskId& task) const {
  const double term_age_s = loop().now() - term_began_at_;
  if (machine.answered_at)
    log_->debug("machine {}: {} is assigned in agent epoch {}, answered {:.1f} s ago, {:.1f} s into the term",
                machine.id.value, task.text(), machine.agent_epoch.value, loop().now() - *machine.answered_at,
                term_age_s);
  else
    log_->debug("machine {}: {} is assigned in agent epoch {}, never answered, {:.1f} s into the term",
                machine.id.value, task.text(), machine.agent_epoch.value, term_age_s);
}

void Leader::start_task(Machine& machine, Job& job, std::uint32_t index, PlacementPass& pass) {
  assign_task(machine, job, index);
  backfill_reservations_.release(job.spec.id);
  preemption_reservations_.task_placed(job.spec.id, machine.id, job.ready_count > 0, effective_priority(job));
  --pass.binds_left;
  const wire::TaskId task{job.spec.id, index};
  log_start(machine, task);
  // A machine whose heartbeat waits for its answer gets the order with it.
  if (!pass.answered_machines.contains(machine.id))
    pass.starts[machine.id].push_back({CommandType::start, task, machine.assignments.at(task).attempt, 0});
  if (job.ready_count == 0) job.reason.clear();
}

void Leader::record_early_start(const Job& job) {
  ++event_counts_["large jobs begun before others"];
  log_->debug("job {}: begins before others, {:.0f} s after its waiting began", job.spec.id.value,
              loop().wall() - job.eligible_at);
}

void Leader::send_start_commands(PlacementPass& pass) {
  for (auto& [host, commands] : pass.starts) {
    if (pass.answered_machines.contains(host)) continue;
    if (auto* machine = fleet_.find(host)) send_command(*machine, std::move(commands));
  }
}

// Chooses the machine that should have room for one of its tasks first, and keeps it: else smaller tasks pass
// it for as long as they come. Says whether one is kept for it.
bool Leader::reserve_for_backfill(Job& job) {
  const double now = loop().now();
  const auto drains = [](const Machine& machine) { return machine.takes_tasks() && !machine.overdue; };
  if (const auto* machine_id = backfill_reservations_.machine_of(job.spec.id)) {
    const auto* machine = fleet_.peek(*machine_id);
    if (machine == nullptr || !drains(*machine))
      backfill_reservations_.drop_machine(wire::MachineId{*machine_id});
  }
  if (!backfill_reservations_.should_reserve(job.spec.id, now))
    return backfill_reservations_.machine_of(job.spec.id) != nullptr;
  const Machine* best = nullptr;
  double best_at = std::numeric_limits<double>::max();
  fleet_.visit_after(backfill_cursor_, kMachinesLookedAt, [&](const Machine& machine) {
    if (!drains(machine) || backfill_reservations_.is_reserved(machine.id)) return;
    if (preemption_reservations_.is_reserved(machine.id, now)) return;
    if (!could_run_on(machine, job) || job.failed_on.contains(machine.id)) return;
    const auto at = expected_fit_at(machine, job.spec.request);
    if (!at || *at >= best_at) return;
    best = &machine;
    best_at = *at;
  });
  if (best == nullptr) return false;
  backfill_reservations_.reserve(job.spec.id, best->id, best_at);
  ++event_counts_["machines kept for large tasks"];
  log_->debug("job {}: waits for {:.0f} s, machine {} drains for it and should have room in {:.0f} s",
              job.spec.id.value, loop().wall() - job.eligible_at, best->id.value, best_at - now);
  return true;
}

// When enough of the machine's tasks should have ended, by their estimated runtimes; nothing if they do not.
std::optional<double> Leader::expected_fit_at(const Machine& machine, const wire::Resources& request) const {
  struct Ending {
    double at = 0;
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
  std::sort(endings.begin(), endings.end(), [](const Ending& a, const Ending& b) { return a.at < b.at; });
  auto room = machine.available();
  double at = now;
  for (const auto& ending : endings) {
    if (request.fits(room)) break;
    room += ending.resources;
    at = ending.at;
  }
  return request.fits(room) ? std::optional(at) : std::nullopt;
}

void Leader::answer_pending_heartbeats() {
  for (auto& waiting : std::exchange(pending_responses_, {})) {
    auto* machine = fleet_.find(waiting.machine_id);
    if (machine == nullptr || !is_active_leader())
      waiting.reply({});
    else
      answer_heartbeat(*machine, waiting.sequence, waiting.reply);
  }
}

}  // namespace bankhill::leader
