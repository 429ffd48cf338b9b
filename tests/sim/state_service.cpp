// The stand-in of the state service.
#include <algorithm>

#include "sim/world.hpp"

namespace bankhill::sim {

using net::Method;
using net::Request;
using net::Response;
using wire::Json;

void World::serve_state(const Request& request, net::Reply reply) {
  bool answered = true;
  auto response = state_call(0, request, reply, answered);
  if (answered) reply(std::move(response));
}

void World::write(const std::string& key, Json data, bool checked) {
  foreign_ = !checked;
  commit(Json{{"when", Json::array()}, {"writes", {{{"write", key}, {"data", std::move(data)}}}}});
  foreign_ = false;
}

void World::drop_hold(std::uint64_t hold) {
  holds_.erase(hold);
  std::vector<std::string> gone;
  for (const auto& [key, entry] : keys_)
    if (entry.hold == hold) gone.push_back(key);
  if (gone.empty()) return;
  ++epoch_;
  for (const auto& key : gone) {
    keys_.erase(key);
    history_.emplace_back(epoch_, Json{{"delete", key}, {"stamp", epoch_}});
  }
  state_changed();
}

void World::expire_holds() {
  const bool down = now_ < state_down_until_;
  if (down) {
    state_was_down_ = true;
    return;
  }
  if (std::exchange(state_was_down_, false))
    for (auto& [hold, life] : holds_) life.second = now_ + life.first;
  std::vector<std::uint64_t> over;
  for (const auto& [hold, life] : holds_)
    if (now_ > life.second) over.push_back(hold);
  for (const auto hold : over) drop_hold(hold);
}

void World::state_changed() {
  auto watchers = std::exchange(watchers_, {});
  for (auto& watcher : watchers) at(now_, std::move(watcher));
}

Json World::news(std::uint64_t after) const {
  Json list = Json::array();
  for (const auto& [epoch, change] : history_)
    if (epoch > after) list.push_back(change);
  return Json{{"epoch", epoch_}, {"news", std::move(list)}};
}

bool World::too_large(const Json& body) const {
  if (body.dump().size() > wire::kMaxBody || body["writes"].size() > limits_.state_txn_ops ||
      body["when"].size() > 4 * limits_.state_txn_ops)
    return true;
  return std::any_of(body["writes"].begin(), body["writes"].end(), [this](const Json& write) {
    return write.contains("data") &&
           static_cast<double>(write["data"].dump().size()) > limits_.state_value_kb * 1024;
  });
}

Response World::commit(const Json& body) {
  if (too_large(body)) {
    ++too_large_refused;
    return {400, R"({"error":"too large"})", std::nullopt};
  }
  for (const auto& write : body["writes"])
    if (write.contains("hold") && !holds_.contains(write["hold"].get<std::uint64_t>()))
      return {400, R"({"error":"no such lease"})", std::nullopt};
  Json failed = Json::array();
  for (const auto& condition : body["when"]) {
    const auto found = keys_.find(condition["k"].get<std::string>());
    if ((found == keys_.end() ? 0 : found->second.stamp) != condition["stamp"].get<std::uint64_t>())
      failed.push_back(condition["k"]);
  }
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"epoch", epoch_}}.dump(), std::nullopt};
  for (const auto& write : body["writes"])
    if (write.contains("write") && untaken.contains(write["write"].get<std::string>()))
      return {400, R"({"error":"too large"})", std::nullopt};
  check_commit(body);
  if (!body["writes"].empty()) {
    const bool vacant = !keys_.contains(wire::kLeaderKey);
    ++epoch_;
    for (const auto& write : body["writes"]) {
      if (write.contains("write")) {
        const auto key = write["write"].get<std::string>();
        keys_[key] = {write["data"], epoch_, write.value("hold", std::uint64_t{0})};
        if (key.starts_with(wire::kRentals)) rentals_recorded_.insert(key.substr(wire::kRentals.size()));
        history_.emplace_back(epoch_, Json{{"write", key}, {"data", write["data"]}, {"stamp", epoch_}});
      } else {
        const auto key = write["delete"].get<std::string>();
        if (keys_.erase(key) > 0) history_.emplace_back(epoch_, Json{{"delete", key}, {"stamp", epoch_}});
      }
    }
    state_changed();
    for (const auto& write : body["writes"])
      if (vacant && write.value("write", "") == wire::kLeaderKey && write["data"].is_object())
        won(wire::parse_leader_record(write["data"]).node.back() - '0');
  }
  return {200, Json{{"epoch", epoch_}}.dump(), std::nullopt};
}

// Some requests get no answer; transactions among them may be carried out, at once or later.
bool World::unanswered(int node, const Request& request) {
  const bool any = chance(0.002);
  if (request.path != "/commit") return any;
  auto body = Json::parse(request.body);
  const auto& writes = body["writes"];
  if (hold_next && std::any_of(writes.begin(), writes.end(), hold_next)) {
    hold_next = nullptr;
    held_back = std::move(body);
    return true;
  }
  if (lose_next && std::any_of(writes.begin(), writes.end(), lose_next)) {
    lose_next = nullptr;
    lost_by = node;
    lost_answers_count += commit(body).status == 200 ? 1U : 0U;
    return true;
  }
  const bool late = now_ < late_until_ && chance(late_share_);
  if (!any && !late) return false;
  if (!late && chance(0.5)) return true;
  const double delay = late && late_at_once_ ? 0.0
                       : late                ? uniform(2, 12)
                       : chance(0.5)         ? 0.0
                                             : uniform(0.5, 15);
  if (late) disturbed_at_ = std::max(disturbed_at_, now_ + delay);
  at(now_ + delay, [this, body = std::move(body)] { late_executed += commit(body).status == 200 ? 1U : 0U; });
  return true;
}

