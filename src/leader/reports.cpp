// Reports of workers, and the orders that answer them.
#include <algorithm>
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Bind;
using model::BindPhase;
using model::Job;
using model::Leftover;
using model::Machine;
using queue::task_s;
using state::FlushDelay;
using wire::ExitCause;
using wire::MemberPhase;
using wire::Order;
using wire::Verb;

namespace {
// Failures before a machine or a job counts as the faulty one.
constexpr std::uint32_t kMachineErrors = 3;
constexpr std::size_t kMachineErrorJobs = 2;
constexpr std::size_t kJobErrorMachines = 3;
const std::string kSick = "its tasks fail";
constexpr double kFirstBackoff = 2;  // in paces
constexpr double kLastBackoff = 20;
// Exited attempts that wait to be forgotten with the next orders: alone they would cost a report each.
constexpr std::size_t kForgetAlone = 64;
constexpr double kRegularReport =
    0.7;  // of the report interval: after this it is not a change that is reported
constexpr std::size_t kMaxOrders = 400;  // keeps an answer below 64 KiB

bool runs(const wire::MemberReport& member) { return member.phase != MemberPhase::exited; }

// Invariant 34: an answer extends the lease of all that the report lists, so it stops what is over, whatever
// else is not believed of the report: the next answer may never arrive. It names the attempt: one that is no
// longer there is not harmed.
std::vector<Order> stops_for(const wire::Report& report, const std::map<wire::JobId, Job>& jobs) {
  std::vector<Order> stops;
  for (const auto& member : report.members) {
    const auto job = jobs.find(member.member.job);
    const bool over = job == jobs.end() || job->second.over();
    if (over && runs(member) && stops.size() < kMaxOrders)
      stops.push_back({Verb::stop, member.member, member.try_no, 0});
  }
  return stops;
}
}  // namespace

// Everything that lengthens a worker's lease goes through here (invariant 34).
wire::Ruling Leader::granted(std::vector<Order> orders) const {
  if (!valid()) return {};
  return {0, wire::Verdict::granted, wire::Fence{term_}, std::move(orders)};
}

void Leader::on(Reported& message) {
  if (!valid()) return message.reply({});
  const auto& report = message.report;
  if (message.via == net::Via::sibling) reachability_probe_.note_suspicion();
  const bool brief = message.base != 0;
  const wire::Ruling in_full{0, wire::Verdict::in_full, {}, {}};
  auto* machine = fleet_.find(report.host);
  if (machine == nullptr) {
    if (brief) return message.reply(in_full);
    meet(report);
    // Its lease is not counted here: it does not go on while anything runs there (invariants 5 and 29).
    const bool idle = std::none_of(report.members.begin(), report.members.end(), runs);
    return message.reply(idle ? granted({}) : wire::Ruling{});
  }
  // Invariant 26: its worker waits for no answer to this one, so none extends a lease.
  if (machine->heard_already(report)) {
    ++tally_["reports came again or too late"];
    return message.reply({});
  }
  if (message.via == net::Via::worker) machine_monitor_.note_direct_contact();
  if (brief && !apply_brief(*machine, report, message.base, message.by)) return message.reply(in_full);
  if (!brief && !machine->fresh && report.fence.value < first_term_)
    return undated(*machine, report, message.reply);
  if (!brief) came_up(*machine, report, true);
  const bool news = brief || apply(*machine, report, &message.by);
  machine->reported = report.counter;
  machine->reported_at = loop().now();
  machine_monitor_.update_reporting(*machine);
  // An answer with a valid fence extends the worker's lease whatever it holds: also when a direct answer has
  // overtaken the report. Else its tasks would be started elsewhere while they still run (invariant 6).
  machine->lease.renewed(loop().now());
  if (!news) return message.reply(granted(stops_for(report, jobs_)));
  machine->hearing.answered(loop().now(), report.counter, report.tenure, wire::Fence{term_}, message.by);
  // What is placed now goes out with the answer: that spares a request and a report for each task.
  if (!queue_.jobs().empty() && machine->takes_tasks() && machine->room().cores > 0) {
    awaiting_.push_back({machine->host, report.counter, std::move(message.reply)});
    return place_soon();
  }
  answer_report(*machine, report.counter, message.reply);
}

