// Stand-ins for a small deployment on loopback: state service, cloud, workers, users and the controllers as
// processes. They follow PROTOCOL-bankhill.md and nothing else; the checks judge what users, workers and the
// platform see. Everything runs in one event loop on the real clock.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "net/evhttp_client.hpp"
#include "net/evhttp_server.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/log.hpp"

extern char** environ;

namespace review {

using bankhill::net::EvhttpClient;
using bankhill::net::EvhttpServer;
using bankhill::net::Method;
using bankhill::net::Reply;
using bankhill::net::Request;
using bankhill::net::Response;
using bankhill::runtime::EventLoop;
using bankhill::runtime::Timer;
using Json = nlohmann::json;

inline int free_port() {
  const int id = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  bind(id, reinterpret_cast<sockaddr*>(&address), sizeof address);
  getsockname(id, reinterpret_cast<sockaddr*>(&address), &size);
  close(id);
  return ntohs(address.sin_port);
}

inline std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

inline bankhill::runtime::Log quiet() { return bankhill::runtime::make_log("standin", "off"); }

inline std::string query(const std::string& path, const std::string& name, const std::string& otherwise) {
  const auto mark = path.find('?');
  if (mark == std::string::npos) return otherwise;
  std::istringstream parts(path.substr(mark + 1));
  for (std::string part; std::getline(parts, part, '&');)
    if (part.starts_with(name + "=")) return part.substr(name.size() + 1);
  return otherwise;
}

// A token bucket that holds one second's worth, or as many as said.
class Bucket {
 public:
  Bucket(double rate, double seconds) : rate_(rate), most_(rate * seconds), level_(most_) {}
  bool take(double now, double amount) {
    if (last_ >= 0) level_ = std::min(most_, level_ + (now - last_) * rate_);
    last_ = now;
    if (level_ < amount) return false;
    level_ -= amount;
    return true;
  }

 private:
  double rate_, most_, level_;
  double last_ = -1;
};

struct MachineType {
  std::string name;
  double cores, ram_gb, rate, low_price, boot_s, pull_gb_per_s;
  std::vector<std::string> zones;
  int capacity = 50;
};

struct Team {
  std::string name;
  double cpus, cpus_max;
};

struct Setup {
  int controllers = 3;
  std::vector<std::string> zones{"bergen-rom", "voss-rom", "bergen-rom"};  // of the controllers
  std::vector<Team> teams{{"privat", 72, 208}, {"naering", 128, 424}};
  std::vector<MachineType> types{
      {"smaboks", 4, 16, 0.23, 0.06, 3, 1.0, {"bergen-rom", "voss-rom"}, 12},
      {"mellomboks", 8, 32, 0.47, 0.13, 4, 1.0, {"bergen-rom", "voss-rom"}, 20},
      {"storboks", 64, 256, 3.36, 0.86, 4, 1.0, {"bergen-rom"}, 2}};
  double report_s = 3, lease_s = 44, cancel_s = 69;
  double rps = 250, write_rps = 60, value_kb = 8;
  int txn_ops = 32;
  double cloud_rps = 6, list_lag_s = 6;
  std::string log_level = "info";
  std::string operator_config;
};

struct JobSpec {
  std::string id, queue = "bilag", owner = "naering", shape = "sweep", rank = "normal";
  int members = 1;
  double cores = 1, ram_gb = 1, size_gb = 0.3, guess_s = 5, run_s = 5;
  std::string bundle = "img-1";
  bool reclaimable = true, together = false, scatter = false;
  double snapshot_s = 0, flush_s = 0;
  Json flavors, rack_room, due_s;
  std::vector<std::string> waits_on;
  bool errors = false;
  Json json() const {
    Json object{{"uid", id},        {"queue", queue},     {"owner", owner},
                {"shape", shape},   {"rank", rank},       {"members", members},
                {"cores", cores},   {"accelerators", 0.0}, {"ram_gb", ram_gb},
                {"bundle", bundle}, {"size_gb", size_gb}, {"flavors", flavors},
                {"rack_room", rack_room}, {"together", together}, {"scatter", scatter},
                {"reclaimable", reclaimable}, {"guess_s", shape == "daemon" ? 0.0 : guess_s},
                {"snapshot_every_s", snapshot_s}, {"flush_s", flush_s}, {"due_s", due_s}};
    if (!waits_on.empty()) object["waits_on"] = waits_on;
    return object;
  }
};

class Site;

// ---------------------------------------------------------------------------------------------- state service
class StateService {
 public:
  struct Link {  // what one controller meets
    bool refuse = false;     // 503 to this controller alone; its watches wait
    bool cut = false;        // no answer, nothing executed
    double late_answer_s = 0;
    double lose_answers = 0;   // share of commits that are executed at once and get no answer
    double late_commits = 0;   // share of commits without an answer, executed 2 to 12 s later
  };
  StateService(EventLoop& loop, const Setup& setup)
      : loop_(loop), setup_(setup), rps_(setup.rps, 1), write_rps_(setup.write_rps, 1) {
    tick();
  }
  std::map<int, Link> links;
  bool down() const { return down_; }
  void set_down(bool down) {
    if (down_ && !down)
      for (auto& [id, lease] : leases_) lease.ends = loop_.now() + lease.ttl_s;
    down_ = down;
    if (!down) wake();
  }
  std::uint64_t epoch() const { return epoch_; }
  std::size_t key_count() const { return keys_.size(); }
  // As another client of the service would: writes a value without a condition.
  void put(const std::string& key, const Json& data) {
    ++epoch_;
    keys_[key] = {data, epoch_, 0};
    note(Json{{"write", key}, {"data", data}, {"stamp", epoch_}});
    wake();
  }
  const Json* get(const std::string& key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : &found->second.data;
  }
  std::function<void(int node, const Json& transaction, bool committed)> on_commit;
  std::map<std::string, long> counts;

  void handle(int node, Request request, Reply reply) {
    auto& link = links[node];
    if (link.cut) return keep(std::move(reply));
    if (link.late_answer_s > 0)
      reply = [this, reply, late = link.late_answer_s](Response response) {
        later(late * (0.8 + 0.4 * unit()), [reply, response] { reply(response); });
      };
    const bool watch = request.path.starts_with("/watch");
    if (down_ || link.refuse) return reply({503, "{}", std::nullopt});
    if (!rps_.take(loop_.now(), 1)) {
      ++counts["429"];
      return reply({429, "{}", std::nullopt});
    }
    ++counts["requests"];
    try {
      if (watch) return serve_watch(node, request.path, std::move(reply));
      if (request.path == "/commit") {
        const Json transaction = Json::parse(request.body);
        const double dice = unit();
        if (dice < link.late_commits) {
          later(2 + 10 * unit(), [this, node, transaction] { commit(node, transaction); });
          return keep(std::move(reply));
        }
        auto response = commit(node, transaction);
        if (dice < link.late_commits + link.lose_answers) return keep(std::move(reply));
        return reply(response);
      }
      reply(serve(request));
    } catch (const std::exception& error) {
      reply({400, Json{{"error", error.what()}}.dump(), std::nullopt});
    }
  }

