// Tests of VictimSelector and UnplaceableRequests, without a leader.
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

// A fleet of machines with eight cores each. Team red is guaranteed 4 cores, team blue 16.
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

  // Adds a task of a new job that has run for `ran_s` of `runtime_s` seconds.
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

  // The job ids of the victims on the machine, in the order in which they were selected.
  std::vector<std::string> victims(const model::Machine& machine, Priority priority,
                                   bool reclaims_borrowed) const {
    std::vector<std::string> names;
    const auto candidate = selector_.victims_on(machine, {waiting_, priority, reclaims_borrowed}, kNow);
    if (candidate)
      for (const auto& victim : candidate->victims) names.push_back(victim.job.value);
    return names;
  }

  std::string choose_machine(Priority priority, const VictimSelector::MachineFilter& allowed = kAnyMachine) {
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

TEST_F(PreemptionTest, StopsOnlyLowerPrioritiesAndNoMoreThanNeeded) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 2, Priority::best_effort, 10);  // red0
  add_task(machine, "red", 2, Priority::high, 10);         // red1
  add_task(machine, "red", 2, Priority::best_effort, 10);  // red2
  add_task(machine, "red", 2, Priority::best_effort, 10);  // red3
  EXPECT_EQ(victims(machine, Priority::normal, false), (Names{"red0", "red2"}));
  EXPECT_EQ(victims(machine, Priority::production, false), (Names{"red0", "red1"}));
  EXPECT_EQ(victims(machine, Priority::best_effort, false), Names{});
}

TEST_F(PreemptionTest, SelectsNoVictimsIfTheyFreeTooLittleOrEnoughIsFree) {
  auto& full = add_machine("full");
  add_task(full, "red", 3, Priority::best_effort, 10);
  add_task(full, "red", 5, Priority::normal, 10);
  EXPECT_EQ(victims(full, Priority::normal, false), Names{});
  auto& roomy = add_machine("roomy");
  add_task(roomy, "red", 4, Priority::best_effort, 10);
  EXPECT_EQ(victims(roomy, Priority::normal, false), Names{});
}

TEST_F(PreemptionTest, SkipsMachinesWhereTasksAreBeingStopped) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 4, Priority::best_effort, 10);
  auto& second = add_task(machine, "red", 4, Priority::best_effort, 10);
  EXPECT_EQ(victims(machine, Priority::normal, false), Names{"red0"});
  second.stopping = true;
  EXPECT_EQ(victims(machine, Priority::normal, false), Names{});
}

TEST_F(PreemptionTest, NeverStopsTasksOfUnknownJobs) {
  auto& machine = add_machine("m");
  add_task(machine, "", 4, Priority::best_effort, 10);
  add_task(machine, "red", 4, Priority::best_effort, 10);
  jobs_.erase(JobId{"red1"});
  EXPECT_EQ(victims(machine, Priority::production, true), Names{});
}

TEST_F(PreemptionTest, UsesThePriorityInheritedFromDependentJobs) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 8, Priority::best_effort, 10);
  EXPECT_EQ(victims(machine, Priority::normal, false), Names{"red0"});
  model::DependencyInfo info;
  info.state = model::DependencyInfo::State::accepted;
  info.priority = Priority::high;
  dependencies_.add(JobId{"dependent"}, info, {JobId{"red0"}}, false, [](const JobId&) {
    model::DependencyInfo dependency;
    dependency.state = model::DependencyInfo::State::accepted;
    return dependency;
  });
  EXPECT_EQ(victims(machine, Priority::normal, false), Names{});
  EXPECT_EQ(victims(machine, Priority::production, false), Names{"red0"});
}

TEST_F(PreemptionTest, ReclaimsBorrowedResourcesOnlyFromLongTasksOfOtherTeams) {
  auto& machine = add_machine("m");
  add_task(machine, "blue", 2, Priority::normal, 10);                  // blue0
  add_task(machine, "red", 3, Priority::normal, 10, 10 + kLongTaskS);  // red1: ends too soon to be reclaimed
  add_task(machine, "red", 3, Priority::production, 10, 10 + kLongTaskS + 1);  // red2
  EXPECT_EQ(victims(machine, Priority::best_effort, false), Names{});
  // The only possible victim holds three cores; four are requested.
  EXPECT_EQ(victims(machine, Priority::best_effort, true), Names{});
  waiting_.spec.request.cores = 3;
  EXPECT_EQ(victims(machine, Priority::best_effort, true), Names{"red2"});
  // Tasks of the job's own team cannot be reclaimed.
  waiting_.spec.team = "red";
  EXPECT_EQ(victims(machine, Priority::best_effort, true), Names{});
}

