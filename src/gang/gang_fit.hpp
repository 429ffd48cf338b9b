// Search for the machines of a gang: placements for all of its tasks at once, on distinct machines in one
// zone. The code has no input or output and reads no clock. The cost of a search grows with the number of
// tasks and zones, not with the size of the fleet.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gang/gang_tracker.hpp"
#include "model/fleet.hpp"

namespace bankhill::gang {

// The resources that are reserved for gangs, by gang and machine. Their sum on a machine is counted in
// model::Machine::reserved.
class GangReservations {
 public:
  void reserve(model::Fleet& fleet, const GangId& id, const wire::MachineId& machine_id,
               const wire::Resources& request);
  void release(model::Fleet& fleet, const GangId& id, const wire::MachineId& machine_id);
  void clear() { reserved_.clear(); }
  std::size_t size() const { return reserved_.size(); }

 private:
  std::map<std::pair<GangId, wire::MachineId>, wire::Resources> reserved_;
};

// Parameters of find_placements() and find_occupied_machines().
struct PlacementSearch {
  const wire::JobSpec& spec;
  std::size_t count = 0;                        // number of placements to find
  std::vector<Placement> reserved;              // placements already reserved for the gang; used first
  std::set<wire::MachineId> excluded_machines;  // machines that must not be chosen
  std::string zone;                             // the zone to search; empty for all zones
  std::string preferred_zone;                   // zone that is chosen among equally good ones
  std::function<double(const model::Pool&)> image_pull_s;  // time to pull the image on machines of the pool
  // Whether a task of the job may start on the machine.
  std::function<bool(const model::Machine&)> is_suitable;
  std::function<bool(const std::string&)> zone_allows;  // whether the zone may take `count` tasks of the job
};

struct PlacementSearchResult {
  std::vector<Placement> placements;  // reserved ones first; fewer than requested if there are no more
  std::string zone;                   // the zone of the placements; empty if there is no zone to search
  bool complete = false;              // whether all requested placements were found
};

// Chooses the zone in which most machines hold the image among those that have enough placements. If no zone
// has enough, chooses the one with the most placements.
PlacementSearchResult find_placements(model::Fleet& fleet, const PlacementSearch& search);

// Finds up to `limit` machines, in the zone of `found` and besides its placements, that could run a task of
// the job after their batch tasks have ended. Of the next `max_visited` machines after the cursor, those with
// the fewest used cores are returned.
std::vector<Placement> find_occupied_machines(model::Fleet& fleet, wire::MachineId& cursor,
                                              std::size_t max_visited, const PlacementSearch& search,
                                              const PlacementSearchResult& found, std::size_t limit);

// Assigns a placement to each task so that `has_earlier_attempt(task, machine)` is false for every pair.
// Tries the rotations of the list of placements; returns an empty list if none fits.
std::vector<Placement> assign_placements(
    const std::vector<std::uint32_t>& tasks, const std::vector<Placement>& placements,
    const std::function<bool(std::uint32_t, const wire::MachineId&)>& has_earlier_attempt);

}  // namespace bankhill::gang
