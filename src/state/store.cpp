#include "state/store.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::state {

using net::Response;
using protocol::ResponseError;

namespace {
// Time after which a request counts as unanswered. Responses usually take milliseconds.
constexpr double kResponseTimeoutS = 1.0;
constexpr int kWatchBlockMs = 10'000;
constexpr double kWatchTimeoutS = 15.0;
// Interval of the read barriers that are sent while the watch brings no updates.
constexpr double kIdlePollS = 1.0;
constexpr double kListTimeoutS = 4.0;
// Shares of the request limit that the read barriers and the watches of all controllers may use.
constexpr double kBarrierShare = 0.25;
constexpr double kWatchShare = 0.3;
// Share of the request limit for reads of single keys: a burst of queries about jobs that were evicted from
// memory must leave the read barriers, which all other responses depend on, their share.
constexpr double kFetchShare = 0.25;
// Time for which a read barrier that the service refuses for its request limit is retried, and after which a
// queued read of a key is dropped: users wait 2 s, and a peer would be refused as well.
constexpr double kRetryWindowS = 1.2;
// Share of the write limit that only users and elections may use.
constexpr double kUrgentReserveShare = 0.3;
// Share of the write limit by which the budget may be overdrawn before users' writes are refused, since the
// budget may count too many writes, such as those of peers that are seen late.
constexpr double kWriteOverdraftShare = 0.1;
// Share of the write limit that the budget covers. The margin is for writes that no watch shows, such as
// those of transactions whose conditions fail.
constexpr double kWriteBudgetShare = 0.95;

// Bounds of the random delay before a list or watch that failed is repeated.
constexpr double kRetryMinS = 0.1;
constexpr double kRetryMaxS = 0.3;

// Returns this controller's part of a share of the request limit, in requests per second.
double request_rate(const Limits& limits, double share) {
  return limits.requests_per_s * share / static_cast<double>(limits.controllers);
}
}  // namespace

Store::Store(runtime::Loop& loop, net::Client& client, runtime::Log log, std::string address, Limits limits)
    : Actor(loop),
      client_(client),
      log_(std::move(log)),
      address_(std::move(address)),
      limits_(limits),
      write_budget_(limits.writes_per_s * kWriteBudgetShare, limits.writes_per_s * kWriteBudgetShare),
      fetch_budget_(request_rate(limits, kFetchShare), std::max(1.0, request_rate(limits, kFetchShare))) {}

bool Store::is_write_limit_exhausted() {
  return write_budget_.level(loop().now()) < -kWriteOverdraftShare * limits_.writes_per_s;
}

double Store::background_write_budget() {
  return write_budget_.level(loop().now()) - kUrgentReserveShare * limits_.writes_per_s;
}

void Store::start() {
  list_keys("");
  poll_if_idle();
}

void Store::send(net::Request request, double timeout_s, net::Reply reply) {
  client_.send(address_, std::move(request), timeout_s,
               guard([reply = std::move(reply)](Response response) { reply(std::move(response)); }));
}

void Store::list_keys(std::string after) {
  const bool is_first = after.empty();
  if (is_first) {
    listed_entries_.clear();
    listing_revision_ = {};
  }
  auto request = protocol::list_request(after);
  send(std::move(request), kListTimeoutS,
       [this, is_first, after = std::move(after)](const Response& response) {
         auto page = protocol::parse_list(response, is_first);
         if (std::holds_alternative<ResponseError>(page)) return retry_list(after);
         if (is_first) listing_revision_ = std::get<protocol::KeyPage>(page).revision;
         add_page(std::move(std::get<protocol::KeyPage>(page)));
       });
}

// Requests the same page again: restarting at the first page could keep a long list from ever completing
// while the service is at its request limit.
void Store::retry_list(const std::string& after) {
  list_timer_ = loop().after(loop().uniform(kRetryMinS, kRetryMaxS), [this, after] { list_keys(after); });
}

void Store::add_page(protocol::KeyPage&& page) {
  std::string last_key;
  for (auto& [key, entry] : page.entries) {
    listed_entries_[key] = std::move(entry);
    last_key = std::move(key);
  }
  if (page.has_next && !last_key.empty()) return list_keys(std::move(last_key));
  finish_list();
}

void Store::finish_list() {
  // A key that existed before and is not listed has been deleted in the meantime.
  std::vector<Change> changes;
  for (const auto& [key, revision] : key_revisions_)
    if (!listed_entries_.contains(key) && revision.value <= listing_revision_.value)
      changes.push_back({key, std::nullopt, wire::KeyRevision{listing_revision_.value + 1}});
  for (auto& [key, entry] : listed_entries_) changes.push_back({key, std::move(entry.data), entry.revision});
  listed_entries_.clear();
  revision_ = listing_revision_;
  publish(std::move(changes));
  synced_ = true;
  relisting_ = false;
  last_update_ = loop().now();
  log_->info("state: listed all keys at store revision {}", revision_.value);
  watch();
}

