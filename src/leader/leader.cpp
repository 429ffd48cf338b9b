#include "leader/leader.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::leader {

using model::Job;
using model::Machine;
using wire::Json;

namespace {
constexpr double kTickS = 0.25;
constexpr double kSyncS = 1.0;
constexpr double kProgressS = 1.0;
constexpr double kCatalogueRounds = 4;  // the catalogue is read again every so many rounds

bool has_prefix(const std::string& key, const std::string& prefix) { return key.starts_with(prefix); }
}  // namespace

Leader::Leader(runtime::Loop& loop, runtime::Log log, Settings settings, Ports ports)
    : Actor(loop), log_(std::move(log)), settings_(std::move(settings)), ports_(std::move(ports)) {}

void Leader::start() {
  last_tick_ = loop().now();
  tick();
}

const Team* Leader::team(const std::string& name) const {
  for (const auto& team : settings_.teams)
    if (team.name == name) return &team;
  return nullptr;
}

const wire::Flavor* Leader::flavor(const std::string& name) const {
  const auto found = std::find_if(flavors_.begin(), flavors_.end(),
                                  [&](const wire::Flavor& item) { return item.name == name; });
  return found == flavors_.end() ? nullptr : &*found;
}

void Leader::set_size(Machine& machine) const {
  if (const auto* type = flavor(machine.flavor)) machine.size = type->size;
}

bool Leader::valid() const {
  // Invariant 2, and: a leader that cannot learn of cancellations must not keep workers' leases alive.
  const double deaf = (settings_.cancel_s - settings_.lease_s) / 3;
  const double now = loop().now();
  return reigning_ && now < valid_until_ && now - synced_at_ < deaf;
}

void Leader::on(Changed& message) {
  for (const auto& change : *message.changes) {
    if (has_prefix(change.key, wire::kJobs)) {
      learn_job(change);
      continue;
    }
    if (!view_.apply(change)) continue;
    if (change.key == wire::kCatalogueKey && change.data) flavors_ = wire::parse_flavors(*change.data);
  }
  const auto* leader = view_.find(wire::kLeaderKey);
  const auto* term = view_.find(wire::kTermKey);
  const bool ours = leader != nullptr && term != nullptr && hold_ != 0 &&
                    wire::parse_leader_record(leader->data).incarnation == settings_.incarnation &&
                    wire::parse_leader_record(leader->data).hold == hold_;
  if (ours) {
    const auto now_term = wire::count_field(term->data, "n");
    if (!reigning_) {
      term_ = first_term_ = now_term;
      won_ = term->stamp;
      begin_reign();
    } else if (now_term != term_) {
      log_->info("leader: term raised to {}", now_term);
      term_ = now_term;
      raising_ = false;
    }
  } else if (reigning_) {
    end_reign();
  }
}

void Leader::on(Valid& message) {
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
  synced_at_ = now - kSyncS;  // the win itself was read just now
  next_round_ = next_list_ = next_catalogue_ = next_sync_ = next_progress_ = now;
  tries_ = rentals_made_ = 0;
  machines_.clear();
  rentals_.clear();
  usage_.clear();
  intents_.clear();
  committing_ = raising_ = listing_ = releasing_ = false;
  for (auto& [id, job] : jobs_)
    if (job.live()) lead_job(job);
  for (const auto& [key, entry] : view_.entries()) {
    if (has_prefix(key, wire::kMachines)) {
      const auto record = wire::parse_machine_record(entry.data);
      Machine machine;
      machine.host = wire::HostId{key.substr(wire::kMachines.size())};
      machine.address = record.address;
      machine.flavor = record.flavor;
      machine.rack_room = record.rack_room;
      machine.reclaimable = record.reclaimable;
      machine.up = machine.recorded = true;
      machine.first_seen = machine.last_contact = machine.idle_since = now;
      set_size(machine);
      machines_.emplace(machine.host, std::move(machine));
    } else if (has_prefix(key, wire::kRentals)) {
      rentals_[key.substr(wire::kRentals.size())].record = wire::parse_rental_record(entry.data);
    }
  }
  settle_rentals();
  log_->info("leader: begin reign, term {}, {} jobs, {} machines, {} rentals", term_, jobs_.size(),
             machines_.size(), rentals_.size());
  // Invariant 5: ask all recorded machines directly at once.
  for (auto& [host, machine] : machines_)
    if (machine.recorded) send_direct(machine, {});
  plan_soon();
}

