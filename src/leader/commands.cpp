// Commands to agents: in responses to their heartbeats and sent directly, and the answers to the direct ones.
#include <algorithm>
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Assignment;
using model::AssignmentState;
using model::Job;
using model::Machine;
using wire::Command;
using wire::CommandType;

namespace {
// Minimum number of forget commands that are sent in a response of their own. Fewer wait for other commands
// or the next regular heartbeat, because an agent that executes forget commands sends another heartbeat.
constexpr std::size_t kMinForgetBatch = 64;
// Maximum number of commands in a response, which keeps it below 64 KiB.
constexpr std::size_t kMaxCommands = 400;
}  // namespace

// The only place that creates responses that extend an agent's lease (invariant 34).
wire::HeartbeatResponse Leader::accepted_response(std::vector<Command> commands) const {
  if (!is_active_leader()) return {};
  return {0, wire::HeartbeatResult::accepted, wire::FencingToken{term_}, std::move(commands)};
}

// Invariant 34: a response extends the lease of all tasks that the heartbeat lists, so it stops those of
// ended jobs, even if the rest of the heartbeat is not trusted: the next response may never arrive. Each
// command names the attempt, so a newer attempt of the task is not affected.
std::vector<Command> Leader::stop_commands_for(const wire::Heartbeat& heartbeat) const {
  std::vector<Command> stops;
  for (const auto& task_status : heartbeat.tasks) {
    const auto job = jobs_.find(task_status.task.job);
    const bool job_ended = job == jobs_.end() || job->second.has_ended();
    if (job_ended && task_status.is_active() && stops.size() < kMaxCommands)
      stops.push_back({CommandType::stop, task_status.task, task_status.attempt, 0});
  }
  return stops;
}

// Marks the assignment as stopping; returns the stop command.
Command Leader::mark_stopping(Assignment& assignment, double grace_period_s) {
  assignment.stopping = true;
  assignment.grace_period_s = grace_period_s;
  return {CommandType::stop, assignment.task, assignment.attempt, grace_period_s};
}

// Withdraws a start that the heartbeat being answered does not show, from a machine that gets no more starts:
// the start may have been lost, and the task would stay bound to the machine (invariant 6).
void Leader::withdraw_start(const Machine& machine, Assignment& assignment) {
  assignment.stopping = true;
  ++event_counts_["starts withdrawn from draining machines"];
  log_->debug("machine {}: {} has not started before the drain, its start is withdrawn", machine.id.value,
              assignment.task.text());
}

void Leader::stop_all_tasks(const Job& job) {
  std::map<wire::MachineId, std::vector<Command>> commands;
  for (const auto& [index, machine_id] : job.task_machines) {
    auto* machine = fleet_.find(machine_id);
    if (machine == nullptr) continue;
    const auto assignment = machine->assignments.find({job.spec.id, index});
    if (assignment != machine->assignments.end())
      commands[machine_id].push_back(mark_stopping(assignment->second, 0));
  }
  for (auto& [machine_id, list] : commands) send_commands(*fleet_.find(machine_id), std::move(list));
}

// Tells afterwards why an attempt could be forgotten: the token rules out direct starts sent under lower
// ones.
void Leader::log_forgets(const Machine& machine, const std::vector<Command>& forgets) {
  if (forgets.empty()) return;
  event_counts_["exited attempts forgotten"] += forgets.size();
  for (const auto& forget : forgets)
    log_->debug("machine {}: attempt {} of {} is forgotten under fencing token {}, agent epoch {}",
                machine.id.value, forget.attempt.value, forget.task.text(), term_, machine.agent_epoch.value);
}