// Invariant 26: what shows no fence of this reign may have been sent at any time under an earlier leader, and
// come to this one late. It teaches only what can but rise: that sessions before its own are over. Its list
// of tasks, its notice and that the machine is up may long be untrue. A worker that hears the answer reports
// the new fence at once.
void Leader::undated(Machine& machine, const wire::Report& report, const net::RulingReply& reply) {
  const double now = loop().now();
  // Its lease cannot reach beyond this: no earlier leader answered after the reign began, and what was
  // answered since would have shown the fence. Later copies must not put off that it counts as over.
  if (machine.inherited && !machine.confirmed && now - reign_since_ > settings_.lease_s) return reply({});
  if (report.tenure > machine.tenure) {
    if (machine.tenure.value != 0) new_tenure(machine, report.tenure);
    machine.tenure = report.tenure;
    machine.counter = machine.listed_counter = 0;
    fleet_.refresh(machine);
  }
  machine.reported = report.counter;
  machine.last_contact = machine.reported_at = now;
  machine.lease.renewed(now);  // it may be true all the same (invariant 6)
  reply(granted(stops_for(report, jobs_)));
}

// Invariant 26: a host that nothing of ours names. It is recorded and used once it has answered a question;
// one that is not there costs a request and no more.
void Leader::meet(const wire::Report& report) {
  if (!strangers_.to_ask(report, loop().now())) return;
  log_->debug("machine {}: reports and is not known here, asking it", report.host.value);
  ++tally_["unknown machines asked"];
  const wire::Json body{
      {"fence", term_}, {"tenure", report.tenure.value}, {"orders", to_json(std::vector<Order>{})}};
  ports_.workers.send(
      report.address, {net::Method::post, "/commands", body.dump()}, settings_.pace_s,
      guard([this, host = report.host, reign = first_term_](const net::Response& response) {
        if (!valid() || reign != first_term_ || (response.status != 200 && response.status != 409)) return;
        try {
          const auto answer = wire::parse_report(wire::parse_object(response.body));
          if (answer.host == host) welcome(answer);  // else its address is another's by now
        } catch (const std::exception& error) {
          log_->warn("machine {}: answer cannot be read: {}", host.value, error.what());
        }
      }));
}

void Leader::welcome(const wire::Report& report) {
  if (rental_manager_.recently_terminated(report.host)) {
    log_->warn("machine {}: released and still there, releasing it again", report.host.value);
    rental_manager_.terminate_again(report.host);
    return;
  }
  const auto [machine, added] = fleet_.add(report.host);
  if (added) {
    log_->debug("machine {}: unexpected, adding it", report.host.value);
    ++tally_["unexpected machines"];
    machine->first_seen = loop().now();
  }
  came_up(*machine, report, !added);
  apply(*machine, report, nullptr);
}

void Leader::answer_report(Machine& machine, std::uint64_t counter, const net::RulingReply& reply) {
  reply(granted(orders_for(machine, counter)));
}

// Invariant 19: a brief report says that all but the counter is as in the report of counter `base`. It is
// taken only where that is the last list of tasks that was applied here, in this session and this reign, and
// nothing waits for a list that is newer; else it must be sent in full.
bool Leader::apply_brief(Machine& machine, const wire::Report& report, std::uint64_t base,
                         const std::string& by) {
  if (!machine.up || !machine.recorded || !machine.confirmed || machine.lost ||
      machine.tenure != report.tenure || machine.listed_counter != base || report.counter <= machine.counter)
    return false;
  // A start that should be listed by now is missing: the list itself must show it (invariant 6).
  const bool awaited = std::any_of(machine.binds.begin(), machine.binds.end(), [&](const auto& entry) {
    const auto& bind = entry.second;
    return bind.phase == BindPhase::sent && (bind.stopping || bind.starts.shown_by(report.counter));
  });
  if (awaited) return false;
  const bool was_quiet = machine.quiet;
  hear(machine, report, by, false, false);
  heard(machine, report, false);
  if (was_quiet) fleet_.refresh(machine);
  return true;
}

