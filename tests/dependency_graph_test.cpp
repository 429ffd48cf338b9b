// Compares the dependency graph with a reference model that recomputes everything from the records, after
// each step of random sequences of events.
#include "model/dependency_graph.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace bankhill::model {
namespace {

using wire::JobId;
using State = DependencyGraph::State;

struct ReferenceJob {
  DependencyInfo info;
  std::vector<JobId> dependencies;
  bool record_read = true;  // false: the record has not been read yet
};

class ReferenceModel {
 public:
  std::map<JobId, ReferenceJob> jobs;

  bool is_cancelled(const JobId& id) const {
    const auto& job = jobs.at(id);
    if (job.info.state == State::cancelled) return true;
    return job.info.state == State::accepted &&
           std::any_of(job.dependencies.begin(), job.dependencies.end(),
                       [&](const JobId& dependency) { return is_cancelled(dependency); });
  }
  bool is_ready(const JobId& id) const {
    const auto& job = jobs.at(id);
    return std::all_of(job.dependencies.begin(), job.dependencies.end(), [&](const JobId& dependency) {
      return jobs.at(dependency).info.state == State::done;
    });
  }
  bool is_live(const JobId& id) const {
    return jobs.at(id).info.state == State::accepted && !is_cancelled(id);
  }
  // Effective priority, and the latest time at which the job can end.
  std::pair<wire::Priority, double> effective_values(const JobId& id) const {
    const auto& job = jobs.at(id);
    auto result = std::pair(job.info.priority, job.info.deadline_at);
    for (const auto& [other, dependent] : jobs) {
      if (!is_live(other) || std::find(dependent.dependencies.begin(), dependent.dependencies.end(), id) ==
                                 dependent.dependencies.end())
        continue;
      const auto [priority, latest_end_at] = effective_values(other);
      result = {std::max(result.first, priority),
                std::min(result.second, latest_end_at - dependent.info.duration_s)};
    }
    return result;
  }
};

void expect_matches_reference(const DependencyGraph& graph, const ReferenceModel& reference) {
  for (const auto& [id, job] : reference.jobs) {
    if (job.info.state != State::accepted) continue;
    ASSERT_EQ(graph.is_cancelled(id), reference.is_cancelled(id)) << id.value;
    if (reference.is_cancelled(id)) continue;
    ASSERT_EQ(graph.is_ready(id), reference.is_ready(id)) << id.value;
    const auto [priority, latest_end_at] = reference.effective_values(id);
    ASSERT_EQ(graph.effective_priority(id, job.info.priority), priority) << id.value;
    // A job without dependencies and dependents is not in the graph; its own deadline applies.
    const auto deadline = graph.effective_deadline(id);
    if (std::isinf(latest_end_at) || (deadline.job_id.value.empty() && latest_end_at == job.info.deadline_at))
      continue;
    ASSERT_NEAR(deadline.latest_end_at(), latest_end_at, 1e-6) << id.value;
  }
}

class RandomGraph : public testing::TestWithParam<unsigned> {};

TEST_P(RandomGraph, MatchesTheReferenceModel) {
  std::mt19937 random(GetParam());
  const auto pick = [&](std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
  };
  DependencyGraph graph;
  ReferenceModel reference;
  std::vector<JobId> job_ids;
  std::set<JobId> released;
  std::set<JobId> cancelled;
  std::uint64_t revision = 0;
  for (int step = 0; step < 250; ++step) {
    if (step < 150 && (job_ids.empty() || pick(2) == 0)) {
      const JobId id{"job-" + std::to_string(job_ids.size())};
      ReferenceJob job;
      job.info.state = State::accepted;
      job.info.revision = wire::KeyRevision{++revision};
      job.info.priority = static_cast<wire::Priority>(pick(4));
      job.info.duration_s = 1.0 + static_cast<double>(pick(50));
      if (pick(3) == 0) job.info.deadline_at = 1000.0 + static_cast<double>(pick(1000));
      std::set<JobId> dependencies;
      if (!job_ids.empty())
        for (std::size_t i = pick(4); i > 0; --i)
          dependencies.insert(job_ids[job_ids.size() - 1 - pick(std::min<std::size_t>(job_ids.size(), 12))]);
      job.dependencies.assign(dependencies.begin(), dependencies.end());
      reference.jobs[id] = job;
      job_ids.push_back(id);
      // Some jobs that have ended are no longer in memory: their state is read later.
      std::set<JobId> unknown;
      for (const auto& dependency : dependencies)
        if (reference.jobs.at(dependency).info.state != State::accepted && pick(2) == 0)
          unknown.insert(dependency);
      graph.update(id, job.info);
      if (!job.dependencies.empty())
        graph.add(id, job.info, job.dependencies, false, [&](const JobId& dependency) {
          return unknown.contains(dependency) ? DependencyInfo{} : reference.jobs.at(dependency).info;
        });
      for (const auto& unknown_id : graph.take_unknown()) {
        EXPECT_TRUE(unknown.contains(unknown_id));
        EXPECT_TRUE(graph.may_be_cancelled(id) || graph.is_cancelled(id));
        EXPECT_FALSE(graph.is_ready(id));
        graph.update(unknown_id, reference.jobs.at(unknown_id).info);
      }
    } else {
      const auto& id = job_ids[pick(job_ids.size())];
      auto& job = reference.jobs.at(id);
      if (job.info.state != State::accepted) continue;
      const bool ends = reference.is_ready(id) && pick(3) != 0;
      if (!ends && pick(4) != 0) continue;
      job.info.state = ends && !reference.is_cancelled(id) ? State::done : State::cancelled;
      job.info.revision = wire::KeyRevision{++revision};
      job.info.ended_at = step;
      graph.update(id, job.info);
    }
    const auto updates = graph.take_updates();
    for (const auto& id : updates.ready) EXPECT_TRUE(released.insert(id).second) << "reported as ready twice";
    for (const auto& id : updates.cancelled)
      EXPECT_TRUE(cancelled.insert(id).second) << "reported as cancelled twice";
    expect_matches_reference(graph, reference);
    for (const auto& [id, job] : reference.jobs)
      if (!job.dependencies.empty() && job.info.state == State::accepted) {
        ASSERT_EQ(cancelled.contains(id), reference.is_cancelled(id));
        ASSERT_TRUE(reference.is_cancelled(id) || released.contains(id) == reference.is_ready(id));
      }
  }
  for (const auto& id : job_ids)
    if (auto& job = reference.jobs.at(id); job.info.state == State::accepted) {
      job.info.state = State::cancelled;
      graph.update(id, job.info);
    }
  EXPECT_EQ(graph.size(), 0U) << "the graph must not keep jobs that have ended";
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomGraph, testing::Range(1U, 13U));

// Guards against a traversal per path: each edge may be visited only a few times. 30 fully connected layers
// of 8 jobs have 8^30 paths, so a traversal of all of them would never end.
TEST(DependencyGraphCost, IsProportionalToTheNumberOfEdges) {
  DependencyGraph graph;
  std::vector<JobId> previous_layer;
  std::uint64_t revision = 0;
  const auto info = [&](double deadline_at) {
    DependencyInfo result;
    result.state = State::accepted;
    result.revision = wire::KeyRevision{++revision};
    result.duration_s = 1;
    result.deadline_at = deadline_at;
    return result;
  };
  for (int layer = 0; layer < 30; ++layer) {
    std::vector<JobId> current_layer;
    for (int i = 0; i < 8; ++i) {
      current_layer.push_back({"job-" + std::to_string(layer * 8 + i)});
      if (layer > 0)
        graph.add(current_layer.back(), info(INFINITY), previous_layer, false, [&](const JobId&) {
          DependencyInfo first = info(INFINITY);
          first.revision = wire::KeyRevision{0};
          return first;
        });
    }
    previous_layer = current_layer;
  }
  graph.add({"job-999"}, info(500), previous_layer, false, [&](const JobId&) { return info(INFINITY); });
  EXPECT_DOUBLE_EQ(graph.effective_deadline({"job-0"}).latest_end_at(), 500 - 30);
  EXPECT_EQ(graph.effective_deadline({"job-0"}).job_id.value, "job-999");
  DependencyInfo cancelled = info(INFINITY);
  cancelled.state = State::cancelled;
  graph.update({"job-0"}, cancelled);
  EXPECT_TRUE(graph.is_cancelled({"job-999"}));
  EXPECT_EQ(graph.take_updates().cancelled.size(), 29U * 8 + 1);
}

}  // namespace
}  // namespace bankhill::model
