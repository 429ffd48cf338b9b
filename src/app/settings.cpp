#include "app/settings.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <fstream>
#include <iterator>
#include <limits>
#include <string_view>
#include <utility>

#include "net/http.hpp"
#include "wire/records.hpp"

namespace bankhill::app {

using wire::Json;

namespace {

constexpr double kControlIntervalsPerLease = 14;
constexpr double kMaxSharedSockets = 0.95;  // of the sockets
// Where the platform does not say: in leases.
constexpr double kGangWait = 1.5;
constexpr double kGangPeer = 0.25;
// Beyond one connection a worker, connections are closed between reports and serve several workers in turn.
constexpr double kWorkersAConnection = 3;

const Json& required(const Json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) throw SettingsFieldError(name, "is missing");
  return *found;
}

const Json& section(const Json& object, const char* name) {
  const Json& value = required(object, name);
  if (!value.is_object()) throw SettingsFieldError(name, "is not an object");
  return value;
}

const Json& list(const Json& object, const char* name) {
  const Json& value = required(object, name);
  if (!value.is_array()) throw SettingsFieldError(name, "is not a list");
  return value;
}

double positive(const Json& object, const char* name) {
  const double value = wire::amount_field(object, name);
  if (value <= 0) throw SettingsFieldError(name, "must be above 0");
  return value;
}

std::string address(const Json& object, const char* name) {
  auto text = wire::text_field(object, name);
  const auto colon = text.rfind(':');
  const auto port = colon == std::string::npos ? std::string() : text.substr(colon + 1);
  const bool number = !port.empty() && port.size() <= 5 &&
                      std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; });
  if (!number || std::stoul(port) == 0 || std::stoul(port) > 65535)
    throw SettingsFieldError(name, "is not an address with a port");
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
  for (const auto& peer : settings.peers) ++count[peer.zone];
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

void read_site(const Json& root, Settings& settings) {
  settings.host_name = wire::text_field(root, "host_name");
  settings.zone = wire::text_field(root, "zone");
  settings.api_addr = address(root, "api_addr");
  settings.peer_listen = address(root, "peer_listen");
  for (const auto& item : list(root, "siblings"))
    settings.peers.push_back({wire::text_field(item, "host_name"),
                              wire::absent(item, "zone") ? "" : wire::text_field(item, "zone"),
                              address(item, "addr")});
  settings.controllers = settings.peers.size() + 1;
  settings.main_zone = main_zone(settings);
}

void read_external(const Json& external, Settings& settings) {
  settings.cloud = address(external, "cloud");
  settings.state = address(external, "state");
}

void read_teams(const Json& teams, Settings& settings) {
  for (const auto& item : teams) {
    TeamSettings team;
    team.name = wire::text_field(item, "name");
    team.guarantee = {amount_or_zero(item, "cpus"), amount_or_zero(item, "gpus"), 0};
    team.limit = {limit(item, "cpus_max"), limit(item, "gpus_max"), 0};
    settings.teams.push_back(std::move(team));
  }
}

// Only what says in which time a class's jobs should be done; of others the class alone is noted.
void read_objective(const Json& item, Settings& settings) {
  std::optional<std::string> job_class;
  if (!wire::absent(item, "class")) job_class = wire::text_field(item, "class");
  if (job_class) settings.classes.insert(*job_class);
  const auto kind = item.value("kind", "");
  if (!job_class) return;
  if (kind == "finished") {
    settings.completion_targets_s[*job_class].push_back(wire::amount_field(item, "within_s"));
  } else if (kind == "deadline") {
    const double times = wire::absent(item, "times") ? 1 : wire::amount_field(item, "times");
    settings.deadline_multiples[*job_class].push_back(times);
  }
}

void sort_each(std::map<std::string, std::vector<double>>& times_by_class) {
  for (auto& [job_class, times] : times_by_class) std::sort(times.begin(), times.end());
}

void read_objectives(const Json& objectives, Settings& settings) {
  for (const auto& item : objectives) read_objective(item, settings);
  sort_each(settings.completion_targets_s);
  sort_each(settings.deadline_multiples);
}

