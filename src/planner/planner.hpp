// The paper's planning algorithms as pure functions (sections 3.1, 4.1 and 4.2, with the changes described in
// docs/DESIGN.md).
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wire/messages.hpp"

namespace bankhill::planner {

// Scales machine counts down by `ratio` and rounds them; a ratio of 1 or more leaves the counts as they are
// apart from rounding. This is scale(c, r) of section 3.1.
std::vector<double> scale(const std::vector<double>& counts, double ratio);

// The unfinished tasks of a job, or an equal set of tasks to be planned for.
struct Workload {
  wire::Resources request;
  double task_count = 0;
  // Estimated run time of a task, in seconds.
  double estimated_runtime_s = 0;
  // Time in which all tasks should be done, in seconds; at least the run time of one task.
  double window_s = 0;
  bool is_service = false;
  bool allows_preemptible = false;
  std::optional<std::vector<std::string>> machine_types;
  // The zones in which tasks may run; no value: in all.
  std::optional<std::vector<std::string>> zones;
};

// A machine type of the cloud's catalogue, and whether it may be rented as spot machines.
struct Offer {
  wire::MachineType machine_type;
  // Whether the share of tasks hit by reclaims of this type is below phi or unknown.
  bool spot_allowed = true;
};

// Machine counts by offer, in the order of the offers passed to plan().
struct Plan {
  std::vector<double> on_demand;
  std::vector<double> spot;
  // Spot machines within alpha's share of the budget whose types are above phi; the caller covers their cores
  // with other types.
  std::vector<double> disallowed_spot;
  double hourly_budget = 0;
};

// Returns how many tasks with this request a machine of the given capacity runs at the same time; never more
// than its heartbeats can list.
double slots(const wire::Resources& request, const wire::Resources& capacity);

// Returns the longest boot time of the machine types, in seconds; 0 if there are none.
double longest_boot_s(const std::vector<wire::MachineType>& machine_types);

// Whether a list of machine types or zones contains `name`. No list allows all.
bool allows(const std::optional<std::vector<std::string>>& names, const std::string& name);

// Returns the zones in which machines of any of these types can be rented, in ascending order.
std::set<std::string> offered_zones(const std::vector<wire::MachineType>& machine_types);

// Whether a machine of this type holds a task of the workload and can be rented in a zone where it may run.
bool can_host(const Workload& work, const wire::MachineType& machine_type);

// Returns the index of the offer on which a task completes earliest if its machine has yet to be rented, and
// of equal offers the one with the lowest price per slot. No value if a task fits no allowed offer.
std::optional<std::size_t> choose_offer(const Workload& work, const std::vector<Offer>& offers);

// Returns the cost per hour by equation 3 for the current workloads, with each job's window as its makespan.
double hourly_budget(const std::vector<Workload>& work, const std::vector<Offer>& offers);

// Algorithm 3, steps 1 and 2: splits the budget between on-demand and spot machines. `alpha` is the share of
// the budget for spot machines.
Plan plan(const std::vector<Workload>& work, const std::vector<Offer>& offers, double alpha);

// Returns how long a job can wait without missing its deadline, in seconds (section 4.2). The slack of a
// service is 0, that of a job without a deadline is the largest double.
double slack(bool is_service, std::optional<double> time_to_deadline_s, double estimated_runtime_s);

}  // namespace bankhill::planner
