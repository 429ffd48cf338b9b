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
struct Rented {
  enum class Kind { hosts, no_capacity, trouble } kind = Kind::trouble;
  std::vector<wire::HostId> hosts;
};

constexpr std::size_t kMaxRelease = 100;
constexpr std::uint32_t kMaxRental = 50;
constexpr std::size_t kPage = 500;    // hosts of one page of the list
constexpr double kLeastChargeS = 60;  // the protocol: a machine that is terminated costs at least this

// Messages.
struct GetCatalogue {
  std::function<void(std::optional<std::vector<wire::Flavor>>)> done;
};
struct Rent {
  std::string name;
  wire::RentalRecord rental;
  std::function<void(Rented)> done;
};
struct Release {
  std::vector<wire::HostId> hosts;
  std::function<void(bool gone)> done;
};
struct ListHosts {
  std::function<void(std::optional<std::vector<wire::ListedHost>>)> done;
};

// Sends requests to the cloud within its limit.
class Cloud : public runtime::Actor<Cloud, GetCatalogue, Rent, Release, ListHosts> {
 public:
  Cloud(runtime::Loop& loop, net::Client& client, runtime::Log log, std::string address, double rps);

  void on(GetCatalogue& message);
  void on(Rent& message);
  void on(Release& message);
  void on(ListHosts& message);

 private:
  bool allowed(double reserve);
  Rented read_rented(const net::Response& response);
  void list_page(std::string after, std::vector<wire::ListedHost> so_far,
                 std::function<void(std::optional<std::vector<wire::ListedHost>>)> done);

  net::Client& client_;
  runtime::Log log_;
  std::string address_;
  double rps_;
  net::RateLimit requests_;
  runtime::Timer page_timer_;
};

}  // namespace bankhill::cloud
