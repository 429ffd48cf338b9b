// HTTP client on evhttp: connections are kept open and reused, every request has a deadline.
#pragma once

#include <event2/http.h>

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "net/http.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/log.hpp"

namespace bankhill::net {

// The client of the program itself.
class EvhttpClient final : public Client {
 public:
  // At most `open_limit` connections are open; requests beyond it wait for one, within their time. At most
  // half as many are kept open between requests, those used last.
  EvhttpClient(runtime::EventLoop& loop, runtime::Log log, std::size_t open_limit);
  ~EvhttpClient() override;
  void send(const std::string& address, Request request, double timeout_s, Reply reply) override;

 private:
  struct ConnectionDeleter {
    void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
  };
  using Connection = std::unique_ptr<evhttp_connection, ConnectionDeleter>;
  struct Exchange;
  struct Idle {
    Connection connection;
    double since = 0;
    std::uint64_t number = 0;
  };

  void keep(const std::string& address, Connection connection);
  Connection take_connection(const std::string& address);
  void begin(std::uint64_t id);
  void trim_idle(std::size_t most);
  void finish(std::uint64_t id, Response response, bool reusable);

  runtime::EventLoop& loop_;
  runtime::Log log_;
  std::size_t open_limit_;
  std::size_t in_use_ = 0;            // connections with a request under way
  std::deque<std::uint64_t> queued_;  // exchanges that wait for one
  std::map<std::string, std::deque<Idle>> idle_;
  std::map<std::uint64_t, std::string> idle_order_;  // by age
  std::uint64_t next_idle_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Exchange>> exchanges_;
  std::uint64_t next_id_ = 1;
};

}  // namespace bankhill::net
