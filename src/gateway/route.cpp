#include "gateway/route.hpp"

#include <utility>

namespace bankhill::gateway {

using net::Method;

namespace {
constexpr std::string_view kHealthPath = "/healthz";
constexpr std::string_view kJobsPath = "/submissions";
constexpr std::string_view kJobPathPrefix = "/submissions/";
constexpr std::string_view kCancelSuffix = "/withdraw";

// Parses the request for one job; `path` is the part after the prefix.
Route parse_job_route(Method method, std::string_view path) {
  const bool is_cancel = path.ends_with(kCancelSuffix);
  if (is_cancel) path.remove_suffix(kCancelSuffix.size());
  if (path.find('/') != std::string_view::npos) return RouteError::no_such_path;
  if (method != (is_cancel ? Method::post : Method::get)) return RouteError::method_not_allowed;
  auto id = wire::parse_job_id(path);
  if (!id) return RouteError::no_such_job;
  if (is_cancel) return CancelRoute{std::move(*id)};
  return StatusRoute{std::move(*id)};
}
}  // namespace

Route parse_route(Method method, std::string_view path) {
  path = path.substr(0, path.find('?'));
  if (path == kHealthPath)
    return method == Method::get ? Route(HealthRoute{}) : RouteError::method_not_allowed;
  if (path == kJobsPath)
    return method == Method::post ? Route(SubmitRoute{}) : RouteError::method_not_allowed;
  if (!path.starts_with(kJobPathPrefix)) return RouteError::no_such_path;
  return parse_job_route(method, path.substr(kJobPathPrefix.size()));
}

}  // namespace bankhill::gateway
