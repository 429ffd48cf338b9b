#include "sim/world.hpp"

#include <spdlog/pattern_formatter.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bankhill::sim {

using net::Method;
using net::Request;
using net::Response;
using wire::ExitCause;
using wire::Json;
using wire::MemberId;
using wire::MemberPhase;

namespace {
constexpr double kWall = 1.8e9;
constexpr double kReportDrop = 4;
constexpr double kListLag = 5;
constexpr double kCopyLeases = 6;     // copies of reports are kept for so long
constexpr double kPhantomLeases = 3;  // after its end a machine may still be recorded, behind an outage
constexpr double kForgottenS = 75;    // the operators' rule
constexpr double kStrandedS = 90;     // likewise
constexpr double kStrandedLook = 1;   // seconds between two looks for it
constexpr double kMuteLeases = 0.6;   // reports that fail to come for so long show a mute machine
constexpr double kNoticedLate = 0.5;  // by which a message is late before its link counts as slow
constexpr double kLearnS = 1;         // in which a leader that nothing hinders reads what was committed
// A machine that goes on takes the answer that waits in its socket, then the held commands, and only then
// looks at its lease: the order that lets most be executed.
constexpr double kGoesOnCommands = 0.01;
constexpr double kGoesOnLease = 0.02;
constexpr std::size_t kBurstHangs = 8;
constexpr double kBurstS = 0.2;
constexpr double kNextWriteRps = 60;
constexpr double kNextValueKb = 2;
constexpr std::size_t kNextTxnOps = 8;
const std::vector<std::string> kZones = {"za", "zb"};

app::Settings site(int node, int count, bool announced, const Timing& timing) {
  Json params{{"teams",
               {{{"name", "red"}, {"cpus", 16}, {"cpus_max", 40}},
                {{"name", "blue"}, {"cpus", 12}, {"cpus_max", 24}},
                {{"name", "guest"}, {"cpus", 0}, {"cpus_max", 0}}}},
              {"workers",
               {{"report_s", timing.report_s}, {"lease_s", timing.lease_s}, {"cancel_s", timing.cancel_s}}},
              {"state", {{"rps", 300}, {"write_rps", 100}, {"value_kb", 8}, {"txn_ops", 16}}},
              {"cloud", {{"rps", 10}, {"list_lag_s", kListLag}}}};
  // The sizes and rates of upgrade and tightening are those of a small site, in about the real proportion.
  if (announced)
    params["state"]["next"] = {
        {"write_rps", kNextWriteRps}, {"value_kb", kNextValueKb}, {"txn_ops", kNextTxnOps}};
  Json root{{"host_name", "node-" + std::to_string(node)},
            {"zone", kZones[static_cast<std::size_t>(node) % 2]},
            {"api_addr", "10.0.0.1:80"},
            {"peer_listen", "10.0.0.1:81"},
            {"siblings", Json::array()},
            {"external", {{"cloud", "10.9.0.2:1"}, {"state", "10.9.0.1:1"}}},
            {"params", params}};
  for (int other = 0; other < count; ++other)
    if (other != node)
      root["siblings"].push_back({{"host_name", "node-" + std::to_string(other)}, {"addr", "10.0.0.1:81"}});
  return app::parse_settings(root.dump());
}

Json catalogue() {
  return Json{{"flavors",
               {{{"name", "small"},
                 {"cores", 4},
                 {"accelerators", 0},
                 {"ram_gb", 16},
                 {"local_gb", 30},
                 {"pull_gb_per_s", 1.0},
                 {"rate", 0.4},
                 {"low_price", 0.1},
                 {"boot_s", 8},
                 {"rack_rooms", kZones}},
                {{"name", "large"},
                 {"cores", 16},
                 {"accelerators", 0},
                 {"ram_gb", 64},
                 {"local_gb", 60},
                 {"pull_gb_per_s", 1.0},
                 {"rate", 1.5},
                 {"low_price", 0.4},
                 {"boot_s", 10},
                 {"rack_rooms", {"za"}}}}}};
}

const wire::Amounts& size_of(const std::string& flavor) {
  static const wire::Amounts small{4, 0, 16};
  static const wire::Amounts large{16, 0, 64};
  return flavor == "small" ? small : large;
}

// What a version that ignores the keys and fields of policies makes of an answer of the state service.
std::string as_read_before_policies(const std::string& text) {
  auto body = Json::parse(text, nullptr, false);
  if (!body.is_object()) return text;
  for (const char* list : {"items", "news"}) {
    if (!body.contains(list)) continue;
    Json rest = Json::array();
    for (auto& item : body[list]) {
      const auto key = item.contains("k")       ? item["k"]
                       : item.contains("write") ? item["write"]
                                                : item["delete"];
      if (key.get<std::string>().starts_with(wire::kPolicyKey)) continue;
      if (item.contains("data") && item["data"].is_object()) item["data"].erase("cutoff");
      rest.push_back(std::move(item));
    }
    body[list] = std::move(rest);
  }
  if (body.contains("data") && body["data"].is_object()) body["data"].erase("cutoff");
  return body.dump();
}

std::string node_name(int node) { return "node-" + std::to_string(node); }
}  // namespace

