#include "policy/policy_watcher.hpp"

#include <algorithm>
#include <utility>

#include "wire/records.hpp"

namespace bankhill::policy {

using state::Outcome;
using wire::Json;

PolicyWatcher::PolicyWatcher(runtime::Loop& loop, runtime::Log log, state::Store& store,
                             std::optional<Policy> file, double again_s)
    : Actor(loop), log_(std::move(log)), store_(store), file_(std::move(file)), again_s_(again_s) {
  if (file_) own_ = {file_->version(), file_->fingerprint()};
}

void PolicyWatcher::start() {
  if (file_) publish();
}

void PolicyWatcher::on(StoreChanged& message) {
  bool changed = false;
  for (const auto& change : *message.changes) {
    const bool head = change.key == wire::kPolicyKey;
    if ((!head && !change.key.starts_with(wire::kPolicyKeyPrefix)) || !view_.apply(change)) continue;
    changed = true;
    head ? learn_head(change) : learn_tenant(change.key.substr(wire::kPolicyKeyPrefix.size()), change);
  }
  if (!changed) return;
  log_->info("policy: version {} of {} tenants is in force", policy_.version(), policy_.tenants().size());
  for (const auto& subscriber : subscribers_) subscriber();
  if (file_) publish();
}

// One without a readable version rules nothing: any file may take its place.
void PolicyWatcher::learn_head(const state::Change& change) {
  head_.reset();
  if (!change.data) return;
  try {
    head_ = Head{wire::count_field(*change.data, "version"), wire::text_field(*change.data, "file")};
    policy_.set_version(head_->version);
  } catch (const wire::ProtocolError& error) {
    log_->error("policy: {} cannot be read ({})", change.key, error.what());
  } catch (const Json::exception& error) {
    log_->error("policy: {} cannot be read ({})", change.key, error.what());
  }
}

void PolicyWatcher::learn_tenant(const std::string& team, const state::Change& change) {
  read_.erase(team);
  if (!change.data) return policy_.erase(team);
  try {
    for (const auto& name : policy_.set(team, parse_tenant(*change.data)))
      log_->error(
          "policy: {}: the time zone of calendar '{}' is not known here: jobs accepted here get no cutoff",
          team, name);
    read_.insert(team);
  } catch (const wire::ProtocolError& error) {
    log_->error("policy: {} cannot be read ({}): the last one that could stays in force", change.key,
                error.what());
  } catch (const Json::exception& error) {
    log_->error("policy: {} cannot be read ({}): the last one that could stays in force", change.key,
                error.what());
  }
}

bool PolicyWatcher::file_rules() {
  if (!head_ || head_->version < own_.version || *head_ == own_) return true;
  if (std::exchange(told_, true)) return false;
  if (head_->version > own_.version)
    log_->info("policy: version {} is in force, newer than this controller's file, {}", head_->version,
               own_.version);
  else
    warn_of_difference();
  return false;
}

// Two files of one version: all must go by the same, and the first one that was stored is it.
void PolicyWatcher::warn_of_difference() {
  std::string differ;
  const auto& stored = policy_.tenants();
  const auto add = [&](const std::string& team) { differ += (differ.empty() ? "" : ", ") + team; };
  for (const auto& [team, tenant] : file_->tenants()) {
    const auto found = stored.find(team);
    if (found == stored.end() || !(found->second == tenant)) add(team);
  }
  for (const auto& [team, tenant] : stored)
    if (!file_->tenants().contains(team)) add(team);
  log_->warn(
      "policy: this controller's file differs from what is stored under the same version, {}, in {}: the "
      "stored "
      "one is in force; raise the version to change it",
      own_.version, differ.empty() ? "nothing that is read here" : differ);
}

std::vector<state::Write> PolicyWatcher::lacking() const {
  std::vector<state::Write> writes;
  for (const auto& [team, tenant] : file_->tenants()) {
    const auto found = policy_.tenants().find(team);
    if (!read_.contains(team) || found == policy_.tenants().end() || !(found->second == tenant))
      writes.push_back({wire::policy_key(team), to_json(tenant), std::nullopt});
  }
  for (const auto& [key, entry] : view_.entries())
    if (key.starts_with(wire::kPolicyKeyPrefix) &&
        !file_->tenants().contains(key.substr(wire::kPolicyKeyPrefix.size())))
      writes.push_back({key, std::nullopt, std::nullopt});
  return writes;
}

void PolicyWatcher::publish() {
  timer_.reset();
  // Not before all keys were read: what is not known is not "older".
  if (writing_ || !store_.synced()) {
    timer_ = loop().after(again_s_, [this] { publish(); });
    return;
  }
  if (!file_rules()) return;
  auto writes = lacking();
  const bool new_head = !head_ || *head_ != own_;
  if (writes.empty() && !new_head) return;
  const auto most = wire::usable_bytes(store_.limits().value_kb);
  for (const auto& write : writes)
    if (write.data && wire::stored_bytes(*write.data) > most) {
      if (!std::exchange(told_, true))
        log_->error(
            "policy: {} takes more than the {} bytes that can be stored: version {} of the file is not used",
            write.key, most, own_.version);
      return;
    }
  state::Transaction transaction;
  // The head decides between two files, and against what comes late: nothing of an older file is written
  // once a newer has its head.
  transaction.conditions.push_back({wire::kPolicyKey, view_.revision(wire::kPolicyKey)});
  if (new_head)
    transaction.writes.push_back(
        {wire::kPolicyKey, Json{{"version", own_.version}, {"file", own_.fingerprint}}, std::nullopt});
  for (auto& write : writes) {
    if (transaction.writes.size() >= store_.limits().txn_ops) break;
    transaction.conditions.push_back({write.key, view_.revision(write.key)});
    transaction.writes.push_back(std::move(write));
  }
  writing_ = true;
  store_.tell(state::Commit{std::move(transaction), guard([this](state::CommitResult result) {
                              writing_ = false;
                              if (result.outcome == Outcome::committed)
                                log_->info("policy: records of version {} written", own_.version);
                              // Whatever became of it, the watch tells; what is lacking then is written then.
                              timer_ = loop().after(again_s_, [this] { publish(); });
                            }),
                            false});
}

}  // namespace bankhill::policy
