// Machines that heartbeat and that the leader does not know: rented by a request that was executed late,
// released and forgotten long ago, or never there. Whether one is there shows its answer to a question sent
// to its address; a heartbeat alone may be a copy of any age (invariant 26). Pure: no input, output or
// clocks.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "wire/messages.hpp"

namespace bankhill::leader {

// Remembered at the same time. After a change of leader every machine of a fleet may be one of them (records
// that cannot be read): twice the largest fleet that operators name, about 1 MB.
constexpr std::size_t kMaxUnregisteredMachines = 8192;

class UnregisteredMachines {
 public:
  // `again_s`: least time between two questions to one; `forget_s`: after which one that brought nothing new
  // is forgotten; `most`: remembered at the same time, others are not asked.
  UnregisteredMachines(double again_s, double forget_s, std::size_t most)
      : again_s_(again_s), forget_s_(forget_s), most_(most) {}

  // Whether it is to be asked now: not for a heartbeat that brings nothing new, and not too often.
  bool should_probe(const wire::Heartbeat& heartbeat, double now);
  void clear();
  std::size_t size() const { return known_.size(); }

 private:
  struct Known {
    std::pair<wire::AgentEpoch, std::uint64_t> newest;
    double heard = 0;
    double asked = 0;
  };
  void forget(double now);

  double again_s_;
  double forget_s_;
  std::size_t most_;
  std::map<wire::MachineId, Known> known_;
  std::deque<std::pair<double, wire::MachineId>> order_;  // rising: when each was last looked at, or later
};

}  // namespace bankhill::leader
