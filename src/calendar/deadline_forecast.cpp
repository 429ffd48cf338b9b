#include "calendar/deadline_forecast.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace bankhill::calendar {

namespace {
constexpr double kTight = 0.8;  // of what can be had: guesses are wrong, machines fail
constexpr double kHourS = 3600;

// Up to the next of 1, 2 and 5: a number that moves with each look would be told with each look.
double rounded(double value) {
  const double step = std::pow(10, std::floor(std::log10(value)));
  for (const double times : {1.0, 2.0, 5.0})
    if (value <= times * step * (1 + 1e-9)) return times * step;
  return 10 * step;
}

std::string text_of(DeadlineForecast::State state, double core_h) {
  char text[64];
  switch (state) {
    case DeadlineForecast::State::on_time:
      return "on time";
    case DeadlineForecast::State::tight:
      return "tight";
    case DeadlineForecast::State::short_of:
      std::snprintf(text, sizeof text, "short by %g core-hours", core_h);
      return text;
    case DeadlineForecast::State::missed:
      std::snprintf(text, sizeof text, "missed, %g core-hours are left", core_h);
      return text;
  }
  return "";
}
}  // namespace

void DeadlineForecast::start_update(double now) {
  now_ = now;
  left_.clear();
}

void DeadlineForecast::add_work(const std::string& team, double cutoff, double core_s, double task_s) {
  auto& left = left_[{team, cutoff}];
  left.core_s += core_s;
  if (now_ + task_s > cutoff) left.late_core_s += core_s;
}

std::vector<DeadlineForecast::ForecastChange> DeadlineForecast::finish_update(
    const std::function<Supply(const std::string& team)>& supply) {
  std::map<Key, Known> found;
  double sum = 0;  // of this tenant's work until this cutoff: what is due earlier goes first
  const std::string* team = nullptr;
  Supply cores;
  for (const auto& [key, left] : left_) {
    if (team == nullptr || *team != key.first) {
      team = &key.first;
      cores = supply(key.first);
      sum = 0;
    }
    sum += left.core_s;
    const double time = key.second - now_;
    Known known;
    if (time <= 0) {
      known = {State::missed, rounded(left.core_s / kHourS), ""};
    } else {
      const double more = time > cores.more_s ? (cores.most - cores.now) * (time - cores.more_s) : 0;
      const double room = cores.now * time + more;
      const double lacking = std::max(left.late_core_s, sum - room);
      if (lacking > 0)
        known = {State::short_of, rounded(lacking / kHourS), ""};
      else if (sum > kTight * room)
        known.state = State::tight;
    }
    known.text = text_of(known.state, known.short_core_h);
    found.emplace(key, std::move(known));
  }
  std::vector<ForecastChange> changed;
  for (const auto& [key, known] : found) {
    const auto before = told_.find(key);
    if (before == told_.end() || before->second != known)
      changed.push_back({key.first, key.second, known.state, known.text});
  }
  told_ = std::move(found);
  return changed;
}

const std::string& DeadlineForecast::reason(const std::string& team, double cutoff) const {
  static const std::string kNone;
  const auto known = told_.find({team, cutoff});
  return known == told_.end() || known->second.state == State::on_time ? kNone : known->second.text;
}

}  // namespace bankhill::calendar
