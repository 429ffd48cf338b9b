#include "gateway/gateway.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::gateway {

using net::Method;
using net::Response;
using state::Outcome;
using wire::JobId;
using wire::JobPhase;
using wire::Json;

namespace {
constexpr double kRetryAfterS = 1.0;
// The state service is asked at least every second: this long without an answer means it does not serve us.
constexpr double kStateSilenceS = 2.5;
// After this long without it, a controller that does not hear all its siblings takes itself for the one that
// is cut off, and not the service for being out.
constexpr double kCutOffS = 15;
constexpr double kRelayS = 1.5;  // users wait 2 s for a poll
constexpr int kTries = 5;
// After a submission turned out to have been accepted elsewhere, which only a failed transaction showed.
constexpr double kLookFirstS = 10;
constexpr std::size_t kNamed = 20;     // jobs that an answer names as waited for
constexpr std::size_t kLookedAt = 16;  // of them, for why they are not done yet
constexpr int kStepsUp = 64;           // from a job to the one that its pipeline stands at

Response error(int status, const std::string& text) {
  return {status, Json{{"error", text}}.dump(), std::nullopt};
}

// Of the write limit: what those turned away may count on beside the leader's bookkeeping.
constexpr double kUsersWrites = 0.75;

double users_writes(const state::Limits& limits) { return kUsersWrites * limits.write_rps; }

Response busy() { return {503, "{}", kRetryAfterS}; }

Response too_long() { return error(400, "the description is longer than can be stored"); }
}  // namespace

Gateway::Gateway(runtime::Loop& loop, runtime::Log log, state::Store& store, net::Relay& relay,
                 const policy::Policy& policy, std::vector<TeamLimit> teams, std::size_t final_states_kept)
    : Actor(loop),
      log_(std::move(log)),
      store_(store),
      relay_(relay),
      policy_(policy),
      teams_(std::move(teams)),
      turned_away_(
          {std::max(1.0, users_writes(store.limits()) / static_cast<double>(store.limits().controllers))}),
      jobs_(loop, log_, store, final_states_kept,
            [this](const JobId& id) { turned_away_.served(id.value); }) {}

bool Gateway::state_ok() const { return store_.synced() && store_.silence() < kStateSilenceS; }

bool Gateway::healthy() const {
  // Without the catalogue no submission can be judged, but questions about known jobs can be answered.
  if (state_ok()) return !jobs_.machine_types().empty() || !jobs_.empty();
  // Without the state service this node is still of use through a sibling.
  if (!relay_.sibling_with_state().empty()) return true;
  // When nobody has it, leaving the load balancer would help no one and delay the return. Where some are not
  // heard, they may be those who have it.
  if (!store_.synced()) return false;
  return relay_.all_siblings() || (relay_.any_sibling() && store_.silence() < kCutOffS);
}

void Gateway::on(Changed& message) { jobs_.apply(*message.changes); }

void Gateway::on(Progressed& message) { jobs_.update_progress(std::move(message.progress)); }

void Gateway::on(UserCall& message) {
  auto call =
      std::make_shared<Call>(Call{std::move(message.request), std::move(message.reply), message.relayed, 0});
  const auto path = std::string_view(call->request.path).substr(0, call->request.path.find('?'));
  const auto method = call->request.method;
  constexpr std::string_view kSubmissions = "/submissions";
  constexpr std::string_view kWithdraw = "/withdraw";
  const auto wrong = [&] { call->reply(error(405, "method not allowed")); };
  if (path == "/healthz") {
    if (method != Method::get) return wrong();
    return call->reply(healthy() ? Response{200, "{}", std::nullopt} : Response{503, "{}", kRetryAfterS});
  }
  if (path == kSubmissions) return method == Method::post ? submit(call) : wrong();
  if (!path.starts_with("/submissions/")) return call->reply(error(404, "no such path"));
  auto rest = path.substr(kSubmissions.size() + 1);
  const bool withdrawal = rest.ends_with(kWithdraw);
  if (withdrawal) rest.remove_suffix(kWithdraw.size());
  if (rest.find('/') != std::string_view::npos) return call->reply(error(404, "no such path"));
  if (method != (withdrawal ? Method::post : Method::get)) return wrong();
  const auto id = wire::parse_job_id(rest);
  if (!id) return call->reply(error(404, "no such job"));
  withdrawal ? withdraw(call, *id) : status(call, *id);
}

