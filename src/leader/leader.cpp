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
constexpr double kWatchS = 1.0;                // in which the watch goes round the fleet once
constexpr double kCatalogueRounds = 4;         // the catalogue is read again every so many rounds
constexpr std::size_t kConcurrentProbes = 64;  // machines asked directly at the same time when a term begins

constexpr double kKeptOverdue = 0.25;  // of the time in which the largest should begin
constexpr std::size_t kKeptMost = 8;   // machines kept at a time, fewer than a task looks at

// A task that runs on for longer gives nothing back soon. Taken from shorter ones, room went round in
// circles: the stopped tasks started elsewhere and were stopped again, and little was finished
// (lakaskalk-grown, rough).
constexpr double kLongRounds = 60;

bool has_prefix(const std::string& key, const std::string& prefix) { return key.starts_with(prefix); }

state::WriteCoalescer::Settings write_settings(const Settings& settings) {
  return {settings.control_interval_s, settings.round_s, settings.txn_ops,
          wire::usable_bytes(settings.value_kb)};
}

state::WriteCoalescer::Service write_service(state::Store& store) {
  return {[&store](state::Commit message) { store.tell(std::move(message)); },
          [&store](state::ReadBarrier message) { store.tell(std::move(message)); },
          [&store] { return store.writes_to_spare(); }};
}
}  // namespace

Leader::Leader(runtime::Loop& loop, runtime::Log log, Settings settings, Ports ports)
    : Actor(loop),
      log_(std::move(log)),
      settings_(std::move(settings)),
      ports_(std::move(ports)),
      writes_(loop, write_settings(settings_), write_service(ports_.store), *this),
      fetcher_(loop, ports_.store),
      quota_(settings_.teams),
      rental_manager_(loop, log_, rental_settings(), fleet_, rental_ports()),
      unregistered_(settings_.control_interval_s, settings_.lease_s, kMaxUnregisteredMachines),
      machine_groups_(writes_, fleet_, record_numbers_, log_),
      completion_bitmaps_(
          writes_,
          [this](const wire::JobId& id) {
            const auto found = live_jobs_.find(id);
            return found == live_jobs_.end() ? nullptr : found->second;
          },
          record_numbers_, log_),
      queue_(queue_settings(), queue_callbacks()),
      autoscaler_(loop, log_, autoscaler_settings(),
                  {machine_types_, live_jobs_, queue_, fleet_, rental_manager_}, autoscaler_ports()),
      gangs_({settings_.gang_wait_s, settings_.gang_peer_s, settings_.gang_wait_s}),
      backfill_reservations_(
          {settings_.control_interval_s, kKeptOverdue * settings_.begin_within_s, kKeptMost}),
      victim_selector_(jobs_, dependencies_, quota_, kLongRounds * settings_.round_s),
      reachability_probe_(loop, log_,
                          {settings_.lease_s, settings_.heartbeat_interval_s, settings_.control_interval_s,
                           settings_.controllers},
                          reachability_ports()),
      machine_monitor_(loop, log_,
                       {{net::kWorkerResponseTimeoutS, settings_.heartbeat_interval_s,
                         settings_.control_interval_s, settings_.lease_s, settings_.controllers},
                        settings_.round_s},
                       fleet_, monitor_ports()),
      lease_forecast_(machine_monitor_.timing()) {}

void Leader::start() {
  last_tick_ = loop().now();
  tick();
}

const wire::MachineType* Leader::find_machine_type(const std::string& name) const {
  const auto found = std::find_if(machine_types_.begin(), machine_types_.end(),
                                  [&](const wire::MachineType& item) { return item.name == name; });
  return found == machine_types_.end() ? nullptr : &*found;
}

void Leader::set_capacity(Machine& machine) const {
  if (const auto* type = find_machine_type(machine.machine_type)) machine.capacity = type->capacity;
}

// A leader that cannot learn of cancellations must not keep workers' leases alive (invariant 34).
bool Leader::state_stale() const { return loop().now() - barrier_sent_at_ >= settings_.max_read_age_s; }

