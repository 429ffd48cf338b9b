// The section `tenants` of the operators' YAML. Every fault is named with its line: the file is written by
// hand, and what is only nearly right would be found out at a cutoff.
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
constexpr double kMostMarginS = calendar::kDayS;
constexpr double kLeastAgesS = 1;
constexpr double kMostAgesS = 7 * calendar::kDayS;
const std::vector<std::string> kWeekdays{"sun", "mon", "tue", "wed", "thu", "fri", "sat"};
const std::vector<wire::Priority> kRanks{wire::Priority::best_effort, wire::Priority::normal,
                                         wire::Priority::high, wire::Priority::production};

[[noreturn]] void fail(const Node& at, const std::string& what) {
  throw PolicyLineError(at.Mark().line + 1, what);
}

std::string text(const Node& node, const std::string& what) {
  if (!node.IsScalar() || node.Scalar().empty()) fail(node, what + " is not a name");
  return node.Scalar();
}

double number(const Node& node, const std::string& what, double low, double high) {
  double value = 0;
  if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || !std::isfinite(value) ||
      value < low || value > high)
    fail(node, what + " is no number in its range");
  return value;
}

std::uint64_t count(const Node& node, const std::string& what, std::uint64_t low) {
  std::uint64_t value = 0;
  if (!node.IsScalar() || node.Scalar().front() == '-' ||
      !YAML::convert<std::uint64_t>::decode(node, value) || value < low)
    fail(node, what + " is no whole number from " + std::to_string(low) + " on");
  return value;
}

// The members of a map, each known and named once.
using Members = std::map<std::string, std::function<void(const Node&)>>;
void members(const Node& node, const std::string& what, const Members& known) {
  if (!node.IsMap()) fail(node, what + " is not a map");
  std::set<std::string> seen;
  for (const auto& entry : node) {
    const auto name = text(entry.first, "a key of " + what);
    const auto member = known.find(name);
    if (member == known.end()) fail(entry.first, fmt::format("unknown key '{}' in {}", name, what));
    if (!seen.insert(name).second) fail(entry.first, fmt::format("'{}' stands twice in {}", name, what));
    member->second(entry.second);
  }
}

void each(const Node& node, const std::string& what, const std::function<void(const Node&)>& item) {
  if (!node.IsSequence()) fail(node, what + " is not a list");
  for (const auto& entry : node) item(entry);
}

calendar::Date date(const Node& node) {
  const auto value = text(node, "a date");
  const auto found = calendar::parse_date(value);
  if (!found) fail(node, "'" + value + "' is no day of the calendar (YYYY-MM-DD)");
  return *found;
}

int time(const Node& node) {
  const auto value = text(node, "a time");
  const auto found = calendar::parse_time(value);
  if (!found) fail(node, "'" + value + "' is no time of a day (HH:MM)");
  return *found;
}

class Reader {
 public:
  explicit Reader(const Site& site) : site_(site) {}

  Policy read(const Node& node) {
    std::optional<std::uint64_t> version;
    Policy policy;
    members(node, "tenants",
            {{"version", [&](const Node& item) { version = count(item, "version", 1); }},
             {"teams", [&](const Node& item) { teams(item, policy); }}});
    if (!version) fail(node, "tenants has no version");
    policy.set_version(*version);
    return policy;
  }

 private:
  std::string queue(const Node& node) const {
    auto name = text(node, "a class");
    if (!site_.classes.empty() && !site_.classes.contains(name)) fail(node, "unknown class '" + name + "'");
    return name;
  }

  std::set<std::string> queues(const Node& node, const std::string& what) const {
    std::set<std::string> names;
    each(node, what, [&](const Node& item) {
      if (!names.insert(queue(item)).second) fail(item, "'" + item.Scalar() + "' stands twice");
    });
    if (names.empty()) fail(node, what + " names no class");
    return names;
  }

  void teams(const Node& node, Policy& policy) const {
    if (!node.IsMap()) fail(node, "teams is not a map");
    for (const auto& entry : node) {
      const auto team = text(entry.first, "a team");
      if (!site_.teams.contains(team)) fail(entry.first, "unknown team '" + team + "'");
      if (policy.tenants().contains(team)) fail(entry.first, "team '" + team + "' stands twice");
      policy.set(team, tenant(entry.second));
    }
  }

