// Client of the state service: transactions, a watch on all of bankhill's keys, and a read barrier that makes
// the local state at least as new as any response that any controller has given.
#pragma once

#include <deque>
#include <exception>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "net/http.hpp"
#include "net/rate_limit.hpp"
#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "state/state_protocol.hpp"
#include "state/store_cache.hpp"
#include "state/transaction.hpp"

namespace bankhill::state {

// Limits that the state service announces.
struct Limits {
  double requests_per_s = 100;
  double writes_per_s = 50;     // each write of a transaction counts
  double value_kb = 8;          // largest size of one value
  std::size_t txn_ops = 16;     // most writes in one transaction
  std::size_t controllers = 3;  // number of controllers that share these limits
};

using protocol::KeyResponse;
using protocol::KeyStatus;
using protocol::LeaseRenewal;

// Messages of the store.

// Executes a transaction.
struct Commit {
  Transaction transaction;
  std::function<void(CommitResult)> done;
  // Whether users or elections wait for the transaction. Transactions that are not urgent leave a part of the
  // write limit to those that are.
  bool urgent = true;
};
// Read barrier: calls done(true) once every change committed before this message has been published, and
// done(false) if that cannot be confirmed.
struct ReadBarrier {
  std::function<void(bool)> done;
  // Whether to send the request at once, even if the read barriers' share of the request limit is exhausted.
  bool urgent = false;
};
// Reads one key from the service rather than from local state; concurrent reads of a key share one request.
struct FetchKey {
  std::string key;
  std::function<void(const KeyResponse&)> done;
};
// Requests a new lease.
struct GrantLease {
  double ttl_s = 0;
  // Called with nothing if no lease was granted or the outcome is unknown.
  std::function<void(std::optional<std::uint64_t> lease_id)> done;
};
// Renews a lease.
struct RenewLease {
  std::uint64_t lease_id = 0;
  double timeout_s = 0;
  std::function<void(LeaseRenewal)> done;
};
// Revokes a lease; the response is ignored.
struct RevokeLease {
  std::uint64_t lease_id = 0;
};

// The actor that sends the requests of all other actors of a controller to the state service.
class Store
    : public runtime::Actor<Store, Commit, ReadBarrier, FetchKey, GrantLease, RenewLease, RevokeLease> {
 public:
  Store(runtime::Loop& loop, net::Client& client, runtime::Log log, std::string address, Limits limits);

  // Subscribers are called with every change once, in order; to be called before start().
  void subscribe(std::function<void(Changes)> subscriber) { subscribers_.push_back(std::move(subscriber)); }
  // Lists all keys, then watches them.
  void start();
  // Seconds since the last successful response to a list, a watch or a read barrier. Responses to leases and
  // transactions do not count: without updates no user's query can be answered.
  double update_age_s() const { return loop().now() - last_update_; }
  // Whether all keys have been listed once.
  bool synced() const { return synced_; }
  // Whether the key existed as of the last update. Keys of jobs are never deleted, so this distinguishes a
  // job that was evicted from memory from one that was never accepted.
  bool has(const std::string& key) const { return key_revisions_.contains(key); }
  // Parses a record that a controller stored. A malformed record must not end the process: it is logged once
  // for each revision of its key, and nothing is returned, so that the caller continues with other records.
  template <class Parse>
  std::optional<std::invoke_result_t<Parse>> try_parse(const std::string& key, wire::KeyRevision revision,
                                                       Parse parse) {
    try {
      return parse();
    } catch (const std::exception& error) {
      report_malformed(key, revision, error.what());
      return std::nullopt;
    }
  }
  const Limits& limits() const { return limits_; }
  // Number of keys that background work may write now. Every controller sees every change and so knows how
  // much its peers write: no part of the limit is reserved for controllers that write nothing.
  double background_write_budget();
  // Whether the service would almost certainly refuse a user's write because of the write limit, so that
  // sending it would only waste requests.
  bool is_write_limit_exhausted();

  void on(Commit& message);
  void on(ReadBarrier& message);
  void on(FetchKey& message);
  void on(GrantLease& message);
  void on(RenewLease& message);
  void on(RevokeLease& message);

 private:
  // A read barrier that has not been answered.
  struct PendingBarrier {
    std::function<void(bool)> done;
    // Steady-clock time until which it is retried if the service refuses it for its request limit.
    double deadline = 0;
  };
  using WatchResult = std::variant<protocol::WatchUpdate, protocol::ResponseError>;

  void send(net::Request request, double timeout_s, net::Reply reply);

  void list_keys(std::string after);
  void retry_list(const std::string& after);
  void restart_list();
  void add_page(protocol::KeyPage&& page);
  void finish_list();

  void publish(std::vector<Change> changes);
  bool update_revision(const Change& change);
  void count_peer_write(const std::string& key);
  void report_malformed(const std::string& key, wire::KeyRevision revision, const char* reason);

  void watch();
  void poll_if_idle();
  bool apply_update(WatchResult result);
  void run_barrier();
  void schedule_barrier(double wait_s);
  void finish_barrier(std::vector<PendingBarrier> served, WatchResult result);

  void log_rejected(const std::vector<std::string>& keys, const std::string& reason);
  void discard_own_writes(const std::vector<std::string>& keys, Outcome outcome);

  void send_fetches();
  void schedule_fetches();
  void send_fetch(const std::string& key);
  void finish_fetch(const std::string& key, const KeyResponse& response);

  net::Client& client_;
  runtime::Log log_;
  std::string address_;
  Limits limits_;
  net::RateLimit write_budget_;
  std::vector<std::function<void(Changes)>> subscribers_;

  // The revision of every key that exists as of the last update.
  std::map<std::string, wire::KeyRevision> key_revisions_;
  // Keys that this controller has written and whose change has not been seen yet.
  std::multiset<std::string> own_writes_;
  // The pages received so far of a list in progress.
  std::map<std::string, Entry> listed_entries_;
  wire::StoreRevision listing_revision_;
  // Store revision up to which every change has been published.
  wire::StoreRevision revision_;
  bool synced_ = false;
  bool relisting_ = false;
  double last_update_ = -1e9;

  // Malformed records that have been logged, with the newest revision logged.
  std::map<std::string, wire::KeyRevision> reported_malformed_;

  net::RateLimit fetch_budget_;
  std::map<std::string, std::vector<decltype(FetchKey::done)>> fetch_callbacks_;
  // Keys to be read, each with the steady-clock time after which the read is dropped.
  std::deque<std::pair<std::string, double>> fetch_queue_;
  runtime::Timer fetch_timer_;

  std::vector<PendingBarrier> pending_barriers_;
  bool barrier_is_urgent_ = false;
  bool barrier_running_ = false;
  double last_barrier_sent_at_ = -1e9;
  runtime::Timer barrier_timer_;
  runtime::Timer watch_timer_;
  runtime::Timer list_timer_;
  runtime::Timer poll_timer_;
};

}  // namespace bankhill::state
