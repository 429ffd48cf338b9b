// Placement: ready tasks by rising slack, steady machines first, then spot, earliest completion first
// (the paper's Algorithm 4; design: "Ready tasks go by rising slack").
#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using model::Machine;
using queue::kNoRoom;
using queue::task_s;
using state::FlushDelay;
using wire::Order;
using wire::Verb;

namespace {
// A task that runs on for longer gives nothing back soon. Taken from shorter ones, room went round in
// circles: the stopped tasks started elsewhere and were stopped again, and little was finished
// (lakaskalk-grown, rough).
constexpr double kLongRounds = 60;
constexpr double kRoomComes = 0.15;  // paces that a task needs to stop and tell
constexpr double kRoomPaces = 4;     // for which room that was made is its task's alone
constexpr double kServiceRoomPaces = 2;
constexpr int kBindsPerTurn = 200;
constexpr double kServicesTogether = 8;  // may be on one machine in any case
constexpr double kServiceShare = 0.04;   // of all services: may be on one machine
constexpr double kSpreadBoots = 2;       // boots that a service waits for a machine that has fewer
constexpr std::size_t kRoomLook = 48;    // machines looked at for a task that needs others stopped
constexpr double kRoomAgain = 0.2;       // paces after which a batch looks for others to stop again
constexpr std::size_t kRoomTries = queue::kLookedAt;  // jobs in a turn that look for others to stop
constexpr double kRounding = 1e-6;
const std::string kDrains = "a machine drains for it";
}  // namespace

void Leader::place_soon() {
  if (std::exchange(place_scheduled_, true)) return;
  loop().post(guard([this] {
    place_scheduled_ = false;
    place();
  }));
}

queue::Queue::Settings Leader::queue_settings() const {
  queue::Queue::Settings result{
      settings_.pace_s,         settings_.round_s,      {settings_.within_s, settings_.deadline_times}, {},
      settings_.begin_within_s, settings_.largest_share};
  for (const auto& item : settings_.teams) result.weights[item.name] = item.guarantee.cores;
  return result;
}

queue::Queue::Facts Leader::queue_facts() {
  return {[this](const Job& job) { return may_start(job); },
          [this](const Job& job) { return within_guarantee(job); },
          [this](const Job& job) {
            const auto goal = waits_.goal(job.spec.uid);
            const auto found = goal.last.value.empty() ? jobs_.end() : jobs_.find(goal.last);
            return queue::Deadline{found == jobs_.end() ? nullptr : &found->second, goal.rest_s};
          }};
}

// Invariant 5: what an earlier leader may have started waits until no unconfirmed machine could hold it.
bool Leader::unconfirmed_could_hold(const Job& job) const {
  if (job.ready_stamp > won_ || fleet_.total().unconfirmed == 0) return false;
  return std::any_of(fleet_.pools().begin(), fleet_.pools().end(), [&](const auto& entry) {
    return entry.second.sums.unconfirmed > 0 && model::allows(job.spec, entry.first);
  });
}

bool Leader::may_start(const Job& job) const {
  if (!job.live() || !job.released || job.ready == 0 || loop().now() < job.blocked_until) return false;
  return !job.on_trial() && !unconfirmed_could_hold(job);
}

bool Leader::team_has_room(const Job& job, std::uint32_t tasks) {
  const auto admission =
      quota_.admit(job.spec.owner, job.spec.need, tasks, fleet_.total().unconfirmed_size, term_);
  // Invariant 21: what the next leader is to count on is raised before it is used.
  if (admission == Admission::bound_not_covered) write_bounds(false);
  return admission == Admission::allowed;
}

// One record for all teams, a put when one nears its bound; lowered once a round.
void Leader::write_bounds(bool lower) {
  const auto record = quota_.next_record(fleet_.total().unconfirmed_size, term_, lower);
  if (!record) return;
  writes_.store(wire::kBoundsKey, to_json(*record), FlushDelay::awaited, [this] {
    quota_.record_stored();
    place_soon();
  });
}

bool Leader::within_guarantee(const Job& job) const {
  return quota_.within_guarantee(job.spec.owner, job.spec.need, fleet_.total().unconfirmed_size);
}

