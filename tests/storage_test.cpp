// Tests of the records that many machines or tasks share, with only a write coalescer below them.
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

  // Advances the time beyond every flush delay and commits transactions until no more are sent.
  void commit_all() {
    loop.pass(kIntervalS);
    while (answered_count < commits.size()) commit_next();
  }
  // Commits the transaction in flight; its changes are applied to `stored`.
  void commit_next() {
    ASSERT_LT(answered_count, commits.size());
    const auto commit = commits[answered_count++];
    commit.done({Outcome::committed, wire::StoreRevision{++revision}});
    loop.pass(kIntervalS);
  }
  std::vector<std::string> keys_of_next() const {
    std::vector<std::string> keys;
    for (const auto& write : commits.at(answered_count).transaction.writes) keys.push_back(write.key);
    return keys;
  }
  // Refuses a large write that is alone in its transaction, which lowers the limit on the size of values.
  void shrink_value_limit() {
    const std::string key = "/test/large";
    writes.store(key, Json(std::string(kValueBytes / 3, 'x')), state::FlushDelay::awaited);
    loop.pass(0);
    ASSERT_EQ(keys_of_next(), std::vector<std::string>{key});
    const auto refused_commit = commits[answered_count++];
    refused_commit.done({Outcome::invalid, {}});
    writes.store(key, std::nullopt, state::FlushDelay::awaited);
    loop.pass(0);
    commit_all();
    ASSERT_LT(writes.value_limit(), kValueBytes / 3);
  }

  static constexpr double kIntervalS = 3;

  model::Machine& machine(const std::string& name, const std::string& zone = "a") {
    auto& created = *fleet.add({name}).first;
    created.address = "10.0.0.1:9000";
    created.machine_type = "g8";
    created.zone = zone;
    return created;
  }
  model::Job& job(const std::string& name, std::uint32_t tasks) {
    auto& created = jobs[wire::JobId{name}];
    created.spec.id = wire::JobId{name};
    created.spec.task_count = tasks;
    created.reset_task_progress();
    return created;
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
  state::WriteCallback count_calls(int& call_count) {
    return [&call_count] { ++call_count; };
  }

  test_support::ManualLoop loop;
  state::StoreCache stored;
  std::vector<Commit> commits;
  std::size_t answered_count = 0;
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

TEST_F(StorageTest, RecordNumbersAreUniqueAcrossTerms) {
  const auto number = numbers.next();
  EXPECT_EQ(RecordNumbers::term_of(number), kTerm);
  EXPECT_EQ(numbers.next(), number + 1);
  numbers.begin_term(kTerm + 1);
  EXPECT_GT(numbers.next(), number + 1);
  EXPECT_EQ(numbers.next_in_term(), 2U);
}

TEST_F(StorageTest, MachinesOfOnePoolShareARecord) {
  int recorded = 0;
  groups.add(machine("m1"), count_calls(recorded));
  groups.add(machine("m2"), count_calls(recorded));
  groups.add(machine("other-zone", "b"), count_calls(recorded));
  EXPECT_EQ(fleet.find({"m1"})->record_group, fleet.find({"m2"})->record_group);
  EXPECT_NE(fleet.find({"m1"})->record_group, fleet.find({"other-zone"})->record_group);
  EXPECT_EQ(recorded, 0);
  commit_all();
  EXPECT_EQ(recorded, 3);
  EXPECT_EQ(commits.size(), 1U);
  EXPECT_EQ(stored_machines("7-1"), (std::set<std::string>{"m1", "m2"}));
  EXPECT_EQ(stored_machines("7-2"), std::set<std::string>{"other-zone"});
}

TEST_F(StorageTest, AFullRecordAcceptsNoMoreMachines) {
  const auto bytes = wire::group_bytes({"m100"}, "10.0.0.1:9000");
  const auto fitting_count = kValueBytes / 2 / bytes;
  for (std::size_t i = 0; i <= fitting_count; ++i) groups.add(machine(fmt::format("m{}", 100 + i)), {});
  commit_all();
  EXPECT_EQ(stored_machines("7-1").size(), fitting_count);
  EXPECT_EQ(stored_machines("7-2").size(), 1U);
}

TEST_F(StorageTest, RemovingTheLastMachineOfARecordDeletesIt) {
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
  EXPECT_FALSE(groups.is_dropped(wire::machine_group_key("6-1")))
      << "the record belongs to an earlier leader";
  commit_all();
  EXPECT_EQ(stored.find(wire::machine_group_key("7-1")), nullptr);
}

TEST_F(StorageTest, AnAdoptedRecordAcceptsMachinesAfterARemovalUnlessClosed) {
  const model::Pool pool{"g8", "a", false};
  groups.adopt("6-1", pool, false);
  groups.adopt("m9", pool, true);
  groups.adopt_machine("6-1", machine("m1"));
  groups.adopt_machine("6-1", machine("m2"));
  groups.adopt_machine("m9", machine("m9"));
  groups.adopt_machine("m9", machine("m10"));
  groups.remove(*fleet.find({"m9"}));
  groups.add(machine("m11"), {});
  EXPECT_EQ(fleet.find({"m11"})->record_group, "7-1")
      << "one record is not open yet, the other never will be";
  groups.remove(*fleet.find({"m1"}));
  fleet.erase({"m1"});
  fleet.erase({"m9"});
  groups.add(machine("m3"), {});
  EXPECT_EQ(fleet.find({"m3"})->record_group, "6-1");
  commit_all();
  EXPECT_EQ(stored_machines("6-1"), (std::set<std::string>{"m2", "m3"}));
}

TEST_F(StorageTest, MachinesBeyondALoweredLimitAreWrittenToNewRecordsFirst) {
  std::set<std::string> all;
  for (int i = 100; i < 140; ++i) {
    groups.add(machine(fmt::format("m{}", i)), {});
    all.insert(fmt::format("m{}", i));
  }
  commit_all();
  ASSERT_EQ(stored_machines("7-1"), all);
  shrink_value_limit();

  int removal_callbacks = 0;
  all.erase("m100");
  groups.remove(*fleet.find({"m100"}));
  fleet.erase({"m100"});
  loop.pass(kIntervalS);
  writes.store(wire::machine_group_key("7-1"), std::nullopt, state::FlushDelay::none,
               count_calls(removal_callbacks));
  // The machines that move are written under other keys, one key per transaction since the refusal. The
  // record itself is withheld until the last of these transactions is committed.
  std::set<std::string> moved;
  ASSERT_EQ(writes.batch_limit(), 1U);
  ASSERT_NE(keys_of_next().front(), wire::machine_group_key("7-1"));
  while (keys_of_next().front() != wire::machine_group_key("7-1")) {
    const auto group = MachineGroups::name_of(keys_of_next().front());
    commit_next();
    moved.merge(stored_machines(*group));
    EXPECT_EQ(removal_callbacks, 0);
    EXPECT_EQ(stored_machines("7-1").size(), 40U);
    ASSERT_LT(answered_count, commits.size());
  }
  ASSERT_FALSE(moved.empty());

  commit_all();
  EXPECT_EQ(removal_callbacks, 1);
  const auto remaining = stored_machines("7-1");
  std::set<std::string> recorded_machines = moved;
  for (const auto& name : remaining)
    EXPECT_TRUE(recorded_machines.insert(name).second) << name << " is recorded twice";
  for (const auto& name : all) EXPECT_TRUE(recorded_machines.contains(name)) << name << " is not recorded";
  EXPECT_EQ(recorded_machines.size(), all.size());
  for (const auto& name : remaining) EXPECT_EQ(fleet.find({name})->record_group, "7-1");
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
  int call_count = 0;
  bitmaps.store(number, state::FlushDelay::exits, count_calls(call_count));
  first.set_task_progress(3, model::kTaskDone);  // included, since records are rendered when they are written
  commit_all();
  EXPECT_EQ(call_count, 1);
  const auto chunks = stored_chunks(number);
  ASSERT_EQ(chunks.size(), 2U);
  EXPECT_EQ(wire::parse_completion_hex(chunks.at({wire::JobId{"job-1"}, 0}), 0),
            (std::vector<std::uint32_t>{0, 3}));
  EXPECT_EQ(wire::parse_completion_hex(chunks.at({wire::JobId{"job-2"}, 1}), 1),
            std::vector<std::uint32_t>{wire::kCompletionChunkTasks});
}

TEST_F(StorageTest, RemovingTheLastJobOfARecordDeletesIt) {
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
  EXPECT_EQ(writes.size(), 0U) << "the record is written when the next job in it ends";
  second.state = wire::JobState::done;
  bitmaps.remove(second);
  EXPECT_TRUE(bitmaps.is_dropped(wire::completion_key(number)));
  commit_all();
  EXPECT_EQ(stored.find(wire::completion_key(number)), nullptr);
}

TEST_F(StorageTest, AnAdoptedChunkStaysInItsRecord) {
  auto& adopted = job("job-1", 10);
  const std::uint64_t earlier_number = (6U << 20) + 3;
  bitmaps.adopt(earlier_number, adopted, 0);
  EXPECT_TRUE(bitmaps.contains(earlier_number));
  EXPECT_EQ(bitmaps.ensure_record(adopted, 0), earlier_number);
  EXPECT_FALSE(bitmaps.is_dropped(wire::completion_key(earlier_number)));
  EXPECT_FALSE(bitmaps.is_dropped(wire::kCompletionKeyPrefix + "not-a-number"));
}

TEST_F(StorageTest, RejectsKeysOfOtherRecordsAndOfTheFirstVersion) {
  EXPECT_FALSE(MachineGroups::name_of(wire::kJobKeyPrefix + "job-1"));
  EXPECT_EQ(MachineGroups::name_of(wire::machine_group_key("7-1")), "7-1");
  EXPECT_FALSE(CompletionBitmaps::number_of(wire::kJobKeyPrefix + "job-1"));
  EXPECT_FALSE(CompletionBitmaps::number_of(wire::kCompletionKeyPrefix + "job-1/0"));
  EXPECT_EQ(CompletionBitmaps::number_of(wire::completion_key(12)), 12U);
}

TEST_F(StorageTest, ChunksBeyondALoweredLimitAreWrittenToNewRecordsFirst) {
  constexpr std::uint32_t kDoneTask = 5;
  std::vector<model::Job*> live_jobs;
  std::uint64_t number = 0;
  for (int i = 0; i < 8; ++i) {
    auto& created = job(fmt::format("job-{}", i), 600);
    created.set_task_progress(kDoneTask, model::kTaskDone);
    number = bitmaps.ensure_record(created, 0);
    live_jobs.push_back(&created);
  }
  auto& final_job = job("job-9", 600);
  ASSERT_EQ(bitmaps.ensure_record(final_job, 0), number);
  bitmaps.store(number, state::FlushDelay::exits);
  commit_all();
  ASSERT_EQ(stored_chunks(number).size(), 9U);
  shrink_value_limit();

  final_job.state = wire::JobState::done;  // its chunk is not moved to another record
  int call_count = 0;
  bitmaps.store(number, state::FlushDelay::exits, count_calls(call_count));
  loop.pass(kIntervalS);
  // The chunks that move are written under other keys; the record itself is withheld in the meantime.
  const auto targets = keys_of_next();
  ASSERT_FALSE(targets.empty());
  for (const auto& key : targets) EXPECT_NE(key, wire::completion_key(number));
  commit_next();
  EXPECT_EQ(call_count, 0);
  EXPECT_EQ(stored_chunks(number).size(), 9U);

  commit_all();
  EXPECT_EQ(call_count, 1);
  std::size_t moved = 0;
  for (const auto* live_job : live_jobs) {
    const wire::ChunkId id{live_job->spec.id, 0};
    const auto assigned = live_job->completion_buckets.at(0);
    const auto chunks = stored_chunks(assigned);
    ASSERT_TRUE(chunks.contains(id));
    EXPECT_EQ(wire::parse_completion_hex(chunks.at(id), 0), std::vector<std::uint32_t>{kDoneTask});
    EXPECT_EQ(stored_chunks(number).contains(id), assigned == number);
    if (assigned != number) ++moved;
  }
  EXPECT_GT(moved, 0U);
  EXPECT_LT(moved, live_jobs.size());
  EXPECT_FALSE(stored_chunks(number).contains({final_job.spec.id, 0}));
}

TEST_F(StorageTest, AMoveInProgressIsDiscardedWhenTheTermEnds) {
  for (int i = 100; i < 140; ++i) groups.add(machine(fmt::format("m{}", i)), {});
  commit_all();
  shrink_value_limit();
  groups.remove(*fleet.find({"m100"}));
  fleet.erase({"m100"});
  loop.pass(kIntervalS);
  groups.clear();
  writes.clear();
  const auto late_commit = commits[answered_count++];
  late_commit.done({Outcome::committed, wire::StoreRevision{++revision}});
  loop.pass(kIntervalS);
  EXPECT_EQ(answered_count, commits.size());
  EXPECT_EQ(writes.size(), 0U);
}

}  // namespace
}  // namespace bankhill::storage
