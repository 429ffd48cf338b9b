// Records of the state service that hold many items each, since the service counts every put. A record is
// rendered when it is written; one that has outgrown the value limit moves a part of its items to others.
#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "runtime/log.hpp"
#include "state/write_coalescer.hpp"

namespace bankhill::storage {

// Name: what tells a record apart, part of its key. Pool: what items of one record have in common.
template <class Name, class Pool, class Item>
class SharedRecords {
 public:
  SharedRecords(const SharedRecords&) = delete;
  SharedRecords& operator=(const SharedRecords&) = delete;

  bool contains(const Name& name) const { return records_.contains(name); }
  void clear() {
    records_.clear();
    open_.clear();
  }
  // Has the record written as it is by then; the callback follows once it is.
  void store(const Name& name, state::FlushDelay delay, state::WriteCallback&& callback = {}) {
    writes_.store(key(name), std::nullopt, delay, std::move(callback));
  }
  // Writes a record again of which some items were found in another when it was adopted.
  void rewrite(const Name& name) {
    drop_if_empty(name);
    store(name, state::FlushDelay::garbage);
  }
  // Renders the record for its write (state::WriteOwner::prepare).
  state::WritePreparation prepare(const Name& name, state::PendingWrite& write);

 protected:
  struct Record {
    Pool pool;
    std::set<Item> items;
    std::size_t bytes = 0;  // that its items take at the most
    bool fixed = false;     // takes no further items, though it has room
    // A part of it is being written under other keys: until that is committed this one is not written.
    bool moving = false;
    std::vector<state::WriteCallback> withheld;  // wait for its next write
  };

  SharedRecords(state::WriteCoalescer& writes, runtime::Log log) : writes_(writes), log_(std::move(log)) {}
  ~SharedRecords() = default;

  // What a record may grow to.
  std::size_t record_limit() const {
    const auto part = static_cast<double>(writes_.value_limit()) * kPartOfValue;
    return std::min(kMostBytes, static_cast<std::size_t>(part));
  }
  Record* find(const Name& name) {
    const auto found = records_.find(name);
    return found == records_.end() ? nullptr : &found->second;
  }
  // The record, made if it is not there yet. It is not open to further items.
  Record& make(const Name& name) { return records_[name]; }
  void hold(Record& record, const Item& item, std::size_t bytes) {
    record.items.insert(item);
    record.bytes += bytes;
  }
  void remove(Record& record, const Item& item, std::size_t bytes) {
    record.items.erase(item);
    record.bytes -= std::min(record.bytes, bytes);
  }
  // Puts the item into a record of the pool that has room.
  Name add(const Pool& pool, const Item& item, std::size_t bytes);
  // Lets the record take further items.
  void open(const Name& name, const Record& record) { open_[record.pool].insert(name); }
  // A record that holds nothing any more is forgotten; its next write deletes it.
  bool drop_if_empty(const Name& name);

  virtual std::string key(const Name& name) const = 0;
  virtual Name new_name() = 0;
  // The value to store; nothing: delete the key.
  virtual std::optional<wire::Json> render(const Record& record) const = 0;
  // What the item takes; nothing: it is not to be stored any more.
  virtual std::optional<std::size_t> item_bytes(const Item& item) const = 0;
  // Puts the item into another record if `from` is where it belongs. Returns which.
  virtual std::optional<Name> relocate(const Item& item, const Name& from) = 0;

 private:
  // Of the value limit, or of what a transaction holds if that is less.
  static constexpr double kPartOfValue = 0.5;
  static constexpr std::size_t kMostBytes = 4096;

  bool move_excess(const Name& name, Record& record, state::PendingWrite& write);
  std::vector<Item> items_beyond_limit(const Record& record) const;
  void finish_move(const Name& name, const std::vector<Item>& moved);

