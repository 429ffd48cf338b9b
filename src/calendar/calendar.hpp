// Deadline calendars: cutoffs by local time, as moments. Pure but for the zone's file, which is read once.
// What holds when clocks change, on days off and at year ends: docs/CALENDARS.md.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bankhill::calendar {

using Date = std::chrono::year_month_day;

constexpr int kDayS = 86400;

// "2027-05-31"; nothing if there is no such day.
std::optional<Date> parse_date(const std::string& text);
std::string text_of(const Date& date);
// "08:00" or "08:00:30", up to "24:00": seconds since the day's beginning; nothing if there is no such time.
std::optional<int> parse_time(const std::string& text);
std::string text_of_time(int at_s);

// A time zone of the IANA database.
class Zone {
 public:
  static std::optional<Zone> load(const std::string& name);  // nothing: unknown here
  // The moment (time of day, seconds) of a local time. One that the clocks skip: the moment of the change; of
  // two that the clocks show twice: the first. Early is safe: the work is there when somebody looks for it.
  double moment(const Date& date, int at_s) const;
  bool skips(const Date& date, int at_s) const;
  Date date(double wall) const;
  std::string local_text(double wall) const;  // "Mon 2027-05-31 08:00:00 +0200"

 private:
  struct Impl;
  explicit Zone(std::shared_ptr<const Impl> impl) : impl_(std::move(impl)) {}
  std::shared_ptr<const Impl> impl_;
};

struct Weekly {
  std::set<unsigned> days;  // 0: Sunday
  int time_of_day_s = 0;    // local time, seconds since the day's beginning
  bool operator==(const Weekly&) const = default;
};

struct Filing {
  Date date;
  std::optional<int> time_of_day_s;  // none: the end of the day
  bool operator==(const Filing&) const = default;
};

struct Rules {
  std::string name;
  std::string zone;
  std::set<std::string> classes;
  std::vector<Weekly> weekly;
  std::vector<Filing> dates;
  std::set<Date> days_off;
  double margin_s = 0;  // by which the work is to be over before the cutoff
  bool operator==(const Rules&) const = default;
};

// A filing date on a day off counts on the last day before that is none.
Date working_day(const Rules& rules, Date date);

class Calendar {
 public:
  Calendar(Rules rules, Zone zone);
  // The first cutoff, less the margin, that is later than `after`; nothing when there is none any more.
  std::optional<double> next(double after) const;
  const Rules& rules() const { return rules_; }
  const Zone& zone() const { return zone_; }

 private:
  std::optional<double> next_weekly(double after) const;

  Rules rules_;
  Zone zone_;
  std::vector<double> dated_;  // moments, rising
};

}  // namespace bankhill::calendar
