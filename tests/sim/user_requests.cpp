// What every user of the simulated site does: submits, asks, submits again and cancels.
#include <algorithm>
#include <cstdio>

#include "sim/controller.hpp"

namespace bankhill::sim {

using net::Method;
using net::Request;
using net::Response;
using wire::Json;

void World::user_call(const std::string&, Request request, double timeout, std::function<void(Response)> done,
                      int node) {
  auto once = std::make_shared<bool>(false);
  auto answer = [once, done = std::move(done)](const Response& response) {
    if (!std::exchange(*once, true)) done(response);
  };
  at(now() + timeout, [answer] { answer({}); });
  const double way = node < 0 ? 0.002 : uniform(0.0002, 0.002);
  if (node < 0) node = pick(node_count_);
  at(now() + way, [this, node, way, request = std::move(request), answer, asked = now()] {
    to_node(node, request, [this, node, way, answer, request, asked](const Response& response) {
      const double delay = out_delay(controller_name(node));
      if (delay > 0)
        at(now() + delay, [this, request, response, asked] { answer_left(request, response, asked); });
      else
        answer_left(request, response, asked);
      at(now() + way + delay, [this, node, answer, response] {
        answering_ = node;
        answer(response);
      });
    });
  });
}

bool World::doomed(const SimJob& job, double when, double ago) const {
  std::set<wire::JobId> seen;
  std::vector<wire::JobId> look = job.spec.waits_on;
  while (!look.empty()) {
    const auto id = look.back();
    look.pop_back();
    if (!seen.insert(id).second) continue;
    const auto& other = jobs_.at(id.value);
    if (other.told_cancelled > 0 && other.told_cancelled + ago < when) return true;
    look.insert(look.end(), other.spec.waits_on.begin(), other.spec.waits_on.end());
  }
  return false;
}

// Its own user, or that of a job it needs.
bool World::cancel_asked(const SimJob& job) const {
  return job.cancel_asked ||
         std::any_of(job.spec.waits_on.begin(), job.spec.waits_on.end(),
                     [this](const wire::JobId& need) { return cancel_asked(jobs_.at(need.value)); });
}

std::string World::submit(SimJob job) {
  char uid[24];
  std::snprintf(uid, sizeof uid, "job-%06d", next_job_++);
  job.spec.uid = {uid};
  job.created = now();
  job.submitted = true;
  const bool cancelled = (job.spec.shape == wire::Shape::daemon || job.broken || chance(0.15)) && !job.kept;
  jobs_[uid] = std::move(job);
  user_submit(uid);
  if (cancelled) at(now() + uniform(1, 60), [this, u = std::string(uid)] { user_cancel(u); });
  return uid;
}

Response World::ask(int node, Request request) {
  const auto answer = std::make_shared<std::optional<Response>>();
  to_node(node, request, [this, answer, request, asked = now()](const Response& response) {
    answer_left(request, response, asked);
    *answer = response;
  });
  for (const double until = now() + 5; !*answer && now() < until;) run(now() + 0.05);
  return answer->value_or(Response{});
}

void World::user_submit(const std::string& uid) {
  auto& job = jobs_.at(uid);
  // Users name only what was accepted.
  for (const auto& need : job.spec.waits_on) {
    const auto& other = jobs_.at(need.value);
    const bool over = other.told_done || other.told_cancelled > 0;
    if (!other.accepted || (job.late && !over)) return at(now() + 0.2, [this, uid] { user_submit(uid); });
  }
  user_call(uid, {Method::post, "/submissions", to_json(job.spec).dump()}, 5,
            [this, uid, asked = now()](const Response& response) {
              auto& mine = jobs_.at(uid);
              if (response.status == 200 || response.status == 201) {
                const bool first = !std::exchange(mine.accepted, true);
                check_phase(mine, response, asked);
                if (!first) return;
                mine.status_told = mine.submission_told = now();
                user_poll(uid);
                at(now() + uniform(2, 20), [this, uid] { user_submit_again(uid); });
                return;
              }
              if (response.status == 400 || response.status == 422) {
                violate("forgotten", uid + " refused: " + response.body);
                return;
              }
              at(now() + uniform(1, 2), [this, uid] { user_submit(uid); });
            });
}

// Answers may overtake one another: what counts is what was told before the request was sent.
void World::check_phase(SimJob& job, const Response& response, double asked) {
  const auto phase = Json::parse(response.body)["phase"].get<std::string>();
  const auto& uid = job.spec.uid.value;
  if (job.told_done && job.told_done_at < asked && phase != "done")
    violate("went_back", uid + " was done, now " + phase);
  if (job.told_cancelled > 0 && job.told_cancelled < asked && phase != "cancelled")
    violate("went_back", uid + " was cancelled, now " + phase);
  if (phase == "cancelled") {
    if (!cancel_asked(job)) violate("went_back", uid + " cancelled by nobody");
    if (job.told_cancelled == 0) {
      job.told_cancelled = now();
      tell(Moment::cancelled, answering_);
    }
  }
  if ((phase == "queued" || phase == "running") && doomed(job, asked, settings_.cancel_s))
    violate("orphaned", uid + " is " + phase);
  if (phase == "done") {
    if (!std::exchange(job.told_done, true)) job.told_done_at = now();
    if (job.completed.size() < job.spec.members) violate("not_done", uid);
  }
}

void World::user_poll(const std::string& uid) {
  user_call(uid, {Method::get, "/submissions/" + uid, ""}, 2,
            [this, uid, asked = now()](const Response& response) {
              auto& job = jobs_.at(uid);
              if (response.status == 200) {
                job.status_told = now();
                check_phase(job, response, asked);
              }
              if (response.status == 404) violate("forgotten", uid + " answered 404");
            });
  const auto& job = jobs_.at(uid);
  const bool over = job.told_done || job.told_cancelled > 0;
  at(now() + (over ? uniform(8, 25) : uniform(2.5, 5)), [this, uid] { user_poll(uid); });
}

// As users do that have lost the answer: what was accepted is answered with its state.
void World::user_submit_again(const std::string& uid) {
  user_call(uid, {Method::post, "/submissions", to_json(jobs_.at(uid).spec).dump()}, 5,
            [this, uid, asked = now()](const Response& response) {
              auto& job = jobs_.at(uid);
              if (response.status == 200) {
                job.submission_told = now();
                check_phase(job, response, asked);
              }
              if (response.status == 201 || response.status == 400 || response.status == 422)
                violate("forgotten", uid + " submitted again: " + response.body);
            });
  at(now() + uniform(8, 25), [this, uid] { user_submit_again(uid); });
}

void World::user_cancel(const std::string& uid) {
  auto& job = jobs_.at(uid);
  if (!job.accepted) return at(now() + 2, [this, uid] { user_cancel(uid); });
  job.cancel_asked = true;
  user_call(uid, {Method::post, "/submissions/" + uid + "/withdraw", "{}"}, 5,
            [this, uid, asked = now()](const Response& response) {
              auto& mine = jobs_.at(uid);
              if (response.status == 200) return check_phase(mine, response, asked);
              at(now() + 1, [this, uid] { user_cancel(uid); });
            });
}

void World::ask_unknown() {
  user_call("", {Method::get, "/submissions/job-9" + std::to_string(pick(99999)), ""}, 2,
            [this](const Response& response) {
              if (response.status == 200) violate("invented", response.body);
            });
}

void World::wait_for_unknown() {
  auto job = random_job();
  job.spec.shape = wire::Shape::sweep;
  job.spec.uid = {"job-7" + std::to_string(pick(99999))};
  job.spec.waits_on = {{"job-9" + std::to_string(pick(99999))}};
  if (chance(0.2)) job.spec.waits_on = {job.spec.uid};
  user_call("", {Method::post, "/submissions", to_json(job.spec).dump()}, 5,
            [this](const Response& response) {
              if (response.status == 200 || response.status == 201)
                violate("invented", "a job that waits for an unknown one");
            });
}

}  // namespace bankhill::sim
