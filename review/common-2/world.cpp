#include "world.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>

extern char** environ;

namespace review {

namespace {
constexpr std::size_t kBody = 64 * 1024;
constexpr std::size_t kHistory = 10000;
constexpr std::uint64_t kListItems = 1000;
constexpr std::size_t kListBytes = 512 * 1024;

double steady() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

// Below the range that outgoing connections take their ports from, so that a controller that is started
// again finds its port free.
int free_port() {
  static std::mt19937 random(std::random_device{}());
  static std::set<int> taken;
  for (int attempt = 0; attempt < 1000; ++attempt) {
    const int port = 16000 + static_cast<int>(random() % 16000);
    if (taken.contains(port)) continue;
    const int id = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool free = bind(id, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(id);
    if (!free) continue;
    taken.insert(port);
    return port;
  }
  std::cerr << "no free port\n";
  std::_Exit(2);
}

std::string body_of(evbuffer* buffer) {
  std::string text(evbuffer_get_length(buffer), '\0');
  if (!text.empty()) evbuffer_copyout(buffer, text.data(), text.size());
  return text;
}

std::string query(const std::string& uri, const std::string& name) {
  const auto mark = uri.find('?');
  std::string rest = mark == std::string::npos ? "" : uri.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto part = rest.substr(0, end);
    const auto equal = part.find('=');
    if (part.substr(0, equal) == name && equal != std::string::npos) return part.substr(equal + 1);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
  }
  return "";
}

std::string path_of(const std::string& uri) { return uri.substr(0, uri.find('?')); }

struct Later {
  std::function<void()> work;
  event* item = nullptr;
};

void run_later(evutil_socket_t, short, void* context) {
  std::unique_ptr<Later> later(static_cast<Later*>(context));
  event_free(later->item);
  later->work();
}

struct Call {
  std::function<void(int, std::string)> done;
  evhttp_connection* own = nullptr;  // freed when the call ends
  event_base* base = nullptr;
};

void call_ended(evhttp_request* request, void* context) {
  std::unique_ptr<Call> call(static_cast<Call*>(context));
  int status = 0;
  std::string body;
  if (request != nullptr) {
    status = evhttp_request_get_response_code(request);
    body = body_of(evhttp_request_get_input_buffer(request));
  }
  if (call->own != nullptr) {
    // Not within its own callback.
    auto* later = new Later{[own = call->own] { evhttp_connection_free(own); }, nullptr};
    later->item = event_new(call->base, -1, 0, run_later, later);
    const timeval none{0, 0};
    event_add(later->item, &none);
  }
  call->done(status, body);
}

void send_on(evhttp_connection* connection, const std::string& method, const std::string& path,
             const std::string& body, Call* call) {
  auto* request = evhttp_request_new(call_ended, call);
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", "127.0.0.1");
  const bool post = method == "POST";
  if (post) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  }
  if (evhttp_make_request(connection, request, post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path.c_str()) != 0)
    call_ended(nullptr, call);
}

std::string task_key(const std::string& member, std::uint64_t attempt) {
  return member + "#" + std::to_string(attempt);
}
}  // namespace

bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

World::World(SiteOptions options, std::string record_path)
    : options_(std::move(options)), base_(event_base_new()), began_(steady()) {
  signal(SIGPIPE, SIG_IGN);
  alarm(118);
  const char* folder = std::getenv("REVIEW_FOLDER");
  folder_ = folder != nullptr ? folder : "/tmp";
  record_.open(record_path, std::ios::trunc);
  request_tokens_ = options_.state_rps;
  write_tokens_ = options_.write_rps;
  cloud_tokens_ = 2 * options_.cloud_rps;
  auto hook = [this](std::size_t index, const std::string& host) {
    hooks_.push_back(std::make_unique<Hook>(Hook{this, index, host}));
    return hooks_.back().get();
  };
  cloud_ = serve(cloud_port_, hook(0, ""), [](evhttp_request* request, void* context) {
    static_cast<Hook*>(context)->world->on_cloud(request);
  });
  nodes_.resize(options_.node_zones.size());
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].api = free_port();
    nodes_[i].peer = free_port();
    nodes_[i].state = serve(nodes_[i].state_port, hook(i, ""), [](evhttp_request* request, void* context) {
      auto* self = static_cast<Hook*>(context);
      self->world->on_state(self->index, request);
    });
  }
  tick();
}

void World::leave(int code, const std::string& verdict) {
  note("verdict: " + verdict + " (exit code " + std::to_string(code) + ")");
  std::cout << verdict << "\n";
  std::cout.flush();
  for (auto& node : nodes_) {
    if (node.pid <= 0) continue;
    kill(node.pid, SIGKILL);
    int status = 0;
    waitpid(node.pid, &status, 0);
  }
  record_.flush();
  std::_Exit(code);
}

double World::now() const { return steady() - began_; }

void World::note(const std::string& text) {
  char stamp[32];
  std::snprintf(stamp, sizeof stamp, "%8.3f ", now());
  record_ << stamp << text << "\n";
  record_.flush();
}

