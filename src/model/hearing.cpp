#include "model/hearing.hpp"

#include <algorithm>
#include <cmath>

namespace bankhill::model {

namespace {
constexpr double kSessionShare = 0.9;  // of a lease: an answer this young should have kept the session
constexpr double kRegular = 0.7;       // of the report interval: the earliest report without a change
constexpr double kNextTry = 1.07;      // of the wait: the earliest report after an answer that never came
constexpr double kNextTries = 1.5;     // of the wait: most reports after one have come
constexpr double kGoesOn =
    1.1;  // of a lease: no answer before it became suspect can keep its session for so long
}  // namespace

void Hearing::answered(double now, std::uint64_t counter, wire::Tenure tenure, wire::Fence fence,
                       const std::string& by) {
  if (std::pair(tenure, counter) < std::pair(last_.tenure, last_.counter)) return;
  last_ = {counter, tenure, fence, by, now};
}

double Hearing::pause(const HeartbeatTiming& times, std::uint32_t times_before) const {
  return std::min(times.control_interval_s * std::exp2(std::min(times_before, 16U)), times.lease_s);
}

void Hearing::reported(double now, const HeartbeatTiming& times, const Shown& shown) {
  // Sent before the answer was given, or never answered: shows nothing.
  if (last_.counter == 0 || shown.counter <= last_.counter) return;
  const double gap = now - last_.at;
  const bool same_session = shown.tenure == last_.tenure;
  const bool ended = shown.tenure > last_.tenure && gap < kSessionShare * times.lease_s;
  const bool lost = shown.lost_start || ended || shown.fence < last_.fence;
  // A worker that was answered stays with its controller; one that was not goes to the next.
  const double regular = kRegular * times.heartbeat_interval_s;
  const bool stayed = same_session && shown.by == last_.by && gap >= regular && !shown.alone;
  // One that hears nothing waits before it reports again, wherever it goes; and its session cannot go on.
  const bool soon = same_session && gap < times.response_wait_s;
  const bool goes_on =
      state_ != State::hears && shown.tenure == session_ && now - since_ > kGoesOn * times.lease_s;
  const bool heard = !lost && (shown.ran_start || stayed || soon || goes_on);
  const bool left = same_session && shown.by != last_.by && gap > kNextTry * times.response_wait_s &&
                    (gap < regular || regular < kNextTries * times.response_wait_s);
  if (!last_.by.empty()) {
    if (heard) heard_by_sibling_ = now;
    if (lost || left) lost_by_sibling_ = now;
  }
  if (lost) {
    if (state_ != State::hears) return;
    suspect(now, relapses_ > 0 ? pause(times, relapses_ - 1) : 0);
    ++relapses_;
  } else if (heard) {
    if (state_ != State::hears && now < hold_until_) return;
    state_ = State::hears;
    if (shown.ran_start) relapses_ = 0;
  }
}

void Hearing::suspect(double now, double pause_s) {
  state_ = State::asked;
  since_ = now;
  unanswered_ = 0;
  session_ = last_.tenure;
  hold_until_ = next_ask_ = now + pause_s;
}

void Hearing::lost_order(double now) {
  if (state_ == State::hears) suspect(now, 0);
}

void Hearing::asked(double now, const HeartbeatTiming& times) {
  if (state_ != State::hears) next_ask_ = now + pause(times, unanswered_ + 1);
}

void Hearing::direct(double now, const HeartbeatTiming& times, bool reached) {
  if (state_ == State::hears) return;
  if (reached) {
    if (now >= hold_until_) state_ = State::hears;
    return;
  }
  state_ = State::deaf;
  next_ask_ = std::max(next_ask_, now + pause(times, unanswered_));
  ++unanswered_;
}

bool Hearing::give_up(double now, const HeartbeatTiming& times) const {
  return state_ == State::deaf && now - since_ > kGiveUpLeases * times.lease_s;
}

}  // namespace bankhill::model
