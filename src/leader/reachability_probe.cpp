#include "leader/reachability_probe.hpp"

#include <algorithm>
#include <utility>

#include "net/http.hpp"

namespace bankhill::leader {

namespace {
constexpr std::size_t kSampleSize = 48;
// Minimum number of machines in a sample: with fewer the result means little.
constexpr std::size_t kMinSampleSize = 4;
// If more than this share of a sample stays unanswered, the sample has failed: a peer is likely to reach more
// machines.
constexpr double kFailedSampleShare = 0.5;
// Number of suspicions within a control interval that cause a sample.
constexpr std::size_t kSuspicionThreshold = 3;
// Minimum age of a term at its first sample, in lease durations.
constexpr double kMinTermAgeLeases = 0.5;
// Intervals between two samples, in control intervals: the usual one, and the one while more evidence is
// awaited.
constexpr double kSampleSpacingIntervals = 2;
constexpr double kEvidenceSpacingIntervals = 0.5;
// Multiples of the time for which an agent waits for a response. Evidence: how long heartbeats are observed
// to find out which side causes samples to fail. Uplink lost: how long, beyond its heartbeat interval, a
// machine sends no heartbeat before its uplink counts as lost.
constexpr double kEvidenceTimeoutWaits = 3.5;
constexpr double kUplinkLostWaits = 1.5;
// Minimum share of the unanswered machines whose heartbeats must provide evidence.
constexpr double kMinEvidenceShare = 0.25;
}  // namespace

ReachabilityProbe::ReachabilityProbe(runtime::Loop& loop, runtime::Log log, Settings settings, Ports ports)
    : loop_(loop), log_(std::move(log)), settings_(settings), ports_(std::move(ports)) {}

void ReachabilityProbe::reset() {
  sample_ = {};
  suspicions_ = 0;
  failing_since_.reset();
}

void ReachabilityProbe::tick(double term_began_at) {
  const double now = loop_.now();
  expire_suspicions(now);
  if (!is_sample_due(now, term_began_at)) return;
  next_sample_at_ = now + kSampleSpacingIntervals * settings_.control_interval_s;
  const auto machine_ids = pick_machines();
  if (!machine_ids.empty()) start_sample(machine_ids);
}

void ReachabilityProbe::expire_suspicions(double now) {
  if (now < suspicions_expire_at_) return;
  suspicions_expire_at_ = now + settings_.control_interval_s;
  suspicions_ = 0;
}

bool ReachabilityProbe::is_sample_due(double now, double term_began_at) const {
  if (now < next_sample_at_ || sample_.outstanding > 0 || settings_.controllers < 2) return false;
  // A new leader probes every machine anyway. The delay also prevents two controllers from passing the
  // leadership back and forth.
  if (now - term_began_at < kMinTermAgeLeases * settings_.lease_s) return false;
  return suspicions_ >= kSuspicionThreshold || !ports_.has_peer_contact();
}

// Returns a random sample of the candidates, or nothing if there are too few.
std::vector<wire::MachineId> ReachabilityProbe::pick_machines() {
  auto machine_ids = ports_.candidates();
  if (machine_ids.size() < kMinSampleSize) return {};
  std::shuffle(machine_ids.begin(), machine_ids.end(), loop_.random());
  machine_ids.resize(std::min(machine_ids.size(), kSampleSize));
  return machine_ids;
}

void ReachabilityProbe::start_sample(const std::vector<wire::MachineId>& machine_ids) {
  sample_ = {};
  sample_.size = sample_.outstanding = machine_ids.size();
  for (const auto& machine_id : machine_ids)
    ports_.send_probe(machine_id, [this, machine_id] { on_probe_done(machine_id); });
}

void ReachabilityProbe::on_probe_done(const wire::MachineId& machine_id) {
  const auto state = ports_.machine_state(machine_id);
  if (state && state->unanswered) count_unanswered(*state);
  // A probe of an earlier term may end in this one, where it belongs to no sample.
  if (sample_.outstanding == 0 || --sample_.outstanding > 0) return;
  evaluate_sample();
}

void ReachabilityProbe::count_unanswered(const MachineState& state) {
  ++sample_.unanswered;
  const double arrived_at = state.peer_response_arrived_at;
  const double lost_at = state.peer_response_lost_at;
  if (failing_since_ && std::max(arrived_at, lost_at) >= *failing_since_)
    ++(arrived_at >= lost_at ? sample_.downlink_works : sample_.downlink_lost);
  const double uplink_lost_after_s =
      kUplinkLostWaits * net::kWorkerResponseTimeoutS + settings_.heartbeat_interval_s;
  if (loop_.now() - state.last_heartbeat_at > uplink_lost_after_s) ++sample_.uplink_lost;
}

// Machines that answer no direct request but send heartbeats show which side is at fault. If they receive the
// responses of a peer, this controller cannot reach them. If they lose the responses of peers as well, their
// downlink is lost, and another leader would reach no more of them.
void ReachabilityProbe::evaluate_sample() {
  const double now = loop_.now();
  if (static_cast<double>(sample_.unanswered) <= kFailedSampleShare * static_cast<double>(sample_.size)) {
    failing_since_.reset();
    return;
  }
  if (!failing_since_) failing_since_ = now;
  if (should_wait_for_evidence(now)) {
    next_sample_at_ =
        std::min(next_sample_at_, now + kEvidenceSpacingIntervals * settings_.control_interval_s);
    return;
  }
  if (sample_.downlink_lost > sample_.downlink_works) {
    log_->warn(
        "leader: {} of {} probed machines cannot be reached by this controller or by the peers that receive "
        "their heartbeats, keeping leadership",
        sample_.unanswered, sample_.size);
    return;
  }
  log_->warn("leader: {} of {} probed machines cannot be reached by this controller, resigning",
             sample_.unanswered, sample_.size);
  ports_.resign();
}

// Whether it is still unknown which side caused the sample to fail, and heartbeats can still show it.
bool ReachabilityProbe::should_wait_for_evidence(double now) const {
  const auto unanswered = static_cast<double>(sample_.unanswered);
  const auto with_evidence = static_cast<double>(sample_.downlink_works + sample_.downlink_lost);
  if (with_evidence >= kMinEvidenceShare * unanswered) return false;
  if (2 * sample_.uplink_lost > sample_.unanswered) return false;
  // A controller without contact to peers is on the smaller side of a partition: no peer can forward further
  // evidence, and the machines that are not reached soon stop being candidates.
  if (!ports_.has_peer_contact()) return false;
  return now - *failing_since_ < kEvidenceTimeoutWaits * net::kWorkerResponseTimeoutS;
}

}  // namespace bankhill::leader