bool Leader::zone_allows(const Job& job, const std::string& zone) const {
  const auto& spec = job.spec;
  if (spec.rack_room && *spec.rack_room != zone) return false;
  if (!spec.together && !spec.scatter) return true;
  // Invariant 5: tasks of an unconfirmed machine are not known.
  if (job.ready_stamp <= won_ && fleet_.total().unconfirmed > 0) return false;
  const auto found = job.zones.find(zone);
  const std::uint32_t here = found == job.zones.end() ? 0 : found->second;
  if (spec.together && job.where.size() > here) return false;
  return !spec.scatter || here < (spec.members + 1) / 2;
}

// One machine's end must not take too large a part of all services with it.
bool Leader::crowded(const Machine& machine, const Job& job) const {
  if (!job.service()) return false;
  // In a fleet of few large machines none with fewer ever comes: hundreds waited for minutes beside free
  // cores.
  if (!job.begun() && loop().wall() - job.ready_at > kSpreadBoots * planner::longest_boot_s(flavors_))
    return false;
  const double most =
      std::max(kServicesTogether * job.spec.need.cores, kServiceShare * quota_.service_cores());
  return machine.service_cores + job.spec.need.cores > most + kRounding;
}

Machine* Leader::pick(const Job& job, bool reclaimable, Missed& missed) {
  bool kept = false;
  bool own = false;
  model::Fleet::Choice choice{
      job.spec, reclaimable,
      // A service stays: on a large machine it would keep all of it rented.
      job.service(),
      [&](const Pool& pool) {
        const auto* type = flavor(pool.flavor);
        return type == nullptr || type->pull_gb_per_s <= 0 ? 0.0 : job.spec.size_gb / type->pull_gb_per_s;
      },
      // When zones are apart, the leader is where most controllers are: services
      // elsewhere would end with their machines' leases.
      [&](const Pool& pool) {
        const bool aside =
            job.service() && !settings_.main_zone.empty() && pool.rack_room != settings_.main_zone;
        return aside ? settings_.pace_s : 0.0;
      },
      [&](const Machine& machine) {
        const bool suits = !job.failed_on.contains(machine.host) && !crowded(machine, job) &&
                           zone_allows(job, machine.rack_room) &&
                           !machine.leftovers.contains({job.spec.uid, job.cursor});
        own = own || !suits;
        const double now = loop().now();
        if (suits &&
            (!made_room_.allows(machine.host, job.spec.uid, rank(job), job.spec.need, machine.room(), now) ||
             (!job.service() && job.ready < 2 &&
              made_room_.waits_elsewhere(job.spec.uid, machine.host, now)))) {
          kept = true;
          return false;
        }
        if (!suits || job.service() ||
            kept_room_.allows(machine.host, job.spec.uid, loop().now(), task_s(job)))
          return suits;
        kept = true;
        return false;
      },
      false};
  auto* machine = fleet_.pick(choice);
  missed.own = missed.own || own || (choice.passed && !kept);
  missed.kept = missed.kept || kept;
  return machine;
}

void Leader::bind(Machine& machine, Job& job, std::uint32_t index) {
  model::Bind bind;
  bind.member = {job.spec.uid, index};
  bind.try_no = wire::TryNo{(term_ << kTryBits) + ++tries_};
  bind.owner = job.spec.owner;
  bind.queue = job.spec.queue;
  bind.rank = rank(job);
  bind.service = job.service();
  bind.largest = queue_.largest(job);
  bind.need = job.spec.need;
  bind.tenure = machine.tenure;
  bind.since = loop().now();
  job.set_mark(index, model::kBound);
  note(job);
  add_bind(machine, std::move(bind));
}

// Books what a batch task holds for its team and class, or with -1 gives it back.
void Leader::hold(const model::Bind& bind, double sign) {
  if (!bind.service) queue_.hold({bind.owner, bind.queue}, bind.largest, sign * bind.need.cores);
}

// Books the task on the machine, for its team and for its job.
void Leader::add_bind(Machine& machine, model::Bind bind) {
  machine.used += bind.need;
  if (bind.service) machine.service_cores += bind.need.cores;
  quota_.add(bind);
  hold(bind, 1);
  if (const auto job = jobs_.find(bind.member.job); job != jobs_.end() && !bind.alien) {
    job->second.where[bind.member.index] = machine.host;
    ++job->second.zones[machine.rack_room];
  }
  const auto member = bind.member;
  machine.binds.emplace(member, std::move(bind));
  fleet_.refresh(machine);
}

