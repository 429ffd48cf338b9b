// The stand-in of the state service: a key-value store with transactions on conditions, leases and watches,
// its limits, and the faults that tests give it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/http.hpp"
#include "net/rate_limit.hpp"
#include "sim/event_queue.hpp"
#include "wire/messages.hpp"

namespace bankhill::sim {

// A key's value, the revision of its last write, and the lease it goes with; 0: none.
struct StateKey {
  wire::Json data;
  std::uint64_t revision = 0;
  std::uint64_t lease_id = 0;
};

// What the service refuses to go beyond.
struct StateLimits {
  double requests_per_s = 0;
  double writes_per_s = 0;
  double value_kb = 0;
  std::size_t transaction_operations = 0;
};

class StateService {
 public:
  // What the site does when something happens at the service.
  struct Observer {
    // A transaction whose conditions hold is about to take effect.
    std::function<void(const wire::Json& transaction)> before_commit;
    // This controller's record became the leader's where there was none.
    std::function<void(int node)> leader_elected;
    // A transaction without an answer takes effect as late as this.
    std::function<void(double time)> commit_postponed;
  };

  // `limits` hold until `tighten`, then `next_limits`.
  StateService(EventQueue& events, StateLimits limits, StateLimits next_limits, Observer observer);

  // Answers a request of a controller, at once or later, or never.
  void handle(int node, const net::Request& request, const net::Reply& reply);
  // Carries out a transaction, whatever the limits of rates and the faults are.
  net::Response commit(const wire::Json& transaction);
  // Writes a key as no controller would, or deletes it; watches see it.
  void overwrite(const std::string& key, std::optional<wire::Json> data);
  // Ends the leases that ran out; an outage stops their clock.
  void expire_leases();
  const std::map<std::string, StateKey>& keys() const { return keys_; }

  // Faults that last until they are over or `heal` is called.

  void fail(double seconds) { down_until_ = events_.now() + seconds; }
  void refuse(int node, double seconds) { refused_until_[node] = events_.now() + seconds; }
  // This share of the transactions gets no answer and is carried out later, after newer ones; `at_once`: only
  // their answers are lost.
  void delay_commits(double share, double seconds, bool at_once);
  // The limits that were announced come into force.
  void tighten() { limits_ = next_limits_; }
  void heal();

  // Whether a controller may lack an answer for a fault of the service.
  bool troubled() const;
  bool is_down() const { return events_.now() < down_until_; }
  // Whether it was down when leases were last looked at.
  bool was_down() const { return was_down_; }
  bool delays_commits() const { return events_.now() < delayed_until_; }

  // Faults that last until the test takes them back.

  int node_without_watches = -1;        // its watches are not answered
  int node_without_reads = -1;          // its reads of single keys are refused
  std::set<std::string> unreadable;     // keys whose reads are refused
  std::set<std::string> rejected_keys;  // whose writes are refused as malformed
  bool writes_exhausted = false;        // the limit of writes is used up
  double share_over_limit = 0;          // of the requests, refused for the limit
  int unanswered_job_writes = 0;        // so many are executed without an answer
  // The next transaction with a write that it is true of gets no answer and waits in `delayed`.
  std::function<bool(const wire::Json& write)> delay_next;
  std::optional<wire::Json> delayed;
  net::Response carry_out_delayed() { return commit(*std::exchange(delayed, std::nullopt)); }
  // The next transaction with a write that it is true of is carried out at once, and its answer is lost.
  std::function<bool(const wire::Json& write)> lose_answer_of_next;

  // Counts.

  std::uint64_t lost_answers = 0;          // by `lose_answer_of_next`, of transactions that took effect
  int lost_answer_of = -1;                 // who sent the last of them
  std::uint64_t committed_late = 0;        // transactions without an answer that took effect late
  std::uint64_t transactions_refused = 0;  // as too large
  std::uint64_t writes_refused = 0;        // transactions beyond the limit of writes
  std::uint64_t requests_refused = 0;      // for the limit of requests
  // In each second, those over a limit too.
  const std::map<int, std::uint64_t>& requests_by_second() const { return requests_by_second_; }
  const std::map<int, std::uint64_t>& writes_by_second() const { return writes_by_second_; }

 private:
  struct Lease {
    double ttl_s = 0;
    double ends = 0;
  };

  bool too_large(const wire::Json& transaction) const;
  wire::Json failed_conditions(const wire::Json& transaction) const;
  void apply(const wire::Json& writes);
  // Whether this request gets no answer; its transaction may be carried out, now or later.
  bool goes_unanswered(int node, const net::Request& request);
  bool tightened() const { return limits_.writes_per_s < first_writes_per_s_; }
  bool over_limit(std::optional<net::RateLimit>& limit, double rate, double amount);
  bool is_refused(int node) const;
  // The answer, unless there is none or it comes later.
  std::optional<net::Response> answer(int node, const net::Request& request, const net::Reply& later);
  std::optional<net::Response> answer_commit(const net::Request& request);
  net::Response answer_lease(const net::Request& request);
  std::optional<net::Response> answer_watch(int node, const net::Request& request, const net::Reply& later);
  net::Response answer_list() const;
  net::Response answer_read(int node, const std::string& key) const;
  void revoke_lease(std::uint64_t lease_id);
  void notify_watchers();
  wire::Json changes_since(std::uint64_t revision) const;

  EventQueue& events_;
  Observer observer_;
  StateLimits limits_;
  StateLimits next_limits_;
  double first_writes_per_s_;

  std::map<std::string, StateKey> keys_;
  std::vector<std::pair<std::uint64_t, wire::Json>> history_;  // changes and their revisions
  std::uint64_t revision_ = 0;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t next_lease_id_ = 1;
  std::vector<std::function<void()>> watchers_;

  std::optional<net::RateLimit> request_rate_;
  std::optional<net::RateLimit> write_rate_;
  std::optional<net::RateLimit> next_write_rate_;  // once tightened
  std::map<int, std::uint64_t> requests_by_second_;
  std::map<int, std::uint64_t> writes_by_second_;

  double down_until_ = 0;
  bool was_down_ = false;
  std::map<int, double> refused_until_;
  double delayed_share_ = 0;
  double delayed_until_ = 0;
  bool delayed_at_once_ = false;
};

}  // namespace bankhill::sim
