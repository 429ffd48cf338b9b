// Limits and shares of teams: the order during overload, bounds on usage across terms, and the pacing of
// clients that exceed a rate limit.
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

TEST(OverloadTest, BeginsAndEndsOnlyAfterItsConditionHasLasted) {
  OverloadDetector overload({10, 0.25, 0.1});
  for (double now = 0; now < 100; now += 1) {
    // Much capacity is missing most of the time, but never for ten seconds in a row.
    EXPECT_FALSE(overload.observe(now, 100, static_cast<int>(now) % 9 == 0 ? 20 : 60)) << now;
  }
  EXPECT_FALSE(overload.is_overloaded());
  for (double now = 100; now < 110; now += 1) EXPECT_FALSE(overload.observe(now, 100, 30));
  EXPECT_TRUE(overload.observe(110, 100, 30));
  EXPECT_TRUE(overload.is_overloaded());
  // Between the two thresholds the state does not change.
  for (double now = 111; now < 200; now += 1) EXPECT_FALSE(overload.observe(now, 100, 15));
  for (double now = 200; now < 210; now += 1) EXPECT_FALSE(overload.observe(now, 100, 0));
  EXPECT_TRUE(overload.observe(210, 0, 0));
  EXPECT_FALSE(overload.is_overloaded());
  EXPECT_EQ(overload.changed_at(), 210);
}

TEST(FairShareOrderTest, JobsInTimeGoFirstThenThoseWithTheLeastRemainingWork) {
  const TeamClass team_class{"red", "night"};
  const auto turns = fair_share_order({{team_class, 10, 500, true, 1},
                                       {team_class, 10, 900, false, 2},
                                       {team_class, 10, 40, true, 3},
                                       {team_class, 10, 300, false, 4}},
                                      {}, {{"red", 10}}, 0.25);
  EXPECT_LT(turns[3], turns[1]);
  EXPECT_LT(turns[1], turns[2]);
  EXPECT_LT(turns[2], turns[0]);
}

// One class of one team submits far more work than there is capacity for, while other classes and teams
// submit little. At any time each class has as much of its share as it can use, also beside the other class
// of its own team.
TEST(FairShareOrderTest, NoClassStarvesWhileAnotherIsOverloaded) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    const auto random_between = [&](int from, int to) {
      return std::uniform_int_distribution<int>(from, to)(random);
    };
    const std::map<std::string, double> weights{{"red", 60}, {"blue", 30}, {"guest", 0}};
    const std::vector<TeamClass> team_classes{{"red", "a"}, {"red", "b"}, {"blue", "a"}, {"guest", "a"}};
    // A guest team has no share of its own and gets the least of the other teams' shares.
    const std::vector<double> shares{30, 30, 30, 30};
    constexpr double kCores = 120;
    struct Job {
      WaitingJob waiting;
      double ends = 0;
    };
    std::vector<WaitingJob> waiting;
    // End and class of the running tasks, which hold one core each.
    std::vector<std::pair<double, TeamClass>> running;
    AllocatedCores allocated;
    for (double now = 0; now < 200; now += 1) {
      for (std::size_t i = 0; i < team_classes.size(); ++i) {
        const int submitted = i == 0 ? 12 : random_between(0, 2);
        for (int n = 0; n < submitted; ++n) {
          const double cores = random_between(1, 40);
          waiting.push_back({team_classes[i], cores, cores * random_between(5, 15), false, now});
        }
      }
      std::erase_if(running, [&](const auto& task) {
        if (task.first <= now) allocated[{task.second, false}] -= 1;
        return task.first <= now;
      });
      const auto turns = fair_share_order(waiting, allocated, weights, 0.25);
      std::vector<std::size_t> order(waiting.size());
      for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
      std::sort(order.begin(), order.end(), [&](auto a, auto b) { return turns[a] < turns[b]; });
      for (const auto job : order)
        while (waiting[job].cores > 0 && static_cast<double>(running.size()) < kCores) {
          waiting[job].cores -= 1;
          allocated[{waiting[job].team_class, false}] += 1;
          running.emplace_back(now + 10, waiting[job].team_class);
        }
      std::erase_if(waiting, [](const WaitingJob& job) { return job.cores <= 0; });
      if (now < 40) continue;
      for (std::size_t i = 0; i < team_classes.size(); ++i) {
        const bool has_waiting = std::any_of(waiting.begin(), waiting.end(), [&](const WaitingJob& job) {
          return job.team_class == team_classes[i];
        });
        // Half of the share is the threshold, since a single large job may go a little early or late.
        const double held = allocated[{team_classes[i], false}];
        EXPECT_TRUE(!has_waiting || held >= 0.5 * shares[i])
            << "seed " << seed << ", time " << now << ": starved: " << team_classes[i].first << " "
            << team_classes[i].second << " " << held;
      }
    }
  }
}

