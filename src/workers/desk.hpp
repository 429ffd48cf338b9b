// Where workers report: the leader takes the report, others name the leader or pass the report on.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "net/http.hpp"
#include "net/relay.hpp"
#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "state/store.hpp"
#include "wire/records.hpp"

namespace bankhill::workers {

// Messages.
struct Changed {
  state::Changes changes;
};
struct ReportCall {
  net::Request request;
  net::Reply reply;
  bool relayed = false;
};

class Desk : public runtime::Actor<Desk, Changed, ReportCall> {
 public:
  struct Ports {
    net::Relay& relay;
    std::function<bool()> leading;
    std::function<void(wire::Report, net::Reply, bool relayed)> take;  // to the leader of this controller
  };

  Desk(runtime::Loop& loop, runtime::Log log, std::string node, double report_s, double pace_s, Ports ports);

  void on(Changed& message);
  void on(ReportCall& message);

 private:
  struct Sent {
    std::string controller;
    double at = 0;
  };
  void redirect(const wire::HostId& host, ReportCall& message);

  runtime::Log log_;
  std::string node_;
  double report_s_;
  double pace_s_;
  Ports ports_;
  std::string leader_;
  std::map<wire::HostId, Sent> sent_;
};

}  // namespace bankhill::workers
