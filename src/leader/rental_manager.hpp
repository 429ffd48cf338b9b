// Rents machines from the cloud and terminates them. A rental is recorded in the state service before it is
// requested, so that a new leader repeats it under the same name and no rented machine is lost
// (docs/SAFETY.md, invariant 3). What is to be rented or terminated is decided elsewhere.
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

// Remembers the machines that were terminated lately: copies of their heartbeats come for some time after
// them, and the cloud's list may still name them.
class TerminatedMachines {
 public:
  explicit TerminatedMachines(double retention_s) : retention_s_(retention_s) {}

  void add(const wire::MachineId& machine_id, double now);
  bool contains(const wire::MachineId& machine_id) const { return machine_ids_.contains(machine_id); }

 private:
  struct Termination {
    double at = 0;  // steady clock
    wire::MachineId machine_id;
  };
  double retention_s_;
  std::set<wire::MachineId> machine_ids_;
  std::deque<Termination> by_time_;  // rising
};

class RentalManager {
 public:
  struct Settings {
    double control_interval_s = 3;
    double round_s = 15;
    double lease_s = 40;
    double list_lag_s = 5;
    std::size_t machine_limit = 100'000;  // that all controllers together can take the heartbeats of
    std::string main_zone;                // that has the most controllers; empty if no zone has
  };

  // What it needs of the leader.
  struct Ports {
    std::function<bool()> is_active_leader;  // invariant 2
    std::function<void(cloud::Cloud::Message)> send_to_cloud;
    // The type of that name in the catalogue; nothing if it is not there.
    std::function<const wire::MachineType*(const std::string& name)> machine_type;

    // Record a rental: one to be requested (`stored` is called once that is committed), one whose machines
    // are known, and remove the record of one that is over.
    std::function<void(const std::string& name, const wire::RentalRecord&, std::function<void()> stored)>
        store_request;
    std::function<void(const std::string& name, const wire::RentalRecord&)> store_machines;
    std::function<void(const std::string& name)> remove_record;

    // A machine is about to be terminated; it is gone.
    std::function<void(const model::Machine&)> on_terminating;
    std::function<void(const wire::MachineId&)> on_terminated;

    std::function<void()> plan_soon;
    std::function<void(const std::string& event)> count_event;  // for the summary in the log
  };

  RentalManager(runtime::Loop& loop, runtime::Log log, Settings settings, model::Fleet& fleet, Ports ports);

  // A leadership term begins or ends. What earlier leaders recorded is adopted after it began.
  void begin_term(std::uint64_t term);
  void end_term();
  void adopt(const std::string& name, wire::RentalRecord record);

  // Records and requests up to `count` machines of a type, in one zone or, if `zone` is empty, evenly over
  // those that have some. Returns how many it requests.
  double request(const wire::MachineType& machine_type, bool preemptible, double count,
                 const std::string& zone = "");

  // Returns a machine to the cloud.
  void terminate(model::Machine& machine, const std::string& reason);
  // The same for one that was terminated before and has turned out to be there still.
  void terminate_again(const wire::MachineId& machine_id) { to_terminate_.insert(machine_id); }
  bool recently_terminated(const wire::MachineId& machine_id) const {
    return terminated_.contains(machine_id);
  }

  // Reconciles rentals with the fleet, and the fleet with the cloud's list, whenever that is due.
  void reconcile_if_due();
  void reconcile_rentals();
  // Sends a batch of terminations that is not on its way yet; also sends again what has failed.
  void send_terminations();

  // Calls for each rental whose machines are not known yet.
  void visit_requested(const std::function<void(const wire::RentalRecord&)>& call) const;
  bool has_pending_rental() const;

  std::size_t rental_count() const { return rentals_.size(); }
  bool has_rental(const std::string& name) const { return rentals_.contains(name); }
  // With which the names of this term's rentals begin.
  std::string name_prefix() const;

 private:
  struct Rental {
    wire::RentalRecord record;
    bool request_sent = false;  // or is being recorded
    double retry_at = 0;        // steady clock
  };

  template <class Work>
  auto while_alive(Work work);
  template <class Work>
  auto in_this_term(Work work);

  double room_for_machines();
  std::vector<std::string> zones_to_ask(const wire::MachineType& machine_type, bool preemptible,
                                        const std::string& zone) const;
  double request_in_zone(const model::Pool& pool, double count);
  void record_request(const model::Pool& pool, std::uint32_t count);
  void send_request(const std::string& name);
  void handle_rented(const std::string& name, const cloud::RentalResult& result);
  bool add_machines(const Rental& rental, bool made_in_this_term);
  void close(const std::string& name);

  void handle_terminated(const wire::MachineId& machine_id);

  void request_list();
  void reconcile_listed(const wire::ListedMachine& listed);
  void set_resources(model::Machine& machine) const;

  runtime::Loop& loop_;
  runtime::Log log_;
  Settings settings_;
  model::Fleet& fleet_;
  Ports ports_;

  std::optional<std::uint64_t> term_;  // nothing while another leads
  std::uint64_t last_term_ = 0;
  std::uint64_t requests_made_ = 0;  // in this term
  std::map<std::string, Rental> rentals_;
  model::CapacityBackoff capacity_backoff_;
  bool at_machine_limit_ = false;

  std::set<wire::MachineId> to_terminate_;
  TerminatedMachines terminated_;
  bool termination_sent_ = false;

  bool list_requested_ = false;
  double next_list_ = 0;
  double next_reconciliation_ = 0;

  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace bankhill::leader
