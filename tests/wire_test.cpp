// Messages, records and frames: round trips and hostile input.
#include <gtest/gtest.h>

#include <random>

#include "wire/frames.hpp"
#include "wire/messages.hpp"
#include "wire/records.hpp"

namespace bankhill::wire {
namespace {

Json job() {
  return Json::parse(R"({"uid":"job-000412","queue":"train","owner":"vision","shape":"sweep","rank":"high",
    "members":16,"cores":8.0,"accelerators":1.0,"ram_gb":64.0,"bundle":"img-07","size_gb":6.2,"flavors":["g8"],
    "rack_room":null,"together":true,"scatter":false,"reclaimable":true,"guess_s":240.0,"snapshot_every_s":30.0,
    "flush_s":4.0,"due_s":900.0})");
}

TEST(Job, RoundTrip) {
  const auto spec = parse_job(job());
  EXPECT_EQ(spec.task_count, 16U);
  EXPECT_EQ(spec.priority, Priority::high);
  EXPECT_FALSE(spec.zone);
  EXPECT_EQ(to_json(parse_job(to_json(spec))), to_json(spec));
}

TEST(Job, IgnoresUnknownFields) {
  auto object = job();
  object["colour"] = "blue";
  EXPECT_NO_THROW(parse_job(object));
}

TEST(Job, RefusesEachFieldThatIsMissingOrOfAnotherType) {
  const std::set<std::string> optional = {"flavors", "rack_room", "due_s"};
  const auto good = job();
  for (const auto& [name, value] : good.items()) {
    auto without = job();
    without.erase(name);
    if (optional.contains(name))
      EXPECT_NO_THROW(parse_job(without)) << name;
    else
      EXPECT_THROW(parse_job(without), ProtocolError) << name;
    auto wrong = job();
    wrong[name] = Json::object();
    EXPECT_THROW(parse_job(wrong), ProtocolError) << name;
  }
}

TEST(Job, RefusesValuesOutOfRange) {
  const std::vector<std::pair<const char*, Json>> bad = {
      {"uid", "job-"},     {"uid", "job-12a"}, {"uid", "task-1"},  {"members", 0},     {"members", 100001},
      {"members", -1},     {"members", 2.5},   {"cores", -1.0},    {"cores", 0},       {"cores", 1e300},
      {"ram_gb", -0.5},    {"guess_s", -1},    {"due_s", -1},      {"shape", "gang"},  {"rank", "urgent"},
      {"flavors", {1, 2}}, {"together", 1},    {"size_gb", "big"}, {"uid", "job-1/2"}, {"bundle", ""}};
  for (const auto& [name, value] : bad) {
    auto object = job();
    object[name] = value;
    EXPECT_THROW(parse_job(object), ProtocolError) << name << " " << value;
  }
}

TEST(Job, WaitsOnOthers) {
  const auto with = [](const Json& value) {
    auto object = job();
    object["waits_on"] = value;
    return object;
  };
  for (const auto& none : {Json(nullptr), Json::array()}) {
    EXPECT_TRUE(parse_job(with(none)).depends_on.empty());
    EXPECT_EQ(to_json(parse_job(with(none))), to_json(parse_job(job()))) << "stored as it always was";
  }
  const auto spec = parse_job(with({"job-2", "job-1", "job-2"}));
  EXPECT_EQ(spec.depends_on, (std::vector<JobId>{{"job-2"}, {"job-1"}})) << "named twice counts once";
  EXPECT_EQ(parse_job(to_json(spec)).depends_on, spec.depends_on);
  for (const Json& bad :
       {Json("job-1"), Json(7), Json{7}, Json{"job-"}, Json{"task-1"}, Json{"job-1/2"}, Json{nullptr}})
    EXPECT_THROW(parse_job(with(bad)), ProtocolError) << bad;
}

TEST(Text, RefusesWhatIsNoObject) {
  for (const auto* text : {"", "[1]", "7", "{\"a\":", "null", "\"x\"", "{} x"})
    EXPECT_THROW(parse_object(text), ProtocolError) << text;
}

TEST(Report, RoundTrip) {
  const auto text = R"({"host":"n-000231","address":"10.1.0.232:9000","flavor":"g8","rack_room":"a",
    "reclaimable":true,"tenure":1,"counter":88,"fence":41,"warning_s":null,
    "members":[{"member":"job-000412/3","try_no":2,"phase":"running"},
               {"member":"job-000398/0","try_no":1,"phase":"exited","exit_cause":"done"}]})";
  const auto heartbeat = parse_heartbeat(parse_object(text));
  EXPECT_EQ(heartbeat.tasks.size(), 2U);
  EXPECT_EQ(heartbeat.tasks[1].exit_reason, ExitReason::done);
  EXPECT_EQ(to_json(parse_heartbeat(to_json(heartbeat))), to_json(heartbeat));
}

