#include "fair_share/overload_detector.hpp"

namespace bankhill::fair_share {

bool OverloadDetector::observe(double now, double wanted, double unavailable) {
  const double unavailable_part = wanted > 0 ? unavailable / wanted : 0;
  const bool change_due =
      is_overloaded_ ? unavailable_part < settings_.end_at_part : unavailable_part > settings_.begin_at_part;
  if (!change_due) {
    change_due_since_ = -1;
    return false;
  }
  if (change_due_since_ < 0) change_due_since_ = now;
  if (now - change_due_since_ < settings_.dwell_s) return false;
  is_overloaded_ = !is_overloaded_;
  changed_at_ = now;
  change_due_since_ = -1;
  return true;
}

void OverloadDetector::reset() {
  is_overloaded_ = false;
  change_due_since_ = -1;
}

}  // namespace bankhill::fair_share