 private:
  struct Entry {
    Json data;
    std::uint64_t stamp = 0;
    std::uint64_t hold = 0;
  };
  struct Lease {
    double ttl_s = 0, ends = 0;
  };
  struct Waiter {
    int node;
    std::string starts;
    std::uint64_t after;
    double until;
    Reply reply;
  };
  double unit() { return std::uniform_real_distribution<double>(0, 1)(loop_.random()); }
  void keep(Reply reply) { unanswered_.push_back(std::move(reply)); }
  void later(double seconds, std::function<void()> work) {
    const auto id = next_timer_++;
    timers_[id] = loop_.after(seconds, [this, id, work] {
      const auto self = timers_.extract(id);
      work();
    });
  }
  void note(Json change) {
    history_.emplace_back(epoch_, std::move(change));
    while (history_.size() > 10000) {
      forgotten_ = history_.front().first;
      history_.pop_front();
    }
  }
  void tick() {
    timer_ = loop_.after(0.02, [this] { tick(); });
    const double now = loop_.now();
    if (down_) return;
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : leases_)
      if (now > lease.ends) over.push_back(id);
    for (const auto id : over) end_lease(id);
    bool due = false;
    for (const auto& waiter : waiters_) due = due || now >= waiter.until;
    if (due) wake();
  }
  void end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> gone;
    for (const auto& [key, entry] : keys_)
      if (entry.hold == id) gone.push_back(key);
    if (gone.empty()) return;
    ++epoch_;
    for (const auto& key : gone) {
      keys_.erase(key);
      note(Json{{"delete", key}, {"stamp", epoch_}});
    }
    wake();
  }
  Json news(const std::string& starts, std::uint64_t after) const {
    Json list = Json::array();
    auto from = std::upper_bound(history_.begin(), history_.end(), after,
                                 [](std::uint64_t value, const auto& item) { return value < item.first; });
    for (; from != history_.end(); ++from) {
      const auto& change = from->second;
      const std::string key = change.contains("write") ? change["write"] : change["delete"];
      if (key.starts_with(starts)) list.push_back(change);
    }
    return list;
  }
  void wake() {
    if (down_) return;
    std::vector<Waiter> waiting;
    waiting.swap(waiters_);
    for (auto& waiter : waiting) {
      const auto& link = links[waiter.node];
      if (link.refuse || link.cut) {
        waiters_.push_back(std::move(waiter));
        continue;
      }
      if (waiter.after < forgotten_) {
        waiter.reply({410, "{}", std::nullopt});
        continue;
      }
      const Json list = epoch_ > waiter.after ? news(waiter.starts, waiter.after) : Json::array();
      if (list.empty() && loop_.now() < waiter.until)
        waiters_.push_back(std::move(waiter));
      else
        waiter.reply({200, Json{{"epoch", epoch_}, {"news", list}}.dump(), std::nullopt});
    }
  }
  void serve_watch(int node, const std::string& path, Reply reply) {
    Waiter waiter{node, query(path, "starts", ""), std::stoull(query(path, "after", "0")),
                  loop_.now() + std::stod(query(path, "block_ms", "0")) / 1000, std::move(reply)};
    waiters_.push_back(std::move(waiter));
    wake();
  }
  Response serve(const Request& request) {
    const auto& path = request.path;
    if (path.starts_with("/keys?")) {
      const auto starts = query(path, "starts", ""), after = query(path, "after", "");
      const auto most = std::min(1000UL, std::stoul(query(path, "most", "1000")));
      std::string items;
      std::size_t count = 0;
      bool next = false;
      for (auto entry = after.empty() ? keys_.lower_bound(starts) : keys_.upper_bound(after);
           entry != keys_.end() && entry->first.starts_with(starts); ++entry) {
        Json item{{"k", entry->first}, {"data", entry->second.data}, {"stamp", entry->second.stamp}};
        if (entry->second.hold != 0) item["hold"] = entry->second.hold;
        const auto text = item.dump();
        if (count == most || items.size() + text.size() > 500 * 1024) {
          next = true;
          break;
        }
        items += (count++ > 0 ? "," : "") + text;
      }
      return {200, "{\"items\":[" + items + "],\"has_next\":" + (next ? "true" : "false") +
                       ",\"epoch\":" + std::to_string(epoch_) + "}", std::nullopt};
    }
    if (path.starts_with("/keys/")) {
      const auto found = keys_.find(path.substr(6));
      if (found == keys_.end()) return {404, Json{{"epoch", epoch_}}.dump(), std::nullopt};
      Json item{{"k", found->first}, {"data", found->second.data}, {"stamp", found->second.stamp}};
      return {200, item.dump(), std::nullopt};
    }
    if (path == "/leases") {
      const double ttl = Json::parse(request.body).at("ttl_ms").get<double>() / 1000;
      leases_[++last_lease_] = {ttl, loop_.now() + ttl};
      return {200, Json{{"hold", last_lease_}}.dump(), std::nullopt};
    }
    if (path.starts_with("/leases/")) {
      const auto id = std::stoull(path.substr(8));
      const auto found = leases_.find(id);
      if (found == leases_.end()) return {404, "{}", std::nullopt};
      if (request.method == Method::del)
        end_lease(id);
      else
        found->second.ends = loop_.now() + found->second.ttl_s;
      return {200, "{}", std::nullopt};
    }
    return {400, "{}", std::nullopt};
  }
  Response commit(int node, const Json& transaction) {
    if (down_) return {503, "{}", std::nullopt};
    const auto& when = transaction.at("when");
    const auto& writes = transaction.at("writes");
    if (!write_rps_.take(loop_.now(), static_cast<double>(writes.size()))) {
      ++counts["429 writes"];
      return {429, "{}", std::nullopt};
    }
    bool bad = writes.size() > static_cast<std::size_t>(setup_.txn_ops) ||
               when.size() > static_cast<std::size_t>(4 * setup_.txn_ops) ||
               transaction.dump().size() > 64 * 1024;
    for (const auto& write : writes)
      bad = bad || (write.contains("data") &&
                    static_cast<double>(write["data"].dump().size()) > setup_.value_kb * 1024);
    if (bad) return {400, Json{{"error", "too large"}}.dump(), std::nullopt};
    for (const auto& write : writes)
      if (write.contains("hold") && !leases_.contains(write["hold"].get<std::uint64_t>()))
        return {400, Json{{"error", "no such lease"}}.dump(), std::nullopt};
    Json failed = Json::array();
    for (const auto& condition : when) {
      const auto found = keys_.find(condition.at("k").get<std::string>());
      const auto stamp = found == keys_.end() ? 0 : found->second.stamp;
      if (stamp != condition.at("stamp").get<std::uint64_t>()) failed.push_back(condition["k"]);
    }
    if (!failed.empty()) {
      if (on_commit) on_commit(node, transaction, false);
      return {409, Json{{"failed", failed}, {"epoch", epoch_}}.dump(), std::nullopt};
    }
    if (!writes.empty()) {
      ++epoch_;
      for (const auto& write : writes) {
        if (write.contains("write")) {
          const std::string key = write["write"];
          keys_[key] = {write["data"], epoch_, write.value("hold", std::uint64_t{0})};
          note(Json{{"write", key}, {"data", write["data"]}, {"stamp", epoch_}});
        } else if (const std::string key = write["delete"]; keys_.erase(key) > 0) {
          note(Json{{"delete", key}, {"stamp", epoch_}});
        }
      }
      counts["writes"] += static_cast<long>(writes.size());
    }
    if (on_commit) on_commit(node, transaction, true);
    const auto answer = Json{{"epoch", epoch_}}.dump();
    if (!writes.empty()) loop_.post([this] { wake(); });
    return {200, answer, std::nullopt};
  }

  EventLoop& loop_;
  const Setup& setup_;
  Bucket rps_, write_rps_;
  bool down_ = false;
  std::uint64_t epoch_ = 0, forgotten_ = 0, last_lease_ = 0, next_timer_ = 0;
  std::map<std::string, Entry> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<std::pair<std::uint64_t, Json>> history_;
  std::vector<Waiter> waiters_;
  std::vector<Reply> unanswered_;
  std::map<std::uint64_t, Timer> timers_;
  Timer timer_;
};

