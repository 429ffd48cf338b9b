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

#include "calendar/outlook.hpp"
#include "cloud/cloud.hpp"
#include "leader/autoscaler.hpp"
#include "leader/machine_monitor.hpp"
#include "leader/preemption.hpp"
#include "leader/quota_ledger.hpp"
#include "leader/reachability_probe.hpp"
#include "leader/rental_manager.hpp"
#include "leader/strangers.hpp"
#include "model/cancel_budget.hpp"
#include "model/fleet.hpp"
#include "model/job.hpp"
#include "model/waits.hpp"
#include "net/http.hpp"
#include "net/reports.hpp"
#include "planner/planner.hpp"
#include "queue/kept_room.hpp"
#include "queue/made_room.hpp"
#include "queue/queue.hpp"
#include "replicas/placer.hpp"
#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "state/reader.hpp"
#include "state/store.hpp"
#include "state/write_coalescer.hpp"
#include "storage/completion_bitmaps.hpp"
#include "storage/machine_groups.hpp"
#include "storage/record_numbers.hpp"

namespace bankhill::leader {

constexpr unsigned kTryBits = 24;  // attempts of one term; the term is above them
inline std::uint64_t started_under(wire::TryNo try_no) { return try_no.value >> kTryBits; }

struct Settings {
  std::string node;
  std::uint64_t incarnation = 0;
  double report_s = 3;  // workers report this often
  double pace_s = 3;    // what is asked again, waited for or given up goes by this (app/settings.hpp)
  double lease_s = 40;
  double read_age_s = 6;    // that the last read barrier may have (model/cancel_budget.hpp)
  double gang_wait_s = 45;  // a replica that spans machines is whole in this time, or stopped
  double gang_peer_s = 5;   // after one member is known to be gone, in which its peers are stopped
  // Machines that make one replica, by team and class; empty: one each.
  std::function<std::uint32_t(const std::string& owner, const std::string& queue)> span;
  double list_lag_s = 5;
  std::size_t controllers = 1;
  std::size_t most_machines = 100'000;  // that all controllers together can take the reports of
  std::string main_zone;                // that has the most controllers; empty if no zone has
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
struct Changed {
  state::Changes changes;
};
struct Valid {  // may act as holder of this lease until then (steady clock)
  std::uint64_t hold = 0;
  double until = 0;
};
struct Reported {
  wire::Report report;
  std::uint64_t base = 0;  // not 0: brief, all else is as in the report of that counter (invariant 19)
  net::RulingReply reply;
  net::Via via = net::Via::worker;
  std::string by;  // the sibling that it came through; empty: none
};

class Leader : public runtime::Actor<Leader, Changed, Valid, Reported>, private state::WriteOwner {
 public:
  struct Ports {
    state::Store& store;
    cloud::Cloud& cloud;
    net::Client& workers;
    std::function<void()> raise_term;
    std::function<void()> resign;
    std::function<bool()> sibling_heard;
    std::function<void(wire::Progress)> progress;
  };

  Leader(runtime::Loop& loop, runtime::Log log, Settings settings, Ports ports);
  void start();
  // Whether this controller may give orders at this moment (invariant 2).
  bool valid() const;
  bool deaf() const;
  std::uint64_t term() const { return term_; }
  const model::Job* job(const wire::JobId& id) const;  // nothing: not known

  void on(Changed& message);
  void on(Valid& message);
  void on(Reported& message);

 private:
  using Then = std::function<void()>;
  struct Awaiting {  // a report whose answer waits for the placement under way
    wire::HostId host;
    std::uint64_t counter = 0;
    net::RulingReply reply;
  };
  struct MachineSearch {  // for a task; if no machine was found, why
    model::Machine* machine = nullptr;
    bool own_reason = false;  // one with room was passed over for a reason that is this task's own
    bool reserved = false;    // one was that is reserved for another, which only shorter tasks may use
  };
  enum class PreemptionState {
    may_search,   // for tasks to stop
    room_coming,  // what was stopped before is on its way
    wait,
  };
  struct PlacementTurn;
  using Jobs = std::map<wire::JobId, model::Job>;
  using Pool = model::Pool;

  // Reign (leader.cpp)
  void tick();
  void follow_leadership();
  void begin_reign();
  void end_reign();
  void learn_job(const state::Change& change);
  void learn_remains(const wire::JobId& id, const state::Change& change);
  // Waiting jobs (pipelines.cpp)
  model::JobFact fact(const model::Job& job) const;
  model::JobFact look_up(const wire::JobId& id) const;
  void add_waits(model::Job& job);
  void leave_live(model::Job& job);
  void take_waits_news();
  void ask_unknown();
  void release_job(model::Job& job);
  void end_unstarted(model::Job& job);
  void write_cancelled();
  wire::JobRecord record_of(const model::Job& job) const;
  void drop_waits_parts(const wire::JobId& id, std::uint32_t parts);
  void tidy_waits();
  wire::Rank rank(const model::Job& job) const;
  void lead_job(model::Job& job);
  void note(model::Job& job);  // after its ready tasks changed
  void drop_final();
  void forget_reign();
  void adopt_records();
  void adopt_bounds();
  bool adopt_finished(const std::string& key, const wire::Json& data);
  void ask_unconfirmed();
  void summarize();
  ReachabilityProbe::Ports reachability_ports();
  std::vector<wire::HostId> reachability_candidates();
  void resync();
  void fetch_catalogue();
  void publish_progress();
  const wire::Flavor* flavor(const std::string& name) const;  // nothing if the catalogue lacks it
  void set_size(model::Machine& machine) const;

