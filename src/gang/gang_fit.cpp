#include "gang/gang_fit.hpp"

#include <algorithm>
#include <tuple>

namespace bankhill::gang {

using model::Fleet;
using model::Machine;

namespace {
constexpr double kRounding = 1e-6;

// Reserves resources on the machines that a search has chosen, so that the search does not choose a machine
// twice. The destructor restores the earlier reservations.
class TemporaryReservations {
 public:
  TemporaryReservations(Fleet& fleet, const wire::Resources& request) : fleet_(fleet), request_(request) {}
  TemporaryReservations(const TemporaryReservations&) = delete;
  TemporaryReservations& operator=(const TemporaryReservations&) = delete;
  ~TemporaryReservations() {
    for (auto& [machine, reserved] : machines_) {
      machine->reserved = reserved;
      fleet_.refresh(*machine);
    }
  }
  void add(Machine& machine) {
    machines_.emplace_back(&machine, machine.reserved);
    machine.reserved += request_;
    fleet_.refresh(machine);
  }

 private:
  Fleet& fleet_;
  wire::Resources request_;
  std::vector<std::pair<Machine*, wire::Resources>> machines_;  // with their reservations before the search
};

bool is_usable(const Machine& machine, const PlacementSearch& search) {
  wire::Resources available = machine.available();
  available += search.spec.request;  // includes what is reserved for this gang
  return machine.takes_tasks() && !machine.overdue && machine.can_list_more_tasks() &&
         search.spec.request.fits(available) && !search.excluded_machines.contains(machine.id) &&
         search.is_suitable(machine);
}

struct ZoneSearchResult {
  std::vector<Placement> placements;
  std::size_t with_image = 0;
};

ZoneSearchResult search_zone(Fleet& fleet, const PlacementSearch& search, const std::string& zone) {
  ZoneSearchResult result;
  wire::JobSpec spec = search.spec;
  spec.zone = zone;
  std::set<wire::MachineId> chosen;
  const auto add = [&](const Machine& machine) {
    chosen.insert(machine.id);
    result.placements.push_back({machine.id, machine.zone});
    result.with_image += machine.images.contains(spec.image) ? 1 : 0;
  };
  for (const auto& placement : search.reserved) {
    if (result.placements.size() == search.count) return result;
    const auto* machine = fleet.peek(placement.machine_id);
    if (machine == nullptr || machine->zone != zone || chosen.contains(placement.machine_id)) continue;
    if (is_usable(*machine, search)) add(*machine);
  }
  TemporaryReservations temporary(fleet, spec.request);
  for (const bool preemptible_pools : {false, true}) {
    if (preemptible_pools && !spec.allows_preemptible) break;
    Fleet::MachineQuery query{spec,
                              preemptible_pools,
                              true,
                              search.image_pull_s,
                              [](const model::Pool&) { return 0.0; },
                              [&](const Machine& machine) {
                                return !chosen.contains(machine.id) &&
                                       !search.excluded_machines.contains(machine.id) &&
                                       search.is_suitable(machine);
                              },
                              false};
    while (result.placements.size() < search.count) {
      auto* machine = fleet.find_best(query);
      if (machine == nullptr) break;
      add(*machine);
      temporary.add(*machine);
    }
  }
  return result;
}
}  // namespace

void GangReservations::reserve(Fleet& fleet, const GangId& id, const wire::MachineId& machine_id,
                               const wire::Resources& request) {
  auto* machine = fleet.find(machine_id);
  if (machine == nullptr || !reserved_.emplace(std::pair(id, machine_id), request).second) return;
  machine->reserved += request;
  fleet.refresh(*machine);
}

void GangReservations::release(Fleet& fleet, const GangId& id, const wire::MachineId& machine_id) {
  const auto found = reserved_.find({id, machine_id});
  if (found == reserved_.end()) return;
  if (auto* machine = fleet.find(machine_id)) {
    machine->reserved -= found->second;
    // Removes what rounding leaves.
    if (machine->reserved.cores < kRounding) machine->reserved = {};
    fleet.refresh(*machine);
  }
  reserved_.erase(found);
}

PlacementSearchResult find_placements(Fleet& fleet, const PlacementSearch& search) {
  std::set<std::string> zones;
  if (!search.zone.empty())
    zones.insert(search.zone);
  else
    for (const auto& [pool, state] : fleet.pools())
      if (model::allows(search.spec, pool) && search.zone_allows(pool.zone)) zones.insert(pool.zone);
  PlacementSearchResult best;
  // Zones with enough placements come first, ordered by the number of machines that hold the image; then all
  // other zones by their number of placements, reserved ones included. The preferred zone wins among equal
  // ones.
  using Score = std::tuple<bool, std::size_t, std::size_t, bool>;
  Score best_score{false, 0, 0, false};
  for (const auto& zone : zones) {
    auto candidate = search_zone(fleet, search, zone);
    const bool complete = candidate.placements.size() == search.count;
    const Score score{complete, complete ? candidate.with_image : candidate.placements.size(),
                      candidate.with_image, zone == search.preferred_zone};
    if (!best.zone.empty() && score <= best_score) continue;
    best = {std::move(candidate.placements), zone, complete};
    best_score = score;
  }
  return best;
}

std::vector<Placement> find_occupied_machines(Fleet& fleet, wire::MachineId& cursor, std::size_t max_visited,
                                              const PlacementSearch& search,
                                              const PlacementSearchResult& found, std::size_t limit) {
  std::set<wire::MachineId> chosen;
  for (const auto& placement : found.placements) chosen.insert(placement.machine_id);
  std::vector<std::pair<double, Placement>> occupied;
  const auto& request = search.spec.request;
  fleet.visit_after(cursor, max_visited, [&](Machine& machine) {
    if (machine.zone != found.zone || chosen.contains(machine.id) || !machine.takes_tasks() ||
        machine.overdue || search.excluded_machines.contains(machine.id) ||
        !model::allows(search.spec, {machine.machine_type, machine.zone, machine.preemptible}))
      return;
    // Services do not end by themselves, and resources reserved for another gang are not available to this
    // one.
    const double available_cores = machine.capacity.cores - machine.service_cores - machine.reserved.cores;
    if (available_cores + kRounding < request.cores || !request.fits(machine.capacity) ||
        !search.is_suitable(machine))
      return;
    occupied.emplace_back(machine.used.cores, Placement{machine.id, machine.zone});
  });
  std::sort(occupied.begin(), occupied.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, a.second.machine_id) < std::tie(b.first, b.second.machine_id);
  });
  std::vector<Placement> result;
  for (auto& [used, placement] : occupied)
    if (result.size() < limit) result.push_back(std::move(placement));
  return result;
}

std::vector<Placement> assign_placements(
    const std::vector<std::uint32_t>& tasks, const std::vector<Placement>& placements,
    const std::function<bool(std::uint32_t, const wire::MachineId&)>& has_earlier_attempt) {
  const auto count = tasks.size();
  if (placements.size() < count) return {};
  for (std::size_t offset = 0; offset < count; ++offset) {
    std::vector<Placement> result;
    for (std::size_t i = 0; i < count; ++i) {
      const auto& placement = placements[(i + offset) % count];
      if (has_earlier_attempt(tasks[i], placement.machine_id)) break;
      result.push_back(placement);
    }
    if (result.size() == count) return result;
  }
  return {};
}

}  // namespace bankhill::gang
