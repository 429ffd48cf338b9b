#include "fair_share/quota_high_water.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bankhill::fair_share {

using wire::Resources;

namespace {
constexpr double kRounding = 1e-6;
constexpr double kUnlimited = std::numeric_limits<double>::infinity();
constexpr double kAhead = 0.5;  // steps below its bound at which a team's bound is raised

// Teams' limits are of cores and accelerators; memory is not limited.
template <class Op>
Resources each(const Resources& a, const Resources& b, Op op) {
  return {op(a.cores, b.cores), op(a.accelerators, b.accelerators), 0};
}
Resources least(const Resources& a, const Resources& b) {
  return each(a, b, [](double x, double y) { return std::min(x, y); });
}
Resources most(const Resources& a, const Resources& b) {
  return each(a, b, [](double x, double y) { return std::max(x, y); });
}
bool within(const Resources& a, const Resources& b) {
  return a.cores <= b.cores + kRounding && a.accelerators <= b.accelerators + kRounding;
}
Resources plus(const Resources& a, const Resources& b, double times = 1) {
  return each(a, b, [times](double x, double y) { return x + times * y; });
}
}  // namespace

QuotaHighWater::QuotaHighWater(const std::map<std::string, Resources>& limits, double steps) {
  for (const auto& [name, limit] : limits) {
    if (!std::isfinite(limit.cores) && !std::isfinite(limit.accelerators)) continue;
    auto& team = teams_[name];
    team.limit = limit;
    const auto step = [steps](double of) { return std::isfinite(of) ? std::max(1.0, of / steps) : 0; };
    team.step = {step(limit.cores), step(limit.accelerators), 0};
  }
}

void QuotaHighWater::begin_term(const std::optional<wire::QuotaRecord>& record, std::uint64_t term) {
  pending_.reset();
  wanted_ = false;
  believed_ = record && record->term + 1 == term;
  committed_term_ = record ? record->term : 0;
  for (auto& [name, team] : teams_) {
    team.seen = team.committed = team.wanted = {};
    team.inherited = team.limit;
    if (!believed_) continue;
    // Not cut to the limit: it may have been higher when the tasks were started. A team without an entry had
    // none.
    const auto found = record->teams.find(name);
    if (found == record->teams.end())
      team.inherited = {kUnlimited, kUnlimited, 0};
    else
      team.inherited = found->second;
  }
}

void QuotaHighWater::inherited_task_seen(const std::string& name, const Resources& request) {
  if (const auto team = teams_.find(name); team != teams_.end())
    team->second.seen = plus(team->second.seen, request);
}

Resources QuotaHighWater::max_unseen_usage(const std::string& name, const Resources& unheard) const {
  const auto team = teams_.find(name);
  if (team == teams_.end()) return {};
  return each(least(unheard, plus(team->second.inherited, team->second.seen, -1)), {},
              [](double x, double) { return std::max(0.0, x); });
}

bool QuotaHighWater::holds(const std::string& name, const Team& team, const Resources& total,
                           std::uint64_t term) const {
  // The next leader believes a record of the last term only: until one of this term stands there, what is
  // used now binds nobody. From the moment that one may stand there it does.
  if (committed_term_ == term && !within(total, team.committed)) return false;
  if (!pending_ || pending_->term != term) return true;
  const auto bound = pending_->teams.find(name);
  return bound == pending_->teams.end() || within(total, bound->second);
}

bool QuotaHighWater::covers(const std::string& name, const Resources& total, std::uint64_t term) {
  const auto found = teams_.find(name);
  if (found == teams_.end()) return true;
  auto& team = found->second;
  const auto soon = least(plus(total, team.step, kAhead), team.limit);
  if (committed_term_ != term || !within(soon, team.committed)) {
    wanted_ = true;
    team.wanted = most(team.wanted, least(total, team.limit));
  }
  return holds(name, team, total, term);
}

Resources QuotaHighWater::bound_for(const Team& team, const Resources& total) const {
  const auto up = [](double used, double step, double limit) {
    return step <= 0 ? limit : std::min(limit, std::ceil((used + step) / step - kRounding) * step);
  };
  return {up(total.cores, team.step.cores, team.limit.cores),
          up(total.accelerators, team.step.accelerators, team.limit.accelerators), 0};
}

std::optional<wire::QuotaRecord> QuotaHighWater::next_record(const std::map<std::string, Resources>& used,
                                                             std::uint64_t term, bool lower) {
  if (pending_) return std::nullopt;
  bool needed = committed_term_ != term || wanted_;
  wire::QuotaRecord record{term, {}};
  for (auto& [name, team] : teams_) {
    const auto found = used.find(name);
    const auto total = most(team.wanted, found == used.end() ? Resources{} : found->second);
    const auto bound = bound_for(team, least(total, team.limit));
    // Lowered by two steps at least: what goes up and down a little costs no puts.
    needed = needed || (lower && !within(team.committed, plus(bound, team.step, 1)));
    // Not lowered otherwise: a bound that only just holds would soon be raised again.
    record.teams[name] = lower || committed_term_ != term ? bound : most(bound, team.committed);
  }
  if (!needed) return std::nullopt;
  for (auto& [name, team] : teams_) team.wanted = {};
  wanted_ = false;
  pending_ = record;
  return record;
}

void QuotaHighWater::record_stored() {
  if (!pending_) return;
  committed_term_ = pending_->term;
  for (auto& [name, team] : teams_) team.committed = pending_->teams[name];
  pending_.reset();
}

}  // namespace bankhill::fair_share
