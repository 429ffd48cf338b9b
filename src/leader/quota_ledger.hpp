// What each team uses and may use: the resources that its tasks hold, its guarantee and limit, and the bound
// on its use that the next leader relies on (docs/SAFETY.md, invariants 5 and 21). Pure: no input, output or
// clocks. The caller stores the records and tells the size of the machines that are not confirmed yet.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fair_share/quota_high_water.hpp"
#include "model/machine.hpp"
#include "wire/records.hpp"

namespace bankhill::leader {

struct Team {
  std::string name;
  wire::Resources guarantee;  // cores and accelerators
  wire::Resources limit;
};

// Whether further tasks of a team may start.
enum class Admission {
  allowed,
  over_limit,         // of the team; also of a team that is not known
  bound_not_covered,  // the recorded bound has to be raised first (invariant 21)
};

class QuotaLedger {
 public:
  // What the tasks of one team hold.
  struct Usage {
    wire::Resources total;
    double service_cores = 0;  // the part of the cores that services hold
  };

  explicit QuotaLedger(std::vector<Team> teams);

  const std::vector<Team>& teams() const { return teams_; }
  const Team* find_team(const std::string& name) const;  // nothing: not known

  // The leadership term that began with `fencing_token`; `record` holds the bounds that earlier leaders left.
  void begin_term(const std::optional<wire::QuotaRecord>& record, std::uint64_t fencing_token);
  // Forgets all tasks that were added.
  void clear();

  // A task holds its request from here on, or no longer. Tasks of unknown jobs have no team name.
  void add(const model::Assignment& assignment);
  void remove(const model::Assignment& assignment);
  // A task that an earlier leader started was seen on a machine: it counts where it is used, and no longer as
  // a part of what unconfirmed machines may hold.
  void inherited_task_seen(const std::string& team, const wire::Resources& request);

  Usage usage(const std::string& team) const;
  double service_cores() const { return service_cores_; }  // of all teams
  // Cores held by tasks of a lower priority than this one.
  double cores_below(wire::Priority priority) const;

  // What the team's tasks may hold at most, where `unconfirmed_size` is the size of all machines that may
  // still run unknown tasks of earlier leaders. Invariant 5: such tasks may run where this leader has not
  // looked yet, and those of unknown jobs may be of any team.
  wire::Resources highest_usage(const std::string& team, const wire::Resources& unconfirmed_size) const;
  // Whether `task_count` further tasks with this request may start under the fencing token. If the bound is
  // what is missing, or soon will be, it is remembered that it has to be raised (next_record()).
  Admission admit(const std::string& team, const wire::Resources& request, std::uint32_t task_count,
                  const wire::Resources& unconfirmed_size, std::uint64_t fencing_token);
  // Whether the team stays within its guarantee with one more task.
  bool within_guarantee(const std::string& team, const wire::Resources& request,
                        const wire::Resources& unconfirmed_size) const;
  // Whether some team but this one holds more than its guarantee.
  bool others_borrow(const std::string& team) const;
  // Whether the team's services, or all its tasks, hold more than its guarantee. Services count towards the
  // guarantee first: it is the team's batches that borrow.
  bool borrows(const std::string& team, bool by_services) const;

  // The bounds to store now, if needed: one record for all teams, raised before it is used and lowered only
  // if `may_lower`. One is under way at a time, until record_stored().
  std::optional<wire::QuotaRecord> next_record(const wire::Resources& unconfirmed_size,
                                               std::uint64_t fencing_token, bool may_lower);
  void record_stored();

 private:
  static constexpr std::size_t kPriorities = 4;  // wire::Rank

  // Adds to the sums by priority and of services; cores below 0 are subtracted.
  void count_cores(const model::Assignment& assignment, Usage& usage, double cores);

  std::vector<Team> teams_;
  std::map<std::string, Usage> usage_;  // by team
  std::array<double, kPriorities> cores_by_priority_{};
  double service_cores_ = 0;
  fair_share::QuotaHighWater bounds_;
};

}  // namespace bankhill::leader
