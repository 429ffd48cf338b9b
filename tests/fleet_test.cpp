// The fleet's indexes: right after any change, and no work that grows with the fleet.
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

Fleet::MachineQuery choice(const wire::JobSpec& job, bool reclaimable) {
  return {job,
          reclaimable,
          false,
          [](const Pool&) { return 2.0; },
          [](const Pool&) { return 0.0; },
          [](const Machine&) { return true; },
          false};
}

void make_ready(Fleet& fleet, Machine& machine, const std::string& machine_type, double cores,
                bool reclaimable) {
  machine.machine_type = machine_type;
  machine.zone = "a";
  machine.preemptible = reclaimable;
  machine.capacity = {cores, 0, 4 * cores};
  machine.up = machine.recorded = machine.confirmed = true;
  fleet.refresh(machine);
}

wire::MachineId host(int number) { return {"n-" + std::to_string(100000 + number)}; }

TEST(Fleet, IndexesAndSumsAreThoseOfAScanAfterAnyChange) {
  std::mt19937 random(5);
  Fleet fleet;
  const std::vector<std::string> bundles = {"x", "y", "z"};
  for (int step = 0; step < 20000; ++step) {
    const auto id = host(static_cast<int>(random() % 60));
    auto* machine = fleet.find(id);
    if (machine == nullptr) {
      make_ready(fleet, *fleet.add(id).first, random() % 2 == 0 ? "small" : "large",
                 random() % 2 == 0 ? 4 : 16, random() % 2 == 0);
    } else if (random() % 20 == 0) {
      fleet.erase(id);
    } else if (random() % 4 == 0) {
      fleet.add_image(*machine, bundles[random() % 3]);
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
    FleetTotals sums;
    double best_room = 1e9;
    double best_fetch = 1e9;
    const auto job = spec(2, bundles[random() % 3]);
    for (auto& [name, there] : fleet) {
      const bool stays = !there.draining && !there.terminating;
      sums.up += there.up ? 1 : 0;
      sums.overdue += there.up && there.overdue ? 1 : 0;
      sums.unconfirmed += there.inherited && !there.confirmed ? 1 : 0;
      sums.cores += stays && (there.up || !there.boot_overdue) ? there.capacity.cores : 0;
      if (!there.takes_tasks() || there.overdue || there.preemptible || !job.request.fits(there.available()))
        continue;
      const double fetch = there.images.contains(job.image) ? 0 : 2;
      if (std::pair(fetch, there.available().cores) < std::pair(best_fetch, best_room)) {
        best_fetch = fetch;
        best_room = there.available().cores;
      }
    }
    ASSERT_EQ(fleet.total().up, sums.up);
    ASSERT_EQ(fleet.total().overdue, sums.overdue);
    ASSERT_EQ(fleet.total().unconfirmed, sums.unconfirmed);
    ASSERT_DOUBLE_EQ(fleet.total().cores, sums.cores);
    auto wish = choice(job, false);
    const auto* picked = fleet.find_best(wish);
    ASSERT_EQ(picked != nullptr, best_room < 1e9);
    if (picked == nullptr) continue;
    ASSERT_EQ(picked->images.contains(job.image) ? 0 : 2, best_fetch);
    ASSERT_DOUBLE_EQ(picked->available().cores, best_room);
  }
}

// Steps, not time: a task on a fleet of thousands costs about what it costs on a fleet of tens.
double steps_a_task(int machines) {
  Fleet fleet;
  for (int i = 0; i < machines; ++i) {
    auto& machine = *fleet.add(host(i)).first;
    make_ready(fleet, machine, i % 3 == 0 ? "large" : "small", i % 3 == 0 ? 16 : 4, i % 2 == 0);
    if (i % 4 == 0) fleet.add_image(machine, "x");
  }
  std::mt19937 random(3);
  std::vector<std::pair<Machine*, double>> placed;
  const auto before = fleet.steps();
  int tasks = 0;
  for (; tasks < 2000; ++tasks) {
    const auto job = spec(1 + static_cast<double>(random() % 4), random() % 2 == 0 ? "x" : "y");
    for (const bool reclaimable : {false, true}) {
      auto wish = choice(job, reclaimable);
      auto* machine = fleet.find_best(wish);
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

TEST(Fleet, WorkForATaskDoesNotGrowWithTheFleet) {
  const double tens = steps_a_task(40);
  const double thousands = steps_a_task(4000);
  EXPECT_GT(tens, 1);
  EXPECT_LT(thousands, 2 * tens + 5);
}

TEST(Fleet, VisitsEveryMachineInItsTurn) {
  Fleet fleet;
  for (int i = 0; i < 10; ++i) make_ready(fleet, *fleet.add(host(i)).first, "small", 4, false);
  std::map<wire::MachineId, int> seen;
  for (int round = 0; round < 8; ++round) fleet.visit(0.25, [&](Machine& machine) { ++seen[machine.id]; });
  EXPECT_EQ(seen.size(), 10U);
  for (const auto& [name, times] : seen) EXPECT_GE(times, 2) << name.value;
}

}  // namespace
}  // namespace bankhill::model
