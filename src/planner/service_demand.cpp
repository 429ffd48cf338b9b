#include "planner/service_demand.hpp"

#include <algorithm>
#include <cmath>

namespace bankhill::planner {

namespace {
constexpr double kRoundingTolerance = 1e-6;
}  // namespace

void ServiceDemand::add(double accepted_at, double task_cores, std::uint32_t task_count) {
  const double cores = task_cores * task_count;
  accepted_.emplace(accepted_at, cores);
  accepted_cores_ += cores;
  largest_task_cores_ = std::max(largest_task_cores_, task_cores);
}

void ServiceDemand::forget_before(double earliest) {
  while (!accepted_.empty() && accepted_.begin()->first < earliest) {
    accepted_cores_ -= accepted_.begin()->second;
    accepted_.erase(accepted_.begin());
  }
  if (accepted_.empty()) accepted_cores_ = 0;  // clears the accumulated rounding error
}

double ServiceDemand::arrival_rate(double now, double window_s) {
  forget_before(now - window_s);
  return accepted_cores_ / window_s;
}

double ServiceDemand::reserve_cores(double now, double window_s, double lead_time_s) {
  const double cores_per_s = arrival_rate(now, window_s);
  if (cores_per_s <= 0 || largest_task_cores_ <= 0) return 0;
  const double tasks = std::floor(cores_per_s * lead_time_s / largest_task_cores_ + kRoundingTolerance);
  return largest_task_cores_ * tasks;
}

}  // namespace bankhill::planner
