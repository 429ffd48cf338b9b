#include "leader/reachability_probe.hpp"

#include <algorithm>
#include <utility>

#include "net/http.hpp"

namespace bankhill::leader {

namespace {
constexpr std::size_t kSampleSize = 48;
constexpr std::size_t kSmallestSample = 4;  // fewer machines show nothing
constexpr double kFailedShare = 0.5;        // of a sample unanswered: another controller will do better
constexpr std::size_t kSuspicions = 3;      // within a control interval: a sample is taken
constexpr double kTermLeases = 0.5;         // leases of a term that pass before the first sample
// Control intervals.
constexpr double kSampleIntervals = 2;      // between two samples
constexpr double kEvidenceIntervals = 0.5;  // between two samples as long as more is to be learned
// Times that a worker waits for a response: how long heartbeats are watched for whose fault it is that
// samples fail, and after which a machine counts as one whose heartbeats do not arrive either, beyond its
// interval.
constexpr double kEvidenceWaits = 3.5;
constexpr double kUplinkLostWaits = 1.5;
constexpr double kEvidenceShare = 0.25;  // of those unanswered: so many tell
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
  age_suspicions(now);
  if (!sample_due(now, term_began_at)) return;
  next_sample_at_ = now + kSampleIntervals * settings_.control_interval_s;
  const auto machine_ids = pick_machines();
  if (!machine_ids.empty()) start_sample(machine_ids);
}

void ReachabilityProbe::age_suspicions(double now) {
  if (now < suspicions_expire_at_) return;
  suspicions_expire_at_ = now + settings_.control_interval_s;
  suspicions_ = 0;
}

bool ReachabilityProbe::sample_due(double now, double term_began_at) const {
  if (now < next_sample_at_ || sample_.outstanding > 0 || settings_.controllers < 2) return false;
  // A leader that has just begun asks every machine anyway; and two must not pass the leadership to and fro.
  if (now - term_began_at < kTermLeases * settings_.lease_s) return false;
  return suspicions_ >= kSuspicions || !ports_.has_peer_contact();
}

// Empty if there are too few.
std::vector<wire::MachineId> ReachabilityProbe::pick_machines() {
  auto machine_ids = ports_.candidates();
  if (machine_ids.size() < kSmallestSample) return {};
  std::shuffle(machine_ids.begin(), machine_ids.end(), loop_.random());
  machine_ids.resize(std::min(machine_ids.size(), kSampleSize));
  return machine_ids;
}

void ReachabilityProbe::start_sample(const std::vector<wire::MachineId>& machine_ids) {
  sample_ = {};
  sample_.size = sample_.outstanding = machine_ids.size();
  for (const auto& machine_id : machine_ids)
    ports_.send_probe(machine_id, [this, machine_id] { probe_done(machine_id); });
}

void ReachabilityProbe::probe_done(const wire::MachineId& machine_id) {
  const auto state = ports_.machine_state(machine_id);
  if (state && state->unanswered) count_unanswered(*state);
  // A request of an earlier term may end in this one, where it belongs to no sample.
  if (sample_.outstanding == 0 || --sample_.outstanding > 0) return;
  judge_sample();
}

void ReachabilityProbe::count_unanswered(const MachineState& state) {
  ++sample_.unanswered;
  const double arrived_at = state.peer_response_arrived_at;
  const double lost_at = state.peer_response_lost_at;
  if (failing_since_ && std::max(arrived_at, lost_at) >= *failing_since_)
    ++(arrived_at >= lost_at ? sample_.downlink_alive : sample_.downlink_lost);
  const double uplink_lost_after_s =
      kUplinkLostWaits * net::kWorkerResponseTimeoutS + settings_.heartbeat_interval_s;
  if (loop_.now() - state.last_heartbeat_at > uplink_lost_after_s) ++sample_.uplink_lost;
}

// Machines that answer no direct request but send heartbeats show whose fault it is: those that stay with a
// peer hear what it answers, so it is this controller whom they do not hear; those that lose what peers
// answer as well have lost their downlink, and another leader would reach no more of them.
void ReachabilityProbe::judge_sample() {
  const double now = loop_.now();
  if (static_cast<double>(sample_.unanswered) <= kFailedShare * static_cast<double>(sample_.size)) {
    failing_since_.reset();
    return;
  }
  if (!failing_since_) failing_since_ = now;
  if (wait_for_evidence(now)) {
    next_sample_at_ = std::min(next_sample_at_, now + kEvidenceIntervals * settings_.control_interval_s);
    return;
  }
  if (sample_.downlink_lost > sample_.downlink_alive) {
    log_->warn(
        "leader: {} of {} machines cannot be reached from here, nor by the siblings that they report to",
        sample_.unanswered, sample_.size);
    return;
  }
  log_->warn("leader: {} of {} machines cannot be reached from here", sample_.unanswered, sample_.size);
  ports_.resign();
}

// Whether it is not known yet whose fault the failed sample is, and heartbeats can still show it.
bool ReachabilityProbe::wait_for_evidence(double now) const {
  const auto unanswered = static_cast<double>(sample_.unanswered);
  const auto telling = static_cast<double>(sample_.downlink_alive + sample_.downlink_lost);
  if (telling >= kEvidenceShare * unanswered) return false;
  if (2 * sample_.uplink_lost > sample_.unanswered) return false;
  // One that hears no peer is on the smaller side of a partition: there is nobody from whom more could be
  // learned, and those that are not reached are soon no part of the sample any more.
  if (!ports_.has_peer_contact()) return false;
  return now - *failing_since_ < kEvidenceWaits * net::kWorkerResponseTimeoutS;
}

}  // namespace bankhill::leader
