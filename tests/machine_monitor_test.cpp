// Tests when machines are probed, excluded from placement and terminated (leader/machine_monitor.hpp).
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
    monitor_.restart_listening();
  }

  // Adds a machine that accepts tasks and has just sent a heartbeat.
  Machine& add_machine(const std::string& name) {
    auto& machine = *fleet_.add(wire::MachineId{name}).first;
    machine.zone = "zone-a";
    machine.up = machine.recorded = machine.confirmed = true;
    machine.first_seen = loop_.now();
    receive_heartbeat(machine);
    return machine;
  }
  Machine& add_booting_machine(const std::string& name) {
    auto& machine = *fleet_.add(wire::MachineId{name}).first;
    machine.first_seen = loop_.now();
    fleet_.refresh(machine);
    return machine;
  }
  // Simulates a heartbeat that is answered.
  void receive_heartbeat(Machine& machine) {
    machine.last_contact = machine.last_heartbeat_received_at = machine.last_heartbeat_applied_at =
        loop_.now();
    machine.lease.record_renewal(loop_.now());
    machine.probes_unanswered = 0;
    machine.overdue = machine.lease_expired = false;
    fleet_.refresh(machine);
  }
  void assign_service(Machine& machine) {
    machine.service_cores = 1;
    machine.assignments[{wire::JobId{"job"}, 0}].is_service = true;
  }
  void lose_downlink(Machine& machine) {
    machine.downlink.command_unanswered(loop_.now());
    machine.downlink.probe_ended(loop_.now(), monitor_.timing(), false);
    fleet_.refresh(machine);
  }
  void check(Machine& machine, bool reachability_uncertain = false) {
    const auto contact = monitor_.check_contact(machine);
    monitor_.check_heartbeats(machine, contact);
    monitor_.check_unreachable(machine, contact, reachability_uncertain);
  }
  // Sets the number of consecutive probes that stayed unanswered.
  void set_unanswered_probes(Machine& machine, std::uint32_t probes = 2) {
    machine.probes_unanswered = probes;
  }
  using Terminated = std::vector<std::pair<std::string, Fault>>;

  test_support::ManualLoop loop_;
  model::Fleet fleet_;
  std::vector<std::string> probes_;
  Terminated terminated_;
  std::vector<std::string> drained_;
  std::vector<std::pair<std::string, std::uint64_t>> ended_epochs_;
  std::vector<std::string> presumed_reclaims_;
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
       .on_agent_epochs_ended =
           [this](Machine& machine, wire::AgentEpoch next) {
             ended_epochs_.emplace_back(machine.id.value, next.value);
           },
       .on_presumed_reclaim =
           [this](const Machine& machine) { presumed_reclaims_.push_back(machine.id.value); },
       .usual_boot_s = [](const Machine&) { return kUsualBootS; },
       .count_event = [this](const std::string& event) { ++events_[event]; },
       .schedule_planning = [this] { ++plans_; },
       .schedule_placement = [this] { ++placements_; }}};
};

// Boots.

