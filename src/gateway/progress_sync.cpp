#include "gateway/progress_sync.hpp"

#include <algorithm>
#include <utility>

#include "wire/records.hpp"

namespace bankhill::gateway {

using wire::JobId;

namespace {
constexpr double kTickIntervalS = 0.25;
// Interval between two requests for updates.
constexpr double kRequestIntervalS = 0.75;
// An update that comes later than this after its request is ignored.
constexpr double kUpdateTimeoutS = 10;
// A status may lag by 3 s; the leader learns of a change and publishes it in less than the rest.
constexpr double kMaxCopyAgeS = 2;
// After this long without certainty under the same leader the last known state is told, and sooner if there
// was none for long: an accepted job that no question is answered about for 75 s counts as forgotten.
constexpr double kMaxSilenceS = 12;
constexpr double kLongSilenceS = 30;
// In this time a new leader has heard of all machines that answer.
constexpr double kMinSilenceS = 3;
}  // namespace

ProgressSync::ProgressSync(runtime::Loop& loop, runtime::Log log, Ports ports)
    : Actor(loop),
      log_(std::move(log)),
      ports_(std::move(ports)),
      next_id_(ports_.incarnation),
      last_tick_at_(loop.now()) {}

void ProgressSync::start() { tick(); }

bool ProgressSync::is_current() const { return loop().now() - replica_.complete_as_of() < kMaxCopyAgeS; }

bool ProgressSync::is_leader_unheard() const {
  return recorded_leader_ && *recorded_leader_ != ports_.self && !ports_.relay.is_heard(*recorded_leader_);
}

bool ProgressSync::leads_without_updates() const {
  const auto leader = ports_.relay.leading_peer();
  return !leader.empty() && !ports_.relay.syncs_progress(leader);
}

std::variant<KnownProgress, ProgressGap> ProgressSync::progress(const JobId& id) const {
  const auto* known = replica_.find(id);
  const bool current = is_current();
  // A job that a current copy does not name was accepted after it: nothing of it runs yet.
  if (current && known == nullptr) return KnownProgress{};
  if (current && known->certain) return *known;
  // Another controller knows: this one does not guess.
  if (is_leader_unheard() || leads_without_updates()) return ProgressGap::copy_outdated;
  const double limit_s = without_certainty_s_ >= kLongSilenceS ? kMinSilenceS : kMaxSilenceS;
  // The time under a view counts only while that view lasts, also between two ticks.
  const bool same_view = current == was_current_ && ports_.relay.leading_peer() == last_leader_;
  if (same_view && under_same_view_s_ >= limit_s) {
    log_->debug(
        "progress: {} is told as last known: under leader '{}' for {:.2f} s, {:.1f} s without certainty",
        id.value, last_leader_, under_same_view_s_, without_certainty_s_);
    return known == nullptr ? KnownProgress{} : *known;
  }
  return current ? ProgressGap::leader_uncertain : ProgressGap::copy_outdated;
}

std::string ProgressSync::reason(const JobId& id) const {
  const auto* known = replica_.find(id);
  return known == nullptr || !is_current() ? std::string() : known->reason;
}

void ProgressSync::on(LeaderRecordChanges& message) {
  for (const auto& change : *message.changes) {
    if (change.key != wire::kLeaderKey) continue;
    recorded_leader_.reset();
    if (!change.data) continue;
    try {
      recorded_leader_ = wire::parse_leader_record(*change.data).node;
    } catch (const wire::ProtocolError&) {  // Nobody leads by a record that cannot be read.
    }
  }
}

void ProgressSync::tick() {
  timer_ = loop().after(kTickIntervalS, guard([this] { tick(); }));
  count_uncertainty();
  const double now = loop().now();
  unanswered_ += std::erase_if(
      pending_, [now](const auto& entry) { return now - entry.second.sent_at >= kUpdateTimeoutS; });
  if (now >= next_request_at_) request_update();
}

void ProgressSync::count_uncertainty() {
  const double now = loop().now();
  const double elapsed_s = std::min(now - std::exchange(last_tick_at_, now), 2 * kTickIntervalS);
  const bool unheard = is_leader_unheard();
  const bool current = is_current();
  leader_unheard_s_ = unheard ? leader_unheard_s_ + elapsed_s : 0;
  const bool certain = current && replica_.all_certain();
  without_certainty_s_ = unheard || certain ? 0 : without_certainty_s_ + elapsed_s;
  const auto leader = ports_.relay.leading_peer();
  const bool same_leader = leader == std::exchange(last_leader_, leader);
  const bool same_view = same_leader && current == std::exchange(was_current_, current);
  under_same_view_s_ = same_view && without_certainty_s_ > 0 ? under_same_view_s_ + elapsed_s : 0;
  log_change(current);
}

void ProgressSync::log_change(bool current) {
  if (current == std::exchange(logged_current_, current)) return;
  if (current)
    log_->info("progress: copy of term {} is current, {} jobs, {} requests without an update before",
               replica_.stream(), replica_.size(), std::exchange(unanswered_, 0));
  else
    log_->info("progress: copy of term {} is outdated after {} updates", replica_.stream(),
               std::exchange(updates_, 0));
}

void ProgressSync::request_update() {
  const auto leader = ports_.relay.leading_peer();
  if (!ports_.enabled || ports_.is_leader() || leader.empty() || !ports_.relay.syncs_progress(leader)) return;
  auto request = replica_.next_request();
  request.id = next_id_++;
  next_request_at_ = loop().now() + kRequestIntervalS;
  if (ports_.peers.send(leader, request)) pending_[request.id] = {leader, loop().now()};
}

bool ProgressSync::apply(const wire::ProgressUpdate& update, double as_of) {
  if (!replica_.apply(update, as_of)) {
    log_->debug("progress: update of term {} after {} does not continue the copy", update.stream,
                update.after);
    return false;
  }
  ++updates_;
  log_change(is_current());
  return true;
}

// An update that does not continue the copy is repaired as a peer's is: by a request for what is missing.
void ProgressSync::on(LocalProgress& message) {
  if (!apply(message.update, message.as_of) && ports_.is_leader())
    ports_.ask_own_leader(replica_.next_request());
}

void ProgressSync::on(PeerProgress& message) {
  if (const auto* progress = std::get_if<wire::JobProgress>(&message.frame)) {
    if (!is_current() && wire::parse_job_id(progress->job)) replica_.note_unversioned(*progress);
    return;
  }
  const auto* update = std::get_if<wire::ProgressUpdate>(&message.frame);
  if (update == nullptr) return;
  const auto request = pending_.find(update->id);
  if (request == pending_.end() || request->second.node != message.node) return;
  const double sent_at = request->second.sent_at;
  pending_.erase(request);
  apply(*update, sent_at);
  if (!update->complete) request_update();
}

}  // namespace bankhill::gateway
