// Tenants' policies: the operators' file, the records, and sites of controllers that fail while policies
// change and cutoffs pass.
#include "policy/policy.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "app/settings.hpp"
#include "sim/jobs.hpp"
#include "sim/scenario.hpp"
#include "sim/world.hpp"

namespace bankhill {
namespace {

using policy::Policy;

const policy::Site kSite{{"red", "blue", "guest"}, {"night", "day", "model"}, 50};

const std::string kFile = R"(alpha: 0.7
tenants:
  version: 3
  teams:
    red:
      calendars:
        - name: morning
          zone: Europe/Oslo
          classes: [night]
          margin_s: 900
          weekly:
            - days: [mon, tue, wed, thu, fri]
              at: "08:00"
          dates:
            - { on: 2027-05-31, at: "12:00" }
            - 2027-02-10
          days_off: [2027-05-17, 2027-12-24]
      tiers:
        - { classes: [night], rank: high, tier: 2 }
        - { classes: [night], tier: 1 }
        - { guest: true, tier: -1 }
      refreshes: [night]
      tier_floor: 0.2
      tier_ages_s: 120
      spans: { model: 4 }
    blue:
      spans: { model: 8 }
)";

Policy good() { return *policy::parse_policy(kFile, kSite); }

TEST(Policy, ReadsTheFile) {
  const auto read = good();
  EXPECT_EQ(read.version(), 3U);
  EXPECT_EQ(read.span("red", "model"), 4U);
  EXPECT_EQ(read.span("blue", "model"), 8U);
  EXPECT_EQ(read.span("red", "night"), 1U);
  EXPECT_EQ(read.span("guest", "model"), 1U);
  EXPECT_TRUE(read.refresh("red", "night"));
  EXPECT_FALSE(read.refresh("blue", "night"));
  // Friday 2027-01-15 08:00 UTC is 09:00 in Oslo: the next cutoff is on Monday.
  EXPECT_EQ(read.cutoff("red", "night", 1.8e9), 1.8e9 + 3 * 86400 - 3600 - 900);
  EXPECT_FALSE(read.cutoff("red", "day", 1.8e9));
  EXPECT_FALSE(read.cutoff("blue", "night", 1.8e9));
  EXPECT_FALSE(policy::parse_policy("alpha: 0.5\n", kSite));
  EXPECT_FALSE(policy::parse_policy("", kSite));
}

// Ordered: the first rule that matches decides.
TEST(Policy, Tiers) {
  const auto read = good();
  EXPECT_EQ(read.tier("red", "night", wire::Rank::high, false), 2);
  EXPECT_EQ(read.tier("red", "night", wire::Rank::normal, false), 1);
  EXPECT_EQ(read.tier("red", "night", wire::Rank::normal, true), 1);
  EXPECT_EQ(read.tier("red", "day", wire::Rank::normal, true), -1);
  EXPECT_EQ(read.tier("red", "day", wire::Rank::normal, false), 0);
  EXPECT_EQ(read.tier("guest", "day", wire::Rank::high, true), 0);
}

TEST(Policy, RecordsGiveBackWhatWasWritten) {
  const auto read = good();
  Policy copy(read.version());
  for (const auto& [owner, tenant] : read.tenants()) {
    const auto json = wire::Json::parse(to_json(tenant).dump());
    EXPECT_EQ(policy::parse_tenant(json), tenant) << json;
    copy.set(owner, policy::parse_tenant(json));
  }
  EXPECT_EQ(copy.fingerprint(), read.fingerprint());
  auto other = read.tenants().at("blue");
  other.spans["model"] = 7;
  copy.set("blue", other);
  EXPECT_NE(copy.fingerprint(), read.fingerprint());
}

// Whatever somebody put there: malformed, never a crash or half a policy.
TEST(Policy, RecordsThatCannotBeRead) {
  for (
      const auto* text :
      {"7", "[]", R"({"calendars":7})", R"({"calendars":[{"name":"a"}]})", R"({"tiers":[{"tier":12}]})",
       R"({"tiers":[{"tier":"1"}]})", R"({"spans":{"model":0}})", R"({"spans":[4]})", R"({"refreshes":[1]})",
       R"({"calendars":[{"name":"a","zone":"Europe/Oslo","classes":["x"],"days_off":["2027-02-30"]}]})",
       R"({"calendars":[{"name":"a","zone":"Europe/Oslo","classes":["x"],"weekly":[{"days":[7],"at_s":1}]}]})",
       R"({"calendars":[{"name":"a","zone":"Europe/Oslo","classes":["x"],"weekly":[{"days":[1],"at_s":90000}]}]})"})
    EXPECT_THROW(policy::parse_tenant(wire::Json::parse(text)), wire::Malformed) << text;
}

// A zone that this machine does not know costs its calendar, not the rest.
TEST(Policy, AZoneThatIsNotKnownHere) {
  auto tenant = good().tenants().at("red");
  tenant.calendars[0].zone = "Mars/Olympus";
  Policy some(1);
  EXPECT_EQ(some.set("red", tenant), std::vector<std::string>{"morning"});
  EXPECT_FALSE(some.cutoff("red", "night", 1.8e9));
  EXPECT_EQ(some.span("red", "model"), 4U);
}

TEST(Policy, TellsTheNextCutoffsAndTheRules) {
  const auto text = good().describe(1.8e9);
  std::size_t cutoffs = 0;
  for (auto at = text.find("red, morning"); at != std::string::npos; at = text.find("red, morning", at + 1))
    ++cutoffs;
  EXPECT_EQ(cutoffs, 10U) << text;
  for (const auto* part :
       {"version 3", "Mon 2027-01-18 08:00:00 +0100", "over by 07:45:00", "tier 2: night, rank high",
        "before guest work: night", "model: 8 machines make one replica"})
    EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
}

// The whole files that we ship.
TEST(Policy, ExamplesAreFine) {
  const policy::Site tax{{"privat", "naering"}, {"portal", "bilag"}, 3000};
  const policy::Site lake{{"web", "adat", "tanacsado", "kutatas"}, {"kalkulator", "frissites"}, 3000};
  const std::string deploy = BANKHILL_FIXTURES "/../../deploy/";
  const auto first = policy::parse_policy(app::read_file(deploy + "fjordskatt-fleet.policy.yaml"), tax);
  const auto second = policy::parse_policy(app::read_file(deploy + "lakaskalk-fleet.policy.yaml"), lake);
  ASSERT_TRUE(first && second);
  EXPECT_TRUE(first->cutoff("naering", "bilag", 1.8e9));
  EXPECT_TRUE(second->cutoff("adat", "frissites", 1.8e9));
  EXPECT_NO_THROW(app::parse_operator_settings(app::read_file(deploy + "fjordskatt-fleet.policy.yaml")));
}

// Each fault of a file is named with the line that it stands in.
TEST(Policy, FaultsAreNamedWithTheirLines) {
  struct Fault {
    const char* from;
    const char* to;
    const char* line;
    const char* what;
  };
  for (const auto& fault : std::vector<Fault>{
           {"version: 3", "version: 0", "line 3:", "version"},
           {"  version: 3\n", "", "line 3:", "no version"},
           {"    red:", "    rd:", "line 5:", "unknown team 'rd'"},
           {"    blue:", "    red:", "line 26:", "stands twice"},
           {"calendars:", "calender:", "line 6:", "unknown key 'calender'"},
           {"zone: Europe/Oslo", "zone: Europe/Bergen", "line 7:", "unknown time zone"},
           {"classes: [night]\n          margin", "classes: [knight]\n          margin",
            "line 9:", "unknown class 'knight'"},
           {"margin_s: 900", "margin_s: -1", "line 10:", "margin_s"},
           {"margin_s: 900", "margin_s: soon", "line 10:", "margin_s"},
           {"[mon, tue,", "[monday, tue,", "line 12:", "no day of the week"},
           {"[mon, tue,", "[tue, tue,", "line 12:", "stands twice"},
           {"at: \"08:00\"", "at: \"24:30\"", "line 13:", "no time of a day"},
           {"2027-02-10", "2027-02-29", "line 16:", "no day of the calendar"},
           {"2027-05-31, at: \"12:00\"", "2027-03-28, at: \"02:30\"",
            "line 15:", "the clocks are put forward"},
           {"{ classes: [night], tier: 1 }", "{ classes: [night], rank: high, tier: 1 }",
            "line 20:", "overlaps"},
           {"{ guest: true, tier: -1 }", "{ guest: true, tier: -10 }", "line 21:", "tier"},
           {"{ guest: true, tier: -1 }", "{ guest: true }", "line 21:", "no tier"},
           {"rank: high", "rank: highest", "line 19:", "unknown rank"},
           {"tier_floor: 0.2", "tier_floor: 0.6", "line 23:", "tier_floor"},
           {"spans: { model: 4 }", "spans: { model: 51 }", "line 25:", "fits no fleet"},
           {"spans: { model: 4 }", "spans: { model: 1 }", "line 25:", "a span"},
       }) {
    auto text = kFile;
    const auto at = text.find(fault.from);
    ASSERT_NE(at, std::string::npos) << fault.from;
    text.replace(at, std::string(fault.from).size(), fault.to);
    try {
      policy::parse_policy(text, kSite);
      ADD_FAILURE() << fault.to << " is taken";
    } catch (const policy::BadPolicy& error) {
      EXPECT_NE(std::string(error.what()).find(fault.line), std::string::npos)
          << fault.to << ": " << error.what();
      EXPECT_NE(std::string(error.what()).find(fault.what), std::string::npos)
          << fault.to << ": " << error.what();
    }
  }
}

TEST(Policy, TwoCalendarsOfOneClassOverlap) {
  auto text = kFile;
  const std::string more =
      "        - { name: other, zone: Europe/Oslo, classes: [night], dates: [2027-01-01] }\n";
  text.insert(text.find("      tiers:"), more);
  EXPECT_THROW(policy::parse_policy(text, kSite), policy::BadPolicy);
  text = kFile;
  text.insert(text.find("          dates:"), "            - { days: [fri, sat], at: \"08:00\" }\n");
  EXPECT_THROW(policy::parse_policy(text, kSite), policy::BadPolicy);
}

}  // namespace

