// The leader's writes: the wanted value of each key, committed in batches, one transaction at a time. The
// service counts every put, so machines and finished tasks share keys, and a write waits a little for others
// of the same key to join it.
#include <algorithm>
#include <cstdlib>
#include <iterator>
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

// After a transaction was refused as malformed.
constexpr double kShrink = 0.7;           // what a value may take, of the one refused
constexpr std::size_t kLeastValue = 512;  // below which size was not what it was refused for
constexpr std::size_t kCalmCommits = 32;  // after which larger transactions are tried again
constexpr double kSetAsideRounds = 4;     // until what cannot be made to fit is tried again
}  // namespace

double Leader::patience_s(Patience patience) const {
  switch (patience) {
    case Patience::awaited:
      return -settings_.pace_s;
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

// A key of this reign's that has gone was made once more by a transaction that came late: its condition, that
// there is none, was true again. The next leader would take it for what is.
void Leader::drop_stray(const std::string& key) {
  const auto rest = [&key](const std::string& prefix) { return key.substr(prefix.size()); };
  bool stray = false;
  if (key.starts_with(wire::kRentals + rental_manager_.name_prefix()))
    stray = !rental_manager_.knows(rest(wire::kRentals));
  else if (key.starts_with(wire::kMachines + std::to_string(first_term_) + "-"))
    stray = !groups_.contains(rest(wire::kMachines));
  else if (key.starts_with(wire::kFinished))
    if (const auto number = std::strtoull(rest(wire::kFinished).c_str(), nullptr, 10);
        number >> 20 == first_term_ && key == wire::finished_key(number))
      stray = !buckets_.contains(number);
  if (stray && !intents_.contains(key)) store(key, std::nullopt, Patience::tidying);
}

std::size_t Leader::shared_bytes() const {
  return std::min(kMostShared, static_cast<std::size_t>(static_cast<double>(value_bytes_) * kShareOfValue));
}

Leader::Intent Leader::take(const std::string& key) {
  auto taken = intents_.extract(key);
  due_.erase({taken.mapped().due, key});
  return std::move(taken.mapped());
}

Leader::Shared* Leader::shared(const std::string& key) {
  if (key.starts_with(wire::kMachines)) {
    const auto group = groups_.find(key.substr(wire::kMachines.size()));
    return group == groups_.end() ? nullptr : &group->second;
  }
  if (!key.starts_with(wire::kFinished) || key.find('/', wire::kFinished.size()) != std::string::npos)
    return nullptr;
  const auto bucket = buckets_.find(std::stoull(key.substr(wire::kFinished.size())));
  return bucket == buckets_.end() ? nullptr : &bucket->second;
}

// A value that is too large by now, stored under a larger limit, is made smaller. False: it is not to be
// written yet.
bool Leader::make_fit(const std::string& key) {
  auto& intent = intents_.at(key);
  if (auto* of_many = shared(key); of_many != nullptr && of_many->moving) {
    auto held = take(key);
    std::move(held.then.begin(), held.then.end(), std::back_inserter(of_many->held));
    return false;
  }
  if (!intent.data || wire::stored_bytes(*intent.data) <= value_bytes_) return true;
  if (key.starts_with(wire::kRentals)) {
    // Without its hosts a new leader asks the cloud for them under the same name.
    intent.data->erase("hosts");
  } else if (key.starts_with(wire::kJobs)) {
    const auto record = wire::parse_job_record(*intent.data);
    intent.data = wire::final_json(record, record.phase, record.ended_at, value_bytes_);
  } else if (move_excess(key)) {
    return false;
  }
  return true;
}

// Moves what a shared key holds too much to others. Those are written first: a leader that finds a machine
// or a chunk under two keys takes it once, one that finds it under none would not know of it (invariant 4).
bool Leader::move_excess(const std::string& key) {
  auto* from = shared(key);
  if (from == nullptr) return false;
  std::set<std::string> targets;
  std::vector<wire::HostId> hosts;
  std::vector<wire::ChunkId> chunks;
  std::size_t kept = 0;
  const auto stays = [&](std::size_t size) {
    const bool fits = kept + size <= shared_bytes();
    if (fits) kept += size;
    return fits;
  };
  if (key.starts_with(wire::kMachines)) {
    auto& group = static_cast<Group&>(*from);
    open_groups_[group.pool].erase(key.substr(wire::kMachines.size()));
    for (const auto& host : group.hosts)
      if (const auto* machine = fleet_.peek(host);
          machine == nullptr || !stays(wire::group_bytes(host, machine->address)))
        hosts.push_back(host);
    for (const auto& host : hosts) {
      auto* machine = fleet_.find(host);
      if (machine == nullptr || wire::machines_key(machine->group) != key) continue;
      open_group(*machine);
      targets.insert(wire::machines_key(machine->group));
    }
  } else {
    const auto number = std::stoull(key.substr(wire::kFinished.size()));
    open_buckets_.erase(number);
    for (const auto& id : static_cast<Bucket&>(*from).chunks) {
      const auto job = live_.find(id.job);
      if (job == live_.end() || !stays(wire::chunk_bytes(job->second->spec.members, id.chunk)))
        chunks.push_back(id);
    }
    for (const auto& id : chunks) {
      const auto job = live_.find(id.job);
      if (job == live_.end() || job->second->buckets[id.chunk] != number) continue;
      const auto home = open_bucket(id, wire::chunk_bytes(job->second->spec.members, id.chunk));
      job->second->buckets[id.chunk] = home;
      targets.insert(wire::finished_key(home));
    }
  }
  if (targets.empty()) return false;
  log_->info("state: {} is larger than a value may be now, moving a part of it to {} others", key,
             targets.size());
  from->moving = true;
  from->held = take(key).then;
  auto left = std::make_shared<std::size_t>(targets.size());
  const Then moved = [this, key, left, hosts, chunks] {
    if (--*left > 0) return;
    auto* source = shared(key);
    if (source == nullptr) return;
    source->moving = false;
    source->bytes = 0;
    if (key.starts_with(wire::kMachines)) {
      auto& group = static_cast<Group&>(*source);
      for (const auto& host : hosts) group.hosts.erase(host);
      for (const auto& host : group.hosts)
        if (const auto* machine = fleet_.peek(host)) group.bytes += wire::group_bytes(host, machine->address);
    } else {
      auto& bucket = static_cast<Bucket&>(*source);
      for (const auto& id : chunks) bucket.chunks.erase(id);
      for (const auto& id : bucket.chunks)
        if (const auto job = live_.find(id.job); job != live_.end())
          bucket.bytes += wire::chunk_bytes(job->second->spec.members, id.chunk);
    }
    const auto held = std::exchange(source->held, {});
    drop_if_empty(key);
    store(key, std::nullopt, Patience::none, [held] {
      for (const auto& then : held) then();
    });
  };
  for (const auto& target : targets) store(target, std::nullopt, Patience::none, moved);
  return true;
}

// Retried as it was it would hold up everything behind it: halved, until the write that is not taken stands
// alone; that is made smaller, or set aside.
void Leader::malformed(Batch batch) {
  const bool alone = batch.size() == 1;
  most_writes_ = std::max<std::size_t>(1, batch.size() / 2);
  calm_ = 0;
  double wait = 0;
  if (alone) {
    const auto& data = batch.begin()->second.data;
    const auto size = data ? wire::stored_bytes(*data) : 0;
    const auto smaller = static_cast<std::size_t>(static_cast<double>(size) * kShrink);
    if (smaller >= kLeastValue && smaller < value_bytes_)
      value_bytes_ = smaller;
    else
      wait = kSetAsideRounds * settings_.round_s;
  }
  for (auto& [key, intent] : batch) intent.due = std::max(intent.due, loop().now()) + wait;
  resolve(std::move(batch), true);
  flush_soon();
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
  // task of theirs waits for the machines (lakaskalk-ops, the first half minute). So does the end of a job
  // that others wait for.
  const auto& first_key = due_.begin()->second;
  const bool urgent = first_key.starts_with(wire::kRentals) || first_key == wire::kBoundsKey ||
                      (first_key.starts_with(wire::kJobs) &&
                       waits_.awaited(wire::JobId{first_key.substr(wire::kJobs.size())}));
  const auto allowed = static_cast<std::size_t>(std::max(0.0, ports_.store.writes_to_spare()));
  const auto most = std::min(most_writes_, urgent ? std::max(kUrgentWrites, allowed) : allowed);
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
    if (!make_fit(key)) continue;
    const std::size_t size = first->second.data ? wire::stored_bytes(*first->second.data) + key.size() : 0;
    if (!batch.empty() && bytes + size > kBatchBytes) break;
    due_.erase(due_.begin());
    bytes += size;
    const bool is_job = key.starts_with(wire::kJobs);
    const auto job = is_job ? jobs_.find(wire::JobId{key.substr(wire::kJobs.size())}) : jobs_.end();
    // Invariant 8: the job key's stamp decides between done and cancelled.
    if (is_job && (job == jobs_.end() || job->second.over())) {
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
  auto sent = std::make_shared<Batch>(std::move(batch));
  ports_.store.tell(
      state::Commit{std::move(transaction), guard([this, reign, sent](state::CommitResult result) {
                      if (!reigning_ || reign != first_term_) return;
                      if (result.outcome == Outcome::done) return committed(std::move(*sent), result.epoch);
                      if (result.outcome == Outcome::malformed) return malformed(std::move(*sent));
                      // Unless it was done, look what the keys hold now and try again.
                      ports_.store.tell(state::Sync{guard([this, reign, sent](bool fine) {
                                                      loop().post(guard([this, reign, sent, fine] {
                                                        if (reigning_ && reign == first_term_)
                                                          resolve(std::move(*sent), fine);
                                                      }));
                                                    }),
                                                    true});
                    }),
                    urgent});
}

void Leader::committed(Batch batch, wire::Epoch epoch) {
  committing_ = false;
  if (++calm_ >= kCalmCommits) most_writes_ = settings_.txn_ops;
  for (auto& [key, intent] : batch) {
    const state::Change change{key, std::move(intent.data), wire::Stamp{epoch.value}};
    if (key.starts_with(wire::kJobs))
      learn_job(change);
    else
      view_.apply(change);
  }
  for (auto& [key, intent] : batch)
    for (const auto& then : intent.then) then();
  take_waits_news();
  drop_final();
  flush_soon();
}

// `looked`: what is known is newer than the transaction. Else what it wrote may not be, and that a key holds
// what is wanted now may be how it was before.
void Leader::resolve(Batch batch, bool looked) {
  committing_ = false;
  std::vector<Then> settled;
  for (auto& [key, intent] : batch) {
    bool over = false;
    if (key.starts_with(wire::kJobs)) {
      const auto job = jobs_.find(wire::JobId{key.substr(wire::kJobs.size())});
      over = job == jobs_.end() || job->second.over();  // done by us, or cancelled: either is final
    } else if (looked && !intents_.contains(key)) {
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
  const auto number = open_bucket({job.spec.uid, chunk}, wire::chunk_bytes(job.spec.members, chunk));
  job.buckets.emplace(chunk, number);
  return number;
}

// Puts the chunk into a bucket that has room.
std::uint64_t Leader::open_bucket(const wire::ChunkId& id, std::size_t size) {
  if (open_buckets_.empty()) {
    const auto fresh = (first_term_ << 20) + ++records_made_;
    buckets_.try_emplace(fresh);
    open_buckets_.insert(fresh);
  }
  const auto number = *open_buckets_.begin();
  auto& bucket = buckets_[number];
  bucket.chunks.insert(id);
  bucket.bytes += size;
  if (bucket.bytes + size > shared_bytes()) open_buckets_.erase(number);
  return number;
}

// A final job needs no record of its tasks. What is left of it goes when its bucket is written next.
void Leader::leave_buckets(Job& job) {
  for (const auto& [chunk, number] : job.buckets) {
    auto& bucket = buckets_[number];
    bucket.chunks.erase({job.spec.uid, chunk});
    bucket.bytes -= std::min(bucket.bytes, wire::chunk_bytes(job.spec.members, chunk));
    if (bucket.moving) continue;
    if (bucket.bytes < shared_bytes() / 2) open_buckets_.insert(number);
    if (drop_if_empty(wire::finished_key(number))) store_bucket(number, Patience::tidying);
  }
  job.buckets.clear();
}

// Where the machine is to be recorded: a group of its pool with room.
void Leader::open_group(model::Machine& machine) {
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
  if (group.bytes + size > shared_bytes()) open.erase(machine.group);
}

void Leader::record(model::Machine& machine) {
  if (std::exchange(machine.recording, true)) return;
  open_group(machine);
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
  if (!group.single && !group.moving && group.bytes < shared_bytes())
    open_groups_[group.pool].insert(found->first);
  store_group(found->first, Patience::removal);
  if (!group.moving) drop_if_empty(wire::machines_key(found->first));
}

// A shared key that holds nothing any more is forgotten; its next write deletes it.
bool Leader::drop_if_empty(const std::string& key) {
  if (key.starts_with(wire::kMachines)) {
    const auto group = groups_.find(key.substr(wire::kMachines.size()));
    if (group == groups_.end() || !group->second.hosts.empty()) return false;
    open_groups_[group->second.pool].erase(group->first);
    groups_.erase(group);
  } else {
    const auto bucket = buckets_.find(std::stoull(key.substr(wire::kFinished.size())));
    if (bucket == buckets_.end() || !bucket->second.chunks.empty()) return false;
    open_buckets_.erase(bucket->first);
    buckets_.erase(bucket);
  }
  return true;
}

}  // namespace bankhill::leader
