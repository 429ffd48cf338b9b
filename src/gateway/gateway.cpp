#include "gateway/gateway.hpp"

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
constexpr double kRelayS = 1.5;  // users wait 2 s for a poll
constexpr int kTries = 5;

Response error(int status, const std::string& text) {
  return {status, Json{{"error", text}}.dump(), std::nullopt};
}
}  // namespace

Gateway::Gateway(runtime::Loop& loop, runtime::Log log, state::Store& store, net::Relay& relay,
                 std::vector<TeamLimit> teams, std::size_t final_states_kept)
    : Actor(loop),
      log_(std::move(log)),
      store_(store),
      relay_(relay),
      teams_(std::move(teams)),
      final_states_kept_(final_states_kept) {}

bool Gateway::state_ok() const { return store_.synced() && store_.silence() < kStateSilenceS; }

bool Gateway::healthy() const {
  if (!store_.synced() || flavors_.empty()) return false;
  // Without the state service this node is still of use through a sibling. When nobody has it, leaving
  // the load balancer would help no one and delay the return.
  return state_ok() || relay_.any_sibling();
}

void Gateway::on(Changed& message) {
  for (const auto& change : *message.changes) {
    if (change.key == wire::kCatalogueKey && change.data) flavors_ = wire::parse_flavors(*change.data);
    if (!change.key.starts_with(wire::kJobs) || !change.data) continue;
    learn(JobId{change.key.substr(wire::kJobs.size())}, {*change.data, change.stamp});
  }
}

void Gateway::learn(const JobId& id, const state::Entry& entry) {
  auto& known = jobs_[id];
  if (known.stamp >= entry.stamp) return;
  const bool was_final = known.phase != JobPhase::accepted;
  auto record = wire::parse_job_record(entry.data);
  known.stamp = entry.stamp;
  known.phase = record.phase;
  known.members = record.spec.members;
  if (known.phase == JobPhase::accepted) {
    known.record = std::move(record);
    return;
  }
  known.record.reset();
  known.progress = {};
  if (was_final) return;
  final_order_.push_back(id);
  // Invariant 12: memory is bounded; what leaves it is read from the state service.
  while (final_order_.size() > final_states_kept_) {
    jobs_.erase(final_order_.front());
    final_order_.pop_front();
    forgot_some_ = true;
  }
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
  if (now_known != jobs_.end() && now_known->second.phase != JobPhase::accepted)
    return done(true, &now_known->second);
  store_.tell(state::Sync{guard([this, id, done = std::move(done)](bool fine) mutable {
    if (!fine) return done(false, nullptr);
    // On the next turn, when the changes that the barrier published have been taken in.
    loop().post(guard([this, id, done = std::move(done)] {
      const auto found = jobs_.find(id);
      if (found != jobs_.end()) return done(true, &found->second);
      if (!forgot_some_) return done(true, nullptr);
      store_.tell(state::Fetch{
          wire::job_key(id), guard([this, id, done](bool known, std::optional<state::Entry> entry) {
            if (!known) return done(false, nullptr);
            if (!entry) return done(true, nullptr);
            learn(id, *entry);
            const auto fetched = jobs_.find(id);
            done(fetched != jobs_.end(), fetched != jobs_.end() ? &fetched->second : nullptr);
          })});
    }));
  })});
}

