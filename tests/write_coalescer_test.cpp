// Pending writes, built alone: order, batches, conditions, and what follows a refusal or an unknown outcome.
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

// Records of which a test says directly how they stand.
class FakeOwner final : public WriteOwner {
 public:
  bool can_write() const override { return leads; }
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

  bool leads = true;
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
  // Long enough for every delay, too short for a refused write that was set aside.
  void pass_delays() { loop.pass(kIntervalS); }
  // The next turn of the loop: what is due at once is sent.
  void turn() { loop.pass(0); }

  std::vector<std::string> written_keys() const {
    std::vector<std::string> keys;
    for (const auto& write : commits.back().transaction.writes) keys.push_back(write.key);
    return keys;
  }
  wire::KeyRevision condition(const std::string& key) const {
    for (const auto& when : commits.back().transaction.conditions)
      if (when.key == key) return when.revision;
    ADD_FAILURE() << "no condition on " << key;
    return {};
  }
  void answer(Outcome outcome, std::uint64_t revision = 0) {
    // A copy: the answer may send the next transaction.
    const auto done = commits.back().done;
    done({outcome, wire::StoreRevision{revision}});
    turn();
  }
  void answer_sync(bool synced) {
    const auto done = syncs.back().done;
    done(synced);
    turn();
  }
  // As the leader's tick does.
  void retry() {
    writes.flush();
    turn();
  }

  test_support::ManualLoop loop;
  FakeOwner owner;
  std::vector<Commit> commits;
  std::vector<ReadBarrier> syncs;
  double spare_writes = 100;
  WriteCoalescer writes{
      loop,
      {kIntervalS, kRoundS, kTransactionWrites, kValueBytes},
      {[this](Commit message) { commits.push_back(std::move(message)); },
       [this](ReadBarrier message) { syncs.push_back(std::move(message)); }, [this] { return spare_writes; }},
      owner};
};

TEST_F(WriteCoalescerTest, CommitsOnTheRevisionOfTheTermAndOfEachKey) {
  owner.cache.apply({"known", Json("old"), wire::KeyRevision{81}});
  writes.store("known", Json("new"), FlushDelay::none, record("known stored"));
  writes.store("unknown", Json("first"), FlushDelay::none);
  turn();
  ASSERT_EQ(commits.size(), 1U);
  EXPECT_EQ(commits[0].transaction.conditions.front().key, wire::kTermKey);
  EXPECT_EQ(condition(wire::kTermKey).value, 70U);
  EXPECT_EQ(condition("known").value, 81U);
  EXPECT_EQ(condition("unknown").value, 0U);
  EXPECT_EQ(written_keys(), (std::vector<std::string>{"known", "unknown"}));
  EXPECT_TRUE(owner.events.empty());

  answer(Outcome::committed, 90);
  EXPECT_EQ(owner.events,
            (std::vector<std::string>{"apply known", "apply unknown", "known stored", "after"}));
  EXPECT_EQ(owner.cache.revision("known").value, 90U);
  EXPECT_EQ(writes.size(), 0U);
}

TEST_F(WriteCoalescerTest, SendsOneTransactionAtATime) {
  writes.store("a", Json(1), FlushDelay::none);
  turn();
  writes.store("b", Json(2), FlushDelay::none);
  pass_delays();
  EXPECT_EQ(commits.size(), 1U);
  answer(Outcome::committed, 90);
  ASSERT_EQ(commits.size(), 2U);
  EXPECT_EQ(written_keys(), std::vector<std::string>{"b"});
}

TEST_F(WriteCoalescerTest, ALaterValueReplacesTheOneThatWaits) {
  writes.store("a", Json(1), FlushDelay::garbage, record("first"));
  writes.store("a", Json(2), FlushDelay::exits, record("second"));
  writes.store("a", Json(3), FlushDelay::garbage, record("third"));
  loop.pass(kIntervalS / 6 - 0.01);
  EXPECT_TRUE(commits.empty());
  loop.pass(0.02);  // the earliest of the three counts
  ASSERT_EQ(commits.size(), 1U);
  EXPECT_EQ(commits[0].transaction.writes.front().data, Json(3));
  answer(Outcome::committed, 90);
  EXPECT_EQ(owner.events, (std::vector<std::string>{"apply a", "first", "second", "third", "after"}));
}