void Leader::heard(Machine& machine, const wire::Report& report, bool direct) {
  const double now = loop().now();
  machine.counter = report.counter;
  machine.seen = std::max(machine.seen, report.fence);
  if (!direct) machine.regular = now - machine.last_report >= kRegularReport * settings_.report_s;
  if (!direct) machine.last_report = now;
  machine.last_contact = now;
  machine.probes_unanswered = 0;
  machine.lost = machine.quiet = false;
}

void Leader::came_up(Machine& machine, const wire::Report& report, bool expected) {
  if (!machine.up) {
    machine.up = true;
    machine.address = report.address;
    machine.flavor = report.flavor;
    machine.rack_room = report.rack_room;
    machine.reclaimable = report.reclaimable;
    machine.idle_since = machine.reported_at = loop().now();
    set_size(machine);
    if (expected && !machine.late) machine_monitor_.count_boot(true);
    ++tally_["machines came up"];
    log_->debug("machine {}: up ({} in {}{})", machine.host.value, machine.flavor, machine.rack_room,
                machine.reclaimable ? ", spot" : "");
  }
  if (!machine.recorded) record(machine);
}

// Invariant 27: what it told before is not what it is now, in the same session: it ended and is back under
// its old name. Nothing it says can be put in order with what it said before, copies of which may still come.
void Leader::came_back(Machine& machine) {
  if (machine.releasing) return;
  log_->warn("machine {}: is back and has forgotten its session, returning it", machine.host.value);
  machine.lease.renewed(loop().now());
  release(machine, "back without its session");
}

// What this report shows of the answers before it.
void Leader::hear(Machine& machine, const wire::Report& report, const std::string& by, bool lost_start,
                  bool ran_start) {
  const auto before = machine.hearing.state();
  machine.hearing.reported(
      loop().now(), machine_monitor_.timing(),
      {report.counter, report.tenure, report.fence, by, lost_start, ran_start, !ports_.sibling_heard()});
  machine_monitor_.downlink_changed(machine, before);
}

