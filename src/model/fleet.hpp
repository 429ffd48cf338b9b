// The fleet: machines indexed by pool, free cores and image, with running totals, so that placing a task,
// applying a heartbeat or removing a machine takes time logarithmic in the size of the fleet. Pure: no input,
// output or clocks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "model/job.hpp"
#include "model/machine.hpp"

namespace bankhill::model {

// Identifies the machines of one machine type, zone and kind (preemptible or on-demand).
struct Pool {
  std::string machine_type;
  std::string zone;
  bool preemptible = false;
  auto operator<=>(const Pool&) const = default;
};

// A machine with free cores; ordered by their number.
struct FreeSlot {
  double cores = 0;
  std::uint64_t number = 0;
  Machine* machine = nullptr;
  bool operator<(const FreeSlot& other) const {
    return cores != other.cores ? cores < other.cores : number < other.number;
  }
};

// The totals and indexes of one pool.
struct PoolState {
  FleetTotals totals;
  wire::Resources capacity;  // capacity of a single machine
  std::set<FreeSlot> free_slots;
  std::map<std::string, std::set<FreeSlot>> free_slots_by_image;
};

class Fleet {
 public:
  using Machines = std::map<wire::MachineId, Machine>;

  Machines::iterator begin() { return machines_.begin(); }
  Machines::iterator end() { return machines_.end(); }
  std::size_t size() const { return machines_.size(); }
  Machine* find(const wire::MachineId& machine_id);
  const Machine* peek(const wire::MachineId& machine_id) const;
  // Returns the machine and whether it was added by this call.
  std::pair<Machine*, bool> add(const wire::MachineId& machine_id);
  void erase(const wire::MachineId& machine_id);
  void clear();
  // Updates the indexes and totals; must be called after every change to a machine.
  void refresh(Machine& machine);
  void add_image(Machine& machine, const std::string& image);

  // Visits the next `count` machines after `cursor` in circular order and advances the cursor.
  void visit_after(wire::MachineId& cursor, std::size_t count, const std::function<void(Machine&)>& visitor);
  // Visits the next machines in circular order, as many as this share of the fleet.
  void visit(double share, const std::function<void(Machine&)>& visitor);

  const std::map<Pool, PoolState>& pools() const { return pools_; }
  const FleetTotals& total() const { return total_; }
  FleetTotals zone_totals(const std::string& zone) const;

  // Criteria for the machine to start a task of a job on, and the result of the search beside the machine.
  struct MachineQuery {
    const wire::JobSpec& spec;
    bool preemptible = false;
    bool prefer_small = false;  // among equals, prefers the machine type with fewer cores
    // Time that the machines of a pool take to pull the job's image, in seconds.
    std::function<double(const Pool&)> image_pull_s;
    // Penalty for the zone of a pool, in seconds of later completion.
    std::function<double(const Pool&)> zone_penalty_s;
    // Final check on a machine that has enough free resources.
    std::function<bool(const Machine&)> is_suitable;
    // Result: a machine with enough free cores was skipped as unsuitable, or not all of them were tried.
    bool skipped_any = false;
  };
  // Returns the machine on which the task would complete first, or nullptr.
  Machine* find_best(MachineQuery& query);

  // Number of machines and pools examined so far; shows that the work per task does not grow with the fleet.
  std::uint64_t steps() const { return steps_; }

 private:
  // Removes the machine from the indexes and totals.
  void remove_from_index(Machine& machine);

  Machines machines_;
  std::map<Pool, PoolState> pools_;
  FleetTotals total_;
  std::uint64_t next_number_ = 1;
  wire::MachineId cursor_;  // the machine that visit() reached last
  std::uint64_t steps_ = 0;
};

// Whether the job's constraints on machine type, zone and kind allow tasks in this pool.
bool allows(const wire::JobSpec& spec, const Pool& pool);

}  // namespace bankhill::model
