// Carries heartbeats of workers to the leader and its responses back, in batches. docs/DELEGATES.md weighs
// the ways; invariants 18 and 19 in docs/SAFETY.md.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "net/heartbeat_routing.hpp"
#include "net/http.hpp"
#include "runtime/actor.hpp"

namespace bankhill::heartbeat {

// Messages.
struct ForwardHeartbeat {  // to the leader `node`; refused when no response came in time
  std::string node;
  wire::Heartbeat heartbeat;
  net::HeartbeatReply reply;
};
struct PeerFrame {  // Reports for the leader here, or Responses for this forwarding controller
  std::string node;
  wire::Frame frame;
};

class HeartbeatForwarder : public runtime::Actor<HeartbeatForwarder, ForwardHeartbeat, PeerFrame> {
 public:
  struct Ports {
    net::PeerTransport& peers;
    // To the leader of this controller; `base` is not 0 for a brief heartbeat, `node` is the forwarding
    // controller.
    std::function<void(wire::Heartbeat, std::uint64_t base, net::HeartbeatReply, const std::string& node)>
        take;
  };
  struct Timing {
    double batch_s = 0;     // reports and responses wait this long for others
    double response_s = 0;  // without a response for this long a heartbeat counts as refused
    double forget_s = 0;    // a worker not heard for this long is forgotten
  };

  // `first_id`: where the exchanges' ids begin, another for each process, so that a response for an earlier
  // process of this controller finds nothing.
  HeartbeatForwarder(runtime::Loop& loop, std::uint64_t first_id, Timing timing, Ports ports);

  void on(ForwardHeartbeat& message);
  void on(PeerFrame& message);

 private:
  struct LeaderKnowledge {  // what the leader knows of a worker from us
    std::string fingerprint;
    std::uint64_t sequence = 0;  // of the heartbeat that told it
    double heard = 0;
  };
  struct Exchange {
    std::string node;
    wire::Heartbeat heartbeat;
    std::string fingerprint;
    net::HeartbeatReply reply;
  };
  struct Outbox {  // to one peer
    wire::ForwardedHeartbeats heartbeats;
    wire::HeartbeatResponses responses;
    std::size_t task_count = 0;  // tasks and orders in them: a measure of their size
    double last = -1e9;          // flushed
    runtime::Timer timer;        // empty: no flush is to come
  };

  void send(std::uint64_t id, Exchange& exchange, bool brief);
  void schedule(const std::string& node);
  void flush(const std::string& node);
  void complete(wire::HeartbeatResponse& response);
  void reject(std::uint64_t id);
  void expire();

  Timing timing_;
  Ports ports_;
  std::uint64_t next_id_;
  std::map<wire::MachineId, LeaderKnowledge> known_;
  std::map<std::uint64_t, Exchange> exchanges_;
  std::deque<std::pair<double, std::uint64_t>> deadlines_;  // rising
  std::map<std::string, Outbox> outboxes_;
  runtime::Timer expiry_;
  double next_forget_ = 0;
};

}  // namespace bankhill::heartbeat
