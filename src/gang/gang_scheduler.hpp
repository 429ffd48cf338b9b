// Ties the board to the fleet: finds places for replicas, keeps room for those that are about to start, and
// says what a fleet lacks for those that wait. Pure: times are seconds on the caller's steady clock.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gang/gang_fit.hpp"
#include "gang/gang_tracker.hpp"

namespace bankhill::gang {

// What the caller knows of a job and the machines.
struct GangConstraints {
  const wire::JobSpec& spec;
  std::string preferred_zone;                              // of equal zones this one
  std::function<double(const model::Pool&)> image_pull_s;  // of the image, on machines of a pool
  std::function<bool(const model::Machine&)> suits;        // whether a member of the job may start there
  std::function<bool(std::uint32_t members, const std::string& zone)> zone_allows;  // so many more
  // An earlier attempt of the member is still listed there: a start would be refused.
  std::function<bool(std::uint32_t, const wire::MachineId&)> taken;
};

struct Start {  // all at once
  ReplicaId id;
  std::vector<std::pair<std::uint32_t, wire::MachineId>> tasks;
};

struct Shortage {  // machines that a job's replica needs beyond those that it found
  std::string zone;
  std::size_t machines = 0;
};

class GangScheduler {
 public:
  explicit GangScheduler(GangTracker::Settings settings) : tracker_(settings) {}

  GangTracker& tracker() { return tracker_; }
  const GangTracker& tracker() const { return tracker_; }
  void clear();
  void add_job(const wire::JobSpec& spec, std::uint32_t span, double fetch_s);
  void remove_job(const wire::JobId& job);
  bool has_job(const wire::JobId& job) const { return tracker_.has_job(job); }
  bool has_work() const { return tracker_.has_work(); }

  // Carries out what the board wants kept and dropped; returns what is to be stopped.
  std::vector<Action> apply_reservations(model::Fleet& fleet);
  // Places for all that the replica lacks: it counts as started, the caller binds and orders. Nothing: not
  // now.
  std::optional<Start> place_gang(model::Fleet& fleet, const PlacementRequest& want,
                                  const GangConstraints& site, double now);
  // Reserves all places of a move: the replica is then stopped. False: there are none.
  bool begin_move(model::Fleet& fleet, const Move& move, const GangConstraints& site, double now);
  // What the replicas of jobs that found no place lack.
  const std::map<wire::JobId, Shortage>& shortages(double now);

 private:
  std::vector<Placement> to_hold(model::Fleet& fleet, const PlacementRequest& want, const Search& search,
                                 const Found& found);

  GangTracker tracker_;
  GangReservations reservations_;
  std::map<wire::JobId, wire::Resources> requests_;
  std::map<wire::JobId, Shortage> shortages_;
  wire::MachineId cursor_;
};

}  // namespace bankhill::gang
