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
  const auto member = parse_member_id(text);
  if (!member) throw Malformed("'" + text + "' is not a chunk of a job");
  return {member->job, member->index};
}
}  // namespace

const char* name_of(JobPhase phase) {
  switch (phase) {
    case JobPhase::accepted:
      return "accepted";
    case JobPhase::done:
      return "done";
    case JobPhase::cancelled:
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
  Json object{{"spec", to_json(record.spec)}, {"phase", name_of(record.phase)}, {"at", record.accepted_at}};
  if (record.ended_at > 0) object["ended"] = record.ended_at;
  if (record.cutoff) object["cutoff"] = *record.cutoff;
  if (record.waits_parts > 0) {
    object["waits_parts"] = record.waits_parts;
    object["spec"].erase("waits_on");
  }
  return object;
}

Json final_json(const JobRecord& record, JobPhase phase, double now, std::size_t value_bytes) {
  auto ended = record;
  ended.phase = phase;
  ended.ended_at = now;
  ended.waits_parts = 0;
  auto object = to_json(ended);
  if (stored_bytes(object) <= value_bytes) return object;
  ended.spec.waits_on.clear();
  ended.spec.flavors.reset();
  ended.spec.rack_room.reset();
  object = to_json(ended);
  if (stored_bytes(object) <= value_bytes) return object;
  // The team stays: tasks still to be stopped count for it.
  ended.spec.queue = ended.spec.bundle = "-";
  return to_json(ended);
}

KeyedValues stored_job(const JobRecord& record, std::size_t value_bytes, std::size_t txn_ops) {
  const auto key = job_key(record.spec.uid);
  if (auto whole = to_json(record); stored_bytes(whole) <= value_bytes) return {{key, std::move(whole)}};
  KeyedValues values{{key, {}}};
  std::string text;
  const auto close = [&] {
    values.emplace_back(waits_key(record.spec.uid, static_cast<std::uint32_t>(values.size() - 1)), text);
    text.clear();
  };
  // Of an id only the digits, as text: half the room of a list.
  for (const auto& id : record.spec.waits_on) {
    const auto digits = id.value.substr(kJobPrefix.size());
    if (!text.empty() && text.size() + digits.size() + kJsonOverhead > value_bytes) close();
    text += (text.empty() ? "" : " ") + digits;
  }
  if (!text.empty()) close();
  auto split = record;
  split.waits_parts = static_cast<std::uint32_t>(values.size() - 1);
  values.front().second = to_json(split);
  if (values.size() > txn_ops || stored_bytes(values.front().second) > value_bytes) return {};
  return values;
}

std::vector<JobId> parse_waits_part(const Json& data) {
  if (!data.is_string()) throw Malformed("what a job waits for is not text");
  std::vector<JobId> jobs;
  std::istringstream words(data.get<std::string>());
  for (std::string digits; words >> digits;) {
    auto id = parse_job_id(kJobPrefix + digits);
    if (!id) throw Malformed("what a job waits for holds something other than jobs");
    jobs.push_back(std::move(*id));
  }
  return jobs;
}

KeyedValues stored_catalogue(const std::vector<Flavor>& flavors, std::size_t value_bytes,
                             std::uint64_t generation) {
  if (auto whole = to_json(flavors); stored_bytes(whole) <= value_bytes)
    return {{kCatalogueKey, std::move(whole)}};
  std::vector<std::vector<Flavor>> parts(1);
  constexpr std::size_t kAround = 64;  // generation and number of parts
  for (const auto& flavor : flavors) {
    parts.back().push_back(flavor);
    if (parts.back().size() == 1 || stored_bytes(to_json(parts.back())) + kAround <= value_bytes) continue;
    parts.back().pop_back();
    parts.push_back({flavor});
  }
  KeyedValues values;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    auto part = to_json(parts[i]);
    part["generation"] = generation;
    part["parts"] = parts.size();
    values.emplace_back(kCatalogueParts + std::to_string(i), std::move(part));
  }
  return values;
}

