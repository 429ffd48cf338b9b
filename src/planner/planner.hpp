// The paper's algorithms as pure functions (sections 3.1, 4.1 and 4.2, and the design's changes).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/messages.hpp"

namespace bankhill::planner {

// scale(c, r): section 3.1.
std::vector<double> scale(const std::vector<double>& c, double ratio);

// A job's unfinished tasks, as the plan sees them.
struct Workload {
  wire::Resources request;
  double task_count = 0;
  double task_s = 0;    // estimated run time
  double window_s = 0;  // the time in which the work should be done: its period, at least task_s
  bool service = false;
  bool allows_preemptible = false;
  std::optional<std::vector<std::string>> machine_types;
  std::optional<std::string> zone;
};

struct Offer {
  wire::MachineType machine_type;
  bool spot_allowed = true;  // its reclaim share is below phi or unknown
};

struct Plan {
  std::vector<double> steady;  // machines of each offer
  std::vector<double> spot;
  std::vector<double> avoided;  // spot counts that alpha buys of types above phi: for other types to take
  double budget = 0;            // per hour
};

// How many tasks of this size a machine holds at once.
double slots(const wire::Resources& request, const wire::Resources& size);

// Of the types of the catalogue; 0 if it is empty.
double longest_boot_s(const std::vector<wire::MachineType>& machine_types);

bool allows(const std::optional<std::vector<std::string>>& machine_types, const std::string& machine_type);

// Index of the offer on which a task completes earliest when its machine is still to be rented; of equals
// the one cheapest per slot. Nothing if it fits none.
std::optional<std::size_t> choose_offer(const Workload& work, const std::vector<Offer>& offers);

// Equation 3 over current work, each job with its own makespan (its window).
double budget(const std::vector<Workload>& work, const std::vector<Offer>& offers);

// Algorithm 3: step 1 and 2.
Plan plan(const std::vector<Workload>& work, const std::vector<Offer>& offers, double alpha);

// Section 4.2: what a job can wait without missing its deadline. Services have 0, jobs without a deadline
// the largest.
double slack(bool service, std::optional<double> due_in_s, double task_s);

}  // namespace bankhill::planner
