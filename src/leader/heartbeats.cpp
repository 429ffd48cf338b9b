// Heartbeats of agents: what they show of their machines and tasks.
#include <algorithm>
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Assignment;
using model::AssignmentState;
using model::ExitedAttempt;
using model::Machine;
using queue::estimated_runtime_s;
using wire::Command;
using wire::ExitReason;
using wire::TaskState;

namespace {
// A heartbeat that arrives later than this share of the heartbeat interval after the previous one is a
// regular one; an earlier one reports a change.
constexpr double kRegularHeartbeatShare = 0.7;
}  // namespace

void Leader::on(HeartbeatReceived& message) {
  if (!is_active_leader()) return message.reply({});
  record_leading();
  const auto& heartbeat = message.heartbeat;
  if (message.route == net::HeartbeatRoute::relayed) reachability_probe_.record_suspicion();
  const bool brief = message.base_sequence != 0;
  const wire::HeartbeatResponse resend_response{0, wire::HeartbeatResult::resend_in_full, {}, {}};
  auto* machine = fleet_.find(heartbeat.machine_id);
  if (machine == nullptr) {
    if (brief) return message.reply(resend_response);
    // The lease of an unregistered machine is not tracked, so it is not extended while anything runs there
    // (invariants 5 and 29).
    const bool idle = std::none_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                                   [](const auto& task_status) { return task_status.is_active(); });
    probe_unregistered_machine(heartbeat, idle);
    return message.reply(idle ? accepted_response({}) : wire::HeartbeatResponse{});
  }
  // Invariant 26: the agent no longer waits for a response to an outdated or duplicate heartbeat, so none may
  // extend its lease.
  if (machine->already_received(heartbeat)) {
    ++event_counts_["outdated or duplicate heartbeats"];
    return message.reply({});
  }
  if (message.route == net::HeartbeatRoute::direct) machine_monitor_.record_direct_contact();
  if (brief && !apply_brief_heartbeat(*machine, heartbeat, message.base_sequence, message.forwarded_by))
    return message.reply(resend_response);
  if (!brief && !machine->rented_this_term && heartbeat.fencing_token.value < first_term_)
    return on_heartbeat_with_old_token(*machine, heartbeat, message.reply);
  if (!brief) on_machine_up(*machine, heartbeat, true);
  const bool is_new = brief || apply_heartbeat(*machine, heartbeat, &message.forwarded_by);
  machine->heartbeat_sequence = heartbeat.sequence;
  machine->last_heartbeat_received_at = loop().now();
  machine_monitor_.update_uplink(*machine);
  // A response with a valid fencing token extends the agent's lease whatever it contains, even if the
  // response to a direct request has overtaken the heartbeat. If the extension were not counted, tasks would
  // be started elsewhere while they still run here (invariant 6).
  machine->lease.record_renewal(loop().now());
  machine->answered_at = loop().now();
  update_lease_forecast(*machine);
  if (!is_new) return message.reply(accepted_response(stop_commands_for(heartbeat)));
  machine->downlink.response_sent(loop().now(), heartbeat.sequence, heartbeat.agent_epoch,
                                  wire::FencingToken{term_}, message.forwarded_by);
  // Tasks placed in the scheduled pass are started with this response, which saves a request and a heartbeat
  // for each task.
  if (!queue_.jobs().empty() && machine->takes_tasks() && machine->available().cores > 0) {
    pending_responses_.push_back({machine->id, heartbeat.sequence, std::move(message.reply)});
    return schedule_placement();
  }
  answer_heartbeat(*machine, heartbeat.sequence, message.reply);
}

