#include "leader/leader.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace bankhill::leader {

using model::Job;
using model::Machine;
using state::FlushDelay;
using wire::Json;

namespace {
constexpr double kTickS = 0.25;
constexpr double kSyncS = 1.0;
constexpr double kListenS = 2.5 * kSyncS;  // for a read barrier after the lease was renewed late
constexpr double kProgressS = 1.0;
constexpr double kWatchS = 1.0;         // in which the watch goes round the fleet once
constexpr double kCatalogueRounds = 4;  // the catalogue is read again every so many rounds
constexpr std::size_t kAskAtOnce = 64;  // machines asked directly at the same time when a reign begins

constexpr double kKeptOverdue = 0.25;  // of the time in which the largest should begin
constexpr std::size_t kKeptMost = 8;   // machines kept at a time, fewer than a task looks at

// A task that runs on for longer gives nothing back soon. Taken from shorter ones, room went round in
// circles: the stopped tasks started elsewhere and were stopped again, and little was finished
// (lakaskalk-grown, rough).
constexpr double kLongRounds = 60;

bool has_prefix(const std::string& key, const std::string& prefix) { return key.starts_with(prefix); }

state::WriteCoalescer::Settings write_settings(const Settings& settings) {
  return {settings.pace_s, settings.round_s, settings.txn_ops, wire::usable_bytes(settings.value_kb)};
}

state::WriteCoalescer::Service write_service(state::Store& store) {
  return {[&store](state::Commit message) { store.tell(std::move(message)); },
          [&store](state::Sync message) { store.tell(std::move(message)); },
          [&store] { return store.writes_to_spare(); }};
}
}  // namespace

Leader::Leader(runtime::Loop& loop, runtime::Log log, Settings settings, Ports ports)
    : Actor(loop),
      log_(std::move(log)),
      settings_(std::move(settings)),
      ports_(std::move(ports)),
      writes_(loop, write_settings(settings_), write_service(ports_.store), *this),
      reader_(loop, ports_.store),
      quota_(settings_.teams),
      rental_manager_(loop, log_, rental_settings(), fleet_, rental_ports()),
      strangers_(settings_.pace_s, settings_.lease_s, kMaxStrangers),
      machine_groups_(writes_, fleet_, record_numbers_, log_),
      completion_bitmaps_(
          writes_,
          [this](const wire::JobId& id) {
            const auto found = live_.find(id);
            return found == live_.end() ? nullptr : found->second;
          },
          record_numbers_, log_),
      queue_(queue_settings(), queue_facts()),
      autoscaler_(loop, log_, autoscaler_settings(), {flavors_, live_, queue_, fleet_, rental_manager_},
                  autoscaler_ports()),
      replicas_({settings_.gang_wait_s, settings_.gang_peer_s, settings_.gang_wait_s}),
      kept_room_({settings_.pace_s, kKeptOverdue * settings_.begin_within_s, kKeptMost}),
      victim_selector_(jobs_, waits_, quota_, kLongRounds * settings_.round_s),
      reachability_probe_(loop, log_,
                          {settings_.lease_s, settings_.report_s, settings_.pace_s, settings_.controllers},
                          reachability_ports()),
      machine_monitor_(loop, log_,
                       {{net::kWorkerWaitS, settings_.report_s, settings_.pace_s, settings_.lease_s,
                         settings_.controllers},
                        settings_.round_s},
                       fleet_, monitor_ports()) {}

void Leader::start() {
  last_tick_ = loop().now();
  tick();
}

const wire::Flavor* Leader::flavor(const std::string& name) const {
  const auto found = std::find_if(flavors_.begin(), flavors_.end(),
                                  [&](const wire::Flavor& item) { return item.name == name; });
  return found == flavors_.end() ? nullptr : &*found;
}

void Leader::set_size(Machine& machine) const {
  if (const auto* type = flavor(machine.flavor)) machine.size = type->size;
}

