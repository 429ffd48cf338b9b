#include "workers/desk.hpp"

#include <utility>

namespace bankhill::workers {

using net::Response;
using wire::Json;

namespace {
constexpr double kRememberReports = 8;  // report intervals in which coming back means: could not reach it
constexpr double kRelayPaces = 0.8;
}  // namespace

Desk::Desk(runtime::Loop& loop, runtime::Log log, std::string node, double report_s, double pace_s,
           Ports ports)
    : Actor(loop),
      log_(std::move(log)),
      node_(std::move(node)),
      report_s_(report_s),
      pace_s_(pace_s),
      ports_(std::move(ports)) {}

void Desk::on(Changed& message) {
  for (const auto& change : *message.changes) {
    if (change.key != wire::kLeaderKey) continue;
    leader_ = change.data ? wire::parse_leader_record(*change.data).node : std::string();
    sent_.clear();
  }
}

void Desk::on(ReportCall& message) {
  wire::Report report;
  try {
    report = wire::parse_report(wire::parse_object(message.request.body));
  } catch (const wire::Malformed& error) {
    return message.reply({400, Json{{"error", error.what()}}.dump(), std::nullopt});
  }
  if (ports_.leading()) return ports_.take(std::move(report), std::move(message.reply), message.relayed);
  // No right to act for the controllers: never 200 from here.
  if (message.relayed || leader_.empty() || leader_ == node_) return message.reply({503, "{}", 1.0});
  redirect(report.host, message);
}

void Desk::redirect(const wire::HostId& host, ReportCall& message) {
  const double now = loop().now();
  auto& sent = sent_[host];
  const bool came_back = sent.controller == leader_ && now - sent.at < kRememberReports * report_s_;
  sent = {leader_, now};
  if (!came_back) return message.reply({421, Json{{"controller", leader_}}.dump(), std::nullopt});
  // It cannot reach the leader: pass its report on rather than send it round until its lease ends.
  log_->debug("worker {}: came back, passing its report on to {}", host.value, leader_);
  ports_.relay.tell(net::RelayCall{leader_, std::move(message.request), kRelayPaces * pace_s_,
                                   guard([this, host, reply = std::move(message.reply)](Response response) {
                                     if (response.status == 200) return reply(std::move(response));
                                     sent_.erase(host);
                                     reply({421, "{}", std::nullopt});
                                   })});
}

}  // namespace bankhill::workers
