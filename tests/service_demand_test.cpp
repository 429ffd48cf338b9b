// Tests of the arrival rate of services and of the cores reserved for expected services.
#include "planner/service_demand.hpp"

#include <gtest/gtest.h>

namespace bankhill::planner {
namespace {

constexpr double kWindowS = 100;

TEST(ServiceDemand, ArrivalRateCountsServicesAcceptedInTheWindow) {
  ServiceDemand demand;
  EXPECT_EQ(demand.arrival_rate(1000, kWindowS), 0);
  demand.add(950, 2, 10);
  demand.add(920, 4, 5);  // out of order of time
  EXPECT_DOUBLE_EQ(demand.arrival_rate(1000, kWindowS), 40 / kWindowS);
  EXPECT_DOUBLE_EQ(demand.arrival_rate(1020, kWindowS),
                   40 / kWindowS);  // the start of the window is included
  EXPECT_DOUBLE_EQ(demand.arrival_rate(1021, kWindowS), 20 / kWindowS);
  EXPECT_EQ(demand.arrival_rate(1051, kWindowS), 0);
}

TEST(ServiceDemand, ForgottenServicesAreNotCountedInALongerWindow) {
  ServiceDemand demand;
  demand.add(900, 1, 8);
  demand.add(990, 1, 4);
  demand.forget_before(950);
  EXPECT_DOUBLE_EQ(demand.arrival_rate(1000, 1000), 4.0 / 1000);
}

TEST(ServiceDemand, ArrivalRateIsExactlyZeroWhenAllServicesAreForgotten) {
  ServiceDemand demand;
  for (int i = 0; i < 1000; ++i) demand.add(i, 0.1, 3);
  demand.forget_before(2000);
  EXPECT_EQ(demand.arrival_rate(2000, kWindowS), 0);
}

TEST(ServiceDemand, ReservesWholeTasksOfTheLargestSize) {
  ServiceDemand demand;
  EXPECT_EQ(demand.reserve_cores(1000, kWindowS, 10), 0);
  demand.add(950, 4, 25);
  EXPECT_EQ(demand.largest_task_cores(), 4);
  // One core arrives per second: 10 cores in the lead time, which hold two whole tasks of 4 cores.
  EXPECT_DOUBLE_EQ(demand.reserve_cores(1000, kWindowS, 10), 8);
  EXPECT_DOUBLE_EQ(demand.reserve_cores(1000, kWindowS, 12), 12);
  EXPECT_EQ(demand.reserve_cores(1000, kWindowS, 3), 0);
  EXPECT_EQ(demand.reserve_cores(2000, kWindowS, 10), 0);
}

TEST(ServiceDemand, RemembersTheLargestTaskOutsideTheWindow) {
  ServiceDemand demand;
  demand.add(100, 16, 1);
  demand.add(950, 2, 100);
  EXPECT_DOUBLE_EQ(demand.reserve_cores(1000, kWindowS, 10), 16);
  EXPECT_EQ(demand.largest_task_cores(), 16);
}

}  // namespace
}  // namespace bankhill::planner