// A leader that cannot learn of cancellations must not keep workers' leases alive (invariant 34).
bool Leader::deaf() const { return loop().now() - synced_at_ >= settings_.read_age_s; }

// Invariant 2.
bool Leader::valid() const { return reigning_ && loop().now() < valid_until_ && !deaf(); }

void Leader::on(Changed& message) {
  // Jobs last: what they wait for may stand under further keys of the same transaction.
  for (const auto& change : *message.changes) {
    if (has_prefix(change.key, wire::kJobs) || !view_.apply(change)) continue;
    if (reigning_ && change.data) drop_stray(change.key);
    if (auto flavors = ports_.store.parsed(change.key, change.stamp,
                                           [&] { return catalogue_.learn(change.key, change.data); });
        flavors && *flavors)
      flavors_ = std::move(**flavors);
  }
  for (const auto& change : *message.changes)
    if (has_prefix(change.key, wire::kJobs)) learn_job(change);
  take_waits_news();
  drop_final();
  follow_leadership();
}

void Leader::follow_leadership() {
  const auto* leader = view_.find(wire::kLeaderKey);
  const auto* term = view_.find(wire::kTermKey);
  std::optional<wire::LeaderRecord> record;
  std::optional<std::uint64_t> now_term;
  if (leader != nullptr && term != nullptr && hold_ != 0) {
    record = ports_.store.parsed(wire::kLeaderKey, leader->stamp,
                                 [leader] { return wire::parse_leader_record(leader->data); });
    now_term = ports_.store.parsed(wire::kTermKey, term->stamp,
                                   [term] { return wire::count_field(term->data, "n"); });
  }
  if (record && now_term && record->incarnation == settings_.incarnation && record->hold == hold_) {
    if (!reigning_) {
      // Invariant 34: the news of the win may have been on its way for long. What was committed since is read
      // before anything is done.
      if (deaf()) return loop().now() >= next_sync_ ? resync() : void();
      term_ = first_term_ = *now_term;
      won_ = term->stamp;
      begin_reign();
    } else if (*now_term != term_) {
      log_->info("leader: term raised to {}", *now_term);
      term_ = *now_term;
      raising_ = false;
    }
  } else if (reigning_) {
    end_reign();
  }
}

void Leader::on(Valid& message) {
  if (message.hold != hold_ || valid_until_ <= loop().now()) renewed_since_ = loop().now();
  if (message.hold == hold_) {
    valid_until_ = std::max(valid_until_, message.until);
    return;
  }
  hold_ = message.hold;
  valid_until_ = message.until;
  if (reigning_) end_reign();
}

void Leader::begin_reign() {
  reigning_ = true;
  const double now = loop().now();
  reign_since_ = now;
  machine_monitor_.begin_term();
  next_round_ = next_catalogue_ = next_sync_ = next_progress_ = next_summary_ = now;
  tries_ = 0;
  forget_reign();
  rental_manager_.begin_term(first_term_);
  blind_until_ = 0;
  for (auto& [id, job] : live_) lead_job(*job);
  to_cancel_.clear();
  for (const auto& [id, job] : jobs_)
    if (job.abandoned && !job.over()) to_cancel_.push_back(id);
  adopt_records();
  adopt_bounds();
  tidy_waits();
  rental_manager_.reconcile_rentals();
  log_->info("leader: begin reign, term {}, {} live jobs, {} machines, {} rentals", term_, live_.size(),
             fleet_.size(), rental_manager_.size());
  ask_unconfirmed();
  plan_soon();
}

void Leader::end_reign() {
  log_->warn("leader: end of reign, term {}", term_);
  reigning_ = false;
  for (auto& waiting : awaiting_) waiting.reply({});
  forget_reign();
}

void Leader::forget_reign() {
  fleet_.clear();
  rental_manager_.end_term();
  writes_.clear();
  quota_.clear();
  machine_groups_.clear();
  completion_bitmaps_.clear();
  strangers_.clear();
  autoscaler_.end_term();
  to_ask_.clear();
  awaiting_.clear();
  queue_.reset();
  replicas_.clear();
  kept_room_.reset();
  made_room_.reset();
  outlook_.clear();
  asking_ = 0;
  reachability_probe_.reset();
  record_numbers_.begin_term(first_term_);
  raising_ = false;
}

