// What scenarios do again and again: wait for something, end processes, deploy files, read what is stored.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "sim/world.hpp"

namespace bankhill::sim {

inline constexpr double kStepS = 0.05;  // between two looks at what is waited for

// Runs until that is so, or until this time; says whether it is.
inline bool run_until(World& world, double limit, const std::function<bool()>& reached,
                      double step_s = kStepS) {
  while (world.now() < limit && !reached()) world.run(world.now() + step_s);
  return reached();
}

// The same, for so long at most.
inline bool run_within(World& world, double within_s, const std::function<bool()>& reached) {
  return run_until(world, world.now() + within_s, reached);
}

// All controllers end, and are back after so long.
inline void crash_all(World& world, double away_s) {
  for (int node = 0; node < world.nodes(); ++node) world.crash(node, away_s);
}

// Boots all controllers with this operators' file.
inline void deploy_policy(World& world, const std::string& text) {
  for (int node = 0; node < world.nodes(); ++node) {
    world.operator_files[node] = text;
    world.crash(node, 0);
  }
}

// Whether the checker found this rule broken.
inline bool broke_rule(World& world, const std::string& rule) {
  return std::any_of(world.broken().begin(), world.broken().end(),
                     [&](const std::string& line) { return line.starts_with(rule + " "); });
}

// The leadership term that is stored; there must be one.
inline std::uint64_t stored_term(const World& world) {
  return wire::count_field(world.keys().at(wire::kTermKey).data, "n");
}

// How many different tasks of the job run within their machines' leases.
inline int running_tasks(World& world, const std::string& job) {
  std::set<std::uint32_t> running;
  for (const auto& [host, machine] : world.machines())
    for (const auto& [task, state] : machine.tasks)
      if (task.job.value == job && machine.on(task, world.now(), Timing{}.lease_s))
        running.insert(task.index);
  return static_cast<int>(running.size());
}

// Jobs and indices of the tasks that are stored as finished.
using FinishedTasks = std::set<std::pair<std::string, std::uint32_t>>;
inline FinishedTasks stored_as_finished(const World& world) {
  FinishedTasks tasks;
  for (const auto& [key, entry] : world.keys())
    if (key.starts_with(wire::kFinished))
      for (const auto& [id, hex] :
           wire::parse_finished_bucket(key.substr(wire::kFinished.size()), entry.data))
        for (const auto index : wire::parse_finished_hex(hex, id.chunk)) tasks.emplace(id.job.value, index);
  return tasks;
}

}  // namespace bankhill::sim
