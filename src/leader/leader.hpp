// The lone leader: rounds, placement, recovery, reconciliation. docs/SAFETY.md numbers the invariants that
// the comments here cite.
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
#include "leader/quota_ledger.hpp"
#include "leader/reachability_probe.hpp"
#include "leader/rental_manager.hpp"
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

constexpr unsigned kAttemptBits = 24;  // attempts of one term; the term is above them
inline std::uint64_t term_of_attempt(wire::AttemptNumber attempt) { return attempt.value >> kAttemptBits; }

struct Settings {
  std::string node;
  std::uint64_t incarnation = 0;
  double heartbeat_interval_s = 3;  // workers report this often
  double control_interval_s =
      3;  // what is asked again, waited for or given up goes by this (app/settings.hpp)
  double lease_s = 40;
  double max_read_age_s = 6;  // that the last read barrier may have (model/cancellation_bound.hpp)
  double gang_wait_s = 45;    // a replica that spans machines is whole in this time, or stopped
  double gang_peer_s = 5;     // after one member is known to be gone, in which its peers are stopped
  // Machines that make one replica, by team and class; empty: one each.
  std::function<std::uint32_t(const std::string& team, const std::string& job_class)> replica_span;
  double list_lag_s = 5;
  std::size_t controllers = 1;
  std::size_t max_machines = 100'000;  // that all controllers together can take the heartbeats of
  std::string main_zone;               // that has the most controllers; empty if no zone has
  std::size_t txn_ops = 16;
  double value_kb = 8;
  std::size_t final_states_kept = 20000;
  std::vector<Team> teams;
  // Time in which a class's jobs should be done, from the objectives.
  std::map<std::string, std::vector<double>> within_s;  // rising
  // Multiples of its own deadline by which a class's job should be done, from the objectives.
  std::map<std::string, std::vector<double>> deadline_times;  // rising
  // Operator's settings.
  double alpha = 0.8;
  double phi = 0.1;
  double round_s = 15;
  double idle_boots = 2.5;
  double begin_within_s = 240;  // in which the largest jobs of a class should begin
  double largest_share = 0.5;   // part of them that should be served at least
};

// Messages.
struct StoreChanged {
  state::Changes changes;
};
struct LeaseGranted {  // may act as holder of this lease until then (steady clock)
  std::uint64_t lease_id = 0;
  double until = 0;
};
struct HeartbeatReceived {
  wire::Heartbeat heartbeat;
  std::uint64_t base_sequence =
      0;  // not 0: brief, all else is as in the heartbeat of that counter (invariant 19)
  net::HeartbeatReply reply;
  net::HeartbeatRoute route = net::HeartbeatRoute::direct;
  std::string forwarded_by;  // the peer that it came through; empty: none
};

