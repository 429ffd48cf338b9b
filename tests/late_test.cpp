// Copies of reports that come late, and controllers and machines that are back within a fraction of a second
// (invariants 26 and 27).
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "free_address.hpp"
#include "leader/strangers.hpp"
#include "net/peer_link.hpp"
#include "sim/jobs.hpp"
#include "sim/scenario.hpp"
#include "sim/world.hpp"

namespace bankhill::sim {
namespace {

constexpr double kLease = 20;  // of the simulated site
constexpr double kReport = 3;

class Late : public testing::Test {
 protected:
  // One machine, a job that filled it is over, and the report of its time is at hand.
  void one_machine_and_an_old_report(World& world) {
    world.cloud().machine_limit = 1;
    world.run(5);
    const auto uid = world.submit(task_of(4, 8));
    ASSERT_TRUE(until(world, 60, [&] { return world.starts() == 1; }));
    world.run(world.now() + 1);
    host = world.machines().begin()->first;
    old = world.report_now(host);
    ASSERT_TRUE(until(world, 90, [&] { return world.jobs().at(uid).told_done; }));
    world.run(world.now() + 7);
    ASSERT_TRUE(world.machines().at(host).tasks.empty());
  }
  static bool until(World& world, double limit, const std::function<bool()>& reached) {
    return run_until(world, limit, reached, 0.1);
  }
  // Whether another job finds the machine empty.
  static bool room_is_free(World& world) {
    const auto uid = world.submit(task_of(4, 3));
    return until(world, world.now() + 20, [&] { return world.jobs().at(uid).told_done; });
  }
  static net::Request changed(const net::Request& report, const std::function<void(wire::Json&)>& change) {
    auto body = wire::Json::parse(report.body);
    change(body);
    return {net::Method::post, "/v1/report", body.dump()};
  }

