// When machines are asked, passed over and given up (leader/machine_monitor.hpp).
#include "leader/machine_monitor.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "manual_loop.hpp"
#include "model/cancellation_bound.hpp"

namespace bankhill::leader {
namespace {

using Fault = MachineMonitor::Fault;
using model::Machine;

constexpr double kUsualBootS = 60;
constexpr double kLeaseS = 40;
constexpr double kHeartbeatS = 3;

class MachineMonitorTest : public testing::Test {
 protected:
  MachineMonitorTest() {
    monitor_.begin_term();
    monitor_.listens_from_now();
  }

  // One that takes tasks and was heard just now.
  Machine& add_machine(const std::string& name) {
    auto& machine = *fleet_.add(wire::MachineId{name}).first;
    machine.zone = "zone-a";
    machine.up = machine.recorded = machine.confirmed = true;
    machine.first_seen = loop_.now();
    hear(machine);
    return machine;
  }
  Machine& add_booting(const std::string& name) {
    auto& machine = *fleet_.add(wire::MachineId{name}).first;
    machine.first_seen = loop_.now();
    fleet_.refresh(machine);
    return machine;
  }
  // A heartbeat that is answered.
  void hear(Machine& machine) {
    machine.last_contact = machine.last_heartbeat_received_at = machine.last_heartbeat_applied_at =
        loop_.now();
    machine.lease.record_renewal(loop_.now());
    machine.probes_unanswered = 0;
    machine.overdue = machine.lease_expired = false;
    fleet_.refresh(machine);
  }
  void bind_service(Machine& machine) {
    machine.service_cores = 1;
    machine.assignments[{wire::JobId{"job"}, 0}].is_service = true;
  }
  void lose_downlink(Machine& machine) {
    machine.downlink.command_unanswered(loop_.now());
    machine.downlink.probe_ended(loop_.now(), monitor_.timing(), false);
    fleet_.refresh(machine);
  }
  void check(Machine& machine, bool reachability_in_doubt = false) {
    const auto silence = monitor_.check_silence(machine);
    monitor_.check_heartbeats(machine, silence);
    monitor_.check_given_up(machine, silence, reachability_in_doubt);
  }
  // A control interval's probe that stays unanswered.
  void leave_unanswered(Machine& machine, std::uint32_t probes = 2) { machine.probes_unanswered = probes; }
  using Terminated = std::vector<std::pair<std::string, Fault>>;

  test_support::ManualLoop loop_;
  model::Fleet fleet_;
  std::vector<std::string> probes_;
  Terminated terminated_;
  std::vector<std::string> drained_;
  std::vector<std::pair<std::string, std::uint64_t>> sessions_over_;
  std::vector<std::string> lost_to_cloud_;
  std::map<std::string, int> events_;
  int plans_ = 0;
  int placements_ = 0;
  MachineMonitor monitor_{
      loop_,
      std::make_shared<spdlog::logger>("test"),
      {{4, kHeartbeatS, 3, kLeaseS, 3}, 15},
      fleet_,
      {.send_probe =
           [this](Machine& machine) {
             probes_.push_back(machine.id.value);
             machine.last_probe = loop_.now();
           },
       .terminate =
           [this](Machine& machine, Fault fault) {
             if (std::exchange(machine.terminating, true)) return;
             terminated_.emplace_back(machine.id.value, fault);
             fleet_.refresh(machine);
           },
       .drain =
           [this](Machine& machine, const std::string& reason) {
             machine.draining = true;
             drained_.push_back(reason);
           },
       .sessions_over =
           [this](Machine& machine, wire::AgentEpoch next) {
             sessions_over_.emplace_back(machine.id.value, next.value);
           },
       .lost_to_cloud = [this](const Machine& machine) { lost_to_cloud_.push_back(machine.id.value); },
       .usual_boot_s = [](const Machine&) { return kUsualBootS; },
       .count_event = [this](const std::string& event) { ++events_[event]; },
       .plan_soon = [this] { ++plans_; },
       .place_soon = [this] { ++placements_; }}};
};

// Boots.

TEST_F(MachineMonitorTest, ALateBootIsNoLongerCountedOnAndIsGivenUpInTheEnd) {
  auto& machine = add_booting("a");
  loop_.pass(1.6 * kUsualBootS);
  monitor_.check_boot(machine);
  EXPECT_FALSE(machine.boot_overdue);
  loop_.pass(0.25);
  monitor_.check_boot(machine);
  EXPECT_TRUE(machine.boot_overdue);
  EXPECT_EQ(fleet_.total().booting, 0U);
  EXPECT_EQ(plans_, 1);
  loop_.pass(1.4 * kUsualBootS - 0.25);
  monitor_.check_boot(machine);
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  monitor_.check_boot(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::never_booted}}));
  EXPECT_EQ(plans_, 1);
}

