// When jobs are due, and how long they can wait without becoming late. This is the only place that decides
// when a job is due. Pure: no input, output or clocks. Sources: the paper's 4.2 ("slack"); docs/DESIGN.md,
// "Order".
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/job.hpp"

namespace bankhill::queue {

// Service-level objectives for when jobs should be done, by class of jobs.
struct Objectives {
  // Times within which jobs of the class should be done once they are eligible, in seconds, rising.
  std::map<std::string, std::vector<double>> completion_targets_s;
  // Multiples of the jobs' own deadlines within which jobs of the class should be done, rising.
  std::map<std::string, std::vector<double>> deadline_multiples;
};

// Which job's deadline applies to a job: in a pipeline, that of the last job.
struct Deadline {
  // The last job of the pipeline; null if the job's own deadline applies.
  const model::Job* last_job = nullptr;
  // Estimated time between the end of the job and the end of the last job, in seconds.
  double downstream_s = 0;
};

// Estimated run time of one of the job's tasks, in seconds.
inline double estimated_runtime_s(const model::Job& job) { return job.spec.estimated_runtime_s; }

// The cutoff (time of day) from the deadline calendar of the job's tenant; in a pipeline, that of the last
// job.
std::optional<double> cutoff(const model::Job& job, const Deadline& deadline);

// Time until the first of the job's deadlines that it can still meet, in seconds; infinite if there is none.
// A cutoff that is earlier and can be met replaces that deadline: calendars affect the order in no other way.
// `wall_s`: time of day.
double time_to_deadline(const Objectives& objectives, const model::Job& job, const Deadline& deadline,
                        double wall_s);

// Time for which the job can wait without missing that deadline, in seconds: 0 for a service, the largest
// number for a job that can meet no deadline or has none.
double slack(const Objectives& objectives, const model::Job& job, const Deadline& deadline, double wall_s);

}  // namespace bankhill::queue
