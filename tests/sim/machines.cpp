// The workers of the simulated site: their sessions, tasks and reports.
#include <algorithm>
#include <cmath>

#include "sim/controller.hpp"

namespace bankhill::sim {

using net::Method;
using net::Request;
using net::Response;
using wire::ExitCause;
using wire::Json;
using wire::MemberId;
using wire::MemberPhase;

namespace {
constexpr double kReportDrop = 4;
constexpr double kMuteLeases = 0.6;  // reports that fail to come for so long show a mute machine
// After the commands that wait for a machine that goes on (see network.cpp).
constexpr double kGoesOnLease = 0.02;
}  // namespace

bool SimMachine::within_lease(double now, double lease_s) const {
  return now - std::max(lease_from, pending_from) <= lease_s;
}

bool SimMachine::on(const MemberId& member, double now, double lease_s) const {
  const auto found = tasks.find(member);
  return up && !dead && within_lease(now, lease_s) && found != tasks.end() &&
         (found->second.phase == MemberPhase::running || found->second.phase == MemberPhase::flushing);
}

Response World::serve_machine(const std::string& host, const Request& request) {
  const auto found = machines().find(host);
  if (found == machines().end() || !found->second.up) return {503, "{}", std::nullopt};
  return command(found->second, request, now());
}

void World::boot_machine(const std::string& host) {
  const auto found = machines().find(host);
  if (found == machines().end() || found->second.dead) return;
  found->second.up = true;
  found->second.lease_from = found->second.up_since = now();
  machine_step(host);
}

void World::machine_step(const std::string& host) {
  const auto found = machines().find(host);
  if (found == machines().end() || found->second.dead) return;
  auto& machine = found->second;
  at(now() + 0.25, [this, host] { machine_step(host); });
  if (machine.taken_at > 0 && now() >= machine.taken_at) {
    cloud_.remove_machine(host);
    return;
  }
  if (now() < machine.hung_until + (machine.hung_until > 0 ? kGoesOnLease : 0) || !machine.up) return;
  if (now() - machine.lease_from > settings_.lease_s) {
    machine.tasks.clear();
    ++machine.tenure;
    machine.lease_from = now();
    machine.in_flight = false;
    machine.report_wanted = true;
  }
  const bool due = now() - machine.last_report >= settings_.report_s || machine.report_wanted;
  if (!machine.in_flight && due && now() - machine.last_report >= 0.5) send_report(machine);
}

void World::want_report(SimMachine& machine) { machine.report_wanted = true; }

wire::Report World::report_of(const SimMachine& machine) const {
  wire::Report report;
  report.host = {machine.host};
  report.address = address_of(machine.host);
  report.flavor = machine.flavor;
  report.rack_room = machine.zone;
  report.reclaimable = machine.spot;
  report.tenure = {machine.tenure};
  report.counter = machine.counter;
  report.fence = {machine.fence};
  if (machine.taken_at > 0) report.warning_s = std::max(0.0, machine.taken_at - now());
  for (const auto& [member, task] : machine.tasks)
    report.members.push_back({member, task.try_no, task.phase, task.cause, false});
  return report;
}

Request World::report_now(const std::string& host) const {
  return {Method::post, "/v1/report", to_json(report_of(machines().at(host))).dump()};
}

void World::send_report(SimMachine& machine) {
  machine.in_flight = true;
  machine.report_wanted = false;
  machine.last_report = now();
  ++machine.counter;
  const auto exchange = ++machine.exchange;
  const auto tenure = machine.tenure;
  const double sent = now();
  const int node = machine.node;
  const auto zone = "workers-" + machine.zone;
  Request request{Method::post, "/v1/report", to_json(report_of(machine)).dump()};
  const bool mute = now() < machine.mute_until;
  if (!mute) keep_copy(request.body);
  if (std::any_of(machine.tasks.begin(), machine.tasks.end(),
                  [](const auto& task) { return task.second.phase == MemberPhase::exited; }))
    tell(Moment::exited, node);
  auto next_node = [this, host = machine.host, exchange] {
    const auto found = machines().find(host);
    if (found == machines().end() || found->second.exchange != exchange) return;
    found->second.in_flight = false;
    found->second.node = (found->second.node + 1) % node_count_;
    found->second.last_report = now();  // 1 s later, see below
    found->second.report_wanted = true;
  };
  at(now() + kReportDrop, [this, host = machine.host, exchange, next_node] {
    const auto found = machines().find(host);
    if (found != machines().end() && found->second.exchange == exchange && found->second.in_flight)
      next_node();
  });
  auto receive = [this, host = machine.host, exchange, tenure, sent, next_node](const Response& response,
                                                                                double ordered) {
    const auto found = machines().find(host);
    if (found == machines().end() || found->second.dead) return;
    auto& worker = found->second;
    if (worker.exchange != exchange || !worker.in_flight || worker.tenure != tenure) return;
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
    const auto fence = body["fence"].get<std::uint64_t>();
    if (fence < worker.fence) return;
    if (fence > worker.fence) want_report(worker);
    worker.fence = fence;
    worker.lease_from = std::max(worker.lease_from, sent);
    execute(worker, wire::parse_orders(body["orders"]), ordered);
  };
  const auto arrives = [this, node, zone, host = machine.host, request, receive, sent] {
    to_node(node, request, [this, zone, node, host, receive, sent](const Response& response) {
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
  if (now() < held_reports_.until && chance(held_reports_.share)) {
    held_reports_.bodies.push_back(request.body);
    return;
  }
  carry(zone, controller_name(node), 0.002 + report_delay, arrives, request.body);
}

bool World::unheard(int node, const std::string& host, const std::string& body) {
  const auto found = machines().find(host);
  if (found == machines().end()) return false;
  const auto muted = mute_until_.find(node);
  if (now() >= found->second.deaf_until && (muted == mute_until_.end() || now() >= muted->second))
    return false;
  if (const auto answer = Json::parse(body, nullptr, false); answer.is_object() && answer.contains("orders"))
    for (const auto& order : wire::parse_orders(answer["orders"]))
      if (order.verb == wire::Verb::start) ++lost_starts[host];
  return true;
}

Response World::command(SimMachine& machine, const Request& request, double sent) {
  const auto body = Json::parse(request.body);
  const auto fence = body["fence"].get<std::uint64_t>();
  ++machine.counter;
  if (fence < machine.fence || body["tenure"].get<std::uint64_t>() != machine.tenure)
    return {409, to_json(report_of(machine)).dump(), std::nullopt};
  if (fence > machine.fence) want_report(machine);
  machine.fence = fence;
  execute(machine, wire::parse_orders(body["orders"]), sent);
  auto answer = to_json(report_of(machine)).dump();
  keep_copy(answer);
  return {200, std::move(answer), std::nullopt};
}

void World::execute(SimMachine& machine, const std::vector<wire::Order>& orders, double sent) {
  for (const auto& order : orders) {
    const auto found = machine.tasks.find(order.member);
    if (order.verb == wire::Verb::start) {
      start(machine, order.member, order.try_no, sent);
    } else if (found == machine.tasks.end() || found->second.try_no != order.try_no) {
      continue;
    } else if (order.verb == wire::Verb::stop) {
      if (found->second.phase == MemberPhase::exited) continue;
      if (const auto job = jobs_.find(order.member.job.value);
          job != jobs_.end() && job->second.spec.shape == wire::Shape::daemon && !job->second.cancel_asked)
        ++service_stops;
      rules_.check_stop(machine, found->second, order.member);
      found->second.phase = MemberPhase::exited;
      found->second.cause = ExitCause::halted;
      want_report(machine);
    } else if (found->second.phase == MemberPhase::exited) {
      rules_.check_forget(machine, order);
      machine.tasks.erase(found);
    }
  }
}

void World::start(SimMachine& machine, const MemberId& member, wire::TryNo try_no, double ordered) {
  want_report(machine);
  const auto found = machine.tasks.find(member);
  if (found != machine.tasks.end() && found->second.try_no == try_no) return;
  SimTask task{try_no, MemberPhase::pulling, ExitCause::none, 0, ordered};
  const auto job = jobs_.find(member.job.value);
  if (found != machine.tasks.end() && found->second.phase != MemberPhase::exited) return;  // busy
  wire::Amounts used;
  for (const auto& [other, running] : machine.tasks)
    if (running.phase != MemberPhase::exited) used += jobs_.at(other.job.value).spec.need;
  if (job == jobs_.end()) {
    task.phase = MemberPhase::exited;
    task.cause = ExitCause::no_such;
  } else {
    used += job->second.spec.need;
    if (!used.fits(machine_resources(machine.flavor))) {
      task.phase = MemberPhase::exited;
      task.cause = ExitCause::no_room;
    }
  }
  machine.tasks[member] = task;
  if (task.phase == MemberPhase::exited) return;
  rules_.note_room_used(machine, member);
  if (now() < machine.mute_until && now() - machine.mute_since > kMuteLeases * settings_.lease_s)
    ++starts_on_mute;
  const bool cached = !machine.images.insert(job->second.spec.bundle).second;
  at(now() + (cached ? 0.05 : 1.5),
     [this, host = machine.host, member, try_no] { image_ready(host, member, try_no.value); });
}

void World::image_ready(const std::string& host, const MemberId& member, std::uint64_t try_no) {
  const auto found = machines().find(host);
  if (found == machines().end() || found->second.dead) return;
  auto& machine = found->second;
  if (now() < machine.hung_until)
    return at(machine.hung_until + 0.001,
              [this, host, member, try_no] { image_ready(host, member, try_no); });
  const auto task = machine.tasks.find(member);
  if (task == machine.tasks.end() || task->second.try_no.value != try_no ||
      task->second.phase != MemberPhase::pulling)
    return;
  if (now() - machine.lease_from > settings_.lease_s) return;  // its session is over
  auto& job = jobs_.at(member.job.value);
  task->second.phase = MemberPhase::running;
  ++starts_;
  if (job.begun == 0) job.begun = now();
  ++job.starts;
  log_->debug("{} starts on {}", member.text(), host);
  rules_.check_start(machine, member, task->second.ordered);
  want_report(machine);
  // A replica that spans machines shows that a machine is sick.
  const bool fails = (machine.sick || job.broken) && span(member) > 1;
  if (job.spec.shape == wire::Shape::daemon && !fails) return;
  const double run = job.completed.contains(member.index) ? 0.01
                     : machine.sick || job.broken         ? 0.5
                                                          : job.run_s * std::pow(job.longer, member.index);
  at(now() + run, [this, host, member, try_no] { task_ended(host, member, try_no); });
  end_is_near(job, now() + run);
}

void World::task_ended(const std::string& host, const MemberId& member, std::uint64_t try_no) {
  const auto found = machines().find(host);
  if (found == machines().end() || found->second.dead) return;
  auto& machine = found->second;
  if (now() < machine.hung_until)
    return at(machine.hung_until + 0.3, [this, host, member, try_no] { task_ended(host, member, try_no); });
  const auto task = machine.tasks.find(member);
  if (task == machine.tasks.end() || task->second.try_no.value != try_no ||
      task->second.phase != MemberPhase::running)
    return;
  auto& job = jobs_.at(member.job.value);
  const bool fails = (machine.sick || job.broken) && !job.completed.contains(member.index);
  task->second.phase = MemberPhase::exited;
  task->second.cause = fails ? ExitCause::error : ExitCause::done;
  if (!fails) job.completed.insert(member.index);
  if (job.completed.size() == job.spec.members && job.completed_at == 0) completed(job);
  if (job.completed.size() == job.spec.members && std::exchange(job.cancel_at_end, false))
    at(now() + uniform(0, 1.2), [this, uid = job.spec.uid.value] { user_cancel(uid); });
  want_report(machine);
}

void World::force_start(const MemberId& member, std::size_t index) {
  auto machine = machines().begin();
  std::advance(machine, static_cast<std::ptrdiff_t>(index));
  machine->second.up = true;
  start(machine->second, member, wire::TryNo{1}, now());
}

}  // namespace bankhill::sim
