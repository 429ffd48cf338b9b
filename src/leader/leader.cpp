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
constexpr double kTickIntervalS = 0.25;
// Interval between two read barriers, and between two attempts to fetch the first catalogue.
constexpr double kRefreshIntervalS = 1.0;
// After an outage of the state service: how long the lease must have been held without interruption before a
// stale state causes resignation. Allows for a read barrier after the lease was renewed late.
constexpr double kPostOutageListenS = 2.5 * kRefreshIntervalS;
// Period in which the monitor visits every machine of the fleet once.
constexpr double kMonitorPeriodS = 1.0;
// Planning rounds between two reads of the cloud's catalogue.
constexpr double kCatalogueRefreshRounds = 4;
// Maximum number of machines probed at the same time when a term begins.
constexpr std::size_t kMaxConcurrentProbes = 64;

// Time by which a reserved machine may be late in becoming free before another one is chosen, as a share of
// begin_within_s.
constexpr double kReservationOverdueShare = 0.25;
// Maximum number of machines reserved at a time; less than the number of machines that a task's search
// examines.
constexpr std::size_t kMaxBackfillReservations = 8;

// Borrowed resources are reclaimed only from tasks whose remaining run time exceeds this many planning
// rounds, because only these would not return them soon. When resources were reclaimed from shorter tasks
// too, the victims restarted elsewhere and were preempted again, and little work was finished
// (lakaskalk-grown, rough).
constexpr double kLongTaskRounds = 60;

bool has_prefix(const std::string& key, const std::string& prefix) { return key.starts_with(prefix); }

state::WriteCoalescer::Settings write_settings(const Settings& settings) {
  return {settings.control_interval_s, settings.round_s, settings.txn_ops,
          wire::usable_bytes(settings.value_kb)};
}

