// The records of the machines of one leader: machines of one pool share a key.
#pragma once

#include <optional>
#include <string>

#include "model/fleet.hpp"
#include "storage/record_numbers.hpp"
#include "storage/shared_records.hpp"

namespace bankhill::storage {

class MachineGroups final : private SharedRecords<std::string, model::Pool, wire::MachineId> {
 public:
  MachineGroups(state::WriteCoalescer& writes, model::Fleet& fleet, RecordNumbers& numbers, runtime::Log log)
      : SharedRecords(writes, std::move(log)), fleet_(fleet), numbers_(numbers) {}

  using SharedRecords::clear;
  using SharedRecords::prepare;
  using SharedRecords::rewrite;

  // The group that a key records; nothing: the key is not one of a group.
  static std::optional<std::string> name_of(const std::string& key);
  // Whether a group that this leader made under the key holds nothing any more.
  bool is_dropped(const std::string& key) const;

  // Records the machine in a group of its pool with room; the callback follows once that is committed.
  void add(model::Machine& machine, state::WriteCallback callback);
  void remove(const model::Machine& machine);

  // Takes in a group that an earlier leader stored. `fixed`: of version 0.1, which wrote one machine to a
  // key.
  void adopt(const std::string& name, const model::Pool& pool, bool fixed);
  void adopt_machine(const std::string& name, model::Machine& machine);

 private:
  std::string key(const std::string& name) const override { return wire::machine_group_key(name); }
  std::string new_name() override;
  std::optional<wire::Json> render(const Record& record) const override;
  std::optional<std::size_t> item_bytes(const wire::MachineId& machine_id) const override;
  std::optional<std::string> relocate(const wire::MachineId& machine_id, const std::string& from) override;
  void put_into_group(model::Machine& machine);

  model::Fleet& fleet_;
  RecordNumbers& numbers_;
};

}  // namespace bankhill::storage
