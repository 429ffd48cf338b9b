// A local copy of a part of the store, maintained by applying changes. Changes of different keys may be
// applied in any order, those of one key in the order of their revisions.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wire/ids.hpp"
#include "wire/messages.hpp"

namespace bankhill::state {

// A write or deletion of a key.
struct Change {
  std::string key;
  std::optional<wire::Json> data;  // empty if the key was deleted
  wire::KeyRevision revision;
};

// Changes in the order in which they were committed.
using Changes = std::shared_ptr<const std::vector<Change>>;

// The value of a key and its revision.
struct Entry {
  wire::Json data;
  wire::KeyRevision revision;
};

// The keys and values that result from the changes applied so far.
class StoreCache {
 public:
  // Returns false if the key already has the change's revision or a newer one.
  bool apply(const Change& change);
  // Returns null if the key does not exist.
  const Entry* find(const std::string& key) const;
  // Returns 0 if the key does not exist.
  wire::KeyRevision revision(const std::string& key) const;
  const std::map<std::string, Entry>& entries() const { return entries_; }

 private:
  std::map<std::string, Entry> entries_;
};

}  // namespace bankhill::state
