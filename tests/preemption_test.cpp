// Which tasks are stopped so that another can start, and what found no machine, without a leader.
#include <gtest/gtest.h>

#include "leader/unplaceable_requests.hpp"
#include "leader/victim_selector.hpp"

namespace bankhill::leader {
namespace {

using wire::JobId;
using wire::MachineId;
using wire::Priority;
using wire::TaskId;

constexpr double kNow = 1000;
constexpr double kLongTaskS = 100;
const VictimSelector::MachineFilter kAnyMachine = [](const model::Machine&) { return true; };

// A fleet of machines of eight cores. Red may hold 4 cores by its guarantee, blue 16.
class PreemptionTest : public testing::Test {
 protected:
  PreemptionTest() : quota_({{"red", {4, 0, 0}, {99, 0, 0}}, {"blue", {16, 0, 0}, {99, 0, 0}}}) {
    waiting_.spec.id = JobId{"waiting"};
    waiting_.spec.team = "blue";
    waiting_.spec.image = "image";
    waiting_.spec.request = {4, 0, 4};
  }

  model::Machine& add_machine(const std::string& name) {
    auto& machine = *fleet_.add(MachineId{name}).first;
    machine.capacity = {8, 0, 64};
    machine.up = machine.recorded = machine.confirmed = true;
    machine.images.insert("image");
    return machine;
  }

  // A task of a job of its own that has run for `ran_s` of `runtime_s`.
  model::Assignment& add_task(model::Machine& machine, const std::string& team, double cores,
                              Priority priority, double ran_s, double runtime_s = 500, bool service = false) {
    const JobId id{team + std::to_string(jobs_.size())};
    auto& job = jobs_[id];
    job.spec.id = id;
    job.spec.team = team;
    job.spec.priority = priority;
    job.spec.kind = service ? wire::JobKind::service : wire::JobKind::array;
    job.spec.estimated_runtime_s = runtime_s;
    model::Assignment assignment;
    assignment.task = TaskId{id, 0};
    assignment.team = team;
    assignment.priority = priority;
    assignment.is_service = service;
    assignment.request = {cores, 0, 4};
    assignment.running_since = kNow - ran_s;
    machine.used += assignment.request;
    quota_.add(assignment);
    return machine.assignments.emplace(assignment.task, assignment).first->second;
  }

  // The job ids of the tasks that would be stopped on the machine, in their order.
  std::vector<std::string> victims(const model::Machine& machine, Priority priority,
                                   bool reclaims_borrowed) const {
    std::vector<std::string> names;
    const auto candidate = selector_.victims_on(machine, {waiting_, priority, reclaims_borrowed}, kNow);
    if (candidate)
      for (const auto& victim : candidate->victims) names.push_back(victim.job.value);
    return names;
  }

  std::string chosen(Priority priority, const VictimSelector::MachineFilter& allowed = kAnyMachine) {
    const auto candidate =
        selector_.choose(fleet_, fleet_.size(), {waiting_, priority, false}, allowed, kNow);
    return candidate ? candidate->machine_id.value : "";
  }

  using Names = std::vector<std::string>;

  model::Fleet fleet_;
  VictimSelector::Jobs jobs_;
  model::DependencyGraph dependencies_;
  QuotaLedger quota_;
  model::Job waiting_;
  VictimSelector selector_{jobs_, dependencies_, quota_, kLongTaskS};
};

TEST_F(PreemptionTest, StopsLowerPrioritiesOnlyAndNoMoreThanNeeded) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 2, Priority::best_effort, 10);  // red0
  add_task(machine, "red", 2, Priority::high, 10);         // red1
  add_task(machine, "red", 2, Priority::best_effort, 10);  // red2
  add_task(machine, "red", 2, Priority::best_effort, 10);  // red3
  EXPECT_EQ(victims(machine, Priority::normal, false), (Names{"red0", "red2"}));
  EXPECT_EQ(victims(machine, Priority::production, false), (Names{"red0", "red1"}));
  EXPECT_EQ(victims(machine, Priority::best_effort, false), Names{});
}

