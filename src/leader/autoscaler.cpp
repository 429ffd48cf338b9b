#include "leader/autoscaler.hpp"

#include <algorithm>
#include <cmath>

namespace bankhill::leader {

using model::Job;
using model::Machine;
using queue::estimated_runtime_s;

namespace {
// Minimum time between two planning rounds, in control intervals.
constexpr double kMinPlanGapIntervals = 0.3;
// Share of the time to a job's deadline in which its work should be done. Estimated run times are often wrong
// by half.
constexpr double kDeadlineWindowShare = 0.5;
// Window over which the arrival rate of services is averaged, in boot times of the slowest type.
constexpr double kDemandWindowBoots = 4;
// Time for whose expected services cores are reserved, in control intervals.
constexpr double kReserveLeadIntervals = 2;
constexpr double kRoundingTolerance = 1e-6;
const std::string kExcessReason = "in excess of the plan";
}  // namespace

Autoscaler::Autoscaler(runtime::Loop& loop, runtime::Log log, Settings settings, View view, Ports ports)
    : loop_(loop), log_(std::move(log)), settings_(settings), view_(view), ports_(std::move(ports)) {}

void Autoscaler::end_term() {
  excess_machines_.clear();
  excess_cores_ = 0;
}

// Services that have ended count too, so that a new leader knows the arrival rate from the start.
void Autoscaler::on_service_accepted(const Job& job) {
  service_demand_.add(job.accepted_at, job.spec.request.cores, job.spec.task_count);
  if (!view_.machine_types.empty()) service_demand_.forget_before(loop_.wall() - demand_window_s());
}

void Autoscaler::schedule_planning() {
  if (plan_scheduled_) return;
  plan_scheduled_ = true;
  const double delay_s =
      std::max(0.0, last_plan_at_ + kMinPlanGapIntervals * settings_.control_interval_s - loop_.now());
  plan_timer_ = loop_.after(delay_s, [this] {
    plan_scheduled_ = false;
    plan();
  });
}

void Autoscaler::plan() {
  if (!ports_.is_active_leader() || view_.machine_types.empty()) return;
  last_plan_at_ = loop_.now();
  const auto offers = current_offers();
  const auto demand = current_demand();
  const auto plan = planner::plan(demand.workloads, offers, settings_.alpha);

  // Planned and present cores are compared by kind (on-demand, preemptible), since a machine of another type
  // serves as well.
  const auto wanted = wanted_cores(plan, offers);
  const auto present = present_cores();
  Cores missing{wanted.on_demand - present.on_demand, wanted.preemptible - present.preemptible};
  log_->debug("plan: {:.0f} on-demand and {:.0f} spot cores wanted, {:.0f} and {:.0f} present or requested{}",
              wanted.on_demand, wanted.preemptible, present.on_demand, present.preemptible,
              demand.has_waiting_tasks ? ", tasks are waiting" : "");

  rent_missing_cores(missing.preemptible, true, offers);
  // Exception to the design (the first doubt listed there): alpha's share of the budget must not stay
  // unspent while tasks wait because no preemptible type can be rented.
  if (missing.preemptible > 0 && demand.has_waiting_tasks) missing.on_demand += missing.preemptible;
  cancel_excess_drains(missing.on_demand);
  rent_missing_cores(missing.on_demand, false, offers);

  const double unmet_preemptible = demand.has_waiting_tasks ? 0 : std::max(0.0, missing.preemptible);
  ports_.report_core_demand(wanted.on_demand + wanted.preemptible,
                            std::max(0.0, missing.on_demand) + unmet_preemptible);
  update_excess_cores(missing.on_demand);
  // Tasks that wait had missing preemptible cores added to the on-demand ones above.
  if (missing.on_demand <= 0) rent_for_unserved_jobs(offers);
  ports_.rent_for_gangs(offers);
}

Autoscaler::Offers Autoscaler::current_offers() const {
  Offers offers;
  for (const auto& type : view_.machine_types)
    offers.push_back({type, is_reclaim_risk_acceptable(type.name)});
  return offers;
}

// Whether the share of tasks that a reclaim of this type would hit is below phi. The share replaces the
// paper's out-of-bid probability.
bool Autoscaler::is_reclaim_risk_acceptable(const std::string& machine_type) const {
  const auto reclaim_rate = reclaim_history_.rate(machine_type);
  if (!reclaim_rate) return true;
  double task_seconds = 0;
  double tasks = 0;
  for (const auto& [id, job] : view_.live_jobs) {
    if (job->is_service()) continue;
    task_seconds += estimated_runtime_s(*job) * job->spec.task_count;
    tasks += job->spec.task_count;
  }
  if (tasks == 0) return true;
  return *reclaim_rate * (task_seconds / tasks) < settings_.phi;
}

Autoscaler::Demand Autoscaler::current_demand() {
  Demand demand;
  std::map<std::string, double> planned_cores;  // by team
  for (const auto& [id, job] : view_.live_jobs) {
    if (!job->dependencies_met || loop_.now() < job->blocked_until) continue;
    auto work = make_workload(*job);
    limit_to_quota(work, job->spec.team, planned_cores);
    demand.has_waiting_tasks = demand.has_waiting_tasks || ports_.placeable_tasks(*job) > 0;
    if (work.task_count > 0) demand.workloads.push_back(std::move(work));
  }
  add_service_reserve(demand.workloads);
  return demand;
}

planner::Workload Autoscaler::make_workload(const Job& job) const {
  planner::Workload work;
  work.request = job.spec.request;
  work.task_count =
      std::max(0.0, 1.0 * job.unfinished_tasks() - (job.ready_count - ports_.placeable_tasks(job)));
  work.estimated_runtime_s = std::max(1.0, estimated_runtime_s(job));
  // Part of the time to the deadline is kept in reserve, since estimated run times are often wrong by half.
  work.window_s = std::max(work.estimated_runtime_s,
                           kDeadlineWindowShare * view_.queue.time_to_deadline(job, loop_.wall()));
  if (std::isinf(work.window_s)) work.window_s = work.estimated_runtime_s;
  work.is_service = job.is_service();
  work.allows_preemptible = job.spec.allows_preemptible;
  work.machine_types = job.spec.machine_types;
  if (job.spec.zone) work.zones = {*job.spec.zone};
  return work;
}

// Reduces the workload to the tasks that the team's core limit lets run at the same time as the team's
// workloads planned before.
void Autoscaler::limit_to_quota(planner::Workload& work, const std::string& team,
                                std::map<std::string, double>& planned_cores) const {
  const auto limit = ports_.core_limit(team);
  if (!limit) return;
  auto& planned_team_cores = planned_cores[team];
  work.task_count = std::min(work.task_count,
                             std::max(0.0, std::floor((*limit - planned_team_cores) / work.request.cores)));
  planned_team_cores += work.task_count * work.request.cores;
}

// Adds a workload for the services expected within a short time: a service starts at once only on a machine
// that has free resources and the image.
void Autoscaler::add_service_reserve(std::vector<planner::Workload>& workloads) {
  reserved_cores_ = service_demand_.reserve_cores(loop_.wall(), demand_window_s(),
                                                  kReserveLeadIntervals * settings_.control_interval_s);
  if (reserved_cores_ <= 0) return;
  planner::Workload reserve_workload;
  reserve_workload.request.cores = service_demand_.largest_task_cores();
  reserve_workload.task_count = reserved_cores_ / reserve_workload.request.cores;
  reserve_workload.estimated_runtime_s = reserve_workload.window_s = 1;
  reserve_workload.is_service = true;
  workloads.push_back(std::move(reserve_workload));
}

double Autoscaler::demand_window_s() const {
  return kDemandWindowBoots * std::max(1.0, planner::longest_boot_s(view_.machine_types));
}

Autoscaler::Cores Autoscaler::wanted_cores(const planner::Plan& plan, const Offers& offers) {
  Cores wanted;
  for (std::size_t i = 0; i < offers.size(); ++i) {
    const double cores = offers[i].machine_type.capacity.cores;
    wanted.on_demand += plan.on_demand[i] * cores;
    wanted.preemptible += (plan.spot[i] + plan.disallowed_spot[i]) * cores;
  }
  return wanted;
}

// Returns the cores of machines that are up, booting or requested.
Autoscaler::Cores Autoscaler::present_cores() const {
  Cores present;
  for (const auto& [pool, state] : view_.fleet.pools())
    present.of_kind(pool.preemptible) += state.totals.cores;
  view_.rentals.visit_pending_rentals([&](const wire::RentalRecord& requested) {
    if (const auto* type = machine_type(requested.machine_type))
      present.of_kind(requested.preemptible) += type->capacity.cores * requested.count;
  });
  return present;
}

// Rents the type that covers the missing cores at the lowest cost: a machine much larger than needed would be
// idle for the most part. Cores that one type cannot provide are requested from the next cheapest.
void Autoscaler::rent_missing_cores(double& missing_cores, bool preemptible, const Offers& offers) {
  std::vector<const wire::MachineType*> untried_types;
  for (const auto& offer : offers)
    if (!preemptible || offer.spot_allowed) untried_types.push_back(&offer.machine_type);
  const auto machines_needed = [&](const wire::MachineType& type) {
    return std::ceil(missing_cores / type.capacity.cores - kRoundingTolerance);
  };
  const auto cost = [&](const wire::MachineType* type) {
    return machines_needed(*type) * (preemptible ? type->preemptible_hourly_price : type->hourly_price);
  };
  while (missing_cores > kRoundingTolerance && !untried_types.empty()) {
    const auto best = std::min_element(untried_types.begin(), untried_types.end(),
                                       [&](const auto* a, const auto* b) { return cost(a) < cost(b); });
    const auto& type = **best;
    missing_cores -= view_.rentals.request(type, preemptible, machines_needed(type)) * type.capacity.cores;
    untried_types.erase(best);
  }
}

// Requests one machine for a ready job whose tasks no machine can take, present or requested.
void Autoscaler::rent_for_unserved_jobs(const Offers& offers) {
  UnavailablePools unavailable;
  for (const auto& [id, job] : view_.queue.jobs()) {
    if (ports_.is_gang(id) || !ports_.may_start(*job) || !ports_.quota_allows(*job)) continue;
    if (can_wait_for_plan(*job) || has_available_machine(*job) || has_requested_machine(*job)) continue;
    planner::Workload work;
    work.request = job->spec.request;
    work.machine_types = job->spec.machine_types;
    work.zones = allowed_zones(*job);
    if (rent_cheapest_machine(work, offers, unavailable)) return;
  }
}

// Requests one machine of the cheapest type that can be had: no more tasks are known to need it. Returns
// whether one was requested.
bool Autoscaler::rent_cheapest_machine(const planner::Workload& work, const Offers& offers,
                                       UnavailablePools& unavailable) {
  std::vector<const wire::MachineType*> types;
  for (const auto& offer : offers)
    if (planner::can_host(work, offer.machine_type)) types.push_back(&offer.machine_type);
  std::stable_sort(types.begin(), types.end(),
                   [](const auto* a, const auto* b) { return a->hourly_price < b->hourly_price; });
  for (const auto* type : types) {
    if (unavailable.contains({type->name, work.zones})) continue;
    if (view_.rentals.request_in_one_zone(*type, false, 1, work.zones) > 0) return true;
    unavailable.insert({type->name, work.zones});
  }
  return false;
}

// The zones in which the next task of the job may run; no value: in all.
std::optional<std::vector<std::string>> Autoscaler::allowed_zones(const Job& job) const {
  if (!job.spec.has_zone_rules()) return std::nullopt;
  std::vector<std::string> zones;
  for (const auto& zone : planner::offered_zones(view_.machine_types))
    if (ports_.zone_allows(job, zone)) zones.push_back(zone);
  return zones;
}

// Whether the job's cutoff is far enough away that its tasks can wait for machines of its pools. Such a job
// gets no machine beyond the plan, which spreads its work over the time left. With a machine for it whenever
// all were busy, the job would have as many machines within minutes as without a calendar, and on-demand
// ones at that.
bool Autoscaler::can_wait_for_plan(const Job& job) const {
  if (!view_.queue.cutoff(job) || !job.failed_on.empty()) return false;
  const double time_to_deadline_s = view_.queue.time_to_deadline(job, loop_.wall());
  const double time_needed_s = estimated_runtime_s(job) + planner::longest_boot_s(view_.machine_types);
  if (std::isinf(time_to_deadline_s) || kDeadlineWindowShare * time_to_deadline_s < time_needed_s)
    return false;
  const auto& pools = view_.fleet.pools();
  return std::any_of(pools.begin(), pools.end(), [&](const auto& entry) {
    const auto& [pool, state] = entry;
    return state.totals.up + state.totals.booting > 0 && model::allows(job.spec, pool) &&
           job.spec.request.fits(state.capacity);
  });
}

// Whether a machine that can take the next task of the job has free resources, is booting or is joining.
bool Autoscaler::has_available_machine(const Job& job) const {
  const auto& pools = view_.fleet.pools();
  return std::any_of(pools.begin(), pools.end(), [&](const auto& entry) {
    const auto& [pool, state] = entry;
    if (!model::allows(job.spec, pool) || !ports_.zone_allows(job, pool.zone)) return false;
    if (state.totals.booting + state.totals.joining > 0 && job.spec.request.fits(state.capacity)) return true;
    // A machine on which tasks of the job failed takes no more of them. If such a machine counted, a job
    // whose tasks had failed on all machines would wait forever.
    const auto* freest = state.free_slots.empty() ? nullptr : state.free_slots.rbegin()->machine;
    return freest != nullptr && job.spec.request.fits(freest->available()) &&
           !job.failed_on.contains(freest->id);
  });
}

// Whether a machine is requested that can take the next task of the job.
bool Autoscaler::has_requested_machine(const Job& job) const {
  bool found = false;
  view_.rentals.visit_pending_rentals([&](const wire::RentalRecord& requested) {
    const model::Pool pool{requested.machine_type, requested.zone, requested.preemptible};
    const auto* type = machine_type(requested.machine_type);
    found = found || (type != nullptr && job.spec.request.fits(type->capacity) &&
                      model::allows(job.spec, pool) && ports_.zone_allows(job, pool.zone));
  });
  return found;
}

// Updates how many cores of on-demand machines are in excess of the plan. Excess machines take no more batch
// tasks and are terminated once empty. Otherwise placement, which fills on-demand machines first, would keep
// them busy forever at four times the price, while preemptible machines that are paid for stay idle. No more
// machines are drained than idle preemptible machines can replace; otherwise the capacity of
// drained machines would be unused while tasks wait. A machine with services is not drained.
void Autoscaler::update_excess_cores(double missing_on_demand_cores) {
  double idle_preemptible = 0;
  for (const auto& [pool, state] : view_.fleet.pools())
    if (pool.preemptible) idle_preemptible += state.totals.free_cores;
  for (const auto& machine_id : excess_machines_) {
    const auto* machine = view_.fleet.peek(machine_id);
    if (!machine->terminating) idle_preemptible -= machine->capacity.cores;
  }
  excess_cores_ = std::max(0.0, std::min(-missing_on_demand_cores, idle_preemptible));
}

// Cancels the drain of excess machines that the plan needs again: unlike rented machines, they are available
// at once.
void Autoscaler::cancel_excess_drains(double& missing_on_demand_cores) {
  while (missing_on_demand_cores > kRoundingTolerance && !excess_machines_.empty()) {
    auto* machine = view_.fleet.find(*excess_machines_.begin());
    excess_machines_.erase(excess_machines_.begin());
    if (machine->terminating || !ports_.cancel_drain(*machine, kExcessReason)) continue;
    machine->idle_since = loop_.now();
    missing_on_demand_cores -= machine->capacity.cores;
    ports_.count_event("drains of excess machines cancelled");
  }
}

void Autoscaler::drain_if_excess(Machine& machine) {
  if (machine.preemptible || machine.capacity.cores > excess_cores_ || machine.service_cores > 0 ||
      machine.reserved.cores > 0)
    return;
  if (!machine.takes_tasks() || loop_.now() - machine.first_seen < cloud::kMinBillingS) return;
  excess_cores_ -= machine.capacity.cores;
  ports_.drain(machine, kExcessReason);
  excess_machines_.insert(machine.id);
  ports_.count_event("excess machines drained");
}

bool Autoscaler::terminate_if_idle(Machine& machine) {
  const double now = loop_.now();
  if (!machine.takes_tasks() || !machine.assignments.empty() || machine.reserved.cores > 0) return false;
  if (now - machine.idle_since < idle_limit_s(machine) || now - machine.first_seen < cloud::kMinBillingS)
    return false;
  view_.rentals.terminate(machine, "idle");
  return true;
}

// An idle machine is kept for a multiple of the time that a new one takes to boot. An on-demand machine is
// kept for less, in proportion to its higher price.
double Autoscaler::idle_limit_s(const Machine& machine) const {
  const auto* type = machine_type(machine.machine_type);
  if (type == nullptr) return settings_.round_s;
  return settings_.idle_boots * type->boot_s *
         (machine.preemptible ? 1 : type->preemptible_hourly_price / type->hourly_price);
}

const wire::MachineType* Autoscaler::machine_type(const std::string& name) const {
  const auto& types = view_.machine_types;
  const auto found = std::find_if(types.begin(), types.end(),
                                  [&](const wire::MachineType& type) { return type.name == name; });
  return found == types.end() ? nullptr : &*found;
}

}  // namespace bankhill::leader
