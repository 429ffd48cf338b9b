// How long a machine may be silent (model/silence.hpp).
#include <gtest/gtest.h>

#include "model/cancel_budget.hpp"
#include "model/silence.hpp"

namespace bankhill::model {
namespace {

constexpr double kSlack = 1e-9;

HeartbeatTiming timing(std::size_t controllers) {
  HeartbeatTiming result;
  result.response_wait_s = 4;
  result.heartbeat_interval_s = 3;
  result.control_interval_s = 3;
  result.lease_s = 40;
  result.controllers = controllers;
  return result;
}

TEST(FailureDetector, LimitsOfAMachineWithoutServices) {
  const auto limits = Silence(timing(3)).limits({});
  EXPECT_NEAR(limits.ask, 5.1, kSlack);  // the latest heartbeat, 3.75 s, and a part of the control interval
  EXPECT_NEAR(limits.quiet, 5.1, kSlack);
  EXPECT_NEAR(limits.again, 3, kSlack);
  EXPECT_NEAR(limits.gone, 9, kSlack);
}

TEST(FailureDetector, MachinesWithServicesAreMissedSooner) {
  const Silence detector(timing(3));
  const auto limits = detector.limits({true, true, false});
  EXPECT_NEAR(limits.ask, 1.5, kSlack);  // between two heartbeats
  EXPECT_NEAR(limits.again, 3, kSlack);
  EXPECT_NEAR(limits.gone, 6, kSlack);
  EXPECT_NEAR(limits.quiet, 5.1, kSlack);
  EXPECT_NEAR(detector.limits({true, true, true}).again, 2.25, kSlack);
  EXPECT_NEAR(detector.limits({false, true, true}).again, 3, kSlack);
}

// A worker that lost a response gives it up after its wait and then tries the next controller.
TEST(FailureDetector, OneLostResponseGivesNoMachineUp) {
  auto slow_responses = timing(3);
  slow_responses.response_wait_s = 20;
  const auto limits = Silence(slow_responses).limits({});
  EXPECT_NEAR(limits.gone, 22, kSlack);
  EXPECT_NEAR(limits.ask, 5.1, kSlack);
}

// It goes from one controller to the next, and may be silent for a whole round without being gone.
TEST(FailureDetector, AMachineWithALostDownlinkIsWaitedForARoundOfControllers) {
  EXPECT_NEAR(Silence(timing(3)).limits({false, false, false}).gone, 18, kSlack);
  EXPECT_NEAR(Silence(timing(3)).limits({false, false, false}).ask, 18, kSlack);
  EXPECT_NEAR(Silence(timing(5)).limits({true, false, false}).gone, 28, kSlack);
  EXPECT_NEAR(Silence(timing(50)).limits({false, false, false}).gone, 40, kSlack);  // a lease at most
}

TEST(FailureDetector, HeartbeatsAreOverdueAfterARoundOfControllers) {
  const Silence detector(timing(3));
  EXPECT_EQ(detector.reporting(18), Reporting::comes);
  EXPECT_EQ(detector.reporting(18 + kSlack), Reporting::overdue);
}

TEST(FailureDetector, HeartbeatsAreOverdueAfterOneLostResponseAtTheEarliest) {
  const Silence detector(timing(1));
  EXPECT_EQ(detector.reporting(9.75), Reporting::comes);
  EXPECT_EQ(detector.reporting(9.75 + kSlack), Reporting::overdue);
}

TEST(FailureDetector, HeartbeatsAreOverdueWhileHalfALeaseIsLeft) {
  const Silence detector(timing(50));
  EXPECT_EQ(detector.reporting(20), Reporting::comes);
  EXPECT_EQ(detector.reporting(20 + kSlack), Reporting::overdue);
}

TEST(FailureDetector, HeartbeatsAreAbsentOnceTheLeaseIsSurelyOver) {
  const Silence detector(timing(3));
  const double over_s = 40 * kDriftAllowance + kAllowanceS;
  EXPECT_EQ(detector.reporting(over_s), Reporting::overdue);
  EXPECT_EQ(detector.reporting(over_s + kSlack), Reporting::absent);
}

TEST(FailureDetector, AMachineWithoutHeartbeatsIsReturnedAfterTwoLeases) {
  const Silence detector(timing(3));
  EXPECT_FALSE(detector.give_up(79));
  EXPECT_FALSE(detector.give_up(80));
  EXPECT_TRUE(detector.give_up(80 + kSlack));
}

}  // namespace
}  // namespace bankhill::model
