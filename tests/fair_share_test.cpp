// Limits and shares: order in overload, team bounds across terms, those turned away.
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <random>

#include "fair_share/fair_share_order.hpp"
#include "fair_share/overload_detector.hpp"
#include "fair_share/quota_high_water.hpp"
#include "fair_share/retry_after_pacer.hpp"

namespace bankhill::fair_share {
namespace {

TEST(OverloadTest, BeginsAndEndsOnceItHasLasted) {
  OverloadDetector overload({10, 0.25, 0.1});
  for (double now = 0; now < 100; now += 1) {
    // Now and then more is wanted than there is, never for as long as ten seconds.
    EXPECT_FALSE(overload.observe(now, 100, static_cast<int>(now) % 9 == 0 ? 20 : 60)) << now;
  }
  EXPECT_FALSE(overload.on());
  for (double now = 100; now < 110; now += 1) EXPECT_FALSE(overload.observe(now, 100, 30));
  EXPECT_TRUE(overload.observe(110, 100, 30));
  EXPECT_TRUE(overload.on());
  // Between the two marks it stays as it is.
  for (double now = 111; now < 200; now += 1) EXPECT_FALSE(overload.observe(now, 100, 15));
  for (double now = 200; now < 210; now += 1) EXPECT_FALSE(overload.observe(now, 100, 0));
  EXPECT_TRUE(overload.observe(210, 0, 0));
  EXPECT_FALSE(overload.on());
  EXPECT_EQ(overload.since(), 210);
}

TEST(TurnsTest, WhatIsInTimeGoesFirstThenWhatIsNearestToItsEnd) {
  const Party party{"red", "night"};
  const auto order = fair_share_order({{party, 10, 500, true, 1},
                                       {party, 10, 900, false, 2},
                                       {party, 10, 40, true, 3},
                                       {party, 10, 300, false, 4}},
                                      {}, {{"red", 10}}, 0.25);
  EXPECT_LT(order[3], order[1]);
  EXPECT_LT(order[1], order[2]);
  EXPECT_LT(order[2], order[0]);
}

// A flood of one team and class among others with little work, served by a few cores for as long as it lasts:
// each party has what it can use of its share at any time, and nobody's class starves behind another of its
// team.
TEST(TurnsTest, NobodyStarvesInAnothersFlood) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    const auto number = [&](int from, int to) {
      return std::uniform_int_distribution<int>(from, to)(random);
    };
    const std::map<std::string, double> weights{{"red", 60}, {"blue", 30}, {"guest", 0}};
    const std::vector<Party> parties{{"red", "a"}, {"red", "b"}, {"blue", "a"}, {"guest", "a"}};
    // A guest team has no share of its own: it gets the least of the others'.
    const std::vector<double> shares{30, 30, 30, 30};
    constexpr double kCores = 120;
    struct Job {
      Waiting waiting;
      double ends = 0;
    };
    std::vector<Waiting> waiting;
    std::vector<std::pair<double, Party>> running;  // a core each, until
    Held held;
    for (double now = 0; now < 200; now += 1) {
      for (std::size_t i = 0; i < parties.size(); ++i) {
        const int came = i == 0 ? 12 : number(0, 2);
        for (int n = 0; n < came; ++n) {
          const double cores = number(1, 40);
          waiting.push_back({parties[i], cores, cores * number(5, 15), false, now});
        }
      }
      std::erase_if(running, [&](const auto& task) {
        if (task.first <= now) held[{task.second, false}] -= 1;
        return task.first <= now;
      });
      const auto order = fair_share_order(waiting, held, weights, 0.25);
      std::vector<std::size_t> next(waiting.size());
      for (std::size_t i = 0; i < next.size(); ++i) next[i] = i;
      std::sort(next.begin(), next.end(), [&](auto a, auto b) { return order[a] < order[b]; });
      for (const auto job : next)
        while (waiting[job].cores > 0 && static_cast<double>(running.size()) < kCores) {
          waiting[job].cores -= 1;
          held[{waiting[job].party, false}] += 1;
          running.emplace_back(now + 10, waiting[job].party);
        }
      std::erase_if(waiting, [](const Waiting& job) { return job.cores <= 0; });
      if (now < 40) continue;
      for (std::size_t i = 0; i < parties.size(); ++i) {
        const bool wants = std::any_of(waiting.begin(), waiting.end(),
                                       [&](const Waiting& job) { return job.party == parties[i]; });
        // One array at a time may be a little early or late.
        const double holds = held[{parties[i], false}];
        EXPECT_TRUE(!wants || holds >= 0.5 * shares[i])
            << "seed " << seed << ", " << now << ": starved " << parties[i].first << " " << parties[i].second
            << " " << holds;
      }
    }
  }
}

