// Pending writes of one controller: the wanted value of each key, ordered by urgency and committed in
// batches, one transaction at a time. The state service counts every put, so a write waits a little for later
// values of the same key to replace it.
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

// How long a write may wait for others to join it: what tasks or users wait for goes first, and since what
// waits longest comes first nothing is starved.
enum class FlushDelay {
  awaited,   // goes ahead of everything that is due now
  none,      // due at once
  machines,  // new machines, which take tasks once they are recorded
  exits,     // tasks that ended
  removal,   // machines that are gone
  garbage,   // what nobody reads any more
};

using WriteCallback = std::function<void()>;

// The value that a key is to have.
struct PendingWrite {
  std::optional<wire::Json> data;        // empty: delete the key
  std::vector<WriteCallback> callbacks;  // called once the key has this value, or the write is obsolete
  double due_at = 0;                     // steady clock: until then further changes of the key may join it
};

enum class WritePreparation {
  ready,
  withheld,  // not to be written now: its owner took the callbacks and stores the key again later
};

// What the coalescer asks of the owner of the records that it writes.
class WriteOwner {
 public:
  virtual ~WriteOwner() = default;

  // Whether a transaction may be sent at this moment (invariant 2).
  virtual bool can_write() const = 0;
  // The revision that the key must still have for a write of it to succeed; 0: it must not exist. That of the
  // term key is the fencing token.
  virtual wire::KeyRevision expected_revision(const std::string& key) const = 0;
  // Whether nothing may be written to the key any more, because what it records is final.
  virtual bool is_final(const std::string& key) const = 0;
  // Whether the key holds this value by all that is known now, and that says that it was written.
  virtual bool has_value(const std::string& key, const std::optional<wire::Json>& data) const = 0;
  // Whether tasks or users wait for this key: it may then use more of the write limit.
  virtual bool is_urgent(const std::string& key) const = 0;
  // Called just before a write joins a batch: renders a record that changed since it was stored, and makes
  // smaller what exceeds the coalescer's value limit. May store other keys, not this one.
  virtual WritePreparation prepare(const std::string& key, PendingWrite& write) = 0;
  // Takes in a change that was committed; called for each of a batch, before any of its callbacks.
  virtual void apply_committed(const Change& change) = 0;
  // Called once a committed batch is applied and its callbacks have run.
  virtual void after_commit() = 0;
};

class WriteCoalescer {
 public:
  struct Settings {
    double control_interval_s = 3;
    double round_s = 15;
    std::size_t transaction_writes = 16;  // that the state service allows
    std::size_t value_bytes = 0;          // that the state service allows
  };
  // The operations of the state service that the coalescer uses (state/store.hpp).
  struct Service {
    std::function<void(Commit)> commit;
    std::function<void(ReadBarrier)> sync;
    std::function<double()> writes_to_spare;
  };

  WriteCoalescer(runtime::Loop& loop, Settings settings, Service service, WriteOwner& owner);

  // Wants the key to have this value; a write of the key that is still pending is replaced and its callbacks
  // are kept.
  void store(const std::string& key, std::optional<wire::Json> data, FlushDelay delay,
             WriteCallback callback = {});
  // Sends what is due if no transaction is under way.
  void flush();
  // Forgets all pending writes and the transaction under way. The limits learned from refusals are kept.
  void clear();

  bool contains(const std::string& key) const { return pending_.contains(key); }
  std::size_t size() const { return pending_.size(); }
  // What a value may take: less than the service's limit once a value was refused.
  std::size_t value_limit() const { return value_limit_; }
  // Writes in a transaction at the most: fewer for a while once one was refused.
  std::size_t batch_limit() const { return batch_limit_; }

 private:
  using Batch = std::map<std::string, PendingWrite>;
  using BatchPtr = std::shared_ptr<Batch>;

  double delay_s(FlushDelay delay) const;
  void flush_soon();
  void flush_after(double seconds);
  Transaction take_batch(double now, std::size_t most_writes, Batch& batch);
  void withhold(const std::string& key);
  void drop_final(const std::string& key);
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
  std::set<std::pair<double, std::string>> due_;  // the keys of pending_ by when they are due
  std::size_t value_limit_;
  std::size_t batch_limit_;
  std::size_t commits_since_refusal_ = 0;
  bool committing_ = false;
  bool flush_scheduled_ = false;
  std::uint64_t generation_ = 0;  // counts clear(): results of transactions from before it are ignored
  runtime::Timer flush_timer_;
  runtime::Lifetime lifetime_;
};

}  // namespace bankhill::state
