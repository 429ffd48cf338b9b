#include "model/boot_statistics.hpp"

namespace bankhill::model {

namespace {
// Boots are degraded above this share of late ones, and back to normal at half of it or less.
constexpr double kDegradedShare = 0.3;
// Minimum weighted number of boots for a judgement.
constexpr double kMinCount = 5;
}  // namespace

std::optional<bool> BootStatistics::record_boot(bool in_time, double decay_factor) {
  in_time_ = in_time_ * decay_factor + (in_time ? 1 : 0);
  late_ = late_ * decay_factor + (in_time ? 0 : 1);
  if (weighted_count() < kMinCount) return std::nullopt;
  const bool degraded = late_share() > (degraded_ ? kDegradedShare / 2 : kDegradedShare);
  if (degraded == degraded_) return std::nullopt;
  degraded_ = degraded;
  return degraded;
}

}  // namespace bankhill::model
