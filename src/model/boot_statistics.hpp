// How many machines came up in time of late, and whether boots in general are bad. Pure: times are told.
#pragma once

#include <optional>

namespace bankhill::model {

class BootStatistics {
 public:
  // One was in time or late; `rest`: the part that what was counted before still counts. Returns what is new:
  // that boots are bad by now, or are as usual again.
  std::optional<bool> record_boot(bool in_time, double rest);
  double weighted_count() const { return in_time_ + late_; }
  double late_share() const { return late_ / weighted_count(); }

 private:
  double in_time_ = 0;
  double late_ = 0;
  bool bad_ = false;
};

}  // namespace bankhill::model
