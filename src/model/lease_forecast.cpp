#include "model/lease_forecast.hpp"

#include <algorithm>

namespace bankhill::model {

void LeadershipHistory::led(double at) {
  if (at <= until_) return;
  if (at - until_ > timing_.control_interval_s) since_ = at;
  until_ = at;
  if (until_ - since_ >= unanswered_return_s(timing_)) answered_until_ = until_;
}

bool LeaseForecast::record_leading(double now) {
  const bool resumed = now - acted_at_ > timing_.control_interval_s;
  if (resumed) {
    resumed_at_ = now;
    answered_until_ = history_.answered_until();
  }
  acted_at_ = now;
  history_.led(now);
  return resumed;
}

// A worker that nobody answers has come to the leader by then. One that has not was answered by an earlier
// leader, and its next heartbeat is not due yet.
bool LeaseForecast::lasts_until_renewal(double now, std::optional<double> answered_at) const {
  if (now - resumed_at_ > unanswered_return_s(timing_)) return true;
  const double answered_before = answered_until_ - kLatestHeartbeat * timing_.heartbeat_interval_s;
  return renewed_late_enough(now, answered_at.value_or(answered_before));
}

// A lease counts from when the heartbeat was sent, which may be as long before its answer as a worker waits.
bool LeaseForecast::renewed_late_enough(double now, double renewed_at) const {
  const double lease_left_s = renewed_at - timing_.response_wait_s + timing_.lease_s - now;
  return lease_left_s >= unanswered_return_s(timing_);
}

}  // namespace bankhill::model
