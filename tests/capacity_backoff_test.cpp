// Until when the cloud is not asked again for what it had none of (model/capacity_backoff.hpp).
#include "model/capacity_backoff.hpp"

#include <gtest/gtest.h>

namespace bankhill::model {
namespace {

constexpr double kRoundS = 16;
const Pool kPool{"small", "zone-a", false};

TEST(CapacityBackoff, WhatWasNeverRefusedMayBeAskedFor) {
  const CapacityBackoff stockouts;
  EXPECT_TRUE(stockouts.can_request(kPool, 0));
  EXPECT_FALSE(stockouts.had_stockout(kPool));
}

TEST(CapacityBackoff, PausesDoubleFromHalfARoundToFour) {
  CapacityBackoff stockouts;
  double now = 100;
  for (const double pause : {0.5, 1.0, 2.0, 4.0, 4.0}) {
    stockouts.record_stockout(kPool, now, kRoundS);
    EXPECT_FALSE(stockouts.can_request(kPool, now + pause * kRoundS - 0.25));
    EXPECT_TRUE(stockouts.can_request(kPool, now + pause * kRoundS));
    EXPECT_TRUE(stockouts.had_stockout(kPool));
    now += pause * kRoundS;
  }
}

// Each of the eight answers of a burst doubled it once: the pause was four rounds at once.
TEST(CapacityBackoff, TheAnswersOfOneBurstCountOnce) {
  CapacityBackoff stockouts;
  for (int i = 0; i < 8; ++i) stockouts.record_stockout(kPool, 100 + 0.5 * i, kRoundS);
  EXPECT_FALSE(stockouts.can_request(kPool, 107.75));
  EXPECT_TRUE(stockouts.can_request(kPool, 108));
}

TEST(CapacityBackoff, CapacityFoundEndsItForThisPoolAlone) {
  CapacityBackoff stockouts;
  const Pool preemptible{"small", "zone-a", true};
  stockouts.record_stockout(kPool, 100, kRoundS);
  stockouts.record_stockout(preemptible, 100, kRoundS);
  stockouts.reset(kPool);
  EXPECT_TRUE(stockouts.can_request(kPool, 100));
  EXPECT_FALSE(stockouts.had_stockout(kPool));
  EXPECT_FALSE(stockouts.can_request(preemptible, 100));
  stockouts.record_stockout(kPool, 200, kRoundS);  // begins anew with the shortest pause
  EXPECT_TRUE(stockouts.can_request(kPool, 208));
}

TEST(CapacityBackoff, ClearForgetsAll) {
  CapacityBackoff stockouts;
  stockouts.record_stockout(kPool, 100, kRoundS);
  stockouts.clear();
  EXPECT_TRUE(stockouts.can_request(kPool, 100));
  EXPECT_FALSE(stockouts.had_stockout(kPool));
}

}  // namespace
}  // namespace bankhill::model
