#include "cloud/cloud.hpp"

#include <utility>

namespace bankhill::cloud {

using net::Method;
using net::Response;
using wire::Json;

namespace {
// Time after which a request without a response counts as failed. Rentals and terminations are safe to
// repeat.
constexpr double kResponseTimeoutS = 3.0;
// Share of one second's requests that listing machines leaves to rentals and terminations.
constexpr double kReservedRequestShare = 0.5;
}  // namespace

Cloud::Cloud(runtime::Loop& loop, net::Client& client, runtime::Log log, std::string address,
             double requests_per_s)
    // Only the leader calls the cloud. The rate stays 20 % below the limit, since the previous leader may
    // have sent requests shortly before.
    : Actor(loop),
      client_(client),
      log_(std::move(log)),
      address_(std::move(address)),
      requests_per_s_(requests_per_s),
      request_limit_(requests_per_s * 0.8, requests_per_s) {}

bool Cloud::try_acquire_request(double reserve) { return request_limit_.take(loop().now(), 1, reserve); }

void Cloud::on(GetCatalogue& message) {
  if (!try_acquire_request(0)) return message.done(std::nullopt);
  client_.send(address_, {Method::get, "/flavors", ""}, kResponseTimeoutS,
               guard([this, done = std::move(message.done)](const Response& response) {
                 if (response.status != 200) return done(std::nullopt);
                 try {
                   done(wire::parse_machine_types(wire::parse_object(response.body)));
                 } catch (const std::exception& error) {
                   log_->error("cloud: catalogue cannot be parsed: {}", error.what());
                   done(std::nullopt);
                 }
               }));
}

void Cloud::on(Rent& message) {
  if (!try_acquire_request(0)) return message.done({});
  const Json body{{"rental", message.name},
                  {"flavor", message.rental.machine_type},
                  {"rack_room", message.rental.zone},
                  {"reclaimable", message.rental.preemptible},
                  {"count", message.rental.count}};
  client_.send(address_, {Method::post, "/machines", body.dump()}, kResponseTimeoutS,
               guard([this, done = std::move(message.done)](const Response& response) {
                 done(parse_rental_response(response));
               }));
}

RentalResult Cloud::parse_rental_response(const Response& response) {
  RentalResult result;
  const Json body = Json::parse(response.body, nullptr, false);
  if (response.status == 200 && body.is_object() && body.contains("hosts")) {
    result.status = RentalResult::Status::granted;
    for (const auto& machine_id : body["hosts"]) result.machines.push_back({machine_id.get<std::string>()});
  } else if (response.status == 503 && body.is_object() && body.value("error", "") == "no capacity") {
    result.status = RentalResult::Status::no_capacity;
  } else if (response.status == 400) {
    log_->error("cloud: rental refused as malformed: {}", response.body);
  }
  return result;
}

void Cloud::on(Terminate& message) {
  if (!try_acquire_request(0)) return message.done(false);
  Json hosts = Json::array();
  for (const auto& machine_id : message.machines) hosts.push_back(machine_id.value);
  client_.send(address_, {Method::post, "/machines/release", Json{{"hosts", std::move(hosts)}}.dump()},
               kResponseTimeoutS, guard([done = std::move(message.done)](const Response& response) {
                 done(response.status == 200);
               }));
}

void Cloud::on(ListMachines& message) { list_page("", {}, std::move(message.done)); }

void Cloud::list_page(std::string after_id, std::vector<wire::ListedMachine> listed,
                      std::function<void(std::optional<std::vector<wire::ListedMachine>>)> done) {
  if (!try_acquire_request(kReservedRequestShare * requests_per_s_)) {
    // Rentals and terminations have priority. The page is retried later, so that a list of many pages is not
    // started again from the first page.
    page_timer_ = loop().after(1 / requests_per_s_,
                               guard([this, after_id = std::move(after_id), listed = std::move(listed),
                                      done = std::move(done)]() mutable {
                                 list_page(std::move(after_id), std::move(listed), std::move(done));
                               }));
    return;
  }
  std::string path = "/machines?most=" + std::to_string(kListPageSize);
  if (!after_id.empty()) path += "&after=" + after_id;
  client_.send(
      address_, {Method::get, std::move(path), ""}, kResponseTimeoutS,
      guard([this, listed = std::move(listed), done = std::move(done)](const Response& response) mutable {
        if (response.status != 200) return done(std::nullopt);
        try {
          auto page = wire::parse_machine_page(wire::parse_object(response.body));
          for (auto& machine : page.machines) listed.push_back(std::move(machine));
          if (!page.has_next || page.machines.empty()) return done(std::move(listed));
          auto last_id = listed.back().id.value;
          list_page(std::move(last_id), std::move(listed), std::move(done));
        } catch (const std::exception& error) {
          log_->error("cloud: machine list cannot be parsed: {}", error.what());
          done(std::nullopt);
        }
      }));
}

}  // namespace bankhill::cloud
