// Which controller a worker reports to. Pure: no input, output or clocks.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace bankhill::heartbeat {

// A controller that can take workers now, as another one knows it.
struct ControllerShare {
  std::string node;
  std::string zone;
  double workers = 0;   // that heartbeat to it
  double capacity = 1;  // in workers; above 0
  bool leader = false;
};

// The member (by position) that is to take a worker of `worker_zone`, which heartbeats to `self` now. A
// worker that is `settled` at `self` stays unless another is emptier by much; a newcomer goes on when another
// is emptier by a little: what peers tell of themselves is always somewhat old.
std::size_t choose_controller(const std::vector<ControllerShare>& members, std::size_t self,
                              const std::string& worker_zone, bool settled);

// How full a member is, 1 at its part of the workers; the leader's part is smaller, since it has all direct
// orders to send.
double load_ratio(const ControllerShare& member);

}  // namespace bankhill::heartbeat