// What earlier leaders stored: machines, rentals and finished tasks.
void Leader::adopt_records() {
  const double now = loop().now();
  std::vector<Machine*> inherited;
  for (const auto& [key, entry] : view_.entries()) {
    if (has_prefix(key, wire::kMachines)) {
      const auto name = key.substr(wire::kMachines.size());
      const auto parsed = ports_.store.parsed(
          key, entry.stamp, [&name, &entry] { return wire::parse_machine_group(name, entry.data); });
      if (!parsed) {
        // Invariant 29: which machines it named, and what an earlier leader started there, is not known. All
        // that was not heard by then has lost its lease.
        model::Lease unread;
        unread.renewed(now);
        blind_until_ = unread.surely_over_at(settings_.lease_s);
        continue;
      }
      const auto& record = *parsed;
      const bool fixed = !wire::absent(entry.data, "address");  // of version 0.1
      machine_groups_.adopt(name, {record.flavor, record.rack_room, record.reclaimable}, fixed);
      bool twice = false;
      for (const auto& [host, address] : record.hosts) {
        const auto [entry_of, added] = fleet_.add(host);
        auto& machine = *entry_of;
        // A part of a group was being moved to another (storage/shared_records.hpp): one of the two is
        // enough.
        if (!added) {
          twice = true;
          continue;
        }
        machine.address = address;
        machine.flavor = record.flavor;
        machine.rack_room = record.rack_room;
        machine.reclaimable = record.reclaimable;
        machine.up = machine.recorded = machine.recording = machine.inherited = true;
        machine.first_seen = machine.last_contact = machine.idle_since = now;
        machine.lease.renewed(now);  // no earlier leader answered after the reign began
        set_size(machine);
        fleet_.refresh(machine);
        machine_groups_.adopt_machine(name, machine);
        inherited.push_back(&machine);
      }
      if (twice) machine_groups_.rewrite(name);
    } else if (has_prefix(key, wire::kRentals)) {
      auto record =
          ports_.store.parsed(key, entry.stamp, [&entry] { return wire::parse_rental_record(entry.data); });
      if (record) rental_manager_.adopt(key.substr(wire::kRentals.size()), std::move(*record));
    } else if (has_prefix(key, wire::kFinished)) {
      // Tasks whose completion cannot be read are run once more.
      ports_.store.parsed(key, entry.stamp, [this, &key, &entry] { return adopt_finished(key, entry.data); });
    }
  }
  // The large ones first: they hold most, and weigh most in what the teams may use meanwhile.
  std::stable_sort(inherited.begin(), inherited.end(),
                   [](const Machine* a, const Machine* b) { return a->size.cores > b->size.cores; });
  for (const auto* machine : inherited) to_ask_.push_back(machine->host);
}

void Leader::adopt_bounds() {
  std::optional<wire::BoundsRecord> record;
  try {
    if (const auto* entry = view_.find(wire::kBoundsKey)) record = wire::parse_bounds_record(entry->data);
  } catch (const wire::Malformed& error) {
    log_->error("state: {} cannot be read ({}): teams count every machine that is not heard yet in full",
                wire::kBoundsKey, error.what());
  }
  quota_.begin_term(record, first_term_);
}

