#include "heartbeat/heartbeat_endpoint.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::heartbeat {

using net::Response;
using wire::HeartbeatResponse;
using wire::HeartbeatResult;
using wire::Json;

namespace {
constexpr double kRedirectMemoryIntervals =
    8;  // heartbeat intervals in which coming back means: could not reach it
constexpr double kRelayIntervals = 0.8;
// A worker that has not reported for this many intervals reports elsewhere, or not at all.
constexpr double kLocalIntervals = 2;
// A leader that is silent for this many control intervals is not handed reports any more.
constexpr double kLeaderSilentIntervals = 2;
// Of the workers here, sent on a control interval at most: a controller that joins gets its part gradually.
constexpr double kMoveShare = 0.06;
constexpr double kBatchIntervals = 0.006;
// Relayed alone: by which peer is not told.
const std::string kUnnamedPeer = "a sibling";
constexpr double kAnswerShare = 0.7;  // of what a worker waits, at most

heartbeat::HeartbeatForwarder::Timing timing(const HeartbeatSettings& settings) {
  return {
      kBatchIntervals * settings.control_interval_s,
      std::min(kRelayIntervals * settings.control_interval_s, kAnswerShare * net::kWorkerResponseTimeoutS),
      kRedirectMemoryIntervals * settings.heartbeat_interval_s};
}

Response granted(const HeartbeatResponse& response) {
  return {200, Json{{"fence", response.fencing_token.value}, {"orders", to_json(response.commands)}}.dump(),
          std::nullopt};
}

// The worker tries the next controller a second later.
Response try_next_controller() { return {421, "{}", std::nullopt}; }
Response unavailable() { return {503, "{}", 1.0}; }
}  // namespace

HeartbeatEndpoint::HeartbeatEndpoint(runtime::Loop& loop, runtime::Log log, HeartbeatSettings settings,
                                     Ports ports)
    : Actor(loop),
      log_(std::move(log)),
      settings_(std::move(settings)),
      ports_(std::move(ports)),
      forwarder_(loop, loop.random()() >> 1, timing(settings_),
                 {ports_.peers, [this](wire::Heartbeat heartbeat, std::uint64_t base,
                                       net::HeartbeatReply reply, const std::string& node) {
                    ports_.take(std::move(heartbeat), base, std::move(reply), net::HeartbeatRoute::forwarded,
                                node);
                  }}) {}

void HeartbeatEndpoint::start() { maintain(); }

