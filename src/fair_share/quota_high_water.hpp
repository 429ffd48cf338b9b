// Upper bounds on the resources that each team may be using, stored in the state service in coarse steps. A
// bound is raised before the use that needs it and lowered some time after the use has dropped. From the
// bounds a new leader knows how much the inherited tasks on machines that are not confirmed yet may hold of
// each team's limit; without them, it would have to count all of these machines in full against every team.
// QuotaLedger calls the class and stores its records. Pure: no input, output or clocks. Source:
// docs/SHARES.md, "Team limits across terms"; docs/SAFETY.md, invariant 21.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "wire/records.hpp"

namespace bankhill::fair_share {

class QuotaHighWater {
 public:
  // `limits`: the teams' limits of cores and accelerators; a team without a limit needs no bound. `steps`:
  // the number of steps into which a limit is divided.
  QuotaHighWater(const std::map<std::string, wire::Resources>& limits, double steps);

  // Begins the term with the fencing token `term`. `record`: the bounds that earlier leaders stored. They are
  // trusted only if they are from the term before this one: a leader of a term in between may have started
  // tasks without regard to the bounds.
  void begin_term(const std::optional<wire::QuotaRecord>& record, std::uint64_t term);
  bool is_record_trusted() const { return record_trusted_; }

  // An inherited task of the team was seen on a machine. From now on it counts as used on that machine and no
  // longer as part of what unconfirmed machines may hold.
  void inherited_task_seen(const std::string& team, const wire::Resources& request);
  // The resources that inherited tasks of the team which were not seen yet may hold at most.
  // `unconfirmed_size`: the size of all machines on which such tasks may run.
  wire::Resources max_unseen_usage(const std::string& team, const wire::Resources& unconfirmed_size) const;

  // Whether the team may use `total`, inherited tasks included, under the fencing token `term` now. If the
  // bound does not allow this, or soon will not, notes that it has to be raised.
  bool covers(const std::string& team, const wire::Resources& total, std::uint64_t term);

  // Returns the record to store now, if one is needed. `used`: the most that each team may be using, with
  // inherited tasks that were not seen yet; `may_lower`: whether bounds may be lowered now. Only one record
  // is being stored at a time: no other is returned until record_stored().
  std::optional<wire::QuotaRecord> next_record(const std::map<std::string, wire::Resources>& used,
                                               std::uint64_t term, bool may_lower);
  // The record from next_record() is stored.
  void record_stored();
  // Whether a bound has to be raised.
  bool needs_raise() const { return needs_raise_; }

 private:
  struct Team {
    wire::Resources limit;
    // Unit in which the bound is raised and lowered.
    wire::Resources step;
    // The most that inherited tasks may have held when the term began.
    wire::Resources inherited;
    // The part of `inherited` that is held by tasks which were seen since.
    wire::Resources inherited_seen;
    // The bound in the state service.
    wire::Resources stored_bound;
    // The use that the next bound has to cover; 0 if the bound need not be raised.
    wire::Resources required;
  };
  // The bound for this use: rounded up to whole steps, with a further step, and at most the limit.
  wire::Resources bound_for(const Team& team, const wire::Resources& total) const;
  // Whether `total` is within every bound that the next leader may trust.
  bool is_within_bounds(const std::string& name, const Team& team, const wire::Resources& total,
                        std::uint64_t term) const;

  std::map<std::string, Team> teams_;
  // The record that is being stored.
  std::optional<wire::QuotaRecord> pending_record_;
  // Term of the record in the state service.
  std::uint64_t stored_term_ = 0;
  bool record_trusted_ = false;
  bool needs_raise_ = false;
};

}  // namespace bankhill::fair_share
