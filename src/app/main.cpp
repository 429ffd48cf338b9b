// The program: serves a controller, checks its settings, or speaks to one as a client.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "app/node.hpp"
#include "app/settings.hpp"
#include "net/evhttp_client.hpp"
#include "net/evhttp_server.hpp"
#include "net/peer_link.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/log.hpp"

namespace {

using namespace bankhill;

constexpr int kExitFailure = 1;
constexpr int kExitSettings = 2;
constexpr double kClientTimeoutS = 5;
constexpr std::size_t kServiceSockets = 16;  // to the state service and the cloud, at least

std::string log_level() {
  const char* level = std::getenv("LOG_LEVEL");
  return level == nullptr || *level == '\0' ? "info" : level;
}

app::Settings load(const std::string& config, const std::string& operator_config) {
  auto settings = app::parse_settings(app::read_file(config));
  if (!operator_config.empty()) app::read_operator_settings(app::read_file(operator_config), settings);
  return settings;
}

double wall_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void serve(const app::Settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto log = runtime::make_log("bankhill", log_level());
  runtime::EventLoop loop;
  const std::uint64_t incarnation = loop.random()() >> 1;
  // What the three kinds below leave. Direct orders must not make the state service wait.
  const double rest =
      1 - settings.own.worker_sockets - settings.own.user_sockets - settings.own.direct_sockets;
  net::EvhttpClient client(loop, log, std::max(kServiceSockets, settings.share_of_sockets(rest / 2)));
  net::EvhttpClient to_workers(loop, log, settings.share_of_sockets(settings.own.direct_sockets));
  std::vector<net::Peer> peer_addresses;
  for (const auto& peer : settings.peers) peer_addresses.push_back({peer.host_name, peer.addr});
  net::PeerLink peers(loop, log, settings.host_name, incarnation, settings.peer_listen, peer_addresses,
                      settings.control_interval_s);
  app::Node node(loop, log, settings, incarnation, client, to_workers, peers);
  // Workers and users may be silent between requests for several heartbeat intervals.
  net::EvhttpServer server(
      loop, log, settings.api_addr, settings.lease_s,
      {settings.share_of_sockets(settings.own.worker_sockets),
       settings.share_of_sockets(settings.own.user_sockets)},
      [&node](net::Request request, net::Reply reply) { node.handle(std::move(request), std::move(reply)); });
  log->info("bankhill {}: {} in {} serves on {}", BANKHILL_VERSION, settings.host_name, settings.zone,
            settings.api_addr);
  node.start();
  loop.run();
}

// One request to a controller, for the client commands; prints the answer.
int ask(const std::string& server, net::Method method, const std::string& path, const std::string& body) {
  runtime::EventLoop loop;
  net::EvhttpClient client(loop, runtime::make_log("bankhill", log_level()), 2);
  net::Response answer;
  client.send(server, {method, path, body}, kClientTimeoutS, [&](net::Response response) {
    answer = std::move(response);
    loop.stop();
  });
  loop.run();
  if (answer.status == 0) {
    std::cerr << "bankhill: no answer from " << server << "\n";
    return kExitFailure;
  }
  std::cout << answer.body << "\n";
  if (answer.status < 300) return 0;
  std::cerr << "bankhill: status " << answer.status << "\n";
  return kExitFailure;
}

// What the command line asks for. The serving of a controller has no subcommand of its own.
struct CommandLine {
  std::string config;
  std::string operator_config;
  bool check = false;

  std::string server = "127.0.0.1:8080";
  std::string job_file;
  std::vector<std::string> depends_on;
  std::string job_id;
};

// A command line that can be parsed but not followed.
struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

int submit_job(const CommandLine& line) {
  auto object = wire::parse_object(app::read_file(line.job_file));
  if (!line.depends_on.empty() && !object["waits_on"].is_array()) object["waits_on"] = wire::Json::array();
  for (const auto& id : line.depends_on) object["waits_on"].push_back(id);
  const auto job = wire::parse_job(object);
  return ask(line.server, net::Method::post, "/submissions", to_json(job).dump());
}

std::string job_path(const CommandLine& line) {
  if (!wire::parse_job_id(line.job_id)) throw UsageError("not a job's id: " + line.job_id);
  return "/submissions/" + line.job_id;
}

int show_status(const CommandLine& line) { return ask(line.server, net::Method::get, job_path(line), ""); }

int cancel_job(const CommandLine& line) {
  return ask(line.server, net::Method::post, job_path(line) + "/withdraw", "{}");
}

int check_settings(const app::Settings& settings) {
  if (const auto tenant = app::too_large_tenant(settings))
    throw app::SettingsError("operator settings: the policy of team '" + *tenant +
                             "' takes more than one value of the state service");
  std::cout << settings.cancel_budget().describe() << "\n";
  if (settings.policy) std::cout << settings.policy->describe(wall_now());
  std::cout << "settings are fine\n";
  return 0;
}

int run_controller(const CommandLine& line) {
  if (line.config.empty()) throw UsageError("--config is missing; see --help");
  const auto settings = load(line.config, line.operator_config);
  if (line.check) return check_settings(settings);
  serve(settings);
  return kExitFailure;  // a controller serves until it is ended
}

// Runs one command; what goes wrong is told on standard error.
int guarded(int (*command)(const CommandLine&), const CommandLine& line) {
  const auto failed = [](const std::exception& error, int exit_code) {
    std::cerr << "bankhill: " << error.what() << "\n";
    return exit_code;
  };
  try {
    return command(line);
  } catch (const UsageError& error) {
    return failed(error, kExitSettings);
  } catch (const app::SettingsError& error) {
    return failed(error, kExitSettings);
  } catch (const wire::ProtocolError& error) {
    return failed(error, kExitSettings);
  } catch (const std::exception& error) {
    return failed(error, kExitFailure);
  }
}

// The whole program; returns its exit code. What it throws, main() tells.
int run(int argc, char** argv) {
  CLI::App program{"bankhill: a cluster scheduler that rents its machines"};
  program.set_version_flag("--version", std::string("bankhill ") + BANKHILL_VERSION);
  CommandLine line;
  program.add_option("--config", line.config, "settings file of the platform (JSON)");
  program.add_option("--operator-config", line.operator_config, "operators' own settings (YAML)");
  program.add_flag("--check", line.check, "check the settings and exit");

  auto* submit = program.add_subcommand("submit", "submit a job described in a JSON file");
  submit->add_option("--server", line.server, "address of a controller")->capture_default_str();
  submit->add_option("file", line.job_file, "the job")->required();
  submit
      ->add_option("--waits-on", line.depends_on,
                   "a job that must be done before; may be given several times")
      ->expected(1)
      ->take_all();
  auto* status = program.add_subcommand("status", "show the state of a job");
  status->add_option("--server", line.server, "address of a controller")->capture_default_str();
  status->add_option("uid", line.job_id, "the job's id")->required();
  auto* withdraw = program.add_subcommand("withdraw", "cancel a job");
  withdraw->add_option("--server", line.server, "address of a controller")->capture_default_str();
  withdraw->add_option("uid", line.job_id, "the job's id")->required();
  program.require_subcommand(0, 1);
  CLI11_PARSE(program, argc, argv);

  if (*submit) return guarded(submit_job, line);
  if (*status) return guarded(show_status, line);
  if (*withdraw) return guarded(cancel_job, line);
  return guarded(run_controller, line);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "bankhill: " << error.what() << "\n";
    return kExitFailure;
  }
}
