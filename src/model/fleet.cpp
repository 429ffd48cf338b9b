#include "model/fleet.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>
#include <utility>

namespace bankhill::model {

namespace {
constexpr double kRounding = 1e-6;
// Maximum number of machines with enough cores that are tried for one task and pool. The first is usually
// suitable; where memory or earlier failures rule out many, the task waits so that no task costs a scan of
// the fleet.
constexpr int kMaxMachinesTried = 24;

void subtract(FleetTotals& totals, const FleetTotals& other) {
  totals.up -= other.up;
  totals.overdue -= other.overdue;
  totals.downlink_lost -= other.downlink_lost;
  totals.booting -= other.booting;
  totals.joining -= other.joining;
  totals.unconfirmed -= other.unconfirmed;
  totals.unconfirmed_capacity -= other.unconfirmed_capacity;
  totals.cores -= other.cores;
  totals.free_cores -= other.free_cores;
  if (totals.unconfirmed == 0) totals.unconfirmed_capacity = {};
}

FleetTotals contribution_of(const Machine& machine) {
  FleetTotals contribution;
  const bool stays = !machine.draining && !machine.terminating;
  contribution.up = machine.up ? 1 : 0;
  contribution.overdue = machine.up && machine.overdue ? 1 : 0;
  contribution.downlink_lost =
      machine.up && !machine.overdue && (machine.uplink != UplinkState::up || !machine.downlink.takes_tasks())
          ? 1
          : 0;
  contribution.booting = !machine.up && !machine.boot_overdue && stays ? 1 : 0;
  contribution.joining = machine.up && stays && !machine.overdue && !machine.lease_expired &&
                                 machine.uplink == UplinkState::up && machine.downlink.takes_tasks() &&
                                 !machine.takes_tasks()
                             ? 1
                             : 0;
  if (machine.inherited && !machine.confirmed) {
    contribution.unconfirmed = 1;
    contribution.unconfirmed_capacity = machine.capacity;
  }
  contribution.cores = stays && !machine.downlink.considered_lost() && machine.uplink != UplinkState::lost &&
                               (machine.up || !machine.boot_overdue)
                           ? machine.capacity.cores
                           : 0;
  contribution.free_cores = machine.takes_tasks() && !machine.overdue ? machine.available().cores : 0;
  // Reservations may exceed the resources that are free yet.
  if (machine.reserved.cores > 0) contribution.free_cores = std::max(0.0, contribution.free_cores);
  return contribution;
}
}  // namespace

FleetTotals& FleetTotals::operator+=(const FleetTotals& other) {
  up += other.up;
  overdue += other.overdue;
  downlink_lost += other.downlink_lost;
  booting += other.booting;
  joining += other.joining;
  unconfirmed += other.unconfirmed;
  unconfirmed_capacity += other.unconfirmed_capacity;
  cores += other.cores;
  free_cores += other.free_cores;
  return *this;
}

bool allows(const wire::JobSpec& spec, const Pool& pool) {
  if (spec.zone && *spec.zone != pool.zone) return false;
  if (!spec.allows_preemptible && pool.preemptible) return false;
  return !spec.machine_types || std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                          pool.machine_type) != spec.machine_types->end();
}

Machine* Fleet::find(const wire::MachineId& machine_id) {
  const auto found = machines_.find(machine_id);
  return found == machines_.end() ? nullptr : &found->second;
}

const Machine* Fleet::peek(const wire::MachineId& machine_id) const {
  const auto found = machines_.find(machine_id);
  return found == machines_.end() ? nullptr : &found->second;
}

std::pair<Machine*, bool> Fleet::add(const wire::MachineId& machine_id) {
  const auto [entry, added] = machines_.try_emplace(machine_id);
  if (added) {
    entry->second.id = machine_id;
    entry->second.number = next_number_++;
  }
  return {&entry->second, added};
}

void Fleet::erase(const wire::MachineId& machine_id) {
  const auto found = machines_.find(machine_id);
  if (found == machines_.end()) return;
  remove_from_index(found->second);
  machines_.erase(found);
}

void Fleet::clear() {
  machines_.clear();
  pools_.clear();
  total_ = {};
  cursor_ = {};
}

