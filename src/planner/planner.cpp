#include "planner/planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bankhill::planner {

namespace {
constexpr double kHourS = 3600;
constexpr double kRoundingTolerance = 1e-6;

// Returns how often a request for one resource fits into the capacity; infinity if the request needs none.
double fit_count(double required, double capacity) {
  return required <= 0 ? std::numeric_limits<double>::infinity()
                       : std::floor(capacity / required + kRoundingTolerance);
}

double hourly_cost(const std::vector<double>& counts, const std::vector<Offer>& offers, bool spot) {
  double sum = 0;
  for (std::size_t i = 0; i < offers.size(); ++i)
    sum += counts[i] *
           (spot ? offers[i].machine_type.preemptible_hourly_price : offers[i].machine_type.hourly_price);
  return sum;
}

// Returns how many machines of the given capacity the workload keeps busy on average over its window. Run
// times are capped at one hour; a service task is busy all the time.
double machines_needed(const Workload& work, const wire::Resources& capacity) {
  const double busy_share = work.is_service ? 1
                                            : std::min(work.estimated_runtime_s, kHourS) /
                                                  std::max(work.window_s, work.estimated_runtime_s);
  return work.task_count * busy_share / slots(work.request, capacity);
}
}  // namespace

std::vector<double> scale(const std::vector<double>& counts, double ratio) {
  std::vector<double> result;
  result.reserve(counts.size());
  for (const double count : counts) result.push_back(std::round(ratio < 1 ? count * ratio : count));
  return result;
}

double slots(const wire::Resources& request, const wire::Resources& capacity) {
  return std::min({static_cast<double>(wire::kMaxHeartbeatTasks), fit_count(request.cores, capacity.cores),
                   fit_count(request.accelerators, capacity.accelerators),
                   fit_count(request.ram_gb, capacity.ram_gb)});
}

bool allows(const std::optional<std::vector<std::string>>& names, const std::string& name) {
  return !names || std::find(names->begin(), names->end(), name) != names->end();
}

std::set<std::string> offered_zones(const std::vector<wire::MachineType>& machine_types) {
  std::set<std::string> zones;
  for (const auto& type : machine_types) zones.insert(type.zones.begin(), type.zones.end());
  return zones;
}

double longest_boot_s(const std::vector<wire::MachineType>& machine_types) {
  double longest = 0;
  for (const auto& type : machine_types) longest = std::max(longest, type.boot_s);
  return longest;
}

bool can_host(const Workload& work, const wire::MachineType& machine_type) {
  if (slots(work.request, machine_type.capacity) < 1) return false;
  if (!allows(work.machine_types, machine_type.name)) return false;
  return !work.zones || std::any_of(machine_type.zones.begin(), machine_type.zones.end(),
                                    [&](const std::string& zone) { return allows(work.zones, zone); });
}

std::optional<std::size_t> choose_offer(const Workload& work, const std::vector<Offer>& offers) {
  std::optional<std::size_t> best;
  double best_price = 0;
  for (std::size_t i = 0; i < offers.size(); ++i) {
    const auto& machine_type = offers[i].machine_type;
    if (!can_host(work, machine_type)) continue;
    // Run times are the same on all types. Boot times differ, but one boot serves many short tasks: the price
    // per slot decides.
    const double price = machine_type.hourly_price / slots(work.request, machine_type.capacity);
    if (!best || price < best_price) {
      best = i;
      best_price = price;
    }
  }
  return best;
}

double hourly_budget(const std::vector<Workload>& work, const std::vector<Offer>& offers) {
  double sum = 0;
  for (const auto& item : work) {
    double total = 0;
    double types = 0;
    for (const auto& offer : offers) {
      if (!can_host(item, offer.machine_type)) continue;
      total += machines_needed(item, offer.machine_type.capacity) * offer.machine_type.hourly_price;
      ++types;
    }
    if (types > 0) sum += total / types;
  }
  return sum;
}

Plan plan(const std::vector<Workload>& work, const std::vector<Offer>& offers, double alpha) {
  Plan result;
  std::vector<double> counts(offers.size(), 0);
  std::vector<double> on_demand_only(offers.size(), 0);
  for (const auto& item : work) {
    const auto index = choose_offer(item, offers);
    if (!index) continue;
    const double count = machines_needed(item, offers[*index].machine_type.capacity);
    counts[*index] += count;
    if (!item.allows_preemptible) on_demand_only[*index] += count;
  }
  result.hourly_budget = hourly_budget(work, offers);
  const double on_demand_cost = hourly_cost(counts, offers, false);
  result.on_demand =
      scale(counts, on_demand_cost > 0 ? result.hourly_budget * (1 - alpha) / on_demand_cost : 1);
  std::vector<double> spot_counts(offers.size(), 0);
  for (std::size_t i = 0; i < offers.size(); ++i) {
    // Tasks that must not run on spot machines get on-demand machines whatever alpha's split of the budget.
    result.on_demand[i] = std::max(result.on_demand[i], std::ceil(on_demand_only[i] - kRoundingTolerance));
    spot_counts[i] = std::max(0.0, counts[i] - result.on_demand[i]);
  }
  const double spot_cost = hourly_cost(spot_counts, offers, true);
  result.spot = scale(spot_counts, spot_cost > 0 ? result.hourly_budget * alpha / spot_cost : 1);
  result.disallowed_spot.assign(offers.size(), 0);
  for (std::size_t i = 0; i < offers.size(); ++i)
    if (!offers[i].spot_allowed) std::swap(result.spot[i], result.disallowed_spot[i]);
  return result;
}

double slack(bool is_service, std::optional<double> time_to_deadline_s, double estimated_runtime_s) {
  if (is_service) return 0;
  if (!time_to_deadline_s) return std::numeric_limits<double>::max();
  return std::max(0.0, *time_to_deadline_s - estimated_runtime_s);
}

}  // namespace bankhill::planner
