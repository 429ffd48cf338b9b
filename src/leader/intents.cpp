// The leader's writes: the wanted value of each key, committed in batches, one transaction at a time.
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using state::Outcome;
using wire::Json;

namespace {
constexpr std::size_t kBatchBytes = 48 * 1024;  // of the 64 KiB that a transaction may hold
}

void Leader::store(const std::string& key, std::optional<Json> data, std::function<void()> then) {
  auto& intent = intents_[key];
  intent.data = std::move(data);
  if (then) intent.then.push_back(std::move(then));
  // On the next turn, so that what belongs together is committed together.
  loop().post(guard([this] { flush(); }));
}

void Leader::flush() {
  if (committing_ || intents_.empty() || !valid()) return;
  state::Transaction transaction;
  // Invariant 1: once a newer term is won, this transaction fails however late it arrives.
  transaction.when.push_back({wire::kTermKey, view_.stamp(wire::kTermKey)});
  std::map<std::string, Intent> batch;
  std::size_t bytes = 0;
  while (!intents_.empty() && batch.size() < settings_.txn_ops) {
    auto first = intents_.begin();
    const std::size_t size = first->second.data ? first->second.data->dump().size() + first->first.size() : 0;
    if (!batch.empty() && bytes + size > kBatchBytes) break;
    bytes += size;
    const bool is_job = first->first.starts_with(wire::kJobs);
    const auto job = is_job ? jobs_.find(wire::JobId{first->first.substr(wire::kJobs.size())}) : jobs_.end();
    // Invariant 8: the job key's stamp decides between done and cancelled.
    if (is_job && (job == jobs_.end() || !job->second.live())) {
      // Wanted before the job was known to be cancelled: with the new stamp it would call it done.
      auto dropped = intents_.extract(first);
      for (auto& then : dropped.mapped().then) loop().post(guard(std::move(then)));
      continue;
    }
    const auto stamp = job != jobs_.end() ? job->second.stamp : view_.stamp(first->first);
    transaction.when.push_back({first->first, stamp});
    // A key that does not exist needs no deletion, but its condition must still hold.
    if (first->second.data || stamp.value != 0)
      transaction.writes.push_back({first->first, first->second.data, std::nullopt});
    batch.insert(intents_.extract(first));
  }
  if (batch.empty()) return;
  committing_ = true;
  const auto reign = first_term_;
  auto shared = std::make_shared<std::map<std::string, Intent>>(std::move(batch));
  ports_.store.tell(
      state::Commit{std::move(transaction), guard([this, reign, shared](state::CommitResult result) {
                      if (!reigning_ || reign != first_term_) return;
                      if (result.outcome == Outcome::done) return committed(std::move(*shared), result.epoch);
                      // Unless it was done, look what the keys hold now and try again.
                      ports_.store.tell(state::Sync{guard([this, reign, shared](bool) {
                                                      loop().post(guard([this, reign, shared] {
                                                        if (reigning_ && reign == first_term_)
                                                          resolve(std::move(*shared));
                                                      }));
                                                    }),
                                                    true});
                    })});
}

void Leader::committed(std::map<std::string, Intent> batch, wire::Epoch epoch) {
  committing_ = false;
  for (auto& [key, intent] : batch) {
    const state::Change change{key, std::move(intent.data), wire::Stamp{epoch.value}};
    if (key.starts_with(wire::kJobs))
      learn_job(change);
    else
      view_.apply(change);
  }
  for (auto& [key, intent] : batch)
    for (const auto& then : intent.then) then();
  loop().post(guard([this] { flush(); }));
}

void Leader::resolve(std::map<std::string, Intent> batch) {
  committing_ = false;
  std::vector<std::function<void()>> settled;
  for (auto& [key, intent] : batch) {
    bool over = false;
    if (key.starts_with(wire::kJobs)) {
      const auto job = jobs_.find(wire::JobId{key.substr(wire::kJobs.size())});
      over = job != jobs_.end() && !job->second.live();  // done by us, or cancelled: either is final
    } else if (!intents_.contains(key)) {
      const auto* entry = view_.find(key);
      over = intent.data ? entry != nullptr && entry->data == *intent.data : entry == nullptr;
    }
    if (over) {
      for (auto& then : intent.then) settled.push_back(std::move(then));
      continue;
    }
    // A newer value wanted meanwhile takes over the older one's followers.
    auto [entry, added] = intents_.try_emplace(key);
    auto& wanted = entry->second;
    if (added) wanted.data = std::move(intent.data);
    wanted.then.insert(wanted.then.begin(), std::make_move_iterator(intent.then.begin()),
                       std::make_move_iterator(intent.then.end()));
  }
  for (const auto& then : settled) then();
  // The tick tries again: not at once, since the service may be refusing.
}

}  // namespace bankhill::leader
