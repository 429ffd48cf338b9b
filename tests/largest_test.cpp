// The largest jobs of a class: which jobs they are, their turns during overload, machines reserved for them,
// and simulations of overload with several controllers.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "fair_share/fair_share_order.hpp"
#include "queue/backfill_reservations.hpp"
#include "queue/largest_jobs.hpp"
#include "sim/jobs.hpp"
#include "sim/scenario.hpp"
#include "sim/simulated_cluster.hpp"

namespace bankhill {
namespace {

using sim::broke_rule;
using sim::listing;
using sim::SimJob;
using sim::SimulatedCluster;
using sim::small_batch;

model::Job make_job(const std::string& job_class, std::uint32_t task_count, double cores,
                    double accepted_at) {
  model::Job job;
  job.spec.job_class = job_class;
  job.spec.task_count = task_count;
  job.spec.request = {cores, 0, 1};
  job.accepted_at = accepted_at;
  return job;
}

// A new leader may have read the same records in another order and has to select the same jobs.
TEST(LargestTest, SelectsTheLargestTenthInAnyReadOrder) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    std::mt19937 random(seed);
    std::lognormal_distribution<double> sizes(3.4, 0.73);
    std::vector<model::Job> jobs;
    for (int i = 0; i < 1500; ++i)
      jobs.push_back(make_job("night", 1 + static_cast<std::uint32_t>(sizes(random)), 4, 0.3 * i));
    queue::LargestJobs sorted_read(0.1, 240);
    for (const auto& job : jobs) sorted_read.add_accepted(job);
    auto shuffled = jobs;
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    queue::LargestJobs shuffled_read(0.1, 240);
    for (const auto& job : shuffled) shuffled_read.add_accepted(job);
    int count = 0;
    std::uint32_t smallest_selected = 1000;
    std::uint32_t largest_other = 0;
    for (const auto& job : jobs) {
      EXPECT_EQ(sorted_read.contains(job), shuffled_read.contains(job))
          << "seed " << seed << ", " << job.spec.task_count;
      count += sorted_read.contains(job) ? 1 : 0;
      if (sorted_read.contains(job))
        smallest_selected = std::min(smallest_selected, job.spec.task_count);
      else
        largest_other = std::max(largest_other, job.spec.task_count);
    }
    EXPECT_GT(count, 100) << "seed " << seed;
    EXPECT_LT(count, 230) << "seed " << seed;
    EXPECT_GT(smallest_selected, largest_other) << "seed " << seed;
  }
}

// In a class of equal jobs none may count as one of the largest, because otherwise all of them would.
TEST(LargestTest, SelectsNoneOfEqualJobsUnlessTheClassHasFew) {
  queue::LargestJobs largest(0.1, 240);
  for (int i = 0; i < 100; ++i) largest.add_accepted(make_job("alike", 8, 1, i));
  EXPECT_FALSE(largest.contains(make_job("alike", 8, 1, 100)));
  EXPECT_TRUE(largest.contains(make_job("alike", 8, 16, 100)));  // The largest by cores per task.
  largest.add_accepted(make_job("rare", 8, 1, 0));
  EXPECT_TRUE(largest.contains(make_job("rare", 8, 1, 0)));
  EXPECT_FALSE(largest.contains(make_job("unheard of", 8, 1, 0)));
}

// Jobs that were accepted an hour ago say nothing about the sizes of current jobs.
TEST(LargestTest, OldJobsLoseTheirWeight) {
  queue::LargestJobs largest(0.1, 240);
  for (int i = 0; i < 100; ++i) largest.add_accepted(make_job("night", 1000, 1, i));
  for (int i = 0; i < 100; ++i) largest.add_accepted(make_job("night", i % 20 == 0 ? 100 : 10, 1, 4000 + i));
  EXPECT_TRUE(largest.contains(make_job("night", 100, 1, 4100)));
  EXPECT_FALSE(largest.contains(make_job("night", 10, 1, 4100)));
}

