#include "election/elector.hpp"

#include <utility>

namespace bankhill::election {

using state::Outcome;
using wire::Json;

namespace {
// The following times are in units of the time-to-live of the leader's lease.

// Time without a leader after which a controller campaigns even if it has no connected peer or has resigned.
constexpr double kYieldTtls = 2;
// Time for which a controller that resigned lets its peers campaign first.
constexpr double kAbstainTtls = 16;
// Time after which a claim that does not show in the watch is abandoned.
constexpr double kClaimTimeoutTtls = 2;
}  // namespace

Timing timing_from(double ttl_s) {
  Timing timing;
  timing.ttl_s = ttl_s;
  timing.renew_interval_s = timing.ttl_s / 5;
  return timing;
}

Elector::Elector(runtime::Loop& loop, state::Store& store, runtime::Log log, std::string node,
                 std::uint64_t incarnation, Timing timing, std::function<void(LeaseValidity)> on_validity,
                 std::function<bool()> has_connected_peer)
    : Actor(loop),
      store_(store),
      log_(std::move(log)),
      node_(std::move(node)),
      incarnation_(incarnation),
      timing_(timing),
      on_validity_(std::move(on_validity)),
      has_connected_peer_(std::move(has_connected_peer)) {}

void Elector::start() { check_leadership(); }

std::optional<wire::LeaderRecord> Elector::leader() const {
  const auto* entry = cache_.find(wire::kLeaderKey);
  if (entry == nullptr) return std::nullopt;
  // An unreadable record still belongs to a leader: the key must not be treated as vacant.
  return store_
      .try_parse(wire::kLeaderKey, entry->revision,
                 [entry] { return wire::parse_leader_record(entry->data); })
      .value_or(wire::LeaderRecord{});
}

// Returns nothing if the term cannot be read. A term started without it could be one that agents have already
// seen.
std::optional<std::uint64_t> Elector::term() const {
  const auto* entry = cache_.find(wire::kTermKey);
  if (entry == nullptr) return 0;
  return store_.try_parse(wire::kTermKey, entry->revision,
                          [entry] { return wire::count_field(entry->data, "n"); });
}

bool Elector::is_leading() const {
  const auto record = leader();
  return lease_id_ != 0 && record && record->incarnation == incarnation_ && record->lease_id == lease_id_;
}

Json Elector::next_term() const { return Json{{"n", term().value_or(0) + 1}}; }

void Elector::on(StoreChanged& message) {
  const bool was_leading = is_leading();
  for (const auto& change : *message.changes)
    if (change.key == wire::kTermKey || change.key == wire::kLeaderKey) cache_.apply(change);
  if (was_leading && !is_leading()) on_lease_lost();
  check_leadership();
}

void Elector::on_lease_lost() {
  log_->warn("election: the leader lease is lost, this controller no longer leads");
  lease_id_ = 0;
  vacant_since_ = -1;  // the time before this controller's own term does not count
  renew_timer_.reset();
  on_validity_({});
}

// Checks who leads and campaigns if there is no leader; schedules its next run.
void Elector::check_leadership() {
  check_timer_ =
      loop().after(timing_.renew_interval_s * loop().uniform(0.8, 1.2), [this] { check_leadership(); });
  if (!store_.synced() || campaigning_ || lease_id_ != 0 || !term()) return;
  const auto record = leader();
  if (!record) {
    // A controller without a connected peer is probably on the smaller side of a network partition, where
    // fewer agents reach it: it lets its peers campaign first.
    if (vacant_since_ < 0) vacant_since_ = loop().now();
    const bool is_eligible = has_connected_peer_() && loop().now() >= abstain_until_;
    if (is_eligible || loop().now() - vacant_since_ > kYieldTtls * timing_.ttl_s) campaign();
    return;
  }
  vacant_since_ = -1;
  // The leader is an earlier incarnation of this controller. It has ended, since two never run at once, so
  // its lease is revoked rather than left to expire.
  if (record->node == node_ && record->incarnation != incarnation_) {
    log_->info("election: revoking the leader lease of an earlier incarnation of this controller");
    store_.tell(state::RevokeLease{record->lease_id});
  }
}

void Elector::campaign() {
  campaigning_ = true;
  // The cache may be outdated: wait for a read barrier before requesting a lease.
  store_.tell(state::ReadBarrier{
      guard([this](bool succeeded) {
        // Posted, so that the changes published by the barrier are applied first.
        loop().post(guard([this, succeeded] {
          if (!succeeded || leader() || !term()) {
            campaigning_ = false;
            return;
          }
          const double sent_at = loop().now();
          store_.tell(state::GrantLease{
              timing_.ttl_s, guard([this, sent_at](std::optional<std::uint64_t> lease_id) {
                campaigning_ = false;
                if (!lease_id || leader() || !term()) return;
                lease_id_ = *lease_id;
                on_validity_({lease_id_, sent_at + timing_.ttl_s * (1 - timing_.clock_drift)});
                claim_leadership(*lease_id);
                renew_timer_ = loop().after(timing_.renew_interval_s, [this] { renew(); });
              })});
        }));
      }),
      true});
}

// Sends the transaction that wins the leadership. `is_retry`: it is unknown whether an earlier claim with
// this lease was applied. At most one of them succeeds, since success changes the term that all of them
// require.
void Elector::claim_leadership(std::uint64_t lease_id, bool is_retry) {
  claim_unconfirmed_ = false;
  if (!is_retry) first_claimed_at_ = loop().now();
  state::Transaction transaction;
  transaction.conditions = {{wire::kTermKey, cache_.revision(wire::kTermKey)},
                            {wire::kLeaderKey, wire::KeyRevision{0}}};
  transaction.writes = {
      {wire::kTermKey, next_term(), std::nullopt},
      {wire::kLeaderKey, to_json(wire::LeaderRecord{node_, incarnation_, lease_id}), lease_id}};
  store_.tell(state::Commit{
      std::move(transaction), guard([this, lease_id, is_retry](state::CommitResult result) {
        if (lease_id_ != lease_id) return;
        claim_unconfirmed_ = result.outcome != Outcome::committed;
        if (!is_retry && claim_unconfirmed_ && result.outcome != Outcome::unknown) {
          log_->debug("election: the claim of the leadership was not committed, revoking its lease");
          store_.tell(state::RevokeLease{lease_id});
          lease_id_ = 0;
          renew_timer_.reset();
        }
        // The watch shows whether a transaction without a response was applied.
        store_.tell(state::ReadBarrier{[](bool) {}, true});
      })});
}

void Elector::renew() {
  const auto lease_id = lease_id_;
  if (lease_id == 0) return;
  renew_timer_ = loop().after(timing_.renew_interval_s, [this] { renew(); });
  const double sent_at = loop().now();
  store_.tell(state::RenewLease{
      lease_id, timing_.ttl_s / 2, guard([this, lease_id, sent_at](state::LeaseRenewal renewal) {
        if (lease_id_ != lease_id || renewal == state::LeaseRenewal::unknown) return;
        if (renewal == state::LeaseRenewal::ended) return on_lease_lost();
        on_validity_({lease_id, sent_at + timing_.ttl_s * (1 - timing_.clock_drift)});
      })});
  // A lease that does not own the leader key is useless: another controller leads, or nothing shows that the
  // claim was applied. The lease is revoked, so that a claim that arrives late fails.
  const auto record = leader();
  if (record && record->lease_id == lease_id) return;
  if (record || sent_at - first_claimed_at_ >= kClaimTimeoutTtls * timing_.ttl_s) {
    store_.tell(state::RevokeLease{lease_id});
    return on_lease_lost();
  }
  if (std::exchange(claim_unconfirmed_, false)) claim_leadership(lease_id, true);
}

void Elector::on(Resign&) {
  if (!is_leading()) return;
  log_->warn("election: resigning the leadership so that a peer can take over");
  abstain_until_ = loop().now() + kAbstainTtls * timing_.ttl_s;
  store_.tell(state::RevokeLease{lease_id_});
  on_lease_lost();
}

void Elector::on(RaiseTerm&) {
  if (!is_leading() || raising_term_ || !term()) return;
  raising_term_ = true;
  state::Transaction transaction;
  transaction.conditions = {{wire::kTermKey, cache_.revision(wire::kTermKey)},
                            {wire::kLeaderKey, cache_.revision(wire::kLeaderKey)}};
  transaction.writes = {
      {wire::kTermKey, next_term(), std::nullopt},
      {wire::kLeaderKey, to_json(wire::LeaderRecord{node_, incarnation_, lease_id_}), lease_id_}};
  store_.tell(state::Commit{std::move(transaction), guard([this](state::CommitResult) {
                              raising_term_ = false;
                              store_.tell(state::ReadBarrier{[](bool) {}, true});
                            })});
}

}  // namespace bankhill::election
