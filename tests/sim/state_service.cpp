#include "sim/state_service.hpp"

#include <algorithm>
#include <memory>

#include "wire/records.hpp"

namespace bankhill::sim {

using net::Method;
using net::Request;
using net::Response;
using wire::Json;

namespace {
constexpr double kUnansweredShare = 0.002;  // of all requests
constexpr std::size_t kConditionsPerOperation = 4;
constexpr std::string_view kKeysPath = "/keys/";
constexpr std::string_view kLeasesPath = "/leases/";

Response unavailable() { return {503, "{}", std::nullopt}; }
Response over_limit_response() { return {429, "{}", std::nullopt}; }
Response bad_request(const std::string& error) { return {400, Json{{"error", error}}.dump(), std::nullopt}; }

// What follows this name and "=" in a path's query.
std::string query_value(const std::string& path, const std::string& name) {
  return path.substr(path.find(name + "=") + name.size() + 1);
}
}  // namespace

StateService::StateService(EventQueue& events, StateLimits limits, StateLimits next_limits, Observer observer)
    : events_(events),
      observer_(std::move(observer)),
      limits_(limits),
      next_limits_(next_limits),
      first_writes_per_s_(limits.writes_per_s) {}

// ---- leases and watches

void StateService::revoke_lease(std::uint64_t lease_id) {
  leases_.erase(lease_id);
  std::vector<std::string> gone;
  for (const auto& [key, entry] : keys_)
    if (entry.lease_id == lease_id) gone.push_back(key);
  if (gone.empty()) return;
  ++revision_;
  for (const auto& key : gone) {
    keys_.erase(key);
    history_.emplace_back(revision_, Json{{"delete", key}, {"stamp", revision_}});
  }
  notify_watchers();
}

void StateService::expire_leases() {
  if (is_down()) {
    was_down_ = true;
    return;
  }
  if (std::exchange(was_down_, false))
    for (auto& [id, lease] : leases_) lease.ends = events_.now() + lease.ttl_s;
  std::vector<std::uint64_t> over;
  for (const auto& [id, lease] : leases_)
    if (events_.now() > lease.ends) over.push_back(id);
  for (const auto id : over) revoke_lease(id);
}

void StateService::notify_watchers() {
  auto watchers = std::exchange(watchers_, {});
  for (auto& watcher : watchers) events_.at(events_.now(), std::move(watcher));
}

Json StateService::changes_since(std::uint64_t revision) const {
  Json list = Json::array();
  for (const auto& [changed_at, change] : history_)
    if (changed_at > revision) list.push_back(change);
  return Json{{"epoch", revision_}, {"news", std::move(list)}};
}

// ---- transactions

bool StateService::too_large(const Json& transaction) const {
  const auto operations = limits_.transaction_operations;
  if (transaction.dump().size() > wire::kMaxBody || transaction["writes"].size() > operations ||
      transaction["when"].size() > kConditionsPerOperation * operations)
    return true;
  const auto& writes = transaction["writes"];
  return std::any_of(writes.begin(), writes.end(), [this](const Json& write) {
    return write.contains("data") &&
           static_cast<double>(write["data"].dump().size()) > limits_.value_kb * 1024;
  });
}

Json StateService::failed_conditions(const Json& transaction) const {
  Json failed = Json::array();
  for (const auto& condition : transaction["when"]) {
    const auto found = keys_.find(condition["k"].get<std::string>());
    const auto revision = found == keys_.end() ? 0 : found->second.revision;
    if (revision != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["k"]);
  }
  return failed;
}

void StateService::apply(const Json& writes) {
  ++revision_;
  for (const auto& write : writes) {
    if (write.contains("write")) {
      const auto key = write["write"].get<std::string>();
      keys_[key] = {write["data"], revision_, write.value("hold", std::uint64_t{0})};
      history_.emplace_back(revision_, Json{{"write", key}, {"data", write["data"]}, {"stamp", revision_}});
    } else {
      const auto key = write["delete"].get<std::string>();
      if (keys_.erase(key) > 0) history_.emplace_back(revision_, Json{{"delete", key}, {"stamp", revision_}});
    }
  }
  notify_watchers();
}

Response StateService::commit(const Json& transaction) {
  if (too_large(transaction)) {
    ++transactions_refused;
    return bad_request("too large");
  }
  const auto& writes = transaction["writes"];
  for (const auto& write : writes)
    if (write.contains("hold") && !leases_.contains(write["hold"].get<std::uint64_t>()))
      return bad_request("no such lease");
  const auto failed = failed_conditions(transaction);
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"epoch", revision_}}.dump(), std::nullopt};
  for (const auto& write : writes)
    if (write.contains("write") && rejected_keys.contains(write["write"].get<std::string>()))
      return bad_request("too large");
  observer_.before_commit(transaction);
  if (!writes.empty()) {
    const bool vacant = !keys_.contains(wire::kLeaderKey);
    apply(writes);
    for (const auto& write : writes)
      if (vacant && write.value("write", "") == wire::kLeaderKey && write["data"].is_object())
        observer_.leader_elected(wire::parse_leader_record(write["data"]).node.back() - '0');
  }
  return {200, Json{{"epoch", revision_}}.dump(), std::nullopt};
}

