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

// A task that was sent to a machine to start there. It stays bound to the machine until it is proved that it
// can no longer run there.
struct Assignment {
  wire::TaskId task;
  wire::AttemptNumber attempt;
  std::string team;
  std::string job_class;
  wire::Priority priority = wire::Priority::normal;
  bool is_service = false;
  bool largest = false;  // the job was among the largest of its class when the task was bound
  // The one task of a batch job that was placed ahead of all other batch jobs because the job had waited
  // long.
  bool started_for_long_wait = false;
  wire::Resources request;
  wire::AgentEpoch agent_epoch;  // agent epoch for which the start command was sent
  AssignmentState state = AssignmentState::sent;
  bool stopping = false;
  bool orphaned = false;  // reported by this machine although bound elsewhere or ended: to be stopped
  double grace_period_s = 0;
  double assigned_at = 0;  // time at which the task was bound, on the steady clock
  double running_since = 0;
  InFlightStarts in_flight_starts;

  double running_s(double now) const { return running_since > 0 ? now - running_since : 0; }
};

// An exited attempt that the agent still lists in its heartbeats.
struct ExitedAttempt {
  wire::AttemptNumber attempt;
  bool stored = true;  // the exit is stored durably or need not be
  InFlightStarts in_flight_starts;
};

// Running totals over the machines of a pool, of a zone or of the fleet.
struct FleetTotals {
  std::size_t up = 0;
  std::size_t overdue = 0;        // up, out of contact for longer than heartbeats can take
  std::size_t downlink_lost = 0;  // up and not overdue, with a downlink that is suspect or lost
  std::size_t booting = 0;        // rented and not up yet, with a boot that is not overdue
  std::size_t joining = 0;        // up and about to take tasks: not recorded, not confirmed or lease may end
  std::size_t unconfirmed = 0;    // inherited from an earlier leader and not confirmed in this term
  wire::Resources unconfirmed_capacity;
  // Cores of machines that are up or booting and not draining, except those whose downlink or uplink is lost.
  double cores = 0;
  double free_cores = 0;  // free cores of machines that take tasks now

  FleetTotals& operator+=(const FleetTotals& other);
};

// What the indexes of Fleet hold for a machine, kept to remove it again.
struct IndexEntry {
  PoolState* pool = nullptr;
  FleetTotals contribution;
  bool has_free_slot = false;
  double cores = 0;
};

struct Machine {
  wire::MachineId id;
  std::uint64_t number = 0;  // rank in the order in which the leader learned of the machines
  std::string address;
  std::string machine_type;
  std::string zone;
  bool preemptible = false;
  wire::Resources capacity;

  bool up = false;                // has sent a heartbeat, or its record says so
  bool recorded = false;          // its record is committed, so it may get tasks
  bool record_pending = false;    // its record is being committed
  bool inherited = false;         // was recorded when this term began: may run tasks of an earlier leader
  bool confirmed = false;         // has seen a fencing token of this term, or never had an earlier one
  bool rented_this_term = false;  // rented in this term: no message from it can be from an earlier term
  bool lease_expired = false;     // the lease has expired for certain, with no heartbeat or response since
  bool lease_may_end = false;     // the lease may end before its next renewal (model/lease_forecast.hpp)
  bool draining = false;          // gets no more tasks
  bool terminating = false;
  bool termination_sent = false;
  bool boot_overdue = false;  // booting for so long that it no longer counts as expected capacity
  bool overdue = false;       // out of contact for longer than heartbeats can take
  UplinkState uplink = UplinkState::up;
  std::string drain_reason;
  std::string record_group;  // name of the stored group that holds its record

  wire::AgentEpoch agent_epoch;
  std::uint64_t last_sequence = 0;    // highest sequence number applied in this agent epoch
  std::uint64_t listed_sequence = 0;  // sequence of the last heartbeat whose list of tasks was applied
  // Sequence of the last heartbeat of this agent epoch; responses to direct requests do not count.
  std::uint64_t heartbeat_sequence = 0;
  wire::FencingToken seen_token;  // highest fencing token that the agent has shown
  // Times below are on the leader's steady clock.
  double first_seen = 0;
  double last_contact = 0;  // time of the last new heartbeat or response to a direct request
  AgentLease lease;         // latest possible end of the agent's lease
  // Time at which a heartbeat of the current agent epoch was last answered in this term; nullopt: not yet.
  std::optional<double> answered_at;
  double last_heartbeat_applied_at = 0;
  double last_heartbeat_received_at = 0;  // counts heartbeats with outdated content too
  bool regular_heartbeat = true;          // the last heartbeat was due by the interval, not sent for a change
  double last_probe = 0;
  std::uint32_t probes_unanswered = 0;  // consecutive direct probes without a response
  double uncertain_start_at = 0;        // time of the last direct start that was not answered
  double idle_since = 0;
  std::optional<double> preemption_at;  // time at which the cloud reclaims the machine

  std::map<wire::TaskId, Assignment> assignments;
  std::map<wire::TaskId, ExitedAttempt> exited_attempts;
  wire::Resources used;
  wire::Resources reserved;      // resources reserved for gang tasks not placed yet (gang/gang_fit.hpp)
  double service_cores = 0;      // cores used by tasks of services
  std::set<std::string> images;  // container images that are ready on the machine
  std::uint32_t errors_in_row = 0;
  std::set<wire::JobId> error_jobs;
  DownlinkHealth downlink;
  std::optional<IndexEntry> index_entry;  // its entry in the indexes of Fleet; nullopt: not indexed

  // Whether the agent can list one more task in its heartbeats, which would otherwise not be accepted and not
  // renew its lease.
  bool can_list_more_tasks() const {
    return assignments.size() + exited_attempts.size() < wire::kMaxHeartbeatTasks;
  }
  wire::Resources available() const {
    if (!can_list_more_tasks()) return {};
    wire::Resources free = capacity;
    free -= used;
    free -= reserved;
    return free;
  }
  // Whether a heartbeat is a duplicate or outdated. The agent has one heartbeat outstanding at a time, so one
  // that is not newer than the last is a copy or one that the agent stopped waiting for.
  bool already_received(const wire::Heartbeat& heartbeat) const {
    return std::pair(heartbeat.agent_epoch, heartbeat.sequence) <= std::pair(agent_epoch, heartbeat_sequence);
  }
  // Lower bound (exclusive) on the agent epoch and sequence number of any response to a request sent from now
  // on, as long as the machine is the same.
  std::pair<wire::AgentEpoch, std::uint64_t> newest_received() const {
    // After the lease has expired, it is not known whether the agent epoch still lasts.
    if (lease_expired) return {wire::AgentEpoch{agent_epoch.value - 1}, listed_sequence};
    return {agent_epoch, std::max(last_sequence, heartbeat_sequence)};
  }
  // Called when a machine becomes usable again. An empty machine could not get tasks until now and would
  // otherwise be terminated as idle at once.
  void restart_idle_time(double now) {
    if (assignments.empty()) idle_since = now;
  }
  bool takes_tasks() const {
    return up && recorded && confirmed && !lease_expired && !lease_may_end && !draining && !terminating &&
           uplink == UplinkState::up && downlink.takes_tasks();
  }
};

}  // namespace bankhill::model
