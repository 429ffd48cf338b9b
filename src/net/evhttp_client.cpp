#include "net/evhttp_client.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <utility>

namespace bankhill::net {

namespace {
// An idle connection is not reused after this: the other side may have dropped it silently.
constexpr double kIdleLimitS = 30;
constexpr std::size_t kIdlePerAddress = 8;

struct RequestDeleter {
  void operator()(evhttp_request* request) const { evhttp_request_free(request); }
};
// A request until it is handed over to evhttp, which frees it from then on.
using OwnedRequest = std::unique_ptr<evhttp_request, RequestDeleter>;

std::string read_all(evbuffer* buffer) {
  std::string bytes(evbuffer_get_length(buffer), '\0');
  if (!bytes.empty()) evbuffer_copyout(buffer, bytes.data(), bytes.size());
  return bytes;
}

struct ReadResponse {
  Response response;      // status 0: none came
  bool reusable = false;  // its connection may serve further requests
};

ReadResponse read_response(evhttp_request* answer) {
  ReadResponse result;
  if (answer == nullptr || evhttp_request_get_response_code(answer) == 0) return result;
  result.response.status = evhttp_request_get_response_code(answer);
  result.response.body = read_all(evhttp_request_get_input_buffer(answer));
  const auto* headers = evhttp_request_get_input_headers(answer);
  if (const char* after = evhttp_find_header(headers, "Retry-After"))
    result.response.retry_after_s = std::strtod(after, nullptr);
  const char* connection = evhttp_find_header(headers, "Connection");
  result.reusable = connection == nullptr || evutil_ascii_strcasecmp(connection, "close") != 0;
  return result;
}

void fill(evhttp_request* raw, const std::string& address, const Request& request) {
  auto* headers = evhttp_request_get_output_headers(raw);
  evhttp_add_header(headers, "Host", address.c_str());
  if (request.method != Method::post) return;
  evhttp_add_header(headers, "Content-Type", "application/json");
  evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(), request.body.size());
}

evhttp_cmd_type command_of(Method method) {
  switch (method) {
    case Method::post:
      return EVHTTP_REQ_POST;
    case Method::del:
      return EVHTTP_REQ_DELETE;
    case Method::get:
    case Method::other:
      return EVHTTP_REQ_GET;
  }
  return EVHTTP_REQ_GET;
}
}  // namespace

struct EvhttpClient::Exchange {
  EvhttpClient* client = nullptr;
  std::uint64_t id = 0;
  std::string address;
  Connection connection;
  Request request;
  Reply reply;
  runtime::Timer deadline;
};

EvhttpClient::EvhttpClient(runtime::EventLoop& loop, runtime::Log log, std::size_t open_limit)
    : loop_(loop), log_(std::move(log)), open_limit_(std::max<std::size_t>(2, open_limit)) {}

EvhttpClient::~EvhttpClient() {
  // Freeing a connection calls back for its pending request: those must find nothing.
  auto exchanges = std::exchange(exchanges_, {});
}

EvhttpClient::Connection EvhttpClient::take_connection(const std::string& address) {
  if (const auto found = idle_.find(address); found != idle_.end()) {
    auto& idle = found->second;
    while (!idle.empty()) {
      Idle candidate = std::move(idle.back());
      idle.pop_back();
      idle_order_.erase(candidate.number);
      if (loop_.now() - candidate.since < kIdleLimitS) return std::move(candidate.connection);
    }
    idle_.erase(found);
  }
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return nullptr;
  unsigned port = 0;
  std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  return Connection(evhttp_connection_base_new(loop_.base(), nullptr, address.substr(0, colon).c_str(),
                                               static_cast<unsigned short>(port)));
}

void EvhttpClient::keep(const std::string& address, Connection connection) {
  auto& idle = idle_[address];
  const auto number = next_idle_++;
  idle.push_back({std::move(connection), loop_.now(), number});
  idle_order_.emplace(number, address);
  if (idle.size() > kIdlePerAddress) {
    idle_order_.erase(idle.front().number);
    idle.pop_front();
  }
  // A worker is asked now and then only: connections to thousands must not use up the sockets.
  trim_idle(open_limit_ / 2);
}

void EvhttpClient::trim_idle(std::size_t most) {
  while (idle_order_.size() > most) {
    const auto oldest = idle_order_.begin();
    const auto found = idle_.find(oldest->second);
    found->second.pop_front();
    if (found->second.empty()) idle_.erase(found);
    idle_order_.erase(oldest);
  }
}

void EvhttpClient::send(const std::string& address, Request request, double timeout_s, Reply reply) {
  const auto id = next_id_++;
  auto exchange = std::make_unique<Exchange>();
  exchange->client = this;
  exchange->id = id;
  exchange->address = address;
  exchange->reply = std::move(reply);
  exchange->request = std::move(request);
  exchange->deadline = loop_.after(timeout_s, [this, id] { finish(id, Response{}, false); });
  exchanges_[id] = std::move(exchange);
  if (in_use_ < open_limit_)
    begin(id);
  else
    queued_.push_back(id);
}

void EvhttpClient::begin(std::uint64_t id) {
  auto* exchange = exchanges_.at(id).get();
  const auto& address = exchange->address;
  const auto& request = exchange->request;
  exchange->connection = take_connection(address);
  if (!exchange->connection) return loop_.post([this, id] { finish(id, Response{}, false); });
  ++in_use_;
  if (idle_order_.size() + in_use_ > open_limit_) trim_idle(open_limit_ - in_use_);
  OwnedRequest raw(evhttp_request_new(
      [](evhttp_request* answer, void* context) {
        auto* done = static_cast<Exchange*>(context);
        auto [response, reusable] = read_response(answer);
        done->client->finish(done->id, std::move(response), reusable);
      },
      exchange));
  fill(raw.get(), address, request);
  // On failure evhttp has freed the request without calling back.
  if (evhttp_make_request(exchange->connection.get(), raw.release(), command_of(request.method),
                          request.path.c_str()) != 0)
    loop_.post([this, id] { finish(id, Response{}, false); });
}

void EvhttpClient::finish(std::uint64_t id, Response response, bool reusable) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  // Taken out first: freeing a connection calls back for its pending request, which must find nothing.
  std::shared_ptr<Exchange> exchange = std::move(found->second);
  exchanges_.erase(found);
  exchange->deadline.reset();
  auto reply = std::move(exchange->reply);
  const std::string exchange_address = exchange->address;
  if (exchange->connection) --in_use_;
  // evhttp still works on this connection while it calls back: free it on a later turn.
  loop_.post([this, exchange, reusable]() mutable {
    if (reusable) keep(exchange->address, std::move(exchange->connection));
    exchange.reset();
    while (in_use_ < open_limit_ && !queued_.empty()) {
      const auto next = queued_.front();
      queued_.pop_front();
      if (exchanges_.contains(next)) begin(next);  // else its time has run out
    }
  });
  try {
    reply(std::move(response));
  } catch (const std::exception& error) {
    // An answer that breaks the protocol must not end the process.
    log_->error("http: an answer of {} cannot be used: {}", exchange_address, error.what());
  }
}

}  // namespace bankhill::net