// Throws before it takes anything in if the record cannot be read.
bool Leader::adopt_finished(const std::string& key, const Json& data) {
  const auto name = key.substr(wire::kFinished.size());
  const auto record = wire::parse_finished_bucket(name, data);
  for (const auto& [id, hex] : record) wire::parse_finished_hex(hex, id.chunk);
  const bool single = data.is_string();  // of version 0.1
  const auto own_number = single ? 0 : std::stoull(name);
  std::set<std::uint64_t> homes;  // of what is not to stay here
  for (const auto& [id, hex] : record) {
    const auto found = live_.find(id.job);
    if (found == live_.end()) continue;
    auto& job = *found->second;
    for (const auto index : wire::parse_finished_hex(hex, id.chunk))
      if (index < job.spec.members && job.marks[index] != model::kDone) job.set_mark(index, model::kDone);
    note(job);
    // The bucket may have been written before the job's own record: no exit is left that would end it.
    if (job.finished == job.spec.members) write_done(job, {});
    if (single) {
      homes.insert(completion_bitmaps_.record_of(job, id.chunk));
      continue;
    }
    // A chunk has one home: of two, while some were being moved (storage/shared_records.hpp), the first.
    if (const auto home = job.buckets.find(id.chunk); home != job.buckets.end()) {
      homes.insert(home->second);
      continue;
    }
    completion_bitmaps_.adopt(own_number, job, id.chunk);
  }
  if (homes.empty()) {
    if (single || !completion_bitmaps_.contains(own_number))
      writes_.store(key, std::nullopt, FlushDelay::garbage);  // its jobs are over
    return true;
  }
  // Written there first: what stood here may be the newer part.
  const auto left = std::make_shared<std::size_t>(homes.size());
  for (const auto home : homes)
    completion_bitmaps_.store(home, FlushDelay::exits, [this, key, left] {
      if (--*left == 0) writes_.store(key, std::nullopt, FlushDelay::garbage);
    });
  return true;
}

// Invariant 5: all inherited machines are asked directly, not all at once: an answer costs time and a socket,
// and the dead among them must not hold up the others.
void Leader::ask_unconfirmed() {
  while (asking_ < kAskAtOnce && !to_ask_.empty()) {
    const auto host = std::move(to_ask_.front());
    to_ask_.pop_front();
    auto* machine = fleet_.find(host);
    if (machine == nullptr || machine->confirmed || machine->releasing) continue;
    ++asking_;
    send_direct(*machine, {}, [this] {
      --asking_;
      ask_unconfirmed();
    });
  }
}

void Leader::learn_job(const state::Change& change) {
  const wire::JobId id{change.key.substr(wire::kJobs.size())};
  if (!change.data) return;
  const auto found = jobs_.find(id);
  if (found != jobs_.end() && change.stamp <= found->second.stamp) return;
  auto parsed = ports_.store.parsed(change.key, change.stamp,
                                    [&change] { return wire::parse_job_record(*change.data); });
  if (!parsed) return learn_remains(id, change);
  auto& record = *parsed;
  auto& job = jobs_[id];
  const bool known = job.stamp.value != 0;
  const bool was_live = !known || job.live();
  job.stamp = change.stamp;
  job.phase = record.phase;
  job.accepted_at = record.accepted_at;
  if (!known) {
    job.ready_at = job.accepted_at;
    job.ready_stamp = job.stamp;
    job.spec = std::move(record.spec);
    job.waits_parts = record.waits_parts;
    job.cutoff = record.cutoff;
    queue_.came(job);
    if (job.live()) live_.emplace(id, &job);
    if (job.live() && (!job.spec.waits_on.empty() || job.waits_parts > 0)) add_waits(job);
    // Services that are over count too: a new leader knows from the first how many come.
    if (job.service()) {
      autoscaler_.service_accepted(job);
    }
    if (reigning_ && job.live()) {
      lead_job(job);
      place_soon();
      plan_soon();
    }
  }
  job.ended_at = record.ended_at;
  waits_.learn(id, fact(job));
  if (was_live && !job.live()) leave_live(job);
  if (job.over()) {
    if (job.waits_parts > 0 && reigning_) drop_waits_parts(id, job.waits_parts);
    final_order_.push_back(id);
  }
}

