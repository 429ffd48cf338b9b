// The start of a task is lost on its way to a machine that is then drained since tasks fail there. Once all is
// well, is the task started?
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
  const auto first = world.add_machine("nyolcmag", "budapest", false, 0.1).host;
  world.start_nodes();
  if (!world.run_until(15, [&] { return world.any_healthy(); })) world.leave(2, "no controller became healthy");
  world.run_until(world.now() + 3);
  const auto service = [&](const char* id, double cores) {
    world.submit(World::job_body(id, "kalkulator", "web", "daemon", "production", 1, cores, 4), 0);
  };
  const auto batch = [&](const char* id, double run_s) -> Job& {
    return world.submit(World::job_body(id, "frissites", "adat", "sweep", "normal", 1, 1, 4), run_s);
  };
  service("job-000001", 1);  // keeps the first machine in use
  if (!world.run_until(25, [&] { return world.on_machines("job-000001") == 1; })) world.leave(2, "the service does not run");
  world.run_until(world.now() + 1);
  auto& machine = world.machines().at(first);
  if (trouble()) {
    machine.sick = true;
    machine.fails_after_s = 2;
    world.note(first + ": fails every task that it starts");
  }
  batch("job-000002", 5);
  batch("job-000003", 5);
  if (!world.run_until(world.now() + 10, [&] { return world.on_machines("job-000002") + world.on_machines("job-000003") == 2; }))
    world.leave(2, "the two jobs do not run");
  if (trouble()) {
    machine.deaf_until = world.now() + 8;
    world.note(first + ": deaf for 8 s; its reports arrive");
  }
  world.run_until(world.now() + 0.8);
  auto& job = batch("job-000900", 5);
  world.run_until(world.now() + 8);
  if (machine.sick) world.note(first + ": is well again");
  machine.sick = false;
  world.note("all troubles are over");
  service("job-000004", 6);  // comes to another machine, which it keeps in use
  double beside_since = -1, longest = 0;
  const double end = world.now() + 96;
  while (world.now() < end && longest < 90 && job.completed.empty()) {
    world.run_until(world.now() + 0.2);
    std::string room;
    for (const auto& [host, each] : world.machines())
      if (host != first && world.takes(each, job)) room = host;
    if (room.empty() || world.active(job.id) > 0) beside_since = -1;
    else if (beside_since < 0) {
      beside_since = world.now();
      world.note(job.id + " waits; " + room + " has room for it");
    }
    if (beside_since >= 0) longest = std::max(longest, world.now() - beside_since);
  }
  if (job.accepted_at < 0) world.leave(2, "the job was not accepted");
  if (!job.completed.empty()) world.leave(0, "the job completed");
  if (longest >= 90) world.leave(1, "the job waited 90 s beside a machine that is well, fits and has room");
  world.leave(2, "neither; longest " + std::to_string(longest));
}
