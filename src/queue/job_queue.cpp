#include "queue/job_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace bankhill::queue {

using model::Job;

namespace {
// Time between two full reorderings for each waiting job, in control intervals. It keeps the processor time
// for reordering bounded.
constexpr double kReorderIntervalsPerJob = 1.0 / 10000;
// A steady-clock time that lies before all others.
constexpr double kNever = -1e9;
// Part of `begin_within_s` after which one task of a largest job goes before all other batch jobs. The rest
// of that time is left for running tasks of other jobs to end.
constexpr double kMustStartAfterPart = 0.5;
// The largest tenth of a class counts as its largest jobs. By the sites' size distributions it has a quarter
// of the class's work. Ordered by remaining work alone, these jobs would never start during an overload.
constexpr double kLargestPart = 0.1;
// Part of a team class's turns that goes to its largest jobs, for each part of them that should be served.
// Half of the largest jobs are an eighth of the class's work, which is a quarter of the work that gets done
// when the load is twice the capacity: a factor of 0.5. A fifth is added because some of these jobs are only
// half done when the overload ends: with a quarter of the turns 92 of 175 were done (lakaskalk-fleet, flood).
constexpr double kLargestTurns = 0.6;

bool goes_before(const Candidate& a, const Candidate& b) { return a.order_key < b.order_key; }
}  // namespace

JobQueue::JobQueue(Settings settings, Callbacks callbacks)
    : settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      ordered_at_(kNever),
      overload_({settings_.round_s}),
      largest_jobs_(kLargestPart, settings_.begin_within_s) {}

void JobQueue::reset() {
  jobs_.clear();
  order_.clear();
  new_jobs_.clear();
  ordered_at_ = kNever;
  reorder_delay_s_ = 0;
  overload_.reset();
  allocated_cores_.clear();
}

void JobQueue::enqueue(Job& job) {
  if (jobs_.emplace(job.spec.id, &job).second) new_jobs_.insert(job.spec.id);
}

void JobQueue::remove(const wire::JobId& id) { jobs_.erase(id); }

void JobQueue::adjust_allocated_cores(const fair_share::TeamClass& team_class, bool is_largest,
                                      double cores) {
  allocated_cores_[{team_class, is_largest}] += cores;
}

// During overload jobs are not ordered by slack: if the load exceeds the capacity, that order makes every job
// late.
bool JobQueue::update_overload(double now, double wanted, double unavailable) {
  if (!overload_.observe(now, wanted, unavailable)) return false;
  ordered_at_ = kNever;
  return true;
}

Job* JobQueue::find(const wire::JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second;
}

double JobQueue::time_to_deadline(const Job& job, double wall_s) const {
  return queue::time_to_deadline(settings_.objectives, job, callbacks_.deadline(job), wall_s);
}

Candidate JobQueue::make_candidate(const Job& job, double wall_s) const {
  // A faulty job is ordered without regard to its deadline and its team's guarantee, so that it does not
  // delay jobs that work.
  const bool exceeds_guarantee = job.faulty || !callbacks_.within_guarantee(job);
  const double slack_s = job.faulty ? std::numeric_limits<double>::max()
                                    : slack(settings_.objectives, job, callbacks_.deadline(job), wall_s);
  return {{!job.is_service(), true, exceeds_guarantee, slack_s, job.eligible_at},
          job.spec.id,
          job.spec.request,
          job.spec.allows_preemptible,
          estimated_runtime_s(job),
          false,
          job.spec.priority};
}

// Lets a large job start whatever its slack, its team's guarantee and the turns are. A single task is enough,
// so that other jobs lose next to nothing. The waiting time counts from times in the stored records: it goes
// on when a new term begins.
bool JobQueue::must_start(const Job& job, double wall_s) const {
  return !job.has_started() && is_overdue(job, wall_s);
}

bool JobQueue::is_overdue(const Job& job, double wall_s) const {
  if (job.is_service() || job.faulty || job.assigned_count > 0) return false;
  if (wall_s - job.eligible_at < kMustStartAfterPart * settings_.begin_within_s) return false;
  return largest_jobs_.contains(job);
}

Candidate JobQueue::first_task_candidate(Candidate candidate) {
  candidate.first_task_only = true;
  candidate.order_key.can_wait = candidate.order_key.exceeds_guarantee = false;
  candidate.order_key.slack_or_turn = 0;
  return candidate;
}

const std::vector<Candidate>& JobQueue::ordered_candidates(CurrentTime time) {
  const double reorder_interval_s =
      kReorderIntervalsPerJob * settings_.control_interval_s * static_cast<double>(jobs_.size());
  if (time.steady_s - ordered_at_ < reorder_interval_s) {
    insert_new_candidates(time.wall_s);
    // Jobs that may start by now, or whose order has changed, are seen at the next reordering, which has to
    // take place even if no event occurs. The delay is the whole interval and not what is left of it: rounded
    // down, the rest would bring the caller back at the same moment again and again.
    reorder_delay_s_ = reorder_interval_s;
  } else {
    ordered_at_ = time.steady_s;
    reorder_all(time.wall_s);
    reorder_delay_s_ = 0;
  }
  return order_;
}

void JobQueue::insert_new_candidates(double wall_s) {
  for (const auto& id : std::exchange(new_jobs_, {})) {
    const auto* job = find(id);
    if (job == nullptr || !callbacks_.may_start(*job)) continue;
    const auto insert = [this](Candidate candidate) {
      const auto place = std::upper_bound(order_.begin(), order_.end(), candidate, goes_before);
      order_.insert(place, std::move(candidate));
    };
    auto candidate = make_candidate(*job, wall_s);
    if (must_start(*job, wall_s)) insert(first_task_candidate(candidate));
    insert(std::move(candidate));
  }
}

void JobQueue::reorder_all(double wall_s) {
  new_jobs_.clear();
  order_.clear();
  for (auto& [id, job] : jobs_) {
    if (!callbacks_.may_start(*job)) continue;
    order_.push_back(make_candidate(*job, wall_s));
    if (job->reason().empty() && jobs_.size() > kCandidatesTried) job->set_reason(kNoMachineHasRoom);
  }
  if (overload_.is_overloaded()) assign_turns(wall_s);
  const auto job_count = order_.size();
  for (std::size_t i = 0; i < job_count; ++i)
    if (must_start(*jobs_.at(order_[i].id), wall_s)) order_.push_back(first_task_candidate(order_[i]));
  std::sort(order_.begin(), order_.end(), goes_before);
}

void JobQueue::assign_turns(double wall_s) {
  std::vector<fair_share::WaitingJob> batch_jobs;
  std::vector<Candidate*> batch_candidates;
  for (auto& candidate : order_) {
    const auto& job = *jobs_.at(candidate.id);
    if (job.is_service() || job.faulty) continue;
    const double cores = job.spec.request.cores;
    batch_candidates.push_back(&candidate);
    batch_jobs.push_back({{job.spec.team, job.spec.job_class},
                          cores * job.ready_count,
                          cores * job.unfinished_tasks() * std::max(1.0, estimated_runtime_s(job)),
                          std::isinf(time_to_deadline(job, wall_s)),
                          job.eligible_at,
                          largest_jobs_.contains(job)});
  }
  const auto turns = fair_share::fair_share_order(batch_jobs, allocated_cores_, settings_.weights,
                                                  kLargestTurns * settings_.largest_share);
  for (std::size_t i = 0; i < batch_candidates.size(); ++i)
    batch_candidates[i]->order_key.slack_or_turn = turns[i];
}

}  // namespace bankhill::queue
