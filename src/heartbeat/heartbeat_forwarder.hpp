// Forwards heartbeats of workers to the leader and returns the leader's responses, both in batches.
// docs/DELEGATES.md compares this with the alternatives; see also invariants 18 and 19 in docs/SAFETY.md.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "net/heartbeat_routing.hpp"
#include "net/http.hpp"
#include "runtime/actor.hpp"

namespace bankhill::heartbeat {

// Messages to the heartbeat forwarder.

// Asks to forward a heartbeat to the leader `node`. The reply is a rejection if no response arrives in time.
struct ForwardHeartbeat {
  std::string node;
  wire::Heartbeat heartbeat;
  net::HeartbeatReply reply;
};
// The peer `node` has sent heartbeats for the leader of this controller, or the leader's responses to
// heartbeats that this controller forwarded.
struct PeerFrame {
  std::string node;
  wire::Frame frame;
};

// The actor that owns the unanswered exchanges and the outgoing batches. Used by HeartbeatEndpoint.
class HeartbeatForwarder : public runtime::Actor<HeartbeatForwarder, ForwardHeartbeat, PeerFrame> {
 public:
  struct Ports {
    net::PeerTransport& peers;
    // Passes a heartbeat to the leader actor of this controller. `base_sequence` is 0 for a full heartbeat;
    // for a brief one it is the sequence number of the full heartbeat that completes it. `node` is the
    // forwarding controller.
    std::function<void(wire::Heartbeat, std::uint64_t base_sequence, net::HeartbeatReply,
                       const std::string& node)>
        handle_heartbeat;
  };
  struct Timing {
    // Minimum time between two batches to the same peer, in seconds.
    double batch_interval_s = 0;
    // A heartbeat counts as rejected when it has no response after this many seconds.
    double response_timeout_s = 0;
    // The base of a worker is dropped when the leader accepted no heartbeat of it for this many seconds.
    double base_retention_s = 0;
  };

  // `first_id` is the id of the first exchange. It must differ between processes, so that a response to an
  // earlier process of this controller matches no exchange.
  HeartbeatForwarder(runtime::Loop& loop, std::uint64_t first_id, Timing timing, Ports ports);

  void on(ForwardHeartbeat& message);
  void on(PeerFrame& message);

 private:
  // The last full heartbeat of a worker that this controller forwarded and the leader accepted.
  struct AcceptedBase {
    std::string fingerprint;
    std::uint64_t sequence = 0;
    double last_accepted_at = 0;  // Time of the last accepted heartbeat, full or brief, on the steady clock.
  };
  // A forwarded heartbeat without a final response yet.
  struct Exchange {
    std::string node;
    wire::Heartbeat heartbeat;
    std::string fingerprint;
    net::HeartbeatReply reply;
  };
  // The next batches of heartbeats and responses to one peer.
  struct Outbox {
    wire::ForwardedHeartbeats heartbeats;
    wire::HeartbeatResponses responses;
    // Number of tasks and commands in the batches, as a measure of their size.
    std::size_t task_and_command_count = 0;
    // Time of the last flush on the steady clock.
    double last_flush_at = -1e9;
    // Timer of the next flush; empty if none is scheduled.
    runtime::Timer timer;
  };

  void send_heartbeat(std::uint64_t id, Exchange& exchange, bool is_brief);
  void schedule_flush(const std::string& node);
  void flush_outbox(const std::string& node);
  void handle_response(wire::HeartbeatResponse& response);
  void reject_exchange(std::uint64_t id);
  void expire_exchanges();

  Timing timing_;
  Ports ports_;
  std::uint64_t next_id_;
  std::map<wire::MachineId, AcceptedBase> accepted_bases_;
  std::map<std::uint64_t, Exchange> exchanges_;
  // Deadlines of the exchanges with their ids, in ascending order.
  std::deque<std::pair<double, std::uint64_t>> deadlines_;
  std::map<std::string, Outbox> outboxes_;
  runtime::Timer expiry_timer_;
  double next_cleanup_at_ = 0;
};

}  // namespace bankhill::heartbeat
