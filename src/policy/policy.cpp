#include "policy/policy.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace bankhill::policy {

using calendar::Rules;
using wire::FieldError;
using wire::Json;
using wire::ProtocolError;

namespace {
constexpr std::size_t kMaxCutoffsShown = 10;
constexpr int kPriorityCount = 4;

std::set<std::string> string_set_field(const Json& object, const char* name) {
  std::set<std::string> names;
  if (wire::absent(object, name)) return names;
  if (!object[name].is_array()) throw FieldError(name, "is not a list");
  for (const auto& item : object[name]) {
    if (!item.is_string()) throw FieldError(name, "contains a value that is not a name");
    names.insert(item.get<std::string>());
  }
  return names;
}

const Json& array_field(const Json& object, const char* name) {
  static const Json kNone = Json::array();
  if (wire::absent(object, name)) return kNone;
  if (!object[name].is_array()) throw FieldError(name, "is not a list");
  return object[name];
}

calendar::Date date_from_json(const Json& item) {
  const auto date = item.is_string() ? calendar::parse_date(item.get<std::string>()) : std::nullopt;
  if (!date) throw ProtocolError("a date is not valid (expected YYYY-MM-DD)");
  return *date;
}

int time_of_day_field(const Json& object, const char* name) {
  const auto seconds = wire::count_field(object, name);
  if (seconds > static_cast<std::uint64_t>(calendar::kDayS))
    throw FieldError(name, "is not a time of day in seconds (0 to 86400)");
  return static_cast<int>(seconds);
}

// Leaves out fields that have their default value, so that a later version with more fields writes equal
// content for an equal policy.
Json to_json(const Rules& rules) {
  Json object{{"name", rules.name}, {"zone", rules.zone}, {"classes", rules.classes}};
  if (rules.margin_s > 0) object["margin_s"] = rules.margin_s;
  for (const auto& weekly : rules.weekly)
    object["weekly"].push_back({{"days", weekly.days}, {"at_s", weekly.time_of_day_s}});
  for (const auto& filing : rules.dates) {
    Json item{{"on", calendar::format_date(filing.date)}};
    if (filing.time_of_day_s) item["at_s"] = *filing.time_of_day_s;
    object["dates"].push_back(std::move(item));
  }
  for (const auto& day : rules.days_off) object["days_off"].push_back(calendar::format_date(day));
  return object;
}

Rules parse_rules(const Json& object) {
  Rules rules;
  rules.name = wire::text_field(object, "name");
  rules.zone = wire::text_field(object, "zone");
  rules.classes = string_set_field(object, "classes");
  if (!wire::absent(object, "margin_s")) rules.margin_s = wire::amount_field(object, "margin_s");
  for (const auto& item : array_field(object, "weekly")) {
    calendar::WeeklyCutoff weekly;
    for (const auto& day : array_field(item, "days")) {
      if (!day.is_number_unsigned() || day.get<unsigned>() > 6)
        throw ProtocolError("a weekday is not a number from 0 (Sunday) to 6");
      weekly.days.insert(day.get<unsigned>());
    }
    weekly.time_of_day_s = time_of_day_field(item, "at_s");
    rules.weekly.push_back(std::move(weekly));
  }
  for (const auto& item : array_field(object, "dates")) {
    calendar::FilingDate filing{date_from_json(item.value("on", Json())), std::nullopt};
    if (!wire::absent(item, "at_s")) filing.time_of_day_s = time_of_day_field(item, "at_s");
    rules.dates.push_back(filing);
  }
  for (const auto& item : array_field(object, "days_off")) rules.days_off.insert(date_from_json(item));
  return rules;
}

Json to_json(const TierRule& rule) {
  Json object{{"tier", rule.tier}};
  if (!rule.classes.empty()) object["classes"] = rule.classes;
  if (rule.priority) object["rank"] = static_cast<int>(*rule.priority);
  if (rule.guest) object["guest"] = *rule.guest;
  return object;
}

TierRule parse_tier_rule(const Json& object) {
  TierRule rule;
  rule.classes = string_set_field(object, "classes");
  const auto tier = object.find("tier");
  if (tier == object.end() || !tier->is_number_integer() || *tier < kLowestTier || *tier > kHighestTier)
    throw FieldError("tier", "is none");
  rule.tier = tier->get<int>();
  if (!wire::absent(object, "guest")) rule.guest = wire::flag_field(object, "guest");
  if (!wire::absent(object, "rank")) {
    const auto priority = wire::count_field(object, "rank");
    if (priority >= kPriorityCount) throw FieldError("rank", "is not a number from 0 to 3");
    rule.priority = static_cast<wire::Priority>(priority);
  }
  return rule;
}

std::string join(const std::set<std::string>& names) {
  std::string text;
  for (const auto& name : names) text += (text.empty() ? "" : ", ") + name;
  return text;
}

std::string format_number(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%g", value);
  return text;
}
}  // namespace