// All of a crowd come at once, each to some controller, and come back when they are told. The limit is used
// up to the end, and nobody is told to come again many times.
TEST(TurnedAwayTest, ACrowdIsServedAtTheLimitAndAsksSeldomInVain) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> chance(0, 1);
    constexpr int kControllers = 5;
    constexpr double kRate = 35;
    constexpr int kCrowd = 800;
    std::vector<RetryAfterPacer> doors(kControllers, RetryAfterPacer({kRate / kControllers}));
    std::multimap<double, std::string> coming;
    for (int i = 0; i < kCrowd; ++i) coming.emplace(chance(random), "job-" + std::to_string(i));
    double tokens = kRate;
    double filled = 0;
    double last = 0;
    int in_vain = 0;
    while (!coming.empty()) {
      const auto [now, name] = *coming.begin();
      coming.erase(coming.begin());
      tokens = std::min(kRate, tokens + (now - filled) * kRate);
      filled = last = now;
      if (tokens >= 1) {
        tokens -= 1;
        for (auto& door : doors) door.request_served(name);
        continue;
      }
      ++in_vain;
      auto& door = doors[static_cast<std::size_t>(chance(random) * kControllers)];
      const double wait = door.retry_after_s(now, name, chance(random));
      EXPECT_GE(wait, 1);
      EXPECT_LE(wait, 30);
      coming.emplace(now + wait, name);
    }
    EXPECT_LT(last, 1.5 * kCrowd / kRate + 3) << "seed " << seed;
    EXPECT_LT(in_vain, 4 * kCrowd) << "seed " << seed;
    for (const auto& door : doors) EXPECT_EQ(door.waiting(), 0U);
  }
}

wire::Resources cores(double count) { return {count, 0, 0}; }
constexpr double kNone = std::numeric_limits<double>::infinity();

TEST(BoundsTest, OnlyTheRecordOfTheTermBeforeIsBelieved) {
  QuotaHighWater bounds({{"red", {80, kNone, 0}}}, 8);
  const wire::QuotaRecord record{6, {{"red", {20, kNone, 0}}}};
  bounds.begin_term(record, 7);
  EXPECT_TRUE(bounds.is_record_trusted());
  EXPECT_EQ(bounds.max_unseen_usage("red", cores(1000)).cores, 20);
  bounds.inherited_task_seen("red", cores(15));
  EXPECT_EQ(bounds.max_unseen_usage("red", cores(1000)).cores, 5);
  EXPECT_EQ(bounds.max_unseen_usage("red", cores(2)).cores, 2);
  // Another leader came in between, perhaps one that knows of no bounds: anything up to the limit may run.
  bounds.begin_term(record, 8);
  EXPECT_FALSE(bounds.is_record_trusted());
  EXPECT_EQ(bounds.max_unseen_usage("red", cores(1000)).cores, 80);
  bounds.begin_term(std::nullopt, 9);
  EXPECT_EQ(bounds.max_unseen_usage("red", cores(1000)).cores, 80);
  EXPECT_EQ(bounds.max_unseen_usage("no limit", cores(1000)).cores, 0);
}

// Operators lower a limit, or give a team one that had none, between two terms.
TEST(BoundsTest, ALimitThatWasLoweredHidesNothing) {
  QuotaHighWater bounds({{"red", {24, kNone, 0}}, {"blue", {24, kNone, 0}}}, 8);
  bounds.begin_term(wire::QuotaRecord{6, {{"red", {40, kNone, 0}}}}, 7);
  ASSERT_TRUE(bounds.is_record_trusted());
  bounds.inherited_task_seen("red", cores(30));
  EXPECT_EQ(bounds.max_unseen_usage("red", cores(1000)).cores, 10);
  EXPECT_EQ(bounds.max_unseen_usage("blue", cores(1000)).cores, 1000);
}

TEST(BoundsTest, ATaskLargerThanAStepIsCoveredInTheEnd) {
  QuotaHighWater bounds({{"red", {8, kNone, 0}}}, 8);
  bounds.begin_term(std::nullopt, 1);
  ASSERT_TRUE(bounds.next_record({}, 1, false));
  bounds.record_stored();
  EXPECT_FALSE(bounds.covers("red", cores(4), 1));
  const auto raised = bounds.next_record({}, 1, false);
  ASSERT_TRUE(raised);
  EXPECT_FALSE(bounds.covers("red", cores(4), 1)) << "used before it is committed";
  bounds.record_stored();
  EXPECT_TRUE(bounds.covers("red", cores(4), 1));
}

