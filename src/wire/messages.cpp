#include "wire/messages.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <set>
#include <string_view>
#include <utility>

namespace bankhill::wire {

namespace {

constexpr std::size_t kMaxText = 200;
// Above any real amount; guards sums against overflow and lost precision.
constexpr double kMaxAmount = 1e9;
// Rounding in sums of decimal amounts must not make a task that fits appear not to.
constexpr double kRounding = 1e-6;

template <class E, std::size_t N>
using NameTable = std::array<std::pair<E, const char*>, N>;

constexpr NameTable<JobKind, 2> kJobKinds{{{JobKind::array, "sweep"}, {JobKind::service, "daemon"}}};
constexpr NameTable<Priority, 4> kPriorities{{{Priority::best_effort, "best_effort"},
                                              {Priority::normal, "normal"},
                                              {Priority::high, "high"},
                                              {Priority::production, "production"}}};
constexpr NameTable<TaskState, 4> kTaskStates{{{TaskState::pulling_image, "pulling"},
                                               {TaskState::running, "running"},
                                               {TaskState::checkpointing, "flushing"},
                                               {TaskState::exited, "exited"}}};
constexpr NameTable<ExitReason, 7> kExitReasons{{{ExitReason::none, "none"},
                                                 {ExitReason::done, "done"},
                                                 {ExitReason::stopped, "halted"},
                                                 {ExitReason::error, "error"},
                                                 {ExitReason::insufficient_resources, "no_room"},
                                                 {ExitReason::duplicate_task, "busy"},
                                                 {ExitReason::unknown_task, "no_such"}}};
constexpr NameTable<CommandType, 3> kCommandTypes{
    {{CommandType::start, "start"}, {CommandType::stop, "stop"}, {CommandType::forget, "forget"}}};

template <class E, std::size_t N>
const char* name_in(const NameTable<E, N>& table, E value) {
  for (const auto& [entry, name] : table)
    if (entry == value) return name;
  return "";
}

template <class E, std::size_t N>
E value_in(const NameTable<E, N>& table, const std::string& name, const char* field) {
  for (const auto& [entry, text] : table)
    if (name == text) return entry;
  throw FieldError(field, "is not one of its values");
}

[[noreturn]] void bad(const char* name, const char* what) { throw FieldError(name, what); }

const Json& field(const Json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || found->is_null()) bad(name, "is missing");
  return *found;
}

std::vector<std::string> texts_field(const Json& object, const char* name) {
  const auto& list = field(object, name);
  if (!list.is_array()) bad(name, "is not a list");
  std::vector<std::string> result;
  for (const auto& item : list) {
    if (!item.is_string()) bad(name, "holds something other than text");
    result.push_back(item.get<std::string>());
  }
  return result;
}

const Json& list_field(const Json& object, const char* name) {
  const auto& list = field(object, name);
  if (!list.is_array()) bad(name, "is not a list");
  return list;
}

std::vector<JobId> jobs_field(const Json& object, const char* name) {
  std::vector<JobId> jobs;
  std::set<JobId> seen;
  for (const auto& text : texts_field(object, name)) {
    auto id = parse_job_id(text);
    if (!id) bad(name, "holds something other than job ids");
    if (seen.insert(*id).second) jobs.push_back(std::move(*id));
  }
  return jobs;
}

TaskId task_field(const Json& object) {
  auto task_id = parse_task_id(text_field(object, "member"));
  if (!task_id) bad("member", "has the wrong form");
  return std::move(*task_id);
}

Resources resources_of(const Json& object) {
  return {amount_field(object, "cores"), amount_field(object, "accelerators"),
          amount_field(object, "ram_gb")};
}

void put_resources(Json& object, const Resources& amounts) {
  object["cores"] = amounts.cores;
  object["accelerators"] = amounts.accelerators;
  object["ram_gb"] = amounts.ram_gb;
}

}  // namespace

FieldError::FieldError(std::string field, std::string problem)
    : ProtocolError("field '" + field + "' " + problem),
      field_(std::move(field)),
      problem_(std::move(problem)) {}

Json parse_object(const std::string& text) {
  Json value = Json::parse(text, nullptr, false);
  if (value.is_discarded()) throw ProtocolError("body is not JSON");
  if (!value.is_object()) throw ProtocolError("body is not an object");
  return value;
}

bool absent(const Json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null();
}

std::string text_field(const Json& object, const char* name) {
  const auto& value = field(object, name);
  if (!value.is_string()) bad(name, "is not text");
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > kMaxText) bad(name, "is empty or too long");
  return text;
}

double amount_field(const Json& object, const char* name) {
  const auto& value = field(object, name);
  if (!value.is_number()) bad(name, "is not a number");
  const double amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > kMaxAmount) bad(name, "is out of range");
  return amount;
}

