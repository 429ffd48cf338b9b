// The fleet: cutoffs ahead, machines that are drained, silent or gone, and what renting needs of the leader.
#include <algorithm>
#include <cmath>
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Machine;
using queue::task_s;

namespace {
constexpr std::uint32_t kProbesUnanswered = 2;  // with at least so many unanswered
constexpr double kAskedAgain = 1.5;  // paces after which one that this reign never heard is given up
constexpr double kMassShare = 0.4;   // more machines silent than this: it is our network, not theirs
// Ratios to a type's usual boot time.
constexpr double kBootLate = 1.6;  // no longer counted as coming: the protocol's usual boot takes up to 1.5
constexpr double kBootNever = 3;   // given up
constexpr double kMemory = 4;      // rounds after which a boot or a reclaim counts a third: a wave passes
}  // namespace

// What is left, after so many seconds, of something counted.
double Leader::kept(double passed) const { return std::exp(-passed / (kMemory * settings_.round_s)); }

// How the cutoffs stand, once a round: whoever comes at eight finds either the work done or a plain stall.
void Leader::look_ahead() {
  outlook_.begin(loop().wall());
  for (const auto& [id, job] : live_)
    if (const auto by = queue_.cutoff(*job); by && !job->service())
      outlook_.add(job->spec.owner, *by, job->unfinished() * job->spec.need.cores * task_s(*job),
                   task_s(*job));
  const auto changed = outlook_.end([this](const std::string& owner) { return supply(owner); });
  if (changed.empty()) return;
  for (const auto& told : changed)
    log_->log(told.state == calendar::Outlook::State::on_time ? spdlog::level::info : spdlog::level::warn,
              "cutoff of {} in {:.0f} s: {}", told.owner, told.cutoff - loop().wall(), told.text);
  for (auto& [id, job] : live_)
    if (queue_.cutoff(*job)) job->progress_dirty = true;
}

// Its guarantee, or what it holds and what is free, if that is more; beyond that what can be rented.
calendar::Outlook::Supply Leader::supply(const std::string& owner) const {
  const auto* tenant = team(owner);
  if (tenant == nullptr) return {};
  const auto found = usage_.find(owner);
  const auto usage = found == usage_.end() ? Usage{} : found->second;
  double cores = 0;
  double free = 0;
  for (const auto& [pool, state] : fleet_.pools()) {
    cores += state.sums.cores;
    free += state.sums.free_cores;
  }
  const double limit = std::max(0.0, tenant->limit.cores - usage.service_cores);
  const double own = std::max(std::min(tenant->guarantee.cores, cores), usage.used.cores + free);
  const double now = std::min(limit, std::max(0.0, own - usage.service_cores));
  return {now, queue_.overloaded() ? now : limit, planner::longest_boot_s(flavors_)};
}

// Takes no more tasks, and is returned once empty.
void Leader::drain(Machine& machine, const std::string& reason) {
  machine.draining = true;
  machine.drain_reason = reason;
  fleet_.refresh(machine);
  replicas_leave(machine);
}

// Undoes it if that was the reason; says whether it was.
bool Leader::use_again(Machine& machine, const std::string& reason) {
  if (machine.drain_reason != reason) return false;
  machine.draining = false;
  machine.drain_reason.clear();
  fleet_.refresh(machine);
  for (const auto& [member, bind] : machine.binds) replicas_.board().may_stay(member);
  place_soon();
  return true;
}

void Leader::watch_machines(double share) {
  const double now = loop().now();
  doubtful_ = false;
  fleet_.visit(share, [this](Machine& machine) { watch(machine); });
  // A direct start in doubt is made void by a new term (invariant 6).
  if (doubtful_ && !raising_ && now - raised_at_ > 2 * settings_.pace_s) {
    raised_at_ = now;
    raising_ = true;
    ports_.raise_term();
  } else if (raising_ && now - raised_at_ > 2 * settings_.pace_s) {
    raising_ = false;
  }
}

double Leader::boot_s(const Machine& machine) const {
  const auto* type = flavor(machine.flavor);
  return type == nullptr ? cloud::kLeastChargeS : type->boot_s;
}

// Counts a boot as in time or late, and tells the operators when boots in general become bad or well again.
void Leader::note_boot(bool in_time) {
  const double now = loop().now();
  const auto bad = boots_.note(in_time, kept(now - std::exchange(boots_at_, now)));
  if (!bad) return;
  if (*bad)
    log_->warn("boots: {:.0f} % of the last {:.0f} machines are late; others are rented in their place",
               100 * boots_.late_share(), boots_.known());
  else
    log_->info("boots: as usual again, {:.0f} % of the last {:.0f} machines are late",
               100 * boots_.late_share(), boots_.known());
}

