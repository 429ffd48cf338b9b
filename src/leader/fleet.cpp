// The fleet: cutoffs ahead, machines that are drained, silent or gone, and what renting needs of the leader.
#include <algorithm>
#include <cmath>
#include <utility>

#include "leader/leader.hpp"
#include "model/decay.hpp"

namespace bankhill::leader {

using model::Machine;
using queue::task_s;
using state::FlushDelay;

namespace {
constexpr double kMemory = 4;  // rounds after which a boot or a reclaim counts a third: a wave passes
}  // namespace

// What is left, after so many seconds, of something counted.
double Leader::kept(double passed) const { return model::decay(passed, settings_.round_s); }

// How the cutoffs stand, once a round: whoever comes at eight finds either the work done or a plain stall.
void Leader::look_ahead() {
  outlook_.begin(loop().wall());
  for (const auto& [id, job] : live_)
    if (const auto by = queue_.cutoff(*job); by && !job->service())
      outlook_.add(job->spec.owner, *by, job->unfinished() * job->spec.need.cores * task_s(*job),
                   task_s(*job));
  const auto changed = outlook_.end([this](const std::string& owner) { return supply(owner); });
  if (changed.empty()) return;
  for (const auto& told : changed)
    log_->log(told.state == calendar::Outlook::State::on_time ? spdlog::level::info : spdlog::level::warn,
              "cutoff of {} in {:.0f} s: {}", told.owner, told.cutoff - loop().wall(), told.text);
  for (auto& [id, job] : live_)
    if (queue_.cutoff(*job)) job->progress_dirty = true;
}

// Its guarantee, or what it holds and what is free, if that is more; beyond that what can be rented.
calendar::Outlook::Supply Leader::supply(const std::string& owner) const {
  const auto* tenant = quota_.find_team(owner);
  if (tenant == nullptr) return {};
  const auto usage = quota_.usage(owner);
  double cores = 0;
  double free = 0;
  for (const auto& [pool, state] : fleet_.pools()) {
    cores += state.sums.cores;
    free += state.sums.free_cores;
  }
  const double limit = std::max(0.0, tenant->limit.cores - usage.service_cores);
  const double own = std::max(std::min(tenant->guarantee.cores, cores), usage.total.cores + free);
  const double now = std::min(limit, std::max(0.0, own - usage.service_cores));
  return {now, queue_.overloaded() ? now : limit, planner::longest_boot_s(flavors_)};
}

// Takes no more tasks, and is returned once empty.
void Leader::drain(Machine& machine, const std::string& reason) {
  machine.draining = true;
  machine.drain_reason = reason;
  fleet_.refresh(machine);
  replicas_leave(machine);
}

// Undoes it if that was the reason; says whether it was.
bool Leader::use_again(Machine& machine, const std::string& reason) {
  if (machine.drain_reason != reason) return false;
  machine.draining = false;
  machine.drain_reason.clear();
  fleet_.refresh(machine);
  for (const auto& [member, bind] : machine.binds) replicas_.board().may_stay(member);
  place_soon();
  return true;
}

void Leader::watch_machines(double share) {
  const double now = loop().now();
  doubtful_ = false;
  fleet_.visit(share, [this](Machine& machine) { watch(machine); });
  // A direct start in doubt is made void by a new term (invariant 6).
  if (doubtful_ && !raising_ && now - raised_at_ > 2 * settings_.pace_s) {
    raised_at_ = now;
    raising_ = true;
    ports_.raise_term();
  } else if (raising_ && now - raised_at_ > 2 * settings_.pace_s) {
    raising_ = false;
  }
}

double Leader::boot_s(const Machine& machine) const {
  const auto* type = flavor(machine.flavor);
  return type == nullptr ? cloud::kLeastChargeS : type->boot_s;
}

MachineMonitor::Ports Leader::monitor_ports() {
  return {
      .send_probe = [this](Machine& machine) { send_direct(machine, {}); },
      .terminate = [this](Machine& machine,
                          MachineMonitor::Fault fault) { release(machine, MachineMonitor::text(fault)); },
      .drain = [this](Machine& machine, const std::string& reason) { drain(machine, reason); },
      .sessions_over = [this](Machine& machine, wire::Tenure next) { new_tenure(machine, next); },
      .lost_to_cloud = [this](const Machine& machine) { autoscaler_.machine_reclaimed(machine.flavor); },
      .usual_boot_s = [this](const Machine& machine) { return boot_s(machine); },
      .count_event = [this](const std::string& event) { ++tally_[event]; },
      .plan_soon = [this] { plan_soon(); },
      .place_soon = [this] { place_soon(); },
  };
}

void Leader::watch(Machine& machine) {
  if (!machine.up) return machine_monitor_.check_boot(machine);
  const auto silence = machine_monitor_.check_silence(machine);
  machine_monitor_.check_heartbeats(machine, silence);
  note_starts_in_doubt(machine);
  spare(machine);
  if (machine.draining && machine.binds.empty() && machine.confirmed)
    return release(machine, machine.drain_reason);
  if (machine.warned_until && silence.now > *machine.warned_until)
    return release(machine, "its notice has run out");
  if (return_idle(machine)) return;
  machine_monitor_.check_given_up(machine, silence, reachability_probe_.failing());
}

// Whether a start sent directly may still be executed there although it is to be taken back.
void Leader::note_starts_in_doubt(const Machine& machine) {
  if (machine.last_contact <= machine.doubt_at) return;
  const wire::Fence token{term_};
  for (const auto& [task, assignment] : machine.binds)
    doubtful_ = doubtful_ || (assignment.stopping && assignment.starts.in_doubt(token));
  for (const auto& [task, exited] : machine.leftovers) doubtful_ = doubtful_ || exited.starts.in_doubt(token);
}

RentalManager::Settings Leader::rental_settings() const {
  return {settings_.pace_s,     settings_.round_s,       settings_.lease_s,
          settings_.list_lag_s, settings_.most_machines, settings_.main_zone};
}

RentalManager::Ports Leader::rental_ports() {
  RentalManager::Ports ports;
  ports.may_act = [this] { return valid(); };
  ports.send_to_cloud = [this](cloud::Cloud::Message message) { ports_.cloud.tell(std::move(message)); };
  ports.machine_type = [this](const std::string& name) { return flavor(name); };
  ports.store_request = [this](const std::string& name, const wire::RentalRecord& record, Then stored) {
    writes_.store(wire::rental_key(name), to_json(record), FlushDelay::none, std::move(stored));
  };
  ports.store_machines = [this](const std::string& name, const wire::RentalRecord& record) {
    writes_.store(wire::rental_key(name), to_json(record), FlushDelay::machines);
  };
  ports.remove_record = [this](const std::string& name) {
    writes_.store(wire::rental_key(name), std::nullopt, FlushDelay::garbage);
  };
  ports.terminating = [this](const Machine& machine) { replicas_fail(machine); };
  ports.terminated = [this](const wire::HostId& machine_id) { forget_machine(machine_id); };
  ports.plan_soon = [this] { plan_soon(); };
  ports.count_event = [this](const std::string& event) { ++tally_[event]; };
  return ports;
}

Autoscaler::Settings Leader::autoscaler_settings() const {
  return {settings_.pace_s, settings_.round_s, settings_.alpha, settings_.phi, settings_.idle_boots};
}

Autoscaler::Ports Leader::autoscaler_ports() {
  Autoscaler::Ports ports;
  ports.may_act = [this] { return valid(); };
  ports.may_start = [this](const model::Job& job) { return may_start(job); };
  ports.quota_allows = [this](const model::Job& job) { return team_has_room(job); };
  ports.placeable_tasks = [this](const model::Job& job) { return placeable(job); };
  ports.is_gang = [this](const wire::JobId& id) { return replicas_.follows(id); };
  ports.core_limit = [this](const std::string& name) -> std::optional<double> {
    const auto* owner = quota_.find_team(name);
    if (owner == nullptr) return std::nullopt;
    return owner->limit.cores;
  };
  ports.rent_for_gangs = [this](const std::vector<planner::Offer>& offers) { rent_for_replicas(offers); };
  ports.note_overload = [this](double wanted, double lacking) { note_overload(wanted, lacking); };
  ports.drain = [this](Machine& machine, const std::string& reason) { drain(machine, reason); };
  ports.use_again = [this](Machine& machine, const std::string& reason) {
    return use_again(machine, reason);
  };
  ports.count_event = [this](const std::string& event) { ++tally_[event]; };
  return ports;
}

// It is gone, and so is all that ran there.
void Leader::forget_machine(const wire::HostId& machine_id) {
  autoscaler_.machine_terminated(machine_id);
  auto* machine = fleet_.find(machine_id);
  if (machine == nullptr) return;
  std::vector<wire::MemberId> tasks;
  for (const auto& [task, assignment] : machine->binds) tasks.push_back(task);
  for (const auto& task : tasks) unbind(*machine, task);
  machine_groups_.remove(*machine);
  fleet_.erase(machine_id);
  place_soon();
  plan_soon();
}

}  // namespace bankhill::leader
