// The kinds of transactions in the code, and days on which each of them is made.
#pragma once

#include <string>
#include <vector>

#include "sim/jobs.hpp"

namespace bankhill::sim {

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

inline bool ended(World& world, const SimJob& job) {
  return job.cancel_asked || world.doomed(job, world.now());
}

inline bool over(World& world, const SimJob& job) {
  if (!job.accepted) return false;
  if (ended(world, job)) return job.told_done || job.told_cancelled > 0;
  return job.told_done || job.spec.shape != wire::Shape::sweep;
}

inline std::string key_of(const wire::Json& write) { return write.value("write", write.value("delete", "")); }

struct Record {
  const char* name;
  std::string prefix;
  const char* what;  // "create", "update", "delete", or a job's phase
};

inline bool matches(const World& world, const Record& record, const wire::Json& write) {
  const auto key = key_of(write);
  if (!key.starts_with(record.prefix)) return false;
  const std::string what = record.what;
  if (what == "delete") return write.contains("delete");
  if (!write.contains("write")) return false;
  if (what == "create" || what == "update") return world.keys().contains(key) == (what == "update");
  return write["data"]["phase"] == what;
}

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

}  // namespace bankhill::sim
