// The order of waiting work when there is too little for all: teams and their classes take turns by their
// shares, and within one what can still be in time goes first, then what is nearest to its end. Pure: no
// input, output or clocks. Source: docs/SHARES.md, "Order in overload".
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bankhill::fair_share {

using Party = std::pair<std::string, std::string>;  // a team and one of its classes of jobs

struct Waiting {  // a job with tasks to place
  Party party;
  double cores = 0;      // of its ready tasks together
  double left = 0;       // core-seconds until the job is over
  bool late = false;     // can no longer meet any of its deadlines
  double age = 0;        // time of day when its waiting began
  bool largest = false;  // of its class: they have turns of their own
};

// Cores that the tasks of each party hold now, those of its largest jobs apart.
using Held = std::map<std::pair<Party, bool>, double>;

// For each job its turn, a rising number: the lower goes first. `weights` are the teams' shares (any unit; a
// team that is missing or has 0 gets the least of the others). A team's share is divided evenly among its
// classes that wait, and of each class's share `largest` goes to its largest jobs while both they and others
// of it wait.
std::vector<double> fair_share_order(const std::vector<Waiting>& waiting, const Held& held,
                                     const std::map<std::string, double>& weights, double largest);

}  // namespace bankhill::fair_share