void read_workers(const Json& workers, Settings& settings) {
  settings.heartbeat_interval_s = positive(workers, "report_s");
  settings.lease_s = positive(workers, "lease_s");
  settings.cancel_s = positive(workers, "cancel_s");
  settings.control_interval_s =
      std::min(settings.heartbeat_interval_s, settings.lease_s / kControlIntervalsPerLease);
  const auto or_leases = [&](const char* name, double leases) {
    const double value = amount_or_zero(workers, name);
    return value > 0 ? value : leases * settings.lease_s;
  };
  settings.gang_wait_s = or_leases("gang_wait_s", kGangWait);
  settings.gang_peer_s = or_leases("gang_peer_s", kGangPeer);
  if (const auto budget = settings.cancel_budget(); !budget.is_feasible())
    throw SettingsFieldError("cancel_s", "leaves too little beyond 'lease_s': " + budget.describe());
}

// Limits to come are kept to from the start.
void read_state_limits(const Json& state, Settings& settings) {
  const Json none = Json::object();
  const Json& next = wire::absent(state, "next") ? none : section(state, "next");
  const auto smaller = [&](const char* name) {
    const double now = positive(state, name);
    return wire::absent(next, name) ? now : std::min(now, positive(next, name));
  };
  settings.state_requests_per_s = smaller("rps");
  settings.state_writes_per_s = smaller("write_rps");
  settings.state_value_kb = smaller("value_kb");
  settings.state_txn_ops = std::max<std::size_t>(1, static_cast<std::size_t>(smaller("txn_ops")));
}

void read_cloud_limits(const Json& cloud, Settings& settings) {
  settings.cloud_requests_per_s = positive(cloud, "rps");
  settings.list_lag_s = wire::amount_field(cloud, "list_lag_s");
}

void read_machine_limits(const Json& params, Settings& settings) {
  if (wire::absent(params, "machine_limits")) return;
  const auto& limits = section(params, "machine_limits");
  if (wire::absent(limits, "fd_limit")) return;
  settings.sockets = static_cast<std::size_t>(positive(limits, "fd_limit"));
}

Settings parse(const Json& root) {
  Settings settings;
  read_site(root, settings);
  read_external(section(root, "external"), settings);
  const auto& params = section(root, "params");
  read_teams(list(params, "teams"), settings);
  if (params.contains("objectives")) read_objectives(list(params, "objectives"), settings);
  read_workers(section(params, "workers"), settings);
  read_state_limits(section(params, "state"), settings);
  read_cloud_limits(section(params, "cloud"), settings);
  read_machine_limits(params, settings);
  return settings;
}

// One key of the operators' file: the range of its value and where it goes.
struct OperatorKey {
  const char* name;
  double low;
  double high;
  void (*set)(OperatorSettings&, double);
};

constexpr double kMostRoundPaces = 1000;
constexpr double kMostIdleBoots = 1000;
constexpr double kLeastFinalStates = 100;
constexpr double kMostFinalStates = 1e7;
constexpr double kLeastBeginWithinS = 10;
constexpr double kMostBeginWithinS = 1e6;
constexpr double kLeastSocketShare = 0.01;
constexpr double kMostSocketShare = 0.9;

constexpr OperatorKey kOperatorKeys[] = {
    {"alpha", 0, 1, [](OperatorSettings& own, double value) { own.alpha = value; }},
    {"phi", 0, 1, [](OperatorSettings& own, double value) { own.phi = value; }},
    {"round_paces", 1, kMostRoundPaces,
     [](OperatorSettings& own, double value) { own.round_intervals = value; }},
    {"idle_boots", 0, kMostIdleBoots, [](OperatorSettings& own, double value) { own.idle_boots = value; }},
    {"final_states_kept", kLeastFinalStates, kMostFinalStates,
     [](OperatorSettings& own, double value) { own.final_states_kept = static_cast<std::size_t>(value); }},
    {"begin_within_s", kLeastBeginWithinS, kMostBeginWithinS,
     [](OperatorSettings& own, double value) { own.begin_within_s = value; }},
    {"largest_share", 0, 1, [](OperatorSettings& own, double value) { own.largest_share = value; }},
    {"worker_sockets", kLeastSocketShare, kMostSocketShare,
     [](OperatorSettings& own, double value) { own.worker_sockets = value; }},
    {"user_sockets", kLeastSocketShare, kMostSocketShare,
     [](OperatorSettings& own, double value) { own.user_sockets = value; }},
    {"direct_sockets", kLeastSocketShare, kMostSocketShare,
     [](OperatorSettings& own, double value) { own.direct_sockets = value; }},
    {"spread_workers", 0, 1, [](OperatorSettings& own, double value) { own.spread_workers = value != 0; }},
};
// The section that policy::parse_policy reads.
constexpr std::string_view kTenantsKey = "tenants";

