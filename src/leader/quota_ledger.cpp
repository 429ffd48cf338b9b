#include "leader/quota_ledger.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::leader {

namespace {
constexpr double kRounding = 1e-6;
const std::string kUnknownTeam;    // of tasks whose jobs are not known
constexpr double kBoundSteps = 8;  // into which a team's limit is divided (fair_share/quota_high_water.hpp)

std::map<std::string, wire::Resources> limits_of(const std::vector<Team>& teams) {
  std::map<std::string, wire::Resources> limits;
  for (const auto& team : teams) limits[team.name] = team.limit;
  return limits;
}

// Quotas are of cores and accelerators; memory is not limited.
bool within(const wire::Resources& total, const wire::Resources& quota) {
  return total.cores <= quota.cores + kRounding && total.accelerators <= quota.accelerators + kRounding;
}

bool exceeds_guarantee(const Team& team, double cores) { return cores > team.guarantee.cores + kRounding; }

std::size_t index_of(wire::Priority priority) { return static_cast<std::size_t>(priority); }
}  // namespace

QuotaLedger::QuotaLedger(std::vector<Team> teams)
    : teams_(std::move(teams)), bounds_(limits_of(teams_), kBoundSteps) {}

const Team* QuotaLedger::find_team(const std::string& name) const {
  const auto found =
      std::find_if(teams_.begin(), teams_.end(), [&](const Team& team) { return team.name == name; });
  return found == teams_.end() ? nullptr : &*found;
}

void QuotaLedger::begin_term(const std::optional<wire::QuotaRecord>& record, std::uint64_t fencing_token) {
  bounds_.begin_term(record, fencing_token);
}

void QuotaLedger::clear() {
  usage_.clear();
  cores_by_priority_ = {};
  service_cores_ = 0;
}

void QuotaLedger::add(const model::Assignment& assignment) {
  auto& usage = usage_[assignment.team];
  usage.total += assignment.request;
  count_cores(assignment, usage, assignment.request.cores);
}

void QuotaLedger::remove(const model::Assignment& assignment) {
  auto& usage = usage_[assignment.team];
  usage.total -= assignment.request;
  count_cores(assignment, usage, -assignment.request.cores);
}

void QuotaLedger::count_cores(const model::Assignment& assignment, Usage& usage, double cores) {
  cores_by_priority_.at(index_of(assignment.priority)) += cores;
  if (!assignment.is_service) return;
  usage.service_cores += cores;
  service_cores_ += cores;
}

void QuotaLedger::inherited_task_seen(const std::string& team, const wire::Resources& request) {
  bounds_.inherited_task_seen(team, request);
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

wire::Resources QuotaLedger::highest_usage(const std::string& team,
                                           const wire::Resources& unconfirmed_size) const {
  auto total = usage(team).total;
  total += bounds_.max_unseen_usage(team, unconfirmed_size);
  total += usage(kUnknownTeam).total;
  return total;
}

Admission QuotaLedger::admit(const std::string& team, const wire::Resources& request,
                             std::uint32_t task_count, const wire::Resources& unconfirmed_size,
                             std::uint64_t fencing_token) {
  const auto* found = find_team(team);
  if (found == nullptr) return Admission::over_limit;
  auto total = highest_usage(team, unconfirmed_size);
  for (std::uint32_t i = 0; i < task_count; ++i) total += request;
  if (!within(total, found->limit)) return Admission::over_limit;
  // What the next leader is to count on is raised before it is used.
  return bounds_.covers(team, total, fencing_token) ? Admission::allowed : Admission::bound_not_covered;
}

bool QuotaLedger::within_guarantee(const std::string& team, const wire::Resources& request,
                                   const wire::Resources& unconfirmed_size) const {
  const auto* found = find_team(team);
  if (found == nullptr) return false;
  auto total = usage(team).total;
  if (bounds_.is_record_trusted()) total += bounds_.max_unseen_usage(team, unconfirmed_size);
  total += request;
  return within(total, found->guarantee);
}

bool QuotaLedger::others_borrow(const std::string& team) const {
  return std::any_of(teams_.begin(), teams_.end(), [&](const Team& other) {
    return other.name != team && exceeds_guarantee(other, usage(other.name).total.cores);
  });
}

bool QuotaLedger::borrows(const std::string& team, bool by_services) const {
  const auto* found = find_team(team);
  if (found == nullptr) return false;
  const auto used = usage(team);
  return exceeds_guarantee(*found, by_services ? used.service_cores : used.total.cores);
}

std::optional<wire::QuotaRecord> QuotaLedger::next_record(const wire::Resources& unconfirmed_size,
                                                          std::uint64_t fencing_token, bool may_lower) {
  std::map<std::string, wire::Resources> used;
  for (const auto& team : teams_) used[team.name] = highest_usage(team.name, unconfirmed_size);
  return bounds_.next_record(used, fencing_token, may_lower);
}

void QuotaLedger::record_stored() { bounds_.record_stored(); }

}  // namespace bankhill::leader
