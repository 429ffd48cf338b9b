#include "leader/unplaceable_requests.hpp"

#include <algorithm>

namespace bankhill::leader {

bool UnplaceableRequests::covers(const queue::Candidate& candidate) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const Request& request) {
    return request.resources.fits(candidate.request) &&
           (request.allows_preemptible || !candidate.allows_preemptible) &&
           candidate.estimated_runtime_s >= request.min_runtime_s &&
           candidate.priority <= request.max_priority;
  });
}

}  // namespace bankhill::leader