// Invariant 26: a heartbeat without a fencing token of this term may have been sent at any time under an
// earlier leader and have been delayed. The leader uses only information that cannot become outdated: that
// agent epochs before the heartbeat's own have ended. Its task list, its preemption notice and the fact that
// the machine is up may long be untrue. An agent that receives the response sends a heartbeat with the new
// fencing token at once.
void Leader::on_heartbeat_with_old_token(Machine& machine, const wire::Heartbeat& heartbeat,
                                         const net::HeartbeatReply& reply) {
  const double now = loop().now();
  // The lease cannot last beyond this point: no earlier leader answered after the term began, and an agent
  // that received a response since would have shown the new fencing token. Later copies must not postpone the
  // expiry.
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
  machine.lease.record_renewal(now);  // The heartbeat may still be current (invariant 6).
  reply(accepted_response(stop_commands_for(heartbeat)));
}

// Invariant 26: probes a machine that no stored record names. It is recorded and used only after it has
// answered; a machine that does not exist costs one request and no more. `answered`: the heartbeat is being
// answered, so the machine's lease has just begun.
void Leader::probe_unregistered_machine(const wire::Heartbeat& heartbeat, bool answered) {
  if (!unregistered_machines_.should_probe(heartbeat, loop().now())) return;
  log_->debug("machine {}: sent a heartbeat but is not registered, probing it", heartbeat.machine_id.value);
  ++event_counts_["unregistered machines probed"];
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
          if (answer.machine_id != machine_id) return;  // The address belongs to another machine by now.
          register_machine(answer, answer.agent_epoch == agent_epoch ? answered_at : std::nullopt);
        } catch (const std::exception& error) {
          log_->warn("machine {}: response to a direct request cannot be parsed: {}", machine_id.value,
                     error.what());
        }
      }));
}

void Leader::register_machine(const wire::Heartbeat& heartbeat, std::optional<double> answered_at) {
  if (rental_manager_.recently_terminated(heartbeat.machine_id)) {
    log_->warn("machine {}: was terminated but still answers, terminating it again",
               heartbeat.machine_id.value);
    rental_manager_.terminate_again(heartbeat.machine_id);
    return;
  }
  const auto [machine, added] = fleet_.add(heartbeat.machine_id);
  if (added) {
    log_->debug("machine {}: not in the fleet, registering it", heartbeat.machine_id.value);
    ++event_counts_["unexpected machines"];
    machine->first_seen = loop().now();
  }
  on_machine_up(*machine, heartbeat, !added);
  if (!apply_heartbeat(*machine, heartbeat, nullptr) || !answered_at) return;
  machine->answered_at = std::max(machine->answered_at, answered_at);
  update_lease_forecast(*machine);
}

void Leader::answer_heartbeat(Machine& machine, std::uint64_t sequence, const net::HeartbeatReply& reply) {
  reply(accepted_response(commands_for(machine, sequence)));
}

// Invariant 19: a brief heartbeat says that everything but the sequence number is as in the heartbeat with
// sequence number `base_sequence`. It is accepted only if that one holds the last task list applied here, in
// this agent epoch and this term, and nothing waits for a newer list. Otherwise the agent must send the
// heartbeat in full.
bool Leader::apply_brief_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat,
                                   std::uint64_t base_sequence, const std::string& forwarded_by) {
  if (!machine.up || !machine.recorded || !machine.confirmed || machine.lease_expired ||
      machine.agent_epoch != heartbeat.agent_epoch || machine.listed_sequence != base_sequence ||
      heartbeat.sequence <= machine.last_sequence)
    return false;
  // The task list should reflect a start command by now but does not: only a full heartbeat can show what
  // became of the start (invariant 6).
  const bool awaits_list =
      std::any_of(machine.assignments.begin(), machine.assignments.end(), [&](const auto& entry) {
        const auto& assignment = entry.second;
        return assignment.state == AssignmentState::sent &&
               (assignment.stopping || assignment.in_flight_starts.is_reflected_in(heartbeat.sequence));
      });
  if (awaits_list) return false;
  const bool was_overdue = machine.overdue;
  observe_downlink(machine, heartbeat, forwarded_by, false, false);
  record_contact(machine, heartbeat, false);
  if (was_overdue) fleet_.refresh(machine);
  return true;
}