void Leader::note_overload(double wanted, double lacking) {
  if (!queue_.observe(loop().now(), wanted, lacking)) return;
  if (queue_.overloaded())
    log_->warn(
        "overload: {:.0f} of {:.0f} cores wanted cannot be had; teams and classes take turns, what is "
        "nearest to its end first",
        lacking, wanted);
  else
    log_->info("overload: over, work goes by slack again");
}

void Leader::place() {
  if (!valid() || flavors_.empty() || loop().now() < blind_until_) return answer_awaiting();
  act_on_replicas();
  move_replicas();
  const auto& order = queue_.in_order({loop().now(), loop().wall()});
  if (queue_.again_s() > 0 && !place_timer_)
    place_timer_ = loop().after(queue_.again_s(), guard([this] {
                                  place_timer_.reset();
                                  place_soon();
                                }));
  Orders orders;
  std::set<wire::HostId> answered_now;
  for (const auto& waiting : awaiting_) answered_now.insert(waiting.host);
  struct Full {  // what found no machine: nothing that needs as much will
    wire::Amounts need;
    bool reclaimable;
    double least_s;  // and runs for as long: shorter ones may use what is kept for others meanwhile
  };
  std::vector<Full> full;
  const auto steady_free = [this] {
    double cores = 0;
    for (const auto& [pool, state] : fleet_.pools())
      if (!pool.reclaimable) cores += state.sums.free_cores;
    return cores;
  };
  bool waiting = false;
  int left = kBindsPerTurn;
  std::size_t room_tries = kRoomTries;
  for (const auto& candidate : order) {
    if (left <= 0) break;
    const bool hopeless =
        kept_room_.host_of(candidate.id) == nullptr && !made_room_.on_its_way(candidate.id, loop().now()) &&
        std::any_of(full.begin(), full.end(), [&](const Full& item) {
          return item.need.fits(candidate.need) && (item.reclaimable || !candidate.reclaimable) &&
                 candidate.task_s >= item.least_s;
        });
    // Thousands may wait in vain: only the first of them make room, the others cost a comparison.
    if (hopeless && room_tries == 0 && !replicas_.follows(candidate.id)) continue;
    auto* const found = queue_.find(candidate.id);
    if (found == nullptr || !may_start(*found)) continue;
    auto& job = *found;
    if (replicas_.follows(job.spec.uid)) {
      left -= place_replicas(job, orders);
      waiting = waiting || placeable(job) > 0;
      continue;
    }
    if (candidate.first_only && job.begun()) continue;
    std::uint32_t index = 0;
    while (left > 0 && !job.on_trial() && job.next_ready(index)) {
      if (!team_has_room(job)) {
        job.reason = "the team's limit is reached";
        break;
      }
      Missed missed;
      // Room that services to come will need is not given to batches.
      // Except to the few for which a machine drains: what ends beside it goes to smaller ones, which fit
      // above the reserve sooner.
      const bool drains = kept_room_.host_of(job.spec.uid) != nullptr;
      const bool reserved = !job.service() && !drains &&
                            steady_free() - job.spec.need.cores < autoscaler_.reserved_cores() - kRounding;
      missed.own = reserved;
      auto* machine = hopeless || reserved ? nullptr : pick(job, false, missed);
      if (machine == nullptr && !hopeless && job.spec.reclaimable) machine = pick(job, true, missed);
      // A service that would have to wait for its image starts sooner where a batch makes room beside it.
      if (machine != nullptr && job.service() && !machine->images.contains(job.spec.bundle) &&
          make_room(job, true))
        break;
      if (machine == nullptr) {
        waiting = true;
        if (!job.faulty) job.reason = kNoRoom;
        if (!hopeless && !missed.own && !job.spec.flavors && !job.spec.rack_room)
          full.push_back({job.spec.need, job.spec.reclaimable, missed.kept ? task_s(job) : 0});
        // Also when less is free in all than it needs, as in any full fleet.
        if (queue_.overdue(job, loop().wall()) && keep_room(job)) job.reason = kDrains;
        if (!job.faulty && room_tries > 0) {
          --room_tries;
          make_room(job, false);
        }
        break;
      }
      bind(*machine, job, index);
      kept_room_.release(job.spec.uid);
      made_room_.placed(job.spec.uid, machine->host, job.ready > 0);
      --left;
      const wire::MemberId member{job.spec.uid, index};
      // A machine whose report waits for its answer gets the order with it.
      if (!answered_now.contains(machine->host))
        orders[machine->host].push_back({Verb::start, member, machine->binds.at(member).try_no, 0});
      if (job.ready == 0) job.reason.clear();
      if (candidate.first_only) {
        ++tally_["large jobs begun before others"];
        log_->debug("job {}: begins before others, {:.0f} s after its waiting began", job.spec.uid.value,
                    loop().wall() - job.ready_at);
        break;
      }
    }
  }
  std::erase_if(orders, [&](const auto& entry) { return answered_now.contains(entry.first); });
  for (auto& [host, list] : orders)
    if (auto* machine = fleet_.find(host)) send_direct(*machine, std::move(list));
  answer_awaiting();
  if (waiting) plan_soon();
  // Bounded, so that leases, reports and probes are never late behind thousands of tasks.
  if (left <= 0) place_soon();
}

