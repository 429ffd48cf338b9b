// Limits on the time without contact to a machine (model/failure_detector.hpp).
#include "model/failure_detector.hpp"

#include <gtest/gtest.h>

#include "model/cancellation_bound.hpp"

namespace bankhill::model {
namespace {

constexpr double kTolerance = 1e-9;

HeartbeatTiming timing(std::size_t controllers) {
  HeartbeatTiming result;
  result.response_wait_s = 4;
  result.heartbeat_interval_s = 3;
  result.control_interval_s = 3;
  result.lease_s = 40;
  result.controllers = controllers;
  return result;
}

TEST(FailureDetector, ThresholdsOfAMachineWithoutServices) {
  const auto thresholds = FailureDetector(timing(3)).thresholds({});
  EXPECT_NEAR(thresholds.probe_after_s, 5.1,
              kTolerance);  // the latest heartbeat, 3.75 s, and a part of the control interval
  EXPECT_NEAR(thresholds.overdue_after_s, 5.1, kTolerance);
  EXPECT_NEAR(thresholds.probe_again_after_s, 3, kTolerance);
  EXPECT_NEAR(thresholds.dead_after_s, 9, kTolerance);
}

TEST(FailureDetector, MachinesWithServicesAreProbedSooner) {
  const FailureDetector detector(timing(3));
  const auto thresholds = detector.thresholds({true, true, false});
  EXPECT_NEAR(thresholds.probe_after_s, 1.5, kTolerance);  // between two heartbeats
  EXPECT_NEAR(thresholds.probe_again_after_s, 3, kTolerance);
  EXPECT_NEAR(thresholds.dead_after_s, 6, kTolerance);
  EXPECT_NEAR(thresholds.overdue_after_s, 5.1, kTolerance);
  EXPECT_NEAR(detector.thresholds({true, true, true}).probe_again_after_s, 2.25, kTolerance);
  EXPECT_NEAR(detector.thresholds({false, true, true}).probe_again_after_s, 3, kTolerance);
}

// An agent that lost a response waits for its timeout and then tries the next controller.
TEST(FailureDetector, OneLostResponseDoesNotMakeAMachineDead) {
  auto slow_responses = timing(3);
  slow_responses.response_wait_s = 20;
  const auto thresholds = FailureDetector(slow_responses).thresholds({});
  EXPECT_NEAR(thresholds.dead_after_s, 22, kTolerance);
  EXPECT_NEAR(thresholds.probe_after_s, 5.1, kTolerance);
}

// The agent moves from one controller to the next and may be out of contact for a cycle through all of them
// while it is still running.
TEST(FailureDetector, MachineWithALostDownlinkGetsACycleOfControllers) {
  EXPECT_NEAR(FailureDetector(timing(3)).thresholds({false, false, false}).dead_after_s, 18, kTolerance);
  EXPECT_NEAR(FailureDetector(timing(3)).thresholds({false, false, false}).probe_after_s, 18, kTolerance);
  EXPECT_NEAR(FailureDetector(timing(5)).thresholds({true, false, false}).dead_after_s, 28, kTolerance);
  EXPECT_NEAR(FailureDetector(timing(50)).thresholds({false, false, false}).dead_after_s, 40,
              kTolerance);  // at most a lease
}

TEST(FailureDetector, HeartbeatsAreOverdueAfterACycleOfControllers) {
  const FailureDetector detector(timing(3));
  EXPECT_EQ(detector.uplink_state(18), UplinkState::up);
  EXPECT_EQ(detector.uplink_state(18 + kTolerance), UplinkState::overdue);
}

TEST(FailureDetector, HeartbeatsAreOverdueAfterOneLostResponseAtTheEarliest) {
  const FailureDetector detector(timing(1));
  EXPECT_EQ(detector.uplink_state(9.75), UplinkState::up);
  EXPECT_EQ(detector.uplink_state(9.75 + kTolerance), UplinkState::overdue);
}

TEST(FailureDetector, HeartbeatsAreOverdueAfterHalfALeaseAtTheLatest) {
  const FailureDetector detector(timing(50));
  EXPECT_EQ(detector.uplink_state(20), UplinkState::up);
  EXPECT_EQ(detector.uplink_state(20 + kTolerance), UplinkState::overdue);
}

TEST(FailureDetector, UplinkIsLostOnceTheLeaseHasExpired) {
  const FailureDetector detector(timing(3));
  const double expiry_s = 40 * kDriftAllowance + kAllowanceS;
  EXPECT_EQ(detector.uplink_state(expiry_s), UplinkState::overdue);
  EXPECT_EQ(detector.uplink_state(expiry_s + kTolerance), UplinkState::lost);
}

TEST(FailureDetector, MachineWithoutHeartbeatsIsTerminatedAfterTwoLeases) {
  const FailureDetector detector(timing(3));
  EXPECT_FALSE(detector.should_terminate(79));
  EXPECT_FALSE(detector.should_terminate(80));
  EXPECT_TRUE(detector.should_terminate(80 + kTolerance));
}

}  // namespace
}  // namespace bankhill::model