void StateService::overwrite(const std::string& key, std::optional<Json> data) {
  ++revision_;
  if (data) {
    keys_[key] = {*data, revision_, 0};
    history_.emplace_back(revision_, Json{{"write", key}, {"data", std::move(*data)}, {"stamp", revision_}});
  } else {
    keys_.erase(key);
    history_.emplace_back(revision_, Json{{"delete", key}, {"stamp", revision_}});
  }
  notify_watchers();
}

// ---- faults

void StateService::delay_commits(double share, double seconds, bool at_once) {
  delayed_share_ = share;
  delayed_until_ = events_.now() + seconds;
  delayed_at_once_ = at_once;
}

void StateService::heal() {
  const double now = events_.now();
  down_until_ = std::min(down_until_, now);
  delayed_until_ = std::min(delayed_until_, now);
  for (auto& [node, until] : refused_until_) until = std::min(until, now);
}

bool StateService::troubled() const {
  return is_down() || node_without_watches >= 0 || node_without_reads >= 0 || !unreadable.empty() ||
         writes_exhausted ||
         std::any_of(refused_until_.begin(), refused_until_.end(),
                     [this](const auto& refused) { return events_.now() < refused.second; });
}

bool StateService::is_refused(int node) const {
  const auto found = refused_until_.find(node);
  return found != refused_until_.end() && events_.now() < found->second;
}

bool StateService::goes_unanswered(int node, const Request& request) {
  const bool any = events_.chance(kUnansweredShare);
  if (request.path != "/commit") return any;
  auto transaction = Json::parse(request.body);
  const auto& writes = transaction["writes"];
  if (delay_next && std::any_of(writes.begin(), writes.end(), delay_next)) {
    delay_next = nullptr;
    delayed = std::move(transaction);
    return true;
  }
  if (lose_answer_of_next && std::any_of(writes.begin(), writes.end(), lose_answer_of_next)) {
    lose_answer_of_next = nullptr;
    lost_answer_of = node;
    lost_answers += commit(transaction).status == 200 ? 1U : 0U;
    return true;
  }
  const bool late = delays_commits() && events_.chance(delayed_share_);
  if (!any && !late) return false;
  if (!late && events_.chance(0.5)) return true;
  const double delay = late && delayed_at_once_ ? 0.0
                       : late                   ? events_.uniform(2, 12)
                       : events_.chance(0.5)    ? 0.0
                                                : events_.uniform(0.5, 15);
  if (late) observer_.commit_postponed(events_.now() + delay);
  events_.at(events_.now() + delay, [this, transaction = std::move(transaction)] {
    committed_late += commit(transaction).status == 200 ? 1U : 0U;
  });
  return true;
}

bool StateService::over_limit(std::optional<net::RateLimit>& limit, double rate, double amount) {
  if (!limit) limit.emplace(rate, rate);
  return !limit->take(events_.now(), amount);
}

// ---- requests

void StateService::handle(int node, const Request& request, const net::Reply& reply) {
  if (auto response = answer(node, request, reply)) reply(std::move(*response));
}

