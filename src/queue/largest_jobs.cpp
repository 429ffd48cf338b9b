#include "queue/largest_jobs.hpp"

#include <algorithm>
#include <cmath>

namespace bankhill::queue {

namespace {
constexpr double kStepsPerDoubling = 8;
// Steps of a lower weight are dropped.
constexpr double kNegligibleWeight = 1e-9;
// Age in half-lives beyond which a weight is practically 0.
constexpr double kMaxHalfLives = 200;
// Part of a class that has to be smaller than a job for it to count among the largest.
constexpr double kMinSmallerShare = 0.5;

int step_of(double size) {
  return static_cast<int>(std::floor(kStepsPerDoubling * std::log2(std::max(size, 1e-3))));
}
}  // namespace

// Records are read in any order: a job that is older than the newest one is added with its weight as of the
// newest one's time.
void SizeSketch::decay_to(double time_s, double half_life_s) {
  if (total_weight_ > 0 && time_s > newest_at_) {
    const double factor = std::exp2(-std::min(kMaxHalfLives, (time_s - newest_at_) / half_life_s));
    for (auto& [step, weight] : step_weights_) weight *= factor;
    std::erase_if(step_weights_, [](const auto& entry) { return entry.second < kNegligibleWeight; });
    total_weight_ = 0;
    for (const auto& [step, weight] : step_weights_) total_weight_ += weight;
  }
  if (step_weights_.empty() || time_s > newest_at_) newest_at_ = time_s;
}

void SizeSketch::add(double size, double accepted_at, double half_life_s) {
  decay_to(accepted_at, half_life_s);
  const double weight = std::exp2(-std::min(kMaxHalfLives, (newest_at_ - accepted_at) / half_life_s));
  step_weights_[step_of(size)] += weight;
  total_weight_ += weight;
}

SizeSketch::Rank SizeSketch::rank(double size) const {
  Rank result;
  result.total_weight = total_weight_;
  if (total_weight_ <= 0) return result;
  const int step = step_of(size);
  for (const auto& [other_step, weight] : step_weights_) {
    if (other_step > step) result.larger_share += weight / total_weight_;
    if (other_step < step) result.smaller_share += weight / total_weight_;
  }
  return result;
}

void LargestJobs::add_accepted(const model::Job& job) {
  if (job.is_service()) return;
  auto& sizes = classes_[job.spec.job_class];
  sizes.task_counts.add(job.spec.task_count, job.accepted_at, half_life_s_);
  sizes.cores_per_task.add(job.spec.request.cores, job.accepted_at, half_life_s_);
}

// Among jobs of equal size none counts as one of the largest, unless the class has so few jobs that
// `largest_part_` of them is less than one job.
bool LargestJobs::is_in_largest_part(const SizeSketch& sketch, double size) const {
  const auto rank = sketch.rank(size);
  const bool few_jobs = rank.total_weight * largest_part_ < 1;
  return few_jobs ? rank.larger_share <= 0
                  : rank.larger_share < largest_part_ && rank.smaller_share >= kMinSmallerShare;
}

bool LargestJobs::contains(const model::Job& job) const {
  const auto found = classes_.find(job.spec.job_class);
  if (job.is_service() || found == classes_.end()) return false;
  return is_in_largest_part(found->second.task_counts, job.spec.task_count) ||
         is_in_largest_part(found->second.cores_per_task, job.spec.request.cores);
}

}  // namespace bankhill::queue
