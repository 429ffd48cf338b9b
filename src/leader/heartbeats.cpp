// Reports of workers, and the orders that answer them.
#include <algorithm>
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Assignment;
using model::AssignmentState;
using model::ExitedAttempt;
using model::Job;
using model::Machine;
using queue::estimated_runtime_s;
using state::FlushDelay;
using wire::Command;
using wire::CommandType;
using wire::ExitReason;
using wire::TaskState;

namespace {
// Failures before a machine or a job counts as the faulty one.
constexpr std::uint32_t kMachineErrors = 3;
constexpr std::size_t kMachineErrorJobs = 2;
constexpr std::size_t kJobErrorMachines = 3;
const std::string kUnhealthy = "its tasks fail";
constexpr double kFirstBackoff = 2;  // in control intervals
constexpr double kLastBackoff = 20;
// Exited attempts that wait to be forgotten with the next orders: alone they would cost a heartbeat each.
constexpr std::size_t kForgetAlone = 64;
constexpr double kRegularReport =
    0.7;  // of the heartbeat interval: after this it is not a change that is reported
constexpr std::size_t kMaxOrders = 400;  // keeps an answer below 64 KiB

bool runs(const wire::TaskStatus& task_status) { return task_status.state != TaskState::exited; }

// Invariant 34: an answer extends the lease of all that the heartbeat lists, so it stops what is over,
// whatever else is not believed of the heartbeat: the next answer may never arrive. It names the attempt: one
// that is no longer there is not harmed.
std::vector<Command> stops_for(const wire::Heartbeat& heartbeat, const std::map<wire::JobId, Job>& jobs) {
  std::vector<Command> stops;
  for (const auto& task_status : heartbeat.tasks) {
    const auto job = jobs.find(task_status.task.job);
    const bool over = job == jobs.end() || job->second.has_ended();
    if (over && runs(task_status) && stops.size() < kMaxOrders)
      stops.push_back({CommandType::stop, task_status.task, task_status.attempt, 0});
  }
  return stops;
}
}  // namespace

// Everything that lengthens a worker's lease goes through here (invariant 34).
wire::HeartbeatResponse Leader::accepted_response(std::vector<Command> commands) const {
  if (!is_active_leader()) return {};
  return {0, wire::HeartbeatResult::accepted, wire::FencingToken{term_}, std::move(commands)};
}

void Leader::on(HeartbeatReceived& message) {
  if (!is_active_leader()) return message.reply({});
  note_acting();
  const auto& heartbeat = message.heartbeat;
  if (message.route == net::HeartbeatRoute::relayed) reachability_probe_.note_suspicion();
  const bool brief = message.base_sequence != 0;
  const wire::HeartbeatResponse in_full{0, wire::HeartbeatResult::resend_in_full, {}, {}};
  auto* machine = fleet_.find(heartbeat.machine_id);
  if (machine == nullptr) {
    if (brief) return message.reply(in_full);
    // Its lease is not counted here: it does not go on while anything runs there (invariants 5 and 29).
    const bool idle = std::none_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), runs);
    probe_unregistered(heartbeat, idle);
    return message.reply(idle ? accepted_response({}) : wire::HeartbeatResponse{});
  }
  // Invariant 26: its worker waits for no answer to this one, so none extends a lease.
  if (machine->already_received(heartbeat)) {
    ++event_counts_["reports came again or too late"];
    return message.reply({});
  }
  if (message.route == net::HeartbeatRoute::direct) machine_monitor_.note_direct_contact();
  if (brief && !apply_brief_heartbeat(*machine, heartbeat, message.base_sequence, message.forwarded_by))
    return message.reply(in_full);
  if (!brief && !machine->rented_this_term && heartbeat.fencing_token.value < first_term_)
    return on_undated_heartbeat(*machine, heartbeat, message.reply);
  if (!brief) on_machine_up(*machine, heartbeat, true);
  const bool news = brief || apply_heartbeat(*machine, heartbeat, &message.forwarded_by);
  machine->heartbeat_sequence = heartbeat.sequence;
  machine->last_heartbeat_received_at = loop().now();
  machine_monitor_.update_reporting(*machine);
  // An answer with a valid fencing token extends the worker's lease whatever it holds: also when a direct
  // answer has overtaken the heartbeat. Else its tasks would be started elsewhere while they still run
  // (invariant 6).
  machine->lease.record_renewal(loop().now());
  machine->answered_at = loop().now();
  update_lease_forecast(*machine);
  if (!news) return message.reply(accepted_response(stops_for(heartbeat, jobs_)));
  machine->downlink.response_sent(loop().now(), heartbeat.sequence, heartbeat.agent_epoch,
                                  wire::FencingToken{term_}, message.forwarded_by);
  // What is placed now goes out with the answer: that spares a request and a heartbeat for each task.
  if (!queue_.jobs().empty() && machine->takes_tasks() && machine->available().cores > 0) {
    pending_responses_.push_back({machine->id, heartbeat.sequence, std::move(message.reply)});
    return schedule_placement();
  }
  answer_heartbeat(*machine, heartbeat.sequence, message.reply);
}

