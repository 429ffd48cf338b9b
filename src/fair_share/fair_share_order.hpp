// The order of waiting batch jobs during overload, when the capacity does not suffice for all. Teams and
// their classes of jobs take turns according to their shares. Within a class, jobs that can still be done in
// time go first, and among these the jobs with the least remaining work. Pure: no input, output or clocks.
// Source: docs/SHARES.md, "Order in overload".
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bankhill::fair_share {

// A team and one of its classes of jobs.
using TeamClass = std::pair<std::string, std::string>;

// A job with tasks to place.
struct WaitingJob {
  TeamClass team_class;
  // Cores that the job's ready tasks need in total.
  double cores = 0;
  // Core-seconds until the job is done.
  double remaining_core_s = 0;
  // Whether the job can no longer meet any of its deadlines.
  bool is_late = false;
  // Time of day from which the job's waiting time counts, in seconds.
  double eligible_at = 0;
  // Whether the job is among the largest of its class, which have turns of their own.
  bool is_largest = false;
};

// Cores that running and starting tasks hold, by team and class; true: those of the largest jobs of the
// class.
using AllocatedCores = std::map<std::pair<TeamClass, bool>, double>;

// Returns the turn of each job in `waiting`: the job with the lower number goes first. `weights`: the teams'
// shares in any unit; a team without a share, or with 0, gets the least of the other teams' shares. A team's
// share is divided evenly among its classes with waiting jobs. `largest_share`: the part of each class's
// share that goes to its largest jobs while both largest and other jobs of the class wait.
std::vector<double> fair_share_order(const std::vector<WaitingJob>& waiting, const AllocatedCores& allocated,
                                     const std::map<std::string, double>& weights, double largest_share);

}  // namespace bankhill::fair_share
