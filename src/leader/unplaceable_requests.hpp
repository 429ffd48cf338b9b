// Requests that found no machine in the current placement pass. A job that needs at least as much will find
// none either, and comparing requests costs less than another search. Pure: no input, output or clocks.
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
    // Tasks with a shorter run time than this may still be placed, on a machine reserved for a later start.
    double min_runtime_s = 0;
    // Tasks with a priority above this may still be placed, in resources freed by preemption.
    wire::Priority max_priority = wire::Priority::production;
  };

  void add(const Request& request) { requests_.push_back(request); }
  // Whether a task of the job will find no machine either.
  bool covers(const queue::Candidate& candidate) const;

 private:
  std::vector<Request> requests_;
};

}  // namespace bankhill::leader