// Heartbeats.

TEST_F(MachineMonitorTest, AnOverdueHeartbeatLeadsToAProbeEachControlInterval) {
  auto& machine = add_machine("a");
  loop_.pass(5);
  check(machine);
  EXPECT_TRUE(probes_.empty());
  EXPECT_FALSE(machine.overdue);
  loop_.pass(0.25);
  check(machine);
  EXPECT_EQ(probes_.size(), 1U);
  EXPECT_TRUE(machine.overdue);
  EXPECT_EQ(fleet_.total().overdue, 1U);
  loop_.pass(3);
  check(machine);
  EXPECT_EQ(probes_.size(), 1U);
  loop_.pass(0.25);
  check(machine);
  EXPECT_EQ(probes_.size(), 2U);
}

TEST_F(MachineMonitorTest, AMachineWithServicesIsAskedBetweenTwoHeartbeats) {
  auto& machine = add_machine("a");
  bind_service(machine);
  loop_.pass(1.75);
  check(machine);
  EXPECT_EQ(probes_.size(), 1U);
  EXPECT_FALSE(machine.overdue);
  leave_unanswered(machine, 1);
  check(machine);
  EXPECT_TRUE(machine.overdue);
}

TEST_F(MachineMonitorTest, NothingIsStartedWhereHeartbeatsAreOverdueUntilTheyComeAgain) {
  auto& machine = add_machine("a");
  ASSERT_TRUE(machine.takes_tasks());
  loop_.pass(18.25);
  machine.last_contact = loop_.now();  // it answers probes
  check(machine);
  EXPECT_EQ(machine.uplink, model::UplinkState::overdue);
  EXPECT_FALSE(machine.takes_tasks());
  EXPECT_EQ(std::pair(plans_, placements_), std::pair(1, 1));
  machine.last_heartbeat_received_at = loop_.now();
  monitor_.update_reporting(machine);
  EXPECT_EQ(machine.uplink, model::UplinkState::up);
  EXPECT_EQ(machine.idle_since, loop_.now());  // it is not returned as idle at once
  EXPECT_EQ(std::pair(plans_, placements_), std::pair(2, 2));
}

TEST_F(MachineMonitorTest, HeartbeatsMissedWhileNoneCouldBeTakenTellNothing) {
  auto& machine = add_machine("a");
  loop_.pass(18.25);
  monitor_.listens_from_now();
  monitor_.update_reporting(machine);
  EXPECT_EQ(machine.uplink, model::UplinkState::up);
  loop_.pass(18.25);
  monitor_.update_reporting(machine);
  EXPECT_EQ(machine.uplink, model::UplinkState::overdue);
}

TEST_F(MachineMonitorTest, HeartbeatsMissedInAnEarlierTermTellNothing) {
  auto& machine = add_machine("a");
  loop_.pass(18.25);
  monitor_.begin_term();
  monitor_.update_reporting(machine);
  EXPECT_EQ(machine.uplink, model::UplinkState::up);
}

// The lease.

TEST_F(MachineMonitorTest, AnExpiredLeaseEndsTheSessionOnce) {
  auto& machine = add_machine("a");
  machine.agent_epoch.value = 7;
  machine.last_sequence = machine.heartbeat_sequence = 100;
  loop_.pass(kLeaseS * model::kDriftAllowance + model::kAllowanceS - 0.25);
  check(machine);
  EXPECT_FALSE(machine.lease_expired);
  loop_.pass(0.5);
  check(machine);
  check(machine);
  EXPECT_TRUE(machine.lease_expired);
  EXPECT_EQ(sessions_over_, (std::vector<std::pair<std::string, std::uint64_t>>{{"a", 8}}));
  EXPECT_EQ(machine.agent_epoch.value, 8U);
  EXPECT_EQ(machine.last_sequence, 0U);
  EXPECT_EQ(machine.heartbeat_sequence, 0U);
  EXPECT_TRUE(drained_.empty());
}

// Invariant 5.
TEST_F(MachineMonitorTest, AnUnconfirmedMachineWithAnExpiredLeaseIsConfirmedAndDrained) {
  auto& machine = add_machine("a");
  machine.inherited = true;
  machine.confirmed = false;
  loop_.pass(kLeaseS + 2);
  check(machine);
  EXPECT_TRUE(machine.confirmed);
  EXPECT_EQ(drained_, std::vector<std::string>{"lease ran out unheard"});
  EXPECT_EQ(fleet_.total().unconfirmed, 0U);
}

