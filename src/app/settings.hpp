// Settings: the platform's JSON file and the operators' own YAML file.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <system_error>
#include <vector>

#include "model/cancellation_bound.hpp"
#include "policy/policy.hpp"
#include "wire/messages.hpp"

namespace bankhill::app {

// Settings that cannot be used; what() tells why.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One field of the platform's file; what() is "settings: field 'NAME' PROBLEM".
class SettingsFieldError : public SettingsError {
 public:
  SettingsFieldError(std::string field, std::string problem);
  const std::string& field() const noexcept { return field_; }
  const std::string& problem() const noexcept { return problem_; }

 private:
  std::string field_;
  std::string problem_;
};

// One key of the operators' file.
class OperatorKeyError : public SettingsError {
 public:
  enum class Problem { unknown_key, out_of_range };
  OperatorKeyError(std::string key, Problem problem);
  const std::string& key() const noexcept { return key_; }
  Problem problem() const noexcept { return problem_; }

 private:
  std::string key_;
  Problem problem_;
};

// A file that cannot be read; what() is "cannot read PATH".
class FileError : public SettingsError {
 public:
  FileError(std::string path, std::error_code reason);
  const std::string& path() const noexcept { return path_; }
  const std::error_code& reason() const noexcept { return reason_; }  // the system's

 private:
  std::string path_;
  std::error_code reason_;
};

// A team with its share of the site.
struct TeamSettings {
  std::string name;
  wire::Resources guarantee;
  wire::Resources limit;
};

// Another controller of the site.
struct PeerSettings {
  std::string host_name;
  std::string zone;
  std::string addr;
};

// What operators may set themselves; every value has a default.
struct OperatorSettings {
  double alpha = 0.8;          // part of the budget for spot machines
  double phi = 0.1;            // reclaim share above which a spot type is avoided
  double round_intervals = 5;  // planning round, in control intervals
  double idle_boots = 2.5;     // idle time before a spot machine is returned, in boot times of its type
  std::size_t final_states_kept = 20000;
  double begin_within_s = 240;  // in which the largest jobs of a class should begin
  double largest_share = 0.5;   // part of them that should be served at least
  // Parts of the sockets. What is left serves peers, the state service and the cloud.
  double worker_sockets = 0.5;   // connections of workers that heartbeat
  double user_sockets = 0.15;    // of users and the load balancer
  double direct_sockets = 0.25;  // to workers, for direct orders
  bool spread_workers = true;    // workers report to all controllers, not to the leader alone
  bool sync_progress = true;     // not in the file; off in tests, for versions without it
};

// All that a controller is started with.
struct Settings {
  std::string host_name;
  std::string zone;
  std::string api_addr;
  std::string peer_listen;
  std::vector<PeerSettings> peers;
  std::string cloud;
  std::string state;
  std::vector<TeamSettings> teams;
  // Class -> times in which its jobs should be done, rising.
  std::map<std::string, std::vector<double>> completion_targets_s;
  std::size_t controllers = 1;
  std::string main_zone;  // that has more controllers than any other; empty if none has
  // Class -> multiples of their deadlines by which its jobs should be done, rising.
  std::map<std::string, std::vector<double>> deadline_multiples;
  std::set<std::string> classes;  // that the objectives name
  double heartbeat_interval_s = 0;
  // What is asked again, waited for or given up goes by this: the heartbeat interval where reports are
  // frequent, and otherwise as fine as a worker's lease demands.
  double control_interval_s = 0;
  double lease_s = 0;
  double cancel_s = 0;
  double gang_wait_s = 0;  // a replica that spans machines is whole in this time, or stopped
  double gang_peer_s = 0;  // after one member is known to be gone, in which its peers are stopped
  // Of the limits that the state service has and those that it will have (`state.next`) the smaller: these
  // come without notice.
  double state_requests_per_s = 0;
  double state_writes_per_s = 0;
  double state_value_kb = 0;
  std::size_t state_txn_ops = 0;
  double cloud_requests_per_s = 0;
  double list_lag_s = 0;
  std::size_t sockets = 1024;  // that a controller may have open
  // Machines that make one replica, by team and class; empty: one each. Set by what knows the policy.
  std::function<std::uint32_t(const std::string& team, const std::string& job_class)> span;
  OperatorSettings own;
  std::optional<policy::Policy> policy;  // of the operators' file; what is stored rules

  // So many sockets are a part of them, at least one.
  std::size_t share_of_sockets(double part) const;
  // That all controllers together can take the heartbeats of.
  std::size_t max_machines() const;
  model::CancellationBound cancel_budget() const;
};

// The platform's file. Throws BadSettings, as all functions below.
Settings parse_settings(const std::string& json_text);
// The operators' file without its section `tenants`.
OperatorSettings parse_operator_settings(const std::string& yaml_text);
// The operators' whole file, its section `tenants` checked against this site.
void read_operator_settings(const std::string& yaml_text, Settings& settings);
// A tenant whose policy takes more than can be stored; nothing if all can be.
std::optional<std::string> too_large_tenant(const Settings& settings);
// The content of a file as it is. Throws FileError.
std::string read_file(const std::string& path);

}  // namespace bankhill::app
