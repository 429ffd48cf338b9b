// Tests of the autoscaler with a real fleet and rental manager, and with callbacks in place of the leader.
#include "leader/autoscaler.hpp"

#include <gtest/gtest.h>
#include <spdlog/sinks/null_sink.h>

#include "manual_loop.hpp"

namespace bankhill::leader {
namespace {

struct Request {
  std::string machine_type;
  std::uint32_t count = 0;
  bool preemptible = false;
  bool operator==(const Request&) const = default;
};

void PrintTo(const Request& request, std::ostream* out) {
  *out << request.count << " x " << request.machine_type << (request.preemptible ? ", preemptible" : "");
}

struct Overload {
  double wanted = 0;
  double missing = 0;
};

class AutoscalerTest : public testing::Test {
 protected:
  AutoscalerTest() { rentals.begin_term(7); }

  RentalManager::Ports rental_ports() {
    RentalManager::Ports ports;
    ports.is_active_leader = [this] { return may_act; };
    ports.send_to_cloud = [this](cloud::Cloud::Message message) {
      if (auto* rent = std::get_if<cloud::Rent>(&message)) sent_requests.push_back(std::move(*rent));
    };
    ports.machine_type = [this](const std::string& name) -> const wire::MachineType* {
      for (const auto& type : machine_types)
        if (type.name == name) return &type;
      return nullptr;
    };
    ports.store_request = [this](const std::string&, const wire::RentalRecord& record,
                                 std::function<void()> stored) {
      requests.push_back({record.machine_type, record.count, record.preemptible});
      request_zones.push_back(record.zone);
      stored_callbacks.push_back(std::move(stored));
    };
    ports.store_machines = [](const std::string&, const wire::RentalRecord&) {};
    ports.remove_record = [](const std::string&) {};
    ports.on_terminating = [this](const model::Machine& machine) { terminating.push_back(machine.id); };
    ports.on_terminated = [](const wire::MachineId&) {};
    ports.schedule_planning = [] {};
    ports.count_event = [](const std::string&) {};
    return ports;
  }

  Autoscaler::Ports ports() {
    Autoscaler::Ports result;
    result.is_active_leader = [this] { return may_act; };
    result.may_start = [this](const model::Job&) { return may_start; };
    result.zone_allows = [this](const model::Job& job, const std::string& zone) {
      return !forbidden_zones.contains(zone) && (!job.spec.zone || *job.spec.zone == zone);
    };
    result.quota_allows = [this](const model::Job&) { return quota_allows; };
    result.placeable_tasks = [](const model::Job& job) { return job.ready_count; };
    result.is_gang = [this](const wire::JobId&) { return is_gang; };
    result.core_limit = [this](const std::string&) { return core_limit; };
    result.rent_for_gangs = [this](const std::vector<planner::Offer>&) { ++plan_count; };
    result.report_core_demand = [this](double wanted, double missing) { overload = {wanted, missing}; };
    result.drain = [this](model::Machine& machine, const std::string& reason) {
      machine.draining = true;
      machine.drain_reason = reason;
      fleet.refresh(machine);
    };
    result.cancel_drain = [this](model::Machine& machine, const std::string& reason) {
      if (machine.drain_reason != reason) return false;
      machine.draining = false;
      machine.drain_reason.clear();
      fleet.refresh(machine);
      return true;
    };
    result.count_event = [this](const std::string& event) { ++events[event]; };
    return result;
  }

  static wire::MachineType make_type(const std::string& name, double cores, double hourly_price,
                                     double boot_s) {
    wire::MachineType type;
    type.name = name;
    type.capacity = {cores, 0, 4 * cores};
    type.hourly_price = hourly_price;
    type.preemptible_hourly_price = hourly_price / 4;
    type.boot_s = boot_s;
    type.zones = {"a"};
    return type;
  }

  // Adds a job whose tasks use four cores each; the large type has the lowest price per task.
  model::Job& add_job(std::uint32_t tasks, bool preemptible = false) {
    const wire::JobId id{"job-" + std::to_string(jobs.size())};
    auto& job = jobs[id];
    job.spec.id = id;
    job.spec.team = "red";
    job.spec.task_count = tasks;
    job.spec.request = {4, 0, 1};
    job.spec.estimated_runtime_s = 100;
    job.spec.allows_preemptible = preemptible;
    job.accepted_at = job.eligible_at = loop.wall();
    job.reset_task_progress();
    live_jobs.emplace(id, &job);
    queue.note_accepted(job);
    queue.enqueue(job);
    return job;
  }

