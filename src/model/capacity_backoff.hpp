// What the cloud had none of, by type, zone and kind, and until when it is not asked again. Pure: times are
// told.
#pragma once

#include <map>

#include "model/fleet.hpp"

namespace bankhill::model {

class CapacityBackoff {
 public:
  // It had less than was asked for; pauses double from a part of a round to some rounds.
  void record_stockout(const Pool& pool, double now, double round_s);
  void reset(const Pool& pool) { known_.erase(pool); }
  bool can_request(const Pool& pool, double now) const;
  // It had none the last time.
  bool had_stockout(const Pool& pool) const { return known_.contains(pool); }
  void clear() { known_.clear(); }

 private:
  struct Stockout {
    double until = 0;
    double pause = 0;  // in rounds
  };
  std::map<Pool, Stockout> known_;
};

}  // namespace bankhill::model
