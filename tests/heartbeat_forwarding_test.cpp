// Delegation without a network: frames, the choice of a controller, and the courier between forwarding
// controller and leader.
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

class Peers final : public net::PeerTransport {
 public:
  bool send(const std::string& node, const Frame& frame) override {
    if (cut) return false;
    sent.emplace_back(node, frame);
    return true;
  }
  void listen(std::function<void(const std::string&, Frame)>) override {}
  std::vector<std::pair<std::string, Frame>> sent;
  bool cut = false;
};

wire::Heartbeat report(const std::string& host, std::uint64_t counter, std::size_t tasks) {
  wire::Heartbeat result;
  result.machine_id = {host};
  result.address = "10.1.0.1:9000";
  result.machine_type = "g8";
  result.zone = "a";
  result.agent_epoch = {1};
  result.sequence = counter;
  result.fencing_token = {7};
  for (std::uint32_t i = 0; i < tasks; ++i)
    result.tasks.push_back({{wire::JobId{"job-000412"}, i}, {9}, wire::TaskState::running, {}, false});
  return result;
}

class CourierTest : public testing::Test {
 protected:
  CourierTest()
      : courier(loop, 1000, {0.02, 2, 80},
                {peers, [this](wire::Heartbeat taken, std::uint64_t base, net::HeartbeatReply reply,
                               const std::string&) {
                   tasks.push_back(taken.tasks.size());
                   bases.push_back(base);
                   replies.push_back(std::move(reply));
                 }}) {}

  void deliver(wire::Heartbeat item) {
    courier.tell(ForwardHeartbeat{"leader", std::move(item),
                                  [this](HeartbeatResponse response) { answers.push_back(response); }});
    loop.pass(0.05);
  }
  // The report that went out last.
  ForwardedHeartbeat last() {
    return std::get<wire::ForwardedHeartbeats>(peers.sent.back().second).items.back();
  }
  void rule(HeartbeatResult verdict) { rule(last().id, verdict); }
  void rule(std::uint64_t id, HeartbeatResult verdict) {
    courier.tell(PeerFrame{"leader", wire::HeartbeatResponses{{HeartbeatResponse{id, verdict, {7}, {}}}}});
    loop.pass(0.05);
  }

  test_support::ManualLoop loop;
  Peers peers;
  std::vector<std::size_t> tasks;
  std::vector<std::uint64_t> bases;
  std::vector<net::HeartbeatReply> replies;
  std::vector<HeartbeatResponse> answers;
  HeartbeatForwarder courier;
};

TEST_F(CourierTest, OnlyWhatTheLeaderGrantedIsABase) {
  deliver(report("n-1", 1, 3));
  EXPECT_EQ(last().base_sequence, 0U);
  rule(HeartbeatResult::rejected);
  deliver(report("n-1", 2, 3));
  EXPECT_EQ(last().base_sequence, 0U) << "a refused report is known to nobody";
  rule(HeartbeatResult::accepted);
  deliver(report("n-1", 3, 3));
  EXPECT_EQ(last().base_sequence, 2U);
  EXPECT_TRUE(last().heartbeat.tasks.empty());
  EXPECT_EQ(last().heartbeat.sequence, 3U);
  rule(HeartbeatResult::accepted);
  deliver(report("n-1", 4, 3));
  EXPECT_EQ(last().base_sequence, 2U) << "the list of tasks is that of the full report";
  rule(HeartbeatResult::accepted);
  deliver(report("n-1", 5, 4));
  EXPECT_EQ(last().base_sequence, 0U) << "its tasks have changed";
  EXPECT_EQ(last().heartbeat, report("n-1", 5, 4));
  ASSERT_EQ(answers.size(), 4U);
}

TEST_F(CourierTest, WhatTheLeaderCannotCompleteIsSentInFull) {
  deliver(report("n-1", 1, 2));
  rule(HeartbeatResult::accepted);
  deliver(report("n-1", 2, 2));
  const auto id = last().id;
  EXPECT_EQ(last().base_sequence, 1U);
  rule(HeartbeatResult::resend_in_full);
  EXPECT_EQ(last().id, id);
  EXPECT_EQ(last().base_sequence, 0U);
  EXPECT_EQ(last().heartbeat, report("n-1", 2, 2));
  EXPECT_EQ(answers.size(), 1U) << "the worker waits on";
  rule(HeartbeatResult::accepted);
  EXPECT_EQ(answers.size(), 2U);
}

TEST_F(CourierTest, NoRulingInTimeIsARefusalAndALateOneChangesNothing) {
  deliver(report("n-1", 1, 1));
  const auto id = last().id;
  loop.pass(2.5);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].result, HeartbeatResult::rejected);
  rule(id, HeartbeatResult::accepted);
  EXPECT_EQ(answers.size(), 1U);
  deliver(report("n-1", 2, 1));
  EXPECT_EQ(last().base_sequence, 0U) << "whether the leader had it is not known";
}

// A leader that stood still answers what it had from a forwarding controller that has been restarted
// meanwhile: taken for responses on reports of the new process, its orders would go to other workers.
TEST_F(CourierTest, ARulingForAnEarlierProcessFindsNothing) {
  deliver(report("n-1", 1, 1));
  const auto earlier = last().id;
  HeartbeatForwarder restarted(loop, 5000, {0.02, 2, 80}, {peers, {}});
  restarted.tell(ForwardHeartbeat{"leader", report("n-2", 1, 1), [this](const HeartbeatResponse& response) {
                                    answers.push_back(response);
                                  }});
  loop.pass(0.05);
  ASSERT_EQ(last().heartbeat.machine_id, wire::MachineId{"n-2"});
  restarted.tell(PeerFrame{
      "leader", wire::HeartbeatResponses{{HeartbeatResponse{earlier, HeartbeatResult::accepted, {7}, {}}}}});
  loop.pass(0.05);
  EXPECT_TRUE(answers.empty());
}