// ---------------------------------------------------------------------------------------------------- workers
struct Task {
  std::string member, job;
  std::uint64_t try_no = 0;
  std::string phase, cause;  // cause: exit_cause
  bool kept = false;
  bool on_machine = false, fails = false;
  double runs_until = 0, progress = 0, began = 0, flush_until = 0;
};

class Worker {
 public:
  Worker(Site& site, std::string host, MachineType type, std::string room, bool reclaimable);
  ~Worker();
  const std::string host;
  std::string address;
  const MachineType type;
  const std::string room;
  const bool reclaimable;
  double requested_at = 0, up_at = 0, gone_at = -1;
  bool up = false, gone = false, failed = false;
  bool mute = false;  // reaches no controller
  bool deaf = false;  // answers and direct commands are lost
  std::set<int> unreachable;   // controllers this worker can't exchange messages with
  double hold_commands_until = 0;  // direct commands are held back till then, then executed
  double lose_command_answers_until = 0;
  double speed = 1;
  bool sick = false;  // fails every task that it starts
  std::uint64_t tenure = 1, counter = 0, fence = 0;
  std::vector<Task> tasks;
  std::set<std::string> images;
  std::set<std::string> results;
  void begin();  // the machine is up
  void end(const std::string& why);  // gone with all that is on it
  void hang(double seconds);
  bool hung() const;
  void tick();
  Json report();
  void changed() { change_ = true; }
  double used_cores() const;
  Response direct(const Request& request);

 private:
  void send_report();
  void execute(const Json& orders);
  void exit_task(Task& task, const std::string& cause);
  void expire();
  double now() const;
  Site& site_;
  std::unique_ptr<EvhttpServer> server_;
  std::map<std::string, double> fetching_;  // image: done at
  std::deque<std::function<void()>> held_;
  bool in_flight_ = false, change_ = false;
  int node_ = 0;
  int exchange_ = 0;
  double lease_from_ = 0, last_report_ = 0, next_report_ = 0, hang_until_ = 0, last_fence_change_ = 0;
};

// ------------------------------------------------------------------------------------------------------ cloud
class Cloud {
 public:
  Cloud(Site& site);
  void handle(Request request, Reply reply);
  bool down = false;
  double boot_low = 0.6, boot_high = 1.2;
  double answer_late_s = 0;
  std::function<double(int number)> boot_time;  // of the machine with this number, from 1
  std::map<std::string, std::unique_ptr<Worker>> machines;
  Worker* rent(const std::string& flavor, const std::string& room, bool reclaimable);
  std::map<std::string, int> granted;

 private:
  Site& site_;
  Bucket rps_;
  int last_ = 0;
  std::map<std::string, Json> rentals_;
};

// ---------------------------------------------------------------------------------------------------- the site
struct UserJob {
  JobSpec spec;
  double submitted_at = -1, accepted_at = -1, done_at = -1, cancelled_at = -1, withdraw_asked_at = -1;
  bool refused = false;
  double last_answer_at = -1, last_task_done_at = -1;
  bool polls = true;
  std::set<std::string> done_members;
  int starts = 0;
};

// Carries TCP connections to one address. While it holds, bytes of both directions wait and are delivered in
// order afterwards; while it refuses, connections are reset and new ones closed.
class Proxy {
 public:
  Proxy(EventLoop& loop, std::string target) : loop_(loop), target_(std::move(target)) {
    port = free_port();
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    listener_ = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t id, sockaddr*, int, void* self) { static_cast<Proxy*>(self)->accept(id); },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr*>(&address), sizeof address);
  }
  int port = 0;
  void hold(bool on) {
    held_ = on;
    for (auto* pair : pairs_)
      for (auto* end : pair->ends) on ? bufferevent_disable(end, EV_READ) : bufferevent_enable(end, EV_READ);
  }
  void refuse(bool on) {
    refused_ = on;
    if (!on) return;
    const auto pairs = pairs_;
    for (auto* pair : pairs) drop(pair);
  }

 private:
  struct Pair {
    Proxy* proxy;
    bufferevent* ends[2];
  };
  void accept(evutil_socket_t id) {
    if (refused_) {
      evutil_closesocket(id);
      return;
    }
    evutil_make_socket_nonblocking(id);
    auto* pair = new Pair{this, {nullptr, nullptr}};
    pair->ends[0] = bufferevent_socket_new(loop_.base(), id, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    pair->ends[1] = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    sockaddr_storage to{};
    int length = sizeof to;
    evutil_parse_sockaddr_port(target_.c_str(), reinterpret_cast<sockaddr*>(&to), &length);
    for (auto* end : pair->ends)
      bufferevent_setcb(
          end,
          [](bufferevent* from, void* context) {
            auto* self = static_cast<Pair*>(context);
            bufferevent_write_buffer(self->ends[from == self->ends[0]], bufferevent_get_input(from));
          },
          nullptr,
          [](bufferevent*, short events, void* context) {
            auto* self = static_cast<Pair*>(context);
            if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) self->proxy->drop(self);
          },
          pair);
    pairs_.insert(pair);
    bufferevent_socket_connect(pair->ends[1], reinterpret_cast<sockaddr*>(&to), length);
    for (auto* end : pair->ends) held_ ? bufferevent_disable(end, EV_READ) : bufferevent_enable(end, EV_READ);
  }
  void drop(Pair* pair) {
    if (pairs_.erase(pair) == 0) return;
    for (auto* end : pair->ends) bufferevent_free(end);
    delete pair;
  }
  EventLoop& loop_;
  std::string target_;
  evconnlistener* listener_ = nullptr;
  std::set<Pair*> pairs_;
  bool held_ = false, refused_ = false;
};

struct Controller {
  int index = 0;
  std::string name, zone, config, output;
  std::string run;  // instead of the deploy file's `run`
  int api = 0, peer = 0, state_port = 0, cloud_port = 0;
  std::unique_ptr<EvhttpServer> state, cloud;
  pid_t pid = 0;
  bool stopped = false, healthy = false;
  int starts = 0;
  bool wanted = false;
};