// Invariant 26: what shows no fencing token of this term may have been sent at any time under an earlier
// leader, and come to this one late. It teaches only what can but rise: that agent epochs before its own are
// over. Its list of tasks, its notice and that the machine is up may long be untrue. A worker that hears the
// answer reports the new fencing token at once.
void Leader::on_undated_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat,
                                  const net::HeartbeatReply& reply) {
  const double now = loop().now();
  // Its lease cannot reach beyond this: no earlier leader answered after the term began, and what was
  // answered since would have shown the fencing token. Later copies must not put off that it counts as over.
  if (machine.inherited && !machine.confirmed && now - term_began_at_ > settings_.lease_s) return reply({});
  if (heartbeat.agent_epoch > machine.agent_epoch) {
    if (machine.agent_epoch.value != 0) on_new_agent_epoch(machine, heartbeat.agent_epoch);
    machine.agent_epoch = heartbeat.agent_epoch;
    machine.last_sequence = machine.listed_sequence = 0;
    machine.answered_at.reset();
    fleet_.refresh(machine);
  }
  machine.heartbeat_sequence = heartbeat.sequence;
  machine.last_contact = machine.last_heartbeat_received_at = now;
  machine.lease.record_renewal(now);  // it may be true all the same (invariant 6)
  reply(accepted_response(stops_for(heartbeat, jobs_)));
}

// Invariant 26: a machine that nothing of ours names. It is recorded and used once it has answered a
// question; one that is not there costs a request and no more.
// `answered`: its heartbeat is, so its lease has just begun.
void Leader::probe_unregistered(const wire::Heartbeat& heartbeat, bool answered) {
  if (!unregistered_.should_probe(heartbeat, loop().now())) return;
  log_->debug("machine {}: reports and is not known here, asking it", heartbeat.machine_id.value);
  ++event_counts_["unknown machines asked"];
  const wire::Json body{
      {"fence", term_}, {"tenure", heartbeat.agent_epoch.value}, {"orders", to_json(std::vector<Command>{})}};
  ports_.workers.send(
      heartbeat.address, {net::Method::post, "/commands", body.dump()}, settings_.control_interval_s,
      guard([this, machine_id = heartbeat.machine_id, term = first_term_, agent_epoch = heartbeat.agent_epoch,
             answered_at =
                 answered ? std::optional(loop().now()) : std::nullopt](const net::Response& response) {
        if (!is_active_leader() || term != first_term_ || (response.status != 200 && response.status != 409))
          return;
        try {
          const auto answer = wire::parse_heartbeat(wire::parse_object(response.body));
          if (answer.machine_id != machine_id) return;  // its address is another's by now
          register_machine(answer, answer.agent_epoch == agent_epoch ? answered_at : std::nullopt);
        } catch (const std::exception& error) {
          log_->warn("machine {}: answer cannot be read: {}", machine_id.value, error.what());
        }
      }));
}

void Leader::register_machine(const wire::Heartbeat& heartbeat, std::optional<double> answered_at) {
  if (rental_manager_.recently_terminated(heartbeat.machine_id)) {
    log_->warn("machine {}: released and still there, releasing it again", heartbeat.machine_id.value);
    rental_manager_.terminate_again(heartbeat.machine_id);
    return;
  }
  const auto [machine, added] = fleet_.add(heartbeat.machine_id);
  if (added) {
    log_->debug("machine {}: unexpected, adding it", heartbeat.machine_id.value);
    ++event_counts_["unexpected machines"];
    machine->first_seen = loop().now();
  }
  on_machine_up(*machine, heartbeat, !added);
  if (!apply_heartbeat(*machine, heartbeat, nullptr) || !answered_at) return;
  machine->answered_at = std::max(machine->answered_at, answered_at);
  update_lease_forecast(*machine);
}

void Leader::answer_heartbeat(Machine& machine, std::uint64_t counter, const net::HeartbeatReply& reply) {
  reply(accepted_response(commands_for(machine, counter)));
}

