// Jobs that scenarios submit; what differs is set on the result.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sim/simulated_cluster.hpp"

namespace bankhill::sim {

// Never cancelled by its user's own choice; each task takes `cores` and 2 GB.
inline SimJob kept_batch(std::uint32_t members, double cores, double run_s) {
  SimJob job;
  job.spec.job_class = "any";
  job.spec.team = "red";
  job.spec.task_count = members;
  job.spec.request = {cores, 0, 2};
  job.spec.image = "img-1";
  job.spec.image_size_gb = 1;
  job.spec.estimated_runtime_s = job.run_s = run_s;
  job.kept = true;
  return job;
}

// Such a service: its tasks run until they are stopped.
inline SimJob kept_service(std::uint32_t members, double cores) {
  auto job = kept_batch(members, cores, 0);
  job.spec.kind = wire::JobKind::service;
  return job;
}

// Those that take machines of the small type alone.

inline SimJob small_batch(std::uint32_t members, double cores, double run_s,
                          const std::string& team = "red") {
  auto job = kept_batch(members, cores, run_s);
  job.spec.team = team;
  job.spec.machine_types = std::vector<std::string>{"small"};
  return job;
}

inline SimJob small_service(std::uint32_t members, double cores) {
  auto job = small_batch(members, cores, 0);
  job.spec.kind = wire::JobKind::service;
  return job;
}

// A service of another team than the batches, and above them.
inline SimJob high_service(std::uint32_t members, double cores) {
  auto job = small_service(members, cores);
  job.spec.team = "blue";
  job.spec.priority = wire::Priority::high;
  return job;
}

// Tasks of so many cores each, one by default.
inline SimJob task_of(double cores, double run_s, std::uint32_t members = 1) {
  return small_batch(members, cores, run_s);
}

// The same as a service.
inline SimJob service_of(double cores, std::uint32_t members) { return small_service(members, cores); }

}  // namespace bankhill::sim