bool Leader::apply(Machine& machine, const wire::Report& report, const std::string* by) {
  const bool direct = by == nullptr;
  // Invariant 11.
  if (std::pair(report.tenure, report.counter) <= std::pair(machine.tenure, machine.counter)) return false;
  const double now = loop().now();
  // A start that went with an earlier answer should be listed, whatever became of it. One that is not never
  // arrived: it is taken back at once, instead of given again to a machine that may not hear.
  bool lost_start = false;
  bool ran_start = false;
  if (!direct && report.tenure == machine.tenure) {
    std::set<wire::MemberId> shown;
    for (const auto& member : report.members) shown.insert(member.member);
    for (auto& [member, bind] : machine.binds) {
      if (bind.phase != BindPhase::sent || !bind.starts.shown_by(report.counter)) continue;
      (shown.contains(member) ? ran_start : lost_start) = true;
      if (!shown.contains(member)) bind.stopping = true;
    }
    if (lost_start) ++tally_["starts lost"];
  }
  const bool session_begun = report.tenure > machine.tenure;
  if (session_begun && machine.tenure.value != 0) new_tenure(machine, report.tenure);
  // A session that is new to us began at some moment before now: its lease is counted from here, or a
  // direct answer would bring back a machine whose lease seems to have run out long ago.
  if (session_begun || machine.lost) machine.lease.renewed(now);
  machine.tenure = report.tenure;
  if (session_begun) machine.reported = 0;
  machine.listed_counter = report.counter;
  if (!direct) hear(machine, report, *by, lost_start, ran_start);
  heard(machine, report, direct);
  const bool confirms = !machine.confirmed && machine.seen.value >= first_term_;
  if (confirms) {
    // From here on nothing that an earlier leader ordered can take effect (invariant 5).
    machine.confirmed = true;
    place_soon();
  }
  if (report.warning_s) warned(machine, *report.warning_s);
  std::set<wire::MemberId> listed;
  for (const auto& member : report.members) {
    listed.insert(member.member);
    if (const auto known = machine.binds.find(member.member); confirms && known != machine.binds.end())
      seen(known->second);
    apply_member(machine, member);
  }
  std::erase_if(machine.leftovers, [&](const auto& entry) { return !listed.contains(entry.first); });
  // Invariant 6: a start that was to be taken back and never happened is over once no order for it can
  // still be on its way.
  std::vector<wire::MemberId> never_started;
  const auto shown = direct ? std::nullopt : std::optional(report.counter);
  for (const auto& [member, bind] : machine.binds) {
    const bool none_arrives = bind.starts.directs_over(machine.seen) && bind.starts.answer_over(shown);
    if (bind.stopping && bind.phase == BindPhase::sent && !listed.contains(member) && none_arrives)
      never_started.push_back(member);
  }
  for (const auto& member : never_started) unbind(machine, member);
  // A worker lists a task until it is told to forget it, and it is told so only once the task has exited.
  const bool lost_tasks = std::any_of(machine.binds.begin(), machine.binds.end(), [&](const auto& entry) {
    const auto& [member, bind] = entry;
    return bind.phase != BindPhase::sent && bind.tenure == machine.tenure && !listed.contains(member);
  });
  if (lost_tasks) came_back(machine);
  fleet_.refresh(machine);
  return true;
}

void Leader::new_tenure(Machine& machine, wire::Tenure tenure) {
  log_->debug("machine {}: its lease ran out, its tasks are gone ({})", machine.host.value,
              machine.binds.size());
  ++tally_["leases ran out"];
  std::vector<wire::MemberId> members;
  for (const auto& [member, bind] : machine.binds)
    if (bind.tenure < tenure) members.push_back(member);
  for (const auto& member : members) unbind(machine, member);
  machine.leftovers.clear();
}

void Leader::apply_member(Machine& machine, const wire::MemberReport& member) {
  const auto found = machine.binds.find(member.member);
  if (found == machine.binds.end()) return adopt(machine, member);
  auto& bind = found->second;
  if (bind.try_no != member.try_no) {
    // An attempt of before; ours answers for itself.
    if (member.phase == MemberPhase::exited) return;
    log_->warn("machine {}: {} runs as attempt {}, not {}", machine.host.value, member.member.text(),
               member.try_no.value, bind.try_no.value);
    bind.try_no = member.try_no;
  }
  const auto job = jobs_.find(member.member.job);
  const bool was_running = bind.phase == BindPhase::running;
  switch (member.phase) {
    case MemberPhase::pulling:
      bind.phase = BindPhase::pulling;
      break;
    case MemberPhase::running:
      if (!was_running) {
        bind.running_since = loop().now();
        if (job != jobs_.end())
          log_->debug("machine {}: {} runs {:.1f} s after its job's acceptance, {:.1f} s after placement",
                      machine.host.value, member.member.text(), loop().wall() - job->second.accepted_at,
                      loop().now() - bind.since);
        if (job != jobs_.end()) fleet_.add_image(machine, job->second.spec.bundle);
      }
      bind.phase = BindPhase::running;
      break;
    case MemberPhase::flushing:
      if (!bind.alien) replicas_.board().failing(member.member, loop().now());
      bind.phase = BindPhase::flushing;
      bind.stopping = true;
      break;
    case MemberPhase::exited:
      return exited(machine, member);
  }
  if (job != jobs_.end() && !bind.alien && job->second.live()) {
    const bool runs = bind.phase == BindPhase::running;
    if (runs != was_running) {
      job->second.running += runs ? 1 : -1;
      job->second.progress_dirty = true;
      if (runs) replicas_.board().running(member.member, loop().now());
    }
  }
}

