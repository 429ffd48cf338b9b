// When a leader gives way because it reaches too few machines (leader/reachability_probe.hpp).
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
  // Enough of it within one control interval.
  void suspect() {
    for (int i = 0; i < 3; ++i) probe_.note_suspicion();
  }
  void tick() { probe_.tick(term_began_at_); }
  // What the leader would do: time passes, suspicion stays, a sample is sent when one is due.
  bool sample_after(double seconds) {
    loop_.pass(seconds);
    tick();
    suspect();
    tick();
    return !requests_.empty();
  }
  // Ends the requests under way; those of the first `unanswered` machines stay unanswered, whose state is
  // made by `change`.
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
  bool peer_heard_ = true;
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
                            [this] { return peer_heard_; }, [this] { ++resignations_; }}};
};

TEST_F(ReachabilityProbeTest, ProbesNobodyWithoutASuspicion) {
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
  probe_.note_suspicion();
  probe_.note_suspicion();
  tick();
  EXPECT_TRUE(requests_.empty());
  loop_.pass(3);  // those two are forgotten
  tick();
  probe_.note_suspicion();
  tick();
  EXPECT_TRUE(requests_.empty());
  probe_.note_suspicion();
  probe_.note_suspicion();
  tick();
  EXPECT_EQ(requests_.size(), 10U);
}

TEST_F(ReachabilityProbeTest, ALeaderThatHearsNoPeerProbesWithoutASuspicion) {
  add_machines(10);
  peer_heard_ = false;
  tick();
  EXPECT_EQ(requests_.size(), 10U);
}

TEST_F(ReachabilityProbeTest, AsksAtMostFortyEightMachinesEachOnce) {
  add_machines(500);
  ASSERT_TRUE(sample_after(0));
  std::set<wire::MachineId> asked;
  for (const auto& request : requests_) asked.insert(request.machine_id);
  EXPECT_EQ(requests_.size(), 48U);
  EXPECT_EQ(asked.size(), 48U);
}

TEST_F(ReachabilityProbeTest, ThreeMachinesAreTooFewForASample) {
  add_machines(3);
  EXPECT_FALSE(sample_after(0));
  add_machines(4);
  EXPECT_FALSE(sample_after(5.75));  // the failed attempt counts as one
  EXPECT_TRUE(sample_after(0.25));
}

TEST_F(ReachabilityProbeTest, TheOnlyControllerProbesNobody) {
  ReachabilityProbe alone{loop_, std::make_shared<spdlog::logger>("test"), {40, 3, 3, 1}, {}};
  for (int i = 0; i < 3; ++i) alone.note_suspicion();
  alone.tick(0);  // would call a port that is not there
  EXPECT_FALSE(alone.failing());
}

TEST_F(ReachabilityProbeTest, HalfALeaseOfItsTermPassesBeforeTheFirstSample) {
  add_machines(10);
  term_began_at_ = loop_.now();
  EXPECT_FALSE(sample_after(19.75));
  EXPECT_TRUE(sample_after(0.25));
}

TEST_F(ReachabilityProbeTest, OneSampleIsUnderWayAtATimeAndTwoAreApart) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  EXPECT_EQ(requests_.size(), 10U);
  sample_after(100);
  EXPECT_EQ(requests_.size(), 10U);  // still the same
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
  EXPECT_FALSE(probe_.failing());
  ASSERT_TRUE(sample_after(6));
  finish_sample(6);
  EXPECT_TRUE(probe_.failing());
  EXPECT_EQ(resignations_, 0);
}

TEST_F(ReachabilityProbeTest, ASampleThatSucceedsEndsTheFailure) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  ASSERT_TRUE(probe_.failing());
  ASSERT_TRUE(sample_after(6));
  finish_sample(0);
  EXPECT_FALSE(probe_.failing());
}

TEST_F(ReachabilityProbeTest, MachinesNoLongerKnownCountAsAnswered) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  const auto requests = std::exchange(requests_, {});
  machines_.clear();
  for (const auto& request : requests) request.done();
  EXPECT_FALSE(probe_.failing());
}

