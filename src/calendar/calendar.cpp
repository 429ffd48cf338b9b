#include "calendar/calendar.hpp"

#include <cctz/civil_time.h>
#include <cctz/time_zone.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace bankhill::calendar {

namespace {
// Number of days searched for the next weekly cutoff. A calendar whose days are all off for longer has none.
constexpr int kMaxDaysAhead = 400;
// Number of days searched backwards for the last day that is not off.
constexpr int kMaxDaysBack = 400;

using SysDays = std::chrono::sys_days;

cctz::civil_second civil_time(const Date& date, int time_of_day_s) {
  // Adding seconds carries over into the next day: 24:00 is its midnight.
  return cctz::civil_second(cctz::civil_day(static_cast<int>(date.year()),
                                            static_cast<int>(static_cast<unsigned>(date.month())),
                                            static_cast<int>(static_cast<unsigned>(date.day())))) +
         time_of_day_s;
}

cctz::time_point<cctz::seconds> to_time_point(double unix_s) {
  return cctz::time_point<cctz::seconds>(cctz::seconds(static_cast<std::int64_t>(std::floor(unix_s))));
}

bool parse_digits(const std::string& text, std::size_t begin, std::size_t count, int& value) {
  if (text.size() < begin + count) return false;
  value = 0;
  for (std::size_t i = begin; i < begin + count; ++i) {
    if (text[i] < '0' || text[i] > '9') return false;
    value = value * 10 + (text[i] - '0');
  }
  return true;
}
}  // namespace

std::optional<Date> parse_date(const std::string& text) {
  int year = 0;
  int month = 0;
  int day = 0;
  if (text.size() != 10 || text[4] != '-' || text[7] != '-' || !parse_digits(text, 0, 4, year) ||
      !parse_digits(text, 5, 2, month) || !parse_digits(text, 8, 2, day))
    return std::nullopt;
  const Date date{std::chrono::year(year), std::chrono::month(static_cast<unsigned>(month)),
                  std::chrono::day(static_cast<unsigned>(day))};
  return date.ok() ? std::optional(date) : std::nullopt;
}

std::string format_date(const Date& date) {
  char text[40];
  std::snprintf(text, sizeof text, "%04d-%02u-%02u", static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()));
  return text;
}

std::optional<int> parse_time(const std::string& text) {
  int hour = 0;
  int minute = 0;
  int second = 0;
  if ((text.size() != 5 && text.size() != 8) || text[2] != ':' || !parse_digits(text, 0, 2, hour) ||
      !parse_digits(text, 3, 2, minute))
    return std::nullopt;
  if (text.size() == 8 && (text[5] != ':' || !parse_digits(text, 6, 2, second))) return std::nullopt;
  const int time_of_day_s = (hour * 60 + minute) * 60 + second;
  if (minute > 59 || second > 59 || time_of_day_s > kDayS) return std::nullopt;
  return time_of_day_s;
}

std::string format_time(int time_of_day_s) {
  char text[40];
  std::snprintf(text, sizeof text, "%02d:%02d", time_of_day_s / 3600, time_of_day_s / 60 % 60);
  std::string result = text;
  if (time_of_day_s % 60 == 0) return result;
  std::snprintf(text, sizeof text, ":%02d", time_of_day_s % 60);
  return result + text;
}

struct Zone::Impl {
  cctz::time_zone zone;
};

std::optional<Zone> Zone::load(const std::string& name) {
  auto impl = std::make_shared<Impl>();
  // Rejects names outside the database that the library accepts, such as paths, fixed offsets and the name of
  // the machine's own zone: two machines could interpret them differently.
  if (name.empty() || name.front() == '/' || name.find(':') != std::string::npos || name == "localtime" ||
      name.find("..") != std::string::npos)
    return std::nullopt;
  if (!cctz::load_time_zone(name, &impl->zone)) return std::nullopt;
  return Zone(std::move(impl));
}

double Zone::unix_time(const Date& date, int time_of_day_s) const {
  const auto found = impl_->zone.lookup(civil_time(date, time_of_day_s));
  const bool skipped = found.kind == cctz::time_zone::civil_lookup::SKIPPED;
  return static_cast<double>((skipped ? found.trans : found.pre).time_since_epoch().count());
}

bool Zone::is_skipped(const Date& date, int time_of_day_s) const {
  return impl_->zone.lookup(civil_time(date, time_of_day_s)).kind == cctz::time_zone::civil_lookup::SKIPPED;
}

Date Zone::local_date(double unix_s) const {
  const auto found = impl_->zone.lookup(to_time_point(unix_s)).cs;
  return {std::chrono::year(static_cast<int>(found.year())),
          std::chrono::month(static_cast<unsigned>(found.month())),
          std::chrono::day(static_cast<unsigned>(found.day()))};
}

std::string Zone::format_local_time(double unix_s) const {
  return cctz::format("%a %Y-%m-%d %H:%M:%S %z", to_time_point(unix_s), impl_->zone);
}

Date last_working_day(const Rules& rules, Date date) {
  auto day = SysDays(date);
  for (int days_back = 0; days_back < kMaxDaysBack && rules.days_off.contains(Date(day)); ++days_back)
    day -= std::chrono::days(1);
  return Date(day);
}

Calendar::Calendar(Rules rules, Zone zone) : rules_(std::move(rules)), zone_(std::move(zone)) {
  for (const auto& filing : rules_.dates)
    filing_cutoffs_.push_back(
        zone_.unix_time(last_working_day(rules_, filing.date), filing.time_of_day_s.value_or(kDayS)));
  std::sort(filing_cutoffs_.begin(), filing_cutoffs_.end());
}

std::optional<double> Calendar::next_cutoff(double after) const {
  // Skips cutoffs whose margin has already begun: they are too near for work that is accepted now.
  const auto filing =
      std::upper_bound(filing_cutoffs_.begin(), filing_cutoffs_.end(), after + rules_.margin_s);
  auto first = filing == filing_cutoffs_.end() ? std::nullopt : std::optional(*filing);
  if (const auto weekly = next_weekly_cutoff(after + rules_.margin_s); weekly && (!first || *weekly < *first))
    first = weekly;
  if (first) *first -= rules_.margin_s;
  return first;
}

std::optional<double> Calendar::next_weekly_cutoff(double after) const {
  if (rules_.weekly.empty()) return std::nullopt;
  // Starts on the previous day, since its 24:00 falls on the current day.
  auto day = SysDays(zone_.local_date(after)) - std::chrono::days(1);
  for (int days_checked = 0; days_checked < kMaxDaysAhead; ++days_checked, day += std::chrono::days(1)) {
    if (rules_.days_off.contains(Date(day))) continue;
    const auto weekday = std::chrono::weekday(day).c_encoding();
    std::optional<double> first;
    for (const auto& weekly : rules_.weekly) {
      if (!weekly.days.contains(weekday)) continue;
      const double cutoff = zone_.unix_time(Date(day), weekly.time_of_day_s);
      if (cutoff > after && (!first || cutoff < *first)) first = cutoff;
    }
    if (first) return first;
  }
  return std::nullopt;
}

}  // namespace bankhill::calendar
