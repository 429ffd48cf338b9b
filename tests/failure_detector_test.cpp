// How long a machine may be silent (model/failure_detector.hpp).
#include "model/failure_detector.hpp"

#include <gtest/gtest.h>

#include "model/cancellation_bound.hpp"

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
  const auto limits = FailureDetector(timing(3)).thresholds({});
  EXPECT_NEAR(limits.probe_after_s, 5.1,
              kSlack);  // the latest heartbeat, 3.75 s, and a part of the control interval
  EXPECT_NEAR(limits.overdue_after_s, 5.1, kSlack);
  EXPECT_NEAR(limits.probe_again_after_s, 3, kSlack);
  EXPECT_NEAR(limits.dead_after_s, 9, kSlack);
}

TEST(FailureDetector, MachinesWithServicesAreMissedSooner) {
  const FailureDetector detector(timing(3));
  const auto limits = detector.thresholds({true, true, false});
  EXPECT_NEAR(limits.probe_after_s, 1.5, kSlack);  // between two heartbeats
  EXPECT_NEAR(limits.probe_again_after_s, 3, kSlack);
  EXPECT_NEAR(limits.dead_after_s, 6, kSlack);
  EXPECT_NEAR(limits.overdue_after_s, 5.1, kSlack);
  EXPECT_NEAR(detector.thresholds({true, true, true}).probe_again_after_s, 2.25, kSlack);
  EXPECT_NEAR(detector.thresholds({false, true, true}).probe_again_after_s, 3, kSlack);
}

// A worker that lost a response gives it up after its wait and then tries the next controller.
TEST(FailureDetector, OneLostResponseGivesNoMachineUp) {
  auto slow_responses = timing(3);
  slow_responses.response_wait_s = 20;
  const auto limits = FailureDetector(slow_responses).thresholds({});
  EXPECT_NEAR(limits.dead_after_s, 22, kSlack);
  EXPECT_NEAR(limits.probe_after_s, 5.1, kSlack);
}

// It goes from one controller to the next, and may be silent for a whole round without being gone.
TEST(FailureDetector, AMachineWithALostDownlinkIsWaitedForARoundOfControllers) {
  EXPECT_NEAR(FailureDetector(timing(3)).thresholds({false, false, false}).dead_after_s, 18, kSlack);
  EXPECT_NEAR(FailureDetector(timing(3)).thresholds({false, false, false}).probe_after_s, 18, kSlack);
  EXPECT_NEAR(FailureDetector(timing(5)).thresholds({true, false, false}).dead_after_s, 28, kSlack);
  EXPECT_NEAR(FailureDetector(timing(50)).thresholds({false, false, false}).dead_after_s, 40,
              kSlack);  // a lease at most
}

TEST(FailureDetector, HeartbeatsAreOverdueAfterARoundOfControllers) {
  const FailureDetector detector(timing(3));
  EXPECT_EQ(detector.uplink_state(18), UplinkState::up);
  EXPECT_EQ(detector.uplink_state(18 + kSlack), UplinkState::overdue);
}

TEST(FailureDetector, HeartbeatsAreOverdueAfterOneLostResponseAtTheEarliest) {
  const FailureDetector detector(timing(1));
  EXPECT_EQ(detector.uplink_state(9.75), UplinkState::up);
  EXPECT_EQ(detector.uplink_state(9.75 + kSlack), UplinkState::overdue);
}

TEST(FailureDetector, HeartbeatsAreOverdueWhileHalfALeaseIsLeft) {
  const FailureDetector detector(timing(50));
  EXPECT_EQ(detector.uplink_state(20), UplinkState::up);
  EXPECT_EQ(detector.uplink_state(20 + kSlack), UplinkState::overdue);
}

TEST(FailureDetector, HeartbeatsAreAbsentOnceTheLeaseIsSurelyOver) {
  const FailureDetector detector(timing(3));
  const double over_s = 40 * kDriftAllowance + kAllowanceS;
  EXPECT_EQ(detector.uplink_state(over_s), UplinkState::overdue);
  EXPECT_EQ(detector.uplink_state(over_s + kSlack), UplinkState::lost);
}

TEST(FailureDetector, AMachineWithoutHeartbeatsIsReturnedAfterTwoLeases) {
  const FailureDetector detector(timing(3));
  EXPECT_FALSE(detector.should_terminate(79));
  EXPECT_FALSE(detector.should_terminate(80));
  EXPECT_TRUE(detector.should_terminate(80 + kSlack));
}

}  // namespace
}  // namespace bankhill::model
