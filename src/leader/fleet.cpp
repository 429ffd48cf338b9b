// Rentals and releases: rounds (the paper's Algorithm 3), silent machines, the cloud's list.
#include <algorithm>
#include <cmath>
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Machine;
using queue::task_s;
using state::FlushDelay;

namespace {
constexpr std::uint32_t kProbesUnanswered = 2;  // with at least so many unanswered
constexpr double kAskedAgain = 1.5;   // paces after which one that this reign never heard is given up
constexpr double kMassShare = 0.4;    // more machines silent than this: it is our network, not theirs
constexpr double kWindowShare = 0.5;  // of the time left until a job is due
constexpr double kRounding = 1e-6;
constexpr double kDemandBoots = 4;   // boot times over which arrivals are averaged
constexpr double kReservePaces = 2;  // services that come within this find room
constexpr double kPlanGap = 0.3;     // between two plans made on events
// Ratios to a type's usual boot time.
constexpr double kBootLate = 1.6;  // no longer counted as coming: the protocol's usual boot takes up to 1.5
constexpr double kBootNever = 3;   // given up
constexpr double kMemory = 4;      // rounds after which a boot or a reclaim counts a third: a wave passes
constexpr int kRentalsAtOnce = 8;
const std::string kSurplus = "more than planned";
constexpr double kLeastChargeS = 60;        // the protocol: a machine that is deleted costs at least this
constexpr double kGoneKeptLeases = 90;      // copies of reports come for several leases after their machines
constexpr double kMinReclaimHistory = 600;  // machine seconds below which the reclaim share is unknown
}  // namespace

void Leader::plan_soon() {
  if (plan_scheduled_) return;
  plan_scheduled_ = true;
  const double wait = std::max(0.0, last_plan_ + kPlanGap * settings_.pace_s - loop().now());
  plan_timer_ = loop().after(wait, guard([this] {
                               plan_scheduled_ = false;
                               plan_fleet();
                             }));
}

// What is left, after so many seconds, of something counted.
double Leader::kept(double passed) const { return std::exp(-passed / (kMemory * settings_.round_s)); }

// Reclaims are forgotten after some rounds. Counted for good, one wave kept every spot type above phi for the
// rest of the reign: alpha's budget stayed unspent and work waited (days/ops-boots-slow).
void Leader::age_reclaims(double passed) {
  const double rest = kept(passed);
  for (const auto& [pool, state] : fleet_.pools())
    if (pool.reclaimable) reclaims_[pool.flavor].machine_s += passed * static_cast<double>(state.sums.up);
  for (auto& [flavor, reclaims] : reclaims_) {
    reclaims.count *= rest;
    reclaims.machine_s *= rest;
  }
}

bool Leader::reclaim_share_allows(const std::string& flavor) const {
  const auto found = reclaims_.find(flavor);
  if (found == reclaims_.end() || found->second.machine_s < kMinReclaimHistory) return true;
  double task_seconds = 0;
  double tasks = 0;
  for (const auto& [id, job] : live_)
    if (!job->service()) {
      task_seconds += task_s(*job) * job->spec.members;
      tasks += job->spec.members;
    }
  if (tasks == 0) return true;
  // The share of tasks that a reclaim would hit stands in for the paper's out-of-bid probability.
  return found->second.count / found->second.machine_s * (task_seconds / tasks) < settings_.phi;
}