// Chooses the machine that should have room for one of its tasks first, and keeps it: else smaller tasks pass
// it for as long as they come. Says whether one is kept for it.
bool Leader::keep_room(Job& job) {
  const double now = loop().now();
  const auto& need = job.spec.need;
  if (const auto* host = kept_room_.host_of(job.spec.uid)) {
    const auto* machine = fleet_.peek(*host);
    if (machine == nullptr || !machine->takes_tasks() || machine->quiet) kept_room_.lose(wire::HostId{*host});
  }
  if (!kept_room_.wants(job.spec.uid, now)) return kept_room_.host_of(job.spec.uid) != nullptr;
  const Machine* best = nullptr;
  double best_at = std::numeric_limits<double>::max();
  fleet_.visit_after(keep_cursor_, kRoomLook, [&](Machine& machine) {
    if (!machine.takes_tasks() || machine.quiet || kept_room_.kept(machine.host)) return;
    if (!model::allows(job.spec, {machine.flavor, machine.rack_room, machine.reclaimable}) ||
        !zone_allows(job, machine.rack_room) || !need.fits(machine.size) ||
        job.failed_on.contains(machine.host))
      return;
    std::vector<std::pair<double, wire::Amounts>> ends;
    for (const auto& [member, bind] : machine.binds) {
      const auto other = jobs_.find(member.job);
      if (other == jobs_.end() || (bind.service && !bind.stopping)) continue;
      const double runs = bind.running_since > 0 ? now - bind.running_since : 0;
      ends.emplace_back(bind.stopping ? now : now + std::max(0.0, task_s(other->second) - runs), bind.need);
    }
    std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    auto room = machine.room();
    double at = now;
    for (const auto& [end, back] : ends) {
      if (need.fits(room)) break;
      room += back;
      at = end;
    }
    if (!need.fits(room) || at >= best_at) return;
    best = &machine;
    best_at = at;
  });
  if (best == nullptr) return false;
  kept_room_.keep(job.spec.uid, best->host, best_at);
  ++tally_["machines kept for large tasks"];
  log_->debug("job {}: waits for {:.0f} s, machine {} drains for it and should have room in {:.0f} s",
              job.spec.uid.value, loop().wall() - job.ready_at, best->host.value, best_at - now);
  return true;
}

void Leader::answer_awaiting() {
  for (auto& waiting : std::exchange(awaiting_, {})) {
    auto* machine = fleet_.find(waiting.host);
    if (machine == nullptr || !valid())
      waiting.reply({});
    else
      answer_report(*machine, waiting.counter, waiting.reply);
  }
}