// One-way partition of this controller: peers' responses arrive.
TEST_F(ReachabilityProbeTest, ResignsWhenTheMachinesHearItsPeers) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  EXPECT_EQ(resignations_, 0);  // whose fault it is, is not known
  ASSERT_TRUE(sample_after(1.5));
  all_send_heartbeats();
  finish_sample(10, [this](MachineState& state) { state.peer_response_arrived_at = loop_.now(); });
  EXPECT_EQ(resignations_, 1);
}

// The machines have lost their downlink: another leader would reach no more of them.
TEST_F(ReachabilityProbeTest, StaysWhenTheMachinesHearItsPeersNoMoreThanItself) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  ASSERT_TRUE(sample_after(1.5));
  all_send_heartbeats();
  finish_sample(10, [this](MachineState& state) { state.peer_response_lost_at = loop_.now(); });
  EXPECT_EQ(resignations_, 0);
  EXPECT_TRUE(probe_.failing());
}

TEST_F(ReachabilityProbeTest, EvidenceFromBeforeTheFailureTellsNothing) {
  add_machines(10);
  const double before = loop_.now() - 1;
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  ASSERT_TRUE(sample_after(1.5));
  all_send_heartbeats();
  finish_sample(10, [before](MachineState& state) { state.peer_response_arrived_at = before; });
  EXPECT_EQ(resignations_, 0);
}

TEST_F(ReachabilityProbeTest, AQuarterOfThoseUnansweredIsEvidenceEnough) {
  add_machines(12);
  ASSERT_TRUE(sample_after(0));
  finish_sample(12);
  int told = 0;
  const auto tell = [&](int most) {
    told = 0;
    all_send_heartbeats();
    finish_sample(12, [&, most](MachineState& state) {
      state.peer_response_arrived_at = told++ < most ? loop_.now() : 0;
    });
  };
  ASSERT_TRUE(sample_after(1.5));
  tell(2);
  EXPECT_EQ(resignations_, 0);
  ASSERT_TRUE(sample_after(1.5));
  tell(3);
  EXPECT_EQ(resignations_, 1);
}

TEST_F(ReachabilityProbeTest, AsksAgainSoonForEvidenceAndResignsWithoutAnyInTheEnd) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  double waited = 0;
  while (resignations_ == 0) {
    ASSERT_FALSE(sample_after(1.25));
    ASSERT_TRUE(sample_after(0.25));
    waited += 1.5;
    ASSERT_LE(waited, 15);
    all_send_heartbeats();
    finish_sample(10);
  }
  EXPECT_EQ(waited, 15);  // 3.5 waits of a worker for a response, of 4 s, at the next sample
}

// Two-way partition: nothing comes from them that could tell more.
TEST_F(ReachabilityProbeTest, ResignsAtOnceWhenNoHeartbeatsArriveEither) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  loop_.pass(9.1);  // more than 1.5 waits of 4 s and a heartbeat interval of 3 s
  finish_sample(10);
  EXPECT_EQ(resignations_, 1);
}

TEST_F(ReachabilityProbeTest, ResignsAtOnceWhenItHearsNoPeer) {
  add_machines(10);
  peer_heard_ = false;
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  EXPECT_EQ(resignations_, 1);
}

TEST_F(ReachabilityProbeTest, ANewTermStartsAfresh) {
  add_machines(10);
  ASSERT_TRUE(sample_after(0));
  finish_sample(10);
  ASSERT_TRUE(sample_after(6));
  const auto requests = std::exchange(requests_, {});
  for (auto& [machine_id, state] : machines_) state.unanswered = true;
  probe_.reset();
  EXPECT_FALSE(probe_.failing());
  for (const auto& request : requests) request.done();  // of the earlier term: belong to no sample
  EXPECT_FALSE(probe_.failing());
  EXPECT_EQ(resignations_, 0);
  EXPECT_TRUE(sample_after(6));
}

}  // namespace
}  // namespace bankhill::leader
