#include "leader/unregistered_machines.hpp"

namespace bankhill::leader {

bool UnregisteredMachines::should_probe(const wire::Heartbeat& heartbeat, double now) {
  evict_expired(now);
  const std::pair newest_heartbeat(heartbeat.agent_epoch, heartbeat.sequence);
  const auto found = machines_.find(heartbeat.machine_id);
  if (found == machines_.end()) {
    if (machines_.size() >= max_machines_) return false;
    machines_.emplace(heartbeat.machine_id, Entry{newest_heartbeat, now, now});
    eviction_queue_.emplace_back(now, heartbeat.machine_id);
    return true;
  }
  auto& entry = found->second;
  if (newest_heartbeat <= entry.newest_heartbeat) return false;
  entry.newest_heartbeat = newest_heartbeat;
  entry.last_heartbeat_at = now;
  if (now - entry.last_probe_at < min_probe_interval_s_) return false;
  entry.last_probe_at = now;
  return true;
}

void UnregisteredMachines::evict_expired(double now) {
  while (!eviction_queue_.empty() && now - eviction_queue_.front().first > retention_s_) {
    const auto machine_id = std::move(eviction_queue_.front().second);
    eviction_queue_.pop_front();
    const auto found = machines_.find(machine_id);
    if (found == machines_.end()) continue;
    if (now - found->second.last_heartbeat_at > retention_s_)
      machines_.erase(found);
    else
      eviction_queue_.emplace_back(now, machine_id);
  }
}

void UnregisteredMachines::clear() {
  machines_.clear();
  eviction_queue_.clear();
}

}  // namespace bankhill::leader
