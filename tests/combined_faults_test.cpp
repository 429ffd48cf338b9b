// Seeded days on which troubles meet; bankhill_meeting_days plays more of them.
#include "sim/combined_faults.hpp"

#include <gtest/gtest.h>

namespace bankhill {
namespace {

class MeetingDay : public testing::TestWithParam<int> {};

TEST_P(MeetingDay, KeepsTheRulesAndFinishes) {
  sim::MeetingDay day(static_cast<std::uint64_t>(GetParam()));
  const auto broken = day.play();
  EXPECT_TRUE(broken.empty()) << day.name() << "\n"
                              << sim::listing(broken) << "story:\n"
                              << sim::listing(day.story());
}

INSTANTIATE_TEST_SUITE_P(Seeds, MeetingDay, testing::Range(1, 25));

}  // namespace
}  // namespace bankhill
