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
using HostId = Name<struct HostTag>;
using Fence = Number<struct FenceTag>;    // term of a leader, shown to workers
using Tenure = Number<struct TenureTag>;  // session of a worker
using TryNo = Number<struct TryTag>;      // attempt of a task
using Stamp = Number<struct StampTag>;    // revision of one key
using Epoch = Number<struct EpochTag>;    // revision of the whole store

// Returns the id when `text` has the documented form ("job-" and digits).
std::optional<JobId> parse_job_id(std::string_view text);

struct MemberId {
  JobId job;
  std::uint32_t index = 0;
  auto operator<=>(const MemberId&) const = default;
  std::string text() const { return job.value + "/" + std::to_string(index); }
};

std::optional<MemberId> parse_member_id(std::string_view text);

}  // namespace bankhill::wire

template <class Tag>
struct std::hash<bankhill::wire::Name<Tag>> {
  std::size_t operator()(const bankhill::wire::Name<Tag>& name) const {
    return std::hash<std::string>{}(name.value);
  }
};
