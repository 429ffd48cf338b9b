#include "heartbeat/heartbeat_forwarder.hpp"

#include <utility>

namespace bankhill::heartbeat {

using wire::HeartbeatResponse;
using wire::HeartbeatResult;

namespace {
// A batch is sent at once when it holds this many heartbeats, responses, tasks and commands, which is well
// below the size limit of a frame.
constexpr std::size_t kMaxBatchItems = 512;
}  // namespace

HeartbeatForwarder::HeartbeatForwarder(runtime::Loop& loop, std::uint64_t first_id, Timing timing,
                                       Ports ports)
    : Actor(loop), timing_(timing), ports_(std::move(ports)), next_id_(first_id) {
  expire_exchanges();
}

void HeartbeatForwarder::on(ForwardHeartbeat& message) {
  const auto id = next_id_++;
  auto& exchange = exchanges_[id];
  exchange = {std::move(message.node), std::move(message.heartbeat), {}, std::move(message.reply)};
  exchange.fingerprint = wire::fingerprint(exchange.heartbeat);
  deadlines_.emplace_back(loop().now() + timing_.response_timeout_s, id);
  const auto base = accepted_bases_.find(exchange.heartbeat.machine_id);
  send_heartbeat(id, exchange,
                 base != accepted_bases_.end() && base->second.fingerprint == exchange.fingerprint);
}

void HeartbeatForwarder::send_heartbeat(std::uint64_t id, Exchange& exchange, bool is_brief) {
  auto& outbox = outboxes_[exchange.node];
  if (is_brief) {
    wire::ForwardedHeartbeat item{id, accepted_bases_.at(exchange.heartbeat.machine_id).sequence, {}};
    item.heartbeat.machine_id = exchange.heartbeat.machine_id;
    item.heartbeat.agent_epoch = exchange.heartbeat.agent_epoch;
    item.heartbeat.sequence = exchange.heartbeat.sequence;
    item.heartbeat.fencing_token = exchange.heartbeat.fencing_token;
    outbox.heartbeats.items.push_back(std::move(item));
  } else {
    outbox.task_and_command_count += exchange.heartbeat.tasks.size();
    outbox.heartbeats.items.push_back({id, 0, exchange.heartbeat});
  }
  schedule_flush(exchange.node);
}

// The first item after a pause is sent at once; items that follow within the batch interval are sent
// together.
void HeartbeatForwarder::schedule_flush(const std::string& node) {
  auto& outbox = outboxes_[node];
  if (outbox.heartbeats.items.size() + outbox.responses.items.size() + outbox.task_and_command_count >=
      kMaxBatchItems)
    return flush_outbox(node);
  if (outbox.timer) return;
  const double wait = std::max(0.0, outbox.last_flush_at + timing_.batch_interval_s - loop().now());
  outbox.timer = loop().after(wait, guard([this, node] { flush_outbox(node); }));
}

void HeartbeatForwarder::flush_outbox(const std::string& node) {
  auto& outbox = outboxes_[node];
  outbox.timer.reset();
  outbox.last_flush_at = loop().now();
  outbox.task_and_command_count = 0;
  const auto heartbeats = std::exchange(outbox.heartbeats, {});
  const auto responses = std::exchange(outbox.responses, {});
  // The loss of a response only costs the worker an attempt at the next controller (invariant 18).
  if (!responses.items.empty()) ports_.peers.send(node, responses);
  if (heartbeats.items.empty() || ports_.peers.send(node, heartbeats)) return;
  for (const auto& item : heartbeats.items) reject_exchange(item.id);
}

void HeartbeatForwarder::on(PeerFrame& message) {
  if (auto* heartbeats = std::get_if<wire::ForwardedHeartbeats>(&message.frame)) {
    for (auto& item : heartbeats->items)
      ports_.handle_heartbeat(std::move(item.heartbeat), item.base_sequence,
                              guard([this, node = message.node, id = item.id](HeartbeatResponse response) {
                                response.id = id;
                                auto& outbox = outboxes_[node];
                                outbox.task_and_command_count += response.commands.size();
                                outbox.responses.items.push_back(std::move(response));
                                schedule_flush(node);
                              }),
                              message.node);
  } else if (auto* responses = std::get_if<wire::HeartbeatResponses>(&message.frame)) {
    for (auto& response : responses->items) handle_response(response);
  }
}

void HeartbeatForwarder::handle_response(HeartbeatResponse& response) {
  const auto found = exchanges_.find(response.id);
  if (found == exchanges_.end()) return;  // The exchange has expired, or an earlier process started it.
  auto& exchange = found->second;
  const auto& machine_id = exchange.heartbeat.machine_id;
  if (response.result == HeartbeatResult::resend_in_full) {
    accepted_bases_.erase(machine_id);
    return send_heartbeat(response.id, exchange, false);
  }
  if (response.result == HeartbeatResult::accepted) {
    auto& base = accepted_bases_[machine_id];
    base.last_accepted_at = loop().now();
    // A brief heartbeat refers to a full one that the leader has (invariant 19), so only a full heartbeat
    // becomes the base.
    if (base.fingerprint != exchange.fingerprint) {
      base.fingerprint = std::move(exchange.fingerprint);
      base.sequence = exchange.heartbeat.sequence;
    }
  } else {
    accepted_bases_.erase(machine_id);
  }
  const auto reply = std::move(exchange.reply);
  exchanges_.erase(found);
  reply(std::move(response));
}

void HeartbeatForwarder::reject_exchange(std::uint64_t id) {
  HeartbeatResponse response;
  response.id = id;
  handle_response(response);
}

void HeartbeatForwarder::expire_exchanges() {
  const double now = loop().now();
  expiry_timer_ = loop().after(timing_.response_timeout_s / 16, guard([this] { expire_exchanges(); }));
  while (!deadlines_.empty() && deadlines_.front().first <= now) {
    const auto id = deadlines_.front().second;
    deadlines_.pop_front();
    reject_exchange(id);
  }
  if (now < next_cleanup_at_) return;
  next_cleanup_at_ = now + timing_.base_retention_s;
  std::erase_if(accepted_bases_, [&](const auto& entry) {
    return now - entry.second.last_accepted_at > timing_.base_retention_s;
  });
}

}  // namespace bankhill::heartbeat
