// Gang scheduling on the fleet: finds machines for gangs, reserves resources on them, and reports how many
// machines the waiting gangs lack. The code has no input or output and reads no clock: all times are seconds
// on the caller's steady clock.
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

// What the caller knows about a job and the machines that it may use.
struct GangConstraints {
  const wire::JobSpec& spec;
  std::string preferred_zone;                              // zone that is chosen among equally good ones
  std::function<double(const model::Pool&)> image_pull_s;  // time to pull the image on machines of the pool
  std::function<bool(const model::Machine&)>
      is_suitable;  // whether a task of the job may start on the machine
  // Whether the zone may take this many more tasks of the job.
  std::function<bool(std::uint32_t tasks, const std::string& zone)> zone_allows;
  // Whether the machine still lists an earlier attempt of the task. Its agent would refuse to start the task.
  std::function<bool(std::uint32_t, const wire::MachineId&)> has_earlier_attempt;
};

// The tasks of a gang that are to be started together, each with its machine.
struct GangStart {
  GangId id;
  std::vector<std::pair<std::uint32_t, wire::MachineId>> tasks;
};

// How many more machines a gang of a job needs than were found.
struct Shortage {
  std::string zone;
  std::size_t machines = 0;
};

// Owns the tracker of all gangs and their reservations in the fleet. The leader calls it at each placement
// pass.
class GangScheduler {
 public:
  explicit GangScheduler(GangTracker::Settings settings) : tracker_(settings) {}

  GangTracker& tracker() { return tracker_; }
  const GangTracker& tracker() const { return tracker_; }
  void clear();
  void add_job(const wire::JobSpec& spec, std::uint32_t span, double image_pull_s);
  void remove_job(const wire::JobId& job);
  bool has_job(const wire::JobId& job) const { return tracker_.has_job(job); }
  bool has_work() const { return tracker_.has_work(); }

  // Takes the tracker's actions. Makes and releases reservations in the fleet, and returns the stop actions.
  std::vector<Action> apply_reservations(model::Fleet& fleet);
  // Finds machines for all tasks of the request. If it succeeds, the gang counts as starting, and the caller
  // assigns the tasks and sends the start commands. Returns nothing if the gang can't be placed now.
  std::optional<GangStart> place_gang(model::Fleet& fleet, const PlacementRequest& request,
                                      const GangConstraints& constraints, double now);
  // Reserves machines for all tasks of the gang and stops it, so that it starts on them. Returns false, and
  // leaves the gang running, if there are not enough machines.
  bool begin_move(model::Fleet& fleet, const Move& move, const GangConstraints& constraints, double now);
  // Jobs with a gang that could not be placed or moved, and the machines that it lacks.
  const std::map<wire::JobId, Shortage>& shortages(double now);

 private:
  std::vector<Placement> choose_partial_reservation(model::Fleet& fleet, const PlacementRequest& request,
                                                    const PlacementSearch& search,
                                                    const PlacementSearchResult& found);

  GangTracker tracker_;
  GangReservations reservations_;
  std::map<wire::JobId, wire::Resources> requests_;  // resources of one task of each job
  std::map<wire::JobId, Shortage> shortages_;
  wire::MachineId occupied_cursor_;  // last machine visited by find_occupied_machines()
};

}  // namespace bankhill::gang
