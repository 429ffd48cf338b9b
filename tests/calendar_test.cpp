// Tests of deadline calendars and forecasts. Cutoffs over ten years are compared with a second implementation
// of the clock-change rule that does not use the library's time-zone tables.
#include "calendar/calendar.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "calendar/deadline_forecast.hpp"

namespace bankhill::calendar {
namespace {

using SysDays = std::chrono::sys_days;
constexpr double kSecondsPerHour = 3600;
constexpr int kYears = 10;

Date make_date(int year, unsigned month, unsigned day_of_month) {
  return {std::chrono::year(year), std::chrono::month(month), std::chrono::day(day_of_month)};
}

double midnight(const Date& date) {
  return static_cast<double>(SysDays(date).time_since_epoch().count()) * kDayS;
}

// Unix time of the clock change in Oslo: 01:00 UTC on the last Sunday of March and of October.
double clock_change(int year, unsigned month) {
  const Date last{std::chrono::year_month_weekday_last(std::chrono::year(year), std::chrono::month(month),
                                                       std::chrono::weekday_last(std::chrono::Sunday))};
  return midnight(last) + kSecondsPerHour;
}

double utc_offset(double wall) {
  const int year =
      static_cast<int>(Date(SysDays(std::chrono::days(static_cast<int>(std::floor(wall / kDayS))))).year());
  return wall >= clock_change(year, 3) && wall < clock_change(year, 10) ? 2 * kSecondsPerHour
                                                                        : kSecondsPerHour;
}

// The first Unix time at which clocks in Oslo show this local time or a later one.
double expected_unix_time(const Date& date, int time_of_day_s) {
  const double local = midnight(date) + time_of_day_s;
  double first = INFINITY;
  for (const double unix_s :
       {local - 2 * kSecondsPerHour, local - kSecondsPerHour, clock_change(static_cast<int>(date.year()), 3)})
    if (unix_s + utc_offset(unix_s) >= local) first = std::min(first, unix_s);
  return first;
}

Zone oslo() { return *Zone::load("Europe/Oslo"); }

TEST(Zone, ConvertsEveryHalfHourOfTenYears) {
  const auto zone = oslo();
  int skipped = 0;
  for (auto at = SysDays(make_date(2027, 1, 1)); at < SysDays(make_date(2027 + kYears, 1, 1));
       at += std::chrono::days(1))
    for (int time_of_day_s = 0; time_of_day_s <= kDayS; time_of_day_s += kDayS / 48) {
      ASSERT_EQ(zone.unix_time(Date(at), time_of_day_s), expected_unix_time(Date(at), time_of_day_s))
          << format_date(Date(at)) << " " << time_of_day_s;
      skipped += zone.is_skipped(Date(at), time_of_day_s) ? 1 : 0;
    }
  EXPECT_EQ(skipped, 2 * kYears) << "02:00 and 02:30 of ten days";
}

// In Oslo 02:30 is skipped on 2027-03-28 and occurs twice on 2027-10-31. Lord Howe Island changes its clocks
// by half an hour.
TEST(Zone, ConvertsSkippedAndRepeatedLocalTimes) {
  const auto zone = oslo();
  EXPECT_EQ(zone.unix_time(make_date(2027, 3, 28), 2 * 3600 + 1800), clock_change(2027, 3));
  EXPECT_EQ(zone.unix_time(make_date(2027, 10, 31), 2 * 3600 + 1800),
            clock_change(2027, 10) - kSecondsPerHour / 2);
  const auto lord_howe = Zone::load("Australia/Lord_Howe");
  ASSERT_TRUE(lord_howe);
  EXPECT_TRUE(lord_howe->is_skipped(make_date(2027, 10, 3), 2 * 3600 + 900));
  EXPECT_EQ(lord_howe->unix_time(make_date(2027, 10, 3), 2 * 3600 + 900),
            lord_howe->unix_time(make_date(2027, 10, 3), 2 * 3600 + 1800));
}

// Guards against zone names that two machines could interpret differently.
TEST(Zone, LoadsOnlyDatabaseNames) {
  for (const auto* name :
       {"", "localtime", "/etc/localtime", "../etc/passwd", "Europe/Bergen", "Fixed/UTC+01:00:00"})
    EXPECT_FALSE(Zone::load(name)) << name;
  EXPECT_TRUE(Zone::load("Europe/Budapest"));
}

TEST(Calendar, RejectsDatesAndTimesThatDoNotExist) {
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

// Over ten years, random calendars must give exactly the cutoffs found by going through every day.
TEST(Calendar, MatchesDayByDayReferenceOverTenYears) {
  const auto zone = oslo();
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const auto random_below = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
    const auto random_date = [&] {
      return Date(SysDays(make_date(2027, 1, 1)) + std::chrono::days(random_below(365 * kYears)));
    };
    Rules rules{"c", "Europe/Oslo", {"x"}, {}, {}, {}, 0};
    for (int i = 0; i < 1 + random_below(3); ++i) {
      WeeklyCutoff weekly{{}, random_below(49) * (kDayS / 48)};
      for (int k = 0; k < 1 + random_below(5); ++k)
        weekly.days.insert(static_cast<unsigned>(random_below(7)));
      rules.weekly.push_back(weekly);
    }
    for (int i = 0; i < 200; ++i) rules.days_off.insert(random_date());
    for (int year = 2027; year < 2027 + kYears; ++year)  // days off around each end of a year
      for (int k = 0; k < 9; ++k)
        rules.days_off.insert(Date(SysDays(make_date(year, 12, 24)) + std::chrono::days(k)));
    for (int i = 0; i < 60; ++i)
      rules.dates.push_back({random_date(), random_below(2) == 0
                                                ? std::nullopt
                                                : std::optional(random_below(49) * (kDayS / 48))});
    rules.dates.push_back({make_date(2028, 2, 29), 2 * 3600});
    rules.dates.push_back({make_date(2030, 12, 31), std::nullopt});
    rules.margin_s = random_below(4) * 900;

    const double begin = midnight(make_date(2027, 1, 15));
    const double end = midnight(make_date(2026 + kYears, 12, 20));
    std::set<double> expected_cutoffs;
    for (auto at = SysDays(make_date(2026, 12, 1)); at < SysDays(make_date(2028 + kYears, 1, 1));
         at += std::chrono::days(1))
      for (const auto& weekly : rules.weekly)
        if (!rules.days_off.contains(Date(at)) && weekly.days.contains(std::chrono::weekday(at).c_encoding()))
          expected_cutoffs.insert(expected_unix_time(Date(at), weekly.time_of_day_s));
    for (const auto& filing : rules.dates) {
      auto at = SysDays(filing.date);
      while (rules.days_off.contains(Date(at))) at -= std::chrono::days(1);
      expected_cutoffs.insert(expected_unix_time(Date(at), filing.time_of_day_s.value_or(kDayS)));
    }
    const Calendar calendar(rules, zone);
    double now = begin;
    std::size_t checked = 0;
    for (auto cutoff = expected_cutoffs.upper_bound(begin + rules.margin_s);
         cutoff != expected_cutoffs.end() && *cutoff < end; ++cutoff, ++checked) {
      const auto next = calendar.next_cutoff(now);
      ASSERT_TRUE(next);
      ASSERT_EQ(*next, *cutoff - rules.margin_s) << zone.format_local_time(*cutoff);
      // Just before a cutoff the result is that cutoff; at the cutoff it is a later one.
      ASSERT_EQ(calendar.next_cutoff(*next - 0.001), next);
      ASSERT_GT(*calendar.next_cutoff(*next), *next);
      now = *next;
    }
    EXPECT_GT(checked, 300U);
  }
}

TEST(Calendar, MovesFilingDateFromDayOffToLastWorkingDay) {
  Rules rules{"c",
              "Europe/Oslo",
              {"x"},
              {},
              {{make_date(2027, 5, 17), 12 * 3600}},
              {make_date(2027, 5, 16), make_date(2027, 5, 17)},
              600};
  EXPECT_EQ(last_working_day(rules, make_date(2027, 5, 17)), make_date(2027, 5, 15));
  const Calendar calendar(rules, oslo());
  const double cutoff = expected_unix_time(make_date(2027, 5, 15), 12 * 3600) - 600;
  EXPECT_EQ(calendar.next_cutoff(cutoff - 1), cutoff);
  EXPECT_FALSE(calendar.next_cutoff(cutoff)) << "there is no other cutoff";
}

TEST(Calendar, HasNoCutoffWhenAllDaysAreOff) {
  Rules rules{"c", "Europe/Oslo", {"x"}, {{{1}, 3600}}, {}, {}, 0};
  for (int i = 0; i < 800; ++i)
    rules.days_off.insert(Date(SysDays(make_date(2027, 1, 1)) + std::chrono::days(i)));
  EXPECT_FALSE(Calendar(rules, oslo()).next_cutoff(midnight(make_date(2027, 1, 5))));
}

// ---- deadline forecast

std::vector<DeadlineForecast::ForecastChange> update_forecast(DeadlineForecast& forecast, double now,
                                                              double core_s, DeadlineForecast::Supply supply,
                                                              double cutoff = 10'000, double task_s = 10) {
  forecast.start_update(now);
  if (core_s > 0) forecast.add_work("red", cutoff, core_s, task_s);
  return forecast.finish_update([&](const std::string&) { return supply; });
}

TEST(DeadlineForecast, ReportsStateOnlyWhenItChanges) {
  using State = DeadlineForecast::State;
  DeadlineForecast forecast;
  const DeadlineForecast::Supply ten_cores{10, 10, 0};  // 100,000 core-seconds until the cutoff
  auto changes = update_forecast(forecast, 0, 50'000, ten_cores);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].state, State::on_time);
  EXPECT_EQ(forecast.reason("red", 10'000), "");
  EXPECT_TRUE(update_forecast(forecast, 10, 50'000, ten_cores).empty()) << "already reported";
  EXPECT_EQ(update_forecast(forecast, 0, 90'000, ten_cores).at(0).state, State::tight);
  EXPECT_EQ(forecast.reason("red", 10'000), "tight");
  changes = update_forecast(forecast, 0, 100'000 + 9 * 3600, ten_cores);
  EXPECT_EQ(changes.at(0).text, "short by 10 core-hours");
  EXPECT_TRUE(update_forecast(forecast, 0, 100'000 + 8 * 3600, ten_cores).empty())
      << "the rounded shortfall has not changed";
  // Cores that can be rented count from the time at which they are available.
  EXPECT_EQ(update_forecast(forecast, 0, 100'000 + 9 * 3600, {10, 20, 100}).at(0).state, State::on_time);
  EXPECT_EQ(update_forecast(forecast, 0, 100'000 + 9 * 3600, {10, 20, 9'000}).at(0).state,
            State::insufficient);
  EXPECT_EQ(update_forecast(forecast, 0, 1e9, {10, INFINITY, 100}).at(0).state, State::on_time);
  // No number of machines helps a task that takes longer than the time left.
  EXPECT_EQ(update_forecast(forecast, 9'500, 3600, {10, INFINITY, 100}, 10'000, 900).at(0).text,
            "short by 1 core-hours");
  EXPECT_EQ(update_forecast(forecast, 10'001, 3600, ten_cores).at(0).text, "missed, 1 core-hours are left");
  EXPECT_TRUE(update_forecast(forecast, 10'002, 0, ten_cores).empty());
  EXPECT_EQ(forecast.reason("red", 10'000), "");
}

// Work that is due earlier uses the available core-seconds first.
TEST(DeadlineForecast, EarlierCutoffsReduceCapacityForLaterOnes) {
  DeadlineForecast forecast;
  forecast.start_update(0);
  forecast.add_work("red", 1'000, 9'000, 10);
  forecast.add_work("red", 2'000, 9'000, 10);
  forecast.add_work("red", 2'500, 9'000, 10);
  forecast.add_work("blue", 2'500, 1'000, 10);
  const auto changes = forecast.finish_update([](const std::string&) {
    return DeadlineForecast::Supply{10, 10, 0};
  });
  ASSERT_EQ(changes.size(), 4U);
  for (const auto& item : changes)
    EXPECT_EQ(item.state, item.team == "blue"    ? DeadlineForecast::State::on_time
                          : item.cutoff == 2'500 ? DeadlineForecast::State::insufficient
                                                 : DeadlineForecast::State::tight)
        << item.team << item.cutoff;
}

}  // namespace
}  // namespace bankhill::calendar
