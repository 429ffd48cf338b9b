#include "gang/gang_scheduler.hpp"

#include <algorithm>

namespace bankhill::gang {

using model::Fleet;

namespace {
constexpr std::size_t kLookBusy = 48;  // machines looked at for room that is to come free
}

void GangScheduler::clear() {
  tracker_.clear();
  reservations_.clear();
  requests_.clear();
  shortages_.clear();
}

void GangScheduler::add_job(const wire::JobSpec& spec, std::uint32_t span, double fetch_s) {
  tracker_.add_job(spec.id, spec.task_count, span, fetch_s);
  if (tracker_.has_job(spec.id)) requests_[spec.id] = spec.request;
}

void GangScheduler::remove_job(const wire::JobId& job) {
  tracker_.remove_job(job);
  shortages_.erase(job);
}

std::vector<Action> GangScheduler::apply_reservations(Fleet& fleet) {
  std::vector<Action> stops;
  for (auto& action : tracker_.take()) {
    if (action.kind == Action::Kind::keep)
      reservations_.keep(fleet, action.gang_id, action.machine_id, requests_.at(action.gang_id.first));
    else if (action.kind == Action::Kind::drop)
      reservations_.drop(fleet, action.gang_id, action.machine_id);
    else
      stops.push_back(std::move(action));
  }
  std::erase_if(requests_, [this](const auto& entry) { return !tracker_.has_job(entry.first); });
  return stops;
}

std::optional<Start> GangScheduler::place_gang(Fleet& fleet, const PlacementRequest& want,
                                               const GangConstraints& site, double now) {
  Search search{site.spec,           want.tasks.size(), want.reserved, want.peers, want.zone,
                site.preferred_zone, site.image_pull_s, site.suits,    {}};
  search.avoid.insert(want.avoid.begin(), want.avoid.end());
  search.zone_allows = [&](const std::string& zone) {
    return site.zone_allows(static_cast<std::uint32_t>(want.tasks.size()), zone);
  };
  const auto found = find_places(fleet, search);
  if (found.all) {
    shortages_.erase(want.id.first);
    const auto spots = assign(want.tasks, found.spots, site.taken);
    if (spots.empty()) return std::nullopt;
    tracker_.started(want, spots, now);
    Start start{want.id, {}};
    for (std::size_t i = 0; i < spots.size(); ++i)
      start.tasks.emplace_back(want.tasks[i], spots[i].machine_id);
    return start;
  }
  shortages_[want.id.first] = {found.zone, search.count - found.spots.size()};
  // Of one that is half there the rest must be found at once, or all goes.
  if (want.zone.empty()) tracker_.reserve_partial(want.id, to_hold(fleet, want, search, found), now);
  return std::nullopt;
}

// What is kept already stays as long as it is of use: hopping from machine to machine, nothing would come
// free.
std::vector<Placement> GangScheduler::to_hold(Fleet& fleet, const PlacementRequest& want,
                                              const Search& search, const Found& found) {
  Found held{{}, found.zone, false};
  if (tracker_.holder() == want.id && !want.reserved.empty()) {
    held.zone = want.reserved.front().zone;
    for (const auto& spot : want.reserved) {
      const auto* machine = fleet.peek(spot.machine_id);
      if (machine != nullptr && machine->takes_tasks() && spot.zone == held.zone &&
          !search.avoid.contains(spot.machine_id))
        held.spots.push_back(spot);
    }
  } else if (tracker_.holder() && tracker_.holder() != want.id) {
    return {};
  }
  if (held.zone == found.zone)
    for (const auto& spot : found.spots)
      if (held.spots.size() < search.count &&
          std::find(held.spots.begin(), held.spots.end(), spot) == held.spots.end())
        held.spots.push_back(spot);
  if (held.spots.size() < search.count) {
    auto busy = find_busy(fleet, cursor_, kLookBusy, search, held, search.count - held.spots.size());
    held.spots.insert(held.spots.end(), busy.begin(), busy.end());
  }
  return std::move(held.spots);
}

bool GangScheduler::begin_move(Fleet& fleet, const Move& move, const GangConstraints& site, double now) {
  const auto span = move.leaving_tasks.size() + move.staying.size();
  Search search{site.spec,           move.leaving_tasks.size(), {},         {}, {},
                site.preferred_zone, site.image_pull_s,         site.suits, {}};
  search.zone_allows = [](const std::string&) { return true; };
  for (const auto& spot : move.staying) search.avoid.insert(spot.machine_id);
  // Where the others are, so that only what must move fetches its weights; else all of it elsewhere.
  Found found;
  std::optional<Shortage> near;
  if (!move.staying.empty()) {
    search.zone = move.staying.front().zone;
    found = find_places(fleet, search);
    near = {search.zone, search.count - found.spots.size()};
  }
  if (!found.all) {
    search.zone.clear();
    search.count = span;
    search.zone_allows = [&](const std::string& other) {
      return site.zone_allows(static_cast<std::uint32_t>(span), other);
    };
    found = find_places(fleet, search);
    if (!found.all) {
      shortages_[move.id.first] = near ? *near : Shortage{found.zone, span - found.spots.size()};
      return false;
    }
  } else {
    found.spots.insert(found.spots.end(), move.staying.begin(), move.staying.end());
  }
  shortages_.erase(move.id.first);
  tracker_.moving(move.id, found.spots, now);
  return true;
}

const std::map<wire::JobId, Shortage>& GangScheduler::shortages(double now) {
  std::erase_if(shortages_, [&](const auto& entry) {
    return tracker_.placement_requests(entry.first, 1, now).empty() && !tracker_.leaving(entry.first);
  });
  return shortages_;
}

}  // namespace bankhill::gang
