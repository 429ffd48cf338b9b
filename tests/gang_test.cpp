// Tests of GangTracker, GangScheduler and the placement search against a model of machines, with fixed seeds.
#include <gtest/gtest.h>

#include <random>

#include "gang/gang_scheduler.hpp"

namespace bankhill::gang {
namespace {

constexpr double kStartTimeoutS = 20;
constexpr std::uint32_t kSpan = 3;

wire::JobSpec service_job(const std::string& job_id, std::uint32_t tasks, double cores) {
  wire::JobSpec spec;
  spec.id = {job_id};
  spec.kind = wire::JobKind::service;
  spec.task_count = tasks;
  spec.request = {cores, 0, cores};
  spec.image = job_id;
  return spec;
}

wire::MachineId make_machine_id(int number) { return {"n-" + std::to_string(100 + number)}; }

model::Machine& add_machine(model::Fleet& fleet, int number, const std::string& zone, double cores) {
  auto& machine = *fleet.add(make_machine_id(number)).first;
  machine.machine_type = "big";
  machine.zone = zone;
  machine.capacity = {cores, 0, 4 * cores};
  machine.up = machine.recorded = machine.confirmed = true;
  fleet.refresh(machine);
  return machine;
}

GangConstraints constraints_for(const wire::JobSpec& spec) {
  return {spec,
          "a",
          [](const model::Pool&) { return 2.0; },
          [](const model::Machine&) { return true; },
          [](std::uint32_t, const std::string&) { return true; },
          [](std::uint32_t, const wire::MachineId&) { return false; }};
}

// A leader that carries out what GangScheduler returns, and machines that execute every command.
struct Model {
  explicit Model(GangTracker::Settings settings = {kStartTimeoutS, 4, 30, 0.25, 8}) : scheduler(settings) {}

  void add(const wire::JobSpec& spec, std::uint32_t span = kSpan) {
    jobs[spec.id] = spec;
    scheduler.add_job(spec, span, 0);
  }
  void assign_task(const wire::TaskId& task_id, const wire::MachineId& machine_id) {
    auto& machine = *fleet.find(machine_id);
    ASSERT_TRUE(assignments.emplace(task_id, machine_id).second) << task_id.text() << " is started twice";
    machine.used += jobs.at(task_id.job).request;
    EXPECT_LE(machine.used.cores, machine.capacity.cores) << machine_id.value;
    fleet.refresh(machine);
  }
  void end_task(const wire::TaskId& task_id) {
    const auto found = assignments.find(task_id);
    if (found == assignments.end()) return;
    if (auto* machine = fleet.find(found->second)) {
      machine->used -= jobs.at(task_id.job).request;
      fleet.refresh(*machine);
    }
    assignments.erase(found);
    stopping.erase(task_id);
    scheduler.tracker().on_task_ended(task_id, now);
  }
  void apply_actions() {
    scheduler.tracker().advance(now, [this](const wire::JobId&) { return all_confirmed; });
    for (const auto& action : scheduler.apply_reservations(fleet))
      stopping.insert({action.gang_id.first, action.task_index});
  }
  void run_placement_pass() {
    apply_actions();
    for (const auto& [id, spec] : jobs) {
      for (const auto& request : scheduler.tracker().placement_requests(id, 4, now)) {
        const auto start = scheduler.place_gang(fleet, request, constraints_for(spec), now);
        apply_actions();
        if (!start) continue;
        std::set<wire::MachineId> machine_ids = request.peer_machines;
        std::set<std::string> zones;
        if (!request.zone.empty()) zones.insert(request.zone);
        for (const auto& [index, machine_id] : start->tasks) {
          EXPECT_TRUE(machine_ids.insert(machine_id).second) << "two tasks of a gang on " << machine_id.value;
          zones.insert(fleet.find(machine_id)->zone);
          assign_task({id, index}, machine_id);
        }
        EXPECT_EQ(machine_ids.size(), kSpan);
        EXPECT_EQ(zones.size(), 1U);
      }
    }
    for (const auto& move : scheduler.tracker().allowed_moves(now)) {
      scheduler.begin_move(fleet, move, constraints_for(jobs.at(move.id.first)), now);
      apply_actions();
    }
  }
  void report_all_running() {
    for (const auto& [task_id, machine_id] : assignments)
      if (!stopping.contains(task_id)) scheduler.tracker().on_task_running(task_id, now);
  }
  void end_stopping_tasks() {
    for (const auto& task_id : std::set<wire::TaskId>(stopping)) end_task(task_id);
  }
  // Runs placement passes without faults, one a second; all started tasks run and all stopped tasks end.
  void run_for(double seconds) {
    for (const double until = now + seconds; now < until; now += 1) {
      run_placement_pass();
      report_all_running();
      end_stopping_tasks();
      run_placement_pass();
    }
  }
  double reserved_cores() {
    double sum = 0;
    for (auto& [id, machine] : fleet) sum += machine.reserved.cores;
    return sum;
  }

