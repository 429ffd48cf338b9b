// Tests of renting and terminating machines, with callbacks in place of the leader, the state service and the
// cloud.
#include "leader/rental_manager.hpp"

#include <gtest/gtest.h>
#include <spdlog/sinks/null_sink.h>

#include "manual_loop.hpp"

namespace bankhill::leader {
namespace {

using Status = cloud::RentalResult::Status;

struct RecordedRequest {
  std::string name;
  wire::RentalRecord record;
  std::function<void()> stored;
};

struct RecordedMachines {
  std::string name;
  wire::RentalRecord record;
};

class RentalManagerTest : public testing::Test {
 protected:
  RentalManagerTest() { restart(); }

  // Replaces the manager by that of another controller, which leads in the given term.
  void restart(std::uint64_t term = 7) {
    manager.reset();
    fleet.clear();
    manager.emplace(loop, log, settings, fleet, ports());
    manager->begin_term(term);
  }

  RentalManager::Ports ports() {
    RentalManager::Ports result;
    result.is_active_leader = [this] { return may_act; };
    result.send_to_cloud = [this](cloud::Cloud::Message message) {
      if (auto* rent = std::get_if<cloud::Rent>(&message)) rent_requests.push_back(std::move(*rent));
      if (auto* termination = std::get_if<cloud::Terminate>(&message))
        terminations.push_back(std::move(*termination));
      if (auto* list = std::get_if<cloud::ListMachines>(&message)) list_requests.push_back(std::move(*list));
    };
    result.machine_type = [this](const std::string& name) { return name == type.name ? &type : nullptr; };
    result.store_request = [this](const std::string& name, const wire::RentalRecord& record,
                                  std::function<void()> stored) {
      recorded_requests.push_back({name, record, std::move(stored)});
    };
    result.store_machines = [this](const std::string& name, const wire::RentalRecord& record) {
      recorded_machines.push_back({name, record});
    };
    result.remove_record = [this](const std::string& name) { removed_records.push_back(name); };
    result.on_terminating = [this](const model::Machine& machine) { terminating.push_back(machine.id); };
    result.on_terminated = [this](const wire::MachineId& machine_id) {
      terminated.push_back(machine_id);
      if (fleet.find(machine_id) != nullptr) fleet.erase(machine_id);
    };
    result.schedule_planning = [this] { ++plan_requests; };
    result.count_event = [this](const std::string& event) { ++events[event]; };
    return result;
  }

  static std::vector<wire::MachineId> machine_ids(int count, int first = 0) {
    std::vector<wire::MachineId> result;
    for (int i = first; i < first + count; ++i) result.push_back({"n-" + std::to_string(1000 + i)});
    return result;
  }

  // Requests machines and reports the records of the requests as committed.
  void request(double count, bool preemptible = false, const std::string& zone = "a") {
    manager->request(type, preemptible, count, zone);
    for (std::size_t i = committed_requests; i < recorded_requests.size(); ++i) recorded_requests[i].stored();
    committed_requests = recorded_requests.size();
  }

  void add_machines(int count, int first = 0) {
    for (const auto& machine_id : machine_ids(count, first)) {
      auto* machine = fleet.add(machine_id).first;
      machine->machine_type = type.name;
      machine->zone = "a";
      machine->capacity = type.capacity;
      machine->up = machine->recorded = machine->confirmed = true;
      fleet.refresh(*machine);
    }
  }

  void terminate(const wire::MachineId& machine_id) {
    manager->terminate(*fleet.find(machine_id), "idle");
    loop.run_posted();
  }

  static wire::MachineType make_type() {
    wire::MachineType result;
    result.name = "large";
    result.capacity = {16, 0, 64};
    result.zones = {"a", "b", "c"};
    return result;
  }

  test_support::ManualLoop loop;
  runtime::Log log =
      std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::null_sink_mt>());
  RentalManager::Settings settings{3, 16, 40, 5, 1000, ""};
  wire::MachineType type = make_type();
  bool may_act = true;
  model::Fleet fleet;