std::vector<planner::Work> Leader::current_work(bool& waiting) {
  std::vector<planner::Work> work;
  std::map<std::string, double> cores;
  for (const auto& [id, pointer] : live_) {
    const auto& job = *pointer;
    if (!job.released || loop().now() < job.blocked_until) continue;
    planner::Work item;
    item.need = job.spec.need;
    item.tasks = std::max(0.0, 1.0 * job.unfinished() - (job.ready - placeable(job)));
    item.task_s = std::max(1.0, task_s(job));
    // The period in which the work should be done. Estimates are often wrong by half: part of the time
    // that is left is kept in reserve.
    item.window_s = std::max(item.task_s, kWindowShare * queue_.due_in(job, loop().wall()));
    if (std::isinf(item.window_s)) item.window_s = item.task_s;
    item.service = job.service();
    item.reclaimable = job.spec.reclaimable;
    item.flavors = job.spec.flavors;
    item.rack_room = job.spec.rack_room;
    if (const auto* owner = team(job.spec.owner)) {
      // Tasks beyond the team's limit cannot run at the same time.
      auto& used = cores[job.spec.owner];
      item.tasks =
          std::min(item.tasks, std::max(0.0, std::floor((owner->limit.cores - used) / item.need.cores)));
      used += item.tasks * item.need.cores;
    }
    if (placeable(job) > 0) waiting = true;
    if (item.tasks > 0) work.push_back(std::move(item));
  }
  reserve_cores_ = service_reserve();
  if (reserve_cores_ > 0) {
    planner::Work reserve;
    reserve.need.cores = largest_service_;
    reserve.tasks = reserve_cores_ / largest_service_;
    reserve.task_s = reserve.window_s = 1;
    reserve.service = true;
    work.push_back(std::move(reserve));
  }
  return work;
}

// Work for a far cutoff that some machine will take goes by the plan alone, which spreads it. Earning a
// machine whenever all were busy, it had as many within minutes as without a calendar, steady ones at that.
bool Leader::can_take_its_time(const model::Job& job) const {
  if (!queue_.cutoff(job) || !job.failed_on.empty()) return false;
  const double due = queue_.due_in(job, loop().wall());
  if (std::isinf(due) || kWindowShare * due < task_s(job) + longest_boot_s()) return false;
  return std::any_of(fleet_.pools().begin(), fleet_.pools().end(), [&](const auto& entry) {
    const auto& [pool, state] = entry;
    return state.sums.up + state.sums.coming > 0 && model::allows(job.spec, pool) &&
           job.spec.need.fits(state.size);
  });
}

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
  return {now, queue_.overloaded() ? now : limit, longest_boot_s()};
}

double Leader::longest_boot_s() const {
  double longest = 0;
  for (const auto& type : flavors_) longest = std::max(longest, type.boot_s);
  return longest;
}

// Cores of services accepted lately, a second.
double Leader::service_rate() {
  const double window = kDemandBoots * std::max(1.0, longest_boot_s());
  const double since = loop().wall() - window;
  for (; !arrivals_.empty() && arrivals_.begin()->first < since; arrivals_.erase(arrivals_.begin()))
    arrived_ -= arrivals_.begin()->second;
  if (arrivals_.empty()) arrived_ = 0;
  return arrived_ / window;
}

// A service starts at once only where room and image are at hand: about what comes within a short while.
double Leader::service_reserve() {
  const double rate = service_rate();
  if (rate <= 0 || largest_service_ <= 0) return 0;
  return largest_service_ *
         std::floor(rate * kReservePaces * settings_.pace_s / largest_service_ + kRounding);
}

void Leader::plan_fleet() {
  if (!valid() || flavors_.empty()) return;
  last_plan_ = loop().now();
  std::vector<planner::Offer> offers;
  for (const auto& flavor : flavors_) offers.push_back({flavor, reclaim_share_allows(flavor.name)});
  bool waiting = false;
  const auto work = current_work(waiting);
  const auto plan = planner::plan(work, offers, settings_.alpha);
  top_up(plan, offers, waiting);
}

