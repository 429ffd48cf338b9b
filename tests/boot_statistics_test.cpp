// Detection of degraded machine boots (model/boot_statistics.hpp).
#include "model/boot_statistics.hpp"

#include <gtest/gtest.h>

#include "model/decay.hpp"

namespace bankhill::model {
namespace {

constexpr double kNoDecay = 1;

TEST(BootStatistics, NeedsFiveBootsForAJudgement) {
  BootStatistics boots;
  for (int i = 0; i < 4; ++i) EXPECT_FALSE(boots.record_boot(false, kNoDecay).has_value());
  EXPECT_EQ(boots.record_boot(false, kNoDecay), std::optional(true));
  EXPECT_EQ(boots.weighted_count(), 5);
  EXPECT_EQ(boots.late_share(), 1);
}

TEST(BootStatistics, DegradedAboveThirtyPercentLate) {
  BootStatistics boots;
  for (int i = 0; i < 7; ++i) EXPECT_FALSE(boots.record_boot(true, kNoDecay).has_value());
  for (int i = 0; i < 3; ++i) EXPECT_FALSE(boots.record_boot(false, kNoDecay).has_value());
  EXPECT_EQ(boots.record_boot(false, kNoDecay), std::optional(true));
}

TEST(BootStatistics, ReportsEachChangeOnceAndRecoversAtHalfTheShare) {
  BootStatistics boots;
  for (int i = 0; i < 5; ++i) boots.record_boot(false, kNoDecay);
  EXPECT_FALSE(boots.record_boot(false, kNoDecay).has_value());  // already degraded
  int in_time = 0;
  std::optional<bool> change;
  while (!change) {
    ASSERT_LT(in_time, 100);
    change = boots.record_boot(true, kNoDecay);
    ++in_time;
  }
  EXPECT_EQ(change, std::optional(false));
  EXPECT_EQ(in_time, 34);  // 6 of 40 are 15 %
  EXPECT_FALSE(boots.record_boot(true, kNoDecay).has_value());
}

TEST(BootStatistics, FullyDecayedBootsDoNotCount) {
  BootStatistics boots;
  for (int i = 0; i < 100; ++i) boots.record_boot(true, kNoDecay);
  boots.record_boot(false, 0);
  EXPECT_EQ(boots.weighted_count(), 1);
  EXPECT_EQ(boots.late_share(), 1);
}

TEST(BootStatistics, BootCountsAboutAThirdAfterFourRounds) {
  EXPECT_EQ(decay(0, 15), 1);
  EXPECT_NEAR(decay(4 * 15, 15), 1 / 2.718281828, 1e-9);
  EXPECT_LT(decay(40 * 15, 15), 1e-4);
}

}  // namespace
}  // namespace bankhill::model
