// The workers of the simulated site: their agent epochs, tasks and reports.
#include <algorithm>
#include <cmath>

#include "sim/controller.hpp"

namespace bankhill::sim {

using net::Method;
using net::Request;
using net::Response;
using wire::ExitReason;
using wire::Json;
using wire::TaskId;
using wire::TaskState;

namespace {
constexpr double kReportDrop = 4;
constexpr double kMuteLeases = 0.6;  // heartbeats that fail to come for so long show a mute machine
// After the commands that wait for a machine that goes on (see network.cpp).
constexpr double kGoesOnLease = 0.02;
}  // namespace

bool SimMachine::within_lease(double now, double lease_s) const {
  return now - std::max(lease_from, pending_from) <= lease_s;
}

bool SimMachine::on(const TaskId& task_id, double now, double lease_s) const {
  const auto found = tasks.find(task_id);
  return up && !dead && within_lease(now, lease_s) && found != tasks.end() &&
         (found->second.state == TaskState::running || found->second.state == TaskState::checkpointing);
}

Response SimulatedCluster::serve_machine(const std::string& host, const Request& request) {
  const auto found = machines().find(host);
  if (found == machines().end() || !found->second.up) return {503, "{}", std::nullopt};
  return command(found->second, request, now());
}

void SimulatedCluster::boot_machine(const std::string& host) {
  const auto found = machines().find(host);
  if (found == machines().end() || found->second.dead) return;
  found->second.up = true;
  found->second.lease_from = found->second.up_since = now();
  machine_step(host);
}

void SimulatedCluster::machine_step(const std::string& host) {
  const auto found = machines().find(host);
  if (found == machines().end() || found->second.dead) return;
  auto& machine = found->second;
  at(now() + 0.25, [this, host] { machine_step(host); });
  if (machine.preempted_at > 0 && now() >= machine.preempted_at) {
    cloud_.remove_machine(host);
    return;
  }
  if (now() < machine.hung_until + (machine.hung_until > 0 ? kGoesOnLease : 0) || !machine.up) return;
  if (now() - machine.lease_from > settings_.lease_s) {
    machine.end_tasks(machine.agent_epoch + 1);
    machine.lease_from = now();
    machine.in_flight = false;
    machine.report_wanted = true;
  }
  const bool due = now() - machine.last_report >= settings_.heartbeat_interval_s || machine.report_wanted;
  if (!machine.in_flight && due && now() - machine.last_report >= 0.5) send_report(machine);
}

void SimulatedCluster::want_report(SimMachine& machine) { machine.report_wanted = true; }

wire::Heartbeat SimulatedCluster::report_of(const SimMachine& machine) const {
  wire::Heartbeat heartbeat;
  heartbeat.machine_id = {machine.id};
  heartbeat.address = address_of(machine.id);
  heartbeat.machine_type = machine.machine_type;
  heartbeat.zone = machine.zone;
  heartbeat.preemptible = machine.spot;
  heartbeat.agent_epoch = {machine.agent_epoch};
  heartbeat.sequence = machine.sequence;
  heartbeat.fencing_token = {machine.fencing_token};
  if (machine.preempted_at > 0) heartbeat.preemption_notice_s = std::max(0.0, machine.preempted_at - now());
  for (const auto& [task_id, task] : machine.tasks)
    heartbeat.tasks.push_back({task_id, task.attempt, task.state, task.exit_reason, false});
  return heartbeat;
}

Request SimulatedCluster::report_now(const std::string& host) const {
  return {Method::post, "/v1/report", to_json(report_of(machines().at(host))).dump()};
}

void SimulatedCluster::send_report(SimMachine& machine) {
  machine.in_flight = true;
  machine.report_wanted = false;
  machine.last_report = now();
  ++machine.sequence;
  const auto exchange = ++machine.exchange;
  const auto agent_epoch = machine.agent_epoch;
  const double sent = now();
  const int node = machine.node;
  const auto zone = "workers-" + machine.zone;
  const auto report = report_of(machine);
  Request request{Method::post, "/v1/report", to_json(report).dump()};
  const bool mute = now() < machine.uplink_lost_until;
  if (!mute) keep_copy(request.body);
  if (std::any_of(machine.tasks.begin(), machine.tasks.end(),
                  [](const auto& task) { return task.second.state == TaskState::exited; }))
    tell(Moment::exited, node);
  auto next_node = [this, host = machine.id, exchange] {
    const auto found = machines().find(host);
    if (found == machines().end() || found->second.exchange != exchange) return;
    found->second.in_flight = false;
    found->second.node = (found->second.node + 1) % node_count_;
    found->second.last_report = now();  // 1 s later, see below
    found->second.report_wanted = true;
  };
  at(now() + kReportDrop, [this, host = machine.id, exchange, next_node] {
    const auto found = machines().find(host);
    if (found != machines().end() && found->second.exchange == exchange && found->second.in_flight)
      next_node();
  });
  auto receive = [this, host = machine.id, exchange, agent_epoch, sent, next_node](const Response& response,
                                                                                   double ordered) {
    const auto found = machines().find(host);
    if (found == machines().end() || found->second.dead) return;
    auto& worker = found->second;
    if (worker.exchange != exchange || !worker.in_flight || worker.agent_epoch != agent_epoch) return;
    if (response.status == 421) {
      const auto body = Json::parse(response.body);
      if (!body.contains("controller")) return next_node();
      const int target = body["controller"].get<std::string>().back() - '0';
      if (target == worker.node) return next_node();
      worker.node = target;
      worker.in_flight = false;
      worker.report_wanted = true;
      return;
    }
    if (response.status != 200) return next_node();
    worker.in_flight = false;
    const auto body = Json::parse(response.body);
    const auto fencing_token = body["fence"].get<std::uint64_t>();
    if (fencing_token < worker.fencing_token) return;
    if (fencing_token > worker.fencing_token) want_report(worker);
    worker.fencing_token = fencing_token;
    worker.lease_from = std::max(worker.lease_from, sent);
    execute(worker, wire::parse_commands(body["orders"]), ordered);
  };
  const auto arrives = [this, node, zone, host = machine.id, request, report, receive, sent] {
    to_node(node, request, [this, zone, node, host, report, receive, sent](const Response& response) {
      if (response.status == 200) rules_.note_heard(report, true);
      rules_.check_body(controller_name(node) + ": an answer to a heartbeat", response.body);
      if (response.status == 200 && response.body.find("\"verb\"") != std::string::npos)
        tell(Moment::ordered, node);
      const auto back = [this, node, host, receive, response, sent, ordered = now()] {
        if (unheard(node, host, response.body)) return;
        const auto found = machines().find(host);
        if (found == machines().end() || now() >= found->second.hung_until) return receive(response, ordered);
        // It waits in the socket of the hanging machine, which takes it unless it has given it up by then.
        const double goes_on = found->second.hung_until;
        if (goes_on >= sent + kReportDrop) return;
        if (response.status == 200) found->second.pending_from = sent;
        at(goes_on, [receive, response, ordered] { receive(response, ordered); });
      };
      carry(controller_name(node), zone, 0.002, back, response.body);
    });
  };
  if (mute) return;
  rules_.check_body(machine.id + ": a heartbeat", request.body);
  if (request.body.size() > wire::kMaxBody) return;  // refused unread
  if (now() < held_reports_.until && chance(held_reports_.share)) {
    held_reports_.bodies.push_back(request.body);
    return;
  }
  carry(zone, controller_name(node), 0.002 + report_delay, arrives, request.body);
}

bool SimulatedCluster::unheard(int node, const std::string& host, const std::string& body) {
  const auto found = machines().find(host);
  if (found == machines().end()) return false;
  const auto muted = mute_until_.find(node);
  if (now() >= found->second.downlink_lost_until && (muted == mute_until_.end() || now() >= muted->second))
    return false;
  if (const auto answer = Json::parse(body, nullptr, false); answer.is_object() && answer.contains("orders"))
    for (const auto& command : wire::parse_commands(answer["orders"]))
      if (command.type == wire::CommandType::start) ++lost_starts[host];
  return true;
}

Response SimulatedCluster::command(SimMachine& machine, const Request& request, double sent) {
  const auto body = Json::parse(request.body);
  const auto fencing_token = body["fence"].get<std::uint64_t>();
  ++machine.sequence;
  if (fencing_token < machine.fencing_token || body["tenure"].get<std::uint64_t>() != machine.agent_epoch)
    return {409, to_json(report_of(machine)).dump(), std::nullopt};
  if (fencing_token > machine.fencing_token) want_report(machine);
  machine.fencing_token = fencing_token;
  execute(machine, wire::parse_commands(body["orders"]), sent);
  const auto report = report_of(machine);
  rules_.note_heard(report, false);
  auto answer = to_json(report).dump();
  rules_.check_body(machine.id + ": an answer to commands", answer);
  keep_copy(answer);
  return {200, std::move(answer), std::nullopt};
}

void SimulatedCluster::execute(SimMachine& machine, const std::vector<wire::Command>& commands, double sent) {
  for (const auto& command : commands) {
    const auto found = machine.tasks.find(command.task);
    if (command.type == wire::CommandType::start) {
      start(machine, command.task, command.attempt, sent);
    } else if (found == machine.tasks.end() || found->second.attempt != command.attempt) {
      continue;
    } else if (command.type == wire::CommandType::stop) {
      if (found->second.state == TaskState::exited) continue;
      if (const auto job = jobs_.find(command.task.job.value);
          job != jobs_.end() && job->second.spec.kind == wire::JobKind::service && !job->second.cancel_asked)
        ++service_stops;
      rules_.check_stop(machine, found->second, command.task);
      found->second.state = TaskState::exited;
      found->second.exit_reason = ExitReason::stopped;
      want_report(machine);
    } else if (found->second.state == TaskState::exited) {
      rules_.check_forget(machine, command);
      machine.tasks.erase(found);
    }
  }
}

void SimulatedCluster::start(SimMachine& machine, const TaskId& task_id, wire::AttemptNumber attempt,
                             double ordered) {
  want_report(machine);
  const auto found = machine.tasks.find(task_id);
  if (found != machine.tasks.end() && found->second.attempt == attempt) return;
  SimTask task{attempt, TaskState::pulling_image, ExitReason::none, 0, ordered};
  const auto job = jobs_.find(task_id.job.value);
  if (found != machine.tasks.end() && found->second.state != TaskState::exited) return;  // busy
  wire::Resources used;
  for (const auto& [other, running] : machine.tasks)
    if (running.state != TaskState::exited) used += jobs_.at(other.job.value).spec.request;
  if (job == jobs_.end()) {
    task.state = TaskState::exited;
    task.exit_reason = ExitReason::unknown_task;
  } else {
    used += job->second.spec.request;
    if (!used.fits(machine_resources(machine.machine_type))) {
      task.state = TaskState::exited;
      task.exit_reason = ExitReason::insufficient_resources;
    }
  }
  machine.tasks[task_id] = task;
  rules_.check_accepted(machine, task_id, attempt);
  if (task.state == TaskState::exited) return;
  rules_.note_room_used(machine, task_id);
  if (now() < machine.uplink_lost_until &&
      now() - machine.uplink_lost_since > kMuteLeases * settings_.lease_s)
    ++starts_on_mute;
  const bool cached = !machine.images.insert(job->second.spec.image).second;
  at(now() + (cached ? 0.05 : 1.5),
     [this, host = machine.id, task_id, attempt] { image_ready(host, task_id, attempt.value); });
}

void SimulatedCluster::image_ready(const std::string& host, const TaskId& task_id, std::uint64_t attempt) {
  const auto found = machines().find(host);
  if (found == machines().end() || found->second.dead) return;
  auto& machine = found->second;
  if (now() < machine.hung_until)
    return at(machine.hung_until + 0.001,
              [this, host, task_id, attempt] { image_ready(host, task_id, attempt); });
  const auto task = machine.tasks.find(task_id);
  if (task == machine.tasks.end() || task->second.attempt.value != attempt ||
      task->second.state != TaskState::pulling_image)
    return;
  if (now() - machine.lease_from > settings_.lease_s) return;  // its agent epoch is over
  auto& job = jobs_.at(task_id.job.value);
  task->second.state = TaskState::running;
  ++starts_;
  if (job.begun == 0) job.begun = now();
  ++job.starts;
  log_->debug("{} starts on {}", task_id.text(), host);
  rules_.check_start(machine, task_id, task->second.ordered);
  want_report(machine);
  // A replica that spans machines shows that a machine is sick.
  const bool fails = (machine.unhealthy || job.broken) && span(task_id) > 1;
  if (job.spec.kind == wire::JobKind::service && !fails) return;
  const double run = job.completed.contains(task_id.index) ? 0.01
                     : machine.unhealthy || job.broken     ? 0.5
                                                           : job.run_s * std::pow(job.longer, task_id.index);
  at(now() + run, [this, host, task_id, attempt] { task_ended(host, task_id, attempt); });
  end_is_near(job, now() + run);
}

void SimulatedCluster::task_ended(const std::string& host, const TaskId& task_id, std::uint64_t attempt) {
  const auto found = machines().find(host);
  if (found == machines().end() || found->second.dead) return;
  auto& machine = found->second;
  if (now() < machine.hung_until)
    return at(machine.hung_until + 0.3,
              [this, host, task_id, attempt] { task_ended(host, task_id, attempt); });
  const auto task = machine.tasks.find(task_id);
  if (task == machine.tasks.end() || task->second.attempt.value != attempt ||
      task->second.state != TaskState::running)
    return;
  auto& job = jobs_.at(task_id.job.value);
  const bool fails = (machine.unhealthy || job.broken) && !job.completed.contains(task_id.index);
  task->second.state = TaskState::exited;
  task->second.exit_reason = fails ? ExitReason::error : ExitReason::done;
  if (!fails) job.completed.insert(task_id.index);
  if (job.completed.size() == job.spec.task_count && job.completed_at == 0) completed(job);
  if (job.completed.size() == job.spec.task_count && std::exchange(job.cancel_at_end, false))
    at(now() + uniform(0, 1.2), [this, job_id = job.spec.id.value] { user_cancel(job_id); });
  want_report(machine);
}

void SimulatedCluster::force_start(const TaskId& task_id, std::size_t index) {
  auto machine = machines().begin();
  std::advance(machine, static_cast<std::ptrdiff_t>(index));
  machine->second.up = true;
  start(machine->second, task_id, wire::AttemptNumber{1}, now());
}

}  // namespace bankhill::sim
