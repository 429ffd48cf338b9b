// The leader's writes: the wanted value of each key, committed in batches, one transaction at a time. The
// service counts every put, so machines and finished tasks share keys, and a write waits a little for others
// of the same key to join it.
#include <algorithm>
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using state::Outcome;
using wire::Json;

namespace {
constexpr std::size_t kBatchBytes = 48 * 1024;  // of the 64 KiB that a transaction may hold
// Of the value limit, or of what a transaction holds if that is less: what one shared key may grow to.
constexpr double kShareOfValue = 0.5;
constexpr std::size_t kUrgentWrites = 4;  // with a rental, however little of the limit is left
constexpr std::size_t kMostShared = 4096;

std::size_t shared_bytes(double value_kb) {
  return std::min(kMostShared, static_cast<std::size_t>(value_kb * 1024 * kShareOfValue));
}
}  // namespace

double Leader::patience_s(Patience patience) const {
  switch (patience) {
    case Patience::none:
      return 0;
    case Patience::machines:
      return settings_.pace_s / 30;
    case Patience::exits:
      return settings_.pace_s / 6;
    case Patience::removal:
      return settings_.pace_s / 3;
    case Patience::tidying:
      return settings_.pace_s;
  }
  return 0;
}

void Leader::store(const std::string& key, std::optional<Json> data, Patience patience, Then then) {
  const double due = loop().now() + patience_s(patience);
  auto [entry, added] = intents_.try_emplace(key);
  auto& wanted = entry->second;
  if (!added) due_.erase({wanted.due, key});
  wanted.due = added ? due : std::min(wanted.due, due);
  due_.emplace(wanted.due, key);
  wanted.data = std::move(data);
  if (then) wanted.then.push_back(std::move(then));
  flush_soon();
}

void Leader::store_group(const std::string& group, Patience patience, Then then) {
  store(wire::machines_key(group), std::nullopt, patience, std::move(then));
}

void Leader::store_bucket(std::uint64_t bucket, Patience patience, Then then) {
  store(wire::finished_key(bucket), std::nullopt, patience, std::move(then));
}

// Puts the present value of a group or bucket into its intent.
void Leader::render(const std::string& key, Intent& intent) const {
  if (key.starts_with(wire::kMachines)) {
    intent.data.reset();
    const auto group = groups_.find(key.substr(wire::kMachines.size()));
    if (group == groups_.end()) return;
    wire::MachineGroupRecord record{
        group->second.pool.flavor, group->second.pool.rack_room, group->second.pool.reclaimable, {}};
    for (const auto& host : group->second.hosts)
      if (const auto* machine = fleet_.peek(host)) record.hosts.emplace(host, machine->address);
    if (!record.hosts.empty()) intent.data = to_json(record);
  } else if (key.starts_with(wire::kFinished)) {
    const auto name = key.substr(wire::kFinished.size());
    if (name.find('/') != std::string::npos) return;  // of version 0.1: only ever deleted
    intent.data.reset();
    const auto bucket = buckets_.find(std::stoull(name));
    if (bucket == buckets_.end()) return;
    wire::FinishedBucket record;
    for (const auto& id : bucket->second.chunks)
      if (const auto job = jobs_.find(id.job); job != jobs_.end() && job->second.live())
        record.emplace(id, wire::finished_hex(job->second.marks, id.chunk, model::kDone));
    if (!record.empty()) intent.data = to_json(record);
  }
}

void Leader::flush_soon() {
  if (std::exchange(flush_scheduled_, true)) return;
  // On the next turn, so that what belongs together is committed together.
  loop().post(guard([this] {
    flush_scheduled_ = false;
    flush();
  }));
}