  model::Fleet fleet;
  GangScheduler scheduler;
  std::map<wire::JobId, wire::JobSpec> jobs;
  std::map<wire::TaskId, wire::MachineId> assignments;
  std::set<wire::TaskId> stopping;
  double now = 0;
  bool all_confirmed = true;
};

wire::TaskId make_task_id(std::uint32_t index, const std::string& job = "job-000001") {
  return {{job}, index};
}
const GangId kFirstGang{{"job-000001"}, 0};

TEST(Replicas, PlacesAllTasksOrNone) {
  Model model;
  // There are four machines, but no zone has three. One of them alone could hold all three tasks.
  add_machine(model.fleet, 1, "a", 64);
  add_machine(model.fleet, 2, "a", 16);
  add_machine(model.fleet, 3, "b", 16);
  add_machine(model.fleet, 4, "b", 16);
  model.add(service_job("job-000001", 3, 8));
  model.run_placement_pass();
  EXPECT_TRUE(model.assignments.empty());
  const auto shortages = model.scheduler.shortages(model.now);
  ASSERT_TRUE(shortages.contains({"job-000001"}));
  EXPECT_EQ(shortages.at({"job-000001"}).machines, 1U);
  add_machine(model.fleet, 5, "b", 16);
  model.run_placement_pass();
  EXPECT_EQ(model.assignments.size(), 3U);
  model.report_all_running();
  EXPECT_EQ(model.scheduler.tracker().phase(kFirstGang), Phase::running);
  model.apply_actions();
  EXPECT_EQ(model.reserved_cores(), 0);
}

TEST(Replicas, LeftoverTasksStayQueued) {
  Model model;
  for (int i = 0; i < 9; ++i) add_machine(model.fleet, i, "a", 16);
  model.add(service_job("job-000001", 8, 8));
  EXPECT_EQ(model.scheduler.tracker().unusable_tasks({"job-000001"}), 2U);
  model.run_for(5);
  EXPECT_EQ(model.assignments.size(), 6U);
}

// When a task's machine is terminated, the whole gang is stopped. It is restarted on the machines of the
// other tasks, which hold the image, and one new machine.
TEST(Replicas, RestartsOnMachinesThatHoldTheImage) {
  Model model;
  for (int i = 0; i < 5; ++i) add_machine(model.fleet, i, "a", 16);
  model.add(service_job("job-000001", 3, 16));
  model.run_for(2);
  ASSERT_EQ(model.assignments.size(), 3U);
  std::set<wire::MachineId> before;
  for (const auto& [id, machine_id] : model.assignments) {
    before.insert(machine_id);
    model.fleet.add_image(*model.fleet.find(machine_id), "job-000001");
  }
  const auto lost_machine = model.assignments.at(make_task_id(1));
  model.fleet.find(lost_machine)->terminating = true;
  model.fleet.refresh(*model.fleet.find(lost_machine));
  model.scheduler.tracker().on_task_failing(make_task_id(1), model.now);
  model.run_placement_pass();
  EXPECT_EQ(model.stopping.size(), 3U) << "the other tasks of the gang were not stopped";
  // The gang is not restarted before the lost task is confirmed to have ended: it could run twice otherwise.
  model.stopping.erase(make_task_id(1));
  model.end_stopping_tasks();
  model.run_placement_pass();
  EXPECT_EQ(model.assignments.size(), 1U);
  model.end_task(make_task_id(1));
  model.run_placement_pass();
  ASSERT_EQ(model.assignments.size(), 3U);
  std::size_t stayed = 0;
  for (const auto& [id, machine_id] : model.assignments) stayed += before.contains(machine_id) ? 1 : 0;
  EXPECT_EQ(stayed, 2U);
  EXPECT_NE(model.assignments.at(make_task_id(1)), lost_machine);
}

// An agent refuses to start a task while it lists an ended attempt of it. The tasks of the gang are then
// assigned to the placements in a different order.
TEST(Replicas, TasksSwapMachinesThatListAnEarlierAttempt) {
  const std::vector<std::uint32_t> tasks = {0, 1, 2};
  const std::vector<Placement> placements = {
      {make_machine_id(0), "a"}, {make_machine_id(1), "a"}, {make_machine_id(2), "a"}};
  const auto result =
      assign_placements(tasks, placements, [](std::uint32_t index, const wire::MachineId& machine_id) {
        return machine_id == make_machine_id(static_cast<int>(index));
      });
  ASSERT_EQ(result.size(), 3U);
  for (int i = 0; i < 3; ++i) EXPECT_NE(result[static_cast<std::size_t>(i)].machine_id, make_machine_id(i));
  EXPECT_TRUE(assign_placements(tasks, placements, [](std::uint32_t index, const wire::MachineId&) {
                return index == 1;
              }).empty());
}

// A gang is stopped if not all of its tasks run in time. It is restarted without the machine of the task that
// did not start.
TEST(Replicas, StartTimeoutExcludesTheMachine) {
  Model model;
  for (int i = 0; i < 4; ++i) add_machine(model.fleet, i, "a", 16);
  model.add(service_job("job-000001", 3, 16));
  model.run_placement_pass();
  ASSERT_EQ(model.assignments.size(), 3U);
  const auto failed_machine = model.assignments.at(make_task_id(2));
  model.scheduler.tracker().on_task_running(make_task_id(0), model.now);
  model.scheduler.tracker().on_task_running(make_task_id(1), model.now);
  model.now += kStartTimeoutS + 1;
  model.run_placement_pass();
  EXPECT_EQ(model.stopping.size(), 3U);
  model.end_stopping_tasks();
  model.run_placement_pass();
  ASSERT_EQ(model.assignments.size(), 3U);
  for (const auto& [id, machine_id] : model.assignments) EXPECT_NE(machine_id, failed_machine);
}

// Two gangs that each reserve a part of what the other one needs would wait for each other forever.
TEST(Replicas, GangsDoNotDeadlockOnPartialReservations) {
  Model model;
  for (int i = 0; i < 4; ++i) add_machine(model.fleet, i, "a", 16);
  model.add(service_job("job-000001", 3, 16));
  model.add(service_job("job-000002", 3, 16));
  model.run_for(3);
  EXPECT_EQ(model.assignments.size(), 3U);
  // Each gang loses a task and the machine that it ran on.
  add_machine(model.fleet, 4, "a", 16);
  add_machine(model.fleet, 5, "a", 16);
  model.run_for(kStartTimeoutS);
  ASSERT_EQ(model.assignments.size(), 6U);
  for (const auto& lost : {make_task_id(0), make_task_id(0, "job-000002")}) {
    auto& machine = *model.fleet.find(model.assignments.at(lost));
    machine.up = false;
    model.fleet.refresh(machine);
    model.end_task(lost);
  }
  model.run_for(3);
  EXPECT_EQ(model.assignments.size(), 3U) << "exactly one of the two gangs can run";
}

// Small tasks take all resources as soon as they become free, so a gang can be placed only by reserving
// resources. Guards against starvation of the gang, and checks the time that it waits.
TEST(Replicas, SmallTasksDoNotStarveAGang) {
  Model model;
  for (int i = 0; i < 3; ++i) add_machine(model.fleet, i, "a", 16).used = {16, 0, 0};
  for (auto& [id, machine] : model.fleet) model.fleet.refresh(machine);
  const auto small = service_job("job-000009", 1, 2);
  model.add(service_job("job-000001", 3, 16));
  int small_started = 0;
  double running_at = 0;
  for (int step = 0; step < 100 && running_at == 0; ++step) {
    model.now += 1;
    // A small task ends on each machine in turn, and other small tasks take all free resources.
    auto& machine = *model.fleet.find(make_machine_id(step % 3));
    if (machine.used.cores > 0 && model.assignments.empty()) machine.used.cores -= 2;
    model.fleet.refresh(machine);
    model.run_placement_pass();
    for (auto& [id, other] : model.fleet)
      if (other.available().cores >= 2) {
        other.used.cores += 2;
        ++small_started;
        model.fleet.refresh(other);
      }
    model.report_all_running();
    if (model.scheduler.tracker().phase(kFirstGang) == Phase::running) running_at = model.now;
  }
  EXPECT_GT(running_at, 0) << small_started << " small tasks started before the gang";
  // One partial reservation that expires, the pause after it, and the time that the tasks of a machine take
  // to end.
  EXPECT_LE(running_at, 2 * kStartTimeoutS + 26);
}

TEST(Replicas, PartialReservationExpires) {
  Model model;
  add_machine(model.fleet, 1, "a", 16);
  add_machine(model.fleet, 2, "a", 16);
  model.add(service_job("job-000001", 3, 16));
  model.run_placement_pass();
  EXPECT_EQ(model.reserved_cores(), 32);
  model.now += kStartTimeoutS - 1;
  model.run_placement_pass();
  EXPECT_EQ(model.reserved_cores(), 32);
  model.now += 2;
  model.run_placement_pass();
  EXPECT_EQ(model.reserved_cores(), 0) << "the partial reservation did not expire";
  model.scheduler.remove_job({"job-000001"});
  model.apply_actions();
  EXPECT_EQ(model.reserved_cores(), 0);
}

TEST(Replicas, MovesOnlyWithFullReservationAndNeverTheLastGang) {
  Model model;
  for (int i = 0; i < 6; ++i) add_machine(model.fleet, i, "a", 16);
  model.add(service_job("job-000001", 6, 16));
  model.run_for(2);
  ASSERT_EQ(model.scheduler.tracker().running_gangs({"job-000001"}), 2U);
  const auto drain = [&](std::uint32_t index) {
    auto& machine = *model.fleet.find(model.assignments.at(make_task_id(index)));
    machine.draining = true;
    model.fleet.refresh(machine);
    model.scheduler.tracker().request_move(make_task_id(index), false, model.now);
  };
  drain(0);
  drain(3);
  model.run_placement_pass();
  EXPECT_TRUE(model.stopping.empty()) << "a gang was stopped before machines for all its tasks were reserved";
  add_machine(model.fleet, 6, "a", 16);
  add_machine(model.fleet, 7, "a", 16);
  model.run_placement_pass();
  EXPECT_EQ(model.stopping.size(), 3U) << "only one gang may move at a time";
  EXPECT_EQ(model.scheduler.tracker().running_gangs({"job-000001"}), 1U);
  model.run_for(5);
  EXPECT_EQ(model.scheduler.tracker().running_gangs({"job-000001"}), 2U);
  for (const auto& [id, machine_id] : model.assignments)
    EXPECT_FALSE(model.fleet.find(machine_id)->draining) << id.text();
  // A gang is not moved again within the minimum move interval.
  const auto before = model.assignments;
  drain(1);
  add_machine(model.fleet, 8, "a", 16);
  model.run_for(5);
  EXPECT_EQ(model.assignments, before);
  model.run_for(40);
  EXPECT_NE(model.assignments, before);
  EXPECT_EQ(model.scheduler.tracker().running_gangs({"job-000001"}), 2U);
}

TEST(Replicas, OnlyGangMovesOnlyIfItsMachineIsPreempted) {
  Model model;
  for (int i = 0; i < 4; ++i) add_machine(model.fleet, i, "a", 16);
  model.add(service_job("job-000001", 3, 16));
  model.run_for(2);
  model.scheduler.tracker().request_move(make_task_id(0), false, model.now);
  model.run_placement_pass();
  EXPECT_TRUE(model.stopping.empty());
  model.scheduler.tracker().request_move(make_task_id(0), true, model.now);
  model.run_placement_pass();
  EXPECT_EQ(model.stopping.size(), 3U);
}

// A new leader finds two of a gang's three tasks. It completes the gang in the zone of these tasks if there
// is a machine for the third, and stops it otherwise.
TEST(Replicas, InheritedPartialGangIsCompletedOrStopped) {
  for (const bool has_machine : {true, false}) {
    Model model;
    for (int i = 0; i < (has_machine ? 3 : 2); ++i) add_machine(model.fleet, i, "a", 16);
    add_machine(model.fleet, 7, "b", 16);
    model.add(service_job("job-000001", 3, 16));
    for (std::uint32_t i = 0; i < 2; ++i) {
      model.assign_task(make_task_id(i), make_machine_id(static_cast<int>(i)));
      model.scheduler.tracker().on_task_found(make_task_id(i), {make_machine_id(static_cast<int>(i)), "a"},
                                              model.now);
      model.scheduler.tracker().on_task_running(make_task_id(i), model.now);
    }
    // The gang is not stopped while a machine that may run the third task is unconfirmed.
    model.all_confirmed = false;
    model.now += 5 * kStartTimeoutS;
    model.apply_actions();
    EXPECT_TRUE(model.stopping.empty());
    model.all_confirmed = true;
    model.run_for(kStartTimeoutS + 3);
    EXPECT_EQ(model.scheduler.tracker().phase(kFirstGang), has_machine ? Phase::running : Phase::waiting);
    EXPECT_EQ(model.assignments.size(), has_machine ? 3U : 0U);
  }
}

// Tasks that were placed one by one share machines and zones. The gangs count as running and are corrected by
// moves.
TEST(Replicas, InheritedSplitGangIsMoved) {
  Model model;
  for (int i = 0; i < 5; ++i) add_machine(model.fleet, i, i < 4 ? "a" : "b", 32);
  model.add(service_job("job-000001", 6, 16));
  // Tasks 0 and 1 share a machine; task 5 is in another zone.
  const int machine_numbers[] = {0, 0, 1, 2, 3, 4};
  for (std::uint32_t i = 0; i < 6; ++i) {
    model.assign_task(make_task_id(i), make_machine_id(machine_numbers[i]));
    model.scheduler.tracker().on_task_found(
        make_task_id(i), {make_machine_id(machine_numbers[i]), machine_numbers[i] < 4 ? "a" : "b"},
        model.now);
    model.scheduler.tracker().on_task_running(make_task_id(i), model.now);
  }
  model.run_for(100);
  EXPECT_EQ(model.scheduler.tracker().running_gangs({"job-000001"}), 2U);
  for (std::uint32_t gang = 0; gang < 2; ++gang) {
    std::set<wire::MachineId> machine_ids;
    std::set<std::string> zones;
    for (std::uint32_t i = 0; i < 3; ++i) {
      machine_ids.insert(model.assignments.at(make_task_id(3 * gang + i)));
      zones.insert(model.fleet.find(model.assignments.at(make_task_id(3 * gang + i)))->zone);
    }
    EXPECT_EQ(machine_ids.size(), 3U);
    EXPECT_EQ(zones.size(), 1U);
  }
}

// Random faults on a model of machines: machines fail, hang, are drained and replaced, tasks fail, starts are
// slow. At every step the tasks of a gang are on distinct machines in one zone, and no machine's resources
// are assigned twice. At most one gang holds a partial reservation. After the faults all gangs run and no
// resources are reserved.
TEST(Replicas, RandomMachineFaults) {
  std::uint64_t starts = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(seed);
    const auto chance = [&](double p) { return std::uniform_real_distribution<double>(0, 1)(random) < p; };
    Model model;
    int next_machine = 0;
    const auto boot_machine = [&] {
      add_machine(model.fleet, next_machine, next_machine % 3 == 0 ? "b" : "a", 16);
      ++next_machine;
    };
    for (int i = 0; i < 14; ++i) boot_machine();
    model.add(service_job("job-000001", 6, 16));
    model.add(service_job("job-000002", 7, 8));
    // Time until which the tasks of each failed machine may still run.
    std::map<wire::MachineId, double> failed_machines;
    for (; model.now < 400; model.now += 1) {
      if (model.fleet.size() < 14 && chance(0.3)) boot_machine();
      if (chance(0.08) && !model.assignments.empty()) {
        auto victim = model.assignments.begin();
        std::advance(victim, static_cast<int>(random() % model.assignments.size()));
        auto& machine = *model.fleet.find(victim->second);
        if (chance(0.4)) {  // the task fails
          model.end_task(wire::TaskId(victim->first));
        } else if (chance(0.5)) {  // the machine fails; its tasks are confirmed to have ended later
          machine.lease_expired = true;
          model.fleet.refresh(machine);
          failed_machines.emplace(machine.id, model.now + (chance(0.5) ? 1 : 15));
          for (const auto& [id, machine_id] : model.assignments)
            if (machine_id == machine.id) model.scheduler.tracker().on_task_failing(id, model.now);
        } else {
          machine.draining = true;
          model.fleet.refresh(machine);
          for (const auto& [id, machine_id] : model.assignments)
            if (machine_id == machine.id) model.scheduler.tracker().request_move(id, chance(0.5), model.now);
        }
      }
      for (auto entry = failed_machines.begin(); entry != failed_machines.end();) {
        if (model.now < entry->second) {
          ++entry;
          continue;
        }
        std::vector<wire::TaskId> ended_tasks;
        for (const auto& [id, machine_id] : model.assignments)
          if (machine_id == entry->first) ended_tasks.push_back(id);
        for (const auto& id : ended_tasks) model.end_task(id);
        model.fleet.erase(entry->first);
        entry = failed_machines.erase(entry);
      }
      std::vector<wire::MachineId> empty;
      for (auto& [id, machine] : model.fleet)
        if (machine.draining && machine.used.cores < 1) empty.push_back(id);
      for (const auto& id : empty)
        if (!failed_machines.contains(id)) model.fleet.erase(id);
      const auto before = model.assignments.size();
      model.run_placement_pass();
      starts += model.assignments.size() > before ? 1 : 0;
      for (const auto& [id, machine_id] : model.assignments)
        if (!failed_machines.contains(machine_id) && !model.stopping.contains(id) && chance(0.5))
          model.scheduler.tracker().on_task_running(id, model.now);
      for (const auto& id : std::set<wire::TaskId>(model.stopping))
        if (!failed_machines.contains(model.assignments.at(id)) && chance(0.7)) model.end_task(id);
      ASSERT_FALSE(testing::Test::HasFailure());
    }
    for (const auto& [id, until] : std::map<wire::MachineId, double>(failed_machines)) {
      std::vector<wire::TaskId> ended_tasks;
      for (const auto& [task_id, machine_id] : model.assignments)
        if (machine_id == id) ended_tasks.push_back(task_id);
      for (const auto& task_id : ended_tasks) model.end_task(task_id);
      model.fleet.erase(id);
    }
    for (int i = 0; i < 14; ++i) boot_machine();
    model.run_for(120);
    EXPECT_EQ(model.scheduler.tracker().running_gangs({"job-000001"}), 2U);
    EXPECT_EQ(model.scheduler.tracker().running_gangs({"job-000002"}), 2U);
    EXPECT_EQ(model.assignments.size(), 12U);
    EXPECT_EQ(model.reserved_cores(), 0);
    EXPECT_FALSE(model.scheduler.tracker().partial_holder());
  }
  EXPECT_GT(starts, 600U);
}

// The cost of a search grows with the number of tasks and zones, not with the size of the fleet.
TEST(Replicas, SearchDoesNotScanTheFleet) {
  std::uint64_t steps[2] = {0, 0};
  for (const int large : {0, 1}) {
    model::Fleet fleet;
    for (int i = 0; i < (large == 1 ? 5000 : 500); ++i) add_machine(fleet, i, i % 2 == 0 ? "a" : "b", 16);
    GangScheduler scheduler({kStartTimeoutS, 4, 30, 0.25, 8});
    const auto spec = service_job("job-000001", 8, 16);
    scheduler.add_job(spec, 8, 0);
    const auto before = fleet.steps();
    ASSERT_TRUE(scheduler.place_gang(fleet, scheduler.tracker().placement_requests(spec.id, 1, 0).front(),
                                     constraints_for(spec), 0));
    steps[large] = fleet.steps() - before;
  }
  EXPECT_LE(steps[1], steps[0] + 8);
  EXPECT_LE(steps[0], 200U);
}

}  // namespace
}  // namespace bankhill::gang