// Silent machines.

TEST_F(MachineMonitorTest, ASilentMachineIsGivenUpAfterTwoUnansweredProbes) {
  auto& machine = add_machine("a");
  add_machine("b");
  loop_.pass(9.25);
  monitor_.note_direct_contact();
  leave_unanswered(machine, 1);
  check(machine);
  EXPECT_TRUE(terminated_.empty());
  leave_unanswered(machine, 2);
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::silent}}));
  EXPECT_TRUE(lost_to_cloud_.empty());
}

TEST_F(MachineMonitorTest, ASilentMachineIsNotGivenUpBeforeItsTime) {
  auto& machine = add_machine("a");
  add_machine("b");
  loop_.pass(9);
  monitor_.note_direct_contact();
  leave_unanswered(machine);
  check(machine);
  EXPECT_TRUE(terminated_.empty());
}

TEST_F(MachineMonitorTest, ASilentMachineWithServicesIsGivenUpSooner) {
  auto& machine = add_machine("a");
  bind_service(machine);
  add_machine("b");
  loop_.pass(6.25);
  monitor_.note_direct_contact();
  leave_unanswered(machine);
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::silent}}));
}

// The fault may be this controller's.
TEST_F(MachineMonitorTest, ASilentMachineStaysForALeaseWhenNoOtherIsHeardEither) {
  auto& machine = add_machine("a");
  add_machine("b");
  loop_.pass(4);
  monitor_.note_direct_contact();  // less than half of what it is waited for since it was heard
  loop_.pass(kLeaseS - 4.25);
  leave_unanswered(machine);
  check(machine);
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::silent}}));
}

TEST_F(MachineMonitorTest, TheOnlyMachineNeedsNoOtherThatIsHeard) {
  auto& machine = add_machine("a");
  loop_.pass(9.25);
  leave_unanswered(machine);
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::silent}}));
}

TEST_F(MachineMonitorTest, ASilentMachineStaysForALeaseWhileReachabilityIsInDoubt) {
  auto& machine = add_machine("a");
  add_machine("b");
  loop_.pass(kLeaseS - 0.25);
  monitor_.note_direct_contact();
  leave_unanswered(machine);
  check(machine, true);
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  check(machine, true);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::silent}}));
}

TEST_F(MachineMonitorTest, ManySilentMachinesOfAZoneStayForALease) {
  std::vector<Machine*> silent;
  for (int i = 0; i < 3; ++i) silent.push_back(&add_machine("silent-" + std::to_string(i)));
  std::vector<Machine*> heard;
  for (int i = 0; i < 4; ++i) heard.push_back(&add_machine("heard-" + std::to_string(i)));
  const auto check_all = [&] {
    for (auto* machine : heard) hear(*machine);
    monitor_.note_direct_contact();
    for (auto* machine : silent) {
      leave_unanswered(*machine);
      check(*machine);
    }
  };
  loop_.pass(6);
  check_all();  // counted as silent from here on: 3 of 7 are more than two fifths
  loop_.pass(kLeaseS - 6.25);
  check_all();
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  check_all();
  EXPECT_EQ(terminated_.size(), 3U);
}

TEST_F(MachineMonitorTest, AFewSilentMachinesOfAZoneAreGivenUpAtOnce) {
  std::vector<Machine*> silent;
  for (int i = 0; i < 2; ++i) silent.push_back(&add_machine("silent-" + std::to_string(i)));
  for (int i = 0; i < 3; ++i) add_machine("heard-" + std::to_string(i));  // 2 of 5 are not more
  loop_.pass(9.25);
  monitor_.note_direct_contact();
  for (auto* machine : silent) leave_unanswered(*machine);
  for (auto* machine : silent) check(*machine);
  EXPECT_EQ(terminated_.size(), 2U);
}

TEST_F(MachineMonitorTest, ASilentPreemptibleMachineCountsAsTakenByTheCloud) {
  auto& machine = add_machine("a");
  machine.preemptible = true;
  auto& warned = add_machine("b");
  warned.preemptible = true;
  warned.preemption_at = loop_.now() + 100;  // counted when its notice came
  for (int i = 0; i < 4; ++i) add_machine("heard-" + std::to_string(i));
  loop_.pass(9.25);
  monitor_.note_direct_contact();
  for (auto* each : {&machine, &warned}) leave_unanswered(*each);
  for (auto* each : {&machine, &warned}) check(*each);
  check(machine);
  EXPECT_EQ(terminated_.size(), 2U);
  EXPECT_EQ(lost_to_cloud_, std::vector<std::string>{"a"});
}