TEST_F(MachineMonitorTest, SlowBootBecomesOverdueAndIsTerminatedInTheEnd) {
  auto& machine = add_booting_machine("a");
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

TEST_F(MachineMonitorTest, OverdueHeartbeatCausesAProbeEachControlInterval) {
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

TEST_F(MachineMonitorTest, MachineWithServicesIsProbedBetweenTwoHeartbeats) {
  auto& machine = add_machine("a");
  assign_service(machine);
  loop_.pass(1.75);
  check(machine);
  EXPECT_EQ(probes_.size(), 1U);
  EXPECT_FALSE(machine.overdue);
  set_unanswered_probes(machine, 1);
  check(machine);
  EXPECT_TRUE(machine.overdue);
}

TEST_F(MachineMonitorTest, MachineWithOverdueHeartbeatsTakesNoTasksUntilTheyResume) {
  auto& machine = add_machine("a");
  ASSERT_TRUE(machine.takes_tasks());
  loop_.pass(18.25);
  machine.last_contact = loop_.now();  // The machine answers probes.
  check(machine);
  EXPECT_EQ(machine.uplink, model::UplinkState::overdue);
  EXPECT_FALSE(machine.takes_tasks());
  EXPECT_EQ(std::pair(plans_, placements_), std::pair(1, 1));
  machine.last_heartbeat_received_at = loop_.now();
  monitor_.update_uplink(machine);
  EXPECT_EQ(machine.uplink, model::UplinkState::up);
  EXPECT_EQ(machine.idle_since, loop_.now());  // The machine is not terminated as idle at once.
  EXPECT_EQ(std::pair(plans_, placements_), std::pair(2, 2));
}

TEST_F(MachineMonitorTest, HeartbeatsMissedWhileNotListeningAreIgnored) {
  auto& machine = add_machine("a");
  loop_.pass(18.25);
  monitor_.restart_listening();
  monitor_.update_uplink(machine);
  EXPECT_EQ(machine.uplink, model::UplinkState::up);
  loop_.pass(18.25);
  monitor_.update_uplink(machine);
  EXPECT_EQ(machine.uplink, model::UplinkState::overdue);
}

TEST_F(MachineMonitorTest, HeartbeatsMissedInAnEarlierTermAreIgnored) {
  auto& machine = add_machine("a");
  loop_.pass(18.25);
  monitor_.begin_term();
  monitor_.update_uplink(machine);
  EXPECT_EQ(machine.uplink, model::UplinkState::up);
}

// The lease.

TEST_F(MachineMonitorTest, ExpiredLeaseEndsTheAgentEpochOnce) {
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
  EXPECT_EQ(ended_epochs_, (std::vector<std::pair<std::string, std::uint64_t>>{{"a", 8}}));
  EXPECT_EQ(machine.agent_epoch.value, 8U);
  EXPECT_EQ(machine.last_sequence, 0U);
  EXPECT_EQ(machine.heartbeat_sequence, 0U);
  EXPECT_TRUE(drained_.empty());
}

// Invariant 5.
TEST_F(MachineMonitorTest, UnconfirmedMachineWithExpiredLeaseIsConfirmedAndDrained) {
  auto& machine = add_machine("a");
  machine.inherited = true;
  machine.confirmed = false;
  loop_.pass(kLeaseS + 2);
  check(machine);
  EXPECT_TRUE(machine.confirmed);
  EXPECT_EQ(drained_, std::vector<std::string>{"lease expired while unconfirmed"});
  EXPECT_EQ(fleet_.total().unconfirmed, 0U);
}

// Unreachable machines.

TEST_F(MachineMonitorTest, UnreachableMachineIsTerminatedAfterTwoUnansweredProbes) {
  auto& machine = add_machine("a");
  add_machine("b");
  loop_.pass(9.25);
  monitor_.record_direct_contact();
  set_unanswered_probes(machine, 1);
  check(machine);
  EXPECT_TRUE(terminated_.empty());
  set_unanswered_probes(machine, 2);
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::unreachable}}));
  EXPECT_TRUE(presumed_reclaims_.empty());
}

TEST_F(MachineMonitorTest, UnreachableMachineIsNotTerminatedBeforeTheTimeout) {
  auto& machine = add_machine("a");
  add_machine("b");
  loop_.pass(9);
  monitor_.record_direct_contact();
  set_unanswered_probes(machine);
  check(machine);
  EXPECT_TRUE(terminated_.empty());
}

TEST_F(MachineMonitorTest, UnreachableMachineWithServicesIsTerminatedSooner) {
  auto& machine = add_machine("a");
  assign_service(machine);
  add_machine("b");
  loop_.pass(6.25);
  monitor_.record_direct_contact();
  set_unanswered_probes(machine);
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::unreachable}}));
}

// The fault may lie with this controller.
TEST_F(MachineMonitorTest, UnreachableMachineIsKeptForALeaseWithoutContactToOthers) {
  auto& machine = add_machine("a");
  add_machine("b");
  loop_.pass(4);
  // Less than half of the time allowed for the machine has passed since its last contact.
  monitor_.record_direct_contact();
  loop_.pass(kLeaseS - 4.25);
  set_unanswered_probes(machine);
  check(machine);
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::unreachable}}));
}

