#include "fair_share/overload_detector.hpp"

namespace bankhill::fair_share {

bool OverloadDetector::observe(double now, double wanted, double lacking) {
  const double part = wanted > 0 ? lacking / wanted : 0;
  const bool turning = on_ ? part < settings_.end_at : part > settings_.begin_at;
  if (!turning) {
    turning_since_ = -1;
    return false;
  }
  if (turning_since_ < 0) turning_since_ = now;
  if (now - turning_since_ < settings_.dwell_s) return false;
  on_ = !on_;
  since_ = now;
  turning_since_ = -1;
  return true;
}

void OverloadDetector::reset() {
  on_ = false;
  turning_since_ = -1;
}

}  // namespace bankhill::fair_share
