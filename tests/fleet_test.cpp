// The indexes of the fleet: correct after any change, and the work per task does not grow with the fleet.
#include "model/fleet.hpp"

#include <gtest/gtest.h>

#include <random>

namespace bankhill::model {
namespace {

wire::JobSpec spec(double cores, const std::string& image) {
  wire::JobSpec result;
  result.id = {"job-000001"};
  result.request = {cores, 0, 2 * cores};
  result.image = image;
  result.allows_preemptible = true;
  return result;
}

Fleet::MachineQuery make_query(const wire::JobSpec& job, bool preemptible) {
  return {job,
          preemptible,
          false,
          [](const Pool&) { return 2.0; },
          [](const Pool&) { return 0.0; },
          [](const Machine&) { return true; },
          false};
}

void make_ready(Fleet& fleet, Machine& machine, const std::string& machine_type, double cores,
                bool preemptible) {
  machine.machine_type = machine_type;
  machine.zone = "a";
  machine.preemptible = preemptible;
  machine.capacity = {cores, 0, 4 * cores};
  machine.up = machine.recorded = machine.confirmed = true;
  fleet.refresh(machine);
}

wire::MachineId machine_id(int number) { return {"n-" + std::to_string(100000 + number)}; }

TEST(Fleet, IndexesAndTotalsMatchAScanAfterAnyChange) {
  std::mt19937 random(5);
  Fleet fleet;
  const std::vector<std::string> images = {"x", "y", "z"};
  for (int step = 0; step < 20000; ++step) {
    const auto id = machine_id(static_cast<int>(random() % 60));
    auto* machine = fleet.find(id);
    if (machine == nullptr) {
      make_ready(fleet, *fleet.add(id).first, random() % 2 == 0 ? "small" : "large",
                 random() % 2 == 0 ? 4 : 16, random() % 2 == 0);
    } else if (random() % 20 == 0) {
      fleet.erase(id);
    } else if (random() % 4 == 0) {
      fleet.add_image(*machine, images[random() % 3]);
    } else {
      bool* flags[] = {&machine->up,           &machine->confirmed,   &machine->draining,
                       &machine->overdue,      &machine->terminating, &machine->lease_expired,
                       &machine->boot_overdue, &machine->inherited};
      auto& flag = *flags[random() % 8];
      flag = random() % 3 == 0 ? !flag : flag;
      machine->used.cores =
          static_cast<double>(random() % (1 + static_cast<unsigned>(machine->capacity.cores)));
      fleet.refresh(*machine);
    }
    FleetTotals totals;
    double best_cores = 1e9;
    double best_pull_s = 1e9;
    const auto job = spec(2, images[random() % 3]);
    for (auto& [candidate_id, candidate] : fleet) {
      const bool stays = !candidate.draining && !candidate.terminating;
      totals.up += candidate.up ? 1 : 0;
      totals.overdue += candidate.up && candidate.overdue ? 1 : 0;
      totals.unconfirmed += candidate.inherited && !candidate.confirmed ? 1 : 0;
      totals.cores += stays && (candidate.up || !candidate.boot_overdue) ? candidate.capacity.cores : 0;
      if (!candidate.takes_tasks() || candidate.overdue || candidate.preemptible ||
          !job.request.fits(candidate.available()))
        continue;
      const double pull_s = candidate.images.contains(job.image) ? 0 : 2;
      if (std::pair(pull_s, candidate.available().cores) < std::pair(best_pull_s, best_cores)) {
        best_pull_s = pull_s;
        best_cores = candidate.available().cores;
      }
    }
    ASSERT_EQ(fleet.total().up, totals.up);
    ASSERT_EQ(fleet.total().overdue, totals.overdue);
    ASSERT_EQ(fleet.total().unconfirmed, totals.unconfirmed);
    ASSERT_DOUBLE_EQ(fleet.total().cores, totals.cores);
    auto query = make_query(job, false);
    const auto* found = fleet.find_best(query);
    ASSERT_EQ(found != nullptr, best_cores < 1e9);
    if (found == nullptr) continue;
    ASSERT_EQ(found->images.contains(job.image) ? 0 : 2, best_pull_s);
    ASSERT_DOUBLE_EQ(found->available().cores, best_cores);
  }
}

// Average number of steps to place a task in a fleet of this size. Steps rather than time: a task in a fleet
// of thousands must cost about as much as in a fleet of tens.
double steps_per_task(int machines) {
  Fleet fleet;
  for (int i = 0; i < machines; ++i) {
    auto& machine = *fleet.add(machine_id(i)).first;
    make_ready(fleet, machine, i % 3 == 0 ? "large" : "small", i % 3 == 0 ? 16 : 4, i % 2 == 0);
    if (i % 4 == 0) fleet.add_image(machine, "x");
  }
  std::mt19937 random(3);
  std::vector<std::pair<Machine*, double>> placed;
  const auto before = fleet.steps();
  int tasks = 0;
  for (; tasks < 2000; ++tasks) {
    const auto job = spec(1 + static_cast<double>(random() % 4), random() % 2 == 0 ? "x" : "y");
    for (const bool preemptible : {false, true}) {
      auto query = make_query(job, preemptible);
      auto* machine = fleet.find_best(query);
      if (machine == nullptr) continue;
      machine->used.cores += job.request.cores;
      fleet.refresh(*machine);
      placed.emplace_back(machine, job.request.cores);
      break;
    }
    if (random() % 10 < 6 && !placed.empty()) {
      std::swap(placed[random() % placed.size()], placed.back());
      placed.back().first->used.cores -= placed.back().second;
      fleet.refresh(*placed.back().first);
      placed.pop_back();
    }
  }
  return static_cast<double>(fleet.steps() - before) / tasks;
}

TEST(Fleet, WorkPerTaskDoesNotGrowWithTheFleet) {
  const double tens = steps_per_task(40);
  const double thousands = steps_per_task(4000);
  EXPECT_GT(tens, 1);
  EXPECT_LT(thousands, 2 * tens + 5);
}

// Guards against placing tasks on a machine whose heartbeats can list no more of them.
TEST(Fleet, OffersNoMachineWhoseListOfTasksIsFull) {
  Fleet fleet;
  auto& machine = *fleet.add(machine_id(0)).first;
  make_ready(fleet, machine, "large", 16, false);
  const auto job = spec(0.01, "x");
  auto query = make_query(job, false);
  const auto half = static_cast<std::uint32_t>(wire::kMaxHeartbeatTasks / 2);
  for (std::uint32_t index = 0; index < half; ++index) machine.assignments[{job.id, index}] = {};
  for (std::uint32_t index = half; index + 1 < wire::kMaxHeartbeatTasks; ++index)
    machine.exited_attempts[{job.id, index}] = {};
  fleet.refresh(machine);
  EXPECT_EQ(fleet.find_best(query), &machine);
  machine.assignments[{job.id, half * 2}] = {};
  fleet.refresh(machine);
  EXPECT_EQ(fleet.find_best(query), nullptr);
  EXPECT_EQ(fleet.total().free_cores, 0);
  machine.exited_attempts.clear();
  fleet.refresh(machine);
  EXPECT_EQ(fleet.find_best(query), &machine);
}

TEST(Fleet, VisitsAllMachinesInTurn) {
  Fleet fleet;
  for (int i = 0; i < 10; ++i) make_ready(fleet, *fleet.add(machine_id(i)).first, "small", 4, false);
  std::map<wire::MachineId, int> seen;
  for (int round = 0; round < 8; ++round) fleet.visit(0.25, [&](Machine& machine) { ++seen[machine.id]; });
  EXPECT_EQ(seen.size(), 10U);
  for (const auto& [visited_id, count] : seen) EXPECT_GE(count, 2) << visited_id.value;
}

}  // namespace
}  // namespace bankhill::model
