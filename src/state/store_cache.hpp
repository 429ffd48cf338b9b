// A copy of part of the store, kept by applying changes in any order that respects revisions.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wire/ids.hpp"
#include "wire/messages.hpp"

namespace bankhill::state {

// A key was written or deleted.
struct Change {
  std::string key;
  std::optional<wire::Json> data;  // empty: deleted
  wire::KeyRevision revision;
};

// In the order in which they were committed.
using Changes = std::shared_ptr<const std::vector<Change>>;

// What a key holds.
struct Entry {
  wire::Json data;
  wire::KeyRevision revision;
};

// The keys and their values as of the changes that were applied.
class StoreCache {
 public:
  // False when the change is older than what is known.
  bool apply(const Change& change);
  // Null: the key does not exist.
  const Entry* find(const std::string& key) const;
  wire::KeyRevision revision(const std::string& key) const;  // 0: the key does not exist
  // All, by key.
  const std::map<std::string, Entry>& entries() const { return entries_; }

 private:
  std::map<std::string, Entry> entries_;
};

}  // namespace bankhill::state