// Of an earlier leader: from here on it counts where it is used, and no more among what was not seen
// (invariant 21). Only of a machine that has shown a fence of this reign: a report that was held back may
// tell of a session that ended under the earlier leader, whose tasks were replaced by others.
void Leader::seen(const Bind& bind) {
  if (!bind.owner.empty() && started_under(bind.try_no) < first_term_)
    quota_.inherited_task_seen(bind.owner, bind.need);
}

void Leader::adopt(Machine& machine, const wire::MemberReport& member) {
  const auto job = jobs_.find(member.member.job);
  const bool known = job != jobs_.end() && member.member.index < job->second.spec.members;
  const bool live = known && job->second.live();
  if (member.phase == MemberPhase::exited) {
    auto [entry, added] = machine.leftovers.try_emplace(member.member);
    if (!added && entry->second.try_no == member.try_no) return;
    entry->second = Leftover{member.try_no, true, {}};
    if (live && member.cause == ExitCause::done && job->second.marks[member.member.index] != model::kDone) {
      // Finished under an earlier leader, or just before its lease ran out.
      const bool elsewhere = job->second.marks[member.member.index] == model::kBound;
      if (elsewhere) return;  // the other attempt will exit with done by itself
      entry->second.stored = false;
      finish(job->second, member.member.index, mark_stored(machine, member.member));
    }
    return;
  }
  Bind bind;
  bind.member = member.member;
  bind.try_no = member.try_no;
  bind.tenure = machine.tenure;
  bind.since = loop().now();
  bind.alien = !live || job->second.marks[member.member.index] != model::kReady;
  bind.stopping = bind.alien;
  if (known) {
    bind.owner = job->second.spec.owner;
    bind.queue = job->second.spec.queue;
    bind.rank = rank(job->second);
    bind.service = job->second.service();
    bind.largest = queue_.largest(job->second);
    bind.need = job->second.spec.need;
  } else {
    bind.need = machine.size;  // unknown: the machine counts as full
  }
  if (!bind.alien) {
    job->second.set_mark(member.member.index, model::kBound);
    note(job->second);
  } else {
    log_->debug("machine {}: {} has no business here, stopping it", machine.host.value, member.member.text());
    ++tally_["stray tasks"];
  }
  if (machine.confirmed && machine.seen.value >= first_term_) seen(bind);
  const bool alien = bind.alien;
  add_bind(machine, std::move(bind));
  if (!alien && replicas_.follows(member.member.job)) {
    replicas_.board().found(member.member, {machine.host, machine.rack_room}, loop().now());
    if (machine.draining)
      replicas_.board().must_leave(member.member, machine.warned_until.has_value(), loop().now());
  }
  apply_member(machine, member);
}

void Leader::unbind(Machine& machine, const wire::MemberId& member) {
  const auto found = machine.binds.find(member);
  if (found == machine.binds.end()) return;
  const Bind bind = std::move(found->second);
  machine.binds.erase(found);
  machine.used -= bind.need;
  if (machine.binds.empty()) {
    machine.used = {};
    machine.idle_since = loop().now();
  }
  if (bind.service) machine.service_cores -= bind.need.cores;
  quota_.remove(bind);
  hold(bind, -1);
  fleet_.refresh(machine);
  const auto found_job = jobs_.find(member.job);
  if (!bind.alien) replicas_.board().gone(member, loop().now());
  if (found_job != jobs_.end() && !bind.alien) {
    auto& job = found_job->second;
    job.where.erase(member.index);
    if (const auto zone = job.zones.find(machine.rack_room); zone != job.zones.end() && --zone->second == 0)
      job.zones.erase(zone);
    if (job.live()) {
      if (bind.phase == BindPhase::running) --job.running;
      if (job.marks[member.index] == model::kBound) job.set_mark(member.index, model::kReady);
      note(job);
    }
  }
  place_soon();
}