state::WriteCoalescer::Service write_service(state::Store& store) {
  return {[&store](state::Commit message) { store.tell(std::move(message)); },
          [&store](state::ReadBarrier message) { store.tell(std::move(message)); },
          [&store] { return store.background_write_budget(); }};
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
      unregistered_machines_(settings_.control_interval_s, settings_.lease_s, kMaxUnregisteredMachines),
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
      backfill_reservations_({settings_.control_interval_s,
                              kReservationOverdueShare * settings_.begin_within_s, kMaxBackfillReservations}),
      victim_selector_(jobs_, dependencies_, quota_, kLongTaskRounds * settings_.round_s),
      reachability_probe_(loop, log_,
                          {settings_.lease_s, settings_.heartbeat_interval_s, settings_.control_interval_s,
                           settings_.controllers},
                          reachability_ports()),
      machine_monitor_(loop, log_,
                       {{net::kWorkerResponseTimeoutS, settings_.heartbeat_interval_s,
                         settings_.control_interval_s, settings_.lease_s, settings_.controllers},
                        settings_.round_s},
                       fleet_, monitor_ports()),
      lease_forecast_(machine_monitor_.timing()),
      token_raise_(settings_.control_interval_s, settings_.lease_s) {}

void Leader::start() {
  last_tick_at_ = loop().now();
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

// A leader that cannot learn of cancellations must not extend the leases of agents (invariant 34).
bool Leader::is_state_stale() const { return loop().now() - barrier_sent_at_ >= settings_.max_read_age_s; }

// Invariant 2.
bool Leader::is_active_leader() const {
  return is_leader_ && loop().now() < lease_valid_until_ && !is_state_stale();
}

void Leader::on(StoreChanged& message) {
  // Job records are applied last: the records of their dependencies may be written under other keys of the
  // same transaction.
  for (const auto& change : *message.changes) {
    if (has_prefix(change.key, wire::kJobKeyPrefix) || !cache_.apply(change)) continue;
    if (is_leader_ && change.data) delete_recreated_record(change.key);
    if (auto machine_types = ports_.store.try_parse(
            change.key, change.revision, [&] { return catalogue_.learn(change.key, change.data); });
        machine_types && *machine_types)
      machine_types_ = std::move(**machine_types);
  }
  for (const auto& change : *message.changes)
    if (has_prefix(change.key, wire::kJobKeyPrefix)) apply_job_change(change);
  apply_dependency_updates();
  evict_ended_jobs();
  update_leadership();
}

void Leader::update_leadership() {
  const auto* leader = cache_.find(wire::kLeaderKey);
  const auto* term = cache_.find(wire::kTermKey);
  std::optional<wire::LeaderRecord> record;
  std::optional<std::uint64_t> current_term;
  if (leader != nullptr && term != nullptr && lease_id_ != 0) {
    record = ports_.store.try_parse(wire::kLeaderKey, leader->revision,
                                    [leader] { return wire::parse_leader_record(leader->data); });
    current_term = ports_.store.try_parse(wire::kTermKey, term->revision,
                                          [term] { return wire::count_field(term->data, "n"); });
  }
  if (record && current_term && record->incarnation == settings_.incarnation &&
      record->lease_id == lease_id_) {
    if (!is_leader_) {
      // Invariant 34: the result of the election may have been delayed. Everything committed since is read
      // before this controller acts.
      if (is_state_stale()) return loop().now() >= next_barrier_at_ ? send_read_barrier() : void();
      term_ = first_term_ = *current_term;
      elected_at_revision_ = term->revision;
      begin_term();
    } else if (*current_term != term_) {
      log_->info("leader: fencing token raised to {}", *current_term);
      term_ = *current_term;
    }
  } else if (is_leader_) {
    end_term();
  }
}

void Leader::on(LeaseGranted& message) {
  if (message.lease_id != lease_id_ || lease_valid_until_ <= loop().now()) lease_held_since_ = loop().now();
  if (message.lease_id == lease_id_) {
    lease_valid_until_ = std::max(lease_valid_until_, message.valid_until);
    return;
  }
  lease_id_ = message.lease_id;
  lease_valid_until_ = message.valid_until;
  if (is_leader_) end_term();
}

void Leader::begin_term() {
  is_leader_ = true;
  const double now = loop().now();
  term_began_at_ = now;
  machine_monitor_.begin_term();
  lease_forecast_.record_peer_leading(ports_.peer_last_led_at());
  record_leading();
  next_round_at_ = next_catalogue_fetch_at_ = next_barrier_at_ = next_progress_at_ = next_summary_at_ = now;
  attempts_ = 0;
  clear_term_state();
  rental_manager_.begin_term(first_term_);
  unreadable_machine_leases_until_ = 0;
  last_active_at_ = now;
  listening_until_ = 0;
  progress_feed_.begin_term(first_term_);
  published_version_ = 0;
  for (auto& [id, job] : live_jobs_) init_job_for_term(*job);
  cancelled_dependents_.clear();
  for (const auto& [id, job] : jobs_)
    if (job.dependency_cancelled && !job.has_ended()) cancelled_dependents_.push_back(id);
  adopt_records();
  adopt_quota();
  collect_dependency_garbage();
  rental_manager_.reconcile_rentals();
  log_->info(
      "leader: leadership term began, fencing token {}, {} live jobs, {} recorded machines, {} rentals",
      term_, live_jobs_.size(), fleet_.size(), rental_manager_.rental_count());
  probe_unconfirmed_machines();
  schedule_planning();
}

void Leader::end_term() {
  log_->warn("leader: leadership term ended, fencing token {}", term_);
  is_leader_ = false;
  for (auto& waiting : pending_responses_) waiting.reply({});
  clear_term_state();
}

void Leader::clear_term_state() {
  fleet_.clear();
  rental_manager_.end_term();
  writes_.clear();
  quota_.clear();
  machine_groups_.clear();
  completion_bitmaps_.clear();
  unregistered_machines_.clear();
  autoscaler_.end_term();
  machines_to_probe_.clear();
  pending_responses_.clear();
  queue_.reset();
  gangs_.clear();
  backfill_reservations_.reset();
  preemption_reservations_.reset();
  deadline_forecast_.clear();
  probes_in_flight_ = 0;
  reachability_probe_.reset();
  record_numbers_.begin_term(first_term_);
}

// Loads the records of earlier leaders: machines, rentals and finished tasks.
void Leader::adopt_records() {
  const double now = loop().now();
  std::vector<Machine*> inherited;
  for (const auto& [key, entry] : cache_.entries()) {
    if (has_prefix(key, wire::kMachineKeyPrefix)) {
      const auto name = key.substr(wire::kMachineKeyPrefix.size());
      const auto parsed = ports_.store.try_parse(key, entry.revision, [&name, &entry = entry] {
        return wire::parse_machine_group(name, entry.data);
      });
      if (!parsed) {
        // Invariant 29: the machines of the record, and what an earlier leader started on them, are unknown.
        // The lease of every such machine that sends no heartbeat until this time has expired.
        model::AgentLease unknown_lease;
        unknown_lease.record_renewal(now);
        unreadable_machine_leases_until_ = unknown_lease.latest_expiry_at(settings_.lease_s);
        continue;
      }
      const auto& record = *parsed;
      // Record format of version 0.1.
      const bool is_v01_format = !wire::absent(entry.data, "address");
      machine_groups_.adopt(name, {record.machine_type, record.zone, record.preemptible}, is_v01_format);
      bool has_duplicates = false;
      for (const auto& [machine_id, address] : record.machines) {
        const auto [machine_entry, added] = fleet_.add(machine_id);
        auto& machine = *machine_entry;
        // The machine was being moved from one group to another (storage/shared_records.hpp). One of the two
        // entries suffices.
        if (!added) {
          has_duplicates = true;
          continue;
        }
        machine.address = address;
        machine.machine_type = record.machine_type;
        machine.zone = record.zone;
        machine.preemptible = record.preemptible;
        machine.up = machine.recorded = machine.record_pending = machine.inherited = true;
        machine.first_seen = machine.last_contact = machine.idle_since = now;
        machine.lease.record_renewal(now);  // No earlier leader answered a heartbeat after the term began.
        set_capacity(machine);
        fleet_.refresh(machine);
        machine_groups_.adopt_machine(name, machine);
        inherited.push_back(&machine);
      }
      if (has_duplicates) machine_groups_.rewrite(name);
    } else if (has_prefix(key, wire::kRentalKeyPrefix)) {
      auto record = ports_.store.try_parse(
          key, entry.revision, [&entry = entry] { return wire::parse_rental_record(entry.data); });
      if (record) rental_manager_.adopt(key.substr(wire::kRentalKeyPrefix.size()), std::move(*record));
    } else if (has_prefix(key, wire::kCompletionKeyPrefix)) {
      // Tasks whose completion record cannot be read are run once more.
      ports_.store.try_parse(key, entry.revision, [this, &key = key, &entry = entry] {
        return adopt_completion_record(key, entry.data);
      });
    }
  }
  // Large machines are probed first: they run most tasks, and until they are confirmed they restrict the
  // quota of the teams most.
  std::stable_sort(inherited.begin(), inherited.end(),
                   [](const Machine* a, const Machine* b) { return a->capacity.cores > b->capacity.cores; });
  for (const auto* machine : inherited) machines_to_probe_.push_back(machine->id);
}

void Leader::adopt_quota() {
  std::optional<wire::QuotaRecord> record;
  try {
    if (const auto* entry = cache_.find(wire::kQuotaKey)) record = wire::parse_quota_record(entry->data);
  } catch (const wire::ProtocolError& error) {
    log_->error(
        "state: {} cannot be read ({}): every unconfirmed machine counts in full against the quota of each "
        "team",
        wire::kQuotaKey, error.what());
  }
  quota_.begin_term(record, first_term_);
}

// Loads a record of finished tasks. Throws before it changes anything if the record cannot be read.
bool Leader::adopt_completion_record(const std::string& key, const Json& data) {
  const auto name = key.substr(wire::kCompletionKeyPrefix.size());
  const auto record = wire::parse_completion_bucket(name, data);
  for (const auto& [id, hex] : record) wire::parse_completion_hex(hex, id.chunk);
  // Record format of version 0.1.
  const bool is_v01_format = data.is_string();
  const auto record_number = is_v01_format ? 0 : std::stoull(name);
  std::set<std::uint64_t> target_records;  // Records to which chunks of this record are moved.
  for (const auto& [id, hex] : record) {
    const auto found = live_jobs_.find(id.job);
    if (found == live_jobs_.end()) continue;
    auto& job = *found->second;
    for (const auto index : wire::parse_completion_hex(hex, id.chunk))
      if (index < job.spec.task_count && job.task_progress[index] != model::kTaskDone)
        job.set_task_progress(index, model::kTaskDone);
    update_queue_membership(job);
    // The completion record may have been written before the job's own record, in which case no further exit
    // would end the job.
    if (job.finished_count == job.spec.task_count) write_job_done(job, {});
    if (is_v01_format) {
      target_records.insert(completion_bitmaps_.ensure_record(job, id.chunk));
      continue;
    }
    // Each chunk belongs to one record. If two contain it because it was being moved
    // (storage/shared_records.hpp), the first is kept.
    if (const auto target = job.completion_buckets.find(id.chunk); target != job.completion_buckets.end()) {
      target_records.insert(target->second);
      continue;
    }
    completion_bitmaps_.adopt(record_number, job, id.chunk);
  }
  if (target_records.empty()) {
    if (is_v01_format || !completion_bitmaps_.contains(record_number))
      writes_.store(key, std::nullopt, FlushDelay::garbage);  // All jobs of the record have ended.
    return true;
  }
  // The other records are written before this one is deleted, because this one may hold the newer version of
  // a chunk.
  const auto writes_left = std::make_shared<std::size_t>(target_records.size());
  for (const auto target : target_records)
    completion_bitmaps_.store(target, FlushDelay::exits, [this, key, writes_left] {
      if (--*writes_left == 0) writes_.store(key, std::nullopt, FlushDelay::garbage);
    });
  return true;
}

// Invariant 5: probes all inherited machines directly, a limited number at a time, because a response costs
// time and a socket, and machines that no longer exist must not delay the others.
void Leader::probe_unconfirmed_machines() {
  while (probes_in_flight_ < kMaxConcurrentProbes && !machines_to_probe_.empty()) {
    const auto machine_id = std::move(machines_to_probe_.front());
    machines_to_probe_.pop_front();
    auto* machine = fleet_.find(machine_id);
    if (machine == nullptr || machine->confirmed || machine->terminating) continue;
    ++probes_in_flight_;
    send_commands(*machine, {}, [this] {
      --probes_in_flight_;
      probe_unconfirmed_machines();
    });
  }
}

void Leader::apply_job_change(const state::Change& change) {
  const wire::JobId id{change.key.substr(wire::kJobKeyPrefix.size())};
  if (!change.data) return;
  const auto found = jobs_.find(id);
  if (found != jobs_.end() && change.revision <= found->second.revision) return;
  auto parsed = ports_.store.try_parse(change.key, change.revision,
                                       [&change] { return wire::parse_job_record(*change.data); });
  if (!parsed) return apply_unreadable_job_record(id, change);
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
    // Ended services count too, so that a new leader knows the arrival rate of services from the start.
    if (job.is_service()) {
      autoscaler_.on_service_accepted(job);
    }
    if (is_leader_ && job.is_live()) {
      init_job_for_term(job);
      schedule_placement();
      schedule_planning();
    }
  }
  job.ended_at = record.ended_at;
  dependencies_.update(id, dependency_info(job));
  if (was_live && !job.is_live()) remove_live_job(job);
  if (job.has_ended()) {
    if (job.dependency_parts > 0 && is_leader_) delete_dependency_parts(id, job.dependency_parts);
    ended_jobs_.push_back(id);
  }
}

// Handles a job record that cannot be read. If its state can be told and is final, the job ends. Otherwise a
// known job continues unchanged, and an unknown one waits for its operators.
void Leader::apply_unreadable_job_record(const wire::JobId& id, const state::Change& change) {
  const auto job_state = wire::parse_partial_job_record(*change.data).state;
  dependencies_.update(id,
                       model::dependency_info(job_state.value_or(wire::JobState::accepted), change.revision));
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || !job_state || *job_state == wire::JobState::accepted ||
      found->second.has_ended())
    return;
  auto& job = found->second;
  const bool was_live = job.is_live();
  job.revision = change.revision;
  job.state = *job_state;
  if (was_live) remove_live_job(job);
  ended_jobs_.push_back(id);
}

