// Placement: ready tasks by rising slack, steady machines first, then spot, earliest completion first
// (the paper's Algorithm 4; design: "Ready tasks go by rising slack").
#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using model::Machine;
using wire::Order;
using wire::Verb;

namespace {
constexpr double kLongRounds = 20;  // a task that runs on for longer gives nothing back soon
constexpr double kHeardReports = 1.7;
constexpr unsigned kTryBits = 24;  // attempts of one term; the term is above them
constexpr double kRounding = 1e-6;
// Guesses are often wrong by half: a job counts as too late only when even this part of its guess does not
// fit.
constexpr double kHopeful = 0.75;
}  // namespace

void Leader::place_soon() {
  if (std::exchange(place_scheduled_, true)) return;
  loop().post(guard([this] {
    place_scheduled_ = false;
    place();
  }));
}

double Leader::task_s(const Job& job) const { return job.spec.guess_s; }

// Time left until the first of the job's deadlines that it can still meet; infinite if there is none.
double Leader::due_in(const Job& job) const {
  const double waited = loop().wall() - job.accepted_at;
  const double least = kHopeful * task_s(job);
  if (job.spec.due_s) {
    const double left = *job.spec.due_s - waited;
    return left >= least ? left : std::numeric_limits<double>::infinity();
  }
  if (const auto within = settings_.within_s.find(job.spec.queue); within != settings_.within_s.end())
    for (const double time : within->second)
      if (time - waited >= least) return time - waited;
  return std::numeric_limits<double>::infinity();
}

// A job that is too late for its deadline would, with slack 0, go before those that still can make theirs
// and make them late in turn: it ranks like one without a deadline.
double Leader::slack(const Job& job) const {
  const double due = due_in(job);
  return planner::slack(job.service(), std::isinf(due) ? std::nullopt : std::optional<double>(due),
                        task_s(job));
}

bool Leader::may_start(const Job& job) const {
  if (!job.live() || job.ready == 0 || loop().now() < job.blocked_until) return false;
  // Invariant 5: what an earlier leader may have started waits until no unconfirmed machine could hold it.
  if (job.stamp > won_) return true;
  return std::none_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const auto& machine = entry.second;
    if (!machine.recorded || machine.confirmed) return false;
    return planner::allows(job.spec.flavors, machine.flavor) &&
           (!job.spec.rack_room || *job.spec.rack_room == machine.rack_room) &&
           (job.spec.reclaimable || !machine.reclaimable);
  });
}

bool Leader::team_has_room(const Job& job) const {
  const auto* owner = team(job.spec.owner);
  if (owner == nullptr) return false;
  const auto used = usage_.find(job.spec.owner);
  wire::Amounts total = used == usage_.end() ? wire::Amounts{} : used->second.used;
  // Invariant 5: an unconfirmed machine may be full of this team's tasks; so may tasks of unknown jobs.
  for (const auto& [host, machine] : machines_)
    if (machine.recorded && !machine.confirmed) total += machine.size;
  if (const auto unknown = usage_.find(""); unknown != usage_.end()) total += unknown->second.used;
  total += job.spec.need;
  return total.cores <= owner->limit.cores + kRounding &&
         total.accelerators <= owner->limit.accelerators + kRounding;
}

bool Leader::within_guarantee(const Job& job) const {
  const auto* owner = team(job.spec.owner);
  if (owner == nullptr) return false;
  const auto used = usage_.find(job.spec.owner);
  wire::Amounts total = used == usage_.end() ? wire::Amounts{} : used->second.used;
  total += job.spec.need;
  return total.cores <= owner->guarantee.cores + kRounding &&
         total.accelerators <= owner->guarantee.accelerators + kRounding;
}

bool Leader::zone_allows(const Job& job, const std::string& zone) const {
  const auto& spec = job.spec;
  if (spec.rack_room && *spec.rack_room != zone) return false;
  if (!spec.together && !spec.scatter) return true;
  std::uint32_t here = 0;
  for (const auto& [host, machine] : machines_) {
    // Invariant 5: tasks of an unconfirmed machine are not known.
    if (machine.recorded && !machine.confirmed && job.stamp <= won_) return false;
    for (auto bind = machine.binds.lower_bound({spec.uid, 0});
         bind != machine.binds.end() && bind->first.job == spec.uid; ++bind) {
      if (spec.together && machine.rack_room != zone) return false;
      if (machine.rack_room == zone) ++here;
    }
  }
  return !spec.scatter || here < (spec.members + 1) / 2;
}

Machine* Leader::pick(const Job& job, bool reclaimable) {
  Machine* best = nullptr;
  std::tuple<double, double, double> best_score;
  for (auto& [host, machine] : machines_) {
    if (!machine.takes_tasks() || machine.reclaimable != reclaimable) continue;
    // What is told to start on a machine that does not speak would be bound there until it is given up.
    if (loop().now() - machine.last_contact > kHeardReports * settings_.report_s) continue;
    if (!planner::allows(job.spec.flavors, machine.flavor) || !job.spec.need.fits(machine.room())) continue;
    if (job.failed_on.contains(host) || !zone_allows(job, machine.rack_room)) continue;
    if (machine.leftovers.contains({job.spec.uid, job.cursor})) continue;
    // Earliest completion: all types run a task equally fast, the image fetch differs. Of equals the
    // fullest, so that others become free to be returned.
    double fetch = 0;
    if (const auto* type = flavor(machine.flavor);
        !machine.images.contains(job.spec.bundle) && type != nullptr && type->pull_gb_per_s > 0)
      fetch = job.spec.size_gb / type->pull_gb_per_s;
    // A service stays: on a large machine it would keep all of it rented.
    const std::tuple score{fetch, job.service() ? machine.size.cores : 0, machine.room().cores};
    if (best == nullptr || score < best_score) {
      best = &machine;
      best_score = score;
    }
  }
  return best;
}