// Of a record that cannot be read. That the job is over counts if it can be told; else a job that was known
// runs on as it was, and one that was not waits for its operators.
void Leader::learn_remains(const wire::JobId& id, const state::Change& change) {
  const auto phase = wire::job_remains(*change.data).phase;
  waits_.learn(id, model::fact_of(phase.value_or(wire::JobPhase::accepted), change.stamp));
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || !phase || *phase == wire::JobPhase::accepted || found->second.over()) return;
  auto& job = found->second;
  const bool was_live = job.live();
  job.stamp = change.stamp;
  job.phase = *phase;
  if (was_live) leave_live(job);
  final_order_.push_back(id);
}

// It is over, or will never start.
void Leader::leave_live(Job& job) {
  live_.erase(job.spec.uid);
  queue_.leave(job.spec.uid);
  kept_room_.release(job.spec.uid);
  made_room_.release(job.spec.uid);
  if (reigning_) {
    replicas_.leave(job.spec.uid);
    stop_all(job);
    completion_bitmaps_.remove(job);
    plan_soon();
  }
  // It needs no marks any more; its specification stays for tasks still to be stopped.
  job.marks.clear();
  job.marks.shrink_to_fit();
  job.failed_on.clear();
  job.ready = job.bound = 0;
}

// Memory is bounded: a job that was over long ago is dropped once no task of it is left. Should one turn up
// all the same, it is stopped like any that has no business there.
void Leader::drop_final() {
  for (std::size_t look = final_order_.size(); look > 0 && final_order_.size() > settings_.final_states_kept;
       --look) {
    const auto id = std::move(final_order_.front());
    final_order_.pop_front();
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) continue;
    if (found->second.where.empty())
      jobs_.erase(found);
    else
      final_order_.push_back(id);
  }
}

void Leader::note(Job& job) {
  if (job.live() && job.released && job.ready > 0)
    queue_.enter(job);
  else
    queue_.leave(job.spec.uid);
}

void Leader::lead_job(Job& job) {
  job.reset_marks();
  job.failed_on.clear();
  job.faulty = false;
  job.failures_in_row = 0;
  job.blocked_until = 0;
  job.progress_dirty = true;
  follow_replicas(job);
  note(job);
}

// The age of what is known counts from when the barrier was sent, and from the turn on in which the changes
// that it brought have been taken in.
void Leader::resync() {
  const double sent = loop().now();
  next_sync_ = sent + kSyncS;
  ports_.store.tell(state::Sync{guard([this, sent](bool fine) {
                                  if (!fine) return;
                                  loop().post(guard([this, sent] {
                                    synced_at_ = std::max(synced_at_, sent);
                                    if (!reigning_) follow_leadership();
                                  }));
                                }),
                                true});
}

void Leader::tick() {
  tick_timer_ = loop().after(kTickS, guard([this] { tick(); }));
  const double now = loop().now();
  const double passed = now - std::exchange(last_tick_, now);
  if (!reigning_ && hold_ != 0) follow_leadership();
  if (reigning_ && now >= next_sync_) resync();
  // Nor must it keep the leadership, when its renewals alone are answered.
  // After an outage of the state service both come back, the lease often first: its holder still knows every
  // machine, where another would have to ask all of them, so it is given the time to listen.
  if (hold_ != 0 && deaf() && now < valid_until_ && now - renewed_since_ > kListenS) return ports_.resign();
  // Where no report can be taken, none that is missing tells anything of its machine.
  if (!valid() || passed > settings_.pace_s) machine_monitor_.listens_from_now();
  if (!valid()) return;
  autoscaler_.advance(passed, kept(passed));
  if (now >= next_catalogue_) fetch_catalogue();
  watch_machines(std::min(1.0, passed / kWatchS));
  rental_manager_.reconcile_if_due();
  if (now >= next_round_) {
    next_round_ = now + settings_.round_s;
    write_bounds(true);
    follow_policy();
    look_ahead();
    plan_soon();
    place_soon();
  }
  write_bounds(false);
  act_on_replicas();
  if (now >= next_progress_) publish_progress();
  if (now >= next_summary_) summarize();
  reachability_probe_.tick(reign_since_);
  write_cancelled();
  rental_manager_.send_terminations();
  writes_.flush();
}