// Removes a job that has ended or will never start from the live jobs.
void Leader::remove_live_job(Job& job) {
  live_jobs_.erase(job.spec.id);
  queue_.remove(job.spec.id);
  backfill_reservations_.release(job.spec.id);
  preemption_reservations_.release(job.spec.id);
  if (is_leader_) {
    gangs_.remove_job(job.spec.id);
    stop_all_tasks(job);
    completion_bitmaps_.remove(job);
    progress_feed_.remove(job.progress_version);
    schedule_planning();
  }
  // The progress of the tasks is no longer needed. The specification is kept for tasks that still have to be
  // stopped.
  job.task_progress.clear();
  job.task_progress.shrink_to_fit();
  job.failed_on.clear();
  job.ready_count = job.assigned_count = 0;
}

// Bounds memory: evicts jobs that ended long ago once none of their tasks is assigned. A task that appears
// later all the same is stopped like any orphaned task.
void Leader::evict_ended_jobs() {
  for (std::size_t remaining = ended_jobs_.size();
       remaining > 0 && ended_jobs_.size() > settings_.final_states_kept; --remaining) {
    const auto id = std::move(ended_jobs_.front());
    ended_jobs_.pop_front();
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) continue;
    if (found->second.task_machines.empty())
      jobs_.erase(found);
    else
      ended_jobs_.push_back(id);
  }
}

