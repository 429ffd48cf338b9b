// Decides which controller a worker sends its heartbeats to. Pure: no I/O and no clocks.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace bankhill::heartbeat {

// A controller that accepts workers now, as this controller or a peer knows it.
struct ControllerShare {
  std::string node;
  std::string zone;
  double workers = 0;   // Number of workers that send their heartbeats to it.
  double capacity = 1;  // Number of workers that it can handle; greater than 0.
  bool is_leader = false;
};

// Returns the index of the controller that is to handle a worker of `worker_zone` which now sends its
// heartbeats to `self`. A worker that is already assigned to `self` moves only to a controller with a much
// lower load; a new worker moves to one with a slightly lower load. Small differences never count, because
// the loads that peers announce are always somewhat outdated.
std::size_t choose_controller(const std::vector<ControllerShare>& controllers, std::size_t self,
                              const std::string& worker_zone, bool is_assigned);

// Returns the load of a controller relative to its capacity. The capacity of the leader counts for less,
// since the leader sends all direct commands.
double load_ratio(const ControllerShare& controller);

}  // namespace bankhill::heartbeat
