// Leadership: a persistent term counter and a leader key on a lease, raised and taken in one transaction.
// The term is the fencing token that workers see.
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
  double ttl_s = 0;      // of the leader's lease
  double renew_s = 0;    // between renewals
  double drift = 0.001;  // steady clocks may differ by half of this, each way
};

// Of a lease with this time-to-live (model/cancellation_bound.hpp).
Timing timing_from(double ttl_s);

// Until when this controller may act as the holder of `hold`, on its own steady clock.
struct LeaseValidity {
  std::uint64_t lease_id = 0;
  double valid_until = 0;
};

// Messages.
struct StoreChanged {
  state::Changes changes;
};
struct RaiseTerm {};  // makes direct commands of the current term void
struct Resign {};     // gives the leadership up, and leaves it to others for some time

// Campaigns for this controller, renews its lease, and tells until when it may act.
class Elector : public runtime::Actor<Elector, StoreChanged, RaiseTerm, Resign> {
 public:
  Elector(runtime::Loop& loop, state::Store& store, runtime::Log log, std::string node,
          std::uint64_t incarnation, Timing timing, std::function<void(LeaseValidity)> on_validity,
          std::function<bool()> connected);
  void start();

  void on(StoreChanged& message);
  void on(RaiseTerm& message);
  void on(Resign& message);

 private:
  void evaluate();
  void campaign();
  void claim(std::uint64_t lease_id, bool again = false);
  void renew();
  void on_lease_lost();
  bool leading() const;
  std::optional<wire::LeaderRecord> leader() const;
  std::optional<std::uint64_t> term() const;
  wire::Json next_term() const;

  state::Store& store_;
  runtime::Log log_;
  std::string node_;
  std::uint64_t incarnation_;
  Timing timing_;
  std::function<void(LeaseValidity)> on_validity_;
  std::function<bool()> connected_;
  state::StoreCache view_;
  std::uint64_t lease_id_ = 0;  // 0: no lease
  double vacant_since_ = -1;
  double claimed_at_ = 0;  // when the transaction that is to win was sent
  double abstain_until_ = -1;
  bool campaigning_ = false;
  bool claim_unconfirmed_ = false;  // whether the transaction that is to win was not seen to be applied
  bool raising_term_ = false;
  runtime::Timer retry_;
  runtime::Timer renew_timer_;
};

}  // namespace bankhill::election
