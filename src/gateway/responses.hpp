// Builds the HTTP responses of the users' API, one function for each kind of response.
#pragma once

#include <string>

#include "gateway/rejection.hpp"
#include "gateway/route.hpp"
#include "net/http.hpp"
#include "wire/messages.hpp"

namespace bankhill::gateway::responses {

// The health check has passed: this controller can serve users.
net::Response healthy();
// This request accepted the job. `cancelled`: the job ended at once, because a job that it depends on is
// cancelled.
net::Response accepted(const wire::JobId& id, bool cancelled);
// This request cancelled the job.
net::Response cancelled(const wire::JobId& id);
// The status of an accepted job, as job_status() returns it (see job_status.hpp).
net::Response status(const wire::Json& job_status);

// The request matches no route of this API.
net::Response route_error(RouteError error);
// The body is not a valid job description; `reason` names the invalid field.
net::Response malformed(const std::string& reason);
// The job can never be accepted.
net::Response rejected(const Rejection& rejection);
// No controller has accepted the job.
net::Response no_such_job();

// No controller can serve the request now; asks the user to retry after one second.
net::Response unavailable();
// As unavailable(), but asks the user to retry after `retry_after_s` seconds.
net::Response unavailable_for(double retry_after_s);

}  // namespace bankhill::gateway::responses
