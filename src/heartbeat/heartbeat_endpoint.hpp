// Receives the heartbeats of workers. The leader handles heartbeats itself. Any other controller forwards
// them to the leader and answers with the leader's response. The load of the controllers decides which of
// them a worker sends its heartbeats to (heartbeat/balance.hpp). As long as a peer does not support
// forwarding, controllers other than the leader redirect workers to the leader, or relay single heartbeats of
// workers that cannot reach it.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "heartbeat/balance.hpp"
#include "heartbeat/heartbeat_forwarder.hpp"
#include "net/http.hpp"
#include "net/relay.hpp"
#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "state/store.hpp"
#include "wire/records.hpp"

namespace bankhill::heartbeat {

// Messages to the heartbeat endpoint.

// The state service has published changes.
struct StoreChanged {
  state::Changes changes;
};
// A worker has sent a heartbeat, directly or through a peer.
struct HeartbeatRequest {
  net::Request request;
  net::Reply reply;
  bool relayed = false;  // Whether a peer relayed the request.
};
// A peer has sent a frame with forwarded heartbeats or with responses to them.
struct PeerMessage {
  std::string node;
  wire::Frame frame;
};

struct HeartbeatSettings {
  std::string node;
  std::string zone;
  double heartbeat_interval_s = 0;
  double control_interval_s = 0;
  double capacity = 1;              // Number of workers that this controller can handle.
  bool forwards_heartbeats = true;  // Whether this controller takes part in heartbeat forwarding.
};

// The actor that answers heartbeats, or redirects the worker to another controller. It owns the forwarder and
// the records of local and redirected workers.
class HeartbeatEndpoint
    : public runtime::Actor<HeartbeatEndpoint, StoreChanged, HeartbeatRequest, PeerMessage> {
 public:
  struct Ports {
    net::Relay& relay;
    net::PeerTransport& peers;
    std::function<bool()> is_leading;
    // Passes a heartbeat to the leader actor of this controller. `via_peer` is the peer that the
    // heartbeat came through; empty if it came directly.
    std::function<void(wire::Heartbeat, std::uint64_t base_sequence, net::HeartbeatReply, net::HeartbeatRoute,
                       const std::string& via_peer)>
        handle_heartbeat;
  };

  HeartbeatEndpoint(runtime::Loop& loop, runtime::Log log, HeartbeatSettings settings, Ports ports);
  void start();

  void on(StoreChanged& message);
  void on(HeartbeatRequest& message);
  void on(PeerMessage& message);

  // The load that this controller announces to its peers.
  wire::ControllerLoad load() const;

 private:
  // A redirect of a worker to another controller.
  struct Redirect {
    std::string controller;
    double redirected_at = 0;  // Time of the redirect on the steady clock.
  };
  using Peers = std::vector<net::PeerState>;
  // Whether workers are balanced across the controllers.
  bool is_balancing(const Peers& peers) const;
  // Whether heartbeats are forwarded to the leader.
  bool is_forwarding(const Peers& peers) const;
  bool redirect_for_balance(const wire::Heartbeat& heartbeat, const Peers& peers, const net::Reply& reply);
  void redirect_to_leader(const wire::MachineId& machine_id, HeartbeatRequest& message);
  // Whether the keep-alives of all peers are overdue.
  bool is_isolated(const Peers& peers) const;
  void redirect_to_peer(const wire::MachineId& machine_id, const Peers& peers, const net::Reply& reply);
  void run_maintenance();

  runtime::Log log_;
  HeartbeatSettings settings_;
  Ports ports_;
  heartbeat::HeartbeatForwarder forwarder_;
  std::string leader_;
  std::map<wire::MachineId, Redirect> redirects_;
  // Time of the last heartbeat of each worker that sends its heartbeats to this controller.
  std::map<wire::MachineId, double> local_workers_;
  // Number of workers redirected to each peer that its announced load may not include yet.
  std::map<std::string, double> redirects_by_peer_;
  // Number of local workers that may still be redirected before the next maintenance.
  double local_redirects_left_ = 0;
  bool was_balancing_ = false;
  bool was_isolated_ = false;
  runtime::Timer maintenance_timer_;
};

}  // namespace bankhill::heartbeat
