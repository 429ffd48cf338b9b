// Reservations of the resources that a preemption frees: who may use them, and until when.
#include "queue/preemption_reservations.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace bankhill::queue {
namespace {

using wire::Priority;
using wire::Resources;

const wire::JobId kJob{"waiting"};
const wire::JobId kOtherJob{"other"};
const wire::MachineId kMachine{"machine"};
const wire::MachineId kOtherMachine{"elsewhere"};
const Resources kRequest{4, 1, 8};
const Resources kSmallRequest{1, 0, 1};

// A reservation for one task of normal priority, made at 10 s and valid until 20 s.
PreemptionReservations make_reservation() {
  PreemptionReservations reservations;
  reservations.reserve(kJob, kMachine, Priority::normal, kRequest, 10, 20);
  return reservations;
}

TEST(PreemptionReservationTest, IsPendingUntilItExpires) {
  const auto reservations = make_reservation();
  EXPECT_TRUE(reservations.is_reserved(kMachine, 10));
  EXPECT_TRUE(reservations.is_pending(kJob, 20));
  EXPECT_FALSE(reservations.is_pending(kJob, 20.1));
  EXPECT_FALSE(reservations.is_reserved(kMachine, 20.1));
  EXPECT_FALSE(reservations.is_reserved(kOtherMachine, 10));
  EXPECT_FALSE(reservations.is_pending(kOtherJob, 10));
}

TEST(PreemptionReservationTest, AllowsOnlyItsJobAndHigherPriorities) {
  const auto reservations = make_reservation();
  EXPECT_TRUE(reservations.allows(kMachine, kJob, Priority::best_effort, kRequest, kRequest, 12));
  EXPECT_FALSE(reservations.allows(kMachine, kOtherJob, Priority::best_effort, kSmallRequest, kRequest, 12));
  EXPECT_FALSE(reservations.allows(kMachine, kOtherJob, Priority::normal, kSmallRequest, kRequest, 12));
  EXPECT_TRUE(reservations.allows(kMachine, kOtherJob, Priority::high, kSmallRequest, kRequest, 12));
  // Other machines, and this one after the reservation has expired, may be used by any task.
  EXPECT_TRUE(
      reservations.allows(kOtherMachine, kOtherJob, Priority::best_effort, kSmallRequest, kRequest, 12));
  EXPECT_TRUE(reservations.allows(kMachine, kOtherJob, Priority::best_effort, kSmallRequest, kRequest, 20.1));
}

TEST(PreemptionReservationTest, OtherJobsMayUseResourcesBesideTheReservedOnes) {
  const auto reservations = make_reservation();
  EXPECT_TRUE(reservations.allows(kMachine, kOtherJob, Priority::normal, kSmallRequest, {5, 1, 9}, 12));
  EXPECT_FALSE(reservations.allows(kMachine, kOtherJob, Priority::normal, kSmallRequest, {4.9, 1, 9}, 12));
  EXPECT_FALSE(reservations.allows(kMachine, kOtherJob, Priority::normal, kSmallRequest, {5, 1, 8.9}, 12));
  EXPECT_FALSE(reservations.allows(kMachine, kOtherJob, Priority::normal, {1, 1, 1}, {5, 1, 9}, 12));
}

TEST(PreemptionReservationTest, ReportsAPendingReservationOnAnotherMachine) {
  const auto reservations = make_reservation();
  EXPECT_TRUE(reservations.is_pending_elsewhere(kJob, kOtherMachine, 12));
  EXPECT_FALSE(reservations.is_pending_elsewhere(kJob, kMachine, 12));
  EXPECT_FALSE(reservations.is_pending_elsewhere(kOtherJob, kOtherMachine, 12));
  EXPECT_FALSE(reservations.is_pending_elsewhere(kJob, kOtherMachine, 20.1));
}

TEST(PreemptionReservationTest, EndsWhenATaskOfItsJobIsPlacedThere) {
  auto reservations = make_reservation();
  reservations.task_placed(kOtherJob, kMachine, false);
  EXPECT_TRUE(reservations.is_pending(kJob, 12));
  // If one of several tasks starts on another machine, another task still waits for the reservation.
  reservations.task_placed(kJob, kOtherMachine, true);
  EXPECT_TRUE(reservations.is_pending(kJob, 12));
  reservations.task_placed(kJob, kMachine, true);
  EXPECT_FALSE(reservations.is_pending(kJob, 12));
  EXPECT_FALSE(reservations.is_reserved(kMachine, 12));
  // Once the last task is placed, on whatever machine, the job needs no reservation any more.
  reservations = make_reservation();
  reservations.task_placed(kJob, kOtherMachine, false);
  EXPECT_FALSE(reservations.is_reserved(kMachine, 12));
}

TEST(PreemptionReservationTest, AJobReservesOneMachineAndAMachineIsReservedForOneJob) {
  auto reservations = make_reservation();
  reservations.reserve(kJob, kOtherMachine, Priority::normal, kRequest, 12, 22);
  EXPECT_FALSE(reservations.is_reserved(kMachine, 12));
  EXPECT_TRUE(reservations.is_reserved(kOtherMachine, 12));
  // A reservation of the machine for another job replaces the one for this job.
  reservations.reserve(kOtherJob, kOtherMachine, Priority::high, kRequest, 13, 23);
  EXPECT_FALSE(reservations.is_pending(kJob, 13));
  EXPECT_TRUE(reservations.is_pending(kOtherJob, 23));
  reservations.release(kJob);
  EXPECT_TRUE(reservations.is_reserved(kOtherMachine, 13));
}

TEST(PreemptionReservationTest, EndsOnReleaseOfTheJobAndOnReset) {
  auto reservations = make_reservation();
  reservations.release(kJob);
  EXPECT_FALSE(reservations.is_reserved(kMachine, 12));
  reservations = make_reservation();
  reservations.reset();
  EXPECT_FALSE(reservations.is_reserved(kMachine, 12));
  EXPECT_FALSE(reservations.is_pending(kJob, 12));
}

// A new reservation removes expired ones, so that their jobs no longer count as waiting for them.
TEST(PreemptionReservationTest, ExpiredReservationsAreRemovedWhenANewOneIsMade) {
  auto reservations = make_reservation();
  reservations.reserve(kOtherJob, kOtherMachine, Priority::normal, kRequest, 30, 40);
  EXPECT_FALSE(reservations.is_pending(kJob, 15));
  EXPECT_TRUE(reservations.is_pending(kOtherJob, 35));
}

// ---- Reservations with victims.

const wire::TaskId kFirstVictim{kOtherJob, 0};
const wire::TaskId kSecondVictim{kOtherJob, 1};

// Two tasks, of best-effort and normal priority, are stopped for a task of high priority.
PreemptionReservations make_reservation_with_victims() {
  PreemptionReservations reservations;
  reservations.reserve(kJob, kMachine, Priority::high, kRequest, 10, 20);
  reservations.add_victim(kMachine, kFirstVictim, Priority::best_effort);
  reservations.add_victim(kMachine, kSecondVictim, Priority::normal);
  return reservations;
}

bool is_allowed(const PreemptionReservations& reservations, Priority priority) {
  return reservations.allows(kMachine, wire::JobId{"third"}, priority, kRequest, kRequest, 12);
}

std::vector<PreemptionEnd> take_end_reasons(PreemptionReservations& reservations) {
  std::vector<PreemptionEnd> result;
  for (const auto& ended : reservations.take_ended()) result.push_back(ended.reason);
  return result;
}

using EndReasons = std::vector<PreemptionEnd>;

TEST(PreemptionLifecycleTest, IsVacatedOnceAllVictimsAreGone) {
  auto reservations = make_reservation_with_victims();
  EXPECT_EQ(reservations.victim_gone(kOtherMachine, kFirstVictim, 11), 0U);
  EXPECT_EQ(reservations.victim_gone(kMachine, {kJob, 0}, 11), 0U);
  EXPECT_EQ(reservations.victim_gone(kMachine, kFirstVictim, 11), 1U);
  EXPECT_EQ(reservations.victim_gone(kMachine, kFirstVictim, 11), 0U);
  EXPECT_FALSE(reservations.machines().at(kMachine).all_victims_gone());
  EXPECT_EQ(reservations.victim_gone(kMachine, kSecondVictim, 12), 1U);
  EXPECT_TRUE(reservations.machines().at(kMachine).all_victims_gone());
  EXPECT_EQ(reservations.machines().at(kMachine).vacated_at, 12);
}

// When its job no longer needs the reserved resources, tasks of higher priority than the victims may use
// them.
TEST(PreemptionLifecycleTest, OpensToPrioritiesAboveTheVictimsWhenItsJobEnds) {
  auto reservations = make_reservation_with_victims();
  EXPECT_FALSE(is_allowed(reservations, Priority::high));
  reservations.release(kJob);
  EXPECT_FALSE(reservations.is_pending(kJob, 12));
  EXPECT_TRUE(reservations.is_reserved(kMachine, 1000));
  EXPECT_TRUE(is_allowed(reservations, Priority::high));
  EXPECT_FALSE(is_allowed(reservations, Priority::normal));
}

TEST(PreemptionLifecycleTest, EndsAfterAPassThatFoundNoUseForIt) {
  auto reservations = make_reservation_with_victims();
  reservations.release(kJob);
  reservations.begin_pass();
  reservations.end_pass();
  EXPECT_TRUE(reservations.is_reserved(kMachine, 12));  // The victims are not gone yet.
  reservations.begin_pass();
  reservations.victim_gone(kMachine, kFirstVictim, 13);
  reservations.victim_gone(kMachine, kSecondVictim, 13);
  reservations.end_pass();
  EXPECT_TRUE(reservations.is_reserved(kMachine, 13));  // The victims were gone only after the pass began.
  reservations.begin_pass();
  reservations.end_pass();
  EXPECT_FALSE(reservations.is_reserved(kMachine, 13));
  EXPECT_EQ(take_end_reasons(reservations), EndReasons{PreemptionEnd::unclaimed});
}

TEST(PreemptionLifecycleTest, StaysOpenWhenItsTaskStartedBesideTheVictims) {
  auto reservations = make_reservation_with_victims();
  reservations.task_placed(kJob, kMachine, true, Priority::high);
  EXPECT_FALSE(reservations.is_pending(kJob, 12));
  EXPECT_TRUE(is_allowed(reservations, Priority::high));
  EXPECT_FALSE(is_allowed(reservations, Priority::normal));
  // A task of no higher priority than the victims, placed beside the reserved resources, does not fill it.
  reservations.victim_gone(kMachine, kFirstVictim, 12);
  reservations.victim_gone(kMachine, kSecondVictim, 12);
  reservations.task_placed(kOtherJob, kMachine, true, Priority::normal);
  EXPECT_TRUE(reservations.is_reserved(kMachine, 12));
  reservations.task_placed(kOtherJob, kMachine, true, Priority::high);
  EXPECT_FALSE(reservations.is_reserved(kMachine, 12));
  reservations.start_arrived(kOtherJob, kMachine);
  EXPECT_EQ(take_end_reasons(reservations), EndReasons{PreemptionEnd::used});
}

TEST(PreemptionLifecycleTest, IsBoundToItsJobAgainWhenTheStartIsLost) {
  auto reservations = make_reservation_with_victims();
  reservations.victim_gone(kMachine, kFirstVictim, 11);
  reservations.victim_gone(kMachine, kSecondVictim, 11);
  reservations.task_placed(kJob, kMachine, true, Priority::high);
  EXPECT_FALSE(reservations.is_pending(kJob, 12));
  EXPECT_TRUE(reservations.machines().contains(kMachine));
  reservations.start_lost(kOtherJob, kMachine, 18);
  EXPECT_FALSE(reservations.is_pending(kJob, 12));
  reservations.start_lost(kJob, kMachine, 18);
  EXPECT_TRUE(reservations.is_pending(kJob, 18));
  EXPECT_FALSE(is_allowed(reservations, Priority::normal));
  reservations.task_placed(kJob, kMachine, true, Priority::high);
  reservations.start_arrived(kJob, kMachine);
  EXPECT_FALSE(reservations.machines().contains(kMachine));
  EXPECT_EQ(take_end_reasons(reservations), EndReasons{PreemptionEnd::used});
  // A lost start has no effect after the reservation has ended.
  reservations.start_lost(kJob, kMachine, 30);
  EXPECT_FALSE(reservations.is_pending(kJob, 20));
}

// Another machine was reserved meanwhile for the job's next task, which waits for that machine only.
TEST(PreemptionLifecycleTest, OpensWhenTheStartIsLostAndItsJobWaitsForAnotherMachine) {
  auto reservations = make_reservation_with_victims();
  reservations.victim_gone(kMachine, kFirstVictim, 11);
  reservations.victim_gone(kMachine, kSecondVictim, 11);
  reservations.task_placed(kJob, kMachine, true, Priority::high);
  reservations.reserve(kJob, kOtherMachine, Priority::high, kRequest, 12, 22);
  reservations.start_lost(kJob, kMachine, 18);
  EXPECT_EQ(*reservations.machine_of(kJob, 12), kOtherMachine);
  EXPECT_TRUE(is_allowed(reservations, Priority::high));
  EXPECT_FALSE(is_allowed(reservations, Priority::normal));
}

TEST(PreemptionLifecycleTest, IsExtendedOnlyWhileItIsBound) {
  auto reservations = make_reservation_with_victims();
  reservations.extend(kMachine, 30);
  EXPECT_TRUE(reservations.is_pending(kJob, 30));
  reservations.extend(kMachine, 15);
  EXPECT_TRUE(reservations.is_pending(kJob, 30));
  reservations.open_to_others(kMachine);
  reservations.extend(kMachine, 40);
  EXPECT_FALSE(reservations.is_pending(kJob, 12));
  reservations.end(kMachine, PreemptionEnd::machine_lost);
  EXPECT_FALSE(reservations.is_reserved(kMachine, 12));
  EXPECT_EQ(take_end_reasons(reservations), EndReasons{PreemptionEnd::machine_lost});
  EXPECT_EQ(take_end_reasons(reservations), EndReasons{});
}

}  // namespace
}  // namespace bankhill::queue