Response Gateway::describe(const JobId& id, const Known& known) const {
  Json body{{"uid", id.value}};
  switch (known.phase) {
    case JobPhase::accepted:
      body["phase"] = known.progress.running > 0 ? "running" : "queued";
      body["done"] = known.progress.done;
      body["running"] = known.progress.running;
      if (!known.progress.reason.empty()) body["reason"] = known.progress.reason;
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

// This node cannot serve the call: a sibling with the state service may. Otherwise the user is told at
// once when to come back.
void Gateway::unable(const CallPtr& call) {
  const auto sibling = call->relayed ? std::string() : relay_.sibling_with_state();
  if (sibling.empty()) return call->reply({503, "{}", kRetryAfterS});
  relay_.tell(net::RelayCall{sibling, call->request, kRelayS, [call](Response response) {
                               if (response.status == 0) return call->reply({503, "{}", kRetryAfterS});
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
  const auto known = jobs_.find(spec.uid);
  if (known != jobs_.end()) return answer_known(call, spec.uid);
  const auto reason = refusal(spec, teams_, flavors_);
  if (!reason) return accept(call, spec);
  // A job accepted before is answered with its state before any such check.
  look_up(spec.uid, guard([this, call, uid = spec.uid, reason](bool fine, const Known* found) {
            if (!fine) return unable(call);
            if (found != nullptr) return call->reply(describe(uid, *found));
            if (flavors_.empty()) return call->reply({503, "{}", kRetryAfterS});
            call->reply(error(422, *reason));
          }));
}

void Gateway::accept(const CallPtr& call, const wire::JobSpec& spec) {
  state::Transaction transaction;
  transaction.when = {{wire::job_key(spec.uid), wire::Stamp{0}}};
  transaction.writes = {{wire::job_key(spec.uid),
                         to_json(wire::JobRecord{spec, JobPhase::accepted, loop().wall()}), std::nullopt}};
  store_.tell(
      state::Commit{std::move(transaction), guard([this, call, spec](state::CommitResult result) {
                      switch (result.outcome) {
                        case Outcome::done:
                          log_->debug("job {}: accepted", spec.uid.value);
                          return call->reply(
                              {201, Json{{"uid", spec.uid.value}, {"phase", "queued"}}.dump(), std::nullopt});
                        case Outcome::conflict:
                          return answer_known(call, spec.uid);
                        case Outcome::refused:
                          return unable(call);
                        case Outcome::unknown:
                          // Repeating it tells: a conflict means that it was applied.
                          if (++call->tries < 2) return accept(call, spec);
                          return unable(call);
                      }
                    })});
}

void Gateway::answer_known(const CallPtr& call, const JobId& id) {
  look_up(id, guard([this, call, id](bool fine, const Known* found) {
            if (!fine || found == nullptr) return unable(call);
            call->reply(describe(id, *found));
          }));
}

void Gateway::status(const CallPtr& call, const JobId& id) {
  const auto known = jobs_.find(id);
  const bool is_final = known != jobs_.end() && known->second.phase != JobPhase::accepted;
  if (!is_final && !state_ok()) return unable(call);
  look_up(id, guard([this, call, id](bool fine, const Known* found) {
            if (!fine) return unable(call);
            if (found == nullptr) return call->reply(error(404, "no such job"));
            call->reply(describe(id, *found));
          }));
}

void Gateway::withdraw(const CallPtr& call, const JobId& id) {
  if (++call->tries > kTries) return call->reply({503, "{}", kRetryAfterS});
  look_up(id, guard([this, call, id](bool fine, const Known* found) {
            if (!fine) return unable(call);
            if (found == nullptr) return call->reply(error(404, "no such job"));
            if (found->phase != JobPhase::accepted) return call->reply(describe(id, *found));
            auto record = *found->record;
            record.phase = JobPhase::cancelled;
            state::Transaction transaction;
            // Invariant 8: done and cancelled race for this stamp.
            transaction.when = {{wire::job_key(id), found->stamp}};
            transaction.writes = {{wire::job_key(id), to_json(record), std::nullopt}};
            store_.tell(state::Commit{
                std::move(transaction), guard([this, call, id](state::CommitResult result) {
                  if (result.outcome == Outcome::refused) return unable(call);
                  if (result.outcome != Outcome::done) return withdraw(call, id);
                  log_->info("job {}: cancelled", id.value);
                  call->reply({200, Json{{"uid", id.value}, {"phase", "cancelled"}}.dump(), std::nullopt});
                })});
          }));
}

}  // namespace bankhill::gateway