// Shows simulated time in the logs.
class SimTime final : public spdlog::custom_flag_formatter {
 public:
  explicit SimTime(const World& world) : world_(world) {}
  void format(const spdlog::details::log_msg&, const std::tm&, spdlog::memory_buf_t& out) override {
    const auto text = std::to_string(world_.now());
    out.append(text.data(), text.data() + text.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override { return std::make_unique<SimTime>(world_); }

 private:
  const World& world_;
};

runtime::Log sim_log(const World& world, const std::string& name) {
  const char* level = std::getenv("LOG_LEVEL");
  auto log = runtime::make_log(name, level != nullptr ? level : "off");
  auto formatter = std::make_unique<spdlog::pattern_formatter>();
  formatter->add_flag<SimTime>('*', world).set_pattern("%* %n %l %v");
  log->set_formatter(std::move(formatter));
  return log;
}

// ---- loop

SimLoop::SimLoop(World& world, int node, double drift, std::uint64_t seed)
    : world_(world),
      node_(node),
      drift_(drift),
      skew_(world.clock_error * (static_cast<double>(seed % 2001) / 1000 - 1)),
      random_(seed) {}
double SimLoop::now() const { return world_.now() * drift_ + 1000; }
double SimLoop::wall() const { return kWall + world_.now() + skew_; }
void SimLoop::post(std::function<void()> work) {
  world_.at(world_.now(), [this, alive = alive_, work = std::move(work)] {
    if (*alive)
      world_.on_node(node_, [alive, work] {
        if (*alive) work();
      });
  });
}
runtime::Timer SimLoop::after(double seconds, std::function<void()> work) {
  auto armed = std::make_shared<std::function<void()>>(std::move(work));
  world_.at(world_.now() + std::max(0.0, seconds) / drift_,
            [this, alive = alive_, weak = std::weak_ptr<std::function<void()>>(armed)] {
              if (!*alive || weak.expired()) return;
              world_.on_node(node_, [alive, weak] {
                const auto held = weak.lock();
                if (*alive && held) {
                  auto run = std::move(*held);
                  run();
                }
              });
            });
  return armed;
}

// ---- ports of a controller

class SimClient final : public net::Client {
 public:
  SimClient(World& world, int node, SimLoop& loop) : world_(world), node_(node), loop_(loop) {}
  void send(const std::string& address, Request request, double timeout_s, net::Reply reply) override {
    auto once = std::make_shared<net::Reply>(std::move(reply));
    auto answer = [this, once, alive = loop_.alive()](Response response) {
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
        node(loop, sim_log(world, node_name(index)), settings(world, index), seed >> 1, client, client,
             peers) {}
  static app::Settings settings(const World& world, int index) {
    auto result = site(index, world.nodes(), world.announced, world.timing_);
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

bool SimPeers::send(const std::string& node, const wire::Frame& frame) {
  const int target = node.back() - '0';
  if (!world_.nodes_[static_cast<std::size_t>(target)]) return false;
  world_.carry(node_name(node_), node, world_.uniform(0.0002, 0.002),
               [this_world = &world_, target, from = node_name(node_), bytes = wire::encode(frame)] {
                 if (!this_world->nodes_[static_cast<std::size_t>(target)]) return;
                 this_world->on_node(target, [this_world, target, from, bytes] {
                   if (auto& there = this_world->nodes_[static_cast<std::size_t>(target)])
                     there->peers.receive(from, bytes);
                 });
               });
  return true;
}

// 0.3.0 takes a frame of a kind that it does not know for malformed and closes the connection.
void World::check_frame(int node, const wire::Frame& frame) {
  if (const auto* reports = std::get_if<wire::Reports>(&frame)) delegated_ += reports->items.size();
  const bool known_to_all = frame.index() <= 4;
  const auto& controller = nodes_[static_cast<std::size_t>(node)];
  if (!known_to_all && controller && !controller->spreading)
    violate("frame", node_name(node) + " does not know frames of kind " + std::to_string(frame.index()));
}

// ---- world

bool SimMachine::within_lease(double now, double lease_s) const {
  return now - std::max(lease_from, pending_from) <= lease_s;
}

bool SimMachine::on(const MemberId& member, double now, double lease_s) const {
  const auto found = tasks.find(member);
  return up && !dead && within_lease(now, lease_s) && found != tasks.end() &&
         (found->second.phase == MemberPhase::running || found->second.phase == MemberPhase::flushing);
}

World::World(std::uint64_t seed, int controllers, Timing timing)
    : node_count_(controllers > 0 ? controllers : kNodes),
      timing_(timing),
      random_(seed),
      log_(sim_log(*this, "world")),
      settings_(site(0, node_count_, false, timing)),
      settings_next_(site(0, node_count_, true, timing)),
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

void World::serve_state(const Request& request, net::Reply reply) {
  bool answered = true;
  auto response = state_call(0, request, reply, answered);
  if (answered) reply(std::move(response));
}

Response World::serve_machine(const std::string& host, const Request& request) {
  const auto found = machines_.find(host);
  if (found == machines_.end() || !found->second.up) return {503, "{}", std::nullopt};
  return command(found->second, request, now_);
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

void World::on_node(int node, std::function<void()> work) {
  auto& freeze = freezes_[node];
  if (now_ < freeze.until)
    return at(freeze.until, [this, node, work = std::move(work)] { on_node(node, work); });
  if (freeze.pending > 0) {
    freeze.out_delay = std::exchange(freeze.pending, 0);
    freeze.until = now_ + freeze.out_delay;
  }
  work();
  freeze.out_delay = 0;
}

double World::out_delay(const std::string& from) const {
  for (const auto& [node, freeze] : freezes_)
    if (freeze.out_delay > 0 && node_name(node) == from) return freeze.out_delay;
  return 0;
}

void World::crash(int node, double restart_after) {
  freezes_.erase(node);
  nodes_[static_cast<std::size_t>(node)].reset();
  at(now_ + restart_after, [this, node] { boot_node(node); });
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

void World::cut(const std::string& a, const std::string& b, double seconds, bool hold) {
  links_[std::minmax(a, b)] = {now_ + seconds, hold};
}

void World::isolate(int node, double seconds, bool hold) {
  cut(node_name(node), "state", seconds, hold);
  for (int other = 0; other < node_count_; ++other)
    if (other != node) cut(node_name(node), node_name(other), seconds, hold);
}

const policy::Policy* World::policy(int node) const {
  const auto& there = nodes_[static_cast<std::size_t>(node)];
  return there ? &there->node.policy() : nullptr;
}

void World::write(const std::string& key, Json data, bool checked) {
  foreign_ = !checked;
  commit(Json{{"when", Json::array()}, {"writes", {{{"write", key}, {"data", std::move(data)}}}}});
  foreign_ = false;
}

bool World::within_cut_zone(const std::string& end) const {
  if (end == node_name(zone_cut_.node) || end == "workers-" + zone_cut_.zone) return true;
  const auto machine = machines_.find(end);
  return machine != machines_.end() && machine->second.zone == zone_cut_.zone;
}

const World::Link* World::link(const std::string& a, const std::string& b) const {
  if (now_ < zone_cut_.link.until && within_cut_zone(a) != within_cut_zone(b)) return &zone_cut_.link;
  const auto found = links_.find(std::minmax(a, b));
  return found != links_.end() && now_ < found->second.until ? &found->second : nullptr;
}

void World::carry(const std::string& from, const std::string& to, double latency,
                  std::function<void()> deliver, const std::string& body) {
  latency += out_delay(from);
  if (held_up) {
    const double late = held_up(from, to, body);
    if (late > kNoticedLate) disturbed_at_ = std::max(disturbed_at_, now_ + late);
    latency += late;
  }
  const auto* cut = link(from, to);
  if (cut == nullptr) return at(now_ + latency, std::move(deliver));
  // Held packets come when the cut is over, even if the sender has given up.
  if (cut->hold) at(cut->until + latency, std::move(deliver));
}

void World::http(int node, const std::string& address, Request request, net::Reply reply) {
  const auto me = node_name(node);
  const bool state = address == settings_.state;
  const bool cloud = address == settings_.cloud;
  const std::string peer = state ? "state" : cloud ? "cloud" : address;
  const double latency = state   ? (chance(0.02) ? 0.3 : uniform(0.001, 0.005))
                         : cloud ? uniform(0.05, 0.15)
                                 : 0.001;
  const auto& asking = nodes_[static_cast<std::size_t>(node)];
  const bool old = state && asking && asking->before_policies;
  double before = latency;
  double after = latency;
  for (int half = 0; state && now_ < slow_until_ && half < 2; ++half)
    (chance(0.5) ? before : after) += uniform(slow_from_, slow_to_) / 2;
  auto back = [this, me, peer, after, old, reply = std::move(reply)](Response response) {
    if (old) response.body = as_read_before_policies(response.body);
    carry(
        peer, me, after, [reply, response] { reply(response); }, response.body);
  };
  if (state && request.path == "/commit") tell(Moment::committed, node);
  if (!state && !cloud && request.path == "/commands") tell(Moment::ordered, node);
  std::vector<std::uint64_t> starts;
  const auto* cut = link(me, peer);
  if (!state && !cloud && request.path == "/commands" && (cut == nullptr || cut->hold)) {
    const auto body = Json::parse(request.body);
    for (const auto& order : wire::parse_orders(body["orders"]))
      for (const auto& [host, machine] : machines_)
        if (order.verb == wire::Verb::start && address_of(host) == address) {
          starts.push_back(++next_direct_);
          direct_starts_[next_direct_] = {host, order.member, order.try_no,
                                          body["fence"].get<std::uint64_t>(),
                                          body["tenure"].get<std::uint64_t>()};
        }
  }
  const auto body = request.body;
  const auto arrives = [this, node, state, cloud, address, request = std::move(request), back, starts,
                        sent = now_] {
    const auto arrived = [this, starts] {
      for (const auto start : starts) direct_starts_.erase(start);
    };
    if (state) {
      bool answered = true;
      auto response = state_call(node, request, back, answered);
      if (answered) back(std::move(response));
      return;
    }
    if (cloud) return back(cloud_call(request));
    for (auto& [host, machine] : machines_) {
      if (address_of(host) != address || !machine.up || machine.dead) continue;
      if (unheard(node, host, request.body)) return arrived();
      if (now_ >= machine.hung_until) {
        arrived();
        return back(command(machine, request, sent));
      }
      // A hanging machine executes what has arrived when it goes on.
      return at(machine.hung_until + kGoesOnCommands, [this, host = host, request, back, arrived, sent] {
        arrived();
        const auto found = machines_.find(host);
        if (found != machines_.end() && !found->second.dead) back(command(found->second, request, sent));
      });
    }
    arrived();  // nobody is there
  };
  carry(me, peer, before, arrives, body);
}

// ---- state service

void World::drop_hold(std::uint64_t hold) {
  holds_.erase(hold);
  std::vector<std::string> gone;
  for (const auto& [key, entry] : keys_)
    if (entry.hold == hold) gone.push_back(key);
  if (gone.empty()) return;
  ++epoch_;
  for (const auto& key : gone) {
    keys_.erase(key);
    history_.emplace_back(epoch_, Json{{"delete", key}, {"stamp", epoch_}});
  }
  state_changed();
}

void World::expire_holds() {
  const bool down = now_ < state_down_until_;
  if (down) {
    state_was_down_ = true;
    return;
  }
  if (std::exchange(state_was_down_, false))
    for (auto& [hold, life] : holds_) life.second = now_ + life.first;
  std::vector<std::uint64_t> over;
  for (const auto& [hold, life] : holds_)
    if (now_ > life.second) over.push_back(hold);
  for (const auto hold : over) drop_hold(hold);
}

void World::state_changed() {
  auto watchers = std::exchange(watchers_, {});
  for (auto& watcher : watchers) at(now_, std::move(watcher));
}

Json World::news(std::uint64_t after) const {
  Json list = Json::array();
  for (const auto& [epoch, change] : history_)
    if (epoch > after) list.push_back(change);
  return Json{{"epoch", epoch_}, {"news", std::move(list)}};
}

bool World::too_large(const Json& body) const {
  if (body.dump().size() > wire::kMaxBody || body["writes"].size() > limits_.state_txn_ops ||
      body["when"].size() > 4 * limits_.state_txn_ops)
    return true;
  return std::any_of(body["writes"].begin(), body["writes"].end(), [this](const Json& write) {
    return write.contains("data") &&
           static_cast<double>(write["data"].dump().size()) > limits_.state_value_kb * 1024;
  });
}

Response World::commit(const Json& body) {
  if (too_large(body)) {
    ++too_large_refused;
    return {400, R"({"error":"too large"})", std::nullopt};
  }
  for (const auto& write : body["writes"])
    if (write.contains("hold") && !holds_.contains(write["hold"].get<std::uint64_t>()))
      return {400, R"({"error":"no such lease"})", std::nullopt};
  Json failed = Json::array();
  for (const auto& condition : body["when"]) {
    const auto found = keys_.find(condition["k"].get<std::string>());
    if ((found == keys_.end() ? 0 : found->second.stamp) != condition["stamp"].get<std::uint64_t>())
      failed.push_back(condition["k"]);
  }
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"epoch", epoch_}}.dump(), std::nullopt};
  for (const auto& write : body["writes"])
    if (write.contains("write") && untaken.contains(write["write"].get<std::string>()))
      return {400, R"({"error":"too large"})", std::nullopt};
  check_commit(body);
  if (!body["writes"].empty()) {
    const bool vacant = !keys_.contains(wire::kLeaderKey);
    ++epoch_;
    for (const auto& write : body["writes"]) {
      if (write.contains("write")) {
        const auto key = write["write"].get<std::string>();
        keys_[key] = {write["data"], epoch_, write.value("hold", std::uint64_t{0})};
        if (key.starts_with(wire::kRentals)) rentals_recorded_.insert(key.substr(wire::kRentals.size()));
        history_.emplace_back(epoch_, Json{{"write", key}, {"data", write["data"]}, {"stamp", epoch_}});
      } else {
        const auto key = write["delete"].get<std::string>();
        if (keys_.erase(key) > 0) history_.emplace_back(epoch_, Json{{"delete", key}, {"stamp", epoch_}});
      }
    }
    state_changed();
    for (const auto& write : body["writes"])
      if (vacant && write.value("write", "") == wire::kLeaderKey && write["data"].is_object())
        won(wire::parse_leader_record(write["data"]).node.back() - '0');
  }
  return {200, Json{{"epoch", epoch_}}.dump(), std::nullopt};
}

// Some requests get no answer; transactions among them may be carried out, at once or later.
bool World::unanswered(int node, const Request& request) {
  const bool any = chance(0.002);
  if (request.path != "/commit") return any;
  auto body = Json::parse(request.body);
  const auto& writes = body["writes"];
  if (hold_next && std::any_of(writes.begin(), writes.end(), hold_next)) {
    hold_next = nullptr;
    held_back = std::move(body);
    return true;
  }
  if (lose_next && std::any_of(writes.begin(), writes.end(), lose_next)) {
    lose_next = nullptr;
    lost_by = node;
    lost_answers_count += commit(body).status == 200 ? 1U : 0U;
    return true;
  }
  const bool late = now_ < late_until_ && chance(late_share_);
  if (!any && !late) return false;
  if (!late && chance(0.5)) return true;
  const double delay = late && late_at_once_ ? 0.0
                       : late                ? uniform(2, 12)
                       : chance(0.5)         ? 0.0
                                             : uniform(0.5, 15);
  if (late) disturbed_at_ = std::max(disturbed_at_, now_ + delay);
  at(now_ + delay, [this, body = std::move(body)] { late_executed += commit(body).status == 200 ? 1U : 0U; });
  return true;
}

Response World::state_call(int node, const Request& request, const net::Reply& later, bool& answered) {
  const bool refused = refused_until_.contains(node) && now_ < refused_until_[node];
  ++state_requests_[static_cast<int>(now_)];
  if (now_ < state_down_until_ || refused) return {503, "{}", std::nullopt};
  if (unanswered(node, request)) {
    answered = false;
    return {};
  }
  const auto limited = [this](std::optional<net::RateLimit>& limit, double rate, double amount) {
    if (!limit) limit.emplace(rate, rate);
    return !limit->take(now_, amount);
  };
  if (limited(requests_, limits_.state_rps, 1) || chance(at_limit))
    return ++requests_refused, Response{429, "{}", std::nullopt};
  if (request.path == "/commit") {
    const auto body = Json::parse(request.body);
    state_puts_[static_cast<int>(now_)] += body["writes"].size();
    if (no_puts && !body["writes"].empty()) return ++puts_refused, Response{429, "{}", std::nullopt};
    if (unanswered_puts > 0 && body["writes"].size() == 1 &&
        body["writes"][0].value("write", "").starts_with(wire::kJobs)) {
      --unanswered_puts;
      answered = false;
      commit(body);
      return {};
    }
    auto& puts = limits_.state_write_rps < settings_.state_write_rps ? puts_next_ : puts_;
    if (!too_large(body) &&
        limited(puts, limits_.state_write_rps, static_cast<double>(body["writes"].size())))
      return ++puts_refused, Response{429, "{}", std::nullopt};
    return commit(body);
  }
  if (request.path == "/leases") {
    const double ttl = Json::parse(request.body)["ttl_ms"].get<double>() / 1000;
    const auto hold = next_hold_++;
    holds_[hold] = {ttl, now_ + ttl};
    return {200, Json{{"hold", hold}}.dump(), std::nullopt};
  }
  if (request.path.starts_with("/leases/")) {
    const auto hold = std::stoull(request.path.substr(8));
    if (request.method == Method::del) {
      drop_hold(hold);
      return {200, "{}", std::nullopt};
    }
    const auto found = holds_.find(hold);
    if (found == holds_.end()) return {404, "{}", std::nullopt};
    found->second.second = now_ + found->second.first;
    return {200, "{}", std::nullopt};
  }
  if (request.path.starts_with("/watch")) {
    if (node == deaf_node) {
      answered = false;
      return {};
    }
    const auto after = std::stoull(request.path.substr(request.path.find("after=") + 6));
    const double block = std::stod(request.path.substr(request.path.find("block_ms=") + 9)) / 1000;
    if (block == 0 || epoch_ > after) return {200, news(after).dump(), std::nullopt};
    answered = false;
    auto once = std::make_shared<bool>(false);
    auto answer = [this, after, later, once, node] {
      if (std::exchange(*once, true)) return;
      // Open watches wait while the service is out or refuses the node.
      const double until =
          std::max(state_down_until_, refused_until_.contains(node) ? refused_until_[node] : 0.0);
      at(std::max(now_, until), [this, after, later] { later({200, news(after).dump(), std::nullopt}); });
    };
    watchers_.push_back(answer);
    at(now_ + block, answer);
    return {};
  }
  if (request.path.starts_with("/keys?")) {
    Json items = Json::array();
    for (const auto& [key, entry] : keys_)
      items.push_back({{"k", key}, {"data", entry.data}, {"stamp", entry.stamp}});
    return {200, Json{{"items", items}, {"has_next", false}, {"epoch", epoch_}}.dump(), std::nullopt};
  }
  if (node == unread_node || unread.contains(request.path.substr(6))) return {503, "{}", std::nullopt};
  const auto found = keys_.find(request.path.substr(6));
  if (found == keys_.end()) return {404, Json{{"epoch", epoch_}}.dump(), std::nullopt};
  return {200, Json{{"k", found->first}, {"data", found->second.data}, {"stamp", found->second.stamp}}.dump(),
          std::nullopt};
}

// ---- cloud

Response World::cloud_call(const Request& request) {
  if (now_ < cloud_down_until_) return {503, R"({"error":"trouble"})", std::nullopt};
  if (request.path == "/flavors") {
    auto offered = catalogue();
    if (!large_offered) offered["flavors"].erase(1);
    return {200, offered.dump(), std::nullopt};
  }
  if (request.path == "/machines") {
    const auto body = Json::parse(request.body);
    const auto name = body["rental"].get<std::string>();
    // Invariant 3: else a new leader would not know of it. A copy that was held back for long may come when
    // what it asked for is settled and its record gone: the cloud repeats the answer it gave.
    if (!rentals_recorded_.contains(name)) violate("unrecorded", "rental " + name);
    if (!rentals_.contains(name)) {
      const bool spot = body["reclaimable"].get<bool>();
      const auto have =
          std::count_if(machines_.begin(), machines_.end(), [](const auto& m) { return !m.second.dead; });
      int count = std::min<int>(body["count"].get<int>(), most_machines - static_cast<int>(have));
      if (spot && now_ < no_spot_until_) count = 0;
      if (const auto out = zone_out_until_.find(body["rack_room"].get<std::string>());
          out != zone_out_until_.end() && now_ < out->second)
        count = 0;
      if (count <= 0) return {503, R"({"error":"no capacity"})", std::nullopt};
      for (int i = 0; i < count; ++i) {
        const auto& host =
            add_machine(body["flavor"].get<std::string>(), body["rack_room"].get<std::string>(), spot).host;
        rentals_[name].push_back(host);
        const bool quick = quick_boots > 0 && chance(quick_boots);
        if (quick || !chance(0.03))
          at(now_ + (quick ? uniform(0.1, 2) : uniform(2, 14)), [this, host] { boot_machine(host); });
      }
    }
    return {200, Json{{"hosts", rentals_[name]}}.dump(), std::nullopt};
  }
  if (request.path == "/machines/release") {
    const auto body = Json::parse(request.body);
    for (const auto& host : body["hosts"]) erase_machine(host.get<std::string>());
    return {200, "{}", std::nullopt};
  }
  return {200, Json{{"hosts", cloud_list()}, {"has_next", false}}.dump(), std::nullopt};
}

// As it was some seconds ago. What was listed once remains listed until it is gone, and longer by the lag.
Json World::cloud_list() {
  const double lag = lists_lag ? kListLag * uniform(1, 2) : kListLag;
  Json hosts = Json::array();
  const auto add = [&](const SimMachine& machine) {
    const bool up = machine.up && (!lists_lag || now_ - machine.up_since > lag);
    hosts.push_back({{"uid", machine.host},
                     {"address", address_of(machine.host)},
                     {"flavor", machine.flavor},
                     {"rack_room", machine.zone},
                     {"reclaimable", machine.spot},
                     {"phase", machine.dead ? "failed"
                               : up         ? "running"
                                            : "booting"},
                     {"held_s", std::max(0.0, now_ - machine.born - (lists_lag ? lag : 0))}});
  };
  for (auto& [host, machine] : machines_) {
    machine.listed = machine.listed || now_ - machine.born > lag;
    if (machine.listed) add(machine);
  }
  for (const auto& [gone, machine] : lately_gone_)
    if (lists_lag && now_ - gone < lag && machine.listed) add(machine);
  return hosts;
}

SimMachine& World::add_machine(const std::string& flavor, const std::string& zone, bool spot) {
  char host[16];
  std::snprintf(host, sizeof host, "n-%06d", next_host_++);
  SimMachine machine;
  machine.host = host;
  machine.flavor = flavor;
  machine.zone = zone;
  machine.spot = spot;
  machine.born = now_;
  machine.node = pick(node_count_);
  return machines_[host] = machine;
}

void World::erase_machine(const std::string& host) {
  while (!lately_gone_.empty() && now_ - lately_gone_.front().first > 2 * kListLag) lately_gone_.pop_front();
  if (const auto found = machines_.find(host); found != machines_.end())
    lately_gone_.emplace_back(now_, found->second);
  if (machines_.erase(host) > 0) gone_machines_[host] = now_;
}

// ---- workers

void World::boot_machine(const std::string& host) {
  const auto found = machines_.find(host);
  if (found == machines_.end() || found->second.dead) return;
  found->second.up = true;
  found->second.lease_from = found->second.up_since = now_;
  machine_step(host);
}

void World::machine_step(const std::string& host) {
  const auto found = machines_.find(host);
  if (found == machines_.end() || found->second.dead) return;
  auto& machine = found->second;
  at(now_ + 0.25, [this, host] { machine_step(host); });
  if (machine.taken_at > 0 && now_ >= machine.taken_at) {
    erase_machine(host);
    return;
  }
  if (now_ < machine.hung_until + (machine.hung_until > 0 ? kGoesOnLease : 0) || !machine.up) return;
  if (now_ - machine.lease_from > settings_.lease_s) {
    machine.tasks.clear();
    ++machine.tenure;
    machine.lease_from = now_;
    machine.in_flight = false;
    machine.report_wanted = true;
  }
  const bool due = now_ - machine.last_report >= settings_.report_s || machine.report_wanted;
  if (!machine.in_flight && due && now_ - machine.last_report >= 0.5) send_report(machine);
}

void World::want_report(SimMachine& machine) { machine.report_wanted = true; }

wire::Report World::report_of(const SimMachine& machine) const {
  wire::Report report;
  report.host = {machine.host};
  report.address = address_of(machine.host);
  report.flavor = machine.flavor;
  report.rack_room = machine.zone;
  report.reclaimable = machine.spot;
  report.tenure = {machine.tenure};
  report.counter = machine.counter;
  report.fence = {machine.fence};
  if (machine.taken_at > 0) report.warning_s = std::max(0.0, machine.taken_at - now_);
  for (const auto& [member, task] : machine.tasks)
    report.members.push_back({member, task.try_no, task.phase, task.cause, false});
  return report;
}

Request World::report_now(const std::string& host) const {
  return {Method::post, "/v1/report", to_json(report_of(machines_.at(host))).dump()};
}

void World::send_report(SimMachine& machine) {
  machine.in_flight = true;
  machine.report_wanted = false;
  machine.last_report = now_;
  ++machine.counter;
  const auto exchange = ++machine.exchange;
  const auto tenure = machine.tenure;
  const double sent = now_;
  const int node = machine.node;
  const auto zone = "workers-" + machine.zone;
  Request request{Method::post, "/v1/report", to_json(report_of(machine)).dump()};
  const bool mute = now_ < machine.mute_until;
  if (!mute) keep_copy(request.body);
  if (std::any_of(machine.tasks.begin(), machine.tasks.end(),
                  [](const auto& task) { return task.second.phase == MemberPhase::exited; }))
    tell(Moment::exited, node);
  auto next_node = [this, host = machine.host, exchange] {
    const auto found = machines_.find(host);
    if (found == machines_.end() || found->second.exchange != exchange) return;
    found->second.in_flight = false;
    found->second.node = (found->second.node + 1) % node_count_;
    found->second.last_report = now_;  // 1 s later, see below
    found->second.report_wanted = true;
  };
  at(now_ + kReportDrop, [this, host = machine.host, exchange, next_node] {
    const auto found = machines_.find(host);
    if (found != machines_.end() && found->second.exchange == exchange && found->second.in_flight)
      next_node();
  });
  auto receive = [this, host = machine.host, exchange, tenure, sent, next_node](const Response& response,
                                                                                double ordered) {
    const auto found = machines_.find(host);
    if (found == machines_.end() || found->second.dead) return;
    auto& worker = found->second;
    if (worker.exchange != exchange || !worker.in_flight || worker.tenure != tenure) return;
    if (response.status == 421) {
      const auto body = Json::parse(response.body);
      if (!body.contains("controller")) return next_node();
      const int target = body["controller"].get<std::string>().back() - '0';
      if (target == worker.node) return next_node();
      worker.node = target;
      worker.in_flight = false;
      worker.report_wanted = true;
      return;
    }
    if (response.status != 200) return next_node();
    worker.in_flight = false;
    const auto body = Json::parse(response.body);
    const auto fence = body["fence"].get<std::uint64_t>();
    if (fence < worker.fence) return;
    if (fence > worker.fence) want_report(worker);
    worker.fence = fence;
    worker.lease_from = std::max(worker.lease_from, sent);
    execute(worker, wire::parse_orders(body["orders"]), ordered);
  };
  const auto arrives = [this, node, zone, host = machine.host, request, receive, sent] {
    to_node(node, request, [this, zone, node, host, receive, sent](const Response& response) {
      if (response.status == 200 && response.body.find("\"verb\"") != std::string::npos)
        tell(Moment::ordered, node);
      const auto back = [this, node, host, receive, response, sent, ordered = now_] {
        if (unheard(node, host, response.body)) return;
        const auto found = machines_.find(host);
        if (found == machines_.end() || now_ >= found->second.hung_until) return receive(response, ordered);
        // It waits in the socket of the hanging machine, which takes it unless it has given it up by then.
        const double goes_on = found->second.hung_until;
        if (goes_on >= sent + kReportDrop) return;
        if (response.status == 200) found->second.pending_from = sent;
        at(goes_on, [receive, response, ordered] { receive(response, ordered); });
      };
      carry(node_name(node), zone, 0.002, back, response.body);
    });
  };
  if (mute) return;
  if (now_ < held_reports_.until && chance(held_reports_.share)) {
    held_reports_.bodies.push_back(request.body);
    return;
  }
  carry(zone, node_name(node), 0.002 + report_delay, arrives, request.body);
}

bool World::unheard(int node, const std::string& host, const std::string& body) {
  const auto found = machines_.find(host);
  if (found == machines_.end()) return false;
  const auto muted = mute_until_.find(node);
  if (now_ >= found->second.deaf_until && (muted == mute_until_.end() || now_ >= muted->second)) return false;
  if (const auto answer = Json::parse(body, nullptr, false); answer.is_object() && answer.contains("orders"))
    for (const auto& order : wire::parse_orders(answer["orders"]))
      if (order.verb == wire::Verb::start) ++lost_starts[host];
  return true;
}

Response World::command(SimMachine& machine, const Request& request, double sent) {
  const auto body = Json::parse(request.body);
  const auto fence = body["fence"].get<std::uint64_t>();
  ++machine.counter;
  if (fence < machine.fence || body["tenure"].get<std::uint64_t>() != machine.tenure)
    return {409, to_json(report_of(machine)).dump(), std::nullopt};
  if (fence > machine.fence) want_report(machine);
  machine.fence = fence;
  execute(machine, wire::parse_orders(body["orders"]), sent);
  auto answer = to_json(report_of(machine)).dump();
  keep_copy(answer);
  return {200, std::move(answer), std::nullopt};
}

void World::execute(SimMachine& machine, const std::vector<wire::Order>& orders, double sent) {
  for (const auto& order : orders) {
    const auto found = machine.tasks.find(order.member);
    if (order.verb == wire::Verb::start) {
      start(machine, order.member, order.try_no, sent);
    } else if (found == machine.tasks.end() || found->second.try_no != order.try_no) {
      continue;
    } else if (order.verb == wire::Verb::stop) {
      if (found->second.phase == MemberPhase::exited) continue;
      if (const auto job = jobs_.find(order.member.job.value);
          job != jobs_.end() && job->second.spec.shape == wire::Shape::daemon && !job->second.cancel_asked)
        ++service_stops;
      if (found->second.phase == MemberPhase::running) check_replica_stop(order.member);
      note_stop(machine, order.member);
      found->second.phase = MemberPhase::exited;
      found->second.cause = ExitCause::halted;
      want_report(machine);
    } else if (found->second.phase == MemberPhase::exited) {
      check_forget(machine, order);
      machine.tasks.erase(found);
    }
  }
}

void World::start(SimMachine& machine, const MemberId& member, wire::TryNo try_no, double ordered) {
  want_report(machine);
  const auto found = machine.tasks.find(member);
  if (found != machine.tasks.end() && found->second.try_no == try_no) return;
  SimTask task{try_no, MemberPhase::pulling, ExitCause::none, 0, ordered};
  const auto job = jobs_.find(member.job.value);
  if (found != machine.tasks.end() && found->second.phase != MemberPhase::exited) return;  // busy
  wire::Amounts used;
  for (const auto& [other, running] : machine.tasks)
    if (running.phase != MemberPhase::exited) used += jobs_.at(other.job.value).spec.need;
  if (job == jobs_.end()) {
    task.phase = MemberPhase::exited;
    task.cause = ExitCause::no_such;
  } else {
    used += job->second.spec.need;
    if (!used.fits(size_of(machine.flavor))) {
      task.phase = MemberPhase::exited;
      task.cause = ExitCause::no_room;
    }
  }
  machine.tasks[member] = task;
  if (task.phase == MemberPhase::exited) return;
  note_room_used(machine, member);
  if (now_ < machine.mute_until && now_ - machine.mute_since > kMuteLeases * settings_.lease_s)
    ++starts_on_mute;
  const bool cached = !machine.images.insert(job->second.spec.bundle).second;
  at(now_ + (cached ? 0.05 : 1.5),
     [this, host = machine.host, member, try_no] { image_ready(host, member, try_no.value); });
}

void World::image_ready(const std::string& host, const MemberId& member, std::uint64_t try_no) {
  const auto found = machines_.find(host);
  if (found == machines_.end() || found->second.dead) return;
  auto& machine = found->second;
  if (now_ < machine.hung_until)
    return at(machine.hung_until + 0.001,
              [this, host, member, try_no] { image_ready(host, member, try_no); });
  const auto task = machine.tasks.find(member);
  if (task == machine.tasks.end() || task->second.try_no.value != try_no ||
      task->second.phase != MemberPhase::pulling)
    return;
  if (now_ - machine.lease_from > settings_.lease_s) return;  // its session is over
  auto& job = jobs_.at(member.job.value);
  task->second.phase = MemberPhase::running;
  ++starts_;
  if (job.begun == 0) job.begun = now_;
  ++job.starts;
  log_->debug("{} starts on {}", member.text(), host);
  count_cancelled_start(job, task->second.ordered);
  check_start(machine, member);
  want_report(machine);
  // A replica that spans machines shows that a machine is sick.
  const bool fails = (machine.sick || job.broken) && span(member) > 1;
  if (job.spec.shape == wire::Shape::daemon && !fails) return;
  const double run = job.completed.contains(member.index) ? 0.01
                     : machine.sick || job.broken         ? 0.5
                                                          : job.run_s * std::pow(job.longer, member.index);
  at(now_ + run, [this, host, member, try_no] { task_ended(host, member, try_no); });
  end_is_near(job, now_ + run);
}

void World::task_ended(const std::string& host, const MemberId& member, std::uint64_t try_no) {
  const auto found = machines_.find(host);
  if (found == machines_.end() || found->second.dead) return;
  auto& machine = found->second;
  if (now_ < machine.hung_until)
    return at(machine.hung_until + 0.3, [this, host, member, try_no] { task_ended(host, member, try_no); });
  const auto task = machine.tasks.find(member);
  if (task == machine.tasks.end() || task->second.try_no.value != try_no ||
      task->second.phase != MemberPhase::running)
    return;
  auto& job = jobs_.at(member.job.value);
  const bool fails = (machine.sick || job.broken) && !job.completed.contains(member.index);
  task->second.phase = MemberPhase::exited;
  task->second.cause = fails ? ExitCause::error : ExitCause::done;
  if (!fails) job.completed.insert(member.index);
  if (job.completed.size() == job.spec.members && job.completed_at == 0) completed(job);
  if (job.completed.size() == job.spec.members && std::exchange(job.cancel_at_end, false))
    at(now_ + uniform(0, 1.2), [this, uid = job.spec.uid.value] { user_cancel(uid); });
  want_report(machine);
}

// ---- users

void World::user_call(const std::string&, Request request, double timeout, std::function<void(Response)> done,
                      int node) {
  auto once = std::make_shared<bool>(false);
  auto answer = [once, done = std::move(done)](const Response& response) {
    if (!std::exchange(*once, true)) done(response);
  };
  at(now_ + timeout, [answer] { answer({}); });
  const double way = node < 0 ? 0.002 : uniform(0.0002, 0.002);
  if (node < 0) node = pick(node_count_);
  at(now_ + way, [this, node, way, request = std::move(request), answer, asked = now_] {
    to_node(node, request, [this, node, way, answer, request, asked](const Response& response) {
      const double delay = out_delay(node_name(node));
      if (delay > 0)
        at(now_ + delay, [this, request, response, asked] { answer_left(request, response, asked); });
      else
        answer_left(request, response, asked);
      at(now_ + way + delay, [this, node, answer, response] {
        answering_ = node;
        answer(response);
      });
    });
  });
}

void World::submit_random() { submit(random_job()); }

SimJob World::random_job() {
  SimJob job;
  auto& spec = job.spec;
  spec.queue = "any";
  spec.owner = chance(0.5) ? "red" : "blue";
  spec.shape = chance(0.25) ? wire::Shape::daemon : wire::Shape::sweep;
  spec.rank = static_cast<wire::Rank>(pick(4));
  spec.members = static_cast<std::uint32_t>(spec.shape == wire::Shape::daemon ? 1 + pick(2) : 1 + pick(8));
  spec.need = {1.0 + pick(4), 0, 2.0 + pick(4)};
  if (chance(0.15)) {  // many small tasks of a team without guarantee or limit
    spec.owner = "guest";
    spec.shape = wire::Shape::sweep;
    spec.rank = wire::Rank::best_effort;
    spec.members = static_cast<std::uint32_t>(10 + pick(60));
    spec.need = {0.25, 0, 0.5};
  }
  if (chance(0.15)) spec.flavors = std::vector<std::string>{"small"};
  if (chance(0.15)) spec.rack_room = kZones[static_cast<std::size_t>(pick(2))];
  if (!spec.rack_room && chance(0.15)) (chance(0.5) ? spec.together : spec.scatter) = true;
  spec.reclaimable = spec.shape == wire::Shape::sweep && chance(0.7);
  spec.bundle = chance(0.5) ? "img-1" : "img-2";
  spec.size_gb = 1.5;
  job.run_s = uniform(2, 15);
  spec.guess_s = job.run_s * uniform(0.6, 1.4);
  if (chance(0.4)) spec.due_s = spec.guess_s * 3;
  job.broken = chance(0.03);
  return job;
}

// A chain, a diamond or a fan of small jobs, its last one early, late or after the others, cancelled
// anywhere.
void World::submit_pipeline() {
  const auto batch = [this] {
    auto job = random_job();
    job.spec.shape = wire::Shape::sweep;
    job.spec.members = static_cast<std::uint32_t>(1 + pick(4));
    job.spec.due_s.reset();
    job.run_s = uniform(0.5, 6);
    job.spec.guess_s = job.run_s;
    return job;
  };
  std::vector<wire::JobId> earlier;
  for (const auto& [uid, job] : jobs_)
    if (job.accepted && job.spec.shape == wire::Shape::sweep) earlier.push_back(job.spec.uid);
  std::vector<wire::JobId> all;
  std::vector<std::vector<wire::JobId>> layers;
  const int depth = 2 + pick(3);
  for (int layer = 0; layer < depth; ++layer) {
    const int width = layer + 1 == depth ? 1 : 1 + pick(3);
    layers.emplace_back();
    for (int i = 0; i < width; ++i) {
      auto job = batch();
      auto& needs = job.spec.waits_on;
      if (layer > 0) {
        needs = layers[static_cast<std::size_t>(layer) - 1];
        if (needs.size() > 1 && chance(0.3) && layer + 1 < depth) needs.resize(1);
        if (chance(0.3)) needs.push_back(all[static_cast<std::size_t>(pick(static_cast<int>(all.size())))]);
      }
      if (!earlier.empty() && chance(0.25))
        needs.push_back(earlier[static_cast<std::size_t>(pick(static_cast<int>(earlier.size())))]);
      if (layer + 1 == depth) {
        job.late = chance(0.2);
        job.spec.rank = wire::Rank::high;
        job.spec.due_s = 60;
      }
      job.cancel_at_end = chance(0.08);
      const wire::JobId id{submit(std::move(job))};
      layers.back().push_back(id);
      all.push_back(id);
    }
  }
}

bool World::doomed(const SimJob& job, double when, double ago) const {
  std::set<wire::JobId> seen;
  std::vector<wire::JobId> look = job.spec.waits_on;
  while (!look.empty()) {
    const auto id = look.back();
    look.pop_back();
    if (!seen.insert(id).second) continue;
    const auto& other = jobs_.at(id.value);
    if (other.told_cancelled > 0 && other.told_cancelled + ago < when) return true;
    look.insert(look.end(), other.spec.waits_on.begin(), other.spec.waits_on.end());
  }
  return false;
}

// Its own user, or that of a job it needs.
bool World::cancel_asked(const SimJob& job) const {
  return job.cancel_asked ||
         std::any_of(job.spec.waits_on.begin(), job.spec.waits_on.end(),
                     [this](const wire::JobId& need) { return cancel_asked(jobs_.at(need.value)); });
}

std::string World::submit(SimJob job) {
  char uid[24];
  std::snprintf(uid, sizeof uid, "job-%06d", next_job_++);
  job.spec.uid = {uid};
  job.created = now_;
  job.submitted = true;
  const bool cancelled = (job.spec.shape == wire::Shape::daemon || job.broken || chance(0.15)) && !job.kept;
  jobs_[uid] = std::move(job);
  user_submit(uid);
  if (cancelled) at(now_ + uniform(1, 60), [this, u = std::string(uid)] { user_cancel(u); });
  return uid;
}

Response World::ask(int node, Request request) {
  const auto answer = std::make_shared<std::optional<Response>>();
  to_node(node, request, [this, answer, request, asked = now_](const Response& response) {
    answer_left(request, response, asked);
    *answer = response;
  });
  for (const double until = now_ + 5; !*answer && now_ < until;) run(now_ + 0.05);
  return answer->value_or(Response{});
}

void World::user_submit(const std::string& uid) {
  auto& job = jobs_.at(uid);
  // Users name only what was accepted.
  for (const auto& need : job.spec.waits_on) {
    const auto& other = jobs_.at(need.value);
    const bool over = other.told_done || other.told_cancelled > 0;
    if (!other.accepted || (job.late && !over)) return at(now_ + 0.2, [this, uid] { user_submit(uid); });
  }
  user_call(uid, {Method::post, "/submissions", to_json(job.spec).dump()}, 5,
            [this, uid, asked = now_](const Response& response) {
              auto& mine = jobs_.at(uid);
              if (response.status == 200 || response.status == 201) {
                const bool first = !std::exchange(mine.accepted, true);
                check_phase(mine, response, asked);
                if (!first) return;
                mine.status_told = mine.submission_told = now_;
                user_poll(uid);
                at(now_ + uniform(2, 20), [this, uid] { user_submit_again(uid); });
                return;
              }
              if (response.status == 400 || response.status == 422) {
                violate("forgotten", uid + " refused: " + response.body);
                return;
              }
              at(now_ + uniform(1, 2), [this, uid] { user_submit(uid); });
            });
}

// Answers may overtake one another: what counts is what was told before the request was sent.
void World::check_phase(SimJob& job, const Response& response, double asked) {
  const auto phase = Json::parse(response.body)["phase"].get<std::string>();
  const auto& uid = job.spec.uid.value;
  if (job.told_done && job.told_done_at < asked && phase != "done")
    violate("went_back", uid + " was done, now " + phase);
  if (job.told_cancelled > 0 && job.told_cancelled < asked && phase != "cancelled")
    violate("went_back", uid + " was cancelled, now " + phase);
  if (phase == "cancelled") {
    if (!cancel_asked(job)) violate("went_back", uid + " cancelled by nobody");
    if (job.told_cancelled == 0) {
      job.told_cancelled = now_;
      tell(Moment::cancelled, answering_);
    }
  }
  if ((phase == "queued" || phase == "running") && doomed(job, asked, settings_.cancel_s))
    violate("orphaned", uid + " is " + phase);
  if (phase == "done") {
    if (!std::exchange(job.told_done, true)) job.told_done_at = now_;
    if (job.completed.size() < job.spec.members) violate("not_done", uid);
  }
}

void World::user_poll(const std::string& uid) {
  user_call(uid, {Method::get, "/submissions/" + uid, ""}, 2,
            [this, uid, asked = now_](const Response& response) {
              auto& job = jobs_.at(uid);
              if (response.status == 200) {
                job.status_told = now_;
                check_phase(job, response, asked);
              }
              if (response.status == 404) violate("forgotten", uid + " answered 404");
            });
  const auto& job = jobs_.at(uid);
  const bool over = job.told_done || job.told_cancelled > 0;
  at(now_ + (over ? uniform(8, 25) : uniform(2.5, 5)), [this, uid] { user_poll(uid); });
}

// As users do that have lost the answer: what was accepted is answered with its state.
void World::user_submit_again(const std::string& uid) {
  user_call(uid, {Method::post, "/submissions", to_json(jobs_.at(uid).spec).dump()}, 5,
            [this, uid, asked = now_](const Response& response) {
              auto& job = jobs_.at(uid);
              if (response.status == 200) {
                job.submission_told = now_;
                check_phase(job, response, asked);
              }
              if (response.status == 201 || response.status == 400 || response.status == 422)
                violate("forgotten", uid + " submitted again: " + response.body);
            });
  at(now_ + uniform(8, 25), [this, uid] { user_submit_again(uid); });
}

void World::user_cancel(const std::string& uid) {
  auto& job = jobs_.at(uid);
  if (!job.accepted) return at(now_ + 2, [this, uid] { user_cancel(uid); });
  job.cancel_asked = true;
  user_call(uid, {Method::post, "/submissions/" + uid + "/withdraw", "{}"}, 5,
            [this, uid, asked = now_](const Response& response) {
              auto& mine = jobs_.at(uid);
              if (response.status == 200) return check_phase(mine, response, asked);
              at(now_ + 1, [this, uid] { user_cancel(uid); });
            });
}

void World::ask_unknown() {
  user_call("", {Method::get, "/submissions/job-9" + std::to_string(pick(99999)), ""}, 2,
            [this](const Response& response) {
              if (response.status == 200) violate("invented", response.body);
            });
}

void World::wait_for_unknown() {
  auto job = random_job();
  job.spec.shape = wire::Shape::sweep;
  job.spec.uid = {"job-7" + std::to_string(pick(99999))};
  job.spec.waits_on = {{"job-9" + std::to_string(pick(99999))}};
  if (chance(0.2)) job.spec.waits_on = {job.spec.uid};
  user_call("", {Method::post, "/submissions", to_json(job.spec).dump()}, 5,
            [this](const Response& response) {
              if (response.status == 200 || response.status == 201)
                violate("invented", "a job that waits for an unknown one");
            });
}

// ---- faults

void World::kill_machine() {
  for (auto& [host, machine] : machines_)
    if (machine.up && !machine.dead && chance(0.3)) {
      machine.dead = true;
      return;
    }
}
void World::hang_machine(double seconds) {
  for (auto& [host, machine] : machines_)
    if (machine.up && !machine.dead && chance(0.3)) {
      machine.hung_until = now_ + seconds;
      return;
    }
}
int World::cancel_now(int count, double hang_s) {
  std::map<std::string, std::set<std::string>> running;  // and where
  for (const auto& [host, machine] : machines_)
    for (const auto& [member, task] : machine.tasks) {
      const auto job = jobs_.find(member.job.value);
      if (job == jobs_.end() || !machine.on(member, now_, settings_.lease_s)) continue;
      const auto& it = job->second;
      const double least_s = it.run_s * std::min(1.0, it.longer);
      const bool long_to_go =
          it.spec.shape == wire::Shape::daemon || it.begun + least_s > now_ + settings_.cancel_s;
      if (long_to_go && it.accepted && !it.cancel_asked && !it.broken) running[job->first].insert(host);
    }
  std::vector<std::string> chosen;
  for (const auto& [uid, hosts] : running) chosen.push_back(uid);
  std::shuffle(chosen.begin(), chosen.end(), random_);
  chosen.resize(std::min(chosen.size(), static_cast<std::size_t>(std::max(0, count))));
  std::set<std::string> hang;
  for (const auto& uid : chosen) {
    at(now_ + uniform(0, kBurstS), [this, uid] { user_cancel(uid); });
    for (const auto& host : running.at(uid))
      if (hang_s > 0 && hang.size() < kBurstHangs) hang.insert(host);
  }
  for (const auto& host : hang) machines_.at(host).hung_until = now_ + hang_s;
  return static_cast<int>(chosen.size());
}
void World::kill_machines(double share) {
  for (auto& [host, machine] : machines_)
    if (machine.up && chance(share)) machine.dead = true;
}
void World::kill_zone(const std::string& zone, double share) {
  for (auto& [host, machine] : machines_)
    if (machine.up && machine.zone == zone && chance(share)) machine.dead = true;
}
void World::hang_machines(double share, double seconds) {
  for (auto& [host, machine] : machines_)
    if (machine.up && !machine.dead && chance(share)) machine.hung_until = now_ + seconds;
}
void World::deafen_machine(double seconds) {
  for (auto& [host, machine] : machines_)
    if (machine.up && !machine.dead && chance(0.3)) {
      machine.deaf_until = now_ + seconds;
      return;
    }
}
void World::deafen_machines(double share, double seconds, const std::string& zone) {
  for (auto& [host, machine] : machines_)
    if (machine.up && !machine.dead && (zone.empty() || machine.zone == zone) && chance(share))
      machine.deaf_until = now_ + seconds;
}
void World::mute_machines(double share, double seconds, const std::string& zone) {
  for (auto& [host, machine] : machines_)
    if (machine.up && !machine.dead && (zone.empty() || machine.zone == zone) && chance(share))
      std::tie(machine.mute_since, machine.mute_until) = std::pair(now_, now_ + seconds);
}
void World::sicken_machine() {
  for (auto& [host, machine] : machines_)
    if (machine.up && !machine.dead && chance(0.3)) {
      machine.sick = true;
      return;
    }
}
void World::reclaim_wave(double share, double notice) {
  for (auto& [host, machine] : machines_)
    if (machine.spot && machine.up && !machine.dead && chance(share)) {
      machine.taken_at = now_ + std::max(0.01, notice * uniform(0.5, 1.5));
      want_report(machine);
    }
}

void World::keep_copy(const std::string& body) {
  kept_.emplace_back(now_, body);
  while (now_ - kept_.front().first > kCopyLeases * settings_.lease_s) kept_.pop_front();
}

void World::copies_come(double share, double within_s) {
  for (const auto& [sent, body] : kept_)
    if (chance(share))
      at(now_ + uniform(0, within_s), [this, node = pick(node_count_), body = body] {
        copy_comes(node, {Method::post, "/v1/report", body});
      });
}

void World::copy_comes(int node, const Request& report) {
  ++copies_delivered_;
  disturbed_at_ = std::max(disturbed_at_, now_);
  to_node(node, report, [](const Response&) {});
}

void World::copies_at_win(double share, double since, double within_s, bool everywhere) {
  at_win_.push_back({share, since, within_s, everywhere});
}

void World::hold_reports(double share, double for_s, double after_win_s) {
  held_reports_.share = share;
  held_reports_.until = now_ + for_s;
  held_reports_.after_win_s = after_win_s;
}

void World::won(int node) {
  tell(Moment::won, node);
  for (const auto& copies : std::exchange(at_win_, {}))
    for (const auto& [sent, body] : kept_) {
      if (sent < copies.since || !chance(copies.share)) continue;
      const double when = now_ + (chance(0.5) ? 0.001 : uniform(0, copies.within_s));
      for (int other = 0; other < node_count_; ++other)
        if (other == node || copies.everywhere)
          at(when, [this, other, body = body] { copy_comes(other, {Method::post, "/v1/report", body}); });
    }
  const double after = held_reports_.after_win_s;
  for (auto& body : std::exchange(held_reports_.bodies, {}))
    at(now_ + after, [this, node, body = std::move(body)] {
      ++late_reports_;
      to_node(node, {Method::post, "/v1/report", body}, [](const Response&) {});
    });
}

void World::back_at_once(int node) {
  const auto name = node_name(node);
  if (chance(0.5)) {
    const auto other = chance(0.5) ? std::string("state") : node_name(pick(node_count_));
    if (other != name) cut(name, other, uniform(0.05, 2), true);
  }
  const double away = uniform(0.05, 0.9);
  const double when = now_ + uniform(0, 0.5);
  at(when, [this, node, away] { crash(node, away); });
  if (chance(0.5))
    at(when + away + uniform(0.01, 0.95 - away), [this, node] { crash(node, uniform(0.05, 0.9)); });
}

void World::restart_machine(const std::string& host, double away_s, Back how) {
  auto& machine = machines_.at(host);
  disturbed_at_ = std::max(disturbed_at_, now_ + away_s);
  machine.up = machine.in_flight = false;
  machine.tasks.clear();
  ++machine.exchange;
  machine.tenure = how == Back::first_day ? 1 : machine.tenure + 1;
  if (how != Back::next_session) machine.counter = machine.fence = 0;
  at(now_ + away_s, [this, host] {
    const auto found = machines_.find(host);
    if (found == machines_.end()) return;
    found->second.up = true;
    found->second.lease_from = now_;
    found->second.report_wanted = true;
    found->second.last_report = -1;
  });
}

void World::restart_machines(double share) {
  for (auto& [host, machine] : machines_)
    if (machine.up && !machine.dead && now_ >= machine.hung_until && chance(share)) {
      restart_machine(host, uniform(0.05, 0.9), chance(0.5) ? Back::next_session : Back::counts_anew);
      if (chance(0.3))
        at(now_ + 0.95, [this, host = host] {
          if (const auto found = machines_.find(host);
              found != machines_.end() && found->second.up && !found->second.dead)
            restart_machine(host, uniform(0.05, 0.9), Back::next_session);
        });
    }
}

std::string World::stray_machine(const std::string& zone) {
  const auto host = add_machine("small", zone, false).host;
  boot_machine(host);
  return host;
}

void World::random_fault() {
  const double length = uniform(2, 30);
  const bool hold = chance(0.5);
  const auto node = node_name(pick(node_count_));
  const int kind = pick(28);
  log_->info("fault {} for {} s, {}, {}", kind, length, node, hold ? "packets held" : "packets lost");
  switch (kind) {
    case 0:
    case 1:
      return crash(pick(node_count_), uniform(0.5, 6));
    case 2:
      for (int i = 0; i < node_count_; ++i) crash(i, uniform(1, 4));
      return;
    case 3:
      return state_outage(length);
    case 4:
      return refuse(pick(node_count_), length);
    case 5:
      return cloud_outage(length * 1.5);
    case 6:
      return cut(node, "state", length, hold);
    case 7:
      return cut(node, "workers-" + kZones[static_cast<std::size_t>(pick(2))], length, hold);
    case 8:
      for (const auto& [host, machine] : machines_)
        if (chance(0.4)) cut(node, host, length, hold);
      return;
    case 9:
      return cut(node, node_name(pick(node_count_)), length, hold);
    case 10:
      return kill_machine();
    case 11:
      // Just short of the lease, and longer than it.
      return hang_machine(settings_.lease_s * uniform(0.3, 1.6));
    case 12:
      return sicken_machine();
    case 13:
      spot_stockout(length * 2);
      return reclaim_wave(uniform(0.3, 1), chance(0.3) ? 0 : uniform(1, 12));
    case 14:
      return kill_machines(uniform(0.2, 0.6));
    case 15:
      return hang_machines(uniform(0.2, 0.6), settings_.lease_s * uniform(0.3, 1.6));
    case 16:
      return cut(node, "cloud", length, hold);
    case 17:
      // Shorter and longer than the leader's lease, up to longer than the workers'.
      return freeze(pick(node_count_), chance(0.5) ? uniform(0.2, 6) : settings_.lease_s * uniform(0.1, 3));
    case 18:
      return copies_come(uniform(0.02, 0.3), settings_.lease_s * uniform(0.2, 5));
    case 19:
      for (int i = 0; i < node_count_; ++i)
        if (chance(0.4)) back_at_once(i);
      return;
    case 20:
      return restart_machines(uniform(0.1, 0.6));
    case 21:
      // Shorter than the leader's lease, and longer than the workers'.
      return isolate(pick(node_count_), chance(0.3) ? uniform(0.3, 3) : length * uniform(1, 2), hold);
    case 22:
      // Shorter than a lease, and up to several of them.
      return deafen_machine(settings_.lease_s * uniform(0.3, 4));
    case 23:
      return deafen_machines(chance(0.3) ? 1 : uniform(0.3, 0.8), settings_.lease_s * uniform(0.3, 4),
                             chance(0.5) ? "" : kZones[static_cast<std::size_t>(pick(2))]);
    case 24:
      return mute(chance(0.5) ? std::max(0, leader()) : pick(node_count_), length);
    case 25:
      for (int i = 0; i < node_count_; ++i)
        if (chance(0.5)) freeze(i, uniform(0.2, 25));
      return;
    case 26:
      return late_writes(chance(0.3) ? 1 : uniform(0.1, 0.8), length);
    default: {
      // From shorter than any time-out to longer than all.
      const double most = 0.3 * std::exp2(uniform(0, 6));
      return slow_state(chance(0.5) ? 0 : most / 2, most, length);
    }
  }
}

void World::heal() {
  zone_cut_.link.until = std::min(zone_cut_.link.until, now_);
  for (auto& [zone, until] : zone_out_until_) until = std::min(until, now_);
  for (auto& [ends, cut] : links_) cut.until = std::min(cut.until, now_);
  state_down_until_ = std::min(state_down_until_, now_);
  cloud_down_until_ = std::min(cloud_down_until_, now_);
  no_spot_until_ = std::min(no_spot_until_, now_);
  for (auto& [node, until] : refused_until_) until = std::min(until, now_);
  late_until_ = std::min(late_until_, now_);
  for (auto* habit : {&close_until_, &odd_until_, &end_until_}) *habit = std::min(*habit, now_);
  slow_until_ = std::min(slow_until_, now_);
  for (auto& [node, until] : mute_until_) until = std::min(until, now_);
  for (auto& [host, machine] : machines_) machine.deaf_until = std::min(machine.deaf_until, now_);
  for (auto& [host, machine] : machines_) machine.mute_until = std::min(machine.mute_until, now_);
  for (auto& [node, freeze] : freezes_) freeze.pending = 0;
  held_reports_.until = std::min(held_reports_.until, now_);
}

void World::force_start(const MemberId& member, std::size_t index) {
  auto machine = machines_.begin();
  std::advance(machine, static_cast<std::ptrdiff_t>(index));
  machine->second.up = true;
  start(machine->second, member, wire::TryNo{1}, now_);
}

// ---- rules

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

bool World::recorded(const std::string& host) const {
  for (auto key = keys_.lower_bound(wire::kMachines);
       key != keys_.end() && key->first.starts_with(wire::kMachines); ++key)
    if (key->second.data.is_object() &&
        wire::parse_machine_group(key->first.substr(wire::kMachines.size()), key->second.data)
            .hosts.contains(wire::HostId{host}))
      return true;
  return false;
}

void World::tamper(const std::string& key, std::optional<Json> data) {
  ++epoch_;
  if (data) {
    keys_[key] = {*data, epoch_, 0};
    history_.emplace_back(epoch_, Json{{"write", key}, {"data", std::move(*data)}, {"stamp", epoch_}});
  } else {
    keys_.erase(key);
    history_.emplace_back(epoch_, Json{{"delete", key}, {"stamp", epoch_}});
  }
  state_changed();
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

void World::check_start(const SimMachine& machine, const MemberId& member) {
  // Invariant 4: else a new leader would not know that the task may be here.
  if (!unchecked_records && !recorded(machine.host))
    violate("unrecorded", member.text() + " on " + machine.host);
  const auto& job = jobs_.at(member.job.value);
  const auto& spec = job.spec;
  // Invariant 13, and not only that all tasks are complete: that may still lose against a cancellation.
  for (const auto& need : spec.waits_on) {
    const auto record = keys_.find(wire::job_key(need));
    const auto& other = jobs_.at(need.value);
    if (record == keys_.end() || record->second.data["phase"] != "done" ||
        other.completed.size() < other.spec.members || other.told_cancelled > 0)
      violate("too_early", member.text() + " before " + need.value);
  }
  std::map<std::string, double> cores;
  std::string held;
  std::map<std::string, std::uint32_t> zones;
  for (const auto& [host, other] : machines_) {
    for (const auto& [task, state] : other.tasks) {
      if (!other.on(task, now_, settings_.lease_s)) continue;
      const auto& its = jobs_.at(task.job.value).spec;
      cores[its.owner] += its.need.cores;
      if (its.owner == spec.owner)
        held += " " + task.text() + "@" + host + "=" + std::to_string(its.need.cores);
      if (task.job == member.job) ++zones[other.zone];
      if (task == member && host != machine.host)
        violate("ran_twice", member.text() + " on " + host + " and " + machine.host);
    }
  }
  for (const auto& team : settings_.teams)
    if (cores[team.name] > team.limit.cores + 1e-6) violate("quota", team.name + ":" + held);
  check_replica_start(machine, member);
  // Invariant 21: what the next leader would believe.
  const auto bounds = keys_.find(wire::kBoundsKey);
  if (const auto term = keys_.find(wire::kTermKey); bounds != keys_.end() && term != keys_.end()) {
    const auto record = wire::parse_bounds_record(bounds->second.data);
    if (record.term == wire::count_field(term->second.data, "n"))
      for (const auto& [team, bound] : record.teams)
        if (cores[team] > bound.cores + 1e-6) violate("overshoot", team + ":" + held);
  }
  if (spec.flavors &&
      std::find(spec.flavors->begin(), spec.flavors->end(), machine.flavor) == spec.flavors->end())
    violate("wrong_place", member.text() + " on flavor " + machine.flavor);
  if (spec.rack_room && *spec.rack_room != machine.zone)
    violate("wrong_place", member.text() + " in " + machine.zone);
  if (!spec.reclaimable && machine.spot) violate("wrong_place", member.text() + " on spot");
  if (spec.together && zones.size() > 1) violate("wrong_place", member.text() + " not together");
  if (spec.scatter && zones[machine.zone] > (spec.members + 1) / 2)
    violate("wrong_place", member.text() + " not scattered");
}

std::uint32_t World::span(const MemberId& member) const {
  const auto job = jobs_.find(member.job.value);
  if (job == jobs_.end() || job->second.spec.shape != wire::Shape::daemon) return 1;
  const auto found = spans.find(job->second.spec.queue);
  return found == spans.end() ? 1 : found->second;
}

bool World::whole(const std::string& uid, std::uint32_t replica) const {
  const auto wide = span({wire::JobId{uid}, 0});
  for (std::uint32_t i = replica * wide; i < (replica + 1) * wide; ++i)
    if (std::none_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
          return entry.second.on({wire::JobId{uid}, i}, now_, settings_.lease_s);
        }))
      return false;
  return true;
}

std::uint32_t World::whole(const std::string& uid) const {
  const MemberId first{wire::JobId{uid}, 0};
  std::uint32_t count = 0;
  for (std::uint32_t i = 0; i < jobs_.at(uid).spec.members / span(first); ++i) count += whole(uid, i) ? 1 : 0;
  return count;
}

// Invariant 32: a replica's members start on machines of their own, in one zone.
void World::check_replica_start(const SimMachine& machine, const MemberId& member) {
  const auto wide = span(member);
  // A version that knows no replicas places their members one by one.
  const int ruler = leader();
  if (wide < 2 || (ruler >= 0 && !nodes_[static_cast<std::size_t>(ruler)]->spanning && !split_seen)) return;
  for (const auto& [host, other] : machines_)
    for (const auto& [task, state] : other.tasks)
      if (task.job == member.job && task != member && task.index / wide == member.index / wide &&
          other.on(task, now_, settings_.lease_s) && (host == machine.host || other.zone != machine.zone))
        violate("split_replica", member.text() + " on " + machine.host + ", " + task.text() + " on " + host);
}

// Invariant 33: of a job's replicas that serve, a part at most is stopped to go elsewhere, never the last.
void World::check_replica_stop(const MemberId& member) {
  const auto wide = span(member);
  if (wide < 2 || !moves_checked || cancel_asked(jobs_.at(member.job.value))) return;
  const Replica id{member.job.value, member.index / wide};
  if (!whole(id.first, id.second)) return;  // repaired, or its next member
  for (const auto& [host, machine] : machines_)
    for (const auto& [task, state] : machine.tasks)
      if (task.job == member.job && task.index / wide == id.second &&
          (machine.taken_at > 0 || now_ < machine.hung_until || machine.sick))
        return;
  on_move_.insert(id);
  const auto all = jobs_.at(id.first).spec.members / wide;
  const auto moving = std::count_if(on_move_.begin(), on_move_.end(),
                                    [&](const Replica& other) { return other.first == id.first; });
  if (moving > std::max(1, static_cast<int>(all / 4)) || whole(id.first) <= 1)
    violate("too_many_moving", member.text() + ", " + std::to_string(moving) + " of " + std::to_string(all));
}

// Invariant 32: members that run while a peer does not count for nothing, and are stopped in time.
void World::check_replicas() {
  if (spans.empty() || now_ < next_replica_check_) return;
  next_replica_check_ = now_ + 0.5;
  std::map<Replica, std::set<std::uint32_t>> there;
  for (const auto& [host, machine] : machines_)
    for (const auto& [task, state] : machine.tasks)
      if (span(task) > 1 && machine.on(task, now_, settings_.lease_s))
        there[{task.job.value, task.index / span(task)}].insert(task.index);
  std::erase_if(half_since_, [&](const auto& entry) { return !there.contains(entry.first); });
  for (const auto& [id, members] : there) {
    const auto& job = jobs_.at(id.first);
    if (members.size() == span({wire::JobId{id.first}, 0})) {
      half_since_.erase(id);
      on_move_.erase(id);
      continue;
    }
    // Without a leader nobody can know of it.
    if (leaders() != 1 || cancel_asked(job)) {
      half_since_.erase(id);
      continue;
    }
    const auto since = half_since_.emplace(id, now_).first->second;
    if (half_limit_s > 0 && now_ - since > half_limit_s) {
      violate("half_replica", id.first + " replica " + std::to_string(id.second) + ", " +
                                  std::to_string(members.size()) + " there");
      half_since_[id] = now_;
    }
  }
}

void World::check_served(double begin_within_s, double share) {
  struct Count {
    double came = 0;
    double served = 0;
  };
  std::map<std::string, Count> counts;
  std::map<std::string, std::vector<const SimJob*>> classes;
  for (const auto& [uid, job] : jobs_) {
    if (job.broken || cancel_asked(job)) continue;
    const bool served = job.spec.shape == wire::Shape::sweep ? job.told_done : job.begun > 0;
    for (const auto& group : {"class " + job.spec.queue, "team " + job.spec.owner}) {
      ++counts[group].came;
      counts[group].served += served ? 1 : 0;
    }
    if (job.spec.shape == wire::Shape::sweep) classes[job.spec.queue].push_back(&job);
  }
  for (auto& [name, members] : classes) {
    std::sort(members.begin(), members.end(),
              [](const SimJob* a, const SimJob* b) { return a->spec.members > b->spec.members; });
    const auto median = members[members.size() / 2]->spec.members;
    members.resize((members.size() + 9) / 10);
    for (const auto* job : members) {
      if (job->spec.members <= median) continue;
      auto& count = counts["largest of " + name];
      ++count.came;
      count.served += job->told_done ? 1 : 0;
      if (job->begun > 0 ? job->begun - job->created > begin_within_s : now_ - job->created > begin_within_s)
        violate("unserved", job->spec.uid.value + ", of the largest of " + name + ", began after " +
                                (job->begun > 0 ? std::to_string(job->begun - job->created) : "never"));
    }
  }
  for (const auto& [group, count] : counts)
    if (count.served < share * count.came)
      violate("unserved", group + ": " + std::to_string(count.served) + " of " + std::to_string(count.came));
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

// Whether a machine that is well and that the job may use has room for one more of its tasks.
bool World::room_beside(const SimJob& job, const std::map<std::string, double>& team_cores) const {
  const auto& spec = job.spec;
  const auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                 [&](const auto& each) { return each.name == spec.owner; });
  const auto used = team_cores.find(spec.owner);
  if (team == settings_.teams.end() ||
      (used == team_cores.end() ? 0 : used->second) + spec.need.cores > team->limit.cores + 1e-6)
    return false;
  std::map<std::string, std::uint32_t> zones;
  if (spec.together || spec.scatter)
    for (const auto& [host, machine] : machines_)
      for (const auto& [member, task] : machine.tasks)
        if (member.job == spec.uid && task.phase != MemberPhase::exited) ++zones[machine.zone];
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const auto& machine = entry.second;
    if (!machine.up || machine.dead || machine.sick || machine.taken_at > 0) return false;
    if (spec.rack_room && *spec.rack_room != machine.zone) return false;
    if (machine.spot && !spec.reclaimable) return false;
    if (spec.flavors &&
        std::find(spec.flavors->begin(), spec.flavors->end(), machine.flavor) == spec.flavors->end())
      return false;
    const auto here = zones.contains(machine.zone) ? zones.at(machine.zone) : 0U;
    if (spec.together && !zones.empty() && here == 0) return false;
    if (spec.scatter && here >= (spec.members + 1) / 2) return false;
    wire::Amounts want = spec.need;
    for (const auto& [member, task] : machine.tasks)
      if (task.phase != MemberPhase::exited) want += jobs_.at(member.job.value).spec.need;
    return want.fits(size_of(machine.flavor));
  });
}

// The operators' rule: all troubles over, no job waits beside room that it may use. Counted from the world's
// machines, whatever the leader makes of them. Of replicas that span machines it knows nothing.
void World::check_stranded() {
  if (now_ < next_stranded_check_) return;
  next_stranded_check_ = now_ + kStrandedLook;
  if (disturbed()) disturbed_at_ = std::max(disturbed_at_, now_);
  // A machine that died or that tasks fail on may be there for good: it is the moment that counts.
  for (const auto& [host, machine] : machines_)
    if ((machine.dead || machine.sick) && failed_machines_.insert(host).second)
      disturbed_at_ = std::max(disturbed_at_, now_);
  if (now_ < disturbed_at_ + kStrandedLook) return beside_room_.clear();
  std::map<std::string, double> team_cores;
  std::map<std::string, std::uint32_t> on_machines;  // by job: tasks that are neither over nor waiting
  for (const auto& [host, machine] : machines_)
    for (const auto& [member, task] : machine.tasks) {
      const auto& job = jobs_.at(member.job.value);
      if (task.phase == MemberPhase::exited) continue;
      team_cores[job.spec.owner] += job.spec.need.cores;
      if (!job.completed.contains(member.index)) ++on_machines[member.job.value];
    }
  for (const auto& [uid, job] : jobs_) {
    const bool open = job.accepted && !job.told_done && job.told_cancelled == 0 && !job.broken &&
                      span({job.spec.uid, 0}) == 1 && !cancel_asked(job);
    const auto there = on_machines.contains(uid) ? on_machines.at(uid) : 0U;
    const bool waits =
        open && job.completed.size() + there < job.spec.members &&
        std::all_of(job.spec.waits_on.begin(), job.spec.waits_on.end(), [this](const wire::JobId& need) {
          const auto record = keys_.find(wire::job_key(need));
          return record != keys_.end() && record->second.data.is_object() &&
                 record->second.data["phase"] == "done";
        });
    if (!waits || !room_beside(job, team_cores)) {
      beside_room_.erase(uid);
      continue;
    }
    auto& waiting = beside_room_.try_emplace(uid, Waits{now_, job.starts}).first->second;
    if (waiting.starts != job.starts) waiting = {now_, job.starts};
    waited_most_s = std::max(waited_most_s, now_ - waiting.since);
    if (now_ - waiting.since <= kStrandedS) continue;
    violate("stranded", uid + ": " + std::to_string(job.completed.size()) + " done and " +
                            std::to_string(there) + " on machines of " + std::to_string(job.spec.members));
    beside_room_.erase(uid);
  }
}

void World::note_stop(const SimMachine& machine, const MemberId& member) {
  const auto job = jobs_.find(member.job.value);
  if (job == jobs_.end() || cancel_asked(job->second) || job->second.completed.contains(member.index)) return;
  // Not where the task runs elsewhere too, or goes with its machine.
  if (machine.taken_at > 0 || machine.sick || span(member) > 1) return;
  ++made_room;
  room_made_.push_back({machine.host, member, now_});
}

void World::note_room_used(const SimMachine& machine, const MemberId& member) {
  const auto& spec = jobs_.at(member.job.value).spec;
  const auto kind = spec.queue + "/" + std::to_string(static_cast<int>(spec.rank));
  std::erase_if(room_made_, [&](const RoomMade& made) {
    // What does not rank above it takes no room that was made: it finds some beside.
    if (made.host != machine.host || spec.rank <= jobs_.at(made.member.job.value).spec.rank) return false;
    const auto [last, first] = made_room_for_.try_emplace(made.member, kind);
    if (!first && last->second == kind) {
      ++made_room_again;
      log_->debug("{} made room for {} again", made.member.text(), kind);
    }
    last->second = kind;
    return true;
  });
}

void World::check_room_made() {
  for (; !room_made_.empty() && now_ - room_made_.front().at > room_used_within_s; room_made_.pop_front()) {
    ++made_room_in_vain;
    log_->debug("{} was stopped on {} in vain", room_made_.front().member.text(), room_made_.front().host);
  }
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
