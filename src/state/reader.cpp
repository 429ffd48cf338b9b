#include "state/reader.hpp"

#include <utility>

namespace bankhill::state {

namespace {
constexpr std::size_t kAtOnce = 8;
constexpr double kAgainS = 0.5;
}  // namespace

void Reader::on(Read& message) {
  waiting_.push_back(std::move(message));
  next();
}

void Reader::next() {
  while (under_way_ < kAtOnce && !waiting_.empty()) {
    auto read = std::move(waiting_.front());
    waiting_.pop_front();
    ++under_way_;
    auto key = read.key;
    store_.tell(Fetch{std::move(key),
                      guard([this, read = std::move(read)](bool known, const std::optional<Entry>& entry) {
                        --under_way_;
                        if (known) {
                          read.done(entry);
                          return next();
                        }
                        waiting_.push_back(read);
                        again_ = loop().after(kAgainS, guard([this] { next(); }));
                      })});
  }
}

}  // namespace bankhill::state
