// A service of several replicas; one machine after another fails the tasks that it starts, one at a time.
// Arguments: folder for the settings and logs, path of record.txt, 1 with the sick machines or 0 without.
#include "site.hpp"

using namespace review;

namespace {
constexpr int kReplicas = 6;
constexpr double kSickS = 2.5;
constexpr double kWaitS = 90;  // "no job is left waiting for 90 s while a machine that fits has room"

Setup lakaskalk() {
  Setup setup;
  setup.zones = {"budapest", "budapest", "budapest"};
  setup.teams = {{"web", 72, 144}, {"adat", 48, 88}, {"tanacsado", 56, 184}, {"kutatas", 72, 272}};
  setup.types = {{"nyolcmag", 8, 64, 0.39, 0.11, 10, 1.0, {"budapest"}, 22}};
  setup.lease_s = 42;
  setup.cancel_s = 67;
  setup.rps = 150;
  setup.write_rps = 50;
  setup.value_kb = 32;
  setup.txn_ops = 24;
  setup.cloud_rps = 8;
  setup.list_lag_s = 10;
  return setup;
}
}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  const bool trouble = std::string(argv[3]) != "0";
  Site site(lakaskalk(), argv[1], argv[2]);
  site.log_requests = true;
  const auto finish = [&](int code, const std::string& text) {
    site.log("result: %s", text.c_str());
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
    site.end();
    _exit(code);
  };
  // Machines are rented as they are needed and come up one after another.
  site.cloud.boot_time = [](int number) { return 1.5 + 3.0 * std::min(number - 1, 4); };
  site.start_all();
  if (!site.until(15, [&] { return site.healthy_count() == 3; })) finish(2, "the site did not start");

  JobSpec service;
  service.id = "job-000001";
  service.shape = "daemon";
  service.queue = "kalkulator";
  service.owner = "web";
  service.rank = "production";
  service.reclaimable = false;
  service.members = kReplicas;
  service.cores = 4;
  service.ram_gb = 15;
  service.size_gb = 0.2;

  // The trouble: a machine on which a replica starts fails every task that it starts, for some seconds; then it
  // is well. Three machines in turn, never two at once.
  std::set<std::string> sick_machines;
  Worker* sick = nullptr;
  double over = trouble ? -1 : 0;
  site.on_start = [&](Worker& worker, const std::string&) {
    if (!trouble || sick != nullptr || sick_machines.size() == 3 || sick_machines.contains(worker.host)) return;
    sick = &worker;
    worker.sick = true;
    sick_machines.insert(worker.host);
    site.log("trouble: machine %s fails every task that it starts", worker.host.c_str());
    site.later(kSickS, [&] {
      sick->sick = false;
      site.log("trouble: machine %s is well again", sick->host.c_str());
      sick = nullptr;
      if (sick_machines.size() == 3) over = site.now();
    });
  };
  site.submit(service);
  if (trouble && !site.until(45, [&] { return over >= 0; }))
    finish(2, "the service did not start on three machines");
  if (!trouble) {
    if (!site.until(30, [&] { return site.places(service.id).size() == kReplicas; })) finish(2, "the service did not start");
    over = site.now();
  }
  site.log("trouble is over");

  // Since when a replica waits beside a machine that fits, has room for it and is well.
  // A start of any replica counts anew.
  double waits_since = over;
  double longest = 0;
  long starts = site.starts;
  while (longest <= kWaitS && site.now() < over + kWaitS + 10) {
    site.pass(0.1);
    if (std::exchange(starts, site.starts) != site.starts) waits_since = site.now();
    int with_room = 0;
    for (const auto& [host, machine] : site.cloud.machines)
      with_room += machine->up && !machine->gone && !machine->sick && machine->used_cores() + service.cores <= machine->type.cores;
    if (site.places(service.id).size() == kReplicas || with_room == 0) waits_since = site.now();
    longest = std::max(longest, site.now() - waits_since);
    if (!trouble && site.now() > over + 60) break;
  }
  for (const auto& [member, machine] : site.places(service.id))
    site.log("at the end %s is on %s", member.c_str(), machine->host.c_str());
  for (const auto& [host, machine] : site.cloud.machines)
    if (machine->up && !machine->gone)
      site.log("at the end machine %s: %.0f of %.0f cores used", host.c_str(), machine->used_cores(), machine->type.cores);
  site.user_request(0, Method::get, "/submissions/" + service.id, "", 2, [](Response) {});
  site.pass(0.3);
  char text[200];
  std::snprintf(text, sizeof text, "%zu of %d replicas run; others waited %.1f s beside machines with room",
                site.places(service.id).size(), kReplicas, longest);
  if (longest > kWaitS) finish(1, std::string("BROKEN: ") + text);
  finish(0, std::string("held: ") + text);
}
