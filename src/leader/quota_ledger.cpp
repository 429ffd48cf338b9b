#include "leader/quota_ledger.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::leader {

namespace {
constexpr double kRoundingTolerance = 1e-6;
// Team name used for tasks whose jobs are unknown.
const std::string kUnknownTeam;
// Number of steps that a team's limit is divided into (fair_share/quota_high_water.hpp).
constexpr double kBoundSteps = 8;

std::map<std::string, wire::Resources> team_limits(const std::vector<Team>& teams) {
  std::map<std::string, wire::Resources> limits;
  for (const auto& team : teams) limits[team.name] = team.limit;
  return limits;
}

// Quotas cover cores and accelerators; memory is not limited.
bool is_within(const wire::Resources& total, const wire::Resources& quota) {
  return total.cores <= quota.cores + kRoundingTolerance &&
         total.accelerators <= quota.accelerators + kRoundingTolerance;
}

bool exceeds_guarantee(const Team& team, double cores) {
  return cores > team.guarantee.cores + kRoundingTolerance;
}

std::size_t index_of(wire::Priority priority) { return static_cast<std::size_t>(priority); }
}  // namespace

QuotaLedger::QuotaLedger(std::vector<Team> teams)
    : teams_(std::move(teams)), usage_bounds_(team_limits(teams_), kBoundSteps) {}

const Team* QuotaLedger::find_team(const std::string& name) const {
  const auto found =
      std::find_if(teams_.begin(), teams_.end(), [&](const Team& team) { return team.name == name; });
  return found == teams_.end() ? nullptr : &*found;
}

void QuotaLedger::begin_term(const std::optional<wire::QuotaRecord>& record, std::uint64_t fencing_token) {
  usage_bounds_.begin_term(record, fencing_token);
}

void QuotaLedger::clear() {
  usage_.clear();
  cores_by_priority_ = {};
  service_cores_ = 0;
}

void QuotaLedger::add(const model::Assignment& assignment) {
  auto& usage = usage_[assignment.team];
  usage.total += assignment.request;
  add_to_core_sums(assignment, usage, assignment.request.cores);
}

void QuotaLedger::remove(const model::Assignment& assignment) {
  auto& usage = usage_[assignment.team];
  usage.total -= assignment.request;
  add_to_core_sums(assignment, usage, -assignment.request.cores);
}

void QuotaLedger::add_to_core_sums(const model::Assignment& assignment, Usage& usage, double cores) {
  cores_by_priority_.at(index_of(assignment.priority)) += cores;
  if (!assignment.is_service) return;
  usage.service_cores += cores;
  service_cores_ += cores;
}

void QuotaLedger::inherited_task_seen(const std::string& team, const wire::Resources& request) {
  usage_bounds_.inherited_task_seen(team, request);
}

QuotaLedger::Usage QuotaLedger::usage(const std::string& team) const {
  const auto found = usage_.find(team);
  return found == usage_.end() ? Usage{} : found->second;
}

double QuotaLedger::cores_below(wire::Priority priority) const {
  double cores = 0;
  for (std::size_t lower = 0; lower < index_of(priority); ++lower) cores += cores_by_priority_.at(lower);
  return cores;
}

wire::Resources QuotaLedger::max_usage(const std::string& team,
                                       const wire::Resources& unconfirmed_capacity) const {
  auto total = usage(team).total;
  total += usage_bounds_.max_unseen_usage(team, unconfirmed_capacity);
  total += usage(kUnknownTeam).total;
  return total;
}

Admission QuotaLedger::admit(const std::string& team, const wire::Resources& request,
                             std::uint32_t task_count, const wire::Resources& unconfirmed_capacity,
                             std::uint64_t fencing_token) {
  const auto* found = find_team(team);
  if (found == nullptr) return Admission::over_limit;
  auto total = max_usage(team, unconfirmed_capacity);
  for (std::uint32_t i = 0; i < task_count; ++i) total += request;
  if (!is_within(total, found->limit)) return Admission::over_limit;
  // The recorded bound that the next leader relies on is raised before the capacity is used.
  return usage_bounds_.covers(team, total, fencing_token) ? Admission::allowed : Admission::bound_not_covered;
}

bool QuotaLedger::within_guarantee(const std::string& team, const wire::Resources& request,
                                   const wire::Resources& unconfirmed_capacity) const {
  const auto* found = find_team(team);
  if (found == nullptr) return false;
  auto total = usage(team).total;
  if (usage_bounds_.is_record_trusted()) total += usage_bounds_.max_unseen_usage(team, unconfirmed_capacity);
  total += request;
  return is_within(total, found->guarantee);
}

bool QuotaLedger::has_other_borrowers(const std::string& team) const {
  return std::any_of(teams_.begin(), teams_.end(), [&](const Team& other) {
    return other.name != team && exceeds_guarantee(other, usage(other.name).total.cores);
  });
}

bool QuotaLedger::is_borrowing(const std::string& team, bool by_services) const {
  const auto* found = find_team(team);
  if (found == nullptr) return false;
  const auto used = usage(team);
  return exceeds_guarantee(*found, by_services ? used.service_cores : used.total.cores);
}

std::optional<wire::QuotaRecord> QuotaLedger::next_record(const wire::Resources& unconfirmed_capacity,
                                                          std::uint64_t fencing_token, bool may_lower) {
  std::map<std::string, wire::Resources> used;
  for (const auto& team : teams_) used[team.name] = max_usage(team.name, unconfirmed_capacity);
  return usage_bounds_.next_record(used, fencing_token, may_lower);
}

void QuotaLedger::record_stored() { usage_bounds_.record_stored(); }

}  // namespace bankhill::leader
