#include "heartbeat/heartbeat_forwarder.hpp"

#include <utility>

namespace bankhill::heartbeat {

using wire::HeartbeatResponse;
using wire::HeartbeatResult;

namespace {
// A batch goes out at once when it holds this many reports, responses, tasks and orders: well below a frame's
// limit.
constexpr std::size_t kBatchItems = 512;
}  // namespace

HeartbeatForwarder::HeartbeatForwarder(runtime::Loop& loop, std::uint64_t first_id, Timing timing,
                                       Ports ports)
    : Actor(loop), timing_(timing), ports_(std::move(ports)), next_id_(first_id) {
  expire();
}

void HeartbeatForwarder::on(ForwardHeartbeat& message) {
  const auto id = next_id_++;
  auto& exchange = exchanges_[id];
  exchange = {std::move(message.node), std::move(message.heartbeat), {}, std::move(message.reply)};
  exchange.fingerprint = wire::fingerprint(exchange.heartbeat);
  deadlines_.emplace_back(loop().now() + timing_.response_s, id);
  const auto known = known_.find(exchange.heartbeat.machine_id);
  send(id, exchange, known != known_.end() && known->second.fingerprint == exchange.fingerprint);
}

void HeartbeatForwarder::send(std::uint64_t id, Exchange& exchange, bool brief) {
  auto& outbox = outboxes_[exchange.node];
  if (brief) {
    wire::ForwardedHeartbeat item{id, known_.at(exchange.heartbeat.machine_id).sequence, {}};
    item.heartbeat.machine_id = exchange.heartbeat.machine_id;
    item.heartbeat.agent_epoch = exchange.heartbeat.agent_epoch;
    item.heartbeat.sequence = exchange.heartbeat.sequence;
    item.heartbeat.fencing_token = exchange.heartbeat.fencing_token;
    outbox.heartbeats.items.push_back(std::move(item));
  } else {
    outbox.task_count += exchange.heartbeat.tasks.size();
    outbox.heartbeats.items.push_back({id, 0, exchange.heartbeat});
  }
  schedule(exchange.node);
}

// The first after a pause goes at once; what follows within the pause goes together.
void HeartbeatForwarder::schedule(const std::string& node) {
  auto& outbox = outboxes_[node];
  if (outbox.heartbeats.items.size() + outbox.responses.items.size() + outbox.task_count >= kBatchItems)
    return flush(node);
  if (outbox.timer) return;
  const double wait = std::max(0.0, outbox.last + timing_.batch_s - loop().now());
  outbox.timer = loop().after(wait, guard([this, node] { flush(node); }));
}

void HeartbeatForwarder::flush(const std::string& node) {
  auto& outbox = outboxes_[node];
  outbox.timer.reset();
  outbox.last = loop().now();
  outbox.task_count = 0;
  const auto heartbeats = std::exchange(outbox.heartbeats, {});
  const auto responses = std::exchange(outbox.responses, {});
  // Responses that get lost cost their workers a try at the next controller, no more (invariant 18).
  if (!responses.items.empty()) ports_.peers.send(node, responses);
  if (heartbeats.items.empty() || ports_.peers.send(node, heartbeats)) return;
  for (const auto& item : heartbeats.items) reject(item.id);
}

void HeartbeatForwarder::on(PeerFrame& message) {
  if (auto* heartbeats = std::get_if<wire::ForwardedHeartbeats>(&message.frame)) {
    for (auto& item : heartbeats->items)
      ports_.take(std::move(item.heartbeat), item.base_sequence,
                  guard([this, node = message.node, id = item.id](HeartbeatResponse response) {
                    response.id = id;
                    auto& outbox = outboxes_[node];
                    outbox.task_count += response.commands.size();
                    outbox.responses.items.push_back(std::move(response));
                    schedule(node);
                  }),
                  message.node);
  } else if (auto* responses = std::get_if<wire::HeartbeatResponses>(&message.frame)) {
    for (auto& response : responses->items) complete(response);
  }
}

void HeartbeatForwarder::complete(HeartbeatResponse& response) {
  const auto found = exchanges_.find(response.id);
  if (found == exchanges_.end()) return;  // given up, or of an earlier process
  auto& exchange = found->second;
  const auto& machine_id = exchange.heartbeat.machine_id;
  if (response.result == HeartbeatResult::resend_in_full) {
    known_.erase(machine_id);
    return send(response.id, exchange, false);
  }
  if (response.result == HeartbeatResult::accepted) {
    auto& known = known_[machine_id];
    known.heard = loop().now();
    // A brief heartbeat stands for one that the leader has (invariant 19): only a full one becomes a base.
    if (known.fingerprint != exchange.fingerprint) {
      known.fingerprint = std::move(exchange.fingerprint);
      known.sequence = exchange.heartbeat.sequence;
    }
  } else {
    known_.erase(machine_id);
  }
  const auto reply = std::move(exchange.reply);
  exchanges_.erase(found);
  reply(std::move(response));
}

void HeartbeatForwarder::reject(std::uint64_t id) {
  HeartbeatResponse response;
  response.id = id;
  complete(response);
}

void HeartbeatForwarder::expire() {
  const double now = loop().now();
  expiry_ = loop().after(timing_.response_s / 16, guard([this] { expire(); }));
  while (!deadlines_.empty() && deadlines_.front().first <= now) {
    const auto id = deadlines_.front().second;
    deadlines_.pop_front();
    reject(id);
  }
  if (now < next_forget_) return;
  next_forget_ = now + timing_.forget_s;
  std::erase_if(known_, [&](const auto& entry) { return now - entry.second.heard > timing_.forget_s; });
}

}  // namespace bankhill::heartbeat