  model::Machine& add_machine(const std::string& machine_type, bool preemptible) {
    auto& machine = *fleet.add({"n-" + std::to_string(fleet.size())}).first;
    machine.machine_type = machine_type;
    machine.zone = "a";
    machine.preemptible = preemptible;
    machine.capacity = rental_ports().machine_type(machine_type)->capacity;
    machine.first_seen = machine.idle_since = loop.now();
    machine.up = machine.recorded = machine.confirmed = true;
    fleet.refresh(machine);
    return machine;
  }

  // The cloud has no capacity for any of the machines requested so far.
  void refuse_requests() {
    for (const auto& stored : std::exchange(stored_callbacks, {})) stored();
    for (const auto& request : std::exchange(sent_requests, {}))
      request.done({cloud::RentalResult::Status::no_capacity, {}});
  }

  void plan() {
    autoscaler.schedule_planning();
    loop.pass(1);
  }

  test_support::ManualLoop loop;
  runtime::Log log =
      std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::null_sink_mt>());
  std::vector<wire::MachineType> machine_types = {make_type("small", 4, 1, 40),
                                                  make_type("large", 16, 3.6, 60)};
  std::map<wire::JobId, model::Job> jobs;
  std::map<wire::JobId, model::Job*> live_jobs;
  model::Fleet fleet;

  bool may_act = true;
  bool may_start = true;
  bool quota_allows = true;
  bool is_gang = false;
  std::set<std::string> forbidden_zones;  // by the rules of all jobs on zones
  std::optional<double> core_limit;

  std::vector<Request> requests;
  std::vector<std::string> request_zones;
  std::vector<std::function<void()>> stored_callbacks;
  std::vector<cloud::Rent> sent_requests;
  std::vector<wire::MachineId> terminating;
  std::map<std::string, int> events;
  Overload overload;
  int plan_count = 0;

  queue::JobQueue queue{{3, 15, {}, {}, 240, 0.5},
                        {[](const model::Job&) { return true; }, [](const model::Job&) { return true; },
                         [](const model::Job&) { return queue::Deadline{}; }}};
  RentalManager rentals{loop, log, {3, 15, 40, 5, 1000, ""}, fleet, rental_ports()};
  Autoscaler autoscaler{
      loop, log, {3, 15, 0.8, 0.1, 2.5}, {machine_types, live_jobs, queue, fleet, rentals}, ports()};
};

TEST_F(AutoscalerTest, DoesNotPlanWithoutActiveLeadership) {
  add_job(8);
  may_act = false;
  plan();
  EXPECT_EQ(plan_count, 0);
  EXPECT_TRUE(requests.empty());
}

TEST_F(AutoscalerTest, DoesNotPlanBeforeTheCatalogueIsRead) {
  add_job(8);
  machine_types.clear();
  plan();
  EXPECT_EQ(plan_count, 0);
}

TEST_F(AutoscalerTest, LimitsThePlanningRate) {
  autoscaler.schedule_planning();
  loop.pass(0);
  EXPECT_EQ(plan_count, 1);
  autoscaler.schedule_planning();
  autoscaler.schedule_planning();
  loop.pass(0.8);
  EXPECT_EQ(plan_count, 1);
  loop.pass(0.2);
  EXPECT_EQ(plan_count, 2);
  loop.pass(10);
  EXPECT_EQ(plan_count, 2);
}

TEST_F(AutoscalerTest, RentsOnDemandMachinesForNonPreemptibleJobs) {
  add_job(8);
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"large", 2, false}}));
  EXPECT_EQ(overload.wanted, 32);
  EXPECT_EQ(overload.missing, 0);
}

TEST_F(AutoscalerTest, RentsPreemptibleMachinesForJobsThatAllowThem) {
  add_job(8, true);
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"large", 2, true}}));
}

TEST_F(AutoscalerTest, CountsPresentAndRequestedMachines) {
  add_machine("small", false);
  add_job(8);
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"small", 7, false}}));  // 28 of 32 cores are missing
  plan();
  EXPECT_EQ(requests.size(), 1U);
}