evhttp* World::serve(int& port, Hook* hook, void (*handler)(evhttp_request*, void*)) {
  for (int attempt = 0; attempt < 50; ++attempt) {
    port = free_port();
    auto* server = evhttp_new(base_);
    evhttp_set_allowed_methods(server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
    evhttp_set_timeout(server, 300);
    if (evhttp_bind_socket(server, "127.0.0.1", static_cast<ev_uint16_t>(port)) == 0) {
      evhttp_set_gencb(server, handler, hook);
      return server;
    }
    evhttp_free(server);
  }
  std::cerr << "no free port\n";
  std::_Exit(2);
}

void World::answer(evhttp_request* request, int status, const Json& body) {
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
  const auto text = body.dump();
  evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
  evhttp_send_reply(request, status, nullptr, nullptr);
}

void World::at(double when, std::function<void()> work) {
  auto* later = new Later{std::move(work), nullptr};
  later->item = event_new(base_, -1, 0, run_later, later);
  const double wait = std::max(0.0, when - now());
  timeval delay{};
  delay.tv_sec = static_cast<time_t>(wait);
  delay.tv_usec = static_cast<suseconds_t>((wait - std::floor(wait)) * 1e6);
  event_add(later->item, &delay);
}

bool World::run_until(double seconds, const std::function<bool()>& reached) {
  while (now() < seconds) {
    if (reached && reached()) return true;
    event_base_loop(base_, EVLOOP_ONCE);
  }
  return reached ? reached() : true;
}

// ---- controllers

void World::start_nodes() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
}

void World::start_node(std::size_t node) {
  auto& self = nodes_[node];
  Json root;
  root["host_name"] = "worker-" + std::to_string(node);
  root["zone"] = options_.node_zones[node];
  root["api_addr"] = loopback(self.api);
  root["peer_listen"] = loopback(self.peer);
  root["siblings"] = Json::array();
  std::set<std::string> zones;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    zones.insert(options_.node_zones[i]);
    if (i != node)
      root["siblings"].push_back({{"host_name", "worker-" + std::to_string(i)},
                                  {"zone", options_.node_zones[i]},
                                  {"addr", loopback(nodes_[i].peer)}});
  }
  root["external"] = {{"cloud", loopback(cloud_port_)}, {"state", loopback(self.state_port)}};
  root["params"] = {
      {"count", nodes_.size()},
      {"zones", zones},
      {"teams", options_.teams},
      {"objectives", options_.objectives},
      {"workers",
       {{"report_s", options_.report_s},
        {"lease_s", options_.lease_s},
        {"gang_wait_s", options_.gang_wait_s},
        {"gang_peer_s", options_.gang_peer_s},
        {"cancel_s", options_.cancel_s}}},
      {"state",
       {{"rps", options_.state_rps},
        {"write_rps", options_.write_rps},
        {"value_kb", options_.value_kb},
        {"txn_ops", options_.txn_ops}}},
      {"cloud", {{"rps", options_.cloud_rps}, {"list_lag_s", options_.list_lag_s}}},
      {"machine_limits", {{"cores", 0.24}, {"ram_mb", 104.0}, {"fd_limit", 3500}}},
      {"clock_error_ms", 1000.0}};
  const auto path = folder_ + "/node-" + std::to_string(node) + ".json";
  std::ofstream(path) << root.dump(1);
  const char* program = std::getenv("BANKHILL");
  if (program == nullptr) {
    std::cerr << "BANKHILL does not name the program\n";
    std::_Exit(2);
  }
  const auto log = folder_ + "/node-" + std::to_string(node) + ".log";
  self.wanted = true;
  self.pid = fork();
  if (self.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with this process, however that ends
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    for (int id = 3; id < 4096; ++id) close(id);
    execl(program, program, "--config", path.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  note("controller " + std::to_string(node) + " started");
}

void World::signal_node(std::size_t node, int number) {
  auto& self = nodes_[node];
  if (self.pid <= 0) return;
  kill(self.pid, number);
  note("controller " + std::to_string(node) + " got signal " + std::to_string(number));
  if (number != SIGKILL) return;
  int status = 0;
  waitpid(self.pid, &status, 0);
  self.pid = 0;
  self.wanted = false;
  self.healthy = false;
}

bool World::node_ended(std::size_t node) {
  auto& self = nodes_[node];
  int status = 0;
  if (self.pid > 0 && waitpid(self.pid, &status, WNOHANG) == self.pid) {
    note("controller " + std::to_string(node) + " ended by itself, status " + std::to_string(status));
    self.pid = 0;
  }
  return self.wanted && self.pid <= 0;
}

bool World::any_healthy() const {
  return std::any_of(nodes_.begin(), nodes_.end(), [](const Node& node) { return node.healthy; });
}

std::string World::leader() const {
  const auto found = key_data_.find("bankhill/leader");
  return found == key_data_.end() ? "" : found->second.value("node", "");
}

void World::probe_health() {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    ask(i, "GET", "/healthz", "", 1, [this, i](const Reply& reply) {
      auto& node = nodes_[i];
      if (reply.status == 200) {
        node.bad = 0;
        ++node.good;
        if (node.good >= 1) node.healthy = true;
      } else {
        node.good = 0;
        if (++node.bad >= 2) node.healthy = false;
      }
    });
}

void World::ask(std::size_t node, const std::string& method, const std::string& path, const std::string& body,
                double timeout_s, std::function<void(Reply)> done) {
  auto* connection = evhttp_connection_base_new(base_, nullptr, "127.0.0.1",
                                                static_cast<unsigned short>(nodes_[node].api));
  timeval limit{};
  limit.tv_sec = static_cast<time_t>(timeout_s);
  limit.tv_usec = static_cast<suseconds_t>((timeout_s - std::floor(timeout_s)) * 1e6);
  evhttp_connection_set_timeout_tv(connection, &limit);
  auto* call = new Call{[done = std::move(done)](int status, const std::string& text) {
                          done({status, Json::parse(text, nullptr, false)});
                        },
                        connection, base_};
  send_on(connection, method, path, body, call);
}

// ---- clockwork

void World::tick() {
  at(now() + 0.05, [this] { tick(); });
  const double time = now();
  const double passed = time - std::exchange(tokens_at_, time);
  request_tokens_ = std::min(options_.state_rps, request_tokens_ + passed * options_.state_rps);
  write_tokens_ = std::min(options_.write_rps, write_tokens_ + passed * options_.write_rps);
  cloud_tokens_ = std::min(2 * options_.cloud_rps, cloud_tokens_ + passed * options_.cloud_rps);
  if (!state_out) {
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : leases_)
      if (time > lease.ends) over.push_back(id);
    for (const auto id : over) end_lease(id);
  } else {
    for (auto& [id, lease] : leases_) lease.ends = time + lease.ttl_s;
  }
  if (time >= next_probe_) {
    next_probe_ = time + 1;
    probe_health();
  }
  for (auto& [host, machine] : machines_) {
    if (!machine.up || machine.failed || time < machine.hung_until) continue;
    if (time - machine.lease_from > options_.lease_s) {
      note(host + ": lease over, " + std::to_string(machine.tasks.size()) + " tasks killed, session " +
           std::to_string(machine.tenure + 1));
      machine.tasks.clear();
      ++machine.tenure;
      machine.lease_from = time;
      machine.wanted = true;
    }
    if (machine.in_flight || time < machine.not_before) continue;
    if (time >= machine.next_regular || (machine.wanted && time - machine.last_report >= 0.5))
      send_report(machine);
  }
}

