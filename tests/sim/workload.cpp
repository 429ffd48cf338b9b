// Jobs drawn at random, alone and as graphs of dependencies.
#include "sim/site.hpp"
#include "sim/world.hpp"

namespace bankhill::sim {

void World::submit_random() { submit(random_job()); }

SimJob World::random_job() {
  SimJob job;
  auto& spec = job.spec;
  spec.queue = "any";
  spec.owner = chance(0.5) ? "red" : "blue";
  spec.shape = chance(0.25) ? wire::Shape::daemon : wire::Shape::sweep;
  spec.rank = static_cast<wire::Rank>(pick(4));
  spec.members = static_cast<std::uint32_t>(spec.shape == wire::Shape::daemon ? 1 + pick(2) : 1 + pick(8));
  spec.need = {1.0 + pick(4), 0, 2.0 + pick(4)};
  if (chance(0.15)) {  // many small tasks of a team without guarantee or limit
    spec.owner = "guest";
    spec.shape = wire::Shape::sweep;
    spec.rank = wire::Rank::best_effort;
    spec.members = static_cast<std::uint32_t>(10 + pick(60));
    spec.need = {0.25, 0, 0.5};
  }
  if (chance(0.15)) spec.flavors = std::vector<std::string>{"small"};
  if (chance(0.15)) spec.rack_room = zones()[static_cast<std::size_t>(pick(2))];
  if (!spec.rack_room && chance(0.15)) (chance(0.5) ? spec.together : spec.scatter) = true;
  spec.reclaimable = spec.shape == wire::Shape::sweep && chance(0.7);
  spec.bundle = chance(0.5) ? "img-1" : "img-2";
  spec.size_gb = 1.5;
  job.run_s = uniform(2, 15);
  spec.guess_s = job.run_s * uniform(0.6, 1.4);
  if (chance(0.4)) spec.due_s = spec.guess_s * 3;
  job.broken = chance(0.03);
  return job;
}

// A chain, a diamond or a fan of small jobs, its last one early, late or after the others, cancelled
// anywhere.
void World::submit_pipeline() {
  const auto batch = [this] {
    auto job = random_job();
    job.spec.shape = wire::Shape::sweep;
    job.spec.members = static_cast<std::uint32_t>(1 + pick(4));
    job.spec.due_s.reset();
    job.run_s = uniform(0.5, 6);
    job.spec.guess_s = job.run_s;
    return job;
  };
  std::vector<wire::JobId> earlier;
  for (const auto& [uid, job] : jobs_)
    if (job.accepted && job.spec.shape == wire::Shape::sweep) earlier.push_back(job.spec.uid);
  std::vector<wire::JobId> all;
  std::vector<std::vector<wire::JobId>> layers;
  const int depth = 2 + pick(3);
  for (int layer = 0; layer < depth; ++layer) {
    const int width = layer + 1 == depth ? 1 : 1 + pick(3);
    layers.emplace_back();
    for (int i = 0; i < width; ++i) {
      auto job = batch();
      auto& needs = job.spec.waits_on;
      if (layer > 0) {
        needs = layers[static_cast<std::size_t>(layer) - 1];
        if (needs.size() > 1 && chance(0.3) && layer + 1 < depth) needs.resize(1);
        if (chance(0.3)) needs.push_back(all[static_cast<std::size_t>(pick(static_cast<int>(all.size())))]);
      }
      if (!earlier.empty() && chance(0.25))
        needs.push_back(earlier[static_cast<std::size_t>(pick(static_cast<int>(earlier.size())))]);
      if (layer + 1 == depth) {
        job.late = chance(0.2);
        job.spec.rank = wire::Rank::high;
        job.spec.due_s = 60;
      }
      job.cancel_at_end = chance(0.08);
      const wire::JobId id{submit(std::move(job))};
      layers.back().push_back(id);
      all.push_back(id);
    }
  }
}

}  // namespace bankhill::sim
