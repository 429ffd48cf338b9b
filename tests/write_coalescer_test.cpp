// Tests of the write coalescer alone: order, batches and conditions of writes, and their handling after a
// refusal or an unknown outcome.
#include "state/write_coalescer.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "manual_loop.hpp"
#include "wire/records.hpp"

namespace bankhill::state {
namespace {

using wire::Json;

constexpr double kIntervalS = 3;
constexpr double kRoundS = 15;
constexpr std::size_t kTransactionWrites = 16;
constexpr std::size_t kValueBytes = 4096;

// An owner whose records and answers a test sets directly.
class FakeOwner final : public WriteOwner {
 public:
  bool can_write() const override { return is_leader; }
  wire::KeyRevision expected_revision(const std::string& key) const override { return cache.revision(key); }
  bool is_final(const std::string& key) const override { return final_keys.contains(key); }
  bool has_value(const std::string& key, const std::optional<Json>& data) const override {
    const auto* entry = cache.find(key);
    return data ? entry != nullptr && entry->data == *data : entry == nullptr;
  }
  bool is_urgent(const std::string& key) const override { return urgent_keys.contains(key); }
  WritePreparation prepare(const std::string& key, PendingWrite& write) override {
    const auto rendered_value = rendered.find(key);
    if (rendered_value != rendered.end()) write.data = rendered_value->second;
    if (!withheld_keys.contains(key)) return WritePreparation::ready;
    withheld_callbacks = std::move(write.callbacks);
    return WritePreparation::withheld;
  }
  void apply_committed(const Change& change) override {
    events.push_back("apply " + change.key);
    cache.apply(change);
  }
  void after_commit() override { events.push_back("after"); }

  bool is_leader = true;
  StoreCache cache;
  std::set<std::string> final_keys;
  std::set<std::string> urgent_keys;
  std::set<std::string> withheld_keys;
  std::map<std::string, Json> rendered;
  std::vector<WriteCallback> withheld_callbacks;
  std::vector<std::string> events;
};

class WriteCoalescerTest : public testing::Test {
 protected:
  WriteCoalescerTest() { owner.cache.apply({wire::kTermKey, Json{{"n", 7}}, wire::KeyRevision{70}}); }

  WriteCallback record(const std::string& event) {
    return [this, event] { owner.events.push_back(event); };
  }
  // Advances the time beyond every flush delay, but not beyond the delay of a refused write.
  void pass_flush_delays() { loop.pass(kIntervalS); }
  // Runs the next turn of the loop, which sends the writes that are due at once.
  void run_turn() { loop.pass(0); }

  std::vector<std::string> written_keys() const {
    std::vector<std::string> keys;
    for (const auto& write : commits.back().transaction.writes) keys.push_back(write.key);
    return keys;
  }
  wire::KeyRevision condition(const std::string& key) const {
    for (const auto& candidate : commits.back().transaction.conditions)
      if (candidate.key == key) return candidate.revision;
    ADD_FAILURE() << "no condition on " << key;
    return {};
  }
  void answer_commit(Outcome outcome, std::uint64_t revision = 0) {
    // Copied, because the callback may send the next transaction.
    const auto done = commits.back().done;
    done({outcome, wire::StoreRevision{revision}});
    run_turn();
  }
  void answer_barrier(bool synced) {
    const auto done = read_barriers.back().done;
    done(synced);
    run_turn();
  }
  // Flushes again, as the leader's periodic tick does.
  void retry() {
    writes.flush();
    run_turn();
  }

