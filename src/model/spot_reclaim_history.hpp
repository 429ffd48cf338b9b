// How often the cloud took preemptible machines back lately, by machine type. Pure: times are told.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "model/fleet.hpp"

namespace bankhill::model {

class SpotReclaimHistory {
 public:
  // The cloud has taken back a machine of this type, or is about to.
  void add_reclaim(const std::string& machine_type) { types_[machine_type].reclaims += 1; }
  // `passed_s` seconds have gone by with the fleet's preemptible machines up; `remaining`: the part that all
  // that was counted still counts.
  void advance(const Fleet& fleet, double passed_s, double remaining);
  // Reclaims a second of a machine of this type; nothing while too little is known.
  std::optional<double> rate(const std::string& machine_type) const;

 private:
  struct History {
    double reclaims = 0;
    double machine_s = 0;
  };
  std::map<std::string, History> types_;
};

}  // namespace bankhill::model
