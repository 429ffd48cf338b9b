// Records of the state service that hold many items each, since the service counts every write of a key. A
// record is rendered when it is written. If it exceeds the value limit, some of its items move to other
// records.
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

// Base class of the records of machines and of completed tasks. Name: the identifier of a record, a part of
// its key. Pool: the property that all items of a record share.
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
  // Queues a write of the record, rendered when it is written; calls the callback once that is committed.
  void store(const Name& name, state::FlushDelay delay, state::WriteCallback&& callback = {}) {
    writes_.store(key(name), std::nullopt, delay, std::move(callback));
  }
  // Queues a write of an adopted record, some of whose items were found in another record too.
  void rewrite(const Name& name) {
    drop_if_empty(name);
    store(name, state::FlushDelay::garbage);
  }
  // Renders the record to be written (see state::WriteOwner::prepare).
  state::WritePreparation prepare(const Name& name, state::PendingWrite& write);

 protected:
  struct Record {
    Pool pool;
    std::set<Item> items;
    // Upper bound of the size of its items, in bytes.
    std::size_t bytes = 0;
    // Whether the record never takes further items, even if there is space for them.
    bool permanently_closed = false;
    // Whether some items are being written to other records. This record is not written until these are
    // committed.
    bool move_in_progress = false;
    // Callbacks to be called after the record's next write.
    std::vector<state::WriteCallback> withheld_callbacks;
  };

  SharedRecords(state::WriteCoalescer& writes, runtime::Log log) : writes_(writes), log_(std::move(log)) {}
  ~SharedRecords() = default;

  // Largest size of a record, in bytes.
  std::size_t record_limit() const {
    const auto share_bytes = static_cast<double>(writes_.value_limit()) * kValueLimitShare;
    return std::min(kMaxRecordBytes, static_cast<std::size_t>(share_bytes));
  }
  Record* find(const Name& name) {
    const auto found = records_.find(name);
    return found == records_.end() ? nullptr : &found->second;
  }
  // Returns the record and creates it if it does not exist. A new record is not open to further items.
  Record& find_or_create(const Name& name) { return records_[name]; }
  void add_item(Record& record, const Item& item, std::size_t bytes) {
    record.items.insert(item);
    record.bytes += bytes;
  }
  void remove(Record& record, const Item& item, std::size_t bytes) {
    record.items.erase(item);
    record.bytes -= std::min(record.bytes, bytes);
  }
  // Adds the item to an open record of the pool, or to a new one if none is open. Returns the record's name.
  Name add(const Pool& pool, const Item& item, std::size_t bytes);
  // Opens the record to further items.
  void mark_open(const Name& name, const Record& record) { open_[record.pool].insert(name); }
  // Drops the record if it has no items; the next write of its key deletes it. Returns whether it was
  // dropped.
  bool drop_if_empty(const Name& name);

  virtual std::string key(const Name& name) const = 0;
  virtual Name new_name() = 0;
  // Returns the value to be stored, or nothing if the key is to be deleted.
  virtual std::optional<wire::Json> render(const Record& record) const = 0;
  // Returns the item's size in bytes, or nothing if the item is not to be stored any more.
  virtual std::optional<std::size_t> item_bytes(const Item& item) const = 0;
  // Adds the item to another record if it belongs to `from`. Returns the other record's name.
  virtual std::optional<Name> relocate(const Item& item, const Name& from) = 0;

 private:
  // Largest size of a record, as a share of the value limit.
  static constexpr double kValueLimitShare = 0.5;
  // Largest size of a record, in bytes, if the value limit allows more: limited by what a transaction holds.
  static constexpr std::size_t kMaxRecordBytes = 4096;

  bool move_excess(const Name& name, Record& record, state::PendingWrite& write);
  std::vector<Item> items_beyond_limit(const Record& record) const;
  void finish_move(const Name& name, const std::vector<Item>& moved);

  state::WriteCoalescer& writes_;
  runtime::Log log_;
  std::map<Name, Record> records_;
  std::map<Pool, std::set<Name>> open_;  // records that accept further items
};

template <class Name, class Pool, class Item>
Name SharedRecords<Name, Pool, Item>::add(const Pool& pool, const Item& item, std::size_t bytes) {
  auto& open_records = open_[pool];
  if (open_records.empty()) {
    const Name created_name = new_name();
    find_or_create(created_name).pool = pool;
    open_records.insert(created_name);
  }
  Name name = *open_records.begin();
  auto& record = records_.at(name);
  add_item(record, item, bytes);
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
  if (record->move_in_progress) {
    std::move(write.callbacks.begin(), write.callbacks.end(), std::back_inserter(record->withheld_callbacks));
    return state::WritePreparation::withheld;
  }
  const bool fits = !write.data || wire::stored_bytes(*write.data) <= writes_.value_limit();
  if (fits || !move_excess(name, *record, write)) return state::WritePreparation::ready;
  return state::WritePreparation::withheld;
}

// Moves the items beyond the size limit to other records, which are written first: a leader that finds an
// item in two records adopts it once, but one that finds it in none would not know of it (invariant 4).
template <class Name, class Pool, class Item>
bool SharedRecords<Name, Pool, Item>::move_excess(const Name& name, Record& record,
                                                  state::PendingWrite& write) {
  open_[record.pool].erase(name);
  const auto excess_items = items_beyond_limit(record);
  std::set<Name> targets;
  for (const auto& item : excess_items)
    if (const auto target = relocate(item, name)) targets.insert(*target);
  if (targets.empty()) return false;
  log_->info("state: record {} exceeds the value limit, moving items to {} other records", key(name),
             targets.size());
  record.move_in_progress = true;
  record.withheld_callbacks = std::move(write.callbacks);
  const auto pending_targets = std::make_shared<std::size_t>(targets.size());
  const auto on_target_committed = [this, name, excess_items, pending_targets] {
    if (--*pending_targets == 0) finish_move(name, excess_items);
  };
  for (const auto& target : targets) store(target, state::FlushDelay::none, on_target_committed);
  return true;
}

template <class Name, class Pool, class Item>
std::vector<Item> SharedRecords<Name, Pool, Item>::items_beyond_limit(const Record& record) const {
  std::vector<Item> excess_items;
  std::size_t kept_bytes = 0;
  for (const auto& item : record.items) {
    const auto bytes = item_bytes(item);
    if (bytes && kept_bytes + *bytes <= record_limit())
      kept_bytes += *bytes;
    else
      excess_items.push_back(item);
  }
  return excess_items;
}

// Called once all records to which items moved are committed.
template <class Name, class Pool, class Item>
void SharedRecords<Name, Pool, Item>::finish_move(const Name& name, const std::vector<Item>& moved) {
  auto* record = find(name);
  if (record == nullptr) return;
  record->move_in_progress = false;
  for (const auto& item : moved) record->items.erase(item);
  record->bytes = 0;
  for (const auto& item : record->items) record->bytes += item_bytes(item).value_or(0);
  const auto withheld_callbacks = std::exchange(record->withheld_callbacks, {});
  drop_if_empty(name);
  store(name, state::FlushDelay::none, [withheld_callbacks] {
    for (const auto& callback : withheld_callbacks) callback();
  });
}

}  // namespace bankhill::storage