TEST_F(PreemptionTest, ReclaimsNothingFromTeamsWithinTheirGuarantees) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 4, Priority::normal, 10);
  auto& other = add_machine("other");
  waiting_.spec.request.cores = 8;
  EXPECT_EQ(victims(machine, Priority::normal, true), Names{});
  add_task(other, "red", 1, Priority::normal, 10);
  EXPECT_EQ(victims(machine, Priority::normal, true), Names{"red0"});
}

// Team red uses five cores and is guaranteed four: its batch task borrows, its service does not.
TEST_F(PreemptionTest, CountsServicesTowardsTheGuaranteeFirst) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 4, Priority::normal, 10, 500, true);  // red0
  auto& other = add_machine("other");
  add_task(other, "red", 8, Priority::normal, 10);  // red1
  EXPECT_EQ(victims(machine, Priority::normal, true), Names{});
  waiting_.spec.request.cores = 8;
  EXPECT_EQ(victims(machine, Priority::normal, true), Names{});
  EXPECT_EQ(victims(other, Priority::normal, true), Names{"red1"});
  // Once the team's services alone exceed its guarantee they can be stopped too, since they never end.
  add_task(add_machine("third"), "red", 1, Priority::normal, 10, 500, true);
  EXPECT_EQ(victims(machine, Priority::normal, true), Names{"red0"});
}

TEST_F(PreemptionTest, ChoosesTheMachineWithTheLeastLostProgress) {
  add_task(add_machine("a"), "red", 8, Priority::best_effort, 30);
  add_task(add_machine("b"), "red", 8, Priority::best_effort, 20);
  auto& with_two_tasks = add_machine("c");
  add_task(with_two_tasks, "red", 2, Priority::best_effort, 20);
  add_task(with_two_tasks, "red", 6, Priority::best_effort, 30);
  EXPECT_EQ(choose_machine(Priority::normal), "b");
  const auto candidate = selector_.victims_on(with_two_tasks, {waiting_, Priority::normal, false}, kNow);
  ASSERT_TRUE(candidate);
  EXPECT_EQ(candidate->victims.size(), 1U);
  EXPECT_EQ(candidate->cost, (PreemptionCost{false, 6 * 30}));
  waiting_.spec.request.cores = 8;
  const auto both_victims = selector_.victims_on(with_two_tasks, {waiting_, Priority::normal, false}, kNow);
  ASSERT_TRUE(both_victims);
  EXPECT_EQ(both_victims->victims.size(), 2U);
  EXPECT_EQ(both_victims->cost, (PreemptionCost{false, 2 * 20 + 6 * 30}));
}

TEST_F(PreemptionTest, PrefersMachinesWithTheImage) {
  auto& without = add_machine("a");
  add_task(without, "red", 8, Priority::best_effort, 1);
  without.images.clear();
  EXPECT_EQ(choose_machine(Priority::normal), "a");
  add_task(add_machine("b"), "red", 8, Priority::best_effort, 100);
  EXPECT_EQ(choose_machine(Priority::normal), "b");
}

TEST_F(PreemptionTest, SkipsMachinesThatTakeNoTasksOrAreFilteredOut) {
  auto& machine = add_machine("a");
  add_task(machine, "red", 8, Priority::best_effort, 10);
  add_task(add_machine("b"), "red", 8, Priority::best_effort, 20);
  EXPECT_EQ(choose_machine(Priority::normal, [](const auto& item) { return item.id != MachineId{"a"}; }),
            "b");
  machine.draining = true;
  EXPECT_EQ(choose_machine(Priority::normal), "b");
  machine.draining = false;
  machine.overdue = true;
  EXPECT_EQ(choose_machine(Priority::normal), "b");
  EXPECT_EQ(choose_machine(Priority::normal, [](const auto&) { return false; }), "");
}

