#include "model/lease_forecast.hpp"

#include <algorithm>

namespace bankhill::model {

void LeadershipHistory::record_leading(double at) {
  if (at <= leading_until_) return;
  if (at - leading_until_ > timing_.control_interval_s) leading_since_ = at;
  leading_until_ = at;
  if (leading_until_ - leading_since_ >= unanswered_return_s(timing_)) answered_until_ = leading_until_;
}

bool LeaseForecast::record_leading(double now) {
  const bool resumed = now - last_leading_at_ > timing_.control_interval_s;
  if (resumed) {
    resumed_at_ = now;
    answered_until_ = history_.answered_until();
  }
  last_leading_at_ = now;
  history_.record_leading(now);
  return resumed;
}

// After unanswered_return_s() of leading, every agent without a response has reached this leader. An agent
// that has not was answered by an earlier leader, and its next heartbeat is not due yet.
bool LeaseForecast::lasts_until_renewal(double now, std::optional<double> answered_at) const {
  if (now - resumed_at_ > unanswered_return_s(timing_)) return true;
  const double earliest_answer_at = answered_until_ - kMaxHeartbeatIntervals * timing_.heartbeat_interval_s;
  return renewal_outlasts_retry(now, answered_at.value_or(earliest_answer_at));
}

// The lease runs from when the heartbeat was sent, which is at most the agent's response timeout before the
// response.
bool LeaseForecast::renewal_outlasts_retry(double now, double answered_at) const {
  const double lease_left_s = answered_at - timing_.response_wait_s + timing_.lease_s - now;
  return lease_left_s >= unanswered_return_s(timing_);
}

}  // namespace bankhill::model
