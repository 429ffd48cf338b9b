// What a machine's reports show of the answers before them (model/downlink_health.hpp).
#include "model/downlink_health.hpp"

#include <gtest/gtest.h>

namespace bankhill::model {
namespace {

using State = DownlinkHealth::State;

class HearingTest : public testing::Test {
 protected:
  // A report by this controller, answered at once.
  void report(double gap, const std::string& by = "", bool lost_start = false, bool ran_start = false) {
    now += gap;
    hearing.heartbeat_received(now, times, {++counter, {tenure}, {seen}, by, lost_start, ran_start, alone});
    hearing.response_sent(now, counter, {tenure}, {fence}, by);
  }
  void lose_a_start() {
    report(3);
    report(5, "node-1", true);
  }
  // Until it is asked next; that it is not sooner.
  double until_asked() {
    const double from = now;
    while (!hearing.probe_due(now) && now < from + 1000) now += 0.25;
    hearing.probe_sent(now, times);
    return now - from;
  }

  HeartbeatTiming times{4, 3, 3, 40, 1};
  DownlinkHealth hearing;
  double now = 100;
  std::uint64_t counter = 0;
  std::uint64_t tenure = 1;
  std::uint64_t seen = 7;
  std::uint64_t fence = 7;
  bool alone = false;
};

TEST_F(HearingTest, OneLostStartIsEnoughAndTheMachineItselfIsAsked) {
  report(3);
  report(3);
  EXPECT_TRUE(hearing.takes_tasks());
  report(5, "node-1", true);
  EXPECT_EQ(hearing.state(), State::probing);
  EXPECT_FALSE(hearing.takes_tasks());
  EXPECT_TRUE(hearing.probe_due(now));
  hearing.probe_ended(now, times, false);
  EXPECT_EQ(hearing.state(), State::lost);
}

// The forwarding controller or the network lost the answer: the machine answers when it is asked, and goes
// on.
TEST_F(HearingTest, OneThatAnswersWhenAskedIsNotBlamed) {
  lose_a_start();
  hearing.probe_ended(now, times, true);
  EXPECT_TRUE(hearing.takes_tasks());
}

// Its agent epoch ended although it was answered all the time; without answers it had to end.
TEST_F(HearingTest, ASessionThatEndedAlthoughAnswered) {
  report(3);
  report(5, "node-1");
  ++tenure;
  report(5, "node-2");
  EXPECT_EQ(hearing.state(), State::probing);
}

TEST_F(HearingTest, ASessionThatEndedUnansweredShowsNothing) {
  report(3);
  ++tenure;
  report(41, "node-1");  // hung, cut off, or no controller there
  EXPECT_TRUE(hearing.takes_tasks());
}

TEST_F(HearingTest, ATokenThatWasGivenAndNotSeen) {
  fence = 8;
  report(3);  // answered with the new one
  report(5, "node-1");
  EXPECT_EQ(hearing.state(), State::probing);
}

TEST_F(HearingTest, ATokenThatWasSeenIsHeard) {
  fence = 8;
  report(3);
  seen = 8;
  report(1);
  EXPECT_TRUE(hearing.takes_tasks());
}

// A report that was sent before the one that was answered shows nothing of that answer.
TEST_F(HearingTest, ReportsThatCrossedTheAnswerProveNothing) {
  report(3);
  hearing.heartbeat_received(now + 0.1, times, {counter, {tenure}, {seen}, "node-1", true, false, false});
  hearing.heartbeat_received(now + 0.1, times,
                             {counter - 1, {tenure}, {seen - 1}, "node-1", true, false, false});
  EXPECT_TRUE(hearing.takes_tasks());
}

TEST_F(HearingTest, IsAskedAfterGrowingPausesAndReturnedAtLast) {
  lose_a_start();
  EXPECT_EQ(until_asked(), 0);
  std::vector<double> pauses;
  while (!hearing.should_terminate(now, times)) {
    ASSERT_LT(now, 400);
    hearing.probe_ended(now, times, false);
    pauses.push_back(until_asked());
  }
  EXPECT_TRUE(hearing.considered_lost());
  ASSERT_GE(pauses.size(), 3U);
  EXPECT_LE(pauses.size(), 6U);
  for (std::size_t i = 1; i < pauses.size(); ++i) EXPECT_GE(pauses[i], pauses[i - 1]);
  EXPECT_GT(pauses.back(), 3 * pauses.front());
}

TEST_F(HearingTest, HearsAgainWhenAStartArrivesOrItStaysWithItsController) {
  lose_a_start();
  hearing.probe_ended(now, times, false);
  report(5, "node-2");  // still walking from one to the next
  EXPECT_EQ(hearing.state(), State::lost);
  report(3, "node-2");
  EXPECT_TRUE(hearing.takes_tasks());
}

// With a single controller there a worker comes back to it whatever it has heard.
TEST_F(HearingTest, ComingBackToTheOnlyControllerShowsNothing) {
  lose_a_start();
  hearing.probe_ended(now, times, false);
  alone = true;
  report(5);
  report(5);
  EXPECT_EQ(hearing.state(), State::lost);
}

// It answers commands and goes on losing answers: a start each time would be lost for ever.
TEST_F(HearingTest, OneThatFallsBackIsTriedEverMoreSparingly) {
  double last = 0;
  for (int times_before = 0; times_before < 5; ++times_before) {
    lose_a_start();
    const double from = now;
    while (!hearing.takes_tasks()) {
      ASSERT_LT(now, from + 100);
      until_asked();
      hearing.probe_ended(now, times, true);
    }
    EXPECT_GE(now - from, last);
    last = now - from;
  }
  EXPECT_GE(last, 4 * times.control_interval_s);
  report(3, "", false, true);  // a start that came with an answer: all is well again
  lose_a_start();
  hearing.probe_ended(now, times, true);
  EXPECT_TRUE(hearing.takes_tasks());
}

TEST_F(HearingTest, TellsWhetherSiblingsAreHeard) {
  report(3, "node-1");
  report(3, "node-1");
  EXPECT_EQ(hearing.peer_response_received_at(), now);
  const double before = now;
  report(5, "node-2");
  EXPECT_EQ(hearing.peer_response_received_at(), before);
  EXPECT_EQ(hearing.peer_response_lost_at(), now);
  // Named another controller: comes there at once, and nothing was lost.
  const double lost = now;
  report(3, "node-2");
  report(3.3, "node-1");
  EXPECT_EQ(hearing.peer_response_lost_at(), lost);
}

}  // namespace
}  // namespace bankhill::model
