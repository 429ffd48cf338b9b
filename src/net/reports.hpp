// How reports of workers go between packages of one controller.
#pragma once

#include <functional>

#include "wire/frames.hpp"

namespace bankhill::net {

// By which way a report came to the leader: from its worker, passed on alone by a sibling since the worker
// cannot reach the leader, or in a delegate's bundle.
enum class Via { worker, sibling, delegate };

// Called once with what the leader says to a report; the id in it is for whoever carries it.
using RulingReply = std::function<void(wire::Ruling)>;

}  // namespace bankhill::net
