// HTTP as the other packages see it: requests, responses, a client and a handler.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "wire/frames.hpp"

namespace bankhill::net {

// What a handler tells apart.
enum class Method { get, post, del, other };

struct Request {
  Method method = Method::get;
  std::string path;  // with the query
  std::string body;
};

struct Response {
  int status = 0;  // 0: no response
  std::string body;
  std::optional<double> retry_after_s;
};

// The protocol's own times, in seconds: a worker drops an answer that takes longer.
constexpr double kWorkerResponseTimeoutS = 4;

using Reply = std::function<void(Response)>;
using Handler = std::function<void(Request, Reply)>;

// Sends requests; the reply is called exactly once, with status 0 when no response came in time.
class Client {
 public:
  Client() = default;
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  virtual ~Client() = default;
  virtual void send(const std::string& address, Request request, double timeout_s, Reply reply) = 0;
};

// Frames to and from peer controllers. Frames to one that cannot be reached are dropped.
class PeerTransport {
 public:
  PeerTransport() = default;
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  virtual ~PeerTransport() = default;
  // Whether there is a connection that a frame could go to now.
  virtual bool send(const std::string& node, const wire::Frame& frame) = 0;
  virtual void listen(std::function<void(const std::string& node, wire::Frame frame)> receiver) = 0;
};

}  // namespace bankhill::net
