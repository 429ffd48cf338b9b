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

void subtract(Sums& from, const Sums& what) {
  from.up -= what.up;
  from.quiet -= what.quiet;
  from.deaf -= what.deaf;
  from.coming -= what.coming;
  from.joining -= what.joining;
  from.unconfirmed -= what.unconfirmed;
  from.unconfirmed_size -= what.unconfirmed_size;
  from.cores -= what.cores;
  from.free_cores -= what.free_cores;
  if (from.unconfirmed == 0) from.unconfirmed_size = {};
}

Sums part_of(const Machine& machine) {
  Sums part;
  const bool stays = !machine.draining && !machine.releasing;
  part.up = machine.up ? 1 : 0;
  part.quiet = machine.up && machine.quiet ? 1 : 0;
  part.deaf = machine.up && !machine.quiet &&
                      (machine.reporting != Reporting::comes || !machine.hearing.takes_tasks())
                  ? 1
                  : 0;
  part.coming = !machine.up && !machine.late && stays ? 1 : 0;
  part.joining = machine.up && stays && !machine.quiet && !machine.lost &&
                         machine.reporting == Reporting::comes && machine.hearing.takes_tasks() &&
                         !machine.takes_tasks()
                     ? 1
                     : 0;
  if (machine.inherited && !machine.confirmed) {
    part.unconfirmed = 1;
    part.unconfirmed_size = machine.size;
  }
  part.cores = stays && !machine.hearing.out() && machine.reporting != Reporting::absent &&
                       (machine.up || !machine.late)
                   ? machine.size.cores
                   : 0;
  part.free_cores = machine.takes_tasks() && !machine.quiet ? machine.room().cores : 0;
  // More may be kept than is free yet.
  if (machine.kept.cores > 0) part.free_cores = std::max(0.0, part.free_cores);
  return part;
}
}  // namespace

Sums& Sums::operator+=(const Sums& other) {
  up += other.up;
  quiet += other.quiet;
  deaf += other.deaf;
  coming += other.coming;
  joining += other.joining;
  unconfirmed += other.unconfirmed;
  unconfirmed_size += other.unconfirmed_size;
  cores += other.cores;
  free_cores += other.free_cores;
  return *this;
}

bool allows(const wire::JobSpec& spec, const Pool& pool) {
  if (spec.rack_room && *spec.rack_room != pool.rack_room) return false;
  if (!spec.reclaimable && pool.reclaimable) return false;
  return !spec.flavors ||
         std::find(spec.flavors->begin(), spec.flavors->end(), pool.flavor) != spec.flavors->end();
}

Machine* Fleet::find(const wire::HostId& host) {
  const auto found = machines_.find(host);
  return found == machines_.end() ? nullptr : &found->second;
}

const Machine* Fleet::peek(const wire::HostId& host) const {
  const auto found = machines_.find(host);
  return found == machines_.end() ? nullptr : &found->second;
}

std::pair<Machine*, bool> Fleet::add(const wire::HostId& host) {
  const auto [entry, added] = machines_.try_emplace(host);
  if (added) {
    entry->second.host = host;
    entry->second.number = next_number_++;
  }
  return {&entry->second, added};
}

void Fleet::erase(const wire::HostId& host) {
  const auto found = machines_.find(host);
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
  auto& listed = machine.listed;
  if (!listed) return;
  auto& pool = *listed->pool;
  subtract(pool.sums, listed->part);
  subtract(total_, listed->part);
  if (listed->open) {
    const Slot slot{listed->cores, machine.number, &machine};
    pool.open.erase(slot);
    for (const auto& bundle : machine.images) pool.with_image[bundle].erase(slot);
  }
  listed.reset();
}

void Fleet::refresh(Machine& machine) {
  unlist(machine);
  const auto pool = pools_.try_emplace({machine.flavor, machine.rack_room, machine.reclaimable}).first;
  auto& state = pool->second;
  state.size = machine.size;
  Listed listed{&state, part_of(machine), false, 0};
  state.sums += listed.part;
  total_ += listed.part;
  const auto room = machine.room();
  if (machine.takes_tasks() && !machine.quiet && room.cores > kRounding) {
    listed.open = true;
    listed.cores = room.cores;
    const Slot slot{room.cores, machine.number, &machine};
    state.open.insert(slot);
    for (const auto& bundle : machine.images) state.with_image[bundle].insert(slot);
  }
  machine.listed = listed;
}

void Fleet::add_image(Machine& machine, const std::string& bundle) {
  if (!machine.images.insert(bundle).second || !machine.listed || !machine.listed->open) return;
  machine.listed->pool->with_image[bundle].insert({machine.listed->cores, machine.number, &machine});
}

void Fleet::visit_after(wire::HostId& cursor, std::size_t count, const std::function<void(Machine&)>& call) {
  auto next = machines_.upper_bound(cursor);
  for (count = std::min(count, machines_.size()); count > 0; --count) {
    ++steps_;
    if (next == machines_.end()) next = machines_.begin();
    auto& machine = next->second;
    ++next;
    cursor = machine.host;
    call(machine);
  }
}

void Fleet::visit(double share, const std::function<void(Machine&)>& call) {
  visit_after(cursor_, static_cast<std::size_t>(std::ceil(share * static_cast<double>(machines_.size()))),
              call);
}

Sums Fleet::zone(const std::string& rack_room) const {
  Sums sums;
  for (const auto& [pool, state] : pools_)
    if (pool.rack_room == rack_room) sums += state.sums;
  return sums;
}

Machine* Fleet::pick(Choice& choice) {
  using Score = std::tuple<double, double, double, std::uint64_t>;
  std::optional<Score> best_score;
  Machine* best = nullptr;
  const auto& need = choice.spec.need;
  const auto look = [&](const std::set<Slot>& slots, double fetch, double size) {
    int left = kLook;
    for (auto slot = slots.lower_bound({need.cores - kRounding, 0, nullptr}); slot != slots.end() && left > 0;
         ++slot, --left) {
      ++steps_;
      // Earliest completion: all types run a task equally fast, the image fetch differs. Of equals the
      // fullest, so that others become free to be returned.
      const Score score{fetch, choice.small_first ? size : 0, slot->cores, slot->number};
      if (best_score && score >= *best_score) return;
      if (!need.fits(slot->machine->room())) continue;
      if (!choice.suits(*slot->machine)) {
        choice.passed = true;
        continue;
      }
      best_score = score;
      best = slot->machine;
      return;
    }
    if (left == 0) choice.passed = true;
  };
  for (const auto& [pool, state] : pools_) {
    ++steps_;
    if (pool.reclaimable != choice.reclaimable || !allows(choice.spec, pool)) continue;
    if (const auto image = state.with_image.find(choice.spec.bundle); image != state.with_image.end())
      look(image->second, choice.aside_s(pool), state.size.cores);
    look(state.open, choice.fetch_s(pool) + choice.aside_s(pool), state.size.cores);
  }
  return best;
}

}  // namespace bankhill::model