// Invariant 19: a brief heartbeat says that all but the counter is as in the heartbeat of counter `base`. It
// is taken only where that is the last list of tasks that was applied here, in this agent epoch and this
// term, and nothing waits for a list that is newer; else it must be sent in full.
bool Leader::apply_brief_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat, std::uint64_t base,
                                   const std::string& by) {
  if (!machine.up || !machine.recorded || !machine.confirmed || machine.lease_expired ||
      machine.agent_epoch != heartbeat.agent_epoch || machine.listed_sequence != base ||
      heartbeat.sequence <= machine.last_sequence)
    return false;
  // A start that should be listed by now is missing: the list itself must show it (invariant 6).
  const bool awaited =
      std::any_of(machine.assignments.begin(), machine.assignments.end(), [&](const auto& entry) {
        const auto& assignment = entry.second;
        return assignment.state == AssignmentState::sent &&
               (assignment.stopping || assignment.in_flight_starts.is_reflected_in(heartbeat.sequence));
      });
  if (awaited) return false;
  const bool was_quiet = machine.overdue;
  observe_downlink(machine, heartbeat, by, false, false);
  note_contact(machine, heartbeat, false);
  if (was_quiet) fleet_.refresh(machine);
  return true;
}

void Leader::note_contact(Machine& machine, const wire::Heartbeat& heartbeat, bool direct) {
  const double now = loop().now();
  machine.last_sequence = heartbeat.sequence;
  machine.seen_token = std::max(machine.seen_token, heartbeat.fencing_token);
  if (!direct)
    machine.regular_heartbeat =
        now - machine.last_heartbeat_applied_at >= kRegularReport * settings_.heartbeat_interval_s;
  if (!direct) machine.last_heartbeat_applied_at = now;
  machine.last_contact = now;
  machine.probes_unanswered = 0;
  machine.lease_expired = machine.overdue = false;
}

void Leader::on_machine_up(Machine& machine, const wire::Heartbeat& heartbeat, bool expected) {
  if (!machine.up) {
    machine.up = true;
    machine.address = heartbeat.address;
    machine.machine_type = heartbeat.machine_type;
    machine.zone = heartbeat.zone;
    machine.preemptible = heartbeat.preemptible;
    machine.idle_since = machine.last_heartbeat_received_at = loop().now();
    set_capacity(machine);
    if (expected && !machine.boot_overdue) machine_monitor_.count_boot(true);
    ++event_counts_["machines came up"];
    log_->debug("machine {}: up ({} in {}{})", machine.id.value, machine.machine_type, machine.zone,
                machine.preemptible ? ", spot" : "");
  }
  if (!machine.recorded) record_machine(machine);
}

// Invariant 27: what it told before is not what it is now, in the same agent epoch: it ended and is back
// under its old name. Nothing it says can be put in order with what it said before, copies of which may still
// come.
void Leader::on_machine_restarted(Machine& machine) {
  if (machine.terminating) return;
  log_->warn("machine {}: is back and has forgotten its session, returning it", machine.id.value);
  machine.lease.record_renewal(loop().now());
  terminate(machine, "back without its session");
}

// What this heartbeat shows of the answers before it.
void Leader::observe_downlink(Machine& machine, const wire::Heartbeat& heartbeat, const std::string& by,
                              bool lost_start, bool ran_start) {
  const auto before = machine.downlink.state();
  machine.downlink.heartbeat_received(loop().now(), machine_monitor_.timing(),
                                      {heartbeat.sequence, heartbeat.agent_epoch, heartbeat.fencing_token, by,
                                       lost_start, ran_start, !ports_.has_peer_contact()});
  machine_monitor_.downlink_changed(machine, before);
}

