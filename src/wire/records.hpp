// Records that bankhill keeps in the state service, and the names of their keys.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire/messages.hpp"

namespace bankhill::wire {

// Every key has this prefix, so that one watch sees every change in order.
inline const std::string kKeyPrefix = "bankhill/";
inline const std::string kTermKey = kKeyPrefix + "term";
inline const std::string kLeaderKey = kKeyPrefix + "leader";
inline const std::string kCatalogueKey = kKeyPrefix + "catalogue";
inline const std::string kJobKeyPrefix = kKeyPrefix + "job/";
inline const std::string kMachineKeyPrefix = kKeyPrefix + "machine/";
inline const std::string kRentalKeyPrefix = kKeyPrefix + "rental/";
inline const std::string kCompletionKeyPrefix = kKeyPrefix + "finished/";
// Below are keys of version 0.3. Older controllers list and ignore what has none of the prefixes above.
inline const std::string kDependencyKeyPrefix = kKeyPrefix + "waits/";
inline const std::string kCataloguePartKeyPrefix = kKeyPrefix + "catalogue/";

// Below are keys of version 0.4.
inline const std::string kQuotaKey = kKeyPrefix + "bounds";
// Below are keys of version 0.5 (policy/policy_watcher.hpp): which file rules, and one key a tenant.
inline const std::string kPolicyKey = kKeyPrefix + "policy";
inline const std::string kPolicyKeyPrefix = kKeyPrefix + "policy/";

inline std::string job_key(const JobId& id) { return kJobKeyPrefix + id.value; }
inline std::string policy_key(const std::string& team) { return kPolicyKeyPrefix + team; }
inline std::string rental_key(const std::string& name) { return kRentalKeyPrefix + name; }
inline std::string machine_group_key(const std::string& group) { return kMachineKeyPrefix + group; }
inline std::string completion_key(std::uint64_t bucket) {
  return kCompletionKeyPrefix + std::to_string(bucket);
}

inline std::string dependencies_key(const JobId& id, std::uint32_t part) {
  return kDependencyKeyPrefix + id.value + "/" + std::to_string(part);
}

// What one value may take: a part of the limit, since the service may write JSON at greater length than we
// do.
std::size_t usable_bytes(double value_kb);
// What a value takes at the most: escaped, with a space after each separator.
std::size_t stored_bytes(const Json& data);

// The life of a job: accepted, then for good done or cancelled.
enum class JobState { accepted, done, cancelled };
const char* name_of(JobState phase);

// What is stored of a job.
struct JobRecord {
  JobSpec spec;
  JobState state = JobState::accepted;
  double accepted_at = 0;  // time of day, seconds
  double ended_at = 0;     // of final ones; 0: not known (version 0.2.0 does not write it)
  // Further keys (waits_key) that hold what the job waits for, when that does not fit in here.
  std::uint32_t dependency_parts = 0;
  // By its tenant's calendar, less the margin: settled once, at acceptance (time of day, seconds).
  std::optional<double> cutoff = std::nullopt;
};
Json to_json(const JobRecord& record);
JobRecord parse_job_record(const Json& object);
// What can be told of a job whose record cannot be read as a whole.
struct PartialJobRecord {
  std::optional<JobState> state;
  std::uint32_t task_count = 0;  // 0: not known
};
PartialJobRecord parse_partial_job_record(const Json& data);
// Of a job that is over. What nobody needs any more is left out if it does not fit otherwise: a record
// written under a larger limit must still be able to end.
Json final_record_json(const JobRecord& record, JobState phase, double now, std::size_t value_bytes);

// The values that accept a job, written in one transaction: its record first, then further keys for a long
// list of jobs that it waits for. Empty: it cannot be stored within these limits.
using KeyedValues = std::vector<std::pair<std::string, Json>>;
KeyedValues stored_job(const JobRecord& record, std::size_t value_bytes, std::size_t txn_ops);
// The jobs named in one of the further keys.
std::vector<JobId> parse_dependencies_part(const Json& data);

// The catalogue: one key as in version 0.2.0 if it fits, else parts of one generation, which count once all
// are there. Version 0.2.0 keeps what stands under its own key then.
KeyedValues stored_catalogue(const std::vector<MachineType>& machine_types, std::size_t value_bytes,
                             std::uint64_t generation);
// Puts the catalogue together from its one key or its parts.
class CatalogueReader {
 public:
  // Takes a change of any key; the catalogue when this one makes it new and whole.
  std::optional<std::vector<MachineType>> learn(const std::string& key, const std::optional<Json>& data);

 private:
  std::map<std::string, Json> parts_;
};

// Who leads: stored on the lease `hold`, and gone with it.
struct LeaderRecord {
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t lease_id = 0;
};
Json to_json(const LeaderRecord& record);
LeaderRecord parse_leader_record(const Json& object);

// What each team may be using at most (fair_share/quota_high_water.hpp); of an amount without a limit
// infinite, and left out.
struct QuotaRecord {
  std::uint64_t term = 0;  // of the leader that wrote it
  std::map<std::string, Resources> teams;
  bool operator==(const QuotaRecord&) const = default;
};
Json to_json(const QuotaRecord& record);
QuotaRecord parse_quota_record(const Json& object);

// Machines of one machine type, zone and kind that may hold tasks: many to a key, since the service counts
// puts.
struct MachineGroupRecord {
  std::string machine_type;
  std::string zone;
  bool preemptible = false;
  std::map<MachineId, std::string> machines;  // and their addresses
  bool operator==(const MachineGroupRecord&) const = default;
};
Json to_json(const MachineGroupRecord& record);
// `name`: what follows the prefix in the key. Version 0.1 wrote one machine to a key, named by its machine.
MachineGroupRecord parse_machine_group(const std::string& name, const Json& object);
// What one more machine adds to its group's value at the most.
std::size_t group_bytes(const MachineId& machine_id, const std::string& address);

// An pending write to rent; `machines` is set once the cloud has answered.
struct RentalRecord {
  std::string machine_type;
  std::string zone;
  bool preemptible = false;
  std::uint32_t count = 0;
  double requested_at = 0;  // time of day, seconds
  std::optional<std::vector<std::string>> machine_ids;
};
Json to_json(const RentalRecord& record);
RentalRecord parse_rental_record(const Json& object);

// Finished tasks: a bit a task, in chunks that stay far below any value limit (512 bytes of hex). Chunks of
// many jobs share a key, a bucket.
constexpr std::uint32_t kCompletionChunkTasks = 2048;
struct ChunkId {
  JobId job;
  std::uint32_t chunk = 0;
  auto operator<=>(const ChunkId&) const = default;
};
using CompletionBucket = std::map<ChunkId, std::string>;  // hex
Json to_json(const CompletionBucket& bucket);
// `name`: what follows the prefix in the key. Version 0.1 wrote one chunk to a key, "job/chunk".
CompletionBucket parse_completion_bucket(const std::string& name, const Json& data);
std::size_t chunk_bytes(std::uint32_t members, std::uint32_t chunk);
std::string completion_hex(const std::vector<char>& done, std::uint32_t chunk, char done_mark);
std::vector<std::uint32_t> parse_completion_hex(const std::string& hex, std::uint32_t chunk);

}  // namespace bankhill::wire