  // Stored records (intents.cpp): what the write coalescer asks
  bool may_write() const override;
  wire::Stamp expected_revision(const std::string& key) const override;
  bool is_final(const std::string& key) const override;
  bool holds(const std::string& key, const std::optional<wire::Json>& data) const override;
  bool is_urgent(const std::string& key) const override;
  state::WritePreparation prepare(const std::string& key, state::PendingWrite& write) override;
  void apply_committed(const state::Change& change) override;
  void after_commit() override;
  const model::Job* recorded_job(const std::string& key) const;  // whose record this key holds
  void drop_stray(const std::string& key);
  bool is_stray(const std::string& key) const;

  // Machines and their reports (reports.cpp)
  void meet(const wire::Report& report);
  void welcome(const wire::Report& report);
  void came_up(model::Machine& machine, const wire::Report& report, bool expected);
  void came_back(model::Machine& machine);
  void undated(model::Machine& machine, const wire::Report& report, const net::RulingReply& reply);
  void record(model::Machine& machine);
  // `by`: the sibling that the report came through, empty for none; nothing for a direct answer.
  bool apply(model::Machine& machine, const wire::Report& report, const std::string* by);
  bool apply_brief(model::Machine& machine, const wire::Report& report, std::uint64_t base,
                   const std::string& by);
  void hear(model::Machine& machine, const wire::Report& report, const std::string& by, bool lost_start,
            bool ran_start);
  void heard(model::Machine& machine, const wire::Report& report, bool direct);
  wire::Ruling granted(std::vector<wire::Order> orders) const;
  void apply_member(model::Machine& machine, const wire::MemberReport& member);
  void exited(model::Machine& machine, const wire::MemberReport& member);
  void finish(model::Job& job, std::uint32_t index, std::function<void()> then);
  void write_done(const model::Job& job, Then then);
  std::function<void()> mark_stored(const model::Machine& machine, const wire::MemberId& member);
  void failed(model::Machine& machine, model::Job& job, wire::ExitCause cause);
  void acquit(model::Job& job);
  void seen(const model::Bind& bind);
  void adopt(model::Machine& machine, const wire::MemberReport& member);
  void unbind(model::Machine& machine, const wire::MemberId& member);
  void new_tenure(model::Machine& machine, wire::Tenure tenure);
  void stop(model::Machine& machine, model::Bind& bind, double wind_down_s);
  void stop_all(const model::Job& job);
  void add_bind(model::Machine& machine, model::Bind bind);
  void hold(const model::Bind& bind, double sign);
  void answer_report(model::Machine& machine, std::uint64_t counter, const net::RulingReply& reply);
  std::vector<wire::Order> orders_for(model::Machine& machine, std::uint64_t answered_counter);
  void send_direct(model::Machine& machine, std::vector<wire::Order> orders, Then over = {});
  struct Asked {  // what was known when a direct request went out
    wire::Fence fence;
    std::pair<wire::Tenure, std::uint64_t> newest;
  };
  void direct_answered(const wire::HostId& host, const std::vector<wire::Order>& orders, const Asked& asked,
                       const net::Response& response);
  void warned(model::Machine& machine, double warning_s);

  // Placement (placement.cpp)
  void place_soon();
  void place();
  queue::Queue::Settings queue_settings() const;
  queue::Queue::Facts queue_facts();
  void note_overload(double wanted, double lacking);
  bool may_start(const model::Job& job) const;
  bool team_has_room(const model::Job& job, std::uint32_t tasks = 1);
  void write_bounds(bool lower);
  bool within_guarantee(const model::Job& job) const;
  bool zone_allows(const model::Job& job, const std::string& zone) const;
  bool unconfirmed_could_hold(const model::Job& job) const;
  void place_with_next_order();
  void place_job(const queue::Candidate& candidate, PlacementTurn& turn);
  void place_tasks(model::Job& job, bool first_only, bool hopeless, PlacementTurn& turn);
  MachineSearch find_machine(const model::Job& job);
  bool needs_service_reserve(const model::Job& job) const;
  void pick(const model::Job& job, bool reclaimable, MachineSearch& search);
  bool suits(const model::Machine& machine, const model::Job& job, const wire::MemberId& task) const;
  bool reserved_for_others(const model::Machine& machine, const model::Job& job, wire::Rank priority,
                           double now) const;
  double image_pull_s(const model::Job& job, const Pool& pool) const;
  void wait_for_machine(model::Job& job, const MachineSearch& search, bool hopeless, PlacementTurn& turn);
  void start_task(model::Machine& machine, model::Job& job, std::uint32_t index, PlacementTurn& turn);
  void note_begun_early(const model::Job& job);
  void send_starts(PlacementTurn& turn);
  bool keep_room(model::Job& job);
  std::optional<double> has_room_at(const model::Machine& machine, const wire::Amounts& request) const;
  void answer_awaiting();
  void bind(model::Machine& machine, model::Job& job, std::uint32_t index);
  bool make_room(model::Job& job, bool with_image);
  PreemptionState preemption_state(const model::Job& job, bool with_image) const;
  bool may_reclaim_borrowed(const model::Job& job) const;
  bool could_run_on(const model::Machine& machine, const model::Job& job) const;
  void stop_victims(const PreemptionCandidate& chosen, const model::Job& job);
  bool crowded(const model::Machine& machine, const model::Job& job) const;