TEST_F(CourierTest, WithoutAConnectionTheWorkerIsRefusedAtOnce) {
  peers.cut = true;
  deliver(report("n-1", 1, 1));
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].result, HeartbeatResult::rejected);
}

TEST_F(CourierTest, ReportsAndRulingsGoInBundles) {
  for (int i = 0; i < 100; ++i)
    courier.tell(ForwardHeartbeat{"leader", report("n-" + std::to_string(i), 1, 1),
                                  [this](HeartbeatResponse r) { answers.push_back(r); }});
  loop.pass(0.1);
  EXPECT_LE(peers.sent.size(), 3U);
  std::vector<ForwardedHeartbeat> items;
  for (const auto& [node, frame] : peers.sent)
    for (const auto& item : std::get<wire::ForwardedHeartbeats>(frame).items) items.push_back(item);
  ASSERT_EQ(items.size(), 100U);
  peers.sent.clear();
  courier.tell(PeerFrame{"delegate", wire::ForwardedHeartbeats{items}});
  loop.pass(0.1);
  ASSERT_EQ(replies.size(), 100U);
  for (auto& reply : replies) reply({0, HeartbeatResult::accepted, {7}, {}});
  loop.pass(0.1);
  std::set<std::uint64_t> ruled;
  for (const auto& [node, frame] : peers.sent) {
    EXPECT_EQ(node, "delegate");
    for (const auto& response : std::get<wire::HeartbeatResponses>(frame).items) ruled.insert(response.id);
  }
  EXPECT_LE(peers.sent.size(), 3U);
  EXPECT_EQ(ruled.size(), 100U);
}

// A site of controllers to which workers come, each going where it is sent: in the end all are about equally
// full, nobody goes round for ever, and no settled worker moves between controllers that are about equal.
TEST(Spread, EvensOutWithoutGoingRound) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    const std::size_t count = 2 + random() % 6;
    std::vector<ControllerShare> members;
    for (std::size_t i = 0; i < count; ++i)
      members.push_back({"c" + std::to_string(i), random() % 2 == 0 ? "a" : "b", 0, 1000, i == 0});
    for (int worker = 0; worker < 1000; ++worker) {
      const std::string zone = random() % 3 == 0 ? "b" : "a";
      std::size_t at = random() % count;
      for (std::size_t hop = 0;; ++hop) {
        ASSERT_LE(hop, count) << "goes round, seed " << seed;
        const auto next = choose_controller(members, at, zone, false);
        if (next == at) break;
        at = next;
      }
      members[at].workers += 1;
    }
    double least = 1e9;
    double most = 0;
    for (const auto& member : members) {
      least = std::min(least, load_ratio(member));
      most = std::max(most, load_ratio(member));
    }
    EXPECT_LT(most - least, 0.5 * (most + least) / 2) << "seed " << seed;
    EXPECT_GT(members[1].workers, members[0].workers) << "the leader has less, seed " << seed;
    // Of those that are settled, few would move, and a controller that begins with none gets some.
    for (std::size_t at = 0; at < count; ++at)
      EXPECT_EQ(choose_controller(members, at, members[at].zone, true), at);
    members.push_back({"new", "a", 0, 1000, false});
    for (std::size_t at = 0; at < count; ++at) EXPECT_EQ(choose_controller(members, at, "a", true), count);
  }
}

TEST(Frames, ThoseOfDelegationSurviveTheWireAndNoOthersAreRead) {
  std::mt19937_64 random(11);
  wire::ForwardedHeartbeats heartbeats;
  wire::HeartbeatResponses responses;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    auto item = report("n-" + std::to_string(i), i * 1'000'000'007, i % 5);
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
    // Cut short inside, and with any byte changed: an error or a frame, never a read beyond the end
    // (sanitizers).
    for (int round = 0; round < 300; ++round) {
      auto broken = bytes;
      const auto at = sizeof(wire::FrameHeader) + random() % (broken.size() - sizeof(wire::FrameHeader));
      broken[at] = static_cast<char>(random());
      wire::FrameReader other;
      other.append(broken);
      const auto read = other.next();
      EXPECT_TRUE(!read || read->index() == frame.index());
      auto shorter = bytes.substr(0, at);
      const auto length = static_cast<std::uint32_t>(at - sizeof(wire::FrameHeader));
      for (int byte = 0; byte < 4; ++byte)
        shorter[static_cast<std::size_t>(4 + byte)] = static_cast<char>(length >> (24 - 8 * byte));
      wire::FrameReader third;
      third.append(shorter);
      EXPECT_EQ(third.next(), std::nullopt);
      EXPECT_EQ(third.error(), wire::FrameError::bad_body);
    }
  }
}

TEST(Frames, AReportsFingerprintIsAllButItsCounter) {
  const auto base = wire::fingerprint(report("n-1", 1, 2));
  EXPECT_EQ(wire::fingerprint(report("n-1", 2, 2)), base);
  EXPECT_NE(wire::fingerprint(report("n-2", 1, 2)), base);
  EXPECT_NE(wire::fingerprint(report("n-1", 1, 1)), base);
  auto other = report("n-1", 1, 2);
  other.tasks[1].state = wire::TaskState::exited;
  EXPECT_NE(wire::fingerprint(other), base);
  other = report("n-1", 1, 2);
  other.fencing_token = {8};
  EXPECT_NE(wire::fingerprint(other), base);
  other = report("n-1", 1, 2);
  other.preemption_notice_s = 3;
  EXPECT_NE(wire::fingerprint(other), base);
}

}  // namespace
}  // namespace bankhill::heartbeat
