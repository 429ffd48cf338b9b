// Reads the section `tenants` of the operators' YAML file. The file is written by hand and an undetected
// mistake would only show at a cutoff, so every error is reported with its line.
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "policy/policy.hpp"

namespace bankhill::policy {

using YAML::Node;

namespace {
constexpr double kMaxMarginS = calendar::kDayS;
constexpr double kMinTierAgesS = 1;
constexpr double kMaxTierAgesS = 7 * calendar::kDayS;
const std::vector<std::string> kWeekdays{"sun", "mon", "tue", "wed", "thu", "fri", "sat"};
const std::vector<wire::Priority> kPriorities{wire::Priority::best_effort, wire::Priority::normal,
                                              wire::Priority::high, wire::Priority::production};

[[noreturn]] void fail(const Node& node, const std::string& problem) {
  throw PolicyLineError(node.Mark().line + 1, problem);
}

std::string read_name(const Node& node, const std::string& what) {
  if (!node.IsScalar() || node.Scalar().empty()) fail(node, what + " is not a non-empty string");
  return node.Scalar();
}

double read_number(const Node& node, const std::string& what, double min, double max) {
  double value = 0;
  if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || !std::isfinite(value) ||
      value < min || value > max)
    fail(node, what + " is not a number within its allowed range");
  return value;
}

std::uint64_t read_integer(const Node& node, const std::string& what, std::uint64_t min) {
  std::uint64_t value = 0;
  if (!node.IsScalar() || node.Scalar().front() == '-' ||
      !YAML::convert<std::uint64_t>::decode(node, value) || value < min)
    fail(node, what + " is not a whole number (" + std::to_string(min) + " or more)");
  return value;
}

// Reads the members of a map. Each must have a reader and occur only once.
using MemberReaders = std::map<std::string, std::function<void(const Node&)>>;
void read_members(const Node& node, const std::string& what, const MemberReaders& readers) {
  if (!node.IsMap()) fail(node, what + " is not a map");
  std::set<std::string> seen;
  for (const auto& entry : node) {
    const auto name = read_name(entry.first, "a key of " + what);
    const auto reader = readers.find(name);
    if (reader == readers.end()) fail(entry.first, fmt::format("unknown key '{}' in {}", name, what));
    if (!seen.insert(name).second) fail(entry.first, fmt::format("duplicate key '{}' in {}", name, what));
    reader->second(entry.second);
  }
}

void read_list(const Node& node, const std::string& what, const std::function<void(const Node&)>& read_item) {
  if (!node.IsSequence()) fail(node, what + " is not a list");
  for (const auto& entry : node) read_item(entry);
}

calendar::Date read_date(const Node& node) {
  const auto value = read_name(node, "a date");
  const auto found = calendar::parse_date(value);
  if (!found) fail(node, "'" + value + "' is not a valid date (expected YYYY-MM-DD)");
  return *found;
}

int read_time(const Node& node) {
  const auto value = read_name(node, "a time");
  const auto found = calendar::parse_time(value);
  if (!found) fail(node, "'" + value + "' is not a valid time of day (expected HH:MM or HH:MM:SS)");
  return *found;
}

class PolicyReader {
 public:
  explicit PolicyReader(const Site& site) : site_(site) {}

  Policy read(const Node& node) {
    std::optional<std::uint64_t> version;
    Policy policy;
    read_members(node, "tenants",
                 {{"version", [&](const Node& item) { version = read_integer(item, "version", 1); }},
                  {"teams", [&](const Node& item) { read_teams(item, policy); }}});
    if (!version) fail(node, "tenants has no version");
    policy.set_version(*version);
    return policy;
  }

 private:
  std::string read_class(const Node& node) const {
    auto name = read_name(node, "a class");
    if (!site_.classes.empty() && !site_.classes.contains(name)) fail(node, "unknown class '" + name + "'");
    return name;
  }

  std::set<std::string> read_classes(const Node& node, const std::string& what) const {
    std::set<std::string> names;
    read_list(node, what, [&](const Node& item) {
      if (!names.insert(read_class(item)).second) fail(item, "'" + item.Scalar() + "' is listed twice");
    });
    if (names.empty()) fail(node, what + " lists no class");
    return names;
  }

  void read_teams(const Node& node, Policy& policy) const {
    if (!node.IsMap()) fail(node, "teams is not a map");
    for (const auto& entry : node) {
      const auto team = read_name(entry.first, "a team");
      if (!site_.teams.contains(team)) fail(entry.first, "unknown team '" + team + "'");
      if (policy.tenants().contains(team)) fail(entry.first, "team '" + team + "' is listed twice");
      policy.set_tenant(team, read_tenant(entry.second));
    }
  }