// Guards against machines with more tasks than a heartbeat may list.
TEST(Report, HoldsTheMostTasksThatAMachineMayHave) {
  Heartbeat heartbeat;
  heartbeat.machine_id = {std::string(64, 'n')};
  heartbeat.address = std::string(64, '9');
  heartbeat.machine_type = heartbeat.zone = std::string(64, 'z');
  heartbeat.agent_epoch.value = heartbeat.sequence = heartbeat.fencing_token.value = ~std::uint64_t{0};
  heartbeat.preemption_notice_s = 1.0 / 3;
  const JobId longest_id{"job-" + std::string(20, '9')};
  const TaskStatus longest{{longest_id, kMaxTasks - 1},
                           {~std::uint64_t{0}},
                           TaskState::exited,
                           ExitReason::insufficient_resources,
                           true};
  heartbeat.tasks.assign(kMaxHeartbeatTasks, longest);
  EXPECT_LE(to_json(heartbeat).dump().size(), kMaxBody);
}

TEST(Orders, RoundTrip) {
  const std::vector<Command> commands = {{CommandType::start, {JobId{"job-1"}, 4}, AttemptNumber{2}, 0},
                                         {CommandType::stop, {JobId{"job-1"}, 5}, AttemptNumber{1}, 10}};
  EXPECT_EQ(to_json(parse_commands(to_json(commands))), to_json(commands));
}

TEST(Finished, BitsSurviveTheStore) {
  std::mt19937 random(5);
  std::vector<char> marks(kCompletionChunkTasks * 2 + 77);
  for (auto& mark : marks) mark = random() % 3 == 0 ? 2 : 0;
  std::vector<char> read(marks.size(), 0);
  for (std::uint32_t chunk = 0; chunk < 3; ++chunk)
    for (const auto index : parse_completion_hex(completion_hex(marks, chunk, 2), chunk)) read.at(index) = 2;
  EXPECT_EQ(read, marks);
  EXPECT_THROW(parse_completion_hex("zz", 0), ProtocolError);
}

TEST(Records, RoundTrip) {
  JobRecord record{parse_job(job()), JobState::cancelled, 12.5};
  const auto read = parse_job_record(to_json(record));
  EXPECT_EQ(read.state, JobState::cancelled);
  EXPECT_EQ(to_json(read), to_json(record));
  RentalRecord rental{"g8", "a", true, 3, 1.5, std::vector<std::string>{"n-1", "n-2"}};
  EXPECT_EQ(to_json(parse_rental_record(to_json(rental))), to_json(rental));
}

TEST(Records, MachinesShareAKeyAndThoseOfVersion01AreRead) {
  const MachineGroupRecord group{
      "g8", "a", true, {{MachineId{"n-1"}, "10.1.0.1:9000"}, {MachineId{"n-2"}, "10.1.0.2:9000"}}};
  EXPECT_EQ(parse_machine_group("5-1", to_json(group)), group);
  const auto single = parse_machine_group(
      "n-7",
      Json{{"address", "10.1.0.7:9000"}, {"flavor", "g8"}, {"rack_room", "a"}, {"reclaimable", false}});
  EXPECT_EQ(single, (MachineGroupRecord{"g8", "a", false, {{MachineId{"n-7"}, "10.1.0.7:9000"}}}));
  EXPECT_THROW(parse_machine_group("5-1", Json{{"flavor", "g8"}, {"rack_room", "a"}, {"reclaimable", true}}),
               ProtocolError);
  // What the leader counts for a machine is at least what it adds to the value.
  std::size_t counted = to_json(MachineGroupRecord{"g8", "a", true, {}}).dump().size();
  for (const auto& [host, address] : group.machines) counted += group_bytes(host, address);
  EXPECT_GE(counted, to_json(group).dump().size());
}