TEST_F(AutoscalerTest, RentsTheCheapestTypeForTheMissingCores) {
  add_machine("large", false);
  add_machine("small", false);
  add_machine("small", false);
  add_job(8);
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"small", 2, false}}));
}

TEST_F(AutoscalerTest, ReportsCoresThatCannotBeRented) {
  for (auto& type : machine_types) type.zones.clear();
  add_job(8);
  plan();
  EXPECT_TRUE(requests.empty());
  EXPECT_EQ(overload.wanted, 32);
  EXPECT_EQ(overload.missing, 32);
}

TEST_F(AutoscalerTest, RentsNoMoreThanTheTeamLimit) {
  core_limit = 8;
  add_job(8);
  add_job(8);
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"large", 1, false}}));
}

TEST_F(AutoscalerTest, RentsNothingForBlockedJobs) {
  add_job(8).blocked_until = loop.now() + 100;
  add_job(8).dependencies_met = false;
  may_start = false;
  plan();
  EXPECT_TRUE(requests.empty());
}

TEST_F(AutoscalerTest, AvoidsPreemptibleTypesThatAreReclaimedOften) {
  add_machine("large", true);
  autoscaler.advance_reclaim_history(1000, 1);
  for (int i = 0; i < 10; ++i) autoscaler.on_machine_reclaimed("large");
  add_job(8, true);
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"small", 4, true}}));
}

TEST_F(AutoscalerTest, UsesAPreemptibleTypeAgainAfterItsReclaimsHaveDecayed) {
  add_machine("large", true);
  autoscaler.advance_reclaim_history(1000, 1);
  for (int i = 0; i < 10; ++i) autoscaler.on_machine_reclaimed("large");
  autoscaler.advance_reclaim_history(1000, 0.001);
  add_job(8, true);
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"large", 1, true}}));
}

TEST_F(AutoscalerTest, RentsOnDemandMachinesForWaitingTasksIfAllPreemptibleTypesAreAvoided) {
  add_machine("large", true);
  add_machine("small", true);
  autoscaler.advance_reclaim_history(1000, 1);
  for (int i = 0; i < 10; ++i) {
    autoscaler.on_machine_reclaimed("large");
    autoscaler.on_machine_reclaimed("small");
  }
  add_job(8, true);
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"small", 3, false}}));
  EXPECT_EQ(overload.wanted, 32);
  EXPECT_EQ(overload.missing, 0);
}

TEST_F(AutoscalerTest, ReservesCoresForExpectedServices) {
  model::Job service;
  service.spec.kind = wire::JobKind::service;
  service.spec.request = {4, 0, 1};
  service.spec.task_count = 60;
  service.accepted_at = loop.wall();
  autoscaler.on_service_accepted(service);
  EXPECT_EQ(autoscaler.reserved_cores(), 0);
  plan();
  // 240 cores in four boot times of the slowest type (240 s) are one core per second: 6 cores in the lead
  // time of 6 s, which hold one whole task of 4 cores.
  EXPECT_EQ(autoscaler.reserved_cores(), 4);
  EXPECT_EQ(requests, (std::vector<Request>{{"large", 1, false}}));
  loop.pass(300);
  plan();
  EXPECT_EQ(autoscaler.reserved_cores(), 0);
}

TEST_F(AutoscalerTest, DrainsOnDemandMachinesThatIdlePreemptibleMachinesCanReplace) {
  auto& first = add_machine("large", false);
  auto& second = add_machine("large", false);
  add_machine("large", true);
  loop.pass(100);
  plan();
  autoscaler.drain_if_excess(first);
  autoscaler.drain_if_excess(second);
  EXPECT_TRUE(first.draining);
  EXPECT_FALSE(second.draining);
  EXPECT_EQ(events["excess machines drained"], 1);
  // The drained machine already uses up the idle preemptible machine.
  plan();
  autoscaler.drain_if_excess(second);
  EXPECT_FALSE(second.draining);
}

TEST_F(AutoscalerTest, DrainsNoMachineThatIsNewOrReservedOrRunsServices) {
  auto& with_service = add_machine("large", false);
  auto& reserved = add_machine("large", false);
  auto& preemptible = add_machine("large", true);
  for (int i = 0; i < 3; ++i) add_machine("large", true);
  with_service.service_cores = 1;
  reserved.reserved.cores = 1;
  loop.pass(100);
  auto& new_machine = add_machine("large", false);
  plan();
  for (auto* machine : {&with_service, &reserved, &preemptible, &new_machine}) {
    autoscaler.drain_if_excess(*machine);
    EXPECT_FALSE(machine->draining);
  }
}

