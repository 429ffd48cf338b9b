#include "model/fleet.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>
#include <utility>

namespace bankhill::model {

namespace {
constexpr double kRounding = 1e-6;
// Machines with enough cores that are looked at for one task and pool: the first mostly does; where memory or
// failures rule out many, a task waits rather than cost a scan of the fleet.
constexpr int kLook = 24;

void subtract(FleetTotals& from, const FleetTotals& what) {
  from.up -= what.up;
  from.overdue -= what.overdue;
  from.downlink_lost -= what.downlink_lost;
  from.booting -= what.booting;
  from.joining -= what.joining;
  from.unconfirmed -= what.unconfirmed;
  from.unconfirmed_capacity -= what.unconfirmed_capacity;
  from.cores -= what.cores;
  from.free_cores -= what.free_cores;
  if (from.unconfirmed == 0) from.unconfirmed_capacity = {};
}

FleetTotals part_of(const Machine& machine) {
  FleetTotals part;
  const bool stays = !machine.draining && !machine.terminating;
  part.up = machine.up ? 1 : 0;
  part.overdue = machine.up && machine.overdue ? 1 : 0;
  part.downlink_lost =
      machine.up && !machine.overdue && (machine.uplink != UplinkState::up || !machine.downlink.takes_tasks())
          ? 1
          : 0;
  part.booting = !machine.up && !machine.boot_overdue && stays ? 1 : 0;
  part.joining = machine.up && stays && !machine.overdue && !machine.lease_expired &&
                         machine.uplink == UplinkState::up && machine.downlink.takes_tasks() &&
                         !machine.takes_tasks()
                     ? 1
                     : 0;
  if (machine.inherited && !machine.confirmed) {
    part.unconfirmed = 1;
    part.unconfirmed_capacity = machine.capacity;
  }
  part.cores = stays && !machine.downlink.considered_lost() && machine.uplink != UplinkState::lost &&
                       (machine.up || !machine.boot_overdue)
                   ? machine.capacity.cores
                   : 0;
  part.free_cores = machine.takes_tasks() && !machine.overdue ? machine.available().cores : 0;
  // More may be kept than is free yet.
  if (machine.reserved.cores > 0) part.free_cores = std::max(0.0, part.free_cores);
  return part;
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
  unlist(found->second);
  machines_.erase(found);
}

void Fleet::clear() {
  machines_.clear();
  pools_.clear();
  total_ = {};
  cursor_ = {};
}

void Fleet::unlist(Machine& machine) {
  auto& listed = machine.index_entry;
  if (!listed) return;
  auto& pool = *listed->pool;
  subtract(pool.totals, listed->part);
  subtract(total_, listed->part);
  if (listed->open) {
    const Slot slot{listed->cores, machine.number, &machine};
    pool.free_slots.erase(slot);
    for (const auto& image : machine.images) pool.with_image[image].erase(slot);
  }
  listed.reset();
}

void Fleet::refresh(Machine& machine) {
  unlist(machine);
  const auto pool = pools_.try_emplace({machine.machine_type, machine.zone, machine.preemptible}).first;
  auto& state = pool->second;
  state.capacity = machine.capacity;
  IndexEntry listed{&state, part_of(machine), false, 0};
  state.totals += listed.part;
  total_ += listed.part;
  const auto room = machine.available();
  if (machine.takes_tasks() && !machine.overdue && room.cores > kRounding) {
    listed.open = true;
    listed.cores = room.cores;
    const Slot slot{room.cores, machine.number, &machine};
    state.free_slots.insert(slot);
    for (const auto& image : machine.images) state.with_image[image].insert(slot);
  }
  machine.index_entry = listed;
}

void Fleet::add_image(Machine& machine, const std::string& image) {
  if (!machine.images.insert(image).second || !machine.index_entry || !machine.index_entry->open) return;
  machine.index_entry->pool->with_image[image].insert({machine.index_entry->cores, machine.number, &machine});
}

void Fleet::visit_after(wire::MachineId& cursor, std::size_t count,
                        const std::function<void(Machine&)>& call) {
  auto next = machines_.upper_bound(cursor);
  for (count = std::min(count, machines_.size()); count > 0; --count) {
    ++steps_;
    if (next == machines_.end()) next = machines_.begin();
    auto& machine = next->second;
    ++next;
    cursor = machine.id;
    call(machine);
  }
}

void Fleet::visit(double share, const std::function<void(Machine&)>& call) {
  visit_after(cursor_, static_cast<std::size_t>(std::ceil(share * static_cast<double>(machines_.size()))),
              call);
}

FleetTotals Fleet::zone_totals(const std::string& zone) const {
  FleetTotals sums;
  for (const auto& [pool, state] : pools_)
    if (pool.zone == zone) sums += state.totals;
  return sums;
}

Machine* Fleet::find_best(MachineQuery& choice) {
  using Score = std::tuple<double, double, double, std::uint64_t>;
  std::optional<Score> best_score;
  Machine* best = nullptr;
  const auto& request = choice.spec.request;
  const auto look = [&](const std::set<Slot>& slots, double fetch, double size) {
    int left = kLook;
    for (auto slot = slots.lower_bound({request.cores - kRounding, 0, nullptr});
         slot != slots.end() && left > 0; ++slot, --left) {
      ++steps_;
      // Earliest completion: all types run a task equally fast, the image fetch differs. Of equals the
      // fullest, so that others become free to be returned.
      const Score score{fetch, choice.small_first ? size : 0, slot->cores, slot->number};
      if (best_score && score >= *best_score) return;
      if (!request.fits(slot->machine->available())) continue;
      if (!choice.suits(*slot->machine)) {
        choice.skipped_any = true;
        continue;
      }
      best_score = score;
      best = slot->machine;
      return;
    }
    if (left == 0) choice.skipped_any = true;
  };
  for (const auto& [pool, state] : pools_) {
    ++steps_;
    if (pool.preemptible != choice.preemptible || !allows(choice.spec, pool)) continue;
    if (const auto image = state.with_image.find(choice.spec.image); image != state.with_image.end())
      look(image->second, choice.zone_penalty_s(pool), state.capacity.cores);
    look(state.free_slots, choice.image_pull_s(pool) + choice.zone_penalty_s(pool), state.capacity.cores);
  }
  return best;
}

}  // namespace bankhill::model
