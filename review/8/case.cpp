// More small tasks than usual come at once: can the machines still report?
#include "world.hpp"

using namespace review;

int main(int, char** argv) {
  SiteOptions site;
  site.node_zones = {"bergen-rom", "voss-rom", "bergen-rom"};
  site.flavors = {{"smaboks", 4, 16, 0.23, 0.06, 20, {"bergen-rom", "voss-rom"}},
                  {"storboks", 64, 256, 3.36, 0.86, 35, {"bergen-rom", "voss-rom"}}};
  site.teams = Json::parse(R"([{"name":"privat","cpus":72,"cpus_max":208,"gpus":0,"gpus_max":0},
    {"name":"naering","cpus":128,"cpus_max":424,"gpus":0,"gpus_max":0}])");
  World world(site, argv[1]);
  world.add_machine("storboks", "bergen-rom", false, 0.1);
  world.start_nodes();
  if (!world.run_until(15, [&] { return world.any_healthy(); })) world.leave(2, "no controller became healthy");
  world.run_until(world.now() + 3);
  const int batches = trouble() ? 5 : 1;
  for (int i = 0; i < batches; ++i) {
    auto body = World::job_body("job-00000" + std::to_string(1 + i), "enkeltsjekk", "naering", "sweep", "normal", 250, 0.05, 0.2);
    body["guess_s"] = 50.0;
    body["flavors"] = {"storboks"};
    world.submit(body, 50);
  }
  std::size_t most = 0;
  world.on_report = [&](Machine& machine, const Json& report) {
    if (report.dump().size() > most) {
      most = report.dump().size();
      world.note(machine.host + ": report of " + std::to_string(most) + " bytes, " + std::to_string(report["members"].size()) + " tasks");
    }
  };
  const auto all = [&] {
    for (const auto& [id, job] : world.jobs()) if (job.done_told_at < 0) return false;
    return true;
  };
  world.run_until(111, all);
  if (all()) world.leave(0, "all jobs done; longest report " + std::to_string(most) + " bytes");
  if (world.reports_too_long == 0) world.leave(2, "not done, though all reports could be sent");
  world.leave(1, "jobs of 50 s not done after 100 s; longest report " + std::to_string(most) + " bytes, " +
                     std::to_string(world.reports_too_long) + " reports too long to be sent");
}
