// The services that come: how many cores of them were accepted lately, and what should be kept free for those
// to come. Pure: times are told.
#pragma once

#include <cstdint>
#include <map>

namespace bankhill::planner {

class ServiceDemand {
 public:
  // A service was accepted at this time of day, in any order.
  void add(double accepted_at, double task_cores, std::uint32_t task_count);
  // Forgets what was accepted before that time of day.
  void forget_before(double time);
  // Cores a second that were accepted in the `window_s` seconds before `now`; forgets what is older.
  double rate(double now, double window_s);
  // Cores of whole tasks, the largest known, that about come in `lead_time_s`, at the rate of that window.
  double reserve(double now, double window_s, double lead_time_s);
  double largest_task_cores() const { return largest_task_cores_; }

 private:
  std::multimap<double, double> accepted_;  // cores by time of day
  double accepted_cores_ = 0;               // their sum
  double largest_task_cores_ = 0;           // of all that were ever accepted
};

}  // namespace bankhill::planner
