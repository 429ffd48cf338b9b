#include "model/dependency_graph.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bankhill::model {

using wire::JobId;

DependencyInfo dependency_info(wire::JobState phase, wire::KeyRevision revision) {
  DependencyInfo fact;
  fact.state = phase == wire::JobState::accepted ? DependencyInfo::State::accepted
               : phase == wire::JobState::done   ? DependencyInfo::State::done
                                                 : DependencyInfo::State::cancelled;
  fact.revision = revision;
  return fact;
}

DependencyInfo missing_dependency() {
  DependencyInfo fact;
  fact.state = DependencyInfo::State::missing;
  return fact;
}

const DependencyGraph::Node* DependencyGraph::find(const JobId& id) const {
  const auto found = nodes_.find(id);
  return found == nodes_.end() ? nullptr : &found->second;
}

void DependencyGraph::add(const JobId& id, const DependencyInfo& fact, const std::vector<JobId>& needs,
                          bool incomplete, const LookUp& look_up) {
  auto [entry, fresh] = nodes_.try_emplace(id);
  auto& node = entry->second;
  if (node.waits) return;
  if (!fresh && node.info.state == State::unknown) --unknown_;
  node.info = fact;
  node.waits = true;
  node.dependencies = needs;
  node.open = incomplete ? 1 : 0;
  bool doomed = false;
  for (const auto& need : needs) {
    auto [other, added] = nodes_.try_emplace(need);
    auto& upstream = other->second;
    if (added) {
      upstream.info = look_up(need);
      upstream.cancelled = upstream.info.state == State::cancelled;
      if (upstream.info.state == State::unknown) {
        ++unknown_;
        unknown_ids_.push_back(need);
      }
      weigh(need, upstream);
    }
    upstream.dependents.insert(id);
    doomed = doomed || upstream.cancelled;
    if (upstream.info.state != State::done) {
      ++node.open;
      continue;
    }
    node.ready_revision = std::max(node.ready_revision, upstream.info.revision);
    node.ready_at = std::max(node.ready_at, upstream.info.ended_at);
  }
  weigh(id, node);
  if (doomed) return cancel(id);
  if (node.open == 0) updates_.ready.push_back(id);
  raise(id);
}

void DependencyGraph::update(const JobId& id, const DependencyInfo& fact) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end()) return;
  auto& node = found->second;
  const auto before = node.info.state;
  if (before == State::done || before == State::cancelled || fact.state == State::unknown) return;
  if (before == State::unknown) --unknown_;
  node.info = fact;
  if (fact.state == State::done) done(node);
  if (fact.state == State::cancelled) cancel(id);
  if (fact.state == State::done || fact.state == State::cancelled)
    detach(id, node);
  else if (weigh(id, node))
    raise(id);
  drop_if_idle(id);
}

std::vector<JobId> DependencyGraph::take_unknown() {
  std::erase_if(unknown_ids_, [this](const JobId& id) {
    const auto* node = find(id);
    return node == nullptr || node->info.state != State::unknown;
  });
  return std::exchange(unknown_ids_, {});
}

// An end costs its own edges and no more.
void DependencyGraph::done(const Node& node) {
  for (const auto& id : node.dependents) {
    auto& next = nodes_.at(id);
    next.ready_revision = std::max(next.ready_revision, node.info.revision);
    next.ready_at = std::max(next.ready_at, node.info.ended_at);
    if (--next.open == 0 && !next.cancelled) updates_.ready.push_back(id);
  }
}

// Marks it and all that needs it, each once.
void DependencyGraph::cancel(const JobId& first) {
  std::vector<JobId> marked{first};
  Upward upward;
  while (!marked.empty()) {
    const auto id = std::move(marked.back());
    marked.pop_back();
    auto& node = nodes_.at(id);
    if (std::exchange(node.cancelled, true)) continue;
    if (node.info.state != State::cancelled) updates_.cancelled.push_back(id);
    for (const auto& later : node.dependents) marked.push_back(later);
    for (const auto& need : node.dependencies) upward.emplace(nodes_.at(need).info.revision, need);
  }
  lower(std::move(upward));
}

// A job that is over needs nothing any more.
void DependencyGraph::detach(const JobId& id, Node& node) {
  Upward upward;
  for (const auto& need : std::exchange(node.dependencies, {})) {
    auto& upstream = nodes_.at(need);
    upstream.dependents.erase(id);
    upward.emplace(upstream.info.revision, need);
  }
  node.waits = false;
  lower(std::move(upward));
}