std::uint64_t count_field(const Json& object, const char* name) {
  const auto& value = field(object, name);
  if (!value.is_number_unsigned()) bad(name, "is not a whole number");
  return value.get<std::uint64_t>();
}

bool flag_field(const Json& object, const char* name) {
  const auto& value = field(object, name);
  if (!value.is_boolean()) bad(name, "is not true or false");
  return value.get<bool>();
}

bool Resources::fits(const Resources& room) const {
  return cores <= room.cores + kRounding && accelerators <= room.accelerators + kRounding &&
         ram_gb <= room.ram_gb + kRounding;
}

Resources& Resources::operator+=(const Resources& other) {
  cores += other.cores;
  accelerators += other.accelerators;
  ram_gb += other.ram_gb;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cores -= other.cores;
  accelerators -= other.accelerators;
  ram_gb -= other.ram_gb;
  return *this;
}

const char* name_of(JobKind shape) { return name_in(kJobKinds, shape); }
const char* name_of(Priority priority) { return name_in(kPriorities, priority); }
const char* name_of(ExitReason cause) { return name_in(kExitReasons, cause); }

JobSpec parse_job(const Json& object) {
  JobSpec spec;
  auto job_id = parse_job_id(text_field(object, "uid"));
  if (!job_id) bad("uid", "has the wrong form");
  spec.id = std::move(*job_id);
  spec.job_class = text_field(object, "queue");
  spec.team = text_field(object, "owner");
  spec.kind = value_in(kJobKinds, text_field(object, "shape"), "shape");
  spec.priority = value_in(kPriorities, text_field(object, "rank"), "rank");
  const auto members = count_field(object, "members");
  if (members < 1 || members > kMaxTasks) bad("members", "is out of range");
  spec.task_count = static_cast<std::uint32_t>(members);
  spec.request = resources_of(object);
  if (spec.request.cores <= 0) bad("cores", "is out of range");
  if (!absent(object, "flavors")) spec.machine_types = texts_field(object, "flavors");
  if (!absent(object, "rack_room")) spec.zone = text_field(object, "rack_room");
  spec.zone_affinity = flag_field(object, "together");
  spec.zone_spread = flag_field(object, "scatter");
  spec.allows_preemptible = flag_field(object, "reclaimable");
  spec.image = text_field(object, "bundle");
  spec.image_size_gb = amount_field(object, "size_gb");
  spec.estimated_runtime_s = amount_field(object, "guess_s");
  spec.checkpoint_interval_s = amount_field(object, "snapshot_every_s");
  spec.checkpoint_duration_s = amount_field(object, "flush_s");
  if (!absent(object, "due_s")) spec.deadline_s = amount_field(object, "due_s");
  if (!absent(object, "waits_on")) spec.depends_on = jobs_field(object, "waits_on");
  return spec;
}

Json to_json(const JobSpec& spec) {
  Json object{{"uid", spec.id.value},
              {"queue", spec.job_class},
              {"owner", spec.team},
              {"shape", name_of(spec.kind)},
              {"rank", name_of(spec.priority)},
              {"members", spec.task_count},
              {"together", spec.zone_affinity},
              {"scatter", spec.zone_spread},
              {"reclaimable", spec.allows_preemptible},
              {"bundle", spec.image},
              {"size_gb", spec.image_size_gb},
              {"guess_s", spec.estimated_runtime_s},
              {"snapshot_every_s", spec.checkpoint_interval_s},
              {"flush_s", spec.checkpoint_duration_s}};
  put_resources(object, spec.request);
  if (spec.machine_types) object["flavors"] = *spec.machine_types;
  if (spec.zone) object["rack_room"] = *spec.zone;
  if (spec.deadline_s) object["due_s"] = *spec.deadline_s;
  // Only where it is there: all other jobs look to version 0.2.0 as they always did.
  if (!spec.depends_on.empty()) {
    Json list = Json::array();
    for (const auto& id : spec.depends_on) list.push_back(id.value);
    object["waits_on"] = std::move(list);
  }
  return object;
}

std::vector<MachineType> parse_machine_types(const Json& object) {
  std::vector<MachineType> machine_types;
  for (const auto& item : list_field(object, "flavors")) {
    MachineType machine_type;
    machine_type.name = text_field(item, "name");
    machine_type.capacity = resources_of(item);
    machine_type.local_gb = amount_field(item, "local_gb");
    machine_type.image_pull_gb_per_s = amount_field(item, "pull_gb_per_s");
    machine_type.hourly_price = amount_field(item, "rate");
    machine_type.preemptible_hourly_price = amount_field(item, "low_price");
    machine_type.boot_s = amount_field(item, "boot_s");
    machine_type.zones = texts_field(item, "rack_rooms");
    machine_types.push_back(std::move(machine_type));
  }
  return machine_types;
}