  // Replicas that span machines (replicas.cpp)
  using Orders = std::map<wire::HostId, std::vector<wire::Order>>;
  void follow_replicas(const model::Job& job);
  void follow_policy();
  void act_on_replicas();
  replicas::Site replica_site(const model::Job& job) const;
  int place_replicas(model::Job& job, Orders& orders);
  void move_replicas();
  void rent_for_replicas(const std::vector<planner::Offer>& offers);
  std::uint32_t placeable(const model::Job& job) const;  // ready tasks that can make a replica
  void replicas_leave(const model::Machine& machine);
  void replicas_fail(const model::Machine& machine);

  // Fleet (fleet.cpp)
  void plan_soon() { autoscaler_.plan_soon(); }
  Autoscaler::Settings autoscaler_settings() const;
  Autoscaler::Ports autoscaler_ports();
  void look_ahead();
  calendar::Outlook::Supply supply(const std::string& owner) const;
  void spare(model::Machine& machine) { autoscaler_.drain_if_excess(machine); }
  void drain(model::Machine& machine, const std::string& reason);
  bool use_again(model::Machine& machine, const std::string& reason);
  RentalManager::Settings rental_settings() const;
  RentalManager::Ports rental_ports();
  void forget_machine(const wire::HostId& machine_id);
  void watch_machines(double share);
  void watch(model::Machine& machine);
  MachineMonitor::Ports monitor_ports();
  void note_starts_in_doubt(const model::Machine& machine);
  double boot_s(const model::Machine& machine) const;
  void release(model::Machine& machine, const std::string& reason) {
    rental_manager_.terminate(machine, reason);
  }
  bool return_idle(model::Machine& machine) { return autoscaler_.terminate_if_idle(machine); }
  double kept(double passed) const;

  runtime::Log log_;
  Settings settings_;
  Ports ports_;

  state::View view_;  // all but jobs
  state::WriteCoalescer writes_;
  wire::CatalogueReader catalogue_;
  Jobs jobs_;
  model::Waits waits_;
  state::Reader reader_;  // of jobs that are named and not known
  std::deque<wire::JobId>
      to_cancel_;  // never started, cancelled with one they need: not yet in their records
  std::map<wire::JobId, model::Job*> live_;
  std::deque<wire::JobId> final_order_;
  std::vector<wire::Flavor> flavors_;
  std::uint64_t hold_ = 0;
  double valid_until_ = 0;
  double renewed_since_ = -1e9;  // since when the lease is held without a gap, by our count
  double synced_at_ = -1e9;      // when the last read barrier that succeeded was sent

  // Of the current reign.
  bool reigning_ = false;
  std::uint64_t term_ = 0;        // the fence now
  std::uint64_t first_term_ = 0;  // the fence with which the reign began
  wire::Stamp won_;               // jobs accepted later than this no earlier leader has started
  double reign_since_ = 0;
  double blind_until_ = 0;  // machines of an earlier leader may run tasks unseen: nothing starts before
  std::uint64_t tries_ = 0;
  QuotaLedger quota_;
  model::Fleet fleet_;
  RentalManager rental_manager_;
  Strangers strangers_;
  storage::RecordNumbers record_numbers_;
  storage::MachineGroups machine_groups_;
  storage::CompletionBitmaps completion_bitmaps_;
  std::deque<wire::HostId> to_ask_;  // recorded machines that this reign has not asked yet
  std::size_t asking_ = 0;
  std::vector<Awaiting> awaiting_;
  queue::Queue queue_;  // of live jobs with tasks to place
  Autoscaler autoscaler_;
  replicas::Placer replicas_;
  queue::KeptRoom kept_room_;
  queue::MadeRoom made_room_;
  wire::HostId keep_cursor_;
  calendar::Outlook outlook_;  // of the tenants' cutoffs
  VictimSelector victim_selector_;
  ReachabilityProbe reachability_probe_;
  MachineMonitor machine_monitor_;
  std::map<std::string, std::uint64_t> tally_;  // of what happened since the last summary in the log
  bool raising_ = false;
  bool doubtful_ = false;
  double raised_at_ = 0;
  double next_round_ = 0;
  double next_catalogue_ = 0;
  double next_sync_ = 0;
  double next_progress_ = 0;
  double next_summary_ = 0;
  double last_tick_ = 0;
  bool place_scheduled_ = false;
  runtime::Timer tick_timer_;
  runtime::Timer place_timer_;
};

}  // namespace bankhill::leader