void Leader::record_contact(Machine& machine, const wire::Heartbeat& heartbeat, bool direct) {
  const double now = loop().now();
  machine.last_sequence = heartbeat.sequence;
  machine.seen_token = std::max(machine.seen_token, heartbeat.fencing_token);
  if (!direct)
    machine.regular_heartbeat =
        now - machine.last_heartbeat_applied_at >= kRegularHeartbeatShare * settings_.heartbeat_interval_s;
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
    ++event_counts_["machines joined"];
    log_->debug("machine {}: up ({} in {}{})", machine.id.value, machine.machine_type, machine.zone,
                machine.preemptible ? ", spot" : "");
  }
  if (!machine.recorded) record_machine(machine);
}

// Invariant 27: what the machine listed before in the same agent epoch is no longer there, so the machine
// ended and came back under its old name. Its heartbeats cannot be ordered against the earlier ones, copies
// of which may still arrive.
void Leader::on_machine_restarted(Machine& machine) {
  if (machine.terminating) return;
  log_->warn("machine {}: restarted within its agent epoch and lost its tasks, terminating it",
             machine.id.value);
  machine.lease.record_renewal(loop().now());
  terminate(machine, "restarted within its agent epoch");
}

// Evaluates what this heartbeat shows about the delivery of earlier responses.
void Leader::observe_downlink(Machine& machine, const wire::Heartbeat& heartbeat,
                              const std::string& forwarded_by, bool lost_start, bool ran_start) {
  const auto before = machine.downlink.state();
  machine.downlink.heartbeat_received(loop().now(), machine_monitor_.timing(),
                                      {heartbeat.sequence, heartbeat.agent_epoch, heartbeat.fencing_token,
                                       forwarded_by, lost_start, ran_start, !ports_.has_peer_contact()});
  machine_monitor_.on_downlink_changed(machine, before);
}

bool Leader::apply_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat,
                             const std::string* forwarded_by) {
  const bool direct = forwarded_by == nullptr;
  // Invariant 11.
  if (std::pair(heartbeat.agent_epoch, heartbeat.sequence) <=
      std::pair(machine.agent_epoch, machine.last_sequence))
    return false;
  const double now = loop().now();
  // A start command in an earlier response should be listed, whatever became of the task. If it is not, the
  // command never arrived: the task is withdrawn at once, instead of being sent again to a machine whose
  // downlink may be lost.
  bool lost_start = false;
  bool ran_start = false;
  if (!direct && heartbeat.agent_epoch == machine.agent_epoch) {
    std::set<wire::TaskId> listed_tasks;
    for (const auto& task_status : heartbeat.tasks) listed_tasks.insert(task_status.task);
    for (auto& [task_id, assignment] : machine.assignments) {
      if (assignment.state != AssignmentState::sent ||
          !assignment.in_flight_starts.is_reflected_in(heartbeat.sequence))
        continue;
      (listed_tasks.contains(task_id) ? ran_start : lost_start) = true;
      if (!listed_tasks.contains(task_id)) assignment.stopping = true;
    }
    if (lost_start) ++event_counts_["start commands lost"];
  }
  const bool epoch_began = heartbeat.agent_epoch > machine.agent_epoch;
  if (epoch_began && machine.agent_epoch.value != 0) on_new_agent_epoch(machine, heartbeat.agent_epoch);
  // An agent epoch that is new to this leader began at an unknown time before now, so its lease is counted
  // from now. Otherwise a direct response would bring back a machine whose lease appears to have expired long
  // ago.
  if (epoch_began || machine.lease_expired) {
    machine.lease.record_renewal(now);
    machine.answered_at.reset();
  }
  machine.agent_epoch = heartbeat.agent_epoch;
  if (epoch_began) machine.heartbeat_sequence = 0;
  machine.listed_sequence = heartbeat.sequence;
  if (!direct) observe_downlink(machine, heartbeat, *forwarded_by, lost_start, ran_start);
  record_contact(machine, heartbeat, direct);
  const bool confirms = !machine.confirmed && machine.seen_token.value >= first_term_;
  if (confirms) {
    // From here on no command of an earlier leader can take effect (invariant 5).
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
      record_inherited_task_seen(known->second);
    apply_task_status(machine, task_status);
  }
  std::erase_if(machine.exited_attempts, [&](const auto& entry) { return !listed.contains(entry.first); });
  // Invariant 6: a withdrawn start that never happened is removed after no command for it can still be in
  // flight.
  std::vector<wire::TaskId> never_started;
  const auto reflected_sequence = direct ? std::nullopt : std::optional(heartbeat.sequence);
  for (const auto& [task_id, assignment] : machine.assignments) {
    const bool no_start_in_flight = assignment.in_flight_starts.direct_starts_settled(machine.seen_token) &&
                                    assignment.in_flight_starts.response_start_settled(reflected_sequence);
    if (assignment.stopping && assignment.state == AssignmentState::sent && !listed.contains(task_id) &&
        no_start_in_flight)
      never_started.push_back(task_id);
  }
  for (const auto& task_id : never_started) remove_assignment(machine, task_id);
  // An agent lists a task until it is told to forget it, which happens only after the task has exited.
  const bool lost_tasks =
      std::any_of(machine.assignments.begin(), machine.assignments.end(), [&](const auto& entry) {
        const auto& [task_id, assignment] = entry;
        return assignment.state != AssignmentState::sent && assignment.agent_epoch == machine.agent_epoch &&
               !listed.contains(task_id);
      });
  if (lost_tasks) on_machine_restarted(machine);
  fleet_.refresh(machine);
  return true;
}

