// Client and server over loopback: how many connections they keep.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "free_address.hpp"
#include "net/evhttp_client.hpp"
#include "net/evhttp_server.hpp"

namespace bankhill::net {
namespace {

class Sockets : public testing::Test {
 protected:
  bool until(const std::function<bool()>& reached) {
    const double end = loop.now() + 10;
    while (!reached() && loop.now() < end) event_base_loop(loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    return reached();
  }
  void ask(EvhttpClient& client, const std::string& path) {
    client.send(address, {Method::post, path, "{}"}, 8, [this](const Response& response) {
      ++answered;
      if (response.status != 200) ++failed;
    });
  }

  runtime::EventLoop loop;
  runtime::Log log = runtime::make_log("net", "off");
  std::string address = free_address();
  std::size_t answered = 0;
  std::size_t failed = 0;
};

// Workers beyond their share are all answered, and what stays open is within it; a user is not touched by it.
TEST_F(Sockets, PastItsShareAKindIsServedOnAndClosed) {
  std::vector<Reply> held;
  std::size_t holds = 9;
  EvhttpServer server(loop, log, address, 60, {3, 3}, [&](const Request&, Reply reply) {
    held.push_back(std::move(reply));
    if (held.size() < holds) return;
    for (auto& each : std::exchange(held, {})) each({200, "{}", std::nullopt});
  });
  EvhttpClient client(loop, log, 100);
  for (int i = 0; i < 8; ++i) ask(client, "/v1/report");
  ask(client, "/submissions");
  ASSERT_TRUE(until([&] { return answered == 9; }));
  EXPECT_TRUE(until([&] { return server.worker_connections() <= 3; })) << server.worker_connections();
  holds = 1;
  for (int i = 0; i < 20; ++i) {
    ask(client, "/v1/report");
    ASSERT_TRUE(until([&] { return answered == 10U + static_cast<std::size_t>(i); }));
  }
  EXPECT_EQ(failed, 0U);
}

// Requests beyond the client's limit wait for a connection; one whose time runs out meanwhile is unanswered.
TEST_F(Sockets, AClientKeepsToItsLimit) {
  std::vector<Reply> held;
  std::size_t most = 0;
  std::size_t served = 0;
  EvhttpServer server(loop, log, address, 60, {100, 100}, [&](const Request&, Reply reply) {
    held.push_back(std::move(reply));
    most = std::max(most, held.size());
    ++served;
  });
  EvhttpClient client(loop, log, 4);
  for (int i = 0; i < 12; ++i) ask(client, "/commands");
  bool unanswered = false;
  client.send(address, {Method::post, "/commands", "{}"}, 0.05,
              [&](const Response& response) { unanswered = response.status == 0; });
  ASSERT_TRUE(until([&] { return unanswered; }));
  EXPECT_EQ(served, 4U);
  while (answered < 12) {
    ASSERT_TRUE(until([&] { return !held.empty(); }));
    for (auto& each : std::exchange(held, {})) each({200, "{}", std::nullopt});
    until([&, before = answered] { return answered > before; });
  }
  EXPECT_EQ(served, 12U);
  EXPECT_EQ(failed, 0U);
  EXPECT_LE(most, 4U);
}

}  // namespace
}  // namespace bankhill::net