namespace sim {
namespace {

// The world's time 0 is 09:00 in Oslo, on a Friday. Cutoffs each day at these minutes after that.
std::string file(int version, const std::vector<int>& minutes, int margin_s = 0,
                 const std::string& more = "") {
  std::string text =
      "tenants:\n  version: " + std::to_string(version) +
      "\n  teams:\n    red:\n      calendars:\n        - name: c\n          zone: Europe/Oslo\n"
      "          classes: [any]\n          margin_s: " +
      std::to_string(margin_s) + "\n          weekly:\n";
  for (const int minute : minutes) {
    char line[120];
    std::snprintf(line, sizeof line,
                  "            - { days: [mon, tue, wed, thu, fri, sat, sun], at: \"09:%02d\" }\n", minute);
    text += line;
  }
  return text + more;
}

SimJob batch(std::uint32_t members, double cores, double run_s) {
  auto job = kept_batch(members, cores, run_s);
  job.spec.need.ram_gb = 1;
  job.spec.reclaimable = true;
  return job;
}

std::optional<double> stored_cutoff(const World& world, const std::string& uid) {
  return wire::parse_job_record(world.keys().at(wire::job_key({uid})).data).cutoff;
}

constexpr double kWall = 1.8e9;

class Policies : public testing::TestWithParam<int> {};

// A newer file is stored by whoever comes with it; all follow; an older file, or none, does no harm, and
// nothing is written while nothing changes.
TEST_P(Policies, TheRecordsRuleNotTheFile) {
  World world(5, GetParam());
  deploy_policy(world, file(1, {30}));
  world.run(20);
  const auto stamp = world.keys().at(wire::kPolicyKey).stamp;
  for (int node = 0; node < world.nodes(); ++node) {
    EXPECT_EQ(world.policy(node)->version(), 1U);
    EXPECT_TRUE(world.policy(node)->cutoff("red", "any", kWall));
  }
  world.run(80);
  EXPECT_EQ(world.keys().at(wire::kPolicyKey).stamp, stamp) << "written again though nothing changed";
  EXPECT_EQ(world.keys().at(wire::policy_key("red")).stamp, stamp);

  world.operator_files[1] = file(2, {40}, 0, "    blue:\n      spans: { any: 2 }\n");
  world.crash(1, 1);
  world.run(100);
  world.operator_files.erase(2);
  world.crash(2, 1);
  world.crash(0, 1);  // with the file of before
  world.run(130);
  for (int node = 0; node < world.nodes(); ++node) {
    EXPECT_EQ(world.policy(node)->version(), 2U);
    EXPECT_EQ(world.policy(node)->cutoff("red", "any", kWall), kWall + 40 * 60);
    EXPECT_EQ(world.policy(node)->span("blue", "any"), 2U);
  }
  // What the newer file lacks is gone, and does not come back with the older one.
  world.operator_files[1] = file(3, {50});
  world.crash(1, 1);
  world.run(150);
  world.operator_files[0] = file(2, {40}, 0, "    blue:\n      spans: { any: 2 }\n");
  world.crash(0, 1);
  world.run(180);
  for (int node = 0; node < world.nodes(); ++node) EXPECT_EQ(world.policy(node)->span("blue", "any"), 1U);
  EXPECT_FALSE(world.keys().contains(wire::policy_key("blue")));
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}
INSTANTIATE_TEST_SUITE_P(Sites, Policies, testing::Values(3, 5));

// Two files of one version: the first one stands, at all controllers.
TEST(PolicySim, TwoFilesOfOneVersion) {
  World world(7);
  for (int node = 0; node < world.nodes(); ++node) {
    world.operator_files[node] =
        file(1, {node == 0 ? 30 : 40}, 0, node == 0 ? "" : "    blue:\n      spans: { any: 2 }\n");
    world.crash(node, 0);
  }
  world.run(30);
  const auto first = world.keys().at(wire::kPolicyKey);
  for (int node = 0; node < world.nodes(); ++node) {
    EXPECT_EQ(world.policy(node)->cutoff("red", "any", kWall), world.policy(0)->cutoff("red", "any", kWall));
    EXPECT_EQ(world.policy(node)->span("blue", "any"), world.policy(0)->span("blue", "any"));
  }
  for (int node = 0; node < world.nodes(); ++node) world.crash(node, 1);
  world.run(60);
  EXPECT_EQ(world.keys().at(wire::kPolicyKey).stamp, first.stamp);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// A record that cannot be read changes nothing in force; a newer file puts it right.
TEST(PolicySim, UnreadableRecordsLeaveTheLastGoodOne) {
  World world(9);
  deploy_policy(world, file(1, {30}));
  world.run(20);
  world.write(wire::policy_key("red"), {{"calendars", 7}});
  world.write(wire::policy_key("blue"), "nonsense");
  world.run(25);
  for (int node = 0; node < world.nodes(); ++node)
    EXPECT_EQ(world.policy(node)->cutoff("red", "any", kWall), kWall + 30 * 60);
  world.run(60);
  // Its file is of this version and complete: what was overwritten is put right by any controller.
  EXPECT_EQ(policy::parse_tenant(world.keys().at(wire::policy_key("red")).data),
            world.policy(0)->tenants().at("red"));
  world.write(wire::kPolicyKey, 12);
  world.operator_files[1] = file(2, {40});
  world.crash(1, 1);
  world.run(90);
  for (int node = 0; node < world.nodes(); ++node)
    EXPECT_EQ(world.policy(node)->cutoff("red", "any", kWall), kWall + 40 * 60);
  EXPECT_EQ(world.leaders(), 1);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// What does not fit a value is not stored, and holds up nothing.
TEST(PolicySim, TooLargeAFileIsNotUsed) {
  World world(11);
  deploy_policy(world, file(1, {30}));
  world.run(20);
  std::string days = "          days_off: [";
  for (int i = 0; i < 900; ++i) {
    char day[64];
    std::snprintf(day, sizeof day, "%d-%02d-%02d, ", 2028 + i / 336, 1 + i / 28 % 12, 1 + i % 28);
    days += day;
  }
  deploy_policy(world, file(2, {40}, 0, days + "2027-12-24]\n"));
  world.run(25);
  const auto uid = world.submit(batch(4, 1, 5));
  world.run(60);
  EXPECT_EQ(world.policy(0)->version(), 1U);
  EXPECT_EQ(world.state_service().transactions_refused, 0U);
  EXPECT_TRUE(world.jobs().at(uid).told_done);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// Settled once: whoever leads, whatever policy is in force by then, whatever its clock shows.
TEST_P(Policies, CutoffsStandThroughARestartOfAllAcrossOne) {
  World world(13, GetParam());
  world.clock_error = 1;
  deploy_policy(world, file(1, {3, 20}, 30));
  world.run(20);
  std::vector<std::string> before;
  for (int i = 0; i < 6; ++i) before.push_back(world.submit(batch(6, 1, 20)));
  world.run(40);
  for (const auto& uid : before) EXPECT_EQ(stored_cutoff(world, uid), kWall + 150) << uid;
  for (int node = 0; node < world.nodes(); ++node) {
    world.operator_files[node] = file(2, {1, 4, 30}, 0);
    world.crash(node, 2);
  }
  world.run(140);
  for (const auto& uid : before) {
    EXPECT_EQ(stored_cutoff(world, uid), kWall + 150) << uid;
    EXPECT_TRUE(world.jobs().at(uid).told_done) << uid;
  }
  world.state_outage(20);  // across the cutoff
  for (int node = 0; node < world.nodes(); ++node) world.crash(node, 5);
  world.run(200);
  const auto late = world.submit(batch(2, 1, 5));
  world.run(230);
  EXPECT_EQ(stored_cutoff(world, late), kWall + 240);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// The last job's cutoff counts for a pipeline, and services have none.
TEST(PolicySim, CutoffsOfServicesAndPipelines) {
  World world(15);
  deploy_policy(world, file(1, {10}));
  world.run(20);
  auto service = batch(1, 1, 1000);
  service.spec.shape = wire::Shape::daemon;
  service.spec.reclaimable = false;
  const auto daemon = world.submit(service);
  auto other = batch(2, 1, 5);
  other.spec.owner = "blue";
  const auto first = world.submit(other);
  world.run(22);
  auto last = batch(2, 1, 5);
  last.spec.waits_on = {wire::JobId{first}};
  const auto second = world.submit(last);
  world.run(60);
  EXPECT_FALSE(stored_cutoff(world, daemon));
  EXPECT_FALSE(stored_cutoff(world, first)) << "blue has no calendar";
  EXPECT_TRUE(world.jobs().at(second).told_done);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// A night's work is spread over the time there is; without a calendar all of it is rented at once.
TEST(PolicySim, WorkForAFarCutoffIsSpread) {
  std::size_t most[2] = {0, 0};
  for (const bool with : {false, true}) {
    World world(17);
    world.cloud().machine_limit = 40;
    if (with) deploy_policy(world, file(1, {25}));
    world.run(20);
    std::vector<std::string> uids;
    for (int i = 0; i < 4; ++i) uids.push_back(world.submit(batch(30, 1, 20)));
    while (world.now() < 1500) {
      world.run(world.now() + 10);
      std::size_t up = 0;
      for (const auto& [host, machine] : world.machines()) up += machine.up && !machine.dead ? 1U : 0U;
      most[with ? 1 : 0] = std::max(most[with ? 1 : 0], up);
      if (std::all_of(uids.begin(), uids.end(),
                      [&](const auto& uid) { return world.jobs().at(uid).told_done; }))
        break;
    }
    for (const auto& uid : uids)
      EXPECT_TRUE(world.jobs().at(uid).told_done) << uid << (with ? " missed its cutoff" : "");
    EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  }
  EXPECT_LE(2 * most[1], most[0]) << most[1] << " machines with, " << most[0] << " without a calendar";
}

// More than can be had until then: the job's owner is told before it is late.
TEST(PolicySim, AStallIsTold) {
  World world(19);
  world.cloud().machine_limit = 4;
  deploy_policy(world, file(1, {4}));
  world.run(20);
  const auto uid = world.submit(batch(400, 1, 30));
  world.run(100);
  const auto told = world.ask(0, {net::Method::get, "/submissions/" + uid, ""}).body;
  EXPECT_NE(told.find("cutoff: short by"), std::string::npos) << told;
  world.run(250);
  const auto later = world.ask(1, {net::Method::get, "/submissions/" + uid, ""}).body;
  EXPECT_NE(later.find("cutoff: missed"), std::string::npos) << later;
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
}

// Random days with policies that change, files of all ages, wrong clocks and, on every third, controllers of
// a version that knows nothing of policies, replaced meanwhile.
class PolicyDay : public testing::TestWithParam<int> {};
TEST_P(PolicyDay, KeepsTheRules) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  World world(static_cast<std::uint64_t>(1000 + GetParam()));
  world.clock_error = 1;
  if (GetParam() % 3 == 0)
    for (int node = 0; node < world.nodes(); ++node)
      if (node > 0 || GetParam() % 2 == 0) world.before_policies.insert(node);
  deploy_policy(world, file(1, {2, 4, 6, 30}, 10));
  int version = 1;
  constexpr double kFaultsEnd = 150;
  double next_job = 5;
  double next_fault = 20;
  double next_file = 15;
  while (world.now() < kFaultsEnd) {
    world.run(std::min({next_job, next_fault, next_file}));
    ASSERT_TRUE(world.broken().empty()) << listing(world.broken());
    if (world.now() >= next_job) {
      world.chance(0.2) ? world.submit_pipeline() : world.submit_random();
      next_job = world.now() + world.uniform(2, 8);
    }
    if (world.now() >= next_fault) {
      world.random_fault();
      next_fault = world.now() + world.uniform(4, 25);
    }
    if (world.now() >= next_file) {
      const int node = world.pick(world.nodes());
      world.before_policies.erase(node);
      const int of = world.chance(0.6) ? ++version : std::max(1, version - 1 + world.pick(2));
      world.operator_files[node] = file(of, {1 + world.pick(5), 10 + world.pick(40)}, world.pick(3) * 10);
      world.crash(node, world.uniform(0.3, 3));
      next_file = world.now() + world.uniform(8, 30);
    }
  }
  world.heal();
  world.before_policies.clear();
  for (int node = 0; node < world.nodes(); ++node) world.crash(node, 1);
  world.run(kFaultsEnd + 150);
  EXPECT_TRUE(world.broken().empty()) << listing(world.broken());
  EXPECT_EQ(world.leaders(), 1);
  // All go by one policy, the newest that any controller came with at last.
  const auto print = world.policy(0)->fingerprint();
  for (int node = 0; node < world.nodes(); ++node) {
    EXPECT_EQ(world.policy(node)->fingerprint(), print);
    EXPECT_EQ(world.policy(node)->version(), world.policy(0)->version());
  }
  for (const auto& [uid, job] : world.jobs()) EXPECT_TRUE(job.accepted) << uid;
}
INSTANTIATE_TEST_SUITE_P(Seeds, PolicyDay, testing::Range(1, 13));

// ---- the checker

TEST(Checker, SeesACutoffThatMoves) {
  World world(21);
  deploy_policy(world, file(1, {10}));
  world.run(20);
  const auto uid = world.submit(batch(4, 1, 60));
  world.run(30);
  ASSERT_TRUE(world.broken().empty()) << listing(world.broken());
  auto data = world.keys().at(wire::job_key({uid})).data;
  data["cutoff"] = data["cutoff"].get<double>() + 60;
  world.write(wire::job_key({uid}), data, true);
  EXPECT_TRUE(broke_rule(world, "cutoff_moved")) << listing(world.broken());
}

TEST(Checker, SeesAPolicyThatGoesBack) {
  World world(21);
  deploy_policy(world, file(2, {10}));
  world.run(20);
  ASSERT_TRUE(world.broken().empty()) << listing(world.broken());
  world.write(wire::kPolicyKey, {{"version", 1}, {"file", "x"}}, true);
  EXPECT_TRUE(broke_rule(world, "policy_back")) << listing(world.broken());
}

}  // namespace
}  // namespace sim
}  // namespace bankhill
