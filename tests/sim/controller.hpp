// A controller of the simulated site: the program's own node over simulated clock, network and log.
#pragma once

#include <functional>
#include <string>

#include "sim/site.hpp"
#include "sim/world.hpp"

namespace bankhill::sim {

// A log whose lines show simulated time; LOG_LEVEL says how much of it is printed, by default nothing.
runtime::Log sim_log(const World& world, const std::string& name);

// The network as a controller's requests to state service, cloud and machines see it.
class SimClient final : public net::Client {
 public:
  SimClient(World& world, int node, SimLoop& loop) : world_(world), node_(node), loop_(loop) {}
  void send(const std::string& address, net::Request request, double timeout_s, net::Reply reply) override {
    auto once = std::make_shared<net::Reply>(std::move(reply));
    auto answer = [this, once, alive = loop_.alive()](net::Response response) {
      if (!*alive || !*once) return;
      world_.on_node(node_, [once, alive, response = std::move(response)] {
        if (!*alive || !*once) return;
        auto run = std::exchange(*once, nullptr);
        run(response);
      });
    };
    world_.at(world_.now() + timeout_s, [answer] { answer({}); });
    world_.http(node_, address, std::move(request), answer);
  }

 private:
  World& world_;
  int node_;
  SimLoop& loop_;
};

// Connections to the other controllers.
class SimPeers final : public net::PeerPort {
 public:
  SimPeers(World& world, int node) : world_(world), node_(node) {}
  bool send(const std::string& node, const wire::Frame& frame) override;
  void listen(std::function<void(const std::string&, wire::Frame)> receiver) override {
    receiver_ = std::move(receiver);
  }
  void receive(const std::string& from, const std::string& bytes) {
    wire::FrameReader reader;
    reader.append(bytes);
    while (auto frame = reader.next()) {
      world_.check_frame(node_, *frame);
      receiver_(from, std::move(*frame));
    }
    if (reader.error() != wire::FrameError::none) world_.violate("frame", "malformed, from " + from);
  }

 private:
  World& world_;
  int node_;
  std::function<void(const std::string&, wire::Frame)> receiver_;
};

struct World::Controller {
  Controller(World& world, int index, std::uint64_t seed)
      : spreading(world.spreading),
        spanning(world.spanning),
        before_policies(world.before_policies.contains(index)),
        loop(world, index, 1 + (static_cast<int>(seed % 3) - 1) * 0.0005, seed),
        client(world, index, loop),
        peers(world, index),
        node(loop, sim_log(world, controller_name(index)), settings(world, index), seed >> 1, client, client,
             peers) {}
  static app::Settings settings(const World& world, int index) {
    auto result = site_settings(index, world.nodes(), world.announced, world.timing_);
    if (const auto file = world.operator_files.find(index);
        file != world.operator_files.end() && !world.before_policies.contains(index))
      app::read_operator_settings(file->second, result);
    result.own.final_states_kept = world.states_kept;
    result.own.spread_workers = world.spreading;
    if (world.spanning)
      result.span = [&world](const std::string&, const std::string& queue) {
        const auto found = world.spans.find(queue);
        return found == world.spans.end() ? 1U : found->second;
      };
    return result;
  }
  bool spreading;
  bool spanning;
  bool before_policies;
  SimLoop loop;
  SimClient client;
  SimPeers peers;
  app::Node node;
};

}  // namespace bankhill::sim