void Leader::exited(Machine& machine, const wire::MemberReport& member) {
  const auto found = machine.binds.find(member.member);
  const Bind bind = found->second;
  Leftover leftover{member.try_no, true, bind.starts};
  unbind(machine, member.member);
  const auto job = jobs_.find(member.member.job);
  const bool live = job != jobs_.end() && job->second.live() && !bind.alien;
  if (live && member.cause == ExitCause::done) {
    machine.errors_in_row = 0;
    machine.error_jobs.clear();
    job->second.failures_in_row = 0;
    job->second.failed_on.clear();
    job->second.reason.clear();
    if (std::exchange(job->second.faulty, false))
      log_->info("job {}: a task ended well, it is no longer taken for faulty", job->second.spec.uid.value);
    leftover.stored = false;  // invariant 7
    finish(job->second, member.member.index, mark_stored(machine, member.member));
  } else if (live && member.cause != ExitCause::halted) {
    log_->debug("machine {}: {} exited with {}", machine.host.value, member.member.text(),
                name_of(member.cause));
    ++tally_[std::string("tasks exited with ") + name_of(member.cause)];
    failed(machine, job->second, member.cause);
  }
  machine.leftovers[member.member] = leftover;
}

// To be run once an exit is in the store: the attempt may then be forgotten (invariant 7).
std::function<void()> Leader::mark_stored(const Machine& machine, const wire::MemberId& member) {
  return [this, host = machine.host, member] {
    auto* at = fleet_.find(host);
    if (at == nullptr) return;
    if (const auto left = at->leftovers.find(member); left != at->leftovers.end()) left->second.stored = true;
  };
}

// Tells a sick machine from a faulty job. A job that failed on several machines with no task done since is
// faulty: one task of it is tried now and then, and its failures say nothing of the machines. A machine is
// sick when several jobs fail there, or one that is well elsewhere does again and again. With one batch in 25
// faulty, counting each failure took 200 good machines out of use on a day without a sick one
// (lakaskalk-ops).
void Leader::failed(Machine& machine, Job& job, ExitCause cause) {
  job.reason = std::string("a task failed: ") + name_of(cause);
  job.progress_dirty = true;
  if (cause == ExitCause::error) {
    job.failed_on.insert(machine.host);
    // A job of which a replica serves is no faulty one: no service ever ends well.
    const bool serves = replicas_.board().whole(job.spec.uid) > 0;
    if (!job.faulty) {
      ++machine.errors_in_row;
      machine.error_jobs.insert(job.spec.uid);
      if (job.failed_on.size() >= kJobErrorMachines && !serves) {
        job.faulty = true;
        log_->warn(
            "job {}: its tasks fail on {} machines; one at a time is tried until it is well or cancelled",
            job.spec.uid.value, job.failed_on.size());
        acquit(job);
      }
    }
    const bool sick =
        machine.error_jobs.size() >= kMachineErrorJobs ||
        (!job.faulty && (job.finished > 0 || serves) && machine.errors_in_row >= kMachineErrors);
    if (sick && !machine.draining) {
      drain(machine, kSick);
      log_->warn("machine {}: tasks keep failing there, taking it out of use", machine.host.value);
    }
    if (!job.faulty) return;
    job.reason = "its tasks fail on every machine tried";
  }
  // Refused, or failing everywhere: not again at once, and with growing pauses.
  const double now = loop().now();
  if (now < job.blocked_until) return;
  ++job.failures_in_row;
  job.blocked_until = now + std::min(kLastBackoff, kFirstBackoff * job.failures_in_row) * settings_.pace_s;
  if (job.faulty) job.failed_on.clear();
}

// The machines that a faulty job failed on are not to blame for it.
void Leader::acquit(Job& job) {
  for (const auto& host : job.failed_on) {
    auto* machine = fleet_.find(host);
    if (machine == nullptr || machine->error_jobs.erase(job.spec.uid) == 0) continue;
    machine->errors_in_row = 0;
    if (machine->error_jobs.size() < kMachineErrorJobs) use_again(*machine, kSick);
  }
}

