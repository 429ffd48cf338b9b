#include "wire/records.hpp"

#include <algorithm>

namespace bankhill::wire {

std::string finished_key(const JobId& id, std::uint32_t chunk) {
  return kFinished + id.value + "/" + std::to_string(chunk);
}

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

Json to_json(const JobRecord& record) {
  return Json{{"spec", to_json(record.spec)}, {"phase", name_of(record.phase)}, {"at", record.accepted_at}};
}

JobRecord parse_job_record(const Json& object) {
  JobRecord record;
  record.spec = parse_job(object.at("spec"));
  const auto phase = text_field(object, "phase");
  if (phase == "done")
    record.phase = JobPhase::done;
  else if (phase == "cancelled")
    record.phase = JobPhase::cancelled;
  else if (phase != "accepted")
    throw Malformed("field 'phase' is not one of its values");
  record.accepted_at = object.at("at").get<double>();
  return record;
}

Json to_json(const LeaderRecord& record) {
  return Json{{"node", record.node}, {"incarnation", record.incarnation}, {"hold", record.hold}};
}

LeaderRecord parse_leader_record(const Json& object) {
  return {text_field(object, "node"), count_field(object, "incarnation"), count_field(object, "hold")};
}

Json to_json(const MachineRecord& record) {
  return Json{{"address", record.address},
              {"flavor", record.flavor},
              {"rack_room", record.rack_room},
              {"reclaimable", record.reclaimable}};
}

MachineRecord parse_machine_record(const Json& object) {
  return {text_field(object, "address"), text_field(object, "flavor"), text_field(object, "rack_room"),
          flag_field(object, "reclaimable")};
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
