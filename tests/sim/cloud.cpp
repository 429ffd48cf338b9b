#include "sim/cloud.hpp"

#include <algorithm>
#include <cstdio>

#include "sim/site.hpp"

namespace bankhill::sim {

using net::Request;
using net::Response;
using wire::Json;

namespace {
constexpr double kNeverBoots = 0.03;  // this part of the machines that are not quick
}  // namespace

Response Cloud::handle(const Request& request) {
  if (is_down()) return {503, R"({"error":"trouble"})", std::nullopt};
  if (request.path == "/flavors") {
    auto offered = cloud_catalogue();
    if (!offers_large) offered["flavors"].erase(1);
    return {200, offered.dump(), std::nullopt};
  }
  if (request.path == "/machines") return rent(Json::parse(request.body));
  if (request.path == "/machines/release") {
    const auto body = Json::parse(request.body);
    for (const auto& machine_id : body["hosts"]) remove_machine(machine_id.get<std::string>());
    return {200, "{}", std::nullopt};
  }
  return {200, Json{{"hosts", list()}, {"has_next", false}}.dump(), std::nullopt};
}

// A copy of a request that was held back for long may come when what it asked for is settled and its record
// gone: the cloud repeats the answer it gave.
Response Cloud::rent(const Json& request) {
  const auto rental = request["rental"].get<std::string>();
  observer_.rental_requested(rental);
  if (!rentals_.contains(rental)) {
    const int count = available(request);
    if (count <= 0) return {503, R"({"error":"no capacity"})", std::nullopt};
    for (int i = 0; i < count; ++i) add_rented(rental, request);
  }
  return {200, Json{{"hosts", rentals_[rental]}}.dump(), std::nullopt};
}

// How many of the machines that are asked for it has.
int Cloud::available(const Json& request) const {
  if (request["reclaimable"].get<bool>() && events_.now() < no_preemptible_until_) return 0;
  const auto out = zone_out_until_.find(request["rack_room"].get<std::string>());
  if (out != zone_out_until_.end() && events_.now() < out->second) return 0;
  const auto rented =
      std::count_if(machines_.begin(), machines_.end(), [](const auto& entry) { return !entry.second.dead; });
  return std::min<int>(request["count"].get<int>(), machine_limit - static_cast<int>(rented));
}

void Cloud::add_rented(const std::string& rental, const Json& request) {
  const auto& machine =
      add_machine(request["flavor"].get<std::string>(), request["rack_room"].get<std::string>(),
                  request["reclaimable"].get<bool>());
  rentals_[rental].push_back(machine.id);
  const bool quick = quick_boot_share > 0 && events_.chance(quick_boot_share);
  if (!quick && events_.chance(kNeverBoots)) return;
  const double boot_s = quick ? events_.uniform(0.1, 2) : events_.uniform(2, 14);
  events_.at(events_.now() + boot_s,
             [this, machine_id = machine.id] { observer_.machine_booted(machine_id); });
}

Json Cloud::list_entry(const SimMachine& machine, double lag_s) const {
  const double now = events_.now();
  const bool up = machine.up && (!lists_lag || now - machine.up_since > lag_s);
  return {{"uid", machine.id},
          {"address", observer_.address_of(machine.id)},
          {"flavor", machine.machine_type},
          {"rack_room", machine.zone},
          {"reclaimable", machine.spot},
          {"phase", machine.dead ? "failed"
                    : up         ? "running"
                                 : "booting"},
          {"held_s", std::max(0.0, now - machine.born - (lists_lag ? lag_s : 0))}};
}

// As it was some seconds ago. What was listed once remains listed until it is gone, and longer by the lag.
Json Cloud::list() {
  const double now = events_.now();
  const double lag_s = lists_lag ? kListLag * events_.uniform(1, 2) : kListLag;
  Json entries = Json::array();
  for (auto& [machine_id, machine] : machines_) {
    machine.listed = machine.listed || now - machine.born > lag_s;
    if (machine.listed) entries.push_back(list_entry(machine, lag_s));
  }
  for (const auto& [removed_at, machine] : lately_removed_)
    if (lists_lag && now - removed_at < lag_s && machine.listed)
      entries.push_back(list_entry(machine, lag_s));
  return entries;
}

SimMachine& Cloud::add_machine(const std::string& machine_type, const std::string& zone, bool preemptible) {
  char machine_id[16];
  std::snprintf(machine_id, sizeof machine_id, "n-%06d", next_machine_number_++);
  SimMachine machine;
  machine.id = machine_id;
  machine.machine_type = machine_type;
  machine.zone = zone;
  machine.spot = preemptible;
  machine.born = events_.now();
  observer_.machine_added(machine);
  return machines_[machine_id] = std::move(machine);
}

void Cloud::remove_machine(const std::string& machine_id) {
  const double now = events_.now();
  while (!lately_removed_.empty() && now - lately_removed_.front().first > 2 * kListLag)
    lately_removed_.pop_front();
  const auto found = machines_.find(machine_id);
  if (found == machines_.end()) return;
  lately_removed_.emplace_back(now, found->second);
  removed_[machine_id] = now;
  machines_.erase(found);
}

void Cloud::heal() {
  const double now = events_.now();
  down_until_ = std::min(down_until_, now);
  no_preemptible_until_ = std::min(no_preemptible_until_, now);
  for (auto& [zone, until] : zone_out_until_) until = std::min(until, now);
}

bool Cloud::lacks_capacity() const {
  return events_.now() < no_preemptible_until_ ||
         std::any_of(zone_out_until_.begin(), zone_out_until_.end(),
                     [this](const auto& out) { return events_.now() < out.second; });
}

}  // namespace bankhill::sim
