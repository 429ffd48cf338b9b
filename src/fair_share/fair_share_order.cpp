#include "fair_share/fair_share_order.hpp"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace bankhill::fair_share {

namespace {
// The largest jobs of a team class, or the other ones.
struct SizeGroup {
  // Indexes of the waiting jobs, in the order in which they go.
  std::vector<std::size_t> jobs;
  // Cores that the group holds, with those of the jobs whose turns are already assigned.
  double cores = 0;
  // The group's part of the share of the team class.
  double weight = 1;
};
}  // namespace

std::vector<double> fair_share_order(const std::vector<WaitingJob>& waiting, const AllocatedCores& allocated,
                                     const std::map<std::string, double>& weights, double largest_share) {
  double min_weight = 0;
  for (const auto& [team, weight] : weights)
    if (weight > 0 && (min_weight == 0 || weight < min_weight)) min_weight = weight;
  if (min_weight == 0) min_weight = 1;
  std::map<TeamClass, std::vector<std::size_t>> jobs_by_class;
  std::map<std::string, double> class_counts;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    auto& class_jobs = jobs_by_class[waiting[i].team_class];
    if (class_jobs.empty()) ++class_counts[waiting[i].team_class.first];
    class_jobs.push_back(i);
  }
  std::vector<double> turns(waiting.size(), 0);
  for (auto& [team_class, jobs] : jobs_by_class) {
    // The jobs with the least remaining work go first, so that some jobs are finished. By age or slack all
    // were started, and the longest first because they have the least slack: 0.14 were done in time
    // (lakaskalk-fleet twofold, flood).
    std::sort(jobs.begin(), jobs.end(), [&](std::size_t a, std::size_t b) {
      // Late jobs go last, except among the largest. When late large jobs had to give way to those that could
      // still be in time, large jobs were started but not finished: 83 of 175 were done (lakaskalk-fleet,
      // flood).
      const auto key = [&](const WaitingJob& job) {
        return std::tuple(job.is_late && !job.is_largest, job.remaining_core_s, job.eligible_at);
      };
      return key(waiting[a]) < key(waiting[b]);
    });
    const auto found = weights.find(team_class.first);
    const double weight = (found == weights.end() || found->second <= 0 ? min_weight : found->second) /
                          class_counts[team_class.first];
    // The largest jobs have a group of their own. Ordered by remaining work alone, they hardly started during
    // an overload: 12 of 98 jobs with 100 tasks or more within four minutes (lakaskalk-fleet, flood).
    SizeGroup groups[2];
    for (const auto job : jobs) groups[waiting[job].is_largest ? 1 : 0].jobs.push_back(job);
    for (const bool is_largest : {false, true}) {
      const auto held = allocated.find({team_class, is_largest});
      groups[is_largest].cores = held == allocated.end() ? 0 : held->second;
      groups[is_largest].weight = is_largest ? largest_share : 1 - largest_share;
    }
    // The group that holds the fewest cores for its weight provides the next job. The turn of that job is the
    // number of cores that the team class holds by then, divided by the weight of the class.
    double cores = groups[0].cores + groups[1].cores;
    std::size_t next[2] = {0, 0};
    for (std::size_t n = 0; n < jobs.size(); ++n) {
      const bool is_empty[2] = {next[0] == groups[0].jobs.size(), next[1] == groups[1].jobs.size()};
      const bool is_largest = is_empty[0] || (!is_empty[1] && groups[1].cores * groups[0].weight <
                                                                  groups[0].cores * groups[1].weight);
      const auto job = groups[is_largest].jobs[next[is_largest]++];
      turns[job] = cores / weight;
      cores += waiting[job].cores;
      groups[is_largest].cores += waiting[job].cores;
    }
  }
  return turns;
}

}  // namespace bankhill::fair_share