TEST_F(MachineMonitorTest, OnlyMachineIsTerminatedWithoutContactToOthers) {
  auto& machine = add_machine("a");
  loop_.pass(9.25);
  set_unanswered_probes(machine);
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::unreachable}}));
}

TEST_F(MachineMonitorTest, UnreachableMachineIsKeptForALeaseWhileReachabilityIsUncertain) {
  auto& machine = add_machine("a");
  add_machine("b");
  loop_.pass(kLeaseS - 0.25);
  monitor_.record_direct_contact();
  set_unanswered_probes(machine);
  check(machine, true);
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  check(machine, true);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::unreachable}}));
}

TEST_F(MachineMonitorTest, ManyUnreachableMachinesOfAZoneAreKeptForALease) {
  std::vector<Machine*> unreachable;
  for (int i = 0; i < 3; ++i) unreachable.push_back(&add_machine("unreachable-" + std::to_string(i)));
  std::vector<Machine*> in_contact;
  for (int i = 0; i < 4; ++i) in_contact.push_back(&add_machine("in-contact-" + std::to_string(i)));
  const auto check_all = [&] {
    for (auto* machine : in_contact) receive_heartbeat(*machine);
    monitor_.record_direct_contact();
    for (auto* machine : unreachable) {
      set_unanswered_probes(*machine);
      check(*machine);
    }
  };
  loop_.pass(6);
  check_all();  // From here on the three count as overdue: 3 of 7 machines are more than two fifths.
  loop_.pass(kLeaseS - 6.25);
  check_all();
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  check_all();
  EXPECT_EQ(terminated_.size(), 3U);
}

TEST_F(MachineMonitorTest, FewUnreachableMachinesOfAZoneAreTerminatedAtOnce) {
  std::vector<Machine*> unreachable;
  for (int i = 0; i < 2; ++i) unreachable.push_back(&add_machine("unreachable-" + std::to_string(i)));
  // 2 of 5 machines are not more than two fifths.
  for (int i = 0; i < 3; ++i) add_machine("in-contact-" + std::to_string(i));
  loop_.pass(9.25);
  monitor_.record_direct_contact();
  for (auto* machine : unreachable) set_unanswered_probes(*machine);
  for (auto* machine : unreachable) check(*machine);
  EXPECT_EQ(terminated_.size(), 2U);
}

TEST_F(MachineMonitorTest, UnreachablePreemptibleMachineCountsAsReclaimedByTheCloud) {
  auto& machine = add_machine("a");
  machine.preemptible = true;
  auto& with_notice = add_machine("b");
  with_notice.preemptible = true;
  // A machine with a preemption notice was counted when the notice arrived.
  with_notice.preemption_at = loop_.now() + 100;
  for (int i = 0; i < 4; ++i) add_machine("in-contact-" + std::to_string(i));
  loop_.pass(9.25);
  monitor_.record_direct_contact();
  for (auto* each : {&machine, &with_notice}) set_unanswered_probes(*each);
  for (auto* each : {&machine, &with_notice}) check(*each);
  check(machine);
  EXPECT_EQ(terminated_.size(), 2U);
  EXPECT_EQ(presumed_reclaims_, std::vector<std::string>{"a"});
}

// Tasks of other machines wait until such a machine is confirmed or terminated.
TEST_F(MachineMonitorTest, MachineWithoutContactInThisTermIsTerminatedSooner) {
  auto& machine = add_machine("a");
  add_machine("b");
  machine.inherited = true;
  machine.confirmed = false;
  machine.last_probe = loop_.now();
  loop_.pass(1.5);
  set_unanswered_probes(machine, 1);
  check(machine);
  EXPECT_TRUE(probes_.empty());
  loop_.pass(0.25);
  check(machine);
  EXPECT_EQ(probes_.size(), 1U);
  set_unanswered_probes(machine);
  loop_.pass(2.75);
  check(machine);
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::unreachable}}));
}

