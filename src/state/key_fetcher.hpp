// Reads single keys, a few at a time, each until it is answered. One that is not is asked again later and
// later; those behind it need not wait for that.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "runtime/actor.hpp"
#include "state/store.hpp"

namespace bankhill::state {

// Message: reads one key.
struct FetchRequest {
  std::string key;
  std::function<void(const std::optional<Entry>&)> done;  // empty: the key does not exist
};

// The actor that reads them.
class KeyFetcher : public runtime::Actor<KeyFetcher, FetchRequest> {
 public:
  KeyFetcher(runtime::Loop& loop, Store& store) : Actor(loop), store_(store) {}
  void on(FetchRequest& message);

 private:
  struct Pending {
    FetchRequest read;
    int refused = 0;
    runtime::Timer again;
  };
  void next();
  void refused(const std::shared_ptr<Pending>& pending);

  Store& store_;
  std::deque<std::shared_ptr<Pending>> waiting_;
  std::set<std::shared_ptr<Pending>> later_;
  std::size_t under_way_ = 0;
};

}  // namespace bankhill::state