class Site {
 public:
  explicit Site(Setup setup, std::string folder, std::string record)
      : setup(std::move(setup)), state(loop, this->setup), cloud(*this), client(loop, quiet(), 8000),
        folder_(std::move(folder)), record_(std::fopen(record.c_str(), "w")) {
    signal(SIGPIPE, SIG_IGN);
    if (record_ == nullptr) std::exit(2);
    began = loop.now();
    std::vector<std::string> names;
    for (int i = 0; i < this->setup.controllers; ++i) {
      auto node = std::make_unique<Controller>();
      node->index = i;
      node->name = "worker-" + std::to_string(i);
      node->zone = this->setup.zones[static_cast<std::size_t>(i) % this->setup.zones.size()];
      node->api = free_port();
      node->peer = free_port();
      node->state_port = free_port();
      node->cloud_port = free_port();
      node->state = std::make_unique<EvhttpServer>(
          loop, quiet(), loopback(node->state_port), 600, bankhill::net::SocketShares{5000, 5000},
          [this, i](Request request, Reply reply) { state.handle(i, std::move(request), std::move(reply)); });
      node->cloud = std::make_unique<EvhttpServer>(
          loop, quiet(), loopback(node->cloud_port), 600, bankhill::net::SocketShares{5000, 5000},
          [this](Request request, Reply reply) { cloud.handle(std::move(request), std::move(reply)); });
      nodes.push_back(std::move(node));
    }
    tick();
    probe();
  }
  ~Site() { end(); }

