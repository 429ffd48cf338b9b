// The users' API. Any controller commits submissions and cancellations itself, so that a change of leader
// does not stop them.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/admission.hpp"
#include "gateway/job_index.hpp"
#include "net/http.hpp"
#include "net/relay.hpp"
#include "policy/policy.hpp"
#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "shares/turned_away.hpp"
#include "state/store.hpp"
#include "wire/records.hpp"

namespace bankhill::gateway {

// Messages.
struct Changed {
  state::Changes changes;
};
struct UserCall {
  net::Request request;
  net::Reply reply;
  bool relayed = false;
};
struct Progressed {
  wire::Progress progress;
};

class Gateway : public runtime::Actor<Gateway, Changed, UserCall, Progressed> {
 public:
  // `policy`: in force at any time.
  Gateway(runtime::Loop& loop, runtime::Log log, state::Store& store, net::Relay& relay,
          const policy::Policy& policy, std::vector<TeamLimit> teams, std::size_t final_states_kept);

  void on(Changed& message);
  void on(UserCall& message);
  void on(Progressed& message);

  bool healthy() const;
  bool state_ok() const;

 private:
  struct Call {  // one request under way
    net::Request request;
    net::Reply reply;
    bool relayed = false;
    int tries = 0;
    std::size_t checked = 0;  // of the jobs that a submission waits for: known to have been accepted
    bool doomed = false;      // one of them is cancelled
    bool looked = false;      // whether another controller has accepted it
  };
  using CallPtr = std::shared_ptr<Call>;

  void submit(const CallPtr& call);
  std::optional<net::Response> refused(const wire::JobSpec& spec) const;
  std::size_t value_bytes() const;
  wire::KeyedValues stored(const wire::JobSpec& spec) const;
  void accepted(const CallPtr& call, const wire::JobSpec& spec);
  void refuse(const CallPtr& call, const wire::JobId& id, const net::Response& reason);
  void check_waits(const CallPtr& call, const wire::JobSpec& spec);
  void accept(const CallPtr& call, const wire::JobSpec& spec);
  void answer_known(const CallPtr& call, const wire::JobId& id);
  void status(const CallPtr& call, const wire::JobId& id);
  void withdraw(const CallPtr& call, const wire::JobId& id);
  void unable(const CallPtr& call);
  net::Response limited(const wire::JobId& id);
  net::Response describe(const wire::JobId& id, const KnownJob& known) const;
  void describe_waiting(const wire::JobId& id, wire::Json& body) const;

  runtime::Log log_;
  state::Store& store_;
  net::Relay& relay_;
  const policy::Policy& policy_;
  std::vector<TeamLimit> teams_;
  shares::TurnedAway turned_away_;
  JobIndex jobs_;
  double look_first_until_ = 0;  // before a submission is accepted
};

}  // namespace bankhill::gateway
