// Side by side with the version in production (0.2.0): what it wrote is read, and what is written now keeps
// to what it reads. It may go when no site runs 0.2.0 any more and none may be rolled back to it.
#include <gtest/gtest.h>

#include <fstream>

#include "wire/frames.hpp"
#include "wire/records.hpp"

namespace bankhill::wire {
namespace {

Json production() {
  std::ifstream file(BANKHILL_FIXTURES "/production.json");
  return Json::parse(file);
}

std::string bytes_of(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return bytes;
}

// Read and written again each record is the same: nothing that the production version wrote is lost.
TEST(Production, RecordsAreReadAndWrittenAsTheyWere) {
  std::map<std::string, int> seen;
  const auto fixtures = production();
  for (const auto& [key, data] : fixtures["records"].items()) {
    const auto kind = key.substr(0, key.find('/', kKeyPrefix.size()) + 1);
    const auto name = key.substr(kind.size());
    if (kind == kJobKeyPrefix) {
      const auto record = parse_job_record(data);
      EXPECT_EQ(to_json(record), data) << key;
      EXPECT_EQ(record.spec.id.value, name);
      EXPECT_TRUE(record.spec.depends_on.empty());
      ++seen[kind + name_of(record.state)];
      continue;
    }
    ++seen[kind.empty() ? key : kind];
    if (kind == kMachineKeyPrefix) {
      EXPECT_EQ(to_json(parse_machine_group(name, data)), data) << key;
    } else if (kind == kRentalKeyPrefix) {
      EXPECT_EQ(to_json(parse_rental_record(data)), data) << key;
    } else if (kind == kCompletionKeyPrefix) {
      EXPECT_EQ(to_json(parse_completion_bucket(name, data)), data) << key;
    } else if (key == kCatalogueKey) {
      const auto machine_types = CatalogueReader().learn(key, data);
      ASSERT_TRUE(machine_types);
      EXPECT_EQ(to_json(*machine_types), data);
    } else if (key == kLeaderKey) {
      EXPECT_EQ(to_json(parse_leader_record(data)), data);
    } else {
      EXPECT_EQ(key, kTermKey);
      EXPECT_GT(count_field(data, "n"), 0U);
    }
  }
  for (const auto& kind : {kJobKeyPrefix + "accepted", kJobKeyPrefix + "done", kJobKeyPrefix + "cancelled",
                           kMachineKeyPrefix, kRentalKeyPrefix, kCompletionKeyPrefix})
    EXPECT_GT(seen[kind], 0) << kind;
}

TEST(Production, FramesAreTheSameBytes) {
  const auto fixtures = production();
  std::size_t kinds = 0;
  for (const auto& hex : fixtures["frames"]) {
    const auto bytes = bytes_of(hex.get<std::string>());
    FrameReader reader;
    reader.append(bytes);
    const auto frame = reader.next();
    ASSERT_TRUE(frame) << hex;
    EXPECT_EQ(encode(*frame), bytes);
    kinds = std::max(kinds, frame->index() + 1);
  }
  // A frame of another kind closes its stream: those go only to peers that understand them
  // (Forwarding controllers.AVersionWithoutThemIsSentNoneOfTheirFrames).
  EXPECT_EQ(kinds, 5U);
}

// How 0.2.0 reads a job's record: these fields of these kinds, and it minds no others.
void read_as_production_does(const Json& record) {
  const auto& spec = record.at("spec");
  for (const auto* name : {"uid", "queue", "owner", "shape", "rank", "bundle"}) {
    ASSERT_TRUE(spec.at(name).is_string()) << name;
    ASSERT_FALSE(spec.at(name).get<std::string>().empty()) << name;
    ASSERT_LE(spec.at(name).get<std::string>().size(), 200U) << name;
  }
  for (const auto* name :
       {"cores", "accelerators", "ram_gb", "size_gb", "guess_s", "snapshot_every_s", "flush_s"})
    ASSERT_TRUE(spec.at(name).is_number()) << name;
  for (const auto* name : {"together", "scatter", "reclaimable"})
    ASSERT_TRUE(spec.at(name).is_boolean()) << name;
  ASSERT_TRUE(spec.at("members").is_number_unsigned());
  ASSERT_TRUE(spec.at("shape") == "sweep" || spec.at("shape") == "daemon");
  if (spec.contains("flavors")) {
    ASSERT_TRUE(spec["flavors"].is_array());
  }
  ASSERT_TRUE(record.at("at").is_number());
  ASSERT_TRUE(record.at("phase") == "accepted" || record.at("phase") == "done" ||
              record.at("phase") == "cancelled");
}

TEST(Production, ReadsTodaysJobRecords) {
  const auto fixtures = production();
  for (const auto& [key, data] : fixtures["records"].items()) {
    if (!key.starts_with(kJobKeyPrefix)) continue;
    auto record = parse_job_record(data);
    read_as_production_does(to_json(record));
    for (const auto limit : {usable_bytes(8), usable_bytes(2), usable_bytes(0.5)})
      read_as_production_does(final_record_json(record, JobState::done, 1.9e9, limit));
    record.spec.depends_on = {{"job-1"}};
    read_as_production_does(stored_job(record, usable_bytes(2), 8).at(0).second);
    for (int i = 0; i < 500; ++i) record.spec.depends_on.push_back({"job-" + std::to_string(i)});
    read_as_production_does(stored_job(record, usable_bytes(2), 8).at(0).second);
  }
}

// Keys of new kinds: 0.2.0 lists them with all others and must find none of its own prefixes or names.
TEST(Production, TakesNewKeysForNothingOfItsOwn) {
  for (const auto& key : {dependencies_key({"job-1"}, 0), kCataloguePartKeyPrefix + "0"}) {
    EXPECT_TRUE(key.starts_with(kKeyPrefix));
    for (const auto& known : {kJobKeyPrefix, kMachineKeyPrefix, kRentalKeyPrefix, kCompletionKeyPrefix})
      EXPECT_FALSE(key.starts_with(known)) << key;
    for (const auto& known : {kTermKey, kLeaderKey, kCatalogueKey}) EXPECT_NE(key, known);
  }
}

}  // namespace
}  // namespace bankhill::wire