  std::string host;
  net::Request old;
};

// Also where the copy was the base of brief reports: at every controller, again and again.
TEST_F(Late, CopiesAtOtherControllersChangeNothing) {
  World world(16);
  one_machine_and_an_old_report(world);
  const auto before = world.machines().at(host).tenure;
  for (int round = 0; round < 8; ++round) {
    const auto now = world.report_now(host);  // as old as the last answer
    for (int node = 0; node < world.nodes(); ++node) {
      world.copy_comes(node, old);
      world.copy_comes(node, now);
    }
    world.run(world.now() + 2);
  }
  EXPECT_TRUE(room_is_free(world)) << "its room was taken";
  EXPECT_EQ(world.machines().at(host).tenure, before);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// A leader that knows no counters hears a copy first: what it lists is over, or runs elsewhere. Taken for
// true it would hold the machine's room, and the job, for good.
TEST_F(Late, ANewLeaderTakesNoTasksFromCopies) {
  World world(16);
  one_machine_and_an_old_report(world);
  const auto cut = [&](double seconds) {
    for (int node = 0; node < world.nodes(); ++node) {
      const auto name = "node-" + std::to_string(node);
      world.cut(name, "workers-" + world.machines().at(host).zone, seconds, false);
      world.cut(name, host, seconds, false);
    }
  };
  cut(60);
  crash_all(world, 0.3);
  ASSERT_TRUE(until(world, world.now() + 30, [&] { return world.leader() >= 0; }));
  for (int round = 0; round < 3; ++round) {
    world.copy_comes(world.leader(), old);
    world.run(world.now() + 0.2);
  }
  cut(0);
  world.run(world.now() + 6);
  ASSERT_TRUE(world.machines().contains(host));
  EXPECT_TRUE(room_is_free(world)) << "its room was taken";
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// The copy was sent before the task came to the machine, which hangs: nothing may start elsewhere on its
// word.
TEST_F(Late, ACopyConfirmsNothing) {
  World world(18);
  world.cloud().machine_limit = 2;
  world.run(5);
  world.submit(service_of(1, 2));
  ASSERT_TRUE(until(world, 40, [&] { return world.starts() == 2; }));
  for (auto& [name, machine] : world.machines()) {
    if (machine.tasks.empty()) continue;
    old = changed(world.report_now(name), [](wire::Json& body) {
      body["members"] = wire::Json::array();
      body["counter"] = body["counter"].get<int>() - 1;
    });
    machine.hung_until = world.now() + kLease * 0.6;
    break;
  }
  crash_all(world, 0.3);
  ASSERT_TRUE(until(world, world.now() + 30, [&] { return world.leader() >= 0; }));
  for (int round = 0; round < 10; ++round) {
    world.copy_comes(world.leader(), old);
    world.run(world.now() + 1);
  }
  world.run(world.now() + 40);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// Of a machine that was released under an earlier leader, and of one that never was, whatever it shows: they
// are asked, get no record and no task, and nothing waits for them.
TEST_F(Late, PhantomsAreNeitherRecordedNorUsed) {
  World world(16);
  one_machine_and_an_old_report(world);
  ASSERT_TRUE(until(world, 400, [&] { return !world.machines().contains(host); })) << "not returned";
  crash_all(world, 0.5);
  ASSERT_TRUE(until(world, world.now() + 30, [&] { return world.leader() >= 0; }));
  world.run(world.now() + 5);
  const auto uid = world.submit(task_of(4, 5));
  for (int round = 0; round < 30; ++round) {
    for (int node = 0; node < world.nodes(); ++node) {
      world.copy_comes(node, changed(old, [&](wire::Json& body) { body["counter"] = 100 + round; }));
      world.copy_comes(node, changed(old, [&](wire::Json& body) {
                         body["host"] = body["address"] = "n-900000";
                         body["counter"] = 100 + round;
                         body["fence"] = wire::count_field(world.keys().at(wire::kTermKey).data, "n");
                       }));
    }
    world.run(world.now() + 1.5);
    EXPECT_FALSE(world.recorded(host));
    EXPECT_FALSE(world.recorded("n-900000"));
  }
  EXPECT_TRUE(world.jobs().at(uid).told_done) << "it waited for a machine that is not there";
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// A machine that nobody expected is used, also when it cannot be asked directly for a while.
TEST_F(Late, AStrayMachineIsUsed) {
  for (const bool reached : {true, false}) {
    World world(22);
    world.cloud().machine_limit = 0;
    world.run(5);
    const auto uid = world.submit(task_of(4, 4));
    const auto stray = world.stray_machine("za");
    if (!reached)
      for (int node = 0; node < world.nodes(); ++node)
        world.cut("node-" + std::to_string(node), stray, 60, false);
    EXPECT_TRUE(until(world, reached ? 20 : 50, [&] { return world.jobs().at(uid).told_done; }));
    EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  }
}

// Sent in a session that is over.
TEST_F(Late, CopiesOfAnEarlierSessionChangeNothing) {
  World world(16);
  one_machine_and_an_old_report(world);
  for (const bool new_leader : {false, true}) {
    world.restart_machine(host, 0.5, World::Back::next_session);
    if (new_leader) crash_all(world, 0.5);
    for (int round = 0; round < 10; ++round) {
      for (int node = 0; node < world.nodes(); ++node) world.copy_comes(node, old);
      world.run(world.now() + 1);
    }
    ASSERT_TRUE(world.machines().contains(host));
    EXPECT_TRUE(room_is_free(world)) << "its room was taken";
  }
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// A machine is dead and cannot be released. Its tasks are started again when its lease is over, however many
// copies of its reports come: with the leader that knew it, and with one that only hears them.
TEST_F(Late, CopiesExtendNothing) {
  for (const bool new_leader : {false, true}) {
    World world(24);
    world.run(5);
    world.submit(service_of(3, 3));
    ASSERT_TRUE(until(world, 60, [&] { return world.starts() == 3; }));
    world.submit(task_of(1, 1000, 8));  // rents others, that have room for one more
    world.run(world.now() + 30);
    auto machine = std::find_if(world.machines().begin(), world.machines().end(), [](const auto& entry) {
      return std::any_of(entry.second.tasks.begin(), entry.second.tasks.end(),
                         [](const auto& task) { return task.first.job.value == "job-000000"; });
    });
    ASSERT_NE(machine, world.machines().end());
    const auto task = machine->second.tasks.begin()->first;
    const double died = world.now();
    machine->second.dead = true;
    world.cloud_outage(400);
    if (new_leader) crash_all(world, 0.3);
    // The new leader hears each for the first time, in their order, and often enough for the lease.
    std::vector<net::Request> copies;
    for (int i = 0; i < 80; ++i)
      copies.push_back(changed(world.report_now(machine->first), [&](wire::Json& body) {
        const int newest = body["counter"].get<int>();
        ASSERT_GT(newest, 11);
        body["counter"] = new_leader ? newest - 11 + std::min(i / 7, 11) : newest - i % 7;
      }));
    const auto elsewhere = [&] {
      return std::any_of(world.machines().begin(), world.machines().end(), [&](const auto& entry) {
        return entry.first != machine->first && entry.second.tasks.contains(task);
      });
    };
    for (std::size_t i = 0; i < copies.size() && !elsewhere(); ++i) {
      for (int node = 0; node < world.nodes(); ++node) world.copy_comes(node, copies[i]);
      world.run(world.now() + 1);
    }
    EXPECT_TRUE(elsewhere());
    EXPECT_LT(world.now() - died, (new_leader ? 2 : 1) * kLease + 10) << new_leader;
    EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  }
}

TEST(Checker, SeesAPhantom) {
  World world(3);
  world.run(10);
  const auto term = world.keys().at(wire::kTermKey);
  world.serve_state({net::Method::post, "/commit",
                     wire::Json{{"when", {{{"k", wire::kTermKey}, {"stamp", term.stamp}}}},
                                {"writes",
                                 {{{"write", wire::machines_key("1-1")},
                                   {"data", to_json(wire::MachineGroupRecord{
                                                "small", "za", false, {{wire::HostId{"n-900000"}, "x"}}})}}}}}
                         .dump()},
                    [](const net::Response&) {});
  ASSERT_FALSE(world.broken().empty());
  EXPECT_TRUE(world.broken().front().starts_with("phantom"));
}

TEST(StrangersTest, AreAskedForWhatIsNewAndForgotten) {
  leader::Strangers strangers(3, 20, 2);
  wire::Report report;
  report.host = {"n-000007"};
  report.tenure = {1};
  report.counter = 5;
  EXPECT_TRUE(strangers.to_ask(report, 0));
  EXPECT_FALSE(strangers.to_ask(report, 10)) << "a copy of the same";
  report.counter = 4;
  EXPECT_FALSE(strangers.to_ask(report, 10)) << "an older one";
  report.counter = 6;
  EXPECT_TRUE(strangers.to_ask(report, 10));
  report.counter = 7;
  EXPECT_FALSE(strangers.to_ask(report, 11)) << "asked just now";
  report.host = {"n-000008"};
  EXPECT_TRUE(strangers.to_ask(report, 11));
  report.host = {"n-000009"};
  EXPECT_FALSE(strangers.to_ask(report, 11)) << "too many at a time";
  EXPECT_TRUE(strangers.to_ask(report, 32)) << "the others are forgotten";
  EXPECT_EQ(strangers.size(), 1U);
}

// ---- back within a fraction of a second

class Back : public Late {
 protected:
  static void expect_done(World& world) {
    for (const auto& [uid, job] : world.jobs()) {
      EXPECT_TRUE(job.accepted) << uid;
      if (job.spec.shape == wire::Shape::sweep) {
        EXPECT_TRUE(job.told_done) << uid << ": " << job.completed.size() << " of " << job.spec.members;
      }
    }
  }
};

// The leader is back at once, at any point of what it had in hand, and now and then twice within a second.
TEST_F(Back, TheLeaderAtAnyMoment) {
  for (const int seed : {3, 4}) {
    World world(static_cast<std::uint64_t>(seed));
    world.run(5);
    for (int round = 0; round < 12; ++round) {
      world.submit(task_of(1, 4, 6));
      world.run(world.now() + world.uniform(0.2, 6));
      world.back_at_once(std::max(0, world.leader()));
      ASSERT_TRUE(world.broken().empty()) << listing(world.broken());
    }
    world.run(world.now() + 10);
    EXPECT_EQ(world.leaders(), 1);
    world.run(world.now() + 100);
    EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
    expect_done(world);
  }
}

// All at once, and again while they read all keys or are about to elect one of them.
TEST_F(Back, AllInTheMiddleOfReadingAndOfElections) {
  World world(5);
  world.run(5);
  for (int round = 0; round < 8; ++round) {
    world.submit(task_of(1, 4, 6));
    world.run(world.now() + world.uniform(1, 8));
    for (int node = 0; node < world.nodes(); ++node) {
      const double away = world.uniform(0.05, 0.9);
      world.crash(node, away);
      world.at(world.now() + away + world.uniform(0.001, 1.5),
               [&world, node] { world.crash(node, world.uniform(0.05, 0.9)); });
    }
    world.run(world.now() + 12);
    EXPECT_EQ(world.leaders(), 1);
    ASSERT_TRUE(world.broken().empty()) << listing(world.broken());
  }
  world.run(world.now() + 100);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  expect_done(world);
}

// A machine that lost its tasks with its session is used on, and they start anew, well before any lease ends.
TEST_F(Back, MachinesInTheirNextSession) {
  for (const auto how : {World::Back::next_session, World::Back::counts_anew}) {
    World world(16);
    one_machine_and_an_old_report(world);
    world.submit(service_of(2, 2));
    ASSERT_TRUE(until(world, world.now() + 20, [&] { return world.starts() == 3; }));
    world.run(world.now() + 5);
    world.restart_machine(host, 0.3, how);
    world.at(world.now() + 0.7, [&] { world.restart_machine(host, 0.1, how); });
    world.copy_comes(world.leader(), world.report_now(host));
    EXPECT_TRUE(until(world, world.now() + kLease / 2, [&] { return world.starts() == 5; }));
    EXPECT_TRUE(world.machines().contains(host));
    EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  }
}

// One that counts its sessions from the first again cannot be put in order with what it was: it is returned,
// and its tasks start elsewhere; neither it nor they wait for ever.
TEST_F(Back, AMachineAsOnItsFirstDayIsReturned) {
  for (const bool second_session : {false, true}) {
    World world(16);
    one_machine_and_an_old_report(world);
    if (second_session) {
      world.restart_machine(host, 0.2, World::Back::next_session);
      world.run(world.now() + 10);
    }
    world.submit(service_of(2, 2));
    const auto before = world.starts();
    ASSERT_TRUE(until(world, world.now() + 20, [&] { return world.starts() == before + 2; }));
    world.run(world.now() + 5);
    world.restart_machine(host, 0.3, World::Back::first_day);
    EXPECT_TRUE(until(world, world.now() + 4 * kReport, [&] { return !world.machines().contains(host); }))
        << "it is neither used nor returned";
    EXPECT_TRUE(until(world, world.now() + 60, [&] { return world.starts() == before + 4; }));
    EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  }
}

// The process of a sibling was replaced, and nothing told us that our connection to it is of no use: it stays
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
  ASSERT_TRUE(step([&] { return ours.send("there", wire::Beat{}); }));
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
      if (const auto* beat = std::get_if<wire::Beat>(&frame)) term = beat->term;
    });
    ours.listen([](const std::string&, const wire::Frame&) {});
    step([&] { return back.send("here", wire::Beat{}); });
    // As seldom as beats: a flood fills the old connection, and is dialled anew for that.
    double sent = 0;
    return step([&] {
      if (loop.now() > sent + 0.05) {
        ours.send("there", wire::Beat{incarnation, true, false, 0});
        sent = loop.now();
      }
      return term == incarnation;
    });
  };
  // It had said who it is before.
  {
    net::PeerLink earlier_dials(loop, log, "there", 7, free_address(), {{"here", here}}, kSilence);
    ASSERT_TRUE(step([&] { return earlier_dials.send("here", wire::Beat{}); }));
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