void Leader::end_reign() {
  log_->warn("leader: end of reign, term {}", term_);
  reigning_ = false;
  machines_.clear();
  rentals_.clear();
  intents_.clear();
  usage_.clear();
}

void Leader::learn_job(const state::Change& change) {
  const wire::JobId id{change.key.substr(wire::kJobs.size())};
  auto& job = jobs_[id];
  if (change.stamp <= job.stamp || !change.data) return;
  const bool known = job.stamp.value != 0;
  auto record = wire::parse_job_record(*change.data);
  job.stamp = change.stamp;
  const bool was_live = !known || job.live();
  job.phase = record.phase;
  job.accepted_at = record.accepted_at;
  if (!known) {
    job.spec = std::move(record.spec);
    if (reigning_ && job.live()) {
      lead_job(job);
      place_soon();
      plan_soon();
    }
  }
  if (was_live && !job.live()) {
    if (reigning_) {
      stop_all(job);
      plan_soon();
    }
    // A final job needs no marks; its specification stays for tasks still to be stopped.
    job.marks.clear();
    job.marks.shrink_to_fit();
    job.ready = job.bound = 0;
  }
}

void Leader::lead_job(Job& job) {
  job.reset_marks();
  job.failed_on.clear();
  job.failures_in_row = 0;
  job.blocked_until = 0;
  job.progress_dirty = true;
  const std::string prefix = wire::kFinished + job.spec.uid.value + "/";
  for (auto entry = view_.entries().lower_bound(prefix);
       entry != view_.entries().end() && has_prefix(entry->first, prefix); ++entry) {
    const auto chunk = static_cast<std::uint32_t>(std::stoul(entry->first.substr(prefix.size())));
    for (const auto index : wire::parse_finished_hex(entry->second.data.get<std::string>(), chunk))
      if (index < job.spec.members && job.marks[index] != model::kDone) job.set_mark(index, model::kDone);
  }
}

void Leader::resync() {
  const double sent = loop().now();
  ports_.store.tell(state::Sync{guard([this, sent](bool fine) {
                                  if (fine) synced_at_ = std::max(synced_at_, sent);
                                }),
                                true});
}

void Leader::tick() {
  tick_timer_ = loop().after(kTickS, guard([this] { tick(); }));
  const double now = loop().now();
  const double passed = now - std::exchange(last_tick_, now);
  if (!reigning_) return;
  if (now >= next_sync_) {
    next_sync_ = now + kSyncS;
    resync();
  }
  if (!valid()) return;
  for (const auto& [host, machine] : machines_)
    if (machine.reclaimable && machine.up) reclaims_[machine.flavor].machine_s += passed;
  if (now >= next_catalogue_) fetch_catalogue();
  watch_machines();
  settle_rentals();
  if (now >= next_list_) list_hosts();
  if (now >= next_round_) {
    next_round_ = now + settings_.round_s;
    plan_soon();
    place_soon();
  }
  if (now >= next_progress_) publish_progress();
  return_idle();
  send_releases();
  flush();
}

void Leader::fetch_catalogue() {
  next_catalogue_ = loop().now() + (flavors_.empty() ? kSyncS : kCatalogueRounds * settings_.round_s);
  ports_.cloud.tell(cloud::GetCatalogue{guard([this](std::optional<std::vector<wire::Flavor>> flavors) {
    if (!flavors || flavors->empty() || !valid()) return;
    const bool first = flavors_.empty();
    flavors_ = std::move(*flavors);
    for (auto& [host, machine] : machines_) set_size(machine);
    // Kept in the state service too: a restart during a cloud outage can still decide.
    store(wire::kCatalogueKey, to_json(flavors_));
    if (first) {
      plan_soon();
      place_soon();
    }
  })});
}

void Leader::publish_progress() {
  next_progress_ = loop().now() + kProgressS;
  for (auto& [id, job] : jobs_) {
    if (!job.live() || !std::exchange(job.progress_dirty, false)) continue;
    ports_.progress(wire::Progress{job.finished, job.running, id.value, job.reason});
  }
}

}  // namespace bankhill::leader