  TenantPolicy read_tenant(const Node& node) const {
    TenantPolicy result;
    read_members(
        node, "a team",
        {{"calendars",
          [&](const Node& items) {
            read_list(items, "calendars", [&](const Node& item) { add_calendar(result, item); });
          }},
         {"tiers",
          [&](const Node& items) {
            read_list(items, "tiers", [&](const Node& item) { add_tier(result, item); });
          }},
         {"refreshes", [&](const Node& item) { result.refreshes = read_classes(item, "refreshes"); }},
         {"tier_floor",
          [&](const Node& item) { result.tier_floor = read_number(item, "tier_floor", 0, 0.5); }},
         {"tier_ages_s",
          [&](const Node& item) {
            result.tier_ages_s = read_number(item, "tier_ages_s", kMinTierAgesS, kMaxTierAgesS);
          }},
         {"spans", [&](const Node& item) { result.spans = read_spans(item); }}});
    return result;
  }

  std::map<std::string, std::uint32_t> read_spans(const Node& node) const {
    if (!node.IsMap()) fail(node, "spans is not a map");
    std::map<std::string, std::uint32_t> result;
    for (const auto& entry : node) {
      const auto name = read_class(entry.first);
      const auto span = read_integer(entry.second, "a span", 2);
      const auto max_span = site_.max_machines > 0 ? site_.max_machines : std::uint64_t{wire::kMaxTasks};
      if (span > max_span)
        fail(entry.second, "a replica of " + std::to_string(span) + " machines exceeds the maximum of " +
                               std::to_string(max_span) + " machines at this site");
      if (!result.emplace(name, static_cast<std::uint32_t>(span)).second)
        fail(entry.first, "'" + name + "' is listed twice in spans");
    }
    return result;
  }

  // Rejects a rule that never applies since an earlier rule matches all of its jobs: one of the two is a
  // mistake.
  void add_tier(TenantPolicy& tenant, const Node& node) const {
    TierRule rule;
    bool has_tier = false;
    read_members(node, "a tier rule",
                 {{"classes", [&](const Node& item) { rule.classes = read_classes(item, "classes"); }},
                  {"rank",
                   [&](const Node& item) {
                     const auto name = read_name(item, "rank");
                     for (const auto priority : kPriorities)
                       if (name == wire::name_of(priority)) rule.priority = priority;
                     if (!rule.priority) fail(item, "unknown rank '" + name + "'");
                   }},
                  {"guest",
                   [&](const Node& item) {
                     bool value = false;
                     if (!item.IsScalar() || !YAML::convert<bool>::decode(item, value))
                       fail(item, "guest must be true or false");
                     rule.guest = value;
                   }},
                  {"tier", [&](const Node& item) {
                     const double value = read_number(item, "tier", kLowestTier, kHighestTier);
                     if (value != std::floor(value)) fail(item, "tier is not a whole number");
                     rule.tier = static_cast<int>(value);
                     has_tier = true;
                   }}});
    if (!has_tier) fail(node, "a tier rule has no tier");
    for (const auto& earlier : tenant.tier_rules) {
      const bool covers_classes =
          earlier.classes.empty() ||
          (!rule.classes.empty() && std::includes(earlier.classes.begin(), earlier.classes.end(),
                                                  rule.classes.begin(), rule.classes.end()));
      if (covers_classes && (!earlier.priority || earlier.priority == rule.priority) &&
          (!earlier.guest || earlier.guest == rule.guest))
        fail(node, "tier rule never applies: an earlier rule matches all of its jobs");
    }
    tenant.tier_rules.push_back(std::move(rule));
  }

  // A filing date and its node in the file, for error messages.
  struct FilingNode {
    calendar::FilingDate filing;
    Node node;
  };

  void add_calendar(TenantPolicy& tenant, const Node& node) const {
    std::vector<FilingNode> filings;
    auto rules = read_calendar(node, filings);
    check_complete(rules, node);
    check_dates(rules, filings, node);
    check_overlap(tenant, rules, node);
    tenant.calendars.push_back(std::move(rules));
  }

  calendar::Rules read_calendar(const Node& node, std::vector<FilingNode>& filings) const {
    calendar::Rules rules;
    read_members(node, "a calendar",
                 {{"name", [&](const Node& item) { rules.name = read_name(item, "name"); }},
                  {"zone", [&](const Node& item) { rules.zone = read_name(item, "zone"); }},
                  {"classes", [&](const Node& item) { rules.classes = read_classes(item, "classes"); }},
                  {"margin_s",
                   [&](const Node& item) { rules.margin_s = read_number(item, "margin_s", 0, kMaxMarginS); }},
                  {"weekly",
                   [&](const Node& items) {
                     read_list(items, "weekly", [&](const Node& item) {
                       rules.weekly.push_back(read_weekly_cutoff(item, rules));
                     });
                   }},
                  {"dates",
                   [&](const Node& items) {
                     read_list(items, "dates", [&](const Node& item) {
                       rules.dates.push_back(read_filing_date(item, rules));
                       filings.push_back({rules.dates.back(), item});
                     });
                   }},
                  {"days_off", [&](const Node& items) {
                     read_list(items, "days_off", [&](const Node& item) {
                       if (!rules.days_off.insert(read_date(item)).second)
                         fail(item, "'" + item.Scalar() + "' is listed twice");
                     });
                   }}});
    return rules;
  }

