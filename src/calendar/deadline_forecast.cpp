#include "calendar/deadline_forecast.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace bankhill::calendar {

namespace {
// Fraction of the available core-seconds above which a cutoff counts as tight. The rest allows for wrong
// estimates and machine failures.
constexpr double kTightFraction = 0.8;
constexpr double kSecondsPerHour = 3600;

// Rounds up to the next 1, 2 or 5 times a power of ten. A figure that changed with every update would be
// reported with every update.
double round_up(double value) {
  const double power_of_ten = std::pow(10, std::floor(std::log10(value)));
  for (const double factor : {1.0, 2.0, 5.0})
    if (value <= factor * power_of_ten * (1 + 1e-9)) return factor * power_of_ten;
  return 10 * power_of_ten;
}

std::string describe(DeadlineForecast::State state, double unmet_core_h) {
  char text[64];
  switch (state) {
    case DeadlineForecast::State::on_time:
      return "on time";
    case DeadlineForecast::State::tight:
      return "tight";
    case DeadlineForecast::State::insufficient:
      std::snprintf(text, sizeof text, "short by %g core-hours", unmet_core_h);
      return text;
    case DeadlineForecast::State::missed:
      std::snprintf(text, sizeof text, "missed, %g core-hours are left", unmet_core_h);
      return text;
  }
  return "";
}
}  // namespace

void DeadlineForecast::start_update(double now) {
  now_ = now;
  remaining_.clear();
}

void DeadlineForecast::add_work(const std::string& team, double cutoff, double core_s, double task_s) {
  auto& work = remaining_[{team, cutoff}];
  work.core_s += core_s;
  if (now_ + task_s > cutoff) work.late_core_s += core_s;
}

std::vector<DeadlineForecast::ForecastChange> DeadlineForecast::finish_update(
    const std::function<Supply(const std::string& team)>& supply) {
  std::map<Key, Assessment> assessments;
  double due_core_s = 0;  // work of this tenant due by this cutoff, including earlier cutoffs, which go first
  const std::string* team = nullptr;
  Supply team_supply;
  for (const auto& [key, work] : remaining_) {
    if (team == nullptr || *team != key.first) {
      team = &key.first;
      team_supply = supply(key.first);
      due_core_s = 0;
    }
    due_core_s += work.core_s;
    const double time_left_s = key.second - now_;
    Assessment assessment;
    if (time_left_s <= 0) {
      assessment = {State::missed, round_up(work.core_s / kSecondsPerHour), ""};
    } else {
      const double additional_core_s =
          time_left_s > team_supply.more_cores_in_s
              ? (team_supply.max_cores - team_supply.cores_now) * (time_left_s - team_supply.more_cores_in_s)
              : 0;
      const double available_core_s = team_supply.cores_now * time_left_s + additional_core_s;
      const double unmet_core_s = std::max(work.late_core_s, due_core_s - available_core_s);
      if (unmet_core_s > 0)
        assessment = {State::insufficient, round_up(unmet_core_s / kSecondsPerHour), ""};
      else if (due_core_s > kTightFraction * available_core_s)
        assessment.state = State::tight;
    }
    assessment.text = describe(assessment.state, assessment.unmet_core_h);
    assessments.emplace(key, std::move(assessment));
  }
  std::vector<ForecastChange> changed;
  for (const auto& [key, assessment] : assessments) {
    const auto previous = reported_.find(key);
    if (previous == reported_.end() || previous->second != assessment)
      changed.push_back({key.first, key.second, assessment.state, assessment.text});
  }
  reported_ = std::move(assessments);
  return changed;
}

const std::string& DeadlineForecast::reason(const std::string& team, double cutoff) const {
  static const std::string kNone;
  const auto assessment = reported_.find({team, cutoff});
  return assessment == reported_.end() || assessment->second.state == State::on_time
             ? kNone
             : assessment->second.text;
}

}  // namespace bankhill::calendar
