// What found no machine so far while waiting tasks are placed: nothing that needs as much will find one
// either, and a comparison costs less than another search. Pure.
#pragma once

#include <vector>

#include "queue/job_queue.hpp"
#include "wire/messages.hpp"

namespace bankhill::leader {

class UnplaceableRequests {
 public:
  struct Request {
    wire::Resources resources;
    bool allows_preemptible = false;
    // Tasks that run for less may still find one: among what is reserved for others until then.
    double min_runtime_s = 0;
    // Tasks that rank above this may still find one: among the room that preemption made.
    wire::Priority max_priority = wire::Priority::production;
  };

  void add(const Request& request) { requests_.push_back(request); }
  // Whether a task of the job will find no machine either.
  bool cover(const queue::Candidate& job) const;

 private:
  std::vector<Request> requests_;
};

}  // namespace bankhill::leader
