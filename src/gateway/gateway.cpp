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
// The state service is asked at least every second: this long without an answer means it does not serve us.
constexpr double kStateSilenceS = 2.5;
// After this long without it, a controller that does not hear all its peers takes itself for the one that
// is cut off, and not the service for being out.
constexpr double kCutOffS = 15;
constexpr double kRelayS = 1.5;  // users wait 2 s for a poll
constexpr int kMaxSubmitAttempts = 2;
constexpr int kMaxCancelAttempts = 5;
// After a submission turned out to have been accepted elsewhere, which only a failed transaction showed.
constexpr double kLookFirstS = 10;

// Of the write limit: what those turned away may count on beside the leader's bookkeeping.
constexpr double kUsersWrites = 0.75;

double users_writes(const state::Limits& limits) { return kUsersWrites * limits.writes_per_s; }

// One function of several, chosen by the type of what a variant holds.
template <class... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;
}  // namespace

Gateway::Gateway(runtime::Loop& loop, runtime::Log log, state::Store& store, net::Relay& relay,
                 const policy::Policy& policy, std::vector<TeamLimit> teams, std::size_t final_states_kept)
    : Actor(loop),
      log_(std::move(log)),
      store_(store),
      relay_(relay),
      policy_(policy),
      teams_(std::move(teams)),
      retry_after_(
          {std::max(1.0, users_writes(store.limits()) / static_cast<double>(store.limits().controllers))}),
      jobs_(loop, log_, store, final_states_kept,
            [this](const JobId& id) { retry_after_.request_served(id.value); }) {}

bool Gateway::is_state_service_available() const {
  return store_.synced() && store_.update_age_s() < kStateSilenceS;
}

bool Gateway::is_healthy() const {
  // Without the catalogue no submission can be judged, but questions about known jobs can be answered.
  if (is_state_service_available()) return !jobs_.machine_types().empty() || !jobs_.empty();
  // Without the state service this node is still of use through a peer.
  if (!relay_.peer_with_state_service().empty()) return true;
  // When nobody has it, leaving the load balancer would help no one and delay the return. Where some are not
  // heard, they may be those who have it.
  if (!store_.synced()) return false;
  return relay_.all_peers() || (relay_.any_peer() && store_.update_age_s() < kCutOffS);
}

void Gateway::on(StoreChanged& message) { jobs_.apply(*message.changes); }

void Gateway::on(JobProgressUpdate& message) { jobs_.update_progress(std::move(message.progress)); }

void Gateway::on(UserRequest& message) {
  const auto route = parse_route(message.request.method, message.request.path);
  const auto call = std::make_shared<PendingCall>(
      PendingCall{std::move(message.request), std::move(message.reply), message.relayed, 0});
  std::visit(Overloaded{[&](const HealthRoute&) {
                          call->reply(is_healthy() ? responses::healthy() : responses::unavailable());
                        },
                        [&](const SubmitRoute&) { submit(call); },
                        [&](const StatusRoute& target) { status(call, target.job); },
                        [&](const CancelRoute& target) { cancel(call, target.job); },
                        [&](RouteError error) { call->reply(responses::route_error(error)); }},
             route);
}

// The state service's limit of writes is used up: the later the more are waiting for it.
Response Gateway::rate_limited(const JobId& id) {
  return responses::unavailable_for(retry_after_.retry_after_s(loop().now(), id.value, loop().uniform(0, 1)));
}

// This node cannot serve the call: a peer with the state service may. Otherwise the user is told at
// once when to come back.
void Gateway::unavailable(const CallPtr& call) {
  const auto peer = call->relayed ? std::string() : relay_.peer_with_state_service();
  if (peer.empty()) return call->reply(responses::unavailable());
  relay_.tell(net::RelayRequest{peer, call->request, kRelayS, [call](Response response) {
                                  if (response.status == 0) return call->reply(responses::unavailable());
                                  call->reply(std::move(response));
                                }});
}

void Gateway::look_up(const CallPtr& call, const JobId& id, std::function<void(const KnownJob*)> done) {
  jobs_.look_up(id, guard([this, call, done = std::move(done)](const JobLookup& lookup) {
                  if (lookup.status == LookupStatus::unavailable) return unavailable(call);
                  done(lookup.job);
                }));
}

void Gateway::answer_if_accepted(const CallPtr& call, const JobId& id, std::function<void()> otherwise) {
  look_up(call, id, [this, call, id, otherwise = std::move(otherwise)](const KnownJob* job) {
    if (job == nullptr) return otherwise();
    answer_status(call, id, *job);
  });
}

