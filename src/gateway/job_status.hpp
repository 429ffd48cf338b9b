// What users are told of a job that was accepted.
#pragma once

#include "gateway/job_index.hpp"
#include "wire/messages.hpp"

namespace bankhill::gateway {

// The phase of `job` as `jobs` knows it, its counts of tasks, and why it is not running.
wire::Json job_status(const JobIndex& jobs, const wire::JobId& id, const KnownJob& job);

}  // namespace bankhill::gateway
