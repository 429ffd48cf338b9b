#include "sim/world.hpp"

#include <algorithm>

#include "sim/controller.hpp"

namespace bankhill::sim {

using net::Request;

World::World(std::uint64_t seed, int controllers, Timing timing)
    : node_count_(controllers > 0 ? controllers : kNodes),
      timing_(timing),
      random_(seed),
      log_(sim_log(*this, "world")),
      settings_(site_settings(0, node_count_, false, timing)),
      settings_next_(site_settings(0, node_count_, true, timing)),
      limits_(settings_),
      nodes_(static_cast<std::size_t>(node_count_)) {
  // Not as the controllers read them: what they get wrong must show.
  settings_next_.state_write_rps = kNextWriteRps;
  settings_next_.state_value_kb = kNextValueKb;
  settings_next_.state_txn_ops = kNextTxnOps;
  address_of = [](const std::string& host) { return host; };
  to_node = [this](int node, Request request, net::Reply reply) {
    if (!nodes_[static_cast<std::size_t>(node)]) return reply({});
    on_node(node, [this, node, request = std::move(request), reply = std::move(reply)] {
      if (auto& there = nodes_[static_cast<std::size_t>(node)]) there->node.handle(request, reply);
    });
  };
  for (int node = 0; node < controllers; ++node) boot_node(node);
}

World::~World() = default;

void World::at(double time, std::function<void()> work) { queue_.push({time, order_++, std::move(work)}); }

void World::run(double until) {
  while (!queue_.empty() && queue_.top().time <= until) {
    auto work = std::move(const_cast<Event&>(queue_.top()).work);
    now_ = std::max(now_, queue_.top().time);
    queue_.pop();
    expire_holds();
    work();
    ++steps_;
    check_step();
  }
  now_ = until;
}

void World::boot_node(int node) {
  auto& slot = nodes_[static_cast<std::size_t>(node)];
  if (slot) return;
  slot = std::make_unique<Controller>(*this, node, random_());
  slot->node.start();
}

std::set<std::string> World::awaited_starts() const {
  std::set<std::string> hosts;
  for (const auto& [id, start] : direct_starts_) hosts.insert(start.host);
  return hosts;
}

int World::leaders() const {
  return static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(),
                                        [](const auto& node) { return node && node->node.leading(); }));
}

int World::leader() const {
  for (int node = 0; node < node_count_; ++node)
    if (const auto& there = nodes_[static_cast<std::size_t>(node)]; there && there->node.leading())
      return node;
  return -1;
}

const policy::Policy* World::policy(int node) const {
  const auto& there = nodes_[static_cast<std::size_t>(node)];
  return there ? &there->node.policy() : nullptr;
}

void World::check_step() {
  check_room_made();
  check_replicas();
  check_owners();
  check_stranded();
  if (steps_ % 16 == 0 && troubled()) step_troubled_at_ = now_;
  // Invariant 2.
  if (leaders() > 1) violate("two_leaders", std::to_string(leaders()) + " controllers may give orders");
  if (steps_ % 512 == 0) check_records();
  if (steps_ % 128 == 0) check_forgotten();
  if (steps_ % 512 == 0) check_cutoffs();
  if (steps_ % 64 == 0 && chance(0.05)) ask_unknown();
  if (steps_ % 64 == 0 && chance(0.01)) wait_for_unknown();
  for (const auto& [host, machine] : machines_) {
    if (!machine.up || machine.dead) continue;
    for (const auto& [member, task] : machine.tasks) {
      const auto& job = jobs_.at(member.job.value);
      if (job.told_cancelled > 0 && now_ > job.told_cancelled + settings_.cancel_s &&
          machine.on(member, now_, settings_.lease_s))
        violate("ran_cancelled", member.text() + " on " + host);
    }
  }
}

std::string listing(const std::vector<std::string>& broken) {
  std::string text;
  for (const auto& item : broken) text += item + "\n";
  return text;
}

}  // namespace bankhill::sim