// Passes rank and goal of a job up, as far as they change something. Every job was accepted after all that it
// needs, so that in falling order of acceptance each edge is walked once, however many ways lead up.
void DependencyGraph::raise(const JobId& id) {
  Upward changed{{nodes_.at(id).info.revision, id}};
  while (!changed.empty()) {
    const auto last = std::prev(changed.end());
    const auto& from = nodes_.at(last->second);
    changed.erase(last);
    for (const auto& need : from.dependencies)
      if (auto& upstream = nodes_.at(need); take_over(upstream, from))
        changed.emplace(upstream.info.revision, need);
  }
}

// After jobs below these are over: what they passed up no longer counts.
void DependencyGraph::lower(Upward upward) {
  while (!upward.empty()) {
    const auto last = std::prev(upward.end());
    const auto id = last->second;
    upward.erase(last);
    const auto found = nodes_.find(id);
    if (found == nodes_.end()) continue;
    if (weigh(id, found->second))
      for (const auto& need : found->second.dependencies) upward.emplace(nodes_.at(need).info.revision, need);
    drop_if_idle(id);
  }
}

// Whether rank or goal changed for the sake of a job that needs this one.
bool DependencyGraph::take_over(Node& node, const Node& later) const {
  const bool higher = later.priority > node.priority;
  if (higher) node.priority = later.priority;
  const bool sooner = later.goal.latest() - later.info.duration_s < node.goal.latest();
  if (sooner)
    node.goal = {later.goal.job_id, later.goal.deadline_at, later.goal.downstream_s + later.info.duration_s};
  return higher || sooner;
}

// Rank and goal anew; whether they changed.
bool DependencyGraph::weigh(const JobId& id, Node& node) const {
  const auto priority = std::exchange(node.priority, node.info.priority);
  const auto goal = std::exchange(
      node.goal, std::isinf(node.info.deadline_at) ? Goal{} : Goal{id, node.info.deadline_at, 0});
  for (const auto& later : node.dependents)
    if (const auto* next = find(later); !next->cancelled) take_over(node, *next);
  return priority != node.priority || goal != node.goal;
}

// Kept are live jobs that wait, and what they name.
void DependencyGraph::drop_if_idle(const JobId& id) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end() || found->second.waits || !found->second.dependents.empty()) return;
  if (found->second.info.state == State::unknown) --unknown_;
  nodes_.erase(found);
}

bool DependencyGraph::is_ready(const JobId& id) const {
  const auto* node = find(id);
  return node == nullptr || (node->open == 0 && !node->cancelled);
}

bool DependencyGraph::is_cancelled(const JobId& id) const {
  const auto* node = find(id);
  return node != nullptr && node->cancelled;
}

// One unknown job must leave those that do not need it alone.
bool DependencyGraph::may_be_cancelled(const JobId& id) const {
  if (unknown_ == 0 || is_ready(id) || is_cancelled(id)) return false;
  std::set<JobId> seen{id};
  std::vector<JobId> look{id};
  while (!look.empty()) {
    const auto& node = nodes_.at(look.back());
    look.pop_back();
    if (node.info.state == State::unknown) return true;
    for (const auto& need : node.dependencies)
      if (seen.insert(need).second) look.push_back(need);
  }
  return false;
}

bool DependencyGraph::was_accepted(const JobId& id) const {
  const auto* node = find(id);
  return node != nullptr && node->info.state != State::unknown && node->info.state != State::missing;
}

bool DependencyGraph::has_dependents(const JobId& id) const {
  const auto* node = find(id);
  return node != nullptr && !node->dependents.empty();
}

wire::KeyRevision DependencyGraph::ready_revision(const JobId& id) const {
  const auto* node = find(id);
  return node == nullptr ? wire::KeyRevision{0} : node->ready_revision;
}

double DependencyGraph::ready_at(const JobId& id) const {
  const auto* node = find(id);
  return node == nullptr ? 0 : node->ready_at;
}

wire::Priority DependencyGraph::effective_priority(const JobId& id, wire::Priority own) const {
  const auto* node = find(id);
  return node == nullptr ? own : std::max(own, node->priority);
}

DependencyGraph::Goal DependencyGraph::effective_deadline(const JobId& id) const {
  const auto* node = find(id);
  return node == nullptr ? Goal{} : node->goal;
}

std::vector<JobId> DependencyGraph::unmet_dependencies(const JobId& id, std::size_t most,
                                                       std::size_t& count) const {
  std::vector<JobId> open;
  count = 0;
  const auto* node = find(id);
  if (node == nullptr) return open;
  count = node->open;
  for (const auto& need : node->dependencies) {
    if (open.size() >= most) break;
    if (nodes_.at(need).info.state != State::done) open.push_back(need);
  }
  return open;
}

}  // namespace bankhill::model