TEST(Records, FinishedTasksOfManyJobsShareAKeyAndThoseOfVersion01AreRead) {
  const CompletionBucket bucket{{{JobId{"job-1"}, 0}, "0f"}, {{JobId{"job-2"}, 3}, "a1"}};
  EXPECT_EQ(parse_completion_bucket("17", to_json(bucket)), bucket);
  EXPECT_EQ(parse_completion_bucket("job-9/2", Json("ff")), (CompletionBucket{{{JobId{"job-9"}, 2}, "ff"}}));
  EXPECT_THROW(parse_completion_bucket("17", Json{{"job-9", "ff"}}), ProtocolError);
  EXPECT_THROW(parse_completion_bucket("x", Json("ff")), ProtocolError);
  for (const std::uint32_t members : {1U, 80U, 2048U, 2049U, 100'000U}) {
    const std::vector<char> marks(members, 2);
    const std::uint32_t last = (members - 1) / kCompletionChunkTasks;
    const CompletionBucket one{{{JobId{"job-000412"}, last}, completion_hex(marks, last, 2)}};
    EXPECT_GE(chunk_bytes(members, last), to_json(one).dump().size()) << members;
  }
}

// What a job waits for has no bound of its own: it goes to as many keys as it needs, each within the limit,
// or is not accepted at all.
TEST(Records, LongListsOfJobsGoToFurtherKeys) {
  const auto limit = usable_bytes(2);
  for (const std::size_t count : {0U, 1U, 40U, 150U, 500U, 1500U, 5000U}) {
    JobRecord record{parse_job(job()), JobState::accepted, 1.8e9, 0, 0};
    for (std::size_t i = 0; i < count; ++i)
      record.spec.depends_on.push_back({"job-" + std::to_string(900000 + i)});
    const auto values = stored_job(record, limit, 8);
    EXPECT_EQ(values.empty(), count == 5000U) << count;
    if (values.empty()) continue;
    EXPECT_LE(values.size(), 8U);
    EXPECT_EQ(values.size() == 1, count <= 40) << count;
    for (const auto& [key, value] : values) EXPECT_LE(value.dump().size(), limit) << key;
    auto read = parse_job_record(values.front().second);
    EXPECT_EQ(values.size(), 1 + read.dependency_parts);
    for (std::uint32_t part = 0; part < read.dependency_parts; ++part) {
      EXPECT_EQ(values[part + 1].first, dependencies_key(record.spec.id, part));
      for (const auto& id : parse_dependencies_part(values[part + 1].second))
        read.spec.depends_on.push_back(id);
    }
    EXPECT_EQ(read.spec.depends_on, record.spec.depends_on);
  }
  EXPECT_THROW(parse_dependencies_part(Json("1 x")), ProtocolError);
  EXPECT_THROW(parse_dependencies_part(Json(1)), ProtocolError);
}

// A job whose record was written under a larger limit must still be able to end.
TEST(Records, AnEndFitsWhateverTheJobWas) {
  const auto limit = usable_bytes(2);
  JobRecord record{parse_job(job()), JobState::accepted, 1.8e9, 0, 0};
  EXPECT_EQ(parse_job_record(final_record_json(record, JobState::done, 1.9e9, limit)).spec.machine_types,
            record.spec.machine_types);
  record.spec.machine_types = std::vector<std::string>(30, std::string(200, 'f'));
  record.spec.job_class = record.spec.image = std::string(200, '\x01');
  record.spec.zone = record.spec.team = std::string(200, 'o');
  for (int i = 0; i < 900; ++i) record.spec.depends_on.push_back({"job-" + std::to_string(i)});
  EXPECT_TRUE(stored_job(record, limit, 8).empty());
  const auto ended = final_record_json(record, JobState::cancelled, 1.9e9, limit);
  EXPECT_LE(ended.dump().size(), limit);
  const auto read = parse_job_record(ended);
  EXPECT_EQ(read.state, JobState::cancelled);
  EXPECT_EQ(read.ended_at, 1.9e9);
  EXPECT_EQ(read.spec.team, record.spec.team);
  EXPECT_EQ(read.spec.task_count, record.spec.task_count);
}

TEST(Records, ACatalogueOfAnyLengthIsStoredAndRead) {
  const auto limit = usable_bytes(2);
  std::vector<MachineType> machine_types;
  CatalogueReader reader;
  for (const std::size_t count : {3U, 40U, 25U, 2U}) {
    machine_types.resize(count);
    for (std::size_t i = 0; i < count; ++i)
      machine_types[i] = {"flavor-" + std::to_string(i), {8, 0, 32}, 60, 1, 1, 0.3, 35, {"za", "zb"}};
    const auto values = stored_catalogue(machine_types, limit, count);
    EXPECT_EQ(values.size() == 1, count <= 3U);
    std::size_t learned = 0;
    for (const auto& [key, value] : values) {
      EXPECT_LE(value.dump().size(), limit);
      const auto read = reader.learn(key, value);
      if (read) ++learned;
      EXPECT_EQ(read.has_value(), &value == &values.back().second)
          << "parts of two generations are not mixed";
      if (read) {
        EXPECT_EQ(to_json(*read), to_json(machine_types));
      }
    }
    EXPECT_EQ(learned, 1U);
  }
  EXPECT_FALSE(reader.learn(kCataloguePartKeyPrefix + "0", std::nullopt));
  EXPECT_FALSE(reader.learn(kTermKey, Json{{"n", 1}}));
}

std::vector<Frame> frames() {
  return {Hello{~0ULL >> 1, "node-1"},
          PeerStatus{41, true, false},
          RelayedRequest{7, true, "/submissions", std::string(5000, 'x')},
          RelayedResponse{7, 201, 1500, "{}"},
          JobProgress{3, 13, "job-000412", "no machine has room yet"},
          ProgressRequest{7, 41, 12},
          ProgressUpdate{
              7,
              41,
              12,
              14,
              2,
              true,
              true,
              {{{3, 13, "job-000412", "no machine has room yet"}, true}, {{0, 0, "job-1", ""}, false}}}};
}

TEST(Frames, RoundTripInPiecesOfAnySize) {
  std::string stream;
  for (const auto& frame : frames()) stream += encode(frame);
  for (std::size_t piece : {1U, 3U, 7U, 100000U}) {
    FrameReader reader;
    std::vector<Frame> read;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
      reader.append(std::string_view(stream).substr(at, piece));
      while (auto frame = reader.next()) read.push_back(std::move(*frame));
    }
    EXPECT_EQ(read, frames());
    EXPECT_EQ(reader.error(), FrameError::none);
  }
}

