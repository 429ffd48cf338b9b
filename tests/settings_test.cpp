// Settings: errors name the field.
#include "app/settings.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace bankhill::app {
namespace {

wire::Json good() {
  return wire::Json::parse(R"({"host_name":"worker-0","zone":"a","api_addr":"10.0.0.1:8080",
    "peer_listen":"10.0.0.1:8081","siblings":[{"host_name":"worker-1","zone":"b","addr":"10.0.0.2:8081"}],
    "external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"later":1,
    "params":{"teams":[{"name":"red","cpus":7,"cpus_max":9.5,"gpus":0,"gpus_max":0}],
    "objectives":[{"kind":"finished","class":"x","within_s":120,"share":0.9},
      {"kind":"finished","class":"x","within_s":60,"share":0.5}],
    "workers":{"report_s":3,"lease_s":44,"cancel_s":69},
    "state":{"rps":250,"write_rps":60,"value_kb":8,"txn_ops":32},"cloud":{"rps":6,"list_lag_s":6}}})");
}

TEST(Settings, Reads) {
  const auto settings = parse_settings(good().dump());
  EXPECT_EQ(settings.peers.at(0).addr, "10.0.0.2:8081");
  EXPECT_EQ(settings.teams.at(0).limit.cores, 9.5);
  EXPECT_EQ(settings.completion_targets_s.at("x"), (std::vector<double>{60, 120}));
}

// Of replicas that span machines: in the platform's words where it has any, else by the lease.
TEST(Settings, TimesOfGangs) {
  auto some = good();
  EXPECT_EQ(parse_settings(some.dump()).gang_wait_s, 66);
  EXPECT_EQ(parse_settings(some.dump()).gang_peer_s, 11);
  some["params"]["workers"]["gang_wait_s"] = 50;
  some["params"]["workers"]["gang_peer_s"] = 4.5;
  EXPECT_EQ(parse_settings(some.dump()).gang_wait_s, 50);
  EXPECT_EQ(parse_settings(some.dump()).gang_peer_s, 4.5);
  some["params"]["workers"]["gang_wait_s"] = -1;
  EXPECT_THROW(parse_settings(some.dump()), SettingsError);
}

// A guest team comes without guarantee and limit: written as 0, as null, or left out.
TEST(Settings, ATeamWithoutGuaranteeOrLimit) {
  auto some = good();
  auto& teams = some["params"]["teams"];
  teams.push_back({{"name", "zero"}, {"cpus", 0.0}, {"cpus_max", 0.0}, {"gpus", 0.0}, {"gpus_max", 0.0}});
  teams.push_back({{"name", "null"}, {"cpus", nullptr}, {"cpus_max", nullptr}, {"gpus_max", nullptr}});
  teams.push_back({{"name", "left-out"}});
  const auto settings = parse_settings(some.dump());
  ASSERT_EQ(settings.teams.size(), 4U);
  for (std::size_t i = 1; i < 4; ++i) {
    const auto& team = settings.teams[i];
    EXPECT_EQ(team.guarantee.cores, 0) << team.name;
    EXPECT_TRUE(std::isinf(team.limit.cores) && std::isinf(team.limit.accelerators)) << team.name;
  }
  EXPECT_TRUE(std::isinf(settings.teams[0].limit.accelerators)) << "0 is none of either kind";
  some["params"]["teams"] = wire::Json::array();
  EXPECT_NO_THROW(parse_settings(some.dump())) << "a site may have no teams yet";
  some["params"]["teams"].push_back({{"name", "bad"}, {"cpus_max", -1}});
  EXPECT_THROW(parse_settings(some.dump()), SettingsError);
}

