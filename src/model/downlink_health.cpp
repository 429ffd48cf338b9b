#include "model/downlink_health.hpp"

#include <algorithm>
#include <cmath>

namespace bankhill::model {

namespace {
// A response that was sent less than this many lease durations ago should have kept the agent epoch alive.
constexpr double kEpochKeptLeases = 0.9;
// Earliest time of a heartbeat that no change on the machine triggered, in heartbeat intervals.
constexpr double kEarliestRegularIntervals = 0.7;
// Earliest time of a heartbeat that follows a lost response, in response timeouts of the agent.
constexpr double kEarliestRetryWaits = 1.07;
// Time by which most heartbeats that follow a lost response have arrived, in response timeouts of the agent.
constexpr double kUsualRetryWaits = 1.5;
// Lease durations for which an agent epoch cannot continue on a response from before the downlink became
// suspect.
constexpr double kEpochWithoutResponseLeases = 1.1;
}  // namespace

void DownlinkHealth::response_sent(double now, std::uint64_t sequence, wire::AgentEpoch agent_epoch,
                                   wire::FencingToken fencing_token, const std::string& forwarded_by) {
  if (std::pair(agent_epoch, sequence) < std::pair(last_response_.agent_epoch, last_response_.sequence))
    return;
  last_response_ = {sequence, agent_epoch, fencing_token, forwarded_by, now};
}

double DownlinkHealth::backoff_s(const HeartbeatTiming& timing, std::uint32_t attempts) const {
  return std::min(timing.control_interval_s * std::exp2(std::min(attempts, 16U)), timing.lease_s);
}

void DownlinkHealth::heartbeat_received(double now, const HeartbeatTiming& timing, const Evidence& evidence) {
  // No response was sent, or the heartbeat was sent before the response: it proves nothing.
  if (last_response_.sequence == 0 || evidence.sequence <= last_response_.sequence) return;
  const double since_response_s = now - last_response_.sent_at;
  const bool same_epoch = evidence.agent_epoch == last_response_.agent_epoch;
  const bool epoch_ended = evidence.agent_epoch > last_response_.agent_epoch &&
                           since_response_s < kEpochKeptLeases * timing.lease_s;
  const bool lost =
      evidence.start_missing || epoch_ended || evidence.fencing_token < last_response_.fencing_token;
  // An agent that received the response stays with its controller; otherwise it moves on to the next.
  const double earliest_regular_s = kEarliestRegularIntervals * timing.heartbeat_interval_s;
  const bool stayed_with_controller = same_epoch && evidence.forwarded_by == last_response_.forwarded_by &&
                                      since_response_s >= earliest_regular_s && !evidence.only_controller;
  // An agent without a response waits for the timeout before its next heartbeat, to any controller, and its
  // agent epoch ends with the lease.
  const bool before_timeout = same_epoch && since_response_s < timing.response_wait_s;
  const bool epoch_outlived_lease = state_ != State::healthy && evidence.agent_epoch == suspected_epoch_ &&
                                    now - suspect_since_ > kEpochWithoutResponseLeases * timing.lease_s;
  const bool received = !lost && (evidence.new_start_listed || stayed_with_controller || before_timeout ||
                                  epoch_outlived_lease);
  const bool moved_on = same_epoch && evidence.forwarded_by != last_response_.forwarded_by &&
                        since_response_s > kEarliestRetryWaits * timing.response_wait_s &&
                        (since_response_s < earliest_regular_s ||
                         earliest_regular_s < kUsualRetryWaits * timing.response_wait_s);
  if (!last_response_.forwarded_by.empty()) {
    if (received) peer_response_received_at_ = now;
    if (lost || moved_on) peer_response_lost_at_ = now;
  }
  if (lost) {
    if (state_ != State::healthy) return;
    mark_suspect(now, recurrences_ > 0 ? backoff_s(timing, recurrences_ - 1) : 0);
    ++recurrences_;
  } else if (received) {
    if (state_ != State::healthy && now < unusable_until_) return;
    state_ = State::healthy;
    if (evidence.new_start_listed) recurrences_ = 0;
  }
}

void DownlinkHealth::mark_suspect(double now, double retry_after_s) {
  state_ = State::probing;
  suspect_since_ = now;
  unanswered_probes_ = 0;
  suspected_epoch_ = last_response_.agent_epoch;
  unusable_until_ = next_probe_at_ = now + retry_after_s;
}

void DownlinkHealth::command_unanswered(double now) {
  if (state_ == State::healthy) mark_suspect(now, 0);
}

void DownlinkHealth::probe_sent(double now, const HeartbeatTiming& timing) {
  if (state_ != State::healthy) next_probe_at_ = now + backoff_s(timing, unanswered_probes_ + 1);
}

void DownlinkHealth::probe_ended(double now, const HeartbeatTiming& timing, bool answered) {
  if (state_ == State::healthy) return;
  if (answered) {
    if (now >= unusable_until_) state_ = State::healthy;
    return;
  }
  state_ = State::lost;
  next_probe_at_ = std::max(next_probe_at_, now + backoff_s(timing, unanswered_probes_));
  ++unanswered_probes_;
}

bool DownlinkHealth::should_terminate(double now, const HeartbeatTiming& timing) const {
  return state_ == State::lost && now - suspect_since_ > kTerminateAfterLeases * timing.lease_s;
}

}  // namespace bankhill::model