Json to_json(const std::vector<MachineType>& machine_types) {
  Json list = Json::array();
  for (const auto& machine_type : machine_types) {
    Json item{{"name", machine_type.name},
              {"local_gb", machine_type.local_gb},
              {"pull_gb_per_s", machine_type.image_pull_gb_per_s},
              {"rate", machine_type.hourly_price},
              {"low_price", machine_type.preemptible_hourly_price},
              {"boot_s", machine_type.boot_s},
              {"rack_rooms", machine_type.zones}};
    put_resources(item, machine_type.capacity);
    list.push_back(std::move(item));
  }
  return Json{{"flavors", std::move(list)}};
}

Heartbeat parse_heartbeat(const Json& object) {
  Heartbeat heartbeat;
  heartbeat.machine_id = MachineId{text_field(object, "host")};
  heartbeat.address = text_field(object, "address");
  heartbeat.machine_type = text_field(object, "flavor");
  heartbeat.zone = text_field(object, "rack_room");
  heartbeat.preemptible = flag_field(object, "reclaimable");
  heartbeat.agent_epoch = AgentEpoch{count_field(object, "tenure")};
  heartbeat.sequence = count_field(object, "counter");
  heartbeat.fencing_token = FencingToken{count_field(object, "fence")};
  if (!absent(object, "warning_s")) heartbeat.preemption_notice_s = amount_field(object, "warning_s");
  for (const auto& item : list_field(object, "members")) {
    TaskStatus task_status;
    task_status.task = task_field(item);
    task_status.attempt = AttemptNumber{count_field(item, "try_no")};
    task_status.state = value_in(kTaskStates, text_field(item, "phase"), "phase");
    if (task_status.state == TaskState::exited)
      task_status.exit_reason = value_in(kExitReasons, text_field(item, "exit_cause"), "exit_cause");
    if (!absent(item, "kept")) task_status.checkpoint_saved = flag_field(item, "kept");
    heartbeat.tasks.push_back(std::move(task_status));
  }
  return heartbeat;
}

Json to_json(const Heartbeat& heartbeat) {
  Json members = Json::array();
  for (const auto& task_status : heartbeat.tasks) {
    Json item{{"member", task_status.task.text()},
              {"try_no", task_status.attempt.value},
              {"phase", name_in(kTaskStates, task_status.state)}};
    if (task_status.state == TaskState::exited) item["exit_cause"] = name_of(task_status.exit_reason);
    if (task_status.checkpoint_saved) item["kept"] = true;
    members.push_back(std::move(item));
  }
  return Json{
      {"host", heartbeat.machine_id.value},
      {"address", heartbeat.address},
      {"flavor", heartbeat.machine_type},
      {"rack_room", heartbeat.zone},
      {"reclaimable", heartbeat.preemptible},
      {"tenure", heartbeat.agent_epoch.value},
      {"counter", heartbeat.sequence},
      {"fence", heartbeat.fencing_token.value},
      {"warning_s", heartbeat.preemption_notice_s ? Json(*heartbeat.preemption_notice_s) : Json(nullptr)},
      {"members", std::move(members)}};
}

Json to_json(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const auto& command : commands) {
    Json item{{"verb", name_in(kCommandTypes, command.type)},
              {"member", command.task.text()},
              {"try_no", command.attempt.value}};
    if (command.type == CommandType::stop) item["wind_down_s"] = command.grace_period_s;
    list.push_back(std::move(item));
  }
  return list;
}

std::vector<Command> parse_commands(const Json& array) {
  std::vector<Command> commands;
  for (const auto& item : array) {
    Command command;
    command.type = value_in(kCommandTypes, text_field(item, "verb"), "verb");
    command.task = task_field(item);
    command.attempt = AttemptNumber{count_field(item, "try_no")};
    if (command.type == CommandType::stop) command.grace_period_s = amount_field(item, "wind_down_s");
    commands.push_back(std::move(command));
  }
  return commands;
}

MachinePage parse_machine_page(const Json& object) {
  MachinePage page;
  for (const auto& item : list_field(object, "hosts")) {
    ListedMachine machine_id;
    machine_id.id = MachineId{text_field(item, "uid")};
    machine_id.address = absent(item, "address") ? "" : text_field(item, "address");
    machine_id.machine_type = text_field(item, "flavor");
    machine_id.zone = text_field(item, "rack_room");
    machine_id.preemptible = flag_field(item, "reclaimable");
    machine_id.state = text_field(item, "phase");
    machine_id.age_s = amount_field(item, "held_s");
    page.machines.push_back(std::move(machine_id));
  }
  page.has_next = !absent(object, "has_next") && flag_field(object, "has_next");
  return page;
}

}  // namespace bankhill::wire