  TenantPolicy tenant(const Node& node) const {
    TenantPolicy result;
    members(
        node, "a team",
        {{"calendars",
          [&](const Node& items) {
            each(items, "calendars", [&](const Node& item) { add_calendar(result, item); });
          }},
         {"tiers",
          [&](const Node& items) {
            each(items, "tiers", [&](const Node& item) { add_tier(result, item); });
          }},
         {"refreshes", [&](const Node& item) { result.refreshes = queues(item, "refreshes"); }},
         {"tier_floor", [&](const Node& item) { result.tier_floor = number(item, "tier_floor", 0, 0.5); }},
         {"tier_ages_s",
          [&](const Node& item) {
            result.tier_ages_s = number(item, "tier_ages_s", kLeastAgesS, kMostAgesS);
          }},
         {"spans", [&](const Node& item) { result.spans = spans(item); }}});
    return result;
  }

  std::map<std::string, std::uint32_t> spans(const Node& node) const {
    if (!node.IsMap()) fail(node, "spans is not a map");
    std::map<std::string, std::uint32_t> result;
    for (const auto& entry : node) {
      const auto name = queue(entry.first);
      const auto span = count(entry.second, "a span", 2);
      const auto most = site_.max_machines > 0 ? site_.max_machines : std::uint64_t{wire::kMaxTasks};
      if (span > most)
        fail(entry.second, "a replica over " + std::to_string(span) +
                               " machines fits no fleet here: " + std::to_string(most) + " at most");
      if (!result.emplace(name, static_cast<std::uint32_t>(span)).second)
        fail(entry.first, "'" + name + "' stands twice in spans");
    }
    return result;
  }

  // Two rules for one thing: which of them holds would be chance, or one of them a mistake.
  void add_tier(TenantPolicy& tenant, const Node& node) const {
    TierRule rule;
    bool given = false;
    members(node, "a tier's rule",
            {{"classes", [&](const Node& item) { rule.classes = queues(item, "classes"); }},
             {"rank",
              [&](const Node& item) {
                const auto name = text(item, "rank");
                for (const auto priority : kRanks)
                  if (name == wire::name_of(priority)) rule.priority = priority;
                if (!rule.priority) fail(item, "unknown rank '" + name + "'");
              }},
             {"guest",
              [&](const Node& item) {
                bool value = false;
                if (!item.IsScalar() || !YAML::convert<bool>::decode(item, value))
                  fail(item, "guest is not true or false");
                rule.guest = value;
              }},
             {"tier", [&](const Node& item) {
                const double value = number(item, "tier", kLowestTier, kHighestTier);
                if (value != std::floor(value)) fail(item, "tier is no whole number");
                rule.tier = static_cast<int>(value);
                given = true;
              }}});
    if (!given) fail(node, "a tier's rule has no tier");
    for (const auto& before : tenant.tier_rules) {
      const bool classes =
          before.classes.empty() ||
          (!rule.classes.empty() && std::includes(before.classes.begin(), before.classes.end(),
                                                  rule.classes.begin(), rule.classes.end()));
      if (classes && (!before.priority || before.priority == rule.priority) &&
          (!before.guest || before.guest == rule.guest))
        fail(node, "overlaps an earlier rule, which matches all that this one does");
    }
    tenant.tier_rules.push_back(std::move(rule));
  }

  // A filing date and where it stands.
  struct DatedFiling {
    calendar::Filing filing;
    Node node;
  };

  void add_calendar(TenantPolicy& tenant, const Node& node) const {
    std::vector<DatedFiling> dated;
    auto rules = read_calendar(node, dated);
    check_complete(rules, node);
    check_dates(rules, dated, node);
    check_overlap(tenant, rules, node);
    tenant.calendars.push_back(std::move(rules));
  }

  calendar::Rules read_calendar(const Node& node, std::vector<DatedFiling>& dated) const {
    calendar::Rules rules;
    members(
        node, "a calendar",
        {{"name", [&](const Node& item) { rules.name = text(item, "name"); }},
         {"zone", [&](const Node& item) { rules.zone = text(item, "zone"); }},
         {"classes", [&](const Node& item) { rules.classes = queues(item, "classes"); }},
         {"margin_s", [&](const Node& item) { rules.margin_s = number(item, "margin_s", 0, kMostMarginS); }},
         {"weekly",
          [&](const Node& items) {
            each(items, "weekly", [&](const Node& item) { rules.weekly.push_back(weekly(item, rules)); });
          }},
         {"dates",
          [&](const Node& items) {
            each(items, "dates", [&](const Node& item) {
              rules.dates.push_back(filing(item, rules));
              dated.push_back({rules.dates.back(), item});
            });
          }},
         {"days_off", [&](const Node& items) {
            each(items, "days_off", [&](const Node& item) {
              if (!rules.days_off.insert(date(item)).second)
                fail(item, "'" + item.Scalar() + "' stands twice");
            });
          }}});
    return rules;
  }