void Leader::finish(Job& job, std::uint32_t index, std::function<void()> then) {
  job.set_mark(index, model::kDone);
  note(job);
  ++tally_["tasks done"];
  if (job.finished < job.spec.members)
    return completion_bitmaps_.store(completion_bitmaps_.record_of(job, index / wire::kFinishedChunk),
                                     FlushDelay::exits, std::move(then));
  log_->debug("job {}: all {} tasks done, {:.1f} s after acceptance ({} guessed {:.1f} s each)",
              job.spec.uid.value, job.spec.members, loop().wall() - job.accepted_at, job.spec.queue,
              job.spec.guess_s);
  ++tally_["jobs done"];
  write_done(job, std::move(then));
}

void Leader::write_done(const Job& job, Then then) {
  writes_.store(wire::job_key(job.spec.uid),
                final_json(record_of(job), wire::JobPhase::done, loop().wall(), writes_.value_limit()),
                waits_.awaited(job.spec.uid) ? FlushDelay::awaited : FlushDelay::none, std::move(then));
}

void Leader::stop(Machine& machine, Bind& bind, double wind_down_s) {
  bind.stopping = true;
  bind.wind_down_s = wind_down_s;
  send_direct(machine, {Order{Verb::stop, bind.member, bind.try_no, wind_down_s}});
}

void Leader::stop_all(const Job& job) {
  std::map<wire::HostId, std::vector<Order>> orders;
  for (const auto& [index, host] : job.where) {
    auto* machine = fleet_.find(host);
    if (machine == nullptr) continue;
    const auto bind = machine->binds.find({job.spec.uid, index});
    if (bind == machine->binds.end()) continue;
    bind->second.stopping = true;
    bind->second.wind_down_s = 0;
    orders[host].push_back({Verb::stop, bind->first, bind->second.try_no, 0});
  }
  for (auto& [host, list] : orders) send_direct(*fleet_.find(host), std::move(list));
}

std::vector<Order> Leader::orders_for(Machine& machine, std::uint64_t answered_counter) {
  std::vector<Order> forgets;
  for (auto& [member, leftover] : machine.leftovers) {
    // Invariant 7: a start of this attempt that is still on its way would start it once more.
    if (leftover.stored && leftover.starts.directs_over(machine.seen) && forgets.size() < kMaxOrders / 2)
      forgets.push_back({Verb::forget, member, leftover.try_no, 0});
  }
  std::vector<Order> orders;
  for (auto& [member, bind] : machine.binds) {
    if (orders.size() >= kMaxOrders / 2) break;
    if (bind.stopping) {
      orders.push_back({Verb::stop, member, bind.try_no, bind.wind_down_s});
    } else if (bind.phase == BindPhase::sent && machine.takes_tasks()) {
      orders.push_back({Verb::start, member, bind.try_no, 0});
      bind.starts.sent_with_answer(answered_counter);
    }
  }
  // The worker reports again when it has forgotten something: that can wait for orders or the next regular
  // report. First in the answer all the same: a start may be of a task that is forgotten here.
  if (orders.empty() && !machine.regular && forgets.size() < kForgetAlone) return orders;
  forgets.insert(forgets.end(), orders.begin(), orders.end());
  return forgets;
}

