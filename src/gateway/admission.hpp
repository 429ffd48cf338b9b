// Admission check: decides from a job's specification whether the job can ever run. Pure: no I/O and no
// clocks.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gateway/rejection.hpp"
#include "wire/messages.hpp"

namespace bankhill::gateway {

// The most that a team may use at one time.
struct TeamLimit {
  std::string name;
  wire::Resources limit;  // Only cores and accelerators are limited.
};

// Returns the reason why the job can never run, or nothing if it can run.
std::optional<RejectionReason> find_rejection_reason(const wire::JobSpec& spec,
                                                     const std::vector<TeamLimit>& teams,
                                                     const std::vector<wire::MachineType>& machine_types);

}  // namespace bankhill::gateway
