// Measures replicas that span machines on simulated sites: the part of their time in which they are whole,
// and how long repairs take, while machines die, beside the same day placed member by member. Prints a table.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "sim/simulated_cluster.hpp"

namespace {

using bankhill::sim::SimJob;
using bankhill::sim::SimulatedCluster;

constexpr std::uint32_t kSpan = 4;
constexpr double kWarmUpS = 90;
constexpr double kStepS = 0.5;

struct Day {
  double whole = 0;             // part of the replicas' time
  double machines = 0;          // up, on average
  double held = 0;              // machines held by members of what is not whole, on average
  std::vector<double> repairs;  // seconds
  std::size_t broken = 0;
};

Day run(std::uint64_t seed, std::uint32_t replicas, double every_s, bool as_one, double length_s) {
  SimulatedCluster cluster(seed, 3);
  cluster.spans["serve"] = kSpan;
  cluster.spanning = as_one;
  cluster.cloud().offers_large = false;  // a member takes a machine either way
  cluster.cloud().machine_limit = static_cast<int>(replicas * kSpan * 4 / 3);
  for (int node = 0; node < cluster.nodes(); ++node) cluster.crash(node, 0);
  cluster.run(5);
  SimJob job;
  job.spec.job_class = "serve";
  job.spec.team = "guest";  // no limit
  job.spec.kind = bankhill::wire::JobKind::service;
  job.spec.priority = bankhill::wire::Priority::production;
  job.spec.task_count = replicas * kSpan;
  job.spec.request = {3, 0, 2};
  job.spec.machine_types = std::vector<std::string>{"small"};
  job.spec.image = "weights";
  job.spec.image_size_gb = 1;
  job.kept = true;
  const auto job_id = cluster.submit(job);
  cluster.run(kWarmUpS);
  Day day;
  std::vector<double> down(replicas, -1);
  double steps = 0;
  double next_death = cluster.now();
  // Deaths come from a clock of their own, so that both ways see as many.
  std::mt19937_64 random(seed);
  while (cluster.now() < kWarmUpS + length_s) {
    if (every_s > 0 && cluster.now() >= next_death) {
      next_death += every_s;
      std::vector<bankhill::sim::SimMachine*> busy;
      for (auto& [host, machine] : cluster.machines())
        if (machine.up && !machine.dead && !machine.tasks.empty()) busy.push_back(&machine);
      if (!busy.empty()) busy[random() % busy.size()]->dead = true;
    }
    cluster.run(cluster.now() + kStepS);
    ++steps;
    for (const auto& [host, machine] : cluster.machines())
      day.machines += machine.up && !machine.dead ? 1 : 0;
    std::vector<std::size_t> there(replicas, 0);
    for (const auto& [host, machine] : cluster.machines())
      for (const auto& [task_id, task] : machine.tasks)
        if (machine.on(task_id, cluster.now(), 20)) ++there[task_id.index / kSpan];
    for (std::uint32_t i = 0; i < replicas; ++i) {
      if (there[i] == kSpan) {
        day.whole += 1;
        if (down[i] >= 0) day.repairs.push_back(cluster.now() - down[i]);
        down[i] = -1;
      } else {
        day.held += static_cast<double>(there[i]);
        if (down[i] < 0) down[i] = cluster.now();
      }
    }
  }
  day.whole /= steps * replicas;
  day.held /= steps;
  day.machines /= steps;
  day.broken = cluster.broken().size();
  std::sort(day.repairs.begin(), day.repairs.end());
  return day;
}

double at(const std::vector<double>& sorted, double part) {
  return sorted.empty()
             ? 0
             : sorted[std::min(sorted.size() - 1,
                               static_cast<std::size_t>(part * static_cast<double>(sorted.size())))];
}

}  // namespace

int main(int argc, char** argv) {
  const auto replicas = static_cast<std::uint32_t>(argc > 1 ? std::atoi(argv[1]) : 10);
  const double length = argc > 2 ? std::atof(argv[2]) : 300;
  const std::uint64_t seeds = argc > 3 ? static_cast<std::uint64_t>(std::atoi(argv[3])) : 2;
  std::printf("%u replicas of %u machines, %.0f s a day, seeds 1 to %d\n", replicas, kSpan, length,
              static_cast<int>(seeds));
  std::printf(
      "a machine dies each | placed        | whole | repairs | median s | 99 %% s | held | machines\n");
  std::vector<double> rates = {60, 20, 10, 5};  // seconds between two deaths
  if (argc > 4) rates = {std::atof(argv[4])};
  for (const double every : rates)
    for (const bool as_one : {true, false}) {
      Day sum;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto day = run(seed, replicas, every, as_one, length);
        sum.whole += day.whole / static_cast<double>(seeds);
        sum.held += day.held / static_cast<double>(seeds);
        sum.machines += day.machines / static_cast<double>(seeds);
        sum.repairs.insert(sum.repairs.end(), day.repairs.begin(), day.repairs.end());
        sum.broken += day.broken;
      }
      std::sort(sum.repairs.begin(), sum.repairs.end());
      std::printf("%17.0f s | %-13s | %.3f | %7zu | %8.1f | %6.1f | %4.1f | %8.1f%s\n", every,
                  as_one ? "as one" : "one by one", sum.whole, sum.repairs.size(), at(sum.repairs, 0.5),
                  at(sum.repairs, 0.99), sum.held, sum.machines, sum.broken > 0 ? "  RULES BROKEN" : "");
      std::fflush(stdout);
    }
  return 0;
}
