// Where a replica can stand: places for all its members at once, each on a machine of its own, all in one
// zone. Pure: no input, output or clocks. The work of a search grows with members and zones, not with the
// fleet.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gang/gang_tracker.hpp"
#include "model/fleet.hpp"

namespace bankhill::gang {

// The room that is kept for replicas on machines (model::Machine::kept).
class GangReservations {
 public:
  void keep(model::Fleet& fleet, const ReplicaId& id, const wire::MachineId& machine_id,
            const wire::Resources& request);
  void drop(model::Fleet& fleet, const ReplicaId& id, const wire::MachineId& machine_id);
  void clear() { reserved_.clear(); }
  std::size_t size() const { return reserved_.size(); }

 private:
  std::map<std::pair<ReplicaId, wire::MachineId>, wire::Resources> reserved_;
};

struct Search {
  const wire::JobSpec& spec;
  std::size_t count = 0;            // places wanted
  std::vector<Placement> kept;      // room that is kept for it already: taken first
  std::set<wire::MachineId> avoid;  // not on these
  std::string zone;                 // in this one; empty: in any
  std::string first_zone;           // of equals this one
  std::function<double(const model::Pool&)> fetch_s;
  std::function<bool(const model::Machine&)> suits;
  std::function<bool(const std::string&)> zone_allows;
};

struct Found {
  std::vector<Placement> spots;  // the first of them kept ones; fewer than wanted if there are no more
  std::string zone;
  bool all = false;
};

// In the zone where most machines have the image, if several have places for all; else as many as any has.
Found find_places(model::Fleet& fleet, const Search& search);

// Machines that hold what ends by itself and would have room for a member then: up to `most` in the zone
// beside `spots`, the emptiest of `look` machines after the cursor.
std::vector<Placement> find_busy(model::Fleet& fleet, wire::MachineId& cursor, std::size_t look,
                                 const Search& search, const Found& found, std::size_t most);

// Gives each member a place, none where `taken(member, machine)`; empty if there is no such way round the
// places.
std::vector<Placement> assign(const std::vector<std::uint32_t>& members, const std::vector<Placement>& spots,
                              const std::function<bool(std::uint32_t, const wire::MachineId&)>& taken);

}  // namespace bankhill::gang