// Invariant 2.
bool Leader::is_active_leader() const {
  return is_leader_ && loop().now() < lease_valid_until_ && !state_stale();
}

void Leader::on(StoreChanged& message) {
  // Jobs last: what they wait for may stand under further keys of the same transaction.
  for (const auto& change : *message.changes) {
    if (has_prefix(change.key, wire::kJobKeyPrefix) || !cache_.apply(change)) continue;
    if (is_leader_ && change.data) drop_stray_record(change.key);
    if (auto machine_types = ports_.store.parsed(change.key, change.revision,
                                                 [&] { return catalogue_.learn(change.key, change.data); });
        machine_types && *machine_types)
      machine_types_ = std::move(**machine_types);
  }
  for (const auto& change : *message.changes)
    if (has_prefix(change.key, wire::kJobKeyPrefix)) learn_job(change);
  apply_dependency_updates();
  drop_final();
  follow_leadership();
}

void Leader::follow_leadership() {
  const auto* leader = cache_.find(wire::kLeaderKey);
  const auto* term = cache_.find(wire::kTermKey);
  std::optional<wire::LeaderRecord> record;
  std::optional<std::uint64_t> now_term;
  if (leader != nullptr && term != nullptr && lease_id_ != 0) {
    record = ports_.store.parsed(wire::kLeaderKey, leader->revision,
                                 [leader] { return wire::parse_leader_record(leader->data); });
    now_term = ports_.store.parsed(wire::kTermKey, term->revision,
                                   [term] { return wire::count_field(term->data, "n"); });
  }
  if (record && now_term && record->incarnation == settings_.incarnation && record->lease_id == lease_id_) {
    if (!is_leader_) {
      // Invariant 34: the news of the win may have been on its way for long. What was committed since is read
      // before anything is done.
      if (state_stale()) return loop().now() >= next_barrier_ ? send_read_barrier() : void();
      term_ = first_term_ = *now_term;
      elected_at_revision_ = term->revision;
      begin_term();
    } else if (*now_term != term_) {
      log_->info("leader: term raised to {}", *now_term);
      term_ = *now_term;
      raising_term_ = false;
    }
  } else if (is_leader_) {
    end_term();
  }
}

void Leader::on(LeaseGranted& message) {
  if (message.lease_id != lease_id_ || lease_valid_until_ <= loop().now()) lease_held_since_ = loop().now();
  if (message.lease_id == lease_id_) {
    lease_valid_until_ = std::max(lease_valid_until_, message.until);
    return;
  }
  lease_id_ = message.lease_id;
  lease_valid_until_ = message.until;
  if (is_leader_) end_term();
}

void Leader::begin_term() {
  is_leader_ = true;
  const double now = loop().now();
  term_began_at_ = now;
  machine_monitor_.begin_term();
  lease_forecast_.record_peer_leading(ports_.peer_led_at());
  note_acting();
  next_round_ = next_catalogue_ = next_barrier_ = next_progress_ = next_summary_ = now;
  attempts_ = 0;
  clear_term();
  rental_manager_.begin_term(first_term_);
  unreadable_machine_leases_until_ = 0;
  for (auto& [id, job] : live_jobs_) lead_job(*job);
  cancelled_dependents_.clear();
  for (const auto& [id, job] : jobs_)
    if (job.dependency_cancelled && !job.has_ended()) cancelled_dependents_.push_back(id);
  adopt_records();
  adopt_quota();
  collect_dependency_garbage();
  rental_manager_.reconcile_rentals();
  log_->info("leader: begin reign, term {}, {} live jobs, {} machines, {} rentals", term_, live_jobs_.size(),
             fleet_.size(), rental_manager_.rental_count());
  probe_unconfirmed();
  plan_soon();
}

void Leader::end_term() {
  log_->warn("leader: end of reign, term {}", term_);
  is_leader_ = false;
  for (auto& waiting : pending_responses_) waiting.reply({});
  clear_term();
}

