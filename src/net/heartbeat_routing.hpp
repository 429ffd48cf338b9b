// How heartbeats of workers go between packages of one controller.
#pragma once

#include <functional>

#include "wire/frames.hpp"

namespace bankhill::net {

// By which way a heartbeat came to the leader: from its worker, passed on alone by a peer since the worker
// cannot reach the leader, or in a forwarding controller's batch.
enum class HeartbeatRoute { direct, relayed, forwarded };

// Called once with what the leader says to a heartbeat; the id in it is for whoever carries it.
using HeartbeatReply = std::function<void(wire::HeartbeatResponse)>;

}  // namespace bankhill::net
