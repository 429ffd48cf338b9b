// Replicas that span machines (docs/REPLICAS.md): tells the board what happens to their members and machines,
// and carries out what it decides.
#include <algorithm>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using model::Machine;
using wire::Order;
using wire::Verb;

namespace {
constexpr std::size_t kReplicasPerTurn = 16;  // of a job
constexpr std::size_t kInVain = 2;            // replicas of a job that find no place before the others wait
constexpr std::size_t kMovesPerTurn = 4;
}  // namespace

void Leader::follow_replicas(const Job& job) {
  if (!settings_.span || !job.service()) return;
  const auto span = settings_.span(job.spec.owner, job.spec.queue);
  if (span < 2) return;
  double slowest = 0;
  for (const auto& type : flavors_)
    if (planner::allows(job.spec.flavors, type.name) && type.pull_gb_per_s > 0)
      slowest = std::max(slowest, job.spec.size_gb / type.pull_gb_per_s);
  replicas_.follow(job.spec, span, slowest);
  if (const auto rest = replicas_.board().rest(job.spec.uid); rest > 0)
    log_->warn("job {}: {} of its {} tasks make no whole replica of {} machines and stay queued",
               job.spec.uid.value, rest, job.spec.members, span);
}

// The policy may have changed: what runs stays, and is taken as found.
void Leader::follow_policy() {
  if (!settings_.span) return;
  const double now = loop().now();
  for (auto& [id, job] : live_) {
    if (!job->service()) continue;
    const auto wanted = std::max(1U, settings_.span(job->spec.owner, job->spec.queue));
    if (wanted == replicas_.board().span(id)) continue;
    replicas_.leave(id);
    follow_replicas(*job);
    job->reason.clear();
    note(*job);
    for (const auto& [index, host] : job->where) {
      const auto* machine = fleet_.peek(host);
      const auto bind = machine->binds.find({id, index});
      if (bind == machine->binds.end()) continue;
      replicas_.board().found(bind->first, {host, machine->rack_room}, now);
      if (bind->second.stopping) replicas_.board().failing(bind->first, now);
      if (bind->second.phase == model::BindPhase::running) replicas_.board().running(bind->first, now);
      if (machine->draining)
        replicas_.board().must_leave(bind->first, machine->warned_until.has_value(), now);
    }
  }
}

std::uint32_t Leader::placeable(const Job& job) const {
  return job.ready - std::min(job.ready, replicas_.board().rest(job.spec.uid));
}

void Leader::act_on_replicas() {
  if (!replicas_.any()) return;
  replicas_.board().pass(loop().now(), [this](const wire::JobId& id) {
    const auto job = live_.find(id);
    return job != live_.end() && !unconfirmed_could_hold(*job->second);
  });
  Orders orders;
  for (const auto& action : replicas_.act(fleet_)) {
    auto* machine = fleet_.find(action.host);
    if (machine == nullptr) continue;
    const auto bind = machine->binds.find({action.replica.first, action.member});
    if (bind == machine->binds.end()) continue;
    bind->second.stopping = true;
    bind->second.wind_down_s = 0;
    orders[action.host].push_back({Verb::stop, bind->first, bind->second.try_no, 0});
    ++tally_["members of replicas stopped"];
  }
  for (auto& [host, list] : orders) send_direct(*fleet_.find(host), std::move(list));
}

replicas::Site Leader::replica_site(const Job& job) const {
  return {job.spec,
          settings_.main_zone,
          [this, &job](const Pool& pool) { return image_pull_s(job, pool); },
          [this, &job](const Machine& machine) {
            return !job.failed_on.contains(machine.host) && !crowded(machine, job);
          },
          [this, &job](std::uint32_t members, const std::string& zone) {
            if (!zone_allows(job, zone)) return false;
            const auto found = job.zones.find(zone);
            const std::uint32_t here = found == job.zones.end() ? 0 : found->second;
            return !job.spec.scatter || here + members <= (job.spec.members + 1) / 2;
          },
          [this, &job](std::uint32_t index, const wire::HostId& host) {
            const auto* machine = fleet_.peek(host);
            return machine == nullptr || machine->leftovers.contains({job.spec.uid, index});
          }};
}