  void log(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2000];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    std::fprintf(record_, "%8.3f  %s\n", now(), text);
    std::fflush(record_);
  }
  double now() const { return loop.now() - began; }
  void broken(const std::string& rule, const std::string& what) {
    ++violations[rule];
    log("BROKEN %s: %s", rule.c_str(), what.c_str());
  }
  bool until(double seconds, const std::function<bool()>& reached) {
    const double end = loop.now() + seconds;
    while (!reached() && loop.now() < end) event_base_loop(loop.base(), EVLOOP_ONCE);
    return reached();
  }
  void pass(double seconds) { until(seconds, [] { return false; }); }

  // Controllers.
  std::function<Json(const Controller& node, Json settings)> adjust_settings;
  std::function<std::string(int from, int to)> peer_address;
  std::string write_settings(Controller& node) {
    Json teams = Json::array();
    for (const auto& team : setup.teams)
      teams.push_back({{"name", team.name}, {"cpus", team.cpus}, {"cpus_max", team.cpus_max}, {"gpus", 0.0},
                       {"gpus_max", 0.0}});
    std::set<std::string> zones(setup.zones.begin(), setup.zones.end());
    Json root{{"host_name", node.name},
              {"zone", node.zone},
              {"api_addr", loopback(node.api)},
              {"peer_listen", loopback(node.peer)},
              {"external", {{"cloud", loopback(node.cloud_port)}, {"state", loopback(node.state_port)}}},
              {"params",
               {{"count", setup.controllers},
                {"zones", zones},
                {"teams", teams},
                {"objectives",
                 {{{"kind", "wait"}, {"class", "portal"}, {"within_s", 1.0}, {"share", 0.85}},
                  {{"kind", "deadline"}, {"class", "bilag"}, {"share", 0.9}, {"times", 1.0}},
                  {{"kind", "guarantee"}, {"within_s", 5.0}, {"share", 0.82}}}},
                {"workers",
                 {{"report_s", setup.report_s}, {"lease_s", setup.lease_s}, {"gang_wait_s", 50.0},
                  {"gang_peer_s", 4.0}, {"cancel_s", setup.cancel_s}}},
                {"state",
                 {{"rps", setup.rps}, {"write_rps", setup.write_rps}, {"value_kb", setup.value_kb},
                  {"txn_ops", setup.txn_ops}}},
                {"cloud", {{"rps", setup.cloud_rps}, {"list_lag_s", setup.list_lag_s}}},
                {"machine_limits", {{"cores", 0.24}, {"ram_mb", 104.0}, {"fd_limit", 3500}}},
                {"clock_error_ms", 1000.0}}}};
    root["siblings"] = Json::array();
    for (const auto& other : nodes)
      if (other->index != node.index)
        root["siblings"].push_back(
            {{"host_name", other->name},
             {"zone", other->zone},
             {"addr", peer_address ? peer_address(node.index, other->index) : loopback(other->peer)}});
    if (adjust_settings) root = adjust_settings(node, root);
    node.config = folder_ + "/" + node.name + ".json";
    std::ofstream(node.config) << root.dump(1);
    return node.config;
  }
  void start(int index) {
    auto& node = *nodes[static_cast<std::size_t>(index)];
    write_settings(node);
    node.output = folder_ + "/" + node.name + ".log";
    const char* run = std::getenv("BANKHILL_RUN");  // the deploy file's `run`
    std::istringstream words(!node.run.empty() ? node.run : run == nullptr ? "target/bankhill --config" : run);
    std::vector<std::string> arguments;
    for (std::string word; words >> word;) arguments.push_back(word);
    arguments.push_back(node.config);
    if (!setup.operator_config.empty()) {
      arguments.push_back("--operator-config");
      arguments.push_back(setup.operator_config);
    }
    const pid_t parent = getpid();
    node.pid = fork();
    if (node.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(1);
      const int out = open(node.output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      for (int id = 3; id < 4096; ++id) close(id);
      setenv("LOG_LEVEL", setup.log_level.c_str(), 1);
      std::vector<char*> argv;
      for (auto& argument : arguments) argv.push_back(argument.data());
      argv.push_back(nullptr);
      execv(argv[0], argv.data());
      _exit(127);
    }
    node.wanted = true;
    node.stopped = false;
    ++node.starts;
    log("controller %s: started (%d. time), pid %d", node.name.c_str(), node.starts, node.pid);
  }
  void start_all() {
    for (const auto& node : nodes) start(node->index);
  }
  void kill_node(int index) {
    auto& node = *nodes[static_cast<std::size_t>(index)];
    if (node.pid <= 0) return;
    node.wanted = false;
    kill(node.pid, SIGKILL);
    waitpid(node.pid, nullptr, 0);
    node.pid = 0;
    node.healthy = false;
    log("controller %s: killed", node.name.c_str());
  }
  void stop_node(int index) {
    auto& node = *nodes[static_cast<std::size_t>(index)];
    if (node.pid > 0) kill(node.pid, SIGSTOP);
    node.stopped = true;
    log("controller %s: stands still", node.name.c_str());
  }
  void continue_node(int index) {
    auto& node = *nodes[static_cast<std::size_t>(index)];
    if (node.pid > 0) kill(node.pid, SIGCONT);
    node.stopped = false;
    log("controller %s: goes on", node.name.c_str());
  }
  // What the platform does with a process that goes over its memory: it is killed and started again.
  void limit_memory(double most_mb, double back_after_s) {
    for (const auto& node : nodes) {
      if (node->pid <= 0 || node->stopped) continue;
      const double used = memory_mb(node->index);
      peak_mb = std::max(peak_mb, used);
      if (used <= most_mb) continue;
      ++memory_kills;
      log("platform: %s holds %.1f MB of %.1f MB, it is killed and started again", node->name.c_str(), used, most_mb);
      kill_node(node->index);
      later(back_after_s, [this, index = node->index] {
        if (nodes[static_cast<std::size_t>(index)]->pid == 0) start(index);
      });
    }
  }
  int memory_kills = 0;
  double peak_mb = 0;
  // Resident memory in MB.
  double memory_mb(int index) const {
    const auto& node = *nodes[static_cast<std::size_t>(index)];
    std::ifstream status("/proc/" + std::to_string(node.pid) + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.starts_with("VmRSS:")) return std::stod(line.substr(6)) / 1024;
    return 0;
  }
  // The controller that holds the leader's lease, as the state service sees it; -1 if none.
  int leader() const {
    const auto* record = state.get("bankhill/leader");
    if (record == nullptr) return -1;
    for (const auto& node : nodes)
      if (record->value("node", "") == node->name) return node->index;
    return -1;
  }
  int healthy_count() const {
    int count = 0;
    for (const auto& node : nodes) count += node->healthy;
    return count;
  }

  // Users.
  std::map<std::string, UserJob> jobs;
  std::set<int> user_cut;  // controllers that users can't reach
  bool log_requests = false;
  void user_request(int node, Method method, const std::string& path, const std::string& body, double timeout,
                    std::function<void(Response)> done) {
    if (user_cut.contains(node)) return later(timeout, [done] { done({}); });
    const auto sent = now();
    client.send(loopback(nodes[static_cast<std::size_t>(node)]->api), {method, path, body}, timeout,
                [this, node, method, path, body, sent, done](Response response) {
                  if (log_requests)
                    log("user: sent at %.3f to worker-%d %s %s %s -> %d %s", sent, node,
                        method == Method::get ? "GET" : "POST", path.c_str(), body.c_str(), response.status,
                        response.body.c_str());
                  done(std::move(response));
                });
  }
  int pick_node() {
    std::vector<int> candidates;
    for (const auto& node : nodes)
      if (node->healthy && !user_cut.contains(node->index)) candidates.push_back(node->index);
    if (candidates.empty()) return static_cast<int>(loop.random()() % nodes.size());
    return candidates[loop.random()() % candidates.size()];
  }
  void submit(JobSpec spec, int node = -1) {
    auto& job = jobs[spec.id];
    job.spec = std::move(spec);
    job.submitted_at = now();
    try_submit(job.spec.id, node, now() + 60);
  }
  void withdraw(const std::string& id, int node = -1) {
    auto& job = jobs.at(id);
    if (job.withdraw_asked_at >= 0) return;
    job.withdraw_asked_at = now();
    try_withdraw(id, node);
  }
  // Repeats the submission of a job that was accepted before; it may be over.
  void resubmit(const std::string& id, int node) {
    const auto& spec = jobs.at(id).spec;
    const double sent = now();
    user_request(node, Method::post, "/submissions", spec.json().dump(), 5, [this, id, sent, node](Response r) {
      if (r.status == 400 || r.status == 422)
        broken("forgotten", "repeated submission of " + id + " got " + std::to_string(r.status));
      if (r.status == 200 || r.status == 201) check_answer(id, r, sent, node);
    });
  }
  void poll(const std::string& id, int node, std::function<void(Response)> done = {}) {
    const double sent = now();
    user_request(node, Method::get, "/submissions/" + id, "", 2, [this, id, sent, node, done](Response r) {
      check_answer(id, r, sent, node);
      if (done) done(r);
    });
  }
  void check_answer(const std::string& id, const Response& response, double sent, int node) {
    const auto found = jobs.find(id);
    if (response.status == 404) {
      if (found != jobs.end() && found->second.accepted_at >= 0 && found->second.accepted_at <= sent)
        broken("forgotten", id + " was accepted and gets 404 from worker-" + std::to_string(node));
      return;
    }
    if (response.status != 200 && response.status != 201) return;
    if (found == jobs.end()) return broken("invented", id + ": " + response.body);
    auto& job = found->second;
    ++answers;
    job.last_answer_at = now();
    std::string phase;
    try {
      const auto body = Json::parse(response.body);
      phase = body.at("phase");
      if (body.at("uid") != id) broken("foreign", id + " got " + response.body);
    } catch (const std::exception&) {
      broken("foreign", id + " got " + response.body);
      return;
    }
    if (job.done_at >= 0 && job.done_at <= sent && phase != "done")
      broken("went_back", id + " was called done, now " + phase + " by worker-" + std::to_string(node));
    if (job.cancelled_at >= 0 && job.cancelled_at <= sent && phase != "cancelled")
      broken("went_back", id + " was called cancelled, now " + phase + " by worker-" + std::to_string(node));
    if (phase == "cancelled" && job.withdraw_asked_at < 0 && job.spec.waits_on.empty())
      broken("went_back", id + " is called cancelled, its user did not cancel it");
    if (phase == "done" && static_cast<int>(job.done_members.size()) < job.spec.members)
      broken("not_done", id + " is called done, " + std::to_string(job.done_members.size()) + " of " +
                             std::to_string(job.spec.members) + " tasks are");
    if (phase == "done" && job.done_at < 0) {
      job.done_at = now();
      log("user: %s is done, by worker-%d", id.c_str(), node);
    }
    if (phase == "cancelled" && job.cancelled_at < 0) {
      job.cancelled_at = now();
      log("user: %s is cancelled, by worker-%d", id.c_str(), node);
    }
  }

  // What runs where, as the machines see it.
  bool on_image_ready(Worker& worker, Task& task) {
    auto& places = running[task.member];
    auto job = jobs.find(task.job);
    if (task.on_machine) return true;
    ++starts;
    if (job != jobs.end()) ++job->second.starts;
    for (const auto* other : places)
      if (other != &worker && !other->gone)
        broken("ran_twice", task.member + " starts on " + worker.host + " while it is on " + other->host);
    log("machine %s: %s begins (attempt %llu)", worker.host.c_str(), task.member.c_str(),
        static_cast<unsigned long long>(task.try_no));
    places.insert(&worker);
    task.on_machine = true;
    if (on_start) on_start(worker, task.member);
    if (job == jobs.end()) return true;
    const auto& spec = job->second.spec;
    if (!spec.flavors.is_null() && std::find(spec.flavors.begin(), spec.flavors.end(), worker.type.name) == spec.flavors.end())
      broken("wrong_place", task.member + " on type " + worker.type.name);
    if (!spec.rack_room.is_null() && spec.rack_room != worker.room)
      broken("wrong_place", task.member + " in zone " + worker.room);
    if (worker.reclaimable && !spec.reclaimable) broken("wrong_place", task.member + " on a spot machine");
    std::map<std::string, int> zones;
    for (const auto& [member, hosts] : running)
      if (member.starts_with(spec.id + "/"))
        for (const auto* host : hosts) ++zones[host->room];
    if (spec.together && zones.size() > 1) broken("wrong_place", task.member + " in another zone than others");
    if (spec.scatter && zones[worker.room] > (spec.members + 1) / 2)
      broken("wrong_place", task.member + ": too many in " + worker.room);
    for (const auto& need : spec.waits_on) {
      const auto found = jobs.find(need);
      if (found != jobs.end() &&
          static_cast<int>(found->second.done_members.size()) < found->second.spec.members)
        broken("too_early", task.member + " starts before " + need + " is done");
    }
    check_quota(spec.owner);
    check_cancelled(job->second, worker, task.member, true);
    return true;
  }
  void on_off(Worker& worker, Task& task, const std::string& why) {
    if (!task.on_machine) return;
    task.on_machine = false;
    running[task.member].erase(&worker);
    log("machine %s: %s ends, %s", worker.host.c_str(), task.member.c_str(), why.c_str());
  }
  void on_done(const Task& task) {
    const auto job = jobs.find(task.job);
    if (job == jobs.end()) return;
    job->second.done_members.insert(task.member);
    job->second.last_task_done_at = now();
  }
  void check_quota(const std::string& owner) {
    double cores = 0;
    for (const auto& [member, hosts] : running) {
      const auto job = jobs.find(member.substr(0, member.find('/')));
      if (job != jobs.end() && job->second.spec.owner == owner)
        cores += job->second.spec.cores * static_cast<double>(hosts.size());
    }
    for (const auto& team : setup.teams)
      if (team.name == owner && team.cpus_max > 0 && cores > team.cpus_max + 1e-6)
        broken("quota", owner + " uses " + std::to_string(cores) + " cores");
  }
  void check_cancelled(const UserJob& job, const Worker& worker, const std::string& member, bool starts_now) {
    if (job.cancelled_at < 0 || now() <= job.cancelled_at + setup.cancel_s) return;
    if (reported_.insert(member + worker.host).second)
      broken("ran_cancelled", member + (starts_now ? " starts on " : " is on ") + worker.host + " " +
                                  std::to_string(now() - job.cancelled_at) +
                                  " s after its user was told that it is cancelled");
  }
  void check_running() {
    for (const auto& [member, hosts] : running)
      for (const auto* host : hosts)
        if (const auto job = jobs.find(member.substr(0, member.find('/'))); job != jobs.end())
          check_cancelled(job->second, *host, member, false);
  }

  void later(double seconds, std::function<void()> work) {
    const auto id = next_timer_++;
    timers_[id] = loop.after(seconds, [this, id, work] {
      const auto self = timers_.extract(id);
      work();
    });
  }
  double unit() { return std::uniform_real_distribution<double>(0, 1)(loop.random()); }
  int node_named(const std::string& name) const {
    for (const auto& node : nodes)
      if (node->name == name) return node->index;
    return -1;
  }
  void end() {
    for (auto& node : nodes)
      if (node->pid > 0) {
        kill(node->pid, SIGKILL);
        waitpid(node->pid, nullptr, 0);
        node->pid = 0;
      }
  }

  EventLoop loop;
  Setup setup;
  StateService state;
  Cloud cloud;
  EvhttpClient client;
  std::vector<std::unique_ptr<Controller>> nodes;
  std::map<std::string, std::set<Worker*>> running;  // member: machines that it is on
  std::map<std::string, int> violations;
  std::vector<int> deaths;  // controllers that ended by themselves
  long answers = 0, starts = 0;
  double late_reports = 0;  // share of the workers' reports of which a copy arrives again
  double began = 0;
  std::function<void()> each_tick;
  std::function<void(Worker& worker, const std::string& member)> on_start;
  // Machines that a task of the job is on now.
  std::map<std::string, Worker*> places(const std::string& job) const {
    std::map<std::string, Worker*> result;
    for (const auto& [member, hosts] : running)
      if (member.starts_with(job + "/") && !hosts.empty()) result[member] = *hosts.begin();
    return result;
  }

 private:
  void try_submit(const std::string& id, int node, double give_up) {
    auto& job = jobs.at(id);
    const double sent = now();
    const int target = node >= 0 ? node : pick_node();
    user_request(target, Method::post, "/submissions", job.spec.json().dump(), 5,
                 [this, id, give_up, sent, target, node](Response r) {
                   auto& found = jobs.at(id);
                   if (r.status == 200 || r.status == 201) {
                     if (found.accepted_at < 0) {
                       found.accepted_at = now();
                       log("user: %s is accepted by worker-%d", id.c_str(), target);
                     }
                     check_answer(id, r, sent, target);
                     later(1 + unit(), [this, id] { poll_on(id); });
                     return;
                   }
                   if (r.status == 400 || r.status == 422) {
                     found.refused = true;
                     log("user: %s is refused with %d: %s", id.c_str(), r.status, r.body.c_str());
                     return;
                   }
                   if (now() > give_up) {
                     log("user: gives %s up", id.c_str());
                     return;
                   }
                   later(std::max(1.0, r.retry_after_s.value_or(0)),
                         [this, id, node, give_up] { try_submit(id, node, give_up); });
                 });
  }
  void try_withdraw(const std::string& id, int node) {
    const double sent = now();
    const int target = node >= 0 ? node : pick_node();
    user_request(target, Method::post, "/submissions/" + id + "/withdraw", "{}", 5,
                 [this, id, node, sent, target](Response r) {
                   if (r.status == 200) return check_answer(id, r, sent, target);
                   if (r.status == 404) return check_answer(id, r, sent, target);
                   later(std::max(1.0, r.retry_after_s.value_or(0)), [this, id, node] { try_withdraw(id, node); });
                 });
  }
  void poll_on(const std::string& id) {
    const auto& job = jobs.at(id);
    if (!job.polls || job.done_at >= 0 || job.cancelled_at >= 0) return;
    poll(id, pick_node(), [this, id](const Response&) { later(4 + 2 * unit(), [this, id] { poll_on(id); }); });
  }
  void probe() {
    probe_timer_ = loop.after(1, [this] { probe(); });
    for (const auto& node : nodes) {
      if (node->pid <= 0) continue;
      client.send(loopback(node->api), {Method::get, "/healthz", ""}, 1, [this, raw = node.get()](Response r) {
        const bool healthy = r.status == 200;
        if (healthy != raw->healthy) log("controller %s: %s", raw->name.c_str(), healthy ? "healthy" : "not healthy");
        raw->healthy = healthy;
      });
    }
  }
  void tick() {
    timer_ = loop.after(0.02, [this] { tick(); });
    for (auto& [host, machine] : cloud.machines) machine->tick();
    check_running();
    for (auto& node : nodes) {
      int status = 0;
      if (node->pid > 0 && waitpid(node->pid, &status, WNOHANG) == node->pid) {
        node->pid = 0;
        node->healthy = false;
        deaths.push_back(node->index);
        log("controller %s: ended by itself, %s %d", node->name.c_str(), WIFSIGNALED(status) ? "signal" : "exit code",
            WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
      }
    }
    if (each_tick) each_tick();
  }

  std::string folder_;
  FILE* record_;
  std::map<std::uint64_t, Timer> timers_;
  std::uint64_t next_timer_ = 0;
  Timer timer_, probe_timer_;
  std::set<std::string> reported_;
};

// ------------------------------------------------------------------------------------------- workers, in full
inline Worker::Worker(Site& site, std::string name, MachineType machine_type, std::string zone, bool spot)
    : host(std::move(name)), type(std::move(machine_type)), room(std::move(zone)), reclaimable(spot), site_(site) {
  const int port = free_port();
  address = loopback(port);
  server_ = std::make_unique<EvhttpServer>(
      site.loop, quiet(), address, 600, bankhill::net::SocketShares{1000, 1000}, [this](Request request, Reply reply) {
        if (!up || gone || deaf) return held_.push_back([reply] { (void)reply; });
        const double release = std::max(hold_commands_until, hang_until_);
        if (now() < release) {
          site_.log("machine %s: %s is held up on its way", host.c_str(), request.path.c_str());
          const bool hang = hang_until_ >= release;
          const auto work = [this, request, reply] {
            if (gone) return;
            site_.log("machine %s: held request arrives: %s", host.c_str(), request.body.c_str());
            const auto response = direct(request);
            reply(response);
          };
          if (hang) return held_.push_back(work);
          return site_.later(release - now(), work);
        }
        const auto response = direct(request);
        if (now() < lose_command_answers_until) return held_.push_back([reply] { (void)reply; });
        reply(response);
      });
}
inline Worker::~Worker() = default;
inline double Worker::now() const { return site_.now(); }
inline bool Worker::hung() const { return now() < hang_until_; }
inline double Worker::used_cores() const {
  double cores = 0;
  for (const auto& task : tasks)
    if (task.phase != "exited")
      if (const auto job = site_.jobs.find(task.job); job != site_.jobs.end()) cores += job->second.spec.cores;
  return cores;
}
inline void Worker::begin() {
  up = true;
  up_at = lease_from_ = now();
  last_report_ = -10;
  next_report_ = now();
  node_ = static_cast<int>(site_.loop.random()() % site_.nodes.size());
  site_.log("machine %s: up (%s in %s%s)", host.c_str(), type.name.c_str(), room.c_str(), reclaimable ? ", spot" : "");
}
inline void Worker::end(const std::string& why) {
  if (gone) return;
  gone = true;
  gone_at = now();
  for (auto& task : tasks) site_.on_off(*this, task, why);
  site_.log("machine %s: gone, %s", host.c_str(), why.c_str());
}
inline void Worker::hang(double seconds) {
  hang_until_ = now() + seconds;
  site_.log("machine %s: hangs for %.1f s", host.c_str(), seconds);
}
inline Json Worker::report() {
  Json members = Json::array();
  for (const auto& task : tasks) {
    Json item{{"member", task.member}, {"try_no", task.try_no}, {"phase", task.phase}};
    if (task.phase == "exited") item["exit_cause"] = task.cause;
    if (task.kept) item["kept"] = true;
    members.push_back(item);
  }
  ++counter;
  return Json{{"host", host},     {"address", address}, {"flavor", type.name}, {"rack_room", room},
              {"reclaimable", reclaimable}, {"tenure", tenure},   {"counter", counter},  {"fence", fence},
              {"warning_s", nullptr}, {"members", members}};
}
inline void Worker::expire() {
  for (auto& task : tasks) site_.on_off(*this, task, "the lease is over");
  site_.log("machine %s: the lease of session %llu is over, %zu tasks", host.c_str(),
            static_cast<unsigned long long>(tenure), tasks.size());
  tasks.clear();
  fetching_.clear();
  ++tenure;
  lease_from_ = now();
  changed();
}
inline void Worker::exit_task(Task& task, const std::string& cause) {
  site_.on_off(*this, task, cause);
  task.phase = "exited";
  task.cause = cause;
  if (cause == "done") {
    results.insert(task.member);
    site_.on_done(task);
  }
  changed();
}
inline void Worker::tick() {
  if (!up || gone) return;
  // A machine that hangs goes on within its lease or not at all: past it its tasks are over.
  if (hung() && now() > lease_from_ + site_.setup.lease_s)
    for (auto& task : tasks) site_.on_off(*this, task, "the lease is over while the machine hangs");
  if (hung()) return;
  if (hang_until_ > 0) {
    hang_until_ = 0;
    site_.log("machine %s: goes on", host.c_str());
    if (now() > lease_from_ + site_.setup.lease_s) expire();
    auto held = std::exchange(held_, {});
    for (auto& work : held) work();
  }
  if (now() > lease_from_ + site_.setup.lease_s) expire();
  for (auto& task : tasks) {
    const auto job = site_.jobs.find(task.job);
    if (job == site_.jobs.end()) continue;
    const auto& spec = job->second.spec;
    if (task.phase == "pulling") {
      if (!images.contains(spec.bundle)) {
        auto [fetch, added] = fetching_.try_emplace(spec.bundle, now() + spec.size_gb / type.pull_gb_per_s);
        if (now() < fetch->second) continue;
        images.insert(spec.bundle);
        fetching_.erase(spec.bundle);
      }
      site_.on_image_ready(*this, task);
      task.phase = "running";
      task.began = now();
      task.runs_until = spec.shape == "daemon" ? 1e18 : now() + spec.run_s * speed;
      if (results.contains(task.member)) task.runs_until = now();
      task.fails = sick || spec.errors;
      if (task.fails) task.runs_until = now() + 0.2;
      changed();
    }
    if (task.phase == "running" && now() >= task.runs_until) exit_task(task, task.fails ? "error" : "done");
    if (task.phase == "flushing" && now() >= task.flush_until) {
      task.kept = true;
      exit_task(task, "halted");
    }
  }
  if (in_flight_) return;
  if (now() >= next_report_ || (change_ && now() >= last_report_ + 0.5 && next_report_ - now() < 1e8)) send_report();
}
inline void Worker::send_report() {
  change_ = false;
  in_flight_ = true;
  last_report_ = now();
  next_report_ = 1e18;
  const int exchange = ++exchange_;
  const auto body = report();
  const double sent = now();
  const auto session = tenure;
  const int node = node_;
  auto done = [this, exchange, sent, session](Response response) {
    if (exchange != exchange_ || gone) return;
    if (hung()) response = {};  // not read within its time
    in_flight_ = false;
    const auto& setup = site_.setup;
    if (response.status == 200) {
      next_report_ = now() + setup.report_s * (0.75 + 0.5 * site_.unit());
      Json answer = Json::parse(response.body, nullptr, false);
      if (!answer.is_object()) return;
      if (!answer.contains("fence") || answer["fence"].get<std::uint64_t>() < fence || session != tenure) {
        site_.log("machine %s: drops an answer: %s", host.c_str(), response.body.c_str());
        return;
      }
      const auto token = answer["fence"].get<std::uint64_t>();
      if (token > fence) {
        fence = token;
        if (now() - last_fence_change_ > setup.lease_s / 2) {
          last_fence_change_ = now();
          changed();
        }
      }
      lease_from_ = std::max(lease_from_, sent);
      execute(answer.value("orders", Json::array()));
      return;
    }
    const Json answer = Json::parse(response.body, nullptr, false);
    const int named = response.status == 421 && answer.is_object() ? site_.node_named(answer.value("controller", "")) : -1;
    if (named >= 0 && named != node_) {
      node_ = named;
      next_report_ = now() + 0.5 * site_.unit();
      return;
    }
    node_ = (node_ + 1) % static_cast<int>(site_.nodes.size());
    next_report_ = now() + 1;
    change_ = false;
  };
  if (site_.late_reports > 0 && site_.unit() < site_.late_reports)  // a copy arrives again later
    site_.later(2 + 1.2 * site_.setup.lease_s * site_.unit(), [this, text = body.dump()] {
      site_.client.send(loopback(site_.nodes[site_.loop.random()() % site_.nodes.size()]->api),
                        {Method::post, "/v1/report", text}, 4, [](Response) {});
    });
  if (mute || unreachable.contains(node)) return site_.later(4, [done] { done({}); });
  site_.client.send(loopback(site_.nodes[static_cast<std::size_t>(node)]->api), {Method::post, "/v1/report", body.dump()}, 4,
                    [this, done, sent](Response response) {
                      if (deaf) return site_.later(std::max(0.0, sent + 4 - now()), [done] { done({}); });
                      done(std::move(response));
                    });
}
inline void Worker::execute(const Json& orders) {
  for (const auto& order : orders) {
    const std::string verb = order.at("verb"), member = order.at("member");
    const auto try_no = order.at("try_no").get<std::uint64_t>();
    const auto same = std::find_if(tasks.begin(), tasks.end(), [&](const Task& task) {
      return task.member == member && task.try_no == try_no;
    });
    if (verb == "start") {
      if (same != tasks.end()) continue;
      Task task;
      task.member = member;
      task.job = member.substr(0, member.find('/'));
      task.try_no = try_no;
      task.phase = "pulling";
      const auto job = site_.jobs.find(task.job);
      const bool busy = std::any_of(tasks.begin(), tasks.end(), [&](const Task& other) {
        return other.member == member && other.phase != "exited";
      });
      if (job == site_.jobs.end()) {
        task.phase = "exited";
        task.cause = "no_such";
      } else if (busy) {
        task.phase = "exited";
        task.cause = "busy";
      } else if (used_cores() + job->second.spec.cores > type.cores + 1e-6) {
        task.phase = "exited";
        task.cause = "no_room";
      }
      tasks.push_back(task);
      changed();
    } else if (verb == "stop") {
      if (same == tasks.end() || same->phase == "exited") continue;
      const auto job = site_.jobs.find(same->job);
      const double wind_down = order.value("wind_down_s", 0.0);
      if (same->phase == "running" && job != site_.jobs.end() && job->second.spec.snapshot_s > 0 &&
          wind_down >= job->second.spec.flush_s) {
        same->phase = "flushing";
        same->flush_until = now() + job->second.spec.flush_s;
        changed();
      } else if (same->phase != "flushing" || wind_down == 0) {
        exit_task(*same, "halted");
      }
    } else if (verb == "forget") {
      if (same != tasks.end() && same->phase == "exited") {
        tasks.erase(same);
        changed();
      }
    }
  }
}
inline Response Worker::direct(const Request& request) {
  if (request.path == "/show") return {200, report().dump(), std::nullopt};
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("fence") || !body.contains("tenure")) return {400, "{}", std::nullopt};
  const auto token = body["fence"].get<std::uint64_t>();
  if (now() > lease_from_ + site_.setup.lease_s) expire();
  if (token > fence) {
    fence = token;
    if (now() - last_fence_change_ > site_.setup.lease_s / 2) {
      last_fence_change_ = now();
      changed();
    }
  }
  if (token < fence || body["tenure"].get<std::uint64_t>() != tenure) return {409, report().dump(), std::nullopt};
  execute(body.value("orders", Json::array()));
  return {200, report().dump(), std::nullopt};
}