void Leader::flush() {
  if (committing_ || due_.empty() || !valid()) return;
  const double now = loop().now();
  // A timer wakes it for what is not due yet, or when the service's write limit allows more.
  const auto later = [this](double wait) {
    flush_timer_ = loop().after(wait, guard([this] { flush_soon(); }));
  };
  if (due_.begin()->first > now) return later(due_.begin()->first - now);
  // A rental goes with the urgent ones: it waited ten seconds behind a site's first submissions, and every
  // task of theirs waits for the machines (lakaskalk-ops, the first half minute).
  const bool urgent = due_.begin()->second.starts_with(wire::kRentals);
  const auto allowed = static_cast<std::size_t>(std::max(0.0, ports_.store.writes_to_spare()));
  const auto most = std::min(settings_.txn_ops, urgent ? std::max(kUrgentWrites, allowed) : allowed);
  if (most == 0) return later(settings_.pace_s / 30);
  state::Transaction transaction;
  // Invariant 1: once a newer term is won, this transaction fails however late it arrives.
  transaction.when.push_back({wire::kTermKey, view_.stamp(wire::kTermKey)});
  Batch batch;
  std::size_t bytes = 0;
  while (!due_.empty() && due_.begin()->first <= now && batch.size() < most) {
    const std::string key = due_.begin()->second;
    const auto first = intents_.find(key);
    render(key, first->second);
    const std::size_t size = first->second.data ? first->second.data->dump().size() + key.size() : 0;
    if (!batch.empty() && bytes + size > kBatchBytes) break;
    due_.erase(due_.begin());
    bytes += size;
    const bool is_job = key.starts_with(wire::kJobs);
    const auto job = is_job ? jobs_.find(wire::JobId{key.substr(wire::kJobs.size())}) : jobs_.end();
    // Invariant 8: the job key's stamp decides between done and cancelled.
    if (is_job && (job == jobs_.end() || !job->second.live())) {
      // Wanted before the job was known to be cancelled: with the new stamp it would call it done.
      auto dropped = intents_.extract(first);
      for (auto& then : dropped.mapped().then) loop().post(guard(std::move(then)));
      continue;
    }
    const auto stamp = job != jobs_.end() ? job->second.stamp : view_.stamp(key);
    transaction.when.push_back({key, stamp});
    // A key that does not exist needs no deletion, but its condition must still hold.
    if (first->second.data || stamp.value != 0)
      transaction.writes.push_back({key, first->second.data, std::nullopt});
    batch.insert(intents_.extract(first));
  }
  if (batch.empty()) return;
  committing_ = true;
  const auto reign = first_term_;
  auto shared = std::make_shared<Batch>(std::move(batch));
  ports_.store.tell(state::Commit{std::move(transaction),
                                  guard([this, reign, shared](state::CommitResult result) {
                                    if (!reigning_ || reign != first_term_) return;
                                    if (result.outcome == Outcome::done)
                                      return committed(std::move(*shared), result.epoch);
                                    // Unless it was done, look what the keys hold now and try again.
                                    ports_.store.tell(state::Sync{guard([this, reign, shared](bool) {
                                                                    loop().post(guard([this, reign, shared] {
                                                                      if (reigning_ && reign == first_term_)
                                                                        resolve(std::move(*shared));
                                                                    }));
                                                                  }),
                                                                  true});
                                  }),
                                  urgent});
}

void Leader::committed(Batch batch, wire::Epoch epoch) {
  committing_ = false;
  for (auto& [key, intent] : batch) {
    const state::Change change{key, std::move(intent.data), wire::Stamp{epoch.value}};
    if (key.starts_with(wire::kJobs))
      learn_job(change);
    else
      view_.apply(change);
  }
  for (auto& [key, intent] : batch)
    for (const auto& then : intent.then) then();
  flush_soon();
}

