// Tests when a leader resigns because it reaches too few machines (leader/reachability_probe.hpp).
#include "leader/reachability_probe.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "manual_loop.hpp"

namespace bankhill::leader {
namespace {

using MachineState = ReachabilityProbe::MachineState;

class ReachabilityProbeTest : public testing::Test {
 protected:
  struct Request {
    wire::MachineId machine_id;
    std::function<void()> done;
  };

  void add_machines(int count) {
    for (int i = 0; i < count; ++i) {
      const wire::MachineId machine_id{"machine-" + std::to_string(i)};
      machines_[machine_id] = {.last_heartbeat_at = loop_.now()};
    }
  }
  // Records as many suspicions as cause a sample.
  void record_suspicions() {
    for (int i = 0; i < 3; ++i) probe_.record_suspicion();
  }
  void tick() { probe_.tick(term_began_at_); }
  // Lets time pass, records suspicions and ticks as the leader would; returns whether a sample was sent.
  bool sample_after(double seconds) {
    loop_.pass(seconds);
    tick();
    record_suspicions();
    tick();
    return !requests_.empty();
  }
  // Completes the requests in flight. The first `unanswered` machines count as not having answered; `change`
  // sets their further state.
  void finish_sample(std::size_t unanswered, const std::function<void(MachineState&)>& change = {}) {
    auto requests = std::exchange(requests_, {});
    for (std::size_t i = 0; i < requests.size(); ++i) {
      auto& state = machines_.at(requests[i].machine_id);
      state.unanswered = i < unanswered;
      if (state.unanswered && change) change(state);
    }
    for (auto& request : requests) request.done();
  }
  void all_send_heartbeats() {
    for (auto& [machine_id, state] : machines_) state.last_heartbeat_at = loop_.now();
  }

  test_support::ManualLoop loop_;
  std::map<wire::MachineId, MachineState> machines_;
  std::vector<Request> requests_;
  double term_began_at_ = 0;
  bool peer_contact_ = true;
  int resignations_ = 0;
  ReachabilityProbe probe_{loop_,
                           std::make_shared<spdlog::logger>("test"),
                           {40, 3, 3, 3},
                           {[this] {
                              std::vector<wire::MachineId> candidates;
                              for (const auto& [machine_id, state] : machines_)
                                candidates.push_back(machine_id);
                              return candidates;
                            },
                            [this](const wire::MachineId& machine_id, std::function<void()> done) {
                              requests_.push_back({machine_id, std::move(done)});
                            },
                            [this](const wire::MachineId& machine_id) -> std::optional<MachineState> {
                              const auto found = machines_.find(machine_id);
                              return found == machines_.end() ? std::nullopt : std::optional(found->second);
                            },
                            [this] { return peer_contact_; }, [this] { ++resignations_; }}};
};

TEST_F(ReachabilityProbeTest, SendsNoProbesWithoutASuspicion) {
  add_machines(10);
  for (int i = 0; i < 100; ++i) {
    loop_.pass(0.25);
    tick();
  }
  EXPECT_TRUE(requests_.empty());
}

TEST_F(ReachabilityProbeTest, ThreeSuspicionsWithinAControlIntervalStartASample) {
  add_machines(10);
  tick();
  probe_.record_suspicion();
  probe_.record_suspicion();
  tick();
  EXPECT_TRUE(requests_.empty());
  loop_.pass(3);  // The first two suspicions expire.
  tick();
  probe_.record_suspicion();
  tick();
  EXPECT_TRUE(requests_.empty());
  probe_.record_suspicion();
  probe_.record_suspicion();
  tick();
  EXPECT_EQ(requests_.size(), 10U);
}

TEST_F(ReachabilityProbeTest, LeaderWithoutPeerContactProbesWithoutASuspicion) {
  add_machines(10);
  peer_contact_ = false;
  tick();
  EXPECT_EQ(requests_.size(), 10U);
}

TEST_F(ReachabilityProbeTest, ProbesAtMostFortyEightMachinesOnceEach) {
  add_machines(500);
  ASSERT_TRUE(sample_after(0));
  std::set<wire::MachineId> probed;
  for (const auto& request : requests_) probed.insert(request.machine_id);
  EXPECT_EQ(requests_.size(), 48U);
  EXPECT_EQ(probed.size(), 48U);
}

TEST_F(ReachabilityProbeTest, ThreeMachinesAreTooFewForASample) {
  add_machines(3);
  EXPECT_FALSE(sample_after(0));
  add_machines(4);
  // The attempt with too few machines also starts the interval between samples.
  EXPECT_FALSE(sample_after(5.75));
  EXPECT_TRUE(sample_after(0.25));
}

TEST_F(ReachabilityProbeTest, SingleControllerSendsNoProbes) {
  ReachabilityProbe alone{loop_, std::make_shared<spdlog::logger>("test"), {40, 3, 3, 1}, {}};
  for (int i = 0; i < 3; ++i) alone.record_suspicion();
  alone.tick(0);  // A sample would call an empty port.
  EXPECT_FALSE(alone.is_failing());
}

TEST_F(ReachabilityProbeTest, FirstSampleIsTakenHalfALeaseIntoTheTerm) {
  add_machines(10);
  term_began_at_ = loop_.now();
  EXPECT_FALSE(sample_after(19.75));
  EXPECT_TRUE(sample_after(0.25));
}

TEST_F(ReachabilityProbeTest, SamplesDoNotOverlapAndAreSpacedApart) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  EXPECT_EQ(requests_.size(), 10U);
  sample_after(100);
  EXPECT_EQ(requests_.size(), 10U);  // The same sample is still in progress.
  finish_sample(0);
  ASSERT_TRUE(sample_after(0));
  finish_sample(0);
  EXPECT_FALSE(sample_after(5.75));
  EXPECT_TRUE(sample_after(0.25));
}

TEST_F(ReachabilityProbeTest, HalfOfTheSampleUnansweredIsNoFailure) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  finish_sample(5);
  EXPECT_FALSE(probe_.is_failing());
  ASSERT_TRUE(sample_after(6));
  finish_sample(6);
  EXPECT_TRUE(probe_.is_failing());
  EXPECT_EQ(resignations_, 0);
}

