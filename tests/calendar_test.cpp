// Deadline calendars: compared over ten years with the rule of the clock changes written down here once more,
// without the library's tables.
#include "calendar/calendar.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "calendar/deadline_forecast.hpp"

namespace bankhill::calendar {
namespace {

using Days = std::chrono::sys_days;
constexpr double kHour = 3600;
constexpr int kYears = 10;

Date day(int year, unsigned month, unsigned of_month) {
  return {std::chrono::year(year), std::chrono::month(month), std::chrono::day(of_month)};
}

double midnight(const Date& date) {
  return static_cast<double>(Days(date).time_since_epoch().count()) * kDayS;
}

// In Oslo clocks change at 01:00 UTC on the last Sundays of March and October.
double change(int year, unsigned month) {
  const Date last{std::chrono::year_month_weekday_last(std::chrono::year(year), std::chrono::month(month),
                                                       std::chrono::weekday_last(std::chrono::Sunday))};
  return midnight(last) + kHour;
}

double offset(double wall) {
  const int year =
      static_cast<int>(Date(Days(std::chrono::days(static_cast<int>(std::floor(wall / kDayS))))).year());
  return wall >= change(year, 3) && wall < change(year, 10) ? 2 * kHour : kHour;
}

// The first moment at which clocks in Oslo show this time or a later one.
double expected(const Date& date, int at_s) {
  const double local = midnight(date) + at_s;
  double first = INFINITY;
  for (const double moment : {local - 2 * kHour, local - kHour, change(static_cast<int>(date.year()), 3)})
    if (moment + offset(moment) >= local) first = std::min(first, moment);
  return first;
}

Zone oslo() { return *Zone::load("Europe/Oslo"); }

TEST(Zone, EveryHalfHourOfTenYears) {
  const auto zone = oslo();
  int skipped = 0;
  for (auto at = Days(day(2027, 1, 1)); at < Days(day(2027 + kYears, 1, 1)); at += std::chrono::days(1))
    for (int at_s = 0; at_s <= kDayS; at_s += kDayS / 48) {
      ASSERT_EQ(zone.moment(Date(at), at_s), expected(Date(at), at_s)) << text_of(Date(at)) << " " << at_s;
      skipped += zone.skips(Date(at), at_s) ? 1 : 0;
    }
  EXPECT_EQ(skipped, 2 * kYears) << "02:00 and 02:30 of ten days";
}

// 02:30 is skipped on 2027-03-28 and shown twice on 2027-10-31; Lord Howe moves its clocks by half an hour.
TEST(Zone, SkippedAndDoubled) {
  const auto zone = oslo();
  EXPECT_EQ(zone.moment(day(2027, 3, 28), 2 * 3600 + 1800), change(2027, 3));
  EXPECT_EQ(zone.moment(day(2027, 10, 31), 2 * 3600 + 1800), change(2027, 10) - kHour / 2);
  const auto island = Zone::load("Australia/Lord_Howe");
  ASSERT_TRUE(island);
  EXPECT_TRUE(island->skips(day(2027, 10, 3), 2 * 3600 + 900));
  EXPECT_EQ(island->moment(day(2027, 10, 3), 2 * 3600 + 900),
            island->moment(day(2027, 10, 3), 2 * 3600 + 1800));
}

// Names that two machines could read differently are none.
TEST(Zone, OnlyNamesOfTheDatabase) {
  for (const auto* name :
       {"", "localtime", "/etc/localtime", "../etc/passwd", "Europe/Bergen", "Fixed/UTC+01:00:00"})
    EXPECT_FALSE(Zone::load(name)) << name;
  EXPECT_TRUE(Zone::load("Europe/Budapest"));
}

TEST(Calendar, DatesAndTimesThatDoNotExist) {
  EXPECT_TRUE(parse_date("2028-02-29"));
  for (const auto* text :
       {"2027-02-29", "2100-02-29", "2027-04-31", "2027-13-01", "2027-1-01", "27-01-01", "today", ""})
    EXPECT_FALSE(parse_date(text)) << text;
  EXPECT_EQ(parse_time("08:00"), 8 * 3600);
  EXPECT_EQ(parse_time("24:00"), kDayS);
  EXPECT_EQ(parse_time("08:00:30"), 8 * 3600 + 30);
  for (const auto* text : {"24:01", "25:00", "08:60", "8:00", "08:00:60", "08-00", "-1:00", ""})
    EXPECT_FALSE(parse_time(text)) << text;
}

// Walked through ten years, random calendars give exactly the moments that a plain list of all days gives.
TEST(Calendar, RandomCalendarsOverTenYears) {
  const auto zone = oslo();
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const auto pick = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
    const auto some_day = [&] { return Date(Days(day(2027, 1, 1)) + std::chrono::days(pick(365 * kYears))); };
    Rules rules{"c", "Europe/Oslo", {"x"}, {}, {}, {}, 0};
    for (int i = 0; i < 1 + pick(3); ++i) {
      Weekly weekly{{}, pick(49) * (kDayS / 48)};
      for (int k = 0; k < 1 + pick(5); ++k) weekly.days.insert(static_cast<unsigned>(pick(7)));
      rules.weekly.push_back(weekly);
    }
    for (int i = 0; i < 200; ++i) rules.days_off.insert(some_day());
    for (int year = 2027; year < 2027 + kYears; ++year)  // a week off over each end of a year
      for (int k = 0; k < 9; ++k) rules.days_off.insert(Date(Days(day(year, 12, 24)) + std::chrono::days(k)));
    for (int i = 0; i < 60; ++i)
      rules.dates.push_back(
          {some_day(), pick(2) == 0 ? std::nullopt : std::optional(pick(49) * (kDayS / 48))});
    rules.dates.push_back({day(2028, 2, 29), 2 * 3600});
    rules.dates.push_back({day(2030, 12, 31), std::nullopt});
    rules.margin_s = pick(4) * 900;

    const double begin = midnight(day(2027, 1, 15));
    const double end = midnight(day(2026 + kYears, 12, 20));
    std::set<double> moments;
    for (auto at = Days(day(2026, 12, 1)); at < Days(day(2028 + kYears, 1, 1)); at += std::chrono::days(1))
      for (const auto& weekly : rules.weekly)
        if (!rules.days_off.contains(Date(at)) && weekly.days.contains(std::chrono::weekday(at).c_encoding()))
          moments.insert(expected(Date(at), weekly.time_of_day_s));
    for (const auto& filing : rules.dates) {
      auto at = Days(filing.date);
      while (rules.days_off.contains(Date(at))) at -= std::chrono::days(1);
      moments.insert(expected(Date(at), filing.time_of_day_s.value_or(kDayS)));
    }
    const Calendar calendar(rules, zone);
    double now = begin;
    std::size_t found = 0;
    for (auto moment = moments.upper_bound(begin + rules.margin_s); moment != moments.end() && *moment < end;
         ++moment, ++found) {
      const auto next = calendar.next(now);
      ASSERT_TRUE(next);
      ASSERT_EQ(*next, *moment - rules.margin_s) << zone.local_text(*moment);
      // The same from just before it, and a later one from its own moment on.
      ASSERT_EQ(calendar.next(*next - 0.001), next);
      ASSERT_GT(*calendar.next(*next), *next);
      now = *next;
    }
    EXPECT_GT(found, 300U);
  }
}

TEST(Calendar, FilingDateOnADayOff) {
  Rules rules{
      "c", "Europe/Oslo", {"x"}, {}, {{day(2027, 5, 17), 12 * 3600}}, {day(2027, 5, 16), day(2027, 5, 17)},
      600};
  EXPECT_EQ(working_day(rules, day(2027, 5, 17)), day(2027, 5, 15));
  const Calendar calendar(rules, oslo());
  const double by = expected(day(2027, 5, 15), 12 * 3600) - 600;
  EXPECT_EQ(calendar.next(by - 1), by);
  EXPECT_FALSE(calendar.next(by)) << "it was the only one";
}

TEST(Calendar, OneWhoseDaysAreAllOffHasNoCutoff) {
  Rules rules{"c", "Europe/Oslo", {"x"}, {{{1}, 3600}}, {}, {}, 0};
  for (int i = 0; i < 800; ++i) rules.days_off.insert(Date(Days(day(2027, 1, 1)) + std::chrono::days(i)));
  EXPECT_FALSE(Calendar(rules, oslo()).next(midnight(day(2027, 1, 5))));
}

// ---- how cutoffs stand

std::vector<DeadlineForecast::ForecastChange> look(DeadlineForecast& outlook, double now, double core_s,
                                                   DeadlineForecast::Supply supply, double cutoff = 10'000,
                                                   double task_s = 10) {
  outlook.start_update(now);
  if (core_s > 0) outlook.add_work("red", cutoff, core_s, task_s);
  return outlook.finish_update([&](const std::string&) { return supply; });
}

TEST(Outlook, SaysWhatCanBeHadAndOnlyWhatChanges) {
  using State = DeadlineForecast::State;
  DeadlineForecast outlook;
  const DeadlineForecast::Supply ten{10, 10, 0};  // 100,000 core-seconds until then
  auto told = look(outlook, 0, 50'000, ten);
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].state, State::on_time);
  EXPECT_EQ(outlook.reason("red", 10'000), "");
  EXPECT_TRUE(look(outlook, 10, 50'000, ten).empty()) << "told already";
  EXPECT_EQ(look(outlook, 0, 90'000, ten).at(0).state, State::tight);
  EXPECT_EQ(outlook.reason("red", 10'000), "tight");
  told = look(outlook, 0, 100'000 + 9 * 3600, ten);
  EXPECT_EQ(told.at(0).text, "short by 10 core-hours");
  EXPECT_TRUE(look(outlook, 0, 100'000 + 8 * 3600, ten).empty()) << "about as short as before";
  // What can be rented counts from when it is there.
  EXPECT_EQ(look(outlook, 0, 100'000 + 9 * 3600, {10, 20, 100}).at(0).state, State::on_time);
  EXPECT_EQ(look(outlook, 0, 100'000 + 9 * 3600, {10, 20, 9'000}).at(0).state, State::short_of);
  EXPECT_EQ(look(outlook, 0, 1e9, {10, INFINITY, 100}).at(0).state, State::on_time);
  // No number of machines helps a task that is longer than the time left.
  EXPECT_EQ(look(outlook, 9'500, 3600, {10, INFINITY, 100}, 10'000, 900).at(0).text, "short by 1 core-hours");
  EXPECT_EQ(look(outlook, 10'001, 3600, ten).at(0).text, "missed, 1 core-hours are left");
  EXPECT_TRUE(look(outlook, 10'002, 0, ten).empty());
  EXPECT_EQ(outlook.reason("red", 10'000), "");
}

// What is due earlier takes its part first.
TEST(Outlook, EarlierCutoffsComeOffTheRoomOfLaterOnes) {
  DeadlineForecast outlook;
  outlook.start_update(0);
  outlook.add_work("red", 1'000, 9'000, 10);
  outlook.add_work("red", 2'000, 9'000, 10);
  outlook.add_work("red", 2'500, 9'000, 10);
  outlook.add_work("blue", 2'500, 1'000, 10);
  const auto told = outlook.finish_update([](const std::string&) {
    return DeadlineForecast::Supply{10, 10, 0};
  });
  ASSERT_EQ(told.size(), 4U);
  for (const auto& item : told)
    EXPECT_EQ(item.state, item.team == "blue"    ? DeadlineForecast::State::on_time
                          : item.cutoff == 2'500 ? DeadlineForecast::State::short_of
                                                 : DeadlineForecast::State::tight)
        << item.team << item.cutoff;
}

}  // namespace
}  // namespace bankhill::calendar
