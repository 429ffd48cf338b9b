// One controller: every actor, wired together over a loop, an HTTP client and a peer port.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "app/settings.hpp"
#include "cloud/cloud.hpp"
#include "election/elector.hpp"
#include "gateway/gateway.hpp"
#include "gateway/progress_sync.hpp"
#include "heartbeat/heartbeat_endpoint.hpp"
#include "leader/leader.hpp"
#include "net/http.hpp"
#include "net/relay.hpp"
#include "policy/policy_watcher.hpp"
#include "runtime/loop.hpp"
#include "state/store.hpp"

namespace bankhill::app {

// A whole controller; what surrounds it is given, so that it runs in a simulation too.
class Node {
 public:
  // `client` asks the state service and the cloud, `workers` the workers.
  Node(runtime::Loop& loop, const runtime::Log& log, const Settings& settings, std::uint64_t incarnation,
       net::Client& client, net::Client& workers, net::PeerTransport& peers);
  void start();
  // Serves a request of a user, a worker or the load balancer.
  void handle(net::Request request, net::Reply reply) { route(std::move(request), std::move(reply), false); }
  bool leading() const { return leader_.is_active_leader(); }
  std::uint64_t term() const { return leader_.term(); }
  const policy::Policy& policy() const { return follower_.policy(); }
  // As this controller would decide on it; nothing: not known.
  const model::Job* job(const wire::JobId& id) const { return leader_.job(id); }

 private:
  void route(net::Request request, net::Reply reply, bool relayed);
  void ask_own_leader(const wire::ProgressRequest& request);
  void route_progress(net::PeerTransport& peers, const std::string& node, wire::Frame frame);

  std::uint8_t features_;  // that this controller tells its peers of
  state::Store store_;
  policy::PolicyWatcher follower_;
  cloud::Cloud cloud_;
  net::Relay relay_;
  election::Elector elector_;
  gateway::ProgressSync progress_;
  leader::Leader leader_;
  heartbeat::HeartbeatEndpoint desk_;
  gateway::Gateway gateway_;
};

}  // namespace bankhill::app
