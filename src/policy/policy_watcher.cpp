#include "policy/policy_watcher.hpp"

#include <algorithm>
#include <utility>

#include "wire/records.hpp"

namespace bankhill::policy {

using state::Outcome;
using wire::Json;

PolicyWatcher::PolicyWatcher(runtime::Loop& loop, runtime::Log log, state::Store& store,
                             std::optional<Policy> file, double retry_interval_s)
    : Actor(loop),
      log_(std::move(log)),
      store_(store),
      file_(std::move(file)),
      retry_interval_s_(retry_interval_s) {
  if (file_) file_header_ = {file_->version(), file_->fingerprint()};
}

void PolicyWatcher::start() {
  if (file_) publish_file();
}

void PolicyWatcher::on(StoreChanged& message) {
  bool changed = false;
  for (const auto& change : *message.changes) {
    const bool is_header = change.key == wire::kPolicyKey;
    if ((!is_header && !change.key.starts_with(wire::kPolicyKeyPrefix)) || !records_.apply(change)) continue;
    changed = true;
    is_header ? apply_header(change) : apply_tenant(change.key.substr(wire::kPolicyKeyPrefix.size()), change);
  }
  if (!changed) return;
  log_->info("policy: version {} with {} tenants is in force", policy_.version(), policy_.tenants().size());
  for (const auto& subscriber : subscribers_) subscriber();
  if (file_) publish_file();
}

// A header record without a readable version has no precedence: any controller's file may replace it.
void PolicyWatcher::apply_header(const state::Change& change) {
  header_.reset();
  if (!change.data) return;
  try {
    header_ = Header{wire::count_field(*change.data, "version"), wire::text_field(*change.data, "file")};
    policy_.set_version(header_->version);
  } catch (const wire::ProtocolError& error) {
    log_->error("policy: header record {} cannot be read ({}); any controller's policy file may replace it",
                change.key, error.what());
  } catch (const Json::exception& error) {
    log_->error("policy: header record {} cannot be read ({}); any controller's policy file may replace it",
                change.key, error.what());
  }
}

void PolicyWatcher::apply_tenant(const std::string& team, const state::Change& change) {
  readable_tenants_.erase(team);
  if (!change.data) return policy_.erase_tenant(team);
  try {
    for (const auto& name : policy_.set_tenant(team, parse_tenant(*change.data)))
      log_->error(
          "policy: team {}: time zone of calendar '{}' is unknown on this machine; jobs accepted by this "
          "controller get no cutoff from this calendar",
          team, name);
    readable_tenants_.insert(team);
  } catch (const wire::ProtocolError& error) {
    log_->error("policy: record {} cannot be read ({}); the last readable one stays in force", change.key,
                error.what());
  } catch (const Json::exception& error) {
    log_->error("policy: record {} cannot be read ({}); the last readable one stays in force", change.key,
                error.what());
  }
}

bool PolicyWatcher::check_file_precedence() {
  if (!header_ || header_->version < file_header_.version || *header_ == file_header_) return true;
  if (std::exchange(logged_, true)) return false;
  if (header_->version > file_header_.version)
    log_->info(
        "policy: version {} is in force; this controller's file has the older version {} and is not used",
        header_->version, file_header_.version);
  else
    warn_of_difference();
  return false;
}

// Two files differ under the same version. All controllers must apply the same one: the first that was
// stored.
void PolicyWatcher::warn_of_difference() {
  std::string differing;
  const auto& stored = policy_.tenants();
  const auto add = [&](const std::string& team) { differing += (differing.empty() ? "" : ", ") + team; };
  for (const auto& [team, tenant] : file_->tenants()) {
    const auto found = stored.find(team);
    if (found == stored.end() || !(found->second == tenant)) add(team);
  }
  for (const auto& [team, tenant] : stored)
    if (!file_->tenants().contains(team)) add(team);
  log_->warn(
      "policy: this controller's file differs from the stored policy of the same version, {}, in {}; the "
      "stored "
      "policy stays in force; raise the version to change it",
      file_header_.version, differing.empty() ? "no tenant that this controller can read" : differing);
}

std::vector<state::Write> PolicyWatcher::missing_writes() const {
  std::vector<state::Write> writes;
  for (const auto& [team, tenant] : file_->tenants()) {
    const auto found = policy_.tenants().find(team);
    if (!readable_tenants_.contains(team) || found == policy_.tenants().end() || !(found->second == tenant))
      writes.push_back({wire::policy_key(team), to_json(tenant), std::nullopt});
  }
  for (const auto& [key, entry] : records_.entries())
    if (key.starts_with(wire::kPolicyKeyPrefix) &&
        !file_->tenants().contains(key.substr(wire::kPolicyKeyPrefix.size())))
      writes.push_back({key, std::nullopt, std::nullopt});
  return writes;
}

void PolicyWatcher::publish_file() {
  timer_.reset();
  // Waits until all keys have been read: a header record that is not yet known may be newer than the file.
  if (writing_ || !store_.synced()) {
    timer_ = loop().after(retry_interval_s_, [this] { publish_file(); });
    return;
  }
  if (!check_file_precedence()) return;
  auto writes = missing_writes();
  const bool new_header = !header_ || *header_ != file_header_;
  if (writes.empty() && !new_header) return;
  const auto max_bytes = wire::usable_bytes(store_.limits().value_kb);
  for (const auto& write : writes)
    if (write.data && wire::stored_bytes(*write.data) > max_bytes) {
      if (!std::exchange(logged_, true))
        log_->error(
            "policy: record {} exceeds the {} bytes that can be stored; version {} of the file is not used",
            write.key, max_bytes, file_header_.version);
      return;
    }
  state::Transaction transaction;
  // Every transaction has the header record as a condition. It decides between two files, and also rejects
  // late transactions: nothing of an older file is written once the header record of a newer one is stored.
  transaction.conditions.push_back({wire::kPolicyKey, records_.revision(wire::kPolicyKey)});
  if (new_header)
    transaction.writes.push_back({wire::kPolicyKey,
                                  Json{{"version", file_header_.version}, {"file", file_header_.fingerprint}},
                                  std::nullopt});
  for (auto& write : writes) {
    if (transaction.writes.size() >= store_.limits().txn_ops) break;
    transaction.conditions.push_back({write.key, records_.revision(write.key)});
    transaction.writes.push_back(std::move(write));
  }
  writing_ = true;
  store_.tell(state::Commit{std::move(transaction), guard([this](state::CommitResult result) {
                              writing_ = false;
                              if (result.outcome == Outcome::committed)
                                log_->info("policy: wrote the records of version {}", file_header_.version);
                              // The outcome, if unknown, shows in the watch; writes that are still missing
                              // then are retried.
                              timer_ = loop().after(retry_interval_s_, [this] { publish_file(); });
                            }),
                            false});
}

}  // namespace bankhill::policy