// One-way links.

TEST_F(MachineMonitorTest, MachineWithLostDownlinkIsProbedAndTerminatedAfterTwoLeases) {
  auto& machine = add_machine("a");
  add_machine("b");
  lose_downlink(machine);
  receive_heartbeat(machine);
  loop_.pass(2 * kLeaseS);
  receive_heartbeat(machine);
  check(machine);
  EXPECT_EQ(probes_.size(), 1U);
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  receive_heartbeat(machine);
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::downlink_lost}}));
}

TEST_F(MachineMonitorTest, MachineWithLostUplinkIsTerminatedAfterTwoLeases) {
  auto& machine = add_machine("a");
  add_machine("b");
  loop_.pass(2 * kLeaseS);
  machine.last_contact = loop_.now();  // The machine answers probes.
  check(machine);
  EXPECT_TRUE(terminated_.empty());
  loop_.pass(0.25);
  machine.last_contact = loop_.now();
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::uplink_lost}}));
}

// While tasks are assigned to the machine, some commands still reach it.
TEST_F(MachineMonitorTest, MachineWithLostLinkIsKeptWhileTasksAreAssigned) {
  auto& machine = add_machine("a");
  assign_service(machine);
  lose_downlink(machine);
  loop_.pass(2 * kLeaseS + 0.25);
  receive_heartbeat(machine);
  check(machine);
  EXPECT_TRUE(terminated_.empty());
  machine.assignments.clear();
  check(machine);
  EXPECT_EQ(terminated_, (Terminated{{"a", Fault::downlink_lost}}));
}

TEST_F(MachineMonitorTest, ManyMachinesOfAZoneWithLostLinksAreKept) {
  std::vector<Machine*> machines;
  for (int i = 0; i < 3; ++i) machines.push_back(&add_machine(std::to_string(i)));
  lose_downlink(*machines[0]);
  lose_downlink(*machines[1]);
  loop_.pass(2 * kLeaseS + 0.25);
  for (auto* machine : machines) receive_heartbeat(*machine);
  for (auto* machine : machines) check(*machine);
  EXPECT_TRUE(terminated_.empty());
}

TEST_F(MachineMonitorTest, DownlinkChangesAreCountedAndTriggerPlanning) {
  auto& machine = add_machine("a");
  auto before = machine.downlink.state();
  monitor_.on_downlink_changed(machine, before);  // The state has not changed.
  EXPECT_TRUE(events_.empty());
  machine.downlink.command_unanswered(loop_.now());
  monitor_.on_downlink_changed(machine, std::exchange(before, machine.downlink.state()));
  EXPECT_EQ(events_["downlinks probed"], 1);
  EXPECT_EQ(std::pair(plans_, placements_), std::pair(0, 0));
  machine.downlink.probe_ended(loop_.now(), monitor_.timing(), false);
  monitor_.on_downlink_changed(machine, std::exchange(before, machine.downlink.state()));
  EXPECT_EQ(events_["downlinks lost"], 1);
  EXPECT_EQ(std::pair(plans_, placements_), std::pair(1, 0));
  loop_.pass(10);
  machine.downlink.probe_ended(loop_.now(), monitor_.timing(), true);
  monitor_.on_downlink_changed(machine, std::exchange(before, machine.downlink.state()));
  EXPECT_EQ(events_["downlinks recovered"], 1);
  EXPECT_EQ(std::pair(plans_, placements_), std::pair(1, 1));
  EXPECT_EQ(machine.idle_since, loop_.now());
}

TEST(MachineMonitorFault, HasAReasonForTheLog) {
  EXPECT_STREQ(MachineMonitor::termination_reason(Fault::never_booted), "boot timed out");
  EXPECT_STREQ(MachineMonitor::termination_reason(Fault::unreachable), "unreachable");
  EXPECT_STREQ(MachineMonitor::termination_reason(Fault::downlink_lost), "downlink lost");
  EXPECT_STREQ(MachineMonitor::termination_reason(Fault::uplink_lost), "uplink lost");
}

}  // namespace
}  // namespace bankhill::leader