// Many clients submit at once, each to some controller, and return when they were told to. The rate limit is
// used up until the last client is served, and the clients are not refused many times each.
TEST(RetryAfterPacerTest, ManyClientsAreServedAtTheRateLimitWithFewRefusals) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> fraction(0, 1);
    constexpr int kControllers = 5;
    constexpr double kRate = 35;
    constexpr int kClients = 800;
    std::vector<RetryAfterPacer> pacers(kControllers, RetryAfterPacer({kRate / kControllers}));
    std::multimap<double, std::string> arrivals;
    for (int i = 0; i < kClients; ++i) arrivals.emplace(fraction(random), "job-" + std::to_string(i));
    double tokens = kRate;
    double refilled_at = 0;
    double last_arrival_at = 0;
    int refused = 0;
    while (!arrivals.empty()) {
      const auto [now, name] = *arrivals.begin();
      arrivals.erase(arrivals.begin());
      tokens = std::min(kRate, tokens + (now - refilled_at) * kRate);
      refilled_at = last_arrival_at = now;
      if (tokens >= 1) {
        tokens -= 1;
        for (auto& pacer : pacers) pacer.request_served(name);
        continue;
      }
      ++refused;
      auto& pacer = pacers[static_cast<std::size_t>(fraction(random) * kControllers)];
      const double delay_s = pacer.retry_after_s(now, name, fraction(random));
      EXPECT_GE(delay_s, 1);
      EXPECT_LE(delay_s, 30);
      arrivals.emplace(now + delay_s, name);
    }
    EXPECT_LT(last_arrival_at, 1.5 * kClients / kRate + 3) << "seed " << seed;
    EXPECT_LT(refused, 4 * kClients) << "seed " << seed;
    for (const auto& pacer : pacers) EXPECT_EQ(pacer.waiting_count(), 0U);
  }
}

wire::Resources cores(double count) { return {count, 0, 0}; }
constexpr double kUnlimited = std::numeric_limits<double>::infinity();

TEST(QuotaHighWaterTest, TrustsOnlyTheRecordOfThePreviousTerm) {
  QuotaHighWater bounds({{"red", {80, kUnlimited, 0}}}, 8);
  const wire::QuotaRecord record{6, {{"red", {20, kUnlimited, 0}}}};
  bounds.begin_term(record, 7);
  EXPECT_TRUE(bounds.is_record_trusted());
  EXPECT_EQ(bounds.max_unseen_usage("red", cores(1000)).cores, 20);
  bounds.inherited_task_seen("red", cores(15));
  EXPECT_EQ(bounds.max_unseen_usage("red", cores(1000)).cores, 5);
  EXPECT_EQ(bounds.max_unseen_usage("red", cores(2)).cores, 2);
  // The leader of a term in between may not have known of bounds: tasks up to the limit may run.
  bounds.begin_term(record, 8);
  EXPECT_FALSE(bounds.is_record_trusted());
  EXPECT_EQ(bounds.max_unseen_usage("red", cores(1000)).cores, 80);
  bounds.begin_term(std::nullopt, 9);
  EXPECT_EQ(bounds.max_unseen_usage("red", cores(1000)).cores, 80);
  EXPECT_EQ(bounds.max_unseen_usage("no limit", cores(1000)).cores, 0);
}

// Guards against cutting inherited usage to the current limit: between two terms operators may lower a limit,
// or set one for a team that had none.
TEST(QuotaHighWaterTest, ALoweredLimitDoesNotHideInheritedUsage) {
  QuotaHighWater bounds({{"red", {24, kUnlimited, 0}}, {"blue", {24, kUnlimited, 0}}}, 8);
  bounds.begin_term(wire::QuotaRecord{6, {{"red", {40, kUnlimited, 0}}}}, 7);
  ASSERT_TRUE(bounds.is_record_trusted());
  bounds.inherited_task_seen("red", cores(30));
  EXPECT_EQ(bounds.max_unseen_usage("red", cores(1000)).cores, 10);
  EXPECT_EQ(bounds.max_unseen_usage("blue", cores(1000)).cores, 1000);
}

TEST(QuotaHighWaterTest, ATaskLargerThanAStepIsCoveredOnceTheBoundIsStored) {
  QuotaHighWater bounds({{"red", {8, kUnlimited, 0}}}, 8);
  bounds.begin_term(std::nullopt, 1);
  ASSERT_TRUE(bounds.next_record({}, 1, false));
  bounds.record_stored();
  EXPECT_FALSE(bounds.covers("red", cores(4), 1));
  const auto raised = bounds.next_record({}, 1, false);
  ASSERT_TRUE(raised);
  EXPECT_FALSE(bounds.covers("red", cores(4), 1)) << "allowed before the raised bound was stored";
  bounds.record_stored();
  EXPECT_TRUE(bounds.covers("red", cores(4), 1));
}

