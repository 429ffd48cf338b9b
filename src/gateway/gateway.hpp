// The users' API. Any controller commits submissions and cancellations itself, so that a change of leader
// does not stop them.
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
#include "gateway/rejection.hpp"
#include "net/http.hpp"
#include "net/relay.hpp"
#include "policy/policy.hpp"
#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "state/store.hpp"
#include "wire/records.hpp"

namespace bankhill::gateway {

// Messages.

// The state service published changes.
struct StoreChanged {
  state::Changes changes;
};
// A user asks.
struct UserRequest {
  net::Request request;
  net::Reply reply;
  bool relayed = false;  // by a peer, which could not serve it
};
// The leader tells of a running job.
struct JobProgressUpdate {
  wire::JobProgress progress;
};

// The actor that answers users.
class Gateway : public runtime::Actor<Gateway, StoreChanged, UserRequest, JobProgressUpdate> {
 public:
  // `policy`: in force at any time.
  Gateway(runtime::Loop& loop, runtime::Log log, state::Store& store, net::Relay& relay,
          const policy::Policy& policy, std::vector<TeamLimit> teams, std::size_t final_states_kept);

  void on(StoreChanged& message);
  void on(UserRequest& message);
  void on(JobProgressUpdate& message);

  // Whether users are to be sent here.
  bool is_healthy() const;
  // Whether this controller reaches the state service.
  bool is_state_service_available() const;

 private:
  struct PendingCall {  // one request under way
    net::Request request;
    net::Reply reply;
    bool relayed = false;
    int failed_attempts = 0;  // of its transaction
  };
  using CallPtr = std::shared_ptr<PendingCall>;

  struct Submission {  // of one job, under way
    CallPtr call;
    wire::JobSpec spec;
    // What accepts the job, as of this turn: rendered again once an answer was waited for.
    std::optional<wire::KeyedValues> values;
    std::size_t dependencies_checked = 0;  // known to have been accepted
    bool dependency_cancelled = false;
    bool looked_elsewhere = false;  // whether another controller has accepted it
  };
  using SubmissionPtr = std::shared_ptr<Submission>;

  // Requests, each answered once.
  void submit(const CallPtr& call);
  void status(const CallPtr& call, const wire::JobId& id);
  void cancel(const CallPtr& call, const wire::JobId& id);

  // Steps of a submission.
  void check_dependencies(const SubmissionPtr& submission);
  void look_for_dependency(const SubmissionPtr& submission, const wire::JobId& need);
  void accept(const SubmissionPtr& submission);
  void commit_acceptance(const SubmissionPtr& submission);
  void acceptance_decided(const SubmissionPtr& submission, state::Outcome outcome);
  void accepted(const Submission& submission);
  void reject(const Submission& submission, const Rejection& rejection);
  wire::KeyedValues render(const wire::JobSpec& spec) const;
  std::size_t value_bytes() const;

  // Steps of a cancellation.
  void commit_cancellation(const CallPtr& call, const wire::JobId& id, const KnownJob& job);
  void cancellation_decided(const CallPtr& call, const wire::JobId& id, state::Outcome outcome);

  // Hands over what is known of the job, at least as new as this call; null: no controller has accepted it.
  // Where this one cannot tell, a peer answers the call.
  void look_up(const CallPtr& call, const wire::JobId& id, std::function<void(const KnownJob*)> done);
  // Answers with the state of the job if any controller has accepted it.
  void answer_if_accepted(const CallPtr& call, const wire::JobId& id, std::function<void()> otherwise);
  void answer_known(const CallPtr& call, const wire::JobId& id);
  void answer_status(const CallPtr& call, const wire::JobId& id, const KnownJob& job) const;
  // Hands over what became of the transaction. If the state service does not serve us, a peer answers the
  // call.
  void commit(const CallPtr& call, state::Transaction transaction,
              std::function<void(state::Outcome)> decided);
  // After an attempt of the call's transaction that decided nothing.
  static bool may_try_again(PendingCall& call, int max_attempts);
  void unavailable(const CallPtr& call);
  net::Response rate_limited(const wire::JobId& id);

  runtime::Log log_;
  state::Store& store_;
  net::Relay& relay_;
  const policy::Policy& policy_;
  std::vector<TeamLimit> teams_;
  fair_share::RetryAfterPacer retry_after_;
  JobIndex jobs_;
  double look_first_until_ = 0;  // before a submission is accepted
};

}  // namespace bankhill::gateway
