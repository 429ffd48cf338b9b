// When those whose requests were turned away for a limit are to come back: spread so that about as many come
// a second as can be served. Pure: no input, output or clocks. Source: docs/SHARES.md, "Turned away".
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace bankhill::fair_share {

class RetryAfterPacer {
 public:
  struct Settings {
    double rate = 1;     // that can be served here, a second
    double most_s = 30;  // users are told no later time than this
  };

  explicit RetryAfterPacer(Settings settings) : settings_(settings) {}

  // Whole seconds, 1 or more, until this one is to come back; `chance` is random, from 0 to below 1.
  double retry_after_s(double now, const std::string& name, double chance);
  void request_served(const std::string& name);
  std::size_t waiting() const { return waiting_.size(); }

 private:
  Settings settings_;
  std::map<std::string, double> waiting_;  // when each comes back
  std::set<std::pair<double, std::string>> due_;
};

}  // namespace bankhill::fair_share