Response Gateway::describe(const JobId& id, const KnownJob& known) const {
  Json body{{"uid", id.value}};
  switch (jobs_.dependencies().cancelled(id) ? JobPhase::cancelled : known.phase) {
    case JobPhase::accepted:
      if (!jobs_.dependencies().released(id)) {
        describe_waiting(id, body);
        break;
      }
      body["phase"] = known.progress.running > 0 ? "running" : "queued";
      body["done"] = known.progress.done;
      body["running"] = known.progress.running;
      if (!known.progress.reason.empty()) body["reason"] = known.progress.reason;
      if (known.record_unreadable) body["reason"] = "its record cannot be read, its operators must see to it";
      break;
    case JobPhase::done:
      body["phase"] = "done";
      body["done"] = known.task_count;
      body["running"] = 0;
      break;
    case JobPhase::cancelled:
      body["phase"] = "cancelled";
      body["done"] = 0;
      body["running"] = 0;
      break;
  }
  return {200, body.dump(), std::nullopt};
}

// What it waits for, and why the job where its pipeline stands is not done.
void Gateway::describe_waiting(const JobId& id, Json& body) const {
  std::size_t count = 0;
  const auto open = jobs_.dependencies().open_needs(id, kNamed, count);
  body["phase"] = "queued";
  body["done"] = body["running"] = 0;
  body["waits_on"] = Json::array();
  for (const auto& need : open) body["waits_on"].push_back(need.value);
  std::string reason = "waits for " + (open.empty() ? "others" : open.front().value);
  if (count > 1) reason += " and " + std::to_string(count - 1) + " more";
  for (std::size_t i = 0; i < std::min(open.size(), kLookedAt); ++i) {
    auto at = open[i];
    for (int step = 0; step < kStepsUp && !jobs_.dependencies().released(at); ++step) {
      std::size_t more = 0;
      const auto next = jobs_.dependencies().open_needs(at, 1, more);
      if (next.empty()) break;
      at = next.front();
    }
    const auto* blocking = jobs_.find(at);
    if (blocking == nullptr || blocking->progress.reason.empty()) continue;
    reason += "; " + at.value + ": " + blocking->progress.reason;
    break;
  }
  body["reason"] = std::move(reason);
}

// The state service's limit of writes is used up: the later the more are waiting for it.
Response Gateway::limited(const JobId& id) {
  return {503, "{}", turned_away_.come_back_s(loop().now(), id.value, loop().uniform(0, 1))};
}

// This node cannot serve the call: a sibling with the state service may. Otherwise the user is told at
// once when to come back.
void Gateway::unable(const CallPtr& call) {
  const auto sibling = call->relayed ? std::string() : relay_.sibling_with_state();
  if (sibling.empty()) return call->reply(busy());
  relay_.tell(net::RelayCall{sibling, call->request, kRelayS, [call](Response response) {
                               if (response.status == 0) return call->reply(busy());
                               call->reply(std::move(response));
                             }});
}

void Gateway::submit(const CallPtr& call) {
  wire::JobSpec spec;
  try {
    spec = wire::parse_job(wire::parse_object(call->request.body));
  } catch (const wire::Malformed& malformed) {
    return call->reply(error(400, malformed.what()));
  }
  if (!state_ok()) return unable(call);
  // Known, though it may have left memory: that costs no put, so it is answered also when no more can be had.
  if (jobs_.find(spec.uid) != nullptr || store_.has(wire::job_key(spec.uid)))
    return answer_known(call, spec.uid);
  const auto reason = refused(spec);
  if (!reason && spec.waits_on.empty()) return accept(call, spec);
  if (!reason) return check_waits(call, spec);
  refuse(call, spec.uid, *reason);
}

