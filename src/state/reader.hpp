// Reads single keys, a few at a time, each until it is answered.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "runtime/actor.hpp"
#include "state/store.hpp"

namespace bankhill::state {

// Message.
struct Read {
  std::string key;
  std::function<void(const std::optional<Entry>&)> done;  // empty: the key does not exist
};

class Reader : public runtime::Actor<Reader, Read> {
 public:
  Reader(runtime::Loop& loop, Store& store) : Actor(loop), store_(store) {}
  void on(Read& message);

 private:
  void next();

  Store& store_;
  std::deque<Read> waiting_;
  std::size_t under_way_ = 0;
  runtime::Timer again_;
};

}  // namespace bankhill::state
