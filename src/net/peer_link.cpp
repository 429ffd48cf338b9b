#include "net/peer_link.hpp"

#include <event2/buffer.h>

#include <array>
#include <cerrno>
#include <utility>

#include "net/errors.hpp"

namespace bankhill::net {

namespace {
// What may wait for a slow peer; beyond it frames are dropped rather than stored.
constexpr std::size_t kMaxQueued = 4 * wire::kMaxFrame;

sockaddr_storage parse_address(const std::string& address, int& length) {
  sockaddr_storage storage{};
  length = sizeof storage;
  if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&storage), &length) != 0)
    throw AddressError(address);
  return storage;
}
}  // namespace

PeerLink::PeerLink(runtime::EventLoop& loop, runtime::Log log, std::string self, std::uint64_t incarnation,
                   const std::string& listen_address, const std::vector<Peer>& peers, double silence_s)
    : loop_(loop),
      log_(std::move(log)),
      self_(std::move(self)),
      incarnation_(incarnation),
      silence_timeout_s_(silence_s) {
  listen_on(listen_address);
  for (const auto& peer : peers) {
    auto dialled = std::make_unique<Outgoing>();
    dialled->link = this;
    dialled->peer = peer;
    connect(*dialled);
    outgoing_[peer.node] = std::move(dialled);
  }
}

PeerLink::~PeerLink() = default;

void PeerLink::listen_on(const std::string& address) {
  int length = 0;
  const auto parsed = parse_address(address, length);
  errno = 0;
  listener_.reset(evconnlistener_new_bind(
      loop_.base(),
      [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* link) {
        static_cast<PeerLink*>(link)->accept(socket);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<const sockaddr*>(&parsed),
      length));
  if (!listener_) throw ListenError(address, last_system_error());
}

void PeerLink::listen(std::function<void(const std::string&, wire::Frame)> receiver) {
  receiver_ = std::move(receiver);
}

void PeerLink::connect(Outgoing& dialled) {
  dialled.connected = false;
  dialled.retry.reset();
  dialled.buffer.reset(
      bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (!dialled.buffer) return reconnect_later(dialled);
  bufferevent_setcb(
      dialled.buffer.get(),
      [](bufferevent* buffer, void*) { evbuffer_drain(bufferevent_get_input(buffer), SIZE_MAX); }, nullptr,
      [](bufferevent*, short events, void* context) {
        auto& changed = *static_cast<Outgoing*>(context);
        changed.link->connection_changed(changed, events);
      },
      &dialled);
  // Connecting or a blocked write for this long means the peer is silent.
  const timeval limit = runtime::to_timeval(silence_timeout_s_);
  bufferevent_set_timeouts(dialled.buffer.get(), nullptr, &limit);
  bufferevent_enable(dialled.buffer.get(), EV_READ | EV_WRITE);
  int length = 0;
  const auto address = parse_address(dialled.peer.address, length);
  if (bufferevent_socket_connect(dialled.buffer.get(), reinterpret_cast<const sockaddr*>(&address), length) !=
      0)
    reconnect_later(dialled);
}

void PeerLink::connection_changed(Outgoing& dialled, short events) {
  const auto& peer_name = dialled.peer.node;
  if ((events & BEV_EVENT_CONNECTED) == 0) {
    if (dialled.connected) log_->info("peer {}: connection lost", peer_name);
    return reconnect_later(dialled);
  }
  dialled.connected = true;
  dialled.since = loop_.now();
  send(peer_name, wire::Hello{incarnation_, self_});
  log_->debug("peer {}: connected", peer_name);
}

void PeerLink::reconnect_later(Outgoing& dialled) {
  dialled.connected = false;
  dialled.retry = loop_.after(silence_timeout_s_ / 4, [this, &dialled] { connect(dialled); });
}

// A peer that is back dials us. Our connection to its earlier process may have been closed, which we would
// look at only after a while, or it is silent: packets of it are swallowed, and until the kernel gives up,
// minutes later, all that we send there is lost.
void PeerLink::on_hello(const std::string& node, std::uint64_t incarnation) {
  auto& dialled = *outgoing_.at(node);
  const auto before = std::exchange(dialled.incarnation, incarnation);
  if (before == incarnation) return;
  // One made just now is to the new process already.
  if (dialled.connected ? before == 0 || loop_.now() - dialled.since < silence_timeout_s_ / 8
                        : !dialled.retry)
    return;
  dialled.connected = false;
  // Not within a callback of what it replaces.
  dialled.retry = loop_.after(0, [this, &dialled] { connect(dialled); });
}

bool PeerLink::send(const std::string& node, const wire::Frame& frame) {
  const auto found = outgoing_.find(node);
  if (found == outgoing_.end() || !found->second->connected) return false;
  auto* buffer = found->second->buffer.get();
  if (evbuffer_get_length(bufferevent_get_output(buffer)) > kMaxQueued) return false;
  const auto bytes = wire::encode(frame);
  return bufferevent_write(buffer, bytes.data(), bytes.size()) == 0;
}

void PeerLink::accept(evutil_socket_t socket) {
  evutil_make_socket_nonblocking(socket);
  auto accepted = std::make_unique<Incoming>();
  accepted->link = this;
  accepted->buffer.reset(
      bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (!accepted->buffer) {
    evutil_closesocket(socket);
    return;
  }
  bufferevent_setcb(
      accepted->buffer.get(),
      [](bufferevent*, void* context) {
        auto& self = *static_cast<Incoming*>(context);
        self.link->read(self);
      },
      nullptr,
      [](bufferevent*, short, void* context) {
        auto& self = *static_cast<Incoming*>(context);
        self.link->drop(self);
      },
      accepted.get());
  const timeval limit = runtime::to_timeval(silence_timeout_s_ * 4);
  bufferevent_set_timeouts(accepted->buffer.get(), &limit, nullptr);
  bufferevent_enable(accepted->buffer.get(), EV_READ | EV_WRITE);
  auto* key = accepted.get();
  incoming_[key] = std::move(accepted);
}

void PeerLink::read(Incoming& accepted) {
  std::array<char, 16384> chunk;
  while (true) {
    const std::size_t count = bufferevent_read(accepted.buffer.get(), chunk.data(), chunk.size());
    if (count == 0) break;
    accepted.reader.append({chunk.data(), count});
  }
  while (auto frame = accepted.reader.next()) {
    if (const auto* hello = std::get_if<wire::Hello>(&*frame)) {
      if (outgoing_.contains(hello->node)) {
        accepted.node = hello->node;
        on_hello(hello->node, hello->incarnation);
      }
      continue;
    }
    // Only a peer that has said who it is may speak.
    if (!accepted.node.empty() && receiver_) receiver_(accepted.node, std::move(*frame));
  }
  if (accepted.reader.error() != wire::FrameError::none) {
    log_->warn("peer {}: malformed frame, closing", accepted.node.empty() ? "unknown" : accepted.node);
    drop(accepted);
  }
}

void PeerLink::drop(Incoming& accepted) {
  const auto found = incoming_.find(&accepted);
  if (found == incoming_.end()) return;
  std::shared_ptr<Incoming> gone = std::move(found->second);
  incoming_.erase(found);
  loop_.post([gone]() mutable { gone.reset(); });
}

}  // namespace bankhill::net
