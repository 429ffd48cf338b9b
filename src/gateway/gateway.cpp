#include "gateway/gateway.hpp"

#include <algorithm>
#include <utility>

#include "gateway/job_status.hpp"
#include "gateway/responses.hpp"
#include "gateway/route.hpp"

namespace bankhill::gateway {

using net::Response;
using state::Outcome;
using wire::JobId;
using wire::JobState;

namespace {
// The state service is queried at least every second, so this long without an update means that it does not
// serve this controller.
constexpr double kStateUpdateTimeoutS = 2.5;
// After this long without the state service, a controller that cannot reach all its peers assumes that it is
// partitioned itself, rather than that the service is down.
constexpr double kPartitionTimeoutS = 15;
// After this long a controller that reaches the state service but not the leader gives up its users: it can
// tell them nothing of running jobs. Load balancers take some seconds more, and a job that no question is
// answered about for 75 s counts as forgotten.
constexpr double kLeaderUnheardTimeoutS = 40;
// Shorter than the 2 s that users wait for the response to a status poll.
constexpr double kRelayTimeoutS = 1.5;
constexpr int kMaxSubmitAttempts = 2;
constexpr int kMaxCancelAttempts = 5;
// After the transaction of a submission failed because another controller had accepted the same job, this
// controller looks submissions up before it commits them, for this long.
constexpr double kLookUpBeforeCommitS = 10;

// Share of the state service's write limit that rate-limited users can count on; the leader's bookkeeping
// needs the rest.
constexpr double kUserWriteShare = 0.75;

double user_writes_per_s(const state::Limits& limits) { return kUserWriteShare * limits.writes_per_s; }

// Visitor that calls the function for the type that the variant holds.
template <class... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;
}  // namespace

Gateway::Gateway(runtime::Loop& loop, runtime::Log log, state::Store& store, net::Relay& relay,
                 ProgressSync& progress, const policy::Policy& policy, std::vector<TeamLimit> teams,
                 std::size_t final_states_kept)
    : Actor(loop),
      log_(std::move(log)),
      store_(store),
      relay_(relay),
      progress_(progress),
      policy_(policy),
      teams_(std::move(teams)),
      retry_after_({std::max(
          1.0, user_writes_per_s(store.limits()) / static_cast<double>(store.limits().controllers))}),
      jobs_(loop, log_, store, final_states_kept,
            {[this](const JobId& id) { retry_after_.request_served(id.value); },
             [this](const JobId& id) { progress_.remove(id); }}) {}

bool Gateway::is_state_service_available() const {
  return store_.synced() && store_.update_age_s() < kStateUpdateTimeoutS;
}

bool Gateway::is_healthy() const {
  // Without the catalogue of machine types submissions cannot be checked, but status requests for known jobs
  // can be answered.
  if (is_state_service_available())
    return (!jobs_.machine_types().empty() || !jobs_.empty()) &&
           progress_.leader_unheard_s() < kLeaderUnheardTimeoutS;
  // Without the state service this controller can still relay requests to a peer that reaches it.
  if (!relay_.peer_with_state_service().empty()) return true;
  // If no controller reaches the state service, leaving the load balancer would help no user and delay the
  // recovery. If some peers are unreachable, they may be the ones that reach the state service.
  if (!store_.synced()) return false;
  return relay_.all_peers() || (relay_.any_peer() && store_.update_age_s() < kPartitionTimeoutS);
}

void Gateway::on(StoreChanged& message) { jobs_.apply(*message.changes); }

void Gateway::on(UserRequest& message) {
  const auto route = parse_route(message.request.method, message.request.path);
  const auto call = std::make_shared<PendingCall>(
      PendingCall{std::move(message.request), std::move(message.reply), message.relayed, 0});
  std::visit(Overloaded{[&](const HealthRoute&) {
                          call->reply(is_healthy() ? responses::healthy() : responses::unavailable());
                        },
                        [&](const SubmitRoute&) { handle_submit(call); },
                        [&](const StatusRoute& target) { handle_status(call, target.job); },
                        [&](const CancelRoute& target) { handle_cancel(call, target.job); },
                        [&](RouteError error) { call->reply(responses::route_error(error)); }},
             route);
}

// Returns the response for an exhausted write limit of the state service: the more users are waiting, the
// later they are told to retry.
Response Gateway::rate_limited_response(const JobId& id) {
  return responses::unavailable_for(retry_after_.retry_after_s(loop().now(), id.value, loop().uniform(0, 1)));
}

// Relays a call that this controller cannot serve to a peer that reaches the state service. Without such a
// peer, the user is told at once when to retry.
void Gateway::relay_or_respond_unavailable(const CallPtr& call) {
  relay_or_respond_unavailable(call, relay_.peer_with_state_service());
}

void Gateway::relay_or_respond_unavailable(const CallPtr& call, const std::string& peer) {
  if (call->relayed || peer.empty()) return call->reply(responses::unavailable());
  relay_.tell(net::RelayRequest{peer, call->request, kRelayTimeoutS, [call](Response response) {
                                  if (response.status == 0) return call->reply(responses::unavailable());
                                  call->reply(std::move(response));
                                }});
}

void Gateway::look_up_job(const CallPtr& call, const JobId& id, std::function<void(const KnownJob*)> done) {
  jobs_.look_up(id, guard([this, call, done = std::move(done)](const JobLookup& lookup) {
                  if (lookup.status == LookupStatus::unavailable) return relay_or_respond_unavailable(call);
                  done(lookup.job);
                }));
}

void Gateway::respond_if_accepted(const CallPtr& call, const JobId& id,
                                  std::function<void()> if_not_accepted) {
  look_up_job(call, id, [this, call, id, if_not_accepted = std::move(if_not_accepted)](const KnownJob* job) {
    if (job == nullptr) return if_not_accepted();
    respond_with_status(call, id, *job);
  });
}

void Gateway::respond_with_status(const CallPtr& call, const JobId& id, const KnownJob& job) {
  const auto status = job_status(jobs_, progress_, id, job);
  if (const auto* gap = std::get_if<ProgressGap>(&status)) return handle_progress_gap(call, *gap);
  call->reply(responses::status(std::get<wire::Json>(status)));
}

// Invariant 37: the leader is asked if it may know more than this controller; otherwise the user asks again
// later.
void Gateway::handle_progress_gap(const CallPtr& call, ProgressGap gap) {
  const bool ask_leader = gap == ProgressGap::copy_outdated;
  relay_or_respond_unavailable(call, ask_leader ? relay_.leading_peer() : std::string());
}

// Answers with the status of a job that this controller or another one has accepted.
void Gateway::respond_with_accepted_job_status(const CallPtr& call, const JobId& id) {
  respond_if_accepted(call, id, [this, call] { relay_or_respond_unavailable(call); });
}

void Gateway::commit(const CallPtr& call, state::Transaction transaction,
                     std::function<void(Outcome)> on_outcome) {
  store_.tell(state::Commit{std::move(transaction), guard([this, call, on_outcome = std::move(on_outcome)](
                                                              const state::CommitResult& result) {
                              if (result.outcome == Outcome::refused)
                                return relay_or_respond_unavailable(call);
                              on_outcome(result.outcome);
                            })});
}

bool Gateway::can_retry_after_failure(PendingCall& call, int max_attempts) {
  return ++call.failed_attempts < max_attempts;
}

void Gateway::handle_submit(const CallPtr& call) {
  const auto submission = std::make_shared<Submission>();
  submission->call = call;
  try {
    submission->spec = wire::parse_job(wire::parse_object(call->request.body));
  } catch (const wire::ProtocolError& malformed) {
    return call->reply(responses::malformed(malformed.what()));
  }
  if (!is_state_service_available()) return relay_or_respond_unavailable(call);
  const auto& spec = submission->spec;
  // The job was accepted before, although it may have been evicted from memory. Answering needs no write, so
  // it works even when the write limit is exhausted.
  if (jobs_.find(spec.id) != nullptr || store_.has(wire::job_key(spec.id)))
    return respond_with_accepted_job_status(call, spec.id);
  if (const auto reason = find_rejection_reason(spec, teams_, jobs_.machine_types()))
    return reject(*submission, {*reason, {}});
  submission->values = build_job_values(spec);
  if (submission->values->empty()) return reject(*submission, {RejectionReason::description_too_long, {}});
  check_dependencies(submission);
}

// Rejects the job permanently, unless it was accepted before: then the answer is its status, even if the job
// would be rejected now.
void Gateway::reject(const Submission& submission, const Rejection& rejection) {
  // A reason found without the machine types is not final, even if the types become known before the answer.
  const bool undecided = jobs_.machine_types().empty();
  respond_if_accepted(submission.call, submission.spec.id, [call = submission.call, rejection, undecided] {
    call->reply(undecided ? responses::unavailable() : responses::rejected(rejection));
  });
}

// Returns the keys and values whose commit accepts the job now; empty if they cannot be stored.
wire::KeyedValues Gateway::build_job_values(const wire::JobSpec& spec) const {
  wire::JobRecord record{spec, JobState::accepted, loop().wall(), 0, 0, std::nullopt};
  // The cutoff is computed once and stored with the job, so that another controller with a different clock or
  // policy cannot arrive at a different cutoff (invariant 31). A service never ends and has no cutoff.
  if (spec.kind != wire::JobKind::service)
    record.cutoff = policy_.cutoff(spec.team, spec.job_class, record.accepted_at);
  auto values = wire::stored_job(record, value_bytes(), store_.limits().txn_ops);
  if (!values.empty() || !record.cutoff) return values;
  // A job that can be stored without its cutoff must not be rejected because of the cutoff.
  record.cutoff.reset();
  return wire::stored_job(record, value_bytes(), store_.limits().txn_ops);
}

std::size_t Gateway::value_bytes() const { return wire::usable_bytes(store_.limits().value_kb); }

// Users name only jobs that some controller accepted at some time, so a dependency that is unknown here is
// looked up with a read barrier, as the job itself is.
void Gateway::check_dependencies(const SubmissionPtr& submission) {
  const auto& dependencies = submission->spec.depends_on;
  for (auto& checked = submission->dependencies_checked; checked < dependencies.size(); ++checked) {
    const auto& dependency = dependencies[checked];
    const auto* known = jobs_.find(dependency);
    if (known != nullptr && known->is_service)
      return reject(*submission, {RejectionReason::dependency_is_service, dependency});
    // Recorded now, because the dependency may be evicted from memory before the response is sent.
    if (jobs_.is_cancelled(dependency)) submission->dependency_cancelled = true;
    if (!jobs_.is_known_accepted(dependency)) return look_up_dependency(submission, dependency);
  }
  accept(submission);
}

void Gateway::look_up_dependency(const SubmissionPtr& submission, const JobId& dependency) {
  look_up_job(submission->call, dependency, [this, submission, dependency](const KnownJob* job) {
    if (job == nullptr) return reject(*submission, {RejectionReason::dependency_never_accepted, dependency});
    // Counted now, because the fetched job may be evicted from memory again before the next check.
    if (!job->is_service) ++submission->dependencies_checked;
    if (jobs_.is_cancelled(dependency)) submission->dependency_cancelled = true;
    submission->values.reset();
    check_dependencies(submission);
  });
}

void Gateway::accept(const SubmissionPtr& submission) {
  const auto& call = submission->call;
  const auto& id = submission->spec.id;
  if (!submission->values) submission->values = build_job_values(submission->spec);
  if (submission->values->empty())
    return call->reply(responses::rejected({RejectionReason::description_too_long, {}}));
  // Without this check each attempt beyond the write limit cost two requests, its own and a peer's, and was
  // repeated every second. At four times the load of fjordskatt-fleet that made 40,000 requests, and other
  // requests that the controllers needed were refused along with them.
  if (store_.is_write_limit_exhausted()) return call->reply(rate_limited_response(id));
  // Some users repeat a submission at all controllers at the same time. Each controller that does not know
  // the job yet would spend a write on a condition that fails. One read barrier serves all these submissions.
  if (loop().now() < look_up_before_commit_until_ && !std::exchange(submission->looked_up_job, true))
    return respond_if_accepted(call, id, [this, submission] {
      submission->values.reset();
      accept(submission);
    });
  commit_acceptance(submission);
}

void Gateway::commit_acceptance(const SubmissionPtr& submission) {
  state::Transaction transaction;
  transaction.conditions = {{wire::job_key(submission->spec.id), wire::KeyRevision{0}}};
  auto values = std::exchange(submission->values, std::nullopt);
  for (auto& [key, value] : *values)
    transaction.writes.push_back({std::move(key), std::move(value), std::nullopt});
  commit(submission->call, std::move(transaction),
         [this, submission](Outcome outcome) { handle_acceptance_outcome(submission, outcome); });
}

void Gateway::handle_acceptance_outcome(const SubmissionPtr& submission, Outcome outcome) {
  const auto& call = submission->call;
  const auto& id = submission->spec.id;
  switch (outcome) {
    case Outcome::committed:
      return respond_accepted(*submission);
    case Outcome::invalid:
      // The limits of the state service are lower than the configured ones.
      return reject(*submission, {RejectionReason::description_too_long, {}});
    case Outcome::conflict:
      if (call->failed_attempts == 0) look_up_before_commit_until_ = loop().now() + kLookUpBeforeCommitS;
      return respond_with_accepted_job_status(call, id);
    case Outcome::rate_limited:
      return call->reply(rate_limited_response(id));
    case Outcome::refused:
      return relay_or_respond_unavailable(call);
    case Outcome::unknown:
      // Repeating the transaction resolves the unknown outcome: a conflict means that it was applied.
      if (can_retry_after_failure(*call, kMaxSubmitAttempts)) return accept(submission);
      return relay_or_respond_unavailable(call);
  }
}

void Gateway::respond_accepted(const Submission& submission) {
  const auto& spec = submission.spec;
  log_->debug("job {}: accepted, {} of {}, {} tasks of {} cores", spec.id.value, spec.job_class, spec.team,
              spec.task_count, spec.request.cores);
  const bool cancelled =
      submission.dependency_cancelled ||
      std::any_of(spec.depends_on.begin(), spec.depends_on.end(),
                  [this](const JobId& dependency) { return jobs_.is_cancelled(dependency); });
  // Invariant 15: a job that a dependency itself waits for may have been cancelled long ago, without being
  // known here.
  const bool may_be_cancelled = std::any_of(
      spec.depends_on.begin(), spec.depends_on.end(),
      [this](const JobId& dependency) { return jobs_.dependencies().may_be_cancelled(dependency); });
  if (!cancelled && may_be_cancelled) return respond_with_accepted_job_status(submission.call, spec.id);
  submission.call->reply(responses::accepted(spec.id, cancelled));
}

void Gateway::handle_status(const CallPtr& call, const JobId& id) {
  const auto* known = jobs_.find(id);
  const bool has_ended = known != nullptr && jobs_.has_ended(id, *known);
  if (!has_ended && !is_state_service_available()) return relay_or_respond_unavailable(call);
  respond_if_accepted(call, id, [call] { call->reply(responses::no_such_job()); });
}

void Gateway::handle_cancel(const CallPtr& call, const JobId& id) {
  look_up_job(call, id, [this, call, id](const KnownJob* job) {
    if (job == nullptr) return call->reply(responses::no_such_job());
    if (jobs_.has_ended(id, *job)) return respond_with_status(call, id, *job);
    // A record that could not be read cannot be rewritten as cancelled.
    if (!job->record) return call->reply(responses::unavailable());
    commit_cancellation(call, id, *job);
  });
}

void Gateway::commit_cancellation(const CallPtr& call, const JobId& id, const KnownJob& job) {
  state::Transaction transaction;
  // Invariant 8: of a completion and a cancellation, only the first to commit on this revision succeeds.
  transaction.conditions = {{wire::job_key(id), job.revision}};
  transaction.writes = {{wire::job_key(id),
                         final_record_json(*job.record, JobState::cancelled, loop().wall(), value_bytes()),
                         std::nullopt}};
  commit(call, std::move(transaction),
         [this, call, id](Outcome outcome) { handle_cancellation_outcome(call, id, outcome); });
}

void Gateway::handle_cancellation_outcome(const CallPtr& call, const JobId& id, Outcome outcome) {
  switch (outcome) {
    case Outcome::committed:
      log_->info("job {}: cancelled", id.value);
      return call->reply(responses::cancelled(id));
    case Outcome::rate_limited:
      return call->reply(responses::unavailable());
    case Outcome::refused:
    case Outcome::invalid:
      return relay_or_respond_unavailable(call);
    case Outcome::conflict:
    case Outcome::unknown:
      if (can_retry_after_failure(*call, kMaxCancelAttempts)) return handle_cancel(call, id);
      return call->reply(responses::unavailable());
  }
}

}  // namespace bankhill::gateway