bool Leader::apply_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat, const std::string* by) {
  const bool direct = by == nullptr;
  // Invariant 11.
  if (std::pair(heartbeat.agent_epoch, heartbeat.sequence) <=
      std::pair(machine.agent_epoch, machine.last_sequence))
    return false;
  const double now = loop().now();
  // A start that went with an earlier answer should be listed, whatever became of it. One that is not never
  // arrived: it is taken back at once, instead of given again to a machine that may not hear.
  bool lost_start = false;
  bool ran_start = false;
  if (!direct && heartbeat.agent_epoch == machine.agent_epoch) {
    std::set<wire::TaskId> shown;
    for (const auto& task_status : heartbeat.tasks) shown.insert(task_status.task);
    for (auto& [task_id, assignment] : machine.assignments) {
      if (assignment.state != AssignmentState::sent ||
          !assignment.in_flight_starts.is_reflected_in(heartbeat.sequence))
        continue;
      (shown.contains(task_id) ? ran_start : lost_start) = true;
      if (!shown.contains(task_id)) assignment.stopping = true;
    }
    if (lost_start) ++event_counts_["starts lost"];
  }
  const bool session_begun = heartbeat.agent_epoch > machine.agent_epoch;
  if (session_begun && machine.agent_epoch.value != 0) on_new_agent_epoch(machine, heartbeat.agent_epoch);
  // A agent epoch that is new to us began at some moment before now: its lease is counted from here, or a
  // direct answer would bring back a machine whose lease seems to have run out long ago.
  if (session_begun || machine.lease_expired) {
    machine.lease.record_renewal(now);
    machine.answered_at.reset();
  }
  machine.agent_epoch = heartbeat.agent_epoch;
  if (session_begun) machine.heartbeat_sequence = 0;
  machine.listed_sequence = heartbeat.sequence;
  if (!direct) observe_downlink(machine, heartbeat, *by, lost_start, ran_start);
  note_contact(machine, heartbeat, direct);
  const bool confirms = !machine.confirmed && machine.seen_token.value >= first_term_;
  if (confirms) {
    // From here on nothing that an earlier leader ordered can take effect (invariant 5).
    machine.confirmed = true;
    schedule_placement();
  }
  if (direct) update_lease_forecast(machine);
  if (heartbeat.preemption_notice_s) on_preemption_notice(machine, *heartbeat.preemption_notice_s);
  std::set<wire::TaskId> listed;
  for (const auto& task_status : heartbeat.tasks) {
    listed.insert(task_status.task);
    if (const auto known = machine.assignments.find(task_status.task);
        confirms && known != machine.assignments.end())
      count_inherited(known->second);
    apply_task_status(machine, task_status);
  }
  std::erase_if(machine.exited_attempts, [&](const auto& entry) { return !listed.contains(entry.first); });
  // Invariant 6: a start that was to be taken back and never happened is over once no order for it can
  // still be on its way.
  std::vector<wire::TaskId> never_started;
  const auto shown = direct ? std::nullopt : std::optional(heartbeat.sequence);
  for (const auto& [task_id, assignment] : machine.assignments) {
    const bool none_arrives = assignment.in_flight_starts.direct_starts_settled(machine.seen_token) &&
                              assignment.in_flight_starts.response_start_settled(shown);
    if (assignment.stopping && assignment.state == AssignmentState::sent && !listed.contains(task_id) &&
        none_arrives)
      never_started.push_back(task_id);
  }
  for (const auto& task_id : never_started) remove_assignment(machine, task_id);
  // A worker lists a task until it is told to forget it, and it is told so only once the task has exited.
  const bool lost_tasks =
      std::any_of(machine.assignments.begin(), machine.assignments.end(), [&](const auto& entry) {
        const auto& [member, assignment] = entry;
        return assignment.state != AssignmentState::sent && assignment.agent_epoch == machine.agent_epoch &&
               !listed.contains(member);
      });
  if (lost_tasks) on_machine_restarted(machine);
  fleet_.refresh(machine);
  return true;
}

void Leader::on_new_agent_epoch(Machine& machine, wire::AgentEpoch agent_epoch) {
  log_->debug("machine {}: its lease ran out, its tasks are gone ({})", machine.id.value,
              machine.assignments.size());
  ++event_counts_["leases ran out"];
  std::vector<wire::TaskId> task_ids;
  for (const auto& [task_id, assignment] : machine.assignments)
    if (assignment.agent_epoch < agent_epoch) {
      log_->debug("machine {}: {}, assigned {:.1f} s ago, is gone with agent epoch {}", machine.id.value,
                  task_id.text(), loop().now() - assignment.assigned_at, assignment.agent_epoch.value);
      task_ids.push_back(task_id);
    }
  for (const auto& task_id : task_ids) remove_assignment(machine, task_id);
  machine.exited_attempts.clear();
}

void Leader::apply_task_status(Machine& machine, const wire::TaskStatus& task_status) {
  const auto found = machine.assignments.find(task_status.task);
  if (found == machine.assignments.end()) return adopt_task(machine, task_status);
  auto& assignment = found->second;
  if (assignment.attempt != task_status.attempt) {
    // An attempt of before; ours answers for itself.
    if (task_status.state == TaskState::exited) return;
    log_->warn("machine {}: {} runs as attempt {}, not {}", machine.id.value, task_status.task.text(),
               task_status.attempt.value, assignment.attempt.value);
    assignment.attempt = task_status.attempt;
  }
  const auto job = jobs_.find(task_status.task.job);
  const bool was_running = assignment.state == AssignmentState::running;
  if (assignment.state == AssignmentState::sent)
    preemption_reservations_.start_arrived(task_status.task.job, machine.id);
  switch (task_status.state) {
    case TaskState::pulling_image:
      assignment.state = AssignmentState::pulling_image;
      break;
    case TaskState::running:
      if (!was_running) {
        assignment.running_since = loop().now();
        if (job != jobs_.end())
          log_->debug("machine {}: {} runs {:.1f} s after its job's acceptance, {:.1f} s after placement",
                      machine.id.value, task_status.task.text(), loop().wall() - job->second.accepted_at,
                      loop().now() - assignment.assigned_at);
        if (job != jobs_.end()) fleet_.add_image(machine, job->second.spec.image);
      }
      assignment.state = AssignmentState::running;
      break;
    case TaskState::checkpointing:
      if (!assignment.orphaned) gangs_.tracker().failing(task_status.task, loop().now());
      assignment.state = AssignmentState::checkpointing;
      assignment.stopping = true;
      break;
    case TaskState::exited:
      return on_task_exited(machine, task_status);
  }
  if (job != jobs_.end() && !assignment.orphaned && job->second.is_live()) {
    const bool runs = assignment.state == AssignmentState::running;
    if (runs != was_running) {
      job->second.running_count += runs ? 1 : -1;
      job->second.progress_dirty = true;
      if (runs) gangs_.tracker().running(task_status.task, loop().now());
    }
  }
}

