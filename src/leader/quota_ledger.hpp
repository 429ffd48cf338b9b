// Tracks the resources that each team's tasks hold and checks them against the team's guarantee and limit.
// Also keeps the upper bounds on team usage that the next leader relies on (docs/SAFETY.md, invariants 5 and
// 21). Pure: no input, output or clocks. The caller stores the records and passes in the capacity of
// unconfirmed machines.
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
  // Guarantee and limit cover cores and accelerators only.
  wire::Resources guarantee;
  wire::Resources limit;
};

// Whether further tasks of a team may start.
enum class Admission {
  allowed,
  // The team's limit would be exceeded, or the team is unknown.
  over_limit,
  // The recorded bound has to be raised first (invariant 21).
  bound_not_covered,
};

class QuotaLedger {
 public:
  // Resources held by the tasks of one team.
  struct Usage {
    wire::Resources total;
    // Cores held by services, included in `total`.
    double service_cores = 0;
  };

  explicit QuotaLedger(std::vector<Team> teams);

  const std::vector<Team>& teams() const { return teams_; }
  // Null if the team is unknown.
  const Team* find_team(const std::string& name) const;

  // Starts the term whose first fencing token is `fencing_token`; `record` holds the bounds stored by earlier
  // leaders.
  void begin_term(const std::optional<wire::QuotaRecord>& record, std::uint64_t fencing_token);
  // Forgets all added tasks.
  void clear();

  // Adds or removes the resources that a task holds. Tasks of unknown jobs have an empty team name.
  void add(const model::Assignment& assignment);
  void remove(const model::Assignment& assignment);
  // Records that a task started by an earlier leader was found on a machine. Its usage is then counted
  // through add(), and no longer as part of what unconfirmed machines may hold.
  void inherited_task_seen(const std::string& team, const wire::Resources& request);

  Usage usage(const std::string& team) const;
  // Cores held by the services of all teams.
  double service_cores() const { return service_cores_; }
  // Cores held by tasks of a lower priority than `priority`.
  double cores_below(wire::Priority priority) const;

  // Upper bound on the resources that the team's tasks hold. `unconfirmed_capacity` is the capacity of all
  // machines that may still run unknown inherited tasks. Invariant 5: such tasks may run on machines that
  // this leader has not checked yet, and tasks of unknown jobs may belong to any team.
  wire::Resources max_usage(const std::string& team, const wire::Resources& unconfirmed_capacity) const;
  // Whether `task_count` further tasks with this request may start under the fencing token. If the recorded
  // bound is too low, or soon will be, next_record() raises it.
  Admission admit(const std::string& team, const wire::Resources& request, std::uint32_t task_count,
                  const wire::Resources& unconfirmed_capacity, std::uint64_t fencing_token);
  // Whether the team stays within its guarantee with one more task of this request.
  bool within_guarantee(const std::string& team, const wire::Resources& request,
                        const wire::Resources& unconfirmed_capacity) const;
  // Whether any other team holds more than its guarantee.
  bool has_other_borrowers(const std::string& team) const;
  // Whether the team's services alone (`by_services`), or all its tasks, hold more than its guarantee.
  // Services count towards the guarantee first, so batch tasks are the first to borrow.
  bool is_borrowing(const std::string& team, bool by_services) const;

  // The bounds to store now, in one record for all teams; nothing if no write is needed. Bounds are raised
  // before they are used, and lowered only if `may_lower`. At most one record is pending, until
  // record_stored().
  std::optional<wire::QuotaRecord> next_record(const wire::Resources& unconfirmed_capacity,
                                               std::uint64_t fencing_token, bool may_lower);
  void record_stored();

 private:
  // Number of values of wire::Priority.
  static constexpr std::size_t kPriorities = 4;

  // Adds `cores` to the sums by priority and of services; negative values subtract.
  void add_to_core_sums(const model::Assignment& assignment, Usage& usage, double cores);

  std::vector<Team> teams_;
  // Resources held by each team, by team name.
  std::map<std::string, Usage> usage_;
  std::array<double, kPriorities> cores_by_priority_{};
  double service_cores_ = 0;
  fair_share::QuotaHighWater usage_bounds_;
};

}  // namespace bankhill::leader