ReachabilityProbe::Ports Leader::reachability_ports() {
  return {[this] { return reachability_candidates(); },
          [this](const wire::HostId& machine_id, std::function<void()> done) {
            if (auto* machine = fleet_.find(machine_id)) send_direct(*machine, {}, std::move(done));
          },
          [this](const wire::HostId& machine_id) -> std::optional<ReachabilityProbe::MachineState> {
            const auto* machine = fleet_.peek(machine_id);
            if (machine == nullptr) return std::nullopt;
            return ReachabilityProbe::MachineState{machine->probes_unanswered > 0,
                                                   machine->hearing.heard_by_sibling(),
                                                   machine->hearing.lost_by_sibling(), machine->last_report};
          },
          [this] { return ports_.sibling_heard(); }, [this] { ports_.resign(); }};
}

std::vector<wire::HostId> Leader::reachability_candidates() {
  std::vector<wire::HostId> candidates;
  for (const auto& [machine_id, machine] : fleet_)
    if (machine.up && machine.confirmed && !machine.quiet && !machine.releasing)
      candidates.push_back(machine_id);
  return candidates;
}

// At a thousand machines a line for each event would cost more than the event: the log gets their number.
void Leader::summarize() {
  next_summary_ = loop().now() + settings_.pace_s;
  if (tally_.empty()) return;
  std::string text;
  for (const auto& [what, count] : tally_)
    text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + what;
  tally_.clear();
  const auto& total = fleet_.total();
  model::Sums steady;
  model::Sums spot;
  for (const auto& [pool, state] : fleet_.pools()) (pool.reclaimable ? spot : steady) += state.sums;
  log_->info(
      "leader: {}; {} machines up, {} coming, {} unconfirmed, {:.0f} of {:.0f} steady and {:.0f} of {:.0f} "
      "spot cores free, {} live jobs, {} waiting, {} writes waiting",
      text, total.up, total.coming, total.unconfirmed, steady.free_cores, steady.cores, spot.free_cores,
      spot.cores, live_.size(), queue_.jobs().size(), writes_.size());
}

void Leader::fetch_catalogue() {
  next_catalogue_ = loop().now() + (flavors_.empty() ? kSyncS : kCatalogueRounds * settings_.round_s);
  ports_.cloud.tell(cloud::GetCatalogue{guard([this](std::optional<std::vector<wire::Flavor>> flavors) {
    if (!flavors || flavors->empty() || !valid()) return;
    const bool first = flavors_.empty();
    flavors_ = std::move(*flavors);
    for (auto& [host, machine] : fleet_) {
      set_size(machine);
      fleet_.refresh(machine);
    }
    // Kept in the state service too: a restart during a cloud outage can still decide.
    const auto values = wire::stored_catalogue(flavors_, writes_.value_limit(), record_numbers_.next());
    for (const auto& [key, value] : values) writes_.store(key, value, FlushDelay::garbage);
    // Parts that are no longer of it.
    for (auto entry = view_.entries().lower_bound(wire::kCatalogueParts);
         entry != view_.entries().end() && has_prefix(entry->first, wire::kCatalogueParts); ++entry)
      if (!writes_.contains(entry->first)) writes_.store(entry->first, std::nullopt, FlushDelay::garbage);
    if (first) {
      plan_soon();
      place_soon();
    }
  })});
}

void Leader::publish_progress() {
  next_progress_ = loop().now() + kProgressS;
  for (auto& [id, job] : live_) {
    if (!std::exchange(job->progress_dirty, false)) continue;
    auto reason = job->reason;
    if (const auto by = queue_.cutoff(*job))
      if (const auto& stands = outlook_.reason(job->spec.owner, *by); !stands.empty())
        reason += (reason.empty() ? "cutoff: " : "; cutoff: ") + stands;
    ports_.progress(wire::Progress{job->finished, job->running, id.value, std::move(reason)});
  }
}

}  // namespace bankhill::leader
