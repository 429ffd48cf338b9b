// Records that many machines or tasks share, over a write coalescer and nothing else.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "manual_loop.hpp"
#include "storage/completion_bitmaps.hpp"
#include "storage/machine_groups.hpp"

namespace bankhill::storage {
namespace {

using state::Commit;
using state::Outcome;
using wire::Json;

constexpr std::uint64_t kTerm = 7;
constexpr std::size_t kValueBytes = 4096;

class StorageTest : public testing::Test, private state::WriteOwner {
 protected:
  StorageTest() { numbers.begin_term(kTerm); }

  // Lets every delay pass and answers what is sent, until nothing is left to send.
  void commit_all() {
    loop.pass(kIntervalS);
    while (answered < commits.size()) commit_next();
  }
  // Answers the transaction under way; the changes show in `stored`.
  void commit_next() {
    ASSERT_LT(answered, commits.size());
    const auto commit = commits[answered++];
    commit.done({Outcome::committed, wire::StoreRevision{++revision}});
    loop.pass(kIntervalS);
  }
  std::vector<std::string> keys_of_next() const {
    std::vector<std::string> keys;
    for (const auto& write : commits.at(answered).transaction.writes) keys.push_back(write.key);
    return keys;
  }
  // Refuses a large write alone, so that values may take less from then on.
  void shrink_value_limit() {
    const std::string key = "/test/large";
    writes.store(key, Json(std::string(kValueBytes / 3, 'x')), state::FlushDelay::awaited);
    loop.pass(0);
    ASSERT_EQ(keys_of_next(), std::vector<std::string>{key});
    const auto refused = commits[answered++];
    refused.done({Outcome::invalid, {}});
    writes.store(key, std::nullopt, state::FlushDelay::awaited);
    loop.pass(0);
    commit_all();
    ASSERT_LT(writes.value_limit(), kValueBytes / 3);
  }

  static constexpr double kIntervalS = 3;

  model::Machine& machine(const std::string& name, const std::string& zone = "a") {
    auto& made = *fleet.add({name}).first;
    made.address = "10.0.0.1:9000";
    made.machine_type = "g8";
    made.zone = zone;
    return made;
  }
  model::Job& job(const std::string& name, std::uint32_t tasks) {
    auto& made = jobs[wire::JobId{name}];
    made.spec.id = wire::JobId{name};
    made.spec.task_count = tasks;
    made.reset_task_progress();
    return made;
  }
  std::set<std::string> stored_machines(const std::string& group) const {
    std::set<std::string> machines;
    const auto* entry = stored.find(wire::machine_group_key(group));
    if (entry == nullptr) return machines;
    for (const auto& [id, address] : wire::parse_machine_group(group, entry->data).machines)
      machines.insert(id.value);
    return machines;
  }
  wire::CompletionBucket stored_chunks(std::uint64_t number) const {
    const auto* entry = stored.find(wire::completion_key(number));
    return entry == nullptr ? wire::CompletionBucket{}
                            : wire::parse_completion_bucket(std::to_string(number), entry->data);
  }
  state::WriteCallback count(int& calls) {
    return [&calls] { ++calls; };
  }

  test_support::ManualLoop loop;
  state::StoreCache stored;
  std::vector<Commit> commits;
  std::size_t answered = 0;
  std::uint64_t revision = 100;
  model::Fleet fleet;
  std::map<wire::JobId, model::Job> jobs;
  runtime::Log log = runtime::make_log("storage", "off");
  RecordNumbers numbers;
  state::WriteCoalescer writes{loop,
                               {kIntervalS, 15, 16, kValueBytes},
                               {[this](Commit message) { commits.push_back(std::move(message)); },
                                [](const state::ReadBarrier&) {}, [] { return 100.0; }},
                               *this};
  MachineGroups groups{writes, fleet, numbers, log};
  CompletionBitmaps bitmaps{writes, [this](const wire::JobId& id) { return find_live(id); }, numbers, log};

 private:
  model::Job* find_live(const wire::JobId& id) {
    const auto found = jobs.find(id);
    return found == jobs.end() || !found->second.is_live() ? nullptr : &found->second;
  }

