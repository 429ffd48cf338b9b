// Deadline calendars: converts cutoffs given in local time to Unix times. Pure, except that a time zone is
// read once from its file. docs/CALENDARS.md covers clock changes, days off and year ends.
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

// Parses a date such as "2027-05-31". Returns nullopt if the text has another form or the day does not exist.
std::optional<Date> parse_date(const std::string& text);
std::string format_date(const Date& date);
// Parses a time of day such as "08:00" or "08:00:30", up to "24:00", into seconds since midnight. Returns
// nullopt if the text has another form or the time does not exist.
std::optional<int> parse_time(const std::string& text);
std::string format_time(int time_of_day_s);

// A time zone of the IANA database.
class Zone {
 public:
  // Returns nullopt if this machine's database has no such zone.
  static std::optional<Zone> load(const std::string& name);
  // Converts a local time to Unix time in seconds. A local time skipped by a clock change maps to the moment
  // of the change, one that occurs twice to its first occurrence. The earlier choice is safe: the work is
  // finished when its results are needed.
  double unix_time(const Date& date, int time_of_day_s) const;
  // Whether a clock change skips this local time.
  bool is_skipped(const Date& date, int time_of_day_s) const;
  // The local date at a Unix time.
  Date local_date(double unix_s) const;
  // The local time at a Unix time, such as "Mon 2027-05-31 08:00:00 +0200".
  std::string format_local_time(double unix_s) const;

 private:
  struct Impl;
  explicit Zone(std::shared_ptr<const Impl> impl) : impl_(std::move(impl)) {}
  std::shared_ptr<const Impl> impl_;
};

// A cutoff that recurs on the same days of every week.
struct WeeklyCutoff {
  std::set<unsigned> days;  // days of the week; 0 is Sunday
  int time_of_day_s = 0;    // local time, in seconds since midnight
  bool operator==(const WeeklyCutoff&) const = default;
};

// A cutoff on one date.
struct FilingDate {
  Date date;
  std::optional<int> time_of_day_s;  // local time, in seconds since midnight; empty: the end of the day
  bool operator==(const FilingDate&) const = default;
};

// The definition of one deadline calendar.
struct Rules {
  std::string name;
  std::string zone;               // name in the IANA database
  std::set<std::string> classes;  // job classes that have these cutoffs
  std::vector<WeeklyCutoff> weekly;
  std::vector<FilingDate> dates;
  std::set<Date> days_off;
  double margin_s = 0;  // time before the cutoff by which the work must be finished, in seconds
  bool operator==(const Rules&) const = default;
};

// The last working day up to and including `date`. A filing date that falls on a day off is moved to it.
Date last_working_day(const Rules& rules, Date date);

// Computes the cutoffs of one deadline calendar.
class Calendar {
 public:
  Calendar(Rules rules, Zone zone);
  // The first cutoff, less the margin, that is later than `after`; nullopt if no cutoff is left. Both are
  // Unix times in seconds.
  std::optional<double> next_cutoff(double after) const;
  const Rules& rules() const { return rules_; }
  const Zone& zone() const { return zone_; }

 private:
  std::optional<double> next_weekly_cutoff(double after) const;

  Rules rules_;
  Zone zone_;
  std::vector<double> filing_cutoffs_;  // cutoffs of the filing dates as Unix times, ascending
};

}  // namespace bankhill::calendar