// Of an earlier leader: from here on it counts where it is used, and no more among what was not seen
// (invariant 21). Only of a machine that has shown a fencing token of this term: a heartbeat that was held
// back may tell of an agent epoch that ended under the earlier leader, whose tasks were replaced by others.
void Leader::count_inherited(const Assignment& assignment) {
  if (!assignment.team.empty() && term_of_attempt(assignment.attempt) < first_term_)
    quota_.inherited_task_seen(assignment.team, assignment.request);
}

void Leader::adopt_task(Machine& machine, const wire::TaskStatus& task_status) {
  const auto job = jobs_.find(task_status.task.job);
  const bool known = job != jobs_.end() && task_status.task.index < job->second.spec.task_count;
  const bool live = known && job->second.is_live();
  if (task_status.state == TaskState::exited) {
    auto [entry, added] = machine.exited_attempts.try_emplace(task_status.task);
    if (!added && entry->second.attempt == task_status.attempt) return;
    entry->second = ExitedAttempt{task_status.attempt, true, {}};
    if (live && task_status.exit_reason == ExitReason::done &&
        job->second.task_progress[task_status.task.index] != model::kTaskDone) {
      // Finished under an earlier leader, or just before its lease ran out.
      const bool elsewhere = job->second.task_progress[task_status.task.index] == model::kTaskAssigned;
      if (elsewhere) return;  // the other attempt will exit with done by itself
      entry->second.stored = false;
      on_task_completed(job->second, task_status.task.index, mark_stored(machine, task_status.task));
    }
    return;
  }
  Assignment assignment;
  assignment.task = task_status.task;
  assignment.attempt = task_status.attempt;
  assignment.agent_epoch = machine.agent_epoch;
  assignment.assigned_at = loop().now();
  assignment.orphaned = !live || job->second.task_progress[task_status.task.index] != model::kTaskReady;
  assignment.stopping = assignment.orphaned;
  if (known) {
    assignment.team = job->second.spec.team;
    assignment.job_class = job->second.spec.job_class;
    assignment.priority = effective_priority(job->second);
    assignment.is_service = job->second.is_service();
    assignment.largest = queue_.is_among_largest(job->second);
    assignment.request = job->second.spec.request;
  } else {
    assignment.request = machine.capacity;  // unknown: the machine counts as full
  }
  if (!assignment.orphaned) {
    job->second.set_task_progress(task_status.task.index, model::kTaskAssigned);
    update_queue_membership(job->second);
  } else {
    log_->debug("machine {}: {} has no business here, stopping it", machine.id.value,
                task_status.task.text());
    ++event_counts_["stray tasks"];
  }
  if (machine.confirmed && machine.seen_token.value >= first_term_) count_inherited(assignment);
  const bool alien = assignment.orphaned;
  add_assignment(machine, std::move(assignment));
  if (!alien && gangs_.follows(task_status.task.job)) {
    gangs_.tracker().found(task_status.task, {machine.id, machine.zone}, loop().now());
    if (machine.draining)
      gangs_.tracker().must_leave(task_status.task, machine.preemption_at.has_value(), loop().now());
  }
  apply_task_status(machine, task_status);
}