bool TierRule::matches(const std::string& job_class, wire::Priority job_priority, bool is_guest) const {
  return (classes.empty() || classes.contains(job_class)) && (!priority || *priority == job_priority) &&
         (!guest || *guest == is_guest);
}

Json to_json(const TenantPolicy& tenant) {
  static const TenantPolicy kDefaults;
  Json object = Json::object();
  for (const auto& rules : tenant.calendars) object["calendars"].push_back(to_json(rules));
  for (const auto& rule : tenant.tier_rules) object["tiers"].push_back(to_json(rule));
  if (!tenant.refreshes.empty()) object["refreshes"] = tenant.refreshes;
  if (tenant.tier_floor != kDefaults.tier_floor) object["tier_floor"] = tenant.tier_floor;
  if (tenant.tier_ages_s != kDefaults.tier_ages_s) object["tier_ages_s"] = tenant.tier_ages_s;
  for (const auto& [job_class, span] : tenant.spans) object["spans"][job_class] = span;
  return object;
}

TenantPolicy parse_tenant(const Json& object) {
  if (!object.is_object()) throw ProtocolError("a tenant's policy is not an object");
  TenantPolicy tenant;
  for (const auto& item : array_field(object, "calendars")) tenant.calendars.push_back(parse_rules(item));
  for (const auto& item : array_field(object, "tiers")) tenant.tier_rules.push_back(parse_tier_rule(item));
  tenant.refreshes = string_set_field(object, "refreshes");
  if (!wire::absent(object, "tier_floor")) tenant.tier_floor = wire::amount_field(object, "tier_floor");
  if (!wire::absent(object, "tier_ages_s")) tenant.tier_ages_s = wire::amount_field(object, "tier_ages_s");
  if (!wire::absent(object, "spans")) {
    if (!object["spans"].is_object()) throw FieldError("spans", "is not an object");
    for (const auto& [job_class, span] : object["spans"].items()) {
      if (!span.is_number_unsigned() || span.get<std::uint64_t>() < 1 ||
          span.get<std::uint64_t>() > wire::kMaxTasks)
        throw ProtocolError("a span is not a whole number between 1 and the maximum task count");
      tenant.spans[job_class] = span.get<std::uint32_t>();
    }
  }
  return tenant;
}

std::vector<std::string> Policy::set_tenant(const std::string& team, TenantPolicy tenant) {
  std::vector<std::string> unknown_zone;
  auto& calendars = calendars_[team];
  calendars.clear();
  for (const auto& rules : tenant.calendars) {
    if (auto zone = calendar::Zone::load(rules.zone))
      calendars.emplace_back(rules, std::move(*zone));
    else
      unknown_zone.push_back(rules.name);
  }
  tenants_[team] = std::move(tenant);
  return unknown_zone;
}

void Policy::erase_tenant(const std::string& team) {
  tenants_.erase(team);
  calendars_.erase(team);
}

std::uint32_t Policy::span(const std::string& team, const std::string& job_class) const {
  const auto tenant = tenants_.find(team);
  if (tenant == tenants_.end()) return 1;
  const auto span = tenant->second.spans.find(job_class);
  return span == tenant->second.spans.end() ? 1 : span->second;
}

