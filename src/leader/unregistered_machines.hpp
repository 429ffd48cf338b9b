// Machines that send heartbeats but are not registered with the leader: rented by a request that was executed
// late, terminated and forgotten long ago, or no longer in existence. Only the response to a request sent to
// its address proves that such a machine exists; a heartbeat alone may be a copy of any age (invariant 26).
// Pure: no input, output or clocks.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "wire/messages.hpp"

namespace bankhill::leader {

// Maximum number of unregistered machines remembered at the same time. After a change of leader every machine
// of a fleet may be unregistered, if the records cannot be read: twice the largest fleet that operators name,
// about 1 MB.
constexpr std::size_t kMaxUnregisteredMachines = 8192;

class UnregisteredMachines {
 public:
  // `min_probe_interval_s`: minimum time between two probes of one machine; `retention_s`: time without a new
  // heartbeat after which a machine is forgotten; `max_machines`: machines remembered at the same time,
  // beyond which further ones are not probed.
  UnregisteredMachines(double min_probe_interval_s, double retention_s, std::size_t max_machines)
      : min_probe_interval_s_(min_probe_interval_s), retention_s_(retention_s), max_machines_(max_machines) {}

  // Whether the sender of the heartbeat should be probed now. Outdated heartbeats and heartbeats too soon
  // after the last probe cause none.
  bool should_probe(const wire::Heartbeat& heartbeat, double now);
  void clear();
  std::size_t size() const { return machines_.size(); }

 private:
  struct Entry {
    // Agent epoch and sequence number of the newest heartbeat.
    std::pair<wire::AgentEpoch, std::uint64_t> newest_heartbeat;
    double last_heartbeat_at = 0;
    double last_probe_at = 0;
  };
  void evict_expired(double now);

  double min_probe_interval_s_;
  double retention_s_;
  std::size_t max_machines_;
  std::map<wire::MachineId, Entry> machines_;
  // Machines by the time at which their entry was added or last examined for eviction, in ascending order.
  std::deque<std::pair<double, wire::MachineId>> eviction_queue_;
};

}  // namespace bankhill::leader