void Leader::remove_assignment(Machine& machine, const wire::TaskId& task_id) {
  const auto found = machine.assignments.find(task_id);
  if (found == machine.assignments.end()) return;
  const Assignment assignment = std::move(found->second);
  machine.assignments.erase(found);
  machine.used -= assignment.request;
  if (machine.assignments.empty()) {
    machine.used = {};
    machine.idle_since = loop().now();
  }
  if (assignment.is_service) machine.service_cores -= assignment.request.cores;
  quota_.remove(assignment);
  adjust_allocated_cores(assignment, -1);
  on_assignment_removed(machine, assignment);
  fleet_.refresh(machine);
  const auto found_job = jobs_.find(task_id.job);
  if (!assignment.orphaned) gangs_.tracker().gone(task_id, loop().now());
  if (found_job != jobs_.end() && !assignment.orphaned) {
    auto& job = found_job->second;
    job.task_machines.erase(task_id.index);
    if (const auto zone = job.tasks_by_zone.find(machine.zone);
        zone != job.tasks_by_zone.end() && --zone->second == 0)
      job.tasks_by_zone.erase(zone);
    if (job.is_live()) {
      if (assignment.state == AssignmentState::running) --job.running_count;
      if (job.task_progress[task_id.index] == model::kTaskAssigned)
        job.set_task_progress(task_id.index, model::kTaskReady);
      update_queue_membership(job);
    }
  }
  schedule_placement();
}

void Leader::on_task_exited(Machine& machine, const wire::TaskStatus& task_status) {
  const auto found = machine.assignments.find(task_status.task);
  const Assignment assignment = found->second;
  ExitedAttempt exited_attempt{task_status.attempt, true, assignment.in_flight_starts};
  remove_assignment(machine, task_status.task);
  const auto job = jobs_.find(task_status.task.job);
  const bool live = job != jobs_.end() && job->second.is_live() && !assignment.orphaned;
  if (live && task_status.exit_reason == ExitReason::done) {
    machine.errors_in_row = 0;
    machine.error_jobs.clear();
    job->second.failures_in_row = 0;
    job->second.failed_on.clear();
    job->second.reason.clear();
    if (std::exchange(job->second.faulty, false))
      log_->info("job {}: a task ended well, it is no longer taken for faulty", job->second.spec.id.value);
    exited_attempt.stored = false;  // invariant 7
    on_task_completed(job->second, task_status.task.index, mark_stored(machine, task_status.task));
  } else if (live && task_status.exit_reason != ExitReason::stopped) {
    log_->debug("machine {}: {} exited with {}", machine.id.value, task_status.task.text(),
                name_of(task_status.exit_reason));
    ++event_counts_[std::string("tasks exited with ") + name_of(task_status.exit_reason)];
    on_task_failed(machine, job->second, task_status.exit_reason);
  }
  machine.exited_attempts[task_status.task] = exited_attempt;
}

// To be run once an exit is in the store: the attempt may then be forgotten (invariant 7).
std::function<void()> Leader::mark_stored(const Machine& machine, const wire::TaskId& task_id) {
  return [this, machine_id = machine.id, task_id] {
    auto* at = fleet_.find(machine_id);
    if (at == nullptr) return;
    if (const auto left = at->exited_attempts.find(task_id); left != at->exited_attempts.end())
      left->second.stored = true;
  };
}

// Tells a sick machine from a faulty job. A job that failed on several machines with no task done since is
// faulty: one task of it is tried now and then, and its failures say nothing of the machines. A machine is
// sick when several jobs fail there, or one that is well elsewhere does again and again. With one batch in 25
// faulty, counting each failure took 200 good machines out of use on a day without a sick one
// (lakaskalk-ops).
void Leader::on_task_failed(Machine& machine, Job& job, ExitReason cause) {
  job.reason = std::string("a task failed: ") + name_of(cause);
  job.progress_dirty = true;
  if (cause == ExitReason::error) {
    job.failed_on.insert(machine.id);
    // A job of which a replica serves is no faulty one: no service ever ends well.
    const bool serves = gangs_.tracker().whole(job.spec.id) > 0;
    if (!job.faulty) {
      ++machine.errors_in_row;
      machine.error_jobs.insert(job.spec.id);
      if (job.failed_on.size() >= kJobErrorMachines && !serves) {
        job.faulty = true;
        log_->warn(
            "job {}: its tasks fail on {} machines; one at a time is tried until it is well or cancelled",
            job.spec.id.value, job.failed_on.size());
        clear_suspicion(job);
      }
    }
    const bool sick =
        machine.error_jobs.size() >= kMachineErrorJobs ||
        (!job.faulty && (job.finished_count > 0 || serves) && machine.errors_in_row >= kMachineErrors);
    if (sick && !machine.draining) {
      drain(machine, kUnhealthy);
      log_->warn("machine {}: tasks keep failing there, taking it out of use", machine.id.value);
    }
    if (!job.faulty) return;
    job.reason = "its tasks fail on every machine tried";
  }
  // Refused, or failing everywhere: not again at once, and with growing pauses.
  const double now = loop().now();
  if (now < job.blocked_until) return;
  ++job.failures_in_row;
  job.blocked_until =
      now + std::min(kLastBackoff, kFirstBackoff * job.failures_in_row) * settings_.control_interval_s;
  if (job.faulty) job.failed_on.clear();
}

