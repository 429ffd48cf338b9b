// Jobs that wait for others (not in the paper, whose workflows are known whole; docs/DESIGN.md, "Pipelines").
#include <algorithm>
#include <utility>

#include "leader/leader.hpp"

namespace bankhill::leader {

using model::Job;
using model::JobFact;
using queue::task_s;
using state::FlushDelay;

namespace {
// A job's tasks take longer than guessed and not equally long; the next stage waits for the last one.
constexpr double kStageShare = 1.5;  // of the guess
constexpr double kStagePaces = 1;    // image, report, commit
}  // namespace

JobFact Leader::fact(const Job& job) const {
  auto fact = model::fact_of(job.phase, job.stamp);
  fact.ended_at = job.ended_at;
  fact.rank = job.spec.rank;
  if (job.spec.due_s) fact.due_at = job.accepted_at + *job.spec.due_s;
  if (job.cutoff) fact.due_at = std::min(fact.due_at, *job.cutoff);
  fact.takes_s = kStageShare * task_s(job) + kStagePaces * settings_.pace_s;
  return fact;
}

JobFact Leader::look_up(const wire::JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? JobFact{} : fact(found->second);
}

const Job* Leader::job(const wire::JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() || found->second.stamp.value == 0 ? nullptr : &found->second;
}

wire::Rank Leader::rank(const Job& job) const { return waits_.rank(job.spec.uid, job.spec.rank); }

void Leader::add_waits(Job& job) {
  const auto& id = job.spec.uid;
  bool incomplete = false;
  for (std::uint32_t part = 0; part < job.waits_parts; ++part) {
    const auto* entry = view_.find(wire::waits_key(id, part));
    incomplete = incomplete || entry == nullptr;
    if (entry == nullptr) continue;
    auto needs = ports_.store.parsed(wire::waits_key(id, part), entry->stamp,
                                     [entry] { return wire::parse_waits_part(entry->data); });
    incomplete = incomplete || !needs;
    if (!needs) continue;
    for (auto& need : *needs) job.spec.waits_on.push_back(std::move(need));
  }
  // They are written with the job and deleted after its end: it is over, and the news of that is on its way.
  if (incomplete) log_->warn("job {}: not all that it waits for is stored", id.value);
  job.released = false;
  waits_.add(id, fact(job), job.spec.waits_on, incomplete,
             [this](const wire::JobId& need) { return look_up(need); });
}

void Leader::take_waits_news() {
  const auto news = waits_.take_news();
  for (const auto& id : news.released)
    if (const auto job = jobs_.find(id); job != jobs_.end()) release_job(job->second);
  for (const auto& id : news.cancelled)
    if (const auto job = jobs_.find(id); job != jobs_.end()) end_unstarted(job->second);
  ask_unknown();
}

// Invariant 13: `done` of everything that it needs is committed.
void Leader::release_job(Job& job) {
  if (job.released || !job.live()) return;
  job.released = true;
  // Written by version 0.2.0 an end has no time.
  const double ended = waits_.free_at(job.spec.uid);
  job.ready_at = std::max(job.accepted_at, ended > 0 || !reigning_ ? ended : loop().wall());
  job.ready_stamp = std::max(job.stamp, waits_.free_since(job.spec.uid));
  if (!reigning_) return;
  log_->debug("job {}: all that it waited for is done, {:.1f} s after its acceptance", job.spec.uid.value,
              loop().wall() - job.accepted_at);
  ++tally_["jobs released"];
  note(job);
  place_soon();
  plan_soon();
}

// Invariant 14: one that it needs is cancelled. Nothing of it ever started; its record follows.
void Leader::end_unstarted(Job& job) {
  if (!job.live()) return;
  job.abandoned = true;
  leave_live(job);
  if (!reigning_) return;
  log_->debug("job {}: cancelled with one that it waits for", job.spec.uid.value);
  ++tally_["waiting jobs cancelled"];
  to_cancel_.push_back(job.spec.uid);
}

// A few at a time, behind all else: what the records say decides already, and a cancellation of hundreds must
// not hold up what tasks wait for.
void Leader::write_cancelled() {
  for (std::size_t room = writes_.batch_limit() / 2; room > 0 && !to_cancel_.empty(); --room) {
    if (writes_.size() >= writes_.batch_limit() || ports_.store.writes_to_spare() < static_cast<double>(room))
      return;
    const auto job = jobs_.find(to_cancel_.front());
    to_cancel_.pop_front();
    if (job == jobs_.end() || job->second.over()) continue;
    writes_.store(
        wire::job_key(job->first),
        final_json(record_of(job->second), wire::JobPhase::cancelled, loop().wall(), writes_.value_limit()),
        FlushDelay::garbage);
  }
}

wire::JobRecord Leader::record_of(const Job& job) const {
  return {job.spec, job.phase, job.accepted_at, job.ended_at, 0, job.cutoff};
}

// Named jobs that left memory long ago: not knowing is taken neither for done nor for cancelled.
void Leader::ask_unknown() {
  for (const auto& id : waits_.take_questions())
    reader_.tell(state::Read{
        wire::job_key(id), guard([this, id](const std::optional<state::Entry>& entry) {
          if (!entry) {
            log_->warn("job {}: is waited for and has no record", id.value);
            return waits_.learn(id, model::missing_fact());
          }
          const auto record = ports_.store.parsed(wire::job_key(id), entry->stamp,
                                                  [&entry] { return wire::parse_job_record(entry->data); });
          const auto phase = record ? record->phase
                                    : wire::job_remains(entry->data).phase.value_or(wire::JobPhase::accepted);
          auto found = model::fact_of(phase, entry->stamp);
          if (record) found.ended_at = record->ended_at;
          waits_.learn(id, found);
          take_waits_news();
        })});
}

void Leader::drop_waits_parts(const wire::JobId& id, std::uint32_t parts) {
  for (std::uint32_t part = 0; part < parts; ++part)
    writes_.store(wire::waits_key(id, part), std::nullopt, FlushDelay::garbage);
}

// What is left of jobs that ended while nobody led.
void Leader::tidy_waits() {
  for (auto entry = view_.entries().lower_bound(wire::kWaits);
       entry != view_.entries().end() && entry->first.starts_with(wire::kWaits); ++entry) {
    const auto name = entry->first.substr(wire::kWaits.size());
    const auto job = jobs_.find(wire::JobId{name.substr(0, name.find('/'))});
    if (job == jobs_.end() || job->second.over())
      writes_.store(entry->first, std::nullopt, FlushDelay::garbage);
  }
}

}  // namespace bankhill::leader