  state::WriteCoalescer& writes_;
  runtime::Log log_;
  std::map<Name, Record> records_;
  std::map<Pool, std::set<Name>> open_;  // records with room
};

template <class Name, class Pool, class Item>
Name SharedRecords<Name, Pool, Item>::add(const Pool& pool, const Item& item, std::size_t bytes) {
  auto& open_records = open_[pool];
  if (open_records.empty()) {
    const Name fresh = new_name();
    make(fresh).pool = pool;
    open_records.insert(fresh);
  }
  Name name = *open_records.begin();
  auto& record = records_.at(name);
  hold(record, item, bytes);
  if (record.bytes + bytes > record_limit()) open_records.erase(name);
  return name;
}

template <class Name, class Pool, class Item>
bool SharedRecords<Name, Pool, Item>::drop_if_empty(const Name& name) {
  const auto found = records_.find(name);
  if (found == records_.end() || !found->second.items.empty()) return false;
  open_[found->second.pool].erase(name);
  records_.erase(found);
  return true;
}

template <class Name, class Pool, class Item>
state::WritePreparation SharedRecords<Name, Pool, Item>::prepare(const Name& name,
                                                                 state::PendingWrite& write) {
  auto* record = find(name);
  if (record == nullptr) {
    write.data.reset();
    return state::WritePreparation::ready;
  }
  write.data = render(*record);
  if (record->moving) {
    std::move(write.callbacks.begin(), write.callbacks.end(), std::back_inserter(record->withheld));
    return state::WritePreparation::withheld;
  }
  const bool fits = !write.data || wire::stored_bytes(*write.data) <= writes_.value_limit();
  if (fits || !move_excess(name, *record, write)) return state::WritePreparation::ready;
  return state::WritePreparation::withheld;
}

// Moves what a record holds too much to others. Those are written first: a leader that finds an item in two
// records takes it once, one that finds it in none would not know of it (invariant 4).
template <class Name, class Pool, class Item>
bool SharedRecords<Name, Pool, Item>::move_excess(const Name& name, Record& record,
                                                  state::PendingWrite& write) {
  open_[record.pool].erase(name);
  const auto excess = items_beyond_limit(record);
  std::set<Name> targets;
  for (const auto& item : excess)
    if (const auto target = relocate(item, name)) targets.insert(*target);
  if (targets.empty()) return false;
  log_->info("state: {} is larger than a value may be now, moving a part of it to {} others", key(name),
             targets.size());
  record.moving = true;
  record.withheld = std::move(write.callbacks);
  const auto unwritten = std::make_shared<std::size_t>(targets.size());
  const auto written = [this, name, excess, unwritten] {
    if (--*unwritten == 0) finish_move(name, excess);
  };
  for (const auto& target : targets) store(target, state::FlushDelay::none, written);
  return true;
}

template <class Name, class Pool, class Item>
std::vector<Item> SharedRecords<Name, Pool, Item>::items_beyond_limit(const Record& record) const {
  std::vector<Item> excess;
  std::size_t kept_bytes = 0;
  for (const auto& item : record.items) {
    const auto bytes = item_bytes(item);
    if (bytes && kept_bytes + *bytes <= record_limit())
      kept_bytes += *bytes;
    else
      excess.push_back(item);
  }
  return excess;
}

// Called once all records that took the moved items are committed.
template <class Name, class Pool, class Item>
void SharedRecords<Name, Pool, Item>::finish_move(const Name& name, const std::vector<Item>& moved) {
  auto* record = find(name);
  if (record == nullptr) return;
  record->moving = false;
  for (const auto& item : moved) record->items.erase(item);
  record->bytes = 0;
  for (const auto& item : record->items) record->bytes += item_bytes(item).value_or(0);
  const auto withheld = std::exchange(record->withheld, {});
  drop_if_empty(name);
  store(name, state::FlushDelay::none, [withheld] {
    for (const auto& callback : withheld) callback();
  });
}

}  // namespace bankhill::storage
