// Rents machines from the cloud and terminates them. A rental is recorded in the state service before it is
// requested, so that a new leader repeats it under the same name and no rented machine is lost
// (docs/SAFETY.md, invariant 3). The autoscaler, the machine monitor and the leader decide which machines to
// rent and to terminate.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cloud/cloud.hpp"
#include "model/capacity_backoff.hpp"
#include "model/fleet.hpp"
#include "runtime/log.hpp"
#include "runtime/loop.hpp"
#include "wire/records.hpp"

namespace bankhill::leader {

// Keeps the ids of recently terminated machines: copies of their heartbeats arrive for some time after the
// termination, and the cloud's machine list may still contain them. Owned by RentalManager.
class TerminatedMachines {
 public:
  explicit TerminatedMachines(double retention_s) : retention_s_(retention_s) {}

  void add(const wire::MachineId& machine_id, double now);
  bool contains(const wire::MachineId& machine_id) const { return machine_ids_.contains(machine_id); }

 private:
  struct Termination {
    double terminated_at = 0;  // steady clock, seconds
    wire::MachineId machine_id;
  };
  double retention_s_;
  std::set<wire::MachineId> machine_ids_;
  std::deque<Termination> by_time_;  // ordered by time of termination
};

// Owns the rentals in progress and the pending terminations. Owned by the leader and called by it and by the
// autoscaler.
class RentalManager {
 public:
  struct Settings {
    double control_interval_s = 3;
    // Unit of the pauses after the cloud had no capacity, in seconds.
    double round_s = 15;
    double lease_s = 40;
    // Maximum delay with which the cloud's machine list shows changes, in seconds.
    double list_lag_s = 5;
    // Maximum number of machines whose heartbeats all controllers together can receive.
    std::size_t machine_limit = 100'000;
    // The zone with the most controllers; empty if several zones have the most.
    std::string main_zone;
  };

  // Callbacks into the leader.
  struct Ports {
    // Whether this controller holds a valid lease and may act as leader (invariant 2).
    std::function<bool()> is_active_leader;
    std::function<void(cloud::Cloud::Message)> send_to_cloud;
    // The machine type of this name in the catalogue; null if there is none.
    std::function<const wire::MachineType*(const std::string& name)> machine_type;

    // Writes the record of a rental that is about to be requested; `stored` is called once it is committed.
    std::function<void(const std::string& name, const wire::RentalRecord&, std::function<void()> stored)>
        store_request;
    // Writes the record of a rental whose machines are known.
    std::function<void(const std::string& name, const wire::RentalRecord&)> store_machines;
    // Removes the record of a closed rental.
    std::function<void(const std::string& name)> remove_record;

    // Called before the termination of a machine is requested.
    std::function<void(const model::Machine&)> on_terminating;
    // Called when the cloud has confirmed the termination.
    std::function<void(const wire::MachineId&)> on_terminated;

    std::function<void()> schedule_planning;
    // Counts an event for the summary in the log.
    std::function<void(const std::string& event)> count_event;
  };

  RentalManager(runtime::Loop& loop, runtime::Log log, Settings settings, model::Fleet& fleet, Ports ports);

  // Begins or ends a leadership term. After begin_term() the leader passes the rentals recorded by earlier
  // leaders to adopt().
  void begin_term(std::uint64_t term);
  void end_term();
  void adopt(const std::string& name, wire::RentalRecord record);

  // Records and requests up to `count` machines of a type, in one zone or, if `zone` is empty, in the main
  // zone (on-demand machines) or evenly over the zones that have capacity. Returns the number of machines
  // requested.
  double request(const wire::MachineType& machine_type, bool preemptible, double count,
                 const std::string& zone = "");
  // The same in one of these zones: the main zone if it is among them, otherwise the first that may have
  // capacity. No value: as in request() without a zone.
  double request_in_one_zone(const wire::MachineType& machine_type, bool preemptible, double count,
                             const std::optional<std::vector<std::string>>& zones);

  // Terminates a machine and returns it to the cloud.
  void terminate(model::Machine& machine, const std::string& reason);
  // Terminates a machine again that was terminated before and turned out to be still running.
  void terminate_again(const wire::MachineId& machine_id) { pending_terminations_.insert(machine_id); }
  bool recently_terminated(const wire::MachineId& machine_id) const {
    return terminated_machines_.contains(machine_id);
  }

  // Reconciles rentals with the fleet, and the fleet with the cloud's machine list, if the interval of each
  // has passed.
  void reconcile_if_due();
  void reconcile_rentals();
  // Sends one batch of pending terminations unless a batch is in flight; failed terminations are sent again.
  void send_terminations();

  // Calls `visitor` for each pending rental, that is, each rental whose machines are not known yet.
  void visit_pending_rentals(const std::function<void(const wire::RentalRecord&)>& visitor) const;
  bool has_pending_rental() const;

  std::size_t rental_count() const { return rentals_.size(); }
  bool has_rental(const std::string& name) const { return rentals_.contains(name); }
  // Prefix of the names of this term's rentals.
  std::string name_prefix() const;

 private:
  struct Rental {
    wire::RentalRecord record;
    // Whether the request is being recorded, or was sent and has no response yet.
    bool request_in_progress = false;
    // Earliest time of the next attempt, steady clock, seconds.
    double retry_at = 0;
  };

  template <class Callback>
  auto while_alive(Callback callback);
  template <class Callback>
  auto in_this_term(Callback callback);

  double remaining_machine_count();
  std::vector<std::string> candidate_zones(const wire::MachineType& machine_type, bool preemptible,
                                           const std::string& zone) const;
  double request_in_zone(const model::Pool& pool, double count);
  void record_request(const model::Pool& pool, std::uint32_t count);
  void send_request(const std::string& name);
  void handle_rental_result(const std::string& name, const cloud::RentalResult& result);
  bool add_machines(const Rental& rental, bool requested_in_this_term);
  void close_rental(const std::string& name);

  void handle_terminated(const wire::MachineId& machine_id);

  void request_list();
  void reconcile_listed(const wire::ListedMachine& listed);
  void set_capacity(model::Machine& machine) const;

  runtime::Loop& loop_;
  runtime::Log log_;
  Settings settings_;
  model::Fleet& fleet_;
  Ports ports_;

  std::optional<std::uint64_t> term_;  // no value while another controller leads
  std::uint64_t last_term_ = 0;
  // Number of rentals requested in this term; part of their names.
  std::uint64_t request_count_ = 0;
  std::map<std::string, Rental> rentals_;
  model::CapacityBackoff capacity_backoff_;
  bool at_machine_limit_ = false;

  std::set<wire::MachineId> pending_terminations_;
  TerminatedMachines terminated_machines_;
  bool termination_pending_ = false;

  bool list_pending_ = false;
  double next_list_at_ = 0;
  double next_reconciliation_at_ = 0;

  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace bankhill::leader