void Leader::update_queue_membership(Job& job) {
  if (job.is_live() && job.dependencies_met && job.ready_count > 0)
    queue_.enqueue(job);
  else
    queue_.remove(job.spec.id);
}

void Leader::init_job_for_term(Job& job) {
  job.reset_task_progress();
  job.failed_on.clear();
  job.faulty = false;
  job.failures_in_row = 0;
  job.blocked_until = 0;
  job.set_reason({});
  job.progress_dirty = job.progress_certain = true;
  job.progress_version = 0;
  track_gang(job);
  update_queue_membership(job);
}

// Sends a read barrier. The age of the state counts from when the barrier was sent, and only after the
// changes that it delivered have been applied, which is on a later turn of the loop.
void Leader::send_read_barrier() {
  const double sent_at = loop().now();
  next_barrier_at_ = sent_at + kRefreshIntervalS;
  ports_.store.tell(state::ReadBarrier{guard([this, sent_at](bool ok) {
                                         if (!ok) return;
                                         loop().post(guard([this, sent_at] {
                                           barrier_sent_at_ = std::max(barrier_sent_at_, sent_at);
                                           if (!is_leader_) update_leadership();
                                         }));
                                       }),
                                       true});
}

void Leader::tick() {
  tick_timer_ = loop().after(kTickIntervalS, guard([this] { tick(); }));
  const double now = loop().now();
  const double elapsed_s = now - std::exchange(last_tick_at_, now);
  lease_forecast_.record_peer_leading(ports_.peer_last_led_at());
  if (!is_leader_ && lease_id_ != 0) update_leadership();
  if (is_leader_ && now >= next_barrier_at_) send_read_barrier();
  // Resigns if the state is stale although the lease is renewed. After an outage of the state service reads
  // and renewals recover, the renewals often first. The holder of the lease still knows every machine, where
  // another leader would have to probe all of them, so it gets time to read the state.
  if (lease_id_ != 0 && is_state_stale() && now < lease_valid_until_ &&
      now - lease_held_since_ > kPostOutageListenS)
    return ports_.resign();
  // While heartbeats cannot be accepted, missing ones say nothing about their machines.
  if (!is_active_leader() || elapsed_s > settings_.control_interval_s) machine_monitor_.restart_listening();
  if (!is_active_leader()) return;
  note_active(now);
  record_leading();
  autoscaler_.advance_reclaim_history(elapsed_s, decay_factor(elapsed_s));
  if (now >= next_catalogue_fetch_at_) fetch_catalogue();
  monitor_machines(std::min(1.0, elapsed_s / kMonitorPeriodS));
  rental_manager_.reconcile_if_due();
  if (now >= next_round_at_) {
    next_round_at_ = now + settings_.round_s;
    write_quota(true);
    update_gang_spans();
    update_deadline_forecast();
    schedule_planning();
    schedule_placement();
  }
  write_quota(false);
  apply_gang_actions();
  review_preemptions();
  if (now >= next_progress_at_) publish_progress();
  if (now >= next_summary_at_) log_event_summary();
  reachability_probe_.tick(term_began_at_);
  write_cancelled_dependents();
  rental_manager_.send_terminations();
  writes_.flush();
}

