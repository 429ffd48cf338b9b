#include "model/cancellation_bound.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace bankhill::model {

namespace {
// Parts of what a cancellation leaves beyond a worker's lease.
constexpr double kReadShare = 1.0 / 3;
constexpr double kTtlShare = 0.1;
// Below this the read barriers, one a second each answered within one, leave a leader no time to be valid.
constexpr double kLeastReadAgeS = 2;
}  // namespace

CancellationBound::CancellationBound(double lease_s, double cancel_s, double answer_s)
    : lease_s_(lease_s), cancel_s_(cancel_s), answer_s_(answer_s) {
  const double left = (cancel_s - kAllowanceS - answer_s) / kDriftAllowance - lease_s;
  read_age_s_ = std::min(kReadShare * (cancel_s - lease_s), left);
}

double CancellationBound::leader_ttl_s() const { return kTtlShare * (cancel_s_ - lease_s_); }

double CancellationBound::worst_case_removal_s() const {
  return (read_age_s_ + lease_s_) * kDriftAllowance + answer_s_ + kAllowanceS;
}

bool CancellationBound::is_feasible() const {
  return read_age_s_ >= kLeastReadAgeS && worst_case_removal_s() <= cancel_s_;
}

std::string CancellationBound::describe() const {
  return fmt::format(
      "a cancelled task is gone within {:.1f} of {:.1f} s: {:.1f} since the leader last read the state, "
      "{:.1f} "
      "for a report under way, {:.1f} of the worker's lease, {:.1f} for drift and late ends",
      worst_case_removal_s(), cancel_s_, read_age_s_, answer_s_, lease_s_,
      (read_age_s_ + lease_s_) * (kDriftAllowance - 1) + kAllowanceS);
}

}  // namespace bankhill::model
