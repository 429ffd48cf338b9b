#include "calendar/calendar.hpp"

#include <cctz/civil_time.h>
#include <cctz/time_zone.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace bankhill::calendar {

namespace {
// Days looked at for the next weekly cutoff: a calendar whose days are all off for longer has none.
constexpr int kDaysAhead = 400;
constexpr int kDaysBack = 400;  // for the last day that is not off

using Days = std::chrono::sys_days;

cctz::civil_second civil(const Date& date, int at_s) {
  // Seconds beyond the day are carried over: 24:00 is the next day's beginning.
  return cctz::civil_second(cctz::civil_day(static_cast<int>(date.year()),
                                            static_cast<int>(static_cast<unsigned>(date.month())),
                                            static_cast<int>(static_cast<unsigned>(date.day())))) +
         at_s;
}

cctz::time_point<cctz::seconds> point(double wall) {
  return cctz::time_point<cctz::seconds>(cctz::seconds(static_cast<std::int64_t>(std::floor(wall))));
}

bool digits(const std::string& text, std::size_t at, std::size_t count, int& value) {
  if (text.size() < at + count) return false;
  value = 0;
  for (std::size_t i = at; i < at + count; ++i) {
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
  if (text.size() != 10 || text[4] != '-' || text[7] != '-' || !digits(text, 0, 4, year) ||
      !digits(text, 5, 2, month) || !digits(text, 8, 2, day))
    return std::nullopt;
  const Date date{std::chrono::year(year), std::chrono::month(static_cast<unsigned>(month)),
                  std::chrono::day(static_cast<unsigned>(day))};
  return date.ok() ? std::optional(date) : std::nullopt;
}

std::string text_of(const Date& date) {
  char text[40];
  std::snprintf(text, sizeof text, "%04d-%02u-%02u", static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()));
  return text;
}

std::optional<int> parse_time(const std::string& text) {
  int hour = 0;
  int minute = 0;
  int second = 0;
  if ((text.size() != 5 && text.size() != 8) || text[2] != ':' || !digits(text, 0, 2, hour) ||
      !digits(text, 3, 2, minute))
    return std::nullopt;
  if (text.size() == 8 && (text[5] != ':' || !digits(text, 6, 2, second))) return std::nullopt;
  const int at_s = (hour * 60 + minute) * 60 + second;
  if (minute > 59 || second > 59 || at_s > kDayS) return std::nullopt;
  return at_s;
}

std::string text_of_time(int at_s) {
  char text[40];
  std::snprintf(text, sizeof text, "%02d:%02d", at_s / 3600, at_s / 60 % 60);
  std::string result = text;
  if (at_s % 60 == 0) return result;
  std::snprintf(text, sizeof text, ":%02d", at_s % 60);
  return result + text;
}

struct Zone::Impl {
  cctz::time_zone zone;
};

std::optional<Zone> Zone::load(const std::string& name) {
  auto impl = std::make_shared<Impl>();
  // The library takes other names, such as paths, fixed offsets and that of the machine's own zone: two
  // machines could read them differently.
  if (name.empty() || name.front() == '/' || name.find(':') != std::string::npos || name == "localtime" ||
      name.find("..") != std::string::npos)
    return std::nullopt;
  if (!cctz::load_time_zone(name, &impl->zone)) return std::nullopt;
  return Zone(std::move(impl));
}

double Zone::moment(const Date& date, int at_s) const {
  const auto found = impl_->zone.lookup(civil(date, at_s));
  const bool skipped = found.kind == cctz::time_zone::civil_lookup::SKIPPED;
  return static_cast<double>((skipped ? found.trans : found.pre).time_since_epoch().count());
}

bool Zone::skips(const Date& date, int at_s) const {
  return impl_->zone.lookup(civil(date, at_s)).kind == cctz::time_zone::civil_lookup::SKIPPED;
}

Date Zone::date(double wall) const {
  const auto found = impl_->zone.lookup(point(wall)).cs;
  return {std::chrono::year(static_cast<int>(found.year())),
          std::chrono::month(static_cast<unsigned>(found.month())),
          std::chrono::day(static_cast<unsigned>(found.day()))};
}

std::string Zone::local_text(double wall) const {
  return cctz::format("%a %Y-%m-%d %H:%M:%S %z", point(wall), impl_->zone);
}

Date working_day(const Rules& rules, Date date) {
  auto day = Days(date);
  for (int back = 0; back < kDaysBack && rules.days_off.contains(Date(day)); ++back)
    day -= std::chrono::days(1);
  return Date(day);
}

Calendar::Calendar(Rules rules, Zone zone) : rules_(std::move(rules)), zone_(std::move(zone)) {
  for (const auto& filing : rules_.dates)
    dated_.push_back(zone_.moment(working_day(rules_, filing.date), filing.time_of_day_s.value_or(kDayS)));
  std::sort(dated_.begin(), dated_.end());
}

std::optional<double> Calendar::next(double after) const {
  // Compared without the margin: a cutoff whose margin has begun is too near for what comes now.
  const auto dated = std::upper_bound(dated_.begin(), dated_.end(), after + rules_.margin_s);
  auto first = dated == dated_.end() ? std::nullopt : std::optional(*dated);
  if (const auto weekly = next_weekly(after + rules_.margin_s); weekly && (!first || *weekly < *first))
    first = weekly;
  if (first) *first -= rules_.margin_s;
  return first;
}

std::optional<double> Calendar::next_weekly(double after) const {
  if (rules_.weekly.empty()) return std::nullopt;
  // From the day before: 24:00 is a moment of the day after.
  auto day = Days(zone_.date(after)) - std::chrono::days(1);
  for (int look = 0; look < kDaysAhead; ++look, day += std::chrono::days(1)) {
    if (rules_.days_off.contains(Date(day))) continue;
    const auto weekday = std::chrono::weekday(day).c_encoding();
    std::optional<double> first;
    for (const auto& weekly : rules_.weekly) {
      if (!weekly.days.contains(weekday)) continue;
      const double moment = zone_.moment(Date(day), weekly.time_of_day_s);
      if (moment > after && (!first || moment < *first)) first = moment;
    }
    if (first) return first;
  }
  return std::nullopt;
}

}  // namespace bankhill::calendar