  static void check_complete(const calendar::Rules& rules, const Node& node) {
    if (rules.name.empty()) fail(node, "a calendar has no name");
    if (rules.zone.empty()) fail(node, "calendar '" + rules.name + "' has no time zone (zone)");
    if (rules.classes.empty()) fail(node, "calendar '" + rules.name + "' lists no class");
    if (rules.weekly.empty() && rules.dates.empty())
      fail(node, "calendar '" + rules.name + "' has no cutoff (weekly or dates)");
  }

  // Rejects filing dates whose time is skipped by a clock change. Weekly cutoffs may be skipped on one day of
  // the year; on a given date this is a mistake.
  static void check_dates(const calendar::Rules& rules, const std::vector<FilingNode>& filings,
                          const Node& node) {
    const auto zone = calendar::Zone::load(rules.zone);
    if (!zone) fail(node, "unknown time zone '" + rules.zone + "'");
    for (const auto& [filing, item] : filings)
      if (filing.time_of_day_s &&
          zone->is_skipped(last_working_day(rules, filing.date), *filing.time_of_day_s))
        fail(item, "local time " + calendar::format_time(*filing.time_of_day_s) + " does not exist in " +
                       rules.zone + " on that day: the clocks are put forward");
  }

  // Allows at most one calendar per job class, so that a job has one cutoff.
  static void check_overlap(const TenantPolicy& tenant, const calendar::Rules& rules, const Node& node) {
    for (const auto& other : tenant.calendars) {
      if (other.name == rules.name) fail(node, "calendar '" + rules.name + "' is listed twice");
      for (const auto& name : rules.classes)
        if (other.classes.contains(name))
          fail(node, "calendars '" + other.name + "' and '" + rules.name +
                         "' overlap: both apply to class '" + name + "'");
    }
  }

  static calendar::WeeklyCutoff read_weekly_cutoff(const Node& node, const calendar::Rules& rules) {
    calendar::WeeklyCutoff result;
    bool has_time = false;
    read_members(node, "weekly",
                 {{"days",
                   [&](const Node& items) {
                     read_list(items, "days", [&](const Node& item) {
                       const auto name = read_name(item, "a day");
                       const auto found = std::find(kWeekdays.begin(), kWeekdays.end(), name);
                       if (found == kWeekdays.end())
                         fail(item, "'" + name + "' is not a day of the week (expected mon, tue, ...)");
                       if (!result.days.insert(static_cast<unsigned>(found - kWeekdays.begin())).second)
                         fail(item, "'" + name + "' is listed twice");
                     });
                   }},
                  {"at", [&](const Node& item) {
                     result.time_of_day_s = read_time(item);
                     has_time = true;
                   }}});
    if (result.days.empty()) fail(node, "a weekly cutoff has no days");
    if (!has_time) fail(node, "a weekly cutoff has no time (at)");
    for (const auto& other : rules.weekly)
      for (const auto day : result.days)
        if (other.time_of_day_s == result.time_of_day_s && other.days.contains(day))
          fail(node, "a weekly cutoff is listed twice: " + kWeekdays[day] + " " +
                         calendar::format_time(result.time_of_day_s));
    return result;
  }

  static calendar::FilingDate read_filing_date(const Node& node, const calendar::Rules& rules) {
    calendar::FilingDate result;
    if (node.IsScalar()) {
      result.date = read_date(node);
    } else {
      std::optional<calendar::Date> date;
      read_members(node, "a filing date",
                   {{"on", [&](const Node& item) { date = read_date(item); }},
                    {"at", [&](const Node& item) { result.time_of_day_s = read_time(item); }}});
      if (!date) fail(node, "a filing date has no date (on)");
      result.date = *date;
    }
    if (std::find(rules.dates.begin(), rules.dates.end(), result) != rules.dates.end())
      fail(node, "'" + calendar::format_date(result.date) + "' is listed twice");
    return result;
  }

  const Site& site_;
};
}  // namespace

PolicyLineError::PolicyLineError(int line, std::string problem)
    : PolicyError("operator settings: line " + std::to_string(line) + ": " + problem),
      line_(line),
      problem_(std::move(problem)) {}

std::optional<Policy> parse_policy(const std::string& yaml_text, const Site& site) {
  try {
    const Node root = YAML::Load(yaml_text);
    if (!root.IsMap() || !root["tenants"]) return std::nullopt;
    return PolicyReader(site).read(root["tenants"]);
  } catch (const YAML::Exception& error) {
    throw PolicyError(std::string("operator settings: ") + error.what());
  }
}

}  // namespace bankhill::policy
