#include "sim/site.hpp"

#include "sim/simulated_cluster.hpp"

namespace bankhill::sim {

using wire::Json;

const std::vector<std::string>& zones() {
  static const std::vector<std::string> all = {"za", "zb"};
  return all;
}

std::string controller_name(int node) { return "node-" + std::to_string(node); }

app::Settings site_settings(int node, int count, bool announced, const Timing& timing) {
  Json params{{"teams",
               {{{"name", "red"}, {"cpus", 16}, {"cpus_max", 40}},
                {{"name", "blue"}, {"cpus", 12}, {"cpus_max", 24}},
                {{"name", "guest"}, {"cpus", 0}, {"cpus_max", 0}}}},
              {"workers",
               {{"report_s", timing.heartbeat_interval_s},
                {"lease_s", timing.lease_s},
                {"cancel_s", timing.cancel_s}}},
              {"state", {{"rps", 300}, {"write_rps", 100}, {"value_kb", 8}, {"txn_ops", 16}}},
              {"cloud", {{"rps", 10}, {"list_lag_s", kListLag}}}};
  if (announced)
    params["state"]["next"] = {
        {"write_rps", kNextWriteRps}, {"value_kb", kNextValueKb}, {"txn_ops", kNextTxnOps}};
  Json root{{"host_name", "node-" + std::to_string(node)},
            {"zone", zones()[static_cast<std::size_t>(node) % 2]},
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

Json cloud_catalogue() {
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
                 {"rack_rooms", zones()}},
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

const wire::Resources& machine_resources(const std::string& machine_type) {
  static const wire::Resources small{4, 0, 16};
  static const wire::Resources large{16, 0, 64};
  return machine_type == "small" ? small : large;
}

}  // namespace bankhill::sim
