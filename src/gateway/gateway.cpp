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
      reader_(loop, store),
      teams_(std::move(teams)),
      final_states_kept_(final_states_kept),
      turned_away_(
          {std::max(1.0, users_writes(store.limits()) / static_cast<double>(store.limits().controllers))}) {}

bool Gateway::state_ok() const { return store_.synced() && store_.silence() < kStateSilenceS; }

bool Gateway::healthy() const {
  // Without the catalogue no submission can be judged, but questions about known jobs can be answered.
  if (state_ok()) return !flavors_.empty() || !jobs_.empty();
  // Without the state service this node is still of use through a sibling.
  if (!relay_.sibling_with_state().empty()) return true;
  // When nobody has it, leaving the load balancer would help no one and delay the return. Where some are not
  // heard, they may be those who have it.
  if (!store_.synced()) return false;
  return relay_.all_siblings() || (relay_.any_sibling() && store_.silence() < kCutOffS);
}

void Gateway::on(Changed& message) {
  // Jobs last: what they wait for may stand under further keys of the same transaction.
  for (const auto& change : *message.changes) {
    if (auto flavors = store_.parsed(change.key, change.stamp,
                                     [&] { return catalogue_.learn(change.key, change.data); });
        flavors && *flavors)
      flavors_ = std::move(**flavors);
    if (!change.key.starts_with(wire::kWaits)) continue;
    if (change.data)
      waits_parts_[change.key] = *change.data;
    else
      waits_parts_.erase(change.key);
  }
  for (const auto& change : *message.changes)
    if (change.key.starts_with(wire::kJobs) && change.data)
      learn(JobId{change.key.substr(wire::kJobs.size())}, {*change.data, change.stamp});
  ask_unknown();
  forget_old();
}

void Gateway::learn(const JobId& id, const state::Entry& entry) {
  if (const auto found = jobs_.find(id); found != jobs_.end() && found->second.stamp >= entry.stamp) return;
  auto parsed =
      store_.parsed(wire::job_key(id), entry.stamp, [&entry] { return wire::parse_job_record(entry.data); });
  if (!parsed) return learn_remains(id, entry);
  auto& record = *parsed;
  auto& known = jobs_[id];
  const bool fresh = known.stamp.value == 0;
  if (fresh) turned_away_.served(id.value);
  const bool was_final = known.phase != JobPhase::accepted;
  known.stamp = entry.stamp;
  known.unreadable = known.doubtful = false;
  known.phase = record.phase;
  known.members = record.spec.members;
  known.service = record.spec.shape == wire::Shape::daemon;
  if (known.phase == JobPhase::accepted && fresh) add_waits(id, record, entry.stamp);
  waits_.learn(id, model::fact_of(known.phase, entry.stamp));
  waits_.take_news();  // what has become of a job is asked when its user asks
  if (known.phase == JobPhase::accepted) {
    known.record = std::move(record);
    return;
  }
  known.record.reset();
  known.progress = {};
  if (!was_final) final_order_.push_back(id);
}

// A job stays known although its record cannot be read: what of it can be told is told, and what was known of
// it before stays. Whoever waits for it waits on.
void Gateway::learn_remains(const JobId& id, const state::Entry& entry) {
  const auto remains = wire::job_remains(entry.data);
  auto& known = jobs_[id];
  known.stamp = entry.stamp;
  known.unreadable = true;
  if (known.phase != JobPhase::accepted) return;  // for good
  known.doubtful = !remains.phase;
  known.phase = remains.phase.value_or(JobPhase::accepted);
  if (remains.members > 0) known.members = remains.members;
  waits_.learn(id, model::fact_of(known.phase, entry.stamp));
  waits_.take_news();
  if (known.phase == JobPhase::accepted) return;
  known.record.reset();
  known.progress = {};
  final_order_.push_back(id);
}

void Gateway::add_waits(const JobId& id, wire::JobRecord& record, wire::Stamp stamp) {
  bool incomplete = false;
  for (std::uint32_t part = 0; part < record.waits_parts; ++part) {
    const auto found = waits_parts_.find(wire::waits_key(id, part));
    incomplete = incomplete || found == waits_parts_.end();
    if (found == waits_parts_.end()) continue;
    auto needs =
        store_.parsed(found->first, stamp, [&found] { return wire::parse_waits_part(found->second); });
    incomplete = incomplete || !needs;
    if (!needs) continue;
    for (auto& need : *needs) record.spec.waits_on.push_back(std::move(need));
  }
  if (record.spec.waits_on.empty() && !incomplete) return;
  waits_.add(id, model::fact_of(record.phase, stamp), record.spec.waits_on, incomplete,
             [this](const JobId& need) {
               const auto found = jobs_.find(need);
               return found == jobs_.end() ? model::JobFact{}
                                           : model::fact_of(found->second.phase, found->second.stamp);
             });
}

