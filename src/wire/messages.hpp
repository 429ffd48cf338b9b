// JSON messages of users, workers and cloud, parsed at the edge into checked types.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "wire/ids.hpp"

namespace bankhill::wire {

using Json = nlohmann::json;

constexpr std::size_t kMaxBody = std::size_t{64} * 1024;
constexpr std::uint32_t kMaxMembers = 100'000;

// A message that breaks the protocol; what() tells how.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One field of a message breaks the protocol; what() is "field 'NAME' PROBLEM".
class FieldError : public Malformed {
 public:
  FieldError(std::string field, std::string problem);
  const std::string& field() const noexcept { return field_; }
  const std::string& problem() const noexcept { return problem_; }

 private:
  std::string field_;
  std::string problem_;
};

// Parses text that must be a JSON object.
Json parse_object(const std::string& text);

// Checked field access: throws FieldError.
std::string text_field(const Json& object, const char* name);
double amount_field(const Json& object, const char* name);  // finite and not negative
std::uint64_t count_field(const Json& object, const char* name);
bool flag_field(const Json& object, const char* name);
bool absent(const Json& object, const char* name);  // missing or null

// Of a task what it needs, of a machine what it has, of a team what it may use.
struct Amounts {
  double cores = 0;
  double accelerators = 0;
  double ram_gb = 0;
  bool fits(const Amounts& room) const;
  Amounts& operator+=(const Amounts& other);
  Amounts& operator-=(const Amounts& other);
  bool operator==(const Amounts&) const = default;
};

enum class Shape { sweep, daemon };
enum class Rank { best_effort, normal, high, production };  // rising

// A job as its user describes it.
struct JobSpec {
  JobId uid;
  std::string queue;
  std::string owner;
  Shape shape = Shape::sweep;
  Rank rank = Rank::normal;
  std::uint32_t members = 1;
  Amounts need;
  std::optional<std::vector<std::string>> flavors;
  std::optional<std::string> rack_room;
  bool together = false;
  bool scatter = false;
  bool reclaimable = false;
  std::string bundle;
  double size_gb = 0;
  double guess_s = 0;
  double snapshot_every_s = 0;
  double flush_s = 0;
  std::optional<double> due_s;
  std::vector<JobId> waits_on;  // must be done before any task starts; each named once
};

// Throws Malformed, as all parse functions here.
JobSpec parse_job(const Json& object);
Json to_json(const JobSpec& spec);

// A machine type that the cloud offers.
struct Flavor {
  std::string name;
  Amounts size;
  double local_gb = 0;
  double pull_gb_per_s = 1;
  double rate = 0;
  double low_price = 0;
  double boot_s = 0;
  std::vector<std::string> rack_rooms;
};

std::vector<Flavor> parse_flavors(const Json& object);
Json to_json(const std::vector<Flavor>& flavors);

enum class MemberPhase { pulling, running, flushing, exited };
enum class ExitCause { none, done, halted, error, no_room, busy, no_such };

// What a worker tells about one attempt of a task.
struct MemberReport {
  MemberId member;
  TryNo try_no;
  MemberPhase phase = MemberPhase::pulling;
  ExitCause cause = ExitCause::none;
  bool kept = false;
  bool operator==(const MemberReport&) const = default;
};

// What a worker tells at each report interval: itself and all that it runs.
struct Report {
  HostId host;
  std::string address;
  std::string flavor;
  std::string rack_room;
  bool reclaimable = false;
  Tenure tenure;
  std::uint64_t counter = 0;
  Fence fence;
  std::optional<double> warning_s;
  std::vector<MemberReport> members;
  bool operator==(const Report&) const = default;
};

Report parse_report(const Json& object);
Json to_json(const Report& report);

enum class Verb { start, stop, forget };

// What a worker is to do with one attempt of a task.
struct Order {
  Verb verb = Verb::start;
  MemberId member;
  TryNo try_no;
  double wind_down_s = 0;
  bool operator==(const Order&) const = default;
};

Json to_json(const std::vector<Order>& orders);
std::vector<Order> parse_orders(const Json& array);

// A rented machine, as the cloud lists it.
struct ListedHost {
  HostId uid;
  std::string address;
  std::string flavor;
  std::string rack_room;
  bool reclaimable = false;
  std::string phase;
  double held_s = 0;
};

// One page of the cloud's list.
struct HostPage {
  std::vector<ListedHost> hosts;
  bool has_next = false;
};

HostPage parse_host_page(const Json& object);

// The names of these values in messages.
const char* name_of(Shape shape);
const char* name_of(Rank rank);
const char* name_of(ExitCause cause);

}  // namespace bankhill::wire
