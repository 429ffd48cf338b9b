// Rules on what is committed and told: transactions, policies, cutoffs, what is forgotten and who owns what.
#include <algorithm>

#include "sim/controller.hpp"

namespace bankhill::sim {

using wire::Json;

namespace {
constexpr double kPhantomLeases = 3;  // after its end a machine may still be recorded, behind an outage
constexpr double kForgottenS = 75;    // the operators' rule
constexpr double kLearnS = 1;         // in which a leader that nothing hinders reads what was committed
}  // namespace

World::CancelledStarts& World::CancelledStarts::operator+=(const CancelledStarts& other) {
  all += other.all;
  ordered_after += other.ordered_after;
  knowable += other.knowable;
  return *this;
}

// Once a user was told of a cancellation no task of the job may be started; what was under way may still.
void World::count_cancelled_start(const SimJob& job, double ordered) {
  const double told = job.told_cancelled;
  if (told == 0) return;
  const bool after = ordered > told;
  const bool free = !troubled() && step_troubled_at_ < told - kLearnS;
  cancelled_starts_ += {1, after ? 1U : 0U, free && ordered > told + kLearnS ? 1U : 0U};
}

void World::violate(const std::string& rule, const std::string& what) {
  log_->error("BROKEN {}: {}", rule, what);
  broken_.push_back(rule + " at " + std::to_string(now_) + ": " + what);
}

// Invariant 1: a leader's transaction that arrives after the next win must fail, whatever it holds.
void World::check_commit(const Json& body) {
  const auto& when = body["when"];
  const bool fenced = std::any_of(when.begin(), when.end(),
                                  [](const Json& condition) { return condition["k"] == wire::kTermKey; });
  for (const auto& write : body["writes"]) {
    const auto key = (write.contains("write") ? write["write"] : write["delete"]).get<std::string>();
    const bool leaders = key.starts_with(wire::kMachines) || key.starts_with(wire::kRentals) ||
                         key.starts_with(wire::kFinished) || key == wire::kCatalogueKey;
    if (leaders && !fenced) violate("fence", key + " written without the term");
    if (!key.starts_with(wire::kMachines) || !write.contains("data")) continue;
    // Invariant 26: what is recorded for the first time is there, or was lately.
    for (const auto& [host, address] :
         wire::parse_machine_group(key.substr(wire::kMachines.size()), write["data"]).hosts) {
      const auto gone = gone_machines_.find(host.value);
      const bool lately =
          gone != gone_machines_.end() && now_ - gone->second < kPhantomLeases * settings_.lease_s;
      if (!machines_.contains(host.value) && !lately && !recorded(host.value))
        violate("phantom", host.value + " is recorded");
    }
  }
  if (!foreign_) check_policy(body);
}

// Invariants 30 and 31.
void World::check_policy(const Json& body) {
  const auto& when = body["when"];
  const bool of_head = std::any_of(when.begin(), when.end(),
                                   [](const Json& condition) { return condition["k"] == wire::kPolicyKey; });
  for (const auto& write : body["writes"]) {
    const auto key = (write.contains("write") ? write["write"] : write["delete"]).get<std::string>();
    if (key.starts_with(wire::kPolicyKey) && !of_head)
      violate("policy_back", key + " written whatever file rules by now");
    if (!write.contains("write")) continue;
    const auto& data = write["data"];
    if (key == wire::kPolicyKey) {
      const auto before = keys_.find(key);
      if (before != keys_.end() && before->second.data.contains("version") &&
          (!data.contains("version") || data["version"] <= before->second.data["version"]))
        violate("policy_back",
                "version " + before->second.data["version"].dump() + " replaced by " + data.dump());
    }
    if (!key.starts_with(wire::kJobs)) continue;
    const auto record = wire::parse_job_record(data);
    const auto [first, added] = cutoffs_.emplace(record.spec.uid.value, record.cutoff);
    if (added && record.cutoff && *record.cutoff <= record.accepted_at)
      violate("cutoff_moved", key + " was accepted after its cutoff");
    // An earlier version that ends a job leaves it out.
    if (!added && record.cutoff != first->second &&
        (record.cutoff || record.phase == wire::JobPhase::accepted))
      violate("cutoff_moved", key + " is written with another cutoff");
  }
}

// Invariant 31: what each controller goes by is what was settled when the job was accepted.
void World::check_cutoffs() {
  for (const auto& node : nodes_) {
    if (!node || node->before_policies) continue;
    for (const auto& [uid, cutoff] : cutoffs_)
      if (const auto* job = node->node.job({uid}); job != nullptr && job->live() && job->cutoff != cutoff)
        violate("cutoff_moved", uid + " has another cutoff at a controller");
  }
}

// Invariant 7: a start of the forgotten attempt that is still on its way, and would be executed, would start
// it once more.
void World::check_forget(const SimMachine& machine, const wire::Order& order) {
  for (const auto& [id, start] : direct_starts_)
    if (start.host == machine.host && start.member == order.member && start.try_no == order.try_no &&
        start.fence >= machine.fence && start.tenure == machine.tenure)
      violate("forgot_early", order.member.text() + " on " + machine.host);
}

void World::check_records() {
  for (const auto& [key, entry] : keys_) {
    if (!key.starts_with(wire::kFinished) || !entry.data.is_object()) continue;  // tampered with
    for (const auto& [id, hex] : wire::parse_finished_bucket(key.substr(wire::kFinished.size()), entry.data))
      if (const auto job = jobs_.find(id.job.value); job != jobs_.end())
        for (const auto index : wire::parse_finished_hex(hex, id.chunk))
          if (!job->second.completed.contains(index))
            violate("record", id.job.value + "/" + std::to_string(index) + " is stored as finished");
  }
}

// Per job, however others fare; a status and a repeated submission each.
void World::check_forgotten() {
  if (troubled()) troubled_at_ = now_;
  for (auto& [uid, job] : jobs_) {
    if (!job.accepted) continue;
    const auto late = [this](double told) { return now_ - std::max(told, troubled_at_) > kForgottenS; };
    if (late(job.status_told)) {
      violate("forgotten", uid + ": its status was not told");
      job.status_told = now_;
    }
    if (late(job.submission_told)) {
      violate("forgotten", uid + ": submitted again it was not answered");
      job.submission_told = now_;
    }
  }
}

// Invariant 4, from the other side: what is there and in no record belongs to nobody, is paid for and unused.
void World::check_owners() {
  if (unowned_limit_s <= 0 || now_ < next_owner_check_) return;
  next_owner_check_ = now_ + 1;
  std::set<std::string> owned;
  for (auto key = keys_.lower_bound(wire::kMachines);
       key != keys_.end() && key->first.starts_with(wire::kMachines); ++key)
    if (key->second.data.is_object())
      for (const auto& [host, address] :
           wire::parse_machine_group(key->first.substr(wire::kMachines.size()), key->second.data).hosts)
        owned.insert(host.value);
  const bool muted = std::any_of(mute_until_.begin(), mute_until_.end(),
                                 [this](const auto& mute) { return now_ < mute.second; });
  const bool trouble = troubled() || muted || leaders() != 1 || now_ < late_until_ ||
                       now_ < cloud_down_until_ || now_ < held_reports_.until;
  for (auto& [host, machine] : machines_) {
    const bool there = machine.up && !machine.dead && now_ >= machine.hung_until &&
                       now_ >= machine.deaf_until && now_ >= machine.mute_until;
    if (trouble || !there || owned.contains(host)) machine.owned_at = now_;
    if (now_ - std::max(machine.owned_at, machine.up_since) <= unowned_limit_s) continue;
    violate("unowned", host);
    machine.owned_at = now_;
  }
}

// What may keep a user from an answer, whatever becomes of machines and cloud.
bool World::troubled() const {
  return now_ < state_down_until_ || now_ < slow_until_ || now_ < zone_cut_.link.until || deaf_node >= 0 ||
         unread_node >= 0 || !unread.empty() || no_puts ||
         std::any_of(refused_until_.begin(), refused_until_.end(),
                     [this](const auto& refused) { return now_ < refused.second; }) ||
         std::any_of(links_.begin(), links_.end(),
                     [this](const auto& cut) { return now_ < cut.second.until; }) ||
         std::any_of(freezes_.begin(), freezes_.end(),
                     [this](const auto& freeze) {
                       return freeze.second.pending > 0 || now_ < freeze.second.until;
                     }) ||
         std::any_of(nodes_.begin(), nodes_.end(), [](const auto& node) { return !node; });
}

// Whether anything is out of order, machines included.
bool World::disturbed() const {
  return troubled() || now_ < cloud_down_until_ || now_ < no_spot_until_ || now_ < late_until_ ||
         now_ < held_reports_.until ||
         std::any_of(zone_out_until_.begin(), zone_out_until_.end(),
                     [this](const auto& out) { return now_ < out.second; }) ||
         at_limit > 0 || report_delay > 0 || !untaken.empty() || state_was_down_ ||
         std::any_of(mute_until_.begin(), mute_until_.end(),
                     [this](const auto& mute) { return now_ < mute.second; }) ||
         std::any_of(machines_.begin(), machines_.end(), [this](const auto& entry) {
           const auto& machine = entry.second;
           return !machine.dead && (machine.taken_at > 0 || now_ < machine.hung_until ||
                                    now_ < machine.deaf_until || now_ < machine.mute_until);
         });
}

}  // namespace bankhill::sim
