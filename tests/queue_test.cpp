// The order of waiting work: against a plain sort, and what it costs to keep.
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <random>
#include <tuple>

#include "queue/job_queue.hpp"

namespace bankhill::queue {
namespace {

using model::Job;

wire::JobId id_of(int number) { return wire::JobId{"job-" + std::to_string(number)}; }

struct World {
  std::map<wire::JobId, Job> jobs;
  std::set<wire::JobId> blocked;
  std::set<std::string> borrowing;  // teams beyond their guarantee
  JobQueue queue;

  explicit World(Objectives goals = {})
      : queue({3, 15, std::move(goals), {{"red", 60}, {"blue", 30}}, 240, 0.5},
              {[this](const Job& job) { return job.ready_count > 0 && !blocked.contains(job.spec.id); },
               [this](const Job& job) { return !borrowing.contains(job.spec.team); },
               [](const Job&) { return Deadline{}; }}) {}

  Job& add(int number, const std::string& team, const std::string& kind, std::uint32_t tasks, double guess_s,
           double accepted_at) {
    auto& job = jobs[id_of(number)];
    job.spec.id = id_of(number);
    job.spec.team = team;
    job.spec.job_class = kind;
    job.spec.kind = wire::JobKind::array;
    job.spec.task_count = tasks;
    job.spec.request = {1, 0, 0};
    job.spec.estimated_runtime_s = guess_s;
    job.accepted_at = job.eligible_at = accepted_at;
    job.reset_task_progress();
    queue.note_accepted(job);
    queue.enqueue(job);
    return job;
  }

  // What Queue says, and what a plain sort of all that may start does.
  void expect_sorted(double wall, const Objectives& goals, const std::vector<Candidate>& order) const {
    using Key = std::tuple<bool, bool, bool, double, double, wire::JobId>;
    std::vector<Key> wanted;
    for (const auto& [id, job] : jobs) {
      if (queue.find(id) == nullptr || job.ready_count == 0 || blocked.contains(id)) continue;
      const bool borrows = job.faulty || borrowing.contains(job.spec.team);
      const double rest = job.faulty         ? std::numeric_limits<double>::max()
                          : job.is_service() ? 0
                                             : slack(goals, job, {}, wall);
      wanted.emplace_back(!job.is_service(), true, borrows, rest, job.eligible_at, id);
      // The floor: of the largest one task goes before all others once it has waited for half of four
      // minutes.
      if (!job.is_service() && !job.faulty && queue.is_among_largest(job) && wall - job.eligible_at >= 120)
        wanted.emplace_back(true, false, false, 0, job.eligible_at, id);
    }
    std::sort(wanted.begin(), wanted.end());
    std::vector<Key> got;
    for (const auto& item : order)
      got.emplace_back(item.order_key.batch, item.order_key.may_wait, item.order_key.borrows,
                       item.order_key.rest, item.order_key.age, item.id);
    EXPECT_TRUE(std::is_sorted(got.begin(), got.end(), [](const Key& a, const Key& b) {
      return std::tie(std::get<0>(a), std::get<1>(a), std::get<2>(a), std::get<3>(a), std::get<4>(a)) <
             std::tie(std::get<0>(b), std::get<1>(b), std::get<2>(b), std::get<3>(b), std::get<4>(b));
    }));
    std::sort(got.begin(), got.end());
    EXPECT_EQ(got, wanted);
  }
};

TEST(QueueTest, ByServiceGuaranteeSlackAndAgeAsAPlainSort) {
  const Objectives goals{{{"night", {120, 200}}}, {{"due", {1, 2}}}};
  for (unsigned seed = 1; seed <= 30; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
    World cluster(goals);
    double now = 0;
    int number = 0;
    for (int step = 0; step < 60; ++step) {
      now += 1;
      for (int n = below(6); n > 0; --n) {
        auto& job = cluster.add(++number, below(2) == 0 ? "red" : "blue", below(2) == 0 ? "night" : "due",
                                1 + static_cast<std::uint32_t>(below(50)), 1 + below(30), now - below(200));
        if (job.spec.job_class == "due") job.spec.deadline_s = 20 + below(200);
        if (below(8) == 0) job.spec.kind = wire::JobKind::service;
        job.faulty = !job.is_service() && below(10) == 0;
      }
      if (below(4) == 0) cluster.queue.remove(id_of(1 + below(number + 1)));
      if (below(4) == 0) cluster.blocked.insert(id_of(1 + below(number + 1)));
      if (below(4) == 0) cluster.blocked.clear();
      if (below(6) == 0) cluster.borrowing = {below(2) == 0 ? "red" : "blue"};
      const auto& order = cluster.queue.ordered_candidates({now, now});
      // All are put in order each time: a second is longer than so few of them may take.
      EXPECT_EQ(cluster.queue.reorder_delay_s(), 0);
      cluster.expect_sorted(now, goals, order);
    }
  }
}

// Thousands of waiting jobs were put in order at every event: that was the leader's processor time in floods.
// In between, those that have become ready since stand where they belong, and the next order comes by itself.
TEST(QueueTest, ManyWaitingJobsArePutInOrderNowAndThenAndNewOnesAddedInBetween) {
  World cluster;
  for (int i = 0; i < 4000; ++i) cluster.add(i, "red", "night", 1, 10, 1000 - i);
  EXPECT_EQ(cluster.queue.ordered_candidates({0, 0}).size(), 4000U);
  cluster.add(5000, "red", "night", 1, 10, 500.5);
  cluster.blocked.insert(id_of(17));
  const auto& order = cluster.queue.ordered_candidates({0.5, 0.5});
  ASSERT_EQ(order.size(), 4001U);
  EXPECT_GT(cluster.queue.reorder_delay_s(), 0.5);
  EXPECT_TRUE(std::is_sorted(order.begin(), order.end(),
                             [](const auto& a, const auto& b) { return a.order_key < b.order_key; }));
  EXPECT_EQ(cluster.queue.ordered_candidates({0.5 + cluster.queue.reorder_delay_s(), 1}).size(), 4000U);
}

TEST(QueueTest, InOverloadTeamsAndClassesTakeTurns) {
  World cluster;
  for (int i = 0; i < 20; ++i) cluster.add(i, "red", "night", 30, 10, i);
  cluster.add(100, "blue", "day", 30, 10, 50);
  cluster.queue.adjust_allocated_cores({"red", "night"}, false, 60);
  EXPECT_FALSE(cluster.queue.update_overload(0, 100, 60));
  EXPECT_EQ(cluster.queue.ordered_candidates({0, 60}).back().id, id_of(100));  // of equals the youngest
  EXPECT_TRUE(cluster.queue.update_overload(20, 100, 60));
  EXPECT_TRUE(cluster.queue.is_overloaded());
  EXPECT_EQ(cluster.queue.ordered_candidates({20, 80}).front().id, id_of(100));  // holds nothing of its share
  cluster.queue.reset();
  EXPECT_FALSE(cluster.queue.is_overloaded());
  EXPECT_TRUE(cluster.queue.ordered_candidates({21, 81}).empty());
}

}  // namespace
}  // namespace bankhill::queue
