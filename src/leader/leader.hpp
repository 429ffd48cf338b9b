// The controller that holds leadership: takes in heartbeats, places tasks, recovers the state of earlier
// terms and reconciles it with the cloud. docs/SAFETY.md numbers the invariants that the comments here cite.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "calendar/deadline_forecast.hpp"
#include "cloud/cloud.hpp"
#include "gang/gang_scheduler.hpp"
#include "leader/autoscaler.hpp"
#include "leader/machine_monitor.hpp"
#include "leader/progress_feed.hpp"
#include "leader/quota_ledger.hpp"
#include "leader/reachability_probe.hpp"
#include "leader/rental_manager.hpp"
#include "leader/token_raise.hpp"
#include "leader/unregistered_machines.hpp"
#include "leader/victim_selector.hpp"
#include "model/cancellation_bound.hpp"
#include "model/dependency_graph.hpp"
#include "model/fleet.hpp"
#include "model/job.hpp"
#include "model/lease_forecast.hpp"
#include "net/heartbeat_routing.hpp"
#include "net/http.hpp"
#include "planner/planner.hpp"
#include "queue/backfill_reservations.hpp"
#include "queue/job_queue.hpp"
#include "queue/preemption_reservations.hpp"
#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "state/key_fetcher.hpp"
#include "state/store.hpp"
#include "state/write_coalescer.hpp"
#include "storage/completion_bitmaps.hpp"
#include "storage/machine_groups.hpp"
#include "storage/record_numbers.hpp"