void Leader::on_new_agent_epoch(Machine& machine, wire::AgentEpoch agent_epoch) {
  log_->debug("machine {}: agent lease expired, its tasks have ended ({} were assigned)", machine.id.value,
              machine.assignments.size());
  ++event_counts_["agent leases expired"];
  std::vector<wire::TaskId> task_ids;
  for (const auto& [task_id, assignment] : machine.assignments)
    if (assignment.agent_epoch < agent_epoch) {
      log_->debug("machine {}: {}, assigned {:.1f} s ago, ended with agent epoch {}", machine.id.value,
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
    // The exit is of an earlier attempt; the current attempt is listed separately.
    if (task_status.state == TaskState::exited) return;
    log_->warn("machine {}: {} runs as attempt {}, expected attempt {}", machine.id.value,
               task_status.task.text(), task_status.attempt.value, assignment.attempt.value);
    assignment.attempt = task_status.attempt;
    // Starts of the expected attempt may still arrive too.
    assignment.in_flight_starts.record_direct_start(wire::FencingToken{term_});
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
      if (!assignment.orphaned) gangs_.tracker().on_task_failing(task_status.task, loop().now());
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
      if (runs) gangs_.tracker().on_task_running(task_status.task, loop().now());
    }
  }
}

// Counts an inherited task as usage of its machine, and no longer as part of the usage that was not seen yet
// (invariant 21). Called only for a machine that has shown a fencing token of this term: a delayed heartbeat
// may list an agent epoch that ended under the earlier leader and whose tasks were replaced by others.
void Leader::record_inherited_task_seen(const Assignment& assignment) {
  if (!assignment.team.empty() && term_of_attempt(assignment.attempt) < first_term_)
    quota_.inherited_task_seen(assignment.team, assignment.request);
}

// The starts of an attempt that this leader has no record of. What earlier leaders sent is ruled out by each
// response of this term; an attempt of this term may have been sent directly under the current token.
model::InFlightStarts Leader::possible_starts_of(wire::AttemptNumber attempt) const {
  model::InFlightStarts starts;
  if (term_of_attempt(attempt) >= first_term_) starts.record_direct_start(wire::FencingToken{term_});
  return starts;
}

