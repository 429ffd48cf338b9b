// Client of the cloud: catalogue, rentals, releases, list.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http.hpp"
#include "net/rate_limit.hpp"
#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "wire/records.hpp"

namespace bankhill::cloud {

// What a rental request came to.
struct RentalResult {
  enum class Status { granted, no_capacity, failed } status = Status::failed;
  std::vector<wire::MachineId> machines;
};

constexpr std::size_t kMaxTerminations = 100;
constexpr std::uint32_t kMaxMachinesPerRental = 50;
constexpr std::size_t kPage = 500;   // machines of one page of the list
constexpr double kMinBillingS = 60;  // the protocol: a machine that is terminated costs at least this

// Messages.
struct GetCatalogue {
  std::function<void(std::optional<std::vector<wire::MachineType>>)> done;
};
struct Rent {
  std::string name;
  wire::RentalRecord rental;
  std::function<void(RentalResult)> done;
};
struct Terminate {
  std::vector<wire::MachineId> machines;
  std::function<void(bool gone)> done;
};
struct ListMachines {
  std::function<void(std::optional<std::vector<wire::ListedMachine>>)> done;
};

// Sends requests to the cloud within its limit.
class Cloud : public runtime::Actor<Cloud, GetCatalogue, Rent, Terminate, ListMachines> {
 public:
  Cloud(runtime::Loop& loop, net::Client& client, runtime::Log log, std::string address, double rps);

  void on(GetCatalogue& message);
  void on(Rent& message);
  void on(Terminate& message);
  void on(ListMachines& message);

 private:
  bool allowed(double reserve);
  RentalResult read_rented(const net::Response& response);
  void list_page(std::string after, std::vector<wire::ListedMachine> so_far,
                 std::function<void(std::optional<std::vector<wire::ListedMachine>>)> done);

  net::Client& client_;
  runtime::Log log_;
  std::string address_;
  double rps_;
  net::RateLimit requests_;
  runtime::Timer page_timer_;
};

}  // namespace bankhill::cloud
