#include "election/elector.hpp"

#include <utility>

namespace bankhill::election {

using state::Outcome;
using wire::Json;

namespace {
// In times-to-live of the leader's lease.
constexpr double kLetOthersFirst = 2;
constexpr double kAbstain = 16;
constexpr double kUnseen = 2;  // after which a win that does not show is given up
}  // namespace

Timing timing_from(double ttl_s) {
  Timing timing;
  timing.ttl_s = ttl_s;
  timing.renew_s = timing.ttl_s / 5;
  return timing;
}

Elector::Elector(runtime::Loop& loop, state::Store& store, runtime::Log log, std::string node,
                 std::uint64_t incarnation, Timing timing, std::function<void(LeaseValidity)> on_validity,
                 std::function<bool()> connected)
    : Actor(loop),
      store_(store),
      log_(std::move(log)),
      node_(std::move(node)),
      incarnation_(incarnation),
      timing_(timing),
      on_validity_(std::move(on_validity)),
      connected_(std::move(connected)) {}

void Elector::start() { evaluate(); }

std::optional<wire::LeaderRecord> Elector::leader() const {
  const auto* entry = view_.find(wire::kLeaderKey);
  if (entry == nullptr) return std::nullopt;
  // Unreadable, it is all the same somebody's: it must not be taken for free.
  return store_
      .try_parse(wire::kLeaderKey, entry->revision,
                 [entry] { return wire::parse_leader_record(entry->data); })
      .value_or(wire::LeaderRecord{});
}

// Nothing: it cannot be read. A term begun without it could be one that workers have seen already.
std::optional<std::uint64_t> Elector::term() const {
  const auto* entry = view_.find(wire::kTermKey);
  if (entry == nullptr) return 0;
  return store_.try_parse(wire::kTermKey, entry->revision,
                          [entry] { return wire::count_field(entry->data, "n"); });
}

bool Elector::leading() const {
  const auto record = leader();
  return lease_id_ != 0 && record && record->incarnation == incarnation_ && record->lease_id == lease_id_;
}

Json Elector::next_term() const { return Json{{"n", term().value_or(0) + 1}}; }

void Elector::on(StoreChanged& message) {
  const bool led = leading();
  for (const auto& change : *message.changes)
    if (change.key == wire::kTermKey || change.key == wire::kLeaderKey) view_.apply(change);
  if (led && !leading()) on_lease_lost();
  evaluate();
}

void Elector::on_lease_lost() {
  log_->warn("election: lost the leadership");
  lease_id_ = 0;
  vacant_since_ = -1;  // not since before our own term
  renew_timer_.reset();
  on_validity_({});
}

// Looks at who leads and campaigns when nobody does; runs again by itself.
void Elector::evaluate() {
  retry_ = loop().after(timing_.renew_s * loop().uniform(0.8, 1.2), [this] { evaluate(); });
  if (!store_.synced() || campaigning_ || lease_id_ != 0 || !term()) return;
  const auto record = leader();
  if (!record) {
    // One that hears no peer is rather on the smaller side of a cut, where fewer workers reach it: it
    // lets the others go first.
    if (vacant_since_ < 0) vacant_since_ = loop().now();
    const bool fit = connected_() && loop().now() >= abstain_until_;
    if (fit || loop().now() - vacant_since_ > kLetOthersFirst * timing_.ttl_s) campaign();
    return;
  }
  vacant_since_ = -1;
  // Our earlier incarnation has ended, or this one would not run: its lease need not run out by itself.
  if (record->node == node_ && record->incarnation != incarnation_) {
    log_->info("election: ending the lease of our earlier incarnation");
    store_.tell(state::RevokeLease{record->lease_id});
  }
}

void Elector::campaign() {
  campaigning_ = true;
  // What is known may be old: look again before asking for a lease.
  store_.tell(
      state::ReadBarrier{guard([this](bool fine) {
                           // The changes published by the barrier are in the mailbox before this runs on.
                           loop().post(guard([this, fine] {
                             if (!fine || leader() || !term()) {
                               campaigning_ = false;
                               return;
                             }
                             const double sent = loop().now();
                             store_.tell(state::GrantLease{
                                 timing_.ttl_s, guard([this, sent](std::optional<std::uint64_t> lease_id) {
                                   campaigning_ = false;
                                   if (!lease_id || leader() || !term()) return;
                                   lease_id_ = *lease_id;
                                   on_validity_({lease_id_, sent + timing_.ttl_s * (1 - timing_.drift)});
                                   claim(*lease_id);
                                   renew_timer_ = loop().after(timing_.renew_s, [this] { renew(); });
                                 })});
                           }));
                         }),
                         true});
}

// `again`: whether an earlier one was applied is not known. Any number of them win once at most, since each
// win has a new term.
void Elector::claim(std::uint64_t lease_id, bool again) {
  claim_unconfirmed_ = false;
  if (!again) claimed_at_ = loop().now();
  state::Transaction transaction;
  transaction.conditions = {{wire::kTermKey, view_.revision(wire::kTermKey)},
                            {wire::kLeaderKey, wire::KeyRevision{0}}};
  transaction.writes = {
      {wire::kTermKey, next_term(), std::nullopt},
      {wire::kLeaderKey, to_json(wire::LeaderRecord{node_, incarnation_, lease_id}), lease_id}};
  store_.tell(
      state::Commit{std::move(transaction), guard([this, lease_id, again](state::CommitResult result) {
                      if (lease_id_ != lease_id) return;
                      claim_unconfirmed_ = result.outcome != Outcome::committed;
                      if (!again && claim_unconfirmed_ && result.outcome != Outcome::unknown) {
                        log_->debug("election: another controller was first");
                        store_.tell(state::RevokeLease{lease_id});
                        lease_id_ = 0;
                        renew_timer_.reset();
                      }
                      // Whether an unanswered transaction was applied shows in the watch.
                      store_.tell(state::ReadBarrier{[](bool) {}, true});
                    })});
}

void Elector::renew() {
  const auto lease_id = lease_id_;
  if (lease_id == 0) return;
  renew_timer_ = loop().after(timing_.renew_s, [this] { renew(); });
  const double sent = loop().now();
  store_.tell(state::RenewLease{lease_id, timing_.ttl_s / 2,
                                guard([this, lease_id, sent](state::LeaseRenewal renewal) {
                                  if (lease_id_ != lease_id || renewal == state::LeaseRenewal::unknown)
                                    return;
                                  if (renewal == state::LeaseRenewal::ended) return on_lease_lost();
                                  on_validity_({lease_id, sent + timing_.ttl_s * (1 - timing_.drift)});
                                })});
  // A lease that took no key is of no use: another controller leads, or nothing shows that our transaction
  // arrived. It is ended, so that one that comes later fails.
  const auto record = leader();
  if (record && record->lease_id == lease_id) return;
  if (record || sent - claimed_at_ >= kUnseen * timing_.ttl_s) {
    store_.tell(state::RevokeLease{lease_id});
    return on_lease_lost();
  }
  if (std::exchange(claim_unconfirmed_, false)) claim(lease_id, true);
}

void Elector::on(Resign&) {
  if (!leading()) return;
  log_->warn("election: giving the leadership up to a sibling");
  abstain_until_ = loop().now() + kAbstain * timing_.ttl_s;
  store_.tell(state::RevokeLease{lease_id_});
  on_lease_lost();
}

void Elector::on(RaiseTerm&) {
  if (!leading() || raising_term_ || !term()) return;
  raising_term_ = true;
  state::Transaction transaction;
  transaction.conditions = {{wire::kTermKey, view_.revision(wire::kTermKey)},
                            {wire::kLeaderKey, view_.revision(wire::kLeaderKey)}};
  transaction.writes = {
      {wire::kTermKey, next_term(), std::nullopt},
      {wire::kLeaderKey, to_json(wire::LeaderRecord{node_, incarnation_, lease_id_}), lease_id_}};
  store_.tell(state::Commit{std::move(transaction), guard([this](state::CommitResult) {
                              raising_term_ = false;
                              store_.tell(state::ReadBarrier{[](bool) {}, true});
                            })});
}

}  // namespace bankhill::election
