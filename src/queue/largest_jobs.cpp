#include "queue/largest_jobs.hpp"

#include <algorithm>
#include <cmath>

namespace bankhill::queue {

namespace {
constexpr double kSteps = 8;      // to a doubling
constexpr double kLeast = 1e-9;   // weight that is forgotten
constexpr double kMostAge = 200;  // half-lives, beyond which nothing weighs anything
constexpr double kSmaller = 0.5;  // part of a class that is smaller than its largest

int step_of(double size) { return static_cast<int>(std::floor(kSteps * std::log2(std::max(size, 1e-3)))); }
}  // namespace

// Records are read in any order: what is older than the youngest is added with the weight that it has by now.
void SizeSketch::age_to(double at, double half_life_s) {
  if (sum_ > 0 && at > at_) {
    const double rest = std::exp2(-std::min(kMostAge, (at - at_) / half_life_s));
    for (auto& [step, weight] : steps_) weight *= rest;
    std::erase_if(steps_, [](const auto& entry) { return entry.second < kLeast; });
    sum_ = 0;
    for (const auto& [step, weight] : steps_) sum_ += weight;
  }
  if (steps_.empty() || at > at_) at_ = at;
}

void SizeSketch::add(double size, double at, double half_life_s) {
  age_to(at, half_life_s);
  const double weight = std::exp2(-std::min(kMostAge, (at_ - at) / half_life_s));
  steps_[step_of(size)] += weight;
  sum_ += weight;
}

SizeSketch::Rank SizeSketch::rank(double size) const {
  Rank result;
  result.weight = sum_;
  if (sum_ <= 0) return result;
  const int step = step_of(size);
  for (const auto& [other, weight] : steps_) {
    if (other > step) result.larger += weight / sum_;
    if (other < step) result.smaller += weight / sum_;
  }
  return result;
}

void LargestJobs::came(const model::Job& job) {
  if (job.is_service()) return;
  auto& sizes = classes_[job.spec.job_class];
  sizes.tasks.add(job.spec.task_count, job.accepted_at, half_life_s_);
  sizes.cores.add(job.spec.request.cores, job.accepted_at, half_life_s_);
}

// Of equals none is the largest, unless so few came that a part of them is less than one.
bool LargestJobs::top(const SizeSketch& sketch, double size) const {
  const auto priority = sketch.rank(size);
  const bool few = priority.weight * part_ < 1;
  return few ? priority.larger <= 0 : priority.larger < part_ && priority.smaller >= kSmaller;
}

bool LargestJobs::is(const model::Job& job) const {
  const auto found = classes_.find(job.spec.job_class);
  if (job.is_service() || found == classes_.end()) return false;
  return top(found->second.tasks, job.spec.task_count) || top(found->second.cores, job.spec.request.cores);
}

}  // namespace bankhill::queue
