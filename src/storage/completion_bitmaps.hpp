// Records which tasks of live jobs are done, one bit per task. Chunks of tasks of many jobs share a key.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "model/job.hpp"
#include "storage/record_numbers.hpp"
#include "storage/shared_records.hpp"

namespace bankhill::storage {

// Owned by the leader, which assigns chunks to records and queues writes of records when tasks end.
class CompletionBitmaps final : private SharedRecords<std::uint64_t, std::monostate, wire::ChunkId> {
 public:
  // Returns the job if it is live, else null.
  using FindLiveJob = std::function<model::Job*(const wire::JobId&)>;

  CompletionBitmaps(state::WriteCoalescer& writes, FindLiveJob find_live_job, RecordNumbers& numbers,
                    runtime::Log log)
      : SharedRecords(writes, std::move(log)), find_live_job_(std::move(find_live_job)), numbers_(numbers) {}

  using SharedRecords::clear;
  using SharedRecords::contains;
  using SharedRecords::prepare;
  using SharedRecords::store;

  // Returns the number of the record under this key, or nothing if the key is not one of a completion record.
  static std::optional<std::uint64_t> number_of(const std::string& key);
  // Whether the key was that of a record that this leader created in this term and has dropped since.
  bool is_dropped(const std::string& key) const;

  // Returns the record that holds this chunk of the job's tasks. A chunk without a record is added to one
  // that accepts further chunks.
  std::uint64_t ensure_record(model::Job& job, std::uint32_t chunk);
  // Adopts a chunk that an earlier leader stored in this record.
  void adopt(std::uint64_t number, model::Job& job, std::uint32_t chunk);
  // Removes a final job from its records: its tasks need none. Its stored chunks disappear with the next
  // write of each record.
  void remove(model::Job& job);

 private:
  std::string key(const std::uint64_t& number) const override { return wire::completion_key(number); }
  std::uint64_t new_name() override { return numbers_.next(); }
  std::optional<wire::Json> render(const Record& record) const override;
  std::optional<std::size_t> item_bytes(const wire::ChunkId& id) const override;
  std::optional<std::uint64_t> relocate(const wire::ChunkId& id, const std::uint64_t& from) override;

  FindLiveJob find_live_job_;
  RecordNumbers& numbers_;
};

}  // namespace bankhill::storage
