// Leader election. One transaction increments the persistent term counter and writes the leader key, which is
// attached to a lease. Agents use the term as the fencing token.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "state/store.hpp"
#include "wire/records.hpp"

namespace bankhill::election {

struct Timing {
  // Time-to-live of the leader's lease, in seconds.
  double ttl_s = 0;
  // Time between two renewals of the lease, in seconds.
  double renew_interval_s = 0;
  // Largest relative difference between the rates of two steady clocks: each may deviate by half of this, in
  // either direction.
  double clock_drift = 0.001;
};

// Returns the timing for a leader lease with this time-to-live (see model/cancellation_bound.hpp).
Timing timing_from(double ttl_s);

// The lease that this controller holds, and the time until which it may act as the lease's holder.
struct LeaseValidity {
  // 0 if the controller holds no lease.
  std::uint64_t lease_id = 0;
  // On this controller's steady clock, in seconds.
  double valid_until = 0;
};

// Messages of the elector.

// Keys of the state service have changed.
struct StoreChanged {
  state::Changes changes;
};
// Increments the term, so that agents reject direct commands of the current one.
struct RaiseTerm {};
// Gives up the leadership and abstains from elections for some time, so that a peer can win.
struct Resign {};

// The actor that campaigns for this controller, renews its lease and reports until when it may act as the
// leader. `on_validity` is called with each new validity and with an empty one once the lease is lost;
// `has_connected_peer` tells whether any peer is connected.
class Elector : public runtime::Actor<Elector, StoreChanged, RaiseTerm, Resign> {
 public:
  Elector(runtime::Loop& loop, state::Store& store, runtime::Log log, std::string node,
          std::uint64_t incarnation, Timing timing, std::function<void(LeaseValidity)> on_validity,
          std::function<bool()> has_connected_peer);
  void start();

  void on(StoreChanged& message);
  void on(RaiseTerm& message);
  void on(Resign& message);

 private:
  void check_leadership();
  void campaign();
  void claim_leadership(std::uint64_t lease_id, bool is_retry = false);
  void renew();
  void on_lease_lost();
  bool is_leading() const;
  std::optional<wire::LeaderRecord> leader() const;
  std::optional<std::uint64_t> term() const;
  wire::Json next_term() const;

  state::Store& store_;
  runtime::Log log_;
  std::string node_;
  std::uint64_t incarnation_;
  Timing timing_;
  std::function<void(LeaseValidity)> on_validity_;
  std::function<bool()> has_connected_peer_;
  state::StoreCache cache_;
  // 0 without a lease.
  std::uint64_t lease_id_ = 0;
  // Steady-clock time since which no controller has led; -1 while one leads or this is not known.
  double vacant_since_ = -1;
  // Steady-clock time at which the current claim of the leadership was first sent.
  double first_claimed_at_ = 0;
  // Steady-clock time until which this controller lets its peers campaign first.
  double abstain_until_ = -1;
  bool campaigning_ = false;
  // Whether the last claim was answered without a confirmation that it was committed.
  bool claim_unconfirmed_ = false;
  bool raising_term_ = false;
  runtime::Timer check_timer_;
  runtime::Timer renew_timer_;
};

}  // namespace bankhill::election
