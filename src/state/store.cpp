#include "state/store.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::state {

using net::Response;
using protocol::AnswerError;

namespace {
// No answer for this long: the request counts as unanswered. Answers usually take milliseconds.
constexpr double kAnswerS = 1.0;
constexpr int kWatchMs = 10'000;
constexpr double kWatchTimeoutS = 15.0;
constexpr double kHeartbeatS = 1.0;
constexpr double kListS = 4.0;
// Parts of the request limit that the read barriers and the watches of all controllers may use.
constexpr double kBarrierShare = 0.25;
constexpr double kWatchShare = 0.3;
// The same for single keys: a flood of questions about jobs that left memory must leave the barriers, which
// all other answers need, their part.
constexpr double kFetchShare = 0.25;
// A barrier that the service refuses for its limit is tried again for this long: users wait 2 s, and no other
// controller would fare better.
constexpr double kInsistS = 1.2;
// Part of the write limit that only users and elections may use.
constexpr double kUrgentReserve = 0.3;
// Of the write limit: what was counted too much, such as puts of others seen late, may still be had.
constexpr double kWritesOwed = 0.1;
// Of the write limit: the margin is for writes that are not seen, such as failed conditions.
constexpr double kWritesUsed = 0.95;

// How soon what was not answered is asked again.
constexpr double kRetryMinS = 0.1;
constexpr double kRetryMaxS = 0.3;

// Of the limit of requests, for this controller.
double requests(const Limits& limits, double share) {
  return limits.requests_per_s * share / static_cast<double>(limits.controllers);
}
}  // namespace

Store::Store(runtime::Loop& loop, net::Client& client, runtime::Log log, std::string address, Limits limits)
    : Actor(loop),
      client_(client),
      log_(std::move(log)),
      address_(std::move(address)),
      limits_(limits),
      writes_(limits.writes_per_s * kWritesUsed, limits.writes_per_s * kWritesUsed),
      fetches_(requests(limits, kFetchShare), std::max(1.0, requests(limits, kFetchShare))) {}

bool Store::is_write_limit_exhausted() {
  return writes_.level(loop().now()) < -kWritesOwed * limits_.writes_per_s;
}

double Store::background_write_budget() {
  return writes_.level(loop().now()) - kUrgentReserve * limits_.writes_per_s;
}

void Store::start() {
  list("");
  heartbeat();
}

void Store::send(net::Request request, double timeout_s, net::Reply reply) {
  client_.send(address_, std::move(request), timeout_s,
               guard([reply = std::move(reply)](Response response) { reply(std::move(response)); }));
}

void Store::list(std::string after) {
  const bool is_first = after.empty();
  if (is_first) {
    listing_.clear();
    listing_epoch_ = {};
  }
  auto request = protocol::list_request(after);
  send(std::move(request), kListS, [this, is_first, after = std::move(after)](const Response& response) {
    auto page = protocol::parse_list(response, is_first);
    if (std::holds_alternative<AnswerError>(page)) return list_again(after);
    if (is_first) listing_epoch_ = std::get<protocol::KeyPage>(page).epoch;
    take_page(std::move(std::get<protocol::KeyPage>(page)));
  });
}

// The same page: from the first one, a service at its limit would keep a long list from ever ending.
void Store::list_again(const std::string& after) {
  list_timer_ = loop().after(loop().uniform(kRetryMinS, kRetryMaxS), [this, after] { list(after); });
}

void Store::take_page(protocol::KeyPage&& page) {
  std::string last;
  for (auto& [key, entry] : page.entries) {
    listing_[key] = std::move(entry);
    last = std::move(key);
  }
  if (page.has_next && !last.empty()) return list(std::move(last));
  finish_list();
}

void Store::finish_list() {
  // What was known and is no longer listed was deleted meanwhile.
  std::vector<Change> changes;
  for (const auto& [key, revision] : known_)
    if (!listing_.contains(key) && revision.value <= listing_epoch_.value)
      changes.push_back({key, std::nullopt, wire::KeyRevision{listing_epoch_.value + 1}});
  for (auto& [key, entry] : listing_) changes.push_back({key, std::move(entry.data), entry.revision});
  listing_.clear();
  epoch_ = listing_epoch_;
  publish(std::move(changes));
  synced_ = true;
  relist_ = false;
  last_news_ = loop().now();
  log_->info("state: read all keys at epoch {}", epoch_.value);
  watch();
}

