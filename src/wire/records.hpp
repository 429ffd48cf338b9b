// Records that bankhill keeps in the state service, and the names of their keys.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "wire/messages.hpp"

namespace bankhill::wire {

// Every key has this prefix, so that one watch sees every change in order.
inline const std::string kRoot = "bankhill/";
inline const std::string kTermKey = kRoot + "term";
inline const std::string kLeaderKey = kRoot + "leader";
inline const std::string kCatalogueKey = kRoot + "catalogue";
inline const std::string kJobs = kRoot + "job/";
inline const std::string kMachines = kRoot + "machine/";
inline const std::string kRentals = kRoot + "rental/";
inline const std::string kFinished = kRoot + "finished/";

inline std::string job_key(const JobId& id) { return kJobs + id.value; }
inline std::string machine_key(const HostId& id) { return kMachines + id.value; }
inline std::string rental_key(const std::string& name) { return kRentals + name; }
std::string finished_key(const JobId& id, std::uint32_t chunk);

enum class JobPhase { accepted, done, cancelled };
const char* name_of(JobPhase phase);

struct JobRecord {
  JobSpec spec;
  JobPhase phase = JobPhase::accepted;
  double accepted_at = 0;  // time of day, seconds
};
Json to_json(const JobRecord& record);
JobRecord parse_job_record(const Json& object);

struct LeaderRecord {
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t hold = 0;
};
Json to_json(const LeaderRecord& record);
LeaderRecord parse_leader_record(const Json& object);

struct MachineRecord {
  std::string address;
  std::string flavor;
  std::string rack_room;
  bool reclaimable = false;
};
Json to_json(const MachineRecord& record);
MachineRecord parse_machine_record(const Json& object);

// An intent to rent; `hosts` is set once the cloud has answered.
struct RentalRecord {
  std::string flavor;
  std::string rack_room;
  bool reclaimable = false;
  std::uint32_t count = 0;
  double asked_at = 0;  // time of day, seconds
  std::optional<std::vector<std::string>> hosts;
};
Json to_json(const RentalRecord& record);
RentalRecord parse_rental_record(const Json& object);

// Finished tasks of one job: a bit a task, in chunks that stay far below any value limit (512 bytes of hex).
constexpr std::uint32_t kFinishedChunk = 2048;
std::string finished_hex(const std::vector<char>& done, std::uint32_t chunk, char done_mark);
std::vector<std::uint32_t> parse_finished_hex(const std::string& hex, std::uint32_t chunk);

}  // namespace bankhill::wire