// Leaders one after the other, each ending at any moment, some that know of no bounds; their records arrive
// late, are lost, or fail for the next term. What runs never exceeds the limit, nor what a next leader would
// believe.
TEST(BoundsTest, RandomReignsNeverOvershoot) {
  std::uint64_t believed = 0;
  std::uint64_t starts = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
    constexpr double kLimit = 40;
    struct Task {
      std::uint64_t term = 0;
      double need = 0;
      int machine = 0;
    };
    std::vector<Task> tasks;  // that run
    std::optional<wire::QuotaRecord> stored;
    std::uint64_t term = 0;
    for (int round = 0; round < 12; ++round) {
      ++term;
      QuotaHighWater bounds({{"red", {kLimit, kNone, 0}}}, 1 + below(10));
      bounds.begin_term(stored, term);
      believed += bounds.is_record_trusted() ? 1 : 0;
      const bool knows = below(4) > 0;
      std::set<int> unheard{0, 1, 2, 3};
      constexpr double kMachine = 16;
      std::vector<Task> known;
      std::optional<wire::QuotaRecord> on_its_way;
      const auto use = [&] {
        double sum = 0;
        for (const auto& task : known) sum += task.need;
        const auto size = cores(kMachine * static_cast<double>(unheard.size()));
        return sum + (knows ? bounds.max_unseen_usage("red", size).cores : size.cores);
      };
      for (int step = below(60); step > 0; --step) {
        const int what = below(10);
        if (what < 5) {
          const double need = 1 + below(6);
          if (use() + need > kLimit) continue;
          const int machine = below(4);
          double there = need;
          for (const auto& task : tasks) there += task.machine == machine ? task.need : 0;
          if (unheard.contains(machine) || there > kMachine) continue;
          if (knows && !bounds.covers("red", cores(use() + need), term)) continue;
          tasks.push_back({term, need, machine});
          known.push_back(tasks.back());
          ++starts;
        } else if (what < 7 && !known.empty()) {  // one ends
          const auto over = known.begin() + below(static_cast<int>(known.size()));
          const auto at = std::find_if(tasks.begin(), tasks.end(), [&](const Task& task) {
            return task.term == over->term && task.need == over->need && task.machine == over->machine;
          });
          if (at != tasks.end()) tasks.erase(at);
          known.erase(over);
        } else if (what == 7 && !unheard.empty()) {  // a machine of earlier leaders is heard
          const int machine = *unheard.begin();
          unheard.erase(machine);
          for (const auto& task : tasks)
            if (task.term < term && task.machine == machine) {
              if (knows) bounds.inherited_task_seen("red", cores(task.need));
              known.push_back(task);
            }
        } else if (knows && on_its_way) {  // it arrives, or its answer is lost and it is sent again
          if (below(4) > 0) stored = on_its_way;
          if (stored == on_its_way && below(4) > 0) {
            bounds.record_stored();
            on_its_way.reset();
          }
        } else if (knows) {
          on_its_way = bounds.next_record({{"red", cores(use())}}, term, below(3) == 0);
        }
        double runs = 0;
        for (const auto& task : tasks) runs += task.need;
        ASSERT_LE(runs, kLimit) << "seed " << seed << ", round " << round;
        if (stored && stored->term == term) {
          ASSERT_LE(runs, stored->teams.at("red").cores + 1e-6) << "seed " << seed << ", round " << round;
        }
      }
      if (on_its_way && below(2) == 0) stored = on_its_way;  // before the next leader wins
    }
  }
  EXPECT_GT(believed, 200U);
  EXPECT_GT(starts, 5000U);
}

TEST(BoundsTest, RecordsAreReadAsTheyWereWritten) {
  const wire::QuotaRecord record{9, {{"red", {20, kNone, 0}}, {"blue", {0, 4, 0}}}};
  EXPECT_EQ(wire::parse_quota_record(wire::to_json(record)), record);
  EXPECT_THROW(wire::parse_quota_record(wire::Json{{"term", 9}}), wire::ProtocolError);
  EXPECT_THROW(wire::parse_quota_record(wire::Json{{"term", 9}, {"teams", {{"red", {{"cores", -1}}}}}}),
               wire::ProtocolError);
}

}  // namespace
}  // namespace bankhill::fair_share