void set_operator_key(const std::string& name, const YAML::Node& node, OperatorSettings& own) {
  const auto* key = std::find_if(std::begin(kOperatorKeys), std::end(kOperatorKeys),
                                 [&](const OperatorKey& item) { return name == item.name; });
  if (key == std::end(kOperatorKeys)) throw OperatorKeyError(name, OperatorKeyError::Problem::unknown_key);
  const auto value = node.as<double>();
  if (!std::isfinite(value) || value < key->low || value > key->high)
    throw OperatorKeyError(name, OperatorKeyError::Problem::out_of_range);
  key->set(own, value);
}

void check_socket_shares(const OperatorSettings& own) {
  if (own.worker_sockets + own.user_sockets + own.direct_sockets > kMaxSharedSockets)
    throw SettingsError(
        "operator settings: worker_sockets, user_sockets and direct_sockets leave less than a "
        "twentieth of the sockets");
}

std::string text_of_key_error(const std::string& key, OperatorKeyError::Problem problem) {
  switch (problem) {
    case OperatorKeyError::Problem::unknown_key:
      return "operator settings: unknown key '" + key + "'";
    case OperatorKeyError::Problem::out_of_range:
      return "operator settings: '" + key + "' is out of range";
  }
  return "";
}

}  // namespace

SettingsFieldError::SettingsFieldError(std::string field, std::string problem)
    : SettingsError("settings: field '" + field + "' " + problem),
      field_(std::move(field)),
      problem_(std::move(problem)) {}

OperatorKeyError::OperatorKeyError(std::string key, Problem problem)
    : SettingsError(text_of_key_error(key, problem)), key_(std::move(key)), problem_(problem) {}

FileError::FileError(std::string path, std::error_code reason)
    : SettingsError("cannot read " + path), path_(std::move(path)), reason_(reason) {}

std::size_t Settings::share_of_sockets(double part) const {
  return static_cast<std::size_t>(std::max(1.0, part * static_cast<double>(sockets)));
}

std::size_t Settings::max_machines() const {
  return static_cast<std::size_t>(kWorkersAConnection *
                                  static_cast<double>(share_of_sockets(own.worker_sockets) * controllers));
}

model::CancellationBound Settings::cancel_budget() const {
  return {lease_s, cancel_s, net::kWorkerResponseTimeoutS};
}

Settings parse_settings(const std::string& json_text) {
  try {
    return parse(wire::parse_object(json_text));
  } catch (const wire::FieldError& error) {
    throw SettingsFieldError(error.field(), error.problem());
  } catch (const wire::ProtocolError& error) {
    throw SettingsError(std::string("settings: ") + error.what());
  } catch (const Json::exception& error) {
    throw SettingsError(std::string("settings: ") + error.what());
  }
}

OperatorSettings parse_operator_settings(const std::string& yaml_text) {
  OperatorSettings own;
  try {
    const YAML::Node root = YAML::Load(yaml_text);
    if (root.IsNull()) return own;
    if (!root.IsMap()) throw SettingsError("operator settings: not a map");
    for (const auto& entry : root) {
      const auto name = entry.first.as<std::string>();
      if (name != kTenantsKey) set_operator_key(name, entry.second, own);
    }
    check_socket_shares(own);
  } catch (const YAML::Exception& error) {
    throw SettingsError(std::string("operator settings: ") + error.what());
  }
  return own;
}

void read_operator_settings(const std::string& yaml_text, Settings& settings) {
  settings.own = parse_operator_settings(yaml_text);
  policy::Site site;
  for (const auto& team : settings.teams) site.teams.insert(team.name);
  site.classes = settings.classes;
  site.max_machines = settings.max_machines();
  try {
    settings.policy = policy::parse_policy(yaml_text, site);
  } catch (const policy::PolicyError& error) {
    throw SettingsError(error.what());
  }
}

std::optional<std::string> too_large_tenant(const Settings& settings) {
  if (!settings.policy) return std::nullopt;
  for (const auto& [team, tenant] : settings.policy->tenants())
    if (wire::stored_bytes(to_json(tenant)) > wire::usable_bytes(settings.state_value_kb)) return team;
  return std::nullopt;
}

std::string read_file(const std::string& path) {
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  if (!file) throw FileError(path, {errno, std::generic_category()});
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace bankhill::app
