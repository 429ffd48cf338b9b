// Meetings of docs/MEETINGS.md in which a transaction is carried out at once and only its answer is lost,
// while the other controllers read what it wrote.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/transactions.hpp"

namespace bankhill::sim {
namespace {

constexpr int kKinds = 19;

// Those of the late transactions, and one that only some of their kind are.
std::vector<Record> kinds() {
  auto all = records();
  all.push_back({"pipeline_cancelled", wire::kJobKeyPrefix, "cancelled"});  // by the leader, not by a user
  return all;
}

// What becomes of the sender meanwhile.
enum class Sender {
  waits,      // it is well, and gives the answer up after its time
  is_behind,  // all that the state service tells it is late: its view is older than the others'
  is_refused,
  ends,
  last
};

using Lost = std::tuple<int, int>;  // which kind, controllers
class LostAnswer : public testing::TestWithParam<Lost> {};
INSTANTIATE_TEST_SUITE_P(Kinds, LostAnswer,
                         testing::Combine(testing::Range(0, kKinds), testing::Values(3, 5)),
                         [](const auto& of) {
                           return kinds()[static_cast<std::size_t>(std::get<0>(of.param))].name +
                                  std::string("_") + std::to_string(std::get<1>(of.param));
                         });

bool is_kind(SimulatedCluster& cluster, const Record& kind, const wire::Json& write) {
  if (!matches(cluster, kind, write)) return false;
  const std::string name = kind.name;
  if (name != "pipeline_cancelled" && name != "withdrawal") return true;
  const auto found = cluster.jobs().find(key_of(write).substr(wire::kJobKeyPrefix.size()));
  if (found == cluster.jobs().end()) return false;
  return found->second.cancel_asked == (name == "withdrawal");
}

// Guards against a sender that answers, decides or undoes from its older view: the answers to three
// transactions of the kind are lost, one after the other, while users look closely at all controllers.
TEST_P(LostAnswer, IsNoReasonToUndo) {
  const auto kind = kinds()[static_cast<std::size_t>(std::get<0>(GetParam()))];
  // Two for three controllers, the others for five.
  for (int sender = std::get<1>(GetParam()) == 3 ? 0 : 1; sender < static_cast<int>(Sender::last);
       sender += 2)
    for (int seed = 60, lost = 0; lost == 0; ++seed) {
      ASSERT_LT(seed, 72) << "lost too seldom";
      SCOPED_TRACE("sender " + std::to_string(sender) + ", seed " + std::to_string(seed));
      SimulatedCluster cluster(static_cast<std::uint64_t>(seed), std::get<1>(GetParam()));
      cluster.close_looks(200, 0.1);
      double behind_until = 0;
      int left = 3;
      std::function<bool(const wire::Json&)> wanted = [&](const wire::Json& write) {
        if (!is_kind(cluster, kind, write)) return false;
        --left;
        cluster.at(cluster.now() + 0.001, [&] {
          if (left > 0) {
            cluster.state_service().delay_next = nullptr;
            cluster.state_service().lose_answer_of_next = wanted;
          }
          switch (static_cast<Sender>(sender)) {
            case Sender::is_behind:
              behind_until = cluster.now() + 3;
              break;
            case Sender::is_refused:
              cluster.refuse(cluster.state_service().lost_answer_of, 1.5);
              break;
            case Sender::ends:
              cluster.crash(cluster.state_service().lost_answer_of, 0.5);
              break;
            default:
              break;
          }
        });
        return true;
      };
      cluster.state_service().lose_answer_of_next = wanted;
      cluster.held_up = [&](const std::string& from, const std::string& to, const std::string&) {
        const bool late = from == "state" && cluster.now() < behind_until &&
                          to == "node-" + std::to_string(cluster.state_service().lost_answer_of);
        return late ? 0.85 : 0.0;
      };
      deploy_policies(cluster);
      for (const double when : {6.0, 14.0, 40.0}) cluster.at(when, [&cluster] { submit_some(cluster); });
      cluster.at(30, [&cluster] { cluster.kill_machines(0.5); });
      for (const double when : {15.0, 40.5})
        cluster.at(when, [&cluster] { cluster.deafen_machines(0.7, 8); });
      cluster.run(70);
      while (cluster.now() < 130 && cluster.state_service().lost_answers == 0) cluster.run(cluster.now() + 1);
      lost = static_cast<int>(cluster.state_service().lost_answers);
      if (lost == 0) continue;  // not on every day is there such a transaction
      // The next leader reads what is stored.
      crash_all(cluster, 1);
      cluster.run(cluster.now() + 5);
      run_until_all_over(cluster, 120);
      cluster.run(cluster.now() + 10);
      EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
      EXPECT_EQ(cluster.leaders(), 1);
      EXPECT_TRUE(all_over(cluster));
    }
}

// In the mass: a part or all of the answers to transactions are lost for 40 s.
class LostAnswers : public testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(Controllers, LostAnswers, testing::Values(3, 5));

TEST_P(LostAnswers, InTheMass) {
  for (const double share : {0.3, 1.0})
    for (int seed = 1; seed <= 3; ++seed) {
      SCOPED_TRACE("share " + std::to_string(share) + ", seed " + std::to_string(seed));
      SimulatedCluster cluster(static_cast<std::uint64_t>(seed), GetParam());
      cluster.run(5);
      submit_some(cluster);
      cluster.run(12 + seed);
      cluster.close_looks(60, 0.1);
      cluster.lost_answers(share, 40);
      for (int i = 1; i < 5; ++i) cluster.at(cluster.now() + 8 * i, [&cluster] { submit_some(cluster); });
      cluster.at(cluster.now() + 9 * seed, [&cluster] { cluster.crash(std::max(0, cluster.leader()), 1); });
      cluster.run(70);
      run_until_all_over(cluster, 170);
      EXPECT_GE(cluster.state_service().committed_late, 5U);
      EXPECT_TRUE(all_over(cluster));
      EXPECT_EQ(cluster.leaders(), 1);
      EXPECT_TRUE(cluster.broken().empty()) << listing(cluster.broken());
    }
}

}  // namespace
}  // namespace bankhill::sim