// Leaders follow one another, and each term may end at any moment. Some leaders do not know of bounds. Their
// records are stored late, are lost, or are stored only when the next term begins. The running tasks must
// never exceed the limit, nor the bound that the next leader would trust.
TEST(QuotaHighWaterTest, UsageStaysWithinLimitAndStoredBoundOverRandomTerms) {
  std::uint64_t trusted = 0;
  std::uint64_t starts = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    const auto random_below = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
    constexpr double kLimit = 40;
    struct Task {
      std::uint64_t term = 0;
      double cores = 0;
      int machine = 0;
    };
    std::vector<Task> running;
    std::optional<wire::QuotaRecord> stored;
    std::uint64_t term = 0;
    for (int round = 0; round < 12; ++round) {
      ++term;
      QuotaHighWater bounds({{"red", {kLimit, kUnlimited, 0}}}, 1 + random_below(10));
      bounds.begin_term(stored, term);
      trusted += bounds.is_record_trusted() ? 1 : 0;
      const bool leader_uses_bounds = random_below(4) > 0;
      std::set<int> unconfirmed{0, 1, 2, 3};
      constexpr double kMachineCores = 16;
      // The tasks that the leader knows of.
      std::vector<Task> known;
      std::optional<wire::QuotaRecord> in_flight;
      const auto highest_usage = [&] {
        double sum = 0;
        for (const auto& task : known) sum += task.cores;
        const auto size = cores(kMachineCores * static_cast<double>(unconfirmed.size()));
        return sum + (leader_uses_bounds ? bounds.max_unseen_usage("red", size).cores : size.cores);
      };
      for (int step = random_below(60); step > 0; --step) {
        const int event = random_below(10);
        if (event < 5) {
          const double task_cores = 1 + random_below(6);
          if (highest_usage() + task_cores > kLimit) continue;
          const int machine = random_below(4);
          double machine_cores = task_cores;
          for (const auto& task : running) machine_cores += task.machine == machine ? task.cores : 0;
          if (unconfirmed.contains(machine) || machine_cores > kMachineCores) continue;
          if (leader_uses_bounds && !bounds.covers("red", cores(highest_usage() + task_cores), term))
            continue;
          running.push_back({term, task_cores, machine});
          known.push_back(running.back());
          ++starts;
        } else if (event < 7 && !known.empty()) {  // A task ends.
          const auto ended = known.begin() + random_below(static_cast<int>(known.size()));
          const auto found = std::find_if(running.begin(), running.end(), [&](const Task& task) {
            return task.term == ended->term && task.cores == ended->cores && task.machine == ended->machine;
          });
          if (found != running.end()) running.erase(found);
          known.erase(ended);
        } else if (event == 7 && !unconfirmed.empty()) {  // A machine with inherited tasks is confirmed.
          const int machine = *unconfirmed.begin();
          unconfirmed.erase(machine);
          for (const auto& task : running)
            if (task.term < term && task.machine == machine) {
              if (leader_uses_bounds) bounds.inherited_task_seen("red", cores(task.cores));
              known.push_back(task);
            }
        } else if (leader_uses_bounds && in_flight) {
          // The record is stored, or only the response is lost and the write is repeated.
          if (random_below(4) > 0) stored = in_flight;
          if (stored == in_flight && random_below(4) > 0) {
            bounds.record_stored();
            in_flight.reset();
          }
        } else if (leader_uses_bounds) {
          in_flight = bounds.next_record({{"red", cores(highest_usage())}}, term, random_below(3) == 0);
        }
        double running_cores = 0;
        for (const auto& task : running) running_cores += task.cores;
        ASSERT_LE(running_cores, kLimit) << "seed " << seed << ", round " << round;
        if (stored && stored->term == term) {
          ASSERT_LE(running_cores, stored->teams.at("red").cores + 1e-6)
              << "seed " << seed << ", round " << round;
        }
      }
      // The record is stored after the term has ended and before the next leader is elected.
      if (in_flight && random_below(2) == 0) stored = in_flight;
    }
  }
  EXPECT_GT(trusted, 200U);
  EXPECT_GT(starts, 5000U);
}

TEST(QuotaHighWaterTest, RecordsAreReadAsWrittenAndInvalidOnesAreRejected) {
  const wire::QuotaRecord record{9, {{"red", {20, kUnlimited, 0}}, {"blue", {0, 4, 0}}}};
  EXPECT_EQ(wire::parse_quota_record(wire::to_json(record)), record);
  EXPECT_THROW(wire::parse_quota_record(wire::Json{{"term", 9}}), wire::ProtocolError);
  EXPECT_THROW(wire::parse_quota_record(wire::Json{{"term", 9}, {"teams", {{"red", {{"cores", -1}}}}}}),
               wire::ProtocolError);
}

}  // namespace
}  // namespace bankhill::fair_share
