// Heartbeat forwarding without a network: frames, the choice of a controller, and the forwarder between the
// forwarding controller and the leader.
#include <gtest/gtest.h>

#include "heartbeat/balance.hpp"
#include "heartbeat/heartbeat_forwarder.hpp"
#include "manual_loop.hpp"

namespace bankhill::heartbeat {
namespace {

using wire::ForwardedHeartbeat;
using wire::Frame;
using wire::HeartbeatResponse;
using wire::HeartbeatResult;

class FakePeerTransport final : public net::PeerTransport {
 public:
  bool send(const std::string& node, const Frame& frame) override {
    if (is_disconnected) return false;
    sent.emplace_back(node, frame);
    return true;
  }
  void listen(std::function<void(const std::string&, Frame)>) override {}
  std::vector<std::pair<std::string, Frame>> sent;
  bool is_disconnected = false;
};

wire::Heartbeat make_heartbeat(const std::string& machine, std::uint64_t sequence, std::size_t tasks) {
  wire::Heartbeat result;
  result.machine_id = {machine};
  result.address = "10.1.0.1:9000";
  result.machine_type = "g8";
  result.zone = "a";
  result.agent_epoch = {1};
  result.sequence = sequence;
  result.fencing_token = {7};
  for (std::uint32_t i = 0; i < tasks; ++i)
    result.tasks.push_back({{wire::JobId{"job-000412"}, i}, {9}, wire::TaskState::running, {}, false});
  return result;
}

class HeartbeatForwarderTest : public testing::Test {
 protected:
  HeartbeatForwarderTest()
      : forwarder(loop, 1000, {0.02, 2, 80},
                  {peers, [this](wire::Heartbeat heartbeat, std::uint64_t base, net::HeartbeatReply reply,
                                 const std::string&) {
                     task_counts.push_back(heartbeat.tasks.size());
                     bases.push_back(base);
                     replies.push_back(std::move(reply));
                   }}) {}

  void forward(wire::Heartbeat heartbeat) {
    forwarder.tell(ForwardHeartbeat{"leader", std::move(heartbeat), [this](HeartbeatResponse response) {
                                      responses_received.push_back(response);
                                    }});
    loop.pass(0.05);
  }
  // Returns the heartbeat that was forwarded last.
  ForwardedHeartbeat last_forwarded() {
    return std::get<wire::ForwardedHeartbeats>(peers.sent.back().second).items.back();
  }
  void respond(HeartbeatResult result) { respond(last_forwarded().id, result); }
  void respond(std::uint64_t id, HeartbeatResult result) {
    forwarder.tell(PeerFrame{"leader", wire::HeartbeatResponses{{HeartbeatResponse{id, result, {7}, {}}}}});
    loop.pass(0.05);
  }