std::vector<Command> Leader::commands_for(Machine& machine, std::uint64_t answered_sequence) {
  std::vector<Command> forgets;
  for (auto& [task_id, exited_attempt] : machine.exited_attempts) {
    // Invariant 7: a direct start command of this attempt that arrives later would start it once more.
    // The agent has seen the token of this response when it executes the commands.
    const bool settled = exited_attempt.in_flight_starts.direct_starts_settled(wire::FencingToken{term_});
    if (exited_attempt.stored && settled && forgets.size() < kMaxCommands / 2)
      forgets.push_back({CommandType::forget, task_id, exited_attempt.attempt, 0});
  }
  std::vector<Command> commands;
  for (auto& [task_id, assignment] : machine.assignments) {
    if (commands.size() >= kMaxCommands / 2) break;
    if (machine.draining && assignment.state == AssignmentState::sent && !assignment.stopping)
      withdraw_start(machine, assignment);
    if (assignment.stopping) {
      commands.push_back({CommandType::stop, task_id, assignment.attempt, assignment.grace_period_s});
    } else if (assignment.state == AssignmentState::sent && machine.takes_tasks()) {
      commands.push_back({CommandType::start, task_id, assignment.attempt, 0});
      assignment.in_flight_starts.record_response_start(answered_sequence);
    }
  }
  // The agent sends another heartbeat after it has forgotten something, so few forget commands wait for other
  // commands or for the next regular heartbeat. They come first in the response all the same, because a start
  // command may be for a task that is forgotten here.
  if (commands.empty() && !machine.regular_heartbeat && forgets.size() < kMinForgetBatch) return commands;
  log_forgets(machine, forgets);
  forgets.insert(forgets.end(), commands.begin(), commands.end());
  return forgets;
}

void Leader::send_commands(Machine& machine, std::vector<Command> commands, Continuation on_done) {
  if (!is_active_leader() || machine.address.empty()) {
    if (on_done) loop().post(guard(std::move(on_done)));
    return;
  }
  const wire::FencingToken fencing_token{term_};
  for (const auto& command : commands)
    if (command.type == CommandType::start)
      machine.assignments.at(command.task).in_flight_starts.record_direct_start(fencing_token);
  // A machine whose agent epoch is not known yet answers 409 with its heartbeat, which contains it.
  const auto agent_epoch = std::max<std::uint64_t>(1, machine.agent_epoch.value);
  const wire::Json body{
      {"fence", fencing_token.value}, {"tenure", agent_epoch}, {"orders", to_json(commands)}};
  machine.last_probe = loop().now();
  machine.downlink.probe_sent(loop().now(), machine_monitor_.timing());
  // A probe without commands may be lost without harm. The timeout is shorter for unconfirmed machines and
  // where services run.
  const bool short_timeout = !machine.confirmed || (commands.empty() && machine.service_cores > 0);
  const double timeout_s = short_timeout ? kUnconfirmedProbeTimeoutIntervals * settings_.control_interval_s
                                         : settings_.control_interval_s;
  ports_.workers.send(machine.address, {net::Method::post, "/commands", body.dump()}, timeout_s,
                      guard([this, machine_id = machine.id, commands = std::move(commands),
                             newest_received = machine.newest_received(), term = first_term_,
                             on_done = std::move(on_done)](const net::Response& response) {
                        if (!is_leader_ || term != first_term_) return;
                        on_command_answered(machine_id, commands, newest_received, response);
                        if (on_done) on_done();
                      }));
}

void Leader::on_command_answered(const wire::MachineId& machine_id, const std::vector<Command>& commands,
                                 const std::pair<wire::AgentEpoch, std::uint64_t>& newest_received,
                                 const net::Response& response) {
  auto* found = fleet_.find(machine_id);
  if (found == nullptr) return;
  auto& machine = *found;
  const bool answered = response.status == 200 || response.status == 409;
  const bool has_start = std::any_of(commands.begin(), commands.end(), [](const Command& command) {
    return command.type == CommandType::start;
  });
  const auto downlink_before = machine.downlink.state();
  machine.downlink.probe_ended(loop().now(), machine_monitor_.timing(), answered);
  if (!answered && has_start) {
    machine.uncertain_start_at = loop().now();
    machine.downlink.command_unanswered(loop().now());
  }
  machine_monitor_.on_downlink_changed(machine, downlink_before);
  if (!answered) {
    ++machine.probes_unanswered;
    reachability_probe_.record_suspicion();
    return;
  }
  machine_monitor_.record_direct_contact();
  try {
    const auto heartbeat = wire::parse_heartbeat(wire::parse_object(response.body));
    if (heartbeat.machine_id != machine.id) return;
    if (std::pair(heartbeat.agent_epoch, heartbeat.sequence) <= newest_received)
      return on_machine_restarted(machine);
    const auto assumed_epoch = machine.agent_epoch;
    apply_heartbeat(machine, heartbeat, nullptr);
    // The agent epoch differed from the assumed one: shows the fencing token again, for the actual agent
    // epoch.
    if (response.status == 409 && !machine.confirmed && machine.agent_epoch != assumed_epoch)
      send_commands(machine, {});
  } catch (const std::exception& error) {
    log_->warn("machine {}: response to a direct request cannot be parsed: {}", machine_id.value,
               error.what());
  }
}

}  // namespace bankhill::leader