void Leader::resolve(Batch batch) {
  committing_ = false;
  std::vector<Then> settled;
  for (auto& [key, intent] : batch) {
    bool over = false;
    if (key.starts_with(wire::kJobs)) {
      const auto job = jobs_.find(wire::JobId{key.substr(wire::kJobs.size())});
      over = job == jobs_.end() || !job->second.live();  // done by us, or cancelled: either is final
    } else if (!intents_.contains(key)) {
      const auto* entry = view_.find(key);
      over = intent.data ? entry != nullptr && entry->data == *intent.data : entry == nullptr;
    }
    if (over) {
      for (auto& then : intent.then) settled.push_back(std::move(then));
      continue;
    }
    // A newer value wanted meanwhile takes over the older one's followers.
    auto [entry, added] = intents_.try_emplace(key);
    auto& wanted = entry->second;
    if (added) {
      wanted.data = std::move(intent.data);
      wanted.due = intent.due;
      due_.emplace(wanted.due, key);
    }
    wanted.then.insert(wanted.then.begin(), std::make_move_iterator(intent.then.begin()),
                       std::make_move_iterator(intent.then.end()));
  }
  for (const auto& then : settled) then();
  // The tick tries again: not at once, since the service may be refusing.
}

// The bucket that holds this chunk of the job's finished tasks.
std::uint64_t Leader::bucket_for(Job& job, std::uint32_t chunk) {
  const auto known = job.buckets.find(chunk);
  if (known != job.buckets.end()) return known->second;
  const auto size = wire::chunk_bytes(job.spec.members, chunk);
  const auto most = shared_bytes(settings_.value_kb);
  if (open_buckets_.empty()) {
    const auto fresh = (first_term_ << 20) + ++records_made_;
    buckets_.try_emplace(fresh);
    open_buckets_.insert(fresh);
  }
  const auto number = *open_buckets_.begin();
  auto& bucket = buckets_[number];
  bucket.chunks.insert({job.spec.uid, chunk});
  bucket.bytes += size;
  if (bucket.bytes + size > most) open_buckets_.erase(number);
  job.buckets.emplace(chunk, number);
  return number;
}

// A final job needs no record of its tasks. What is left of it goes when its bucket is written next.
void Leader::leave_buckets(Job& job) {
  for (const auto& [chunk, number] : job.buckets) {
    auto& bucket = buckets_[number];
    bucket.chunks.erase({job.spec.uid, chunk});
    bucket.bytes -= std::min(bucket.bytes, wire::chunk_bytes(job.spec.members, chunk));
    if (bucket.bytes < shared_bytes(settings_.value_kb) / 2) open_buckets_.insert(number);
    if (!bucket.chunks.empty()) continue;
    buckets_.erase(number);
    open_buckets_.erase(number);
    store_bucket(number, Patience::tidying);
  }
  job.buckets.clear();
}

// Where the machine is to be recorded: a group of its pool with room.
void Leader::record(model::Machine& machine) {
  if (std::exchange(machine.recording, true)) return;
  const Pool pool{machine.flavor, machine.rack_room, machine.reclaimable};
  const auto size = wire::group_bytes(machine.host, machine.address);
  auto& open = open_groups_[pool];
  if (open.empty()) {
    const auto name = std::to_string(first_term_) + "-" + std::to_string(++records_made_);
    groups_[name].pool = pool;
    open.insert(name);
  }
  machine.group = *open.begin();
  auto& group = groups_.at(machine.group);
  group.hosts.insert(machine.host);
  group.bytes += size;
  if (group.bytes + size > shared_bytes(settings_.value_kb)) open.erase(machine.group);
  // Invariant 4: it takes tasks only once this is committed.
  store_group(machine.group, Patience::machines, [this, host = machine.host] {
    auto* found = fleet_.find(host);
    if (found == nullptr) return;
    found->recorded = true;
    // No earlier leader could use it: it needs no confirmation (invariant 5).
    found->confirmed = found->confirmed || !found->inherited;
    fleet_.refresh(*found);
    place_soon();
  });
}

void Leader::forget_record(model::Machine& machine) {
  const auto found = groups_.find(machine.group);
  if (found == groups_.end()) return;
  auto& group = found->second;
  group.hosts.erase(machine.host);
  group.bytes -= std::min(group.bytes, wire::group_bytes(machine.host, machine.address));
  if (!group.single) open_groups_[group.pool].insert(found->first);
  store_group(found->first, Patience::removal);
  if (!group.hosts.empty()) return;
  open_groups_[group.pool].erase(found->first);
  groups_.erase(found);
}

}  // namespace bankhill::leader