void Store::publish(std::vector<Change> changes) {
  std::vector<Change> fresh;
  for (auto& change : changes) {
    if (!take_revision(change)) continue;
    count_write(change.key);
    fresh.push_back(std::move(change));
  }
  if (fresh.empty()) return;
  const auto shared = std::make_shared<const std::vector<Change>>(std::move(fresh));
  for (const auto& subscriber : subscribers_) subscriber(shared);
}

// Whether the change is newer than what is known of its key, which it becomes.
bool Store::take_revision(const Change& change) {
  const auto found = known_.find(change.key);
  if (found != known_.end() && found->second >= change.revision) return false;
  if (change.data) {
    known_[change.key] = change.revision;
    return true;
  }
  if (found == known_.end()) return false;
  known_.erase(found);
  return true;
}

// Writes of this controller were counted when they were sent.
void Store::count_write(const std::string& key) {
  if (const auto own = own_.find(key); own != own_.end())
    own_.erase(own);
  else if (synced_)
    writes_.spend(loop().now(), 1);
}

bool Store::apply_news(WatchAnswer answer) {
  if (const auto* error = std::get_if<AnswerError>(&answer)) {
    if (*error == AnswerError::compacted) list_anew();
    return false;
  }
  auto& news = std::get<protocol::News>(answer);
  publish(std::move(news.changes));
  epoch_ = std::max(epoch_, news.epoch);
  last_news_ = loop().now();
  return true;
}

void Store::list_anew() {
  if (std::exchange(relist_, true)) return;
  log_->info("state: the watch is too far behind, reading all keys");
  list("");
}

void Store::watch() {
  watch_timer_.reset();
  send(protocol::watch_request(epoch_, kWatchMs), kWatchTimeoutS, [this](const Response& response) {
    // Watch and barrier overlap: what an earlier response covered must not undo a later deletion.
    const bool fine = apply_news(protocol::parse_watch(response, epoch_));
    if (relist_) return;
    // A short pause lets changes gather, so that a burst does not cost a request each.
    const double pause = fine ? 1 / requests(limits_, kWatchShare) : loop().uniform(kRetryMinS, kRetryMaxS);
    watch_timer_ = loop().after(pause, [this] { watch(); });
  });
}

void Store::heartbeat() {
  // An open watch does not show an outage: ask now and then, so that health and peers know.
  if (loop().now() - last_news_ >= kHeartbeatS * 0.9 && synced_) tell(ReadBarrier{[](bool) {}, false});
  heartbeat_timer_ = loop().after(kHeartbeatS * loop().uniform(0.9, 1.1), [this] { heartbeat(); });
}

void Store::on(ReadBarrier& message) {
  if (!synced_) return message.done(false);
  waiting_.push_back({std::move(message.done), loop().now() + kInsistS});
  waiting_urgent_ = waiting_urgent_ || message.urgent;
  run_barrier();
}

void Store::run_barrier() {
  if (barrier_running_ || waiting_.empty()) return;
  const double wait =
      waiting_urgent_ ? 0 : last_barrier_ + 1 / requests(limits_, kBarrierShare) - loop().now();
  if (wait > 0) return run_barrier_later(wait);
  barrier_running_ = true;
  waiting_urgent_ = false;
  last_barrier_ = loop().now();
  auto served_now = std::exchange(waiting_, {});
  // A watch that does not block reads every change up to now: whatever was committed before this request
  // was sent is in its answer.
  send(protocol::watch_request(epoch_, 0), kAnswerS,
       [this, served_now = std::move(served_now)](const Response& response) mutable {
         barrier_over(std::move(served_now), protocol::parse_watch(response, epoch_));
       });
}

void Store::run_barrier_later(double wait_s) {
  if (barrier_timer_) return;
  barrier_timer_ = loop().after(wait_s, [this] {
    barrier_timer_.reset();
    run_barrier();
  });
}