void Gateway::answer_status(const CallPtr& call, const JobId& id, const KnownJob& job) const {
  call->reply(responses::status(job_status(jobs_, id, job)));
}

// Of a job that was accepted, by this controller or another.
void Gateway::answer_known(const CallPtr& call, const JobId& id) {
  answer_if_accepted(call, id, [this, call] { unavailable(call); });
}

void Gateway::commit(const CallPtr& call, state::Transaction transaction,
                     std::function<void(Outcome)> decided) {
  store_.tell(state::Commit{std::move(transaction), guard([this, call, decided = std::move(decided)](
                                                              const state::CommitResult& result) {
                              if (result.outcome == Outcome::refused) return unavailable(call);
                              decided(result.outcome);
                            })});
}

bool Gateway::may_try_again(PendingCall& call, int max_attempts) {
  return ++call.failed_attempts < max_attempts;
}

void Gateway::submit(const CallPtr& call) {
  const auto submission = std::make_shared<Submission>();
  submission->call = call;
  try {
    submission->spec = wire::parse_job(wire::parse_object(call->request.body));
  } catch (const wire::ProtocolError& malformed) {
    return call->reply(responses::malformed(malformed.what()));
  }
  if (!is_state_service_available()) return unavailable(call);
  const auto& spec = submission->spec;
  // Known, though it may have left memory: that costs no put, so it is answered also when no more can be had.
  if (jobs_.find(spec.id) != nullptr || store_.has(wire::job_key(spec.id)))
    return answer_known(call, spec.id);
  if (const auto reason = find_rejection_reason(spec, teams_, jobs_.machine_types()))
    return reject(*submission, {*reason, {}});
  submission->values = render(spec);
  if (submission->values->empty()) return reject(*submission, {RejectionReason::description_too_long, {}});
  check_dependencies(submission);
}

// For good. A job accepted before is answered with its state, whatever speaks against it now.
void Gateway::reject(const Submission& submission, const Rejection& rejection) {
  // What was found without them stays undecided, also when they become known meanwhile.
  const bool undecided = jobs_.machine_types().empty();
  answer_if_accepted(submission.call, submission.spec.id, [call = submission.call, rejection, undecided] {
    call->reply(undecided ? responses::unavailable() : responses::rejected(rejection));
  });
}

// The values that accept the job now; none if they cannot be stored.
wire::KeyedValues Gateway::render(const wire::JobSpec& spec) const {
  wire::JobRecord record{spec, JobState::accepted, loop().wall(), 0, 0, std::nullopt};
  // Settled here, once and with the job: another controller's clock and policy never come to another cutoff
  // (invariant 31). A service is never over.
  if (spec.kind != wire::JobKind::service)
    record.cutoff = policy_.cutoff(spec.team, spec.job_class, record.accepted_at);
  auto values = wire::stored_job(record, value_bytes(), store_.limits().txn_ops);
  if (!values.empty() || !record.cutoff) return values;
  // A calendar is no reason to refuse what fits without it.
  record.cutoff.reset();
  return wire::stored_job(record, value_bytes(), store_.limits().txn_ops);
}

std::size_t Gateway::value_bytes() const { return wire::usable_bytes(store_.limits().value_kb); }

// Users name only jobs that were accepted, by any node and at any time: one that is not known here is looked
// for as freshly as the job itself.
void Gateway::check_dependencies(const SubmissionPtr& submission) {
  const auto& needs = submission->spec.depends_on;
  for (auto& checked = submission->dependencies_checked; checked < needs.size(); ++checked) {
    const auto& need = needs[checked];
    const auto* known = jobs_.find(need);
    if (known != nullptr && known->is_service)
      return reject(*submission, {RejectionReason::dependency_is_service, need});
    // Noted now: it may have left memory when the answer is given.
    if (jobs_.is_cancelled(need)) submission->dependency_cancelled = true;
    if (!jobs_.surely_accepted(need)) return look_for_dependency(submission, need);
  }
  accept(submission);
}

void Gateway::look_for_dependency(const SubmissionPtr& submission, const JobId& need) {
  look_up(submission->call, need, [this, submission, need](const KnownJob* job) {
    if (job == nullptr) return reject(*submission, {RejectionReason::dependency_never_accepted, need});
    // Fetched, it may leave memory again before the next look.
    if (!job->is_service) ++submission->dependencies_checked;
    if (jobs_.is_cancelled(need)) submission->dependency_cancelled = true;
    submission->values.reset();
    check_dependencies(submission);
  });
}

