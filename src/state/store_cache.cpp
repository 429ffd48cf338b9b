#include "state/store_cache.hpp"

namespace bankhill::state {

bool StoreCache::apply(const Change& change) {
  const auto found = entries_.find(change.key);
  if (found != entries_.end() && found->second.revision >= change.revision) return false;
  if (change.data)
    entries_[change.key] = Entry{*change.data, change.revision};
  else if (found != entries_.end())
    entries_.erase(found);
  return true;
}

const Entry* StoreCache::find(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

wire::KeyRevision StoreCache::revision(const std::string& key) const {
  const auto* entry = find(key);
  return entry == nullptr ? wire::KeyRevision{0} : entry->revision;
}

}  // namespace bankhill::state
