#include "heartbeat/balance.hpp"

#include <algorithm>

namespace bankhill::heartbeat {

namespace {
constexpr double kLeaderPart = 0.5;  // of what it could take as a forwarding controller
// In parts of the average fill. A worker in another zone is lost with a cut between the zones although it
// runs on.
constexpr double kOtherZone = 0.25;
constexpr double kNewcomerGains = 0.1;
constexpr double kSettledGains = 0.3;
}  // namespace

double load_ratio(const ControllerShare& member) {
  return member.workers / (member.capacity * (member.leader ? kLeaderPart : 1));
}

std::size_t choose_controller(const std::vector<ControllerShare>& members, std::size_t self,
                              const std::string& worker_zone, bool settled) {
  double workers = 0;
  double capacity = 0;
  for (const auto& member : members) {
    workers += member.workers;
    capacity += member.capacity * (member.leader ? kLeaderPart : 1);
  }
  // One worker more than there are, so that an empty site has a measure too.
  const double average = (workers + 1) / capacity;
  const auto cost = [&](const ControllerShare& member) {
    return load_ratio(member) / average + (member.zone == worker_zone ? 0 : kOtherZone);
  };
  std::size_t best = self;
  for (std::size_t i = 0; i < members.size(); ++i)
    if (cost(members[i]) < cost(members[best])) best = i;
  const double gain = cost(members[self]) - cost(members[best]);
  return gain > (settled ? kSettledGains : kNewcomerGains) ? best : self;
}

}  // namespace bankhill::heartbeat
