// The status of an accepted job, as users see it.
#pragma once

#include <variant>

#include "gateway/job_index.hpp"
#include "gateway/progress_sync.hpp"
#include "wire/messages.hpp"

namespace bankhill::gateway {

// Returns the phase of `job` according to `jobs`, its numbers of done and running tasks and, if known, why it
// is not running; or why nothing can be told of its tasks now.
std::variant<wire::Json, ProgressGap> job_status(const JobIndex& jobs, const ProgressSync& progress,
                                                 const wire::JobId& id, const KnownJob& job);

}  // namespace bankhill::gateway
