// Chooses when clients whose requests were refused because of a rate limit should try again. The times are
// spread so that about as many clients return per second as can be served. Pure: no input, output or clocks.
// Source: docs/SHARES.md, "Turned away".
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
    // Requests that this controller can serve, per second.
    double rate_per_s = 1;
    // Longest delay that a client is given.
    double max_delay_s = 30;
  };

  explicit RetryAfterPacer(Settings settings) : settings_(settings) {}

  // Returns the delay after which the client of the refused request `name` should try again, in whole
  // seconds, at least 1. `random_fraction`: a random number from 0 to below 1.
  double retry_after_s(double now, const std::string& name, double random_fraction);
  // The request was served, here or elsewhere: its client will not return.
  void request_served(const std::string& name);
  // Number of clients that are expected to return.
  std::size_t waiting_count() const { return due_at_.size(); }

 private:
  Settings settings_;
  // Time until which each client is expected to return, by name.
  std::map<std::string, double> due_at_;
  // The entries of `due_at_`, ordered by time.
  std::set<std::pair<double, std::string>> by_due_time_;
};

}  // namespace bankhill::fair_share
