#include "model/capacity_backoff.hpp"

#include <algorithm>

namespace bankhill::model {

namespace {
// Shortest and longest back-off time, in planning rounds.
constexpr double kMinBackoffRounds = 0.5;
constexpr double kMaxBackoffRounds = 4;
}  // namespace

void CapacityBackoff::record_stockout(const Pool& pool, double now, double round_s) {
  auto& stockout = stockouts_[pool];
  // The responses to one burst of requests count once. When each of them doubled the back-off, it reached
  // four rounds at once, and capacity that became available was not rented while hundreds of jobs waited
  // (inc-8bf1).
  if (now < stockout.until) return;
  stockout.backoff_rounds =
      std::min(std::max(kMinBackoffRounds, stockout.backoff_rounds * 2), kMaxBackoffRounds);
  stockout.until = now + stockout.backoff_rounds * round_s;
}

bool CapacityBackoff::can_request(const Pool& pool, double now) const {
  const auto stockout = stockouts_.find(pool);
  return stockout == stockouts_.end() || now >= stockout->second.until;
}

}  // namespace bankhill::model
