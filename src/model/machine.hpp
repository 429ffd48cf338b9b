// Machines and the tasks bound to them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "model/agent_lease.hpp"
#include "model/downlink_health.hpp"
#include "model/failure_detector.hpp"
#include "wire/records.hpp"

namespace bankhill::model {

struct PoolState;

enum class AssignmentState { sent, pulling_image, running, checkpointing };

// A task told to start on a machine. It stays bound until there is proof that it is gone.
struct Assignment {
  wire::TaskId task;
  wire::AttemptNumber attempt;
  std::string team;
  std::string job_class;  // class of its job
  wire::Priority priority = wire::Priority::normal;
  bool is_service = false;
  bool largest = false;                // of its class, when it was bound
  bool started_for_long_wait = false;  // the one task that its job's long wait put before all other batches
  wire::Resources request;
  wire::AgentEpoch agent_epoch;  // agent epoch in which it was told to start
  AssignmentState state = AssignmentState::sent;
  bool stopping = false;
  bool orphaned = false;  // found here although it is bound elsewhere or over: only to be stopped
  double grace_period_s = 0;
  double assigned_at = 0;  // steady clock: when it was bound
  double running_since = 0;
  InFlightStarts in_flight_starts;

  // How long it has been running.
  double running_s(double now) const { return running_since > 0 ? now - running_since : 0; }
};

// An exited attempt that the worker still lists.
struct ExitedAttempt {
  wire::AttemptNumber attempt;
  bool stored = true;  // its exit needs no store, or is in the store
  InFlightStarts in_flight_starts;
};

// Running sums over machines, of a pool, a zone or all.
struct FleetTotals {
  std::size_t up = 0;
  std::size_t overdue = 0;        // up, not heard for longer than reports take
  std::size_t downlink_lost = 0;  // up and not quiet, suspected or known not to hear
  std::size_t booting = 0;        // rented, not up yet, and still expected
  std::size_t joining = 0;        // up, and about to take tasks: not recorded yet, or not asked or answered
  std::size_t unconfirmed = 0;    // inherited from an earlier leader, not heard in this term
  wire::Resources unconfirmed_capacity;
  double cores = 0;       // of machines that are up or coming and stay, without those whose downlink is lost
  double free_cores = 0;  // of machines that take tasks now

  FleetTotals& operator+=(const FleetTotals& other);
};

// What the indexes hold of a machine.
struct IndexEntry {
  PoolState* pool = nullptr;
  FleetTotals part;
  bool open = false;
  double cores = 0;
};

struct Machine {
  wire::MachineId id;
  std::uint64_t number = 0;  // in the order in which the leader came to know them
  std::string address;
  std::string machine_type;
  std::string zone;
  bool preemptible = false;
  wire::Resources capacity;

  bool up = false;        // has reported, or is recorded as one that did
  bool recorded = false;  // its record is committed: it may hold tasks
  bool record_pending = false;
  bool inherited = false;         // was recorded when this term began: may hold tasks of an earlier leader
  bool confirmed = false;         // has seen a fencing token of this term, or never had another
  bool rented_this_term = false;  // rented by this term: nothing of it can be older
  bool lease_expired = false;     // its lease has run out by our count and it was not heard since
  bool lease_may_end = false;     // before its next heartbeat is answered (model/lease_forecast.hpp)
  bool draining = false;          // takes no more tasks
  bool terminating = false;
  bool termination_sent = false;
  bool boot_overdue = false;  // booting for so long that it is no longer counted on
  bool overdue = false;       // not heard for longer than reports take
  UplinkState uplink = UplinkState::up;
  std::string drain_reason;
  std::string record_group;  // where its record is kept

  wire::AgentEpoch agent_epoch;
  std::uint64_t last_sequence = 0;
  std::uint64_t listed_sequence = 0;     // of the last heartbeat whose list of tasks was applied
  std::uint64_t heartbeat_sequence = 0;  // of the last heartbeat of this agent epoch, direct answers aside
  wire::FencingToken seen_token;
  double first_seen = 0;    // steady clock
  double last_contact = 0;  // last new heartbeat or direct answer
  AgentLease lease;         // as lengthened by answers at most
  // When a heartbeat of the present agent epoch was last answered in this term; nothing: none was.
  std::optional<double> answered_at;
  double last_heartbeat_applied_at = 0;
  double last_heartbeat_received_at = 0;  // when any heartbeat came, one that is no news too
  bool regular_heartbeat = true;          // its last heartbeat came in its turn, not for a change
  double last_probe = 0;
  std::uint32_t probes_unanswered = 0;  // in a row
  double uncertain_start_at = 0;
  double idle_since = 0;
  std::optional<double> preemption_at;  // steady clock: when the cloud takes it

  std::map<wire::TaskId, Assignment> assignments;
  std::map<wire::TaskId, ExitedAttempt> exited_attempts;
  wire::Resources used;
  wire::Resources reserved;      // for members of replicas to come (gang/gang_fit.hpp)
  double service_cores = 0;      // the part of it that services use
  std::set<std::string> images;  // images seen ready here
  std::uint32_t errors_in_row = 0;
  std::set<wire::JobId> error_jobs;
  DownlinkHealth downlink;                // whether it hears what it is told
  std::optional<IndexEntry> index_entry;  // how the fleet's indexes hold it

  wire::Resources available() const {
    wire::Resources free = capacity;
    free -= used;
    free -= reserved;
    return free;
  }
  // Its worker sends one heartbeat at a time: one that is not above the last is a copy, or was given up.
  bool already_received(const wire::Heartbeat& heartbeat) const {
    return std::pair(heartbeat.agent_epoch, heartbeat.sequence) <= std::pair(agent_epoch, heartbeat_sequence);
  }
  // What any answer to a question asked from now on must be above, as long as the machine stays the same.
  std::pair<wire::AgentEpoch, std::uint64_t> newest_received() const {
    // While it is lost, its agent epoch is only assumed.
    if (lease_expired) return {wire::AgentEpoch{agent_epoch.value - 1}, listed_sequence};
    return {agent_epoch, std::max(last_sequence, heartbeat_sequence)};
  }
  // It could not be used and now can: an empty one has had no chance to be of use, and would else be returned
  // as idle this very moment.
  void restart_idle_time(double now) {
    if (assignments.empty()) idle_since = now;
  }
  bool takes_tasks() const {
    return up && recorded && confirmed && !lease_expired && !lease_may_end && !draining && !terminating &&
           uplink == UplinkState::up && downlink.takes_tasks();
  }
};

}  // namespace bankhill::model
