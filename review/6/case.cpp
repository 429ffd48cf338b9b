// Machines that fail every task for a while: do all replicas of a service run once they are well again?
#include "world.hpp"

using namespace review;

int main(int, char** argv) {
  SiteOptions site;
  site.node_zones = {"budapest", "budapest", "budapest"};
  site.flavors = {{"nyolcmag", 8, 64, 0.39, 0.11, 35, {"budapest"}}};
  site.teams = Json::parse(R"([{"name":"web","cpus":72,"cpus_max":144,"gpus":0,"gpus_max":0},
    {"name":"adat","cpus":48,"cpus_max":88,"gpus":0,"gpus_max":0}])");
  site.lease_s = 42;
  site.cancel_s = 67;
  site.state_rps = 150;
  site.write_rps = 50;
  site.value_kb = 32;
  site.txn_ops = 24;
  site.cloud_rps = 8;
  site.list_lag_s = 10;
  World world(site, argv[1]);
  // As at the site: six machines are up at the start.
  for (int i = 0; i < 6; ++i) {
    auto& machine = world.add_machine("nyolcmag", "budapest", false, 0.1);
    machine.sick = trouble() && i < 3;
    if (machine.sick) world.note(machine.host + ": fails every task from now on");
  }
  world.start_nodes();
  if (!world.run_until(15, [&] { return world.any_healthy(); })) world.leave(2, "no controller became healthy");
  world.run_until(world.now() + 3);
  auto& job = world.submit(World::job_body("job-000001", "kalkulator", "web", "daemon", "production", 4, 4, 15), 0);
  world.run_until(world.now() + 8);
  for (auto& [host, machine] : world.machines())
    if (machine.sick) {
      machine.sick = false;
      world.note(host + ": is well again");
    }
  // Another team's small service keeps one machine in use that has room for a replica.
  world.submit(World::job_body("job-000002", "kalkulator", "adat", "daemon", "production", 1, 1, 4), 0);
  world.run_until(world.now() + 2);
  world.note("all troubles are over");
  double beside_since = -1, longest = 0;
  const double end = world.now() + 94;
  int before = -1;
  while (world.now() < end) {
    world.run_until(world.now() + 0.2);
    const int active = world.active(job.id);
    if (active != before) {
      world.note(job.id + ": " + std::to_string(active) + " of 4 tasks on machines");
      beside_since = -1;
    }
    before = active;
    if (active == 4) break;
    bool room = false;
    for (const auto& [host, machine] : world.machines()) room = room || world.takes(machine, job);
    if (!room) beside_since = -1;
    if (room && beside_since < 0) beside_since = world.now();
    if (room) longest = std::max(longest, world.now() - beside_since);
  }
  if (job.accepted_at < 0) world.leave(2, "the service was not accepted");
  if (longest >= 90) world.leave(1, std::to_string(4 - before) + " of 4 tasks waited 90 s beside room, no trouble left");
  if (before == 4) world.leave(0, "all tasks run");
  world.leave(2, "neither");
}