  std::vector<RecordedRequest> recorded_requests;
  std::size_t committed_requests = 0;  // number of recorded requests reported as committed
  std::vector<RecordedMachines> recorded_machines;
  std::vector<std::string> removed_records;
  std::vector<cloud::Rent> rent_requests;
  std::vector<cloud::Terminate> terminations;
  std::vector<cloud::ListMachines> list_requests;
  std::vector<wire::MachineId> terminating;
  std::vector<wire::MachineId> terminated;
  std::map<std::string, int> events;
  int plan_requests = 0;
  std::optional<RentalManager> manager;
};

TEST_F(RentalManagerTest, RecordsARentalBeforeItIsRequested) {
  EXPECT_EQ(manager->request(type, true, 3, "b"), 3);
  ASSERT_EQ(recorded_requests.size(), 1U);
  EXPECT_EQ(recorded_requests[0].name, "r-7-1");
  const auto& record = recorded_requests[0].record;
  EXPECT_EQ(record.machine_type, "large");
  EXPECT_EQ(record.zone, "b");
  EXPECT_TRUE(record.preemptible);
  EXPECT_EQ(record.count, 3U);
  EXPECT_EQ(record.requested_at, loop.wall());
  EXPECT_FALSE(record.machine_ids);
  EXPECT_TRUE(manager->has_pending_rental());

  // No request is sent before the record is committed, not even after a while.
  loop.pass(60);
  manager->reconcile_if_due();
  EXPECT_TRUE(rent_requests.empty());

  recorded_requests[0].stored();
  ASSERT_EQ(rent_requests.size(), 1U);
  EXPECT_EQ(rent_requests[0].name, "r-7-1");
  EXPECT_EQ(rent_requests[0].rental.count, 3U);
}

TEST_F(RentalManagerTest, SendsNoRequestWithoutActiveLeadership) {
  may_act = false;
  request(2);
  manager->reconcile_rentals();
  EXPECT_TRUE(rent_requests.empty());
  may_act = true;
  manager->reconcile_rentals();
  ASSERT_EQ(rent_requests.size(), 1U);
  EXPECT_EQ(rent_requests[0].name, "r-7-1");
}

TEST_F(RentalManagerTest, AddsMachinesAndClosesTheRentalOnceAllAreRecorded) {
  request(2);
  rent_requests[0].done({Status::granted, machine_ids(2)});
  ASSERT_EQ(recorded_machines.size(), 1U);
  EXPECT_EQ(recorded_machines[0].name, "r-7-1");
  EXPECT_EQ(recorded_machines[0].record.machine_ids, (std::vector<std::string>{"n-1000", "n-1001"}));
  EXPECT_FALSE(manager->has_pending_rental());
  ASSERT_EQ(fleet.size(), 2U);
  auto& machine = *fleet.find({"n-1000"});
  EXPECT_EQ(machine.machine_type, "large");
  EXPECT_EQ(machine.zone, "a");
  EXPECT_EQ(machine.capacity.cores, 16);
  EXPECT_EQ(machine.first_seen, loop.now());
  EXPECT_TRUE(machine.rented_this_term);

  machine.recorded = true;
  manager->reconcile_rentals();
  EXPECT_TRUE(removed_records.empty());
  fleet.find({"n-1001"})->recorded = true;
  manager->reconcile_rentals();
  EXPECT_EQ(removed_records, std::vector<std::string>{"r-7-1"});
  EXPECT_EQ(manager->rental_count(), 0U);
}

TEST_F(RentalManagerTest, NewLeaderRepeatsAPendingRentalUnderTheSameName) {
  request(4);
  const auto recorded = recorded_requests[0];
  rent_requests.clear();
  recorded_requests.clear();

  restart(9);
  manager->adopt(recorded.name, recorded.record);
  manager->reconcile_rentals();
  ASSERT_EQ(rent_requests.size(), 1U);
  EXPECT_EQ(rent_requests[0].name, "r-7-1");
  EXPECT_EQ(rent_requests[0].rental.count, 4U);
  EXPECT_TRUE(recorded_requests.empty());

  // The request is not repeated while its response is outstanding.
  loop.pass(60);
  manager->reconcile_rentals();
  EXPECT_EQ(rent_requests.size(), 1U);
  rent_requests[0].done({Status::granted, machine_ids(4)});
  EXPECT_EQ(fleet.size(), 4U);
  EXPECT_FALSE(fleet.find({"n-1000"})->rented_this_term);  // an earlier leader may have used it

  // The new leader's own rentals have names with its own term.
  EXPECT_EQ(manager->name_prefix(), "r-9-");
  manager->request(type, false, 1, "a");
  EXPECT_EQ(recorded_requests.back().name, "r-9-1");
}

TEST_F(RentalManagerTest, NewLeaderAddsTheMachinesOfARecordedRental) {
  restart(9);
  wire::RentalRecord record{"large", "b", true, 2, 50, std::vector<std::string>{"n-1", "n-2"}};
  manager->adopt("r-7-3", record);
  manager->reconcile_rentals();
  EXPECT_TRUE(rent_requests.empty());
  ASSERT_EQ(fleet.size(), 2U);
  EXPECT_TRUE(fleet.find({"n-2"})->preemptible);
  EXPECT_FALSE(fleet.find({"n-2"})->rented_this_term);
}

TEST_F(RentalManagerTest, BacksOffInTheZoneAfterAPartialGrant) {
  request(5);
  rent_requests[0].done({Status::granted, machine_ids(2)});
  EXPECT_EQ(fleet.size(), 2U);
  ASSERT_EQ(recorded_machines.size(), 1U);
  EXPECT_EQ(recorded_machines[0].record.machine_ids->size(), 2U);
  EXPECT_EQ(plan_requests, 1);

  // The back-off lasts half a round and applies to this zone only.
  EXPECT_EQ(manager->request(type, false, 3, "a"), 0);
  EXPECT_EQ(manager->request(type, false, 3, "b"), 3);
  loop.pass(settings.round_s / 2 - 0.1);
  EXPECT_EQ(manager->request(type, false, 3, "a"), 0);
  loop.pass(0.1);
  // After the back-off a single request is sent to find out whether there is capacity again. For a zone
  // without a stockout several are sent.
  EXPECT_EQ(manager->request(type, false, 120, "a"), cloud::kMaxMachinesPerRental);
  EXPECT_EQ(manager->request(type, false, 120, "c"), 120);
}

TEST_F(RentalManagerTest, ClosesARentalThatGotNoMachines) {
  request(5);
  rent_requests[0].done({Status::no_capacity, {}});
  EXPECT_EQ(removed_records, std::vector<std::string>{"r-7-1"});
  EXPECT_EQ(manager->rental_count(), 0U);
  EXPECT_EQ(plan_requests, 1);
  EXPECT_EQ(fleet.size(), 0U);
  EXPECT_EQ(manager->request(type, false, 5, "a"), 0);
}

TEST_F(RentalManagerTest, EndsTheBackOffOnceCapacityIsAvailableAgain) {
  request(5);
  rent_requests[0].done({Status::no_capacity, {}});
  loop.pass(settings.round_s / 2);
  request(5);
  rent_requests[1].done({Status::granted, machine_ids(5)});
  EXPECT_EQ(manager->request(type, false, 120, "a"), 120);
}

TEST_F(RentalManagerTest, RetriesUnderTheSameNameWhenTheCloudFails) {
  request(2);
  rent_requests[0].done({Status::failed, {}});
  EXPECT_TRUE(removed_records.empty());
  EXPECT_EQ(plan_requests, 0);
  loop.pass(settings.control_interval_s / 2 - 0.1);
  manager->reconcile_rentals();
  EXPECT_EQ(rent_requests.size(), 1U);
  loop.pass(0.1);
  manager->reconcile_rentals();
  ASSERT_EQ(rent_requests.size(), 2U);
  EXPECT_EQ(rent_requests[1].name, rent_requests[0].name);
  EXPECT_EQ(recorded_requests.size(), 1U);
}

TEST_F(RentalManagerTest, IgnoresResponsesToRequestsOfAnEarlierTerm) {
  request(2);
  add_machines(1, 500);
  terminate({"n-1500"});
  manager->reconcile_if_due();
  ASSERT_EQ(list_requests.size(), 1U);
  manager->end_term();
  manager->begin_term(8);
  rent_requests[0].done({Status::granted, machine_ids(2)});
  terminations[0].done(true);
  wire::ListedMachine listed;
  listed.id = {"n-9"};
  list_requests[0].done(std::vector<wire::ListedMachine>{listed});
  EXPECT_EQ(fleet.size(), 1U);
  EXPECT_TRUE(recorded_machines.empty());
  EXPECT_TRUE(terminated.empty());
  EXPECT_FALSE(manager->recently_terminated({"n-1500"}));
}

TEST_F(RentalManagerTest, IgnoresResponsesAfterItsDestruction) {
  request(2);
  add_machines(1, 500);
  manager->terminate(*fleet.find({"n-1500"}), "idle");
  manager.reset();
  loop.run_posted();
  rent_requests[0].done({Status::granted, machine_ids(2)});
  EXPECT_TRUE(terminations.empty());
  EXPECT_EQ(fleet.size(), 1U);
}

TEST_F(RentalManagerTest, SplitsALargeRequest) {
  EXPECT_EQ(manager->request(type, false, 130, "a"), 130);
  ASSERT_EQ(recorded_requests.size(), 3U);
  EXPECT_EQ(recorded_requests[0].record.count, cloud::kMaxMachinesPerRental);
  EXPECT_EQ(recorded_requests[1].record.count, cloud::kMaxMachinesPerRental);
  EXPECT_EQ(recorded_requests[2].record.count, 30U);
  double requested = 0;
  manager->visit_pending_rentals([&](const wire::RentalRecord& record) { requested += record.count; });
  EXPECT_EQ(requested, 130);
  // At most eight requests are sent at a time for one zone.
  EXPECT_EQ(manager->request(type, false, 800, "b"), 8 * cloud::kMaxMachinesPerRental);
}

TEST_F(RentalManagerTest, RentsEvenlyAcrossZonesStartingWithTheSmallest) {
  add_machines(2);
  EXPECT_EQ(manager->request(type, true, 4), 4);
  std::map<std::string, std::uint32_t> by_zone;
  for (const auto& request : recorded_requests) by_zone[request.record.zone] += request.record.count;
  EXPECT_EQ(recorded_requests[0].record.zone, "b");
  EXPECT_EQ(by_zone, (std::map<std::string, std::uint32_t>{{"a", 1}, {"b", 2}, {"c", 1}}));
}

TEST_F(RentalManagerTest, RentsInOneOfTheAllowedZonesTheMainZoneFirst) {
  settings.main_zone = "b";
  restart();
  const auto request_in = [this](const std::vector<std::string>& zones) {
    const double requested = manager->request_in_one_zone(type, false, 2, zones);
    return requested > 0 ? recorded_requests.back().record.zone : "none";
  };
  EXPECT_EQ(request_in({"a", "b", "c"}), "b");
  EXPECT_EQ(request_in({"a", "c"}), "a");
  EXPECT_EQ(request_in({"d", "c"}), "c");
  EXPECT_EQ(request_in({}), "none");
  EXPECT_EQ(manager->request_in_one_zone(type, false, 2, std::nullopt), 2);
  EXPECT_EQ(recorded_requests.back().record.zone, "b");
}

TEST_F(RentalManagerTest, RentsOnDemandMachinesInTheMainZone) {
  settings.main_zone = "c";
  restart();
  EXPECT_EQ(manager->request(type, false, 6), 6);
  ASSERT_EQ(recorded_requests.size(), 1U);
  EXPECT_EQ(recorded_requests[0].record.zone, "c");
  // Preemptible machines are requested in all zones, and on-demand machines in the other zones once the main
  // zone has no capacity.
  EXPECT_EQ(manager->request(type, true, 6), 6);
  EXPECT_EQ(recorded_requests.size(), 4U);
  recorded_requests[0].stored();
  rent_requests[0].done({Status::no_capacity, {}});
  EXPECT_EQ(manager->request(type, false, 2), 2);
  ASSERT_EQ(recorded_requests.size(), 6U);
  EXPECT_EQ(recorded_requests[4].record.zone, "a");
  EXPECT_EQ(recorded_requests[5].record.zone, "b");
}

TEST_F(RentalManagerTest, RentsNoMoreThanTheMachineLimit) {
  settings.machine_limit = 10;
  restart();
  add_machines(4);
  EXPECT_EQ(manager->request(type, false, 4, "a"), 4);
  EXPECT_EQ(manager->request(type, false, 4, "a"), 2);  // the first four are requested and count
  EXPECT_EQ(manager->request(type, false, 4, "a"), 0);
}

TEST_F(RentalManagerTest, TerminatesInBatches) {
  add_machines(250);
  for (const auto& machine_id : machine_ids(250)) manager->terminate(*fleet.find(machine_id), "idle");
  EXPECT_TRUE(terminations.empty());  // terminations decided in one turn of the event loop are sent together
  loop.run_posted();
  ASSERT_EQ(terminations.size(), 1U);
  EXPECT_EQ(terminations[0].machines.size(), cloud::kMaxMachinesPerTermination);
  manager->send_terminations();
  EXPECT_EQ(terminations.size(), 1U);  // only one batch is in flight at a time

  for (std::size_t batch = 0; batch < 3; ++batch) {
    ASSERT_EQ(terminations.size(), batch + 1);
    terminations[batch].done(true);
    manager->send_terminations();
  }
  EXPECT_EQ(terminations.size(), 3U);
  EXPECT_EQ(terminations[2].machines.size(), 50U);
  EXPECT_EQ(terminated, machine_ids(250));
  EXPECT_EQ(fleet.size(), 0U);
}

TEST_F(RentalManagerTest, TerminatesEachMachineOnce) {
  add_machines(1);
  auto& machine = *fleet.find({"n-1000"});
  manager->terminate(machine, "idle");
  manager->terminate(machine, "silent");
  loop.run_posted();
  EXPECT_TRUE(machine.terminating);
  EXPECT_EQ(terminating, machine_ids(1));
  EXPECT_EQ(events, (std::map<std::string, int>{{"machines terminated (idle)", 1}}));
  ASSERT_EQ(terminations.size(), 1U);
  EXPECT_EQ(terminations[0].machines, machine_ids(1));
}

TEST_F(RentalManagerTest, RetriesATerminationWhenTheCloudFails) {
  add_machines(2);
  terminate({"n-1000"});
  terminations[0].done(false);
  EXPECT_TRUE(terminated.empty());
  EXPECT_FALSE(manager->recently_terminated({"n-1000"}));
  manager->send_terminations();
  ASSERT_EQ(terminations.size(), 2U);
  EXPECT_EQ(terminations[1].machines, machine_ids(1));
  terminations[1].done(true);
  EXPECT_EQ(terminated, machine_ids(1));
  EXPECT_TRUE(manager->recently_terminated({"n-1000"}));
  manager->send_terminations();
  EXPECT_EQ(terminations.size(), 2U);
}

TEST_F(RentalManagerTest, TerminatesNothingWithoutActiveLeadership) {
  add_machines(1);
  may_act = false;
  terminate({"n-1000"});
  EXPECT_TRUE(terminations.empty());
  may_act = true;
  manager->send_terminations();
  EXPECT_EQ(terminations.size(), 1U);
}

TEST_F(RentalManagerTest, TerminatesAMachineAgainIfItStillExists) {
  add_machines(1);
  terminate({"n-1000"});
  terminations[0].done(true);
  manager->terminate_again({"n-1000"});
  manager->send_terminations();
  ASSERT_EQ(terminations.size(), 2U);
  EXPECT_EQ(terminations[1].machines, machine_ids(1));
}

TEST_F(RentalManagerTest, DoesNotAddATerminatedMachineAgain) {
  request(2);
  rent_requests[0].done({Status::granted, machine_ids(2)});
  terminate({"n-1000"});
  terminations[0].done(true);
  ASSERT_EQ(fleet.size(), 1U);

  // The rental is still open, since the other machine has no record of its own yet.
  manager->reconcile_rentals();
  EXPECT_EQ(fleet.size(), 1U);
  manager->reconcile_if_due();
  ASSERT_EQ(list_requests.size(), 1U);
  std::vector<wire::ListedMachine> listed(2);
  listed[0].id = {"n-1000"};
  listed[1].id = {"n-1001"};
  list_requests[0].done(listed);
  EXPECT_EQ(fleet.size(), 1U);
  EXPECT_EQ(fleet.find({"n-1000"}), nullptr);

  // The rental is closed once the other machine has its record. The terminated machine is remembered beyond
  // the term.
  fleet.find({"n-1001"})->recorded = true;
  manager->reconcile_rentals();
  EXPECT_EQ(manager->rental_count(), 0U);
  manager->end_term();
  manager->begin_term(8);
  EXPECT_TRUE(manager->recently_terminated({"n-1000"}));
}

TEST(TerminatedMachines, ForgetsMachinesAfterTheRetentionPeriod) {
  TerminatedMachines machines(100);
  machines.add({"n-1"}, 10);
  machines.add({"n-2"}, 60);
  machines.add({"n-1"}, 70);  // a repeated termination does not extend the retention
  EXPECT_TRUE(machines.contains({"n-1"}));
  machines.add({"n-3"}, 110);
  EXPECT_TRUE(machines.contains({"n-1"}));
  machines.add({"n-4"}, 111);
  EXPECT_FALSE(machines.contains({"n-1"}));
  EXPECT_TRUE(machines.contains({"n-2"}));
}

TEST_F(RentalManagerTest, AddsUnexpectedMachinesFromTheCloudsList) {
  manager->reconcile_if_due();
  ASSERT_EQ(list_requests.size(), 1U);
  std::vector<wire::ListedMachine> listed(2);
  listed[0] = {{"n-1"}, "10.0.0.1:1", "large", "b", true, "running", 30};
  listed[1] = {{"n-2"}, "10.0.0.2:1", "large", "b", false, "failed", 30};
  list_requests[0].done(listed);
  loop.run_posted();
  ASSERT_EQ(fleet.size(), 2U);
  const auto& machine = *fleet.find({"n-1"});
  EXPECT_EQ(machine.zone, "b");
  EXPECT_TRUE(machine.preemptible);
  EXPECT_EQ(machine.capacity.cores, 16);
  EXPECT_EQ(machine.first_seen, loop.now() - 30);
  EXPECT_FALSE(machine.terminating);
  ASSERT_EQ(terminations.size(), 1U);
  EXPECT_EQ(terminations[0].machines, std::vector<wire::MachineId>{{"n-2"}});
  EXPECT_EQ(events["unexpected machines"], 2);
  EXPECT_EQ(events["machines terminated (failed according to the cloud's list)"], 1);
}

TEST_F(RentalManagerTest, ListsTheCloudsMachinesOneRequestAtATime) {
  manager->reconcile_if_due();
  EXPECT_EQ(list_requests.size(), 1U);
  loop.pass(settings.list_lag_s);
  manager->reconcile_if_due();
  EXPECT_EQ(list_requests.size(), 1U);  // the first request has no response yet
  list_requests[0].done(std::nullopt);
  manager->reconcile_if_due();
  EXPECT_EQ(list_requests.size(), 1U);  // the interval starts anew with each due check
  loop.pass(settings.list_lag_s);
  manager->reconcile_if_due();
  EXPECT_EQ(list_requests.size(), 2U);
  // A large fleet is listed less often, as each page of the list costs a request.
  list_requests[1].done(std::nullopt);
  add_machines(600);
  loop.pass(settings.list_lag_s);
  manager->reconcile_if_due();
  ASSERT_EQ(list_requests.size(), 3U);
  list_requests[2].done(std::nullopt);
  loop.pass(settings.list_lag_s);
  manager->reconcile_if_due();
  EXPECT_EQ(list_requests.size(), 3U);
  loop.pass(settings.list_lag_s);
  manager->reconcile_if_due();
  EXPECT_EQ(list_requests.size(), 4U);
}

}  // namespace
}  // namespace bankhill::leader
