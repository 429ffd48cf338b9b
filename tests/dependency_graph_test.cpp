// The graph of waiting jobs against a plain reckoning from the records, after each step of random days.
#include "model/dependency_graph.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace bankhill::model {
namespace {

using wire::JobId;
using State = DependencyGraph::State;

struct Plain {
  DependencyInfo fact;
  std::vector<JobId> needs;
  bool learned = true;  // false: its record is still to be read
};

class Reckoning {
 public:
  std::map<JobId, Plain> jobs;

  bool cancelled(const JobId& id) const {
    const auto& job = jobs.at(id);
    if (job.fact.state == State::cancelled) return true;
    return job.fact.state == State::accepted &&
           std::any_of(job.needs.begin(), job.needs.end(),
                       [&](const JobId& need) { return cancelled(need); });
  }
  bool released(const JobId& id) const {
    const auto& job = jobs.at(id);
    return std::all_of(job.needs.begin(), job.needs.end(),
                       [&](const JobId& need) { return jobs.at(need).fact.state == State::done; });
  }
  bool alive(const JobId& id) const { return jobs.at(id).fact.state == State::accepted && !cancelled(id); }
  std::pair<wire::Priority, double> best(const JobId& id) const {
    const auto& job = jobs.at(id);
    auto result = std::pair(job.fact.priority, job.fact.deadline_at);
    for (const auto& [other, later] : jobs) {
      if (!alive(other) || std::find(later.needs.begin(), later.needs.end(), id) == later.needs.end())
        continue;
      const auto [priority, due] = best(other);
      result = {std::max(result.first, priority), std::min(result.second, due - later.fact.duration_s)};
    }
    return result;
  }
};

void expect_same(const DependencyGraph& waits, const Reckoning& plain) {
  for (const auto& [id, job] : plain.jobs) {
    if (job.fact.state != State::accepted) continue;
    ASSERT_EQ(waits.is_cancelled(id), plain.cancelled(id)) << id.value;
    if (plain.cancelled(id)) continue;
    ASSERT_EQ(waits.is_ready(id), plain.released(id)) << id.value;
    const auto [priority, due] = plain.best(id);
    ASSERT_EQ(waits.effective_priority(id, job.fact.priority), priority) << id.value;
    // A job that neither waits nor is waited for is not in the graph: its own deadline stands.
    const auto goal = waits.effective_deadline(id);
    if (std::isinf(due) || (goal.job_id.value.empty() && due == job.fact.deadline_at)) continue;
    ASSERT_NEAR(goal.latest(), due, 1e-6) << id.value;
  }
}

class RandomGraph : public testing::TestWithParam<unsigned> {};

TEST_P(RandomGraph, IsWhatTheRecordsSay) {
  std::mt19937 random(GetParam());
  const auto pick = [&](std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
  };
  DependencyGraph waits;
  Reckoning plain;
  std::vector<JobId> all;
  std::set<JobId> released;
  std::set<JobId> cancelled;
  std::uint64_t revision = 0;
  for (int step = 0; step < 250; ++step) {
    if (step < 150 && (all.empty() || pick(2) == 0)) {
      const JobId id{"job-" + std::to_string(all.size())};
      Plain job;
      job.fact.state = State::accepted;
      job.fact.revision = wire::KeyRevision{++revision};
      job.fact.priority = static_cast<wire::Priority>(pick(4));
      job.fact.duration_s = 1.0 + static_cast<double>(pick(50));
      if (pick(3) == 0) job.fact.deadline_at = 1000.0 + static_cast<double>(pick(1000));
      std::set<JobId> needs;
      if (!all.empty())
        for (std::size_t i = pick(4); i > 0; --i)
          needs.insert(all[all.size() - 1 - pick(std::min<std::size_t>(all.size(), 12))]);
      job.needs.assign(needs.begin(), needs.end());
      plain.jobs[id] = job;
      all.push_back(id);
      // Some of those that are over have left memory: what became of them is read later.
      std::set<JobId> forgotten;
      for (const auto& need : needs)
        if (plain.jobs.at(need).fact.state != State::accepted && pick(2) == 0) forgotten.insert(need);
      waits.update(id, job.fact);
      if (!job.needs.empty())
        waits.add(id, job.fact, job.needs, false, [&](const JobId& need) {
          return forgotten.contains(need) ? DependencyInfo{} : plain.jobs.at(need).fact;
        });
      for (const auto& question : waits.take_unknown()) {
        EXPECT_TRUE(forgotten.contains(question));
        EXPECT_TRUE(waits.may_be_cancelled(id) || waits.is_cancelled(id));
        EXPECT_FALSE(waits.is_ready(id));
        waits.update(question, plain.jobs.at(question).fact);
      }
    } else {
      const auto& id = all[pick(all.size())];
      auto& job = plain.jobs.at(id);
      if (job.fact.state != State::accepted) continue;
      const bool ends = plain.released(id) && pick(3) != 0;
      if (!ends && pick(4) != 0) continue;
      job.fact.state = ends && !plain.cancelled(id) ? State::done : State::cancelled;
      job.fact.revision = wire::KeyRevision{++revision};
      job.fact.ended_at = step;
      waits.update(id, job.fact);
    }
    const auto news = waits.take_updates();
    for (const auto& id : news.ready) EXPECT_TRUE(released.insert(id).second) << "told twice";
    for (const auto& id : news.cancelled) EXPECT_TRUE(cancelled.insert(id).second) << "told twice";
    expect_same(waits, plain);
    for (const auto& [id, job] : plain.jobs)
      if (!job.needs.empty() && job.fact.state == State::accepted) {
        ASSERT_EQ(cancelled.contains(id), plain.cancelled(id));
        ASSERT_TRUE(plain.cancelled(id) || released.contains(id) == plain.released(id));
      }
  }
  for (const auto& id : all)
    if (auto& job = plain.jobs.at(id); job.fact.state == State::accepted) {
      job.fact.state = State::cancelled;
      waits.update(id, job.fact);
    }
  EXPECT_EQ(waits.size(), 0U) << "the graph keeps what is over";
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomGraph, testing::Range(1U, 13U));

// A fan of fans: each edge is walked a few times, not once for each way through it. 30 layers of 8 have 8^30
// ways; a walk along all of them would never end.
TEST(Waits, CostsNoMoreThanItsEdges) {
  DependencyGraph waits;
  std::vector<JobId> before;
  std::uint64_t revision = 0;
  const auto fact = [&](double due) {
    DependencyInfo result;
    result.state = State::accepted;
    result.revision = wire::KeyRevision{++revision};
    result.duration_s = 1;
    result.deadline_at = due;
    return result;
  };
  for (int layer = 0; layer < 30; ++layer) {
    std::vector<JobId> these;
    for (int i = 0; i < 8; ++i) {
      these.push_back({"job-" + std::to_string(layer * 8 + i)});
      if (layer > 0)
        waits.add(these.back(), fact(INFINITY), before, false, [&](const JobId&) {
          DependencyInfo first = fact(INFINITY);
          first.revision = wire::KeyRevision{0};
          return first;
        });
    }
    before = these;
  }
  waits.add({"job-999"}, fact(500), before, false, [&](const JobId&) { return fact(INFINITY); });
  EXPECT_DOUBLE_EQ(waits.effective_deadline({"job-0"}).latest(), 500 - 30);
  EXPECT_EQ(waits.effective_deadline({"job-0"}).job_id.value, "job-999");
  DependencyInfo over = fact(INFINITY);
  over.state = State::cancelled;
  waits.update({"job-0"}, over);
  EXPECT_TRUE(waits.is_cancelled({"job-999"}));
  EXPECT_EQ(waits.take_updates().cancelled.size(), 29U * 8 + 1);
}

}  // namespace
}  // namespace bankhill::model
