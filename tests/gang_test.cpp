// Replicas that span machines: the board and the search for places against a model of machines, seeded.
#include <gtest/gtest.h>

#include <random>

#include "gang/gang_scheduler.hpp"

namespace bankhill::gang {
namespace {

constexpr double kWait = 20;
constexpr std::uint32_t kSpan = 3;

wire::JobSpec service(const std::string& job_id, std::uint32_t members, double cores) {
  wire::JobSpec spec;
  spec.id = {job_id};
  spec.kind = wire::JobKind::service;
  spec.task_count = members;
  spec.request = {cores, 0, cores};
  spec.image = job_id;
  return spec;
}

wire::MachineId host(int number) { return {"n-" + std::to_string(100 + number)}; }

model::Machine& add_machine(model::Fleet& fleet, int number, const std::string& zone, double cores) {
  auto& machine = *fleet.add(host(number)).first;
  machine.machine_type = "big";
  machine.zone = zone;
  machine.capacity = {cores, 0, 4 * cores};
  machine.up = machine.recorded = machine.confirmed = true;
  fleet.refresh(machine);
  return machine;
}

GangConstraints site_of(const wire::JobSpec& spec) {
  return {spec,
          "a",
          [](const model::Pool&) { return 2.0; },
          [](const model::Machine&) { return true; },
          [](std::uint32_t, const std::string&) { return true; },
          [](std::uint32_t, const wire::MachineId&) { return false; }};
}

// What a leader does with the placer's words, and machines that do as they are told.
struct Model {
  explicit Model(GangTracker::Settings settings = {kWait, 4, 30, 0.25, 8}) : placer(settings) {}

  void add(const wire::JobSpec& spec, std::uint32_t span = kSpan) {
    jobs[spec.id] = spec;
    placer.add_job(spec, span, 0);
  }
  void bind(const wire::TaskId& task_id, const wire::MachineId& at) {
    auto& machine = *fleet.find(at);
    ASSERT_TRUE(where.emplace(task_id, at).second) << task_id.text() << " is started twice";
    machine.used += jobs.at(task_id.job).request;
    EXPECT_LE(machine.used.cores, machine.capacity.cores) << at.value;
    fleet.refresh(machine);
  }
  void unbind(const wire::TaskId& task_id) {
    const auto found = where.find(task_id);
    if (found == where.end()) return;
    if (auto* machine = fleet.find(found->second)) {
      machine->used -= jobs.at(task_id.job).request;
      fleet.refresh(*machine);
    }
    where.erase(found);
    stopping.erase(task_id);
    placer.tracker().on_task_ended(task_id, now);
  }
  void act() {
    placer.tracker().advance(now, [this](const wire::JobId&) { return settled; });
    for (const auto& action : placer.apply_reservations(fleet))
      stopping.insert({action.gang_id.first, action.task_index});
  }
  void place() {
    act();
    for (const auto& [id, spec] : jobs) {
      for (const auto& want : placer.tracker().placement_requests(id, 4, now)) {
        const auto start = placer.place_gang(fleet, want, site_of(spec), now);
        act();
        if (!start) continue;
        std::set<wire::MachineId> machine_ids = want.peers;
        std::set<std::string> zones;
        if (!want.zone.empty()) zones.insert(want.zone);
        for (const auto& [index, at] : start->tasks) {
          EXPECT_TRUE(machine_ids.insert(at).second) << "two members on " << at.value;
          zones.insert(fleet.find(at)->zone);
          bind({id, index}, at);
        }
        EXPECT_EQ(machine_ids.size(), kSpan);
        EXPECT_EQ(zones.size(), 1U);
      }
    }
    for (const auto& move : placer.tracker().allowed_moves(now)) {
      placer.begin_move(fleet, move, site_of(jobs.at(move.id.first)), now);
      act();
    }
  }
  void run_all() {
    for (const auto& [task_id, at] : where)
      if (!stopping.contains(task_id)) placer.tracker().on_task_running(task_id, now);
  }
  void stop_all() {
    for (const auto& task_id : std::set<wire::TaskId>(stopping)) unbind(task_id);
  }
  // Until nothing changes any more.
  void calm(double seconds) {
    for (const double until = now + seconds; now < until; now += 1) {
      place();
      run_all();
      stop_all();
      place();
    }
  }
  double kept() {
    double sum = 0;
    for (auto& [id, machine] : fleet) sum += machine.reserved.cores;
    return sum;
  }

