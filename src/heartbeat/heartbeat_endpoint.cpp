#include "heartbeat/heartbeat_endpoint.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::heartbeat {

using net::Response;
using wire::HeartbeatResponse;
using wire::HeartbeatResult;
using wire::Json;

namespace {
// A worker that returns within this many heartbeat intervals after a redirect could not reach the other
// controller.
constexpr double kRedirectMemoryIntervals = 8;
// Time limit for a relayed or forwarded heartbeat, in control intervals.
constexpr double kRelayTimeoutIntervals = 0.8;
// A worker without a heartbeat here for this many heartbeat intervals sends its heartbeats to another
// controller, or none at all.
constexpr double kLocalWorkerTimeoutIntervals = 2;
// Heartbeats are not forwarded to a leader whose last keep-alive is this many control intervals old.
constexpr double kPeerTimeoutIntervals = 2;
// At most this share of the local workers is redirected in a control interval, so that a controller that
// joins gets its share gradually.
constexpr double kMaxRedirectShare = 0.06;
// Minimum time between two batches of the forwarder to the same peer, in control intervals.
constexpr double kBatchIntervals = 0.006;
// Stands for the peer that relayed a single heartbeat, since a relayed request does not name it.
const std::string kUnnamedPeer = "a sibling";
// A forwarded heartbeat fails after at most this share of the time that a worker waits for a response.
constexpr double kResponseTimeoutShare = 0.7;

heartbeat::HeartbeatForwarder::Timing forwarder_timing(const HeartbeatSettings& settings) {
  return {kBatchIntervals * settings.control_interval_s,
          std::min(kRelayTimeoutIntervals * settings.control_interval_s,
                   kResponseTimeoutShare * net::kWorkerResponseTimeoutS),
          kRedirectMemoryIntervals * settings.heartbeat_interval_s};
}

Response accepted_response(const HeartbeatResponse& response) {
  return {200, Json{{"fence", response.fencing_token.value}, {"orders", to_json(response.commands)}}.dump(),
          std::nullopt};
}

// Refuses the heartbeat without naming a controller: the worker tries the next one a second later.
Response refused_response() { return {421, "{}", std::nullopt}; }
Response unavailable_response() { return {503, "{}", 1.0}; }
}  // namespace

HeartbeatEndpoint::HeartbeatEndpoint(runtime::Loop& loop, runtime::Log log, HeartbeatSettings settings,
                                     Ports ports)
    : Actor(loop),
      log_(std::move(log)),
      settings_(std::move(settings)),
      ports_(std::move(ports)),
      forwarder_(loop, loop.random()() >> 1, forwarder_timing(settings_),
                 {ports_.peers, [this](wire::Heartbeat heartbeat, std::uint64_t base_sequence,
                                       net::HeartbeatReply reply, const std::string& node) {
                    ports_.handle_heartbeat(std::move(heartbeat), base_sequence, std::move(reply),
                                            net::HeartbeatRoute::forwarded, node);
                  }}) {}

void HeartbeatEndpoint::start() { run_maintenance(); }

void HeartbeatEndpoint::on(StoreChanged& message) {
  for (const auto& change : *message.changes) {
    if (change.key != wire::kLeaderKey) continue;
    leader_.clear();
    redirects_.clear();
    if (!change.data) continue;
    try {
      leader_ = wire::parse_leader_record(*change.data).node;
    } catch (const std::exception&) {
      // The elector logs the malformed record. Meanwhile workers move on to the next controller.
    }
  }
}

void HeartbeatEndpoint::on(PeerMessage& message) {
  forwarder_.tell(heartbeat::PeerFrame{std::move(message.node), std::move(message.frame)});
}

