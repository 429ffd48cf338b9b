#include "leader/rental_manager.hpp"

#include <algorithm>
#include <cmath>

namespace bankhill::leader {

using model::Machine;

namespace {
// Maximum number of requests for machines of one pool in one call.
constexpr int kMaxRequestsPerPool = 8;
// Time between two reconciliations of rentals with the fleet, in seconds.
constexpr double kReconciliationIntervalS = 1.0;
// Time for which terminated machines are remembered, in lease durations: copies of their heartbeats arrive
// for several lease durations after the termination.
constexpr double kTerminatedRetentionLeases = 90;
const std::string kFailedInListReason = "failed according to the cloud's list";
}  // namespace

void TerminatedMachines::add(const wire::MachineId& machine_id, double now) {
  while (!by_time_.empty() && now - by_time_.front().terminated_at > retention_s_) {
    machine_ids_.erase(by_time_.front().machine_id);
    by_time_.pop_front();
  }
  if (machine_ids_.insert(machine_id).second) by_time_.push_back({now, machine_id});
}

RentalManager::RentalManager(runtime::Loop& loop, runtime::Log log, Settings settings, model::Fleet& fleet,
                             Ports ports)
    : loop_(loop),
      log_(std::move(log)),
      settings_(std::move(settings)),
      fleet_(fleet),
      ports_(std::move(ports)),
      terminated_machines_(kTerminatedRetentionLeases * settings_.lease_s) {}

// Wraps a callback so that it does nothing after this object was destroyed.
template <class Callback>
auto RentalManager::while_alive(Callback callback) {
  return [alive = std::weak_ptr<int>(alive_), callback = std::move(callback)](auto&&... arguments) {
    if (alive.lock()) callback(std::forward<decltype(arguments)>(arguments)...);
  };
}

// Wraps a callback so that it does nothing after this object was destroyed or this term has ended.
template <class Callback>
auto RentalManager::in_this_term(Callback callback) {
  return while_alive([this, term = term_, callback = std::move(callback)](auto&&... arguments) {
    if (term_ && term_ == term) callback(std::forward<decltype(arguments)>(arguments)...);
  });
}

void RentalManager::begin_term(std::uint64_t term) {
  end_term();
  term_ = last_term_ = term;
  request_count_ = 0;
  next_list_at_ = next_reconciliation_at_ = loop_.now();
}

void RentalManager::end_term() {
  term_.reset();
  rentals_.clear();
  pending_terminations_.clear();
  list_pending_ = termination_pending_ = false;
}

void RentalManager::adopt(const std::string& name, wire::RentalRecord record) {
  rentals_[name].record = std::move(record);
}

std::string RentalManager::name_prefix() const { return "r-" + std::to_string(last_term_) + "-"; }

void RentalManager::visit_pending_rentals(
    const std::function<void(const wire::RentalRecord&)>& visitor) const {
  for (const auto& [name, rental] : rentals_)
    if (!rental.record.machine_ids) visitor(rental.record);
}

bool RentalManager::has_pending_rental() const {
  return std::any_of(rentals_.begin(), rentals_.end(),
                     [](const auto& entry) { return !entry.second.record.machine_ids; });
}

// Returns how many machines can be rented before the fleet reaches the number of machines whose heartbeats
// the controllers can receive. A larger fleet would not be served more slowly, but not at all.
double RentalManager::remaining_machine_count() {
  const auto& total = fleet_.total();
  double machines = static_cast<double>(total.up + total.booting);
  visit_pending_rentals([&machines](const wire::RentalRecord& record) { machines += record.count; });
  const double remaining = static_cast<double>(settings_.machine_limit) - machines;
  const bool at_limit = remaining < 1;
  if (at_limit && !at_machine_limit_)
    log_->warn(
        "fleet: machine limit reached: {:.0f} machines are present or requested, the controllers' "
        "sockets can serve no more; renting no machines",
        machines);
  if (!at_limit && at_machine_limit_)
    log_->info("fleet: below the machine limit of the controllers again; renting is possible");
  at_machine_limit_ = at_limit;
  return std::max(0.0, remaining);
}

std::vector<std::string> RentalManager::candidate_zones(const wire::MachineType& machine_type,
                                                        bool preemptible, const std::string& zone) const {
  std::vector<std::string> zones;
  for (const auto& candidate : machine_type.zones) {
    if (!zone.empty() && candidate != zone) continue;
    if (capacity_backoff_.can_request({machine_type.name, candidate, preemptible}, loop_.now()))
      zones.push_back(candidate);
  }
  // Services run on on-demand machines. A partition between the zones, or one that isolates the smaller zone,
  // cuts off the machines outside the zone in which the leader will be. On-demand machines are therefore
  // rented in the main zone as long as it has capacity.
  if (!preemptible && std::find(zones.begin(), zones.end(), settings_.main_zone) != zones.end())
    return {settings_.main_zone};
  // Requests are spread evenly over the zones, starting with the zone that has the fewest cores.
  std::map<std::string, double> cores;
  for (const auto& [pool, state] : fleet_.pools()) cores[pool.zone] += state.totals.cores;
  std::sort(zones.begin(), zones.end(),
            [&](const std::string& a, const std::string& b) { return cores[a] < cores[b]; });
  return zones;
}

double RentalManager::request(const wire::MachineType& machine_type, bool preemptible, double count,
                              const std::string& zone) {
  count = std::min(count, remaining_machine_count());
  if (count < 1) return 0;
  const auto zones = candidate_zones(machine_type, preemptible, zone);
  double requested = 0;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const double share = std::ceil((count - requested) / static_cast<double>(zones.size() - i));
    requested += request_in_zone({machine_type.name, zones[i], preemptible}, share);
  }
  return requested;
}