void Leader::top_up(const planner::Plan& plan, const std::vector<planner::Offer>& offers, bool waiting) {
  // What is wanted and what is there, in cores of each kind: a machine of another type does as well.
  double wanted[2] = {0, 0};
  for (std::size_t i = 0; i < offers.size(); ++i) {
    wanted[0] += plan.steady[i] * offers[i].flavor.size.cores;
    wanted[1] += (plan.spot[i] + plan.avoided[i]) * offers[i].flavor.size.cores;
  }
  double there[2] = {0, 0};
  for (const auto& [pool, state] : fleet_.pools()) there[pool.reclaimable ? 1 : 0] += state.sums.cores;
  for (const auto& [name, rental] : rentals_)
    if (const auto* type = flavor(rental.record.flavor); type != nullptr && !rental.record.hosts)
      there[rental.record.reclaimable ? 1 : 0] += type->size.cores * rental.record.count;
  double missing[2] = {wanted[0] - there[0], wanted[1] - there[1]};
  log_->debug("plan: {:.0f} steady and {:.0f} spot cores wanted, {:.0f} and {:.0f} there or coming{}",
              wanted[0], wanted[1], there[0], there[1], waiting ? ", work waits" : "");
  // Whatever covers what is missing at the least cost: a machine much larger than that would stand idle for
  // the most part. What a type cannot give is asked of the next.
  for (const bool spot : {true, false}) {
    double& lack = missing[spot ? 1 : 0];
    if (!spot) recall_surplus(lack);
    std::vector<std::size_t> left;
    for (std::size_t i = 0; i < offers.size(); ++i)
      if (!spot || offers[i].spot_allowed) left.push_back(i);
    while (lack > kRounding && !left.empty()) {
      const auto cover = [&](std::size_t i) {
        const auto& flavor = offers[i].flavor;
        return std::ceil(lack / flavor.size.cores - kRounding) * (spot ? flavor.low_price : flavor.rate);
      };
      const auto best = std::min_element(left.begin(), left.end(),
                                         [&](std::size_t x, std::size_t y) { return cover(x) < cover(y); });
      const auto& offer = offers[*best];
      lack -=
          rent(offer, spot, std::ceil(lack / offer.flavor.size.cores - kRounding)) * offer.flavor.size.cores;
      left.erase(best);
    }
    // Exception to the design (its first doubt): alpha's budget that no spot type can take must not stay
    // unspent while work waits.
    if (spot && lack > 0 && waiting) missing[0] += lack;
  }
  note_overload(wanted[0] + wanted[1], std::max(0.0, missing[0]) + (waiting ? 0 : std::max(0.0, missing[1])));
  spare_steady(missing[0]);
  // Ready work that no machine can take earns its type at least one machine.
  std::vector<bool> earned(offers.size(), false);
  for (const auto& [id, pointer] : queue_.jobs()) {
    const auto& job = *pointer;
    if (missing[0] > 0 || missing[1] > 0) break;
    if (replicas_.follows(id) || !may_start(job) || !team_has_room(job) || can_take_its_time(job)) continue;
    const bool coming = std::any_of(fleet_.pools().begin(), fleet_.pools().end(), [&](const auto& entry) {
      const auto& [pool, state] = entry;
      if (!model::allows(job.spec, pool)) return false;
      if (state.sums.coming + state.sums.joining > 0 && job.spec.need.fits(state.size)) return true;
      // A machine that its tasks failed on takes no more of it: where all have, it waited for ever.
      const auto* roomiest = state.open.empty() ? nullptr : state.open.rbegin()->machine;
      return roomiest != nullptr && job.spec.need.fits(roomiest->room()) &&
             !job.failed_on.contains(roomiest->host);
    });
    if (coming) continue;
    planner::Work item;
    item.need = job.spec.need;
    item.flavors = job.spec.flavors;
    item.rack_room = job.spec.rack_room;
    const auto type = planner::preferred(item, offers);
    if (!type || earned[*type]) continue;
    earned[*type] = true;
    if (std::any_of(rentals_.begin(), rentals_.end(),
                    [](const auto& entry) { return !entry.second.record.hosts; }))
      continue;
    // Smallest type that holds it, since one task is all that is known to need it.
    std::size_t smallest = *type;
    for (std::size_t i = 0; i < offers.size(); ++i)
      if (planner::slots(item.need, offers[i].flavor.size) >= 1 &&
          planner::allows(item.flavors, offers[i].flavor.name) &&
          offers[i].flavor.rate < offers[smallest].flavor.rate)
        smallest = i;
    // Elsewhere none is of use to it.
    rent(offers[smallest], false, 1, job.spec.rack_room.value_or(""));
  }
  rent_for_replicas(offers);
}

