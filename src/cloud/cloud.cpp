#include "cloud/cloud.hpp"

#include <utility>

namespace bankhill::cloud {

using net::Method;
using net::Response;
using wire::Json;

namespace {
// No answer for this long: unanswered. Rentals and releases are safe to repeat.
constexpr double kAnswerS = 3.0;
// Lists and the catalogue leave this part of a second's requests to rentals and releases.
constexpr double kReserve = 0.5;
}  // namespace

Cloud::Cloud(runtime::Loop& loop, net::Client& client, runtime::Log log, std::string address, double rps)
    // Only the leader calls the cloud; the margin is for what its predecessor used just before.
    : Actor(loop),
      client_(client),
      log_(std::move(log)),
      address_(std::move(address)),
      rps_(rps),
      requests_(rps * 0.8, rps) {}

bool Cloud::allowed(double reserve) { return requests_.take(loop().now(), 1, reserve); }

void Cloud::on(GetCatalogue& message) {
  if (!allowed(0)) return message.done(std::nullopt);
  client_.send(address_, {Method::get, "/flavors", ""}, kAnswerS,
               guard([this, done = std::move(message.done)](const Response& response) {
                 if (response.status != 200) return done(std::nullopt);
                 try {
                   done(wire::parse_machine_types(wire::parse_object(response.body)));
                 } catch (const std::exception& error) {
                   log_->error("cloud: catalogue cannot be read: {}", error.what());
                   done(std::nullopt);
                 }
               }));
}

void Cloud::on(Rent& message) {
  if (!allowed(0)) return message.done({});
  const Json body{{"rental", message.name},
                  {"flavor", message.rental.machine_type},
                  {"rack_room", message.rental.zone},
                  {"reclaimable", message.rental.preemptible},
                  {"count", message.rental.count}};
  client_.send(address_, {Method::post, "/machines", body.dump()}, kAnswerS,
               guard([this, done = std::move(message.done)](const Response& response) {
                 done(read_rented(response));
               }));
}

RentalResult Cloud::read_rented(const Response& response) {
  RentalResult rented;
  const Json answer = Json::parse(response.body, nullptr, false);
  if (response.status == 200 && answer.is_object() && answer.contains("hosts")) {
    rented.status = RentalResult::Status::granted;
    for (const auto& host : answer["hosts"]) rented.machines.push_back({host.get<std::string>()});
  } else if (response.status == 503 && answer.is_object() && answer.value("error", "") == "no capacity") {
    rented.status = RentalResult::Status::no_capacity;
  } else if (response.status == 400) {
    log_->error("cloud: rental refused as malformed: {}", response.body);
  }
  return rented;
}

void Cloud::on(Terminate& message) {
  if (!allowed(0)) return message.done(false);
  Json hosts = Json::array();
  for (const auto& host : message.machines) hosts.push_back(host.value);
  client_.send(
      address_, {Method::post, "/machines/release", Json{{"hosts", std::move(hosts)}}.dump()}, kAnswerS,
      guard([done = std::move(message.done)](const Response& response) { done(response.status == 200); }));
}

void Cloud::on(ListMachines& message) { list_page("", {}, std::move(message.done)); }

void Cloud::list_page(std::string after, std::vector<wire::ListedMachine> so_far,
                      std::function<void(std::optional<std::vector<wire::ListedMachine>>)> done) {
  if (!allowed(kReserve * rps_)) {
    // Rentals and releases go first; a list of many pages is not begun anew for that.
    page_timer_ = loop().after(1 / rps_, guard([this, after = std::move(after), so_far = std::move(so_far),
                                                done = std::move(done)]() mutable {
                                 list_page(std::move(after), std::move(so_far), std::move(done));
                               }));
    return;
  }
  std::string path = "/machines?most=" + std::to_string(kPage);
  if (!after.empty()) path += "&after=" + after;
  client_.send(
      address_, {Method::get, std::move(path), ""}, kAnswerS,
      guard([this, so_far = std::move(so_far), done = std::move(done)](const Response& response) mutable {
        if (response.status != 200) return done(std::nullopt);
        try {
          auto page = wire::parse_machine_page(wire::parse_object(response.body));
          for (auto& machine_id : page.machines) so_far.push_back(std::move(machine_id));
          if (!page.has_next || page.machines.empty()) return done(std::move(so_far));
          auto last = so_far.back().id.value;
          list_page(std::move(last), std::move(so_far), std::move(done));
        } catch (const std::exception& error) {
          log_->error("cloud: list cannot be read: {}", error.what());
          done(std::nullopt);
        }
      }));
}

}  // namespace bankhill::cloud
