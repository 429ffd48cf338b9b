#include "queue/job_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace bankhill::queue {

using model::Job;

namespace {
// A waiting job may cost this part of a control interval between two orders of all of them.
constexpr double kOrderPaces = 1.0 / 10000;
constexpr double kNever = -1e9;
// Parts of the time in which the largest should begin: the rest is for a task of others to end.
constexpr double kMustBegin = 0.5;
// The upper tenth of a class counts as its largest: by the sites' distributions a quarter of its work, and
// what by nearest to its end is never begun in a flood.
constexpr double kLargestPart = 0.1;
// Of a party's turns, for each part of its largest that should be served: half of them are an eighth of its
// work, which a flood of twice what can be had makes a quarter of what is done. A fifth more, since some are
// half done when it ends (lakaskalk-fleet, flood: with a quarter 92 of 175 done).
constexpr double kLargestTurns = 0.6;

bool before(const Candidate& a, const Candidate& b) { return a.order_key < b.order_key; }
}  // namespace

JobQueue::JobQueue(Settings settings, Callbacks facts)
    : settings_(std::move(settings)),
      facts_(std::move(facts)),
      ordered_at_(kNever),
      overload_({settings_.round_s}),
      largest_(kLargestPart, settings_.begin_within_s) {}

void JobQueue::reset() {
  jobs_.clear();
  order_.clear();
  new_.clear();
  ordered_at_ = kNever;
  again_s_ = 0;
  overload_.reset();
  held_.clear();
}

void JobQueue::enqueue(Job& job) {
  if (jobs_.emplace(job.spec.id, &job).second) new_.insert(job.spec.id);
}

void JobQueue::remove(const wire::JobId& id) { jobs_.erase(id); }

void JobQueue::adjust_allocated_cores(const fair_share::Party& party, bool largest, double cores) {
  held_[{party, largest}] += cores;
}

// The exception to the order by slack: by slack alone a flood makes every job late.
bool JobQueue::update_overload(double now, double wanted, double lacking) {
  if (!overload_.observe(now, wanted, lacking)) return false;
  ordered_at_ = kNever;
  return true;
}

Job* JobQueue::find(const wire::JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second;
}

double JobQueue::time_to_deadline(const Job& job, double wall) const {
  return queue::time_to_deadline(settings_.objectives, job, facts_.deadline(job), wall);
}

Candidate JobQueue::candidate(const Job& job, double wall) const {
  // A faulty job holds neither its deadline's rank nor its team's guarantee against good ones.
  const bool borrows = job.faulty || !facts_.within_guarantee(job);
  const double rest = job.faulty ? std::numeric_limits<double>::max()
                                 : slack(settings_.objectives, job, facts_.deadline(job), wall);
  return {{!job.is_service(), true, borrows, rest, job.eligible_at},
          job.spec.id,
          job.spec.request,
          job.spec.allows_preemptible,
          estimated_runtime_s(job),
          false,
          job.spec.priority};
}

// The floor under slack, guarantees and turns: one task, so that they cost next to nothing. Ages count from
// the records' times: a new term does not start them anew.
bool JobQueue::must_begin(const Job& job, double wall) const {
  return !job.has_started() && is_overdue(job, wall);
}

bool JobQueue::is_overdue(const Job& job, double wall) const {
  if (job.is_service() || job.faulty || job.assigned_count > 0) return false;
  if (wall - job.eligible_at < kMustBegin * settings_.begin_within_s) return false;
  return largest_.is(job);
}

Candidate JobQueue::first_task(Candidate candidate) {
  candidate.first_task_only = true;
  candidate.order_key.may_wait = candidate.order_key.borrows = false;
  candidate.order_key.rest = 0;
  return candidate;
}

const std::vector<Candidate>& JobQueue::ordered_candidates(Time time) {
  const double lasts = kOrderPaces * settings_.control_interval_s * static_cast<double>(jobs_.size());
  if (time.now - ordered_at_ < lasts) {
    add_new(time.wall);
    // What may start by now, or ranks otherwise, is seen with the next order: that must come without an
    // event.
    // Not for what is left of that time: rounded down, it would come again and again at the same moment.
    again_s_ = lasts;
  } else {
    ordered_at_ = time.now;
    order_all(time.wall);
    again_s_ = 0;
  }
  return order_;
}

void JobQueue::add_new(double wall) {
  for (const auto& id : std::exchange(new_, {})) {
    const auto* job = find(id);
    if (job == nullptr || !facts_.may_start(*job)) continue;
    const auto add = [this](Candidate item) {
      const auto place = std::upper_bound(order_.begin(), order_.end(), item, before);
      order_.insert(place, std::move(item));
    };
    auto item = candidate(*job, wall);
    if (must_begin(*job, wall)) add(first_task(item));
    add(std::move(item));
  }
}

void JobQueue::order_all(double wall) {
  new_.clear();
  order_.clear();
  for (auto& [id, job] : jobs_) {
    if (!facts_.may_start(*job)) continue;
    order_.push_back(candidate(*job, wall));
    if (job->reason.empty() && jobs_.size() > kCandidatesTried) job->reason = kNoMachineHasRoom;
  }
  if (overload_.on()) take_turns(wall);
  const auto all = order_.size();
  for (std::size_t i = 0; i < all; ++i)
    if (must_begin(*jobs_.at(order_[i].id), wall)) order_.push_back(first_task(order_[i]));
  std::sort(order_.begin(), order_.end(), before);
}

void JobQueue::take_turns(double wall) {
  std::vector<fair_share::Waiting> batches;
  std::vector<Candidate*> takers;
  for (auto& item : order_) {
    const auto& job = *jobs_.at(item.id);
    if (job.is_service() || job.faulty) continue;
    const double cores = job.spec.request.cores;
    takers.push_back(&item);
    batches.push_back({{job.spec.team, job.spec.job_class},
                       cores * job.ready_count,
                       cores * job.unfinished_tasks() * std::max(1.0, estimated_runtime_s(job)),
                       std::isinf(time_to_deadline(job, wall)),
                       job.eligible_at,
                       largest_.is(job)});
  }
  const auto turn = fair_share::fair_share_order(batches, held_, settings_.weights,
                                                 kLargestTurns * settings_.largest_share);
  for (std::size_t i = 0; i < takers.size(); ++i) takers[i]->order_key.rest = turn[i];
}

}  // namespace bankhill::queue
