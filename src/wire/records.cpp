#include "wire/records.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <sstream>

namespace bankhill::wire {

namespace {
constexpr std::size_t kJsonOverhead = 8;  // quotes, colon, comma and brackets of one member
constexpr double kUsable = 0.9;           // of the value limit
const std::string kJobPrefix = "job-";

ChunkId parse_chunk_id(const std::string& text) {
  const auto task_id = parse_task_id(text);
  if (!task_id) throw ProtocolError("'" + text + "' is not a chunk of a job");
  return {task_id->job, task_id->index};
}
}  // namespace

const char* name_of(JobState phase) {
  switch (phase) {
    case JobState::accepted:
      return "accepted";
    case JobState::done:
      return "done";
    case JobState::cancelled:
      return "cancelled";
  }
  return "";
}

std::size_t usable_bytes(double value_kb) { return static_cast<std::size_t>(value_kb * 1024 * kUsable); }

std::size_t stored_bytes(const Json& data) {
  const auto text = data.dump(-1, ' ', true);
  return text.size() + static_cast<std::size_t>(std::count_if(text.begin(), text.end(),
                                                              [](char c) { return c == ',' || c == ':'; }));
}

Json to_json(const JobRecord& record) {
  Json object{{"spec", to_json(record.spec)}, {"phase", name_of(record.state)}, {"at", record.accepted_at}};
  if (record.ended_at > 0) object["ended"] = record.ended_at;
  if (record.cutoff) object["cutoff"] = *record.cutoff;
  if (record.dependency_parts > 0) {
    object["waits_parts"] = record.dependency_parts;
    object["spec"].erase("waits_on");
  }
  return object;
}

Json final_record_json(const JobRecord& record, JobState phase, double now, std::size_t value_bytes) {
  auto ended = record;
  ended.state = phase;
  ended.ended_at = now;
  ended.dependency_parts = 0;
  auto object = to_json(ended);
  if (stored_bytes(object) <= value_bytes) return object;
  ended.spec.depends_on.clear();
  ended.spec.machine_types.reset();
  ended.spec.zone.reset();
  object = to_json(ended);
  if (stored_bytes(object) <= value_bytes) return object;
  // The team stays: tasks still to be stopped count for it.
  ended.spec.job_class = ended.spec.image = "-";
  return to_json(ended);
}

KeyedValues stored_job(const JobRecord& record, std::size_t value_bytes, std::size_t txn_ops) {
  const auto key = job_key(record.spec.id);
  if (auto whole = to_json(record); stored_bytes(whole) <= value_bytes) return {{key, std::move(whole)}};
  KeyedValues values{{key, {}}};
  std::string text;
  const auto close = [&] {
    values.emplace_back(dependencies_key(record.spec.id, static_cast<std::uint32_t>(values.size() - 1)),
                        text);
    text.clear();
  };
  // Of an id only the digits, as text: half the room of a list.
  for (const auto& id : record.spec.depends_on) {
    const auto digits = id.value.substr(kJobPrefix.size());
    if (!text.empty() && text.size() + digits.size() + kJsonOverhead > value_bytes) close();
    text += (text.empty() ? "" : " ") + digits;
  }
  if (!text.empty()) close();
  auto split = record;
  split.dependency_parts = static_cast<std::uint32_t>(values.size() - 1);
  values.front().second = to_json(split);
  if (values.size() > txn_ops || stored_bytes(values.front().second) > value_bytes) return {};
  return values;
}

std::vector<JobId> parse_dependencies_part(const Json& data) {
  if (!data.is_string()) throw ProtocolError("what a job waits for is not text");
  std::vector<JobId> jobs;
  std::istringstream words(data.get<std::string>());
  for (std::string digits; words >> digits;) {
    auto id = parse_job_id(kJobPrefix + digits);
    if (!id) throw ProtocolError("what a job waits for holds something other than jobs");
    jobs.push_back(std::move(*id));
  }
  return jobs;
}

KeyedValues stored_catalogue(const std::vector<MachineType>& machine_types, std::size_t value_bytes,
                             std::uint64_t generation) {
  if (auto whole = to_json(machine_types); stored_bytes(whole) <= value_bytes)
    return {{kCatalogueKey, std::move(whole)}};
  std::vector<std::vector<MachineType>> parts(1);
  constexpr std::size_t kAround = 64;  // generation and number of parts
  for (const auto& machine_type : machine_types) {
    parts.back().push_back(machine_type);
    if (parts.back().size() == 1 || stored_bytes(to_json(parts.back())) + kAround <= value_bytes) continue;
    parts.back().pop_back();
    parts.push_back({machine_type});
  }
  KeyedValues values;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    auto part = to_json(parts[i]);
    part["generation"] = generation;
    part["parts"] = parts.size();
    values.emplace_back(kCataloguePartKeyPrefix + std::to_string(i), std::move(part));
  }
  return values;
}

