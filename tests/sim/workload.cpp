// Jobs drawn at random, alone and as graphs of dependencies.
#include "sim/simulated_cluster.hpp"
#include "sim/site.hpp"

namespace bankhill::sim {

void SimulatedCluster::submit_random() { submit(random_job()); }

SimJob SimulatedCluster::random_job() {
  SimJob job;
  auto& spec = job.spec;
  spec.job_class = "any";
  spec.team = chance(0.5) ? "red" : "blue";
  spec.kind = chance(0.25) ? wire::JobKind::service : wire::JobKind::array;
  spec.priority = static_cast<wire::Priority>(pick(4));
  spec.task_count =
      static_cast<std::uint32_t>(spec.kind == wire::JobKind::service ? 1 + pick(2) : 1 + pick(8));
  spec.request = {1.0 + pick(4), 0, 2.0 + pick(4)};
  if (chance(0.15)) {  // many small tasks of a team without guarantee or limit
    spec.team = "guest";
    spec.kind = wire::JobKind::array;
    spec.priority = wire::Priority::best_effort;
    spec.task_count = static_cast<std::uint32_t>(10 + pick(60));
    spec.request = {0.25, 0, 0.5};
  }
  if (chance(0.15)) spec.machine_types = std::vector<std::string>{"small"};
  if (chance(0.15)) spec.zone = zones()[static_cast<std::size_t>(pick(2))];
  if (!spec.zone && chance(0.15)) (chance(0.5) ? spec.zone_affinity : spec.zone_spread) = true;
  spec.allows_preemptible = spec.kind == wire::JobKind::array && chance(0.7);
  spec.image = chance(0.5) ? "img-1" : "img-2";
  spec.image_size_gb = 1.5;
  job.run_s = uniform(2, 15);
  spec.estimated_runtime_s = job.run_s * uniform(0.6, 1.4);
  if (chance(0.4)) spec.deadline_s = spec.estimated_runtime_s * 3;
  job.broken = chance(0.03);
  return job;
}

// A chain, a diamond or a fan of small jobs, its last one early, late or after the others, cancelled
// anywhere.
void SimulatedCluster::submit_pipeline() {
  const auto batch = [this] {
    auto job = random_job();
    job.spec.kind = wire::JobKind::array;
    job.spec.task_count = static_cast<std::uint32_t>(1 + pick(4));
    job.spec.deadline_s.reset();
    job.run_s = uniform(0.5, 6);
    job.spec.estimated_runtime_s = job.run_s;
    return job;
  };
  std::vector<wire::JobId> earlier;
  for (const auto& [job_id, job] : jobs_)
    if (job.accepted && job.spec.kind == wire::JobKind::array) earlier.push_back(job.spec.id);
  std::vector<wire::JobId> all;
  std::vector<std::vector<wire::JobId>> layers;
  const int depth = 2 + pick(3);
  for (int layer = 0; layer < depth; ++layer) {
    const int width = layer + 1 == depth ? 1 : 1 + pick(3);
    layers.emplace_back();
    for (int i = 0; i < width; ++i) {
      auto job = batch();
      auto& needs = job.spec.depends_on;
      if (layer > 0) {
        needs = layers[static_cast<std::size_t>(layer) - 1];
        if (needs.size() > 1 && chance(0.3) && layer + 1 < depth) needs.resize(1);
        if (chance(0.3)) needs.push_back(all[static_cast<std::size_t>(pick(static_cast<int>(all.size())))]);
      }
      if (!earlier.empty() && chance(0.25))
        needs.push_back(earlier[static_cast<std::size_t>(pick(static_cast<int>(earlier.size())))]);
      if (layer + 1 == depth) {
        job.late = chance(0.2);
        job.spec.priority = wire::Priority::high;
        job.spec.deadline_s = 60;
      }
      job.cancel_at_end = chance(0.08);
      const wire::JobId id{submit(std::move(job))};
      layers.back().push_back(id);
      all.push_back(id);
    }
  }
}

}  // namespace bankhill::sim