TEST_F(PreemptionTest, StopsNothingWhereThatMakesTooLittleRoomOrNoneIsNeeded) {
  auto& full = add_machine("full");
  add_task(full, "red", 3, Priority::best_effort, 10);
  add_task(full, "red", 5, Priority::normal, 10);
  EXPECT_EQ(victims(full, Priority::normal, false), Names{});
  auto& roomy = add_machine("roomy");
  add_task(roomy, "red", 4, Priority::best_effort, 10);
  EXPECT_EQ(victims(roomy, Priority::normal, false), Names{});
}

TEST_F(PreemptionTest, LeavesAMachineAloneWhereTasksAreBeingStopped) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 4, Priority::best_effort, 10);
  auto& second = add_task(machine, "red", 4, Priority::best_effort, 10);
  EXPECT_EQ(victims(machine, Priority::normal, false), Names{"red0"});
  second.stopping = true;
  EXPECT_EQ(victims(machine, Priority::normal, false), Names{});
}

TEST_F(PreemptionTest, StopsNoTaskOfAnUnknownJob) {
  auto& machine = add_machine("m");
  add_task(machine, "", 4, Priority::best_effort, 10);
  add_task(machine, "red", 4, Priority::best_effort, 10);
  jobs_.erase(JobId{"red1"});
  EXPECT_EQ(victims(machine, Priority::production, true), Names{});
}

TEST_F(PreemptionTest, GoesByThePriorityOfWhatDependsOnAJob) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 8, Priority::best_effort, 10);
  EXPECT_EQ(victims(machine, Priority::normal, false), Names{"red0"});
  model::DependencyInfo fact;
  fact.state = model::DependencyInfo::State::accepted;
  fact.priority = Priority::high;
  dependencies_.add(JobId{"dependent"}, fact, {JobId{"red0"}}, false, [](const JobId&) {
    model::DependencyInfo needed;
    needed.state = model::DependencyInfo::State::accepted;
    return needed;
  });
  EXPECT_EQ(victims(machine, Priority::normal, false), Names{});
  EXPECT_EQ(victims(machine, Priority::production, false), Names{"red0"});
}

TEST_F(PreemptionTest, ReclaimsWhatLongTasksOfOtherTeamsBorrow) {
  auto& machine = add_machine("m");
  add_task(machine, "blue", 2, Priority::normal, 10);                          // blue0
  add_task(machine, "red", 3, Priority::normal, 10, 10 + kLongTaskS);          // red1: ends soon
  add_task(machine, "red", 3, Priority::production, 10, 10 + kLongTaskS + 1);  // red2
  EXPECT_EQ(victims(machine, Priority::best_effort, false), Names{});
  // Three cores are too few for four.
  EXPECT_EQ(victims(machine, Priority::best_effort, true), Names{});
  waiting_.spec.request.cores = 3;
  EXPECT_EQ(victims(machine, Priority::best_effort, true), Names{"red2"});
  // Its own team's tasks are none that it could reclaim.
  waiting_.spec.team = "red";
  EXPECT_EQ(victims(machine, Priority::best_effort, true), Names{});
}

TEST_F(PreemptionTest, ReclaimsNothingOfATeamWithinItsGuarantee) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 4, Priority::normal, 10);
  auto& other = add_machine("other");
  waiting_.spec.request.cores = 8;
  EXPECT_EQ(victims(machine, Priority::normal, true), Names{});
  add_task(other, "red", 1, Priority::normal, 10);
  EXPECT_EQ(victims(machine, Priority::normal, true), Names{"red0"});
}

