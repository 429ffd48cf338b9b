// The fleet: machines indexed by pool, room and image, with running sums, so that a task, a heartbeat or a
// release costs about the logarithm of the fleet. Pure: no input, output or clocks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "model/job.hpp"
#include "model/machine.hpp"

namespace bankhill::model {

// Machines of one machine type, zone and kind.
struct Pool {
  std::string machine_type;
  std::string zone;
  bool preemptible = false;
  auto operator<=>(const Pool&) const = default;
};

// A machine with room, ordered by the cores that are free.
struct Slot {
  double cores = 0;
  std::uint64_t number = 0;
  Machine* machine = nullptr;
  bool operator<(const Slot& other) const {
    return cores != other.cores ? cores < other.cores : number < other.number;
  }
};

struct PoolState {
  FleetTotals totals;
  wire::Resources capacity;  // of one machine
  std::set<Slot> free_slots;
  std::map<std::string, std::set<Slot>> with_image;
};

class Fleet {
 public:
  using Machines = std::map<wire::MachineId, Machine>;

  Machines::iterator begin() { return machines_.begin(); }
  Machines::iterator end() { return machines_.end(); }
  std::size_t size() const { return machines_.size(); }
  Machine* find(const wire::MachineId& machine_id);
  const Machine* peek(const wire::MachineId& machine_id) const;
  // The machine, made if it is not there yet.
  std::pair<Machine*, bool> add(const wire::MachineId& machine_id);
  void erase(const wire::MachineId& machine_id);
  void clear();
  // To be called after any change to a machine: brings the indexes and sums up to date.
  void refresh(Machine& machine);
  void add_image(Machine& machine, const std::string& image);

  // Calls for each of the next `count` machines after `cursor`, going round; moves the cursor.
  void visit_after(wire::MachineId& cursor, std::size_t count, const std::function<void(Machine&)>& call);
  // The same for a share of the fleet.
  void visit(double share, const std::function<void(Machine&)>& call);

  const std::map<Pool, PoolState>& pools() const { return pools_; }
  const FleetTotals& total() const { return total_; }
  FleetTotals zone_totals(const std::string& zone) const;

  // Machines that may take a task of a job, best first: `fetch_s` says how long a pool's machines take to
  // fetch the image, `suits` has the last word. `skipped_any` tells whether a machine with room was passed
  // over.
  struct MachineQuery {
    const wire::JobSpec& spec;
    bool preemptible = false;
    bool small_first = false;  // of equals, the smaller machine
    std::function<double(const Pool&)> image_pull_s;
    std::function<double(const Pool&)> zone_penalty_s;  // seconds that being in another pool is worth
    std::function<bool(const Machine&)> suits;
    bool skipped_any = false;
  };
  Machine* find_best(MachineQuery& choice);

  // Machines and pools looked at so far, to show that work per task does not grow with the fleet.
  std::uint64_t steps() const { return steps_; }

 private:
  void unlist(Machine& machine);

  Machines machines_;
  std::map<Pool, PoolState> pools_;
  FleetTotals total_;
  std::uint64_t next_number_ = 1;
  wire::MachineId cursor_;  // visited last
  std::uint64_t steps_ = 0;
};

// Whether the job may have tasks in this pool (machine type, zone, kind).
bool allows(const wire::JobSpec& spec, const Pool& pool);

}  // namespace bankhill::model
