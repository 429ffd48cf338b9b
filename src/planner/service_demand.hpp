// Measures how many cores of services were accepted recently, and computes how many cores to keep free for
// the services expected next. No input, output or clock: the caller passes the time. Used by the autoscaler.
#pragma once

#include <cstdint>
#include <map>

namespace bankhill::planner {

class ServiceDemand {
 public:
  // Records that a service was accepted at `accepted_at` (time of day, seconds). Calls may come in any order
  // of time.
  void add(double accepted_at, double task_cores, std::uint32_t task_count);
  // Drops services accepted before `earliest` (time of day, seconds).
  void forget_before(double earliest);
  // Returns the cores accepted per second in the `window_s` seconds before `now`, and drops older services.
  double arrival_rate(double now, double window_s);
  // Returns the cores to keep free for services expected within `lead_time_s` at the arrival rate of the
  // window, rounded down to whole tasks of the largest known size.
  double reserve_cores(double now, double window_s, double lead_time_s);
  double largest_task_cores() const { return largest_task_cores_; }

 private:
  std::multimap<double, double> accepted_;  // cores by time of acceptance
  double accepted_cores_ = 0;               // sum of the cores in `accepted_`
  // Cores of the largest task among all services ever accepted.
  double largest_task_cores_ = 0;
};

}  // namespace bankhill::planner