void Store::publish(std::vector<Change> changes) {
  std::vector<Change> newer_changes;
  for (auto& change : changes) {
    if (!update_revision(change)) continue;
    count_peer_write(change.key);
    newer_changes.push_back(std::move(change));
  }
  if (newer_changes.empty()) return;
  const auto shared = std::make_shared<const std::vector<Change>>(std::move(newer_changes));
  for (const auto& subscriber : subscribers_) subscriber(shared);
}

// Returns whether the change is newer than the known revision of its key, and records its revision if so.
bool Store::update_revision(const Change& change) {
  const auto found = key_revisions_.find(change.key);
  if (found != key_revisions_.end() && found->second >= change.revision) return false;
  if (change.data) {
    key_revisions_[change.key] = change.revision;
    return true;
  }
  if (found == key_revisions_.end()) return false;
  key_revisions_.erase(found);
  return true;
}

// Counts a peer's write against the write budget; this controller's writes were counted when they were sent.
void Store::count_peer_write(const std::string& key) {
  if (const auto own_write = own_writes_.find(key); own_write != own_writes_.end())
    own_writes_.erase(own_write);
  else if (synced_)
    write_budget_.spend(loop().now(), 1);
}

bool Store::apply_update(WatchResult result) {
  if (const auto* error = std::get_if<ResponseError>(&result)) {
    if (*error == ResponseError::compacted) restart_list();
    return false;
  }
  auto& update = std::get<protocol::WatchUpdate>(result);
  publish(std::move(update.changes));
  revision_ = std::max(revision_, update.revision);
  last_update_ = loop().now();
  return true;
}

void Store::restart_list() {
  if (std::exchange(relisting_, true)) return;
  log_->info("state: the service no longer keeps the changes that the watch requested, listing all keys");
  list_keys("");
}

void Store::watch() {
  watch_timer_.reset();
  send(protocol::watch_request(revision_, kWatchBlockMs), kWatchTimeoutS, [this](const Response& response) {
    // Watch and barrier overlap: a change that an earlier response included must not undo a later deletion.
    const bool succeeded = apply_update(protocol::parse_watch(response, revision_));
    if (relisting_) return;
    // A short pause collects changes, so that a burst does not cost one request per change.
    const double delay_s =
        succeeded ? 1 / request_rate(limits_, kWatchShare) : loop().uniform(kRetryMinS, kRetryMaxS);
    watch_timer_ = loop().after(delay_s, [this] { watch(); });
  });
}

void Store::poll_if_idle() {
  // An open watch does not reveal an outage: read barriers at intervals do, so that the health endpoint and
  // the peers learn of it.
  if (loop().now() - last_update_ >= kIdlePollS * 0.9 && synced_) tell(ReadBarrier{[](bool) {}, false});
  poll_timer_ = loop().after(kIdlePollS * loop().uniform(0.9, 1.1), [this] { poll_if_idle(); });
}

void Store::on(ReadBarrier& message) {
  if (!synced_) return message.done(false);
  pending_barriers_.push_back({std::move(message.done), loop().now() + kRetryWindowS});
  barrier_is_urgent_ = barrier_is_urgent_ || message.urgent;
  run_barrier();
}

void Store::run_barrier() {
  if (barrier_running_ || pending_barriers_.empty()) return;
  const double delay_s =
      barrier_is_urgent_ ? 0
                         : last_barrier_sent_at_ + 1 / request_rate(limits_, kBarrierShare) - loop().now();
  if (delay_s > 0) return schedule_barrier(delay_s);
  barrier_running_ = true;
  barrier_is_urgent_ = false;
  last_barrier_sent_at_ = loop().now();
  auto served = std::exchange(pending_barriers_, {});
  // A watch that does not block returns every change so far: its response includes everything that was
  // committed before this request was sent.
  send(protocol::watch_request(revision_, 0), kResponseTimeoutS,
       [this, served = std::move(served)](const Response& response) mutable {
         finish_barrier(std::move(served), protocol::parse_watch(response, revision_));
       });
}

void Store::schedule_barrier(double wait_s) {
  if (barrier_timer_) return;
  barrier_timer_ = loop().after(wait_s, [this] {
    barrier_timer_.reset();
    run_barrier();
  });
}

