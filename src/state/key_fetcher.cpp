#include "state/key_fetcher.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::state {

namespace {
constexpr std::size_t kAtOnce = 8;
constexpr double kAgainS = 0.5;
constexpr int kDoublings = 4;  // up to 8 s
}  // namespace

void KeyFetcher::on(FetchRequest& message) {
  waiting_.push_back(std::make_shared<Pending>(Pending{std::move(message), 0, {}}));
  next();
}

void KeyFetcher::next() {
  while (under_way_ < kAtOnce && !waiting_.empty()) {
    auto pending = std::move(waiting_.front());
    waiting_.pop_front();
    ++under_way_;
    store_.tell(FetchKey{pending->read.key, guard([this, pending](const KeyResponse& answer) {
                           --under_way_;
                           if (answer.status == KeyStatus::unknown)
                             refused(pending);
                           else
                             pending->read.done(answer.entry);
                           next();
                         })});
  }
}

void KeyFetcher::refused(const std::shared_ptr<Pending>& pending) {
  const double wait = kAgainS * static_cast<double>(1 << std::min(pending->refused++, kDoublings));
  later_.insert(pending);
  // A plain pointer: the timer is the pending read's own.
  pending->again = loop().after(wait * loop().uniform(0.8, 1.2), guard([this, held = pending.get()] {
                                  const auto found =
                                      std::find_if(later_.begin(), later_.end(),
                                                   [held](const auto& item) { return item.get() == held; });
                                  if (found == later_.end()) return;
                                  waiting_.push_back(std::move(later_.extract(found).value()));
                                  next();
                                }));
}

}  // namespace bankhill::state