// --------------------------------------------------------------------------------------------- cloud, in full
inline Cloud::Cloud(Site& site) : site_(site), rps_(site.setup.cloud_rps, 2) {}
inline Worker* Cloud::rent(const std::string& flavor, const std::string& room, bool reclaimable) {
  for (const auto& type : site_.setup.types) {
    if (type.name != flavor) continue;
    if (std::find(type.zones.begin(), type.zones.end(), room) == type.zones.end()) return nullptr;
    int present = 0;
    for (const auto& [host, machine] : machines)
      present += !machine->gone && machine->type.name == flavor && machine->room == room && machine->reclaimable == reclaimable;
    if (present >= type.capacity) return nullptr;
    char host[20];
    std::snprintf(host, sizeof host, "n-%06d", ++last_);
    auto& machine = machines[host] = std::make_unique<Worker>(site_, host, type, room, reclaimable);
    machine->requested_at = site_.now();
    const double boot = boot_time ? boot_time(last_) : type.boot_s * (boot_low + (boot_high - boot_low) * site_.unit());
    site_.later(boot, [raw = machine.get()] {
      if (!raw->gone) raw->begin();
    });
    return machine.get();
  }
  return nullptr;
}
inline void Cloud::handle(Request request, Reply reply) {
  if (answer_late_s > 0)
    reply = [this, reply](Response response) { site_.later(answer_late_s, [reply, response] { reply(response); }); };
  if (down) return reply({503, Json{{"error", "trouble"}}.dump(), std::nullopt});
  if (!rps_.take(site_.loop.now(), 1)) return reply({429, "{}", std::nullopt});
  if (request.path == "/flavors") {
    Json list = Json::array();
    for (const auto& type : site_.setup.types)
      list.push_back({{"name", type.name}, {"cores", type.cores}, {"accelerators", 0}, {"ram_gb", type.ram_gb},
                      {"local_gb", 70}, {"pull_gb_per_s", type.pull_gb_per_s}, {"rate", type.rate},
                      {"low_price", type.low_price}, {"boot_s", type.boot_s}, {"rack_rooms", type.zones}});
    return reply({200, Json{{"flavors", list}}.dump(), std::nullopt});
  }
  if (request.path == "/machines" && request.method == Method::post) {
    const Json body = Json::parse(request.body);
    const std::string name = body.at("rental");
    if (const auto known = rentals_.find(name); known != rentals_.end()) return reply({200, known->second.dump(), std::nullopt});
    Json hosts = Json::array();
    for (int i = 0; i < body.at("count").get<int>(); ++i)
      if (auto* machine = rent(body.at("flavor"), body.at("rack_room"), body.at("reclaimable"))) hosts.push_back(machine->host);
    if (hosts.empty()) return reply({503, Json{{"error", "no capacity"}}.dump(), std::nullopt});
    rentals_[name] = Json{{"hosts", hosts}};
    return reply({200, rentals_[name].dump(), std::nullopt});
  }
  if (request.path == "/machines/release") {
    const Json body = Json::parse(request.body);
    for (const auto& host : body.at("hosts"))
      if (const auto found = machines.find(host.get<std::string>()); found != machines.end()) found->second->end("returned");
    return reply({200, "{}", std::nullopt});
  }
  if (request.path.starts_with("/machines")) {
    const auto after = query(request.path, "after", "");
    const auto most = std::stoul(query(request.path, "most", "500"));
    const double at = site_.now() - site_.setup.list_lag_s;
    Json list = Json::array();
    bool next = false;
    for (const auto& [host, machine] : machines) {
      if (host <= after || machine->requested_at > at || (machine->gone && machine->gone_at <= at)) continue;
      if (list.size() == most) {
        next = true;
        break;
      }
      const bool running = machine->up && machine->up_at <= at;
      list.push_back({{"uid", host}, {"address", machine->address}, {"flavor", machine->type.name},
                      {"rack_room", machine->room}, {"reclaimable", machine->reclaimable},
                      {"phase", running ? "running" : "booting"}, {"held_s", at - machine->requested_at}});
    }
    return reply({200, Json{{"hosts", list}, {"has_next", next}}.dump(), std::nullopt});
  }
  reply({400, "{}", std::nullopt});
}

}  // namespace review