TEST_F(AutoscalerTest, DrainsNoMachineThatThePlanNeeds) {
  auto& machine = add_machine("large", false);
  add_machine("large", true);
  loop.pass(100);
  add_job(4);
  plan();
  autoscaler.drain_if_excess(machine);
  EXPECT_FALSE(machine.draining);
}

TEST_F(AutoscalerTest, CancelsDrainsBeforeRentingMachines) {
  auto& machine = add_machine("large", false);
  add_machine("large", true);
  loop.pass(100);
  plan();
  autoscaler.drain_if_excess(machine);
  ASSERT_TRUE(machine.draining);
  add_job(4);
  const double planned_at = loop.now();
  plan();
  EXPECT_FALSE(machine.draining);
  EXPECT_EQ(machine.idle_since, planned_at);
  EXPECT_TRUE(requests.empty());
  EXPECT_EQ(events["drains of excess machines cancelled"], 1);
}

TEST_F(AutoscalerTest, ForgetsDrainedMachinesThatWereTerminated) {
  auto& machine = add_machine("large", false);
  add_machine("large", true);
  loop.pass(100);
  plan();
  autoscaler.drain_if_excess(machine);
  ASSERT_TRUE(machine.draining);
  const auto machine_id = machine.id;
  autoscaler.on_machine_terminated(machine_id);
  fleet.erase(machine_id);
  add_job(4);
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"large", 1, false}}));
}

// The fleet has the cores that the plan wants, but no machine can take a task of the job.
class UnservedJobTest : public AutoscalerTest {
 protected:
  UnservedJobTest() {
    machine.used = machine.capacity;
    fleet.refresh(machine);
  }
  model::Machine& machine = add_machine("large", false);
  model::Job& job = add_job(1);
};

TEST_F(UnservedJobTest, RentsTheCheapestMachineThatFitsATask) {
  add_job(1);  // the second job gets no other machine of the same type
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"small", 1, false}}));
  plan();  // the requested machine has not arrived yet
  EXPECT_EQ(requests.size(), 1U);
}

TEST_F(UnservedJobTest, RentsAMachineInTheZoneOfTheJob) {
  for (auto& type : machine_types) type.zones = {"a", "b"};
  job.spec.zone = "b";
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"small", 1, false}}));
  EXPECT_EQ(request_zones, std::vector<std::string>{"b"});
}

// Guards against asking for the cheapest machine type although the zone of the job does not offer it.
TEST_F(UnservedJobTest, RentsATypeThatTheZoneOfTheJobOffers) {
  machine_types[1].zones = {"a", "b"};
  job.spec.zone = "b";
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"large", 1, false}}));
  EXPECT_EQ(request_zones, std::vector<std::string>{"b"});
}

// Guards against counting free resources in a zone where the job's other tasks leave no place for one more.
TEST_F(UnservedJobTest, RentsInAnotherZoneIfTheRulesOnZonesForbidTheRoomThereIs) {
  for (auto& type : machine_types) type.zones = {"a", "b"};
  machine.used = {};
  fleet.refresh(machine);
  job.spec.zone_spread = true;
  plan();
  EXPECT_TRUE(requests.empty());
  forbidden_zones = {"a"};
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"small", 1, false}}));
  EXPECT_EQ(request_zones, std::vector<std::string>{"b"});
}

TEST_F(UnservedJobTest, RentsNothingInZonesThatTheRulesForbid) {
  job.spec.zone_affinity = true;
  forbidden_zones = {"a"};
  plan();
  EXPECT_TRUE(requests.empty());
}

// Guards against a job that waits for requested machines of which none can take its tasks.
TEST_F(UnservedJobTest, RentsBesideRequestsThatAreOfNoUseToTheJob) {
  for (auto& type : machine_types) type.zones = {"a", "b"};
  job.spec.zone = "a";
  rentals.request(machine_types[0], true, 1, "a");
  rentals.request(machine_types[0], false, 1, "b");
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"small", 1, true}, {"small", 1, false}, {"small", 1, false}}));
  EXPECT_EQ(request_zones, (std::vector<std::string>{"a", "b", "a"}));
  plan();
  EXPECT_EQ(requests.size(), 3U);
}