  bool can_write() const override { return true; }
  wire::KeyRevision expected_revision(const std::string& key) const override { return stored.revision(key); }
  bool is_final(const std::string&) const override { return false; }
  bool has_value(const std::string&, const std::optional<Json>&) const override { return false; }
  bool is_urgent(const std::string&) const override { return false; }
  state::WritePreparation prepare(const std::string& key, state::PendingWrite& write) override {
    if (const auto group = MachineGroups::name_of(key)) return groups.prepare(*group, write);
    if (const auto number = CompletionBitmaps::number_of(key)) return bitmaps.prepare(*number, write);
    return state::WritePreparation::ready;
  }
  void apply_committed(const state::Change& change) override { stored.apply(change); }
  void after_commit() override {}
};

TEST_F(StorageTest, RecordNumbersTellTermsApart) {
  const auto number = numbers.next();
  EXPECT_EQ(RecordNumbers::term_of(number), kTerm);
  EXPECT_EQ(numbers.next(), number + 1);
  numbers.begin_term(kTerm + 1);
  EXPECT_GT(numbers.next(), number + 1);
  EXPECT_EQ(numbers.next_in_term(), 2U);
}

TEST_F(StorageTest, MachinesOfOnePoolShareARecord) {
  int recorded = 0;
  groups.add(machine("m1"), count(recorded));
  groups.add(machine("m2"), count(recorded));
  groups.add(machine("other-zone", "b"), count(recorded));
  EXPECT_EQ(fleet.find({"m1"})->record_group, fleet.find({"m2"})->record_group);
  EXPECT_NE(fleet.find({"m1"})->record_group, fleet.find({"other-zone"})->record_group);
  EXPECT_EQ(recorded, 0);
  commit_all();
  EXPECT_EQ(recorded, 3);
  EXPECT_EQ(commits.size(), 1U);
  EXPECT_EQ(stored_machines("7-1"), (std::set<std::string>{"m1", "m2"}));
  EXPECT_EQ(stored_machines("7-2"), std::set<std::string>{"other-zone"});
}

TEST_F(StorageTest, AFullRecordTakesNoMoreMachines) {
  const auto bytes = wire::group_bytes({"m100"}, "10.0.0.1:9000");
  const auto fitting = kValueBytes / 2 / bytes;
  for (std::size_t i = 0; i <= fitting; ++i) groups.add(machine(fmt::format("m{}", 100 + i)), {});
  commit_all();
  EXPECT_EQ(stored_machines("7-1").size(), fitting);
  EXPECT_EQ(stored_machines("7-2").size(), 1U);
}

TEST_F(StorageTest, AMachineThatIsRemovedLeavesItsRecordAndTheLastOneDeletesIt) {
  for (const auto* name : {"m1", "m2"}) groups.add(machine(name), {});
  commit_all();
  groups.remove(*fleet.find({"m1"}));
  fleet.erase({"m1"});
  commit_all();
  EXPECT_EQ(stored_machines("7-1"), std::set<std::string>{"m2"});
  EXPECT_FALSE(groups.is_dropped("bankhill"));
  EXPECT_FALSE(groups.is_dropped(wire::machine_group_key("7-1")));
  groups.remove(*fleet.find({"m2"}));
  fleet.erase({"m2"});
  EXPECT_TRUE(groups.is_dropped(wire::machine_group_key("7-1")));
  EXPECT_FALSE(groups.is_dropped(wire::machine_group_key("6-1"))) << "an earlier leader's";
  commit_all();
  EXPECT_EQ(stored.find(wire::machine_group_key("7-1")), nullptr);
}

TEST_F(StorageTest, AnAdoptedRecordTakesMachinesOnceOneLeftUnlessItIsFixed) {
  const model::Pool pool{"g8", "a", false};
  groups.adopt("6-1", pool, false);
  groups.adopt("m9", pool, true);
  groups.adopt_machine("6-1", machine("m1"));
  groups.adopt_machine("6-1", machine("m2"));
  groups.adopt_machine("m9", machine("m9"));
  groups.adopt_machine("m9", machine("m10"));
  groups.remove(*fleet.find({"m9"}));
  groups.add(machine("m11"), {});
  EXPECT_EQ(fleet.find({"m11"})->record_group, "7-1") << "neither has room yet, or ever";
  groups.remove(*fleet.find({"m1"}));
  fleet.erase({"m1"});
  fleet.erase({"m9"});
  groups.add(machine("m3"), {});
  EXPECT_EQ(fleet.find({"m3"})->record_group, "6-1");
  commit_all();
  EXPECT_EQ(stored_machines("6-1"), (std::set<std::string>{"m2", "m3"}));
}

TEST_F(StorageTest, MachinesBeyondASmallerLimitAreWrittenElsewhereBeforeTheyLeave) {
  std::set<std::string> all;
  for (int i = 100; i < 140; ++i) {
    groups.add(machine(fmt::format("m{}", i)), {});
    all.insert(fmt::format("m{}", i));
  }
  commit_all();
  ASSERT_EQ(stored_machines("7-1"), all);
  shrink_value_limit();

  int removed = 0;
  all.erase("m100");
  groups.remove(*fleet.find({"m100"}));
  fleet.erase({"m100"});
  loop.pass(kIntervalS);
  writes.store(wire::machine_group_key("7-1"), std::nullopt, state::FlushDelay::none, count(removed));
  // What moves is written under other keys, one a transaction since the refusal. The record itself is
  // withheld until the last of them is committed.
  std::set<std::string> moved;
  ASSERT_EQ(writes.batch_limit(), 1U);
  ASSERT_NE(keys_of_next().front(), wire::machine_group_key("7-1"));
  while (keys_of_next().front() != wire::machine_group_key("7-1")) {
    const auto group = MachineGroups::name_of(keys_of_next().front());
    commit_next();
    moved.merge(stored_machines(*group));
    EXPECT_EQ(removed, 0);
    EXPECT_EQ(stored_machines("7-1").size(), 40U);
    ASSERT_LT(answered, commits.size());
  }
  ASSERT_FALSE(moved.empty());

  commit_all();
  EXPECT_EQ(removed, 1);
  const auto left = stored_machines("7-1");
  std::set<std::string> together = moved;
  for (const auto& name : left) EXPECT_TRUE(together.insert(name).second) << name << " is recorded twice";
  for (const auto& name : all) EXPECT_TRUE(together.contains(name)) << name << " is not recorded";
  EXPECT_EQ(together.size(), all.size());
  for (const auto& name : left) EXPECT_EQ(fleet.find({name})->record_group, "7-1");
  for (const auto& name : moved) EXPECT_NE(fleet.find({name})->record_group, "7-1");
  EXPECT_LE(wire::stored_bytes(stored.find(wire::machine_group_key("7-1"))->data), writes.value_limit());
}

TEST_F(StorageTest, ChunksOfManyJobsShareARecord) {
  auto& first = job("job-1", 10);
  auto& second = job("job-2", wire::kCompletionChunkTasks + 1);
  first.set_task_progress(0, model::kTaskDone);
  second.set_task_progress(wire::kCompletionChunkTasks, model::kTaskDone);
  const auto number = bitmaps.ensure_record(first, 0);
  EXPECT_EQ(bitmaps.ensure_record(first, 0), number);
  EXPECT_EQ(bitmaps.ensure_record(second, 1), number);
  EXPECT_EQ(RecordNumbers::term_of(number), kTerm);
  int calls = 0;
  bitmaps.store(number, state::FlushDelay::exits, count(calls));
  first.set_task_progress(3, model::kTaskDone);  // rendered when it is written
  commit_all();
  EXPECT_EQ(calls, 1);
  const auto chunks = stored_chunks(number);
  ASSERT_EQ(chunks.size(), 2U);
  EXPECT_EQ(wire::parse_completion_hex(chunks.at({wire::JobId{"job-1"}, 0}), 0),
            (std::vector<std::uint32_t>{0, 3}));
  EXPECT_EQ(wire::parse_completion_hex(chunks.at({wire::JobId{"job-2"}, 1}), 1),
            std::vector<std::uint32_t>{wire::kCompletionChunkTasks});
}

TEST_F(StorageTest, AFinalJobLeavesItsRecordsAndTheLastOneDeletesThem) {
  auto& first = job("job-1", 10);
  auto& second = job("job-2", 10);
  const auto number = bitmaps.ensure_record(first, 0);
  bitmaps.ensure_record(second, 0);
  bitmaps.store(number, state::FlushDelay::exits);
  commit_all();
  ASSERT_EQ(stored_chunks(number).size(), 2U);
  first.state = wire::JobState::done;
  bitmaps.remove(first);
  EXPECT_TRUE(first.completion_buckets.empty());
  EXPECT_EQ(writes.size(), 0U) << "it is written with the next that ends there";
  second.state = wire::JobState::done;
  bitmaps.remove(second);
  EXPECT_TRUE(bitmaps.is_dropped(wire::completion_key(number)));
  commit_all();
  EXPECT_EQ(stored.find(wire::completion_key(number)), nullptr);
}

TEST_F(StorageTest, AnAdoptedChunkStaysWhereItWas) {
  auto& adopted = job("job-1", 10);
  const std::uint64_t earlier = (6U << 20) + 3;
  bitmaps.adopt(earlier, adopted, 0);
  EXPECT_TRUE(bitmaps.contains(earlier));
  EXPECT_EQ(bitmaps.ensure_record(adopted, 0), earlier);
  EXPECT_FALSE(bitmaps.is_dropped(wire::completion_key(earlier)));
  EXPECT_FALSE(bitmaps.is_dropped(wire::kCompletionKeyPrefix + "not-a-number"));
}

TEST_F(StorageTest, KeysOfOtherRecordsAndOfTheFirstVersionAreNotTheirs) {
  EXPECT_FALSE(MachineGroups::name_of(wire::kJobKeyPrefix + "job-1"));
  EXPECT_EQ(MachineGroups::name_of(wire::machine_group_key("7-1")), "7-1");
  EXPECT_FALSE(CompletionBitmaps::number_of(wire::kJobKeyPrefix + "job-1"));
  EXPECT_FALSE(CompletionBitmaps::number_of(wire::kCompletionKeyPrefix + "job-1/0"));
  EXPECT_EQ(CompletionBitmaps::number_of(wire::completion_key(12)), 12U);
}

TEST_F(StorageTest, ChunksBeyondASmallerLimitAreWrittenElsewhereBeforeTheyLeave) {
  constexpr std::uint32_t kDoneTask = 5;
  std::vector<model::Job*> live;
  std::uint64_t number = 0;
  for (int i = 0; i < 8; ++i) {
    auto& made = job(fmt::format("job-{}", i), 600);
    made.set_task_progress(kDoneTask, model::kTaskDone);
    number = bitmaps.ensure_record(made, 0);
    live.push_back(&made);
  }
  auto& ended = job("job-9", 600);
  ASSERT_EQ(bitmaps.ensure_record(ended, 0), number);
  bitmaps.store(number, state::FlushDelay::exits);
  commit_all();
  ASSERT_EQ(stored_chunks(number).size(), 9U);
  shrink_value_limit();

  ended.state = wire::JobState::done;  // takes no room elsewhere
  int calls = 0;
  bitmaps.store(number, state::FlushDelay::exits, count(calls));
  loop.pass(kIntervalS);
  // What moves is written under other keys, the record itself is withheld meanwhile.
  const auto targets = keys_of_next();
  ASSERT_FALSE(targets.empty());
  for (const auto& key : targets) EXPECT_NE(key, wire::completion_key(number));
  commit_next();
  EXPECT_EQ(calls, 0);
  EXPECT_EQ(stored_chunks(number).size(), 9U);

  commit_all();
  EXPECT_EQ(calls, 1);
  std::size_t moved = 0;
  for (const auto* each : live) {
    const wire::ChunkId id{each->spec.id, 0};
    const auto home = each->completion_buckets.at(0);
    const auto chunks = stored_chunks(home);
    ASSERT_TRUE(chunks.contains(id));
    EXPECT_EQ(wire::parse_completion_hex(chunks.at(id), 0), std::vector<std::uint32_t>{kDoneTask});
    EXPECT_EQ(stored_chunks(number).contains(id), home == number);
    if (home != number) ++moved;
  }
  EXPECT_GT(moved, 0U);
  EXPECT_LT(moved, live.size());
  EXPECT_FALSE(stored_chunks(number).contains({ended.spec.id, 0}));
}

TEST_F(StorageTest, AMoveThatIsUnderWayWhenTheTermEndsIsForgotten) {
  for (int i = 100; i < 140; ++i) groups.add(machine(fmt::format("m{}", i)), {});
  commit_all();
  shrink_value_limit();
  groups.remove(*fleet.find({"m100"}));
  fleet.erase({"m100"});
  loop.pass(kIntervalS);
  groups.clear();
  writes.clear();
  const auto late = commits[answered++];
  late.done({Outcome::committed, wire::StoreRevision{++revision}});
  loop.pass(kIntervalS);
  EXPECT_EQ(answered, commits.size());
  EXPECT_EQ(writes.size(), 0U);
}

}  // namespace
}  // namespace bankhill::storage
