// JSON messages of users, workers and cloud, parsed at the edge into checked types.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "wire/ids.hpp"

namespace bankhill::wire {

using Json = nlohmann::json;

constexpr std::size_t kMaxBody = std::size_t{64} * 1024;
constexpr std::uint32_t kMaxTasks = 100'000;
// Upper bounds on the length of a heartbeat without its tasks and of the entry of one task, in bytes.
constexpr std::size_t kMaxHeartbeatFrameBytes = 1024;
constexpr std::size_t kMaxTaskStatusBytes = 128;
// Tasks that an agent can list at the most, exited ones included, in a heartbeat that the protocol allows.
constexpr std::size_t kMaxHeartbeatTasks = (kMaxBody - kMaxHeartbeatFrameBytes) / kMaxTaskStatusBytes;

// A message that breaks the protocol; what() tells how.
struct ProtocolError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One field of a message breaks the protocol; what() is "field 'NAME' PROBLEM".
class FieldError : public ProtocolError {
 public:
  FieldError(std::string field, std::string problem);
  const std::string& field() const noexcept { return field_; }
  const std::string& problem() const noexcept { return problem_; }

 private:
  std::string field_;
  std::string problem_;
};

// Parses text that must be a JSON object.
Json parse_object(const std::string& text);

// Checked field access: throws FieldError.
std::string text_field(const Json& object, const char* name);
double amount_field(const Json& object, const char* name);  // finite and not negative
std::uint64_t count_field(const Json& object, const char* name);
bool flag_field(const Json& object, const char* name);
bool absent(const Json& object, const char* name);  // missing or null

// Of a task what it needs, of a machine what it has, of a team what it may use.
struct Resources {
  double cores = 0;
  double accelerators = 0;
  double ram_gb = 0;
  bool fits(const Resources& room) const;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  bool operator==(const Resources&) const = default;
};

enum class JobKind { array, service };
enum class Priority { best_effort, normal, high, production };  // rising

// A job as its user describes it.
struct JobSpec {
  JobId id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::normal;
  std::uint32_t task_count = 1;
  Resources request;
  std::optional<std::vector<std::string>> machine_types;
  std::optional<std::string> zone;
  bool zone_affinity = false;
  bool zone_spread = false;
  // Whether a task may not run in all zones, or not wherever the job's other tasks run.
  bool has_zone_rules() const { return zone || zone_affinity || zone_spread; }
  bool allows_preemptible = false;
  std::string image;
  double image_size_gb = 0;
  double estimated_runtime_s = 0;
  double checkpoint_interval_s = 0;
  double checkpoint_duration_s = 0;
  std::optional<double> deadline_s;
  std::vector<JobId> depends_on;  // must be done before any task starts; each named once
};

// Throws Malformed, as all parse functions here.
JobSpec parse_job(const Json& object);
Json to_json(const JobSpec& spec);

// A machine type that the cloud offers.
struct MachineType {
  std::string name;
  Resources capacity;
  double local_gb = 0;
  double image_pull_gb_per_s = 1;
  double hourly_price = 0;
  double preemptible_hourly_price = 0;
  double boot_s = 0;
  std::vector<std::string> zones;
};

std::vector<MachineType> parse_machine_types(const Json& object);
Json to_json(const std::vector<MachineType>& machine_types);

enum class TaskState { pulling_image, running, checkpointing, exited };
enum class ExitReason { none, done, stopped, error, insufficient_resources, duplicate_task, unknown_task };

// What a worker tells about one attempt of a task.
struct TaskStatus {
  TaskId task;
  AttemptNumber attempt;
  TaskState state = TaskState::pulling_image;
  ExitReason exit_reason = ExitReason::none;
  bool checkpoint_saved = false;
  bool is_active() const { return state != TaskState::exited; }
  bool operator==(const TaskStatus&) const = default;
};

// What a worker tells at each heartbeat interval: itself and all that it runs.
struct Heartbeat {
  MachineId machine_id;
  std::string address;
  std::string machine_type;
  std::string zone;
  bool preemptible = false;
  AgentEpoch agent_epoch;
  std::uint64_t sequence = 0;
  FencingToken fencing_token;
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;
  bool operator==(const Heartbeat&) const = default;
};

Heartbeat parse_heartbeat(const Json& object);
Json to_json(const Heartbeat& heartbeat);

enum class CommandType { start, stop, forget };

// What a worker is to do with one attempt of a task.
struct Command {
  CommandType type = CommandType::start;
  TaskId task;
  AttemptNumber attempt;
  double grace_period_s = 0;
  bool operator==(const Command&) const = default;
};

Json to_json(const std::vector<Command>& commands);
std::vector<Command> parse_commands(const Json& array);

// A rented machine, as the cloud lists it.
struct ListedMachine {
  MachineId id;
  std::string address;
  std::string machine_type;
  std::string zone;
  bool preemptible = false;
  std::string state;
  double age_s = 0;
};

// One page of the cloud's list.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool has_next = false;
};

MachinePage parse_machine_page(const Json& object);

// The names of these values in messages.
const char* name_of(JobKind shape);
const char* name_of(Priority priority);
const char* name_of(ExitReason cause);

}  // namespace bankhill::wire
