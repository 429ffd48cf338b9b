#include "storage/completion_bitmaps.hpp"

#include <cstdlib>

#include "wire/records.hpp"

namespace bankhill::storage {

namespace {
std::size_t bytes_of(const model::Job& job, std::uint32_t chunk) {
  return wire::chunk_bytes(job.spec.task_count, chunk);
}
}  // namespace

std::optional<std::uint64_t> CompletionBitmaps::number_of(const std::string& key) {
  if (!key.starts_with(wire::kCompletionKeyPrefix)) return std::nullopt;
  const auto name = key.substr(wire::kCompletionKeyPrefix.size());
  if (name.find('/') != std::string::npos)
    return std::nullopt;  // a key of version 0.1, which is only ever deleted
  return std::stoull(name);
}

bool CompletionBitmaps::is_dropped(const std::string& key) const {
  if (!key.starts_with(wire::kCompletionKeyPrefix)) return false;
  // number_of() would throw for a key that another program wrote and that is not a number.
  const auto number = std::strtoull(key.substr(wire::kCompletionKeyPrefix.size()).c_str(), nullptr, 10);
  return RecordNumbers::term_of(number) == numbers_.term() && key == wire::completion_key(number) &&
         !contains(number);
}

std::uint64_t CompletionBitmaps::ensure_record(model::Job& job, std::uint32_t chunk) {
  const auto existing = job.completion_buckets.find(chunk);
  if (existing != job.completion_buckets.end()) return existing->second;
  const auto number = add({}, {job.spec.id, chunk}, bytes_of(job, chunk));
  job.completion_buckets.emplace(chunk, number);
  return number;
}

void CompletionBitmaps::adopt(std::uint64_t number, model::Job& job, std::uint32_t chunk) {
  add_item(find_or_create(number), {job.spec.id, chunk}, bytes_of(job, chunk));
  job.completion_buckets[chunk] = number;
}

void CompletionBitmaps::remove(model::Job& job) {
  for (const auto& [chunk, number] : job.completion_buckets) {
    auto& record = find_or_create(number);
    SharedRecords::remove(record, {job.spec.id, chunk}, bytes_of(job, chunk));
    if (record.move_in_progress) continue;
    if (record.bytes < record_limit() / 2) mark_open(number, record);
    if (drop_if_empty(number)) store(number, state::FlushDelay::garbage);
  }
  job.completion_buckets.clear();
}

std::optional<wire::Json> CompletionBitmaps::render(const Record& record) const {
  wire::CompletionBucket stored;
  for (const auto& id : record.items)
    if (const auto* job = find_live_job_(id.job))
      stored.emplace(id, wire::completion_hex(job->task_progress, id.chunk, model::kTaskDone));
  if (stored.empty()) return std::nullopt;
  return to_json(stored);
}

std::optional<std::size_t> CompletionBitmaps::item_bytes(const wire::ChunkId& id) const {
  const auto* job = find_live_job_(id.job);
  if (job == nullptr) return std::nullopt;
  return bytes_of(*job, id.chunk);
}

std::optional<std::uint64_t> CompletionBitmaps::relocate(const wire::ChunkId& id, const std::uint64_t& from) {
  auto* job = find_live_job_(id.job);
  if (job == nullptr) return std::nullopt;
  const auto assigned = job->completion_buckets.find(id.chunk);
  if (assigned == job->completion_buckets.end() || assigned->second != from) return std::nullopt;
  assigned->second = add({}, id, bytes_of(*job, id.chunk));
  return assigned->second;
}

}  // namespace bankhill::storage
