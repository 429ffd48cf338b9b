#include "sim/rule_checker.hpp"

#include "sim/simulated_cluster.hpp"

namespace bankhill::sim {

namespace {
constexpr double kLearnS = 1;  // in which a leader that nothing hinders reads what was committed
// Steps between two of the checks that take long.
constexpr std::uint64_t kTroubleSteps = 16;
constexpr std::uint64_t kForgottenSteps = 128;
constexpr std::uint64_t kRecordSteps = 512;
}  // namespace

RuleChecker::CancelledStarts& RuleChecker::CancelledStarts::operator+=(const CancelledStarts& other) {
  all += other.all;
  ordered_after += other.ordered_after;
  knowable += other.knowable;
  return *this;
}

// Once a user was told of a cancellation no task of the job may be started; what was under way may still.
void RuleChecker::count_cancelled_start(const SimJob& job, double ordered) {
  const double told = job.told_cancelled;
  if (told == 0) return;
  const bool after = ordered > told;
  const bool free = !world_.troubled() && step_troubled_at_ < told - kLearnS;
  cancelled_starts_ += {1, after ? 1U : 0U, free && ordered > told + kLearnS ? 1U : 0U};
}

void RuleChecker::violate(const std::string& rule, const std::string& what) {
  world_.log()->error("BROKEN {}: {}", rule, what);
  broken_.push_back(rule + " at " + std::to_string(world_.now()) + ": " + what);
}

void RuleChecker::check_body(const std::string& what, const std::string& body) {
  if (body.size() > wire::kMaxBody)
    violate("too_long", what + " of " + std::to_string(body.size()) + " bytes");
}

// What was called cancelled runs nowhere after the time that its tasks have to end.
void RuleChecker::check_cancelled_tasks() {
  const double now = world_.now();
  for (const auto& [host, machine] : world_.machines()) {
    if (!machine.up || machine.dead) continue;
    for (const auto& [task_id, task] : machine.tasks) {
      const auto& job = world_.jobs().at(task_id.job.value);
      if (job.told_cancelled > 0 && now > job.told_cancelled + world_.settings().cancel_s &&
          machine.on(task_id, now, world_.settings().lease_s))
        violate("ran_cancelled", task_id.text() + " on " + host);
    }
  }
}

void RuleChecker::check_step(std::uint64_t step) {
  check_room_made();
  check_replicas();
  check_owners();
  check_stranded();
  if (world_.now() >= next_phase_sample_) sample_phases();
  if (step % kTroubleSteps == 0 && world_.troubled()) step_troubled_at_ = world_.now();
  // Invariant 2.
  if (const int leaders = world_.leaders(); leaders > 1)
    violate("two_leaders", std::to_string(leaders) + " controllers may give orders");
  if (step % kRecordSteps == 0) check_records();
  if (step % kForgottenSteps == 0) check_forgotten();
  if (step % kRecordSteps == 0) check_cutoffs();
  check_cancelled_tasks();
}

std::string listing(const std::vector<std::string>& broken) {
  std::string text;
  for (const auto& item : broken) text += item + "\n";
  return text;
}

}  // namespace bankhill::sim
