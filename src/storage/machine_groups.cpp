#include "storage/machine_groups.hpp"

#include "wire/records.hpp"

namespace bankhill::storage {

namespace {
std::size_t bytes_of(const model::Machine& machine) { return wire::group_bytes(machine.id, machine.address); }
}  // namespace

std::optional<std::string> MachineGroups::name_of(const std::string& key) {
  if (!key.starts_with(wire::kMachineKeyPrefix)) return std::nullopt;
  return key.substr(wire::kMachineKeyPrefix.size());
}

bool MachineGroups::is_dropped(const std::string& key) const {
  const auto name = name_of(key);
  return name && name->starts_with(std::to_string(numbers_.term()) + "-") && !contains(*name);
}

std::string MachineGroups::new_name() {
  return std::to_string(numbers_.term()) + "-" + std::to_string(numbers_.next_in_term());
}

void MachineGroups::put_into_group(model::Machine& machine) {
  const model::Pool pool{machine.machine_type, machine.zone, machine.preemptible};
  machine.record_group = SharedRecords::add(pool, machine.id, bytes_of(machine));
}

void MachineGroups::add(model::Machine& machine, state::WriteCallback callback) {
  put_into_group(machine);
  store(machine.record_group, state::FlushDelay::machines, std::move(callback));
}

void MachineGroups::remove(const model::Machine& machine) {
  // Copied, because the machine's own field may change while the group is dropped.
  const std::string name = machine.record_group;
  auto* group = find(name);
  if (group == nullptr) return;
  SharedRecords::remove(*group, machine.id, bytes_of(machine));
  if (!group->permanently_closed && !group->move_in_progress && group->bytes < record_limit())
    mark_open(name, *group);
  store(name, state::FlushDelay::removal);
  if (!group->move_in_progress) drop_if_empty(name);
}

void MachineGroups::adopt(const std::string& name, const model::Pool& pool, bool permanently_closed) {
  auto& group = find_or_create(name);
  group.pool = pool;
  group.permanently_closed = permanently_closed;
}

void MachineGroups::adopt_machine(const std::string& name, model::Machine& machine) {
  machine.record_group = name;
  add_item(find_or_create(name), machine.id, bytes_of(machine));
}

std::optional<wire::Json> MachineGroups::render(const Record& record) const {
  wire::MachineGroupRecord stored{record.pool.machine_type, record.pool.zone, record.pool.preemptible, {}};
  for (const auto& machine_id : record.items)
    if (const auto* machine = fleet_.peek(machine_id)) stored.machines.emplace(machine_id, machine->address);
  if (stored.machines.empty()) return std::nullopt;
  return to_json(stored);
}

std::optional<std::size_t> MachineGroups::item_bytes(const wire::MachineId& machine_id) const {
  const auto* machine = fleet_.peek(machine_id);
  if (machine == nullptr) return std::nullopt;
  return bytes_of(*machine);
}

std::optional<std::string> MachineGroups::relocate(const wire::MachineId& machine_id,
                                                   const std::string& from) {
  auto* machine = fleet_.find(machine_id);
  if (machine == nullptr || machine->record_group != from) return std::nullopt;
  put_into_group(*machine);
  return machine->record_group;
}

}  // namespace bankhill::storage
