#include "heartbeat/balance.hpp"

#include <algorithm>

namespace bankhill::heartbeat {

namespace {
// Capacity of a controller as the leader, as a share of its capacity as a forwarding controller.
constexpr double kLeaderCapacityShare = 0.5;
// Added to the cost of a controller in another zone, in units of the average load: a partition between the
// zones would lose the worker although it keeps running.
constexpr double kOtherZoneCost = 0.25;
// The least advantage for which a worker is redirected, in units of the average load: for a worker that is
// new to this controller, and for one that the controller already handles.
constexpr double kNewWorkerMinGain = 0.1;
constexpr double kAssignedWorkerMinGain = 0.3;
}  // namespace

double load_ratio(const ControllerShare& controller) {
  return controller.workers / (controller.capacity * (controller.is_leader ? kLeaderCapacityShare : 1));
}

std::size_t choose_controller(const std::vector<ControllerShare>& controllers, std::size_t self,
                              const std::string& worker_zone, bool is_assigned) {
  double workers = 0;
  double capacity = 0;
  for (const auto& controller : controllers) {
    workers += controller.workers;
    capacity += controller.capacity * (controller.is_leader ? kLeaderCapacityShare : 1);
  }
  // One worker is added, so that the average is not 0 on a site without workers.
  const double average_load = (workers + 1) / capacity;
  const auto cost = [&](const ControllerShare& controller) {
    return load_ratio(controller) / average_load + (controller.zone == worker_zone ? 0 : kOtherZoneCost);
  };
  std::size_t best = self;
  for (std::size_t i = 0; i < controllers.size(); ++i)
    if (cost(controllers[i]) < cost(controllers[best])) best = i;
  const double gain = cost(controllers[self]) - cost(controllers[best]);
  return gain > (is_assigned ? kAssignedWorkerMinGain : kNewWorkerMinGain) ? best : self;
}

}  // namespace bankhill::heartbeat
