// A controller that does not lead crashes and comes back; then it is asked about a service that runs on.
// Arguments: folder for the settings and logs, path of record.txt, 1 with the crash or 0 without.
#include "site.hpp"

using namespace review;

namespace {
constexpr double kBackAfterS = 3;  // BRIEF: "back about 3 s after an end"
constexpr double kLagS = 3;        // "The state may lag by up to 3 s"
constexpr double kAskedForS = 40;
}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  const bool trouble = std::string(argv[3]) != "0";
  Site site(Setup{}, argv[1], argv[2]);
  site.log_requests = true;
  const auto finish = [&](int code, const std::string& text) {
    site.log("result: %s", text.c_str());
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
    site.end();
    _exit(code);
  };
  site.start_all();
  if (!site.until(15, [&] { return site.healthy_count() == 3; })) finish(2, "the site did not start");

  JobSpec service;
  service.id = "job-000001";
  service.shape = "daemon";
  service.queue = "portal";
  service.owner = "privat";
  service.rank = "high";
  service.reclaimable = false;
  service.ram_gb = 2.3;
  site.submit(service);
  if (!site.until(25, [&] { return site.places(service.id).size() == 1; })) finish(2, "the service did not start");

  // What each controller last said, and since when the replica runs without a break.
  std::map<int, std::string> said;
  double runs_since = site.now();
  std::map<int, double> back_at;  // when the controller was first healthy again
  int wrong = 0, right = 0;
  double first_wrong = -1, last_wrong = -1;
  const auto ask = [&](int node) {
    const double sent = site.now();
    site.user_request(node, Method::get, "/submissions/" + service.id, "", 2, [&, node, sent](Response response) {
      if (response.status != 200) return;
      const auto body = Json::parse(response.body, nullptr, false);
      said[node] = body.value("phase", "");
      // The replica has run for longer than the answer may lag, and the controller is healthy as long.
      if (sent < runs_since + kLagS || (back_at.contains(node) && sent < back_at[node] + kLagS)) return;
      if (said[node] == "running") return void(++right);
      ++wrong;
      if (first_wrong < 0) first_wrong = sent;
      last_wrong = sent;
      site.log("worker-%d says '%s' of %s, whose task runs since %.1f s ago", node, said[node].c_str(),
               service.id.c_str(), sent - runs_since);
    });
  };
  site.pass(kLagS);
  for (int node = 0; node < 3; ++node) ask(node);
  if (!site.until(3, [&] { return said[0] == "running" && said[1] == "running" && said[2] == "running"; }))
    finish(2, "not all controllers say that the service runs");

  const int leader = site.leader();
  if (leader < 0) finish(2, "nobody leads");
  const int crashed = (leader + 1) % 3;
  site.log("worker-%d leads", leader);
  if (trouble) {
    site.kill_node(crashed);
    site.pass(kBackAfterS);
    site.start(crashed);
    if (!site.until(20, [&] { return site.nodes[static_cast<std::size_t>(crashed)]->healthy; }))
      finish(2, "the controller is not back");
  }
  back_at[crashed] = site.now();
  const double end = site.now() + kAskedForS;
  while (site.now() < end) {
    if (site.places(service.id).empty()) runs_since = site.now() + 0.2;
    for (int node = 0; node < 3; ++node) ask(node);
    site.pass(0.5);
  }
  site.pass(2);
  char text[300];
  std::snprintf(text, sizeof text,
                "%d answers say 'running', %d say that no task runs (from %.1f s to %.1f s after the controller was back)",
                right, wrong, wrong > 0 ? first_wrong - back_at[crashed] : 0, wrong > 0 ? last_wrong - back_at[crashed] : 0);
  if (right == 0 && wrong == 0) finish(2, "no answers");
  if (wrong > 0) finish(1, std::string("BROKEN: ") + text);
  finish(0, std::string("held: ") + text);
}
