// What the leader tells the write coalescer of its records (state/write_coalescer.hpp).
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using state::FlushDelay;
using wire::Json;

// A key of this term's that has gone was made once more by a transaction that came late: its condition, that
// there is none, was true again. The next leader would take it for what is.
void Leader::drop_stray_record(const std::string& key) {
  if (is_stray(key) && !writes_.contains(key)) writes_.store(key, std::nullopt, FlushDelay::garbage);
}

bool Leader::is_stray(const std::string& key) const {
  if (key.starts_with(wire::kRentalKeyPrefix + rental_manager_.name_prefix()))
    return !rental_manager_.has_rental(key.substr(wire::kRentalKeyPrefix.size()));
  return machine_groups_.is_dropped(key) || completion_bitmaps_.is_dropped(key);
}

// A value that is too large by now, stored under a larger limit, is made smaller.
state::WritePreparation Leader::prepare(const std::string& key, state::PendingWrite& write) {
  if (const auto group = storage::MachineGroups::name_of(key)) return machine_groups_.prepare(*group, write);
  if (const auto number = storage::CompletionBitmaps::number_of(key))
    return completion_bitmaps_.prepare(*number, write);
  if (!write.data || wire::stored_bytes(*write.data) <= writes_.value_limit())
    return state::WritePreparation::ready;
  if (key.starts_with(wire::kRentalKeyPrefix)) {
    // Without its machines a new leader asks the cloud for them under the same name.
    write.data->erase("hosts");
  } else if (key.starts_with(wire::kJobKeyPrefix)) {
    const auto record = wire::parse_job_record(*write.data);
    write.data = wire::final_record_json(record, record.state, record.ended_at, writes_.value_limit());
  }
  return state::WritePreparation::ready;
}

bool Leader::may_write() const { return is_active_leader(); }

const Job* Leader::recorded_job(const std::string& key) const {
  const auto found = jobs_.find(wire::JobId{key.substr(wire::kJobKeyPrefix.size())});
  return found == jobs_.end() ? nullptr : &found->second;
}

wire::KeyRevision Leader::expected_revision(const std::string& key) const {
  if (!key.starts_with(wire::kJobKeyPrefix)) return cache_.revision(key);
  const auto* found = recorded_job(key);
  return found == nullptr ? wire::KeyRevision{} : found->revision;
}

// Of jobs those that are over, done by us or cancelled.
bool Leader::is_final(const std::string& key) const {
  if (!key.starts_with(wire::kJobKeyPrefix)) return false;
  const auto* found = recorded_job(key);
  return found == nullptr || found->has_ended();
}

// What a job's record holds is known from its phase alone (is_final).
bool Leader::holds(const std::string& key, const std::optional<Json>& data) const {
  if (key.starts_with(wire::kJobKeyPrefix)) return false;
  const auto* entry = cache_.find(key);
  return data ? entry != nullptr && entry->data == *data : entry == nullptr;
}

// A rental goes with the urgent ones: it waited ten seconds behind a site's first submissions, and every task
// of theirs waits for the machines (lakaskalk-ops, the first half minute). So does the end of a job that
// others wait for.
bool Leader::is_urgent(const std::string& key) const {
  if (key.starts_with(wire::kRentalKeyPrefix) || key == wire::kQuotaKey) return true;
  return key.starts_with(wire::kJobKeyPrefix) &&
         dependencies_.has_dependents(wire::JobId{key.substr(wire::kJobKeyPrefix.size())});
}

void Leader::apply_committed(const state::Change& change) {
  if (change.key.starts_with(wire::kJobKeyPrefix))
    learn_job(change);
  else
    cache_.apply(change);
}

void Leader::after_commit() {
  apply_dependency_updates();
  drop_final();
}

void Leader::record_machine(model::Machine& machine) {
  if (std::exchange(machine.record_pending, true)) return;
  // Invariant 4: it takes tasks only once this is committed.
  machine_groups_.add(machine, [this, machine_id = machine.id] {
    auto* found = fleet_.find(machine_id);
    if (found == nullptr) return;
    found->recorded = true;
    // No earlier leader could use it: it needs no confirmation (invariant 5).
    found->confirmed = found->confirmed || !found->inherited;
    fleet_.refresh(*found);
    schedule_placement();
  });
}

}  // namespace bankhill::leader