Response World::state_call(int node, const Request& request, const net::Reply& later, bool& answered) {
  const bool refused = refused_until_.contains(node) && now_ < refused_until_[node];
  ++state_requests_[static_cast<int>(now_)];
  if (now_ < state_down_until_ || refused) return {503, "{}", std::nullopt};
  if (unanswered(node, request)) {
    answered = false;
    return {};
  }
  const auto limited = [this](std::optional<net::RateLimit>& limit, double rate, double amount) {
    if (!limit) limit.emplace(rate, rate);
    return !limit->take(now_, amount);
  };
  if (limited(requests_, limits_.state_rps, 1) || chance(at_limit))
    return ++requests_refused, Response{429, "{}", std::nullopt};
  if (request.path == "/commit") {
    const auto body = Json::parse(request.body);
    state_puts_[static_cast<int>(now_)] += body["writes"].size();
    if (no_puts && !body["writes"].empty()) return ++puts_refused, Response{429, "{}", std::nullopt};
    if (unanswered_puts > 0 && body["writes"].size() == 1 &&
        body["writes"][0].value("write", "").starts_with(wire::kJobs)) {
      --unanswered_puts;
      answered = false;
      commit(body);
      return {};
    }
    auto& puts = limits_.state_write_rps < settings_.state_write_rps ? puts_next_ : puts_;
    if (!too_large(body) &&
        limited(puts, limits_.state_write_rps, static_cast<double>(body["writes"].size())))
      return ++puts_refused, Response{429, "{}", std::nullopt};
    return commit(body);
  }
  if (request.path == "/leases") {
    const double ttl = Json::parse(request.body)["ttl_ms"].get<double>() / 1000;
    const auto hold = next_hold_++;
    holds_[hold] = {ttl, now_ + ttl};
    return {200, Json{{"hold", hold}}.dump(), std::nullopt};
  }
  if (request.path.starts_with("/leases/")) {
    const auto hold = std::stoull(request.path.substr(8));
    if (request.method == Method::del) {
      drop_hold(hold);
      return {200, "{}", std::nullopt};
    }
    const auto found = holds_.find(hold);
    if (found == holds_.end()) return {404, "{}", std::nullopt};
    found->second.second = now_ + found->second.first;
    return {200, "{}", std::nullopt};
  }
  if (request.path.starts_with("/watch")) {
    if (node == deaf_node) {
      answered = false;
      return {};
    }
    const auto after = std::stoull(request.path.substr(request.path.find("after=") + 6));
    const double block = std::stod(request.path.substr(request.path.find("block_ms=") + 9)) / 1000;
    if (block == 0 || epoch_ > after) return {200, news(after).dump(), std::nullopt};
    answered = false;
    auto once = std::make_shared<bool>(false);
    auto answer = [this, after, later, once, node] {
      if (std::exchange(*once, true)) return;
      // Open watches wait while the service is out or refuses the node.
      const double until =
          std::max(state_down_until_, refused_until_.contains(node) ? refused_until_[node] : 0.0);
      at(std::max(now_, until), [this, after, later] { later({200, news(after).dump(), std::nullopt}); });
    };
    watchers_.push_back(answer);
    at(now_ + block, answer);
    return {};
  }
  if (request.path.starts_with("/keys?")) {
    Json items = Json::array();
    for (const auto& [key, entry] : keys_)
      items.push_back({{"k", key}, {"data", entry.data}, {"stamp", entry.stamp}});
    return {200, Json{{"items", items}, {"has_next", false}, {"epoch", epoch_}}.dump(), std::nullopt};
  }
  if (node == unread_node || unread.contains(request.path.substr(6))) return {503, "{}", std::nullopt};
  const auto found = keys_.find(request.path.substr(6));
  if (found == keys_.end()) return {404, Json{{"epoch", epoch_}}.dump(), std::nullopt};
  return {200, Json{{"k", found->first}, {"data", found->second.data}, {"stamp", found->second.stamp}}.dump(),
          std::nullopt};
}

bool World::recorded(const std::string& host) const {
  for (auto key = keys_.lower_bound(wire::kMachines);
       key != keys_.end() && key->first.starts_with(wire::kMachines); ++key)
    if (key->second.data.is_object() &&
        wire::parse_machine_group(key->first.substr(wire::kMachines.size()), key->second.data)
            .hosts.contains(wire::HostId{host}))
      return true;
  return false;
}

void World::tamper(const std::string& key, std::optional<Json> data) {
  ++epoch_;
  if (data) {
    keys_[key] = {*data, epoch_, 0};
    history_.emplace_back(epoch_, Json{{"write", key}, {"data", std::move(*data)}, {"stamp", epoch_}});
  } else {
    keys_.erase(key);
    history_.emplace_back(epoch_, Json{{"delete", key}, {"stamp", epoch_}});
  }
  state_changed();
}

}  // namespace bankhill::sim