TEST_F(WriteCoalescerTest, TheMostUrgentGoFirst) {
  spare_writes = 0;  // they gather while the limit is used up
  writes.store("garbage", Json(1), FlushDelay::garbage);
  writes.store("removal", Json(1), FlushDelay::removal);
  writes.store("exits", Json(1), FlushDelay::exits);
  writes.store("machines", Json(1), FlushDelay::machines);
  writes.store("none", Json(1), FlushDelay::none);
  writes.store("awaited", Json(1), FlushDelay::awaited);
  pass_delays();
  EXPECT_TRUE(commits.empty());
  spare_writes = 4;
  loop.pass(kIntervalS / 30);
  ASSERT_EQ(commits.size(), 1U);
  EXPECT_EQ(written_keys(), (std::vector<std::string>{"awaited", "none", "machines", "exits"}));
  answer(Outcome::committed, 90);
  ASSERT_EQ(commits.size(), 2U);
  EXPECT_EQ(written_keys(), (std::vector<std::string>{"removal", "garbage"}));
}

TEST_F(WriteCoalescerTest, AnUrgentKeyTakesAFewOthersAlongThoughTheLimitIsUsedUp) {
  spare_writes = 0;
  for (int i = 0; i < 6; ++i) writes.store(fmt::format("k{}", i), Json(i), FlushDelay::none);
  turn();
  EXPECT_TRUE(commits.empty());
  owner.urgent_keys = {"awaited"};
  writes.store("awaited", Json(1), FlushDelay::awaited);
  turn();
  ASSERT_EQ(commits.size(), 1U);
  EXPECT_TRUE(commits[0].urgent);
  EXPECT_EQ(written_keys(), (std::vector<std::string>{"awaited", "k0", "k1", "k2"}));
}

TEST_F(WriteCoalescerTest, ABatchKeepsToTheWritesAndBytesOfATransaction) {
  for (std::size_t i = 0; i < kTransactionWrites + 2; ++i)
    writes.store(fmt::format("a{}", 100 + i), Json(1), FlushDelay::none);
  turn();
  EXPECT_EQ(written_keys().size(), kTransactionWrites);
  answer(Outcome::committed, 90);
  EXPECT_EQ(written_keys().size(), 2U);
  answer(Outcome::committed, 91);

  const std::string large(20 * 1024, 'x');
  for (const auto* key : {"b1", "b2", "b3"}) writes.store(key, Json(large), FlushDelay::none);
  turn();
  EXPECT_EQ(written_keys(), (std::vector<std::string>{"b1", "b2"}));
  answer(Outcome::committed, 92);
  EXPECT_EQ(written_keys(), std::vector<std::string>{"b3"});
}

TEST_F(WriteCoalescerTest, DeletesOnlyWhatExistsAndKeepsTheConditionThatTheRestDoesNot) {
  owner.cache.apply({"there", Json(1), wire::KeyRevision{81}});
  writes.store("there", std::nullopt, FlushDelay::none);
  writes.store("absent", std::nullopt, FlushDelay::none);
  turn();
  EXPECT_EQ(written_keys(), std::vector<std::string>{"there"});
  EXPECT_FALSE(commits[0].transaction.writes.front().data);
  EXPECT_EQ(condition("absent").value, 0U);
}

TEST_F(WriteCoalescerTest, RendersAtTheTimeOfTheWrite) {
  writes.store("shared", std::nullopt, FlushDelay::machines);
  owner.rendered["shared"] = Json("newest");
  pass_delays();
  ASSERT_EQ(commits.size(), 1U);
  EXPECT_EQ(commits[0].transaction.writes.front().data, Json("newest"));
}

TEST_F(WriteCoalescerTest, WhatItsOwnerWithholdsIsNotWritten) {
  owner.withheld_keys = {"moving"};
  writes.store("moving", Json(1), FlushDelay::none, record("moved"));
  writes.store("other", Json(1), FlushDelay::none);
  turn();
  EXPECT_EQ(written_keys(), std::vector<std::string>{"other"});
  EXPECT_FALSE(writes.contains("moving"));
  EXPECT_EQ(owner.withheld_callbacks.size(), 1U);
}

