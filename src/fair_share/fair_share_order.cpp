#include "fair_share/fair_share_order.hpp"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace bankhill::fair_share {

namespace {
struct Line {  // jobs in the order in which they go, and their cores together up to each
  std::vector<std::size_t> jobs;
  double cores = 0;   // held, or before the next one
  double weight = 1;  // its share of the party's
};
}  // namespace

std::vector<double> fair_share_order(const std::vector<Waiting>& waiting, const Held& held,
                                     const std::map<std::string, double>& weights, double largest) {
  double least = 0;
  for (const auto& [team, weight] : weights)
    if (weight > 0 && (least == 0 || weight < least)) least = weight;
  if (least == 0) least = 1;
  std::map<Party, std::vector<std::size_t>> parties;
  std::map<std::string, double> classes;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    auto& mine = parties[waiting[i].party];
    if (mine.empty()) ++classes[waiting[i].party.first];
    mine.push_back(i);
  }
  std::vector<double> result(waiting.size(), 0);
  for (auto& [party, jobs] : parties) {
    // What is nearest to its end first: a few arrays are finished where by age or slack all were begun, and
    // the longest first, since they have the least slack (lakaskalk-fleet twofold, flood: 0.14 done in time).
    std::sort(jobs.begin(), jobs.end(), [&](std::size_t a, std::size_t b) {
      // Of the largest, those that are late too: set aside for others that could be in time, they were begun
      // and not ended (lakaskalk-fleet, flood: 83 of 175 done).
      const auto key = [&](const Waiting& job) {
        return std::tuple(job.late && !job.largest, job.left, job.age);
      };
      return key(waiting[a]) < key(waiting[b]);
    });
    const auto found = weights.find(party.first);
    const double weight =
        (found == weights.end() || found->second <= 0 ? least : found->second) / classes[party.first];
    // Nearest to its end alone, a flood cost the class its largest: 12 of 98 jobs of 100 tasks and more were
    // begun within four minutes (lakaskalk-fleet, flood).
    Line lines[2];
    for (const auto job : jobs) lines[waiting[job].largest ? 1 : 0].jobs.push_back(job);
    for (const bool large : {false, true}) {
      const auto holds = held.find({party, large});
      lines[large].cores = holds == held.end() ? 0 : holds->second;
      lines[large].weight = large ? largest : 1 - largest;
    }
    // Whose line holds the least of its part is next; each takes the party's turn as it stands then.
    double cores = lines[0].cores + lines[1].cores;
    std::size_t next[2] = {0, 0};
    for (std::size_t n = 0; n < jobs.size(); ++n) {
      const bool none[2] = {next[0] == lines[0].jobs.size(), next[1] == lines[1].jobs.size()};
      const bool large =
          none[0] || (!none[1] && lines[1].cores * lines[0].weight < lines[0].cores * lines[1].weight);
      const auto job = lines[large].jobs[next[large]++];
      result[job] = cores / weight;
      cores += waiting[job].cores;
      lines[large].cores += waiting[job].cores;
    }
  }
  return result;
}

}  // namespace bankhill::fair_share
