// The stand-in of the cloud.
#include <algorithm>
#include <cstdio>

#include "sim/site.hpp"
#include "sim/world.hpp"

namespace bankhill::sim {

using net::Request;
using net::Response;
using wire::Json;

Response World::cloud_call(const Request& request) {
  if (now_ < cloud_down_until_) return {503, R"({"error":"trouble"})", std::nullopt};
  if (request.path == "/flavors") {
    auto offered = cloud_catalogue();
    if (!large_offered) offered["flavors"].erase(1);
    return {200, offered.dump(), std::nullopt};
  }
  if (request.path == "/machines") {
    const auto body = Json::parse(request.body);
    const auto name = body["rental"].get<std::string>();
    // Invariant 3: else a new leader would not know of it. A copy that was held back for long may come when
    // what it asked for is settled and its record gone: the cloud repeats the answer it gave.
    if (!rentals_recorded_.contains(name)) violate("unrecorded", "rental " + name);
    if (!rentals_.contains(name)) {
      const bool spot = body["reclaimable"].get<bool>();
      const auto have =
          std::count_if(machines_.begin(), machines_.end(), [](const auto& m) { return !m.second.dead; });
      int count = std::min<int>(body["count"].get<int>(), most_machines - static_cast<int>(have));
      if (spot && now_ < no_spot_until_) count = 0;
      if (const auto out = zone_out_until_.find(body["rack_room"].get<std::string>());
          out != zone_out_until_.end() && now_ < out->second)
        count = 0;
      if (count <= 0) return {503, R"({"error":"no capacity"})", std::nullopt};
      for (int i = 0; i < count; ++i) {
        const auto& host =
            add_machine(body["flavor"].get<std::string>(), body["rack_room"].get<std::string>(), spot).host;
        rentals_[name].push_back(host);
        const bool quick = quick_boots > 0 && chance(quick_boots);
        if (quick || !chance(0.03))
          at(now_ + (quick ? uniform(0.1, 2) : uniform(2, 14)), [this, host] { boot_machine(host); });
      }
    }
    return {200, Json{{"hosts", rentals_[name]}}.dump(), std::nullopt};
  }
  if (request.path == "/machines/release") {
    const auto body = Json::parse(request.body);
    for (const auto& host : body["hosts"]) erase_machine(host.get<std::string>());
    return {200, "{}", std::nullopt};
  }
  return {200, Json{{"hosts", cloud_list()}, {"has_next", false}}.dump(), std::nullopt};
}

// As it was some seconds ago. What was listed once remains listed until it is gone, and longer by the lag.
Json World::cloud_list() {
  const double lag = lists_lag ? kListLag * uniform(1, 2) : kListLag;
  Json hosts = Json::array();
  const auto add = [&](const SimMachine& machine) {
    const bool up = machine.up && (!lists_lag || now_ - machine.up_since > lag);
    hosts.push_back({{"uid", machine.host},
                     {"address", address_of(machine.host)},
                     {"flavor", machine.flavor},
                     {"rack_room", machine.zone},
                     {"reclaimable", machine.spot},
                     {"phase", machine.dead ? "failed"
                               : up         ? "running"
                                            : "booting"},
                     {"held_s", std::max(0.0, now_ - machine.born - (lists_lag ? lag : 0))}});
  };
  for (auto& [host, machine] : machines_) {
    machine.listed = machine.listed || now_ - machine.born > lag;
    if (machine.listed) add(machine);
  }
  for (const auto& [gone, machine] : lately_gone_)
    if (lists_lag && now_ - gone < lag && machine.listed) add(machine);
  return hosts;
}

SimMachine& World::add_machine(const std::string& flavor, const std::string& zone, bool spot) {
  char host[16];
  std::snprintf(host, sizeof host, "n-%06d", next_host_++);
  SimMachine machine;
  machine.host = host;
  machine.flavor = flavor;
  machine.zone = zone;
  machine.spot = spot;
  machine.born = now_;
  machine.node = pick(node_count_);
  return machines_[host] = machine;
}

void World::erase_machine(const std::string& host) {
  while (!lately_gone_.empty() && now_ - lately_gone_.front().first > 2 * kListLag) lately_gone_.pop_front();
  if (const auto found = machines_.find(host); found != machines_.end())
    lately_gone_.emplace_back(now_, found->second);
  if (machines_.erase(host) > 0) gone_machines_[host] = now_;
}

std::string World::stray_machine(const std::string& zone) {
  const auto host = add_machine("small", zone, false).host;
  boot_machine(host);
  return host;
}

}  // namespace bankhill::sim
