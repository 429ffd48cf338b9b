// Jobs that scenarios submit; what differs is set on the result.
#pragma once

#include "sim/world.hpp"

namespace bankhill::sim {

// Never cancelled by its user's own choice; each task takes `cores` and 2 GB.
inline SimJob kept_batch(std::uint32_t members, double cores, double run_s) {
  SimJob job;
  job.spec.queue = "any";
  job.spec.owner = "red";
  job.spec.members = members;
  job.spec.need = {cores, 0, 2};
  job.spec.bundle = "img-1";
  job.spec.size_gb = 1;
  job.spec.guess_s = job.run_s = run_s;
  job.kept = true;
  return job;
}

inline SimJob kept_service(std::uint32_t members, double cores) {
  auto job = kept_batch(members, cores, 0);
  job.spec.shape = wire::Shape::daemon;
  return job;
}

}  // namespace bankhill::sim