// Guards against a job that waits for as long as the cloud has no preemptible machines.
TEST_F(UnservedJobTest, RentsWhilePreemptibleMachinesHaveNoCapacity) {
  machine_types[1].zones = {"a", "b"};
  job.spec.zone = "b";
  job.spec.machine_types = std::vector<std::string>{"large"};
  add_job(8, true);
  for (int i = 0; i < 2; ++i) {  // more on-demand cores than the plan wants, all in use
    auto& full = add_machine("large", false);
    full.used = full.capacity;
    fleet.refresh(full);
  }
  for (int round = 0; round < 5 && (requests.empty() || requests.back().preemptible); ++round) {
    plan();
    refuse_requests();
  }
  ASSERT_FALSE(requests.empty());
  EXPECT_EQ(requests.back(), (Request{"large", 1, false}));
  EXPECT_EQ(request_zones.back(), "b");
}

// Guards against a job that waits for a type without capacity while the cloud has others.
TEST_F(UnservedJobTest, RentsAnotherTypeIfTheCheapestHasNoCapacity) {
  plan();
  refuse_requests();
  plan();
  EXPECT_EQ(requests, (std::vector<Request>{{"small", 1, false}, {"large", 1, false}}));
}

// Guards against a job that waits since the machine of another job cannot be had.
TEST_F(UnservedJobTest, RentsForAJobBehindOneThatGetsNoMachine) {
  for (auto& type : machine_types) type.zones = {"a", "b"};
  job.spec.zone = "a";
  job.spec.machine_types = std::vector<std::string>{"small"};
  auto& other = add_job(1);
  other.spec.zone = "b";
  other.spec.machine_types = std::vector<std::string>{"small"};
  plan();
  refuse_requests();
  plan();
  EXPECT_EQ(request_zones, (std::vector<std::string>{"a", "b"}));
}

TEST_F(UnservedJobTest, RentsNothingIfAMachineHasFreeResources) {
  machine.used = {12, 0, 12};
  fleet.refresh(machine);
  plan();
  EXPECT_TRUE(requests.empty());
  // A machine on which tasks of the job failed does not count.
  job.failed_on.insert(machine.id);
  plan();
  EXPECT_EQ(requests.size(), 1U);
}

TEST_F(UnservedJobTest, RentsNothingForJobsThatCannotStart) {
  may_start = false;
  plan();
  may_start = true;
  quota_allows = false;
  plan();
  quota_allows = true;
  is_gang = true;
  plan();
  EXPECT_TRUE(requests.empty());
}

TEST_F(UnservedJobTest, RentsNothingWhileTheCutoffIsFarAway) {
  job.cutoff = loop.wall() + 100'000;
  plan();
  EXPECT_TRUE(requests.empty());
  job.cutoff = loop.wall() + 200;  // half of it is less than the boot time plus the run time (160 s)
  plan();
  EXPECT_EQ(requests.size(), 1U);
}

TEST_F(AutoscalerTest, TerminatesMachinesIdleBeyondTheIdleLimit) {
  auto& on_demand = add_machine("large", false);
  auto& preemptible = add_machine("large", true);
  loop.pass(59);
  EXPECT_FALSE(
      autoscaler.terminate_if_idle(on_demand));  // within the cloud's minimum billing period of one minute
  loop.pass(1);
  EXPECT_TRUE(autoscaler.terminate_if_idle(on_demand));
  EXPECT_EQ(terminating, std::vector<wire::MachineId>{on_demand.id});
  EXPECT_FALSE(autoscaler.terminate_if_idle(preemptible));
  loop.pass(89);
  EXPECT_FALSE(autoscaler.terminate_if_idle(preemptible));
  loop.pass(1);
  EXPECT_TRUE(autoscaler.terminate_if_idle(preemptible));
}

TEST_F(AutoscalerTest, KeepsMachinesThatAreUsedOrReserved) {
  auto& busy = add_machine("large", false);
  auto& reserved = add_machine("large", false);
  busy.assignments.emplace(wire::TaskId{{"job-1"}, 0}, model::Assignment{});
  reserved.reserved.cores = 1;
  loop.pass(1000);
  EXPECT_FALSE(autoscaler.terminate_if_idle(busy));
  EXPECT_FALSE(autoscaler.terminate_if_idle(reserved));
}

}  // namespace
}  // namespace bankhill::leader