void HeartbeatEndpoint::on(HeartbeatRequest& message) {
  wire::Heartbeat heartbeat;
  try {
    heartbeat = wire::parse_heartbeat(wire::parse_object(message.request.body));
  } catch (const wire::ProtocolError& error) {
    return message.reply({400, Json{{"error", error.what()}}.dump(), std::nullopt});
  }
  const auto peers = ports_.relay.peers();
  if (ports_.is_leading()) {
    if (!message.relayed && redirect_for_balance(heartbeat, peers, message.reply)) return;
    return ports_.handle_heartbeat(
        std::move(heartbeat), 0,
        [reply = std::move(message.reply)](const HeartbeatResponse& response) {
          reply(response.result == HeartbeatResult::accepted ? accepted_response(response)
                                                             : unavailable_response());
        },
        message.relayed ? net::HeartbeatRoute::relayed : net::HeartbeatRoute::direct,
        message.relayed ? kUnnamedPeer : "");
  }
  // This controller does not lead and has no right to accept a heartbeat: it never answers 200 without the
  // leader's response (invariant 18).
  if (!message.relayed && is_isolated(peers))
    return redirect_to_peer(heartbeat.machine_id, peers, message.reply);
  if (message.relayed || leader_.empty() || leader_ == settings_.node)
    return message.reply(unavailable_response());
  if (!is_forwarding(peers)) return redirect_to_leader(heartbeat.machine_id, message);
  if (redirect_for_balance(heartbeat, peers, message.reply)) return;
  const auto machine_id = heartbeat.machine_id;
  forwarder_.tell(heartbeat::ForwardHeartbeat{
      leader_, std::move(heartbeat),
      guard([this, machine_id, reply = std::move(message.reply)](const HeartbeatResponse& response) {
        if (response.result == HeartbeatResult::accepted) return reply(accepted_response(response));
        local_workers_.erase(machine_id);
        reply(refused_response());
      })});
}

// Workers are balanced only while all reachable peers support forwarding: a peer that does not would redirect
// every worker to the leader and so undo the balancing.
bool HeartbeatEndpoint::is_balancing(const Peers& peers) const {
  return settings_.forwards_heartbeats && std::all_of(peers.begin(), peers.end(), [](const auto& peer) {
           return !peer.fresh || peer.forwards_heartbeats;
         });
}

bool HeartbeatEndpoint::is_forwarding(const Peers& peers) const {
  if (leader_.empty() || leader_ == settings_.node || !is_balancing(peers)) return false;
  for (const auto& peer : peers)
    if (peer.node == leader_)
      return peer.forwards_heartbeats &&
             peer.silence_s < kPeerTimeoutIntervals * settings_.control_interval_s;
  return false;
}

bool HeartbeatEndpoint::is_isolated(const Peers& peers) const {
  return !peers.empty() &&
         std::none_of(peers.begin(), peers.end(), [](const auto& peer) { return peer.fresh; });
}

// No response of the leader can arrive while this controller is isolated (invariant 28). The worker is
// redirected at once to a named peer, because a refusal that names none costs the worker a second before it
// tries the next controller. The peer is drawn at random from those whose keep-alives arrived until the
// connection loss, so that not all workers go to the same peer.
void HeartbeatEndpoint::redirect_to_peer(const wire::MachineId& machine_id, const Peers& peers,
                                         const net::Reply& reply) {
  const double now = loop().now();
  local_workers_.erase(machine_id);
  const auto redirect = redirects_.find(machine_id);
  double min_keep_alive_age_s = peers.front().silence_s;
  for (const auto& peer : peers) min_keep_alive_age_s = std::min(min_keep_alive_age_s, peer.silence_s);
  std::vector<std::string> candidates;
  for (const auto& peer : peers)
    if (peer.silence_s < min_keep_alive_age_s + kPeerTimeoutIntervals * settings_.control_interval_s &&
        (redirect == redirects_.end() || redirect->second.controller != peer.node))
      candidates.push_back(peer.node);
  if (candidates.empty()) return reply(refused_response());
  const auto& node = candidates[loop().random()() % candidates.size()];
  redirects_[machine_id] = {node, now};
  reply({421, Json{{"controller", node}}.dump(), std::nullopt});
}

wire::ControllerLoad HeartbeatEndpoint::load() const {
  const auto peers = ports_.relay.peers();
  const bool accepts_workers = ports_.is_leading() ? is_balancing(peers) : is_forwarding(peers);
  return {static_cast<std::uint32_t>(local_workers_.size()),
          accepts_workers ? static_cast<std::uint32_t>(settings_.capacity) : 0, settings_.zone};
}