// The machines that a faulty job failed on are not to blame for it.
void Leader::clear_suspicion(Job& job) {
  for (const auto& host : job.failed_on) {
    auto* machine = fleet_.find(host);
    if (machine == nullptr || machine->error_jobs.erase(job.spec.id) == 0) continue;
    machine->errors_in_row = 0;
    if (machine->error_jobs.size() < kMachineErrorJobs) cancel_drain(*machine, kUnhealthy);
  }
}

void Leader::on_task_completed(Job& job, std::uint32_t index, std::function<void()> then) {
  job.set_task_progress(index, model::kTaskDone);
  update_queue_membership(job);
  ++event_counts_["tasks done"];
  if (job.finished_count < job.spec.task_count)
    return completion_bitmaps_.store(completion_bitmaps_.record_of(job, index / wire::kCompletionChunkTasks),
                                     FlushDelay::exits, std::move(then));
  log_->debug("job {}: all {} tasks done, {:.1f} s after acceptance ({} guessed {:.1f} s each)",
              job.spec.id.value, job.spec.task_count, loop().wall() - job.accepted_at, job.spec.job_class,
              job.spec.estimated_runtime_s);
  ++event_counts_["jobs done"];
  write_job_done(job, std::move(then));
}

void Leader::write_job_done(const Job& job, Continuation then) {
  writes_.store(
      wire::job_key(job.spec.id),
      final_record_json(make_job_record(job), wire::JobState::done, loop().wall(), writes_.value_limit()),
      dependencies_.has_dependents(job.spec.id) ? FlushDelay::awaited : FlushDelay::none, std::move(then));
}

// The assignment is to be stopped; returns the command that does it.
Command Leader::mark_stopping(Assignment& assignment, double grace_period_s) {
  assignment.stopping = true;
  assignment.grace_period_s = grace_period_s;
  return {CommandType::stop, assignment.task, assignment.attempt, grace_period_s};
}

void Leader::stop_all(const Job& job) {
  std::map<wire::MachineId, std::vector<Command>> commands;
  for (const auto& [index, host] : job.task_machines) {
    auto* machine = fleet_.find(host);
    if (machine == nullptr) continue;
    const auto assignment = machine->assignments.find({job.spec.id, index});
    if (assignment != machine->assignments.end())
      commands[host].push_back(mark_stopping(assignment->second, 0));
  }
  for (auto& [host, list] : commands) send_command(*fleet_.find(host), std::move(list));
}

std::vector<Command> Leader::commands_for(Machine& machine, std::uint64_t answered_counter) {
  std::vector<Command> forgets;
  for (auto& [task_id, exited_attempt] : machine.exited_attempts) {
    // Invariant 7: a start of this attempt that is still on its way would start it once more.
    if (exited_attempt.stored && exited_attempt.in_flight_starts.direct_starts_settled(machine.seen_token) &&
        forgets.size() < kMaxOrders / 2)
      forgets.push_back({CommandType::forget, task_id, exited_attempt.attempt, 0});
  }
  std::vector<Command> commands;
  for (auto& [task_id, assignment] : machine.assignments) {
    if (commands.size() >= kMaxOrders / 2) break;
    if (assignment.stopping) {
      commands.push_back({CommandType::stop, task_id, assignment.attempt, assignment.grace_period_s});
    } else if (assignment.state == AssignmentState::sent && machine.takes_tasks()) {
      commands.push_back({CommandType::start, task_id, assignment.attempt, 0});
      assignment.in_flight_starts.record_response_start(answered_counter);
    }
  }
  // The worker reports again when it has forgotten something: that can wait for orders or the next regular
  // report. First in the answer all the same: a start may be of a task that is forgotten here.
  if (commands.empty() && !machine.regular_heartbeat && forgets.size() < kForgetAlone) return commands;
  forgets.insert(forgets.end(), commands.begin(), commands.end());
  return forgets;
}

