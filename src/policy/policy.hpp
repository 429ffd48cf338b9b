// Settings that operators make for tenants (teams): deadline calendars, tiers and replicas that span
// machines. Pure, except that time zones are read from files. Policies are stored under one key per tenant;
// the stored records take precedence over the operators' file (policy/policy_watcher.hpp).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "calendar/calendar.hpp"
#include "wire/messages.hpp"

namespace bankhill::policy {

// The range of tiers. Jobs of a higher tier go first.
constexpr int kLowestTier = -9;
constexpr int kHighestTier = 9;

// A rule that gives some of a tenant's jobs a tier.
struct TierRule {
  std::set<std::string> classes;           // job classes that match; empty: any
  std::optional<wire::Priority> priority;  // priority that matches; empty: any
  std::optional<bool> guest;  // true: matches teams with no guarantee, false: teams with one; empty: any
  int tier = 0;
  bool matches(const std::string& job_class, wire::Priority job_priority, bool is_guest) const;
  bool operator==(const TierRule&) const = default;
};

// All settings that operators make for one tenant.
struct TenantPolicy {
  std::vector<calendar::Rules> calendars;  // at most one per job class
  std::vector<TierRule> tier_rules;        // the first that matches decides; without a match the tier is 0
  std::set<std::string> refreshes;         // job classes that go before guest work (teams with no guarantee)
  double tier_floor = 0.1;                 // least fraction of the tenant's task starts that lower tiers get
  double tier_ages_s = 240;                // waiting time that raises a job by one tier, in seconds
  // Number of machines that make one replica, by class of services.
  std::map<std::string, std::uint32_t> spans;
  bool operator==(const TenantPolicy&) const = default;
};
wire::Json to_json(const TenantPolicy& tenant);
TenantPolicy parse_tenant(const wire::Json& object);  // throws wire::ProtocolError

// The policies of all tenants under one version, and the decisions that follow from them.
class Policy {
 public:
  Policy() = default;
  explicit Policy(std::uint64_t version) : version_(version) {}

  std::uint64_t version() const { return version_; }
  bool empty() const { return tenants_.empty(); }
  const std::map<std::string, TenantPolicy>& tenants() const { return tenants_; }
  // Replaces the policy of a tenant. Calendars whose time zones this machine does not know are left out;
  // their names are returned.
  std::vector<std::string> set_tenant(const std::string& team, TenantPolicy tenant);
  void erase_tenant(const std::string& team);
  void set_version(std::uint64_t version) { version_ = version; }

  // Number of machines that make one replica of a class of services; 1: replicas do not span machines.
  std::uint32_t span(const std::string& team, const std::string& job_class) const;
  // Tier of a job; jobs of a higher tier go first.
  int tier(const std::string& team, const std::string& job_class, wire::Priority priority, bool guest) const;
  // Whether jobs of this class go before guest work.
  bool is_refresh_class(const std::string& team, const std::string& job_class) const;
  // The next cutoff, less its margin, of a job accepted at `accepted_at`; nullopt if it has none. Both are
  // Unix times in seconds.
  std::optional<double> cutoff(const std::string& team, const std::string& job_class,
                               double accepted_at) const;
  // The next cutoffs and the rules in effect, as text for operators.
  std::string describe(double now) const;
  // Hexadecimal hash that distinguishes two contents of one version; the same in every process.
  std::string fingerprint() const;

 private:
  const calendar::Calendar* find_calendar(const std::string& team, const std::string& job_class) const;

  std::uint64_t version_ = 0;
  std::map<std::string, TenantPolicy> tenants_;
  std::map<std::string, std::vector<calendar::Calendar>> calendars_;
};

// Names and limits of the site against which a policy file is checked.
struct Site {
  std::set<std::string> teams;
  std::set<std::string> classes;   // empty: not known
  std::uint64_t max_machines = 0;  // 0: not known
};

// An error in the operators' policy file.
struct PolicyError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// An error in one line of the policy file; what() is "operator settings: line LINE: PROBLEM".
class PolicyLineError : public PolicyError {
 public:
  PolicyLineError(int line, std::string problem);
  int line() const noexcept { return line_; }  // counted from 1
  const std::string& problem() const noexcept { return problem_; }

 private:
  int line_;
  std::string problem_;
};

// Reads the section `tenants` from the text of the operators' whole YAML file. Returns nullopt if the file
// has no such section. Throws PolicyError.
std::optional<Policy> parse_policy(const std::string& yaml_text, const Site& site);

}  // namespace bankhill::policy