// Many small jobs and some large jobs of one class wait. At any time the large jobs have had their share of
// the turns, and the small jobs all the rest.
TEST(LargestTest, LargestJobsGetTheirShareOfTheTurnsOfTheirClass) {
  const fair_share::TeamClass team_class{"red", "night"};
  std::vector<fair_share::WaitingJob> waiting;
  for (int i = 0; i < 100; ++i) waiting.push_back({team_class, 10, 100, false, 1.0 * i, false});
  for (int i = 0; i < 20; ++i) waiting.push_back({team_class, 100, 5000, false, 1.0 * i, true});
  const auto turns = fair_share::fair_share_order(waiting, {}, {{"red", 10}}, 0.25);
  std::vector<std::size_t> order(waiting.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::sort(order.begin(), order.end(), [&](auto a, auto b) { return turns[a] < turns[b]; });
  double large_cores = 0;
  double all_cores = 0;
  for (const auto job : order) {
    large_cores += waiting[job].is_largest ? waiting[job].cores : 0;
    all_cores += waiting[job].cores;
    if (all_cores < 200 || all_cores > 1200) continue;
    EXPECT_NEAR(large_cores, 0.25 * all_cores, 100) << all_cores;
  }
  // The large jobs hold more than their share of the cores already, so the other jobs go first.
  const auto turns_with_allocation = fair_share::fair_share_order(
      waiting, {{{team_class, true}, 1000}, {{team_class, false}, 1000}}, {{"red", 10}}, 0.25);
  EXPECT_LT(*std::max_element(turns_with_allocation.begin(), turns_with_allocation.begin() + 100),
            *std::min_element(turns_with_allocation.begin() + 100, turns_with_allocation.end()));
}

TEST(BackfillReservationsTest, ReservesAMachineAndAllowsShorterTasksToBackfillIt) {
  queue::BackfillReservations reservations({3, 60, 2});
  const wire::JobId large_job{"big"};
  const wire::JobId small_job{"small"};
  const wire::MachineId machine_id{"host"};
  EXPECT_FALSE(reservations.should_reserve(large_job, 0));
  EXPECT_TRUE(reservations.should_reserve(large_job, 3));
  reservations.reserve(large_job, machine_id, 20);
  EXPECT_FALSE(reservations.should_reserve(large_job, 4));
  EXPECT_TRUE(reservations.allows(machine_id, large_job, 4, 500));
  EXPECT_TRUE(reservations.allows(machine_id, small_job, 4, 15));
  EXPECT_FALSE(reservations.allows(machine_id, small_job, 4, 17));
  EXPECT_TRUE(reservations.allows(wire::MachineId{"other"}, small_job, 4, 17));
  // Tasks that should have ended still run on the machine: the reservation loses its effect, and another
  // machine is to be chosen.
  EXPECT_FALSE(reservations.allows(machine_id, small_job, 80, 1));
  EXPECT_TRUE(reservations.allows(machine_id, small_job, 81, 500));
  EXPECT_TRUE(reservations.should_reserve(large_job, 81));
  reservations.reserve(large_job, machine_id, 100);
  reservations.drop_machine(machine_id);
  EXPECT_TRUE(reservations.should_reserve(large_job, 82));
  // At most two jobs are served at a time. A job without recent requests loses its machine.
  reservations.reserve(large_job, machine_id, 100);
  EXPECT_FALSE(reservations.should_reserve(small_job, 82));
  EXPECT_FALSE(reservations.should_reserve(wire::JobId{"third"}, 90));
  EXPECT_FALSE(reservations.should_reserve(wire::JobId{"third"}, 150));
  EXPECT_FALSE(reservations.is_reserved(machine_id));
  EXPECT_TRUE(reservations.should_reserve(wire::JobId{"third"}, 153));
  reservations.release(wire::JobId{"third"});
  EXPECT_EQ(reservations.size(), 0U);
}

SimJob make_array_job(const std::string& team, std::uint32_t task_count, double cores, double runtime_s) {
  auto job = small_batch(task_count, cores, runtime_s, team);
  job.spec.request.ram_gb = 1;
  return job;
}

// Three machines of four cores, and each second a new job of three tasks that run for ten seconds: two and a
// half times the capacity.
struct OverloadFixture {
  SimulatedCluster cluster;
  std::string large_job;
  explicit OverloadFixture(std::uint64_t seed) : cluster(seed) {
    cluster.cloud().machine_limit = 3;
    cluster.run(5);
  }
  void submit_jobs(const std::string& team, double until) {
    for (double time = cluster.now(); time < until; time += 1)
      cluster.at(time, [this, team] { cluster.submit(make_array_job(team, 3, 1, 10)); });
  }
  const SimJob& job() { return cluster.jobs().at(large_job); }
  void expect_started_in_time() {
    EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
    ASSERT_GT(job().begun, 0) << "the large job was never started";
    EXPECT_LE(job().begun - job().created, 240);
  }
};

TEST(LargestScenario, ALargeJobStartsAndEndsWhileItsOwnClassOverloadsTheCluster) {
  OverloadFixture fixture(41);
  fixture.submit_jobs("red", 330);
  fixture.cluster.run(30);
  fixture.large_job = fixture.cluster.submit(make_array_job("red", 40, 1, 10));
  fixture.cluster.run(330);
  fixture.expect_started_in_time();
  EXPECT_TRUE(fixture.job().told_done)
      << fixture.job().completed.size() << " of 40 tasks done during the overload";
}

// The team of the large job has no guarantee and so borrows all that it uses, while another team submits more
// than the capacity within its own guarantee.
TEST(LargestScenario, ALargeJobOfABorrowingTeamStartsWhileAnotherTeamOverloadsTheCluster) {
  OverloadFixture fixture(43);
  fixture.submit_jobs("blue", 330);
  fixture.cluster.run(40);
  fixture.large_job = fixture.cluster.submit(make_array_job("guest", 40, 1, 10));
  fixture.cluster.run(330);
  fixture.expect_started_in_time();
}

// The large job can no longer meet its deadline, and jobs that can still meet theirs, which go first by
// slack, are submitted all the time.
TEST(LargestScenario, ALargeJobThatMissedItsDeadlineStarts) {
  OverloadFixture fixture(45);
  for (double time = 5; time < 330; time += 3)
    fixture.cluster.at(time, [&fixture] {
      auto job = make_array_job("red", 4, 1, 10);
      job.spec.deadline_s = 60;
      fixture.cluster.submit(job);
    });
  fixture.cluster.run(40);
  auto late_job = make_array_job("red", 40, 1, 10);
  late_job.spec.deadline_s = 5;
  fixture.large_job = fixture.cluster.submit(late_job);
  fixture.cluster.run(330);
  fixture.expect_started_in_time();
}

// A task of the large job fits only on an empty machine. Small tasks end one after the other, and the next
// one takes each free core at once: no machine would ever be empty unless one is drained.
TEST(LargestScenario, AMachineIsDrainedForATaskThatNeedsAllOfIt) {
  OverloadFixture fixture(47);
  int count = 0;
  for (double time = 5; time < 230; time += 0.5)
    fixture.cluster.at(time, [&fixture, runtime_s = 10 + 0.37 * (count++ % 7)] {
      fixture.cluster.submit(make_array_job("red", 1, 1, runtime_s));
    });
  fixture.cluster.run(30);
  fixture.large_job = fixture.cluster.submit(make_array_job("red", 2, 4, 10));
  fixture.cluster.run(230);
  fixture.expect_started_in_time();
  EXPECT_TRUE(fixture.job().told_done);
}

// A large job of a team without a guarantee, which starts only because of its waiting time, at second 150 or
// soon after. If its waiting time counted anew after a crash just before, it would start more than four
// minutes after its submission.
struct LongWaitingJobFixture : OverloadFixture {
  explicit LongWaitingJobFixture(std::uint64_t seed) : OverloadFixture(seed) {
    submit_jobs("red", 330);  // This team stays within its guarantee whatever it holds.
    cluster.run(30);
    large_job = cluster.submit(make_array_job("guest", 40, 1, 10));
    cluster.run(149);
    EXPECT_EQ(job().begun, 0)
        << "the large job started before its waiting time required it, so the test proves nothing";
  }
};

TEST(LargestScenario, WaitingTimeContinuesInANewTerm) {
  LongWaitingJobFixture fixture(49);
  // Each new leader crashes, too, so that the last one is elected well after second 150.
  for (const double time : {149.0, 153.0, 157.0, 161.0}) {
    fixture.cluster.run(time);
    if (fixture.cluster.leader() >= 0) fixture.cluster.crash(fixture.cluster.leader(), 3);
  }
  fixture.cluster.run(330);
  fixture.expect_started_in_time();
  EXPECT_GT(fixture.job().begun, 150);
}

TEST(LargestScenario, WaitingTimeContinuesAfterACrashOfAllControllers) {
  LongWaitingJobFixture fixture(51);
  for (int node = 0; node < fixture.cluster.nodes(); ++node) fixture.cluster.crash(node, 10);
  fixture.cluster.run(330);
  fixture.expect_started_in_time();
}

TEST(Checker, DetectsLargeJobsThatAreNotServed) {
  SimulatedCluster cluster(53);
  cluster.run(5);
  for (int i = 0; i < 12; ++i) cluster.submit(make_array_job("red", 1, 1, 3));
  cluster.run(60);
  cluster.check_served();
  ASSERT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  // No task of the job can start, because the cloud does not have its machine type.
  auto impossible_job = make_array_job("red", 50, 1, 3);
  impossible_job.spec.machine_types = std::vector<std::string>{"none"};
  cluster.submit(impossible_job);
  cluster.run(200);
  cluster.check_served(240, 0);
  EXPECT_FALSE(broke_rule(cluster, "unserved")) << "reported as unserved before its time was over";
  cluster.run(310);
  cluster.check_served(240, 0);
  EXPECT_TRUE(broke_rule(cluster, "unserved")) << "job that was not started in time was not reported";
  cluster.broken().clear();
  cluster.check_served(1000, 0.5);
  EXPECT_NE(listing(cluster.broken()).find("largest of any: 0"), std::string::npos)
      << "missing report that none of the largest jobs is done";
}

}  // namespace
}  // namespace bankhill
