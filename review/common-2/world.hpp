// Stand-ins for one small site on loopback: state service, cloud, workers, load balancer and users, and the
// controllers as real processes. They follow the users' pages and are shared by the cases of this review.
// Time is the steady clock, in seconds since the start of the world.
#pragma once

#include <event2/event.h>
#include <event2/http.h>
#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace review {

using Json = nlohmann::json;

struct Reply {
  int status = 0;  // 0: no answer
  Json body;
};

// A type of machine as the cloud rents it.
struct Flavor {
  std::string name;
  double cores = 0, ram_gb = 0, rate = 1, low_price = 0.3, boot_s = 35;
  std::vector<std::string> zones;
};

struct SiteOptions {
  std::vector<std::string> node_zones;  // one per controller
  std::vector<Flavor> flavors;
  Json teams = Json::array();
  Json objectives = Json::array();
  double report_s = 3, lease_s = 44, cancel_s = 69, gang_wait_s = 50, gang_peer_s = 4;
  double state_rps = 250, write_rps = 60, value_kb = 8;
  int txn_ops = 32;
  double cloud_rps = 6, list_lag_s = 6;
  double boots_s = 1.5;  // time until a rented machine is up
  // Most machines of a type, zone and kind ("type/zone/spot" or "type/zone/ordinary"); without an entry: 40.
  std::map<std::string, int> capacity;
};

struct Job {
  std::string id;
  Json body;
  double run_s = 0;       // real run time of each task; services run until they are stopped
  double submitted_at = -1, accepted_at = -1;
  int accept_status = 0;  // of the answer that ended the submission
  bool cancel_asked = false;
  double cancelled_at = -1;  // when the user was told
  double done_told_at = -1;
  std::string last_phase;
  std::set<int> completed;  // tasks that completed
  bool service() const { return body.at("shape") == "daemon"; }
  int members() const { return body.at("members").get<int>(); }
  double cores() const { return body.at("cores").get<double>(); }
  double ram() const { return body.at("ram_gb").get<double>(); }
};

struct Task {
  std::string member, job, phase, cause;
  std::uint64_t attempt = 0, serial = 0;
  bool kept = false;
  bool active() const { return phase != "exited"; }
  bool on() const { return phase == "running" || phase == "flushing"; }
};

struct Machine {
  std::string host, flavor, zone, address;
  bool spot = false, up = false, failed = false, sick = false;
  double deaf_until = 0;  // its reports arrive; answers and direct commands to it are lost
  double mute_until = 0;  // its reports reach no controller
  double fails_after_s = 0.3;  // while it is sick: from the start of a task to its end
  double hung_until = 0;  // stands still, with its tasks; what arrives meanwhile waits
  double born = 0, up_at = 0;
  std::uint64_t tenure = 1, counter = 0, fence = 0;
  double lease_from = 0, last_report = -100, next_regular = 0, not_before = 0;
  bool wanted = true, in_flight = false;
  std::uint64_t exchange = 0;
  std::size_t node = 0;
  std::map<std::string, Task> tasks;  // by member and attempt
  std::set<std::string> images;
  evhttp* server = nullptr;
  evhttp_connection* connection = nullptr;
};

class World {
 public:
  explicit World(SiteOptions options, std::string record_path);
  // Ends all controllers and this process. `code`: 1 the rule was broken, 0 it held, 2 the case could not run.
  [[noreturn]] void leave(int code, const std::string& verdict);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Controllers.
  void start_nodes();
  void start_node(std::size_t node);
  void signal_node(std::size_t node, int number);  // SIGKILL, SIGSTOP, SIGCONT
  bool node_ended(std::size_t node);               // by itself
  bool any_healthy() const;
  std::string leader() const;  // name in the state service; empty: none
  std::size_t nodes() const { return nodes_.size(); }

  // Runs the world until `seconds` on its clock, or until `reached` says so.
  bool run_until(double seconds, const std::function<bool()>& reached = {});
  void at(double when, std::function<void()> work);
  double now() const;

  // Machines.
  Machine& add_machine(const std::string& flavor, const std::string& zone, bool spot, double up_in_s);
  void stop_machine(const std::string& host);  // it fails by itself, with all that is on it
  std::map<std::string, Machine>& machines() { return machines_; }
  bool takes(const Machine& machine, const Job& job) const;  // has room for one more task of the job
  int on_machines(const std::string& job_id) const;          // tasks of the job that are on a machine
  int active(const std::string& job_id) const;               // the same and those that fetch their image
  std::map<std::string, int> rentals_asked;                  // machines asked for, by type, zone and kind