namespace bankhill::leader {

// Low bits of an attempt number, which count the attempts of one term. The bits above them hold the term.
constexpr unsigned kAttemptBits = 24;
// Number of exited attempts listed by an agent from which on starts are not sent to it directly: they take
// the place of tasks in its heartbeats (wire::kMaxHeartbeatTasks).
constexpr std::size_t kMaxExitedAttempts = 200;
inline std::uint64_t term_of_attempt(wire::AttemptNumber attempt) { return attempt.value >> kAttemptBits; }

struct Settings {
  std::string node;  // Host name of this controller.
  std::uint64_t incarnation = 0;
  double heartbeat_interval_s = 3;  // Interval at which agents send heartbeats.
  // Unit of the leader's retries, timeouts and back-offs (app/settings.hpp).
  double control_interval_s = 3;
  double lease_s = 40;
  double max_read_age_s = 6;  // Maximum age of the last read barrier (model/cancellation_bound.hpp).
  double gang_wait_s = 45;    // Time after which a gang that is still incomplete is stopped.
  double gang_peer_s = 5;  // Time in which the remaining tasks of a gang are stopped after one task was lost.
  // Number of machines that form one replica, by team and job class. If empty, each replica uses one machine.
  std::function<std::uint32_t(const std::string& team, const std::string& job_class)> replica_span;
  double list_lag_s = 5;  // Maximum delay until the cloud's machine list shows a change.
  std::size_t controllers = 1;
  std::size_t max_machines = 100'000;  // Machines whose heartbeats all controllers together can handle.
  std::string main_zone;               // The zone with the most controllers; empty if there is no such zone.
  std::size_t txn_ops = 16;
  double value_kb = 8;
  std::size_t final_states_kept = 20000;
  std::vector<Team> teams;
  // Target completion times of each job class, from the service-level objectives, in ascending order.
  std::map<std::string, std::vector<double>> completion_targets_s;
  // Target completion times of each job class as multiples of the job's own deadline, from the service-level
  // objectives, in ascending order.
  std::map<std::string, std::vector<double>> deadline_multiples;
  // Operator settings.
  double alpha = 0.8;
  double phi = 0.1;
  double round_s = 15;
  double idle_boots = 2.5;
  double begin_within_s = 240;  // Target time in which the largest jobs of a class should start.
  double largest_share = 0.5;   // Share of the largest jobs that should meet that target.
};

// Messages.
struct StoreChanged {
  state::Changes changes;
};
// This controller holds the lease with this id until `valid_until` (steady clock).
struct LeaseGranted {
  std::uint64_t lease_id = 0;
  double valid_until = 0;
};
struct HeartbeatReceived {
  wire::Heartbeat heartbeat;
  // Nonzero for a brief heartbeat: everything but the sequence number is unchanged since the heartbeat with
  // this sequence number (invariant 19).
  std::uint64_t base_sequence = 0;
  net::HeartbeatReply reply;
  net::HeartbeatRoute route = net::HeartbeatRoute::direct;
  std::string forwarded_by;  // The peer that forwarded the heartbeat; empty if none did.
};

// A controller, this one included, asks for the progress of the live jobs.
struct ProgressRequested {
  wire::ProgressRequest request;
  // Not called unless this controller leads; `as_of` is the time of the answer.
  std::function<void(wire::ProgressUpdate, double as_of)> reply;
};

// Runs on every controller and tracks jobs there; manages the fleet while this controller leads.
class Leader
    : public runtime::Actor<Leader, StoreChanged, LeaseGranted, HeartbeatReceived, ProgressRequested>,
      private state::WriteOwner {
 public:
  struct Ports {
    state::Store& store;
    cloud::Cloud& cloud;
    net::Client& workers;
    std::function<void()> raise_term;
    std::function<void()> resign;
    std::function<bool()> has_peer_contact;
    // Time on the steady clock at which a peer last announced that it leads.
    std::function<double()> peer_last_led_at;
    // Called on this controller with what changed since the last call, also if nothing did.
    std::function<void(wire::ProgressUpdate, double as_of)> publish_progress;
  };

  Leader(runtime::Loop& loop, runtime::Log log, Settings settings, Ports ports);
  void start();
  // Whether this controller may issue commands now: it leads, its lease is valid and its state is fresh
  // (invariant 2).
  bool is_active_leader() const;
  bool is_state_stale() const;
  std::uint64_t term() const { return term_; }
  // The job with this id, or nullptr if it is unknown.
  const model::Job* job(const wire::JobId& id) const;

  void on(StoreChanged& message);
  void on(LeaseGranted& message);
  void on(HeartbeatReceived& message);
  void on(ProgressRequested& message);

 private:
  using Continuation = std::function<void()>;
  // A heartbeat whose response is delayed until the scheduled placement pass has run.
  struct PendingResponse {
    wire::MachineId machine_id;
    std::uint64_t sequence = 0;
    net::HeartbeatReply reply;
  };
  // Result of the search for a machine for one task, with the reasons if none was found.
  struct MachineSearchResult {
    model::Machine* machine = nullptr;
    bool preempted = false;  // Tasks on the machine were preempted for this task.
    bool rejected_for_task =
        false;  // A machine with free resources was rejected for a reason specific to the task.
    // A machine with free resources was rejected because it is reserved for others.
    bool rejected_as_reserved = false;
  };
  // Whether tasks may be preempted for a job now.
  enum class PreemptionState {
    allowed,
    pending,   // An earlier preemption for the job is still in progress.
    deferred,  // The last preemption, or the last search for victims, was too recent.
  };
  struct PlacementPass;
  using Jobs = std::map<wire::JobId, model::Job>;
  using Pool = model::Pool;

  // Term (leader.cpp)
  void tick();
  void update_leadership();
  void begin_term();
  void end_term();
  void apply_job_change(const state::Change& change);
  void apply_unreadable_job_record(const wire::JobId& id, const state::Change& change);
  // Waiting jobs (dependencies.cpp)
  model::DependencyInfo dependency_info(const model::Job& job) const;
  model::DependencyInfo dependency_info_of(const wire::JobId& id) const;
  void add_dependencies(model::Job& job);
  void remove_live_job(model::Job& job);
  void apply_dependency_updates();
  void fetch_unknown_dependencies();
  void release_job(model::Job& job);
  void cancel_unstarted_job(model::Job& job);
  void write_cancelled_dependents();
  wire::JobRecord make_job_record(const model::Job& job) const;
  void delete_dependency_parts(const wire::JobId& id, std::uint32_t parts);
  void collect_dependency_garbage();
  wire::Priority effective_priority(const model::Job& job) const;
  void init_job_for_term(model::Job& job);
  // Adds the job to the queue or removes it. Must be called after a change of its ready tasks.
  void update_queue_membership(model::Job& job);
  void evict_ended_jobs();
  void clear_term_state();
  void adopt_records();
  void adopt_quota();
  bool adopt_completion_record(const std::string& key, const wire::Json& data);
  void probe_unconfirmed_machines();
  void log_event_summary();
  ReachabilityProbe::Ports reachability_ports();
  std::vector<wire::MachineId> reachability_candidates();
  void send_read_barrier();
  void fetch_catalogue();
  // Progress of the jobs, for all controllers (progress.cpp)
  void publish_progress();
  bool is_progress_certain(const model::Job& job) const;
  void note_active(double now);
  bool has_listened() const;
  wire::ProgressUpdate progress_after(const wire::ProgressRequest& request) const;
  wire::ProgressEntry progress_entry(const wire::JobId& id) const;
  // The machine type with this name, or nullptr if the catalogue lacks it.
  const wire::MachineType* find_machine_type(const std::string& name) const;
  void set_capacity(model::Machine& machine) const;

  // Stored records: implementation of state::WriteOwner (records.cpp)
  bool can_write() const override;
  wire::KeyRevision expected_revision(const std::string& key) const override;
  bool is_final(const std::string& key) const override;
  bool has_value(const std::string& key, const std::optional<wire::Json>& data) const override;
  bool is_urgent(const std::string& key) const override;
  state::WritePreparation prepare(const std::string& key, state::PendingWrite& write) override;
  void apply_committed(const state::Change& change) override;
  void after_commit() override;
  // The job whose record has this key, or nullptr if it is unknown.
  const model::Job* find_job_by_key(const std::string& key) const;
  void delete_recreated_record(const std::string& key);
  bool is_deleted_record(const std::string& key) const;

  // Machines, their heartbeats, commands and exited tasks (heartbeats.cpp, commands.cpp, task_exits.cpp)
  void probe_unregistered_machine(const wire::Heartbeat& heartbeat, bool answered);
  void register_machine(const wire::Heartbeat& heartbeat, std::optional<double> answered_at);
  void on_machine_up(model::Machine& machine, const wire::Heartbeat& heartbeat, bool expected);
  void on_machine_restarted(model::Machine& machine);
  void on_heartbeat_with_old_token(model::Machine& machine, const wire::Heartbeat& heartbeat,
                                   const net::HeartbeatReply& reply);
  void record_machine(model::Machine& machine);
  // `forwarded_by`: the peer that forwarded the heartbeat, empty if none did; nullptr if the heartbeat is the
  // response to a direct request. Returns false if the heartbeat is outdated.
  bool apply_heartbeat(model::Machine& machine, const wire::Heartbeat& heartbeat,
                       const std::string* forwarded_by);
  bool apply_brief_heartbeat(model::Machine& machine, const wire::Heartbeat& heartbeat,
                             std::uint64_t base_sequence, const std::string& forwarded_by);
  void observe_downlink(model::Machine& machine, const wire::Heartbeat& heartbeat,
                        const std::string& forwarded_by, bool lost_start, bool ran_start);
  void record_contact(model::Machine& machine, const wire::Heartbeat& heartbeat, bool direct);
  wire::HeartbeatResponse accepted_response(std::vector<wire::Command> commands) const;
  std::vector<wire::Command> stop_commands_for(const wire::Heartbeat& heartbeat) const;
  void apply_task_status(model::Machine& machine, const wire::TaskStatus& task_status);
  void on_task_exited(model::Machine& machine, const wire::TaskStatus& task_status);
  void on_task_completed(model::Job& job, std::uint32_t index, std::function<void()> on_stored);
  void write_job_done(const model::Job& job, Continuation on_stored);
  std::function<void()> exit_stored_callback(const model::Machine& machine, const wire::TaskId& task_id);
  void on_task_failed(model::Machine& machine, model::Job& job, wire::ExitReason reason);
  void clear_failures_of_faulty_job(model::Job& job);
  void record_inherited_task_seen(const model::Assignment& assignment);
  void adopt_task(model::Machine& machine, const wire::TaskStatus& task_status);
  model::InFlightStarts possible_starts_of(wire::AttemptNumber attempt) const;
  void remove_assignment(model::Machine& machine, const wire::TaskId& task_id);
  void on_new_agent_epoch(model::Machine& machine, wire::AgentEpoch agent_epoch);
  void withdraw_start(const model::Machine& machine, model::Assignment& assignment);
  static wire::Command mark_stopping(model::Assignment& assignment, double grace_period_s);
  void stop_all_tasks(const model::Job& job);
  void add_assignment(model::Machine& machine, model::Assignment assignment);
  void adjust_allocated_cores(const model::Assignment& assignment, double sign);
  void answer_heartbeat(model::Machine& machine, std::uint64_t sequence, const net::HeartbeatReply& reply);
  void log_forgets(const model::Machine& machine, const std::vector<wire::Command>& forgets);
  std::vector<wire::Command> commands_for(model::Machine& machine, std::uint64_t answered_sequence);
  void send_commands(model::Machine& machine, std::vector<wire::Command> commands, Continuation on_done = {});
  // `newest_received`: agent epoch and sequence number known of the machine when the request was sent.
  void on_command_answered(const wire::MachineId& machine_id, const std::vector<wire::Command>& commands,
                           const std::pair<wire::AgentEpoch, std::uint64_t>& newest_received,
                           const net::Response& response);
  void on_preemption_notice(model::Machine& machine, double preemption_notice_s);

  // Placement (placement.cpp)
  void schedule_placement();
  void run_placement_pass();
  queue::JobQueue::Settings queue_settings() const;
  queue::JobQueue::Callbacks queue_callbacks();
  void update_overload_state(double wanted, double lacking);
  bool may_start(const model::Job& job) const;
  bool quota_admits(const model::Job& job, std::uint32_t tasks = 1);
  void write_quota(bool lower);
  bool within_guarantee(const model::Job& job) const;
  bool zone_allows(const model::Job& job, const std::string& zone) const;
  bool may_run_on_unconfirmed_machine(const model::Job& job) const;
  void schedule_pass_at_reorder();
  void place_job(const queue::Candidate& candidate, PlacementPass& pass);
  void place_tasks(model::Job& job, bool first_task_only, bool known_unplaceable, PlacementPass& pass);
  MachineSearchResult find_machine(const model::Job& job);
  bool would_use_service_reserve(const model::Job& job) const;
  void search_machines(const model::Job& job, bool preemptible, MachineSearchResult& search);
  bool is_suitable(const model::Machine& machine, const model::Job& job, const wire::TaskId& task) const;
  bool is_reserved_for_others(const model::Machine& machine, const model::Job& job, wire::Priority priority,
                              double now) const;
  double image_pull_s(const model::Job& job, const Pool& pool) const;
  void on_no_machine_found(model::Job& job, const MachineSearchResult& search, bool known_unplaceable,
                           PlacementPass& pass);
  void start_task(model::Machine& machine, model::Job& job, std::uint32_t index, PlacementPass& pass);
  void log_start(const model::Machine& machine, const wire::TaskId& task) const;
  void record_early_start(const model::Job& job);
  void send_start_commands(PlacementPass& pass);
  bool reserve_for_backfill(model::Job& job);
  std::optional<double> expected_fit_at(const model::Machine& machine, const wire::Resources& request) const;
  void answer_pending_heartbeats();
  void assign_task(model::Machine& machine, model::Job& job, std::uint32_t index);
  bool has_too_many_services(const model::Machine& machine, const model::Job& job) const;

  // Preemption (preemption_execution.cpp)
  // `machine_without_image`: for a service, the machine without its image on which it would start otherwise.
  bool preempt_for(model::Job& job, const model::Machine* machine_without_image = nullptr);
  PreemptionState preemption_state(const model::Job& job) const;
  bool could_preempt_on(const model::Machine& machine, const model::Job& job) const;
  double max_grace_period_s(const PreemptionCandidate& chosen) const;
  double grace_period_s(const wire::JobId& id) const;
  void review_preemptions();
  double preemption_deadline(const queue::Preemption& preemption, const model::Machine& machine) const;
  model::Machine* find_freed_machine(const model::Job& job);
  bool may_reclaim_borrowed(const model::Job& job) const;
  bool could_run_on(const model::Machine& machine, const model::Job& job) const;
  void stop_victims(const PreemptionCandidate& chosen, const model::Job& job);
  void on_assignment_removed(const model::Machine& machine, const model::Assignment& assignment);
  void log_ended_preemptions();

  // Gangs: replicas that span machines (gangs.cpp)
  using CommandsByMachine = std::map<wire::MachineId, std::vector<wire::Command>>;
  void track_gang(const model::Job& job);
  void update_gang_spans();
  void apply_gang_actions();
  gang::GangConstraints gang_constraints(const model::Job& job) const;
  int place_gangs(model::Job& job, CommandsByMachine& commands);
  void move_gangs();
  void rent_for_gangs(const std::vector<planner::Offer>& offers);
  bool rent_for_gang(const model::Job& job, const gang::Shortage& shortage,
                     const std::vector<planner::Offer>& offers);
  bool is_machine_booting_for(const model::Job& job, const planner::Workload& workload) const;
  std::vector<std::string> zones_for_gang(const model::Job& job) const;
  // Number of the job's ready tasks that can form complete replicas.
  std::uint32_t placeable_tasks(const model::Job& job) const;
  void on_gang_machine_draining(const model::Machine& machine);
  void on_gang_machine_failed(const model::Machine& machine);

  // Machines (machines.cpp)
  void schedule_planning() { autoscaler_.schedule_planning(); }
  Autoscaler::Settings autoscaler_settings() const;
  Autoscaler::Ports autoscaler_ports();
  void update_deadline_forecast();
  calendar::DeadlineForecast::Supply supply_for(const std::string& team) const;
  void drain_if_excess(model::Machine& machine) { autoscaler_.drain_if_excess(machine); }
  void drain(model::Machine& machine, const std::string& reason);
  bool cancel_drain(model::Machine& machine, const std::string& reason);
  RentalManager::Settings rental_settings() const;
  RentalManager::Ports rental_ports();
  void remove_machine(const wire::MachineId& machine_id);
  void record_leading();
  void update_lease_forecast(model::Machine& machine);
  void monitor_machines(double share);
  void monitor_machine(model::Machine& machine);
  MachineMonitor::Ports monitor_ports();
  void add_token_raise_demand(const model::Machine& machine);
  double usual_boot_s(const model::Machine& machine) const;
  void terminate(model::Machine& machine, const std::string& reason) {
    rental_manager_.terminate(machine, reason);
  }
  bool terminate_if_idle(model::Machine& machine) { return autoscaler_.terminate_if_idle(machine); }
  double decay_factor(double elapsed_s) const;

  runtime::Log log_;
  Settings settings_;
  Ports ports_;

  state::StoreCache cache_;  // All stored records except those of jobs.
  state::WriteCoalescer writes_;
  wire::CatalogueReader catalogue_;
  Jobs jobs_;
  model::DependencyGraph dependencies_;
  state::KeyFetcher fetcher_;  // Reads the records of dependencies that are not in memory.
  // Jobs cancelled before their start, together with a dependency, whose records do not say so yet.
  std::deque<wire::JobId> cancelled_dependents_;
  std::map<wire::JobId, model::Job*> live_jobs_;
  // Ended jobs still in memory. The front is the next candidate for eviction.
  std::deque<wire::JobId> ended_jobs_;
  std::vector<wire::MachineType> machine_types_;
  std::uint64_t lease_id_ = 0;
  double lease_valid_until_ = 0;
  double lease_held_since_ = -1e9;  // Start of the current uninterrupted hold of the lease, as observed here.
  double barrier_sent_at_ = -1e9;   // Time at which the last successful read barrier was sent.

  // State of the current term.
  bool is_leader_ = false;
  std::uint64_t term_ = 0;        // The current fencing token.
  std::uint64_t first_term_ = 0;  // The fencing token with which the term began.
  // Store revision at the election. No earlier leader can have started a job accepted after it.
  wire::KeyRevision elected_at_revision_;
  double term_began_at_ = 0;
  // Time until which machines of earlier terms whose records cannot be read may still run tasks. Nothing is
  // started before it.
  double unreadable_machine_leases_until_ = 0;
  std::uint64_t attempts_ = 0;  // Number of attempts started in this term.
  QuotaLedger quota_;
  model::Fleet fleet_;
  RentalManager rental_manager_;
  UnregisteredMachines unregistered_machines_;
  storage::RecordNumbers record_numbers_;
  storage::MachineGroups machine_groups_;
  storage::CompletionBitmaps completion_bitmaps_;
  std::deque<wire::MachineId> machines_to_probe_;  // Recorded machines that this term has not probed yet.
  std::size_t probes_in_flight_ = 0;
  std::vector<PendingResponse> pending_responses_;
  queue::JobQueue queue_;  // Live jobs with ready tasks.
  Autoscaler autoscaler_;
  gang::GangScheduler gangs_;
  queue::BackfillReservations backfill_reservations_;
  queue::PreemptionReservations preemption_reservations_;
  wire::MachineId backfill_cursor_;
  calendar::DeadlineForecast deadline_forecast_;  // Forecast for the cutoffs in the teams' calendars.
  VictimSelector victim_selector_;
  ReachabilityProbe reachability_probe_;
  MachineMonitor machine_monitor_;
  model::LeaseForecast lease_forecast_;
  std::map<std::string, std::uint64_t>
      event_counts_;  // Events since the last summary in the log, by description.
  TokenRaise token_raise_;
  double next_round_at_ = 0;
  double next_catalogue_fetch_at_ = 0;
  double next_barrier_at_ = 0;
  ProgressFeed progress_feed_;
  std::uint64_t published_version_ = 0;  // of the progress feed, on this controller
  double next_progress_at_ = 0;
  double last_active_at_ = -1e9;  // last tick at which this controller was the active leader
  double listening_until_ = 0;    // until then, agents that it did not answer may still have news
  double next_summary_at_ = 0;
  double last_tick_at_ = 0;
  bool placement_scheduled_ = false;
  runtime::Timer tick_timer_;
  runtime::Timer placement_timer_;
};

}  // namespace bankhill::leader