void Leader::clear_term() {
  fleet_.clear();
  rental_manager_.end_term();
  writes_.clear();
  quota_.clear();
  machine_groups_.clear();
  completion_bitmaps_.clear();
  unregistered_.clear();
  autoscaler_.end_term();
  to_probe_.clear();
  pending_responses_.clear();
  queue_.reset();
  gangs_.clear();
  backfill_reservations_.reset();
  preemption_reservations_.reset();
  forecast_.clear();
  probes_under_way_ = 0;
  reachability_probe_.reset();
  record_numbers_.begin_term(first_term_);
  raising_term_ = false;
}

// What earlier leaders stored: machines, rentals and finished tasks.
void Leader::adopt_records() {
  const double now = loop().now();
  std::vector<Machine*> inherited;
  for (const auto& [key, entry] : cache_.entries()) {
    if (has_prefix(key, wire::kMachineKeyPrefix)) {
      const auto name = key.substr(wire::kMachineKeyPrefix.size());
      const auto parsed = ports_.store.parsed(key, entry.revision, [&name, &entry = entry] {
        return wire::parse_machine_group(name, entry.data);
      });
      if (!parsed) {
        // Invariant 29: which machines it named, and what an earlier leader started there, is not known. All
        // that was not heard by then has lost its lease.
        model::AgentLease unread;
        unread.record_renewal(now);
        unreadable_machine_leases_until_ = unread.latest_expiry_at(settings_.lease_s);
        continue;
      }
      const auto& record = *parsed;
      const bool fixed = !wire::absent(entry.data, "address");  // of version 0.1
      machine_groups_.adopt(name, {record.machine_type, record.zone, record.preemptible}, fixed);
      bool twice = false;
      for (const auto& [host, address] : record.machines) {
        const auto [entry_of, added] = fleet_.add(host);
        auto& machine = *entry_of;
        // A part of a group was being moved to another (storage/shared_records.hpp): one of the two is
        // enough.
        if (!added) {
          twice = true;
          continue;
        }
        machine.address = address;
        machine.machine_type = record.machine_type;
        machine.zone = record.zone;
        machine.preemptible = record.preemptible;
        machine.up = machine.recorded = machine.record_pending = machine.inherited = true;
        machine.first_seen = machine.last_contact = machine.idle_since = now;
        machine.lease.record_renewal(now);  // no earlier leader answered after the term began
        set_capacity(machine);
        fleet_.refresh(machine);
        machine_groups_.adopt_machine(name, machine);
        inherited.push_back(&machine);
      }
      if (twice) machine_groups_.rewrite(name);
    } else if (has_prefix(key, wire::kRentalKeyPrefix)) {
      auto record = ports_.store.parsed(key, entry.revision,
                                        [&entry = entry] { return wire::parse_rental_record(entry.data); });
      if (record) rental_manager_.adopt(key.substr(wire::kRentalKeyPrefix.size()), std::move(*record));
    } else if (has_prefix(key, wire::kCompletionKeyPrefix)) {
      // Tasks whose completion cannot be read are run once more.
      ports_.store.parsed(key, entry.revision,
                          [this, &key = key, &entry = entry] { return adopt_finished(key, entry.data); });
    }
  }
  // The large ones first: they hold most, and weigh most in what the teams may use meanwhile.
  std::stable_sort(inherited.begin(), inherited.end(),
                   [](const Machine* a, const Machine* b) { return a->capacity.cores > b->capacity.cores; });
  for (const auto* machine : inherited) to_probe_.push_back(machine->id);
}

void Leader::adopt_quota() {
  std::optional<wire::QuotaRecord> record;
  try {
    if (const auto* entry = cache_.find(wire::kQuotaKey)) record = wire::parse_quota_record(entry->data);
  } catch (const wire::ProtocolError& error) {
    log_->error("state: {} cannot be read ({}): teams count every machine that is not heard yet in full",
                wire::kQuotaKey, error.what());
  }
  quota_.begin_term(record, first_term_);
}

