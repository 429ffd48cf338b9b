// The order in which waiting jobs are considered for placement. The class holds the waiting jobs and what
// decides their order; the leader reports changes to it and asks for the ordered candidates. Sources: the
// paper's Algorithm 4 (4.2.1); docs/DESIGN.md, "Order"; docs/SHARES.md, "Order in overload". No input or
// output; the caller passes the time with each call.
#pragma once

#include <compare>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fair_share/fair_share_order.hpp"
#include "fair_share/overload_detector.hpp"
#include "model/job.hpp"
#include "queue/deadline.hpp"
#include "queue/largest_jobs.hpp"

namespace bankhill::queue {

// The reason why a job waits, as shown to its owner until a more specific reason is known.
inline const std::string kNoMachineHasRoom = "no machine has room yet";
// Number of waiting jobs up to which a placement pass examines every job and so finds the reason why it
// waits.
constexpr std::size_t kCandidatesTried = 16;

struct CurrentTime {
  // Steady clock, in seconds.
  double steady_s = 0;
  // Time of day, in seconds.
  double wall_s = 0;
};

// A job's position in the order. The first member that differs decides; the job with the lower value goes
// first.
struct OrderKey {
  // Services go before batch jobs.
  bool is_batch = false;
  // False if the job has waited for so long that one of its tasks is started before all other batch jobs.
  bool can_wait = true;
  // Whether a further task would take the job's team beyond its guarantee.
  bool exceeds_guarantee = false;
  // Slack in seconds; during overload the job's turn (fair_share_order()).
  double slack_or_turn = 0;
  // Time of day from which the job's waiting time counts, in seconds.
  double eligible_at = 0;
  auto operator<=>(const OrderKey&) const = default;
};

// A job with tasks to place, with the values that it had when its place in the order was computed.
struct Candidate {
  OrderKey order_key;
  wire::JobId id;
  wire::Resources request;
  bool allows_preemptible = false;
  double estimated_runtime_s = 0;
  // Whether this entry is for the job's first task only; a second entry stands for the other tasks.
  bool first_task_only = false;
  // Priority from the job's specification, not raised by jobs that depend on it.
  wire::Priority priority = wire::Priority::best_effort;
};

class JobQueue {
 public:
  struct Settings {
    double control_interval_s = 3;
    // Length of a planning round; overload begins or ends only after conditions for it have lasted so long.
    double round_s = 15;
    Objectives objectives;
    // Shares of the teams during overload, by team (fair_share/fair_share_order.hpp).
    std::map<std::string, double> weights;
    // Time within which the largest jobs of a class should start.
    double begin_within_s = 240;
    // Share of the largest jobs of a class that should be served.
    double largest_share = 0.5;
  };
  // Answers from the leader to questions that the queue cannot answer itself.
  struct Callbacks {
    // Whether tasks of the job may start now.
    std::function<bool(const model::Job&)> may_start;
    // Whether the job's team stays within its guarantee with one more task of the job.
    std::function<bool(const model::Job&)> within_guarantee;
    // The deadline that applies to the job.
    std::function<Deadline(const model::Job&)> deadline;
  };
  using Jobs = std::map<wire::JobId, model::Job*>;

  JobQueue(Settings settings, Callbacks callbacks);

  // Notes the size of an accepted job. Called once for each job, in any order, on every controller whether it
  // leads or not.
  void note_accepted(const model::Job& job) { largest_jobs_.add_accepted(job); }
  // Removes what belongs to a single term; called when a term begins or ends. The sizes of accepted jobs
  // stay.
  void reset();
  // Adds a job with tasks to place; no effect if it is in the queue already. The job must stay at its address
  // until remove().
  void enqueue(model::Job& job);
  void remove(const wire::JobId& id);
  // Adds `cores`, which may be negative, to the cores that batch tasks of the team's class hold.
  // `is_largest`: whether the tasks are of one of the largest jobs of the class.
  void adjust_allocated_cores(const fair_share::TeamClass& team_class, bool is_largest, double cores);
  // Updates the overload state with the cores that the plan wants and those of them that are unavailable.
  // Returns whether overload has just begun or ended.
  bool update_overload(double now, double wanted, double unavailable);
  bool is_overloaded() const { return overload_.is_overloaded(); }

  // The jobs that may start, in the order in which they should be placed. A full reordering takes place only
  // after an interval that grows with the number of jobs, which bounds its share of the processor time; jobs
  // that were enqueued since the last one are inserted at their places.
  const std::vector<Candidate>& ordered_candidates(CurrentTime time);
  // Seconds after which ordered_candidates() may return another order although no event was reported; 0 if
  // only an event can change the order.
  double reorder_delay_s() const { return reorder_delay_s_; }

  const Jobs& jobs() const { return jobs_; }
  model::Job* find(const wire::JobId& id) const;
  // Time until the first deadline that the job can still meet, in seconds; infinite if there is none.
  double time_to_deadline(const model::Job& job, double wall_s) const;
  // Whether the job is one of the largest of its class.
  bool is_among_largest(const model::Job& job) const { return largest_jobs_.contains(job); }
  // Whether the job, one of the largest of its class, has waited so long without any task started that a task
  // of it must start now.
  bool must_start(const model::Job& job, double wall_s) const;
  // Like must_start(), but also true for a job with finished tasks if none is assigned: a machine may be
  // reserved for it.
  bool is_overdue(const model::Job& job, double wall_s) const;
  // Cutoff of the job's deadline calendar (time of day), if it has one.
  std::optional<double> cutoff(const model::Job& job) const {
    return queue::cutoff(job, callbacks_.deadline(job));
  }

 private:
  Candidate make_candidate(const model::Job& job, double wall_s) const;
  // The entry that puts the first task of a candidate before all other batch jobs.
  static Candidate first_task_candidate(Candidate candidate);
  void insert_new_candidates(double wall_s);
  void reorder_all(double wall_s);
  // Replaces the slack of the batch jobs by their turns during overload.
  void assign_turns(double wall_s);

  Settings settings_;
  Callbacks callbacks_;
  Jobs jobs_;
  // Candidates of the jobs in `jobs_` and of jobs removed since the last reordering, by rising order key.
  std::vector<Candidate> order_;
  // Jobs that were enqueued since the order was last updated.
  std::set<wire::JobId> new_jobs_;
  // Time of the last full reordering, on the steady clock.
  double ordered_at_ = 0;
  double reorder_delay_s_ = 0;
  fair_share::OverloadDetector overload_;
  // Cores that running and starting batch tasks hold.
  fair_share::AllocatedCores allocated_cores_;
  LargestJobs largest_jobs_;
};

}  // namespace bankhill::queue
