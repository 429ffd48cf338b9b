// Strong types for names and numbers that must not be mixed up.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bankhill::wire {

template <class Tag>
struct Name {
  std::string value;
  auto operator<=>(const Name&) const = default;
};

template <class Tag>
struct Number {
  std::uint64_t value = 0;
  auto operator<=>(const Number&) const = default;
};

using JobId = Name<struct JobTag>;
using MachineId = Name<struct MachineTag>;
using FencingToken = Number<struct FencingTokenTag>;    // term of a leader, shown to workers
using AgentEpoch = Number<struct AgentEpochTag>;        // agent epoch of a worker
using AttemptNumber = Number<struct AttemptTag>;        // attempt of a task
using KeyRevision = Number<struct KeyRevisionTag>;      // revision of one key
using StoreRevision = Number<struct StoreRevisionTag>;  // revision of the whole store

// Returns the id when `text` has the documented form ("job-" and digits).
std::optional<JobId> parse_job_id(std::string_view text);

struct TaskId {
  JobId job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
  std::string text() const { return job.value + "/" + std::to_string(index); }
};

std::optional<TaskId> parse_task_id(std::string_view text);

}  // namespace bankhill::wire

template <class Tag>
struct std::hash<bankhill::wire::Name<Tag>> {
  std::size_t operator()(const bankhill::wire::Name<Tag>& name) const {
    return std::hash<std::string>{}(name.value);
  }
};