// A victim found first is spared if a larger one, needed in any case, frees enough. Otherwise tasks were lost
// needlessly whenever small ones preceded a large one in name order.
TEST_F(PreemptionTest, SparesVictimsThatALargerOneMakesUnnecessary) {
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

// A stop command that overtakes the start command is ignored, and the task then uses the resources promised
// to another job (bankhill_wasted_work_days preemption 36 1 --latest 1.5: start at 175.15 s after a stop sent
// at 174.13 s).
TEST_F(PreemptionTest, NeverStopsTasksWhoseStartIsInFlight) {
  auto& machine = add_machine("m");
  auto& task = add_task(machine, "red", 8, Priority::best_effort, 10);
  task.running_since = 0;
  EXPECT_EQ(victims(machine, Priority::production, true), Names{});
  task.state = model::AssignmentState::pulling_image;
  EXPECT_EQ(victims(machine, Priority::production, true), Names{"red0"});
}

// The task was started ahead of all other batch tasks. If it were stopped for one of them, it would be
// started ahead of them again, without end.
TEST_F(PreemptionTest, StopsTasksStartedForLongWaitOnlyForServices) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 8, Priority::best_effort, 10).started_for_long_wait = true;
  EXPECT_EQ(victims(machine, Priority::production, true), Names{});
  waiting_.spec.kind = wire::JobKind::service;
  EXPECT_EQ(victims(machine, Priority::normal, false), Names{"red0"});
}

TEST_F(PreemptionTest, StopsOnlyTasksWithinTheGracePeriodLimit) {
  auto& machine = add_machine("m");
  add_task(machine, "red", 8, Priority::best_effort, 10);
  auto& spec = jobs_.at(JobId{"red0"}).spec;
  spec.checkpoint_duration_s = 30;
  Preemptor preemptor{waiting_, Priority::normal, false};
  preemptor.max_grace_period_s = 10;
  // Without a checkpoint interval the task saves no checkpoint when it is stopped.
  EXPECT_TRUE(selector_.victims_on(machine, preemptor, kNow));
  spec.checkpoint_interval_s = 60;
  EXPECT_FALSE(selector_.victims_on(machine, preemptor, kNow));
  preemptor.max_grace_period_s = 30;
  EXPECT_TRUE(selector_.victims_on(machine, preemptor, kNow));
}

// A large fleet is searched a part at a time, in round-robin order.
TEST_F(PreemptionTest, SearchesTheFleetInRoundRobinOrder) {
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

TEST(UnplaceableRequestsTest, CoversRequestsAtLeastAsLargeAndAsLong) {
  UnplaceableRequests requests;
  EXPECT_FALSE(requests.covers(waiting_job(64, false, 1e6)));
  requests.add({{8, 0, 1}, false, 60});
  EXPECT_TRUE(requests.covers(waiting_job(8, false, 60)));
  EXPECT_FALSE(requests.covers(waiting_job(7, false, 60)));
  EXPECT_FALSE(requests.covers(waiting_job(8, false, 59)));
  // The earlier request was not tried on preemptible machines.
  EXPECT_FALSE(requests.covers(waiting_job(8, true, 60)));
  requests.add({{12, 0, 1}, true, 0});
  EXPECT_TRUE(requests.covers(waiting_job(12, true, 1)));
  EXPECT_TRUE(requests.covers(waiting_job(12, false, 1)));
  EXPECT_FALSE(requests.covers(waiting_job(11, true, 1)));
}

// Tasks of a higher priority may use resources freed by preemption.
TEST(UnplaceableRequestsTest, DoesNotCoverHigherPrioritiesWhereResourcesAreReserved) {
  UnplaceableRequests requests;
  requests.add({{8, 0, 1}, true, 0, Priority::normal});
  auto job = waiting_job(8, false, 60);
  job.priority = Priority::normal;
  EXPECT_TRUE(requests.covers(job));
  job.priority = Priority::high;
  EXPECT_FALSE(requests.covers(job));
}

}  // namespace
}  // namespace bankhill::leader
