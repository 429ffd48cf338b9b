#include "model/downlink_health.hpp"

#include <algorithm>
#include <cmath>

namespace bankhill::model {

namespace {
constexpr double kEpochShare = 0.9;  // of a lease: an answer this young should have kept the agent epoch
constexpr double kRegular = 0.7;     // of the heartbeat interval: the earliest report without a change
constexpr double kNextTry = 1.07;    // of the wait: the earliest report after an answer that never came
constexpr double kNextTries = 1.5;   // of the wait: most reports after one have come
constexpr double kGoesOn =
    1.1;  // of a lease: no answer before it became suspect can keep its agent epoch for so long
}  // namespace

void DownlinkHealth::response_sent(double now, std::uint64_t sequence, wire::AgentEpoch agent_epoch,
                                   wire::FencingToken fencing_token, const std::string& by) {
  if (std::pair(agent_epoch, sequence) < std::pair(last_.agent_epoch, last_.sequence)) return;
  last_ = {sequence, agent_epoch, fencing_token, by, now};
}

double DownlinkHealth::pause(const HeartbeatTiming& times, std::uint32_t times_before) const {
  return std::min(times.control_interval_s * std::exp2(std::min(times_before, 16U)), times.lease_s);
}

void DownlinkHealth::heartbeat_received(double now, const HeartbeatTiming& times, const Evidence& shown) {
  // Sent before the answer was given, or never answered: shows nothing.
  if (last_.sequence == 0 || shown.sequence <= last_.sequence) return;
  const double gap = now - last_.sent_at;
  const bool same_epoch = shown.agent_epoch == last_.agent_epoch;
  const bool ended = shown.agent_epoch > last_.agent_epoch && gap < kEpochShare * times.lease_s;
  const bool lost = shown.lost_start || ended || shown.fencing_token < last_.fencing_token;
  // A worker that was answered stays with its controller; one that was not goes to the next.
  const double regular = kRegular * times.heartbeat_interval_s;
  const bool stayed =
      same_epoch && shown.forwarded_by == last_.forwarded_by && gap >= regular && !shown.alone;
  // One that hears nothing waits before it reports again, wherever it goes; and its agent epoch cannot go on.
  const bool soon = same_epoch && gap < times.response_wait_s;
  const bool goes_on = state_ != State::healthy && shown.agent_epoch == suspected_epoch_ &&
                       now - since_ > kGoesOn * times.lease_s;
  const bool heard = !lost && (shown.ran_start || stayed || soon || goes_on);
  const bool left = same_epoch && shown.forwarded_by != last_.forwarded_by &&
                    gap > kNextTry * times.response_wait_s &&
                    (gap < regular || regular < kNextTries * times.response_wait_s);
  if (!last_.forwarded_by.empty()) {
    if (heard) heard_by_peer_ = now;
    if (lost || left) lost_by_peer_ = now;
  }
  if (lost) {
    if (state_ != State::healthy) return;
    suspect(now, relapses_ > 0 ? pause(times, relapses_ - 1) : 0);
    ++relapses_;
  } else if (heard) {
    if (state_ != State::healthy && now < hold_until_) return;
    state_ = State::healthy;
    if (shown.ran_start) relapses_ = 0;
  }
}

void DownlinkHealth::suspect(double now, double pause_s) {
  state_ = State::probing;
  since_ = now;
  unanswered_ = 0;
  suspected_epoch_ = last_.agent_epoch;
  hold_until_ = next_probe_ = now + pause_s;
}

void DownlinkHealth::command_unanswered(double now) {
  if (state_ == State::healthy) suspect(now, 0);
}

void DownlinkHealth::probe_sent(double now, const HeartbeatTiming& times) {
  if (state_ != State::healthy) next_probe_ = now + pause(times, unanswered_ + 1);
}

void DownlinkHealth::probe_ended(double now, const HeartbeatTiming& times, bool reached) {
  if (state_ == State::healthy) return;
  if (reached) {
    if (now >= hold_until_) state_ = State::healthy;
    return;
  }
  state_ = State::lost;
  next_probe_ = std::max(next_probe_, now + pause(times, unanswered_));
  ++unanswered_;
}

bool DownlinkHealth::should_terminate(double now, const HeartbeatTiming& times) const {
  return state_ == State::lost && now - since_ > kGiveUpLeases * times.lease_s;
}

}  // namespace bankhill::model