// Steady machines beyond the plan's count take no more batches and are returned once empty: "steady first"
// keeps them busy for ever, at four times the price, while spot machines paid for stand idle. Only as many as
// idle spot machines can stand in for: else their rooms stay empty while work waits. A machine with services
// stays.
void Leader::spare_steady(double missing) {
  double idle_spot = 0;
  for (const auto& [pool, state] : fleet_.pools())
    if (pool.reclaimable) idle_spot += state.sums.free_cores;
  for (const auto& host : surplus_) {
    const auto* machine = fleet_.peek(host);
    if (!machine->releasing) idle_spot -= machine->size.cores;
  }
  spare_cores_ = std::max(0.0, std::min(-missing, idle_spot));
}

// Machines on their way out are wanted again: they are there at once.
void Leader::recall_surplus(double& missing) {
  while (missing > kRounding && !surplus_.empty()) {
    auto* machine = fleet_.find(*surplus_.begin());
    surplus_.erase(surplus_.begin());
    if (machine->releasing || !use_again(*machine, kSurplus)) continue;
    machine->idle_since = loop().now();
    missing -= machine->size.cores;
    ++tally_["surplus machines wanted again"];
  }
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

void Leader::spare(Machine& machine) {
  if (machine.reclaimable || machine.size.cores > spare_cores_ || machine.service_cores > 0 ||
      machine.kept.cores > 0)
    return;
  if (!machine.takes_tasks() || loop().now() - machine.first_seen < kLeastChargeS) return;
  spare_cores_ -= machine.size.cores;
  drain(machine, kSurplus);
  surplus_.insert(machine.host);
  ++tally_["machines surplus"];
}

// Machines that may be rented before the fleet is as large as the controllers can take the reports of: a
// fleet beyond that would not be served worse, but not at all.
double Leader::carried_room() {
  const auto& total = fleet_.total();
  double there = static_cast<double>(total.up + total.coming);
  for (const auto& [name, rental] : rentals_)
    if (!rental.record.hosts) there += rental.record.count;
  const double room = static_cast<double>(settings_.most_machines) - there;
  const bool full = room < 1;
  if (full && !at_most_machines_)
    log_->warn("fleet: {:.0f} machines are all that these controllers' sockets can serve; renting no more",
               there);
  if (!full && at_most_machines_) log_->info("fleet: below what these controllers can serve again");
  at_most_machines_ = full;
  return std::max(0.0, room);
}

double Leader::rent(const planner::Offer& offer, bool reclaimable, double count, const std::string& zone) {
  count = std::min(count, carried_room());
  if (count < 1) return 0;
  std::vector<std::string> zones;
  for (const auto& each : offer.flavor.rack_rooms) {
    if (!zone.empty() && each != zone) continue;
    if (stockouts_.may_ask({offer.flavor.name, each, reclaimable}, loop().now())) zones.push_back(each);
  }
  if (zones.empty()) return 0;
  if (!reclaimable && std::find(zones.begin(), zones.end(), settings_.main_zone) != zones.end()) {
    // Services stand on steady machines. A cut between the zones, or of the smaller one, takes those that are
    // not where the leader will be: steady machines are rented there as long as there are any.
    zones = {settings_.main_zone};
  } else {
    // Evenly over the zones, beginning with the one that has the fewest.
    std::map<std::string, double> have;
    for (const auto& [pool, state] : fleet_.pools()) have[pool.rack_room] += state.sums.cores;
    std::sort(zones.begin(), zones.end(),
              [&](const std::string& a, const std::string& b) { return have[a] < have[b]; });
  }
  double asked = 0;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    double share = std::ceil((count - asked) / static_cast<double>(zones.size() - i));
    // The cloud gives so many a request, and so many requests at a time are enough to see whether it has
    // them. One that had none is asked once, to see whether it has some again: eight refusals for each of its
    // types used up the cloud's requests, and hid from the plan that others must be rented.
    const bool doubtful = stockouts_.doubtful({offer.flavor.name, zones[i], reclaimable});
    for (int request = 0; request < (doubtful ? 1 : kRentalsAtOnce) && share >= 1; ++request) {
      const std::string name = rental_prefix() + std::to_string(++rentals_made_);
      auto& rental = rentals_[name];
      rental.record = {
          offer.flavor.name, zones[i],
          reclaimable,       static_cast<std::uint32_t>(std::min<double>(share, cloud::kMaxRental)),
          loop().wall(),     std::nullopt};
      asked += rental.record.count;
      share -= rental.record.count;
      log_->info("rental {}: {} x {} in {}{}", name, rental.record.count, offer.flavor.name, zones[i],
                 reclaimable ? ", spot" : "");
      rental.asking = true;
      // Invariant 3: stored before it is requested.
      writes_.store(wire::rental_key(name), to_json(rental.record), FlushDelay::none,
                    [this, name] { ask(name); });
    }
  }
  return asked;
}