  test_support::ManualLoop loop;
  FakeOwner owner;
  std::vector<Commit> commits;
  std::vector<ReadBarrier> read_barriers;
  double write_budget = 100;
  WriteCoalescer writes{loop,
                        {kIntervalS, kRoundS, kTransactionWrites, kValueBytes},
                        {[this](Commit message) { commits.push_back(std::move(message)); },
                         [this](ReadBarrier message) { read_barriers.push_back(std::move(message)); },
                         [this] { return write_budget; }},
                        owner};
};

TEST_F(WriteCoalescerTest, CommitsOnConditionOfTheTermAndKeyRevisions) {
  owner.cache.apply({"known", Json("old"), wire::KeyRevision{81}});
  writes.store("known", Json("new"), FlushDelay::none, record("known stored"));
  writes.store("unknown", Json("first"), FlushDelay::none);
  run_turn();
  ASSERT_EQ(commits.size(), 1U);
  EXPECT_EQ(commits[0].transaction.conditions.front().key, wire::kTermKey);
  EXPECT_EQ(condition(wire::kTermKey).value, 70U);
  EXPECT_EQ(condition("known").value, 81U);
  EXPECT_EQ(condition("unknown").value, 0U);
  EXPECT_EQ(written_keys(), (std::vector<std::string>{"known", "unknown"}));
  EXPECT_TRUE(owner.events.empty());

  answer_commit(Outcome::committed, 90);
  EXPECT_EQ(owner.events,
            (std::vector<std::string>{"apply known", "apply unknown", "known stored", "after"}));
  EXPECT_EQ(owner.cache.revision("known").value, 90U);
  EXPECT_EQ(writes.size(), 0U);
}

TEST_F(WriteCoalescerTest, SendsOneTransactionAtATime) {
  writes.store("a", Json(1), FlushDelay::none);
  run_turn();
  writes.store("b", Json(2), FlushDelay::none);
  pass_flush_delays();
  EXPECT_EQ(commits.size(), 1U);
  answer_commit(Outcome::committed, 90);
  ASSERT_EQ(commits.size(), 2U);
  EXPECT_EQ(written_keys(), std::vector<std::string>{"b"});
}

TEST_F(WriteCoalescerTest, ALaterValueReplacesAPendingOne) {
  writes.store("a", Json(1), FlushDelay::garbage, record("first"));
  writes.store("a", Json(2), FlushDelay::exits, record("second"));
  writes.store("a", Json(3), FlushDelay::garbage, record("third"));
  loop.pass(kIntervalS / 6 - 0.01);
  EXPECT_TRUE(commits.empty());
  loop.pass(0.02);  // the earliest of the three due times counts
  ASSERT_EQ(commits.size(), 1U);
  EXPECT_EQ(commits[0].transaction.writes.front().data, Json(3));
  answer_commit(Outcome::committed, 90);
  EXPECT_EQ(owner.events, (std::vector<std::string>{"apply a", "first", "second", "third", "after"}));
}

TEST_F(WriteCoalescerTest, SendsTheMostUrgentWritesFirst) {
  write_budget = 0;  // the writes queue up while the write limit is exhausted
  writes.store("garbage", Json(1), FlushDelay::garbage);
  writes.store("removal", Json(1), FlushDelay::removal);
  writes.store("exits", Json(1), FlushDelay::exits);
  writes.store("machines", Json(1), FlushDelay::machines);
  writes.store("none", Json(1), FlushDelay::none);
  writes.store("awaited", Json(1), FlushDelay::awaited);
  pass_flush_delays();
  EXPECT_TRUE(commits.empty());
  write_budget = 4;
  loop.pass(kIntervalS / 30);
  ASSERT_EQ(commits.size(), 1U);
  EXPECT_EQ(written_keys(), (std::vector<std::string>{"awaited", "none", "machines", "exits"}));
  answer_commit(Outcome::committed, 90);
  ASSERT_EQ(commits.size(), 2U);
  EXPECT_EQ(written_keys(), (std::vector<std::string>{"removal", "garbage"}));
}

TEST_F(WriteCoalescerTest, AnUrgentBatchHoldsAFewOtherWritesWhenTheLimitIsExhausted) {
  write_budget = 0;
  for (int i = 0; i < 6; ++i) writes.store(fmt::format("k{}", i), Json(i), FlushDelay::none);
  run_turn();
  EXPECT_TRUE(commits.empty());
  owner.urgent_keys = {"awaited"};
  writes.store("awaited", Json(1), FlushDelay::awaited);
  run_turn();
  ASSERT_EQ(commits.size(), 1U);
  EXPECT_TRUE(commits[0].urgent);
  EXPECT_EQ(written_keys(), (std::vector<std::string>{"awaited", "k0", "k1", "k2"}));
}

TEST_F(WriteCoalescerTest, ABatchRespectsTheWriteAndByteLimitsOfATransaction) {
  for (std::size_t i = 0; i < kTransactionWrites + 2; ++i)
    writes.store(fmt::format("a{}", 100 + i), Json(1), FlushDelay::none);
  run_turn();
  EXPECT_EQ(written_keys().size(), kTransactionWrites);
  answer_commit(Outcome::committed, 90);
  EXPECT_EQ(written_keys().size(), 2U);
  answer_commit(Outcome::committed, 91);

  const std::string large(20 * 1024, 'x');
  for (const auto* key : {"b1", "b2", "b3"}) writes.store(key, Json(large), FlushDelay::none);
  run_turn();
  EXPECT_EQ(written_keys(), (std::vector<std::string>{"b1", "b2"}));
  answer_commit(Outcome::committed, 92);
  EXPECT_EQ(written_keys(), std::vector<std::string>{"b3"});
}

TEST_F(WriteCoalescerTest, DeletesOnlyExistingKeysAndRequiresTheOthersToBeAbsent) {
  owner.cache.apply({"there", Json(1), wire::KeyRevision{81}});
  writes.store("there", std::nullopt, FlushDelay::none);
  writes.store("absent", std::nullopt, FlushDelay::none);
  run_turn();
  EXPECT_EQ(written_keys(), std::vector<std::string>{"there"});
  EXPECT_FALSE(commits[0].transaction.writes.front().data);
  EXPECT_EQ(condition("absent").value, 0U);
}

TEST_F(WriteCoalescerTest, RendersRecordsWhenTheyAreWritten) {
  writes.store("shared", std::nullopt, FlushDelay::machines);
  owner.rendered["shared"] = Json("newest");
  pass_flush_delays();
  ASSERT_EQ(commits.size(), 1U);
  EXPECT_EQ(commits[0].transaction.writes.front().data, Json("newest"));
}

TEST_F(WriteCoalescerTest, DoesNotWriteWhatTheOwnerWithholds) {
  owner.withheld_keys = {"moving"};
  writes.store("moving", Json(1), FlushDelay::none, record("moved"));
  writes.store("other", Json(1), FlushDelay::none);
  run_turn();
  EXPECT_EQ(written_keys(), std::vector<std::string>{"other"});
  EXPECT_FALSE(writes.contains("moving"));
  EXPECT_EQ(owner.withheld_callbacks.size(), 1U);
}

TEST_F(WriteCoalescerTest, DoesNotWriteAFinalRecordAgain) {
  owner.final_keys = {"job"};
  writes.store("job", Json("done"), FlushDelay::none, record("job over"));
  run_turn();
  EXPECT_TRUE(commits.empty());
  EXPECT_FALSE(writes.contains("job"));
  EXPECT_EQ(owner.events, std::vector<std::string>{"job over"});
}

TEST_F(WriteCoalescerTest, WritesNothingWhileNotLeading) {
  owner.is_leader = false;
  writes.store("a", Json(1), FlushDelay::none);
  pass_flush_delays();
  retry();
  EXPECT_TRUE(commits.empty());
  owner.is_leader = true;
  retry();
  EXPECT_EQ(commits.size(), 1U);
}

TEST_F(WriteCoalescerTest, RetriesAConflictWithTheRevisionReadByTheBarrier) {
  writes.store("a", Json(1), FlushDelay::none, record("stored"));
  run_turn();
  answer_commit(Outcome::conflict);
  ASSERT_EQ(read_barriers.size(), 1U);
  EXPECT_TRUE(read_barriers[0].urgent);
  retry();
  EXPECT_EQ(commits.size(), 1U) << "nothing is sent before the read barrier completes";

  owner.cache.apply({"a", Json("of another"), wire::KeyRevision{85}});
  answer_barrier(true);
  EXPECT_EQ(commits.size(), 1U) << "the owner decides when to retry";
  retry();
  ASSERT_EQ(commits.size(), 2U);
  EXPECT_EQ(condition("a").value, 85U);
  EXPECT_TRUE(owner.events.empty());
  answer_commit(Outcome::committed, 90);
  EXPECT_EQ(owner.events, (std::vector<std::string>{"apply a", "stored", "after"}));
}

TEST_F(WriteCoalescerTest, AnUnknownOutcomeIsSettledIfTheKeyHasTheValue) {
  writes.store("a", Json(1), FlushDelay::none, record("stored"));
  run_turn();
  answer_commit(Outcome::unknown);
  owner.cache.apply({"a", Json(1), wire::KeyRevision{85}});
  answer_barrier(true);
  EXPECT_EQ(owner.events, std::vector<std::string>{"stored"});
  EXPECT_FALSE(writes.contains("a"));
  retry();
  EXPECT_EQ(commits.size(), 1U);
}

TEST_F(WriteCoalescerTest, AnUnknownOutcomeIsRetriedIfTheKeyLacksTheValue) {
  writes.store("a", Json(1), FlushDelay::none, record("stored"));
  run_turn();
  answer_commit(Outcome::unknown);
  answer_barrier(true);
  EXPECT_TRUE(writes.contains("a"));
  EXPECT_TRUE(owner.events.empty());
  retry();
  EXPECT_EQ(commits.size(), 2U);
}

// The key may have had the wanted value before the transaction, so its value does not show a commit.
TEST_F(WriteCoalescerTest, AnUnknownOutcomeIsRetriedIfTheBarrierFails) {
  owner.cache.apply({"a", Json(1), wire::KeyRevision{81}});
  writes.store("a", Json(1), FlushDelay::none, record("stored"));
  run_turn();
  answer_commit(Outcome::unknown);
  answer_barrier(false);
  EXPECT_TRUE(writes.contains("a"));
  EXPECT_TRUE(owner.events.empty());
}

TEST_F(WriteCoalescerTest, AFinalRecordIsSettledEvenIfTheBarrierFails) {
  writes.store("job", Json("done"), FlushDelay::none, record("job over"));
  run_turn();
  answer_commit(Outcome::unknown);
  owner.final_keys = {"job"};
  answer_barrier(false);
  EXPECT_FALSE(writes.contains("job"));
  EXPECT_EQ(owner.events, std::vector<std::string>{"job over"});
}

TEST_F(WriteCoalescerTest, ANewerValueTakesOverTheCallbacksOfAnUnknownOutcome) {
  writes.store("a", Json(1), FlushDelay::none, record("first"));
  run_turn();
  writes.store("a", Json(2), FlushDelay::none, record("second"));
  answer_commit(Outcome::unknown);
  owner.cache.apply({"a", Json(1), wire::KeyRevision{85}});
  answer_barrier(true);
  EXPECT_TRUE(owner.events.empty());
  retry();
  ASSERT_EQ(commits.size(), 2U);
  EXPECT_EQ(commits[1].transaction.writes.front().data, Json(2));
  answer_commit(Outcome::committed, 90);
  EXPECT_EQ(owner.events, (std::vector<std::string>{"apply a", "first", "second", "after"}));
}

TEST_F(WriteCoalescerTest, HalvesARefusedBatchUntilTheMalformedWriteIsAlone) {
  for (int i = 0; i < 8; ++i) writes.store(fmt::format("k{}", i), Json(i), FlushDelay::none);
  run_turn();
  for (const std::size_t expected : {8U, 4U, 2U, 1U}) {
    EXPECT_EQ(written_keys().size(), expected);
    answer_commit(Outcome::invalid);
  }
  EXPECT_TRUE(read_barriers.empty()) << "a refused transaction is known not to have been executed";
  // k0 is too small to be refused for its size, so it is delayed; the others are sent, at first one at a
  // time.
  EXPECT_EQ(writes.batch_limit(), 1U);
  EXPECT_EQ(writes.value_limit(), kValueBytes);
  EXPECT_EQ(written_keys(), std::vector<std::string>{"k1"});
  for (int i = 1; i < 8; ++i) {
    EXPECT_EQ(written_keys(), std::vector<std::string>{fmt::format("k{}", i)});
    answer_commit(Outcome::committed, 90 + static_cast<std::uint64_t>(i));
  }
  const auto commits_before = commits.size();
  loop.pass(4 * kRoundS - 1);
  EXPECT_EQ(commits.size(), commits_before);
  loop.pass(2);
  ASSERT_EQ(commits.size(), commits_before + 1);
  EXPECT_EQ(written_keys(), std::vector<std::string>{"k0"});
}

TEST_F(WriteCoalescerTest, LowersTheValueLimitWhenALargeValueIsRefusedAlone) {
  writes.store("large", Json(std::string(2000, 'x')), FlushDelay::none);
  run_turn();
  answer_commit(Outcome::invalid);
  EXPECT_EQ(writes.value_limit(), 1401U);  // 0.7 of the size of the value with its quotes
  ASSERT_EQ(commits.size(), 2U) << "retried at once, so that the owner makes the value smaller";
}

TEST_F(WriteCoalescerTest, RestoresTheBatchLimitAfterEnoughCommits) {
  writes.store("a", Json(1), FlushDelay::none);
  writes.store("b", Json(1), FlushDelay::none);
  run_turn();
  answer_commit(Outcome::invalid);
  EXPECT_EQ(writes.batch_limit(), 1U);
  for (int i = 0; i < 31; ++i) {
    writes.store(fmt::format("next{}", i), Json(1), FlushDelay::none);
    answer_commit(Outcome::committed, 90 + static_cast<std::uint64_t>(i));
    EXPECT_EQ(writes.batch_limit(), 1U);
  }
  answer_commit(Outcome::committed, 130);
  EXPECT_EQ(writes.batch_limit(), kTransactionWrites);
}

TEST_F(WriteCoalescerTest, IgnoresResultsOfTransactionsSentBeforeClear) {
  writes.store("a", Json(1), FlushDelay::none, record("stored"));
  run_turn();
  writes.clear();
  writes.store("b", Json(1), FlushDelay::none);
  run_turn();
  ASSERT_EQ(commits.size(), 2U) << "the transaction sent before clear() does not block new ones";
  const auto late_answer = commits[0].done;
  late_answer({Outcome::committed, wire::StoreRevision{90}});
  late_answer({Outcome::unknown, {}});
  run_turn();
  EXPECT_TRUE(owner.events.empty());
  EXPECT_TRUE(read_barriers.empty());
  EXPECT_FALSE(writes.contains("a"));
}

}  // namespace
}  // namespace bankhill::state
