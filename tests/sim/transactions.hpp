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
  job.spec.request.ram_gb = 1;
  for (auto& need : needs) job.spec.depends_on.push_back({std::move(need)});
  return job;
}

// Jobs of all kinds: some end, some are cancelled, with what waits for them.
inline void submit_some(SimulatedCluster& cluster) {
  const auto first = cluster.submit(batch(3, 4));
  cluster.submit(batch(2, 2, {first}));
  const auto cancelled = cluster.submit(batch(2, 60));
  const auto doomed = cluster.submit(batch(1, 1, {cancelled}));
  auto wide = batch(12, 3);  // its tasks end at different times, on several machines
  wide.spec.request.cores = 4;
  cluster.submit(wide);
  auto service = batch(2, 0);
  service.spec.kind = wire::JobKind::service;
  cluster.submit(service);
  for (auto* job : {&cluster.jobs().at(cancelled), &cluster.jobs().at(doomed)}) job->kept = false;
  cluster.at(cluster.now() + cluster.uniform(3, 12), [&cluster, cancelled] { cluster.cancel(cancelled); });
}

// Whether a job ends before it is done: its user or that of a job it needs cancelled.
inline bool ended(SimulatedCluster& cluster, const SimJob& job) {
  return job.cancel_asked || cluster.doomed(job, cluster.now());
}

// Whether nothing more is to come of a job; a service that nobody cancelled is there to stay.
inline bool over(SimulatedCluster& cluster, const SimJob& job) {
  if (!job.accepted) return false;
  if (ended(cluster, job)) return job.told_done || job.told_cancelled > 0;
  return job.told_done || job.spec.kind != wire::JobKind::array;
}

inline bool all_over(SimulatedCluster& cluster) {
  return std::all_of(cluster.jobs().begin(), cluster.jobs().end(),
                     [&cluster](const auto& entry) { return over(cluster, entry.second); });
}

// Runs until all jobs are over, or for so long.
inline void run_until_all_over(SimulatedCluster& cluster, double within_s) {
  constexpr double kLookS = 5;
  run_until(
      cluster, cluster.now() + within_s, [&cluster] { return all_over(cluster); }, kLookS);
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
inline bool matches(const SimulatedCluster& cluster, const Record& record, const wire::Json& write) {
  const auto key = key_of(write);
  if (!key.starts_with(record.prefix)) return false;
  const std::string what = record.what;
  if (what == "delete") return write.contains("delete");
  if (!write.contains("write")) return false;
  if (what == "create" || what == "update") return cluster.keys().contains(key) == (what == "update");
  return write["data"]["phase"] == what;
}

// All kinds of writes that controllers make.
inline std::vector<Record> records() {
  return {{"acceptance", wire::kJobKeyPrefix, "accepted"},
          {"withdrawal", wire::kJobKeyPrefix, "cancelled"},
          {"done", wire::kJobKeyPrefix, "done"},
          {"group_created", wire::kMachineKeyPrefix, "create"},
          {"group_changed", wire::kMachineKeyPrefix, "update"},
          {"group_deleted", wire::kMachineKeyPrefix, "delete"},
          {"rental_created", wire::kRentalKeyPrefix, "create"},
          {"rental_changed", wire::kRentalKeyPrefix, "update"},
          {"rental_deleted", wire::kRentalKeyPrefix, "delete"},
          {"bucket_created", wire::kCompletionKeyPrefix, "create"},
          {"bucket_changed", wire::kCompletionKeyPrefix, "update"},
          {"bucket_deleted", wire::kCompletionKeyPrefix, "delete"},
          {"bounds", wire::kQuotaKey, "update"},
          {"catalogue", wire::kCatalogueKey, "create"},
          {"win", wire::kLeaderKey, "create"},
          {"term_raised", wire::kLeaderKey, "update"},
          {"policy", wire::kPolicyKey, "update"},
          {"tenant_deleted", wire::kPolicyKeyPrefix, "delete"}};
}

// What an operator deploys; the second version has a tenant less.
inline std::string policy_file(int version) {
  const auto text =
      "tenants:\n  version: " + std::to_string(version) + "\n  teams:\n    red:\n      spans: { other: 2 }\n";
  return version == 1 ? text + "    blue:\n      spans: { other: 2 }\n" : text;
}

// All controllers boot with the first version; at 20 s one of them comes back with the second.
inline void deploy_policies(SimulatedCluster& cluster) {
  deploy_policy(cluster, policy_file(1));
  cluster.at(20, [&cluster] {
    cluster.operator_files[1] = policy_file(2);
    cluster.crash(1, 0.5);
  });
}

}  // namespace bankhill::sim
