// Back-off for rental requests after the cloud lacked capacity, by pool. Pure: the caller passes the times.
#pragma once

#include <map>

#include "model/fleet.hpp"

namespace bankhill::model {

class CapacityBackoff {
 public:
  // Records that the cloud provided less than was requested. Back-off times double from half a planning round
  // to four rounds.
  void record_stockout(const Pool& pool, double now, double round_s);
  // Records that the cloud provided all that was requested.
  void reset(const Pool& pool) { stockouts_.erase(pool); }
  bool can_request(const Pool& pool, double now) const;
  // Whether the last request for the pool met a lack of capacity.
  bool had_stockout(const Pool& pool) const { return stockouts_.contains(pool); }
  void clear() { stockouts_.clear(); }

 private:
  struct Stockout {
    double until = 0;
    double backoff_rounds = 0;  // current back-off time, in planning rounds
  };
  std::map<Pool, Stockout> stockouts_;
};

}  // namespace bankhill::model