void Store::barrier_over(std::vector<Waiting> served_now, WatchAnswer answer) {
  const auto* error = std::get_if<AnswerError>(&answer);
  const bool limited = error != nullptr && *error == AnswerError::limited;
  const bool fine = !relist_ && apply_news(std::move(answer));
  barrier_running_ = false;
  for (auto& waiting : served_now)
    if (limited && loop().now() < waiting.until)
      waiting_.push_back(std::move(waiting));
    else
      waiting.done(fine);
  run_barrier();
}

void Store::set_aside(const std::string& key, wire::KeyRevision revision, const char* why) {
  auto& told = set_aside_[key];
  if (told >= revision) return;
  told = revision;
  log_->error("state: {} cannot be read ({}): it is set aside, all else goes on", key, why);
}

void Store::on(Commit& message) {
  const auto puts = static_cast<double>(message.transaction.writes.size());
  if (!message.urgent && background_write_budget() < puts) return message.done({Outcome::refused, {}});
  // Urgent ones are tried in any case: the service has the last word, and answers at once.
  writes_.spend(loop().now(), puts);
  std::vector<std::string> keys;
  for (const auto& write : message.transaction.writes) {
    keys.push_back(write.key);
    own_.insert(write.key);
  }
  send(protocol::commit_request(message.transaction), kAnswerS,
       [this, done = std::move(message.done), keys = std::move(keys)](const Response& response) {
         const auto result = protocol::parse_commit(response);
         if (result.outcome == Outcome::invalid) warn_of_malformed(keys, response.body);
         if (result.outcome != Outcome::committed) forget_writes(keys, result.outcome);
         done(result);
       });
}

void Store::warn_of_malformed(const std::vector<std::string>& keys, const std::string& reason) {
  log_->warn("state: transaction of {} writes ({}{}) refused as malformed: {}", keys.size(),
             keys.empty() ? "" : keys.front(), keys.size() > 1 ? ", ..." : "", reason);
}

// No change of ours will be seen, or only as another's.
void Store::forget_writes(const std::vector<std::string>& keys, Outcome outcome) {
  // Not written, so not to be counted against what may be.
  if (outcome == Outcome::rate_limited) writes_.spend(loop().now(), -static_cast<double>(keys.size()));
  for (const auto& key : keys)
    if (const auto own = own_.find(key); own != own_.end()) own_.erase(own);
}

void Store::on(FetchKey& message) {
  auto& waiting = fetching_[message.key];
  waiting.push_back(std::move(message.done));
  if (waiting.size() > 1) return;
  to_fetch_.emplace_back(std::move(message.key), loop().now() + kInsistS);
  next_fetch();
}

void Store::next_fetch() {
  while (!to_fetch_.empty()) {
    const auto [key, until] = to_fetch_.front();
    const bool late = loop().now() > until;
    if (!late && !fetches_.take(loop().now())) return next_fetch_later();
    to_fetch_.pop_front();
    if (late)  // whoever asked has gone: those who came lately can still be answered in time
      fetched(key, {});
    else
      fetch(key);
  }
}

void Store::next_fetch_later() {
  if (fetch_timer_) return;
  fetch_timer_ = loop().after(1 / requests(limits_, kFetchShare), [this] {
    fetch_timer_.reset();
    next_fetch();
  });
}

void Store::fetch(const std::string& key) {
  send(protocol::key_request(key), kAnswerS,
       [this, key](const Response& response) { fetched(key, protocol::parse_key(response)); });
}

void Store::fetched(const std::string& key, const KeyResponse& answer) {
  const auto waiting = fetching_.extract(key);
  for (const auto& done : waiting.mapped()) done(answer);
}

void Store::on(GrantLease& message) {
  send(protocol::open_lease_request(message.ttl_s), kAnswerS,
       [done = std::move(message.done)](const Response& response) {
         done(protocol::parse_open_lease(response));
       });
}

void Store::on(RenewLease& message) {
  send(protocol::renew_lease_request(message.lease_id), message.timeout_s,
       [done = std::move(message.done)](const Response& response) {
         done(protocol::parse_renew_lease(response));
       });
}

void Store::on(RevokeLease& message) {
  send(protocol::end_lease_request(message.lease_id), kAnswerS, [](const Response&) {});
}

}  // namespace bankhill::state
