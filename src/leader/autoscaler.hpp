// How many machines of which type the fleet should have: the paper's Algorithm 3 (sections 3.1 and 4.1) with
// the changes of docs/DESIGN.md. Each plan rents what is missing and marks what is too many; a machine that
// is too many is drained, and an empty one is returned once it has been idle for long enough.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "leader/rental_manager.hpp"
#include "model/fleet.hpp"
#include "model/spot_reclaim_history.hpp"
#include "planner/planner.hpp"
#include "planner/service_demand.hpp"
#include "queue/job_queue.hpp"
#include "runtime/log.hpp"
#include "runtime/loop.hpp"

namespace bankhill::leader {

class Autoscaler {
 public:
  struct Settings {
    double control_interval_s = 3;
    double round_s = 15;
    double alpha = 0.8;       // part of the budget that is for preemptible machines
    double phi = 0.1;         // share of tasks that reclaims may hit
    double idle_boots = 2.5;  // boot times that an idle machine is kept
  };

  // What it looks at, and changes as said. All of it outlives the autoscaler.
  struct View {
    const std::vector<wire::MachineType>&
        machine_types;  // the cloud's catalogue; empty if it is not known yet
    const std::map<wire::JobId, model::Job*>& live_jobs;
    const queue::JobQueue& queue;
    model::Fleet& fleet;
    RentalManager& rentals;
  };

  // What it needs of the leader.
  struct Ports {
    std::function<bool()> is_active_leader;                           // invariant 2
    std::function<bool(const model::Job&)> may_start;                 // now, its team's limit aside
    std::function<bool(const model::Job&)> quota_allows;              // one more task of it
    std::function<std::uint32_t(const model::Job&)> placeable_tasks;  // ready tasks that may be placed
    std::function<bool(const wire::JobId&)> is_gang;
    std::function<std::optional<double>(const std::string& team)> core_limit;  // nothing: an unknown team
    std::function<void(const std::vector<planner::Offer>&)> rent_for_gangs;
    std::function<void(double wanted, double lacking)> report_core_demand;  // cores
    std::function<void(model::Machine&, const std::string& reason)> drain;
    // Undoes that if it was for this reason; says whether it was.
    std::function<bool(model::Machine&, const std::string& reason)> cancel_drain;
    std::function<void(const std::string& event)> count_event;  // for the summary in the log
  };

  Autoscaler(runtime::Loop& loop, runtime::Log log, Settings settings, View view, Ports ports);

  void end_term();

  // What is known of demand and supply, whoever leads.
  void on_service_accepted(const model::Job& job);
  void on_machine_reclaimed(const std::string& machine_type) { spot_reclaims_.add_reclaim(machine_type); }
  // `passed_s` seconds have gone by; `remaining`: the part that earlier reclaims still count.
  void advance_reclaim_history(double passed_s, double remaining) {
    spot_reclaims_.advance(view_.fleet, passed_s, remaining);
  }

  // Plans on the next occasion, a little later than the last plan.
  void plan_soon();

  // To be called for each machine that is up, again and again: drains it if it is too many ...
  void drain_if_excess(model::Machine& machine);
  // ... and returns it if it has been idle for long enough; says whether it did.
  bool terminate_if_idle(model::Machine& machine);
  void on_machine_terminated(const wire::MachineId& machine_id) { excess_machines_.erase(machine_id); }

  // Cores of steady machines that are kept free of batch tasks for services to come.
  double reserved_cores() const { return reserved_cores_; }

 private:
  struct Demand {
    std::vector<planner::Workload> work;
    bool tasks_wait = false;  // some task is ready and not placed
  };
  struct Cores {
    double steady = 0;
    double preemptible = 0;
    double& of(bool is_preemptible) { return is_preemptible ? preemptible : steady; }
  };
  using Offers = std::vector<planner::Offer>;

  void plan();

  // What is offered and what is wanted.
  Offers current_offers() const;
  bool reclaim_share_allows(const std::string& machine_type) const;
  Demand current_demand();
  planner::Workload work_of(const model::Job& job) const;
  void limit_to_quota(planner::Workload& work, const std::string& team,
                      std::map<std::string, double>& planned_cores) const;
  void add_service_reserve(std::vector<planner::Workload>& work);
  double demand_window_s() const;

  // Scaling out.
  static Cores wanted_cores(const planner::Plan& plan, const Offers& offers);
  Cores present_cores() const;
  void rent_missing(double& missing_cores, bool preemptible, const Offers& offers);
  void rent_for_stranded_jobs(const Offers& offers);
  bool can_take_its_time(const model::Job& job) const;
  bool machine_at_hand(const model::Job& job) const;
  static std::size_t smallest_that_holds(const planner::Workload& work, const Offers& offers,
                                         std::size_t preferred);

  // Scaling in.
  void set_excess(double missing_steady_cores);
  void recall_excess(double& missing_steady_cores);
  double idle_limit_s(const model::Machine& machine) const;

  const wire::MachineType* machine_type(const std::string& name) const;

  runtime::Loop& loop_;
  runtime::Log log_;
  Settings settings_;
  View view_;
  Ports ports_;

  model::SpotReclaimHistory spot_reclaims_;
  planner::ServiceDemand service_demand_;
  double reserved_cores_ = 0;

  std::set<wire::MachineId> excess_machines_;  // steady ones that are drained since they are too many
  double excess_cores_ = 0;                    // of steady machines beyond the plan that may still be drained

  double last_plan_ = -1e9;  // steady clock
  bool plan_scheduled_ = false;
  runtime::Timer plan_timer_;
};

}  // namespace bankhill::leader
