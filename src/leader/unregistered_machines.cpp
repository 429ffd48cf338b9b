#include "leader/unregistered_machines.hpp"

namespace bankhill::leader {

bool UnregisteredMachines::should_probe(const wire::Heartbeat& heartbeat, double now) {
  forget(now);
  const std::pair newest(heartbeat.agent_epoch, heartbeat.sequence);
  const auto found = known_.find(heartbeat.machine_id);
  if (found == known_.end()) {
    if (known_.size() >= most_) return false;
    known_.emplace(heartbeat.machine_id, Known{newest, now, now});
    order_.emplace_back(now, heartbeat.machine_id);
    return true;
  }
  auto& known = found->second;
  if (newest <= known.newest) return false;
  known.newest = newest;
  known.heard = now;
  if (now - known.asked < again_s_) return false;
  known.asked = now;
  return true;
}

void UnregisteredMachines::forget(double now) {
  while (!order_.empty() && now - order_.front().first > forget_s_) {
    const auto host = std::move(order_.front().second);
    order_.pop_front();
    const auto found = known_.find(host);
    if (found == known_.end()) continue;
    if (now - found->second.heard > forget_s_)
      known_.erase(found);
    else
      order_.emplace_back(now, host);
  }
}

void UnregisteredMachines::clear() {
  known_.clear();
  order_.clear();
}

}  // namespace bankhill::leader