// Redirects the worker if another controller is to handle it. Returns whether it did; if not, the worker
// counts as local.
bool HeartbeatEndpoint::redirect_for_balance(const wire::Heartbeat& heartbeat, const Peers& peers,
                                             const net::Reply& reply) {
  const double now = loop().now();
  const bool is_local = local_workers_.contains(heartbeat.machine_id);
  if (!is_balancing(peers)) {
    local_workers_[heartbeat.machine_id] = now;
    return false;
  }
  std::vector<heartbeat::ControllerShare> controllers{{settings_.node, settings_.zone,
                                                       static_cast<double>(local_workers_.size()),
                                                       settings_.capacity, ports_.is_leading()}};
  for (const auto& peer : peers)
    if (peer.fresh && peer.load.capacity > 0)
      controllers.push_back({peer.node, peer.load.zone, peer.load.workers + redirects_by_peer_[peer.node],
                             static_cast<double>(peer.load.capacity), peer.node == leader_});
  const auto target = heartbeat::choose_controller(controllers, 0, heartbeat.zone, is_local);
  // A worker that returns shortly after a redirect could not reach the other controller.
  const auto redirect = redirects_.find(heartbeat.machine_id);
  const bool returned_after_redirect =
      redirect != redirects_.end() &&
      now - redirect->second.redirected_at < kRedirectMemoryIntervals * settings_.heartbeat_interval_s;
  if (target == 0 || (is_local && local_redirects_left_ < 1) || (!is_local && returned_after_redirect)) {
    local_workers_[heartbeat.machine_id] = now;
    return false;
  }
  if (is_local) local_redirects_left_ -= 1;
  const auto& node = controllers[target].node;
  redirects_[heartbeat.machine_id] = {node, now};
  local_workers_.erase(heartbeat.machine_id);
  redirects_by_peer_[node] += 1;
  reply({421, Json{{"controller", node}}.dump(), std::nullopt});
  return true;
}

void HeartbeatEndpoint::run_maintenance() {
  maintenance_timer_ = loop().after(settings_.control_interval_s / 2, guard([this] { run_maintenance(); }));
  const double now = loop().now();
  std::erase_if(local_workers_, [&](const auto& entry) {
    return now - entry.second > kLocalWorkerTimeoutIntervals * settings_.heartbeat_interval_s;
  });
  std::erase_if(redirects_, [&](const auto& entry) {
    return now - entry.second.redirected_at > kRedirectMemoryIntervals * settings_.heartbeat_interval_s;
  });
  // By now the loads that the peers announce include the workers redirected to them.
  redirects_by_peer_.clear();
  local_redirects_left_ = std::max(1.0, kMaxRedirectShare * static_cast<double>(local_workers_.size()) / 2);
  const auto peers = ports_.relay.peers();
  const bool now_isolated = is_isolated(peers);
  if (now_isolated != std::exchange(was_isolated_, now_isolated)) {
    if (now_isolated)
      log_->warn(
          "workers: keep-alives of all peer controllers are overdue; redirecting workers to the peers heard "
          "from last");
    else
      log_->info("workers: keep-alives of a peer controller arrive again; no longer isolated");
  }
  const bool now_balancing = is_balancing(peers);
  if (now_balancing != std::exchange(was_balancing_, now_balancing))
    log_->info(now_balancing ? "workers: balanced across all reachable controllers"
                             : "workers: redirected to the leader only, because a controller does not take "
                               "part in heartbeat forwarding");
}

void HeartbeatEndpoint::redirect_to_leader(const wire::MachineId& machine_id, HeartbeatRequest& message) {
  const double now = loop().now();
  auto& redirect = redirects_[machine_id];
  const bool returned_after_redirect =
      redirect.controller == leader_ &&
      now - redirect.redirected_at < kRedirectMemoryIntervals * settings_.heartbeat_interval_s;
  redirect = {leader_, now};
  if (!returned_after_redirect)
    return message.reply({421, Json{{"controller", leader_}}.dump(), std::nullopt});
  // The worker cannot reach the leader: relay its heartbeat, rather than redirect it again and again until
  // its lease expires.
  log_->debug("worker {}: returned after a redirect to the leader; relaying its heartbeat to {}",
              machine_id.value, leader_);
  ports_.relay.tell(net::RelayRequest{
      leader_, std::move(message.request), kRelayTimeoutIntervals * settings_.control_interval_s,
      guard([this, machine_id, reply = std::move(message.reply)](Response response) {
        if (response.status == 200) return reply(std::move(response));
        redirects_.erase(machine_id);
        reply(refused_response());
      })});
}

}  // namespace bankhill::heartbeat