void Leader::send_command(Machine& machine, std::vector<Command> commands, Continuation over) {
  if (!is_active_leader() || machine.address.empty()) {
    if (over) loop().post(guard(std::move(over)));
    return;
  }
  for (const auto& command : commands)
    if (command.type == CommandType::start)
      machine.assignments.at(command.task).in_flight_starts.record_direct_start();
  const wire::FencingToken fencing_token{term_};
  // A machine whose agent epoch is not known yet answers 409 with its heartbeat, which tells it.
  const auto agent_epoch = std::max<std::uint64_t>(1, machine.agent_epoch.value);
  const wire::Json body{
      {"fence", fencing_token.value}, {"tenure", agent_epoch}, {"orders", to_json(commands)}};
  machine.last_probe = loop().now();
  machine.downlink.probe_sent(loop().now(), machine_monitor_.timing());
  // A question without orders may be missed: where services wait for it, less long.
  const bool brief = !machine.confirmed || (commands.empty() && machine.service_cores > 0);
  const double patience =
      brief ? kUnconfirmedTimeoutIntervals * settings_.control_interval_s : settings_.control_interval_s;
  ports_.workers.send(machine.address, {net::Method::post, "/commands", body.dump()}, patience,
                      guard([this, machine_id = machine.id, commands = std::move(commands),
                             asked = ProbeState{fencing_token, machine.newest_received()}, term = first_term_,
                             over = std::move(over)](const net::Response& response) {
                        if (!is_leader_ || term != first_term_) return;
                        on_command_answered(machine_id, commands, asked, response);
                        if (over) over();
                      }));
}

void Leader::on_command_answered(const wire::MachineId& machine_id, const std::vector<Command>& commands,
                                 const ProbeState& asked, const net::Response& response) {
  const auto fencing_token = asked.fencing_token;
  auto* found = fleet_.find(machine_id);
  if (found == nullptr) return;
  auto& machine = *found;
  const bool certain = response.status == 200 || response.status == 409;
  for (const auto& command : commands) {
    if (command.type != CommandType::start) continue;
    if (const auto assignment = machine.assignments.find(command.task);
        assignment != machine.assignments.end() && assignment->second.attempt == command.attempt) {
      assignment->second.in_flight_starts.record_direct_result(fencing_token, certain);
    } else if (const auto left = machine.exited_attempts.find(command.task);
               left != machine.exited_attempts.end() && left->second.attempt == command.attempt) {
      left->second.in_flight_starts.record_direct_result(fencing_token, certain);
    }
    if (!certain) machine.uncertain_start_at = loop().now();
  }
  const auto hearing = machine.downlink.state();
  machine.downlink.probe_ended(loop().now(), machine_monitor_.timing(), certain);
  if (!certain && std::any_of(commands.begin(), commands.end(),
                              [](const Command& command) { return command.type == CommandType::start; }))
    machine.downlink.command_unanswered(loop().now());
  machine_monitor_.downlink_changed(machine, hearing);
  if (!certain) {
    ++machine.probes_unanswered;
    reachability_probe_.note_suspicion();
    return;
  }
  machine_monitor_.note_direct_contact();
  try {
    const auto heartbeat = wire::parse_heartbeat(wire::parse_object(response.body));
    if (heartbeat.machine_id != machine.id) return;
    if (std::pair(heartbeat.agent_epoch, heartbeat.sequence) <= asked.newest)
      return on_machine_restarted(machine);
    const auto before = machine.agent_epoch;
    apply_heartbeat(machine, heartbeat, nullptr);
    // A agent epoch other than assumed: show the fencing token again, for the agent epoch it has.
    if (response.status == 409 && !machine.confirmed && machine.agent_epoch != before)
      send_command(machine, {});
  } catch (const std::exception& error) {
    log_->warn("machine {}: answer cannot be read: {}", machine_id.value, error.what());
  }
}

void Leader::on_preemption_notice(Machine& machine, double preemption_notice_s) {
  const double now = loop().now();
  if (machine.preemption_at) return;
  machine.preemption_at = now + preemption_notice_s;
  drain(machine, "the cloud takes it back");
  autoscaler_.on_machine_reclaimed(machine.machine_type);
  log_->debug("machine {}: the cloud takes it in {} s, {} tasks", machine.id.value, preemption_notice_s,
              machine.assignments.size());
  ++event_counts_["machines warned"];
  for (auto& [task_id, assignment] : machine.assignments) {
    const auto job = jobs_.find(task_id.job);
    // A replica that spans machines moves as one, when all its places are found (drain).
    if (job == jobs_.end() || assignment.stopping || gangs_.follows(task_id.job)) continue;
    const auto& spec = job->second.spec;
    const double left = estimated_runtime_s(job->second) -
                        (assignment.running_since > 0 ? now - assignment.running_since : 0);
    // What ends before the notice does may end; the rest moves now, saving what it can.
    if (!job->second.is_service() && assignment.state == AssignmentState::running &&
        left < preemption_notice_s / 2)
      continue;
    assignment.stopping = true;
    assignment.grace_period_s =
        spec.checkpoint_interval_s > 0 && spec.checkpoint_duration_s < preemption_notice_s / 2
            ? spec.checkpoint_duration_s
            : 0;
  }
  plan_soon();
}

}  // namespace bankhill::leader
