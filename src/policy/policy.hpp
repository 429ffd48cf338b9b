// What operators set for tenants (teams): deadline calendars, tiers and replicas that span machines. Pure but
// for the files of time zones. Stored one key a tenant; the records rule, not the file
// (policy/policy_watcher.hpp).
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

// Tiers go from here up to -kLowestTier; the higher goes first.
constexpr int kLowestTier = -9;
constexpr int kHighestTier = 9;

// A rule that gives some of a tenant's jobs a tier.
struct TierRule {
  std::set<std::string> classes;           // empty: any
  std::optional<wire::Priority> priority;  // none: any
  std::optional<bool> guest;               // whether the team has no guarantee; none: either
  int tier = 0;
  bool matches(const std::string& job_class, wire::Priority of, bool is_guest) const;
  bool operator==(const TierRule&) const = default;
};

// All that operators set for one tenant.
struct TenantPolicy {
  std::vector<calendar::Rules> calendars;      // of one class at most one
  std::vector<TierRule> tier_rules;            // the first that matches decides; none: tier 0
  std::set<std::string> refreshes;             // classes that go before guest work
  double tier_floor = 0.1;                     // part of the tenant's starts that lower tiers get in any case
  double tier_ages_s = 240;                    // waiting that raises a job by one tier
  std::map<std::string, std::uint32_t> spans;  // class of services -> machines that make one replica
  bool operator==(const TenantPolicy&) const = default;
};
wire::Json to_json(const TenantPolicy& tenant);
TenantPolicy parse_tenant(const wire::Json& object);  // throws wire::Malformed

// The policies of all tenants under one version, and the decisions that follow from them.
class Policy {
 public:
  Policy() = default;
  explicit Policy(std::uint64_t version) : version_(version) {}

  std::uint64_t version() const { return version_; }
  bool empty() const { return tenants_.empty(); }
  const std::map<std::string, TenantPolicy>& tenants() const { return tenants_; }
  // Calendars whose zones this machine does not know are left out; their names are returned.
  std::vector<std::string> set(const std::string& team, TenantPolicy tenant);
  void erase(const std::string& team);
  void set_version(std::uint64_t version) { version_ = version; }

  // Machines that make one replica of a class of services; 1: none.
  std::uint32_t span(const std::string& team, const std::string& job_class) const;
  // The higher goes first.
  int tier(const std::string& team, const std::string& job_class, wire::Priority priority, bool guest) const;
  bool refresh(const std::string& team, const std::string& job_class) const;
  // The next cutoff less its margin, of a job accepted then; both time of day, seconds.
  std::optional<double> cutoff(const std::string& team, const std::string& job_class,
                               double accepted_at) const;
  // The next cutoffs and the rules in effect, for operators.
  std::string describe(double now) const;
  // Tells two contents of one version apart: hexadecimal, the same in every process.
  std::string fingerprint() const;

 private:
  const calendar::Calendar* calendar_of(const std::string& team, const std::string& job_class) const;

  std::uint64_t version_ = 0;
  std::map<std::string, TenantPolicy> tenants_;
  std::map<std::string, std::vector<calendar::Calendar>> calendars_;
};

// What is known of the site when a file is read.
struct Site {
  std::set<std::string> teams;
  std::set<std::string> classes;   // empty: not known
  std::uint64_t max_machines = 0;  // 0: not known
};

// A fault in the operators' file; what() names the line.
struct PolicyError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One line of the file is at fault; what() is "operator settings: line LINE: PROBLEM".
class PolicyLineError : public PolicyError {
 public:
  PolicyLineError(int line, std::string problem);
  int line() const noexcept { return line_; }  // from 1 on
  const std::string& problem() const noexcept { return problem_; }

 private:
  int line_;
  std::string problem_;
};

// The section `tenants` of the operators' YAML, as text of the whole file. Nothing: it has no such section.
// Throws BadPolicy.
std::optional<Policy> parse_policy(const std::string& yaml_text, const Site& site);

}  // namespace bankhill::policy