  static void check_complete(const calendar::Rules& rules, const Node& node) {
    if (rules.name.empty()) fail(node, "a calendar has no name");
    if (rules.zone.empty()) fail(node, "calendar '" + rules.name + "' has no zone");
    if (rules.classes.empty()) fail(node, "calendar '" + rules.name + "' is for no class");
    if (rules.weekly.empty() && rules.dates.empty())
      fail(node, "calendar '" + rules.name + "' has no cutoff");
  }

  // A weekly time that one day of the year lacks is usual; one of a given date is a mistake.
  static void check_dates(const calendar::Rules& rules, const std::vector<DatedFiling>& dated,
                          const Node& node) {
    const auto zone = calendar::Zone::load(rules.zone);
    if (!zone) fail(node, "unknown time zone '" + rules.zone + "'");
    for (const auto& [filing, item] : dated)
      if (filing.time_of_day_s && zone->skips(working_day(rules, filing.date), *filing.time_of_day_s))
        fail(item, "there is no " + calendar::text_of_time(*filing.time_of_day_s) + " in " + rules.zone +
                       " on that day: the clocks are put forward");
  }

  // Of one class at most one calendar, so that no two cutoffs compete.
  static void check_overlap(const TenantPolicy& tenant, const calendar::Rules& rules, const Node& node) {
    for (const auto& other : tenant.calendars) {
      if (other.name == rules.name) fail(node, "calendar '" + rules.name + "' stands twice");
      for (const auto& name : rules.classes)
        if (other.classes.contains(name))
          fail(node, "calendars '" + other.name + "' and '" + rules.name + "' overlap: both are for '" +
                         name + "'");
    }
  }

  static calendar::Weekly weekly(const Node& node, const calendar::Rules& rules) {
    calendar::Weekly result;
    bool given = false;
    members(node, "weekly",
            {{"days",
              [&](const Node& items) {
                each(items, "days", [&](const Node& item) {
                  const auto name = text(item, "a day");
                  const auto found = std::find(kWeekdays.begin(), kWeekdays.end(), name);
                  if (found == kWeekdays.end())
                    fail(item, "'" + name + "' is no day of the week (mon, tue, ...)");
                  if (!result.days.insert(static_cast<unsigned>(found - kWeekdays.begin())).second)
                    fail(item, "'" + name + "' stands twice");
                });
              }},
             {"at", [&](const Node& item) {
                result.time_of_day_s = time(item);
                given = true;
              }}});
    if (result.days.empty()) fail(node, "a weekly cutoff has no days");
    if (!given) fail(node, "a weekly cutoff has no time (at)");
    for (const auto& other : rules.weekly)
      for (const auto day : result.days)
        if (other.time_of_day_s == result.time_of_day_s && other.days.contains(day))
          fail(node, "overlaps an earlier cutoff: " + kWeekdays[day] + " " +
                         calendar::text_of_time(result.time_of_day_s));
    return result;
  }

  static calendar::Filing filing(const Node& node, const calendar::Rules& rules) {
    calendar::Filing result;
    if (node.IsScalar()) {
      result.date = date(node);
    } else {
      std::optional<calendar::Date> on;
      members(node, "a filing date",
              {{"on", [&](const Node& item) { on = date(item); }},
               {"at", [&](const Node& item) { result.time_of_day_s = time(item); }}});
      if (!on) fail(node, "a filing date has no day (on)");
      result.date = *on;
    }
    if (std::find(rules.dates.begin(), rules.dates.end(), result) != rules.dates.end())
      fail(node, "'" + calendar::text_of(result.date) + "' stands twice");
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
    return Reader(site).read(root["tenants"]);
  } catch (const YAML::Exception& error) {
    throw PolicyError(std::string("operator settings: ") + error.what());
  }
}

}  // namespace bankhill::policy