void Leader::adopt_task(Machine& machine, const wire::TaskStatus& task_status) {
  const auto job = jobs_.find(task_status.task.job);
  const bool known = job != jobs_.end() && task_status.task.index < job->second.spec.task_count;
  const bool live = known && job->second.is_live();
  if (task_status.state == TaskState::exited) {
    auto [entry, added] = machine.exited_attempts.try_emplace(task_status.task);
    if (!added && entry->second.attempt == task_status.attempt) return;
    entry->second = ExitedAttempt{task_status.attempt, true, possible_starts_of(task_status.attempt)};
    if (live && task_status.exit_reason == ExitReason::done &&
        job->second.task_progress[task_status.task.index] != model::kTaskDone) {
      // The task finished under an earlier leader, or just before the machine's lease expired.
      const bool assigned_elsewhere =
          job->second.task_progress[task_status.task.index] == model::kTaskAssigned;
      if (assigned_elsewhere) return;  // The other attempt will exit with done itself.
      entry->second.stored = false;
      on_task_completed(job->second, task_status.task.index, exit_stored_callback(machine, task_status.task));
    }
    return;
  }
  Assignment assignment;
  assignment.task = task_status.task;
  assignment.attempt = task_status.attempt;
  assignment.agent_epoch = machine.agent_epoch;
  assignment.in_flight_starts = possible_starts_of(task_status.attempt);
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
    assignment.request = machine.capacity;  // The request is unknown, so the machine counts as full.
  }
  if (!assignment.orphaned) {
    job->second.set_task_progress(task_status.task.index, model::kTaskAssigned);
    update_queue_membership(job->second);
  } else {
    log_->debug("machine {}: {} is orphaned, stopping it", machine.id.value, task_status.task.text());
    ++event_counts_["orphaned tasks"];
  }
  if (machine.confirmed && machine.seen_token.value >= first_term_) record_inherited_task_seen(assignment);
  const bool orphaned = assignment.orphaned;
  add_assignment(machine, std::move(assignment));
  if (!orphaned && gangs_.has_job(task_status.task.job)) {
    gangs_.tracker().on_task_found(task_status.task, {machine.id, machine.zone}, loop().now());
    if (machine.draining)
      gangs_.tracker().request_move(task_status.task, machine.preemption_at.has_value(), loop().now());
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
  if (!assignment.orphaned) gangs_.tracker().on_task_ended(task_id, loop().now());
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

void Leader::on_preemption_notice(Machine& machine, double preemption_notice_s) {
  const double now = loop().now();
  if (machine.preemption_at) return;
  machine.preemption_at = now + preemption_notice_s;
  drain(machine, "preemption notice from the cloud");
  autoscaler_.on_machine_reclaimed(machine.machine_type);
  log_->debug("machine {}: preemption notice, the cloud reclaims it in {} s, {} tasks assigned",
              machine.id.value, preemption_notice_s, machine.assignments.size());
  ++event_counts_["preemption notices"];
  for (auto& [task_id, assignment] : machine.assignments) {
    const auto job = jobs_.find(task_id.job);
    // A gang moves as a whole, after all its new machines are found (drain).
    if (job == jobs_.end() || assignment.stopping || gangs_.has_job(task_id.job)) continue;
    const auto& spec = job->second.spec;
    const double remaining_s = estimated_runtime_s(job->second) -
                               (assignment.running_since > 0 ? now - assignment.running_since : 0);
    // Tasks that end in the first half of the notice period may finish. The others are stopped now and save a
    // checkpoint if they can.
    if (!job->second.is_service() && assignment.state == AssignmentState::running &&
        remaining_s < preemption_notice_s / 2)
      continue;
    assignment.stopping = true;
    assignment.grace_period_s =
        spec.checkpoint_interval_s > 0 && spec.checkpoint_duration_s < preemption_notice_s / 2
            ? spec.checkpoint_duration_s
            : 0;
  }
  schedule_planning();
}

}  // namespace bankhill::leader
