#include "model/cancellation_bound.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace bankhill::model {

namespace {
// Shares of the time that the cancellation limit allows beyond an agent's lease.
constexpr double kReadAgeShare = 1.0 / 3;
constexpr double kLeaderTtlShare = 0.1;
// Below this maximum age a leader could never be valid: read barriers are sent once a second and take up to a
// second to be answered.
constexpr double kMinReadAgeS = 2;
}  // namespace

CancellationBound::CancellationBound(double lease_s, double cancel_s, double response_wait_s)
    : lease_s_(lease_s), cancel_s_(cancel_s), response_wait_s_(response_wait_s) {
  const double available_s = (cancel_s - kAllowanceS - response_wait_s) / kDriftAllowance - lease_s;
  max_read_age_s_ = std::min(kReadAgeShare * (cancel_s - lease_s), available_s);
}

double CancellationBound::leader_ttl_s() const { return kLeaderTtlShare * (cancel_s_ - lease_s_); }

double CancellationBound::worst_case_removal_s() const {
  return (max_read_age_s_ + lease_s_) * kDriftAllowance + response_wait_s_ + kAllowanceS;
}

bool CancellationBound::is_feasible() const {
  return max_read_age_s_ >= kMinReadAgeS && worst_case_removal_s() <= cancel_s_;
}

std::string CancellationBound::describe() const {
  return fmt::format(
      "a task of a cancelled job is removed after at most {:.1f} s (limit {:.1f} s): "
      "{:.1f} s maximum age of the leader's last state read, {:.1f} s for a heartbeat in flight, "
      "{:.1f} s for the agent's lease, {:.1f} s for clock drift and late timers",
      worst_case_removal_s(), cancel_s_, max_read_age_s_, response_wait_s_, lease_s_,
      (max_read_age_s_ + lease_s_) * (kDriftAllowance - 1) + kAllowanceS);
}

}  // namespace bankhill::model
