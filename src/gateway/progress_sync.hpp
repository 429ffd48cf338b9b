// Keeps this controller's copy of the live jobs' progress up to date, and says what may be told from it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "gateway/progress_replica.hpp"
#include "net/relay.hpp"
#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "state/store.hpp"

namespace bankhill::gateway {

// Messages.

// This controller leads and publishes what changed since its last update.
struct LocalProgress {
  wire::ProgressUpdate update;
  double as_of = 0;  // steady clock, when the leader built it; the process may have paused since
};
// A frame of a peer about progress: JobProgress or ProgressUpdate.
struct PeerProgress {
  std::string node;
  wire::Frame frame;
};
// Records of the state service changed.
struct LeaderRecordChanges {
  state::Changes changes;
};

// Why nothing can be told of a live job's tasks.
enum class ProgressGap {
  copy_outdated,     // this controller has not heard the leader's latest; the leader can be asked
  leader_uncertain,  // the leader itself has not heard of all machines yet
};

// Asks the leader at a short interval for what changed since the last complete update. A request that gets
// no update is repeated, so the copy converges after any loss; its age counts from the sending of the
// request, so what a deposed leader or a slow link delivers late is never taken for new (invariant 37).
class ProgressSync : public runtime::Actor<ProgressSync, LocalProgress, PeerProgress, LeaderRecordChanges> {
 public:
  struct Ports {
    std::string self;               // host name of this controller
    std::uint64_t incarnation = 0;  // ids of requests begin there: none is that of an earlier process
    const net::Relay& relay;
    net::PeerTransport& peers;
    std::function<bool()> is_leader;
    // Asks the leader on this controller; the update comes as a LocalProgress.
    std::function<void(const wire::ProgressRequest&)> ask_own_leader;
    bool enabled = true;  // whether to ask for updates at all
  };
  ProgressSync(runtime::Loop& loop, runtime::Log log, Ports ports);
  void start();

  // What may be told now of a live job whose dependencies are met.
  std::variant<KnownProgress, ProgressGap> progress(const wire::JobId& id) const;
  // What was said last of why the job is not running; empty if it is outdated or nothing was said.
  std::string reason(const wire::JobId& id) const;
  // Seconds for which another controller has led without being heard here; 0 while one is heard.
  double leader_unheard_s() const { return leader_unheard_s_; }
  // Removes a job that has ended.
  void remove(const wire::JobId& id) { replica_.remove(id); }

  void on(LocalProgress& message);
  void on(PeerProgress& message);
  void on(LeaderRecordChanges& message);

 private:
  struct PendingRequest {
    std::string node;
    double sent_at = 0;
  };
  void tick();
  void request_update();
  bool apply(const wire::ProgressUpdate& update, double as_of);
  bool is_current() const;
  // Whether the state service names another controller as the leader, which is not heard.
  bool is_leader_unheard() const;
  // Whether the leading peer is of a version that sends no updates.
  bool leads_without_updates() const;
  void count_uncertainty();
  void log_change(bool current);

  runtime::Log log_;
  Ports ports_;
  ProgressReplica replica_;
  std::optional<std::string> recorded_leader_;  // as the state service has it; empty: none that can be read
  std::map<std::uint64_t, PendingRequest> pending_;  // by id; no update has come yet
  std::uint64_t next_id_;
  double next_request_at_ = 0;
  // Seconds in which this process ran: a pause does not count.
  double leader_unheard_s_ = 0;     // while another controller led unheard
  double without_certainty_s_ = 0;  // while no other did, since the copy was last current and certain
  double under_same_view_s_ = 0;    // of these, with the same leading peer and the copy current or outdated
  std::string last_leader_;
  double last_tick_at_;
  bool was_current_ = false;  // at the last tick
  bool logged_current_ = false;
  std::uint64_t updates_ = 0;  // since the copy became current
  std::uint64_t unanswered_ = 0;
  runtime::Timer timer_;
};

}  // namespace bankhill::gateway
