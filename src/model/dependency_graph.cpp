#include "model/dependency_graph.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bankhill::model {

using wire::JobId;

DependencyInfo dependency_info(wire::JobState phase, wire::KeyRevision revision) {
  DependencyInfo info;
  info.state = phase == wire::JobState::accepted ? DependencyInfo::State::accepted
               : phase == wire::JobState::done   ? DependencyInfo::State::done
                                                 : DependencyInfo::State::cancelled;
  info.revision = revision;
  return info;
}

DependencyInfo missing_dependency() {
  DependencyInfo info;
  info.state = DependencyInfo::State::missing;
  return info;
}

const DependencyGraph::Node* DependencyGraph::find(const JobId& id) const {
  const auto found = nodes_.find(id);
  return found == nodes_.end() ? nullptr : &found->second;
}

void DependencyGraph::add(const JobId& id, const DependencyInfo& info, const std::vector<JobId>& dependencies,
                          bool incomplete, const LookUp& look_up) {
  auto [entry, inserted] = nodes_.try_emplace(id);
  auto& node = entry->second;
  if (node.has_dependencies) return;
  if (!inserted && node.info.state == State::unknown) --unknown_count_;
  node.info = info;
  node.has_dependencies = true;
  node.dependencies = dependencies;
  node.unmet_count = incomplete ? 1 : 0;
  bool any_cancelled = false;
  for (const auto& dependency : dependencies) {
    auto [upstream_entry, added] = nodes_.try_emplace(dependency);
    auto& upstream = upstream_entry->second;
    if (added) {
      upstream.info = look_up(dependency);
      upstream.cancelled = upstream.info.state == State::cancelled;
      if (upstream.info.state == State::unknown) {
        ++unknown_count_;
        unknown_ids_.push_back(dependency);
      }
      recompute_node(dependency, upstream);
    }
    upstream.dependents.insert(id);
    any_cancelled = any_cancelled || upstream.cancelled;
    if (upstream.info.state != State::done) {
      ++node.unmet_count;
      continue;
    }
    node.ready_revision = std::max(node.ready_revision, upstream.info.revision);
    node.ready_at = std::max(node.ready_at, upstream.info.ended_at);
  }
  recompute_node(id, node);
  if (any_cancelled) return cancel_with_dependents(id);
  if (node.unmet_count == 0) updates_.ready.push_back(id);
  propagate(id);
}

void DependencyGraph::update(const JobId& id, const DependencyInfo& info) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end()) return;
  auto& node = found->second;
  const auto before = node.info.state;
  if (before == State::done || before == State::cancelled || info.state == State::unknown) return;
  if (before == State::unknown) --unknown_count_;
  node.info = info;
  if (info.state == State::done) release_dependents(node);
  if (info.state == State::cancelled) cancel_with_dependents(id);
  if (info.state == State::done || info.state == State::cancelled)
    remove_dependencies(id, node);
  else if (recompute_node(id, node))
    propagate(id);
  erase_if_unused(id);
}

std::vector<JobId> DependencyGraph::take_unknown() {
  std::erase_if(unknown_ids_, [this](const JobId& id) {
    const auto* node = find(id);
    return node == nullptr || node->info.state != State::unknown;
  });
  return std::exchange(unknown_ids_, {});
}

// Updates the dependents of a job that is done. The cost is proportional to their number.
void DependencyGraph::release_dependents(const Node& node) {
  for (const auto& id : node.dependents) {
    auto& dependent = nodes_.at(id);
    dependent.ready_revision = std::max(dependent.ready_revision, node.info.revision);
    dependent.ready_at = std::max(dependent.ready_at, node.info.ended_at);
    if (--dependent.unmet_count == 0 && !dependent.cancelled) updates_.ready.push_back(id);
  }
}

// Marks the job and all direct and indirect dependents as cancelled, each once.
void DependencyGraph::cancel_with_dependents(const JobId& first) {
  std::vector<JobId> marked{first};
  UpdateQueue queue;
  while (!marked.empty()) {
    const auto id = std::move(marked.back());
    marked.pop_back();
    auto& node = nodes_.at(id);
    if (std::exchange(node.cancelled, true)) continue;
    if (node.info.state != State::cancelled) updates_.cancelled.push_back(id);
    for (const auto& dependent : node.dependents) marked.push_back(dependent);
    for (const auto& dependency : node.dependencies)
      queue.emplace(nodes_.at(dependency).info.revision, dependency);
  }
  recompute(std::move(queue));
}

// Removes the dependencies of a job that has ended.
void DependencyGraph::remove_dependencies(const JobId& id, Node& node) {
  UpdateQueue queue;
  for (const auto& dependency : std::exchange(node.dependencies, {})) {
    auto& upstream = nodes_.at(dependency);
    upstream.dependents.erase(id);
    queue.emplace(upstream.info.revision, dependency);
  }
  node.has_dependencies = false;
  recompute(std::move(queue));
}

