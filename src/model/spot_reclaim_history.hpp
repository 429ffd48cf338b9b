// Recent rate at which the cloud reclaimed preemptible machines, by machine type. Pure: the caller passes the
// times.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "model/fleet.hpp"

namespace bankhill::model {

class SpotReclaimHistory {
 public:
  // Counts a machine of this type that the cloud has reclaimed or has announced to reclaim.
  void add_reclaim(const std::string& machine_type) { types_[machine_type].reclaims += 1; }
  // Adds `elapsed_s` seconds of running time for the fleet's preemptible machines that are up, then
  // multiplies all counts by `decay_factor`.
  void advance(const Fleet& fleet, double elapsed_s, double decay_factor);
  // Reclaims per machine second for this type; nullopt while the counted machine time is too short.
  std::optional<double> rate(const std::string& machine_type) const;

 private:
  struct History {
    double reclaims = 0;
    double machine_s = 0;
  };
  std::map<std::string, History> types_;
};

}  // namespace bankhill::model