void Fleet::remove_from_index(Machine& machine) {
  auto& entry = machine.index_entry;
  if (!entry) return;
  auto& pool = *entry->pool;
  subtract(pool.totals, entry->contribution);
  subtract(total_, entry->contribution);
  if (entry->has_free_slot) {
    const FreeSlot slot{entry->cores, machine.number, &machine};
    pool.free_slots.erase(slot);
    for (const auto& image : machine.images) pool.free_slots_by_image[image].erase(slot);
  }
  entry.reset();
}

void Fleet::refresh(Machine& machine) {
  remove_from_index(machine);
  const auto pool = pools_.try_emplace({machine.machine_type, machine.zone, machine.preemptible}).first;
  auto& state = pool->second;
  state.capacity = machine.capacity;
  IndexEntry entry{&state, contribution_of(machine), false, 0};
  state.totals += entry.contribution;
  total_ += entry.contribution;
  const auto available = machine.available();
  if (machine.takes_tasks() && !machine.overdue && available.cores > kRounding) {
    entry.has_free_slot = true;
    entry.cores = available.cores;
    const FreeSlot slot{available.cores, machine.number, &machine};
    state.free_slots.insert(slot);
    for (const auto& image : machine.images) state.free_slots_by_image[image].insert(slot);
  }
  machine.index_entry = entry;
}

void Fleet::add_image(Machine& machine, const std::string& image) {
  if (!machine.images.insert(image).second || !machine.index_entry || !machine.index_entry->has_free_slot)
    return;
  machine.index_entry->pool->free_slots_by_image[image].insert(
      {machine.index_entry->cores, machine.number, &machine});
}

void Fleet::visit_after(wire::MachineId& cursor, std::size_t count,
                        const std::function<void(Machine&)>& visitor) {
  auto next = machines_.upper_bound(cursor);
  for (count = std::min(count, machines_.size()); count > 0; --count) {
    ++steps_;
    if (next == machines_.end()) next = machines_.begin();
    auto& machine = next->second;
    ++next;
    cursor = machine.id;
    visitor(machine);
  }
}

void Fleet::visit(double share, const std::function<void(Machine&)>& visitor) {
  visit_after(cursor_, static_cast<std::size_t>(std::ceil(share * static_cast<double>(machines_.size()))),
              visitor);
}

FleetTotals Fleet::zone_totals(const std::string& zone) const {
  FleetTotals totals;
  for (const auto& [pool, state] : pools_)
    if (pool.zone == zone) totals += state.totals;
  return totals;
}

Machine* Fleet::find_best(MachineQuery& query) {
  using Score = std::tuple<double, double, double, std::uint64_t>;
  std::optional<Score> best_score;
  Machine* best = nullptr;
  const auto& request = query.spec.request;
  const auto search = [&](const std::set<FreeSlot>& slots, double delay_s, double machine_cores) {
    int remaining = kMaxMachinesTried;
    for (auto slot = slots.lower_bound({request.cores - kRounding, 0, nullptr});
         slot != slots.end() && remaining > 0; ++slot, --remaining) {
      ++steps_;
      // Earliest completion first: all machine types run a task equally fast, only the image pull differs.
      // Among equals the fullest machine, so that others become empty and can be terminated.
      const Score score{delay_s, query.prefer_small ? machine_cores : 0, slot->cores, slot->number};
      if (best_score && score >= *best_score) return;
      if (!request.fits(slot->machine->available())) continue;
      if (!query.is_suitable(*slot->machine)) {
        query.skipped_any = true;
        continue;
      }
      best_score = score;
      best = slot->machine;
      return;
    }
    if (remaining == 0) query.skipped_any = true;
  };
  for (const auto& [pool, state] : pools_) {
    ++steps_;
    if (pool.preemptible != query.preemptible || !allows(query.spec, pool)) continue;
    if (const auto image = state.free_slots_by_image.find(query.spec.image);
        image != state.free_slots_by_image.end())
      search(image->second, query.zone_penalty_s(pool), state.capacity.cores);
    search(state.free_slots, query.image_pull_s(pool) + query.zone_penalty_s(pool), state.capacity.cores);
  }
  return best;
}

}  // namespace bankhill::model