TEST_F(WriteCoalescerTest, AFinalRecordIsNotWrittenAgain) {
  owner.final_keys = {"job"};
  writes.store("job", Json("done"), FlushDelay::none, record("job over"));
  turn();
  EXPECT_TRUE(commits.empty());
  EXPECT_FALSE(writes.contains("job"));
  EXPECT_EQ(owner.events, std::vector<std::string>{"job over"});
}

TEST_F(WriteCoalescerTest, WritesNothingWhileItIsNotTheLeader) {
  owner.leads = false;
  writes.store("a", Json(1), FlushDelay::none);
  pass_delays();
  retry();
  EXPECT_TRUE(commits.empty());
  owner.leads = true;
  retry();
  EXPECT_EQ(commits.size(), 1U);
}

TEST_F(WriteCoalescerTest, AConflictIsTriedAgainOnTheRevisionThatTheBarrierShowed) {
  writes.store("a", Json(1), FlushDelay::none, record("stored"));
  turn();
  answer(Outcome::conflict);
  ASSERT_EQ(syncs.size(), 1U);
  EXPECT_TRUE(syncs[0].urgent);
  retry();
  EXPECT_EQ(commits.size(), 1U) << "nothing is sent before the barrier's answer";

  owner.cache.apply({"a", Json("of another"), wire::KeyRevision{85}});
  answer_sync(true);
  EXPECT_EQ(commits.size(), 1U) << "the owner decides when to try again";
  retry();
  ASSERT_EQ(commits.size(), 2U);
  EXPECT_EQ(condition("a").value, 85U);
  EXPECT_TRUE(owner.events.empty());
  answer(Outcome::committed, 90);
  EXPECT_EQ(owner.events, (std::vector<std::string>{"apply a", "stored", "after"}));
}

TEST_F(WriteCoalescerTest, AnUnknownOutcomeThatTheKeyShowsAsDoneIsSettled) {
  writes.store("a", Json(1), FlushDelay::none, record("stored"));
  turn();
  answer(Outcome::unknown);
  owner.cache.apply({"a", Json(1), wire::KeyRevision{85}});
  answer_sync(true);
  EXPECT_EQ(owner.events, std::vector<std::string>{"stored"});
  EXPECT_FALSE(writes.contains("a"));
  retry();
  EXPECT_EQ(commits.size(), 1U);
}

TEST_F(WriteCoalescerTest, AnUnknownOutcomeThatTheKeyShowsAsNotDoneIsTriedAgain) {
  writes.store("a", Json(1), FlushDelay::none, record("stored"));
  turn();
  answer(Outcome::unknown);
  answer_sync(true);
  EXPECT_TRUE(writes.contains("a"));
  EXPECT_TRUE(owner.events.empty());
  retry();
  EXPECT_EQ(commits.size(), 2U);
}

// That the key holds what is wanted may be how it was before the transaction.
TEST_F(WriteCoalescerTest, WithoutABarrierTheKeysValueProvesNothing) {
  owner.cache.apply({"a", Json(1), wire::KeyRevision{81}});
  writes.store("a", Json(1), FlushDelay::none, record("stored"));
  turn();
  answer(Outcome::unknown);
  answer_sync(false);
  EXPECT_TRUE(writes.contains("a"));
  EXPECT_TRUE(owner.events.empty());
}

TEST_F(WriteCoalescerTest, AFinalRecordIsSettledWithoutABarrierToo) {
  writes.store("job", Json("done"), FlushDelay::none, record("job over"));
  turn();
  answer(Outcome::unknown);
  owner.final_keys = {"job"};
  answer_sync(false);
  EXPECT_FALSE(writes.contains("job"));
  EXPECT_EQ(owner.events, std::vector<std::string>{"job over"});
}

