// A random day on which troubles meet: two or three at a time, at moments counted from something that
// happened rather than by the clock. All of it comes from one seed.
#pragma once

#include <string>
#include <vector>

#include "sim/simulated_cluster.hpp"

namespace bankhill::sim {

class MeetingDay {
 public:
  // `controllers`: 0: three or five, by the seed.
  explicit MeetingDay(std::uint64_t seed, int controllers = 0);
  // Returns what broke, a line each: rules, and what was not over at the end.
  std::vector<std::string> play();
  SimulatedCluster& world() { return world_; }
  const std::string& name() const { return name_; }
  const std::vector<std::string>& story() const { return story_; }  // what was done to the site, and when

 private:
  void habits();
  void load();
  void submit();
  void cancel_some(int count, double within_s);
  void meet();
  void end_reign();
  double offset();
  double length();
  int target(int node);
  void trouble(int node);
  void trouble_of_reports();
  void draw_machines();
  void slow_links(double most, double seconds);
  void tell(const std::string& text);
  std::vector<std::string> left_over();

  Timing timing_;
  std::string name_;
  SimulatedCluster world_;
  std::vector<std::string> long_jobs_;  // not cancelled yet
  std::vector<std::string> story_;
  bool over_ = false;  // all meetings are
};

}  // namespace bankhill::sim