ReachabilityProbe::Ports Leader::reachability_ports() {
  return {[this] { return reachability_candidates(); },
          [this](const wire::MachineId& machine_id, std::function<void()> done) {
            if (auto* machine = fleet_.find(machine_id)) send_commands(*machine, {}, std::move(done));
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

// Logs event counts instead of a line for each event, which at a thousand machines would cost more than the
// event.
void Leader::log_event_summary() {
  next_summary_at_ = loop().now() + settings_.control_interval_s;
  if (event_counts_.empty()) return;
  std::string text;
  for (const auto& [event, count] : event_counts_)
    text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + event;
  event_counts_.clear();
  const auto& total = fleet_.total();
  model::FleetTotals on_demand;
  model::FleetTotals spot;
  for (const auto& [pool, state] : fleet_.pools()) (pool.preemptible ? spot : on_demand) += state.totals;
  log_->info(
      "leader: {}; {} machines up, {} booting, {} unconfirmed, {:.0f} of {:.0f} on-demand and {:.0f} of "
      "{:.0f} "
      "spot cores free, {} live jobs, {} queued, {} writes pending",
      text, total.up, total.booting, total.unconfirmed, on_demand.free_cores, on_demand.cores,
      spot.free_cores, spot.cores, live_jobs_.size(), queue_.jobs().size(), writes_.size());
}

void Leader::fetch_catalogue() {
  next_catalogue_fetch_at_ =
      loop().now() +
      (machine_types_.empty() ? kRefreshIntervalS : kCatalogueRefreshRounds * settings_.round_s);
  ports_.cloud.tell(
      cloud::GetCatalogue{guard([this](std::optional<std::vector<wire::MachineType>> machine_types) {
        if (!machine_types || machine_types->empty() || !is_active_leader()) return;
        const bool first = machine_types_.empty();
        machine_types_ = std::move(*machine_types);
        for (auto& [machine_id, machine] : fleet_) {
          set_capacity(machine);
          fleet_.refresh(machine);
        }
        // The catalogue is stored too, so that a leader that restarts during a cloud outage can still decide.
        const auto values =
            wire::stored_catalogue(machine_types_, writes_.value_limit(), record_numbers_.next());
        for (const auto& [key, value] : values) writes_.store(key, value, FlushDelay::garbage);
        // Deletes stored parts that no longer belong to the catalogue.
        for (auto entry = cache_.entries().lower_bound(wire::kCataloguePartKeyPrefix);
             entry != cache_.entries().end() && has_prefix(entry->first, wire::kCataloguePartKeyPrefix);
             ++entry)
          if (!writes_.contains(entry->first)) writes_.store(entry->first, std::nullopt, FlushDelay::garbage);
        if (first) {
          schedule_planning();
          schedule_placement();
        }
      })});
}

}  // namespace bankhill::leader
