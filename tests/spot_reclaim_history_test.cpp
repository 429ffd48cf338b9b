// Rate at which the cloud reclaims preemptible machines (model/spot_reclaim_history.hpp).
#include "model/spot_reclaim_history.hpp"

#include <gtest/gtest.h>

namespace bankhill::model {
namespace {

class SpotReclaimHistoryTest : public testing::Test {
 protected:
  void add_machine(const std::string& machine_type, bool preemptible, bool up = true) {
    auto& machine = *fleet.add({"n-" + std::to_string(fleet.size())}).first;
    machine.machine_type = machine_type;
    machine.zone = "a";
    machine.preemptible = preemptible;
    machine.capacity = {4, 0, 16};
    machine.up = up;
    fleet.refresh(machine);
  }

  Fleet fleet;
  SpotReclaimHistory history;
};

TEST_F(SpotReclaimHistoryTest, RateIsUnknownUntilEnoughMachineTimeIsCounted) {
  add_machine("large", true);
  add_machine("large", true);
  history.add_reclaim("large");
  EXPECT_FALSE(history.rate("large"));
  history.advance(fleet, 299, 1);
  EXPECT_FALSE(history.rate("large"));  // 598 machine seconds
  history.advance(fleet, 1, 1);
  ASSERT_TRUE(history.rate("large"));
  EXPECT_DOUBLE_EQ(*history.rate("large"), 1.0 / 600);
  EXPECT_FALSE(history.rate("small"));
}

TEST_F(SpotReclaimHistoryTest, CountsPreemptibleMachinesThatAreUpByType) {
  add_machine("large", true);
  add_machine("large", true, false);
  add_machine("small", false);
  history.add_reclaim("small");
  history.advance(fleet, 1000, 1);
  history.add_reclaim("large");
  history.add_reclaim("large");
  EXPECT_DOUBLE_EQ(*history.rate("large"), 2.0 / 1000);
  EXPECT_FALSE(history.rate("small"));
}

TEST_F(SpotReclaimHistoryTest, RateIsZeroWithoutReclaims) {
  add_machine("large", true);
  history.advance(fleet, 1000, 1);
  EXPECT_EQ(history.rate("large"), 0);
}

// One wave of reclaims must not rule out a machine type permanently.
TEST_F(SpotReclaimHistoryTest, ReclaimsDecayWhileMachinesStayUp) {
  add_machine("large", true);
  history.advance(fleet, 1000, 1);
  for (int i = 0; i < 10; ++i) history.add_reclaim("large");
  double last = *history.rate("large");
  EXPECT_DOUBLE_EQ(last, 10.0 / 1000);
  for (int i = 0; i < 20; ++i) {
    history.advance(fleet, 1000, 0.5);
    EXPECT_LT(*history.rate("large"), last);
    last = *history.rate("large");
  }
  EXPECT_LT(last, 1e-6);
}

TEST_F(SpotReclaimHistoryTest, RateIsUnknownAgainOnceTheCountsHaveDecayed) {
  add_machine("large", true);
  history.advance(fleet, 1000, 1);
  ASSERT_TRUE(history.rate("large"));
  fleet.clear();
  history.advance(fleet, 1, 0.5);
  EXPECT_FALSE(history.rate("large"));
}

}  // namespace
}  // namespace bankhill::model
