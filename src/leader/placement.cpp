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
using queue::kNoMachineHasRoom;
using queue::task_s;
using state::FlushDelay;
using wire::Command;
using wire::CommandType;

namespace {
constexpr int kBindsPerTurn = 200;
constexpr double kServicesTogether = 8;        // may be on one machine in any case
constexpr double kServiceShare = 0.04;         // of all services: may be on one machine
constexpr double kSpreadBoots = 2;             // boots that a service waits for a machine that has fewer
constexpr std::size_t kMachinesLookedAt = 48;  // for one that should drain for a task
constexpr std::size_t kRoomTries = queue::kCandidatesTried;  // jobs in a turn that look for others to stop
constexpr double kRounding = 1e-6;
const std::string kDrains = "a machine drains for it";
}  // namespace

// One pass over the waiting jobs: what it may still do, and what it has found.
struct Leader::PlacementTurn {
  int binds_left = kBindsPerTurn;
  std::size_t preemptions_left = kRoomTries;
  UnplaceableRequests unplaceable;
  std::set<wire::MachineId> answered_machines;  // whose heartbeat waits for its answer
  CommandsByMachine starts;                     // for the other machines
  bool tasks_wait = false;                      // for a machine
};

void Leader::place_soon() {
  if (std::exchange(place_scheduled_, true)) return;
  loop().post(guard([this] {
    place_scheduled_ = false;
    place();
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

queue::JobQueue::Facts Leader::queue_facts() {
  return {[this](const Job& job) { return may_start(job); },
          [this](const Job& job) { return within_guarantee(job); },
          [this](const Job& job) {
            const auto goal = dependencies_.goal(job.spec.id);
            const auto found = goal.last.value.empty() ? jobs_.end() : jobs_.find(goal.last);
            return queue::Deadline{found == jobs_.end() ? nullptr : &found->second, goal.rest_s};
          }};
}

// Invariant 5: what an earlier leader may have started waits until no unconfirmed machine could hold it.
bool Leader::unconfirmed_could_hold(const Job& job) const {
  if (job.eligible_revision > elected_at_revision_ || fleet_.total().unconfirmed == 0) return false;
  return std::any_of(fleet_.pools().begin(), fleet_.pools().end(), [&](const auto& entry) {
    return entry.second.sums.unconfirmed > 0 && model::allows(job.spec, entry.first);
  });
}

bool Leader::may_start(const Job& job) const {
  if (!job.live() || !job.dependencies_met || job.ready == 0 || loop().now() < job.blocked_until)
    return false;
  return !job.on_trial() && !unconfirmed_could_hold(job);
}

bool Leader::team_has_room(const Job& job, std::uint32_t tasks) {
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
    place_soon();
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
bool Leader::crowded(const Machine& machine, const Job& job) const {
  if (!job.is_service()) return false;
  // In a fleet of few large machines none with fewer ever comes: hundreds waited for minutes beside free
  // cores.
  if (!job.started() &&
      loop().wall() - job.eligible_at > kSpreadBoots * planner::longest_boot_s(machine_types_))
    return false;
  const double most =
      std::max(kServicesTogether * job.spec.request.cores, kServiceShare * quota_.service_cores());
  return machine.service_cores + job.spec.request.cores > most + kRounding;
}

// Whether the task itself may be on the machine, whatever else waits.
bool Leader::suits(const Machine& machine, const Job& job, const wire::TaskId& task) const {
  return !job.failed_on.contains(machine.id) && !crowded(machine, job) && zone_allows(job, machine.zone) &&
         !machine.exited_attempts.contains(task);
}

// Whether room on the machine is for others: tasks were stopped there for another job, or it drains for one.
// Also if tasks were stopped elsewhere for the job's last task, which would be in vain.
bool Leader::reserved_for_others(const Machine& machine, const Job& job, wire::Priority priority,
                                 double now) const {
  const auto& id = job.spec.id;
  if (!preemption_reservations_.allows(machine.id, id, priority, job.spec.request, machine.available(), now))
    return true;
  if (job.ready < 2 && preemption_reservations_.pending_elsewhere(id, machine.id, now)) return true;
  if (job.is_service()) return false;
  return !backfill_reservations_.allows(machine.id, id, now, task_s(job));
}

double Leader::image_pull_s(const Job& job, const Pool& pool) const {
  const auto* type = find_machine_type(pool.machine_type);
  return type == nullptr || type->image_pull_gb_per_s <= 0
             ? 0.0
             : job.spec.image_size_gb / type->image_pull_gb_per_s;
}

// Looks among the steady or the preemptible machines for one that takes the job's next task, and adds to
// `search` why there is none.
void Leader::pick(const Job& job, bool reclaimable, MachineSearch& search) {
  const double now = loop().now();
  const auto priority = effective_priority(job);
  const wire::TaskId task{job.spec.id, job.cursor};
  // When zones are apart, the leader is where most controllers are: services elsewhere would end with their
  // machines' leases.
  const bool prefers_main_zone = job.is_service() && !settings_.main_zone.empty();
  bool reserved = false;
  bool unsuitable = false;
  model::Fleet::Choice choice{
      job.spec, reclaimable,
      // A service stays: on a large machine it would keep all of it rented.
      job.is_service(), [&](const Pool& pool) { return image_pull_s(job, pool); },
      [&](const Pool& pool) {
        return prefers_main_zone && pool.zone != settings_.main_zone ? settings_.control_interval_s : 0.0;
      },
      [&](const Machine& machine) {
        const bool fine = suits(machine, job, task);
        const bool for_others = fine && reserved_for_others(machine, job, priority, now);
        unsuitable = unsuitable || !fine;
        reserved = reserved || for_others;
        return fine && !for_others;
      },
      false};
  search.machine = fleet_.pick(choice);
  search.own_reason = search.own_reason || unsuitable || (choice.passed_over && !reserved);
  search.reserved = search.reserved || reserved;
}

void Leader::assign(Machine& machine, Job& job, std::uint32_t index) {
  model::Assignment assignment;
  assignment.task = {job.spec.id, index};
  assignment.attempt = wire::AttemptNumber{(term_ << kAttemptBits) + ++attempts_};
  assignment.team = job.spec.team;
  assignment.job_class = job.spec.job_class;
  assignment.priority = effective_priority(job);
  assignment.service = job.is_service();
  assignment.largest = queue_.largest(job);
  assignment.request = job.spec.request;
  assignment.agent_epoch = machine.agent_epoch;
  assignment.assigned_at = loop().now();
  job.set_mark(index, model::kAssigned);
  update_queue_membership(job);
  add_assignment(machine, std::move(assignment));
}

// Books what a batch task holds for its team and class, or with -1 gives it back.
void Leader::book(const model::Assignment& assignment, double sign) {
  if (!assignment.service)
    queue_.book({assignment.team, assignment.job_class}, assignment.largest, sign * assignment.request.cores);
}

// Books the task on the machine, for its team and for its job.
void Leader::add_assignment(Machine& machine, model::Assignment assignment) {
  machine.used += assignment.request;
  if (assignment.service) machine.service_cores += assignment.request.cores;
  quota_.add(assignment);
  book(assignment, 1);
  if (const auto job = jobs_.find(assignment.task.job); job != jobs_.end() && !assignment.orphaned) {
    job->second.task_machines[assignment.task.index] = machine.id;
    ++job->second.tasks_by_zone[machine.zone];
  }
  const auto task_id = assignment.task;
  machine.assignments.emplace(task_id, std::move(assignment));
  fleet_.refresh(machine);
}

void Leader::note_overload(double wanted, double lacking) {
  if (!queue_.observe(loop().now(), wanted, lacking)) return;
  if (queue_.overloaded())
    log_->warn(
        "overload: {:.0f} of {:.0f} cores wanted cannot be had; teams and classes take turns, what is "
        "nearest to its end first",
        lacking, wanted);
  else
    log_->info("overload: over, work goes by slack again");
}

// The paper's Algorithm 4: goes through the waiting jobs, best first, and starts their tasks where they fit.
void Leader::place() {
  if (!may_act() || machine_types_.empty() || loop().now() < unread_leases_until_) return answer_pending();
  apply_gang_actions();
  move_gangs();
  review_preemptions();
  preemption_reservations_.pass_begins();
  const auto& order = queue_.in_order({loop().now(), loop().wall()});
  place_with_next_order();
  PlacementTurn turn;
  for (const auto& waiting : pending_responses_) turn.answered_machines.insert(waiting.machine_id);
  for (const auto& candidate : order) {
    if (turn.binds_left <= 0) break;
    place_job(candidate, turn);
  }
  send_starts(turn);
  answer_pending();
  if (turn.binds_left > 0) preemption_reservations_.pass_over();
  log_ended_preemptions();
  if (turn.tasks_wait) plan_soon();
  // Bounded, so that leases, reports and probes are never late behind thousands of tasks.
  if (turn.binds_left <= 0) place_soon();
}

// The order of many waiting jobs lasts for a while: the next one may show others although nothing happened.
void Leader::place_with_next_order() {
  if (queue_.again_s() <= 0 || place_timer_) return;
  place_timer_ = loop().after(queue_.again_s(), guard([this] {
                                place_timer_.reset();
                                place_soon();
                              }));
}

void Leader::place_job(const queue::Candidate& candidate, PlacementTurn& turn) {
  const bool has_reservation = backfill_reservations_.machine_of(candidate.id) != nullptr ||
                               preemption_reservations_.pending(candidate.id, loop().now());
  const bool hopeless = !has_reservation && turn.unplaceable.cover(candidate);
  // Thousands may wait in vain: only the first of them make room, the others cost a comparison.
  if (hopeless && turn.preemptions_left == 0 && !gangs_.follows(candidate.id)) return;
  auto* const job = queue_.find(candidate.id);
  if (job == nullptr || !may_start(*job)) return;
  if (gangs_.follows(job->spec.id)) {
    turn.binds_left -= place_gangs(*job, turn.starts);
    turn.tasks_wait = turn.tasks_wait || placeable(*job) > 0;
    return;
  }
  if (candidate.first_only && job->started()) return;
  place_tasks(*job, candidate.first_only, hopeless, turn);
}

// Starts the job's ready tasks until one finds no machine; `first_only`: one of them.
void Leader::place_tasks(Job& job, bool first_only, bool hopeless, PlacementTurn& turn) {
  std::uint32_t index = 0;
  while (turn.binds_left > 0 && !job.on_trial() && job.next_ready(index)) {
    if (!team_has_room(job)) {
      job.reason = "the team's limit is reached";
      return;
    }
    const auto search = hopeless ? MachineSearch{} : find_machine(job);
    if (search.machine == nullptr) return wait_for_machine(job, search, hopeless, turn);
    // A service that would have to wait for its image starts sooner where a batch makes room beside it.
    const bool must_fetch = !search.machine->images.contains(job.spec.image);
    if (job.is_service() && must_fetch && !search.preempted && preempt(job, search.machine) && job.ready < 2)
      return;
    start_task(*search.machine, job, index, turn);
    if (first_only) {
      search.machine->assignments.at({job.spec.id, index}).begun_before_others = true;
      return note_begun_early(job);
    }
  }
}

// Where room was made for it, else steady machines first, then preemptible ones if the job allows them.
Leader::MachineSearch Leader::find_machine(const Job& job) {
  MachineSearch search;
  if (auto* const machine = preempted_machine(job)) {
    search.machine = machine;
    search.preempted = true;
    return search;
  }
  search.own_reason = needs_service_reserve(job);
  if (!search.own_reason) pick(job, false, search);
  if (search.machine == nullptr && job.spec.allows_preemptible) pick(job, true, search);
  return search;
}

// Room that services to come will need is not given to batches.
// Except to the few for which a machine drains: what ends beside it goes to smaller ones, which fit above the
// reserve sooner.
bool Leader::needs_service_reserve(const Job& job) const {
  if (job.is_service() || backfill_reservations_.machine_of(job.spec.id) != nullptr) return false;
  double steady_free = 0;
  for (const auto& [pool, state] : fleet_.pools())
    if (!pool.preemptible) steady_free += state.sums.free_cores;
  return steady_free - job.spec.request.cores < autoscaler_.reserved_cores() - kRounding;
}

// The job's next task found no machine: says why, and may make one drain or stop other tasks for it.
void Leader::wait_for_machine(Job& job, const MachineSearch& search, bool hopeless, PlacementTurn& turn) {
  turn.tasks_wait = true;
  if (!job.faulty) job.reason = kNoMachineHasRoom;
  if (!hopeless && !search.own_reason && !job.spec.machine_types && !job.spec.zone)
    turn.unplaceable.add({job.spec.request, job.spec.allows_preemptible, search.reserved ? task_s(job) : 0,
                          search.reserved ? effective_priority(job) : wire::Priority::production});
  // Also when less is free in all than it needs, as in any full fleet.
  if (queue_.overdue(job, loop().wall()) && reserve_for_backfill(job)) job.reason = kDrains;
  if (job.faulty || turn.preemptions_left == 0) return;
  --turn.preemptions_left;
  preempt(job);
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

void Leader::start_task(Machine& machine, Job& job, std::uint32_t index, PlacementTurn& turn) {
  assign(machine, job, index);
  backfill_reservations_.release(job.spec.id);
  preemption_reservations_.placed(job.spec.id, machine.id, job.ready > 0, effective_priority(job));
  --turn.binds_left;
  const wire::TaskId task{job.spec.id, index};
  log_start(machine, task);
  // A machine whose heartbeat waits for its answer gets the order with it.
  if (!turn.answered_machines.contains(machine.id))
    turn.starts[machine.id].push_back({CommandType::start, task, machine.assignments.at(task).attempt, 0});
  if (job.ready == 0) job.reason.clear();
}

void Leader::note_begun_early(const Job& job) {
  ++event_counts_["large jobs begun before others"];
  log_->debug("job {}: begins before others, {:.0f} s after its waiting began", job.spec.id.value,
              loop().wall() - job.eligible_at);
}

void Leader::send_starts(PlacementTurn& turn) {
  for (auto& [host, commands] : turn.starts) {
    if (turn.answered_machines.contains(host)) continue;
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
  if (!backfill_reservations_.wants(job.spec.id, now))
    return backfill_reservations_.machine_of(job.spec.id) != nullptr;
  const Machine* best = nullptr;
  double best_at = std::numeric_limits<double>::max();
  fleet_.visit_after(backfill_cursor_, kMachinesLookedAt, [&](const Machine& machine) {
    if (!drains(machine) || backfill_reservations_.reserved(machine.id)) return;
    if (preemption_reservations_.reserved(machine.id, now)) return;
    if (!could_run_on(machine, job) || job.failed_on.contains(machine.id)) return;
    const auto at = has_room_at(machine, job.spec.request);
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
std::optional<double> Leader::has_room_at(const Machine& machine, const wire::Resources& request) const {
  struct Ending {
    double at = 0;
    wire::Resources resources;
  };
  const double now = loop().now();
  std::vector<Ending> endings;
  for (const auto& [task_id, assignment] : machine.assignments) {
    const auto job = jobs_.find(task_id.job);
    if (job == jobs_.end() || (assignment.service && !assignment.stopping)) continue;
    const double remaining_s = std::max(0.0, task_s(job->second) - assignment.running_s(now));
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

void Leader::answer_pending() {
  for (auto& waiting : std::exchange(pending_responses_, {})) {
    auto* machine = fleet_.find(waiting.machine_id);
    if (machine == nullptr || !may_act())
      waiting.reply({});
    else
      answer_heartbeat(*machine, waiting.sequence, waiting.reply);
  }
}

}  // namespace bankhill::leader
