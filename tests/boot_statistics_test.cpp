// Whether boots in general are bad (model/boot_statistics.hpp).
#include "model/boot_statistics.hpp"

#include <gtest/gtest.h>

#include "model/decay.hpp"

namespace bankhill::model {
namespace {

constexpr double kNothingForgotten = 1;

TEST(BootStatistics, FourBootsAreTooFewForAJudgement) {
  BootStatistics boots;
  for (int i = 0; i < 4; ++i) EXPECT_FALSE(boots.record_boot(false, kNothingForgotten).has_value());
  EXPECT_EQ(boots.record_boot(false, kNothingForgotten), std::optional(true));
  EXPECT_EQ(boots.weighted_count(), 5);
  EXPECT_EQ(boots.late_share(), 1);
}

TEST(BootStatistics, ThreeInTenLateAreNotBadAndMoreAre) {
  BootStatistics boots;
  for (int i = 0; i < 7; ++i) EXPECT_FALSE(boots.record_boot(true, kNothingForgotten).has_value());
  for (int i = 0; i < 3; ++i) EXPECT_FALSE(boots.record_boot(false, kNothingForgotten).has_value());
  EXPECT_EQ(boots.record_boot(false, kNothingForgotten), std::optional(true));
}

TEST(BootStatistics, TellsEachChangeOnceAndIsWellAgainAtHalfTheShare) {
  BootStatistics boots;
  for (int i = 0; i < 5; ++i) boots.record_boot(false, kNothingForgotten);
  EXPECT_FALSE(boots.record_boot(false, kNothingForgotten).has_value());  // bad already
  int in_time = 0;
  std::optional<bool> news;
  while (!news) {
    ASSERT_LT(in_time, 100);
    news = boots.record_boot(true, kNothingForgotten);
    ++in_time;
  }
  EXPECT_EQ(news, std::optional(false));
  EXPECT_EQ(in_time, 34);  // 6 of 40 are 15 %
  EXPECT_FALSE(boots.record_boot(true, kNothingForgotten).has_value());
}

TEST(BootStatistics, WhatWasCountedLongAgoCountsNoMore) {
  BootStatistics boots;
  for (int i = 0; i < 100; ++i) boots.record_boot(true, kNothingForgotten);
  boots.record_boot(false, 0);
  EXPECT_EQ(boots.weighted_count(), 1);
  EXPECT_EQ(boots.late_share(), 1);
}

TEST(BootStatistics, FourRoundsLaterABootCountsAThird) {
  EXPECT_EQ(decay(0, 15), 1);
  EXPECT_NEAR(decay(4 * 15, 15), 1 / 2.718281828, 1e-9);
  EXPECT_LT(decay(40 * 15, 15), 1e-4);
}

}  // namespace
}  // namespace bankhill::model