TEST_F(WriteCoalescerTest, ANewerValueTakesOverTheCallbacksOfOneWhoseOutcomeIsUnknown) {
  writes.store("a", Json(1), FlushDelay::none, record("first"));
  turn();
  writes.store("a", Json(2), FlushDelay::none, record("second"));
  answer(Outcome::unknown);
  owner.cache.apply({"a", Json(1), wire::KeyRevision{85}});
  answer_sync(true);
  EXPECT_TRUE(owner.events.empty());
  retry();
  ASSERT_EQ(commits.size(), 2U);
  EXPECT_EQ(commits[1].transaction.writes.front().data, Json(2));
  answer(Outcome::committed, 90);
  EXPECT_EQ(owner.events, (std::vector<std::string>{"apply a", "first", "second", "after"}));
}

TEST_F(WriteCoalescerTest, AMalformedBatchIsHalvedUntilTheWriteThatIsNotTakenStandsAlone) {
  for (int i = 0; i < 8; ++i) writes.store(fmt::format("k{}", i), Json(i), FlushDelay::none);
  turn();
  for (const std::size_t expected : {8U, 4U, 2U, 1U}) {
    EXPECT_EQ(written_keys().size(), expected);
    answer(Outcome::invalid);
  }
  EXPECT_TRUE(syncs.empty()) << "it is known not to be executed";
  // Too small to be refused for its size, k0 is set aside and the others go on, one at a time for a while.
  EXPECT_EQ(writes.batch_limit(), 1U);
  EXPECT_EQ(writes.value_limit(), kValueBytes);
  EXPECT_EQ(written_keys(), std::vector<std::string>{"k1"});
  for (int i = 1; i < 8; ++i) {
    EXPECT_EQ(written_keys(), std::vector<std::string>{fmt::format("k{}", i)});
    answer(Outcome::committed, 90 + static_cast<std::uint64_t>(i));
  }
  const auto sent = commits.size();
  loop.pass(4 * kRoundS - 1);
  EXPECT_EQ(commits.size(), sent);
  loop.pass(2);
  ASSERT_EQ(commits.size(), sent + 1);
  EXPECT_EQ(written_keys(), std::vector<std::string>{"k0"});
}

TEST_F(WriteCoalescerTest, TheValueLimitShrinksBelowALargeValueThatIsRefusedAlone) {
  writes.store("large", Json(std::string(2000, 'x')), FlushDelay::none);
  turn();
  answer(Outcome::invalid);
  EXPECT_EQ(writes.value_limit(), 1401U);  // 0.7 of the value with its quotes
  ASSERT_EQ(commits.size(), 2U) << "tried again at once, for its owner to make it smaller";
}

TEST_F(WriteCoalescerTest, LargeTransactionsAreTriedAgainAfterEnoughThatWereTaken) {
  writes.store("a", Json(1), FlushDelay::none);
  writes.store("b", Json(1), FlushDelay::none);
  turn();
  answer(Outcome::invalid);
  EXPECT_EQ(writes.batch_limit(), 1U);
  for (int i = 0; i < 31; ++i) {
    writes.store(fmt::format("next{}", i), Json(1), FlushDelay::none);
    answer(Outcome::committed, 90 + static_cast<std::uint64_t>(i));
    EXPECT_EQ(writes.batch_limit(), 1U);
  }
  answer(Outcome::committed, 130);
  EXPECT_EQ(writes.batch_limit(), kTransactionWrites);
}

TEST_F(WriteCoalescerTest, AClearedCoalescerIgnoresWhatItSentBefore) {
  writes.store("a", Json(1), FlushDelay::none, record("stored"));
  turn();
  writes.clear();
  writes.store("b", Json(1), FlushDelay::none);
  turn();
  ASSERT_EQ(commits.size(), 2U) << "the transaction of before holds up nothing";
  const auto late_answer = commits[0].done;
  late_answer({Outcome::committed, wire::StoreRevision{90}});
  late_answer({Outcome::unknown, {}});
  turn();
  EXPECT_TRUE(owner.events.empty());
  EXPECT_TRUE(syncs.empty());
  EXPECT_FALSE(writes.contains("a"));
}

}  // namespace
}  // namespace bankhill::state
