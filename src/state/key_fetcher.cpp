#include "state/key_fetcher.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::state {

namespace {
constexpr std::size_t kMaxInFlight = 8;
constexpr double kRetryDelayS = 0.5;
constexpr int kMaxDoublings = 4;  // the delay grows up to 8 s
}  // namespace

void KeyFetcher::on(FetchRequest& message) {
  queue_.push_back(std::make_shared<Pending>(Pending{std::move(message), 0, {}}));
  send_next();
}

void KeyFetcher::send_next() {
  while (in_flight_ < kMaxInFlight && !queue_.empty()) {
    auto pending = std::move(queue_.front());
    queue_.pop_front();
    ++in_flight_;
    store_.tell(FetchKey{pending->request.key, guard([this, pending](const KeyResponse& response) {
                           --in_flight_;
                           if (response.status == KeyStatus::unknown)
                             retry_later(pending);
                           else
                             pending->request.done(response.entry);
                           send_next();
                         })});
  }
}

void KeyFetcher::retry_later(const std::shared_ptr<Pending>& pending) {
  const double delay_s =
      kRetryDelayS * static_cast<double>(1 << std::min(pending->failures++, kMaxDoublings));
  delayed_.insert(pending);
  // Captures a raw pointer, since the pending read owns the timer: a shared pointer would keep itself alive.
  pending->retry_timer =
      loop().after(delay_s * loop().uniform(0.8, 1.2), guard([this, raw_pending = pending.get()] {
                     const auto found =
                         std::find_if(delayed_.begin(), delayed_.end(),
                                      [raw_pending](const auto& item) { return item.get() == raw_pending; });
                     if (found == delayed_.end()) return;
                     queue_.push_back(std::move(delayed_.extract(found).value()));
                     send_next();
                   }));
}

}  // namespace bankhill::state
