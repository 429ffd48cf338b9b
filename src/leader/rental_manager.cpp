#include "leader/rental_manager.hpp"

#include <algorithm>
#include <cmath>

namespace bankhill::leader {

using model::Machine;

namespace {
constexpr int kRequestsAtOnce = 8;            // for one zone
constexpr double kReconciliationS = 1.0;      // between two reconciliations of rentals with the fleet
constexpr double kTerminatedKeptLeases = 90;  // copies of heartbeats come for several leases after machines
const std::string kFailedReason = "failed by the cloud's list";
}  // namespace

void TerminatedMachines::add(const wire::MachineId& machine_id, double now) {
  while (!by_time_.empty() && now - by_time_.front().at > retention_s_) {
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
      terminated_(kTerminatedKeptLeases * settings_.lease_s) {}

// Wraps a callback so that it does nothing once this object is gone.
template <class Work>
auto RentalManager::while_alive(Work work) {
  return [alive = std::weak_ptr<int>(alive_), work = std::move(work)](auto&&... arguments) {
    if (alive.lock()) work(std::forward<decltype(arguments)>(arguments)...);
  };
}

// The same, once this term is over.
template <class Work>
auto RentalManager::in_this_term(Work work) {
  return while_alive([this, term = term_, work = std::move(work)](auto&&... arguments) {
    if (term_ && term_ == term) work(std::forward<decltype(arguments)>(arguments)...);
  });
}

void RentalManager::begin_term(std::uint64_t term) {
  end_term();
  term_ = last_term_ = term;
  requests_made_ = 0;
  next_list_ = next_reconciliation_ = loop_.now();
}

void RentalManager::end_term() {
  term_.reset();
  rentals_.clear();
  to_terminate_.clear();
  list_requested_ = termination_sent_ = false;
}

void RentalManager::adopt(const std::string& name, wire::RentalRecord record) {
  rentals_[name].record = std::move(record);
}

std::string RentalManager::name_prefix() const { return "r-" + std::to_string(last_term_) + "-"; }

void RentalManager::visit_requested(const std::function<void(const wire::RentalRecord&)>& call) const {
  for (const auto& [name, rental] : rentals_)
    if (!rental.record.machine_ids) call(rental.record);
}

bool RentalManager::has_pending_rental() const {
  return std::any_of(rentals_.begin(), rentals_.end(),
                     [](const auto& entry) { return !entry.second.record.machine_ids; });
}

// Machines that may be rented before the fleet is as large as the controllers can take the heartbeats of: a
// fleet beyond that would not be served worse, but not at all.
double RentalManager::room_for_machines() {
  const auto& total = fleet_.total();
  double there = static_cast<double>(total.up + total.booting);
  visit_requested([&there](const wire::RentalRecord& record) { there += record.count; });
  const double room = static_cast<double>(settings_.machine_limit) - there;
  const bool full = room < 1;
  if (full && !at_machine_limit_)
    log_->warn("fleet: {:.0f} machines are all that these controllers' sockets can serve; renting no more",
               there);
  if (!full && at_machine_limit_) log_->info("fleet: below what these controllers can serve again");
  at_machine_limit_ = full;
  return std::max(0.0, room);
}

std::vector<std::string> RentalManager::zones_to_ask(const wire::MachineType& machine_type, bool preemptible,
                                                     const std::string& zone) const {
  std::vector<std::string> zones;
  for (const auto& each : machine_type.zones) {
    if (!zone.empty() && each != zone) continue;
    if (capacity_backoff_.can_request({machine_type.name, each, preemptible}, loop_.now()))
      zones.push_back(each);
  }
  // Services stand on steady machines. A cut between the zones, or of the smaller one, takes those that are
  // not where the leader will be: steady machines are rented there as long as there are any.
  if (!preemptible && std::find(zones.begin(), zones.end(), settings_.main_zone) != zones.end())
    return {settings_.main_zone};
  // Evenly over the zones, beginning with the one that has the fewest.
  std::map<std::string, double> cores;
  for (const auto& [pool, state] : fleet_.pools()) cores[pool.zone] += state.totals.cores;
  std::sort(zones.begin(), zones.end(),
            [&](const std::string& a, const std::string& b) { return cores[a] < cores[b]; });
  return zones;
}

double RentalManager::request(const wire::MachineType& machine_type, bool preemptible, double count,
                              const std::string& zone) {
  count = std::min(count, room_for_machines());
  if (count < 1) return 0;
  const auto zones = zones_to_ask(machine_type, preemptible, zone);
  double requested = 0;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const double share = std::ceil((count - requested) / static_cast<double>(zones.size() - i));
    requested += request_in_zone({machine_type.name, zones[i], preemptible}, share);
  }
  return requested;
}

double RentalManager::request_in_zone(const model::Pool& pool, double count) {
  // The cloud gives so many a request, and so many requests at a time are enough to see whether it has
  // them. One that had none is asked once, to see whether it has some again: eight refusals for each of its
  // types used up the cloud's requests, and hid from the plan that others must be rented.
  const int most_requests = capacity_backoff_.had_stockout(pool) ? 1 : kRequestsAtOnce;
  double requested = 0;
  for (int made = 0; made < most_requests && count >= 1; ++made) {
    const auto machines = static_cast<std::uint32_t>(std::min<double>(count, cloud::kMaxMachinesPerRental));
    record_request(pool, machines);
    requested += machines;
    count -= machines;
  }
  return requested;
}

void RentalManager::record_request(const model::Pool& pool, std::uint32_t count) {
  const std::string name = name_prefix() + std::to_string(++requests_made_);
  auto& rental = rentals_[name];
  rental.record = {pool.machine_type, pool.zone, pool.preemptible, count, loop_.wall(), std::nullopt};
  rental.request_sent = true;
  log_->info("rental {}: {} x {} in {}{}", name, count, pool.machine_type, pool.zone,
             pool.preemptible ? ", spot" : "");
  // Invariant 3: stored before it is requested.
  ports_.store_request(name, rental.record, [this, name] { send_request(name); });
}

void RentalManager::send_request(const std::string& name) {
  const auto found = rentals_.find(name);
  if (found == rentals_.end()) return;
  auto& rental = found->second;
  rental.request_sent = ports_.is_active_leader();
  if (!rental.request_sent) return;
  ports_.send_to_cloud(cloud::Rent{
      name, rental.record,
      in_this_term([this, name](const cloud::RentalResult& result) { handle_rented(name, result); })});
}

void RentalManager::handle_rented(const std::string& name, const cloud::RentalResult& result) {
  const auto found = rentals_.find(name);
  if (found == rentals_.end()) return;
  auto& rental = found->second;
  rental.request_sent = false;
  rental.retry_at = loop_.now() + settings_.control_interval_s / 2;
  if (result.status == cloud::RentalResult::Status::failed) return;
  const model::Pool pool{rental.record.machine_type, rental.record.zone, rental.record.preemptible};
  if (result.status == cloud::RentalResult::Status::no_capacity ||
      result.machines.size() < rental.record.count) {
    capacity_backoff_.record_stockout(pool, loop_.now(), settings_.round_s);
    log_->info("rental {}: {} of {} to be had", name, result.machines.size(), rental.record.count);
    ports_.plan_soon();
  } else {
    capacity_backoff_.reset(pool);
  }
  if (result.machines.empty()) return close(name);
  rental.record.machine_ids.emplace();
  for (const auto& machine_id : result.machines) rental.record.machine_ids->push_back(machine_id.value);
  ports_.store_machines(name, rental.record);
  // At once: until its machines are known the rental counts neither as asked for nor as there, and a plan
  // made in between rented all of them once more.
  reconcile_rentals();
}

void RentalManager::reconcile_if_due() {
  const double now = loop_.now();
  if (now >= next_reconciliation_) {
    next_reconciliation_ = now + kReconciliationS;
    reconcile_rentals();
  }
  if (now >= next_list_) request_list();
}

void RentalManager::reconcile_rentals() {
  const double now = loop_.now();
  const std::string own_prefix = name_prefix();
  std::vector<std::string> completed;
  for (auto& [name, rental] : rentals_) {
    if (rental.record.machine_ids) {
      if (add_machines(rental, name.starts_with(own_prefix))) completed.push_back(name);
    } else if (!rental.request_sent && now >= rental.retry_at && ports_.is_active_leader()) {
      // A new leader repeats open rentals to learn their machines.
      send_request(name);
    }
  }
  for (const auto& name : completed) close(name);
}

// Adds a rental's machines to the fleet; says whether each has its own record by now.
bool RentalManager::add_machines(const Rental& rental, bool made_in_this_term) {
  bool all_recorded = true;
  for (const auto& text : *rental.record.machine_ids) {
    const wire::MachineId machine_id{text};
    if (terminated_.contains(machine_id)) continue;
    const auto [machine, added] = fleet_.add(machine_id);
    if (added) {
      machine->machine_type = rental.record.machine_type;
      machine->zone = rental.record.zone;
      machine->preemptible = rental.record.preemptible;
      machine->first_seen = loop_.now();
      set_resources(*machine);
      fleet_.refresh(*machine);
    }
    machine->rented_this_term = machine->rented_this_term || made_in_this_term;
    all_recorded = all_recorded && machine->recorded;
  }
  return all_recorded;
}

void RentalManager::close(const std::string& name) {
  rentals_.erase(name);
  ports_.remove_record(name);
}

void RentalManager::terminate(Machine& machine, const std::string& reason) {
  if (std::exchange(machine.terminating, true)) return;
  log_->debug("machine {}: releasing it, {} ({} tasks bound)", machine.id.value, reason,
              machine.assignments.size());
  ports_.count_event("machines released (" + reason + ")");
  ports_.on_terminating(machine);
  to_terminate_.insert(machine.id);
  fleet_.refresh(machine);
  loop_.post(while_alive([this] { send_terminations(); }));
}

void RentalManager::send_terminations() {
  if (termination_sent_ || !ports_.is_active_leader()) return;
  std::vector<wire::MachineId> batch;
  for (const auto& machine_id : to_terminate_)
    if (batch.size() < cloud::kMaxTerminations) batch.push_back(machine_id);
  if (batch.empty()) return;
  termination_sent_ = true;
  ports_.send_to_cloud(cloud::Terminate{batch, in_this_term([this, batch](bool done) {
                                          termination_sent_ = false;
                                          if (!done) return;  // the next call sends them again
                                          for (const auto& machine_id : batch) handle_terminated(machine_id);
                                        })});
}

void RentalManager::handle_terminated(const wire::MachineId& machine_id) {
  to_terminate_.erase(machine_id);
  terminated_.add(machine_id, loop_.now());
  ports_.on_terminated(machine_id);
}

void RentalManager::request_list() {
  // A page costs a request: a large fleet is listed less often.
  const double pages = 1 + std::floor(static_cast<double>(fleet_.size()) / cloud::kPage);
  next_list_ = loop_.now() + std::max(settings_.list_lag_s, settings_.control_interval_s) * pages;
  if (std::exchange(list_requested_, true)) return;
  ports_.send_to_cloud(
      cloud::ListMachines{in_this_term([this](const std::optional<std::vector<wire::ListedMachine>>& listed) {
        list_requested_ = false;
        if (!listed || !ports_.is_active_leader()) return;
        for (const auto& machine : *listed) reconcile_listed(machine);
      })});
}

void RentalManager::reconcile_listed(const wire::ListedMachine& listed) {
  if (terminated_.contains(listed.id)) return;
  const auto [machine, added] = fleet_.add(listed.id);
  if (added) {
    // Rented by a request that came late, or at the start: used or returned like any other.
    log_->debug("machine {}: listed but unexpected, adding it", listed.id.value);
    ports_.count_event("unexpected machines");
    machine->machine_type = listed.machine_type;
    machine->zone = listed.zone;
    machine->preemptible = listed.preemptible;
    machine->first_seen = loop_.now() - listed.age_s;
    set_resources(*machine);
    fleet_.refresh(*machine);
  }
  if (listed.state == "failed") terminate(*machine, kFailedReason);
}

void RentalManager::set_resources(Machine& machine) const {
  if (const auto* type = ports_.machine_type(machine.machine_type)) machine.capacity = type->capacity;
}

}  // namespace bankhill::leader
