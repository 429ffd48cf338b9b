// Evaluation of heartbeats for signs that responses do not reach the machine (model/downlink_health.hpp).
#include "model/downlink_health.hpp"

#include <gtest/gtest.h>

namespace bankhill::model {
namespace {

using State = DownlinkHealth::State;

class DownlinkHealthTest : public testing::Test {
 protected:
  // Receives a heartbeat `gap_s` seconds after the last one and answers it at once. `forwarded_by`: the
  // controller that forwarded it; empty: the leader received it.
  void receive_heartbeat(double gap_s, const std::string& forwarded_by = "", bool start_missing = false,
                         bool new_start_listed = false) {
    now += gap_s;
    downlink.heartbeat_received(now, timing,
                                {++sequence,
                                 {agent_epoch},
                                 {shown_token},
                                 forwarded_by,
                                 start_missing,
                                 new_start_listed,
                                 only_controller});
    downlink.response_sent(now, sequence, {agent_epoch}, {response_token}, forwarded_by);
  }
  void lose_start() {
    receive_heartbeat(3);
    receive_heartbeat(5, "node-1", true);
  }
  // Advances the time until the next probe is due and sends it. Returns the time passed.
  double advance_to_probe() {
    const double from = now;
    while (!downlink.probe_due(now) && now < from + 1000) now += 0.25;
    downlink.probe_sent(now, timing);
    return now - from;
  }

  HeartbeatTiming timing{4, 3, 3, 40, 1};
  DownlinkHealth downlink;
  double now = 100;
  std::uint64_t sequence = 0;
  std::uint64_t agent_epoch = 1;
  std::uint64_t shown_token = 7;
  std::uint64_t response_token = 7;
  bool only_controller = false;
};

TEST_F(DownlinkHealthTest, OneLostStartMakesItSuspectAndIsProbed) {
  receive_heartbeat(3);
  receive_heartbeat(3);
  EXPECT_TRUE(downlink.takes_tasks());
  receive_heartbeat(5, "node-1", true);
  EXPECT_EQ(downlink.state(), State::probing);
  EXPECT_FALSE(downlink.takes_tasks());
  EXPECT_TRUE(downlink.probe_due(now));
  downlink.probe_ended(now, timing, false);
  EXPECT_EQ(downlink.state(), State::lost);
}

// The forwarding controller or the network lost the response: the machine answers the probe and is used
// again.
TEST_F(DownlinkHealthTest, AnsweredProbeRestoresHealth) {
  lose_start();
  downlink.probe_ended(now, timing, true);
  EXPECT_TRUE(downlink.takes_tasks());
}

// An agent epoch that ends although every heartbeat was answered shows that the responses were lost: without
// responses it had to end.
TEST_F(DownlinkHealthTest, EpochThatEndsDespiteResponsesIsALoss) {
  receive_heartbeat(3);
  receive_heartbeat(5, "node-1");
  ++agent_epoch;
  receive_heartbeat(5, "node-2");
  EXPECT_EQ(downlink.state(), State::probing);
}

TEST_F(DownlinkHealthTest, EpochThatEndsWithoutResponsesProvesNothing) {
  receive_heartbeat(3);
  ++agent_epoch;
  receive_heartbeat(41, "node-1");  // the machine hung, was partitioned, or no controller was up
  EXPECT_TRUE(downlink.takes_tasks());
}

TEST_F(DownlinkHealthTest, OldTokenAfterAResponseIsALoss) {
  response_token = 8;
  receive_heartbeat(3);  // the response carries the new token
  receive_heartbeat(5, "node-1");
  EXPECT_EQ(downlink.state(), State::probing);
}

TEST_F(DownlinkHealthTest, NewTokenAfterAResponseProvesReceipt) {
  response_token = 8;
  receive_heartbeat(3);
  shown_token = 8;
  receive_heartbeat(1);
  EXPECT_TRUE(downlink.takes_tasks());
}

// A heartbeat that was sent before the response proves nothing about the response.
TEST_F(DownlinkHealthTest, HeartbeatsSentBeforeTheResponseProveNothing) {
  receive_heartbeat(3);
  downlink.heartbeat_received(now + 0.1, timing,
                              {sequence, {agent_epoch}, {shown_token}, "node-1", true, false, false});
  downlink.heartbeat_received(now + 0.1, timing,
                              {sequence - 1, {agent_epoch}, {shown_token - 1}, "node-1", true, false, false});
  EXPECT_TRUE(downlink.takes_tasks());
}

TEST_F(DownlinkHealthTest, ProbesWithGrowingDelaysUntilTermination) {
  lose_start();
  EXPECT_EQ(advance_to_probe(), 0);
  std::vector<double> delays;
  while (!downlink.should_terminate(now, timing)) {
    ASSERT_LT(now, 400);
    downlink.probe_ended(now, timing, false);
    delays.push_back(advance_to_probe());
  }
  EXPECT_TRUE(downlink.considered_lost());
  ASSERT_GE(delays.size(), 3U);
  EXPECT_LE(delays.size(), 6U);
  for (std::size_t i = 1; i < delays.size(); ++i) EXPECT_GE(delays[i], delays[i - 1]);
  EXPECT_GT(delays.back(), 3 * delays.front());
}

TEST_F(DownlinkHealthTest, RecoversWhenTheAgentStaysWithItsController) {
  lose_start();
  downlink.probe_ended(now, timing, false);
  receive_heartbeat(5, "node-2");  // the agent is still moving from one controller to the next
  EXPECT_EQ(downlink.state(), State::lost);
  receive_heartbeat(3, "node-2");
  EXPECT_TRUE(downlink.takes_tasks());
}

// With a single controller, an agent returns to it whether or not it received the response.
TEST_F(DownlinkHealthTest, ReturnToTheOnlyControllerProvesNothing) {
  lose_start();
  downlink.probe_ended(now, timing, false);
  only_controller = true;
  receive_heartbeat(5);
  receive_heartbeat(5);
  EXPECT_EQ(downlink.state(), State::lost);
}

// Guards against a machine that answers commands but keeps losing heartbeat responses: without a back-off,
// each time it is used again another start would be lost.
TEST_F(DownlinkHealthTest, RepeatedLossesLengthenTheBackoff) {
  double previous = 0;
  for (int attempt = 0; attempt < 5; ++attempt) {
    lose_start();
    const double from = now;
    while (!downlink.takes_tasks()) {
      ASSERT_LT(now, from + 100);
      advance_to_probe();
      downlink.probe_ended(now, timing, true);
    }
    EXPECT_GE(now - from, previous);
    previous = now - from;
  }
  EXPECT_GE(previous, 4 * timing.control_interval_s);
  receive_heartbeat(3, "", false, true);  // a start in a response was received: no fault is left
  lose_start();
  downlink.probe_ended(now, timing, true);
  EXPECT_TRUE(downlink.takes_tasks());
}

TEST_F(DownlinkHealthTest, TracksResponsesSentThroughPeers) {
  receive_heartbeat(3, "node-1");
  receive_heartbeat(3, "node-1");
  EXPECT_EQ(downlink.peer_response_received_at(), now);
  const double received_at = now;
  receive_heartbeat(5, "node-2");
  EXPECT_EQ(downlink.peer_response_received_at(), received_at);
  EXPECT_EQ(downlink.peer_response_lost_at(), now);
  // An agent that was redirected reaches the other controller at once, and no response was lost.
  const double lost_at = now;
  receive_heartbeat(3, "node-2");
  receive_heartbeat(3.3, "node-1");
  EXPECT_EQ(downlink.peer_response_lost_at(), lost_at);
}

}  // namespace
}  // namespace bankhill::model
