// Pending writes of one controller: the value to be written to each key, ordered by due time and committed in
// batches, one transaction at a time. The state service counts every write of a key towards its limit, so a
// write is delayed a little and replaced if a later value of the same key follows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "runtime/lifetime.hpp"
#include "runtime/loop.hpp"
#include "state/store.hpp"
#include "state/store_cache.hpp"

namespace bankhill::state {

// How long a write is delayed so that others join its batch. Writes that tasks or users wait for are due
// first; within a batch the earliest due time comes first, so that no write starves.
enum class FlushDelay {
  awaited,   // before all other writes that are due now
  none,      // due at once
  machines,  // new machines, which can take tasks once they are recorded
  exits,     // tasks that have ended
  removal,   // machines that have been removed
  garbage,   // records that are no longer read
};

using WriteCallback = std::function<void()>;

// A value to be written to a key.
struct PendingWrite {
  // Empty to delete the key.
  std::optional<wire::Json> data;
  // Called once the key has this value or the write is obsolete.
  std::vector<WriteCallback> callbacks;
  // Steady-clock time until which later values of the key may replace this one.
  double due_at = 0;
};

enum class WritePreparation {
  ready,
  withheld,  // not to be written now: the owner has taken the callbacks and will store the key again
};

// The owner of the records that the coalescer writes.
class WriteOwner {
 public:
  virtual ~WriteOwner() = default;

  // Whether a transaction may be sent now (invariant 2).
  virtual bool can_write() const = 0;
  // The revision that the key must still have for a write of it to succeed; 0 if it must not exist. The
  // revision of the term key is the fencing token.
  virtual wire::KeyRevision expected_revision(const std::string& key) const = 0;
  // Whether the key must not be written any more because its record is final.
  virtual bool is_final(const std::string& key) const = 0;
  // Whether the key has this value as far as is known, which shows that a write of it was applied.
  virtual bool has_value(const std::string& key, const std::optional<wire::Json>& data) const = 0;
  // Whether tasks or users wait for a write of this key, which may then use more of the write limit.
  virtual bool is_urgent(const std::string& key) const = 0;
  // Called just before a write joins a batch. Renders a record that has changed since it was stored, and
  // shrinks a value that exceeds the coalescer's value limit. May store other keys, but not this one.
  virtual WritePreparation prepare(const std::string& key, PendingWrite& write) = 0;
  // Applies a committed change; called for every write of a batch, before any of the batch's callbacks.
  virtual void apply_committed(const Change& change) = 0;
  // Called after a committed batch has been applied and its callbacks have run.
  virtual void after_commit() = 0;
};

// Queues the writes of the leader, which owns it, and sends them in batches.
class WriteCoalescer {
 public:
  struct Settings {
    double control_interval_s = 3;
    // Interval between two planning rounds, in seconds.
    double round_s = 15;
    // Most writes in a transaction that the state service allows.
    std::size_t transaction_writes = 16;
    // Largest value that the state service allows, in bytes.
    std::size_t value_bytes = 0;
  };
  // The operations of the state service that the coalescer uses (state/store.hpp).
  struct Service {
    std::function<void(Commit)> commit;
    std::function<void(ReadBarrier)> read_barrier;
    std::function<double()> background_write_budget;
  };

  WriteCoalescer(runtime::Loop& loop, Settings settings, Service service, WriteOwner& owner);

  // Queues a write of the key; replaces the value of a pending write of the same key and keeps its callbacks.
  void store(const std::string& key, std::optional<wire::Json> data, FlushDelay delay,
             WriteCallback callback = {});
  // Sends the writes that are due, unless a transaction is in flight.
  void flush();
  // Discards all pending writes and ignores the transaction in flight. The limits learned from refusals are
  // kept.
  void clear();

  bool contains(const std::string& key) const { return pending_.contains(key); }
  std::size_t size() const { return pending_.size(); }
  // Largest size of a value, in bytes: less than the service's limit after the service has refused a value.
  std::size_t value_limit() const { return value_limit_; }
  // Most writes in a transaction: fewer for some time after the service has refused one.
  std::size_t batch_limit() const { return batch_limit_; }

 private:
  using Batch = std::map<std::string, PendingWrite>;
  using BatchPtr = std::shared_ptr<Batch>;

  double delay_s(FlushDelay delay) const;
  void schedule_flush();
  void schedule_flush_after(double seconds);
  Transaction take_batch(double now, std::size_t max_writes, Batch& batch);
  void withhold(const std::string& key);
  void discard_final(const std::string& key);
  void send(Transaction transaction, BatchPtr batch, bool urgent);
  void handle_result(const CommitResult& result, const BatchPtr& batch);
  void handle_committed(Batch&& batch, wire::StoreRevision revision);
  void handle_malformed(Batch&& batch);
  double shrink_limits(const Batch& batch);
  void resolve_unknown_outcome(Batch&& batch, bool cache_is_current);
  bool is_settled(const std::string& key, const PendingWrite& write, bool cache_is_current) const;
  void requeue(const std::string& key, PendingWrite write);

  runtime::Loop& loop_;
  Settings settings_;
  Service service_;
  WriteOwner& owner_;

  Batch pending_;
  std::set<std::pair<double, std::string>> due_;  // the keys of pending_, ordered by due time
  std::size_t value_limit_;
  std::size_t batch_limit_;
  std::size_t commits_since_refusal_ = 0;
  bool commit_in_flight_ = false;
  bool flush_scheduled_ = false;
  // Number of calls of clear(): the results of transactions sent before the last one are ignored.
  std::uint64_t generation_ = 0;
  runtime::Timer flush_timer_;
  runtime::Lifetime lifetime_;
};

}  // namespace bankhill::state
