// Which jobs are among the largest of their class, by tasks or by cores a task: a sketch of the sizes that
// came lately, of bounded size. Pure. It follows from the records of jobs alone, in whatever order they are
// read: every controller, and a leader after a crash of all, says the same. Source: docs/SHARES.md, "The
// largest".
#pragma once

#include <map>
#include <string>

#include "model/job.hpp"

namespace bankhill::queue {

// Sizes in steps of a twelfth, each with the weight of those that came, halved with each half-life of age.
class SizeSketch {
 public:
  void add(double size, double at, double half_life_s);
  // The parts of what came that are larger, and smaller, by a step at least; and the weight of all, where one
  // that has just come has 1.
  struct Rank {
    double larger = 0;
    double smaller = 0;
    double weight = 0;
  };
  Rank rank(double size) const;

 private:
  void age_to(double at, double half_life_s);

  std::map<int, double> steps_;
  double sum_ = 0;
  double at_ = 0;  // time of day of the youngest: the weights are as of then
};

class LargestJobs {
 public:
  // Of a class the `part` with the largest sizes counts; what came earlier than a half-life weighs half.
  LargestJobs(double part, double half_life_s) : part_(part), half_life_s_(half_life_s) {}

  // A job that was accepted, once. Services do not count.
  void came(const model::Job& job);
  bool is(const model::Job& job) const;

 private:
  struct Class {
    SizeSketch tasks;
    SizeSketch cores;  // a task
  };
  bool top(const SizeSketch& sketch, double size) const;

  double part_;
  double half_life_s_;
  std::map<std::string, Class> classes_;
};

}  // namespace bankhill::queue