  test_support::ManualLoop loop;
  FakePeerTransport peers;
  std::vector<std::size_t> task_counts;
  std::vector<std::uint64_t> bases;
  std::vector<net::HeartbeatReply> replies;
  std::vector<HeartbeatResponse> responses_received;
  HeartbeatForwarder forwarder;
};

TEST_F(HeartbeatForwarderTest, OnlyAFullHeartbeatThatTheLeaderAcceptedIsABase) {
  forward(make_heartbeat("n-1", 1, 3));
  EXPECT_EQ(last_forwarded().base_sequence, 0U);
  respond(HeartbeatResult::rejected);
  forward(make_heartbeat("n-1", 2, 3));
  EXPECT_EQ(last_forwarded().base_sequence, 0U) << "the leader does not keep a rejected heartbeat";
  respond(HeartbeatResult::accepted);
  forward(make_heartbeat("n-1", 3, 3));
  EXPECT_EQ(last_forwarded().base_sequence, 2U);
  EXPECT_TRUE(last_forwarded().heartbeat.tasks.empty());
  EXPECT_EQ(last_forwarded().heartbeat.sequence, 3U);
  respond(HeartbeatResult::accepted);
  forward(make_heartbeat("n-1", 4, 3));
  EXPECT_EQ(last_forwarded().base_sequence, 2U) << "the list of tasks is that of the full heartbeat";
  respond(HeartbeatResult::accepted);
  forward(make_heartbeat("n-1", 5, 4));
  EXPECT_EQ(last_forwarded().base_sequence, 0U) << "the tasks of the worker have changed";
  EXPECT_EQ(last_forwarded().heartbeat, make_heartbeat("n-1", 5, 4));
  ASSERT_EQ(responses_received.size(), 4U);
}

TEST_F(HeartbeatForwarderTest, ResendsInFullABriefHeartbeatThatTheLeaderCannotComplete) {
  forward(make_heartbeat("n-1", 1, 2));
  respond(HeartbeatResult::accepted);
  forward(make_heartbeat("n-1", 2, 2));
  const auto id = last_forwarded().id;
  EXPECT_EQ(last_forwarded().base_sequence, 1U);
  respond(HeartbeatResult::resend_in_full);
  EXPECT_EQ(last_forwarded().id, id);
  EXPECT_EQ(last_forwarded().base_sequence, 0U);
  EXPECT_EQ(last_forwarded().heartbeat, make_heartbeat("n-1", 2, 2));
  EXPECT_EQ(responses_received.size(), 1U) << "the worker must still be waiting";
  respond(HeartbeatResult::accepted);
  EXPECT_EQ(responses_received.size(), 2U);
}

TEST_F(HeartbeatForwarderTest, RejectsAfterTheTimeoutAndIgnoresALateResponse) {
  forward(make_heartbeat("n-1", 1, 1));
  const auto id = last_forwarded().id;
  loop.pass(2.5);
  ASSERT_EQ(responses_received.size(), 1U);
  EXPECT_EQ(responses_received[0].result, HeartbeatResult::rejected);
  respond(id, HeartbeatResult::accepted);
  EXPECT_EQ(responses_received.size(), 1U);
  forward(make_heartbeat("n-1", 2, 1));
  EXPECT_EQ(last_forwarded().base_sequence, 0U) << "it is unknown whether the leader received the heartbeat";
}

// A leader that was suspended answers heartbeats from a forwarding controller that has been restarted
// meanwhile. If the new process took these responses for its own exchanges, the commands in them would reach
// the wrong workers.
TEST_F(HeartbeatForwarderTest, IgnoresAResponseToAnEarlierProcess) {
  forward(make_heartbeat("n-1", 1, 1));
  const auto earlier_id = last_forwarded().id;
  HeartbeatForwarder restarted(loop, 5000, {0.02, 2, 80}, {peers, {}});
  restarted.tell(ForwardHeartbeat{
      "leader", make_heartbeat("n-2", 1, 1),
      [this](const HeartbeatResponse& response) { responses_received.push_back(response); }});
  loop.pass(0.05);
  ASSERT_EQ(last_forwarded().heartbeat.machine_id, wire::MachineId{"n-2"});
  restarted.tell(PeerFrame{"leader", wire::HeartbeatResponses{{HeartbeatResponse{
                                         earlier_id, HeartbeatResult::accepted, {7}, {}}}}});
  loop.pass(0.05);
  EXPECT_TRUE(responses_received.empty());
}

TEST_F(HeartbeatForwarderTest, RejectsAtOnceWithoutAConnection) {
  peers.is_disconnected = true;
  forward(make_heartbeat("n-1", 1, 1));
  ASSERT_EQ(responses_received.size(), 1U);
  EXPECT_EQ(responses_received[0].result, HeartbeatResult::rejected);
}

TEST_F(HeartbeatForwarderTest, SendsHeartbeatsAndResponsesInBatches) {
  for (int i = 0; i < 100; ++i)
    forwarder.tell(ForwardHeartbeat{"leader", make_heartbeat("n-" + std::to_string(i), 1, 1),
                                    [this](HeartbeatResponse r) { responses_received.push_back(r); }});
  loop.pass(0.1);
  EXPECT_LE(peers.sent.size(), 3U);
  std::vector<ForwardedHeartbeat> items;
  for (const auto& [node, frame] : peers.sent)
    for (const auto& item : std::get<wire::ForwardedHeartbeats>(frame).items) items.push_back(item);
  ASSERT_EQ(items.size(), 100U);
  peers.sent.clear();
  forwarder.tell(PeerFrame{"delegate", wire::ForwardedHeartbeats{items}});
  loop.pass(0.1);
  ASSERT_EQ(replies.size(), 100U);
  for (auto& reply : replies) reply({0, HeartbeatResult::accepted, {7}, {}});
  loop.pass(0.1);
  std::set<std::uint64_t> answered_ids;
  for (const auto& [node, frame] : peers.sent) {
    EXPECT_EQ(node, "delegate");
    for (const auto& response : std::get<wire::HeartbeatResponses>(frame).items)
      answered_ids.insert(response.id);
  }
  EXPECT_LE(peers.sent.size(), 3U);
  EXPECT_EQ(answered_ids.size(), 100U);
}

// Workers join a site of several controllers, and each follows its redirects. In the end all controllers have
// about the same load, no worker is redirected in a cycle, and no worker that is already assigned moves
// between controllers of about equal load.
TEST(ControllerBalance, EvensOutWithoutRedirectCycles) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    const std::size_t count = 2 + random() % 6;
    std::vector<ControllerShare> controllers;
    for (std::size_t i = 0; i < count; ++i)
      controllers.push_back({"c" + std::to_string(i), random() % 2 == 0 ? "a" : "b", 0, 1000, i == 0});
    for (int worker = 0; worker < 1000; ++worker) {
      const std::string zone = random() % 3 == 0 ? "b" : "a";
      std::size_t current = random() % count;
      for (std::size_t hop = 0;; ++hop) {
        ASSERT_LE(hop, count) << "redirect cycle, seed " << seed;
        const auto next = choose_controller(controllers, current, zone, false);
        if (next == current) break;
        current = next;
      }
      controllers[current].workers += 1;
    }
    double least = 1e9;
    double most = 0;
    for (const auto& controller : controllers) {
      least = std::min(least, load_ratio(controller));
      most = std::max(most, load_ratio(controller));
    }
    EXPECT_LT(most - least, 0.5 * (most + least) / 2) << "seed " << seed;
    EXPECT_GT(controllers[1].workers, controllers[0].workers)
        << "the leader must have fewer workers, seed " << seed;
    // Assigned workers stay where they are, until a controller without workers joins.
    for (std::size_t self = 0; self < count; ++self)
      EXPECT_EQ(choose_controller(controllers, self, controllers[self].zone, true), self);
    controllers.push_back({"new", "a", 0, 1000, false});
    for (std::size_t self = 0; self < count; ++self)
      EXPECT_EQ(choose_controller(controllers, self, "a", true), count);
  }
}