  // Users.
  Job& submit(Json body, double run_s);
  void cancel(const std::string& job_id);
  void ask(std::size_t node, const std::string& method, const std::string& path, const std::string& body,
           double timeout_s, std::function<void(Reply)> done);
  std::map<std::string, Job>& jobs() { return jobs_; }
  static Json job_body(const std::string& id, const std::string& queue, const std::string& owner,
                       const std::string& shape, const std::string& rank, int members, double cores,
                       double ram_gb);

  void note(const std::string& text);
  std::function<void(Machine&, const Json& report)> on_report;  // before it is sent
  std::function<void(const std::string& what, Machine&, Task&)> on_task;
  std::uint64_t reports_too_long = 0;

  // State service.
  // Of a transaction: 0 none, -1 carried out without an answer, -2 carried out late without an answer, -3
  // neither, or the status of a refusal.
  std::function<int(std::size_t node, const Json& transaction)> commit_fault;
  std::set<std::size_t> refused;  // nodes that get 503 from the state service
  std::set<std::size_t> unheard;  // nodes that get no answer from it
  bool state_out = false;  // 503 to everybody
  const std::map<std::string, Json>& keys() const { return key_data_; }

 private:
  struct Node {
    int api = 0, peer = 0, state_port = 0;
    pid_t pid = 0;
    bool healthy = false, wanted = false;
    int bad = 0, good = 0;
    evhttp* state = nullptr;
  };
  struct Watch {
    evhttp_request* request = nullptr;
    std::uint64_t after = 0;
    std::uint64_t id = 0;
  };
  struct Lease {
    double ttl_s = 0, ends = 0;
  };
  struct Hook {
    World* world;
    std::size_t index;
    std::string host;
  };

  evhttp* serve(int& port, Hook* hook, void (*handler)(evhttp_request*, void*));
  static void answer(evhttp_request* request, int status, const Json& body);
  void tick();
  void probe_health();
  void on_state(std::size_t node, evhttp_request* request);
  void on_cloud(evhttp_request* request);
  void on_worker(const std::string& host, evhttp_request* request);
  Reply commit(const Json& transaction);
  void changed();
  Json news_after(std::uint64_t after) const;
  void end_lease(std::uint64_t id);
  Json report_of(Machine& machine);
  void send_report(Machine& machine);
  void report_answered(const std::string& host, std::uint64_t exchange, std::uint64_t tenure, double sent,
                       int status, const std::string& body);
  void execute(Machine& machine, const Json& orders);
  void start_task(Machine& machine, const std::string& member, std::uint64_t attempt);
  void image_ready(const std::string& host, const std::string& key, std::uint64_t serial);
  void end_task(const std::string& host, const std::string& key, std::uint64_t serial,
                const std::string& cause, bool kept);
  void remove_machine(const std::string& host, const std::string& why);
  void bring_up(const std::string& host);
  void on_command(const std::string& host, evhttp_request* request);
  void try_submit(const std::string& id);
  void poll(const std::string& id);
  void try_cancel(const std::string& id);
  std::size_t pick_node();
  const Flavor& flavor(const std::string& name) const;

  SiteOptions options_;
  event_base* base_;
  double began_;
  std::string folder_;
  std::ofstream record_;
  std::mt19937_64 random_{20260807};
  std::vector<std::unique_ptr<Hook>> hooks_;
  std::vector<Node> nodes_;
  std::size_t turn_ = 0;
  evhttp* cloud_ = nullptr;
  int cloud_port_ = 0;
  double next_probe_ = 0;

  std::uint64_t epoch_ = 1, next_lease_ = 7, next_watch_ = 1, first_kept_ = 0;
  std::map<std::string, Json> key_data_;
  std::map<std::string, std::uint64_t> key_stamp_, key_hold_;
  std::deque<std::pair<std::uint64_t, Json>> history_;
  std::map<std::uint64_t, Lease> leases_;
  std::map<std::uint64_t, Watch> watches_;
  double request_tokens_ = 0, write_tokens_ = 0, cloud_tokens_ = 0, tokens_at_ = 0;

  int next_machine_ = 1;
  std::uint64_t next_serial_ = 1;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Json> rentals_;
  std::map<std::string, Job> jobs_;
};

// Reads TROUBLE: anything but 0 means that the disruption happens.
bool trouble();

}  // namespace review