std::optional<std::vector<Flavor>> CatalogueReader::learn(const std::string& key,
                                                          const std::optional<Json>& data) {
  if (key == kCatalogueKey) return data ? std::optional(parse_flavors(*data)) : std::nullopt;
  if (!key.starts_with(kCatalogueParts)) return std::nullopt;
  if (!data) {
    parts_.erase(key);
    return std::nullopt;
  }
  parts_[key] = *data;
  const auto generation = count_field(*data, "generation");
  const auto count = count_field(*data, "parts");
  std::vector<Flavor> flavors;
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto part = parts_.find(kCatalogueParts + std::to_string(i));
    if (part == parts_.end() || count_field(part->second, "generation") != generation) return std::nullopt;
    for (auto& flavor : parse_flavors(part->second)) flavors.push_back(std::move(flavor));
  }
  return flavors;
}

namespace {
JobPhase job_phase(const Json& object) {
  const auto phase = text_field(object, "phase");
  if (phase == "done") return JobPhase::done;
  if (phase == "cancelled") return JobPhase::cancelled;
  if (phase != "accepted") throw FieldError("phase", "is not one of its values");
  return JobPhase::accepted;
}
}  // namespace

JobRemains job_remains(const Json& data) {
  JobRemains remains;
  if (!data.is_object()) return remains;
  try {
    remains.phase = job_phase(data);
    remains.members = static_cast<std::uint32_t>(count_field(data.at("spec"), "members"));
  } catch (const std::exception&) {
    // What was read before stands.
  }
  return remains;
}

JobRecord parse_job_record(const Json& object) {
  JobRecord record;
  record.spec = parse_job(object.at("spec"));
  record.phase = job_phase(object);
  record.accepted_at = object.at("at").get<double>();
  if (!absent(object, "ended")) record.ended_at = object.at("ended").get<double>();
  if (!absent(object, "waits_parts"))
    record.waits_parts = static_cast<std::uint32_t>(count_field(object, "waits_parts"));
  if (const auto cutoff = object.find("cutoff"); cutoff != object.end() && cutoff->is_number())
    record.cutoff = cutoff->get<double>();
  return record;
}

Json to_json(const LeaderRecord& record) {
  return Json{{"node", record.node}, {"incarnation", record.incarnation}, {"hold", record.hold}};
}

LeaderRecord parse_leader_record(const Json& object) {
  return {text_field(object, "node"), count_field(object, "incarnation"), count_field(object, "hold")};
}

Json to_json(const BoundsRecord& record) {
  Json teams = Json::object();
  for (const auto& [name, bound] : record.teams) {
    auto& item = teams[name] = Json::object();
    if (std::isfinite(bound.cores)) item["cores"] = bound.cores;
    if (std::isfinite(bound.accelerators)) item["accelerators"] = bound.accelerators;
  }
  return {{"term", record.term}, {"teams", std::move(teams)}};
}

BoundsRecord parse_bounds_record(const Json& object) {
  BoundsRecord record{count_field(object, "term"), {}};
  if (absent(object, "teams") || !object["teams"].is_object()) throw Malformed("teams is not an object");
  const auto amount = [](const Json& item, const char* name) {
    return absent(item, name) ? std::numeric_limits<double>::infinity() : amount_field(item, name);
  };
  for (const auto& [name, item] : object["teams"].items())
    record.teams[name] = {amount(item, "cores"), amount(item, "accelerators"), 0};
  return record;
}

Json to_json(const MachineGroupRecord& record) {
  Json hosts = Json::object();
  for (const auto& [host, address] : record.hosts) hosts[host.value] = address;
  return Json{{"flavor", record.flavor},
              {"rack_room", record.rack_room},
              {"reclaimable", record.reclaimable},
              {"hosts", std::move(hosts)}};
}