TEST(Frames, HostileBytesNeverReadBeyondTheFrame) {
  std::mt19937 random(17);
  int accepted = 0;
  for (int round = 0; round < 20000; ++round) {
    const auto all = frames();
    auto bytes = encode(all[static_cast<std::size_t>(round) % all.size()]);
    const int changes = 1 + static_cast<int>(random() % 4);
    for (int i = 0; i < changes; ++i)
      bytes[random() % std::min<std::size_t>(bytes.size(), 40)] = static_cast<char>(random());
    if (random() % 3 == 0) bytes.resize(random() % bytes.size());
    FrameReader reader;
    reader.append(bytes);
    while (reader.next()) ++accepted;
  }
  EXPECT_GT(accepted, 0);  // some changes hit only values
  FrameReader reader;
  reader.append(std::string("\x42\x48\x01\x01\xff\xff\xff\xff", 8));
  EXPECT_FALSE(reader.next());
  EXPECT_EQ(reader.error(), FrameError::too_long);
}

TEST(Frames, FixedByteOrder) {
  const auto bytes = encode(PeerStatus{0x0102030405060708ULL, true, false});
  EXPECT_EQ(bytes,
            std::string("\x42\x48\x01\x01\x00\x00\x00\x0a\x01\x02\x03\x04\x05\x06\x07\x08\x01\x00", 18));
}

}  // namespace
}  // namespace bankhill::wire