  model::Fleet fleet;
  GangScheduler placer;
  std::map<wire::JobId, wire::JobSpec> jobs;
  std::map<wire::TaskId, wire::MachineId> where;
  std::set<wire::TaskId> stopping;
  double now = 0;
  bool settled = true;
};

wire::TaskId member(std::uint32_t index, const std::string& job = "job-000001") { return {{job}, index}; }
const ReplicaId kFirst{{"job-000001"}, 0};

TEST(Replicas, AllPlacesAtOnceOrNone) {
  Model model;
  // Enough machines, but no zone has three; and one machine alone would have room for all.
  add_machine(model.fleet, 1, "a", 64);
  add_machine(model.fleet, 2, "a", 16);
  add_machine(model.fleet, 3, "b", 16);
  add_machine(model.fleet, 4, "b", 16);
  model.add(service("job-000001", 3, 8));
  model.place();
  EXPECT_TRUE(model.where.empty());
  const auto lacks = model.placer.shortages(model.now);
  ASSERT_TRUE(lacks.contains({"job-000001"}));
  EXPECT_EQ(lacks.at({"job-000001"}).machines, 1U);
  add_machine(model.fleet, 5, "b", 16);
  model.place();
  EXPECT_EQ(model.where.size(), 3U);
  model.run_all();
  EXPECT_EQ(model.placer.tracker().phase(kFirst), Phase::whole);
  model.act();
  EXPECT_EQ(model.kept(), 0);
}

TEST(Replicas, MembersThatMakeNoReplicaStayQueued) {
  Model model;
  for (int i = 0; i < 9; ++i) add_machine(model.fleet, i, "a", 16);
  model.add(service("job-000001", 8, 8));
  EXPECT_EQ(model.placer.tracker().unusable_tasks({"job-000001"}), 2U);
  model.calm(5);
  EXPECT_EQ(model.where.size(), 6U);
}

// One that fails, or whose machine is given up, ends the others; only its place is a new one, and the weights
// stay where they are.
TEST(Replicas, RepairedAsOneWhereTheWeightsAre) {
  Model model;
  for (int i = 0; i < 5; ++i) add_machine(model.fleet, i, "a", 16);
  model.add(service("job-000001", 3, 16));
  model.calm(2);
  ASSERT_EQ(model.where.size(), 3U);
  std::set<wire::MachineId> before;
  for (const auto& [id, at] : model.where) {
    before.insert(at);
    model.fleet.add_image(*model.fleet.find(at), "job-000001");
  }
  const auto lost = model.where.at(member(1));
  model.fleet.find(lost)->terminating = true;
  model.fleet.refresh(*model.fleet.find(lost));
  model.placer.tracker().on_task_failing(member(1), model.now);
  model.place();
  EXPECT_EQ(model.stopping.size(), 3U) << "its peers go on";
  // Not before the lost one is proven gone: else it could run twice.
  model.stopping.erase(member(1));
  model.stop_all();
  model.place();
  EXPECT_EQ(model.where.size(), 1U);
  model.unbind(member(1));
  model.place();
  ASSERT_EQ(model.where.size(), 3U);
  std::size_t stayed = 0;
  for (const auto& [id, at] : model.where) stayed += before.contains(at) ? 1 : 0;
  EXPECT_EQ(stayed, 2U);
  EXPECT_NE(model.where.at(member(1)), lost);
}

// A member that its machine still lists as ended is refused there: the members change places.
TEST(Replicas, MembersChangePlacesWhereAnEarlierAttemptIsListed) {
  const std::vector<std::uint32_t> members = {0, 1, 2};
  const std::vector<Placement> spots = {{host(0), "a"}, {host(1), "a"}, {host(2), "a"}};
  const auto result = assign(members, spots, [](std::uint32_t index, const wire::MachineId& at) {
    return at == host(static_cast<int>(index));
  });
  ASSERT_EQ(result.size(), 3U);
  for (int i = 0; i < 3; ++i) EXPECT_NE(result[static_cast<std::size_t>(i)].machine_id, host(i));
  EXPECT_TRUE(
      assign(members, spots, [](std::uint32_t index, const wire::MachineId&) { return index == 1; }).empty());
}

// One that does not come to be whole is stopped and goes to other machines.
TEST(Replicas, NotWholeInTimeGoesElsewhere) {
  Model model;
  for (int i = 0; i < 4; ++i) add_machine(model.fleet, i, "a", 16);
  model.add(service("job-000001", 3, 16));
  model.place();
  ASSERT_EQ(model.where.size(), 3U);
  const auto dumb = model.where.at(member(2));
  model.placer.tracker().on_task_running(member(0), model.now);
  model.placer.tracker().on_task_running(member(1), model.now);
  model.now += kWait + 1;
  model.place();
  EXPECT_EQ(model.stopping.size(), 3U);
  model.stop_all();
  model.place();
  ASSERT_EQ(model.where.size(), 3U);
  for (const auto& [id, at] : model.where) EXPECT_NE(at, dumb);
}

// Two that each hold a part of what the other lacks would wait for each other.
TEST(Replicas, NoTwoWaitForEachOther) {
  Model model;
  for (int i = 0; i < 4; ++i) add_machine(model.fleet, i, "a", 16);
  model.add(service("job-000001", 3, 16));
  model.add(service("job-000002", 3, 16));
  model.calm(3);
  EXPECT_EQ(model.where.size(), 3U);
  // Both have lost a member, and with it a machine.
  add_machine(model.fleet, 4, "a", 16);
  add_machine(model.fleet, 5, "a", 16);
  model.calm(kWait);
  ASSERT_EQ(model.where.size(), 6U);
  for (const auto& lost : {member(0), member(0, "job-000002")}) {
    auto& machine = *model.fleet.find(model.where.at(lost));
    machine.up = false;
    model.fleet.refresh(machine);
    model.unbind(lost);
  }
  model.calm(3);
  EXPECT_EQ(model.where.size(), 3U) << "one of the two can run";
}

// Small work takes each bit of room as it comes free: room for all members comes only where it is kept, and
// no longer than stated.
TEST(Replicas, SmallWorkDoesNotPassItForEver) {
  Model model;
  for (int i = 0; i < 3; ++i) add_machine(model.fleet, i, "a", 16).used = {16, 0, 0};
  for (auto& [id, machine] : model.fleet) model.fleet.refresh(machine);
  const auto small = service("job-000009", 1, 2);
  model.add(service("job-000001", 3, 16));
  int taken = 0;
  double whole_at = 0;
  for (int step = 0; step < 100 && whole_at == 0; ++step) {
    model.now += 1;
    // A small task ends on each machine in turn, and others take any room there is.
    auto& machine = *model.fleet.find(host(step % 3));
    if (machine.used.cores > 0 && model.where.empty()) machine.used.cores -= 2;
    model.fleet.refresh(machine);
    model.place();
    for (auto& [id, other] : model.fleet)
      if (other.available().cores >= 2) {
        other.used.cores += 2;
        ++taken;
        model.fleet.refresh(other);
      }
    model.run_all();
    if (model.placer.tracker().phase(kFirst) == Phase::whole) whole_at = model.now;
  }
  EXPECT_GT(whole_at, 0) << taken << " small tasks passed it";
  // A hold in vain, its pause and the time that the tasks of a machine take to end.
  EXPECT_LE(whole_at, 2 * kWait + 26);
}

TEST(Replicas, RoomIsKeptForABoundedTime) {
  Model model;
  add_machine(model.fleet, 1, "a", 16);
  add_machine(model.fleet, 2, "a", 16);
  model.add(service("job-000001", 3, 16));
  model.place();
  EXPECT_EQ(model.kept(), 32);
  model.now += kWait - 1;
  model.place();
  EXPECT_EQ(model.kept(), 32);
  model.now += 2;
  model.place();
  EXPECT_EQ(model.kept(), 0) << "kept for ever";
  model.placer.remove_job({"job-000001"});
  model.act();
  EXPECT_EQ(model.kept(), 0);
}

TEST(Replicas, MovesWithAllPlacesReservedAndNeverTheLast) {
  Model model;
  for (int i = 0; i < 6; ++i) add_machine(model.fleet, i, "a", 16);
  model.add(service("job-000001", 6, 16));
  model.calm(2);
  ASSERT_EQ(model.placer.tracker().running_gangs({"job-000001"}), 2U);
  const auto drain = [&](std::uint32_t index) {
    auto& machine = *model.fleet.find(model.where.at(member(index)));
    machine.draining = true;
    model.fleet.refresh(machine);
    model.placer.tracker().request_move(member(index), false, model.now);
  };
  drain(0);
  drain(3);
  model.place();
  EXPECT_TRUE(model.stopping.empty()) << "stopped without a place to go";
  add_machine(model.fleet, 6, "a", 16);
  add_machine(model.fleet, 7, "a", 16);
  model.place();
  EXPECT_EQ(model.stopping.size(), 3U) << "one at a time";
  EXPECT_EQ(model.placer.tracker().running_gangs({"job-000001"}), 1U);
  model.calm(5);
  EXPECT_EQ(model.placer.tracker().running_gangs({"job-000001"}), 2U);
  for (const auto& [id, at] : model.where) EXPECT_FALSE(model.fleet.find(at)->draining) << id.text();
  // Not twice within the time stated.
  const auto before = model.where;
  drain(1);
  add_machine(model.fleet, 8, "a", 16);
  model.calm(5);
  EXPECT_EQ(model.where, before);
  model.calm(40);
  EXPECT_NE(model.where, before);
  EXPECT_EQ(model.placer.tracker().running_gangs({"job-000001"}), 2U);
}

TEST(Replicas, TheOnlyOneMovesOnlyWhenItsMachineIsTaken) {
  Model model;
  for (int i = 0; i < 4; ++i) add_machine(model.fleet, i, "a", 16);
  model.add(service("job-000001", 3, 16));
  model.calm(2);
  model.placer.tracker().request_move(member(0), false, model.now);
  model.place();
  EXPECT_TRUE(model.stopping.empty());
  model.placer.tracker().request_move(member(0), true, model.now);
  model.place();
  EXPECT_EQ(model.stopping.size(), 3U);
}

// Found by a new leader: a half one is completed where its others are, or ended; one that was placed member
// by member is whole, and put right by a move.
TEST(Replicas, FoundHalfIsCompletedOrEnded) {
  for (const bool room : {true, false}) {
    Model model;
    for (int i = 0; i < (room ? 3 : 2); ++i) add_machine(model.fleet, i, "a", 16);
    add_machine(model.fleet, 7, "b", 16);
    model.add(service("job-000001", 3, 16));
    for (std::uint32_t i = 0; i < 2; ++i) {
      model.bind(member(i), host(static_cast<int>(i)));
      model.placer.tracker().on_task_found(member(i), {host(static_cast<int>(i)), "a"}, model.now);
      model.placer.tracker().on_task_running(member(i), model.now);
    }
    // Not judged while a machine that may hold the third is not heard.
    model.settled = false;
    model.now += 5 * kWait;
    model.act();
    EXPECT_TRUE(model.stopping.empty());
    model.settled = true;
    model.calm(kWait + 3);
    EXPECT_EQ(model.placer.tracker().phase(kFirst), room ? Phase::whole : Phase::waiting);
    EXPECT_EQ(model.where.size(), room ? 3U : 0U);
  }
}

TEST(Replicas, FoundSplitIsPutRight) {
  Model model;
  for (int i = 0; i < 5; ++i) add_machine(model.fleet, i, i < 4 ? "a" : "b", 32);
  model.add(service("job-000001", 6, 16));
  const int at[] = {0, 0, 1, 2, 3, 4};  // two on one machine; one in another zone
  for (std::uint32_t i = 0; i < 6; ++i) {
    model.bind(member(i), host(at[i]));
    model.placer.tracker().on_task_found(member(i), {host(at[i]), at[i] < 4 ? "a" : "b"}, model.now);
    model.placer.tracker().on_task_running(member(i), model.now);
  }
  model.calm(100);
  EXPECT_EQ(model.placer.tracker().running_gangs({"job-000001"}), 2U);
  for (std::uint32_t replica = 0; replica < 2; ++replica) {
    std::set<wire::MachineId> machine_ids;
    std::set<std::string> zones;
    for (std::uint32_t i = 0; i < 3; ++i) {
      machine_ids.insert(model.where.at(member(3 * replica + i)));
      zones.insert(model.fleet.find(model.where.at(member(3 * replica + i)))->zone);
    }
    EXPECT_EQ(machine_ids.size(), 3U);
    EXPECT_EQ(zones.size(), 1U);
  }
}

// Random days of a model of machines: they die, hang, are drained and come back, members fail, starts are
// slow. Whenever it is looked at: members of one replica on machines of their own in one zone, no room sold
// twice, at most one that keeps room in vain; when all is calm, all are whole and no room is kept.
TEST(Replicas, RandomDaysOfMachines) {
  std::uint64_t starts = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(seed);
    const auto chance = [&](double p) { return std::uniform_real_distribution<double>(0, 1)(random) < p; };
    Model model;
    int next_host = 0;
    const auto boot = [&] {
      add_machine(model.fleet, next_host, next_host % 3 == 0 ? "b" : "a", 16);
      ++next_host;
    };
    for (int i = 0; i < 14; ++i) boot();
    model.add(service("job-000001", 6, 16));
    model.add(service("job-000002", 7, 8));
    std::map<wire::MachineId, double> dead;  // until when its tasks may still run
    for (; model.now < 400; model.now += 1) {
      if (model.fleet.size() < 14 && chance(0.3)) boot();
      if (chance(0.08) && !model.where.empty()) {
        auto victim = model.where.begin();
        std::advance(victim, static_cast<int>(random() % model.where.size()));
        auto& machine = *model.fleet.find(victim->second);
        if (chance(0.4)) {  // the member fails
          model.unbind(wire::TaskId(victim->first));
        } else if (chance(0.5)) {  // the machine dies, which is proven later
          machine.lease_expired = true;
          model.fleet.refresh(machine);
          dead.emplace(machine.id, model.now + (chance(0.5) ? 1 : 15));
          for (const auto& [id, at] : model.where)
            if (at == machine.id) model.placer.tracker().on_task_failing(id, model.now);
        } else {
          machine.draining = true;
          model.fleet.refresh(machine);
          for (const auto& [id, at] : model.where)
            if (at == machine.id) model.placer.tracker().request_move(id, chance(0.5), model.now);
        }
      }
      for (auto entry = dead.begin(); entry != dead.end();) {
        if (model.now < entry->second) {
          ++entry;
          continue;
        }
        std::vector<wire::TaskId> ended;
        for (const auto& [id, at] : model.where)
          if (at == entry->first) ended.push_back(id);
        for (const auto& id : ended) model.unbind(id);
        model.fleet.erase(entry->first);
        entry = dead.erase(entry);
      }
      std::vector<wire::MachineId> empty;
      for (auto& [id, machine] : model.fleet)
        if (machine.draining && machine.used.cores < 1) empty.push_back(id);
      for (const auto& id : empty)
        if (!dead.contains(id)) model.fleet.erase(id);
      const auto before = model.where.size();
      model.place();
      starts += model.where.size() > before ? 1 : 0;
      for (const auto& [id, at] : model.where)
        if (!dead.contains(at) && !model.stopping.contains(id) && chance(0.5))
          model.placer.tracker().on_task_running(id, model.now);
      for (const auto& id : std::set<wire::TaskId>(model.stopping))
        if (!dead.contains(model.where.at(id)) && chance(0.7)) model.unbind(id);
      ASSERT_FALSE(testing::Test::HasFailure());
    }
    for (const auto& [id, until] : std::map<wire::MachineId, double>(dead)) {
      std::vector<wire::TaskId> ended;
      for (const auto& [one, at] : model.where)
        if (at == id) ended.push_back(one);
      for (const auto& one : ended) model.unbind(one);
      model.fleet.erase(id);
    }
    for (int i = 0; i < 14; ++i) boot();
    model.calm(120);
    EXPECT_EQ(model.placer.tracker().running_gangs({"job-000001"}), 2U);
    EXPECT_EQ(model.placer.tracker().running_gangs({"job-000002"}), 2U);
    EXPECT_EQ(model.where.size(), 12U);
    EXPECT_EQ(model.kept(), 0);
    EXPECT_FALSE(model.placer.tracker().holder());
  }
  EXPECT_GT(starts, 600U);
}

// The work of a search grows with members and zones, not with the fleet.
TEST(Replicas, SearchCostsNoScanOfTheFleet) {
  std::uint64_t steps[2] = {0, 0};
  for (const int large : {0, 1}) {
    model::Fleet fleet;
    for (int i = 0; i < (large == 1 ? 5000 : 500); ++i) add_machine(fleet, i, i % 2 == 0 ? "a" : "b", 16);
    GangScheduler placer({kWait, 4, 30, 0.25, 8});
    const auto spec = service("job-000001", 8, 16);
    placer.add_job(spec, 8, 0);
    const auto before = fleet.steps();
    ASSERT_TRUE(placer.place_gang(fleet, placer.tracker().placement_requests(spec.id, 1, 0).front(),
                                  site_of(spec), 0));
    steps[large] = fleet.steps() - before;
  }
  EXPECT_LE(steps[1], steps[0] + 8);
  EXPECT_LE(steps[0], 200U);
}

}  // namespace
}  // namespace bankhill::gang
