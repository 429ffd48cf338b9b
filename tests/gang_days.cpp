// Measures gang scheduling on simulated sites while machines fail: the fraction of time in which all tasks of
// a gang run, and how long repairs take. Runs the same failures with gang scheduling and with tasks that are
// placed one by one, and prints a table.
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

struct Result {
  // Fraction of time in which all tasks of a gang run, averaged over the gangs.
  double running_fraction = 0;
  // Average number of machines that are up.
  double machines = 0;
  // Average number of machines with a task of a gang of which not all tasks run.
  double partial_gang_machines = 0;
  // Times from the loss of a gang's task until all of its tasks run again, in seconds.
  std::vector<double> repairs;
  // Number of broken invariants.
  std::size_t violations = 0;
};

Result simulate(std::uint64_t seed, std::uint32_t gangs, double failure_interval_s, bool as_gang,
                double length_s) {
  SimulatedCluster cluster(seed, 3);
  cluster.spans["serve"] = kSpan;
  cluster.spanning = as_gang;
  cluster.cloud().offers_large = false;  // each task fills a machine of the small type
  cluster.cloud().machine_limit = static_cast<int>(gangs * kSpan * 4 / 3);
  for (int node = 0; node < cluster.nodes(); ++node) cluster.crash(node, 0);
  cluster.run(5);
  SimJob job;
  job.spec.job_class = "serve";
  job.spec.team = "guest";  // this team has no quota limit
  job.spec.kind = bankhill::wire::JobKind::service;
  job.spec.priority = bankhill::wire::Priority::production;
  job.spec.task_count = gangs * kSpan;
  job.spec.request = {3, 0, 2};
  job.spec.machine_types = std::vector<std::string>{"small"};
  job.spec.image = "weights";
  job.spec.image_size_gb = 1;
  job.kept = true;
  const auto job_id = cluster.submit(job);
  cluster.run(kWarmUpS);
  Result result;
  std::vector<double> down_since(gangs, -1);
  double steps = 0;
  double next_failure = cluster.now();
  // Failures follow a schedule of their own, so that both kinds of placement see the same number.
  std::mt19937_64 random(seed);
  while (cluster.now() < kWarmUpS + length_s) {
    if (failure_interval_s > 0 && cluster.now() >= next_failure) {
      next_failure += failure_interval_s;
      std::vector<bankhill::sim::SimMachine*> busy;
      for (auto& [host, machine] : cluster.machines())
        if (machine.up && !machine.dead && !machine.tasks.empty()) busy.push_back(&machine);
      if (!busy.empty()) busy[random() % busy.size()]->dead = true;
    }
    cluster.run(cluster.now() + kStepS);
    ++steps;
    for (const auto& [host, machine] : cluster.machines())
      result.machines += machine.up && !machine.dead ? 1 : 0;
    std::vector<std::size_t> running_tasks(gangs, 0);
    for (const auto& [host, machine] : cluster.machines())
      for (const auto& [task_id, task] : machine.tasks)
        if (machine.on(task_id, cluster.now(), 20)) ++running_tasks[task_id.index / kSpan];
    for (std::uint32_t i = 0; i < gangs; ++i) {
      if (running_tasks[i] == kSpan) {
        result.running_fraction += 1;
        if (down_since[i] >= 0) result.repairs.push_back(cluster.now() - down_since[i]);
        down_since[i] = -1;
      } else {
        result.partial_gang_machines += static_cast<double>(running_tasks[i]);
        if (down_since[i] < 0) down_since[i] = cluster.now();
      }
    }
  }
  result.running_fraction /= steps * gangs;
  result.partial_gang_machines /= steps;
  result.machines /= steps;
  result.violations = cluster.broken().size();
  std::sort(result.repairs.begin(), result.repairs.end());
  return result;
}

double percentile(const std::vector<double>& sorted, double fraction) {
  return sorted.empty()
             ? 0
             : sorted[std::min(sorted.size() - 1,
                               static_cast<std::size_t>(fraction * static_cast<double>(sorted.size())))];
}

}  // namespace

int main(int argc, char** argv) {
  const auto gangs = static_cast<std::uint32_t>(argc > 1 ? std::atoi(argv[1]) : 10);
  const double length_s = argc > 2 ? std::atof(argv[2]) : 300;
  const std::uint64_t seeds = argc > 3 ? static_cast<std::uint64_t>(std::atoi(argv[3])) : 2;
  std::printf("%u gangs of %u machines, %.0f s per run, seeds 1 to %d\n", gangs, kSpan, length_s,
              static_cast<int>(seeds));
  std::printf(
      "machine fails every | placement     | up    | repairs | median s | 99 %% s | held | machines\n");
  std::vector<double> failure_intervals_s = {60, 20, 10, 5};  // seconds between two machine failures
  if (argc > 4) failure_intervals_s = {std::atof(argv[4])};
  for (const double failure_interval_s : failure_intervals_s)
    for (const bool as_gang : {true, false}) {
      Result sum;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto result = simulate(seed, gangs, failure_interval_s, as_gang, length_s);
        sum.running_fraction += result.running_fraction / static_cast<double>(seeds);
        sum.partial_gang_machines += result.partial_gang_machines / static_cast<double>(seeds);
        sum.machines += result.machines / static_cast<double>(seeds);
        sum.repairs.insert(sum.repairs.end(), result.repairs.begin(), result.repairs.end());
        sum.violations += result.violations;
      }
      std::sort(sum.repairs.begin(), sum.repairs.end());
      std::printf("%17.0f s | %-13s | %.3f | %7zu | %8.1f | %6.1f | %4.1f | %8.1f%s\n", failure_interval_s,
                  as_gang ? "as a gang" : "one by one", sum.running_fraction, sum.repairs.size(),
                  percentile(sum.repairs, 0.5), percentile(sum.repairs, 0.99), sum.partial_gang_machines,
                  sum.machines, sum.violations > 0 ? "  INVARIANTS VIOLATED" : "");
      std::fflush(stdout);
    }
  return 0;
}