int Policy::tier(const std::string& team, const std::string& job_class, wire::Priority priority,
                 bool guest) const {
  const auto tenant = tenants_.find(team);
  if (tenant == tenants_.end()) return 0;
  const auto& rules = tenant->second.tier_rules;
  const auto rule = std::find_if(rules.begin(), rules.end(), [&](const TierRule& item) {
    return item.matches(job_class, priority, guest);
  });
  return rule == rules.end() ? 0 : rule->tier;
}

bool Policy::is_refresh_class(const std::string& team, const std::string& job_class) const {
  const auto tenant = tenants_.find(team);
  return tenant != tenants_.end() && tenant->second.refreshes.contains(job_class);
}

const calendar::Calendar* Policy::find_calendar(const std::string& team, const std::string& job_class) const {
  const auto calendars = calendars_.find(team);
  if (calendars == calendars_.end()) return nullptr;
  const auto found = std::find_if(calendars->second.begin(), calendars->second.end(),
                                  [&](const auto& item) { return item.rules().classes.contains(job_class); });
  return found == calendars->second.end() ? nullptr : &*found;
}

std::optional<double> Policy::cutoff(const std::string& team, const std::string& job_class,
                                     double accepted_at) const {
  const auto* found = find_calendar(team, job_class);
  return found == nullptr ? std::nullopt : found->next_cutoff(accepted_at);
}

std::string Policy::describe(double now) const {
  std::string text =
      "policy: version " + std::to_string(version_) + ", " + std::to_string(tenants_.size()) + " tenants\n";
  std::multimap<double, std::string> cutoffs;  // text lines by Unix time
  for (const auto& [team, calendars] : calendars_)
    for (const auto& item : calendars) {
      auto cutoff_s = item.next_cutoff(now);
      for (std::size_t i = 0; i < kMaxCutoffsShown && cutoff_s; ++i, cutoff_s = item.next_cutoff(*cutoff_s)) {
        auto line = item.zone().format_local_time(*cutoff_s + item.rules().margin_s) + "  " + team + ", " +
                    item.rules().name + ": " + join(item.rules().classes);
        if (item.rules().margin_s > 0)
          line += ", finish by " + item.zone().format_local_time(*cutoff_s).substr(15, 8);
        cutoffs.emplace(*cutoff_s + item.rules().margin_s, std::move(line));
      }
    }
  if (!cutoffs.empty()) text += "next cutoffs:\n";
  std::size_t shown = 0;
  for (const auto& [unix_s, line] : cutoffs)
    if (++shown <= kMaxCutoffsShown) text += "  " + line + "\n";
  for (const auto& [team, tenant] : tenants_) {
    text += team + ":\n";
    for (const auto& rule : tenant.tier_rules) {
      text += "  tier " + std::to_string(rule.tier) + ": " +
              (rule.classes.empty() ? "all classes" : join(rule.classes));
      if (rule.priority) text += std::string(", rank ") + wire::name_of(*rule.priority);
      if (rule.guest) text += *rule.guest ? ", without a guarantee" : ", with a guarantee";
      text += "\n";
    }
    if (!tenant.refreshes.empty())
      text += "  classes placed before guest work: " + join(tenant.refreshes) + "\n";
    if (!tenant.tier_rules.empty())
      text += "  lower tiers get at least " + format_number(tenant.tier_floor) +
              " of task starts; waiting raises a job one tier every " + format_number(tenant.tier_ages_s) +
              " s\n";
    for (const auto& [job_class, span] : tenant.spans)
      text += "  " + job_class + ": " + std::to_string(span) + " machines per replica\n";
  }
  return text;
}

std::string Policy::fingerprint() const {
  Json policies = Json::object();
  for (const auto& [team, tenant] : tenants_) policies[team] = to_json(tenant);
  // FNV-1a gives the same hash in every process and version; std::hash does not.
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char c : policies.dump()) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash));
  return text;
}

}  // namespace bankhill::policy