// Of the names of this reign's rentals.
std::string Leader::rental_prefix() const { return "r-" + std::to_string(first_term_) + "-"; }

void Leader::ask(const std::string& name) {
  const auto found = rentals_.find(name);
  if (found == rentals_.end() || !valid()) {
    if (found != rentals_.end()) found->second.asking = false;
    return;
  }
  found->second.asking = true;
  ports_.cloud.tell(cloud::Rent{name, found->second.record,
                                guard([this, name, reign = first_term_](const cloud::Rented& result) {
                                  if (reigning_ && reign == first_term_) rented(name, result);
                                })});
}

void Leader::rented(const std::string& name, const cloud::Rented& result) {
  const auto found = rentals_.find(name);
  if (found == rentals_.end()) return;
  auto& rental = found->second;
  rental.asking = false;
  rental.retry_at = loop().now() + settings_.pace_s / 2;
  if (result.kind == cloud::Rented::Kind::trouble) return;
  const Pool pool{rental.record.flavor, rental.record.rack_room, rental.record.reclaimable};
  if (result.kind == cloud::Rented::Kind::no_capacity || result.hosts.size() < rental.record.count) {
    stockouts_.note(pool, loop().now(), settings_.round_s);
    log_->info("rental {}: {} of {} to be had", name, result.hosts.size(), rental.record.count);
    plan_soon();
  } else {
    stockouts_.over(pool);
  }
  if (result.hosts.empty()) {
    rentals_.erase(found);
    writes_.store(wire::rental_key(name), std::nullopt, FlushDelay::garbage);
    return;
  }
  rental.record.hosts.emplace();
  for (const auto& host : result.hosts) rental.record.hosts->push_back(host.value);
  writes_.store(wire::rental_key(name), to_json(rental.record), FlushDelay::machines);
  // At once: until its machines are known the rental counts neither as asked for nor as there, and a plan
  // made in between rented all of them once more.
  settle_rentals();
}

void Leader::settle_rentals() {
  const double now = loop().now();
  std::vector<std::string> over;
  for (auto& [name, rental] : rentals_) {
    if (!rental.record.hosts) {
      // A new leader repeats open rentals to learn their hosts.
      if (!rental.asking && now >= rental.retry_at && valid()) ask(name);
      continue;
    }
    bool pending = false;
    const bool ours = name.starts_with(rental_prefix());
    for (const auto& text : *rental.record.hosts) {
      const wire::HostId host{text};
      if (gone_.contains(host)) continue;
      const auto [entry, added] = fleet_.add(host);
      auto& machine = *entry;
      if (added) {
        machine.flavor = rental.record.flavor;
        machine.rack_room = rental.record.rack_room;
        machine.reclaimable = rental.record.reclaimable;
        machine.first_seen = now;
        set_size(machine);
        fleet_.refresh(machine);
      }
      machine.fresh = machine.fresh || ours;
      if (!machine.recorded) pending = true;
    }
    if (!pending) over.push_back(name);
  }
  for (const auto& name : over) {
    rentals_.erase(name);
    writes_.store(wire::rental_key(name), std::nullopt, FlushDelay::garbage);
  }
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
  return type == nullptr ? kLeastChargeS : type->boot_s;
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
    reclaims_[machine.flavor].count += 1;
  release(machine, "silent");
}

// Many of a zone at once: rather the network, or us; returned one by one the fleet would be empty.
bool Leader::many_unheard(const Machine& machine) const {
  const auto zone = fleet_.zone(machine.rack_room);
  const auto unheard = zone.quiet + zone.deaf + zone.unconfirmed;
  return unheard >= 2 && static_cast<double>(unheard) > kMassShare * static_cast<double>(zone.up);
}

