// Maps the method and path of a user's request to an operation of the API.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "net/http.hpp"
#include "wire/ids.hpp"

namespace bankhill::gateway {

// GET /healthz: return whether this controller can serve users.
struct HealthRoute {
  bool operator==(const HealthRoute&) const = default;
};

// POST /submissions: accept a job.
struct SubmitRoute {
  bool operator==(const SubmitRoute&) const = default;
};

// GET /submissions/ID: return the status of a job.
struct StatusRoute {
  wire::JobId job;
  bool operator==(const StatusRoute&) const = default;
};

// POST /submissions/ID/withdraw: cancel a job.
struct CancelRoute {
  wire::JobId job;
  bool operator==(const CancelRoute&) const = default;
};

// Why a request matches no route.
enum class RouteError { no_such_path, method_not_allowed, no_such_job };

using Route = std::variant<HealthRoute, SubmitRoute, StatusRoute, CancelRoute, RouteError>;

// A query in `path` is ignored.
Route parse_route(net::Method method, std::string_view path);

}  // namespace bankhill::gateway