std::optional<Response> StateService::answer(int node, const Request& request, const net::Reply& later) {
  ++requests_by_second_[static_cast<int>(events_.now())];
  if (is_down() || is_refused(node)) return unavailable();
  if (goes_unanswered(node, request)) return std::nullopt;
  if (over_limit(request_rate_, limits_.requests_per_s, 1) || events_.chance(share_over_limit)) {
    ++requests_refused;
    return over_limit_response();
  }
  const auto& path = request.path;
  if (path == "/commit") return answer_commit(request);
  if (path.starts_with("/leases")) return answer_lease(request);
  if (path.starts_with("/watch")) return answer_watch(node, request, later);
  if (path.starts_with("/keys?")) return answer_list();
  return answer_read(node, path.substr(kKeysPath.size()));
}

std::optional<Response> StateService::answer_commit(const Request& request) {
  const auto transaction = Json::parse(request.body);
  const auto& writes = transaction["writes"];
  writes_by_second_[static_cast<int>(events_.now())] += writes.size();
  if (writes_exhausted && !writes.empty()) {
    ++writes_refused;
    return over_limit_response();
  }
  if (unanswered_job_writes > 0 && writes.size() == 1 &&
      writes[0].value("write", "").starts_with(wire::kJobKeyPrefix)) {
    --unanswered_job_writes;
    commit(transaction);
    return std::nullopt;
  }
  auto& rate = tightened() ? next_write_rate_ : write_rate_;
  if (!too_large(transaction) && over_limit(rate, limits_.writes_per_s, static_cast<double>(writes.size()))) {
    ++writes_refused;
    return over_limit_response();
  }
  return commit(transaction);
}

Response StateService::answer_lease(const Request& request) {
  if (request.path == "/leases") {
    const double ttl_s = Json::parse(request.body)["ttl_ms"].get<double>() / 1000;
    const auto id = next_lease_id_++;
    leases_[id] = {ttl_s, events_.now() + ttl_s};
    return {200, Json{{"hold", id}}.dump(), std::nullopt};
  }
  const auto id = std::stoull(request.path.substr(kLeasesPath.size()));
  if (request.method == Method::del) {
    revoke_lease(id);
    return {200, "{}", std::nullopt};
  }
  const auto found = leases_.find(id);
  if (found == leases_.end()) return {404, "{}", std::nullopt};
  found->second.ends = events_.now() + found->second.ttl_s;
  return {200, "{}", std::nullopt};
}

std::optional<Response> StateService::answer_watch(int node, const Request& request,
                                                   const net::Reply& later) {
  if (node == node_without_watches) return std::nullopt;
  const auto after = std::stoull(query_value(request.path, "after"));
  const double block_s = std::stod(query_value(request.path, "block_ms")) / 1000;
  if (block_s == 0 || revision_ > after) return Response{200, changes_since(after).dump(), std::nullopt};
  auto answered = std::make_shared<bool>(false);
  auto respond = [this, after, later, answered, node] {
    if (std::exchange(*answered, true)) return;
    // Open watches wait while the service is out or refuses the node.
    const auto refused = refused_until_.find(node);
    const double until = std::max(down_until_, refused == refused_until_.end() ? 0.0 : refused->second);
    events_.at(std::max(events_.now(), until), [this, after, later] {
      later({200, changes_since(after).dump(), std::nullopt});
    });
  };
  watchers_.push_back(respond);
  events_.at(events_.now() + block_s, respond);
  return std::nullopt;
}

Response StateService::answer_list() const {
  Json items = Json::array();
  for (const auto& [key, entry] : keys_)
    items.push_back({{"k", key}, {"data", entry.data}, {"stamp", entry.revision}});
  return {200, Json{{"items", items}, {"has_next", false}, {"epoch", revision_}}.dump(), std::nullopt};
}

Response StateService::answer_read(int node, const std::string& key) const {
  if (node == node_without_reads || unreadable.contains(key)) return unavailable();
  const auto found = keys_.find(key);
  if (found == keys_.end()) return {404, Json{{"epoch", revision_}}.dump(), std::nullopt};
  const auto& entry = found->second;
  return {200, Json{{"k", key}, {"data", entry.data}, {"stamp", entry.revision}}.dump(), std::nullopt};
}

}  // namespace bankhill::sim
