#include "app/settings.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <iterator>
#include <limits>

#include "net/http.hpp"
#include "wire/records.hpp"

namespace bankhill::app {

using wire::Json;

namespace {

constexpr double kPacesInLease = 14;
constexpr double kMostShared = 0.95;  // of the sockets
// Where the platform does not say: in leases.
constexpr double kGangWait = 1.5;
constexpr double kGangPeer = 0.25;
// Beyond one connection a worker, connections are closed between reports and serve several workers in turn.
constexpr double kWorkersAConnection = 3;

const Json& section(const Json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) throw BadSettings(std::string("settings: field '") + name + "' is missing");
  if (!found->is_object()) throw BadSettings(std::string("settings: field '") + name + "' is not an object");
  return *found;
}

const Json& list(const Json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) throw BadSettings(std::string("settings: field '") + name + "' is missing");
  if (!found->is_array()) throw BadSettings(std::string("settings: field '") + name + "' is not a list");
  return *found;
}

double positive(const Json& object, const char* name) {
  const double value = wire::amount_field(object, name);
  if (value <= 0) throw BadSettings(std::string("settings: field '") + name + "' must be above 0");
  return value;
}

std::string address(const Json& object, const char* name) {
  auto text = wire::text_field(object, name);
  const auto colon = text.rfind(':');
  const auto port = colon == std::string::npos ? std::string() : text.substr(colon + 1);
  const bool number = !port.empty() && port.size() <= 5 &&
                      std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; });
  if (!number || std::stoul(port) == 0 || std::stoul(port) > 65535)
    throw BadSettings(std::string("settings: field '") + name + "' is not an address with a port");
  return text;
}

double amount_or_zero(const Json& object, const char* name) {
  return wire::absent(object, name) ? 0 : wire::amount_field(object, name);
}

// 0, null and absent all say that there is no limit: a guest team has neither guarantee nor limit. Read as a
// limit of nothing, every job of such a team was refused for good.
double limit(const Json& object, const char* name) {
  const double value = amount_or_zero(object, name);
  return value > 0 ? value : std::numeric_limits<double>::infinity();
}

std::string main_zone(const Settings& settings) {
  std::map<std::string, std::size_t> count{{settings.zone, 1}};
  for (const auto& sibling : settings.siblings) ++count[sibling.zone];
  std::string best;
  std::size_t most = 0;
  for (const auto& [zone, controllers] : count) {
    if (controllers == most) best.clear();
    if (controllers <= most) continue;
    best = zone;
    most = controllers;
  }
  return best;
}

Settings parse(const Json& root) {
  Settings settings;
  settings.host_name = wire::text_field(root, "host_name");
  settings.zone = wire::text_field(root, "zone");
  settings.api_addr = address(root, "api_addr");
  settings.peer_listen = address(root, "peer_listen");
  for (const auto& item : list(root, "siblings"))
    settings.siblings.push_back({wire::text_field(item, "host_name"),
                                 wire::absent(item, "zone") ? "" : wire::text_field(item, "zone"),
                                 address(item, "addr")});
  settings.controllers = settings.siblings.size() + 1;
  settings.main_zone = main_zone(settings);
  const auto& external = section(root, "external");
  settings.cloud = address(external, "cloud");
  settings.state = address(external, "state");
  const auto& params = section(root, "params");
  for (const auto& item : list(params, "teams")) {
    TeamSettings team;
    team.name = wire::text_field(item, "name");
    team.guarantee = {amount_or_zero(item, "cpus"), amount_or_zero(item, "gpus"), 0};
    team.limit = {limit(item, "cpus_max"), limit(item, "gpus_max"), 0};
    settings.teams.push_back(std::move(team));
  }
  if (params.contains("objectives"))
    for (const auto& item : list(params, "objectives")) {
      if (!wire::absent(item, "class")) settings.classes.insert(wire::text_field(item, "class"));
      // Only what says in which time a class's jobs should be done.
      const auto kind = item.value("kind", "");
      if (wire::absent(item, "class") || (kind != "finished" && kind != "deadline")) continue;
      const auto name = wire::text_field(item, "class");
      auto& times = kind == "finished" ? settings.within_s[name] : settings.deadline_times[name];
      times.push_back(kind == "finished"            ? wire::amount_field(item, "within_s")
                      : wire::absent(item, "times") ? 1
                                                    : wire::amount_field(item, "times"));
      std::sort(times.begin(), times.end());
    }
  const auto& workers = section(params, "workers");
  settings.report_s = positive(workers, "report_s");
  settings.lease_s = positive(workers, "lease_s");
  settings.cancel_s = positive(workers, "cancel_s");
  settings.pace_s = std::min(settings.report_s, settings.lease_s / kPacesInLease);
  const auto or_leases = [&](const char* name, double leases) {
    const double value = amount_or_zero(workers, name);
    return value > 0 ? value : leases * settings.lease_s;
  };
  settings.gang_wait_s = or_leases("gang_wait_s", kGangWait);
  settings.gang_peer_s = or_leases("gang_peer_s", kGangPeer);
  if (const auto budget = settings.cancel_budget(); !budget.holds())
    throw BadSettings("settings: field 'cancel_s' leaves too little beyond 'lease_s': " + budget.describe());
  const auto& state = section(params, "state");
  const Json none = Json::object();
  const Json& next = wire::absent(state, "next") ? none : section(state, "next");
  const auto smaller = [&](const char* name) {
    const double now = positive(state, name);
    return wire::absent(next, name) ? now : std::min(now, positive(next, name));
  };
  settings.state_rps = smaller("rps");
  settings.state_write_rps = smaller("write_rps");
  settings.state_value_kb = smaller("value_kb");
  settings.state_txn_ops = std::max<std::size_t>(1, static_cast<std::size_t>(smaller("txn_ops")));
  const auto& cloud = section(params, "cloud");
  settings.cloud_rps = positive(cloud, "rps");
  settings.list_lag_s = wire::amount_field(cloud, "list_lag_s");
  if (!wire::absent(params, "machine_limits")) {
    const auto& limits = section(params, "machine_limits");
    if (!wire::absent(limits, "fd_limit"))
      settings.sockets = static_cast<std::size_t>(positive(limits, "fd_limit"));
  }
  return settings;
}

}  // namespace

