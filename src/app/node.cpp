#include "app/node.hpp"

#include <utility>

namespace bankhill::app {

namespace {

leader::Settings leader_settings(const Settings& settings, std::uint64_t incarnation,
                                 const policy::Policy& policy) {
  leader::Settings result;
  result.node = settings.host_name;
  result.incarnation = incarnation;
  result.heartbeat_interval_s = settings.heartbeat_interval_s;
  result.control_interval_s = settings.control_interval_s;
  result.lease_s = settings.lease_s;
  result.max_read_age_s = settings.cancel_budget().max_read_age_s();
  result.gang_wait_s = settings.gang_wait_s;
  result.gang_peer_s = settings.gang_peer_s;
  result.replica_span = settings.span;
  if (!result.replica_span)
    result.replica_span = [&policy](const std::string& team, const std::string& job_class) {
      return policy.span(team, job_class);
    };
  result.list_lag_s = settings.list_lag_s;
  result.controllers = settings.controllers;
  result.max_machines = settings.max_machines();
  result.main_zone = settings.main_zone;
  result.txn_ops = settings.state_txn_ops;
  result.value_kb = settings.state_value_kb;
  result.final_states_kept = settings.own.final_states_kept;
  for (const auto& team : settings.teams) result.teams.push_back({team.name, team.guarantee, team.limit});
  result.completion_targets_s = settings.completion_targets_s;
  result.deadline_multiples = settings.deadline_multiples;
  result.alpha = settings.own.alpha;
  result.phi = settings.own.phi;
  result.round_s = settings.own.round_intervals * settings.control_interval_s;
  result.idle_boots = settings.own.idle_boots;
  result.begin_within_s = settings.own.begin_within_s;
  result.largest_share = settings.own.largest_share;
  return result;
}

std::vector<gateway::TeamLimit> limits(const Settings& settings) {
  std::vector<gateway::TeamLimit> result;
  for (const auto& team : settings.teams) result.push_back({team.name, team.limit});
  return result;
}

std::uint8_t features(const OperatorSettings& own) {
  unsigned result = 0;
  if (own.spread_workers) result |= wire::kFeatureHeartbeatForwarding;
  if (own.sync_progress) result |= wire::kFeatureProgressSync;
  return static_cast<std::uint8_t>(result);
}

std::vector<std::string> names(const Settings& settings) {
  std::vector<std::string> result;
  for (const auto& peer : settings.peers) result.push_back(peer.host_name);
  return result;
}

}  // namespace

Node::Node(runtime::Loop& loop, const runtime::Log& log, const Settings& settings, std::uint64_t incarnation,
           net::Client& client, net::Client& workers, net::PeerTransport& peers)
    : features_(features(settings.own)),
      store_(loop, client, log, settings.state,
             {settings.state_requests_per_s, settings.state_writes_per_s, settings.state_value_kb,
              settings.state_txn_ops, settings.controllers}),
      follower_(loop, log, store_, settings.policy, settings.control_interval_s),
      cloud_(loop, client, log, settings.cloud, settings.cloud_requests_per_s),
      relay_(loop, names(settings), settings.control_interval_s / 6,
             {peers,
              [this](net::Request request, net::Reply reply) {
                route(std::move(request), std::move(reply), true);
              },
              [this] {
                return wire::PeerStatus{leader_.term(), gateway_.is_state_service_available(),
                                        leader_.is_active_leader(), features_};
              },
              [this] { return desk_.load(); },
              [this, &peers](const std::string& node, wire::Frame frame) {
                route_progress(peers, node, std::move(frame));
              },
              [this](const std::string& node, wire::Frame frame) {
                desk_.tell(heartbeat::PeerMessage{node, std::move(frame)});
              }}),
      elector_(
          loop, store_, log, settings.host_name, incarnation,
          election::timing_from(settings.cancel_budget().leader_ttl_s()),
          [this](election::LeaseValidity validity) {
            leader_.tell(leader::LeaseGranted{validity.lease_id, validity.valid_until});
          },
          [this] { return relay_.any_peer(); }),
      progress_(
          loop, log,
          {settings.host_name, incarnation, relay_, peers, [this] { return leader_.is_active_leader(); },
           [this](const wire::ProgressRequest& request) { ask_own_leader(request); },
           settings.own.sync_progress}),
      leader_(loop, log, leader_settings(settings, incarnation, follower_.policy()),
              {store_, cloud_, workers, [this] { elector_.tell(election::RaiseTerm{}); },
               [this] { elector_.tell(election::Resign{}); }, [this] { return relay_.any_peer(); },
               [this] { return relay_.peer_led_at(); },
               [this](wire::ProgressUpdate update, double as_of) {
                 for (const auto& entry : update.entries) relay_.tell(net::Broadcast{entry.progress});
                 progress_.tell(gateway::LocalProgress{std::move(update), as_of});
               }}),
      desk_(loop, log,
            {settings.host_name, settings.zone, settings.heartbeat_interval_s, settings.control_interval_s,
             static_cast<double>(settings.share_of_sockets(settings.own.worker_sockets)),
             settings.own.spread_workers},
            {relay_, peers, [this] { return leader_.is_active_leader(); },
             [this](wire::Heartbeat heartbeat, std::uint64_t base, net::HeartbeatReply reply,
                    net::HeartbeatRoute via, const std::string& by) {
               leader_.tell(leader::HeartbeatReceived{std::move(heartbeat), base, std::move(reply), via, by});
             }}),
      gateway_(loop, log, store_, relay_, progress_, follower_.policy(), limits(settings),
               settings.own.final_states_kept) {
  peers.listen([this](const std::string& node, wire::Frame frame) {
    relay_.tell(net::Received{node, std::move(frame)});
  });
  // Before those who decide by it.
  store_.subscribe([this](const state::Changes& changes) { follower_.tell(policy::StoreChanged{changes}); });
  store_.subscribe([this](const state::Changes& changes) { elector_.tell(election::StoreChanged{changes}); });
  store_.subscribe([this](const state::Changes& changes) { leader_.tell(leader::StoreChanged{changes}); });
  store_.subscribe([this](const state::Changes& changes) { desk_.tell(heartbeat::StoreChanged{changes}); });
  store_.subscribe(
      [this](const state::Changes& changes) { progress_.tell(gateway::LeaderRecordChanges{changes}); });
  store_.subscribe([this](const state::Changes& changes) { gateway_.tell(gateway::StoreChanged{changes}); });
}

void Node::start() {
  store_.start();
  follower_.start();
  elector_.start();
  leader_.start();
  relay_.start();
  progress_.start();
  desk_.start();
}

void Node::route_progress(net::PeerTransport& peers, const std::string& node, wire::Frame frame) {
  const auto* request = std::get_if<wire::ProgressRequest>(&frame);
  if (request == nullptr) return progress_.tell(gateway::PeerProgress{node, std::move(frame)});
  leader_.tell(leader::ProgressRequested{*request, [&peers, node](wire::ProgressUpdate update, double) {
                                           peers.send(node, std::move(update));
                                         }});
}

void Node::ask_own_leader(const wire::ProgressRequest& request) {
  leader_.tell(leader::ProgressRequested{request, [this](wire::ProgressUpdate update, double as_of) {
                                           progress_.tell(gateway::LocalProgress{std::move(update), as_of});
                                         }});
}

void Node::route(net::Request request, net::Reply reply, bool relayed) {
  if (request.path == "/v1/report") {
    if (request.method != net::Method::post) return reply({405, "{}", std::nullopt});
    return desk_.tell(heartbeat::HeartbeatRequest{std::move(request), std::move(reply), relayed});
  }
  gateway_.tell(gateway::UserRequest{std::move(request), std::move(reply), relayed});
}

}  // namespace bankhill::app