void Leader::release(Machine& machine, const std::string& reason) {
  if (std::exchange(machine.releasing, true)) return;
  log_->debug("machine {}: releasing it, {} ({} tasks bound)", machine.host.value, reason,
              machine.binds.size());
  ++tally_["machines released (" + reason + ")"];
  replicas_fail(machine);
  to_release_.insert(machine.host);
  fleet_.refresh(machine);
  loop().post(guard([this] { send_releases(); }));
}

void Leader::send_releases() {
  if (releasing_ || !valid()) return;
  std::vector<wire::HostId> hosts;
  for (const auto& host : to_release_)
    if (hosts.size() < cloud::kMaxRelease) hosts.push_back(host);
  if (hosts.empty()) return;
  releasing_ = true;
  ports_.cloud.tell(cloud::Release{hosts, guard([this, hosts, reign = first_term_](bool done) {
                                     if (!reigning_ || reign != first_term_) return;
                                     releasing_ = false;
                                     if (!done) return;  // the tick tries again
                                     for (const auto& host : hosts) gone(host);
                                   })});
}

void Leader::gone(const wire::HostId& host) {
  const double now = loop().now();
  to_release_.erase(host);
  surplus_.erase(host);
  for (; !gone_order_.empty() && now - gone_order_.front().first > kGoneKeptLeases * settings_.lease_s;
       gone_order_.pop_front())
    gone_.erase(gone_order_.front().second);
  if (gone_.emplace(host, now).second) gone_order_.emplace_back(now, host);
  auto* machine = fleet_.find(host);
  if (machine == nullptr) return;
  std::vector<wire::MemberId> members;
  for (const auto& [member, bind] : machine->binds) members.push_back(member);
  for (const auto& member : members) unbind(*machine, member);
  machine_groups_.remove(*machine);
  fleet_.erase(host);
  place_soon();
  plan_soon();
}

void Leader::list_hosts() {
  // A page costs a request: a large fleet is listed less often.
  const double pages = 1 + std::floor(static_cast<double>(fleet_.size()) / cloud::kPage);
  next_list_ = loop().now() + std::max(settings_.list_lag_s, settings_.pace_s) * pages;
  if (std::exchange(listing_, true)) return;
  ports_.cloud.tell(
      cloud::ListHosts{guard([this, reign = first_term_](std::optional<std::vector<wire::ListedHost>> hosts) {
        if (!reigning_ || reign != first_term_) return;
        listing_ = false;
        if (!hosts || !valid()) return;
        const double now = loop().now();
        for (const auto& listed : *hosts) {
          if (gone_.contains(listed.uid)) continue;
          const auto [entry, added] = fleet_.add(listed.uid);
          auto& machine = *entry;
          if (added) {
            // Rented by a request that came late, or at the start: used or returned like any other.
            log_->debug("machine {}: listed but unexpected, adding it", listed.uid.value);
            ++tally_["unexpected machines"];
            machine.flavor = listed.flavor;
            machine.rack_room = listed.rack_room;
            machine.reclaimable = listed.reclaimable;
            machine.first_seen = now - listed.held_s;
            set_size(machine);
            fleet_.refresh(machine);
          }
          if (listed.phase == "failed") release(machine, "failed by the cloud's list");
        }
      })});
}

// An idle machine is worth keeping for about as long as another takes to boot, the less the dearer it is.
double Leader::idle_limit(const Machine& machine) const {
  const auto* type = flavor(machine.flavor);
  if (type == nullptr) return settings_.round_s;
  return settings_.idle_boots * type->boot_s * (machine.reclaimable ? 1 : type->low_price / type->rate);
}

bool Leader::return_idle(Machine& machine) {
  const double now = loop().now();
  if (!machine.takes_tasks() || !machine.binds.empty() || machine.kept.cores > 0) return false;
  if (now - machine.idle_since < idle_limit(machine) || now - machine.first_seen < kLeastChargeS)
    return false;
  release(machine, "idle");
  return true;
}

}  // namespace bankhill::leader
