// When a job should be over, and how long it can wait. Pure: no input, output or clocks. Source: the paper's
// 4.2 ("slack"); docs/DESIGN.md, "Order". The one place that decides a due time.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/job.hpp"

namespace bankhill::queue {

// The objectives, by class of jobs.
struct Objectives {
  std::map<std::string, std::vector<double>> within_s;  // times in which its jobs should be done, rising
  std::map<std::string, std::vector<double>> deadline_times;  // multiples of their own deadlines, rising
};

// Whose deadline counts for a job: in a pipeline the last one's.
struct Deadline {
  const model::Job* last = nullptr;  // nothing: the job itself
  double rest_s = 0;                 // from the end of the job to the end of that one
};

// Estimated run time of one of its tasks.
inline double estimated_runtime_s(const model::Job& job) { return job.spec.estimated_runtime_s; }

// The cutoff of its tenant's calendar (time of day), in a pipeline that of the last job.
std::optional<double> cutoff(const model::Job& job, const Deadline& deadline);

// Time left until the first of the job's deadlines that it can still meet; infinite if there is none. A
// cutoff that can be met and is earlier takes its place: all that calendars change in the order. `wall` is
// the time of day.
double time_to_deadline(const Objectives& goals, const model::Job& job, const Deadline& deadline,
                        double wall);

// What it can wait without missing that. Services have 0, jobs that are due no more the largest.
double slack(const Objectives& goals, const model::Job& job, const Deadline& deadline, double wall);

}  // namespace bankhill::queue
