// The leader's implementation of state::WriteOwner: what the write coalescer needs to know of the leader's
// records (state/write_coalescer.hpp).
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using state::FlushDelay;
using wire::Json;

// Deletes a record that was deleted in this term and then created once more by a late transaction: its
// condition, that the key does not exist, had become true again. The next leader would take the record for
// valid.
void Leader::delete_recreated_record(const std::string& key) {
  if (is_deleted_record(key) && !writes_.contains(key)) writes_.store(key, std::nullopt, FlushDelay::garbage);
}

bool Leader::is_deleted_record(const std::string& key) const {
  if (key.starts_with(wire::kRentalKeyPrefix + rental_manager_.name_prefix()))
    return !rental_manager_.has_rental(key.substr(wire::kRentalKeyPrefix.size()));
  return machine_groups_.is_dropped(key) || completion_bitmaps_.is_dropped(key);
}

// Shrinks a value that exceeds the present limit, because it was stored under a larger one.
state::WritePreparation Leader::prepare(const std::string& key, state::PendingWrite& write) {
  if (const auto group = storage::MachineGroups::name_of(key)) return machine_groups_.prepare(*group, write);
  if (const auto number = storage::CompletionBitmaps::number_of(key))
    return completion_bitmaps_.prepare(*number, write);
  if (!write.data || wire::stored_bytes(*write.data) <= writes_.value_limit())
    return state::WritePreparation::ready;
  if (key.starts_with(wire::kRentalKeyPrefix)) {
    // If the record lacks its machines, a new leader queries the cloud for them under the same name.
    write.data->erase("hosts");
  } else if (key.starts_with(wire::kJobKeyPrefix)) {
    const auto record = wire::parse_job_record(*write.data);
    write.data = wire::final_record_json(record, record.state, record.ended_at, writes_.value_limit());
  }
  return state::WritePreparation::ready;
}

bool Leader::can_write() const { return is_active_leader(); }

const Job* Leader::find_job_by_key(const std::string& key) const {
  const auto found = jobs_.find(wire::JobId{key.substr(wire::kJobKeyPrefix.size())});
  return found == jobs_.end() ? nullptr : &found->second;
}

wire::KeyRevision Leader::expected_revision(const std::string& key) const {
  if (!key.starts_with(wire::kJobKeyPrefix)) return cache_.revision(key);
  const auto* found = find_job_by_key(key);
  return found == nullptr ? wire::KeyRevision{} : found->revision;
}

// Final records are those of jobs that have ended, completed by this leader or cancelled.
bool Leader::is_final(const std::string& key) const {
  if (!key.starts_with(wire::kJobKeyPrefix)) return false;
  const auto* found = find_job_by_key(key);
  return found == nullptr || found->has_ended();
}

// The content of a job's record is not kept; its state alone tells whether it was written (is_final).
bool Leader::has_value(const std::string& key, const std::optional<Json>& data) const {
  if (key.starts_with(wire::kJobKeyPrefix)) return false;
  const auto* entry = cache_.find(key);
  return data ? entry != nullptr && entry->data == *data : entry == nullptr;
}

// Rentals are urgent: one waited ten seconds behind a site's first submissions, and every task of those jobs
// waits for the machines (lakaskalk-ops, the first half minute). The end of a job that has dependents is
// urgent too.
bool Leader::is_urgent(const std::string& key) const {
  if (key.starts_with(wire::kRentalKeyPrefix) || key == wire::kQuotaKey) return true;
  return key.starts_with(wire::kJobKeyPrefix) &&
         dependencies_.has_dependents(wire::JobId{key.substr(wire::kJobKeyPrefix.size())});
}

void Leader::apply_committed(const state::Change& change) {
  if (change.key.starts_with(wire::kJobKeyPrefix))
    apply_job_change(change);
  else
    cache_.apply(change);
}

void Leader::after_commit() {
  apply_dependency_updates();
  evict_ended_jobs();
}

void Leader::record_machine(model::Machine& machine) {
  if (std::exchange(machine.record_pending, true)) return;
  // Invariant 4: the machine accepts tasks only after this write is committed.
  machine_groups_.add(machine, [this, machine_id = machine.id] {
    auto* found = fleet_.find(machine_id);
    if (found == nullptr) return;
    found->recorded = true;
    // No earlier leader can have used the machine, so it needs no confirmation (invariant 5).
    found->confirmed = found->confirmed || !found->inherited;
    fleet_.refresh(*found);
    schedule_placement();
  });
}

}  // namespace bankhill::leader