// Throws before it takes anything in if the record cannot be read.
bool Leader::adopt_finished(const std::string& key, const Json& data) {
  const auto name = key.substr(wire::kCompletionKeyPrefix.size());
  const auto record = wire::parse_completion_bucket(name, data);
  for (const auto& [id, hex] : record) wire::parse_completion_hex(hex, id.chunk);
  const bool single = data.is_string();  // of version 0.1
  const auto own_number = single ? 0 : std::stoull(name);
  std::set<std::uint64_t> homes;  // of what is not to stay here
  for (const auto& [id, hex] : record) {
    const auto found = live_jobs_.find(id.job);
    if (found == live_jobs_.end()) continue;
    auto& job = *found->second;
    for (const auto index : wire::parse_completion_hex(hex, id.chunk))
      if (index < job.spec.task_count && job.task_progress[index] != model::kTaskDone)
        job.set_task_progress(index, model::kTaskDone);
    update_queue_membership(job);
    // The bucket may have been written before the job's own record: no exit is left that would end it.
    if (job.finished_count == job.spec.task_count) write_job_done(job, {});
    if (single) {
      homes.insert(completion_bitmaps_.record_of(job, id.chunk));
      continue;
    }
    // A chunk has one home: of two, while some were being moved (storage/shared_records.hpp), the first.
    if (const auto home = job.completion_buckets.find(id.chunk); home != job.completion_buckets.end()) {
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
void Leader::probe_unconfirmed() {
  while (probes_under_way_ < kConcurrentProbes && !to_probe_.empty()) {
    const auto host = std::move(to_probe_.front());
    to_probe_.pop_front();
    auto* machine = fleet_.find(host);
    if (machine == nullptr || machine->confirmed || machine->terminating) continue;
    ++probes_under_way_;
    send_command(*machine, {}, [this] {
      --probes_under_way_;
      probe_unconfirmed();
    });
  }
}

void Leader::learn_job(const state::Change& change) {
  const wire::JobId id{change.key.substr(wire::kJobKeyPrefix.size())};
  if (!change.data) return;
  const auto found = jobs_.find(id);
  if (found != jobs_.end() && change.revision <= found->second.revision) return;
  auto parsed = ports_.store.parsed(change.key, change.revision,
                                    [&change] { return wire::parse_job_record(*change.data); });
  if (!parsed) return learn_partial(id, change);
  auto& record = *parsed;
  auto& job = jobs_[id];
  const bool known = job.revision.value != 0;
  const bool was_live = !known || job.is_live();
  job.revision = change.revision;
  job.state = record.state;
  job.accepted_at = record.accepted_at;
  if (!known) {
    job.eligible_at = job.accepted_at;
    job.eligible_revision = job.revision;
    job.spec = std::move(record.spec);
    job.dependency_parts = record.dependency_parts;
    job.cutoff = record.cutoff;
    queue_.note_accepted(job);
    if (job.is_live()) live_jobs_.emplace(id, &job);
    if (job.is_live() && (!job.spec.depends_on.empty() || job.dependency_parts > 0)) add_dependencies(job);
    // Services that are over count too: a new leader knows from the first how many come.
    if (job.is_service()) {
      autoscaler_.on_service_accepted(job);
    }
    if (is_leader_ && job.is_live()) {
      lead_job(job);
      schedule_placement();
      plan_soon();
    }
  }
  job.ended_at = record.ended_at;
  dependencies_.update(id, dependency_info(job));
  if (was_live && !job.is_live()) remove_live_job(job);
  if (job.has_ended()) {
    if (job.dependency_parts > 0 && is_leader_) delete_dependency_parts(id, job.dependency_parts);
    final_order_.push_back(id);
  }
}

// Of a record that cannot be read. That the job is over counts if it can be told; else a job that was known
// runs on as it was, and one that was not waits for its operators.
void Leader::learn_partial(const wire::JobId& id, const state::Change& change) {
  const auto phase = wire::parse_partial_job_record(*change.data).state;
  dependencies_.update(id, model::dependency_info(phase.value_or(wire::JobState::accepted), change.revision));
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || !phase || *phase == wire::JobState::accepted || found->second.has_ended())
    return;
  auto& job = found->second;
  const bool was_live = job.is_live();
  job.revision = change.revision;
  job.state = *phase;
  if (was_live) remove_live_job(job);
  final_order_.push_back(id);
}

// It is over, or will never start.
void Leader::remove_live_job(Job& job) {
  live_jobs_.erase(job.spec.id);
  queue_.remove(job.spec.id);
  backfill_reservations_.release(job.spec.id);
  preemption_reservations_.release(job.spec.id);
  if (is_leader_) {
    gangs_.leave(job.spec.id);
    stop_all(job);
    completion_bitmaps_.remove(job);
    plan_soon();
  }
  // Its task progress is needed no more; its specification stays for tasks still to be stopped.
  job.task_progress.clear();
  job.task_progress.shrink_to_fit();
  job.failed_on.clear();
  job.ready_count = job.assigned_count = 0;
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
    if (found->second.task_machines.empty())
      jobs_.erase(found);
    else
      final_order_.push_back(id);
  }
}

void Leader::update_queue_membership(Job& job) {
  if (job.is_live() && job.dependencies_met && job.ready_count > 0)
    queue_.enqueue(job);
  else
    queue_.remove(job.spec.id);
}

void Leader::lead_job(Job& job) {
  job.reset_task_progress();
  job.failed_on.clear();
  job.faulty = false;
  job.failures_in_row = 0;
  job.blocked_until = 0;
  job.progress_dirty = true;
  track_gang(job);
  update_queue_membership(job);
}

// The age of what is known counts from when the barrier was sent, and from the turn on in which the changes
// that it brought have been taken in.
void Leader::send_read_barrier() {
  const double sent = loop().now();
  next_barrier_ = sent + kSyncS;
  ports_.store.tell(state::ReadBarrier{guard([this, sent](bool fine) {
                                         if (!fine) return;
                                         loop().post(guard([this, sent] {
                                           barrier_sent_at_ = std::max(barrier_sent_at_, sent);
                                           if (!is_leader_) follow_leadership();
                                         }));
                                       }),
                                       true});
}

void Leader::tick() {
  tick_timer_ = loop().after(kTickS, guard([this] { tick(); }));
  const double now = loop().now();
  const double passed = now - std::exchange(last_tick_, now);
  lease_forecast_.record_peer_leading(ports_.peer_led_at());
  if (!is_leader_ && lease_id_ != 0) follow_leadership();
  if (is_leader_ && now >= next_barrier_) send_read_barrier();
  // Nor must it keep the leadership, when its renewals alone are answered.
  // After an outage of the state service both come back, the lease often first: its holder still knows every
  // machine, where another would have to ask all of them, so it is given the time to listen.
  if (lease_id_ != 0 && state_stale() && now < lease_valid_until_ && now - lease_held_since_ > kListenS)
    return ports_.resign();
  // Where no heartbeat can be taken, none that is missing tells anything of its machine.
  if (!is_active_leader() || passed > settings_.control_interval_s) machine_monitor_.listens_from_now();
  if (!is_active_leader()) return;
  note_acting();
  autoscaler_.advance_reclaim_history(passed, decay_factor(passed));
  if (now >= next_catalogue_) fetch_catalogue();
  monitor_machines(std::min(1.0, passed / kWatchS));
  rental_manager_.reconcile_if_due();
  if (now >= next_round_) {
    next_round_ = now + settings_.round_s;
    write_quota(true);
    update_gang_spans();
    look_ahead();
    plan_soon();
    schedule_placement();
  }
  write_quota(false);
  apply_gang_actions();
  review_preemptions();
  if (now >= next_progress_) publish_progress();
  if (now >= next_summary_) log_summary();
  reachability_probe_.tick(term_began_at_);
  write_cancelled_dependents();
  rental_manager_.send_terminations();
  writes_.flush();
}

ReachabilityProbe::Ports Leader::reachability_ports() {
  return {[this] { return reachability_candidates(); },
          [this](const wire::MachineId& machine_id, std::function<void()> done) {
            if (auto* machine = fleet_.find(machine_id)) send_command(*machine, {}, std::move(done));
          },
          [this](const wire::MachineId& machine_id) -> std::optional<ReachabilityProbe::MachineState> {
            const auto* machine = fleet_.peek(machine_id);
            if (machine == nullptr) return std::nullopt;
            return ReachabilityProbe::MachineState{
                machine->probes_unanswered > 0, machine->downlink.peer_response_received_at(),
                machine->downlink.peer_response_lost_at(), machine->last_heartbeat_applied_at};
          },
          [this] { return ports_.has_peer_contact(); }, [this] { ports_.resign(); }};
}

std::vector<wire::MachineId> Leader::reachability_candidates() {
  std::vector<wire::MachineId> candidates;
  for (const auto& [machine_id, machine] : fleet_)
    if (machine.up && machine.confirmed && !machine.overdue && !machine.terminating)
      candidates.push_back(machine_id);
  return candidates;
}

// At a thousand machines a line for each event would cost more than the event: the log gets their number.
void Leader::log_summary() {
  next_summary_ = loop().now() + settings_.control_interval_s;
  if (event_counts_.empty()) return;
  std::string text;
  for (const auto& [what, count] : event_counts_)
    text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + what;
  event_counts_.clear();
  const auto& total = fleet_.total();
  model::FleetTotals steady;
  model::FleetTotals spot;
  for (const auto& [pool, state] : fleet_.pools()) (pool.preemptible ? spot : steady) += state.totals;
  log_->info(
      "leader: {}; {} machines up, {} coming, {} unconfirmed, {:.0f} of {:.0f} steady and {:.0f} of {:.0f} "
      "spot cores free, {} live jobs, {} waiting, {} writes waiting",
      text, total.up, total.booting, total.unconfirmed, steady.free_cores, steady.cores, spot.free_cores,
      spot.cores, live_jobs_.size(), queue_.jobs().size(), writes_.size());
}

void Leader::fetch_catalogue() {
  next_catalogue_ = loop().now() + (machine_types_.empty() ? kSyncS : kCatalogueRounds * settings_.round_s);
  ports_.cloud.tell(
      cloud::GetCatalogue{guard([this](std::optional<std::vector<wire::MachineType>> machine_types) {
        if (!machine_types || machine_types->empty() || !is_active_leader()) return;
        const bool first = machine_types_.empty();
        machine_types_ = std::move(*machine_types);
        for (auto& [host, machine] : fleet_) {
          set_capacity(machine);
          fleet_.refresh(machine);
        }
        // Kept in the state service too: a restart during a cloud outage can still decide.
        const auto values =
            wire::stored_catalogue(machine_types_, writes_.value_limit(), record_numbers_.next());
        for (const auto& [key, value] : values) writes_.store(key, value, FlushDelay::garbage);
        // Parts that are no longer of it.
        for (auto entry = cache_.entries().lower_bound(wire::kCataloguePartKeyPrefix);
             entry != cache_.entries().end() && has_prefix(entry->first, wire::kCataloguePartKeyPrefix);
             ++entry)
          if (!writes_.contains(entry->first)) writes_.store(entry->first, std::nullopt, FlushDelay::garbage);
        if (first) {
          plan_soon();
          schedule_placement();
        }
      })});
}

void Leader::publish_progress() {
  next_progress_ = loop().now() + kProgressS;
  for (auto& [id, job] : live_jobs_) {
    if (!std::exchange(job->progress_dirty, false)) continue;
    auto reason = job->reason;
    if (const auto by = queue_.cutoff(*job))
      if (const auto& stands = forecast_.reason(job->spec.team, *by); !stands.empty())
        reason += (reason.empty() ? "cutoff: " : "; cutoff: ") + stands;
    ports_.progress(wire::JobProgress{job->finished_count, job->running_count, id.value, std::move(reason)});
  }
}

}  // namespace bankhill::leader
