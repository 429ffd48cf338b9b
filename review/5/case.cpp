// A service whose replicas are spread over two zones loses the machine of one: is that replica started again?
#include "world.hpp"

using namespace review;

int main(int, char** argv) {
  SiteOptions site;
  site.node_zones = {"bergen-rom", "voss-rom", "bergen-rom"};
  site.flavors = {{"smaboks", 4, 16, 0.23, 0.06, 20, {"bergen-rom", "voss-rom"}},
                  {"mellomboks", 8, 32, 0.47, 0.13, 35, {"bergen-rom"}}};
  site.teams = Json::parse(R"([{"name":"privat","cpus":72,"cpus_max":208,"gpus":0,"gpus_max":0},
    {"name":"naering","cpus":128,"cpus_max":424,"gpus":0,"gpus_max":0}])");
  World world(site, argv[1]);
  world.add_machine("mellomboks", "bergen-rom", false, 0.1);
  const auto voss = world.add_machine("smaboks", "voss-rom", false, 0.1).host;
  world.start_nodes();
  if (!world.run_until(15, [&] { return world.any_healthy(); })) world.leave(2, "no controller became healthy");
  world.run_until(world.now() + 3);
  auto body = World::job_body("job-000001", "portal", "privat", "daemon", "high", 2, 1, 2.3);
  body["scatter"] = true;
  auto& job = world.submit(body, 0);
  if (!world.run_until(25, [&] { return world.on_machines(job.id) == 2; })) world.leave(2, "the replicas do not run");
  world.run_until(world.now() + 3);
  if (trouble()) world.stop_machine(voss);
  const double end = world.now() + 90;
  int on = 2;
  while (world.now() < end) {
    world.run_until(world.now() + 0.5);
    const int now_on = world.on_machines(job.id);
    if (now_on != on) world.note(job.id + ": " + std::to_string(now_on) + " of 2 replicas run");
    on = now_on;
  }
  int asked = 0;
  for (const auto& [pool, count] : world.rentals_asked) {
    world.note("asked of the cloud in all: " + std::to_string(count) + " of " + pool);
    if (pool.find("voss-rom") != std::string::npos) asked += count;
  }
  if (on < 2) world.leave(1, "a replica was not started again in 90 s; machines asked for in its zone: " + std::to_string(asked));
  world.leave(0, "both replicas run");
}