void Gateway::accept(const SubmissionPtr& submission) {
  const auto& call = submission->call;
  const auto& id = submission->spec.id;
  if (!submission->values) submission->values = render(submission->spec);
  if (submission->values->empty())
    return call->reply(responses::rejected({RejectionReason::description_too_long, {}}));
  // Beyond the limit each try cost two requests, its own and a peer's, again each second: at four times
  // fjordskatt-fleet 40,000 of them, and what else the controllers needed was refused with them.
  if (store_.is_write_limit_exhausted()) return call->reply(rate_limited(id));
  // Users who repeat submissions at all controllers at once: each that has not heard of the job yet would
  // spend a put on a condition that fails. One read barrier serves all of them.
  if (loop().now() < look_first_until_ && !std::exchange(submission->looked_elsewhere, true))
    return answer_if_accepted(call, id, [this, submission] {
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
         [this, submission](Outcome outcome) { acceptance_decided(submission, outcome); });
}

void Gateway::acceptance_decided(const SubmissionPtr& submission, Outcome outcome) {
  const auto& call = submission->call;
  const auto& id = submission->spec.id;
  switch (outcome) {
    case Outcome::committed:
      return accepted(*submission);
    case Outcome::invalid:
      // The service's limits are below those announced.
      return reject(*submission, {RejectionReason::description_too_long, {}});
    case Outcome::conflict:
      if (call->failed_attempts == 0) look_first_until_ = loop().now() + kLookFirstS;
      return answer_known(call, id);
    case Outcome::rate_limited:
      return call->reply(rate_limited(id));
    case Outcome::refused:
      return unavailable(call);
    case Outcome::unknown:
      // Repeating it tells: a conflict means that it was applied.
      if (may_try_again(*call, kMaxSubmitAttempts)) return accept(submission);
      return unavailable(call);
  }
}

void Gateway::accepted(const Submission& submission) {
  const auto& spec = submission.spec;
  log_->debug("job {}: accepted, {} of {}, {} tasks of {} cores", spec.id.value, spec.job_class, spec.team,
              spec.task_count, spec.request.cores);
  const bool cancelled = submission.dependency_cancelled ||
                         std::any_of(spec.depends_on.begin(), spec.depends_on.end(),
                                     [this](const JobId& need) { return jobs_.is_cancelled(need); });
  // Invariant 15: what one of them waits for may have been cancelled long ago and not be known here.
  const bool doubt = std::any_of(spec.depends_on.begin(), spec.depends_on.end(), [this](const JobId& need) {
    return jobs_.dependencies().may_be_cancelled(need);
  });
  if (!cancelled && doubt) return answer_known(submission.call, spec.id);
  submission.call->reply(responses::accepted(spec.id, cancelled));
}

void Gateway::status(const CallPtr& call, const JobId& id) {
  const auto* known = jobs_.find(id);
  const bool is_final = known != nullptr && jobs_.is_over(id, *known);
  if (!is_final && !is_state_service_available()) return unavailable(call);
  answer_if_accepted(call, id, [call] { call->reply(responses::no_such_job()); });
}

void Gateway::cancel(const CallPtr& call, const JobId& id) {
  look_up(call, id, [this, call, id](const KnownJob* job) {
    if (job == nullptr) return call->reply(responses::no_such_job());
    if (jobs_.is_over(id, *job)) return answer_status(call, id, *job);
    // It cannot be written anew as long as it is not read.
    if (!job->record) return call->reply(responses::unavailable());
    commit_cancellation(call, id, *job);
  });
}

void Gateway::commit_cancellation(const CallPtr& call, const JobId& id, const KnownJob& job) {
  state::Transaction transaction;
  // Invariant 8: done and cancelled race for this revision.
  transaction.conditions = {{wire::job_key(id), job.revision}};
  transaction.writes = {{wire::job_key(id),
                         final_record_json(*job.record, JobState::cancelled, loop().wall(), value_bytes()),
                         std::nullopt}};
  commit(call, std::move(transaction),
         [this, call, id](Outcome outcome) { cancellation_decided(call, id, outcome); });
}

void Gateway::cancellation_decided(const CallPtr& call, const JobId& id, Outcome outcome) {
  switch (outcome) {
    case Outcome::committed:
      log_->info("job {}: cancelled", id.value);
      return call->reply(responses::cancelled(id));
    case Outcome::rate_limited:
      return call->reply(responses::unavailable());
    case Outcome::refused:
    case Outcome::invalid:
      return unavailable(call);
    case Outcome::conflict:
    case Outcome::unknown:
      if (may_try_again(*call, kMaxCancelAttempts)) return cancel(call, id);
      return call->reply(responses::unavailable());
  }
}

}  // namespace bankhill::gateway