void HeartbeatEndpoint::on(StoreChanged& message) {
  for (const auto& change : *message.changes) {
    if (change.key != wire::kLeaderKey) continue;
    leader_.clear();
    redirected_.clear();
    if (!change.data) continue;
    try {
      leader_ = wire::parse_leader_record(*change.data).node;
    } catch (const std::exception&) {
      // The elector tells it; workers go on to the next controller meanwhile.
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
  if (ports_.leading()) {
    if (!message.relayed && redirected_for_balance(heartbeat, peers, message.reply)) return;
    return ports_.take(
        std::move(heartbeat), 0,
        [reply = std::move(message.reply)](const HeartbeatResponse& response) {
          reply(response.result == HeartbeatResult::accepted ? granted(response) : unavailable());
        },
        message.relayed ? net::HeartbeatRoute::relayed : net::HeartbeatRoute::direct,
        message.relayed ? kUnnamedPeer : "");
  }
  // No right to act for the controllers: never 200 on our own word (invariant 18).
  if (!message.relayed && isolated(peers))
    return redirect_to_peer(heartbeat.machine_id, peers, message.reply);
  if (message.relayed || leader_.empty() || leader_ == settings_.node) return message.reply(unavailable());
  if (!forwarding(peers)) return redirect_to_leader(heartbeat.machine_id, message);
  if (redirected_for_balance(heartbeat, peers, message.reply)) return;
  const auto machine_id = heartbeat.machine_id;
  forwarder_.tell(heartbeat::ForwardHeartbeat{
      leader_, std::move(heartbeat),
      guard([this, machine_id, reply = std::move(message.reply)](const HeartbeatResponse& response) {
        if (response.result == HeartbeatResult::accepted) return reply(granted(response));
        local_workers_.erase(machine_id);
        reply(try_next_controller());
      })});
}

// Workers are spread only while all peers that are there understand it: one that does not sends every
// worker to the leader, and would undo it.
bool HeartbeatEndpoint::balancing(const Peers& peers) const {
  return settings_.forwards_heartbeats && std::all_of(peers.begin(), peers.end(), [](const auto& peer) {
           return !peer.fresh || peer.forwards_heartbeats;
         });
}

bool HeartbeatEndpoint::forwarding(const Peers& peers) const {
  if (leader_.empty() || leader_ == settings_.node || !balancing(peers)) return false;
  for (const auto& peer : peers)
    if (peer.node == leader_)
      return peer.forwards_heartbeats &&
             peer.silence_s < kLeaderSilentIntervals * settings_.control_interval_s;
  return false;
}

bool HeartbeatEndpoint::isolated(const Peers& peers) const {
  return !peers.empty() &&
         std::none_of(peers.begin(), peers.end(), [](const auto& peer) { return peer.fresh; });
}

// No response can come here (invariant 28). The worker is refused at once, and by name: it goes on without
// the second that a refusal without one costs. To one of those heard until the cut, not all to the same.
void HeartbeatEndpoint::redirect_to_peer(const wire::MachineId& machine_id, const Peers& peers,
                                         const net::Reply& reply) {
  const double now = loop().now();
  local_workers_.erase(machine_id);
  const auto sent = redirected_.find(machine_id);
  double last = peers.front().silence_s;
  for (const auto& peer : peers) last = std::min(last, peer.silence_s);
  std::vector<std::string> there;
  for (const auto& peer : peers)
    if (peer.silence_s < last + kLeaderSilentIntervals * settings_.control_interval_s &&
        (sent == redirected_.end() || sent->second.controller != peer.node))
      there.push_back(peer.node);
  if (there.empty()) return reply(try_next_controller());
  const auto& node = there[loop().random()() % there.size()];
  redirected_[machine_id] = {node, now};
  reply({421, Json{{"controller", node}}.dump(), std::nullopt});
}

wire::ControllerLoad HeartbeatEndpoint::load() const {
  const auto peers = ports_.relay.peers();
  const bool takes = ports_.leading() ? balancing(peers) : forwarding(peers);
  return {static_cast<std::uint32_t>(local_workers_.size()),
          takes ? static_cast<std::uint32_t>(settings_.capacity) : 0, settings_.zone};
}

// Names the controller that is to take this worker, if it is not this one.
bool HeartbeatEndpoint::redirected_for_balance(const wire::Heartbeat& heartbeat, const Peers& peers,
                                               const net::Reply& reply) {
  const double now = loop().now();
  const bool settled = local_workers_.contains(heartbeat.machine_id);
  if (!balancing(peers)) {
    local_workers_[heartbeat.machine_id] = now;
    return false;
  }
  std::vector<heartbeat::ControllerShare> members{{settings_.node, settings_.zone,
                                                   static_cast<double>(local_workers_.size()),
                                                   settings_.capacity, ports_.leading()}};
  for (const auto& peer : peers)
    if (peer.fresh && peer.load.capacity > 0)
      members.push_back({peer.node, peer.load.zone, peer.load.workers + redirected_count_[peer.node],
                         static_cast<double>(peer.load.capacity), peer.node == leader_});
  const auto target = heartbeat::choose_controller(members, 0, heartbeat.zone, settled);
  // One that comes back could not reach the other.
  const auto sent = redirected_.find(heartbeat.machine_id);
  const bool came_back = sent != redirected_.end() &&
                         now - sent->second.at < kRedirectMemoryIntervals * settings_.heartbeat_interval_s;
  if (target == 0 || (settled && moves_left_ < 1) || (!settled && came_back)) {
    local_workers_[heartbeat.machine_id] = now;
    return false;
  }
  if (settled) moves_left_ -= 1;
  const auto& node = members[target].node;
  redirected_[heartbeat.machine_id] = {node, now};
  local_workers_.erase(heartbeat.machine_id);
  redirected_count_[node] += 1;
  reply({421, Json{{"controller", node}}.dump(), std::nullopt});
  return true;
}

void HeartbeatEndpoint::maintain() {
  maintain_timer_ = loop().after(settings_.control_interval_s / 2, guard([this] { maintain(); }));
  const double now = loop().now();
  std::erase_if(local_workers_, [&](const auto& entry) {
    return now - entry.second > kLocalIntervals * settings_.heartbeat_interval_s;
  });
  std::erase_if(redirected_, [&](const auto& entry) {
    return now - entry.second.at > kRedirectMemoryIntervals * settings_.heartbeat_interval_s;
  });
  // By now what they tell includes those.
  redirected_count_.clear();
  moves_left_ = std::max(1.0, kMoveShare * static_cast<double>(local_workers_.size()) / 2);
  const auto peers = ports_.relay.peers();
  const bool alone = isolated(peers);
  if (alone != std::exchange(was_isolated_, alone)) {
    if (alone)
      log_->warn("workers: no sibling is heard, sending workers on to them");
    else
      log_->info("workers: siblings are heard again");
  }
  const bool spread = balancing(peers);
  if (spread != std::exchange(was_balancing_, spread))
    log_->info(spread ? "workers: spread over all controllers that are there"
                      : "workers: sent to the leader alone, a sibling does not take part");
}

void HeartbeatEndpoint::redirect_to_leader(const wire::MachineId& machine_id, HeartbeatRequest& message) {
  const double now = loop().now();
  auto& sent = redirected_[machine_id];
  const bool came_back =
      sent.controller == leader_ && now - sent.at < kRedirectMemoryIntervals * settings_.heartbeat_interval_s;
  sent = {leader_, now};
  if (!came_back) return message.reply({421, Json{{"controller", leader_}}.dump(), std::nullopt});
  // It cannot reach the leader: pass its heartbeat on rather than send it round until its lease ends.
  log_->debug("worker {}: came back, passing its report on to {}", machine_id.value, leader_);
  ports_.relay.tell(
      net::RelayRequest{leader_, std::move(message.request), kRelayIntervals * settings_.control_interval_s,
                        guard([this, machine_id, reply = std::move(message.reply)](Response response) {
                          if (response.status == 200) return reply(std::move(response));
                          redirected_.erase(machine_id);
                          reply(try_next_controller());
                        })});
}

}  // namespace bankhill::heartbeat