MachineGroupRecord parse_machine_group(const std::string& name, const Json& object) {
  MachineGroupRecord record{
      text_field(object, "flavor"), text_field(object, "rack_room"), flag_field(object, "reclaimable"), {}};
  if (!absent(object, "address")) {
    record.hosts.emplace(HostId{name}, text_field(object, "address"));
    return record;
  }
  const auto hosts = object.find("hosts");
  if (hosts == object.end() || !hosts->is_object()) throw FieldError("hosts", "is not an object");
  for (const auto& [host, address] : hosts->items()) {
    if (!address.is_string()) throw FieldError("hosts", "holds something other than addresses");
    record.hosts.emplace(HostId{host}, address.get<std::string>());
  }
  return record;
}

std::size_t group_bytes(const HostId& host, const std::string& address) {
  return host.value.size() + address.size() + kJsonOverhead;
}

Json to_json(const FinishedBucket& bucket) {
  Json object = Json::object();
  for (const auto& [id, hex] : bucket) object[id.job.value + "/" + std::to_string(id.chunk)] = hex;
  return object;
}

FinishedBucket parse_finished_bucket(const std::string& name, const Json& data) {
  if (data.is_string()) return {{parse_chunk_id(name), data.get<std::string>()}};
  if (!data.is_object()) throw Malformed("finished tasks are neither text nor an object");
  FinishedBucket bucket;
  for (const auto& [id, hex] : data.items()) {
    if (!hex.is_string()) throw Malformed("finished tasks are not text");
    bucket.emplace(parse_chunk_id(id), hex.get<std::string>());
  }
  return bucket;
}

std::size_t chunk_bytes(std::uint32_t members, std::uint32_t chunk) {
  constexpr std::size_t kLongestId = 32;
  const auto begin = static_cast<std::size_t>(chunk) * kFinishedChunk;
  const std::size_t tasks = members > begin ? std::min<std::size_t>(members - begin, kFinishedChunk) : 0;
  return tasks / 4 + kLongestId + kJsonOverhead;
}

Json to_json(const RentalRecord& record) {
  Json object{{"flavor", record.flavor},
              {"rack_room", record.rack_room},
              {"reclaimable", record.reclaimable},
              {"count", record.count},
              {"at", record.asked_at}};
  if (record.hosts) object["hosts"] = *record.hosts;
  return object;
}

RentalRecord parse_rental_record(const Json& object) {
  RentalRecord record{
      text_field(object, "flavor"),      text_field(object, "rack_room"),
      flag_field(object, "reclaimable"), static_cast<std::uint32_t>(count_field(object, "count")),
      object.at("at").get<double>(),     std::nullopt};
  if (!absent(object, "hosts")) record.hosts = object.at("hosts").get<std::vector<std::string>>();
  return record;
}

std::string finished_hex(const std::vector<char>& done, std::uint32_t chunk, char done_mark) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  const std::size_t begin = std::size_t{chunk} * kFinishedChunk;
  const std::size_t end = std::min(done.size(), begin + kFinishedChunk);
  for (std::size_t base = begin; base < end; base += 4) {
    unsigned digit = 0;
    for (std::size_t bit = 0; bit < 4 && base + bit < end; ++bit)
      if (done[base + bit] == done_mark) digit |= 1U << bit;
    hex.push_back(kDigits[digit]);
  }
  return hex;
}

std::vector<std::uint32_t> parse_finished_hex(const std::string& hex, std::uint32_t chunk) {
  std::vector<std::uint32_t> indices;
  for (std::size_t position = 0; position < hex.size() && position * 4 < kFinishedChunk; ++position) {
    const char c = hex[position];
    unsigned digit = 0;
    if (c >= '0' && c <= '9')
      digit = static_cast<unsigned>(c - '0');
    else if (c >= 'a' && c <= 'f')
      digit = static_cast<unsigned>(c - 'a') + 10;
    else
      throw Malformed("finished tasks are not hexadecimal");
    for (unsigned bit = 0; bit < 4; ++bit)
      if (digit & (1U << bit))
        indices.push_back(chunk * kFinishedChunk + static_cast<std::uint32_t>(position * 4 + bit));
  }
  return indices;
}

}  // namespace bankhill::wire