// ---- state service

void World::end_lease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> gone;
  for (const auto& [key, hold] : key_hold_)
    if (hold == id) gone.push_back(key);
  if (gone.empty()) return;
  ++epoch_;
  for (const auto& key : gone) {
    key_data_.erase(key);
    key_stamp_.erase(key);
    key_hold_.erase(key);
    history_.emplace_back(epoch_, Json{{"delete", key}, {"stamp", epoch_}});
  }
  changed();
}

void World::changed() {
  while (history_.size() > kHistory) {
    first_kept_ = history_.front().first;
    history_.pop_front();
  }
  if (state_out) return;
  auto open = std::move(watches_);
  watches_.clear();
  for (auto& [id, watch] : open) answer(watch.request, 200, news_after(watch.after));
}

Json World::news_after(std::uint64_t after) const {
  Json list = Json::array();
  auto first = std::lower_bound(history_.begin(), history_.end(), after + 1,
                                [](const auto& entry, std::uint64_t stamp) { return entry.first < stamp; });
  for (; first != history_.end(); ++first) list.push_back(first->second);
  return Json{{"epoch", epoch_}, {"news", std::move(list)}};
}

Reply World::commit(const Json& transaction) {
  const auto& writes = transaction["writes"];
  const auto& when = transaction["when"];
  const auto operations = static_cast<std::size_t>(options_.txn_ops);
  if (writes.size() > operations || when.size() > 4 * operations || transaction.dump().size() > kBody)
    return {400, {{"error", "too large"}}};
  for (const auto& write : writes) {
    if (write.contains("data") &&
        static_cast<double>(write["data"].dump().size()) > options_.value_kb * 1024)
      return {400, {{"error", "too large"}}};
    if (write.contains("hold") && !write["hold"].is_null() &&
        !leases_.contains(write["hold"].get<std::uint64_t>()))
      return {400, {{"error", "no such lease"}}};
  }
  if (write_tokens_ < static_cast<double>(writes.size())) return {429, Json::object()};
  write_tokens_ -= static_cast<double>(writes.size());
  Json failed = Json::array();
  for (const auto& condition : when) {
    const auto key = condition["k"].get<std::string>();
    const auto found = key_stamp_.find(key);
    if ((found == key_stamp_.end() ? 0 : found->second) != condition["stamp"].get<std::uint64_t>())
      failed.push_back(key);
  }
  if (!failed.empty()) return {409, {{"failed", failed}, {"epoch", epoch_}}};
  if (!writes.empty()) {
    ++epoch_;
    for (const auto& write : writes) {
      if (write.contains("write")) {
        const auto key = write["write"].get<std::string>();
        key_data_[key] = write["data"];
        key_stamp_[key] = epoch_;
        key_hold_.erase(key);
        if (write.contains("hold") && !write["hold"].is_null()) key_hold_[key] = write["hold"];
        history_.emplace_back(epoch_, Json{{"write", key}, {"data", write["data"]}, {"stamp", epoch_}});
        if (key == "bankhill/term") note("state: term " + write["data"].dump());
      } else {
        const auto key = write["delete"].get<std::string>();
        if (key_data_.erase(key) == 0) continue;
        key_stamp_.erase(key);
        key_hold_.erase(key);
        history_.emplace_back(epoch_, Json{{"delete", key}, {"stamp", epoch_}});
      }
    }
    changed();
  }
  return {200, {{"epoch", epoch_}}};
}