// Preemption: stops tasks of lower rank, or of a team above its guarantee when this job's team is within
// its own, on the one machine where the least progress is lost.
// `with_image`: only where the image is. Says whether room is on its way.
bool Leader::make_room(Job& job, bool with_image) {
  const double now = loop().now();
  // What was stopped for it before is on its way.
  if (now - job.made_room_at < settings_.pace_s)
    // Room made where the image is not is all that it gets: waiting on for a better one, a service left it to
    // the next batch and made room again each pace, 20 s down after its machine died (lakaskalk, troubles).
    return now - job.made_room_at < kRoomComes * settings_.pace_s && (!with_image || job.room_has_image);
  if (!job.service() && made_room_.on_its_way(job.spec.uid, now)) return true;
  // A batch in a flood is one of thousands that look for room at each event.
  if (!job.service() && now - job.sought_room_at < kRoomAgain * settings_.pace_s) return false;
  job.sought_room_at = now;
  // Stopped work is mostly lost, and borrowed room comes back by itself as tasks end: taken back by force
  // is only what long tasks would not give back soon, when a whole round has not brought enough.
  const bool guaranteed = within_guarantee(job) && loop().wall() - job.ready_at > settings_.round_s &&
                          quota_.others_borrow(job.spec.owner);
  const auto own_rank = rank(job);
  if (!guaranteed && quota_.cores_below(own_rank) < kRounding) return false;
  Machine* best = nullptr;
  std::vector<wire::MemberId> best_victims;
  std::pair<bool, double> best_loss{true, std::numeric_limits<double>::max()};
  // A part of the fleet at a time, going round: the best of some dozens is hardly worse than the best of all.
  fleet_.visit_after(room_cursor_, kRoomLook, [&](Machine& machine) {
    if (!machine.takes_tasks() || machine.quiet || made_room_.made(machine.host, now)) return;
    if (!model::allows(job.spec, {machine.flavor, machine.rack_room, machine.reclaimable}) ||
        !zone_allows(job, machine.rack_room) || !job.spec.need.fits(machine.size))
      return;
    wire::Amounts room = machine.room();
    double loss = 0;
    std::vector<wire::MemberId> victims;
    for (const auto& [member, bind] : machine.binds)
      if (bind.stopping) return;  // this room is meant for another
    for (const auto& [member, bind] : machine.binds) {
      if (job.spec.need.fits(room)) break;
      const auto other = jobs_.find(member.job);
      if (other == jobs_.end() || bind.owner.empty()) continue;
      const bool lower = rank(other->second) < own_rank;
      // A team's services count towards its guarantee first: it is its batches that borrow. Stopped for
      // that, services were down all day while their team's batches went on (lakaskalk-grown).
      const bool borrowed =
          guaranteed && bind.owner != job.spec.owner && quota_.borrows(bind.owner, bind.service);
      const double left =
          other->second.service()
              ? std::numeric_limits<double>::max()
              : task_s(other->second) - (bind.running_since > 0 ? now - bind.running_since : 0);
      if (!lower && !(borrowed && left > kLongRounds * settings_.round_s)) continue;
      room += bind.need;
      victims.push_back(member);
      loss += (bind.running_since > 0 ? now - bind.running_since : 0) * bind.need.cores;
    }
    // Room on a machine that must fetch the image first is of use only later.
    const std::pair costs{!machine.images.contains(job.spec.bundle), loss};
    if ((with_image && costs.first) || crowded(machine, job)) return;
    if (victims.empty() || !job.spec.need.fits(room) || costs >= best_loss) return;
    best = &machine;
    best_victims = std::move(victims);
    best_loss = costs;
  });
  if (best == nullptr) return false;
  job.made_room_at = now;
  job.room_has_image = !best_loss.first;
  made_room_.make(job.spec.uid, best->host, own_rank, job.spec.need, now,
                  now + (job.service() ? kServiceRoomPaces : kRoomPaces) * settings_.pace_s);
  for (const auto& member : best_victims) {
    auto& bind = best->binds.at(member);
    if (const auto span = replicas_.board().span(member.job); span > 1) {  // whole, or not at all
      replicas_.board().evict({member.job, member.index / span}, now);
      continue;
    }
    const auto& spec = jobs_.at(member.job).spec;
    log_->debug("job {}: {} makes room for it", job.spec.uid.value, member.text());
    ++tally_["tasks made room"];
    stop(*best, bind, spec.snapshot_every_s > 0 ? spec.flush_s : 0);
  }
  act_on_replicas();
  return true;
}

}  // namespace bankhill::leader
