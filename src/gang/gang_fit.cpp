#include "gang/gang_fit.hpp"

#include <algorithm>
#include <tuple>

namespace bankhill::gang {

using model::Fleet;
using model::Machine;

namespace {
constexpr double kRounding = 1e-6;

// Takes room while a search goes on, so that the next place is found elsewhere, and gives it back.
class Taken {
 public:
  Taken(Fleet& fleet, const wire::Resources& request) : fleet_(fleet), need_(request) {}
  Taken(const Taken&) = delete;
  Taken& operator=(const Taken&) = delete;
  ~Taken() {
    for (auto& [machine, kept] : machines_) {
      machine->reserved = kept;
      fleet_.refresh(*machine);
    }
  }
  void add(Machine& machine) {
    machines_.emplace_back(&machine, machine.reserved);
    machine.reserved += need_;
    fleet_.refresh(machine);
  }

 private:
  Fleet& fleet_;
  wire::Resources need_;
  std::vector<std::pair<Machine*, wire::Resources>> machines_;  // with what was kept there before
};

bool usable(const Machine& machine, const Search& search) {
  wire::Resources room = machine.available();
  room += search.spec.request;  // its own
  return machine.takes_tasks() && !machine.overdue && search.spec.request.fits(room) &&
         !search.avoid.contains(machine.id) && search.suits(machine);
}

struct InZone {
  std::vector<Placement> spots;
  std::size_t with_image = 0;
};

InZone look_in(Fleet& fleet, const Search& search, const std::string& zone) {
  InZone result;
  wire::JobSpec spec = search.spec;
  spec.zone = zone;
  std::set<wire::MachineId> chosen;
  const auto add = [&](const Machine& machine) {
    chosen.insert(machine.id);
    result.spots.push_back({machine.id, machine.zone});
    result.with_image += machine.images.contains(spec.image) ? 1 : 0;
  };
  for (const auto& spot : search.kept) {
    if (result.spots.size() == search.count) return result;
    const auto* machine = fleet.peek(spot.machine_id);
    if (machine == nullptr || machine->zone != zone || chosen.contains(spot.machine_id)) continue;
    if (usable(*machine, search)) add(*machine);
  }
  Taken taken(fleet, spec.request);
  for (const bool reclaimable : {false, true}) {
    if (reclaimable && !spec.allows_preemptible) break;
    Fleet::MachineQuery choice{spec,
                               reclaimable,
                               true,
                               search.fetch_s,
                               [](const model::Pool&) { return 0.0; },
                               [&](const Machine& machine) {
                                 return !chosen.contains(machine.id) && !search.avoid.contains(machine.id) &&
                                        search.suits(machine);
                               },
                               false};
    while (result.spots.size() < search.count) {
      auto* machine = fleet.find_best(choice);
      if (machine == nullptr) break;
      add(*machine);
      taken.add(*machine);
    }
  }
  return result;
}
}  // namespace

void GangReservations::keep(Fleet& fleet, const ReplicaId& id, const wire::MachineId& machine_id,
                            const wire::Resources& request) {
  auto* machine = fleet.find(machine_id);
  if (machine == nullptr || !reserved_.emplace(std::pair(id, machine_id), request).second) return;
  machine->reserved += request;
  fleet.refresh(*machine);
}

void GangReservations::drop(Fleet& fleet, const ReplicaId& id, const wire::MachineId& machine_id) {
  const auto found = reserved_.find({id, machine_id});
  if (found == reserved_.end()) return;
  if (auto* machine = fleet.find(machine_id)) {
    machine->reserved -= found->second;
    // No remainder of a rounding stays behind.
    if (machine->reserved.cores < kRounding) machine->reserved = {};
    fleet.refresh(*machine);
  }
  reserved_.erase(found);
}

Found find_places(Fleet& fleet, const Search& search) {
  std::set<std::string> zones;
  if (!search.zone.empty())
    zones.insert(search.zone);
  else
    for (const auto& [pool, state] : fleet.pools())
      if (model::allows(search.spec, pool) && search.zone_allows(pool.zone)) zones.insert(pool.zone);
  Found best;
  // All; then where room is kept for it, where the image is; of equals the zone that goes first.
  using Score = std::tuple<bool, std::size_t, std::size_t, bool>;
  Score best_score{false, 0, 0, false};
  for (const auto& zone : zones) {
    auto there = look_in(fleet, search, zone);
    const bool all = there.spots.size() == search.count;
    const Score score{all, all ? there.with_image : there.spots.size(), there.with_image,
                      zone == search.first_zone};
    if (!best.zone.empty() && score <= best_score) continue;
    best = {std::move(there.spots), zone, all};
    best_score = score;
  }
  return best;
}

std::vector<Placement> find_busy(Fleet& fleet, wire::MachineId& cursor, std::size_t look,
                                 const Search& search, const Found& found, std::size_t most) {
  std::set<wire::MachineId> chosen;
  for (const auto& spot : found.spots) chosen.insert(spot.machine_id);
  std::vector<std::pair<double, Placement>> busy;
  const auto& request = search.spec.request;
  fleet.visit_after(cursor, look, [&](Machine& machine) {
    if (machine.zone != found.zone || chosen.contains(machine.id) || !machine.takes_tasks() ||
        machine.overdue || search.avoid.contains(machine.id) ||
        !model::allows(search.spec, {machine.machine_type, machine.zone, machine.preemptible}))
      return;
    // Services do not end, and what is kept for another replica is not for this one.
    const double left = machine.capacity.cores - machine.service_cores - machine.reserved.cores;
    if (left + kRounding < request.cores || !request.fits(machine.capacity) || !search.suits(machine)) return;
    busy.emplace_back(machine.used.cores, Placement{machine.id, machine.zone});
  });
  std::sort(busy.begin(), busy.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, a.second.machine_id) < std::tie(b.first, b.second.machine_id);
  });
  std::vector<Placement> result;
  for (auto& [used, spot] : busy)
    if (result.size() < most) result.push_back(std::move(spot));
  return result;
}

std::vector<Placement> assign(const std::vector<std::uint32_t>& members, const std::vector<Placement>& spots,
                              const std::function<bool(std::uint32_t, const wire::MachineId&)>& taken) {
  const auto count = members.size();
  if (spots.size() < count) return {};
  for (std::size_t turn = 0; turn < count; ++turn) {
    std::vector<Placement> result;
    for (std::size_t i = 0; i < count; ++i) {
      const auto& spot = spots[(i + turn) % count];
      if (taken(members[i], spot.machine_id)) break;
      result.push_back(spot);
    }
    if (result.size() == count) return result;
  }
  return {};
}

}  // namespace bankhill::gang
