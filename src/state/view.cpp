#include "state/view.hpp"

namespace bankhill::state {

bool View::apply(const Change& change) {
  const auto found = entries_.find(change.key);
  if (found != entries_.end() && found->second.stamp >= change.stamp) return false;
  if (change.data)
    entries_[change.key] = Entry{*change.data, change.stamp};
  else if (found != entries_.end())
    entries_.erase(found);
  return true;
}

const Entry* View::find(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

wire::Stamp View::stamp(const std::string& key) const {
  const auto* entry = find(key);
  return entry == nullptr ? wire::Stamp{0} : entry->stamp;
}

}  // namespace bankhill::state