class Leader : public runtime::Actor<Leader, StoreChanged, LeaseGranted, HeartbeatReceived>,
               private state::WriteOwner {
 public:
  struct Ports {
    state::Store& store;
    cloud::Cloud& cloud;
    net::Client& workers;
    std::function<void()> raise_term;
    std::function<void()> resign;
    std::function<bool()> has_peer_contact;
    std::function<double()> peer_led_at;  // when another controller last said that it leads (steady clock)
    std::function<void(wire::JobProgress)> progress;
  };

  Leader(runtime::Loop& loop, runtime::Log log, Settings settings, Ports ports);
  void start();
  // Whether this controller may give orders at this moment (invariant 2).
  bool is_active_leader() const;
  bool state_stale() const;
  std::uint64_t term() const { return term_; }
  const model::Job* job(const wire::JobId& id) const;  // nothing: not known

  void on(StoreChanged& message);
  void on(LeaseGranted& message);
  void on(HeartbeatReceived& message);

 private:
  using Continuation = std::function<void()>;
  struct PendingResponse {  // a heartbeat whose answer waits for the placement under way
    wire::MachineId machine_id;
    std::uint64_t sequence = 0;
    net::HeartbeatReply reply;
  };
  struct MachineSearchResult {  // for a task; if no machine was found, why
    model::Machine* machine = nullptr;
    bool preempted = false;             // tasks were stopped there for it
    bool rejected_for_task = false;     // one with room was passed over for a reason that is this task's own
    bool rejected_as_reserved = false;  // one was that is reserved for another, which only some tasks may use
  };
  enum class PreemptionState {
    allowed,  // for tasks to stop
    pending,  // what was stopped before is on its way
    deferred,
  };
  struct PlacementPass;
  using Jobs = std::map<wire::JobId, model::Job>;
  using Pool = model::Pool;

  // Term (leader.cpp)
  void tick();
  void follow_leadership();
  void begin_term();
  void end_term();
  void learn_job(const state::Change& change);
  void learn_partial(const wire::JobId& id, const state::Change& change);
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
  void lead_job(model::Job& job);
  void update_queue_membership(model::Job& job);  // after its ready tasks changed
  void drop_final();
  void clear_term();
  void adopt_records();
  void adopt_quota();
  bool adopt_finished(const std::string& key, const wire::Json& data);
  void probe_unconfirmed();
  void log_summary();
  ReachabilityProbe::Ports reachability_ports();
  std::vector<wire::MachineId> reachability_candidates();
  void send_read_barrier();
  void fetch_catalogue();
  void publish_progress();
  const wire::MachineType* find_machine_type(
      const std::string& name) const;  // nothing if the catalogue lacks it
  void set_capacity(model::Machine& machine) const;

  // Stored records (records.cpp): what the write coalescer asks
  bool may_write() const override;
  wire::KeyRevision expected_revision(const std::string& key) const override;
  bool is_final(const std::string& key) const override;
  bool holds(const std::string& key, const std::optional<wire::Json>& data) const override;
  bool is_urgent(const std::string& key) const override;
  state::WritePreparation prepare(const std::string& key, state::PendingWrite& write) override;
  void apply_committed(const state::Change& change) override;
  void after_commit() override;
  const model::Job* recorded_job(const std::string& key) const;  // whose record this key holds
  void drop_stray_record(const std::string& key);
  bool is_stray(const std::string& key) const;

  // Machines and their heartbeats (heartbeats.cpp)
  void probe_unregistered(const wire::Heartbeat& heartbeat, bool answered);
  void register_machine(const wire::Heartbeat& heartbeat, std::optional<double> answered_at);
  void on_machine_up(model::Machine& machine, const wire::Heartbeat& heartbeat, bool expected);
  void on_machine_restarted(model::Machine& machine);
  void on_undated_heartbeat(model::Machine& machine, const wire::Heartbeat& heartbeat,
                            const net::HeartbeatReply& reply);
  void record_machine(model::Machine& machine);
  // `by`: the peer that the heartbeat came through, empty for none; nothing for a direct answer.
  bool apply_heartbeat(model::Machine& machine, const wire::Heartbeat& heartbeat, const std::string* by);
  bool apply_brief_heartbeat(model::Machine& machine, const wire::Heartbeat& heartbeat, std::uint64_t base,
                             const std::string& by);
  void observe_downlink(model::Machine& machine, const wire::Heartbeat& heartbeat, const std::string& by,
                        bool lost_start, bool ran_start);
  void note_contact(model::Machine& machine, const wire::Heartbeat& heartbeat, bool direct);
  wire::HeartbeatResponse accepted_response(std::vector<wire::Command> commands) const;
  void apply_task_status(model::Machine& machine, const wire::TaskStatus& task_status);
  void on_task_exited(model::Machine& machine, const wire::TaskStatus& task_status);
  void on_task_completed(model::Job& job, std::uint32_t index, std::function<void()> then);
  void write_job_done(const model::Job& job, Continuation then);
  std::function<void()> mark_stored(const model::Machine& machine, const wire::TaskId& task_id);
  void on_task_failed(model::Machine& machine, model::Job& job, wire::ExitReason cause);
  void clear_suspicion(model::Job& job);
  void count_inherited(const model::Assignment& assignment);
  void adopt_task(model::Machine& machine, const wire::TaskStatus& task_status);
  void remove_assignment(model::Machine& machine, const wire::TaskId& task_id);
  void on_new_agent_epoch(model::Machine& machine, wire::AgentEpoch agent_epoch);
  static wire::Command mark_stopping(model::Assignment& assignment, double grace_period_s);
  void stop_all(const model::Job& job);
  void add_assignment(model::Machine& machine, model::Assignment assignment);
  void adjust_allocated_cores(const model::Assignment& assignment, double sign);
  void answer_heartbeat(model::Machine& machine, std::uint64_t counter, const net::HeartbeatReply& reply);
  std::vector<wire::Command> commands_for(model::Machine& machine, std::uint64_t answered_counter);
  void send_command(model::Machine& machine, std::vector<wire::Command> commands, Continuation over = {});
  struct ProbeState {  // what was known when a direct request went out
    wire::FencingToken fencing_token;
    std::pair<wire::AgentEpoch, std::uint64_t> newest;
  };
  void on_command_answered(const wire::MachineId& machine_id, const std::vector<wire::Command>& commands,
                           const ProbeState& asked, const net::Response& response);
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
  void place_tasks(model::Job& job, bool first_only, bool hopeless, PlacementPass& pass);
  MachineSearchResult find_machine(const model::Job& job);
  bool would_use_service_reserve(const model::Job& job) const;
  void search_machines(const model::Job& job, bool reclaimable, MachineSearchResult& search);
  bool is_suitable(const model::Machine& machine, const model::Job& job, const wire::TaskId& task) const;
  bool is_reserved_for_others(const model::Machine& machine, const model::Job& job, wire::Priority priority,
                              double now) const;
  double image_pull_s(const model::Job& job, const Pool& pool) const;
  void on_no_machine_found(model::Job& job, const MachineSearchResult& search, bool hopeless,
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
  // For a service that found a machine without its image: `instead_of`.
  bool preempt_for(model::Job& job, const model::Machine* instead_of = nullptr);
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

  // Replicas that span machines (gangs.cpp)
  using CommandsByMachine = std::map<wire::MachineId, std::vector<wire::Command>>;
  void track_gang(const model::Job& job);
  void update_gang_spans();
  void apply_gang_actions();
  gang::GangConstraints gang_constraints(const model::Job& job) const;
  int place_gangs(model::Job& job, CommandsByMachine& commands);
  void move_gangs();
  void rent_for_gangs(const std::vector<planner::Offer>& offers);
  std::uint32_t placeable_tasks(const model::Job& job) const;  // ready tasks that can make a replica
  void on_gang_machine_draining(const model::Machine& machine);
  void on_gang_machine_failed(const model::Machine& machine);

  // Machines (machines.cpp)
  void plan_soon() { autoscaler_.plan_soon(); }
  Autoscaler::Settings autoscaler_settings() const;
  Autoscaler::Ports autoscaler_ports();
  void look_ahead();
  calendar::DeadlineForecast::Supply supply(const std::string& team) const;
  void drain_if_excess(model::Machine& machine) { autoscaler_.drain_if_excess(machine); }
  void drain(model::Machine& machine, const std::string& reason);
  bool cancel_drain(model::Machine& machine, const std::string& reason);
  RentalManager::Settings rental_settings() const;
  RentalManager::Ports rental_ports();
  void forget_machine(const wire::MachineId& machine_id);
  void note_acting();
  void update_lease_forecast(model::Machine& machine);
  void monitor_machines(double share);
  void monitor(model::Machine& machine);
  MachineMonitor::Ports monitor_ports();
  void note_starts_in_doubt(const model::Machine& machine);
  double boot_s(const model::Machine& machine) const;
  void terminate(model::Machine& machine, const std::string& reason) {
    rental_manager_.terminate(machine, reason);
  }
  bool terminate_idle(model::Machine& machine) { return autoscaler_.terminate_if_idle(machine); }
  double decay_factor(double passed) const;

  runtime::Log log_;
  Settings settings_;
  Ports ports_;

  state::StoreCache cache_;  // all but jobs
  state::WriteCoalescer writes_;
  wire::CatalogueReader catalogue_;
  Jobs jobs_;
  model::DependencyGraph dependencies_;
  state::KeyFetcher fetcher_;  // of jobs that are named and not known
  std::deque<wire::JobId>
      cancelled_dependents_;  // never started, cancelled with one they need: not yet in their records
  std::map<wire::JobId, model::Job*> live_jobs_;
  std::deque<wire::JobId> final_order_;
  std::vector<wire::MachineType> machine_types_;
  std::uint64_t lease_id_ = 0;
  double lease_valid_until_ = 0;
  double lease_held_since_ = -1e9;  // since when the lease is held without a gap, by our count
  double barrier_sent_at_ = -1e9;   // when the last read barrier that succeeded was sent

  // Of the current term.
  bool is_leader_ = false;
  std::uint64_t term_ = 0;                 // the fencing token now
  std::uint64_t first_term_ = 0;           // the fencing token with which the term began
  wire::KeyRevision elected_at_revision_;  // jobs accepted later than this no earlier leader has started
  double term_began_at_ = 0;
  double unreadable_machine_leases_until_ =
      0;  // machines of an earlier leader may run tasks unseen: nothing starts before
  std::uint64_t attempts_ = 0;
  QuotaLedger quota_;
  model::Fleet fleet_;
  RentalManager rental_manager_;
  UnregisteredMachines unregistered_;
  storage::RecordNumbers record_numbers_;
  storage::MachineGroups machine_groups_;
  storage::CompletionBitmaps completion_bitmaps_;
  std::deque<wire::MachineId> to_probe_;  // recorded machines that this term has not asked yet
  std::size_t probes_under_way_ = 0;
  std::vector<PendingResponse> pending_responses_;
  queue::JobQueue queue_;  // of live jobs with tasks to place
  Autoscaler autoscaler_;
  gang::GangScheduler gangs_;
  queue::BackfillReservations backfill_reservations_;
  queue::PreemptionReservations preemption_reservations_;
  wire::MachineId backfill_cursor_;
  calendar::DeadlineForecast forecast_;  // of the tenants' cutoffs
  VictimSelector victim_selector_;
  ReachabilityProbe reachability_probe_;
  MachineMonitor machine_monitor_;
  model::LeaseForecast lease_forecast_;
  std::map<std::string, std::uint64_t> event_counts_;  // of what happened since the last summary in the log
  bool raising_term_ = false;
  bool uncertain_start_ = false;
  double term_raised_at_ = 0;
  double next_round_ = 0;
  double next_catalogue_ = 0;
  double next_barrier_ = 0;
  double next_progress_ = 0;
  double next_summary_ = 0;
  double last_tick_ = 0;
  bool placement_scheduled_ = false;
  runtime::Timer tick_timer_;
  runtime::Timer placement_timer_;
};

}  // namespace bankhill::leader