void Leader::send_direct(Machine& machine, std::vector<Order> orders, Then over) {
  if (!valid() || machine.address.empty()) {
    if (over) loop().post(guard(std::move(over)));
    return;
  }
  for (const auto& order : orders)
    if (order.verb == Verb::start) machine.binds.at(order.member).starts.sent_directly();
  const wire::Fence fence{term_};
  // A machine whose session is not known yet answers 409 with its report, which tells it.
  const auto tenure = std::max<std::uint64_t>(1, machine.tenure.value);
  const wire::Json body{{"fence", fence.value}, {"tenure", tenure}, {"orders", to_json(orders)}};
  machine.last_probe = loop().now();
  machine.hearing.asked(loop().now(), machine_monitor_.timing());
  // A question without orders may be missed: where services wait for it, less long.
  const bool brief = !machine.confirmed || (orders.empty() && machine.service_cores > 0);
  const double patience = brief ? kUnconfirmedPatience * settings_.pace_s : settings_.pace_s;
  ports_.workers.send(machine.address, {net::Method::post, "/commands", body.dump()}, patience,
                      guard([this, host = machine.host, orders = std::move(orders),
                             asked = Asked{fence, machine.newest_heard()}, reign = first_term_,
                             over = std::move(over)](const net::Response& response) {
                        if (!reigning_ || reign != first_term_) return;
                        direct_answered(host, orders, asked, response);
                        if (over) over();
                      }));
}

void Leader::direct_answered(const wire::HostId& host, const std::vector<Order>& orders, const Asked& asked,
                             const net::Response& response) {
  const auto fence = asked.fence;
  auto* found = fleet_.find(host);
  if (found == nullptr) return;
  auto& machine = *found;
  const bool certain = response.status == 200 || response.status == 409;
  for (const auto& order : orders) {
    if (order.verb != Verb::start) continue;
    if (const auto bind = machine.binds.find(order.member);
        bind != machine.binds.end() && bind->second.try_no == order.try_no) {
      bind->second.starts.direct_ended(fence, certain);
    } else if (const auto left = machine.leftovers.find(order.member);
               left != machine.leftovers.end() && left->second.try_no == order.try_no) {
      left->second.starts.direct_ended(fence, certain);
    }
    if (!certain) machine.doubt_at = loop().now();
  }
  const auto hearing = machine.hearing.state();
  machine.hearing.direct(loop().now(), machine_monitor_.timing(), certain);
  if (!certain &&
      std::any_of(orders.begin(), orders.end(), [](const Order& order) { return order.verb == Verb::start; }))
    machine.hearing.lost_order(loop().now());
  machine_monitor_.downlink_changed(machine, hearing);
  if (!certain) {
    ++machine.probes_unanswered;
    reachability_probe_.note_suspicion();
    return;
  }
  machine_monitor_.note_direct_contact();
  try {
    const auto report = wire::parse_report(wire::parse_object(response.body));
    if (report.host != machine.host) return;
    if (std::pair(report.tenure, report.counter) <= asked.newest) return came_back(machine);
    const auto before = machine.tenure;
    apply(machine, report, nullptr);
    // A session other than assumed: show the fence again, for the session it has.
    if (response.status == 409 && !machine.confirmed && machine.tenure != before) send_direct(machine, {});
  } catch (const std::exception& error) {
    log_->warn("machine {}: answer cannot be read: {}", host.value, error.what());
  }
}

void Leader::warned(Machine& machine, double warning_s) {
  const double now = loop().now();
  if (machine.warned_until) return;
  machine.warned_until = now + warning_s;
  drain(machine, "the cloud takes it back");
  autoscaler_.machine_reclaimed(machine.flavor);
  log_->debug("machine {}: the cloud takes it in {} s, {} tasks", machine.host.value, warning_s,
              machine.binds.size());
  ++tally_["machines warned"];
  for (auto& [member, bind] : machine.binds) {
    const auto job = jobs_.find(member.job);
    // A replica that spans machines moves as one, when all its places are found (drain).
    if (job == jobs_.end() || bind.stopping || replicas_.follows(member.job)) continue;
    const auto& spec = job->second.spec;
    const double left = task_s(job->second) - (bind.running_since > 0 ? now - bind.running_since : 0);
    // What ends before the notice does may end; the rest moves now, saving what it can.
    if (!job->second.service() && bind.phase == BindPhase::running && left < warning_s / 2) continue;
    bind.stopping = true;
    bind.wind_down_s = spec.snapshot_every_s > 0 && spec.flush_s < warning_s / 2 ? spec.flush_s : 0;
  }
  plan_soon();
}

}  // namespace bankhill::leader
