// HTTP server on evhttp. Replies may come later; bodies above the protocol's limit are refused.
#pragma once

#include <event2/http.h>

#include <memory>
#include <string>

#include "net/http.hpp"
#include "runtime/event_loop.hpp"

namespace bankhill::net {

class EvhttpServer {
 public:
  EvhttpServer(runtime::EventLoop& loop, const std::string& address, double idle_timeout_s, Handler handler);

 private:
  struct ServerDeleter {
    void operator()(evhttp* server) const { evhttp_free(server); }
  };
  void handle(evhttp_request* request);

  std::unique_ptr<evhttp, ServerDeleter> server_;
  Handler handler_;
};

}  // namespace bankhill::net
