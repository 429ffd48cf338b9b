// Back-off of rental requests for pools without capacity (model/capacity_backoff.hpp).
#include "model/capacity_backoff.hpp"

#include <gtest/gtest.h>

namespace bankhill::model {
namespace {

constexpr double kRoundS = 16;
const Pool kPool{"small", "zone-a", false};

TEST(CapacityBackoff, AllowsRequestsWithoutAStockout) {
  const CapacityBackoff backoff;
  EXPECT_TRUE(backoff.can_request(kPool, 0));
  EXPECT_FALSE(backoff.had_stockout(kPool));
}

TEST(CapacityBackoff, BackoffDoublesFromHalfARoundToFour) {
  CapacityBackoff backoff;
  double now = 100;
  for (const double backoff_rounds : {0.5, 1.0, 2.0, 4.0, 4.0}) {
    backoff.record_stockout(kPool, now, kRoundS);
    EXPECT_FALSE(backoff.can_request(kPool, now + backoff_rounds * kRoundS - 0.25));
    EXPECT_TRUE(backoff.can_request(kPool, now + backoff_rounds * kRoundS));
    EXPECT_TRUE(backoff.had_stockout(kPool));
    now += backoff_rounds * kRoundS;
  }
}

// Guards against a fault in which each of the eight responses to a burst of requests doubled the back-off, so
// that it reached four rounds at once.
TEST(CapacityBackoff, ResponsesToOneBurstCountOnce) {
  CapacityBackoff backoff;
  for (int i = 0; i < 8; ++i) backoff.record_stockout(kPool, 100 + 0.5 * i, kRoundS);
  EXPECT_FALSE(backoff.can_request(kPool, 107.75));
  EXPECT_TRUE(backoff.can_request(kPool, 108));
}

TEST(CapacityBackoff, AvailableCapacityResetsOnlyItsPool) {
  CapacityBackoff backoff;
  const Pool preemptible{"small", "zone-a", true};
  backoff.record_stockout(kPool, 100, kRoundS);
  backoff.record_stockout(preemptible, 100, kRoundS);
  backoff.reset(kPool);
  EXPECT_TRUE(backoff.can_request(kPool, 100));
  EXPECT_FALSE(backoff.had_stockout(kPool));
  EXPECT_FALSE(backoff.can_request(preemptible, 100));
  backoff.record_stockout(kPool, 200, kRoundS);  // starts again with the shortest back-off
  EXPECT_TRUE(backoff.can_request(kPool, 208));
}

TEST(CapacityBackoff, ClearRemovesAllBackoffs) {
  CapacityBackoff backoff;
  backoff.record_stockout(kPool, 100, kRoundS);
  backoff.clear();
  EXPECT_TRUE(backoff.can_request(kPool, 100));
  EXPECT_FALSE(backoff.had_stockout(kPool));
}

}  // namespace
}  // namespace bankhill::model
