// The records of one leader's machines. Machines of the same pool share a key.
#pragma once

#include <optional>
#include <string>

#include "model/fleet.hpp"
#include "storage/record_numbers.hpp"
#include "storage/shared_records.hpp"

namespace bankhill::storage {

// Owned by the leader, which adds, removes and adopts machines.
class MachineGroups final : private SharedRecords<std::string, model::Pool, wire::MachineId> {
 public:
  MachineGroups(state::WriteCoalescer& writes, model::Fleet& fleet, RecordNumbers& numbers, runtime::Log log)
      : SharedRecords(writes, std::move(log)), fleet_(fleet), numbers_(numbers) {}

  using SharedRecords::clear;
  using SharedRecords::prepare;
  using SharedRecords::rewrite;

  // Returns the name of the group under this key, or nothing if the key is not one of a group.
  static std::optional<std::string> name_of(const std::string& key);
  // Whether the key was that of a group that this leader created in this term and has dropped since.
  bool is_dropped(const std::string& key) const;

  // Adds the machine to a group of its pool that accepts machines; calls the callback once that is committed.
  void add(model::Machine& machine, state::WriteCallback callback);
  void remove(const model::Machine& machine);

  // Adopts a group that an earlier leader stored. `permanently_closed`: whether version 0.1 wrote it, which
  // stored one machine per key.
  void adopt(const std::string& name, const model::Pool& pool, bool permanently_closed);
  // Adopts a machine that an earlier leader stored in this group.
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
