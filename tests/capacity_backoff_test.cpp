// Until when the cloud is not asked again for what it had none of (model/capacity_backoff.hpp).
#include "model/capacity_backoff.hpp"

#include <gtest/gtest.h>

namespace bankhill::model {
namespace {

constexpr double kRoundS = 16;
const Pool kPool{"small", "zone-a", false};

TEST(CapacityBackoff, WhatWasNeverRefusedMayBeAskedFor) {
  const CapacityBackoff stockouts;
  EXPECT_TRUE(stockouts.may_ask(kPool, 0));
  EXPECT_FALSE(stockouts.doubtful(kPool));
}

TEST(CapacityBackoff, PausesDoubleFromHalfARoundToFour) {
  CapacityBackoff stockouts;
  double now = 100;
  for (const double pause : {0.5, 1.0, 2.0, 4.0, 4.0}) {
    stockouts.note(kPool, now, kRoundS);
    EXPECT_FALSE(stockouts.may_ask(kPool, now + pause * kRoundS - 0.25));
    EXPECT_TRUE(stockouts.may_ask(kPool, now + pause * kRoundS));
    EXPECT_TRUE(stockouts.doubtful(kPool));
    now += pause * kRoundS;
  }
}

// Each of the eight answers of a burst doubled it once: the pause was four rounds at once.
TEST(CapacityBackoff, TheAnswersOfOneBurstCountOnce) {
  CapacityBackoff stockouts;
  for (int i = 0; i < 8; ++i) stockouts.note(kPool, 100 + 0.5 * i, kRoundS);
  EXPECT_FALSE(stockouts.may_ask(kPool, 107.75));
  EXPECT_TRUE(stockouts.may_ask(kPool, 108));
}

TEST(CapacityBackoff, CapacityFoundEndsItForThisPoolAlone) {
  CapacityBackoff stockouts;
  const Pool preemptible{"small", "zone-a", true};
  stockouts.note(kPool, 100, kRoundS);
  stockouts.note(preemptible, 100, kRoundS);
  stockouts.over(kPool);
  EXPECT_TRUE(stockouts.may_ask(kPool, 100));
  EXPECT_FALSE(stockouts.doubtful(kPool));
  EXPECT_FALSE(stockouts.may_ask(preemptible, 100));
  stockouts.note(kPool, 200, kRoundS);  // begins anew with the shortest pause
  EXPECT_TRUE(stockouts.may_ask(kPool, 208));
}

TEST(CapacityBackoff, ClearForgetsAll) {
  CapacityBackoff stockouts;
  stockouts.note(kPool, 100, kRoundS);
  stockouts.clear();
  EXPECT_TRUE(stockouts.may_ask(kPool, 100));
  EXPECT_FALSE(stockouts.doubtful(kPool));
}

}  // namespace
}  // namespace bankhill::model
