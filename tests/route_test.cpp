// Routing and responses of the users' API, tested without a gateway.
#include "gateway/route.hpp"

#include <gtest/gtest.h>

#include "gateway/responses.hpp"

namespace bankhill::gateway {
namespace {

using net::Method;
using wire::JobId;

const JobId kJob{"job-000412"};

TEST(Route, ParsesEachOperation) {
  EXPECT_EQ(parse_route(Method::get, "/healthz"), Route(HealthRoute{}));
  EXPECT_EQ(parse_route(Method::post, "/submissions"), Route(SubmitRoute{}));
  EXPECT_EQ(parse_route(Method::get, "/submissions/job-000412"), Route(StatusRoute{kJob}));
  EXPECT_EQ(parse_route(Method::post, "/submissions/job-000412/withdraw"), Route(CancelRoute{kJob}));
}

TEST(Route, IgnoresTheQuery) {
  EXPECT_EQ(parse_route(Method::get, "/healthz?deep=1"), Route(HealthRoute{}));
  EXPECT_EQ(parse_route(Method::get, "/submissions/job-000412?a=/b"), Route(StatusRoute{kJob}));
}

TEST(Route, RejectsUnsupportedMethods) {
  const Route not_allowed = RouteError::method_not_allowed;
  EXPECT_EQ(parse_route(Method::post, "/healthz"), not_allowed);
  EXPECT_EQ(parse_route(Method::get, "/submissions"), not_allowed);
  EXPECT_EQ(parse_route(Method::del, "/submissions/job-000412"), not_allowed);
  EXPECT_EQ(parse_route(Method::get, "/submissions/job-000412/withdraw"), not_allowed);
  EXPECT_EQ(parse_route(Method::post, "/submissions/no-job"), not_allowed)
      << "the method is checked before the job id";
}

TEST(Route, RejectsUnknownPaths) {
  const Route no_such_path = RouteError::no_such_path;
  EXPECT_EQ(parse_route(Method::get, "/"), no_such_path);
  EXPECT_EQ(parse_route(Method::get, "/healthz/"), no_such_path);
  EXPECT_EQ(parse_route(Method::get, "/submission"), no_such_path);
  EXPECT_EQ(parse_route(Method::get, "/submissions/job-000412/tasks"), no_such_path);
  EXPECT_EQ(parse_route(Method::get, "/submissions/job-000412/withdraw/"), no_such_path);
}

TEST(Route, RejectsMalformedJobIds) {
  const Route no_such_job = RouteError::no_such_job;
  EXPECT_EQ(parse_route(Method::get, "/submissions/"), no_such_job);
  EXPECT_EQ(parse_route(Method::get, "/submissions/withdraw"), no_such_job);
  EXPECT_EQ(parse_route(Method::get, "/submissions/job-x"), no_such_job);
  EXPECT_EQ(parse_route(Method::post, "/submissions/job-/withdraw"), no_such_job);
}

void expect_response(const net::Response& response, int status, const std::string& body,
                     std::optional<double> retry_after_s = std::nullopt) {
  EXPECT_EQ(response.status, status) << body;
  EXPECT_EQ(response.body, body);
  EXPECT_EQ(response.retry_after_s, retry_after_s) << body;
}

TEST(Responses, HaveTheDocumentedStatusAndBody) {
  expect_response(responses::healthy(), 200, "{}");
  expect_response(responses::accepted(kJob, false), 201, R"({"phase":"queued","uid":"job-000412"})");
  expect_response(responses::accepted(kJob, true), 201, R"({"phase":"cancelled","uid":"job-000412"})");
  expect_response(responses::cancelled(kJob), 200, R"({"phase":"cancelled","uid":"job-000412"})");
  expect_response(responses::status({{"phase", "done"}}), 200, R"({"phase":"done"})");
  expect_response(responses::malformed("field 'uid' is missing"), 400,
                  R"({"error":"field 'uid' is missing"})");
  expect_response(responses::no_such_job(), 404, R"({"error":"no such job"})");
  expect_response(responses::unavailable(), 503, "{}", 1.0);
  expect_response(responses::unavailable_for(7), 503, "{}", 7.0);
}

TEST(Responses, ExplainRouteErrors) {
  expect_response(responses::route_error(RouteError::no_such_path), 404, R"({"error":"no such path"})");
  expect_response(responses::route_error(RouteError::no_such_job), 404, R"({"error":"no such job"})");
  expect_response(responses::route_error(RouteError::method_not_allowed), 405,
                  R"({"error":"method not allowed"})");
}

TEST(Responses, ExplainRejections) {
  const auto expect_rejection = [](RejectionReason reason, int status, const std::string& text) {
    expect_response(responses::rejected({reason, kJob}), status, R"({"error":")" + text + R"("})");
  };
  expect_rejection(RejectionReason::unknown_team, 422, "unknown team");
  expect_rejection(RejectionReason::exceeds_team_limit, 422, "needs more than the team's limit");
  expect_rejection(RejectionReason::fits_no_machine_type, 422, "a task fits no allowed machine type");
  expect_rejection(RejectionReason::description_too_long, 400,
                   "the description is longer than can be stored");
  expect_rejection(RejectionReason::dependency_is_service, 422,
                   "job-000412 is a service, which is never done");
  expect_rejection(RejectionReason::dependency_never_accepted, 422, "job-000412 was never accepted");
}

}  // namespace
}  // namespace bankhill::gateway
