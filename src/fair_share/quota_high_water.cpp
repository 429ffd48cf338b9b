#include "fair_share/quota_high_water.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bankhill::fair_share {

using wire::Resources;

namespace {
// Tolerance for rounding errors in comparisons of resources.
constexpr double kRounding = 1e-6;
constexpr double kUnlimited = std::numeric_limits<double>::infinity();
// A bound is raised when the use comes closer to it than this number of steps.
constexpr double kRaiseAheadSteps = 0.5;

// Teams' limits are of cores and accelerators; memory is not limited.
template <class Op>
Resources combine(const Resources& a, const Resources& b, Op op) {
  return {op(a.cores, b.cores), op(a.accelerators, b.accelerators), 0};
}
Resources min_of(const Resources& a, const Resources& b) {
  return combine(a, b, [](double x, double y) { return std::min(x, y); });
}
Resources max_of(const Resources& a, const Resources& b) {
  return combine(a, b, [](double x, double y) { return std::max(x, y); });
}
bool is_within(const Resources& a, const Resources& b) {
  return a.cores <= b.cores + kRounding && a.accelerators <= b.accelerators + kRounding;
}
Resources add_multiple(const Resources& a, const Resources& b, double times = 1) {
  return combine(a, b, [times](double x, double y) { return x + times * y; });
}
}  // namespace

QuotaHighWater::QuotaHighWater(const std::map<std::string, Resources>& limits, double steps) {
  for (const auto& [name, limit] : limits) {
    if (!std::isfinite(limit.cores) && !std::isfinite(limit.accelerators)) continue;
    auto& team = teams_[name];
    team.limit = limit;
    const auto step_of = [steps](double amount) {
      return std::isfinite(amount) ? std::max(1.0, amount / steps) : 0;
    };
    team.step = {step_of(limit.cores), step_of(limit.accelerators), 0};
  }
}

void QuotaHighWater::begin_term(const std::optional<wire::QuotaRecord>& record, std::uint64_t term) {
  pending_record_.reset();
  needs_raise_ = false;
  record_trusted_ = record && record->term + 1 == term;
  stored_term_ = record ? record->term : 0;
  for (auto& [name, team] : teams_) {
    team.inherited_seen = team.stored_bound = team.required = {};
    team.inherited = team.limit;
    if (!record_trusted_) continue;
    // The bound is not cut to the limit, which may have been higher when the tasks were started. A team
    // without an entry in the record had no limit.
    const auto found = record->teams.find(name);
    if (found == record->teams.end())
      team.inherited = {kUnlimited, kUnlimited, 0};
    else
      team.inherited = found->second;
  }
}

void QuotaHighWater::inherited_task_seen(const std::string& name, const Resources& request) {
  if (const auto team = teams_.find(name); team != teams_.end())
    team->second.inherited_seen = add_multiple(team->second.inherited_seen, request);
}

Resources QuotaHighWater::max_unseen_usage(const std::string& name, const Resources& unconfirmed_size) const {
  const auto team = teams_.find(name);
  if (team == teams_.end()) return {};
  return combine(
      min_of(unconfirmed_size, add_multiple(team->second.inherited, team->second.inherited_seen, -1)), {},
      [](double x, double) { return std::max(0.0, x); });
}

bool QuotaHighWater::is_within_bounds(const std::string& name, const Team& team, const Resources& total,
                                      std::uint64_t term) const {
  // The next leader trusts only a record of the term before its own. Until a record of this term is stored,
  // no bound limits the current use; from the moment when it may be stored, its bounds do.
  if (stored_term_ == term && !is_within(total, team.stored_bound)) return false;
  if (!pending_record_ || pending_record_->term != term) return true;
  const auto bound = pending_record_->teams.find(name);
  return bound == pending_record_->teams.end() || is_within(total, bound->second);
}

bool QuotaHighWater::covers(const std::string& name, const Resources& total, std::uint64_t term) {
  const auto found = teams_.find(name);
  if (found == teams_.end()) return true;
  auto& team = found->second;
  const auto expected = min_of(add_multiple(total, team.step, kRaiseAheadSteps), team.limit);
  if (stored_term_ != term || !is_within(expected, team.stored_bound)) {
    needs_raise_ = true;
    team.required = max_of(team.required, min_of(total, team.limit));
  }
  return is_within_bounds(name, team, total, term);
}

Resources QuotaHighWater::bound_for(const Team& team, const Resources& total) const {
  const auto round_up = [](double used, double step, double limit) {
    return step <= 0 ? limit : std::min(limit, std::ceil((used + step) / step - kRounding) * step);
  };
  return {round_up(total.cores, team.step.cores, team.limit.cores),
          round_up(total.accelerators, team.step.accelerators, team.limit.accelerators), 0};
}

std::optional<wire::QuotaRecord> QuotaHighWater::next_record(const std::map<std::string, Resources>& used,
                                                             std::uint64_t term, bool may_lower) {
  if (pending_record_) return std::nullopt;
  bool needed = stored_term_ != term || needs_raise_;
  wire::QuotaRecord record{term, {}};
  for (auto& [name, team] : teams_) {
    const auto found = used.find(name);
    const auto total = max_of(team.required, found == used.end() ? Resources{} : found->second);
    const auto bound = bound_for(team, min_of(total, team.limit));
    // A drop of a bound by less than two steps alone leads to no record, so that small changes of the use
    // cause no writes.
    needed = needed || (may_lower && !is_within(team.stored_bound, add_multiple(bound, team.step, 1)));
    // A record that only raises bounds lowers none: a bound that is only just high enough would soon have to
    // be raised again.
    record.teams[name] = may_lower || stored_term_ != term ? bound : max_of(bound, team.stored_bound);
  }
  if (!needed) return std::nullopt;
  for (auto& [name, team] : teams_) team.required = {};
  needs_raise_ = false;
  pending_record_ = record;
  return record;
}

void QuotaHighWater::record_stored() {
  if (!pending_record_) return;
  stored_term_ = pending_record_->term;
  for (auto& [name, team] : teams_) team.stored_bound = pending_record_->teams[name];
  pending_record_.reset();
}

}  // namespace bankhill::fair_share