void Store::finish_barrier(std::vector<PendingBarrier> served, WatchResult result) {
  const auto* error = std::get_if<ResponseError>(&result);
  const bool rate_limited = error != nullptr && *error == ResponseError::rate_limited;
  const bool succeeded = !relisting_ && apply_update(std::move(result));
  barrier_running_ = false;
  for (auto& barrier : served)
    if (rate_limited && loop().now() < barrier.deadline)
      pending_barriers_.push_back(std::move(barrier));
    else
      barrier.done(succeeded);
  run_barrier();
}

void Store::report_malformed(const std::string& key, wire::KeyRevision revision, const char* reason) {
  auto& reported_revision = reported_malformed_[key];
  if (reported_revision >= revision) return;
  reported_revision = revision;
  log_->error("state: record {} is malformed ({}), ignoring it", key, reason);
}

void Store::on(Commit& message) {
  const auto write_count = static_cast<double>(message.transaction.writes.size());
  if (!message.urgent && background_write_budget() < write_count) return message.done({Outcome::refused, {}});
  // Urgent transactions are sent in any case: the service decides, and responds at once.
  write_budget_.spend(loop().now(), write_count);
  std::vector<std::string> keys;
  for (const auto& write : message.transaction.writes) {
    keys.push_back(write.key);
    own_writes_.insert(write.key);
  }
  send(protocol::commit_request(message.transaction), kResponseTimeoutS,
       [this, done = std::move(message.done), keys = std::move(keys)](const Response& response) {
         const auto result = protocol::parse_commit(response);
         if (result.outcome == Outcome::invalid) log_rejected(keys, response.body);
         if (result.outcome != Outcome::committed) discard_own_writes(keys, result.outcome);
         done(result);
       });
}

void Store::log_rejected(const std::vector<std::string>& keys, const std::string& reason) {
  log_->warn("state: the service refused a transaction of {} writes ({}{}) as malformed: {}", keys.size(),
             keys.empty() ? "" : keys.front(), keys.size() > 1 ? ", ..." : "", reason);
}

// Removes a transaction that is not known to be committed from the expected own writes. If its changes are
// seen after all, they count as those of a peer.
void Store::discard_own_writes(const std::vector<std::string>& keys, Outcome outcome) {
  // Nothing was written, so the budget is restored.
  if (outcome == Outcome::rate_limited) write_budget_.spend(loop().now(), -static_cast<double>(keys.size()));
  for (const auto& key : keys)
    if (const auto own_write = own_writes_.find(key); own_write != own_writes_.end())
      own_writes_.erase(own_write);
}

void Store::on(FetchKey& message) {
  auto& callbacks = fetch_callbacks_[message.key];
  callbacks.push_back(std::move(message.done));
  if (callbacks.size() > 1) return;
  fetch_queue_.emplace_back(std::move(message.key), loop().now() + kRetryWindowS);
  send_fetches();
}

void Store::send_fetches() {
  while (!fetch_queue_.empty()) {
    const auto [key, deadline] = fetch_queue_.front();
    const bool expired = loop().now() > deadline;
    if (!expired && !fetch_budget_.take(loop().now())) return schedule_fetches();
    fetch_queue_.pop_front();
    if (expired)  // its user has timed out; without this read, newer ones can still be answered in time
      finish_fetch(key, {});
    else
      send_fetch(key);
  }
}

void Store::schedule_fetches() {
  if (fetch_timer_) return;
  fetch_timer_ = loop().after(1 / request_rate(limits_, kFetchShare), [this] {
    fetch_timer_.reset();
    send_fetches();
  });
}

void Store::send_fetch(const std::string& key) {
  send(protocol::key_request(key), kResponseTimeoutS,
       [this, key](const Response& response) { finish_fetch(key, protocol::parse_key(response)); });
}

void Store::finish_fetch(const std::string& key, const KeyResponse& response) {
  const auto callbacks = fetch_callbacks_.extract(key);
  for (const auto& done : callbacks.mapped()) done(response);
}

void Store::on(GrantLease& message) {
  send(protocol::grant_lease_request(message.ttl_s), kResponseTimeoutS,
       [done = std::move(message.done)](const Response& response) {
         done(protocol::parse_grant_lease(response));
       });
}

void Store::on(RenewLease& message) {
  send(protocol::renew_lease_request(message.lease_id), message.timeout_s,
       [done = std::move(message.done)](const Response& response) {
         done(protocol::parse_renew_lease(response));
       });
}

void Store::on(RevokeLease& message) {
  send(protocol::revoke_lease_request(message.lease_id), kResponseTimeoutS, [](const Response&) {});
}

}  // namespace bankhill::state
