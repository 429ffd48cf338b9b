#include "gateway/rejection.hpp"

namespace bankhill::gateway {

std::string explain(const Rejection& rejection) {
  switch (rejection.reason) {
    case RejectionReason::unknown_team:
      return "unknown team";
    case RejectionReason::exceeds_team_limit:
      return "needs more than the team's limit";
    case RejectionReason::fits_no_machine_type:
      return "a task fits no allowed machine type";
    case RejectionReason::description_too_long:
      return "the description is longer than can be stored";
    case RejectionReason::dependency_is_service:
      return rejection.dependency.value + " is a service, which is never done";
    case RejectionReason::dependency_never_accepted:
      return rejection.dependency.value + " was never accepted";
  }
  return {};
}

}  // namespace bankhill::gateway