// Five cores of red are in use and four guaranteed: its batch borrows, its service does not.
TEST_F(PreemptionTest, CountsServicesTowardsTheGuaranteeFirst) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 4, Priority::normal, 10, 500, true);  // red0
  auto& other = add_machine("other");
  add_task(other, "red", 8, Priority::normal, 10);  // red1
  EXPECT_EQ(victims(machine, Priority::normal, true), Names{});
  waiting_.spec.request.cores = 8;
  EXPECT_EQ(victims(machine, Priority::normal, true), Names{});
  EXPECT_EQ(victims(other, Priority::normal, true), Names{"red1"});
  // Once its services alone hold more than its guarantee they can be stopped too: they never end.
  add_task(add_machine("third"), "red", 1, Priority::normal, 10, 500, true);
  EXPECT_EQ(victims(machine, Priority::normal, true), Names{"red0"});
}

TEST_F(PreemptionTest, ChoosesTheLeastLostProgress) {
  add_task(add_machine("a"), "red", 8, Priority::best_effort, 30);
  add_task(add_machine("b"), "red", 8, Priority::best_effort, 20);
  auto& two = add_machine("c");
  add_task(two, "red", 2, Priority::best_effort, 20);
  add_task(two, "red", 6, Priority::best_effort, 30);
  EXPECT_EQ(chosen(Priority::normal), "b");
  const auto candidate = selector_.victims_on(two, {waiting_, Priority::normal, false}, kNow);
  ASSERT_TRUE(candidate);
  EXPECT_EQ(candidate->victims.size(), 1U);
  EXPECT_EQ(candidate->cost, (PreemptionCost{false, 6 * 30}));
  waiting_.spec.request.cores = 8;
  const auto both = selector_.victims_on(two, {waiting_, Priority::normal, false}, kNow);
  ASSERT_TRUE(both);
  EXPECT_EQ(both->victims.size(), 2U);
  EXPECT_EQ(both->cost, (PreemptionCost{false, 2 * 20 + 6 * 30}));
}

TEST_F(PreemptionTest, PrefersAMachineThatHasTheImage) {
  auto& without = add_machine("a");
  add_task(without, "red", 8, Priority::best_effort, 1);
  without.images.clear();
  EXPECT_EQ(chosen(Priority::normal), "a");
  add_task(add_machine("b"), "red", 8, Priority::best_effort, 100);
  EXPECT_EQ(chosen(Priority::normal), "b");
}

TEST_F(PreemptionTest, LeavesOutMachinesThatTakeNoTasksOrAreNotAllowed) {
  auto& machine = add_machine("a");
  add_task(machine, "red", 8, Priority::best_effort, 10);
  add_task(add_machine("b"), "red", 8, Priority::best_effort, 20);
  EXPECT_EQ(chosen(Priority::normal, [](const auto& item) { return item.id != MachineId{"a"}; }), "b");
  machine.draining = true;
  EXPECT_EQ(chosen(Priority::normal), "b");
  machine.draining = false;
  machine.overdue = true;
  EXPECT_EQ(chosen(Priority::normal), "b");
  EXPECT_EQ(chosen(Priority::normal, [](const auto&) { return false; }), "");
}

// A task found first is spared when a larger one that must go anyway makes room enough: tasks were lost for
// nothing whenever small ones stood before a large one in the order of their names.
TEST_F(PreemptionTest, SparesWhatALargerVictimMakesNeedless) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 1, Priority::best_effort, 10);  // red0
  add_task(machine, "red", 2, Priority::best_effort, 10);  // red1
  add_task(machine, "red", 5, Priority::best_effort, 10);  // red2
  EXPECT_EQ(victims(machine, Priority::normal, false), Names{"red2"});
  waiting_.spec.request.cores = 6;
  EXPECT_EQ(victims(machine, Priority::normal, false), (Names{"red1", "red2"}));
  waiting_.spec.request.cores = 8;
  EXPECT_EQ(victims(machine, Priority::normal, false), (Names{"red0", "red1", "red2"}));
}