void World::on_state(std::size_t node, evhttp_request* request) {
  const std::string uri = evhttp_request_get_uri(request);
  const auto path = path_of(uri);
  const auto method = evhttp_request_get_command(request);
  if (unheard.contains(node)) return;
  if (state_out || refused.contains(node)) return answer(request, 503, Json::object());
  if (request_tokens_ < 1) return answer(request, 429, Json::object());
  request_tokens_ -= 1;
  const auto body = Json::parse(body_of(evhttp_request_get_input_buffer(request)), nullptr, false);
  if (path == "/commit") {
    if (commit_fault) {
      const int fault = commit_fault(node, body);
      if (fault > 0) return answer(request, fault, Json::object());
      if (fault == -1) commit(body);
      if (fault == -2)
        at(now() + 2 + 10 * std::generate_canonical<double, 32>(random_), [this, body] {
          if (commit(body).status == 200) note("state: a late transaction was carried out");
        });
      if (fault < 0) return;
    }
    const auto reply = commit(body);
    return answer(request, reply.status, reply.body);
  }
  if (path == "/leases") {
    const auto id = next_lease_++;
    const double ttl_s = body["ttl_ms"].get<double>() / 1000;
    leases_[id] = {ttl_s, now() + ttl_s};
    return answer(request, 200, {{"hold", id}});
  }
  if (path.starts_with("/leases/")) {
    const auto id = std::strtoull(path.c_str() + 8, nullptr, 10);
    const auto found = leases_.find(id);
    if (found == leases_.end()) return answer(request, 404, Json::object());
    if (method == EVHTTP_REQ_DELETE)
      end_lease(id);
    else
      found->second.ends = now() + found->second.ttl_s;
    return answer(request, 200, Json::object());
  }
  if (path == "/watch") {
    const auto after = std::strtoull(query(uri, "after").c_str(), nullptr, 10);
    const double block_s = std::strtod(query(uri, "block_ms").c_str(), nullptr) / 1000;
    if (after < first_kept_) return answer(request, 410, Json::object());
    if (block_s <= 0 || epoch_ > after) return answer(request, 200, news_after(after));
    const auto id = next_watch_++;
    watches_[id] = {request, after, id};
    return at(now() + block_s, [this, id] {
      const auto found = watches_.find(id);
      if (found == watches_.end()) return;
      const auto watch = found->second;
      watches_.erase(found);
      answer(watch.request, 200, news_after(watch.after));
    });
  }
  if (path == "/keys") {
    const auto starts = query(uri, "starts");
    const auto after = query(uri, "after");
    const auto most = std::min<std::uint64_t>(kListItems, std::strtoull(query(uri, "most").c_str(), nullptr, 10));
    Json items = Json::array();
    std::size_t bytes = 0;
    bool next = false;
    for (auto key = key_data_.upper_bound(after.empty() ? "" : after); key != key_data_.end(); ++key) {
      if (!key->first.starts_with(starts)) continue;
      Json item{{"k", key->first}, {"data", key->second}, {"stamp", key_stamp_[key->first]}};
      bytes += item.dump().size() + 1;
      if (items.size() >= most || bytes > kListBytes - 100) {
        next = true;
        break;
      }
      items.push_back(std::move(item));
    }
    return answer(request, 200, {{"items", items}, {"has_next", next}, {"epoch", epoch_}});
  }
  if (path.starts_with("/keys/")) {
    const auto found = key_data_.find(path.substr(6));
    if (found == key_data_.end()) return answer(request, 404, {{"epoch", epoch_}});
    return answer(request, 200,
                  {{"k", found->first}, {"data", found->second}, {"stamp", key_stamp_[found->first]}});
  }
  answer(request, 400, Json::object());
}

// ---- cloud

const Flavor& World::flavor(const std::string& name) const {
  for (const auto& each : options_.flavors)
    if (each.name == name) return each;
  std::cerr << "no type " << name << "\n";
  std::_Exit(2);
}

Machine& World::add_machine(const std::string& flavor_name, const std::string& zone, bool spot,
                            double up_in_s) {
  char host[24];
  std::snprintf(host, sizeof host, "n-%06d", next_machine_++);
  auto& machine = machines_[host];
  machine.host = host;
  machine.flavor = flavor_name;
  machine.zone = zone;
  machine.spot = spot;
  machine.born = now();
  hooks_.push_back(std::make_unique<Hook>(Hook{this, 0, host}));
  int port = 0;
  machine.server = serve(port, hooks_.back().get(), [](evhttp_request* request, void* context) {
    auto* self = static_cast<Hook*>(context);
    self->world->on_worker(self->host, request);
  });
  machine.address = loopback(port);
  note("cloud: " + machine.host + " " + flavor_name + " in " + zone + (spot ? ", spot" : ""));
  at(now() + up_in_s, [this, name = machine.host] { bring_up(name); });
  return machine;
}

