// Whether what must be over by each cutoff still can be: the work left against the cores that can be had
// until then. Pure: no input, output or clocks. Source: docs/CALENDARS.md, "What is told".
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bankhill::calendar {

class DeadlineForecast {
 public:
  enum class State { on_time, tight, short_of, missed };
  // Of a tenant's cores, for its batches.
  struct Supply {
    double now = 0;     // that it can have at once
    double most = 0;    // that it can have in all; infinite: as many as it takes
    double more_s = 0;  // until more than now are there
  };
  struct ForecastChange {  // what has changed
    std::string team;
    double cutoff = 0;
    State state = State::on_time;
    std::string text;  // for the log, and of all but `on_time` for the jobs
  };

  // Each look begins anew, takes the unfinished work of every job with a cutoff, and ends with what changed.
  void start_update(double now);
  void add_work(const std::string& team, double cutoff, double core_s, double task_s);
  std::vector<ForecastChange> finish_update(const std::function<Supply(const std::string& team)>& supply);
  // Nothing to be told: empty.
  const std::string& reason(const std::string& team, double cutoff) const;
  void clear() { told_.clear(); }

 private:
  using Key = std::pair<std::string, double>;  // tenant and cutoff
  struct Left {
    double core_s = 0;
    double late_core_s = 0;  // of it in tasks that take longer than there is time
  };
  struct Known {
    State state = State::on_time;
    double short_core_h = 0;
    std::string text;
    bool operator==(const Known&) const = default;
  };

  double now_ = 0;
  std::map<Key, Left> left_;
  std::map<Key, Known> told_;
};

}  // namespace bankhill::calendar