TEST_F(ReachabilityProbeTest, SuccessfulSampleEndsTheFailure) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  ASSERT_TRUE(probe_.is_failing());
  ASSERT_TRUE(sample_after(6));
  finish_sample(0);
  EXPECT_FALSE(probe_.is_failing());
}

TEST_F(ReachabilityProbeTest, MachinesNoLongerKnownCountAsAnswered) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  const auto requests = std::exchange(requests_, {});
  machines_.clear();
  for (const auto& request : requests) request.done();
  EXPECT_FALSE(probe_.is_failing());
}

// One-way partition of this controller: the responses of peers reach the machines.
TEST_F(ReachabilityProbeTest, ResignsWhenMachinesReceiveResponsesFromPeers) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  EXPECT_EQ(resignations_, 0);  // It is not known yet which side is at fault.
  ASSERT_TRUE(sample_after(1.5));
  all_send_heartbeats();
  finish_sample(10, [this](MachineState& state) { state.peer_response_arrived_at = loop_.now(); });
  EXPECT_EQ(resignations_, 1);
}

// The machines have lost their downlink: another leader would reach no more of them.
TEST_F(ReachabilityProbeTest, KeepsLeadershipWhenMachinesLoseResponsesFromPeersToo) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  ASSERT_TRUE(sample_after(1.5));
  all_send_heartbeats();
  finish_sample(10, [this](MachineState& state) { state.peer_response_lost_at = loop_.now(); });
  EXPECT_EQ(resignations_, 0);
  EXPECT_TRUE(probe_.is_failing());
}

TEST_F(ReachabilityProbeTest, EvidenceFromBeforeTheFailureIsIgnored) {
  add_machines(10);
  const double before = loop_.now() - 1;
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  ASSERT_TRUE(sample_after(1.5));
  all_send_heartbeats();
  finish_sample(10, [before](MachineState& state) { state.peer_response_arrived_at = before; });
  EXPECT_EQ(resignations_, 0);
}

TEST_F(ReachabilityProbeTest, EvidenceFromAQuarterOfUnansweredMachinesSuffices) {
  add_machines(12);
  ASSERT_TRUE(sample_after(0));
  finish_sample(12);
  int with_evidence = 0;
  const auto finish_with_evidence = [&](int evidence_count) {
    with_evidence = 0;
    all_send_heartbeats();
    finish_sample(12, [&, evidence_count](MachineState& state) {
      state.peer_response_arrived_at = with_evidence++ < evidence_count ? loop_.now() : 0;
    });
  };
  ASSERT_TRUE(sample_after(1.5));
  finish_with_evidence(2);
  EXPECT_EQ(resignations_, 0);
  ASSERT_TRUE(sample_after(1.5));
  finish_with_evidence(3);
  EXPECT_EQ(resignations_, 1);
}

TEST_F(ReachabilityProbeTest, SamplesSoonAgainForEvidenceAndResignsWithoutAnyInTheEnd) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  double waited_s = 0;
  while (resignations_ == 0) {
    ASSERT_FALSE(sample_after(1.25));
    ASSERT_TRUE(sample_after(0.25));
    waited_s += 1.5;
    ASSERT_LE(waited_s, 15);
    all_send_heartbeats();
    finish_sample(10);
  }
  // 3.5 times the 4 s for which an agent waits for a response, rounded up to the next sample.
  EXPECT_EQ(waited_s, 15);
}

// Two-way partition: no heartbeat arrives that could provide evidence.
TEST_F(ReachabilityProbeTest, ResignsAtOnceWhenNoHeartbeatsArriveEither) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  loop_.pass(9.1);  // More than 1.5 response timeouts of 4 s and a heartbeat interval of 3 s.
  finish_sample(10);
  EXPECT_EQ(resignations_, 1);
}

TEST_F(ReachabilityProbeTest, ResignsAtOnceWithoutPeerContact) {
  add_machines(10);
  peer_contact_ = false;
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  EXPECT_EQ(resignations_, 1);
}

TEST_F(ReachabilityProbeTest, NewTermDiscardsSampleAndFailure) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  ASSERT_TRUE(sample_after(6));
  const auto requests = std::exchange(requests_, {});
  for (auto& [machine_id, state] : machines_) state.unanswered = true;
  probe_.reset();
  EXPECT_FALSE(probe_.is_failing());
  // The requests of the earlier term belong to no sample.
  for (const auto& request : requests) request.done();
  EXPECT_FALSE(probe_.is_failing());
  EXPECT_EQ(resignations_, 0);
  EXPECT_TRUE(sample_after(6));
}

}  // namespace
}  // namespace bankhill::leader
