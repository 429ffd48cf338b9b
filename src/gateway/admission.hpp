// Whether a job can ever run. Pure.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gateway/rejection.hpp"
#include "wire/messages.hpp"

namespace bankhill::gateway {

// What a team may use at most.
struct TeamLimit {
  std::string name;
  wire::Resources limit;  // cores and accelerators
};

// The reason why the job can never run; nothing if it can.
std::optional<RejectionReason> find_rejection_reason(const wire::JobSpec& spec,
                                                     const std::vector<TeamLimit>& teams,
                                                     const std::vector<wire::MachineType>& machine_types);

}  // namespace bankhill::gateway