// A stop that overtakes the start is ignored, and the task runs where its room was promised to another
// (bankhill_wasted_work_days preemption 36 1 --latest 1.5: start at 175.15 s after a stop sent at 174.13 s).
TEST_F(PreemptionTest, StopsNoTaskWhoseStartIsOnItsWay) {
  auto& machine = add_machine("m");
  auto& task = add_task(machine, "red", 8, Priority::best_effort, 10);
  task.running_since = 0;
  EXPECT_EQ(victims(machine, Priority::production, true), Names{});
  task.state = model::AssignmentState::pulling_image;
  EXPECT_EQ(victims(machine, Priority::production, true), Names{"red0"});
}

// It was placed before all other batches: stopped for one of them it would be placed first again, and so on.
TEST_F(PreemptionTest, StopsATaskThatBeganBeforeOthersOnlyForServices) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 8, Priority::best_effort, 10).started_for_long_wait = true;
  EXPECT_EQ(victims(machine, Priority::production, true), Names{});
  waiting_.spec.kind = wire::JobKind::service;
  EXPECT_EQ(victims(machine, Priority::normal, false), Names{"red0"});
}

TEST_F(PreemptionTest, StopsOnlyWhatHasStoppedSoonEnough) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 8, Priority::best_effort, 10);
  auto& spec = jobs_.at(JobId{"red0"}).spec;
  spec.checkpoint_duration_s = 30;
  Preemptor preemptor{waiting_, Priority::normal, false};
  preemptor.longest_stop_s = 10;
  // It saves nothing when it is stopped.
  EXPECT_TRUE(selector_.victims_on(machine, preemptor, kNow));
  spec.checkpoint_interval_s = 60;
  EXPECT_FALSE(selector_.victims_on(machine, preemptor, kNow));
  preemptor.longest_stop_s = 30;
  EXPECT_TRUE(selector_.victims_on(machine, preemptor, kNow));
}

// A large fleet is looked through a part at a time.
TEST_F(PreemptionTest, GoesRoundTheFleet) {
  for (const auto* name : {"a", "b", "c"}) add_task(add_machine(name), "red", 8, Priority::best_effort, 10);
  const auto next = [&] {
    return selector_.choose(fleet_, 2, {waiting_, Priority::normal, false}, kAnyMachine, kNow)
        ->machine_id.value;
  };
  EXPECT_EQ(next(), "a");
  EXPECT_EQ(next(), "c");
  EXPECT_EQ(next(), "b");
}

queue::Candidate waiting_job(double cores, bool allows_preemptible, double runtime_s) {
  queue::Candidate candidate;
  candidate.request = {cores, 0, 1};
  candidate.allows_preemptible = allows_preemptible;
  candidate.estimated_runtime_s = runtime_s;
  return candidate;
}

TEST(UnplaceableRequestsTest, CoversWhatNeedsAsMuchAndRunsAsLong) {
  UnplaceableRequests requests;
  EXPECT_FALSE(requests.cover(waiting_job(64, false, 1e6)));
  requests.add({{8, 0, 1}, false, 60});
  EXPECT_TRUE(requests.cover(waiting_job(8, false, 60)));
  EXPECT_FALSE(requests.cover(waiting_job(7, false, 60)));
  EXPECT_FALSE(requests.cover(waiting_job(8, false, 59)));
  // Preemptible machines were not looked at for it.
  EXPECT_FALSE(requests.cover(waiting_job(8, true, 60)));
  requests.add({{12, 0, 1}, true, 0});
  EXPECT_TRUE(requests.cover(waiting_job(12, true, 1)));
  EXPECT_TRUE(requests.cover(waiting_job(12, false, 1)));
  EXPECT_FALSE(requests.cover(waiting_job(11, true, 1)));
}

// Room that was made by preemption may be used by what ranks above.
TEST(UnplaceableRequestsTest, CoversNoHigherPriorityWhereRoomIsReserved) {
  UnplaceableRequests requests;
  requests.add({{8, 0, 1}, true, 0, Priority::normal});
  auto job = waiting_job(8, false, 60);
  job.priority = Priority::normal;
  EXPECT_TRUE(requests.cover(job));
  job.priority = Priority::high;
  EXPECT_FALSE(requests.cover(job));
}

}  // namespace
}  // namespace bankhill::leader
