// What each team may be using at most, kept in the state service in coarse steps: raised before it is used,
// lowered late. So a new leader knows what the machines that it has not heard may hold of a team, instead of
// counting all of them in full against each. Pure: no input, output or clocks. Source: docs/SHARES.md, "Team
// limits across terms"; docs/SAFETY.md, invariant 21.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "wire/records.hpp"

namespace bankhill::fair_share {

class QuotaHighWater {
 public:
  // Teams with their limits (cores, accelerators); one without a limit needs no bound. `steps`: into so many
  // a limit is divided.
  QuotaHighWater(const std::map<std::string, wire::Resources>& limits, double steps);

  // A term with the fencing token `term` begins. `record` is what earlier leaders left; it is believed only
  // if its term is the one before: else a leader came in between that may not know of bounds.
  void begin_term(const std::optional<wire::QuotaRecord>& record, std::uint64_t term);
  bool is_record_trusted() const { return believed_; }

  // A task that an earlier leader started was seen on a machine: from here on it is counted where it is used.
  void inherited_task_seen(const std::string& team, const wire::Resources& request);
  // What earlier leaders' tasks that were not seen may hold of the team at most, where `unheard` is the size
  // of all machines that they may run on.
  wire::Resources max_unseen_usage(const std::string& team, const wire::Resources& unheard) const;

  // Whether the team may come to use `total` now (earlier leaders' tasks included) under the fencing token
  // `term`. If not, or not for long, a higher bound is remembered as wanted.
  bool covers(const std::string& team, const wire::Resources& total, std::uint64_t term);

  // The record to write now, if one is needed. `used`: what each team uses at most, not seen tasks included;
  // `lower`: whether this is the time to lower bounds. One is under way at a time, until record_stored().
  std::optional<wire::QuotaRecord> next_record(const std::map<std::string, wire::Resources>& used,
                                               std::uint64_t term, bool lower);
  void record_stored();
  bool wanted() const { return wanted_; }

 private:
  struct Team {
    wire::Resources limit;
    wire::Resources step;
    wire::Resources inherited;  // what earlier leaders' tasks may have held when the term began
    wire::Resources seen;       // of them
    wire::Resources committed;  // the bound in the state service
    wire::Resources wanted;     // that it is to be raised to
  };
  wire::Resources bound_for(const Team& team, const wire::Resources& total) const;
  bool holds(const std::string& name, const Team& team, const wire::Resources& total,
             std::uint64_t term) const;

  std::map<std::string, Team> teams_;
  std::optional<wire::QuotaRecord> pending_;
  std::uint64_t committed_term_ = 0;  // of the record in the state service
  bool believed_ = false;
  bool wanted_ = false;  // a bound is to be raised
};

}  // namespace bankhill::fair_share
