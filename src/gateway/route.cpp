#include "gateway/route.hpp"

#include <utility>

namespace bankhill::gateway {

using net::Method;

namespace {
constexpr std::string_view kHealth = "/healthz";
constexpr std::string_view kJobs = "/submissions";
constexpr std::string_view kJobPrefix = "/submissions/";
constexpr std::string_view kCancelSuffix = "/withdraw";

// `path` of one job, without the prefix.
Route parse_job_route(Method method, std::string_view path) {
  const bool cancels = path.ends_with(kCancelSuffix);
  if (cancels) path.remove_suffix(kCancelSuffix.size());
  if (path.find('/') != std::string_view::npos) return RouteError::no_such_path;
  if (method != (cancels ? Method::post : Method::get)) return RouteError::method_not_allowed;
  auto id = wire::parse_job_id(path);
  if (!id) return RouteError::no_such_job;
  if (cancels) return CancelRoute{std::move(*id)};
  return StatusRoute{std::move(*id)};
}
}  // namespace

Route parse_route(Method method, std::string_view path) {
  path = path.substr(0, path.find('?'));
  if (path == kHealth) return method == Method::get ? Route(HealthRoute{}) : RouteError::method_not_allowed;
  if (path == kJobs) return method == Method::post ? Route(SubmitRoute{}) : RouteError::method_not_allowed;
  if (!path.starts_with(kJobPrefix)) return RouteError::no_such_path;
  return parse_job_route(method, path.substr(kJobPrefix.size()));
}

}  // namespace bankhill::gateway
