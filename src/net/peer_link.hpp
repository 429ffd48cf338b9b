// Frames between controllers over TCP. Each node dials every peer and sends on what it dialled.
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/log.hpp"

namespace bankhill::net {

// Another controller and where it listens for frames.
struct Peer {
  std::string node;
  std::string address;
};

// The connections to and from all other controllers.
class PeerLink final : public PeerTransport {
 public:
  // `silence_s`: a connection without any frame for this long is dialled anew. Throws AddressError for an
  // address that is none, ListenError when this controller's own cannot be bound.
  PeerLink(runtime::EventLoop& loop, runtime::Log log, std::string self, std::uint64_t incarnation,
           const std::string& listen_address, const std::vector<Peer>& peers, double silence_s);
  ~PeerLink() override;
  bool send(const std::string& node, const wire::Frame& frame) override;
  void listen(std::function<void(const std::string&, wire::Frame)> receiver) override;

 private:
  struct BufferDeleter {
    void operator()(bufferevent* buffer) const { bufferevent_free(buffer); }
  };
  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  };
  using Buffer = std::unique_ptr<bufferevent, BufferDeleter>;
  struct Outgoing {
    PeerLink* link = nullptr;
    Peer peer;
    Buffer buffer;
    bool connected = false;
    double since = 0;               // when it was connected
    std::uint64_t incarnation = 0;  // of the process there that dialled us last; 0: none yet
    runtime::Timer retry;
  };
  struct Incoming {
    PeerLink* link = nullptr;
    std::string node;
    Buffer buffer;
    wire::FrameReader reader;
  };

  void listen_on(const std::string& address);
  void connect(Outgoing& dialled);
  void connection_changed(Outgoing& dialled, short events);
  void reconnect_later(Outgoing& dialled);
  void on_hello(const std::string& node, std::uint64_t incarnation);
  void accept(evutil_socket_t socket);
  void read(Incoming& accepted);
  void drop(Incoming& accepted);

  runtime::EventLoop& loop_;
  runtime::Log log_;
  std::string self_;
  std::uint64_t incarnation_;
  double silence_timeout_s_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  std::map<std::string, std::unique_ptr<Outgoing>> outgoing_;
  std::map<Incoming*, std::unique_ptr<Incoming>> incoming_;
  std::function<void(const std::string&, wire::Frame)> receiver_;
};

}  // namespace bankhill::net