double RentalManager::request_in_one_zone(const wire::MachineType& machine_type, bool preemptible,
                                          double count,
                                          const std::optional<std::vector<std::string>>& zones) {
  if (!zones) return request(machine_type, preemptible, count);
  auto main_zone_first = *zones;
  std::stable_partition(main_zone_first.begin(), main_zone_first.end(),
                        [this](const std::string& zone) { return zone == settings_.main_zone; });
  for (const auto& zone : main_zone_first)
    if (const double requested = request(machine_type, preemptible, count, zone); requested > 0)
      return requested;
  return 0;
}

double RentalManager::request_in_zone(const model::Pool& pool, double count) {
  // The cloud limits the machines per request, and kMaxRequestsPerPool requests at a time are enough to find
  // out whether it has the capacity. A pool without capacity at the last request gets a single request: with
  // eight refused requests for each type, the cloud's rate limit was used up and the plan did not see that
  // other types had to be rented.
  const int max_requests = capacity_backoff_.had_stockout(pool) ? 1 : kMaxRequestsPerPool;
  double requested = 0;
  for (int sent = 0; sent < max_requests && count >= 1; ++sent) {
    const auto machines = static_cast<std::uint32_t>(std::min<double>(count, cloud::kMaxMachinesPerRental));
    record_request(pool, machines);
    requested += machines;
    count -= machines;
  }
  return requested;
}

void RentalManager::record_request(const model::Pool& pool, std::uint32_t count) {
  const std::string name = name_prefix() + std::to_string(++request_count_);
  auto& rental = rentals_[name];
  rental.record = {pool.machine_type, pool.zone, pool.preemptible, count, loop_.wall(), std::nullopt};
  rental.request_in_progress = true;
  log_->info("rental {}: requesting {} x {} in {}{}", name, count, pool.machine_type, pool.zone,
             pool.preemptible ? ", spot" : "");
  // Invariant 3: stored before it is requested.
  ports_.store_request(name, rental.record, [this, name] { send_request(name); });
}

void RentalManager::send_request(const std::string& name) {
  const auto found = rentals_.find(name);
  if (found == rentals_.end()) return;
  auto& rental = found->second;
  rental.request_in_progress = ports_.is_active_leader();
  if (!rental.request_in_progress) return;
  ports_.send_to_cloud(cloud::Rent{
      name, rental.record,
      in_this_term([this, name](const cloud::RentalResult& result) { handle_rental_result(name, result); })});
}

void RentalManager::handle_rental_result(const std::string& name, const cloud::RentalResult& result) {
  const auto found = rentals_.find(name);
  if (found == rentals_.end()) return;
  auto& rental = found->second;
  rental.request_in_progress = false;
  rental.retry_at = loop_.now() + settings_.control_interval_s / 2;
  if (result.status == cloud::RentalResult::Status::failed) return;
  const model::Pool pool{rental.record.machine_type, rental.record.zone, rental.record.preemptible};
  if (result.status == cloud::RentalResult::Status::no_capacity ||
      result.machines.size() < rental.record.count) {
    capacity_backoff_.record_stockout(pool, loop_.now(), settings_.round_s);
    log_->info("rental {}: {} of {} machines granted, the cloud has no more capacity", name,
               result.machines.size(), rental.record.count);
    ports_.schedule_planning();
  } else {
    capacity_backoff_.reset(pool);
  }
  if (result.machines.empty()) return close_rental(name);
  rental.record.machine_ids.emplace();
  for (const auto& machine_id : result.machines) rental.record.machine_ids->push_back(machine_id.value);
  ports_.store_machines(name, rental.record);
  // The machines join the fleet at once. Before they do, the rental counts neither as requested nor as
  // present, and a planning round in between rented all of its machines a second time.
  reconcile_rentals();
}