std::optional<std::vector<MachineType>> CatalogueReader::learn(const std::string& key,
                                                               const std::optional<Json>& data) {
  if (key == kCatalogueKey) return data ? std::optional(parse_machine_types(*data)) : std::nullopt;
  if (!key.starts_with(kCataloguePartKeyPrefix)) return std::nullopt;
  if (!data) {
    parts_.erase(key);
    return std::nullopt;
  }
  parts_[key] = *data;
  const auto generation = count_field(*data, "generation");
  const auto count = count_field(*data, "parts");
  std::vector<MachineType> machine_types;
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto part = parts_.find(kCataloguePartKeyPrefix + std::to_string(i));
    if (part == parts_.end() || count_field(part->second, "generation") != generation) return std::nullopt;
    for (auto& machine_type : parse_machine_types(part->second))
      machine_types.push_back(std::move(machine_type));
  }
  return machine_types;
}

namespace {
JobState job_phase(const Json& object) {
  const auto phase = text_field(object, "phase");
  if (phase == "done") return JobState::done;
  if (phase == "cancelled") return JobState::cancelled;
  if (phase != "accepted") throw FieldError("phase", "is not one of its values");
  return JobState::accepted;
}
}  // namespace

PartialJobRecord parse_partial_job_record(const Json& data) {
  PartialJobRecord remains;
  if (!data.is_object()) return remains;
  try {
    remains.state = job_phase(data);
    remains.task_count = static_cast<std::uint32_t>(count_field(data.at("spec"), "members"));
  } catch (const std::exception&) {
    // What was read before stands.
  }
  return remains;
}

JobRecord parse_job_record(const Json& object) {
  JobRecord record;
  record.spec = parse_job(object.at("spec"));
  record.state = job_phase(object);
  record.accepted_at = object.at("at").get<double>();
  if (!absent(object, "ended")) record.ended_at = object.at("ended").get<double>();
  if (!absent(object, "waits_parts"))
    record.dependency_parts = static_cast<std::uint32_t>(count_field(object, "waits_parts"));
  if (const auto cutoff = object.find("cutoff"); cutoff != object.end() && cutoff->is_number())
    record.cutoff = cutoff->get<double>();
  return record;
}

Json to_json(const LeaderRecord& record) {
  return Json{{"node", record.node}, {"incarnation", record.incarnation}, {"hold", record.lease_id}};
}

LeaderRecord parse_leader_record(const Json& object) {
  return {text_field(object, "node"), count_field(object, "incarnation"), count_field(object, "hold")};
}

Json to_json(const QuotaRecord& record) {
  Json teams = Json::object();
  for (const auto& [name, bound] : record.teams) {
    auto& item = teams[name] = Json::object();
    if (std::isfinite(bound.cores)) item["cores"] = bound.cores;
    if (std::isfinite(bound.accelerators)) item["accelerators"] = bound.accelerators;
  }
  return {{"term", record.term}, {"teams", std::move(teams)}};
}

QuotaRecord parse_quota_record(const Json& object) {
  QuotaRecord record{count_field(object, "term"), {}};
  if (absent(object, "teams") || !object["teams"].is_object()) throw ProtocolError("teams is not an object");
  const auto amount = [](const Json& item, const char* name) {
    return absent(item, name) ? std::numeric_limits<double>::infinity() : amount_field(item, name);
  };
  for (const auto& [name, item] : object["teams"].items())
    record.teams[name] = {amount(item, "cores"), amount(item, "accelerators"), 0};
  return record;
}

Json to_json(const MachineGroupRecord& record) {
  Json hosts = Json::object();
  for (const auto& [host, address] : record.machines) hosts[host.value] = address;
  return Json{{"flavor", record.machine_type},
              {"rack_room", record.zone},
              {"reclaimable", record.preemptible},
              {"hosts", std::move(hosts)}};
}