// Returns how many tasks it bound.
int Leader::place_replicas(Job& job, Orders& orders) {
  const double now = loop().now();
  const auto site = replica_site(job);
  const auto span = replicas_.board().span(job.spec.uid);
  int placed = 0;
  std::size_t in_vain = 0;
  if (placeable(job) == 0)
    job.reason = "the last tasks make no whole replica of " + std::to_string(span) + " machines";
  for (const auto& want : replicas_.board().wants(job.spec.uid, kReplicasPerTurn, now)) {
    if (in_vain >= kInVain) break;
    if (!team_has_room(job, static_cast<std::uint32_t>(want.members.size()))) {
      job.reason = "the team's limit is reached";
      break;
    }
    const auto start = replicas_.place(fleet_, want, site, now);
    act_on_replicas();
    if (!start) {
      // One that is half there wants a certain zone: that it finds nothing there says nothing of the others.
      if (want.zone.empty()) ++in_vain;
      job.reason = "no " + std::to_string(span) + " machines of one zone have room yet";
      continue;
    }
    for (const auto& [index, host] : start->members) {
      auto& machine = *fleet_.find(host);
      bind(machine, job, index);
      const wire::MemberId member{job.spec.uid, index};
      orders[host].push_back({Verb::start, member, machine.binds.at(member).try_no, 0});
      ++placed;
    }
    ++tally_["replicas started"];
  }
  return placed;
}

void Leader::move_replicas() {
  if (!replicas_.any()) return;
  std::size_t left = kMovesPerTurn;
  for (const auto& move : replicas_.board().moves(loop().now())) {
    if (left-- == 0) break;
    const auto job = live_.find(move.id.first);
    if (job == live_.end() || !replicas_.move(fleet_, move, replica_site(*job->second), loop().now()))
      continue;
    ++tally_["replicas moved"];
  }
  act_on_replicas();
}

// Machines in one zone for a replica that waits, when none are coming that it could use.
void Leader::rent_for_replicas(const std::vector<planner::Offer>& offers) {
  if (!replicas_.any()) return;
  if (rental_manager_.any_requested()) return;
  for (const auto& [id, lack] : replicas_.lacks(loop().now())) {
    const auto found = live_.find(id);
    if (found == live_.end()) continue;
    const auto& job = *found->second;
    // What is moved stays within its team's limit: it is stopped before it starts.
    const bool waits = placeable(job) > 0;
    if (waits && (!may_start(job) || !team_has_room(job, replicas_.board().span(id)))) continue;
    const bool coming = std::any_of(fleet_.pools().begin(), fleet_.pools().end(), [&](const auto& entry) {
      return model::allows(job.spec, entry.first) && entry.second.sums.coming > 0 &&
             (lack.zone.empty() || entry.first.rack_room == lack.zone) &&
             job.spec.need.fits(entry.second.size);
    });
    if (coming) return;
    planner::Work item;
    item.need = job.spec.need;
    item.flavors = job.spec.flavors;
    item.rack_room = lack.zone.empty() ? job.spec.rack_room : lack.zone;
    const auto type = planner::preferred(item, offers);
    // Where the zone has none, any that it may have: the next search finds the zone with most.
    if (type && rental_manager_.request(offers[*type].flavor, false, static_cast<double>(lack.machines),
                                        lack.zone) > 0)
      return;
    item.rack_room = job.spec.rack_room;
    item.tasks = replicas_.board().span(id);
    for (const auto& offer : offers) {
      if (planner::slots(item.need, offer.flavor.size) < 1 ||
          !planner::allows(item.flavors, offer.flavor.name))
        continue;
      for (const auto& zone : offer.flavor.rack_rooms) {
        if (zone == lack.zone || (item.rack_room && zone != *item.rack_room)) continue;
        if (rental_manager_.request(offer.flavor, false, item.tasks, zone) > 0) return;
      }
    }
  }
}

void Leader::replicas_leave(const Machine& machine) {
  if (!replicas_.any()) return;
  for (const auto& [member, bind] : machine.binds)
    if (!bind.alien) replicas_.board().must_leave(member, machine.warned_until.has_value(), loop().now());
  place_soon();
}

// Its members are taken for lost: their peers count for nothing alone.
void Leader::replicas_fail(const Machine& machine) {
  if (!replicas_.any()) return;
  for (const auto& [member, bind] : machine.binds)
    if (!bind.alien) replicas_.board().failing(member, loop().now());
  place_soon();
}

}  // namespace bankhill::leader