// For good. A job accepted before is answered with its state, whatever speaks against it now.
void Gateway::refuse(const CallPtr& call, const JobId& id, const Response& reason) {
  // What was found without them stays undecided, also when they become known meanwhile.
  const bool undecided = jobs_.machine_types().empty();
  jobs_.look_up(id, guard([this, call, id, reason, undecided](JobLookup found) {
                  if (found.status == LookupStatus::unavailable) return unable(call);
                  if (found.status == LookupStatus::found) return call->reply(describe(id, *found.job));
                  if (undecided) return call->reply({503, "{}", kRetryAfterS});
                  call->reply(reason);
                }));
}

// The answer to what can never be accepted.
std::optional<Response> Gateway::refused(const wire::JobSpec& spec) const {
  if (const auto reason = refusal(spec, teams_, jobs_.machine_types())) return error(422, *reason);
  if (stored(spec).empty()) return too_long();
  return std::nullopt;
}

wire::KeyedValues Gateway::stored(const wire::JobSpec& spec) const {
  wire::JobRecord record{spec, JobPhase::accepted, loop().wall(), 0, 0, std::nullopt};
  // Settled here, once and with the job: another controller's clock and policy never come to another cutoff
  // (invariant 31). A service is never over.
  if (spec.shape != wire::Shape::daemon)
    record.cutoff = policy_.cutoff(spec.owner, spec.queue, record.accepted_at);
  auto values = wire::stored_job(record, value_bytes(), store_.limits().txn_ops);
  if (!values.empty() || !record.cutoff) return values;
  // A calendar is no reason to refuse what fits without it.
  record.cutoff.reset();
  return wire::stored_job(record, value_bytes(), store_.limits().txn_ops);
}

std::size_t Gateway::value_bytes() const { return wire::usable_bytes(store_.limits().value_kb); }

// Users name only jobs that were accepted, by any node and at any time: one that is not known here is looked
// for as freshly as the job itself.
void Gateway::check_waits(const CallPtr& call, const wire::JobSpec& spec) {
  for (; call->checked < spec.waits_on.size(); ++call->checked) {
    const auto& need = spec.waits_on[call->checked];
    const auto* known = jobs_.find(need);
    if (known != nullptr && known->is_service)
      return refuse(call, spec.uid, error(422, need.value + " is a service, which is never done"));
    // Noted now: it may have left memory when the answer is given.
    if (jobs_.is_cancelled(need)) call->doomed = true;
    if (jobs_.surely_accepted(need)) continue;
    return jobs_.look_up(need, guard([this, call, spec, need](JobLookup found) {
                           if (found.status == LookupStatus::unavailable) return unable(call);
                           if (found.status == LookupStatus::never_accepted)
                             return refuse(call, spec.uid, error(422, need.value + " was never accepted"));
                           // Fetched, it may leave memory again before the next look.
                           if (!found.job->is_service) ++call->checked;
                           if (jobs_.is_cancelled(need)) call->doomed = true;
                           check_waits(call, spec);
                         }));
  }
  accept(call, spec);
}

void Gateway::accept(const CallPtr& call, const wire::JobSpec& spec) {
  state::Transaction transaction;
  transaction.when = {{wire::job_key(spec.uid), wire::Stamp{0}}};
  for (auto& [key, value] : stored(spec))
    transaction.writes.push_back({std::move(key), std::move(value), std::nullopt});
  if (transaction.writes.empty()) return call->reply(too_long());
  // Beyond the limit each try cost two requests, its own and a sibling's, again each second: at four times
  // fjordskatt-fleet 40,000 of them, and what else the controllers needed was refused with them.
  if (store_.writes_used_up()) return call->reply(limited(spec.uid));
  // Users who repeat submissions at all controllers at once: each that has not heard of the job yet would
  // spend a put on a condition that fails. One read barrier serves all of them.
  if (loop().now() < look_first_until_ && !std::exchange(call->looked, true))
    return jobs_.look_up(spec.uid, guard([this, call, spec](JobLookup found) {
                           if (found.status == LookupStatus::unavailable) return unable(call);
                           if (found.status == LookupStatus::found)
                             return call->reply(describe(spec.uid, *found.job));
                           accept(call, spec);
                         }));
  store_.tell(state::Commit{std::move(transaction), guard([this, call, spec](state::CommitResult result) {
                              switch (result.outcome) {
                                case Outcome::done:
                                  return accepted(call, spec);
                                case Outcome::malformed:
                                  // The service's limits are below those announced.
                                  return refuse(call, spec.uid, too_long());
                                case Outcome::conflict:
                                  if (call->tries == 0) look_first_until_ = loop().now() + kLookFirstS;
                                  return answer_known(call, spec.uid);
                                case Outcome::refused:
                                  return unable(call);
                                case Outcome::limited:
                                  return call->reply(limited(spec.uid));
                                case Outcome::unknown:
                                  // Repeating it tells: a conflict means that it was applied.
                                  if (++call->tries < 2) return accept(call, spec);
                                  return unable(call);
                              }
                            })});
}