void Leader::watch_boot(Machine& machine) {
  const double boot = boot_s(machine);
  const double booting = loop().now() - machine.first_seen;
  if (booting > kBootLate * boot && !std::exchange(machine.late, true)) {
    note_boot(false);
    fleet_.refresh(machine);
    plan_soon();
  }
  if (booting > kBootNever * boot) release(machine, "never came up");
}

model::Silence Leader::silence() const {
  return model::Silence{
      {net::kWorkerWaitS, settings_.report_s, settings_.pace_s, settings_.lease_s, settings_.controllers}};
}

void Leader::note_reporting(Machine& machine) {
  const auto before = machine.reporting;
  machine.reporting = silence().reporting(unreported(machine));
  if (machine.reporting == before) return;
  fleet_.refresh(machine);
  if (machine.reporting == model::Reporting::comes && machine.binds.empty())
    machine.idle_since = loop().now();
  place_soon();
  plan_soon();
}

double Leader::unreported(const Machine& machine) const {
  return loop().now() - std::max({machine.reported_at, reign_since_, takes_reports_since_});
}

void Leader::watch(Machine& machine) {
  const double now = loop().now();
  if (!machine.up) return watch_boot(machine);
  const double silence = now - machine.last_contact;
  // Services are missed at once: their machines are asked between two reports, and given up sooner.
  const bool watched = machine.service_cores > 0;
  const bool unanswered = machine.probes_unanswered > 0;
  const bool hears = machine.hearing.takes_tasks();
  const auto limits = this->silence().limits({watched, hears, unanswered});
  if (machine.hearing.ask_due(now) || (silence > limits.ask && now - machine.last_probe > limits.again))
    send_direct(machine, {});
  if (!machine.quiet && (silence > limits.quiet || (watched && unanswered))) {
    machine.quiet = true;
    fleet_.refresh(machine);
  }
  note_reporting(machine);
  // Invariant 5: no earlier leader answered after this reign began, so the lease has run out by now.
  if (now > machine.lease.surely_over_at(settings_.lease_s)) {
    if (!machine.confirmed) {
      log_->debug("machine {}: unconfirmed and its lease has run out", machine.host.value);
      machine.confirmed = true;
      drain(machine, "lease ran out unheard");
    }
    // Once, and nothing is placed there until it is heard again: a task told to start in a session that
    // is only assumed could run although its lease seems to have run out long ago.
    if (!std::exchange(machine.lost, true)) {
      const wire::Tenure next{machine.tenure.value + 1};
      new_tenure(machine, next);
      machine.tenure = next;
      machine.counter = machine.reported = 0;
    }
    fleet_.refresh(machine);
  }
  const bool heard_since = machine.last_contact > machine.doubt_at;
  for (const auto& [member, bind] : machine.binds)
    doubtful_ = doubtful_ || (heard_since && bind.stopping && bind.starts.in_doubt(wire::Fence{term_}));
  for (const auto& [member, leftover] : machine.leftovers)
    doubtful_ = doubtful_ || (heard_since && leftover.starts.in_doubt(wire::Fence{term_}));
  spare(machine);
  if (machine.draining && machine.binds.empty() && machine.confirmed)
    return release(machine, machine.drain_reason);
  if (machine.warned_until && now > *machine.warned_until) return release(machine, "its notice has run out");
  if (return_idle(machine)) return;
  // One that this reign never heard holds up others' tasks: it is waited for less long.
  const bool given_up =
      machine.probes_unanswered >= kProbesUnanswered &&
      (machine.confirmed ? silence > limits.gone : now - reign_since_ > kAskedAgain * settings_.pace_s);
  if (!machine.confirmed && hears && machine.probes_unanswered > 0 &&
      now - machine.last_probe > kUnheardPatience * settings_.pace_s)
    send_direct(machine, {});
  if (!given_up) {
    // What it ran is over with its session; as long as something is bound there it hears after all.
    const bool deaf = machine.hearing.give_up(now, hearing_times());
    const bool mute = this->silence().give_up(unreported(machine));
    if ((deaf || mute) && machine.binds.empty() && machine.confirmed && !many_unheard(machine))
      release(machine, deaf ? "deaf" : "mute");
    return;
  }
  // It may be us: another machine must have been heard directly since, or be all that there is.
  if (machine.confirmed && fleet_.total().up > 1 &&
      heard_directly_ < machine.last_contact + limits.gone / 2 && silence < settings_.lease_s)
    return;
  // Nor while we are in doubt whether anybody hears us.
  if (machine.confirmed && sample_since_ >= 0 && silence < settings_.lease_s) return;
  // Many of a zone at once: rather the network; releasing them would end work that goes on there.
  if (many_unheard(machine) && now - std::max(machine.last_contact, reign_since_) < settings_.lease_s) return;
  if (!machine.warned_until && machine.reclaimable && !machine.releasing)
    autoscaler_.machine_reclaimed(machine.flavor);
  release(machine, "silent");
}

