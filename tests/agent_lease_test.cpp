// The one count of leases, and of starts that may still arrive (docs/SAFETY.md, "When a task is surely
// gone").
#include "model/agent_lease.hpp"

#include <gtest/gtest.h>

namespace bankhill::model {
namespace {

using wire::FencingToken;

TEST(SurelyGone, ALeaseCountsFromItsLastRenewalAndIsNeverShortened) {
  constexpr double kLeaseS = 40;
  AgentLease lease;
  lease.renewed_at(100);
  const double over = lease.expired_at(kLeaseS);
  // The worker's clock may be slow, ours fast, by 0.05 % each.
  EXPECT_GT(over, 100 + kLeaseS * 1.0005 / 0.9995);
  EXPECT_LT(over, 100 + kLeaseS * 1.05);
  lease.renewed_at(90);
  EXPECT_EQ(lease.expired_at(kLeaseS), over) << "what is noted late does not shorten it";
  lease.renewed_at(101);
  EXPECT_EQ(lease.expired_at(kLeaseS), over + 1);
}

TEST(SurelyGone, ADirectStartMayArriveUntilItIsAnsweredOrItsFenceIsBelow) {
  InFlightStarts starts;
  EXPECT_TRUE(starts.directs_over(FencingToken{0})) << "none was sent";
  starts.sent_directly();
  EXPECT_FALSE(starts.directs_over(FencingToken{9})) << "unanswered, whatever fence was seen";
  starts.direct_ended(FencingToken{5}, true);
  EXPECT_TRUE(starts.directs_over(FencingToken{5}));
  starts.sent_directly();
  starts.sent_directly();
  starts.direct_ended(FencingToken{5}, false);
  EXPECT_FALSE(starts.directs_over(FencingToken{6})) << "one of two is unanswered";
  starts.direct_ended(FencingToken{5}, true);
  EXPECT_TRUE(starts.in_doubt(FencingToken{5}));
  EXPECT_FALSE(starts.directs_over(FencingToken{5})) << "given up: executed under the same fence";
  EXPECT_TRUE(starts.directs_over(FencingToken{6}));
  starts.direct_ended(FencingToken{4}, false);
  EXPECT_TRUE(starts.in_doubt(FencingToken{5})) << "a doubt is not lowered";
  starts.sent_directly();
  EXPECT_FALSE(starts.directs_over(FencingToken{6})) << "an answer too many pays for no later start";
}

TEST(SurelyGone, AStartInAnAnswerIsShownByALaterReport) {
  InFlightStarts starts;
  EXPECT_TRUE(starts.answer_over(std::nullopt));
  EXPECT_FALSE(starts.shown_by(7));
  starts.sent_with_answer(7);
  EXPECT_FALSE(starts.shown_by(7)) << "the report that it answered";
  EXPECT_FALSE(starts.answer_over(std::nullopt)) << "a direct answer shows nothing of it";
  EXPECT_FALSE(starts.answer_over(7));
  EXPECT_TRUE(starts.answer_over(8));
  EXPECT_TRUE(starts.shown_by(8));
}

}  // namespace
}  // namespace bankhill::model
