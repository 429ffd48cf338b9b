// Where workers report. The leader takes reports itself; a forwarding controller hands them on to the leader
// and answers with its word; which controller a worker stays with follows from how full each is
// (heartbeat/balance.hpp). While a peer does not understand this, others than the leader name it or pass
// single reports on, as before.
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

// Messages.
struct StoreChanged {
  state::Changes changes;
};
struct HeartbeatRequest {
  net::Request request;
  net::Reply reply;
  bool relayed = false;
};
struct PeerMessage {  // Reports or Responses
  std::string node;
  wire::Frame frame;
};

struct HeartbeatSettings {
  std::string node;
  std::string zone;
  double heartbeat_interval_s = 0;
  double control_interval_s = 0;
  double capacity = 1;              // in workers
  bool forwards_heartbeats = true;  // takes part in delegation
};

class HeartbeatEndpoint
    : public runtime::Actor<HeartbeatEndpoint, StoreChanged, HeartbeatRequest, PeerMessage> {
 public:
  struct Ports {
    net::Relay& relay;
    net::PeerTransport& peers;
    std::function<bool()> leading;
    // To the leader of this controller; `by`: the peer that it came through.
    std::function<void(wire::Heartbeat, std::uint64_t base, net::HeartbeatReply, net::HeartbeatRoute,
                       const std::string& by)>
        take;
  };

  HeartbeatEndpoint(runtime::Loop& loop, runtime::Log log, HeartbeatSettings settings, Ports ports);
  void start();

  void on(StoreChanged& message);
  void on(HeartbeatRequest& message);
  void on(PeerMessage& message);

  // What peers are told of the workers here.
  wire::ControllerLoad load() const;

 private:
  struct Sent {
    std::string controller;
    double at = 0;
  };
  using Peers = std::vector<net::PeerState>;
  bool balancing(const Peers& peers) const;
  bool forwarding(const Peers& peers) const;
  bool redirected_for_balance(const wire::Heartbeat& heartbeat, const Peers& peers, const net::Reply& reply);
  void redirect_to_leader(const wire::MachineId& machine_id, HeartbeatRequest& message);
  // Whether no peer is heard any more.
  bool isolated(const Peers& peers) const;
  void redirect_to_peer(const wire::MachineId& machine_id, const Peers& peers, const net::Reply& reply);
  void maintain();

  runtime::Log log_;
  HeartbeatSettings settings_;
  Ports ports_;
  heartbeat::HeartbeatForwarder forwarder_;
  std::string leader_;
  std::map<wire::MachineId, Sent> redirected_;
  std::map<wire::MachineId, double> local_workers_;  // workers that heartbeat here: when they last did
  std::map<std::string, double> redirected_count_;   // workers sent to a peer since it last told its load
  double moves_left_ = 0;                            // settled workers that may be sent on now
  bool was_balancing_ = false;
  bool was_isolated_ = false;
  runtime::Timer maintain_timer_;
};

}  // namespace bankhill::heartbeat
