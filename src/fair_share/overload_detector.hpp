// Whether there is too little for all: begins and ends without flapping. Pure; times are seconds on the
// caller's steady clock. Source: docs/SHARES.md, "Order in overload".
#pragma once

namespace bankhill::fair_share {

class OverloadDetector {
 public:
  struct Settings {
    double dwell_s = 15;    // what begins or ends it must have lasted so long
    double begin_at = 0.4;  // part of what is wanted that cannot be had
    double end_at = 0.15;   // below `begin_at`
  };

  explicit OverloadDetector(Settings settings) : settings_(settings) {}

  // `wanted` and `lacking` in the same unit, 0 or more. Says whether it has just begun or ended.
  bool observe(double now, double wanted, double lacking);
  bool on() const { return on_; }
  double since() const { return since_; }  // when it began or ended last
  void reset();

 private:
  Settings settings_;
  bool on_ = false;
  double since_ = 0;
  double turning_since_ = -1;  // since when the opposite holds without a gap; below 0: it does not
};

}  // namespace bankhill::fair_share
