// Whether a job can ever run. Pure.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "wire/messages.hpp"

namespace bankhill::gateway {

struct TeamLimit {
  std::string name;
  wire::Amounts limit;  // cores and accelerators
};

// The reason why the job can never run; nothing if it can.
std::optional<std::string> refusal(const wire::JobSpec& spec, const std::vector<TeamLimit>& teams,
                                   const std::vector<wire::Flavor>& flavors);

}  // namespace bankhill::gateway