TEST(Frames, ForwardingFramesSurviveEncodingAndMalformedOnesAreRejected) {
  std::mt19937_64 random(11);
  wire::ForwardedHeartbeats heartbeats;
  wire::HeartbeatResponses responses;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    auto item = make_heartbeat("n-" + std::to_string(i), i * 1'000'000'007, i % 5);
    if (i % 3 == 0) item.preemption_notice_s = 2.5;
    item.preemptible = i % 2 == 0;
    heartbeats.items.push_back({random(), 0, item});
    ForwardedHeartbeat brief{random(), i, {}};
    brief.heartbeat.machine_id = item.machine_id;
    brief.heartbeat.agent_epoch = {random()};
    brief.heartbeat.sequence = random();
    brief.heartbeat.fencing_token = {random()};
    heartbeats.items.push_back(brief);
    HeartbeatResponse response{random(), static_cast<HeartbeatResult>(i % 3), {random()}, {}};
    for (std::uint32_t k = 0; k < i % 4; ++k)
      response.commands.push_back(
          {static_cast<wire::CommandType>(k % 3), {wire::JobId{"job-1"}, k}, {random()}, 1.5 * k});
    responses.items.push_back(response);
  }
  for (const Frame& frame : {Frame{heartbeats}, Frame{responses}, Frame{wire::ControllerLoad{7, 900, "voss"}},
                             Frame{wire::PeerStatus{4, true, true, wire::kFeatureHeartbeatForwarding}}}) {
    const auto bytes = wire::encode(frame);
    wire::FrameReader reader;
    reader.append(bytes);
    EXPECT_EQ(reader.next(), frame);
    EXPECT_EQ(reader.error(), wire::FrameError::none);
    // A truncated frame must be an error. A frame with a changed byte may be an error or a frame of the same
    // type, but must never cause a read beyond its end, which the sanitizers detect.
    for (int round = 0; round < 300; ++round) {
      auto corrupted = bytes;
      const auto offset =
          sizeof(wire::FrameHeader) + random() % (corrupted.size() - sizeof(wire::FrameHeader));
      corrupted[offset] = static_cast<char>(random());
      wire::FrameReader corrupted_reader;
      corrupted_reader.append(corrupted);
      const auto read = corrupted_reader.next();
      EXPECT_TRUE(!read || read->index() == frame.index());
      auto truncated = bytes.substr(0, offset);
      const auto length = static_cast<std::uint32_t>(offset - sizeof(wire::FrameHeader));
      for (int byte = 0; byte < 4; ++byte)
        truncated[static_cast<std::size_t>(4 + byte)] = static_cast<char>(length >> (24 - 8 * byte));
      wire::FrameReader truncated_reader;
      truncated_reader.append(truncated);
      EXPECT_EQ(truncated_reader.next(), std::nullopt);
      EXPECT_EQ(truncated_reader.error(), wire::FrameError::bad_body);
    }
  }
}

TEST(Frames, AHeartbeatsFingerprintCoversAllButItsSequenceNumber) {
  const auto base = wire::fingerprint(make_heartbeat("n-1", 1, 2));
  EXPECT_EQ(wire::fingerprint(make_heartbeat("n-1", 2, 2)), base);
  EXPECT_NE(wire::fingerprint(make_heartbeat("n-2", 1, 2)), base);
  EXPECT_NE(wire::fingerprint(make_heartbeat("n-1", 1, 1)), base);
  auto other = make_heartbeat("n-1", 1, 2);
  other.tasks[1].state = wire::TaskState::exited;
  EXPECT_NE(wire::fingerprint(other), base);
  other = make_heartbeat("n-1", 1, 2);
  other.fencing_token = {8};
  EXPECT_NE(wire::fingerprint(other), base);
  other = make_heartbeat("n-1", 1, 2);
  other.preemption_notice_s = 3;
  EXPECT_NE(wire::fingerprint(other), base);
}

}  // namespace
}  // namespace bankhill::heartbeat