void RentalManager::reconcile_if_due() {
  const double now = loop_.now();
  if (now >= next_reconciliation_at_) {
    next_reconciliation_at_ = now + kReconciliationIntervalS;
    reconcile_rentals();
  }
  if (now >= next_list_at_) request_list();
}

void RentalManager::reconcile_rentals() {
  const double now = loop_.now();
  const std::string own_prefix = name_prefix();
  std::vector<std::string> completed;
  for (auto& [name, rental] : rentals_) {
    if (rental.record.machine_ids) {
      if (add_machines(rental, name.starts_with(own_prefix))) completed.push_back(name);
    } else if (!rental.request_in_progress && now >= rental.retry_at && ports_.is_active_leader()) {
      // A new leader repeats pending rentals to get the ids of their machines.
      send_request(name);
    }
  }
  for (const auto& name : completed) close_rental(name);
}

// Adds a rental's machines to the fleet; returns whether each of them has its own record in the state
// service.
bool RentalManager::add_machines(const Rental& rental, bool requested_in_this_term) {
  bool all_recorded = true;
  for (const auto& id : *rental.record.machine_ids) {
    const wire::MachineId machine_id{id};
    if (terminated_machines_.contains(machine_id)) continue;
    const auto [machine, added] = fleet_.add(machine_id);
    if (added) {
      machine->machine_type = rental.record.machine_type;
      machine->zone = rental.record.zone;
      machine->preemptible = rental.record.preemptible;
      machine->first_seen = loop_.now();
      set_capacity(*machine);
      fleet_.refresh(*machine);
    }
    machine->rented_this_term = machine->rented_this_term || requested_in_this_term;
    all_recorded = all_recorded && machine->recorded;
  }
  return all_recorded;
}

void RentalManager::close_rental(const std::string& name) {
  rentals_.erase(name);
  ports_.remove_record(name);
}

void RentalManager::terminate(Machine& machine, const std::string& reason) {
  if (std::exchange(machine.terminating, true)) return;
  log_->debug("machine {}: terminating it, reason: {} ({} tasks assigned)", machine.id.value, reason,
              machine.assignments.size());
  ports_.count_event("machines terminated (" + reason + ")");
  ports_.on_terminating(machine);
  pending_terminations_.insert(machine.id);
  fleet_.refresh(machine);
  loop_.post(while_alive([this] { send_terminations(); }));
}

void RentalManager::send_terminations() {
  if (termination_pending_ || !ports_.is_active_leader()) return;
  std::vector<wire::MachineId> batch;
  for (const auto& machine_id : pending_terminations_)
    if (batch.size() < cloud::kMaxMachinesPerTermination) batch.push_back(machine_id);
  if (batch.empty()) return;
  termination_pending_ = true;
  ports_.send_to_cloud(cloud::Terminate{batch, in_this_term([this, batch](bool succeeded) {
                                          termination_pending_ = false;
                                          if (!succeeded) return;  // retried by the next call
                                          for (const auto& machine_id : batch) handle_terminated(machine_id);
                                        })});
}

void RentalManager::handle_terminated(const wire::MachineId& machine_id) {
  pending_terminations_.erase(machine_id);
  terminated_machines_.add(machine_id, loop_.now());
  ports_.on_terminated(machine_id);
}

void RentalManager::request_list() {
  // Each page of the list costs a request, so a large fleet is listed less often.
  const double pages = 1 + std::floor(static_cast<double>(fleet_.size()) / cloud::kListPageSize);
  next_list_at_ = loop_.now() + std::max(settings_.list_lag_s, settings_.control_interval_s) * pages;
  if (std::exchange(list_pending_, true)) return;
  ports_.send_to_cloud(
      cloud::ListMachines{in_this_term([this](const std::optional<std::vector<wire::ListedMachine>>& listed) {
        list_pending_ = false;
        if (!listed || !ports_.is_active_leader()) return;
        for (const auto& machine : *listed) reconcile_listed(machine);
      })});
}

void RentalManager::reconcile_listed(const wire::ListedMachine& listed) {
  if (terminated_machines_.contains(listed.id)) return;
  const auto [machine, added] = fleet_.add(listed.id);
  if (added) {
    // The machine was rented by a request that arrived late, or was already running at the start. It is used
    // or terminated like any other machine.
    log_->debug("machine {}: unexpected machine in the cloud's list, adding it", listed.id.value);
    ports_.count_event("unexpected machines");
    machine->machine_type = listed.machine_type;
    machine->zone = listed.zone;
    machine->preemptible = listed.preemptible;
    machine->first_seen = loop_.now() - listed.age_s;
    set_capacity(*machine);
    fleet_.refresh(*machine);
  }
  if (listed.state == "failed") terminate(*machine, kFailedInListReason);
}

void RentalManager::set_capacity(Machine& machine) const {
  if (const auto* type = ports_.machine_type(machine.machine_type)) machine.capacity = type->capacity;
}

}  // namespace bankhill::leader