std::size_t Settings::share_of_sockets(double part) const {
  return static_cast<std::size_t>(std::max(1.0, part * static_cast<double>(sockets)));
}

std::size_t Settings::most_machines() const {
  return static_cast<std::size_t>(kWorkersAConnection *
                                  static_cast<double>(share_of_sockets(own.worker_sockets) * controllers));
}

model::CancelBudget Settings::cancel_budget() const { return {lease_s, cancel_s, net::kWorkerWaitS}; }

Settings parse_settings(const std::string& json_text) {
  try {
    return parse(wire::parse_object(json_text));
  } catch (const wire::Malformed& error) {
    throw BadSettings(std::string("settings: ") + error.what());
  } catch (const Json::exception& error) {
    throw BadSettings(std::string("settings: ") + error.what());
  }
}

OperatorSettings parse_operator_settings(const std::string& yaml_text) {
  OperatorSettings own;
  struct Key {
    const char* name;
    double low;
    double high;
    std::function<void(double)> set;
  };
  const std::vector<Key> keys = {
      {"alpha", 0, 1, [&](double value) { own.alpha = value; }},
      {"phi", 0, 1, [&](double value) { own.phi = value; }},
      {"round_paces", 1, 1000, [&](double value) { own.round_paces = value; }},
      {"idle_boots", 0, 1000, [&](double value) { own.idle_boots = value; }},
      {"final_states_kept", 100, 1e7,
       [&](double value) { own.final_states_kept = static_cast<std::size_t>(value); }},
      {"begin_within_s", 10, 1e6, [&](double value) { own.begin_within_s = value; }},
      {"largest_share", 0, 1, [&](double value) { own.largest_share = value; }},
      {"worker_sockets", 0.01, 0.9, [&](double value) { own.worker_sockets = value; }},
      {"user_sockets", 0.01, 0.9, [&](double value) { own.user_sockets = value; }},
      {"direct_sockets", 0.01, 0.9, [&](double value) { own.direct_sockets = value; }},
      {"spread_workers", 0, 1, [&](double value) { own.spread_workers = value != 0; }},
  };
  try {
    const YAML::Node root = YAML::Load(yaml_text);
    if (root.IsNull()) return own;
    if (!root.IsMap()) throw BadSettings("operator settings: not a map");
    for (const auto& entry : root) {
      const auto name = entry.first.as<std::string>();
      if (name == "tenants") continue;  // policy::parse_policy
      const auto key =
          std::find_if(keys.begin(), keys.end(), [&](const Key& item) { return name == item.name; });
      if (key == keys.end()) throw BadSettings("operator settings: unknown key '" + name + "'");
      const auto value = entry.second.as<double>();
      if (!std::isfinite(value) || value < key->low || value > key->high)
        throw BadSettings("operator settings: '" + name + "' is out of range");
      key->set(value);
    }
    if (own.worker_sockets + own.user_sockets + own.direct_sockets > kMostShared)
      throw BadSettings(
          "operator settings: worker_sockets, user_sockets and direct_sockets leave less than a "
          "twentieth of the sockets");
  } catch (const YAML::Exception& error) {
    throw BadSettings(std::string("operator settings: ") + error.what());
  }
  return own;
}

void read_operator_settings(const std::string& yaml_text, Settings& settings) {
  settings.own = parse_operator_settings(yaml_text);
  policy::Site site;
  for (const auto& team : settings.teams) site.teams.insert(team.name);
  site.classes = settings.classes;
  site.most_machines = settings.most_machines();
  try {
    settings.policy = policy::parse_policy(yaml_text, site);
  } catch (const policy::BadPolicy& error) {
    throw BadSettings(error.what());
  }
}

std::optional<std::string> too_large_tenant(const Settings& settings) {
  if (!settings.policy) return std::nullopt;
  for (const auto& [owner, tenant] : settings.policy->tenants())
    if (wire::stored_bytes(to_json(tenant)) > wire::usable_bytes(settings.state_value_kb)) return owner;
  return std::nullopt;
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw BadSettings("cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace bankhill::app
