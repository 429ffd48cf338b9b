// The lone leader: rounds, placement, recovery, reconciliation. docs/SAFETY.md numbers the invariants that
// the comments here cite.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cloud/cloud.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "net/http.hpp"
#include "planner/planner.hpp"
#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "state/store.hpp"

namespace bankhill::leader {

struct Team {
  std::string name;
  wire::Amounts guarantee;  // cores and accelerators
  wire::Amounts limit;
};

struct Settings {
  std::string node;
  std::uint64_t incarnation = 0;
  double report_s = 3;
  double lease_s = 40;
  double cancel_s = 60;
  double list_lag_s = 5;
  std::size_t txn_ops = 16;
  std::vector<Team> teams;
  // Time in which a class's jobs should be done, from the objectives.
  std::map<std::string, std::vector<double>> within_s;  // rising
  // Operator's settings.
  double alpha = 0.8;
  double phi = 0.1;
  double round_s = 15;
  double idle_boots = 1;
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
  net::Reply reply;
};

class Leader : public runtime::Actor<Leader, Changed, Valid, Reported> {
 public:
  struct Ports {
    state::Store& store;
    cloud::Cloud& cloud;
    net::Client& workers;
    std::function<void()> raise_term;
    std::function<void(wire::Progress)> progress;
  };

  Leader(runtime::Loop& loop, runtime::Log log, Settings settings, Ports ports);
  void start();
  // Whether this controller may give orders at this moment (invariant 2).
  bool valid() const;
  std::uint64_t term() const { return term_; }

  void on(Changed& message);
  void on(Valid& message);
  void on(Reported& message);

 private:
  struct Usage {
    wire::Amounts used;
  };
  struct Intent {
    std::optional<wire::Json> data;
    std::vector<std::function<void()>> then;
  };
  struct Rental {
    wire::RentalRecord record;
    bool asking = false;
    double retry_at = 0;
  };
  struct Pool {  // machines of one flavor, zone and kind
    std::string flavor;
    std::string rack_room;
    bool reclaimable = false;
    auto operator<=>(const Pool&) const = default;
  };
  struct Stockout {
    double until = 0;
    double pause = 0;
  };
  struct Reclaims {
    double count = 0;
    double machine_s = 0;
  };
  using Jobs = std::map<wire::JobId, model::Job>;
  using Machines = std::map<wire::HostId, model::Machine>;

  // Reign (leader.cpp)
  void tick();
  void begin_reign();
  void end_reign();
  void learn_job(const state::Change& change);
  void lead_job(model::Job& job);
  void resync();
  void fetch_catalogue();
  void publish_progress();
  const Team* team(const std::string& name) const;
  const wire::Flavor* flavor(const std::string& name) const;  // nothing if the catalogue lacks it
  void set_size(model::Machine& machine) const;

  // Stored intents (intents.cpp)
  void store(const std::string& key, std::optional<wire::Json> data, std::function<void()> then = {});
  void flush();
  void committed(std::map<std::string, Intent> batch, wire::Epoch epoch);
  void resolve(std::map<std::string, Intent> batch);

  // Machines and their reports (reports.cpp)
  model::Machine& machine_for(const wire::Report& report);
  void record(model::Machine& machine);
  bool apply(model::Machine& machine, const wire::Report& report, bool direct);
  void apply_member(model::Machine& machine, const wire::MemberReport& member);
  void exited(model::Machine& machine, const wire::MemberReport& member);
  void finish(model::Job& job, std::uint32_t index, std::function<void()> then);
  std::function<void()> mark_stored(const model::Machine& machine, const wire::MemberId& member);
  void failed(model::Machine& machine, model::Job& job, wire::ExitCause cause);
  void adopt(model::Machine& machine, const wire::MemberReport& member);
  void unbind(model::Machine& machine, const wire::MemberId& member);
  void new_tenure(model::Machine& machine, wire::Tenure tenure);
  void stop(model::Machine& machine, model::Bind& bind, double wind_down_s);
  void stop_all(const model::Job& job);
  std::vector<wire::Order> orders_for(model::Machine& machine, std::uint64_t answered_counter);
  void send_direct(model::Machine& machine, std::vector<wire::Order> orders);
  void direct_answered(const wire::HostId& host, const std::vector<wire::Order>& orders, wire::Fence fence,
                       const net::Response& response);
  void warned(model::Machine& machine, double warning_s);

  // Placement (placement.cpp)
  void place_soon();
  void place();
  bool may_start(const model::Job& job) const;
  bool team_has_room(const model::Job& job) const;
  bool within_guarantee(const model::Job& job) const;
  double due_in(const model::Job& job) const;
  double slack(const model::Job& job) const;
  bool zone_allows(const model::Job& job, const std::string& zone) const;
  model::Machine* pick(const model::Job& job, bool reclaimable);
  void bind(model::Machine& machine, model::Job& job, std::uint32_t index);
  void make_room(const model::Job& job);
  double task_s(const model::Job& job) const;

  // Fleet (fleet.cpp)
  void plan_soon();
  void plan_fleet();
  std::vector<planner::Work> current_work(bool& waiting);
  void top_up(const planner::Plan& plan, const std::vector<planner::Offer>& offers, bool waiting);
  double rent(const planner::Offer& offer, bool reclaimable, double count);
  void ask(const std::string& name);
  void rented(const std::string& name, const cloud::Rented& result);
  void settle_rentals();
  void watch_machines();
  void release(model::Machine& machine, const std::string& reason);
  void send_releases();
  void gone(const wire::HostId& host);
  void list_hosts();
  void return_idle();
  double idle_limit(const model::Machine& machine) const;
  bool reclaim_share_allows(const std::string& flavor) const;

  runtime::Log log_;
  Settings settings_;
  Ports ports_;

  state::View view_;  // all but jobs
  Jobs jobs_;
  std::vector<wire::Flavor> flavors_;
  std::uint64_t hold_ = 0;
  double valid_until_ = 0;
  double synced_at_ = -1e9;  // when the last read barrier that succeeded was sent

  // Of the current reign.
  bool reigning_ = false;
  std::uint64_t term_ = 0;        // the fence now
  std::uint64_t first_term_ = 0;  // the fence with which the reign began
  wire::Stamp won_;               // jobs accepted later than this no earlier leader has started
  double reign_since_ = 0;
  std::uint64_t tries_ = 0;
  std::uint64_t rentals_made_ = 0;
  std::map<std::string, Usage> usage_;
  Machines machines_;
  std::map<std::string, Rental> rentals_;
  std::map<wire::HostId, double> gone_;
  std::map<Pool, Stockout> stockouts_;
  std::map<std::string, Reclaims> reclaims_;
  std::map<std::string, Intent> intents_;
  bool committing_ = false;
  bool raising_ = false;
  double raised_at_ = 0;
  bool listing_ = false;
  bool releasing_ = false;
  double next_round_ = 0;
  double next_list_ = 0;
  double next_catalogue_ = 0;
  double next_sync_ = 0;
  double next_progress_ = 0;
  double last_tick_ = 0;
  double last_plan_ = -1e9;
  bool place_scheduled_ = false;
  bool plan_scheduled_ = false;
  runtime::Timer tick_timer_;
  runtime::Timer place_timer_;
  runtime::Timer plan_timer_;
};

}  // namespace bankhill::leader
