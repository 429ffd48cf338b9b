#include "model/boot_statistics.hpp"

namespace bankhill::model {

namespace {
// Boots count as bad from this share of late ones on and as well from half of it down, of at least so many.
constexpr double kBad = 0.3;
constexpr double kKnown = 5;
}  // namespace

std::optional<bool> BootStatistics::record_boot(bool in_time, double rest) {
  in_time_ = in_time_ * rest + (in_time ? 1 : 0);
  late_ = late_ * rest + (in_time ? 0 : 1);
  if (weighted_count() < kKnown) return std::nullopt;
  const bool bad = late_share() > (bad_ ? kBad / 2 : kBad);
  if (bad == bad_) return std::nullopt;
  bad_ = bad;
  return bad;
}

}  // namespace bankhill::model
