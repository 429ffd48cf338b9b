#include "state/write_coalescer.hpp"

#include <algorithm>
#include <iterator>

#include "wire/records.hpp"

namespace bankhill::state {

namespace {
// Most bytes in a batch; a transaction may hold 64 KiB.
constexpr std::size_t kMaxBatchBytes = std::size_t{48} * 1024;
// Number of writes that an urgent batch may hold even if the write limit is exhausted.
constexpr std::size_t kMinUrgentWrites = 4;

// Divisors of the control interval that give the delay of each kind of write.
constexpr double kMachinesDelayDivisor = 30;
constexpr double kExitsDelayDivisor = 6;
constexpr double kRemovalDelayDivisor = 3;
// Divisor of the control interval that gives the pause between two checks of an exhausted write limit.
constexpr double kLimitPollDivisor = 30;

// The following apply after a transaction was refused as malformed.

// New value limit, as a fraction of the size of the refused value.
constexpr double kShrinkFactor = 0.7;
// Value limit, in bytes, below which the size cannot have been the reason for the refusal.
constexpr std::size_t kMinValueLimit = 512;
// Number of committed transactions after which larger ones are tried again.
constexpr std::size_t kCommitsBeforeLargerBatches = 32;
// Delay, in planning rounds, before a write that cannot be made small enough is tried again.
constexpr double kRefusedWriteDelayRounds = 4;
}  // namespace

WriteCoalescer::WriteCoalescer(runtime::Loop& loop, Settings settings, Service service, WriteOwner& owner)
    : loop_(loop),
      settings_(settings),
      service_(std::move(service)),
      owner_(owner),
      value_limit_(settings.value_bytes),
      batch_limit_(settings.transaction_writes) {}

double WriteCoalescer::delay_s(FlushDelay delay) const {
  const double interval_s = settings_.control_interval_s;
  switch (delay) {
    case FlushDelay::awaited:
      return -interval_s;
    case FlushDelay::none:
      return 0;
    case FlushDelay::machines:
      return interval_s / kMachinesDelayDivisor;
    case FlushDelay::exits:
      return interval_s / kExitsDelayDivisor;
    case FlushDelay::removal:
      return interval_s / kRemovalDelayDivisor;
    case FlushDelay::garbage:
      return interval_s;
  }
  return 0;
}

void WriteCoalescer::store(const std::string& key, std::optional<wire::Json> data, FlushDelay delay,
                           WriteCallback callback) {
  const double due_at = loop_.now() + delay_s(delay);
  auto [entry, added] = pending_.try_emplace(key);
  auto& write = entry->second;
  if (!added) due_.erase({write.due_at, key});
  write.due_at = added ? due_at : std::min(write.due_at, due_at);
  due_.emplace(write.due_at, key);
  write.data = std::move(data);
  if (callback) write.callbacks.push_back(std::move(callback));
  schedule_flush();
}

void WriteCoalescer::clear() {
  pending_.clear();
  due_.clear();
  commit_in_flight_ = false;
  ++generation_;
}

void WriteCoalescer::schedule_flush() {
  if (std::exchange(flush_scheduled_, true)) return;
  // On the loop's next turn, so that related writes are committed together.
  loop_.post(lifetime_.guard([this] {
    flush_scheduled_ = false;
    flush();
  }));
}

// Used for writes that are not due yet, and while the service's write limit is exhausted.
void WriteCoalescer::schedule_flush_after(double seconds) {
  flush_timer_ = loop_.after(seconds, lifetime_.guard([this] { schedule_flush(); }));
}

void WriteCoalescer::flush() {
  if (commit_in_flight_ || due_.empty() || !owner_.can_write()) return;
  const double now = loop_.now();
  const auto& [first_due_at, first_key] = *due_.begin();
  if (first_due_at > now) return schedule_flush_after(first_due_at - now);
  const bool urgent = owner_.is_urgent(first_key);
  const auto background_writes = static_cast<std::size_t>(std::max(0.0, service_.background_write_budget()));
  const auto allowed_writes = urgent ? std::max(kMinUrgentWrites, background_writes) : background_writes;
  const auto max_writes = std::min(batch_limit_, allowed_writes);
  if (max_writes == 0) return schedule_flush_after(settings_.control_interval_s / kLimitPollDivisor);
  const auto batch = std::make_shared<Batch>();
  auto transaction = take_batch(now, max_writes, *batch);
  if (!batch->empty()) send(std::move(transaction), batch, urgent);
}

// Moves the writes that are due into the batch, as many as fit into a transaction.
Transaction WriteCoalescer::take_batch(double now, std::size_t max_writes, Batch& batch) {
  Transaction transaction;
  // Invariant 1: once a newer term has begun, this transaction fails, however late it arrives.
  transaction.conditions.push_back({wire::kTermKey, owner_.expected_revision(wire::kTermKey)});
  std::size_t bytes = 0;
  while (!due_.empty() && due_.begin()->first <= now && batch.size() < max_writes) {
    const std::string key = due_.begin()->second;
    auto& write = pending_.at(key);
    if (owner_.prepare(key, write) == WritePreparation::withheld) {
      withhold(key);
      continue;
    }
    const std::size_t size = write.data ? wire::stored_bytes(*write.data) + key.size() : 0;
    if (!batch.empty() && bytes + size > kMaxBatchBytes) break;
    bytes += size;
    // Invariant 8: the revision of a job's key decides between done and cancelled. A write that was queued
    // before the job was known to be cancelled would mark the job done if it used the new revision as its
    // condition.
    if (owner_.is_final(key)) {
      discard_final(key);
      continue;
    }
    const auto revision = owner_.expected_revision(key);
    transaction.conditions.push_back({key, revision});
    // A key that does not exist is not deleted, but its condition is still checked.
    if (write.data || revision.value != 0) transaction.writes.push_back({key, write.data, std::nullopt});
    due_.erase({write.due_at, key});
    batch.insert(pending_.extract(key));
  }
  return transaction;
}

void WriteCoalescer::withhold(const std::string& key) {
  const auto write = pending_.extract(key);
  due_.erase({write.mapped().due_at, key});
}

void WriteCoalescer::discard_final(const std::string& key) {
  auto write = pending_.extract(key);
  due_.erase({write.mapped().due_at, key});
  for (auto& callback : write.mapped().callbacks) loop_.post(lifetime_.guard(std::move(callback)));
}

void WriteCoalescer::send(Transaction transaction, BatchPtr batch, bool urgent) {
  commit_in_flight_ = true;
  auto on_result = [this, generation = generation_, batch = std::move(batch)](const CommitResult& result) {
    if (generation == generation_) handle_result(result, batch);
  };
  service_.commit(Commit{std::move(transaction), lifetime_.guard(std::move(on_result)), urgent});
}

void WriteCoalescer::handle_result(const CommitResult& result, const BatchPtr& batch) {
  if (result.outcome == Outcome::committed) return handle_committed(std::move(*batch), result.revision);
  if (result.outcome == Outcome::invalid) return handle_malformed(std::move(*batch));
  // The transaction may not have been committed: read the keys' current values, then retry what is missing.
  auto resolve_outcome = [this, generation = generation_, batch](bool synced) {
    if (generation == generation_) resolve_unknown_outcome(std::move(*batch), synced);
  };
  // Posted, so that the changes published before the barrier's result are applied first.
  auto on_synced = [this, resolve_outcome = std::move(resolve_outcome)](bool synced) {
    loop_.post(lifetime_.guard([resolve_outcome, synced] { resolve_outcome(synced); }));
  };
  service_.read_barrier(ReadBarrier{lifetime_.guard(std::move(on_synced)), true});
}

void WriteCoalescer::handle_committed(Batch&& batch, wire::StoreRevision revision) {
  commit_in_flight_ = false;
  if (++commits_since_refusal_ >= kCommitsBeforeLargerBatches) batch_limit_ = settings_.transaction_writes;
  for (auto& [key, write] : batch)
    owner_.apply_committed(Change{key, std::move(write.data), wire::KeyRevision{revision.value}});
  for (const auto& [key, write] : batch)
    for (const auto& callback : write.callbacks) callback();
  owner_.after_commit();
  schedule_flush();
}

// Retried unchanged, the batch would block all later writes. Its size is halved until the write that is
// refused is alone in its batch; that write is made smaller or delayed.
void WriteCoalescer::handle_malformed(Batch&& batch) {
  const double wait_s = shrink_limits(batch);
  for (auto& [key, write] : batch) write.due_at = std::max(write.due_at, loop_.now()) + wait_s;
  resolve_unknown_outcome(std::move(batch), true);
  schedule_flush();
}

// Returns the delay, in seconds, before the refused batch may be tried again.
double WriteCoalescer::shrink_limits(const Batch& batch) {
  batch_limit_ = std::max<std::size_t>(1, batch.size() / 2);
  commits_since_refusal_ = 0;
  if (batch.size() > 1) return 0;
  const auto& data = batch.begin()->second.data;
  const auto size = data ? wire::stored_bytes(*data) : 0;
  const auto reduced_limit = static_cast<std::size_t>(static_cast<double>(size) * kShrinkFactor);
  if (reduced_limit < kMinValueLimit || reduced_limit >= value_limit_)
    return kRefusedWriteDelayRounds * settings_.round_s;
  value_limit_ = reduced_limit;
  return 0;
}

// `cache_is_current`: whether the cache is newer than the transaction. If not, the transaction's writes may
// be missing from it, and a key that has the wanted value may have had it before the transaction.
void WriteCoalescer::resolve_unknown_outcome(Batch&& batch, bool cache_is_current) {
  commit_in_flight_ = false;
  std::vector<WriteCallback> settled;
  for (auto& [key, write] : batch) {
    if (is_settled(key, write, cache_is_current))
      std::move(write.callbacks.begin(), write.callbacks.end(), std::back_inserter(settled));
    else
      requeue(key, std::move(write));
  }
  for (const auto& callback : settled) callback();
  // The owner's next call of flush() retries. Not at once, since the service may be refusing requests.
}

bool WriteCoalescer::is_settled(const std::string& key, const PendingWrite& write,
                                bool cache_is_current) const {
  if (owner_.is_final(key)) return true;
  return cache_is_current && !pending_.contains(key) && owner_.has_value(key, write.data);
}

// A newer value that was queued in the meantime takes over the older write's callbacks.
void WriteCoalescer::requeue(const std::string& key, PendingWrite write) {
  auto [entry, added] = pending_.try_emplace(key);
  auto& pending = entry->second;
  if (added) {
    pending.data = std::move(write.data);
    pending.due_at = write.due_at;
    due_.emplace(pending.due_at, key);
  }
  pending.callbacks.insert(pending.callbacks.begin(), std::make_move_iterator(write.callbacks.begin()),
                           std::make_move_iterator(write.callbacks.end()));
}

}  // namespace bankhill::state