// It holds up others' tasks.
TEST_F(MachineMonitorTest, AMachineNeverHeardInThisTermIsWaitedForLessLong) {
  auto& machine = add_machine("a");
  add_machine("b");
  machine.inherited = true;
  machine.confirmed = false;
  machine.last_probe = loop_.now();
  loop_.pass(1.5);
  leave_unanswered(machine, 1);
  check(machine);
  EXPECT_TRUE(probes_.empty());
  loop_.pass(0.25);
  check(machine);
  EXPECT_EQ(probes_.size(), 1U);
  leave_unanswered(machine);
  loop_.pass(2.75);
  check(machine);
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::silent}}));
}

// One-way links.

TEST_F(MachineMonitorTest, AMachineWithALostDownlinkIsAskedAndReturnedAfterTwoLeases) {
  auto& machine = add_machine("a");
  add_machine("b");
  lose_downlink(machine);
  hear(machine);
  loop_.pass(2 * kLeaseS);
  hear(machine);
  check(machine);
  EXPECT_EQ(probes_.size(), 1U);
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  hear(machine);
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::downlink_lost}}));
}

TEST_F(MachineMonitorTest, AMachineWithALostUplinkIsReturnedAfterTwoLeases) {
  auto& machine = add_machine("a");
  add_machine("b");
  loop_.pass(2 * kLeaseS);
  machine.last_contact = loop_.now();  // it answers probes
  check(machine);
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  machine.last_contact = loop_.now();
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::uplink_lost}}));
}

// As long as something is bound there it hears after all.
TEST_F(MachineMonitorTest, AMachineWithALostLinkKeepsWhatRunsThere) {
  auto& machine = add_machine("a");
  bind_service(machine);
  lose_downlink(machine);
  loop_.pass(2 * kLeaseS + 0.25);
  hear(machine);
  check(machine);
  EXPECT_TRUE(terminated_.empty());
  machine.assignments.clear();
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::downlink_lost}}));
}

TEST_F(MachineMonitorTest, ManyMachinesOfAZoneWithLostLinksStay) {
  std::vector<Machine*> machines;
  for (int i = 0; i < 3; ++i) machines.push_back(&add_machine(std::to_string(i)));
  lose_downlink(*machines[0]);
  lose_downlink(*machines[1]);
  loop_.pass(2 * kLeaseS + 0.25);
  for (auto* machine : machines) hear(*machine);
  for (auto* machine : machines) check(*machine);
  EXPECT_TRUE(terminated_.empty());
}

TEST_F(MachineMonitorTest, ChangesOfTheDownlinkAreCountedAndPlannedFor) {
  auto& machine = add_machine("a");
  auto before = machine.downlink.state();
  monitor_.downlink_changed(machine, before);  // no change
  EXPECT_TRUE(events_.empty());
  machine.downlink.command_unanswered(loop_.now());
  monitor_.downlink_changed(machine, std::exchange(before, machine.downlink.state()));
  EXPECT_EQ(events_["machines asked whether they hear"], 1);
  EXPECT_EQ(std::pair(plans_, placements_), std::pair(0, 0));
  machine.downlink.probe_ended(loop_.now(), monitor_.timing(), false);
  monitor_.downlink_changed(machine, std::exchange(before, machine.downlink.state()));
  EXPECT_EQ(events_["deaf machines"], 1);
  EXPECT_EQ(std::pair(plans_, placements_), std::pair(1, 0));
  loop_.pass(10);
  machine.downlink.probe_ended(loop_.now(), monitor_.timing(), true);
  monitor_.downlink_changed(machine, std::exchange(before, machine.downlink.state()));
  EXPECT_EQ(events_["deaf machines that hear again"], 1);
  EXPECT_EQ(std::pair(plans_, placements_), std::pair(1, 1));
  EXPECT_EQ(machine.idle_since, loop_.now());
}

TEST(MachineMonitorFault, IsNamedInTheLogAsBefore) {
  EXPECT_STREQ(MachineMonitor::text(Fault::never_booted), "never came up");
  EXPECT_STREQ(MachineMonitor::text(Fault::silent), "silent");
  EXPECT_STREQ(MachineMonitor::text(Fault::downlink_lost), "deaf");
  EXPECT_STREQ(MachineMonitor::text(Fault::uplink_lost), "mute");
}

}  // namespace
}  // namespace bankhill::leader
