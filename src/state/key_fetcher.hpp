// Reads single keys from the state service, a few at a time, and retries each until it is answered. The delay
// of the retries grows; other reads do not wait for them.
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
  // Called with the key's entry, or with nothing if the key does not exist.
  std::function<void(const std::optional<Entry>&)> done;
};

// The actor that queues the reads, limits how many are in flight and retries those that fail.
class KeyFetcher : public runtime::Actor<KeyFetcher, FetchRequest> {
 public:
  KeyFetcher(runtime::Loop& loop, Store& store) : Actor(loop), store_(store) {}
  void on(FetchRequest& message);

 private:
  struct Pending {
    FetchRequest request;
    int failures = 0;
    runtime::Timer retry_timer;
  };
  void send_next();
  void retry_later(const std::shared_ptr<Pending>& pending);

  Store& store_;
  std::deque<std::shared_ptr<Pending>> queue_;
  std::set<std::shared_ptr<Pending>> delayed_;
  std::size_t in_flight_ = 0;
};

}  // namespace bankhill::state
