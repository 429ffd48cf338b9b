#include "leader/autoscaler.hpp"

#include <algorithm>
#include <cmath>

namespace bankhill::leader {

using model::Job;
using model::Machine;
using queue::estimated_runtime_s;

namespace {
constexpr double kPlanGap = 0.3;         // control intervals between two plans made on events
constexpr double kWindowShare = 0.5;     // of the time left until a job is due
constexpr double kDemandBoots = 4;       // boot times over which the services that come are averaged
constexpr double kReserveIntervals = 2;  // services that come within so many control intervals find room
constexpr double kRounding = 1e-6;
const std::string kExcessReason = "more than planned";
}  // namespace

Autoscaler::Autoscaler(runtime::Loop& loop, runtime::Log log, Settings settings, View view, Ports ports)
    : loop_(loop), log_(std::move(log)), settings_(settings), view_(view), ports_(std::move(ports)) {}

void Autoscaler::end_term() {
  excess_machines_.clear();
  excess_cores_ = 0;
}

// Services that are over count too: a new leader knows from the first how many come.
void Autoscaler::on_service_accepted(const Job& job) {
  service_demand_.add(job.accepted_at, job.spec.request.cores, job.spec.task_count);
  if (!view_.machine_types.empty()) service_demand_.forget_before(loop_.wall() - demand_window_s());
}

void Autoscaler::plan_soon() {
  if (plan_scheduled_) return;
  plan_scheduled_ = true;
  const double wait = std::max(0.0, last_plan_ + kPlanGap * settings_.control_interval_s - loop_.now());
  plan_timer_ = loop_.after(wait, [this] {
    plan_scheduled_ = false;
    plan();
  });
}

void Autoscaler::plan() {
  if (!ports_.is_active_leader() || view_.machine_types.empty()) return;
  last_plan_ = loop_.now();
  const auto offers = current_offers();
  const auto demand = current_demand();
  const auto plan = planner::plan(demand.work, offers, settings_.alpha);

  // What is wanted and what is there, in cores of each kind: a machine of another type does as well.
  const auto wanted = wanted_cores(plan, offers);
  const auto present = present_cores();
  Cores missing{wanted.steady - present.steady, wanted.preemptible - present.preemptible};
  log_->debug("plan: {:.0f} steady and {:.0f} spot cores wanted, {:.0f} and {:.0f} there or coming{}",
              wanted.steady, wanted.preemptible, present.steady, present.preemptible,
              demand.tasks_wait ? ", work waits" : "");

  rent_missing(missing.preemptible, true, offers);
  // Exception to the design (its first doubt): alpha's budget that no preemptible type can take must not stay
  // unspent while work waits.
  if (missing.preemptible > 0 && demand.tasks_wait) missing.steady += missing.preemptible;
  recall_excess(missing.steady);
  rent_missing(missing.steady, false, offers);

  const double lacking_preemptible = demand.tasks_wait ? 0 : std::max(0.0, missing.preemptible);
  ports_.report_core_demand(wanted.steady + wanted.preemptible,
                            std::max(0.0, missing.steady) + lacking_preemptible);
  set_excess(missing.steady);
  if (missing.steady <= 0 && missing.preemptible <= 0) rent_for_stranded_jobs(offers);
  ports_.rent_for_gangs(offers);
}

Autoscaler::Offers Autoscaler::current_offers() const {
  Offers offers;
  for (const auto& type : view_.machine_types) offers.push_back({type, reclaim_share_allows(type.name)});
  return offers;
}

// The share of tasks that a reclaim would hit stands in for the paper's out-of-bid probability.
bool Autoscaler::reclaim_share_allows(const std::string& machine_type) const {
  const auto reclaim_rate = spot_reclaims_.rate(machine_type);
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
  std::map<std::string, double> planned_cores;  // of each team
  for (const auto& [id, job] : view_.live_jobs) {
    if (!job->dependencies_met || loop_.now() < job->blocked_until) continue;
    auto work = work_of(*job);
    limit_to_quota(work, job->spec.team, planned_cores);
    demand.tasks_wait = demand.tasks_wait || ports_.placeable_tasks(*job) > 0;
    if (work.task_count > 0) demand.work.push_back(std::move(work));
  }
  add_service_reserve(demand.work);
  return demand;
}

planner::Workload Autoscaler::work_of(const Job& job) const {
  planner::Workload work;
  work.request = job.spec.request;
  work.task_count =
      std::max(0.0, 1.0 * job.unfinished_tasks() - (job.ready_count - ports_.placeable_tasks(job)));
  work.task_s = std::max(1.0, estimated_runtime_s(job));
  // The period in which the work should be done. Estimates are often wrong by half: part of the time that is
  // left is kept in reserve.
  work.window_s = std::max(work.task_s, kWindowShare * view_.queue.time_to_deadline(job, loop_.wall()));
  if (std::isinf(work.window_s)) work.window_s = work.task_s;
  work.service = job.is_service();
  work.allows_preemptible = job.spec.allows_preemptible;
  work.machine_types = job.spec.machine_types;
  work.zone = job.spec.zone;
  return work;
}

// Tasks beyond the team's limit cannot run at the same time.
void Autoscaler::limit_to_quota(planner::Workload& work, const std::string& team,
                                std::map<std::string, double>& planned_cores) const {
  const auto limit = ports_.core_limit(team);
  if (!limit) return;
  auto& planned = planned_cores[team];
  work.task_count =
      std::min(work.task_count, std::max(0.0, std::floor((*limit - planned) / work.request.cores)));
  planned += work.task_count * work.request.cores;
}

// A service starts at once only where room and image are at hand: about what comes within a short while.
void Autoscaler::add_service_reserve(std::vector<planner::Workload>& work) {
  reserved_cores_ = service_demand_.reserve(loop_.wall(), demand_window_s(),
                                            kReserveIntervals * settings_.control_interval_s);
  if (reserved_cores_ <= 0) return;
  planner::Workload reserve;
  reserve.request.cores = service_demand_.largest_task_cores();
  reserve.task_count = reserved_cores_ / reserve.request.cores;
  reserve.task_s = reserve.window_s = 1;
  reserve.service = true;
  work.push_back(std::move(reserve));
}

double Autoscaler::demand_window_s() const {
  return kDemandBoots * std::max(1.0, planner::longest_boot_s(view_.machine_types));
}

Autoscaler::Cores Autoscaler::wanted_cores(const planner::Plan& plan, const Offers& offers) {
  Cores wanted;
  for (std::size_t i = 0; i < offers.size(); ++i) {
    const double cores = offers[i].machine_type.capacity.cores;
    wanted.steady += plan.steady[i] * cores;
    wanted.preemptible += (plan.spot[i] + plan.avoided[i]) * cores;
  }
  return wanted;
}

// Of machines that are up, that are coming and that are requested.
Autoscaler::Cores Autoscaler::present_cores() const {
  Cores present;
  for (const auto& [pool, state] : view_.fleet.pools()) present.of(pool.preemptible) += state.totals.cores;
  view_.rentals.visit_requested([&](const wire::RentalRecord& requested) {
    if (const auto* type = machine_type(requested.machine_type))
      present.of(requested.preemptible) += type->capacity.cores * requested.count;
  });
  return present;
}

// Whatever covers what is missing at the least cost: a machine much larger than that would stand idle for the
// most part. What a type cannot give is asked of the next.
void Autoscaler::rent_missing(double& missing_cores, bool preemptible, const Offers& offers) {
  std::vector<const wire::MachineType*> untried;
  for (const auto& offer : offers)
    if (!preemptible || offer.spot_allowed) untried.push_back(&offer.machine_type);
  const auto machines = [&](const wire::MachineType& type) {
    return std::ceil(missing_cores / type.capacity.cores - kRounding);
  };
  const auto cost = [&](const wire::MachineType* type) {
    return machines(*type) * (preemptible ? type->preemptible_hourly_price : type->hourly_price);
  };
  while (missing_cores > kRounding && !untried.empty()) {
    const auto best = std::min_element(untried.begin(), untried.end(),
                                       [&](const auto* a, const auto* b) { return cost(a) < cost(b); });
    const auto& type = **best;
    missing_cores -= view_.rentals.request(type, preemptible, machines(type)) * type.capacity.cores;
    untried.erase(best);
  }
}

// Ready work that no machine can take earns its type at least one machine.
void Autoscaler::rent_for_stranded_jobs(const Offers& offers) {
  std::vector<bool> earned(offers.size(), false);
  for (const auto& [id, job] : view_.queue.jobs()) {
    if (ports_.is_gang(id) || !ports_.may_start(*job) || !ports_.quota_allows(*job)) continue;
    if (can_take_its_time(*job) || machine_at_hand(*job)) continue;
    planner::Workload work;
    work.request = job->spec.request;
    work.machine_types = job->spec.machine_types;
    work.zone = job->spec.zone;
    const auto preferred = planner::choose_offer(work, offers);
    if (!preferred || earned[*preferred]) continue;
    earned[*preferred] = true;
    if (view_.rentals.has_pending_rental()) continue;
    const auto& type = offers[smallest_that_holds(work, offers, *preferred)].machine_type;
    // Elsewhere none is of use to it.
    view_.rentals.request(type, false, 1, job->spec.zone.value_or(""));
  }
}

// Work for a far cutoff that some machine will take goes by the plan alone, which spreads it. Earning a
// machine whenever all were busy, it had as many within minutes as without a calendar, steady ones at that.
bool Autoscaler::can_take_its_time(const Job& job) const {
  if (!view_.queue.cutoff(job) || !job.failed_on.empty()) return false;
  const double due = view_.queue.time_to_deadline(job, loop_.wall());
  const double needed = estimated_runtime_s(job) + planner::longest_boot_s(view_.machine_types);
  if (std::isinf(due) || kWindowShare * due < needed) return false;
  const auto& pools = view_.fleet.pools();
  return std::any_of(pools.begin(), pools.end(), [&](const auto& entry) {
    const auto& [pool, state] = entry;
    return state.totals.up + state.totals.booting > 0 && model::allows(job.spec, pool) &&
           job.spec.request.fits(state.capacity);
  });
}

// A machine that can take a task of the job has room, or is about to join.
bool Autoscaler::machine_at_hand(const Job& job) const {
  const auto& pools = view_.fleet.pools();
  return std::any_of(pools.begin(), pools.end(), [&](const auto& entry) {
    const auto& [pool, state] = entry;
    if (!model::allows(job.spec, pool)) return false;
    if (state.totals.booting + state.totals.joining > 0 && job.spec.request.fits(state.capacity)) return true;
    // A machine that its tasks failed on takes no more of it: where all have, it waited for ever.
    const auto* roomiest = state.free_slots.empty() ? nullptr : state.free_slots.rbegin()->machine;
    return roomiest != nullptr && job.spec.request.fits(roomiest->available()) &&
           !job.failed_on.contains(roomiest->id);
  });
}

// Smallest type that holds a task, since one task is all that is known to need it.
std::size_t Autoscaler::smallest_that_holds(const planner::Workload& work, const Offers& offers,
                                            std::size_t preferred) {
  std::size_t smallest = preferred;
  for (std::size_t i = 0; i < offers.size(); ++i) {
    const auto& type = offers[i].machine_type;
    if (planner::slots(work.request, type.capacity) >= 1 && planner::allows(work.machine_types, type.name) &&
        type.hourly_price < offers[smallest].machine_type.hourly_price)
      smallest = i;
  }
  return smallest;
}

// Steady machines beyond the plan's count take no more batches and are returned once empty: "steady first"
// keeps them busy for ever, at four times the price, while preemptible machines paid for stand idle. Only as
// many as idle preemptible machines can stand in for: else their rooms stay empty while work waits. A machine
// with services stays.
void Autoscaler::set_excess(double missing_steady_cores) {
  double idle_preemptible = 0;
  for (const auto& [pool, state] : view_.fleet.pools())
    if (pool.preemptible) idle_preemptible += state.totals.free_cores;
  for (const auto& machine_id : excess_machines_) {
    const auto* machine = view_.fleet.peek(machine_id);
    if (!machine->terminating) idle_preemptible -= machine->capacity.cores;
  }
  excess_cores_ = std::max(0.0, std::min(-missing_steady_cores, idle_preemptible));
}

// Machines on their way out are wanted again: they are there at once.
void Autoscaler::recall_excess(double& missing_steady_cores) {
  while (missing_steady_cores > kRounding && !excess_machines_.empty()) {
    auto* machine = view_.fleet.find(*excess_machines_.begin());
    excess_machines_.erase(excess_machines_.begin());
    if (machine->terminating || !ports_.cancel_drain(*machine, kExcessReason)) continue;
    machine->idle_since = loop_.now();
    missing_steady_cores -= machine->capacity.cores;
    ports_.count_event("surplus machines wanted again");
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
  ports_.count_event("machines surplus");
}

bool Autoscaler::terminate_if_idle(Machine& machine) {
  const double now = loop_.now();
  if (!machine.takes_tasks() || !machine.assignments.empty() || machine.reserved.cores > 0) return false;
  if (now - machine.idle_since < idle_limit_s(machine) || now - machine.first_seen < cloud::kMinBillingS)
    return false;
  view_.rentals.terminate(machine, "idle");
  return true;
}

// An idle machine is worth keeping for about as long as another takes to boot, the less the dearer it is.
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