// Limits to come are kept to from the start; each may be missing, and a larger one changes nothing.
TEST(Settings, TheSmallerOfTheLimitsNowAndNext) {
  auto some = good();
  some["params"]["state"]["next"] = {{"value_kb", 2}, {"txn_ops", 40}, {"write_rps", 42.5}};
  auto settings = parse_settings(some.dump());
  EXPECT_EQ(settings.state_value_kb, 2);
  EXPECT_EQ(settings.state_txn_ops, 32U);
  EXPECT_EQ(settings.state_writes_per_s, 42.5);
  EXPECT_EQ(settings.state_requests_per_s, 250);
  for (const auto& next : {wire::Json(nullptr), wire::Json::object()}) {
    some["params"]["state"]["next"] = next;
    settings = parse_settings(some.dump());
    EXPECT_EQ(settings.state_value_kb, 8);
    EXPECT_EQ(settings.state_writes_per_s, 60);
  }
  some["params"]["state"]["next"] = {{"value_kb", 0}};
  EXPECT_THROW(parse_settings(some.dump()), SettingsError);
  some["params"]["state"]["next"] = 7;
  EXPECT_THROW(parse_settings(some.dump()), SettingsError);
}

TEST(Settings, ErrorsNameTheField) {
  for (const auto* pointer :
       {"/host_name", "/api_addr", "/external/state", "/params/workers/lease_s", "/params/teams/0/name",
        "/params/state/txn_ops", "/params/cloud", "/siblings"}) {
    auto broken = good();
    const wire::Json::json_pointer where(pointer);
    broken[where.parent_pointer()].erase(where.back());
    try {
      parse_settings(broken.dump());
      FAIL() << pointer << " may be missing";
    } catch (const SettingsError& error) {
      EXPECT_NE(std::string(error.what()).find("'" + where.back() + "'"), std::string::npos) << error.what();
    }
  }
  auto broken = good();
  broken["params"]["workers"]["cancel_s"] = 44;
  EXPECT_THROW(parse_settings(broken.dump()), SettingsError);
  // No leader could extend a lease and be sure that what is cancelled is gone in time (invariant 34).
  broken["params"]["workers"]["cancel_s"] = 48;
  EXPECT_THROW(parse_settings(broken.dump()), SettingsError);
  broken = good();
  broken["api_addr"] = "10.0.0.1";
  EXPECT_THROW(parse_settings(broken.dump()), SettingsError);
}

// Invariant 34: whatever the platform sets, the sum holds or the settings are refused.
TEST(CancelBudget, HoldsOrIsRefused) {
  int held = 0;
  for (double lease = 1; lease < 300; lease += 7)
    for (double margin = 0.5; margin < 200; margin *= 1.3) {
      const model::CancellationBound budget(lease, lease + margin, 4);
      if (!budget.is_feasible()) continue;
      ++held;
      EXPECT_GE(budget.max_read_age_s(), 2);
      EXPECT_LE(budget.worst_case_removal_s(), lease + margin);
      EXPECT_GE(budget.worst_case_removal_s(), budget.max_read_age_s() + lease + 4);
      EXPECT_LT(budget.leader_ttl_s(), budget.max_read_age_s()) << "a successor comes too late";
    }
  EXPECT_GT(held, 300);
  EXPECT_FALSE(model::CancellationBound(44, 49, 4).is_feasible());
  EXPECT_TRUE(model::CancellationBound(44, 69, 4).is_feasible());
}

TEST(OperatorSettings, UnknownKeysAndBadValuesAreRefused) {
  EXPECT_EQ(parse_operator_settings("alpha: 0.25\n").alpha, 0.25);
  EXPECT_NO_THROW(parse_operator_settings(""));
  EXPECT_THROW(parse_operator_settings("alfa: 0.25\n"), SettingsError);
  EXPECT_THROW(parse_operator_settings("alpha: 2\n"), SettingsError);
  EXPECT_THROW(parse_operator_settings("alpha: high\n"), SettingsError);
  EXPECT_THROW(parse_operator_settings("- 1\n"), SettingsError);
}

}  // namespace
}  // namespace bankhill::app
