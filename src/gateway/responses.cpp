#include "gateway/responses.hpp"

namespace bankhill::gateway::responses {

using net::Response;
using wire::Json;

namespace {
constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnprocessable = 422;
constexpr int kServiceUnavailable = 503;

constexpr double kDefaultRetryAfterS = 1.0;

const char* const kEmptyBody = "{}";

Response error_response(int status, const std::string& reason) {
  return {status, Json{{"error", reason}}.dump(), std::nullopt};
}

Response phase_response(int status, const wire::JobId& id, const char* phase) {
  return {status, Json{{"uid", id.value}, {"phase", phase}}.dump(), std::nullopt};
}
}  // namespace

Response healthy() { return {kOk, kEmptyBody, std::nullopt}; }

Response accepted(const wire::JobId& id, bool cancelled) {
  return phase_response(kCreated, id, cancelled ? "cancelled" : "queued");
}

Response cancelled(const wire::JobId& id) { return phase_response(kOk, id, "cancelled"); }

Response status(const Json& job_status) { return {kOk, job_status.dump(), std::nullopt}; }

Response route_error(RouteError error) {
  switch (error) {
    case RouteError::no_such_path:
      return error_response(kNotFound, "no such path");
    case RouteError::method_not_allowed:
      return error_response(kMethodNotAllowed, "method not allowed");
    case RouteError::no_such_job:
      return no_such_job();
  }
  return {};
}

Response malformed(const std::string& reason) { return error_response(kBadRequest, reason); }

Response rejected(const Rejection& rejection) {
  const bool too_long = rejection.reason == RejectionReason::description_too_long;
  return error_response(too_long ? kBadRequest : kUnprocessable, explain(rejection));
}

Response no_such_job() { return error_response(kNotFound, "no such job"); }

Response unavailable() { return unavailable_for(kDefaultRetryAfterS); }

Response unavailable_for(double retry_after_s) { return {kServiceUnavailable, kEmptyBody, retry_after_s}; }

}  // namespace bankhill::gateway::responses
