// The status of an accepted job, as users see it.
#pragma once

#include "gateway/job_index.hpp"
#include "wire/messages.hpp"

namespace bankhill::gateway {

// Returns the phase of `job` according to `jobs`, its numbers of done and running tasks and, if known, why it
// is not running.
wire::Json job_status(const JobIndex& jobs, const wire::JobId& id, const KnownJob& job);

}  // namespace bankhill::gateway
