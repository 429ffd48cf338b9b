#include "net/evhttp_server.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <cmath>
#include <utility>

#include "net/errors.hpp"
#include "wire/messages.hpp"

namespace bankhill::net {

namespace {

constexpr unsigned kMaxPort = 65535;
constexpr std::size_t kMaxHeaders = std::size_t{16} * 1024;
// A body somewhat above the limit is read and answered 413: closed in the middle, its sender often sees a
// reset instead of the answer. Beyond this the connection is closed.
constexpr std::size_t kBodyRead = 4;
// Connections that wait to be accepted; libevent's own is 128. After an outage a whole fleet connects at
// once, and what finds the queue full tries again a second or more later. The kernel caps it
// (net.core.somaxconn).
constexpr int kAcceptBacklog = 8192;

// Owns the duty to answer a request once.
class Pending {
 public:
  explicit Pending(evhttp_request* request) : request_(request) {}
  Pending(const Pending&) = delete;
  Pending& operator=(const Pending&) = delete;
  ~Pending() {
    if (request_ != nullptr) answer(Response{503, "{}", 1.0}, true);
  }
  void answer(const Response& response, bool close) {
    auto* request = std::exchange(request_, nullptr);
    if (request == nullptr) return;
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", "application/json");
    if (close) evhttp_add_header(headers, "Connection", "close");
    if (response.retry_after_s)
      evhttp_add_header(headers, "Retry-After",
                        fmt::format("{}", std::ceil(*response.retry_after_s)).c_str());
    evbuffer* body = evhttp_request_get_output_buffer(request);
    evbuffer_add(body, response.body.data(), response.body.size());
    evhttp_send_reply(request, response.status, nullptr, nullptr);
  }

 private:
  evhttp_request* request_;
};

Method method_of(evhttp_request* request) {
  switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
      return Method::get;
    case EVHTTP_REQ_POST:
      return Method::post;
    case EVHTTP_REQ_DELETE:
      return Method::del;
    default:
      return Method::other;
  }
}

}  // namespace

EvhttpServer::EvhttpServer(runtime::EventLoop& loop, runtime::Log log, const std::string& address,
                           double idle_timeout_s, SocketShares shares, Handler handler)
    : log_(std::move(log)),
      shares_{Share{"workers", shares.workers}, Share{"users", shares.users}},
      handler_(std::move(handler)),
      server_(evhttp_new(loop.base())) {
  listen_on(address);
  evhttp_set_max_body_size(server_.get(), static_cast<ev_ssize_t>(kBodyRead * wire::kMaxBody));
  evhttp_set_max_headers_size(server_.get(), static_cast<ev_ssize_t>(kMaxHeaders));
  evhttp_set_timeout(server_.get(), static_cast<int>(std::ceil(idle_timeout_s)));
  evhttp_set_allowed_methods(server_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                                EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH |
                                                EVHTTP_REQ_OPTIONS);
  evhttp_set_gencb(
      server_.get(),
      [](evhttp_request* request, void* self) { static_cast<EvhttpServer*>(self)->handle(request); }, this);
}

void EvhttpServer::listen_on(const std::string& address) {
  const auto colon = address.rfind(':');
  unsigned port = 0;
  if (colon != std::string::npos)
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  errno = 0;
  if (!server_ || port == 0 || port > kMaxPort) throw ListenError(address, last_system_error());
  auto* bound = evhttp_bind_socket_with_handle(server_.get(), address.substr(0, colon).c_str(),
                                               static_cast<ev_uint16_t>(port));
  if (bound == nullptr || ::listen(evhttp_bound_socket_get_fd(bound), kAcceptBacklog) != 0)
    throw ListenError(address, last_system_error());
}

void EvhttpServer::handle(evhttp_request* raw) {
  auto pending = std::make_shared<Pending>(raw);
  Request request;
  request.method = method_of(raw);
  request.path = evhttp_request_get_uri(raw);
  evbuffer* input = evhttp_request_get_input_buffer(raw);
  const auto kind = count(raw, request.path);
  if (evbuffer_get_length(input) > wire::kMaxBody)
    return pending->answer({413, "{}", std::nullopt}, past_share(kind));
  request.body.resize(evbuffer_get_length(input));
  if (!request.body.empty()) evbuffer_copyout(input, request.body.data(), request.body.size());
  handler_(std::move(request),
           [this, pending, kind](const Response& response) { pending->answer(response, past_share(kind)); });
}

EvhttpServer::Kind EvhttpServer::count(evhttp_request* raw, const std::string& path) {
  auto* connection = evhttp_request_get_connection(raw);
  if (connection == nullptr) return kUser;
  const auto [entry, added] = connections_.try_emplace(connection, path == "/v1/report" ? kWorker : kUser);
  if (!added) return entry->second;
  ++shares_[entry->second].open;
  evhttp_connection_set_closecb(
      connection, [](evhttp_connection* gone, void* self) { static_cast<EvhttpServer*>(self)->closed(gone); },
      this);
  return entry->second;
}

void EvhttpServer::closed(evhttp_connection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  auto& share = shares_[found->second];
  connections_.erase(found);
  --share.open;
  if (share.full && share.open < share.most - share.most / 4) {
    share.full = false;
    log_->info("sockets: {} within their share again, {} of {}", share.name, share.open, share.most);
  }
}

bool EvhttpServer::past_share(Kind kind) {
  auto& share = shares_[kind];
  if (share.open <= share.most) return false;
  if (!std::exchange(share.full, true))
    log_->warn("sockets: {} have {} connections of {}, closing theirs between requests", share.name,
               share.open, share.most);
  return true;
}

}  // namespace bankhill::net