// Propagates the priority and deadline of a job to its direct and indirect dependencies as far as they
// change. Every job was accepted after all jobs that it depends on, so in descending order of acceptance each
// edge is visited once, however many paths there are.
void DependencyGraph::propagate(const JobId& id) {
  UpdateQueue changed{{nodes_.at(id).info.revision, id}};
  while (!changed.empty()) {
    const auto last = std::prev(changed.end());
    const auto& from = nodes_.at(last->second);
    changed.erase(last);
    for (const auto& dependency : from.dependencies)
      if (auto& upstream = nodes_.at(dependency); inherit_from(upstream, from))
        changed.emplace(upstream.info.revision, dependency);
  }
}

// Recomputes the priority and deadline of these jobs, and of the jobs they depend on as far as they change,
// after dependents have ended or were cancelled.
void DependencyGraph::recompute(UpdateQueue queue) {
  while (!queue.empty()) {
    const auto last = std::prev(queue.end());
    const auto id = last->second;
    queue.erase(last);
    const auto found = nodes_.find(id);
    if (found == nodes_.end()) continue;
    if (recompute_node(id, found->second))
      for (const auto& dependency : found->second.dependencies)
        queue.emplace(nodes_.at(dependency).info.revision, dependency);
    erase_if_unused(id);
  }
}

// Raises the priority or tightens the deadline of a node to that of a dependent. Returns whether it changed.
bool DependencyGraph::inherit_from(Node& node, const Node& dependent) const {
  const bool raised = dependent.priority > node.priority;
  if (raised) node.priority = dependent.priority;
  const bool tightened =
      dependent.deadline.latest_end_at() - dependent.info.duration_s < node.deadline.latest_end_at();
  if (tightened)
    node.deadline = {dependent.deadline.job_id, dependent.deadline.deadline_at,
                     dependent.deadline.downstream_s + dependent.info.duration_s};
  return raised || tightened;
}

// Recomputes the priority and deadline of a node from its dependents. Returns whether they changed.
bool DependencyGraph::recompute_node(const JobId& id, Node& node) const {
  const auto priority = std::exchange(node.priority, node.info.priority);
  const auto deadline = std::exchange(node.deadline, std::isinf(node.info.deadline_at)
                                                         ? EffectiveDeadline{}
                                                         : EffectiveDeadline{id, node.info.deadline_at, 0});
  for (const auto& dependent_id : node.dependents)
    if (const auto* dependent = find(dependent_id); !dependent->cancelled) inherit_from(node, *dependent);
  return priority != node.priority || deadline != node.deadline;
}

// Erases a job unless it is live with dependencies or such a job depends on it.
void DependencyGraph::erase_if_unused(const JobId& id) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end() || found->second.has_dependencies || !found->second.dependents.empty()) return;
  if (found->second.info.state == State::unknown) --unknown_count_;
  nodes_.erase(found);
}

bool DependencyGraph::is_ready(const JobId& id) const {
  const auto* node = find(id);
  return node == nullptr || (node->unmet_count == 0 && !node->cancelled);
}

bool DependencyGraph::is_cancelled(const JobId& id) const {
  const auto* node = find(id);
  return node != nullptr && node->cancelled;
}

// A job of unknown state must not affect jobs that do not depend on it.
bool DependencyGraph::may_be_cancelled(const JobId& id) const {
  if (unknown_count_ == 0 || is_ready(id) || is_cancelled(id)) return false;
  std::set<JobId> visited{id};
  std::vector<JobId> pending{id};
  while (!pending.empty()) {
    const auto& node = nodes_.at(pending.back());
    pending.pop_back();
    if (node.info.state == State::unknown) return true;
    for (const auto& dependency : node.dependencies)
      if (visited.insert(dependency).second) pending.push_back(dependency);
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

DependencyGraph::EffectiveDeadline DependencyGraph::effective_deadline(const JobId& id) const {
  const auto* node = find(id);
  return node == nullptr ? EffectiveDeadline{} : node->deadline;
}

std::vector<JobId> DependencyGraph::unmet_dependencies(const JobId& id, std::size_t max_count,
                                                       std::size_t& count) const {
  std::vector<JobId> unmet;
  count = 0;
  const auto* node = find(id);
  if (node == nullptr) return unmet;
  count = node->unmet_count;
  for (const auto& dependency : node->dependencies) {
    if (unmet.size() >= max_count) break;
    if (nodes_.at(dependency).info.state != State::done) unmet.push_back(dependency);
  }
  return unmet;
}

}  // namespace bankhill::model
