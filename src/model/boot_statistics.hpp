// Share of machine boots that were late recently, and whether boots are degraded in general. Pure: the caller
// passes the decay.
#pragma once

#include <optional>

namespace bankhill::model {

class BootStatistics {
 public:
  // Counts a boot. `decay_factor` is the weight that earlier boots keep. Returns the new state if it changed:
  // true if boots are degraded now, false if they are back to normal.
  std::optional<bool> record_boot(bool in_time, double decay_factor);
  // Number of boots counted, with earlier ones weighted by their decay.
  double weighted_count() const { return in_time_ + late_; }
  double late_share() const { return late_ / weighted_count(); }

 private:
  double in_time_ = 0;
  double late_ = 0;
  bool degraded_ = false;
};

}  // namespace bankhill::model
