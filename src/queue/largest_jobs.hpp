// Determines which jobs are among the largest of their class, by number of tasks or by cores per task, from a
// sketch of bounded size of the recently accepted jobs' sizes. The result follows from the stored job records
// alone, in whatever order they are read, so that all controllers agree, also a new leader after a crash of
// all controllers. Pure: no input, output or clocks. Source: docs/SHARES.md, "The largest".
#pragma once

#include <map>
#include <string>

#include "model/job.hpp"

namespace bankhill::queue {

// Histogram of sizes with logarithmic steps of about 9 %. A size weighs 1 when it is added; its weight is
// halved with each half-life of age.
class SizeSketch {
 public:
  // Adds the size of a job that was accepted at that time of day, in seconds.
  void add(double size, double accepted_at, double half_life_s);
  struct Rank {
    // Weighted shares of the sizes that are larger, and smaller, by at least one step.
    double larger_share = 0;
    double smaller_share = 0;
    // Weight of all sizes together.
    double total_weight = 0;
  };
  Rank rank(double size) const;

 private:
  // Reduces the weights to what they are at that time of day, if it is later than `newest_at_`.
  void decay_to(double time_s, double half_life_s);

  // Total weight of the sizes in each step, by step number.
  std::map<int, double> step_weights_;
  double total_weight_ = 0;
  // Time of day when the newest size was added; the weights are as of this time.
  double newest_at_ = 0;
};

class LargestJobs {
 public:
  // `largest_part`: the part of each class, from the largest down, that counts as its largest jobs. A job
  // that was accepted a half-life ago weighs half as much as a new one.
  LargestJobs(double largest_part, double half_life_s)
      : largest_part_(largest_part), half_life_s_(half_life_s) {}

  // Adds the sizes of an accepted job; called once for each job. Services do not count.
  void add_accepted(const model::Job& job);
  // Whether the job is among the largest of its class.
  bool contains(const model::Job& job) const;

 private:
  struct ClassSizes {
    SizeSketch task_counts;
    SizeSketch cores_per_task;
  };
  bool is_in_largest_part(const SizeSketch& sketch, double size) const;

  double largest_part_;
  double half_life_s_;
  std::map<std::string, ClassSizes> classes_;
};

}  // namespace bankhill::queue
