#include "state/write_coalescer.hpp"

#include <algorithm>
#include <iterator>

#include "wire/records.hpp"

namespace bankhill::state {

namespace {
constexpr std::size_t kBatchBytes = std::size_t{48} * 1024;  // of the 64 KiB that a transaction may hold
constexpr std::size_t kUrgentWrites = 4;  // in an urgent batch, however little of the limit is left

// Delays, of which the control interval holds this many.
constexpr double kMachinesDelays = 30;
constexpr double kExitsDelays = 6;
constexpr double kRemovalDelays = 3;
constexpr double kLimitPolls = 30;  // looks at a write limit that is used up

// After a transaction was refused as malformed.
constexpr double kShrinkFactor = 0.7;          // what a value may take, of the one refused
constexpr std::size_t kLeastValueLimit = 512;  // below which size was not what it was refused for
constexpr std::size_t kCalmCommits = 32;       // after which larger transactions are tried again
constexpr double kSetAsideRounds = 4;          // until what cannot be made to fit is tried again
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
      return interval_s / kMachinesDelays;
    case FlushDelay::exits:
      return interval_s / kExitsDelays;
    case FlushDelay::removal:
      return interval_s / kRemovalDelays;
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
  flush_soon();
}

void WriteCoalescer::clear() {
  pending_.clear();
  due_.clear();
  committing_ = false;
  ++generation_;
}

void WriteCoalescer::flush_soon() {
  if (std::exchange(flush_scheduled_, true)) return;
  // On the next turn, so that what belongs together is committed together.
  loop_.post(lifetime_.guard([this] {
    flush_scheduled_ = false;
    flush();
  }));
}

// For what is not due yet, or until the service's write limit allows more.
void WriteCoalescer::flush_after(double seconds) {
  flush_timer_ = loop_.after(seconds, lifetime_.guard([this] { flush_soon(); }));
}

void WriteCoalescer::flush() {
  if (committing_ || due_.empty() || !owner_.can_write()) return;
  const double now = loop_.now();
  const auto& [first_due_at, first_key] = *due_.begin();
  if (first_due_at > now) return flush_after(first_due_at - now);
  const bool urgent = owner_.is_urgent(first_key);
  const auto spare_writes = static_cast<std::size_t>(std::max(0.0, service_.writes_to_spare()));
  const auto allowed_writes = urgent ? std::max(kUrgentWrites, spare_writes) : spare_writes;
  const auto most_writes = std::min(batch_limit_, allowed_writes);
  if (most_writes == 0) return flush_after(settings_.control_interval_s / kLimitPolls);
  const auto batch = std::make_shared<Batch>();
  auto transaction = take_batch(now, most_writes, *batch);
  if (!batch->empty()) send(std::move(transaction), batch, urgent);
}

// Moves what is due into the batch, as far as a transaction holds it.
Transaction WriteCoalescer::take_batch(double now, std::size_t most_writes, Batch& batch) {
  Transaction transaction;
  // Invariant 1: once a newer term is won, this transaction fails however late it arrives.
  transaction.conditions.push_back({wire::kTermKey, owner_.expected_revision(wire::kTermKey)});
  std::size_t bytes = 0;
  while (!due_.empty() && due_.begin()->first <= now && batch.size() < most_writes) {
    const std::string key = due_.begin()->second;
    auto& write = pending_.at(key);
    if (owner_.prepare(key, write) == WritePreparation::withheld) {
      withhold(key);
      continue;
    }
    const std::size_t size = write.data ? wire::stored_bytes(*write.data) + key.size() : 0;
    if (!batch.empty() && bytes + size > kBatchBytes) break;
    bytes += size;
    // Invariant 8: the revision of a job's key decides between done and cancelled. Wanted before the job was
    // known to be cancelled, a write would call it done if it had the new revision as its condition.
    if (owner_.is_final(key)) {
      drop_final(key);
      continue;
    }
    const auto revision = owner_.expected_revision(key);
    transaction.conditions.push_back({key, revision});
    // A key that does not exist needs no deletion, but its condition must still hold.
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

void WriteCoalescer::drop_final(const std::string& key) {
  auto write = pending_.extract(key);
  due_.erase({write.mapped().due_at, key});
  for (auto& callback : write.mapped().callbacks) loop_.post(lifetime_.guard(std::move(callback)));
}

void WriteCoalescer::send(Transaction transaction, BatchPtr batch, bool urgent) {
  committing_ = true;
  auto on_result = [this, generation = generation_, batch = std::move(batch)](const CommitResult& result) {
    if (generation == generation_) handle_result(result, batch);
  };
  service_.commit(Commit{std::move(transaction), lifetime_.guard(std::move(on_result)), urgent});
}

void WriteCoalescer::handle_result(const CommitResult& result, const BatchPtr& batch) {
  if (result.outcome == Outcome::committed) return handle_committed(std::move(*batch), result.revision);
  if (result.outcome == Outcome::invalid) return handle_malformed(std::move(*batch));
  // Unless it was done, look what the keys hold now and try again.
  auto resolve = [this, generation = generation_, batch](bool synced) {
    if (generation == generation_) resolve_unknown_outcome(std::move(*batch), synced);
  };
  // Posted, so that the changes published before the barrier's answer are taken in first.
  auto on_synced = [this, resolve = std::move(resolve)](bool synced) {
    loop_.post(lifetime_.guard([resolve, synced] { resolve(synced); }));
  };
  service_.sync(ReadBarrier{lifetime_.guard(std::move(on_synced)), true});
}

void WriteCoalescer::handle_committed(Batch&& batch, wire::StoreRevision revision) {
  committing_ = false;
  if (++commits_since_refusal_ >= kCalmCommits) batch_limit_ = settings_.transaction_writes;
  for (auto& [key, write] : batch)
    owner_.apply_committed(Change{key, std::move(write.data), wire::KeyRevision{revision.value}});
  for (const auto& [key, write] : batch)
    for (const auto& callback : write.callbacks) callback();
  owner_.after_commit();
  flush_soon();
}

// Retried as it was it would hold up everything behind it: halved, until the write that is not taken stands
// alone; that is made smaller, or set aside.
void WriteCoalescer::handle_malformed(Batch&& batch) {
  const double wait_s = shrink_limits(batch);
  for (auto& [key, write] : batch) write.due_at = std::max(write.due_at, loop_.now()) + wait_s;
  resolve_unknown_outcome(std::move(batch), true);
  flush_soon();
}

// Returns the seconds after which the refused batch may be tried again.
double WriteCoalescer::shrink_limits(const Batch& batch) {
  batch_limit_ = std::max<std::size_t>(1, batch.size() / 2);
  commits_since_refusal_ = 0;
  if (batch.size() > 1) return 0;
  const auto& data = batch.begin()->second.data;
  const auto size = data ? wire::stored_bytes(*data) : 0;
  const auto smaller = static_cast<std::size_t>(static_cast<double>(size) * kShrinkFactor);
  if (smaller < kLeastValueLimit || smaller >= value_limit_) return kSetAsideRounds * settings_.round_s;
  value_limit_ = smaller;
  return 0;
}

// `cache_is_current`: what is known is newer than the transaction. Else what it wrote may not be, and that a
// key holds what is wanted now may be how it was before.
void WriteCoalescer::resolve_unknown_outcome(Batch&& batch, bool cache_is_current) {
  committing_ = false;
  std::vector<WriteCallback> settled;
  for (auto& [key, write] : batch) {
    if (is_settled(key, write, cache_is_current))
      std::move(write.callbacks.begin(), write.callbacks.end(), std::back_inserter(settled));
    else
      requeue(key, std::move(write));
  }
  for (const auto& callback : settled) callback();
  // The owner's next call of flush() tries again: not at once, since the service may be refusing.
}

bool WriteCoalescer::is_settled(const std::string& key, const PendingWrite& write,
                                bool cache_is_current) const {
  if (owner_.is_final(key)) return true;
  return cache_is_current && !pending_.contains(key) && owner_.has_value(key, write.data);
}

// A newer value wanted meanwhile takes over the older one's callbacks.
void WriteCoalescer::requeue(const std::string& key, PendingWrite write) {
  auto [entry, added] = pending_.try_emplace(key);
  auto& wanted = entry->second;
  if (added) {
    wanted.data = std::move(write.data);
    wanted.due_at = write.due_at;
    due_.emplace(wanted.due_at, key);
  }
  wanted.callbacks.insert(wanted.callbacks.begin(), std::make_move_iterator(write.callbacks.begin()),
                          std::make_move_iterator(write.callbacks.end()));
}

}  // namespace bankhill::state
