// Gangs (docs/REPLICAS.md): a gang is a replica of a service that spans machines. Its `span` tasks are
// started, moved and restarted together. GangTracker owns the state of every gang. The leader reports task
// and machine events to it and carries out the actions that it returns: stops, and reservations of resources.
// The code has no input or output and reads no clock: all times are seconds on the caller's steady clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wire/ids.hpp"

namespace bankhill::gang {

// A gang's job and its number in the job. Gang `number` consists of the tasks with the indices
// number * span to number * span + span - 1.
using GangId = std::pair<wire::JobId, std::uint32_t>;

enum class Phase {
  waiting,   // no task of the gang is assigned to a machine
  starting,  // some or all tasks are assigned to machines, but not all of them run yet
  running,   // all tasks run
  stopping,  // all tasks are being stopped; the gang waits for placement again when the last one has ended
};

// The machine and zone of a task, current or planned.
struct Placement {
  wire::MachineId machine_id;
  std::string zone;
  bool operator==(const Placement&) const = default;
};

// An instruction of the tracker. The caller carries out actions in the order in which they were issued.
struct Action {
  enum class Kind {
    stop,     // stop the task
    reserve,  // reserve the resources of one task of the job on the machine for this gang alone
    release,  // release that reservation
  };
  Kind kind = Kind::stop;
  GangId gang_id;
  std::uint32_t task_index = 0;  // index in the job of the task to stop; unused for reservations
  wire::MachineId machine_id;    // machine of the task or of the reservation
  bool operator==(const Action&) const = default;
};

// A gang that waits for placement. All listed tasks are placed in one step, or none is.
struct PlacementRequest {
  GangId id;
  std::vector<std::uint32_t> tasks;             // indices of the tasks that are assigned to no machine
  std::vector<Placement> reserved;              // resources that are reserved for the gang
  std::set<wire::MachineId> peer_machines;      // machines of the gang's other tasks
  std::string zone;                             // zone of the gang's other tasks; empty if it has none
  std::set<wire::MachineId> excluded_machines;  // machines on which a task of the gang did not start in time
};

// A running gang that has to be moved, and the tasks that can't stay on their machines.
struct Move {
  GangId id;
  std::vector<std::uint32_t> leaving_tasks;
  std::vector<Placement> staying;  // placements of the other tasks: distinct machines in one zone
};

// Owns the state of all gangs of the jobs that it tracks. GangScheduler owns the tracker; the leader calls it
// for each event of a task or machine, and advance() at each placement pass.
class GangTracker {
 public:
  struct Settings {
    // A gang is stopped if not all of its tasks run within this time plus the time to pull the image.
    double start_timeout_s = 45;
    // The stop commands for a gang's tasks are repeated within this time, at half of it, until the tasks have
    // ended.
    double peer_stop_timeout_s = 5;
    // Minimum time between two moves of the same gang.
    double min_move_interval_s = 45;
    // A gang is moved only while less than this fraction of its job's gangs does not run. One always may be
    // moved.
    double max_moving_fraction = 0.25;
    // Upper bound of a partial reservation's duration, as a multiple of `start_timeout_s`. The duration
    // doubles with each such reservation until the gang runs.
    double max_hold_factor = 8;
  };

  explicit GangTracker(Settings settings) : settings_(settings) {}
  void clear();

  // Tracks the gangs of a job, `span` tasks each. `image_pull_s` is the longest time that the image takes to
  // pull on any machine type that the job may use. Ignored if `span` is below 2.
  void add_job(const wire::JobId& job, std::uint32_t task_count, std::uint32_t span, double image_pull_s);
  void remove_job(const wire::JobId& job);
  bool has_work() const { return !jobs_.empty() || !actions_.empty(); }
  bool has_job(const wire::JobId& job) const { return jobs_.contains(job); }
  std::uint32_t span(const wire::JobId& job) const;  // 1 if the job is not tracked
  // Number of tasks left over when the job's tasks are divided into gangs. They stay queued.
  std::uint32_t unusable_tasks(const wire::JobId& job) const;

