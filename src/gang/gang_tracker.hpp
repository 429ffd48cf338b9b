// Replicas that span machines: `span` tasks of a service that start, move and are repaired as one
// (docs/REPLICAS.md). The board owns the state of each; it is told what happens to members and machines, and
// says what to stop and which room to keep. Pure: times are seconds on the caller's steady clock.
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

// The number of a replica in its job: members number * span to number * span + span - 1.
using ReplicaId = std::pair<wire::JobId, std::uint32_t>;

enum class Phase {
  waiting,   // no member is on a machine
  starting,  // some are, or all are told to start; not all run yet
  whole,     // all run
  stopping,  // told to stop; starts again as one when all are gone
};

struct Placement {  // where a member is or is to be
  wire::MachineId machine_id;
  std::string zone;
  bool operator==(const Placement&) const = default;
};

// What the caller is to do, in this order.
struct Action {
  enum class Kind {
    stop,  // this member
    keep,  // room for one member of the job on this machine is for this replica alone
    drop,  // no more
  };
  Kind kind = Kind::stop;
  ReplicaId gang_id;
  std::uint32_t task_index = 0;  // of `stop`
  wire::MachineId machine_id;    // of `keep` and `drop`
  bool operator==(const Action&) const = default;
};

// A replica that is to be placed: all of these members at once, or none.
struct PlacementRequest {
  ReplicaId id;
  std::vector<std::uint32_t> tasks;  // that are on no machine
  std::vector<Placement> reserved;   // room that is kept for it
  std::set<wire::MachineId> peers;   // machines that its other members are on
  std::string zone;                  // that its other members are in; empty if there are none
  std::set<wire::MachineId> avoid;   // machines that a member did not come to run on
};

// A whole replica that is to go elsewhere, with the members that may not stay where they are.
struct Move {
  ReplicaId id;
  std::vector<std::uint32_t> leaving_tasks;
  std::vector<Placement> staying;  // on machines of their own, in one zone
};

class GangTracker {
 public:
  struct Settings {
    double wait_s = 45;    // a replica that is not whole in this time is stopped (beside its image's fetch)
    double peer_s = 5;     // members of one that is stopped are told again within this time
    double again_s = 45;   // it is not moved again within this time
    double moving = 0.25;  // part of a job's replicas that may be on the move at a time, at least one
    double longest_hold = 8;  // times `wait_s`: room is kept for one that waits, longer each time, up to this
  };

  explicit GangTracker(Settings settings) : settings_(settings) {}
  void clear();

  // A job whose tasks make replicas of `span` members; `fetch_s` is what its image takes at most.
  void add_job(const wire::JobId& job, std::uint32_t members, std::uint32_t span, double fetch_s);
  void remove_job(const wire::JobId& job);
  bool has_work() const { return !jobs_.empty() || !actions_.empty(); }
  bool has_job(const wire::JobId& job) const { return jobs_.contains(job); }
  std::uint32_t span(const wire::JobId& job) const;  // 1 if it is not followed
  // Members that make no replica: they stay queued.
  std::uint32_t unusable_tasks(const wire::JobId& job) const;

  // Events.
  // Found on a machine, from the time of an earlier leader; `running` or still on its way.
  void on_task_found(const wire::TaskId& task_id, const Placement& spot, double now);
  void on_task_running(const wire::TaskId& task_id, double now);
  void on_task_ended(const wire::TaskId& task_id, double now);
  // It will end, or is taken for lost, or stops by itself: its peers need not go on.
  void on_task_failing(const wire::TaskId& task_id, double now);
  // Its machine is to be left; `taken`: the cloud takes it, the others of its job may go at the same time.
  void request_move(const wire::TaskId& task_id, bool taken, double now);
  void cancel_move_request(const wire::TaskId& task_id);
  // All members of these were started: `spots` in the order of `want.members`.
  void started(const PlacementRequest& want, const std::vector<Placement>& spots, double now);
  // Places for all members, in the order of their numbers, are to be kept and the replica moved there.
  void moving(const ReplicaId& id, const std::vector<Placement>& spots, double now);
  // No place for all was found: `partial` is kept for it if it is its turn. Says whether it is.
  bool reserve_partial(const ReplicaId& id, const std::vector<Placement>& partial, double now);
  // Stops all of it: for the room, or since it may not go on.
  void evict(const ReplicaId& id, double now);

  // What time brings; `settled` says whether all machines that may hold a job's members are heard.
  template <class Settled>
  void advance(double now, const Settled& settled) {
    look(now);
    for (const auto& id : std::set<ReplicaId>(halves_))
      if (settled(id.first)) judge(id, now);
  }
  std::vector<Action> take() { return std::exchange(actions_, {}); }

  // Up to `most` replicas of a job with members to place, those that lack least first.
  std::vector<PlacementRequest> placement_requests(const wire::JobId& job, std::size_t most,
                                                   double now) const;
  // Whole replicas that may be moved now.
  std::vector<Move> allowed_moves(double now) const;

  // Whether a whole replica of the job is to go elsewhere.
  bool leaving(const wire::JobId& job) const;
  std::optional<Phase> phase(const ReplicaId& id) const;
  std::size_t running_gangs(const wire::JobId& job) const;
  // The replica that room is kept for although it lacks some.
  const std::optional<ReplicaId>& holder() const { return holder_; }

 private:
  enum class State : std::uint8_t { absent, sent, running };
  struct Task {
    State state = State::absent;
    Placement placement;
    bool leave = false;
    bool taken = false;
  };
  struct Replica {
    Phase phase = Phase::waiting;
    std::vector<Task> tasks;
    double since = 0;      // when its phase began
    double deadline = -1;  // of its start; below 0: not judged yet
    double moved_at = -1e18;
    std::vector<Placement> reserved;
    double reserved_until = 0;
    double hold_s = 0;  // that it held last, in vain
    bool on_move = false;
    double stopped_at = 0;
    double not_before = -1e18;  // it made room for another: it does not take it back at once
    std::set<wire::MachineId> avoid;
  };
  struct Job {
    std::uint32_t span = 1;
    std::uint32_t unusable_tasks = 0;
    double image_pull_s = 0;
    std::vector<Replica> replicas;
    std::set<std::uint32_t> open;  // with members to place
  };

  Replica* find(const ReplicaId& id);
  const Replica* find(const ReplicaId& id) const;
  // The replica of a member, and the member in it.
  std::pair<ReplicaId, std::uint32_t> place_of(const wire::TaskId& task_id) const;
  void enter(const ReplicaId& id, Replica& replica, Phase phase, double now);
  void stop(const ReplicaId& id, Replica& replica, bool keep_room, double now);
  void order_stops(const ReplicaId& id, Replica& replica, double now);
  void settle(const ReplicaId& id, Replica& replica, double now);
  void judge(const ReplicaId& id, double now);
  void look(double now);
  void keep(const ReplicaId& id, Replica& replica, std::vector<Placement> spots);
  void note(const ReplicaId& id, const Replica& replica);
  void leave_hold(const ReplicaId& id, double now);
  static bool split(const Replica& replica);

  Settings settings_;
  std::map<wire::JobId, Job> jobs_;
  std::set<ReplicaId> halves_;  // starting
  std::set<ReplicaId> stopping_;
  std::set<ReplicaId> keeping_;  // with room kept
  std::set<ReplicaId> leavers_;  // with a member that must leave, or split
  std::optional<ReplicaId> holder_;
  std::optional<ReplicaId> held_last_;
  double held_until_ = -1e18;
  std::vector<Action> actions_;
};

}  // namespace bankhill::gang
