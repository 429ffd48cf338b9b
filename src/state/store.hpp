// Client of the state service: transactions, a watch on everything bankhill keeps there, and the read
// barrier that makes what is known locally as new as any answer that any controller has given.
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

// Of the state service, as it announces them.
struct Limits {
  double requests_per_s = 100;  // requests a second
  double writes_per_s = 50;     // puts a second
  double value_kb = 8;          // of one value
  std::size_t txn_ops = 16;     // writes of one transaction
  std::size_t controllers = 3;  // that share these limits
};

using protocol::KeyResponse;
using protocol::KeyStatus;
using protocol::LeaseRenewal;

// Messages of the store.

// Carries out a transaction.
struct Commit {
  Transaction transaction;
  std::function<void(CommitResult)> done;
  // What users and elections wait for. Bookkeeping leaves them a part of the limits.
  bool urgent = true;
};
// Read barrier: done(true) once every change committed before this message has been published.
struct ReadBarrier {
  std::function<void(bool)> done;
  bool urgent = false;  // sent at once, whatever the barriers have used of the limits
};
// Reads one key from the service itself; several requests for one key at a time are one.
struct FetchKey {
  std::string key;
  std::function<void(const KeyResponse&)> done;
};
// Opens a lease.
struct GrantLease {
  double ttl_s = 0;
  std::function<void(std::optional<std::uint64_t> lease_id)> done;  // nothing: none, or it cannot be told
};
// Renews a lease.
struct RenewLease {
  std::uint64_t lease_id = 0;
  double timeout_s = 0;
  std::function<void(LeaseRenewal)> done;
};
// Ends a lease; nobody waits for the answer.
struct RevokeLease {
  std::uint64_t lease_id = 0;
};

// The actor that speaks to the state service for all others of a controller.
class Store
    : public runtime::Actor<Store, Commit, ReadBarrier, FetchKey, GrantLease, RenewLease, RevokeLease> {
 public:
  Store(runtime::Loop& loop, net::Client& client, runtime::Log log, std::string address, Limits limits);

  // Subscribers get every change once, in order; call before start().
  void subscribe(std::function<void(Changes)> subscriber) { subscribers_.push_back(std::move(subscriber)); }
  // Reads all keys, then watches them.
  void start();
  // Seconds since news were last had from the service. Leases and transactions that are answered are not
  // enough: without news no question of a user can be.
  double update_age_s() const { return loop().now() - last_news_; }
  // Whether all keys were read once.
  bool synced() const { return synced_; }
  // Whether the key was there at the last news. Keys of jobs are never deleted, so it tells a job that left
  // memory from one that was never accepted.
  bool has(const std::string& key) const { return known_.contains(key); }
  // Takes in a record that a controller stored. One that cannot be read ends nobody: it is set aside under
  // its name, told once in the log, and its reader goes on with the others.
  template <class Parse>
  std::optional<std::invoke_result_t<Parse>> try_parse(const std::string& key, wire::KeyRevision revision,
                                                       Parse parse) {
    try {
      return parse();
    } catch (const std::exception& error) {
      set_aside(key, revision, error.what());
      return std::nullopt;
    }
  }
  // Of the service that this store was made for.
  const Limits& limits() const { return limits_; }
  // Puts that bookkeeping may commit now. Every controller sees every change, so it knows what the others
  // use: nothing of the limit is set aside for controllers that write nothing.
  double background_write_budget();
  // Whether a put of users is sure enough to be refused for the limit that asking would only use up requests.
  bool is_write_limit_exhausted();

  void on(Commit& message);
  void on(ReadBarrier& message);
  void on(FetchKey& message);
  void on(GrantLease& message);
  void on(RenewLease& message);
  void on(RevokeLease& message);

 private:
  struct Waiting {  // for a barrier
    std::function<void(bool)> done;
    double until = 0;  // answered by then in any case
  };
  using WatchAnswer = std::variant<protocol::News, protocol::AnswerError>;

  void send(net::Request request, double timeout_s, net::Reply reply);

  void list(std::string after);
  void list_again(const std::string& after);
  void list_anew();
  void take_page(protocol::KeyPage&& page);
  void finish_list();

  void publish(std::vector<Change> changes);
  bool take_revision(const Change& change);
  void count_write(const std::string& key);
  void set_aside(const std::string& key, wire::KeyRevision revision, const char* why);

  void watch();
  void heartbeat();
  bool apply_news(WatchAnswer answer);
  void run_barrier();
  void run_barrier_later(double wait_s);
  void barrier_over(std::vector<Waiting> served_now, WatchAnswer answer);

  void warn_of_malformed(const std::vector<std::string>& keys, const std::string& reason);
  void forget_writes(const std::vector<std::string>& keys, Outcome outcome);

  void next_fetch();
  void next_fetch_later();
  void fetch(const std::string& key);
  void fetched(const std::string& key, const KeyResponse& answer);

  net::Client& client_;
  runtime::Log log_;
  std::string address_;
  Limits limits_;
  net::RateLimit writes_;
  std::vector<std::function<void(Changes)>> subscribers_;

  std::map<std::string, wire::KeyRevision> known_;
  std::multiset<std::string> own_;        // keys written from here whose change is still to be seen
  std::map<std::string, Entry> listing_;  // pages of a list under way
  wire::StoreRevision listing_epoch_;
  wire::StoreRevision epoch_;
  bool synced_ = false;
  bool relist_ = false;
  double last_news_ = -1e9;

  std::map<std::string, wire::KeyRevision> set_aside_;  // records that cannot be read, told in the log

  net::RateLimit fetches_;
  std::map<std::string, std::vector<decltype(FetchKey::done)>> fetching_;
  std::deque<std::pair<std::string, double>> to_fetch_;  // with when it is given up
  runtime::Timer fetch_timer_;

  std::vector<Waiting> waiting_;
  bool waiting_urgent_ = false;
  bool barrier_running_ = false;
  double last_barrier_ = -1e9;
  runtime::Timer barrier_timer_;
  runtime::Timer watch_timer_;
  runtime::Timer list_timer_;
  runtime::Timer heartbeat_timer_;
};

}  // namespace bankhill::state
