// The stand-in of the cloud: it rents and takes back the site's machines, lists them, and runs out of them.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "net/http.hpp"
#include "sim/event_queue.hpp"
#include "sim/machine.hpp"
#include "wire/messages.hpp"

namespace bankhill::sim {

class Cloud {
 public:
  // What the site does when something happens at the cloud.
  struct Observer {
    // Machines are asked for under this name, perhaps once more.
    std::function<void(const std::string& rental)> rental_requested;
    std::function<void(SimMachine& machine)> machine_added;
    // A machine has booted; it may be gone meanwhile.
    std::function<void(const std::string& machine_id)> machine_booted;
    // Where a machine is reached.
    std::function<std::string(const std::string& machine_id)> address_of;
  };

  Cloud(EventQueue& events, Observer observer) : events_(events), observer_(std::move(observer)) {}

  net::Response handle(const net::Request& request);
  SimMachine& add_machine(const std::string& machine_type, const std::string& zone, bool preemptible);
  void remove_machine(const std::string& machine_id);
  std::map<std::string, SimMachine>& machines() { return machines_; }
  const std::map<std::string, SimMachine>& machines() const { return machines_; }
  // Machines that are gone, and since when.
  const std::map<std::string, double>& removed() const { return removed_; }

  // Faults that last until they are over or `heal` is called.

  void fail(double seconds) { down_until_ = events_.now() + seconds; }
  void run_out_of_preemptible(double seconds) { no_preemptible_until_ = events_.now() + seconds; }
  void run_out(const std::string& zone, double seconds) { zone_out_until_[zone] = events_.now() + seconds; }
  void heal();
  bool is_down() const { return events_.now() < down_until_; }
  bool lacks_capacity() const;

  // What it has and how it behaves; tests change it.

  int machine_limit = 14;
  bool offers_large = true;     // machines, beside the small ones
  double quick_boot_share = 0;  // of what is rented, up within two seconds
  // The list is late by up to twice its lag, may be older than the one before it, and shows what is gone and
  // as booting what is up.
  bool lists_lag = false;

 private:
  net::Response rent(const wire::Json& request);
  int available(const wire::Json& request) const;
  void add_rented(const std::string& rental, const wire::Json& request);
  wire::Json list();
  wire::Json list_entry(const SimMachine& machine, double lag_s) const;

  EventQueue& events_;
  Observer observer_;
  std::map<std::string, SimMachine> machines_;
  std::map<std::string, std::vector<std::string>> rentals_;  // what each name was answered with
  int next_machine_number_ = 0;
  std::map<std::string, double> removed_;
  std::deque<std::pair<double, SimMachine>> lately_removed_;  // and when
  double down_until_ = 0;
  double no_preemptible_until_ = 0;
  std::map<std::string, double> zone_out_until_;
};

}  // namespace bankhill::sim
