// What the leader tells the write coalescer of its records, and the keys that many share: the service counts
// every put, so machines and finished tasks share keys.
#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using state::FlushDelay;
using wire::Json;

namespace {
// Of the value limit, or of what a transaction holds if that is less: what one shared key may grow to.
constexpr double kShareOfValue = 0.5;
constexpr std::size_t kMostShared = 4096;
}  // namespace

void Leader::store_group(const std::string& group, FlushDelay delay, Then then) {
  writes_.store(wire::machines_key(group), std::nullopt, delay, std::move(then));
}

void Leader::store_bucket(std::uint64_t bucket, FlushDelay delay, Then then) {
  writes_.store(wire::finished_key(bucket), std::nullopt, delay, std::move(then));
}

// Puts the present value of a group or bucket into its pending write.
void Leader::render(const std::string& key, state::PendingWrite& write) const {
  if (key.starts_with(wire::kMachines)) {
    write.data.reset();
    const auto group = groups_.find(key.substr(wire::kMachines.size()));
    if (group == groups_.end()) return;
    wire::MachineGroupRecord record{
        group->second.pool.flavor, group->second.pool.rack_room, group->second.pool.reclaimable, {}};
    for (const auto& host : group->second.hosts)
      if (const auto* machine = fleet_.peek(host)) record.hosts.emplace(host, machine->address);
    if (!record.hosts.empty()) write.data = to_json(record);
  } else if (key.starts_with(wire::kFinished)) {
    const auto name = key.substr(wire::kFinished.size());
    if (name.find('/') != std::string::npos) return;  // of version 0.1: only ever deleted
    write.data.reset();
    const auto bucket = buckets_.find(std::stoull(name));
    if (bucket == buckets_.end()) return;
    wire::FinishedBucket record;
    for (const auto& id : bucket->second.chunks)
      if (const auto job = jobs_.find(id.job); job != jobs_.end() && job->second.live())
        record.emplace(id, wire::finished_hex(job->second.marks, id.chunk, model::kDone));
    if (!record.empty()) write.data = to_json(record);
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
  if (stray && !writes_.contains(key)) writes_.store(key, std::nullopt, FlushDelay::garbage);
}

std::size_t Leader::shared_bytes() const {
  return std::min(kMostShared,
                  static_cast<std::size_t>(static_cast<double>(writes_.value_limit()) * kShareOfValue));
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

// A value that is too large by now, stored under a larger limit, is made smaller.
state::WritePreparation Leader::prepare(const std::string& key, state::PendingWrite& write) {
  render(key, write);
  if (auto* of_many = shared(key); of_many != nullptr && of_many->moving) {
    std::move(write.callbacks.begin(), write.callbacks.end(), std::back_inserter(of_many->held));
    return state::WritePreparation::withheld;
  }
  if (!write.data || wire::stored_bytes(*write.data) <= writes_.value_limit())
    return state::WritePreparation::ready;
  if (key.starts_with(wire::kRentals)) {
    // Without its hosts a new leader asks the cloud for them under the same name.
    write.data->erase("hosts");
  } else if (key.starts_with(wire::kJobs)) {
    const auto record = wire::parse_job_record(*write.data);
    write.data = wire::final_json(record, record.phase, record.ended_at, writes_.value_limit());
  } else if (move_excess(key, write)) {
    return state::WritePreparation::withheld;
  }
  return state::WritePreparation::ready;
}

bool Leader::may_write() const { return valid(); }

const Job* Leader::recorded_job(const std::string& key) const {
  const auto found = jobs_.find(wire::JobId{key.substr(wire::kJobs.size())});
  return found == jobs_.end() ? nullptr : &found->second;
}

wire::Stamp Leader::expected_revision(const std::string& key) const {
  if (!key.starts_with(wire::kJobs)) return view_.stamp(key);
  const auto* found = recorded_job(key);
  return found == nullptr ? wire::Stamp{} : found->stamp;
}

// Of jobs those that are over, done by us or cancelled.
bool Leader::is_final(const std::string& key) const {
  if (!key.starts_with(wire::kJobs)) return false;
  const auto* found = recorded_job(key);
  return found == nullptr || found->over();
}

// What a job's record holds is known from its phase alone (is_final).
bool Leader::holds(const std::string& key, const std::optional<Json>& data) const {
  if (key.starts_with(wire::kJobs)) return false;
  const auto* entry = view_.find(key);
  return data ? entry != nullptr && entry->data == *data : entry == nullptr;
}

// A rental goes with the urgent ones: it waited ten seconds behind a site's first submissions, and every task
// of theirs waits for the machines (lakaskalk-ops, the first half minute). So does the end of a job that
// others wait for.
bool Leader::is_urgent(const std::string& key) const {
  if (key.starts_with(wire::kRentals) || key == wire::kBoundsKey) return true;
  return key.starts_with(wire::kJobs) && waits_.awaited(wire::JobId{key.substr(wire::kJobs.size())});
}

void Leader::apply_committed(const state::Change& change) {
  if (change.key.starts_with(wire::kJobs))
    learn_job(change);
  else
    view_.apply(change);
}

void Leader::after_commit() {
  take_waits_news();
  drop_final();
}

// Moves what a shared key holds too much to others. Those are written first: a leader that finds a machine
// or a chunk under two keys takes it once, one that finds it under none would not know of it (invariant 4).
bool Leader::move_excess(const std::string& key, state::PendingWrite& write) {
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
  from->held = std::move(write.callbacks);
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
    writes_.store(key, std::nullopt, FlushDelay::none, [held] {
      for (const auto& then : held) then();
    });
  };
  for (const auto& target : targets) writes_.store(target, std::nullopt, FlushDelay::none, moved);
  return true;
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
    if (drop_if_empty(wire::finished_key(number))) store_bucket(number, FlushDelay::garbage);
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
  store_group(machine.group, FlushDelay::machines, [this, host = machine.host] {
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
  store_group(found->first, FlushDelay::removal);
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
