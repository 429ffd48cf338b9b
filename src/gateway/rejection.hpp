// The reasons why a job can never be accepted.
#pragma once

#include <string>

#include "wire/ids.hpp"

namespace bankhill::gateway {

enum class RejectionReason {
  unknown_team,
  exceeds_team_limit,         // The job exceeds the team's limit even if the team runs nothing else.
  fits_no_machine_type,       // A task fits none of the machine types that the job allows.
  description_too_long,       // The description exceeds what the state service can store.
  dependency_is_service,      // A dependency is a service, and a service is never done.
  dependency_never_accepted,  // No controller ever accepted one of the dependencies.
};

struct Rejection {
  RejectionReason reason = RejectionReason::unknown_team;
  wire::JobId dependency;  // The dependency concerned; set for the last two reasons only.
  bool operator==(const Rejection&) const = default;
};

// Returns the error message for users.
std::string explain(const Rejection& rejection);

}  // namespace bankhill::gateway