  // Events.
  // The task was found on a machine: it was started in an earlier term, or before its job was tracked. The
  // caller also reports on_task_running() if it runs already.
  void on_task_found(const wire::TaskId& task_id, const Placement& placement, double now);
  void on_task_running(const wire::TaskId& task_id, double now);
  // The task can no longer run.
  void on_task_ended(const wire::TaskId& task_id, double now);
  // The task will end, is presumed lost or is stopping for another reason. The whole gang is stopped.
  void on_task_failing(const wire::TaskId& task_id, double now);
  // The task's machine drains. `preempted`: the cloud preempts the machine. Such moves are exempt from the
  // limits on the number and interval of moves.
  void request_move(const wire::TaskId& task_id, bool preempted, double now);
  void cancel_move_request(const wire::TaskId& task_id);
  // All tasks of the request were started on `placements`, in the order of `request.tasks`.
  void on_gang_placed(const PlacementRequest& request, const std::vector<Placement>& placements, double now);
  // Reserves `placements`, one for each task of a running gang, and stops the gang so that it starts there.
  void begin_move(const GangId& id, const std::vector<Placement>& placements, double now);
  // Placements were found for only some of the tasks. Reserves `partial` if the gang may hold a partial
  // reservation now; otherwise releases what the gang has reserved. Returns whether it reserved.
  bool reserve_partial(const GangId& id, const std::vector<Placement>& partial, double now);
  // Stops all tasks of the gang because its resources are preempted.
  void evict(const GangId& id, double now);

  // Handles timeouts. `is_job_confirmed(job)` returns whether every machine that may run a task of the job
  // has been confirmed. A starting gang is checked against its deadline only then.
  template <class IsJobConfirmed>
  void advance(double now, const IsJobConfirmed& is_job_confirmed) {
    process_timeouts(now);
    for (const auto& id : std::set<GangId>(starting_))
      if (is_job_confirmed(id.first)) check_start_deadline(id, now);
  }
  std::vector<Action> take_actions() { return std::exchange(actions_, {}); }

  // Up to `limit` gangs of a job that have tasks to place. Gangs that need the fewest additional placements
  // come first.
  std::vector<PlacementRequest> placement_requests(const wire::JobId& job, std::size_t limit,
                                                   double now) const;
  // Running gangs that have to be moved and may be moved now.
  std::vector<Move> allowed_moves(double now) const;

  // Whether a running gang of the job has to be moved.
  bool has_gang_to_move(const wire::JobId& job) const;
  std::optional<Phase> phase(const GangId& id) const;
  // Number of the job's gangs of which all tasks run.
  std::size_t running_gangs(const wire::JobId& job) const;
  // The gang that holds a partial reservation, if any. At most one does.
  const std::optional<GangId>& partial_holder() const { return partial_holder_; }

 private:
  // unassigned: on no machine. starting: assigned to a machine, but not known to run yet.
  enum class State : std::uint8_t { unassigned, starting, running };
  struct Task {
    State state = State::unassigned;
    Placement placement;
    bool must_leave = false;  // the task can't stay on its machine
    bool preempted = false;   // the cloud preempts the machine
  };
  struct Gang {
    Phase phase = Phase::waiting;
    std::vector<Task> tasks;
    double phase_started_at = 0;
    double start_deadline = -1;  // time by which all tasks must run; negative: not set yet
    double last_moved_at = -1e18;
    std::vector<Placement> reserved;
    double reserved_until = 0;
    double hold_s = 0;       // duration of the last partial reservation; 0 after all tasks have run
    bool is_moving = false;  // stopped for a move; `reserved` has a placement for every task
    double stops_issued_at = 0;
    // Earliest time of the next placement, so that an evicted gang does not take back the freed resources.
    double not_before = -1e18;
    std::set<wire::MachineId> excluded_machines;
  };
  struct Job {
    std::uint32_t span = 1;
    std::uint32_t unusable_tasks = 0;
    double image_pull_s = 0;
    std::vector<Gang> gangs;
    std::set<std::uint32_t> placeable_gangs;  // numbers of the gangs that have tasks to place
  };

  Gang* find(const GangId& id);
  const Gang* find(const GangId& id) const;
  // The gang of a task, and the position of the task in it.
  std::pair<GangId, std::uint32_t> locate(const wire::TaskId& task_id) const;
  void enter_phase(const GangId& id, Gang& gang, Phase phase, double now);
  void stop_gang(const GangId& id, Gang& gang, bool keep_placements, double now);
  void issue_stops(const GangId& id, Gang& gang, double now);
  // Ends the starting phase when all tasks run, and the stopping phase when all have ended.
  void update_phase(const GangId& id, Gang& gang, double now);
  void check_start_deadline(const GangId& id, double now);
  void process_timeouts(double now);
  void set_reservations(const GangId& id, Gang& gang, std::vector<Placement> placements);
  void update_indexes(const GangId& id, const Gang& gang);
  void end_partial_hold(const GangId& id, double now);
  static bool is_split(const Gang& gang);

  Settings settings_;
  std::map<wire::JobId, Job> jobs_;
  std::set<GangId> starting_;
  std::set<GangId> stopping_;
  std::set<GangId> reserving_;     // gangs with reservations
  std::set<GangId> needing_move_;  // running gangs that are split or have a task that can't stay
  std::optional<GangId> partial_holder_;
  std::optional<GangId> last_partial_holder_;
  double last_partial_hold_ended_at_ = -1e18;
  std::vector<Action> actions_;
};

}  // namespace bankhill::gang
