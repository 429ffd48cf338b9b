#include "model/capacity_backoff.hpp"

#include <algorithm>

namespace bankhill::model {

namespace {
constexpr double kPause = 0.5;  // in rounds, doubled up to the next
constexpr double kMost = 4;
}  // namespace

void CapacityBackoff::record_stockout(const Pool& pool, double now, double round_s) {
  auto& out = known_[pool];
  // Once for the answers of one burst: doubled by each, the pause was four rounds at once, and rooms that
  // came free meanwhile were not rented while hundreds of jobs waited (inc-8bf1).
  if (now < out.until) return;
  out.pause = std::min(std::max(kPause, out.pause * 2), kMost);
  out.until = now + out.pause * round_s;
}

bool CapacityBackoff::can_request(const Pool& pool, double now) const {
  const auto out = known_.find(pool);
  return out == known_.end() || now >= out->second.until;
}

}  // namespace bankhill::model
