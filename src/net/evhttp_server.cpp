#include "net/evhttp_server.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "wire/messages.hpp"

namespace bankhill::net {

namespace {

constexpr std::size_t kMaxHeaders = 16 * 1024;
// A body somewhat above the limit is read and answered 413: closed in the middle, its sender often sees a
// reset instead of the answer. Beyond this the connection is closed.
constexpr std::size_t kBodyRead = 4;

// Owns the duty to answer a request once.
class Pending {
 public:
  explicit Pending(evhttp_request* request) : request_(request) {}
  Pending(const Pending&) = delete;
  Pending& operator=(const Pending&) = delete;
  ~Pending() {
    if (request_ != nullptr) answer(Response{503, "{}", 1.0});
  }
  void answer(const Response& response) {
    auto* request = std::exchange(request_, nullptr);
    if (request == nullptr) return;
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", "application/json");
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

EvhttpServer::EvhttpServer(runtime::EventLoop& loop, const std::string& address, double idle_timeout_s,
                           Handler handler)
    : server_(evhttp_new(loop.base())), handler_(std::move(handler)) {
  const auto colon = address.rfind(':');
  unsigned port = 0;
  if (colon != std::string::npos)
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  if (!server_ || port == 0 || port > 65535 ||
      evhttp_bind_socket(server_.get(), address.substr(0, colon).c_str(), static_cast<ev_uint16_t>(port)) !=
          0)
    throw std::runtime_error("cannot listen on " + address);
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

void EvhttpServer::handle(evhttp_request* raw) {
  auto pending = std::make_shared<Pending>(raw);
  Request request;
  request.method = method_of(raw);
  request.path = evhttp_request_get_uri(raw);
  evbuffer* input = evhttp_request_get_input_buffer(raw);
  if (evbuffer_get_length(input) > wire::kMaxBody) return pending->answer({413, "{}", std::nullopt});
  request.body.resize(evbuffer_get_length(input));
  if (!request.body.empty()) evbuffer_copyout(input, request.body.data(), request.body.size());
  handler_(std::move(request), [pending](const Response& response) { pending->answer(response); });
}

}  // namespace bankhill::net
