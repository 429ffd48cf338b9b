// The answers to users, one function for each.
#pragma once

#include <string>

#include "gateway/rejection.hpp"
#include "gateway/route.hpp"
#include "net/http.hpp"
#include "wire/messages.hpp"

namespace bankhill::gateway::responses {

// This controller can serve users.
net::Response healthy();
// The job was accepted now, by this request. `cancelled`: and is over at once, with one that it depends on.
net::Response accepted(const wire::JobId& id, bool cancelled);
// The job was cancelled now, by this request.
net::Response cancelled(const wire::JobId& id);
// What has become of a job that was accepted (see job_status.hpp).
net::Response status(const wire::Json& job_status);

// The request is not one of this API.
net::Response route_error(RouteError error);
// The body is not a job; `reason` names the field.
net::Response malformed(const std::string& reason);
// The job can never be accepted.
net::Response rejected(const Rejection& rejection);
// No controller has accepted the job.
net::Response no_such_job();

// Nobody can serve the request now: again after a second.
net::Response unavailable();
// The same, again after this time.
net::Response unavailable_for(double retry_after_s);

}  // namespace bankhill::gateway::responses
