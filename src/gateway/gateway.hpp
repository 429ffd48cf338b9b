// Serves the users' HTTP API. Every controller, not only the leader, commits submissions and cancellations
// itself, so that a change of leader does not interrupt them.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fair_share/retry_after_pacer.hpp"
#include "gateway/admission.hpp"
#include "gateway/job_index.hpp"
#include "gateway/progress_sync.hpp"
#include "gateway/rejection.hpp"
#include "net/http.hpp"
#include "net/relay.hpp"
#include "policy/policy.hpp"
#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "state/store.hpp"
#include "wire/records.hpp"

namespace bankhill::gateway {

// Messages to the gateway actor.

// The state service has published changes.
struct StoreChanged {
  state::Changes changes;
};
// A user has sent a request.
struct UserRequest {
  net::Request request;
  net::Reply reply;
  bool relayed = false;  // Whether a peer relayed the request because it could not serve it.
};

// The actor that serves users' requests: it answers from its job index, commits submissions and cancellations
// to the state service, and relays to a peer what it cannot serve itself.
class Gateway : public runtime::Actor<Gateway, StoreChanged, UserRequest> {
 public:
  // `policy` must stay valid; its content at the time of a submission decides the job's cutoff.
  Gateway(runtime::Loop& loop, runtime::Log log, state::Store& store, net::Relay& relay,
          ProgressSync& progress, const policy::Policy& policy, std::vector<TeamLimit> teams,
          std::size_t final_states_kept);

  void on(StoreChanged& message);
  void on(UserRequest& message);

  // The result of the health check: whether load balancers should send users to this controller.
  bool is_healthy() const;
  // Whether this controller has read the state service and received an update from it recently.
  bool is_state_service_available() const;

 private:
  // A request that has not been answered yet.
  struct PendingCall {
    net::Request request;
    net::Reply reply;
    bool relayed = false;
    int failed_attempts = 0;  // Attempts of its transaction without a definite outcome.
  };
  using CallPtr = std::shared_ptr<PendingCall>;

  // The submission of one job, while it is being processed.
  struct Submission {
    CallPtr call;
    wire::JobSpec spec;
    // The keys and values whose commit accepts the job. Built in the current turn of the event loop; reset
    // and built anew after waiting for a response.
    std::optional<wire::KeyedValues> values;
    // Number of leading entries of `depends_on` that are known to have been accepted.
    std::size_t dependencies_checked = 0;
    bool dependency_cancelled = false;
    // Whether a read barrier has already been used to find out if another controller accepted the job.
    bool looked_up_job = false;
  };
  using SubmissionPtr = std::shared_ptr<Submission>;

  // Request handlers; each request is answered exactly once.
  void handle_submit(const CallPtr& call);
  void handle_status(const CallPtr& call, const wire::JobId& id);
  void handle_cancel(const CallPtr& call, const wire::JobId& id);

  // Steps of a submission.
  void check_dependencies(const SubmissionPtr& submission);
  void look_up_dependency(const SubmissionPtr& submission, const wire::JobId& dependency);
  void accept(const SubmissionPtr& submission);
  void commit_acceptance(const SubmissionPtr& submission);
  void handle_acceptance_outcome(const SubmissionPtr& submission, state::Outcome outcome);
  void respond_accepted(const Submission& submission);
  void reject(const Submission& submission, const Rejection& rejection);
  wire::KeyedValues build_job_values(const wire::JobSpec& spec) const;
  std::size_t value_bytes() const;

  // Steps of a cancellation.
  void commit_cancellation(const CallPtr& call, const wire::JobId& id, const KnownJob& job);
  void handle_cancellation_outcome(const CallPtr& call, const wire::JobId& id, state::Outcome outcome);

  // Passes `done` the job's state, at least as new as this call, or null if no controller has accepted the
  // job. If this controller cannot tell, the call is relayed to a peer instead.
  void look_up_job(const CallPtr& call, const wire::JobId& id, std::function<void(const KnownJob*)> done);
  // Answers with the status of the job if any controller has accepted it; otherwise calls `if_not_accepted`.
  void respond_if_accepted(const CallPtr& call, const wire::JobId& id, std::function<void()> if_not_accepted);
  void respond_with_accepted_job_status(const CallPtr& call, const wire::JobId& id);
  // Answers with the status of the job, or with what `progress_unknown` does if nothing can be told of its
  // tasks now.
  void respond_with_status(const CallPtr& call, const wire::JobId& id, const KnownJob& job);
  void handle_progress_gap(const CallPtr& call, ProgressGap gap);
  void relay_or_respond_unavailable(const CallPtr& call, const std::string& peer);
  // Commits the transaction and passes its outcome to `on_outcome`. If the state service refuses to serve
  // this controller, the call is relayed to a peer instead.
  void commit(const CallPtr& call, state::Transaction transaction,
              std::function<void(state::Outcome)> on_outcome);
  // Counts an attempt of the call's transaction that had no definite outcome, and returns whether another
  // attempt is allowed.
  static bool can_retry_after_failure(PendingCall& call, int max_attempts);
  void relay_or_respond_unavailable(const CallPtr& call);
  net::Response rate_limited_response(const wire::JobId& id);

  runtime::Log log_;
  state::Store& store_;
  net::Relay& relay_;
  ProgressSync& progress_;
  const policy::Policy& policy_;
  std::vector<TeamLimit> teams_;
  fair_share::RetryAfterPacer retry_after_;
  JobIndex jobs_;
  // Until this time on the steady clock, submissions are looked up before they are committed.
  double look_up_before_commit_until_ = 0;
};

}  // namespace bankhill::gateway
