// Copies of heartbeats that come late, and controllers and machines that are back within a fraction of a
// second (invariants 26 and 27).
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "free_address.hpp"
#include "leader/unregistered_machines.hpp"
#include "net/peer_link.hpp"
#include "sim/jobs.hpp"
#include "sim/scenario.hpp"
#include "sim/simulated_cluster.hpp"

namespace bankhill::sim {
namespace {

constexpr double kLease = 20;  // of the simulated site
constexpr double kReport = 3;

class Late : public testing::Test {
 protected:
  // One machine, a job that filled it is over, and the heartbeat of its time is at hand.
  void one_machine_and_an_old_report(SimulatedCluster& cluster) {
    cluster.cloud().machine_limit = 1;
    cluster.run(5);
    const auto job_id = cluster.submit(task_of(4, 8));
    ASSERT_TRUE(until(cluster, 60, [&] { return cluster.starts() == 1; }));
    cluster.run(cluster.now() + 1);
    host = cluster.machines().begin()->first;
    old = cluster.report_now(host);
    ASSERT_TRUE(until(cluster, 90, [&] { return cluster.jobs().at(job_id).told_done; }));
    cluster.run(cluster.now() + 7);
    ASSERT_TRUE(cluster.machines().at(host).tasks.empty());
  }
  static bool until(SimulatedCluster& cluster, double limit, const std::function<bool()>& reached) {
    return run_until(cluster, limit, reached, 0.1);
  }
  // Whether another job finds the machine empty.
  static bool room_is_free(SimulatedCluster& cluster) {
    const auto job_id = cluster.submit(task_of(4, 3));
    return until(cluster, cluster.now() + 20, [&] { return cluster.jobs().at(job_id).told_done; });
  }
  static net::Request changed(const net::Request& report, const std::function<void(wire::Json&)>& change) {
    auto body = wire::Json::parse(report.body);
    change(body);
    return {net::Method::post, "/v1/report", body.dump()};
  }

