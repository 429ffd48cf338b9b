// The kinds of transactions in the code, and days on which each of them is made.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "sim/jobs.hpp"
#include "sim/scenario.hpp"

namespace bankhill::sim {

// A batch of small tasks that begins when the jobs that it needs are done.
inline SimJob batch(std::uint32_t members, double run_s, std::vector<std::string> needs = {}) {
  auto job = kept_batch(members, 1, run_s);
  job.spec.need.ram_gb = 1;
  for (auto& need : needs) job.spec.waits_on.push_back({std::move(need)});
  return job;
}

// Jobs of all kinds: some end, some are cancelled, with what waits for them.
inline void submit_some(World& world) {
  const auto first = world.submit(batch(3, 4));
  world.submit(batch(2, 2, {first}));
  const auto cancelled = world.submit(batch(2, 60));
  const auto doomed = world.submit(batch(1, 1, {cancelled}));
  auto wide = batch(12, 3);  // its tasks end at different times, on several machines
  wide.spec.need.cores = 4;
  world.submit(wide);
  auto service = batch(2, 0);
  service.spec.shape = wire::Shape::daemon;
  world.submit(service);
  for (auto* job : {&world.jobs().at(cancelled), &world.jobs().at(doomed)}) job->kept = false;
  world.at(world.now() + world.uniform(3, 12), [&world, cancelled] { world.cancel(cancelled); });
}

// Whether a job ends before it is done: its user or that of a job it needs cancelled.
inline bool ended(World& world, const SimJob& job) {
  return job.cancel_asked || world.doomed(job, world.now());
}

// Whether nothing more is to come of a job; a service that nobody cancelled is there to stay.
inline bool over(World& world, const SimJob& job) {
  if (!job.accepted) return false;
  if (ended(world, job)) return job.told_done || job.told_cancelled > 0;
  return job.told_done || job.spec.shape != wire::Shape::sweep;
}

inline bool all_over(World& world) {
  return std::all_of(world.jobs().begin(), world.jobs().end(),
                     [&world](const auto& entry) { return over(world, entry.second); });
}

// Runs until all jobs are over, or for so long.
inline void run_until_all_over(World& world, double within_s) {
  constexpr double kLookS = 5;
  run_until(
      world, world.now() + within_s, [&world] { return all_over(world); }, kLookS);
}

// The key that a write of a transaction is about.
inline std::string key_of(const wire::Json& write) { return write.value("write", write.value("delete", "")); }

// A kind of write to a kind of record.
struct Record {
  const char* name;
  std::string prefix;
  const char* what;  // "create", "update", "delete", or a job's phase
};

// Whether a write is of that kind, as the state service stands before it.
inline bool matches(const World& world, const Record& record, const wire::Json& write) {
  const auto key = key_of(write);
  if (!key.starts_with(record.prefix)) return false;
  const std::string what = record.what;
  if (what == "delete") return write.contains("delete");
  if (!write.contains("write")) return false;
  if (what == "create" || what == "update") return world.keys().contains(key) == (what == "update");
  return write["data"]["phase"] == what;
}

// All kinds of writes that controllers make.
inline std::vector<Record> records() {
  return {{"acceptance", wire::kJobs, "accepted"},
          {"withdrawal", wire::kJobs, "cancelled"},
          {"done", wire::kJobs, "done"},
          {"group_created", wire::kMachines, "create"},
          {"group_changed", wire::kMachines, "update"},
          {"group_deleted", wire::kMachines, "delete"},
          {"rental_created", wire::kRentals, "create"},
          {"rental_changed", wire::kRentals, "update"},
          {"rental_deleted", wire::kRentals, "delete"},
          {"bucket_created", wire::kFinished, "create"},
          {"bucket_changed", wire::kFinished, "update"},
          {"bucket_deleted", wire::kFinished, "delete"},
          {"bounds", wire::kBoundsKey, "update"},
          {"catalogue", wire::kCatalogueKey, "create"},
          {"win", wire::kLeaderKey, "create"},
          {"term_raised", wire::kLeaderKey, "update"},
          {"policy", wire::kPolicyKey, "update"},
          {"tenant_deleted", wire::kPolicies, "delete"}};
}

// What an operator deploys; the second version has a tenant less.
inline std::string policy_file(int version) {
  const auto text =
      "tenants:\n  version: " + std::to_string(version) + "\n  teams:\n    red:\n      spans: { other: 2 }\n";
  return version == 1 ? text + "    blue:\n      spans: { other: 2 }\n" : text;
}

// All controllers boot with the first version; at 20 s one of them comes back with the second.
inline void deploy_policies(World& world) {
  deploy_policy(world, policy_file(1));
  world.at(20, [&world] {
    world.operator_files[1] = policy_file(2);
    world.crash(1, 0.5);
  });
}

}  // namespace bankhill::sim
