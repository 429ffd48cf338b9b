// The order of waiting work: which ready job is next. It owns what decides that; the leader tells it what
// changes and asks who is next. Sources: the paper's Algorithm 4 (4.2.1); docs/DESIGN.md, "Order";
// docs/SHARES.md, "Order in overload". No input or output; times are told with each call.
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

// Why a job waits, until more is known.
inline const std::string kNoMachineHasRoom = "no machine has room yet";
// Where no more wait than this, each is looked at and told its reason by that.
constexpr std::size_t kCandidatesTried = 16;

struct Time {
  double now = 0;   // steady clock, seconds
  double wall = 0;  // time of day, seconds
};

// Where a job stands: the first member that differs decides, the lower goes first.
struct OrderKey {
  bool batch = false;
  bool may_wait = true;  // false: has waited for so long that one task of it is started before all others
  bool borrows = false;  // beyond its team's guarantee
  double rest = 0;       // slack in seconds, or its turn in overload
  double age = 0;        // time of day from when its waiting counts
  auto operator<=>(const OrderKey&) const = default;
};

struct Candidate {  // a job with tasks to place, as it was when they were last put in order
  OrderKey order_key;
  wire::JobId id;
  wire::Resources request;
  bool allows_preemptible = false;
  double estimated_runtime_s = 0;
  bool first_task_only = false;  // this is for its first task; the others stand at another place
  wire::Priority priority = wire::Priority::best_effort;  // its own
};

class JobQueue {
 public:
  struct Settings {
    double control_interval_s = 3;
    double round_s = 15;
    Objectives objectives;
    std::map<std::string, double> weights;  // teams' shares in overload (fair_share/fair_share_order.hpp)
    double begin_within_s = 240;            // in which the largest of a class should begin
    double largest_share = 0.5;             // part of the largest of a class that should be served
  };
  // What only the leader knows.
  struct Callbacks {
    std::function<bool(const model::Job&)> may_start;         // now
    std::function<bool(const model::Job&)> within_guarantee;  // with one more task its team still is
    std::function<Deadline(const model::Job&)> deadline;
  };
  using Jobs = std::map<wire::JobId, model::Job*>;

  JobQueue(Settings settings, Callbacks facts);

  // A job was accepted, whoever leads: each is told once, in any order.
  void note_accepted(const model::Job& job) { largest_.came(job); }
  // A term begins or ends: what is known is of another.
  void reset();
  // A job has tasks to place, or has more. It must stay where it is until it leaves.
  void enqueue(model::Job& job);
  void remove(const wire::JobId& id);
  // A team's tasks of a class hold so many cores more, or less.
  void adjust_allocated_cores(const fair_share::Party& party, bool largest, double cores);
  // Cores that the plan wants and those of them that cannot be had; says whether overload has just begun or
  // ended.
  bool update_overload(double now, double wanted, double lacking);
  bool is_overloaded() const { return overload_.on(); }

  // Those that may start, best first. Put in order anew when that is worth its time, so that it takes a
  // bounded part of the processor however many wait; in between those are added that have become ready since.
  const std::vector<Candidate>& ordered_candidates(Time time);
  // Seconds after which asking again may show another order, although nothing was told; 0: at the next event.
  double reorder_delay_s() const { return again_s_; }

  const Jobs& jobs() const { return jobs_; }
  model::Job* find(const wire::JobId& id) const;
  double time_to_deadline(const model::Job& job, double wall) const;
  bool is_among_largest(const model::Job& job) const { return largest_.is(job); }
  // Whether it has waited for so long without a task of it started that it must begin now: it is among the
  // largest of its class.
  bool must_begin(const model::Job& job, double wall) const;
  // The same of one that has none running, also if some are done: it is owed room.
  bool is_overdue(const model::Job& job, double wall) const;
  std::optional<double> cutoff(const model::Job& job) const {
    return queue::cutoff(job, facts_.deadline(job));
  }

 private:
  Candidate candidate(const model::Job& job, double wall) const;
  static Candidate first_task(Candidate candidate);
  void add_new(double wall);
  void order_all(double wall);
  void take_turns(double wall);

  Settings settings_;
  Callbacks facts_;
  Jobs jobs_;
  std::vector<Candidate> order_;  // of jobs_, rising
  std::set<wire::JobId> new_;     // since they were put in order
  double ordered_at_ = 0;         // steady clock
  double again_s_ = 0;
  fair_share::OverloadDetector overload_;
  fair_share::Held held_;  // cores of batch tasks bound
  LargestJobs largest_;
};

}  // namespace bankhill::queue