// Named jobs that left memory long ago: not knowing is taken neither for done nor for cancelled.
void Gateway::ask_unknown() {
  for (const auto& id : waits_.take_questions())
    reader_.tell(state::Read{wire::job_key(id), guard([this, id](const std::optional<state::Entry>& entry) {
                               if (entry) {
                                 learn_final(id, *entry);
                                 return forget_old();
                               }
                               waits_.learn(id, model::missing_fact());
                               log_->warn("job {}: is waited for and has no record", id.value);
                             })});
}

// A record read by itself. One of a live job comes with the watch, in order and with all that belongs to it.
void Gateway::learn_final(const JobId& id, const state::Entry& entry) {
  if (wire::job_remains(entry.data).phase != JobPhase::accepted) learn(id, entry);
}

// Invariant 12: memory is bounded; what leaves it is read from the state service.
void Gateway::forget_old() {
  while (final_order_.size() > final_states_kept_) {
    jobs_.erase(final_order_.front());
    final_order_.pop_front();
  }
}

bool Gateway::over(const JobId& id, const Known& known) const {
  return known.phase != JobPhase::accepted || waits_.cancelled(id);
}

void Gateway::on(Progressed& message) {
  const auto found = jobs_.find(JobId{message.progress.job});
  if (found != jobs_.end() && found->second.phase == JobPhase::accepted)
    found->second.progress = std::move(message.progress);
}

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

void Gateway::look_up(const JobId& id, std::function<void(bool, const Known*)> done) {
  // Final states never change. Anything else, "never heard of it" included, needs a read barrier (invariant
  // 9).
  const auto now_known = jobs_.find(id);
  if (now_known != jobs_.end() && over(id, now_known->second)) return done(true, &now_known->second);
  store_.tell(state::Sync{guard([this, id, done = std::move(done)](bool fine) mutable {
    if (!fine) return done(false, nullptr);
    // On the next turn, when the changes that the barrier published have been taken in.
    loop().post(guard([this, id, done = std::move(done)] {
      const auto found = jobs_.find(id);
      // A job that it waits for may have been cancelled long ago: not known is not "no".
      if (found != jobs_.end() && (waits_.in_doubt(id) || found->second.doubtful))
        return done(false, nullptr);
      if (found != jobs_.end()) return done(true, &found->second);
      if (!store_.has(wire::job_key(id))) return done(true, nullptr);
      store_.tell(state::Fetch{wire::job_key(id),
                               guard([this, id, done](bool known, std::optional<state::Entry> entry) {
                                 if (!known) return done(false, nullptr);
                                 if (!entry) return done(true, nullptr);
                                 learn_final(id, *entry);
                                 const auto fetched = jobs_.find(id);
                                 const bool told = fetched != jobs_.end() && !fetched->second.doubtful;
                                 done(told, told ? &fetched->second : nullptr);
                               })});
    }));
  })});
}

