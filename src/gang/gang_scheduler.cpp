#include "gang/gang_scheduler.hpp"

#include <algorithm>

namespace bankhill::gang {

using model::Fleet;

namespace {
// Number of machines that one search for occupied machines visits.
constexpr std::size_t kOccupiedSearchSize = 48;
}  // namespace

void GangScheduler::clear() {
  tracker_.clear();
  reservations_.clear();
  requests_.clear();
  shortages_.clear();
}

void GangScheduler::add_job(const wire::JobSpec& spec, std::uint32_t span, double image_pull_s) {
  tracker_.add_job(spec.id, spec.task_count, span, image_pull_s);
  if (tracker_.has_job(spec.id)) requests_[spec.id] = spec.request;
}

void GangScheduler::remove_job(const wire::JobId& job) {
  tracker_.remove_job(job);
  shortages_.erase(job);
}

std::vector<Action> GangScheduler::apply_reservations(Fleet& fleet) {
  std::vector<Action> stops;
  for (auto& action : tracker_.take_actions()) {
    if (action.kind == Action::Kind::reserve)
      reservations_.reserve(fleet, action.gang_id, action.machine_id, requests_.at(action.gang_id.first));
    else if (action.kind == Action::Kind::release)
      reservations_.release(fleet, action.gang_id, action.machine_id);
    else
      stops.push_back(std::move(action));
  }
  std::erase_if(requests_, [this](const auto& entry) { return !tracker_.has_job(entry.first); });
  return stops;
}

std::optional<GangStart> GangScheduler::place_gang(Fleet& fleet, const PlacementRequest& request,
                                                   const GangConstraints& constraints, double now) {
  PlacementSearch search{constraints.spec,
                         request.tasks.size(),
                         request.reserved,
                         request.peer_machines,
                         request.zone,
                         constraints.preferred_zone,
                         constraints.image_pull_s,
                         constraints.is_suitable,
                         {}};
  search.excluded_machines.insert(request.excluded_machines.begin(), request.excluded_machines.end());
  search.zone_allows = [&](const std::string& zone) {
    return constraints.zone_allows(static_cast<std::uint32_t>(request.tasks.size()), zone);
  };
  const auto found = find_placements(fleet, search);
  if (found.complete) {
    shortages_.erase(request.id.first);
    const auto placements =
        assign_placements(request.tasks, found.placements, constraints.has_earlier_attempt);
    if (placements.empty()) return std::nullopt;
    tracker_.on_gang_placed(request, placements, now);
    GangStart start{request.id, {}};
    for (std::size_t i = 0; i < placements.size(); ++i)
      start.tasks.emplace_back(request.tasks[i], placements[i].machine_id);
    return start;
  }
  shortages_[request.id.first] = {found.zone, search.count - found.placements.size()};
  // A partly placed gang holds no partial reservation: it is completed before its start deadline, or stopped.
  if (request.zone.empty())
    tracker_.reserve_partial(request.id, choose_partial_reservation(fleet, request, search, found), now);
  return std::nullopt;
}

// Keeps the gang's present partial reservation as far as its machines are usable, and adds placements up to
// the number needed. If the reservation moved from machine to machine, no machine would become free.
std::vector<Placement> GangScheduler::choose_partial_reservation(Fleet& fleet,
                                                                 const PlacementRequest& request,
                                                                 const PlacementSearch& search,
                                                                 const PlacementSearchResult& found) {
  PlacementSearchResult reservation{{}, found.zone, false};
  if (tracker_.partial_holder() == request.id && !request.reserved.empty()) {
    reservation.zone = request.reserved.front().zone;
    for (const auto& placement : request.reserved) {
      const auto* machine = fleet.peek(placement.machine_id);
      if (machine != nullptr && machine->takes_tasks() && placement.zone == reservation.zone &&
          !search.excluded_machines.contains(placement.machine_id))
        reservation.placements.push_back(placement);
    }
  } else if (tracker_.partial_holder() && tracker_.partial_holder() != request.id) {
    return {};
  }
  if (reservation.zone == found.zone)
    for (const auto& placement : found.placements)
      if (reservation.placements.size() < search.count &&
          std::find(reservation.placements.begin(), reservation.placements.end(), placement) ==
              reservation.placements.end())
        reservation.placements.push_back(placement);
  if (reservation.placements.size() < search.count) {
    auto occupied = find_occupied_machines(fleet, occupied_cursor_, kOccupiedSearchSize, search, reservation,
                                           search.count - reservation.placements.size());
    reservation.placements.insert(reservation.placements.end(), occupied.begin(), occupied.end());
  }
  return std::move(reservation.placements);
}

bool GangScheduler::begin_move(Fleet& fleet, const Move& move, const GangConstraints& constraints,
                               double now) {
  const auto span = move.leaving_tasks.size() + move.staying.size();
  PlacementSearch search{
      constraints.spec,         move.leaving_tasks.size(), {}, {}, {}, constraints.preferred_zone,
      constraints.image_pull_s, constraints.is_suitable,   {}};
  search.zone_allows = [](const std::string&) { return true; };
  for (const auto& placement : move.staying) search.excluded_machines.insert(placement.machine_id);
  // Searches the zone of the staying tasks first, so that only the leaving tasks have to pull the
  // image. If that fails, searches all zones for placements for the whole gang.
  PlacementSearchResult found;
  std::optional<Shortage> shortage_in_zone;
  if (!move.staying.empty()) {
    search.zone = move.staying.front().zone;
    found = find_placements(fleet, search);
    shortage_in_zone = {search.zone, search.count - found.placements.size()};
  }
  if (!found.complete) {
    search.zone.clear();
    search.count = span;
    search.zone_allows = [&](const std::string& zone) {
      return constraints.zone_allows(static_cast<std::uint32_t>(span), zone);
    };
    found = find_placements(fleet, search);
    if (!found.complete) {
      shortages_[move.id.first] =
          shortage_in_zone ? *shortage_in_zone : Shortage{found.zone, span - found.placements.size()};
      return false;
    }
  } else {
    found.placements.insert(found.placements.end(), move.staying.begin(), move.staying.end());
  }
  shortages_.erase(move.id.first);
  tracker_.begin_move(move.id, found.placements, now);
  return true;
}

const std::map<wire::JobId, Shortage>& GangScheduler::shortages(double now) {
  std::erase_if(shortages_, [&](const auto& entry) {
    return tracker_.placement_requests(entry.first, 1, now).empty() &&
           !tracker_.has_gang_to_move(entry.first);
  });
  return shortages_;
}

}  // namespace bankhill::gang
