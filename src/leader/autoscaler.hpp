// Decides how many machines of each type the fleet should have: the paper's Algorithm 3 (sections 3.1
// and 4.1) with the changes described in docs/DESIGN.md. Each planning round rents the missing machines and
// determines the excess ones. An excess machine is drained; an empty machine is terminated after it has been
// idle for long enough.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
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

// Tracks the demand for services and the reclaims of preemptible machines, and plans the size of the fleet.
// Owned by the leader, which calls it on events and in its periodic check of the machines.
class Autoscaler {
 public:
  struct Settings {
    double control_interval_s = 3;
    // Interval of the planning rounds, in seconds; also the idle limit of machines of an unknown type.
    double round_s = 15;
    // Share of the budget for preemptible machines.
    double alpha = 0.8;
    // Maximum share of tasks that reclaims of a preemptible type may hit.
    double phi = 0.1;
    // Time for which an idle preemptible machine is kept, in boot times of its type.
    double idle_boots = 2.5;
  };

  // The leader's state that the autoscaler reads, and the fleet and rentals that it changes. All of it
  // outlives the autoscaler.
  struct View {
    // The cloud's catalogue; empty until it has been read.
    const std::vector<wire::MachineType>& machine_types;
    const std::map<wire::JobId, model::Job*>& live_jobs;
    const queue::JobQueue& queue;
    model::Fleet& fleet;
    RentalManager& rentals;
  };

  // Callbacks into the leader.
  struct Ports {
    // Whether this controller holds a valid lease and may act as leader (invariant 2).
    std::function<bool()> is_active_leader;
    // Whether tasks of the job may start now, not considering the team's quota.
    std::function<bool(const model::Job&)> may_start;
    // Whether the job's rules on zones, given where its tasks are now, let another task run in the zone.
    std::function<bool(const model::Job&, const std::string& zone)> zone_allows;
    // Whether the team's quota allows one more task of the job.
    std::function<bool(const model::Job&)> quota_allows;
    // Number of the job's ready tasks that may be placed.
    std::function<std::uint32_t(const model::Job&)> placeable_tasks;
    std::function<bool(const wire::JobId&)> is_gang;
    // The team's limit in cores; no value if the team is unknown.
    std::function<std::optional<double>(const std::string& team)> core_limit;
    // Rents machines for gangs that lack machines.
    std::function<void(const std::vector<planner::Offer>&)> rent_for_gangs;
    // Reports the cores that the plan wants and the cores among them that could not be rented.
    std::function<void(double wanted, double missing)> report_core_demand;
    std::function<void(model::Machine&, const std::string& reason)> drain;
    // Cancels the drain of a machine if it was drained for this reason; returns whether it was.
    std::function<bool(model::Machine&, const std::string& reason)> cancel_drain;
    // Counts an event for the summary in the log.
    std::function<void(const std::string& event)> count_event;
  };

  Autoscaler(runtime::Loop& loop, runtime::Log log, Settings settings, View view, Ports ports);

  void end_term();

  // Updates the statistics of demand and reclaims, which outlast leadership terms.
  void on_service_accepted(const model::Job& job);
  void on_machine_reclaimed(const std::string& machine_type) { reclaim_history_.add_reclaim(machine_type); }
  // Adds `elapsed_s` seconds of the fleet's running preemptible machines to the reclaim history and decays
  // the history by `decay_factor`.
  void advance_reclaim_history(double elapsed_s, double decay_factor) {
    reclaim_history_.advance(view_.fleet, elapsed_s, decay_factor);
  }

  // Schedules a planning round on the event loop, with a minimum gap to the last round.
  void schedule_planning();

  // The leader calls this and terminate_if_idle() periodically for each machine that is up.
  // Drains the machine if it is in excess of the plan.
  void drain_if_excess(model::Machine& machine);
  // Terminates the machine if it has been idle for long enough; returns whether it did.
  bool terminate_if_idle(model::Machine& machine);
  void on_machine_terminated(const wire::MachineId& machine_id) { excess_machines_.erase(machine_id); }

  // Cores of on-demand machines kept free of batch tasks for the services expected next.
  double reserved_cores() const { return reserved_cores_; }

 private:
  struct Demand {
    std::vector<planner::Workload> workloads;
    // Whether some ready task that may be placed has not been placed.
    bool has_waiting_tasks = false;
  };
  struct Cores {
    double on_demand = 0;
    double preemptible = 0;
    double& of_kind(bool is_preemptible) { return is_preemptible ? preemptible : on_demand; }
  };
  using Offers = std::vector<planner::Offer>;

  void plan();

  // Supply and demand.
  Offers current_offers() const;
  bool is_reclaim_risk_acceptable(const std::string& machine_type) const;
  Demand current_demand();
  planner::Workload make_workload(const model::Job& job) const;
  void limit_to_quota(planner::Workload& work, const std::string& team,
                      std::map<std::string, double>& planned_cores) const;
  void add_service_reserve(std::vector<planner::Workload>& workloads);
  double demand_window_s() const;

  // Scaling out.
  static Cores wanted_cores(const planner::Plan& plan, const Offers& offers);
  Cores present_cores() const;
  void rent_missing_cores(double& missing_cores, bool preemptible, const Offers& offers);
  void rent_for_unserved_jobs(const Offers& offers);
  bool can_wait_for_plan(const model::Job& job) const;
  bool has_available_machine(const model::Job& job) const;
  bool has_requested_machine(const model::Job& job) const;
  std::optional<std::vector<std::string>> allowed_zones(const model::Job& job) const;
  // Machine types that could not be requested in any of these zones (no value: in no zone).
  using UnavailablePools = std::set<std::pair<std::string, std::optional<std::vector<std::string>>>>;
  bool rent_cheapest_machine(const planner::Workload& work, const Offers& offers,
                             UnavailablePools& unavailable);

  // Scaling in.
  void update_excess_cores(double missing_on_demand_cores);
  void cancel_excess_drains(double& missing_on_demand_cores);
  double idle_limit_s(const model::Machine& machine) const;

  const wire::MachineType* machine_type(const std::string& name) const;

  runtime::Loop& loop_;
  runtime::Log log_;
  Settings settings_;
  View view_;
  Ports ports_;

  model::SpotReclaimHistory reclaim_history_;
  planner::ServiceDemand service_demand_;
  double reserved_cores_ = 0;

  // On-demand machines being drained because they are in excess of the plan.
  std::set<wire::MachineId> excess_machines_;
  // Cores of on-demand machines in excess of the plan that may still be drained.
  double excess_cores_ = 0;

  double last_plan_at_ = -1e9;  // steady clock, seconds
  bool plan_scheduled_ = false;
  runtime::Timer plan_timer_;
};

}  // namespace bankhill::leader
