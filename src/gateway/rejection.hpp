// Why a job can never be accepted.
#pragma once

#include <string>

#include "wire/ids.hpp"

namespace bankhill::gateway {

enum class RejectionReason {
  unknown_team,
  exceeds_team_limit,         // even if the team used nothing else
  fits_no_machine_type,       // of those that the job allows
  description_too_long,       // to be stored
  dependency_is_service,      // which is never done
  dependency_never_accepted,  // by any controller
};

struct Rejection {
  RejectionReason reason = RejectionReason::unknown_team;
  wire::JobId dependency;  // of the last two reasons
  bool operator==(const Rejection&) const = default;
};

// As users are told it.
std::string explain(const Rejection& rejection);

}  // namespace bankhill::gateway