void World::bring_up(const std::string& host) {
  const auto found = machines_.find(host);
  if (found == machines_.end() || found->second.failed) return;
  found->second.up = true;
  found->second.up_at = found->second.lease_from = now();
  found->second.node = random_() % nodes_.size();
  note(host + ": up");
}

void World::stop_machine(const std::string& host) {
  const auto found = machines_.find(host);
  if (found == machines_.end()) return;
  auto& machine = found->second;
  note(host + ": stops by itself, with " + std::to_string(machine.tasks.size()) + " tasks");
  machine.failed = true;
  machine.tasks.clear();
  // Its address stays silent from now on, as that of a machine without power.
}

void World::remove_machine(const std::string& host, const std::string& why) {
  const auto found = machines_.find(host);
  if (found == machines_.end()) return;
  auto& machine = found->second;
  note(host + ": " + why + ", with " + std::to_string(machine.tasks.size()) + " tasks");
  auto* connection = machine.connection;
  machines_.erase(found);
  at(now(), [connection] {
    if (connection != nullptr) evhttp_connection_free(connection);
  });
}

void World::on_cloud(evhttp_request* request) {
  const std::string uri = evhttp_request_get_uri(request);
  const auto path = path_of(uri);
  if (cloud_tokens_ < 1) return answer(request, 429, Json::object());
  cloud_tokens_ -= 1;
  const bool post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
  const auto body = Json::parse(body_of(evhttp_request_get_input_buffer(request)), nullptr, false);
  if (path == "/flavors") {
    Json list = Json::array();
    for (const auto& each : options_.flavors)
      list.push_back({{"name", each.name},
                      {"cores", each.cores},
                      {"accelerators", 0},
                      {"ram_gb", each.ram_gb},
                      {"local_gb", 200},
                      {"pull_gb_per_s", 1.0},
                      {"rate", each.rate},
                      {"low_price", each.low_price},
                      {"boot_s", each.boot_s},
                      {"rack_rooms", each.zones}});
    return answer(request, 200, {{"flavors", list}});
  }
  if (path == "/machines" && post) {
    const auto name = body["rental"].get<std::string>();
    const auto type = body["flavor"].get<std::string>();
    const auto zone = body["rack_room"].get<std::string>();
    const bool spot = body["reclaimable"];
    const int count = body["count"];
    const auto pool = type + "/" + zone + "/" + (spot ? "spot" : "ordinary");
    if (const auto known = rentals_.find(name); known != rentals_.end())
      return answer(request, 200, {{"hosts", known->second}});
    rentals_asked[pool] += count;
    int there = 0;
    for (const auto& [host, machine] : machines_)
      there += !machine.failed && machine.flavor == type && machine.zone == zone && machine.spot == spot;
    const int limit = options_.capacity.contains(pool) ? options_.capacity.at(pool) : 40;
    const int given = std::min(count, limit - there);
    note("cloud: asked for " + std::to_string(count) + " of " + pool + ", gives " +
         std::to_string(std::max(0, given)));
    if (given <= 0) return answer(request, 503, {{"error", "no capacity"}});
    Json hosts = Json::array();
    for (int i = 0; i < given; ++i) hosts.push_back(add_machine(type, zone, spot, options_.boots_s).host);
    rentals_[name] = hosts;
    return answer(request, 200, {{"hosts", hosts}});
  }
  if (path == "/machines/release") {
    for (const auto& host : body["hosts"]) remove_machine(host.get<std::string>(), "released");
    return answer(request, 200, Json::object());
  }
  if (path == "/machines") {
    const auto after = query(uri, "after");
    const auto most = std::strtoull(query(uri, "most").c_str(), nullptr, 10);
    Json hosts = Json::array();
    bool next = false;
    for (auto machine = machines_.upper_bound(after); machine != machines_.end(); ++machine) {
      const auto& each = machine->second;
      if (now() - each.born < options_.list_lag_s && each.born > 1) continue;
      if (hosts.size() >= std::min<std::uint64_t>(500, most)) {
        next = true;
        break;
      }
      hosts.push_back({{"uid", each.host},
                       {"address", each.address},
                       {"flavor", each.flavor},
                       {"rack_room", each.zone},
                       {"reclaimable", each.spot},
                       {"phase", each.failed ? "failed" : each.up ? "running" : "booting"},
                       {"held_s", now() - each.born}});
    }
    return answer(request, 200, {{"hosts", hosts}, {"has_next", next}});
  }
  answer(request, 400, Json::object());
}

// ---- workers

Json World::report_of(Machine& machine) {
  Json members = Json::array();
  for (const auto& [key, task] : machine.tasks) {
    Json item{{"member", task.member}, {"try_no", task.attempt}, {"phase", task.phase}};
    if (task.phase == "exited") item["exit_cause"] = task.cause;
    if (task.kept) item["kept"] = true;
    members.push_back(std::move(item));
  }
  return {{"host", machine.host},        {"address", machine.address}, {"flavor", machine.flavor},
          {"rack_room", machine.zone},   {"reclaimable", machine.spot}, {"tenure", machine.tenure},
          {"counter", ++machine.counter}, {"fence", machine.fence},     {"warning_s", nullptr},
          {"members", std::move(members)}};
}

