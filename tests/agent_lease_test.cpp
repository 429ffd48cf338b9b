// Bounds on leases and on start commands that may still arrive (docs/SAFETY.md, "When a task is surely
// gone").
#include "model/agent_lease.hpp"

#include <gtest/gtest.h>

namespace bankhill::model {
namespace {

using wire::FencingToken;

TEST(AgentLeaseBounds, LeaseRunsFromLastRenewalAndIsNeverShortened) {
  constexpr double kLeaseS = 40;
  AgentLease lease;
  lease.record_renewal(100);
  const double expiry = lease.latest_expiry_at(kLeaseS);
  // The agent's clock may be slow and the leader's fast, by 0.05 % each.
  EXPECT_GT(expiry, 100 + kLeaseS * 1.0005 / 0.9995);
  EXPECT_LT(expiry, 100 + kLeaseS * 1.05);
  lease.record_renewal(90);
  EXPECT_EQ(lease.latest_expiry_at(kLeaseS), expiry) << "what is noted late does not shorten it";
  lease.record_renewal(101);
  EXPECT_EQ(lease.latest_expiry_at(kLeaseS), expiry + 1);
}

TEST(AgentLeaseBounds, DirectStartIsUnsettledUntilAnsweredOrFenced) {
  InFlightStarts starts;
  EXPECT_TRUE(starts.direct_starts_settled(FencingToken{0})) << "none was sent";
  starts.record_direct_start();
  EXPECT_FALSE(starts.direct_starts_settled(FencingToken{9})) << "unanswered, whatever fence was seen";
  starts.record_direct_result(FencingToken{5}, true);
  EXPECT_TRUE(starts.direct_starts_settled(FencingToken{5}));
  starts.record_direct_start();
  starts.record_direct_start();
  starts.record_direct_result(FencingToken{5}, false);
  EXPECT_FALSE(starts.direct_starts_settled(FencingToken{6})) << "one of two is unanswered";
  starts.record_direct_result(FencingToken{5}, true);
  EXPECT_TRUE(starts.has_unknown_outcome(FencingToken{5}));
  EXPECT_FALSE(starts.direct_starts_settled(FencingToken{5})) << "given up: executed under the same fence";
  EXPECT_TRUE(starts.direct_starts_settled(FencingToken{6}));
  starts.record_direct_result(FencingToken{4}, false);
  EXPECT_TRUE(starts.has_unknown_outcome(FencingToken{5})) << "a doubt is not lowered";
  starts.record_direct_start();
  EXPECT_FALSE(starts.direct_starts_settled(FencingToken{6})) << "an answer too many pays for no later start";
}

TEST(AgentLeaseBounds, StartInResponseIsSettledByALaterHeartbeat) {
  InFlightStarts starts;
  EXPECT_TRUE(starts.response_start_settled(std::nullopt));
  EXPECT_FALSE(starts.is_reflected_in(7));
  starts.record_response_start(7);
  EXPECT_FALSE(starts.is_reflected_in(7)) << "the report that it answered";
  EXPECT_FALSE(starts.response_start_settled(std::nullopt)) << "a direct answer shows nothing of it";
  EXPECT_FALSE(starts.response_start_settled(7));
  EXPECT_TRUE(starts.response_start_settled(8));
  EXPECT_TRUE(starts.is_reflected_in(8));
}

}  // namespace
}  // namespace bankhill::model
