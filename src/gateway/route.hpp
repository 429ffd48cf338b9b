// What a user's request asks for, by its method and path.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "net/http.hpp"
#include "wire/ids.hpp"

namespace bankhill::gateway {

// GET /healthz: whether this controller can serve users.
struct HealthRoute {
  bool operator==(const HealthRoute&) const = default;
};

// POST /submissions: accept a job.
struct SubmitRoute {
  bool operator==(const SubmitRoute&) const = default;
};

// GET /submissions/ID: what has become of a job.
struct StatusRoute {
  wire::JobId job;
  bool operator==(const StatusRoute&) const = default;
};

// POST /submissions/ID/withdraw: cancel a job.
struct CancelRoute {
  wire::JobId job;
  bool operator==(const CancelRoute&) const = default;
};

// Why a request leads nowhere.
enum class RouteError { no_such_path, method_not_allowed, no_such_job };

using Route = std::variant<HealthRoute, SubmitRoute, StatusRoute, CancelRoute, RouteError>;

// `path` may have a query, which is ignored.
Route parse_route(net::Method method, std::string_view path);

}  // namespace bankhill::gateway
