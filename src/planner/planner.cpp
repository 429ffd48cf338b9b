#include "planner/planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bankhill::planner {

namespace {
constexpr double kHourS = 3600;
constexpr double kRounding = 1e-6;

double part(double need, double size) {
  return need <= 0 ? std::numeric_limits<double>::infinity() : std::floor(size / need + kRounding);
}

double cost(const std::vector<double>& counts, const std::vector<Offer>& offers, bool spot) {
  double sum = 0;
  for (std::size_t i = 0; i < offers.size(); ++i)
    sum += counts[i] *
           (spot ? offers[i].machine_type.preemptible_hourly_price : offers[i].machine_type.hourly_price);
  return sum;
}

// Machines that the work keeps busy over its window, each task capped at one hour.
double machines(const Workload& work, const wire::Resources& size) {
  const double busy = work.service ? 1 : std::min(work.task_s, kHourS) / std::max(work.window_s, work.task_s);
  return work.task_count * busy / slots(work.request, size);
}
}  // namespace

std::vector<double> scale(const std::vector<double>& c, double ratio) {
  std::vector<double> result;
  result.reserve(c.size());
  for (const double count : c) result.push_back(std::round(ratio < 1 ? count * ratio : count));
  return result;
}

double slots(const wire::Resources& request, const wire::Resources& size) {
  return std::min({part(request.cores, size.cores), part(request.accelerators, size.accelerators),
                   part(request.ram_gb, size.ram_gb)});
}

bool allows(const std::optional<std::vector<std::string>>& machine_types, const std::string& machine_type) {
  return !machine_types ||
         std::find(machine_types->begin(), machine_types->end(), machine_type) != machine_types->end();
}

double longest_boot_s(const std::vector<wire::MachineType>& machine_types) {
  double longest = 0;
  for (const auto& type : machine_types) longest = std::max(longest, type.boot_s);
  return longest;
}

std::optional<std::size_t> choose_offer(const Workload& work, const std::vector<Offer>& offers) {
  std::optional<std::size_t> best;
  double best_price = 0;
  for (std::size_t i = 0; i < offers.size(); ++i) {
    const auto& machine_type = offers[i].machine_type;
    const double count = slots(work.request, machine_type.capacity);
    if (count < 1 || !allows(work.machine_types, machine_type.name)) continue;
    if (work.zone && std::find(machine_type.zones.begin(), machine_type.zones.end(), *work.zone) ==
                         machine_type.zones.end())
      continue;
    // All types run a task equally fast; boot time differs, but is paid once for many short tasks.
    const double price = machine_type.hourly_price / count;
    if (!best || price < best_price) {
      best = i;
      best_price = price;
    }
  }
  return best;
}

double budget(const std::vector<Workload>& work, const std::vector<Offer>& offers) {
  double sum = 0;
  for (const auto& item : work) {
    double total = 0;
    double types = 0;
    for (const auto& offer : offers) {
      if (slots(item.request, offer.machine_type.capacity) < 1 ||
          !allows(item.machine_types, offer.machine_type.name))
        continue;
      total += machines(item, offer.machine_type.capacity) * offer.machine_type.hourly_price;
      ++types;
    }
    if (types > 0) sum += total / types;
  }
  return sum;
}

Plan plan(const std::vector<Workload>& work, const std::vector<Offer>& offers, double alpha) {
  Plan result;
  std::vector<double> c(offers.size(), 0);
  std::vector<double> steady_only(offers.size(), 0);
  for (const auto& item : work) {
    const auto type = choose_offer(item, offers);
    if (!type) continue;
    const double count = machines(item, offers[*type].machine_type.capacity);
    c[*type] += count;
    if (!item.allows_preemptible) steady_only[*type] += count;
  }
  result.budget = budget(work, offers);
  const double fast = cost(c, offers, false);
  result.steady = scale(c, fast > 0 ? result.budget * (1 - alpha) / fast : 1);
  std::vector<double> rest(offers.size(), 0);
  for (std::size_t i = 0; i < offers.size(); ++i) {
    // Work that may not run on spot machines cannot be split by alpha.
    result.steady[i] = std::max(result.steady[i], std::ceil(steady_only[i] - kRounding));
    rest[i] = std::max(0.0, c[i] - result.steady[i]);
  }
  const double cheap = cost(rest, offers, true);
  result.spot = scale(rest, cheap > 0 ? result.budget * alpha / cheap : 1);
  result.avoided.assign(offers.size(), 0);
  for (std::size_t i = 0; i < offers.size(); ++i)
    if (!offers[i].spot_allowed) std::swap(result.spot[i], result.avoided[i]);
  return result;
}

double slack(bool service, std::optional<double> due_in_s, double task_s) {
  if (service) return 0;
  if (!due_in_s) return std::numeric_limits<double>::max();
  return std::max(0.0, *due_in_s - task_s);
}

}  // namespace bankhill::planner