void World::send_report(Machine& machine) {
  const double time = now();
  machine.in_flight = true;
  machine.wanted = false;
  machine.last_report = time;
  machine.next_regular = time + options_.report_s * (0.75 + 0.5 * std::generate_canonical<double, 32>(random_));
  const auto report = report_of(machine);
  if (on_report) on_report(machine, report);
  const auto text = report.dump();
  if (text.size() > kBody) {  // a request body may be at most 64 KiB: it cannot be sent
    if (reports_too_long++ % 8 == 0)
      note(machine.host + ": its report has " + std::to_string(text.size()) + " bytes, " +
           std::to_string(machine.tasks.size()) + " tasks; too long to be sent");
    machine.in_flight = false;
    return;
  }
  if (time < machine.mute_until)
    return at(time + 4, [this, host = machine.host, exchange = ++machine.exchange, tenure = machine.tenure, time] {
      report_answered(host, exchange, tenure, time, 0, "");
    });
  if (machine.connection == nullptr) {
    machine.connection = evhttp_connection_base_new(base_, nullptr, "127.0.0.1",
                                                    static_cast<unsigned short>(nodes_[machine.node].api));
    evhttp_connection_set_timeout(machine.connection, 4);
  }
  const auto exchange = ++machine.exchange;
  auto* call = new Call{[this, host = machine.host, exchange, tenure = machine.tenure, time](
                            int status, const std::string& body) {
                          report_answered(host, exchange, tenure, time, status, body);
                        },
                        nullptr, base_};
  send_on(machine.connection, "POST", "/v1/report", text, call);
}

void World::report_answered(const std::string& host, std::uint64_t exchange, std::uint64_t tenure,
                            double sent, int status, const std::string& text) {
  const auto found = machines_.find(host);
  if (found == machines_.end()) return;
  auto& machine = found->second;
  if (machine.exchange != exchange) return;
  if (now() < machine.hung_until)
    return at(machine.hung_until, [this, host, exchange, tenure, sent, status, text] {
      report_answered(host, exchange, tenure, sent, now() - sent < 4 ? status : 0, text);
    });
  // The answer is lost: the worker waits for it for 4 s.
  if (status != 0 && now() < machine.deaf_until)
    return at(std::max(now(), sent + 4), [this, host, exchange, tenure, sent] {
      report_answered(host, exchange, tenure, sent, 0, "");
    });
  machine.in_flight = false;
  const auto body = Json::parse(text, nullptr, false);
  const auto leave = [&](std::size_t node, double wait_s) {
    auto* old = std::exchange(machine.connection, nullptr);
    if (old != nullptr) at(now(), [old] { evhttp_connection_free(old); });
    machine.node = node;
    machine.wanted = true;
    machine.not_before = now() + wait_s;
  };
  if (status == 421 && body.is_object() && body.contains("controller") && body["controller"].is_string()) {
    const auto name = body["controller"].get<std::string>();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (name == "worker-" + std::to_string(i) && i != machine.node) return leave(i, 0);
  }
  if (status != 200) return leave((machine.node + 1) % nodes_.size(), 1);
  if (machine.failed || machine.tenure != tenure || !body.is_object() || !body.contains("fence")) return;
  const auto fence = body["fence"].get<std::uint64_t>();
  if (fence < machine.fence) return;
  if (fence > machine.fence) machine.wanted = true;
  machine.fence = fence;
  machine.lease_from = std::max(machine.lease_from, sent);
  execute(machine, body["orders"]);
}

void World::on_worker(const std::string& host, evhttp_request* request) {
  const auto found = machines_.find(host);
  if (found == machines_.end() || !found->second.up || found->second.failed) return;  // silent
  if (now() < found->second.deaf_until) return note(host + ": deaf, a direct request is lost");
  // What arrives at a machine that stands still waits.
  if (now() < found->second.hung_until)
    return at(found->second.hung_until + 0.01, [this, host, request] { on_worker(host, request); });
  on_command(host, request);
}

void World::on_command(const std::string& host, evhttp_request* request) {
  auto& machine = machines_.at(host);
  const auto path = path_of(evhttp_request_get_uri(request));
  if (path == "/show") return answer(request, 200, report_of(machine));
  const auto text = body_of(evhttp_request_get_input_buffer(request));
  if (text.size() > kBody) return answer(request, 413, Json::object());
  const auto body = Json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("fence") || !body.contains("tenure"))
    return answer(request, 400, Json::object());
  const auto fence = body["fence"].get<std::uint64_t>();
  if (fence < machine.fence || body["tenure"].get<std::uint64_t>() != machine.tenure)
    return answer(request, 409, report_of(machine));
  if (fence > machine.fence) machine.wanted = true;
  machine.fence = fence;
  execute(machine, body["orders"]);
  answer(request, 200, report_of(machine));
}

