// Detects overload: whether much less capacity is available than the waiting work needs. Different thresholds
// for its beginning and end, and a minimum duration, keep the state from flapping. Pure: no input, output or
// clocks; times are seconds on the caller's steady clock. Source: docs/SHARES.md, "Order in overload".
#pragma once

namespace bankhill::fair_share {

class OverloadDetector {
 public:
  struct Settings {
    // Time for which the condition for a change must have held without interruption, in seconds.
    double dwell_s = 15;
    // Overload begins above this unavailable part of the wanted amount.
    double begin_at_part = 0.4;
    // Overload ends below this unavailable part; less than `begin_at_part`.
    double end_at_part = 0.15;
  };

  explicit OverloadDetector(Settings settings) : settings_(settings) {}

  // `wanted`: the amount that is wanted; `unavailable`: the part of it that cannot be had. Both are in the
  // same unit and not negative. Returns whether overload has just begun or ended.
  bool observe(double now, double wanted, double unavailable);
  bool is_overloaded() const { return is_overloaded_; }
  // Time when overload last began or ended.
  double changed_at() const { return changed_at_; }
  void reset();

 private:
  Settings settings_;
  bool is_overloaded_ = false;
  double changed_at_ = 0;
  // Time since which the condition for a change has held without interruption; negative if it does not hold.
  double change_due_since_ = -1;
};

}  // namespace bankhill::fair_share
