// Real processes on loopback: three controllers, with the simulation's stand-ins for state service, cloud,
// workers and users behind real sockets.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

#include "net/evhttp_client.hpp"
#include "net/evhttp_server.hpp"
#include "runtime/event_loop.hpp"
#include "sim/simulated_cluster.hpp"

extern char** environ;

namespace bankhill {
namespace {

int free_port() {
  const int socket_id = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  bind(socket_id, reinterpret_cast<sockaddr*>(&address), sizeof address);
  getsockname(socket_id, reinterpret_cast<sockaddr*>(&address), &size);
  close(socket_id);
  return ntohs(address.sin_port);
}

std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

// A child process that ends with its owner.
class Process {
 public:
  explicit Process(const std::vector<std::string>& arguments, const std::string& output = "/dev/null") {
    std::vector<char*> argv;
    for (const auto& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (const int descriptor : {1, 2})
      posix_spawn_file_actions_addopen(&actions, descriptor, output.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                       0600);
    EXPECT_EQ(posix_spawn(&id_, argv[0], &actions, nullptr, argv.data(), environ), 0);
    posix_spawn_file_actions_destroy(&actions);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { end(); }
  void end() {
    if (id_ <= 0) return;
    kill(id_, SIGKILL);
    wait();
  }
  bool ended() {
    int status = 0;
    if (id_ > 0 && waitpid(id_, &status, WNOHANG) == id_) id_ = 0;
    return id_ <= 0;
  }
  int wait() {
    int status = 0;
    waitpid(id_, &status, 0);
    id_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t id_ = 0;
};

runtime::Log quiet_log() { return runtime::make_log("smoke", "off"); }

class Smoke : public testing::Test {
 protected:
  Smoke() : client(loop, runtime::make_log("smoke", "off"), 100), world(1, 0) {
    signal(SIGPIPE, SIG_IGN);  // a controller that is killed leaves broken connections
    state_port = free_port();
    cloud_port = free_port();
    state = std::make_unique<net::EvhttpServer>(
        loop, quiet_log(), loopback(state_port), 60, net::SocketShares{1000, 1000},
        [this](net::Request request, net::Reply reply) { world.serve_state(request, std::move(reply)); });
    cloud = std::make_unique<net::EvhttpServer>(
        loop, quiet_log(), loopback(cloud_port), 60, net::SocketShares{1000, 1000},
        [this](net::Request request, const net::Reply& reply) { world.serve_cloud(request, reply); });
    for (int node = 0; node < sim::SimulatedCluster::kNodes; ++node) {
      ports.push_back(free_port());
      peers.push_back(free_port());
    }
    world.to_node = [this](int node, net::Request request, net::Reply reply) {
      client.send(loopback(ports[static_cast<std::size_t>(node)]), std::move(request), 3, std::move(reply));
    };
    world.address_of = [this](const std::string& host) {
      auto& port = machine_ports[host];
      if (port == 0) {
        port = free_port();
        machine_servers.push_back(std::make_unique<net::EvhttpServer>(
            loop, quiet_log(), loopback(port), 60, net::SocketShares{1000, 1000},
            [this, host](const net::Request& request, const net::Reply& reply) {
              reply(world.serve_machine(host, request));
            }));
      }
      return loopback(port);
    };
    began = loop.now();
    tick();
  }

  void tick() {
    world.run(loop.now() - began);
    timer = loop.after(0.02, [this] { tick(); });
  }

  bool until(double seconds, const std::function<bool()>& reached) {
    const double end = loop.now() + seconds;
    while (!reached() && loop.now() < end) event_base_loop(loop.base(), EVLOOP_ONCE);
    return reached();
  }

  std::string settings(std::size_t node) {
    wire::Json root = wire::Json::parse(R"({"zone":"za","params":{
      "teams":[{"name":"red","cpus":16,"cpus_max":40,"gpus":0,"gpus_max":0},{"name":"blue","cpus":12,"cpus_max":24}],
      "workers":{"report_s":1,"lease_s":20,"cancel_s":40},
      "state":{"rps":300,"write_rps":100,"value_kb":8,"txn_ops":16},"cloud":{"rps":10,"list_lag_s":5}}})");
    root["host_name"] = "node-" + std::to_string(node);
    root["api_addr"] = loopback(ports[node]);
    root["peer_listen"] = loopback(peers[node]);
    root["external"] = {{"state", loopback(state_port)}, {"cloud", loopback(cloud_port)}};
    root["siblings"] = wire::Json::array();
    for (std::size_t other = 0; other < ports.size(); ++other)
      if (other != node)
        root["siblings"].push_back(
            {{"host_name", "node-" + std::to_string(other)}, {"addr", loopback(peers[other])}});
    const std::string path =
        testing::TempDir() + "bankhill-" + std::to_string(getpid()) + "-" + std::to_string(node);
    std::ofstream(path) << root.dump();
    return path;
  }

  int status_of(net::Request request, std::size_t node) {
    int status = -1;
    client.send(loopback(ports[node]), std::move(request), 3,
                [&](const net::Response& response) { status = response.status; });
    until(5, [&] { return status >= 0; });
    return status;
  }

  runtime::EventLoop loop;
  net::EvhttpClient client;
  std::unique_ptr<net::EvhttpServer> state;
  std::unique_ptr<net::EvhttpServer> cloud;
  std::vector<std::unique_ptr<net::EvhttpServer>> machine_servers;
  sim::SimulatedCluster world;  // holds replies of the servers: ends before they do
  std::map<std::string, int> machine_ports;
  int state_port = 0;
  int cloud_port = 0;
  std::vector<int> ports;
  std::vector<int> peers;
  runtime::Timer timer;
  double began = 0;
};

TEST_F(Smoke, ServesJobsThroughTheDeathOfAController) {
  std::vector<std::unique_ptr<Process>> nodes;
  for (std::size_t node = 0; node < ports.size(); ++node)
    nodes.push_back(
        std::make_unique<Process>(std::vector<std::string>{BANKHILL_BINARY, "--config", settings(node)}));
  for (std::size_t node = 0; node < ports.size(); ++node)
    ASSERT_TRUE(until(15, [&] {
      return status_of({net::Method::get, "/healthz", ""}, node) == 200;
    })) << node;
  EXPECT_EQ(status_of({net::Method::get, "/submissions/job-77", ""}, 0), 404);
  EXPECT_EQ(status_of({net::Method::get, "/nowhere", ""}, 0), 404);
  EXPECT_EQ(status_of({net::Method::get, "/submissions", ""}, 0), 405);
  EXPECT_EQ(status_of({net::Method::post, "/submissions", "{\"uid\":"}, 0), 400);
  EXPECT_EQ(status_of({net::Method::post, "/submissions", std::string(70000, ' ')}, 0), 413);

  sim::SimJob job;
  job.spec.job_class = "any";
  job.spec.team = "red";
  job.spec.task_count = 3;
  job.spec.request = {1, 0, 1};
  job.spec.image = "img-1";
  job.spec.estimated_runtime_s = job.run_s = 2;
  job.kept = true;  // or its user might cancel it
  world.submit(job);
  EXPECT_TRUE(until(40, [&] { return world.jobs().begin()->second.told_done; })) << "first job";
  nodes[0]->end();
  world.submit(job);
  EXPECT_TRUE(until(40, [&] { return world.jobs().rbegin()->second.told_done; })) << "after a death";
  EXPECT_TRUE(world.broken().empty()) << world.broken().front();

  // The client commands, as a user would: a pipeline is submitted, waits, is cancelled in its middle and
  // ends.
  const std::string output = testing::TempDir() + "bankhill-client-" + std::to_string(getpid());
  const auto run = [&](std::vector<std::string> arguments) {
    std::remove(output.c_str());
    arguments.insert(arguments.begin(), BANKHILL_BINARY);
    arguments.insert(arguments.end(), {"--server", loopback(ports[1])});
    Process client_process(arguments, output);
    until(30, [&] { return client_process.ended(); });
    std::ifstream read(output);
    return std::string((std::istreambuf_iterator<char>(read)), {});
  };
  EXPECT_NE(run({"status", "job-000000"}).find("\"done\""), std::string::npos);
  job.run_s = 1000;
  const auto first = world.submit(job);
  ASSERT_TRUE(until(20, [&] { return world.jobs().at(first).accepted; }));
  const std::string file = output + ".json";
  const auto submit = [&](const std::string& job_id, const std::string& waits_on) {
    job.spec.id = {job_id};
    std::ofstream(file) << to_json(job.spec).dump();
    return run({"submit", file, "--waits-on", waits_on});
  };
  EXPECT_NE(submit("job-500001", first).find("queued"), std::string::npos);
  EXPECT_NE(submit("job-500002", "job-500001").find("queued"), std::string::npos);
  EXPECT_NE(submit("job-500003", "job-777777").find("job-777777 was never accepted"), std::string::npos);
  const auto waiting = run({"status", "job-500002"});
  EXPECT_NE(waiting.find("waits for job-500001"), std::string::npos) << waiting;
  EXPECT_NE(run({"withdraw", "job-500001"}).find("cancelled"), std::string::npos);
  EXPECT_NE(run({"status", "job-500002"}).find("cancelled"), std::string::npos);
}

TEST(CommandLine, SettingsAreCheckedAndErrorsNamed) {
  const std::string path = testing::TempDir() + "bankhill-bad-" + std::to_string(getpid());
  std::ofstream(path) << R"({"host_name":"node-0","zone":"a"})";
  const std::string output = path + ".out";
  Process bad({BANKHILL_BINARY, "--check", "--config", path}, output);
  EXPECT_EQ(bad.wait(), 2);
  std::ifstream read(output);
  const std::string text((std::istreambuf_iterator<char>(read)), {});
  EXPECT_NE(text.find("'api_addr'"), std::string::npos) << text;
  Process version({BANKHILL_BINARY, "--version"});
  EXPECT_EQ(version.wait(), 0);
  Process help({BANKHILL_BINARY, "--help"});
  EXPECT_EQ(help.wait(), 0);
}

}  // namespace
}  // namespace bankhill
