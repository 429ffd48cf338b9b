// The rules that hold on every simulated day, whatever happens: the invariants and what the operators
// promise. They are checked against the state of the site's machines, users and state service after each
// step, and where something happens that a rule is about.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sim/machine.hpp"
#include "wire/messages.hpp"

namespace bankhill::sim {

class SimulatedCluster;
struct SimJob;

class RuleChecker {
 public:
  // Starts of a job's tasks after its user was told that it is cancelled.
  struct CancelledStarts {
    std::uint64_t all = 0;
    std::uint64_t ordered_after = 0;  // their order left its controller after that too
    // And nothing had kept that controller from knowing since: neither the state service nor the network.
    std::uint64_t knowable = 0;
    CancelledStarts& operator+=(const CancelledStarts& other);
  };

  explicit RuleChecker(SimulatedCluster& cluster) : world_(cluster) {}

  // What is broken: a rule's name, when, and what about, a line each.
  void violate(const std::string& rule, const std::string& what);
  std::vector<std::string>& broken() { return broken_; }
  const CancelledStarts& cancelled_starts() const { return cancelled_starts_; }

  // After the step of this number, from 1.
  void check_step(std::uint64_t step);
  // A transaction is about to take effect; `foreign`: no controller's.
  void check_commit(const wire::Json& transaction, bool foreign);
  void check_rental(const std::string& rental);
  // A machine starts a task that was ordered then, stops one, or forgets one that has ended.
  void check_start(const SimMachine& machine, const wire::TaskId& task, double ordered);
  void check_stop(const SimMachine& machine, const SimTask& state, const wire::TaskId& task);
  void check_forget(const SimMachine& machine, const wire::Command& command);
  // A machine accepts a start, or refuses it and lists it as exited.
  void check_accepted(SimMachine& machine, const wire::TaskId& task, wire::AttemptNumber attempt);
  // Between a controller and a machine a body, and a line of an answer, has at most 64 KiB.
  void check_body(const std::string& what, const std::string& body);
  // A controller has answered this report of a machine with 200; or the report is the answer to a command.
  void note_heard(const wire::Heartbeat& report, bool answered);
  // A controller's answer to a question about the job that was sent at `asked` names this phase.
  void check_told_phase(int node, const std::string& job, const std::string& phase, double asked,
                        const std::string& how);
  // A machine accepts a start.
  void note_room_used(const SimMachine& machine, const wire::TaskId& task);
  // See World::check_served.
  void check_served(double begin_within_s, double share);

  // What is checked, and how strictly; tests change it.

  double unowned_limit_s = 0;      // in which a machine that is there and hears is recorded; 0: not checked
  double half_limit_s = 0;         // in which a replica that is partly there is whole or gone; 0: not checked
  double room_used_within_s = 20;  // in which something begins where a task was stopped to make room
  bool unchecked_records = false;  // for starts that no controller ordered
  bool split_seen = false;         // split replicas, also where the leader knows no replicas
  bool moves_checked = false;      // replicas are stopped by nothing but moves: a part of a job's at a time

  // Counts.

  // Preemption: tasks stopped by command that nobody had cancelled; those among them that made room for the
  // same class twice in a row; and those after which nothing above them began on their machine in time.
  std::uint64_t made_room = 0;
  std::uint64_t made_room_again = 0;
  std::uint64_t made_room_in_vain = 0;
  double waited_most_s = 0;  // beside room, with all well: the most that was seen (rule `stranded`)

 private:
  using Replica = std::pair<std::string, std::uint32_t>;  // job and number
  struct Wait {                                           // of a job beside room
    double since = 0;
    std::uint32_t starts = 0;
  };
  struct HeardTask {  // that a leader knows to run
    wire::AttemptNumber attempt;
    bool believed = false;         // a leader surely believes it
    double since = 0;              // any leader has known
    std::uint64_t leadership = 0;  // in which it was heard of last
    double informed_until = 0;     // when a leader that had heard of it last led
  };
  struct HeardMachine {
    std::pair<std::uint64_t, std::uint64_t> newest;  // agent epoch and sequence number of the last report
    double at = 0;
    std::map<wire::TaskId, HeardTask> tasks;
  };
  struct RoomMade {
    std::string host;
    wire::TaskId member;
    double at = 0;
  };

  void count_cancelled_start(const SimJob& job, double ordered);
  void check_cancelled_tasks();

  // check_records.cpp
  void check_policy(const wire::Json& transaction);
  void check_cutoffs();
  void check_records();
  void check_forgotten();
  void check_owners();

  // check_tasks.cpp
  void check_replica_start(const SimMachine& machine, const wire::TaskId& task_id);
  void check_replica_stop(const wire::TaskId& task_id);
  void check_replicas();

  // check_phase.cpp
  void sample_phases();
  bool is_readable(const std::string& job) const;

  // check_service.cpp
  bool room_beside(const SimJob& job, const std::map<std::string, double>& team_cores) const;
  void check_stranded();
  void note_stop(const SimMachine& machine, const wire::TaskId& task_id);
  void check_room_made();

  SimulatedCluster& world_;
  std::vector<std::string> broken_;
  CancelledStarts cancelled_starts_;
  double troubled_at_ = 0;  // when something between users, controllers and the state service last was broken
  double step_troubled_at_ = 0;                           // the same, after each step
  std::map<std::string, std::optional<double>> cutoffs_;  // of each job, as first committed
  std::set<std::string> rentals_recorded_;                // names whose records were committed at some time
  double next_owner_check_ = 0;
  std::map<Replica, double> half_since_;
  std::set<Replica> on_move_;
  double next_replica_check_ = 0;
  std::map<std::string, HeardMachine> heard_;  // by machine
  std::map<std::string, double>
      active_at_;  // by job: when a task of it was last on a machine or thought to be
  int leader_ = -1;
  std::uint64_t leadership_ = 0;  // counts changes of who leads
  double leadership_began_ = 0;
  double next_phase_sample_ = 0;
  std::set<std::string> failed_machines_;  // dead or sick
  double next_stranded_check_ = 0;
  std::map<std::string, Wait> beside_room_;
  std::deque<RoomMade> room_made_;                     // and not used yet
  std::map<wire::TaskId, std::string> made_room_for_;  // class and rank, the last time
};

// The broken rules, a line each.
std::string listing(const std::vector<std::string>& broken);

}  // namespace bankhill::sim
