// Forecasts whether the work due by each cutoff can be finished in time: compares the remaining work with the
// cores available until then. Pure: no input, output or clocks. See docs/CALENDARS.md, "What is told".
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bankhill::calendar {

// Holds the latest forecast for every cutoff. The leader updates it once per planning round.
class DeadlineForecast {
 public:
  enum class State { on_time, tight, insufficient, missed };
  // Cores that a tenant can use for its batch jobs.
  struct Supply {
    double cores_now = 0;        // cores available at once
    double max_cores = 0;        // cores available in total; infinite: no limit
    double more_cores_in_s = 0;  // time until more than `cores_now` are available, in seconds
  };
  // A cutoff whose forecast is new or has changed.
  struct ForecastChange {
    std::string team;
    double cutoff = 0;  // Unix time, in seconds
    State state = State::on_time;
    std::string text;  // description for the log and, unless `on_time`, for the reasons shown for jobs
  };

  // An update starts with start_update(), takes the unfinished work of every job that has a cutoff through
  // add_work(), and ends with finish_update(), which returns the changes since the previous update.
  void start_update(double now);
  // `core_s`: remaining work in core-seconds; `task_s`: estimated run time of one task in seconds.
  void add_work(const std::string& team, double cutoff, double core_s, double task_s);
  std::vector<ForecastChange> finish_update(const std::function<Supply(const std::string& team)>& supply);
  // Description to show for jobs with this cutoff; empty if they are on time.
  const std::string& reason(const std::string& team, double cutoff) const;
  void clear() { reported_.clear(); }

 private:
  using Key = std::pair<std::string, double>;  // tenant and cutoff
  struct RemainingWork {
    double core_s = 0;       // total, in core-seconds
    double late_core_s = 0;  // part in tasks that take longer than the time left, in core-seconds
  };
  struct Assessment {
    State state = State::on_time;
    double unmet_core_h = 0;  // work that cannot be finished in time, rounded up, in core-hours
    std::string text;
    bool operator==(const Assessment&) const = default;
  };

  double now_ = 0;                          // start of the current update, as Unix time in seconds
  std::map<Key, RemainingWork> remaining_;  // work collected in the current update
  std::map<Key, Assessment> reported_;      // result of the last update
};

}  // namespace bankhill::calendar