void Leader::bind(Machine& machine, Job& job, std::uint32_t index) {
  model::Bind bind;
  bind.member = {job.spec.uid, index};
  bind.try_no = wire::TryNo{(term_ << kTryBits) + ++tries_};
  bind.owner = job.spec.owner;
  bind.need = job.spec.need;
  bind.tenure = machine.tenure;
  bind.since = loop().now();
  machine.used += bind.need;
  usage_[bind.owner].used += bind.need;
  job.set_mark(index, model::kBound);
  machine.binds.emplace(bind.member, std::move(bind));
}

void Leader::place() {
  if (!valid() || flavors_.empty()) return;
  struct Candidate {
    std::tuple<bool, bool, double, double> order;  // not a service, borrows, slack, age
    Job* job;
  };
  std::vector<Candidate> candidates;
  for (auto& [id, job] : jobs_) {
    if (!may_start(job)) continue;
    candidates.push_back({{!job.service(), !within_guarantee(job), slack(job), job.accepted_at}, &job});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.order < b.order; });
  std::map<wire::HostId, std::vector<Order>> orders;
  bool waiting = false;
  for (const auto& candidate : candidates) {
    auto& job = *candidate.job;
    std::uint32_t index = 0;
    while (job.next_ready(index)) {
      if (!team_has_room(job)) {
        job.reason = "the team's limit is reached";
        break;
      }
      auto* machine = pick(job, false);
      if (machine == nullptr && job.spec.reclaimable) machine = pick(job, true);
      if (machine == nullptr) {
        waiting = true;
        job.reason = "no machine has room yet";
        make_room(job);
        break;
      }
      bind(*machine, job, index);
      const wire::MemberId member{job.spec.uid, index};
      orders[machine->host].push_back({Verb::start, member, machine->binds.at(member).try_no, 0});
      if (job.ready == 0) job.reason.clear();
    }
  }
  for (auto& [host, list] : orders) send_direct(machines_.at(host), std::move(list));
  if (waiting) plan_soon();
}

// Preemption: stops tasks of lower rank, or of a team above its guarantee when this job's team is within
// its own, on the one machine where the least progress is lost.
void Leader::make_room(const Job& job) {
  // Stopped work is mostly lost, and borrowed room comes back by itself as tasks end: taken back by force
  // is only what long tasks would not give back soon, when a whole round has not brought enough.
  const bool guaranteed = within_guarantee(job) && loop().wall() - job.accepted_at > settings_.round_s;
  Machine* best = nullptr;
  std::vector<wire::MemberId> best_victims;
  std::pair<bool, double> best_loss{true, std::numeric_limits<double>::max()};
  const double now = loop().now();
  for (auto& [host, machine] : machines_) {
    if (!machine.takes_tasks() || (machine.reclaimable && !job.spec.reclaimable)) continue;
    if (!planner::allows(job.spec.flavors, machine.flavor) || !zone_allows(job, machine.rack_room)) continue;
    wire::Amounts room = machine.room();
    bool leaving = false;  // room is on its way here already
    double loss = 0;
    std::vector<wire::MemberId> victims;
    for (const auto& [member, bind] : machine.binds) leaving = leaving || bind.stopping;
    if (leaving) {
      wire::Amounts soon = room;
      for (const auto& [member, bind] : machine.binds)
        if (bind.stopping) soon += bind.need;
      if (job.spec.need.fits(soon)) return;
      continue;
    }
    for (const auto& [member, bind] : machine.binds) {
      if (job.spec.need.fits(room)) break;
      const auto other = jobs_.find(member.job);
      if (other == jobs_.end() || bind.owner.empty()) continue;
      const auto* owner = team(bind.owner);
      const bool lower = other->second.spec.rank < job.spec.rank;
      const bool borrowed = guaranteed && owner != nullptr && bind.owner != job.spec.owner &&
                            usage_[bind.owner].used.cores > owner->guarantee.cores + kRounding;
      const double left =
          other->second.service()
              ? std::numeric_limits<double>::max()
              : task_s(other->second) - (bind.running_since > 0 ? now - bind.running_since : 0);
      if (!lower && !(borrowed && left > kLongRounds * settings_.round_s)) continue;
      room += bind.need;
      victims.push_back(member);
      loss += (bind.running_since > 0 ? now - bind.running_since : 0) * bind.need.cores;
    }
    // Room on a machine that must fetch the image first is of use only later.
    const std::pair costs{!machine.images.contains(job.spec.bundle), loss};
    if (victims.empty() || !job.spec.need.fits(room) || costs >= best_loss) continue;
    best = &machine;
    best_victims = std::move(victims);
    best_loss = costs;
  }
  if (best == nullptr) return;
  for (const auto& member : best_victims) {
    auto& bind = best->binds.at(member);
    const auto& spec = jobs_.at(member.job).spec;
    log_->info("job {}: {} makes room for it", job.spec.uid.value, member.text());
    stop(*best, bind, spec.snapshot_every_s > 0 ? spec.flush_s : 0);
  }
}

}  // namespace bankhill::leader
