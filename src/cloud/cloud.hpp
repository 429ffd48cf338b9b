// Client of the cloud's API: reads the catalogue of machine types, rents, terminates and lists machines.
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

// Outcome of a rental request. `failed`: the request was not sent or got no usable response; it may be
// repeated under the same name.
struct RentalResult {
  enum class Status { granted, no_capacity, failed } status = Status::failed;
  std::vector<wire::MachineId> machines;
};

// Maximum number of machines in one termination request.
constexpr std::size_t kMaxMachinesPerTermination = 100;
constexpr std::uint32_t kMaxMachinesPerRental = 50;
// Number of machines on one page of the cloud's machine list.
constexpr std::size_t kListPageSize = 500;
// Minimum billing period in seconds: by the cloud's protocol a terminated machine is charged for at least
// this long.
constexpr double kMinBillingS = 60;

// Messages to the Cloud actor. `done` receives the result: no value, false or `failed` if the request failed.
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
  std::function<void(bool succeeded)> done;
};
struct ListMachines {
  std::function<void(std::optional<std::vector<wire::ListedMachine>>)> done;
};

// Actor that sends requests to the cloud and keeps to the cloud's rate limit. The leader sends it messages.
class Cloud : public runtime::Actor<Cloud, GetCatalogue, Rent, Terminate, ListMachines> {
 public:
  Cloud(runtime::Loop& loop, net::Client& client, runtime::Log log, std::string address,
        double requests_per_s);

  void on(GetCatalogue& message);
  void on(Rent& message);
  void on(Terminate& message);
  void on(ListMachines& message);

 private:
  // Takes one request from the rate limit if at least `reserve` requests remain after it; returns whether
  // it did.
  bool try_acquire_request(double reserve);
  RentalResult parse_rental_response(const net::Response& response);
  // Requests the page that follows the machine `after_id`, appends it to `listed` and goes on until the last
  // page.
  void list_page(std::string after_id, std::vector<wire::ListedMachine> listed,
                 std::function<void(std::optional<std::vector<wire::ListedMachine>>)> done);

  net::Client& client_;
  runtime::Log log_;
  std::string address_;
  double requests_per_s_;
  net::RateLimit request_limit_;
  runtime::Timer page_timer_;
};

}  // namespace bankhill::cloud
