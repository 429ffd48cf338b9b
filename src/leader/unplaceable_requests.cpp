#include "leader/unplaceable_requests.hpp"

#include <algorithm>

namespace bankhill::leader {

bool UnplaceableRequests::cover(const queue::Candidate& job) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const Request& request) {
    return request.resources.fits(job.request) && (request.allows_preemptible || !job.allows_preemptible) &&
           job.estimated_runtime_s >= request.min_runtime_s && job.priority <= request.max_priority;
  });
}

}  // namespace bankhill::leader
