// Which tasks of live jobs are done, a bit each: chunks of the tasks of many jobs share a key.
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

class CompletionBitmaps final : private SharedRecords<std::uint64_t, std::monostate, wire::ChunkId> {
 public:
  // The job if it is live.
  using FindLiveJob = std::function<model::Job*(const wire::JobId&)>;

  CompletionBitmaps(state::WriteCoalescer& writes, FindLiveJob find_live_job, RecordNumbers& numbers,
                    runtime::Log log)
      : SharedRecords(writes, std::move(log)), find_live_job_(std::move(find_live_job)), numbers_(numbers) {}

  using SharedRecords::clear;
  using SharedRecords::contains;
  using SharedRecords::prepare;
  using SharedRecords::store;

  // The record that a key holds; nothing: the key is not one of these records.
  static std::optional<std::uint64_t> number_of(const std::string& key);
  // Whether a record that this leader made under the key holds nothing any more.
  bool is_dropped(const std::string& key) const;

  // The record that holds this chunk of the job's tasks, put into one with room if none does yet.
  std::uint64_t ensure_record(model::Job& job, std::uint32_t chunk);
  // Takes in a chunk that an earlier leader stored in this record.
  void adopt(std::uint64_t number, model::Job& job, std::uint32_t chunk);
  // A final job needs no record of its tasks. What is left of it goes when the record is written next.
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