void World::execute(Machine& machine, const Json& orders) {
  for (const auto& order : orders) {
    const auto verb = order["verb"].get<std::string>();
    const auto member = order["member"].get<std::string>();
    const auto attempt = order["try_no"].get<std::uint64_t>();
    if (verb == "start") {
      start_task(machine, member, attempt);
      continue;
    }
    const auto found = machine.tasks.find(task_key(member, attempt));
    if (found == machine.tasks.end()) continue;
    auto& task = found->second;
    if (verb == "forget") {
      if (task.phase == "exited") {
        machine.tasks.erase(found);
        machine.wanted = true;
      }
      continue;
    }
    if (task.phase == "exited") continue;
    const double wind_down_s = order.value("wind_down_s", 0.0);
    const auto& job = jobs_.at(task.job).body;
    const double flush_s = job["flush_s"];
    if (task.phase == "running" && job["snapshot_every_s"] > 0 && wind_down_s >= flush_s && flush_s > 0) {
      note(machine.host + ": " + member + " is told to stop, saves");
      task.phase = "flushing";
      machine.wanted = true;
      at(now() + flush_s, [this, host = machine.host, key = found->first, serial = task.serial] {
        end_task(host, key, serial, "halted", true);
      });
    } else if (!(task.phase == "flushing" && wind_down_s > 0)) {
      end_task(machine.host, found->first, task.serial, "halted", false);
    }
  }
}

void World::start_task(Machine& machine, const std::string& member, std::uint64_t attempt) {
  const auto key = task_key(member, attempt);
  if (machine.tasks.contains(key)) return;
  Task task{member, member.substr(0, member.find('/')), "pulling", "", attempt, next_serial_++, false};
  const auto job = jobs_.find(task.job);
  double cores = 0, ram = 0;
  bool busy = false;
  for (const auto& [other, each] : machine.tasks) {
    if (!each.active()) continue;
    busy = busy || each.member == member;
    cores += jobs_.at(each.job).cores();
    ram += jobs_.at(each.job).ram();
  }
  const auto& type = flavor(machine.flavor);
  if (job == jobs_.end())
    task.cause = "no_such";
  else if (busy)
    task.cause = "busy";
  else if (cores + job->second.cores() > type.cores + 1e-6 || ram + job->second.ram() > type.ram_gb + 1e-6)
    task.cause = "no_room";
  if (!task.cause.empty()) task.phase = "exited";
  machine.wanted = true;
  note(machine.host + ": start " + member + " attempt " + std::to_string(attempt) +
       (task.cause.empty() ? "" : ", refused: " + task.cause));
  const auto serial = task.serial;
  auto& stored = machine.tasks[key] = std::move(task);
  if (on_task) on_task("start", machine, stored);
  if (!stored.cause.empty()) return;
  const auto image = job->second.body["bundle"].get<std::string>();
  const bool cached = machine.images.contains(image);
  const double fetch_s = cached ? 0.01 : job->second.body["size_gb"].get<double>();
  at(now() + fetch_s, [this, host = machine.host, key, serial] { image_ready(host, key, serial); });
}

void World::image_ready(const std::string& host, const std::string& key, std::uint64_t serial) {
  const auto found = machines_.find(host);
  if (found == machines_.end()) return;
  auto& machine = found->second;
  const auto place = machine.tasks.find(key);
  if (place == machine.tasks.end() || place->second.serial != serial || place->second.phase != "pulling")
    return;
  if (now() < machine.hung_until)
    return at(machine.hung_until + 0.02, [this, host, key, serial] { image_ready(host, key, serial); });
  if (now() - machine.lease_from > options_.lease_s) return;  // its session is over
  auto& task = place->second;
  auto& job = jobs_.at(task.job);
  machine.images.insert(job.body["bundle"].get<std::string>());
  task.phase = "running";
  machine.wanted = true;
  note(host + ": " + task.member + " runs");
  if (on_task) on_task("run", machine, task);
  const int index = std::atoi(task.member.c_str() + task.member.find('/') + 1);
  if (job.completed.contains(index)) return end_task(host, key, serial, "done", false);
  if (machine.sick) return at(now() + machine.fails_after_s, [this, host, key, serial] { end_task(host, key, serial, "error", false); });
  if (job.service()) return;
  at(now() + job.run_s, [this, host, key, serial] { end_task(host, key, serial, "done", false); });
}

void World::end_task(const std::string& host, const std::string& key, std::uint64_t serial,
                     const std::string& cause, bool kept) {
  const auto found = machines_.find(host);
  if (found == machines_.end() || found->second.failed) return;
  auto& machine = found->second;
  const auto place = machine.tasks.find(key);
  if (place == machine.tasks.end() || place->second.serial != serial || !place->second.active()) return;
  if (now() < machine.hung_until)
    return at(machine.hung_until + 0.1,
              [this, host, key, serial, cause, kept] { end_task(host, key, serial, cause, kept); });
  auto& task = place->second;
  if (cause == "done" && task.phase != "running") return;
  task.phase = "exited";
  task.cause = cause;
  task.kept = kept;
  machine.wanted = true;
  if (cause == "done")
    jobs_.at(task.job).completed.insert(std::atoi(task.member.c_str() + task.member.find('/') + 1));
  note(host + ": " + task.member + " exits, " + cause);
  if (on_task) on_task("exit", machine, task);
}

