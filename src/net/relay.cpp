#include "net/relay.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::net {

namespace {
// A peer that is heard and leaves this many requests unanswered does not hear us, or stands still; it is
// tried again after so many beats.
constexpr int kUnanswered = 3;
constexpr double kRestBeats = 60;
constexpr int kNoAnswer = 0;
}  // namespace

Relay::Relay(runtime::Loop& loop, std::vector<std::string> peers, double beat_s, Ports ports)
    : Actor(loop),
      peers_(std::move(peers)),
      status_interval_s_(beat_s),
      ports_(std::move(ports)),
      next_id_(loop.random()() >> 1) {}

void Relay::start() { send_status(); }

void Relay::send_status() {
  const auto frame = ports_.status();
  const auto load = ports_.load();
  for (const auto& node : peers_) {
    ports_.peers.send(node, frame);
    // Only those whose beats say that they understand it, see wire/frames.hpp.
    const auto heard = peer_info_.find(node);
    if (heard != peer_info_.end() && fresh(heard->second) && heard->second.forwards_heartbeats)
      ports_.peers.send(node, load);
  }
  status_timer_ =
      loop().after(status_interval_s_ * loop().uniform(0.9, 1.1), guard([this] { send_status(); }));
}

std::string Relay::peer_with_state_service() const {
  const std::pair<const std::string, PeerInfo>* best = nullptr;
  for (const auto& entry : peer_info_) {
    const auto& heard = entry.second;
    if (!fresh(heard) || !heard.status.state_ok || !responds(heard)) continue;
    if (best == nullptr || heard.unanswered < best->second.unanswered) best = &entry;
  }
  return best == nullptr ? std::string() : best->first;
}

std::string Relay::leading_peer() const {
  const std::pair<const std::string, PeerInfo>* best = nullptr;
  for (const auto& entry : peer_info_) {
    const auto& heard = entry.second;
    if (!fresh(heard) || !heard.status.leading) continue;
    if (best == nullptr || heard.status.term > best->second.status.term) best = &entry;
  }
  return best == nullptr ? std::string() : best->first;
}

bool Relay::syncs_progress(const std::string& node) const {
  const auto found = peer_info_.find(node);
  return found != peer_info_.end() && found->second.syncs_progress;
}

bool Relay::responds(const PeerInfo& heard) const {
  return heard.unanswered < kUnanswered ||
         loop().now() - heard.unanswered_at > kRestBeats * status_interval_s_;
}

bool Relay::all_peers() const {
  return std::all_of(peers_.begin(), peers_.end(), [this](const auto& node) {
    const auto heard = peer_info_.find(node);
    return heard != peer_info_.end() && fresh(heard->second);
  });
}

bool Relay::is_heard(const std::string& node) const {
  const auto found = peer_info_.find(node);
  return found != peer_info_.end() && fresh(found->second);
}

bool Relay::any_peer() const {
  return std::any_of(peer_info_.begin(), peer_info_.end(),
                     [this](const auto& entry) { return fresh(entry.second); });
}

void Relay::on(Received& message) {
  if (auto* beat = std::get_if<wire::PeerStatus>(&message.frame)) {
    auto& heard = peer_info_[message.node];
    // What it understands is told only while it reaches the state service; until then it is as before, unless
    // it was silent so long that another version may have come in its place.
    if (beat->state_ok || !fresh(heard)) {
      heard.forwards_heartbeats = (beat->features & wire::kFeatureHeartbeatForwarding) != 0;
      heard.syncs_progress = (beat->features & wire::kFeatureProgressSync) != 0;
    }
    heard.status = *beat;
    heard.heard_at = loop().now();
    if (beat->leading) peer_led_at_ = heard.heard_at;
  } else if (auto* load = std::get_if<wire::ControllerLoad>(&message.frame)) {
    peer_info_[message.node].load = std::move(*load);
  } else if (auto* call = std::get_if<wire::RelayedRequest>(&message.frame)) {
    Request request{call->post ? Method::post : Method::get, std::move(call->path), std::move(call->body)};
    ports_.handler(
        std::move(request), guard([this, node = message.node, id = call->id](const Response& response) {
          wire::RelayedResponse answer{id, static_cast<std::uint16_t>(response.status), 0, response.body};
          if (response.retry_after_s)
            answer.retry_after_ms = static_cast<std::uint32_t>(*response.retry_after_s * 1000);
          ports_.peers.send(node, answer);
        }));
  } else if (auto* reply = std::get_if<wire::RelayedResponse>(&message.frame)) {
    Response response{reply->status, std::move(reply->body), std::nullopt};
    if (reply->retry_after_ms > 0) response.retry_after_s = reply->retry_after_ms / 1000.0;
    complete(reply->id, std::move(response));
  } else if (std::holds_alternative<wire::JobProgress>(message.frame) ||
             std::holds_alternative<wire::ProgressRequest>(message.frame) ||
             std::holds_alternative<wire::ProgressUpdate>(message.frame)) {
    ports_.progress(message.node, std::move(message.frame));
  } else if (std::holds_alternative<wire::ForwardedHeartbeats>(message.frame) ||
             std::holds_alternative<wire::HeartbeatResponses>(message.frame)) {
    ports_.heartbeats(message.node, std::move(message.frame));
  }
}

std::vector<PeerState> Relay::peers() const {
  std::vector<PeerState> result;
  for (const auto& [node, heard] : peer_info_)
    result.push_back(
        {node, loop().now() - heard.heard_at, fresh(heard), heard.forwards_heartbeats, heard.load});
  return result;
}

void Relay::on(RelayRequest& message) {
  const auto id = next_id_++;
  const bool sent =
      ports_.peers.send(message.node, wire::RelayedRequest{id, message.request.method == Method::post,
                                                           message.request.path, message.request.body});
  if (!sent) return message.reply(Response{});
  pending_[id] = {message.node, std::move(message.reply),
                  loop().after(message.timeout_s, guard([this, id] { complete(id, Response{}); }))};
}

void Relay::complete(std::uint64_t id, Response response) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const auto reply = std::move(found->second.reply);
  auto& heard = peer_info_[found->second.node];
  heard.unanswered = response.status == kNoAnswer ? heard.unanswered + 1 : 0;
  if (response.status == kNoAnswer) heard.unanswered_at = loop().now();
  pending_.erase(found);
  reply(std::move(response));
}

void Relay::on(Broadcast& message) {
  const bool answers_requests = (ports_.status().features & wire::kFeatureProgressSync) != 0;
  for (const auto& node : peers_)
    if (!answers_requests || !syncs_progress(node)) ports_.peers.send(node, message.progress);
}

}  // namespace bankhill::net