  std::string host;
  net::Request old;
};

// Also where the copy was the base of brief heartbeats: at every controller, again and again.
TEST_F(Late, CopiesAtOtherControllersChangeNothing) {
  SimulatedCluster cluster(16);
  one_machine_and_an_old_report(cluster);
  const auto before = cluster.machines().at(host).agent_epoch;
  for (int round = 0; round < 8; ++round) {
    const auto now = cluster.report_now(host);  // as old as the last answer
    for (int node = 0; node < cluster.nodes(); ++node) {
      cluster.copy_comes(node, old);
      cluster.copy_comes(node, now);
    }
    cluster.run(cluster.now() + 2);
  }
  EXPECT_TRUE(room_is_free(cluster)) << "its room was taken";
  EXPECT_EQ(cluster.machines().at(host).agent_epoch, before);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// A leader that knows no counters hears a copy first: what it lists is over, or runs elsewhere. Taken for
// true it would hold the machine's room, and the job, for good.
TEST_F(Late, ANewLeaderTakesNoTasksFromCopies) {
  SimulatedCluster cluster(16);
  one_machine_and_an_old_report(cluster);
  const auto cut = [&](double seconds) {
    for (int node = 0; node < cluster.nodes(); ++node) {
      const auto name = "node-" + std::to_string(node);
      cluster.cut(name, "workers-" + cluster.machines().at(host).zone, seconds, false);
      cluster.cut(name, host, seconds, false);
    }
  };
  cut(60);
  crash_all(cluster, 0.3);
  ASSERT_TRUE(until(cluster, cluster.now() + 30, [&] { return cluster.leader() >= 0; }));
  for (int round = 0; round < 3; ++round) {
    cluster.copy_comes(cluster.leader(), old);
    cluster.run(cluster.now() + 0.2);
  }
  cut(0);
  cluster.run(cluster.now() + 6);
  ASSERT_TRUE(cluster.machines().contains(host));
  EXPECT_TRUE(room_is_free(cluster)) << "its room was taken";
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// The copy was sent before the task came to the machine, which hangs: nothing may start elsewhere on its
// word.
TEST_F(Late, ACopyConfirmsNothing) {
  SimulatedCluster cluster(18);
  cluster.cloud().machine_limit = 2;
  cluster.run(5);
  cluster.submit(service_of(1, 2));
  ASSERT_TRUE(until(cluster, 40, [&] { return cluster.starts() == 2; }));
  for (auto& [name, machine] : cluster.machines()) {
    if (machine.tasks.empty()) continue;
    old = changed(cluster.report_now(name), [](wire::Json& body) {
      body["members"] = wire::Json::array();
      body["counter"] = body["counter"].get<int>() - 1;
    });
    machine.hung_until = cluster.now() + kLease * 0.6;
    break;
  }
  crash_all(cluster, 0.3);
  ASSERT_TRUE(until(cluster, cluster.now() + 30, [&] { return cluster.leader() >= 0; }));
  for (int round = 0; round < 10; ++round) {
    cluster.copy_comes(cluster.leader(), old);
    cluster.run(cluster.now() + 1);
  }
  cluster.run(cluster.now() + 40);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// Of a machine that was released under an earlier leader, and of one that never was, whatever it shows: they
// are asked, get no record and no task, and nothing waits for them.
TEST_F(Late, PhantomsAreNeitherRecordedNorUsed) {
  SimulatedCluster cluster(16);
  one_machine_and_an_old_report(cluster);
  ASSERT_TRUE(until(cluster, 400, [&] { return !cluster.machines().contains(host); })) << "not returned";
  crash_all(cluster, 0.5);
  ASSERT_TRUE(until(cluster, cluster.now() + 30, [&] { return cluster.leader() >= 0; }));
  cluster.run(cluster.now() + 5);
  const auto job_id = cluster.submit(task_of(4, 5));
  for (int round = 0; round < 30; ++round) {
    for (int node = 0; node < cluster.nodes(); ++node) {
      cluster.copy_comes(node, changed(old, [&](wire::Json& body) { body["counter"] = 100 + round; }));
      cluster.copy_comes(node, changed(old, [&](wire::Json& body) {
                           body["host"] = body["address"] = "n-900000";
                           body["counter"] = 100 + round;
                           body["fence"] = wire::count_field(cluster.keys().at(wire::kTermKey).data, "n");
                         }));
    }
    cluster.run(cluster.now() + 1.5);
    EXPECT_FALSE(cluster.recorded(host));
    EXPECT_FALSE(cluster.recorded("n-900000"));
  }
  EXPECT_TRUE(cluster.jobs().at(job_id).told_done) << "it waited for a machine that is not there";
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// A machine that nobody expected is used, also when it cannot be asked directly for a while.
TEST_F(Late, AStrayMachineIsUsed) {
  for (const bool reached : {true, false}) {
    SimulatedCluster cluster(22);
    cluster.cloud().machine_limit = 0;
    cluster.run(5);
    const auto job_id = cluster.submit(task_of(4, 4));
    const auto stray = cluster.stray_machine("za");
    if (!reached)
      for (int node = 0; node < cluster.nodes(); ++node)
        cluster.cut("node-" + std::to_string(node), stray, 60, false);
    EXPECT_TRUE(until(cluster, reached ? 20 : 50, [&] { return cluster.jobs().at(job_id).told_done; }));
    EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  }
}

// Sent in an agent epoch that is over.
TEST_F(Late, CopiesOfAnEarlierSessionChangeNothing) {
  SimulatedCluster cluster(16);
  one_machine_and_an_old_report(cluster);
  for (const bool new_leader : {false, true}) {
    cluster.restart_machine(host, 0.5, SimulatedCluster::Back::next_session);
    if (new_leader) crash_all(cluster, 0.5);
    for (int round = 0; round < 10; ++round) {
      for (int node = 0; node < cluster.nodes(); ++node) cluster.copy_comes(node, old);
      cluster.run(cluster.now() + 1);
    }
    ASSERT_TRUE(cluster.machines().contains(host));
    EXPECT_TRUE(room_is_free(cluster)) << "its room was taken";
  }
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
}

// A machine is dead and cannot be released. Its tasks are started again when its lease is over, however many
// copies of its heartbeats come: with the leader that knew it, and with one that only hears them.
TEST_F(Late, CopiesExtendNothing) {
  for (const bool new_leader : {false, true}) {
    SimulatedCluster cluster(24);
    cluster.run(5);
    cluster.submit(service_of(3, 3));
    ASSERT_TRUE(until(cluster, 60, [&] { return cluster.starts() == 3; }));
    cluster.submit(task_of(1, 1000, 8));  // rents others, that have room for one more
    cluster.run(cluster.now() + 30);
    auto machine = std::find_if(cluster.machines().begin(), cluster.machines().end(), [](const auto& entry) {
      return std::any_of(entry.second.tasks.begin(), entry.second.tasks.end(),
                         [](const auto& task) { return task.first.job.value == "job-000000"; });
    });
    ASSERT_NE(machine, cluster.machines().end());
    const auto task = machine->second.tasks.begin()->first;
    const double died = cluster.now();
    machine->second.dead = true;
    cluster.cloud_outage(400);
    if (new_leader) crash_all(cluster, 0.3);
    // The new leader hears each for the first time, in their order, and often enough for the lease.
    std::vector<net::Request> copies;
    for (int i = 0; i < 80; ++i)
      copies.push_back(changed(cluster.report_now(machine->first), [&](wire::Json& body) {
        const int newest = body["counter"].get<int>();
        ASSERT_GT(newest, 11);
        body["counter"] = new_leader ? newest - 11 + std::min(i / 7, 11) : newest - i % 7;
      }));
    const auto elsewhere = [&] {
      return std::any_of(cluster.machines().begin(), cluster.machines().end(), [&](const auto& entry) {
        return entry.first != machine->first && entry.second.tasks.contains(task);
      });
    };
    for (std::size_t i = 0; i < copies.size() && !elsewhere(); ++i) {
      for (int node = 0; node < cluster.nodes(); ++node) cluster.copy_comes(node, copies[i]);
      cluster.run(cluster.now() + 1);
    }
    EXPECT_TRUE(elsewhere());
    EXPECT_LT(cluster.now() - died, (new_leader ? 2 : 1) * kLease + 10) << new_leader;
    EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  }
}

TEST(Checker, SeesAPhantom) {
  SimulatedCluster cluster(3);
  cluster.run(10);
  const auto term = cluster.keys().at(wire::kTermKey);
  cluster.serve_state(
      {net::Method::post, "/commit",
       wire::Json{{"when", {{{"k", wire::kTermKey}, {"stamp", term.revision}}}},
                  {"writes",
                   {{{"write", wire::machine_group_key("1-1")},
                     {"data", to_json(wire::MachineGroupRecord{
                                  "small", "za", false, {{wire::MachineId{"n-900000"}, "x"}}})}}}}}
           .dump()},
      [](const net::Response&) {});
  ASSERT_FALSE(cluster.broken().empty());
  EXPECT_TRUE(cluster.broken().front().starts_with("phantom"));
}

// A fleet of 4,000 machines of which no record can be read: each is asked at its first heartbeat.
TEST(StrangersTest, HoldsTheLargestFleet) {
  constexpr int kMachines = 4000;
  leader::UnregisteredMachines strangers(3, 20, leader::kMaxUnregisteredMachines);
  wire::Heartbeat heartbeat;
  heartbeat.agent_epoch = wire::AgentEpoch{1};
  heartbeat.sequence = 1;
  for (int i = 0; i < kMachines; ++i) {
    heartbeat.machine_id = wire::MachineId{"n-" + std::to_string(i)};
    EXPECT_TRUE(strangers.should_probe(heartbeat, 10)) << i;
  }
}

TEST(StrangersTest, AreAskedForWhatIsNewAndForgotten) {
  leader::UnregisteredMachines strangers(3, 20, 2);
  wire::Heartbeat heartbeat;
  heartbeat.machine_id = {"n-000007"};
  heartbeat.agent_epoch = {1};
  heartbeat.sequence = 5;
  EXPECT_TRUE(strangers.should_probe(heartbeat, 0));
  EXPECT_FALSE(strangers.should_probe(heartbeat, 10)) << "a copy of the same";
  heartbeat.sequence = 4;
  EXPECT_FALSE(strangers.should_probe(heartbeat, 10)) << "an older one";
  heartbeat.sequence = 6;
  EXPECT_TRUE(strangers.should_probe(heartbeat, 10));
  heartbeat.sequence = 7;
  EXPECT_FALSE(strangers.should_probe(heartbeat, 11)) << "asked just now";
  heartbeat.machine_id = {"n-000008"};
  EXPECT_TRUE(strangers.should_probe(heartbeat, 11));
  heartbeat.machine_id = {"n-000009"};
  EXPECT_FALSE(strangers.should_probe(heartbeat, 11)) << "too many at a time";
  EXPECT_TRUE(strangers.should_probe(heartbeat, 32)) << "the others are forgotten";
  EXPECT_EQ(strangers.size(), 1U);
}

// ---- back within a fraction of a second

class Back : public Late {
 protected:
  static void expect_done(SimulatedCluster& cluster) {
    for (const auto& [job_id, job] : cluster.jobs()) {
      EXPECT_TRUE(job.accepted) << job_id;
      if (job.spec.kind == wire::JobKind::array) {
        EXPECT_TRUE(job.told_done) << job_id << ": " << job.completed.size() << " of " << job.spec.task_count;
      }
    }
  }
};

// The leader is back at once, at any point of what it had in hand, and now and then twice within a second.
TEST_F(Back, TheLeaderAtAnyMoment) {
  for (const int seed : {3, 4}) {
    SimulatedCluster cluster(static_cast<std::uint64_t>(seed));
    cluster.run(5);
    for (int round = 0; round < 12; ++round) {
      cluster.submit(task_of(1, 4, 6));
      cluster.run(cluster.now() + cluster.uniform(0.2, 6));
      cluster.back_at_once(std::max(0, cluster.leader()));
      ASSERT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
    }
    cluster.run(cluster.now() + 10);
    EXPECT_EQ(cluster.leaders(), 1);
    cluster.run(cluster.now() + 100);
    EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
    expect_done(cluster);
  }
}

// All at once, and again while they read all keys or are about to elect one of them.
TEST_F(Back, AllInTheMiddleOfReadingAndOfElections) {
  SimulatedCluster cluster(5);
  cluster.run(5);
  for (int round = 0; round < 8; ++round) {
    cluster.submit(task_of(1, 4, 6));
    cluster.run(cluster.now() + cluster.uniform(1, 8));
    for (int node = 0; node < cluster.nodes(); ++node) {
      const double away = cluster.uniform(0.05, 0.9);
      cluster.crash(node, away);
      cluster.at(cluster.now() + away + cluster.uniform(0.001, 1.5),
                 [&cluster, node] { cluster.crash(node, cluster.uniform(0.05, 0.9)); });
    }
    cluster.run(cluster.now() + 12);
    EXPECT_EQ(cluster.leaders(), 1);
    ASSERT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  }
  cluster.run(cluster.now() + 100);
  EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  expect_done(cluster);
}

// A machine that lost its tasks with its agent epoch is used on, and they start anew, well before any lease
// ends.
TEST_F(Back, MachinesInTheirNextSession) {
  for (const auto how : {SimulatedCluster::Back::next_session, SimulatedCluster::Back::counts_anew}) {
    SimulatedCluster cluster(16);
    one_machine_and_an_old_report(cluster);
    cluster.submit(service_of(2, 2));
    ASSERT_TRUE(until(cluster, cluster.now() + 20, [&] { return cluster.starts() == 3; }));
    cluster.run(cluster.now() + 5);
    cluster.restart_machine(host, 0.3, how);
    cluster.at(cluster.now() + 0.7, [&] { cluster.restart_machine(host, 0.1, how); });
    cluster.copy_comes(cluster.leader(), cluster.report_now(host));
    EXPECT_TRUE(until(cluster, cluster.now() + kLease / 2, [&] { return cluster.starts() == 5; }));
    EXPECT_TRUE(cluster.machines().contains(host));
    EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  }
}

// One that counts its agent epochs from the first again cannot be put in order with what it was: it is
// returned, and its tasks start elsewhere; neither it nor they wait for ever.
TEST_F(Back, AMachineAsOnItsFirstDayIsReturned) {
  for (const bool second_session : {false, true}) {
    SimulatedCluster cluster(16);
    one_machine_and_an_old_report(cluster);
    if (second_session) {
      cluster.restart_machine(host, 0.2, SimulatedCluster::Back::next_session);
      cluster.run(cluster.now() + 10);
    }
    cluster.submit(service_of(2, 2));
    const auto before = cluster.starts();
    ASSERT_TRUE(until(cluster, cluster.now() + 20, [&] { return cluster.starts() == before + 2; }));
    cluster.run(cluster.now() + 5);
    cluster.restart_machine(host, 0.3, SimulatedCluster::Back::first_day);
    EXPECT_TRUE(until(cluster, cluster.now() + 4 * kReport, [&] {
      return !cluster.machines().contains(host);
    })) << "it is neither used nor returned";
    EXPECT_TRUE(until(cluster, cluster.now() + 60, [&] { return cluster.starts() == before + 4; }));
    EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
  }
}

// The process of a peer was replaced, and nothing told us that our connection to it is of no use: it stays
// open and swallows what is sent. The new one has dialled us: what is sent from then on reaches it.
TEST(PeerLinkTest, ASiblingThatIsBackIsDialledAgainThoughTheOldConnectionIsSilent) {
  runtime::EventLoop loop;
  const auto log = runtime::make_log("peer", "off");
  const auto step = [&](const std::function<bool()>& reached) {
    const double end = loop.now() + 5;
    while (!reached() && loop.now() < end) event_base_loop(loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    return reached();
  };
  const int earlier = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof address;
  const int yes = 1;
  ::setsockopt(earlier, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  ASSERT_EQ(::bind(earlier, reinterpret_cast<sockaddr*>(&address), length), 0);
  ASSERT_EQ(::listen(earlier, 4), 0);
  ::getsockname(earlier, reinterpret_cast<sockaddr*>(&address), &length);
  const auto there = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  const auto here = free_address();

  constexpr double kSilence = 0.8;
  net::PeerLink ours(loop, log, "here", 1, here, {{"there", there}}, kSilence);
  int swallowed = -1;
  ASSERT_TRUE(step([&] { return ours.send("there", wire::PeerStatus{}); }));
  swallowed = ::accept(earlier, nullptr, nullptr);
  ASSERT_GE(swallowed, 0);
  ::close(earlier);  // the connection stays open
  const auto pass = [&](double seconds) {
    const double end = loop.now() + seconds;
    step([&] { return loop.now() > end; });
  };
  const auto reached = [&](std::uint64_t incarnation) {
    net::PeerLink back(loop, log, "there", incarnation, there, {{"here", here}}, kSilence);
    std::uint64_t term = 0;
    back.listen([&](const std::string&, const wire::Frame& frame) {
      if (const auto* beat = std::get_if<wire::PeerStatus>(&frame)) term = beat->term;
    });
    ours.listen([](const std::string&, const wire::Frame&) {});
    step([&] { return back.send("here", wire::PeerStatus{}); });
    // As seldom as beats: a flood fills the old connection, and is dialled anew for that.
    double sent = 0;
    return step([&] {
      if (loop.now() > sent + 0.05) {
        ours.send("there", wire::PeerStatus{incarnation, true, false, 0});
        sent = loop.now();
      }
      return term == incarnation;
    });
  };
  // It had said who it is before.
  {
    net::PeerLink earlier_dials(loop, log, "there", 7, free_address(), {{"here", here}}, kSilence);
    ASSERT_TRUE(step([&] { return earlier_dials.send("here", wire::PeerStatus{}); }));
    pass(0.2);
  }
  pass(kSilence / 4);
  EXPECT_TRUE(reached(8));
  pass(0.05);
  EXPECT_TRUE(reached(9)) << "twice within a moment";
  ::close(swallowed);
}

}  // namespace
}  // namespace bankhill::sim