MachineGroupRecord parse_machine_group(const std::string& name, const Json& object) {
  MachineGroupRecord record{
      text_field(object, "flavor"), text_field(object, "rack_room"), flag_field(object, "reclaimable"), {}};
  if (!absent(object, "address")) {
    record.machines.emplace(MachineId{name}, text_field(object, "address"));
    return record;
  }
  const auto hosts = object.find("hosts");
  if (hosts == object.end() || !hosts->is_object()) throw FieldError("hosts", "is not an object");
  for (const auto& [host, address] : hosts->items()) {
    if (!address.is_string()) throw FieldError("hosts", "holds something other than addresses");
    record.machines.emplace(MachineId{host}, address.get<std::string>());
  }
  return record;
}

std::size_t group_bytes(const MachineId& machine_id, const std::string& address) {
  return machine_id.value.size() + address.size() + kJsonOverhead;
}

Json to_json(const CompletionBucket& bucket) {
  Json object = Json::object();
  for (const auto& [id, hex] : bucket) object[id.job.value + "/" + std::to_string(id.chunk)] = hex;
  return object;
}

CompletionBucket parse_completion_bucket(const std::string& name, const Json& data) {
  if (data.is_string()) return {{parse_chunk_id(name), data.get<std::string>()}};
  if (!data.is_object()) throw ProtocolError("finished tasks are neither text nor an object");
  CompletionBucket bucket;
  for (const auto& [id, hex] : data.items()) {
    if (!hex.is_string()) throw ProtocolError("finished tasks are not text");
    bucket.emplace(parse_chunk_id(id), hex.get<std::string>());
  }
  return bucket;
}

std::size_t chunk_bytes(std::uint32_t members, std::uint32_t chunk) {
  constexpr std::size_t kLongestId = 32;
  const auto begin = static_cast<std::size_t>(chunk) * kCompletionChunkTasks;
  const std::size_t tasks =
      members > begin ? std::min<std::size_t>(members - begin, kCompletionChunkTasks) : 0;
  return tasks / 4 + kLongestId + kJsonOverhead;
}

Json to_json(const RentalRecord& record) {
  Json object{{"flavor", record.machine_type},
              {"rack_room", record.zone},
              {"reclaimable", record.preemptible},
              {"count", record.count},
              {"at", record.requested_at}};
  if (record.machine_ids) object["hosts"] = *record.machine_ids;
  return object;
}

RentalRecord parse_rental_record(const Json& object) {
  RentalRecord record{
      text_field(object, "flavor"),      text_field(object, "rack_room"),
      flag_field(object, "reclaimable"), static_cast<std::uint32_t>(count_field(object, "count")),
      object.at("at").get<double>(),     std::nullopt};
  if (!absent(object, "hosts")) record.machine_ids = object.at("hosts").get<std::vector<std::string>>();
  return record;
}

std::string completion_hex(const std::vector<char>& done, std::uint32_t chunk, char done_mark) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  const std::size_t begin = std::size_t{chunk} * kCompletionChunkTasks;
  const std::size_t end = std::min(done.size(), begin + kCompletionChunkTasks);
  for (std::size_t base = begin; base < end; base += 4) {
    unsigned digit = 0;
    for (std::size_t bit = 0; bit < 4 && base + bit < end; ++bit)
      if (done[base + bit] == done_mark) digit |= 1U << bit;
    hex.push_back(kDigits[digit]);
  }
  return hex;
}

std::vector<std::uint32_t> parse_completion_hex(const std::string& hex, std::uint32_t chunk) {
  std::vector<std::uint32_t> indices;
  for (std::size_t position = 0; position < hex.size() && position * 4 < kCompletionChunkTasks; ++position) {
    const char c = hex[position];
    unsigned digit = 0;
    if (c >= '0' && c <= '9')
      digit = static_cast<unsigned>(c - '0');
    else if (c >= 'a' && c <= 'f')
      digit = static_cast<unsigned>(c - 'a') + 10;
    else
      throw ProtocolError("finished tasks are not hexadecimal");
    for (unsigned bit = 0; bit < 4; ++bit)
      if (digit & (1U << bit))
        indices.push_back(chunk * kCompletionChunkTasks + static_cast<std::uint32_t>(position * 4 + bit));
  }
  return indices;
}

}  // namespace bankhill::wire