void Gateway::accepted(const CallPtr& call, const wire::JobSpec& spec) {
  log_->debug("job {}: accepted, {} of {}, {} tasks of {} cores", spec.uid.value, spec.queue, spec.owner,
              spec.members, spec.need.cores);
  const bool cancelled =
      call->doomed || std::any_of(spec.waits_on.begin(), spec.waits_on.end(),
                                  [this](const JobId& need) { return jobs_.is_cancelled(need); });
  // Invariant 15: what one of them waits for may have been cancelled long ago and not be known here.
  const bool doubt = std::any_of(spec.waits_on.begin(), spec.waits_on.end(),
                                 [this](const JobId& need) { return jobs_.dependencies().in_doubt(need); });
  if (!cancelled && doubt) return answer_known(call, spec.uid);
  const auto* phase = cancelled ? "cancelled" : "queued";
  call->reply({201, Json{{"uid", spec.uid.value}, {"phase", phase}}.dump(), std::nullopt});
}

void Gateway::answer_known(const CallPtr& call, const JobId& id) {
  jobs_.look_up(id, guard([this, call, id](JobLookup found) {
                  if (found.status != LookupStatus::found) return unable(call);
                  call->reply(describe(id, *found.job));
                }));
}

void Gateway::status(const CallPtr& call, const JobId& id) {
  const auto* known = jobs_.find(id);
  const bool is_final = known != nullptr && jobs_.is_over(id, *known);
  if (!is_final && !state_ok()) return unable(call);
  jobs_.look_up(id, guard([this, call, id](JobLookup found) {
                  if (found.status == LookupStatus::unavailable) return unable(call);
                  if (found.status == LookupStatus::never_accepted)
                    return call->reply(error(404, "no such job"));
                  call->reply(describe(id, *found.job));
                }));
}

void Gateway::withdraw(const CallPtr& call, const JobId& id) {
  if (++call->tries > kTries) return call->reply({503, "{}", kRetryAfterS});
  jobs_.look_up(
      id, guard([this, call, id](JobLookup found) {
        if (found.status == LookupStatus::unavailable) return unable(call);
        if (found.status == LookupStatus::never_accepted) return call->reply(error(404, "no such job"));
        if (jobs_.is_over(id, *found.job)) return call->reply(describe(id, *found.job));
        if (!found.job->record)
          return call->reply(busy());  // it cannot be written anew as long as it is not read
        state::Transaction transaction;
        // Invariant 8: done and cancelled race for this stamp.
        transaction.when = {{wire::job_key(id), found.job->revision}};
        transaction.writes = {
            {wire::job_key(id),
             final_json(*found.job->record, JobPhase::cancelled, loop().wall(), value_bytes()),
             std::nullopt}};
        store_.tell(state::Commit{
            std::move(transaction), guard([this, call, id](state::CommitResult result) {
              if (result.outcome == Outcome::limited) return call->reply(busy());
              if (result.outcome == Outcome::refused || result.outcome == Outcome::malformed)
                return unable(call);
              if (result.outcome != Outcome::done) return withdraw(call, id);
              log_->info("job {}: cancelled", id.value);
              call->reply({200, Json{{"uid", id.value}, {"phase", "cancelled"}}.dump(), std::nullopt});
            })});
      }));
}

}  // namespace bankhill::gateway