Response Gateway::describe(const JobId& id, const Known& known) const {
  Json body{{"uid", id.value}};
  switch (waits_.cancelled(id) ? JobPhase::cancelled : known.phase) {
    case JobPhase::accepted:
      if (!waits_.released(id)) {
        describe_waiting(id, body);
        break;
      }
      body["phase"] = known.progress.running > 0 ? "running" : "queued";
      body["done"] = known.progress.done;
      body["running"] = known.progress.running;
      if (!known.progress.reason.empty()) body["reason"] = known.progress.reason;
      if (known.unreadable) body["reason"] = "its record cannot be read, its operators must see to it";
      break;
    case JobPhase::done:
      body["phase"] = "done";
      body["done"] = known.members;
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
  const auto open = waits_.open_needs(id, kNamed, count);
  body["phase"] = "queued";
  body["done"] = body["running"] = 0;
  body["waits_on"] = Json::array();
  for (const auto& need : open) body["waits_on"].push_back(need.value);
  std::string reason = "waits for " + (open.empty() ? "others" : open.front().value);
  if (count > 1) reason += " and " + std::to_string(count - 1) + " more";
  for (std::size_t i = 0; i < std::min(open.size(), kLookedAt); ++i) {
    auto at = open[i];
    for (int step = 0; step < kStepsUp && !waits_.released(at); ++step) {
      std::size_t more = 0;
      const auto next = waits_.open_needs(at, 1, more);
      if (next.empty()) break;
      at = next.front();
    }
    const auto found = jobs_.find(at);
    if (found == jobs_.end() || found->second.progress.reason.empty()) continue;
    reason += "; " + at.value + ": " + found->second.progress.reason;
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
  if (jobs_.contains(spec.uid) || store_.has(wire::job_key(spec.uid))) return answer_known(call, spec.uid);
  const auto reason = refused(spec);
  if (!reason && spec.waits_on.empty()) return accept(call, spec);
  if (!reason) return check_waits(call, spec);
  refuse(call, spec.uid, *reason);
}

// For good. A job accepted before is answered with its state, whatever speaks against it now.
void Gateway::refuse(const CallPtr& call, const JobId& id, const Response& reason) {
  // What was found without them stays undecided, also when they become known meanwhile.
  const bool undecided = flavors_.empty();
  look_up(id, guard([this, call, id, reason, undecided](bool fine, const Known* found) {
            if (!fine) return unable(call);
            if (found != nullptr) return call->reply(describe(id, *found));
            if (undecided) return call->reply({503, "{}", kRetryAfterS});
            call->reply(reason);
          }));
}

// The answer to what can never be accepted.
std::optional<Response> Gateway::refused(const wire::JobSpec& spec) const {
  if (const auto reason = refusal(spec, teams_, flavors_)) return error(422, *reason);
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
    const auto known = jobs_.find(need);
    if (known != jobs_.end() && known->second.service)
      return refuse(call, spec.uid, error(422, need.value + " is a service, which is never done"));
    // Noted now: it may have left memory when the answer is given.
    if (is_cancelled(need)) call->doomed = true;
    if (known != jobs_.end() || waits_.accepted(need)) continue;
    return look_up(need, guard([this, call, spec, need](bool fine, const Known* found) {
                     if (!fine) return unable(call);
                     if (found == nullptr)
                       return refuse(call, spec.uid, error(422, need.value + " was never accepted"));
                     // Fetched, it may leave memory again before the next look.
                     if (!found->service) ++call->checked;
                     if (is_cancelled(need)) call->doomed = true;
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
    return look_up(spec.uid, guard([this, call, spec](bool fine, const Known* found) {
                     if (!fine) return unable(call);
                     if (found != nullptr) return call->reply(describe(spec.uid, *found));
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
                                  [this](const JobId& need) { return is_cancelled(need); });
  // Invariant 15: what one of them waits for may have been cancelled long ago and not be known here.
  const bool doubt = std::any_of(spec.waits_on.begin(), spec.waits_on.end(),
                                 [this](const JobId& need) { return waits_.in_doubt(need); });
  if (!cancelled && doubt) return answer_known(call, spec.uid);
  const auto* phase = cancelled ? "cancelled" : "queued";
  call->reply({201, Json{{"uid", spec.uid.value}, {"phase", phase}}.dump(), std::nullopt});
}

bool Gateway::is_cancelled(const JobId& id) const {
  const auto known = jobs_.find(id);
  return waits_.cancelled(id) || (known != jobs_.end() && known->second.phase == JobPhase::cancelled);
}

void Gateway::answer_known(const CallPtr& call, const JobId& id) {
  look_up(id, guard([this, call, id](bool fine, const Known* found) {
            if (!fine || found == nullptr) return unable(call);
            call->reply(describe(id, *found));
          }));
}

void Gateway::status(const CallPtr& call, const JobId& id) {
  const auto known = jobs_.find(id);
  const bool is_final = known != jobs_.end() && over(id, known->second);
  if (!is_final && !state_ok()) return unable(call);
  look_up(id, guard([this, call, id](bool fine, const Known* found) {
            if (!fine) return unable(call);
            if (found == nullptr) return call->reply(error(404, "no such job"));
            call->reply(describe(id, *found));
          }));
}

void Gateway::withdraw(const CallPtr& call, const JobId& id) {
  if (++call->tries > kTries) return call->reply({503, "{}", kRetryAfterS});
  look_up(
      id, guard([this, call, id](bool fine, const Known* found) {
        if (!fine) return unable(call);
        if (found == nullptr) return call->reply(error(404, "no such job"));
        if (over(id, *found)) return call->reply(describe(id, *found));
        if (!found->record)
          return call->reply(busy());  // it cannot be written anew as long as it is not read
        state::Transaction transaction;
        // Invariant 8: done and cancelled race for this stamp.
        transaction.when = {{wire::job_key(id), found->stamp}};
        transaction.writes = {{wire::job_key(id),
                               final_json(*found->record, JobPhase::cancelled, loop().wall(), value_bytes()),
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