// Many of a zone at once: rather the network, or us; returned one by one the fleet would be empty.
bool Leader::many_unheard(const Machine& machine) const {
  const auto zone = fleet_.zone(machine.rack_room);
  const auto unheard = zone.quiet + zone.deaf + zone.unconfirmed;
  return unheard >= 2 && static_cast<double>(unheard) > kMassShare * static_cast<double>(zone.up);
}

RentalManager::Settings Leader::rental_settings() const {
  return {settings_.pace_s,     settings_.round_s,       settings_.lease_s,
          settings_.list_lag_s, settings_.most_machines, settings_.main_zone};
}

RentalManager::Ports Leader::rental_ports() {
  RentalManager::Ports ports;
  ports.may_act = [this] { return valid(); };
  ports.send_to_cloud = [this](cloud::Cloud::Message message) { ports_.cloud.tell(std::move(message)); };
  ports.machine_type = [this](const std::string& name) { return flavor(name); };
  ports.store_request = [this](const std::string& name, const wire::RentalRecord& record, Then stored) {
    store(wire::rental_key(name), to_json(record), Patience::none, std::move(stored));
  };
  ports.store_machines = [this](const std::string& name, const wire::RentalRecord& record) {
    store(wire::rental_key(name), to_json(record), Patience::machines);
  };
  ports.remove_record = [this](const std::string& name) {
    store(wire::rental_key(name), std::nullopt, Patience::tidying);
  };
  ports.terminating = [this](const Machine& machine) { replicas_fail(machine); };
  ports.terminated = [this](const wire::HostId& machine_id) { forget_machine(machine_id); };
  ports.plan_soon = [this] { plan_soon(); };
  ports.count_event = [this](const std::string& event) { ++tally_[event]; };
  return ports;
}

Autoscaler::Settings Leader::autoscaler_settings() const {
  return {settings_.pace_s, settings_.round_s, settings_.alpha, settings_.phi, settings_.idle_boots};
}

Autoscaler::Ports Leader::autoscaler_ports() {
  Autoscaler::Ports ports;
  ports.may_act = [this] { return valid(); };
  ports.may_start = [this](const model::Job& job) { return may_start(job); };
  ports.quota_allows = [this](const model::Job& job) { return team_has_room(job); };
  ports.placeable_tasks = [this](const model::Job& job) { return placeable(job); };
  ports.is_gang = [this](const wire::JobId& id) { return replicas_.follows(id); };
  ports.core_limit = [this](const std::string& name) -> std::optional<double> {
    const auto* owner = team(name);
    if (owner == nullptr) return std::nullopt;
    return owner->limit.cores;
  };
  ports.rent_for_gangs = [this](const std::vector<planner::Offer>& offers) { rent_for_replicas(offers); };
  ports.note_overload = [this](double wanted, double lacking) { note_overload(wanted, lacking); };
  ports.drain = [this](Machine& machine, const std::string& reason) { drain(machine, reason); };
  ports.use_again = [this](Machine& machine, const std::string& reason) {
    return use_again(machine, reason);
  };
  ports.count_event = [this](const std::string& event) { ++tally_[event]; };
  return ports;
}

// It is gone, and so is all that ran there.
void Leader::forget_machine(const wire::HostId& machine_id) {
  autoscaler_.machine_terminated(machine_id);
  auto* machine = fleet_.find(machine_id);
  if (machine == nullptr) return;
  std::vector<wire::MemberId> tasks;
  for (const auto& [task, assignment] : machine->binds) tasks.push_back(task);
  for (const auto& task : tasks) unbind(*machine, task);
  forget_record(*machine);
  fleet_.erase(machine_id);
  place_soon();
  plan_soon();
}

}  // namespace bankhill::leader