bool World::takes(const Machine& machine, const Job& job) const {
  if (!machine.up || machine.failed || machine.sick) return false;
  const auto& body = job.body;
  if (machine.spot && !body["reclaimable"].get<bool>()) return false;
  if (!body["rack_room"].is_null() && body["rack_room"] != machine.zone) return false;
  if (!body["flavors"].is_null() &&
      std::find(body["flavors"].begin(), body["flavors"].end(), Json(machine.flavor)) == body["flavors"].end())
    return false;
  double cores = job.cores(), ram = job.ram();
  for (const auto& [key, task] : machine.tasks) {
    if (!task.active()) continue;
    cores += jobs_.at(task.job).cores();
    ram += jobs_.at(task.job).ram();
  }
  const auto& type = flavor(machine.flavor);
  return cores <= type.cores + 1e-6 && ram <= type.ram_gb + 1e-6;
}

int World::on_machines(const std::string& job_id) const {
  int count = 0;
  for (const auto& [host, machine] : machines_)
    for (const auto& [key, task] : machine.tasks) count += task.job == job_id && task.on();
  return count;
}

int World::active(const std::string& job_id) const {
  int count = 0;
  for (const auto& [host, machine] : machines_)
    for (const auto& [key, task] : machine.tasks) count += task.job == job_id && task.active();
  return count;
}

// ---- users

Json World::job_body(const std::string& id, const std::string& queue_name, const std::string& owner,
                     const std::string& shape, const std::string& rank, int members, double cores,
                     double ram_gb) {
  return {{"uid", id},           {"queue", queue_name}, {"owner", owner},          {"shape", shape},
          {"rank", rank},        {"members", members},  {"cores", cores},          {"accelerators", 0.0},
          {"ram_gb", ram_gb},    {"bundle", "img-01"},  {"size_gb", 0.5},          {"flavors", nullptr},
          {"rack_room", nullptr}, {"together", false},  {"scatter", false},        {"reclaimable", false},
          {"guess_s", shape == "daemon" ? 0.0 : 30.0},  {"snapshot_every_s", 0.0}, {"flush_s", 0.0},
          {"due_s", nullptr}};
}

std::size_t World::pick_node() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const auto node = turn_++ % nodes_.size();
    if (nodes_[node].healthy) return node;
  }
  return turn_++ % nodes_.size();
}

Job& World::submit(Json body, double run_s) {
  const auto id = body["uid"].get<std::string>();
  auto& job = jobs_[id];
  job.id = id;
  job.body = std::move(body);
  job.run_s = run_s;
  job.submitted_at = now();
  try_submit(id);
  return job;
}

void World::try_submit(const std::string& id) {
  const auto& job = jobs_.at(id);
  ask(pick_node(), "POST", "/submissions", job.body.dump(), 5, [this, id](const Reply& reply) {
    auto& answered = jobs_.at(id);
    if (reply.status == 200 || reply.status == 201) {
      note("user: " + id + " accepted, " + std::to_string(reply.status) + " " + reply.body.dump());
      answered.accept_status = reply.status;
      answered.accepted_at = now();
      at(now() + 5, [this, id] { poll(id); });
    } else if (reply.status == 400 || reply.status == 422) {
      note("user: " + id + " refused, " + std::to_string(reply.status) + " " + reply.body.dump());
      answered.accept_status = reply.status;
    } else if (now() - answered.submitted_at < 60) {
      at(now() + 1, [this, id] { try_submit(id); });
    }
  });
}

void World::poll(const std::string& id) {
  auto& job = jobs_.at(id);
  if (job.done_told_at >= 0 || job.cancelled_at >= 0) return;
  ask(pick_node(), "GET", "/submissions/" + id, "", 2, [this, id](const Reply& reply) {
    auto& answered = jobs_.at(id);
    if (reply.status == 200 && reply.body.is_object()) {
      const auto phase = reply.body.value("phase", "");
      if (phase != answered.last_phase) note("user: " + id + " is told " + reply.body.dump());
      answered.last_phase = phase;
      if (phase == "done" && answered.done_told_at < 0) answered.done_told_at = now();
    } else if (reply.status == 404) {
      note("user: " + id + " is told 404");
    }
    at(now() + 5, [this, id] { poll(id); });
  });
}

void World::cancel(const std::string& job_id) {
  jobs_.at(job_id).cancel_asked = true;
  try_cancel(job_id);
}

void World::try_cancel(const std::string& id) {
  ask(pick_node(), "POST", "/submissions/" + id + "/withdraw", "{}", 5, [this, id](const Reply& reply) {
    auto& job = jobs_.at(id);
    const auto phase = reply.status == 200 && reply.body.is_object() ? reply.body.value("phase", "") : "";
    if (phase == "cancelled" || phase == "done") {
      note("user: " + id + " withdrawn, told " + phase);
      (phase == "done" ? job.done_told_at : job.cancelled_at) = now();
    } else {
      at(now() + 1, [this, id] { try_cancel(id); });
    }
  });
}

}  // namespace review
