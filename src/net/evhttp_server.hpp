// HTTP server on evhttp. Replies may come later; bodies above the protocol's limit are refused.
#pragma once

#include <event2/http.h>

#include <array>
#include <map>
#include <memory>
#include <string>

#include "net/http.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/log.hpp"

namespace bankhill::net {

// Connections that each kind of client may keep open. Past its share a kind is still answered, with
// `Connection: close`: it never takes another's sockets.
struct SocketShares {
  std::size_t workers = 1;
  std::size_t users = 1;
};

// Serves users and workers on one address; each request is answered once, later if need be.
class EvhttpServer {
 public:
  // Throws ListenError when the address cannot be bound.
  EvhttpServer(runtime::EventLoop& loop, runtime::Log log, const std::string& address, double idle_timeout_s,
               SocketShares shares, Handler handler);
  std::size_t worker_connections() const { return shares_[kWorker].open; }

 private:
  enum Kind { kWorker, kUser };
  struct Share {
    const char* name;
    std::size_t most = 1;
    std::size_t open = 0;
    bool full = false;
  };
  // What the connection of a request counts as; from its first request on.
  Kind count(evhttp_request* raw, const std::string& path);
  void closed(evhttp_connection* connection);
  // Whether a connection of this kind is to be closed with the answer.
  bool past_share(Kind kind);
  struct ServerDeleter {
    void operator()(evhttp* server) const { evhttp_free(server); }
  };
  void listen_on(const std::string& address);
  void handle(evhttp_request* request);

  runtime::Log log_;
  std::array<Share, 2> shares_;
  std::map<evhttp_connection*, Kind> connections_;
  Handler handler_;
  // Last: what it closes as it ends is still counted.
  std::unique_ptr<evhttp, ServerDeleter> server_;
};

}  // namespace bankhill::net
