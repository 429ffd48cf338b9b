#include "wire/messages.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <set>
#include <string_view>
#include <utility>

namespace bankhill::wire {

namespace {

constexpr std::size_t kMaxText = 200;
// Above any real amount; guards sums against overflow and lost precision.
constexpr double kMaxAmount = 1e9;
// Rounding in sums of decimal amounts must not make a task that fits appear not to.
constexpr double kRounding = 1e-6;

template <class E, std::size_t N>
using NameTable = std::array<std::pair<E, const char*>, N>;

constexpr NameTable<Shape, 2> kShapes{{{Shape::sweep, "sweep"}, {Shape::daemon, "daemon"}}};
constexpr NameTable<Rank, 4> kRanks{{{Rank::best_effort, "best_effort"},
                                     {Rank::normal, "normal"},
                                     {Rank::high, "high"},
                                     {Rank::production, "production"}}};
constexpr NameTable<MemberPhase, 4> kPhases{{{MemberPhase::pulling, "pulling"},
                                             {MemberPhase::running, "running"},
                                             {MemberPhase::flushing, "flushing"},
                                             {MemberPhase::exited, "exited"}}};
constexpr NameTable<ExitCause, 7> kCauses{{{ExitCause::none, "none"},
                                           {ExitCause::done, "done"},
                                           {ExitCause::halted, "halted"},
                                           {ExitCause::error, "error"},
                                           {ExitCause::no_room, "no_room"},
                                           {ExitCause::busy, "busy"},
                                           {ExitCause::no_such, "no_such"}}};
constexpr NameTable<Verb, 3> kVerbs{{{Verb::start, "start"}, {Verb::stop, "stop"}, {Verb::forget, "forget"}}};

template <class E, std::size_t N>
const char* name_in(const NameTable<E, N>& table, E value) {
  for (const auto& [entry, name] : table)
    if (entry == value) return name;
  return "";
}

template <class E, std::size_t N>
E value_in(const NameTable<E, N>& table, const std::string& name, const char* field) {
  for (const auto& [entry, text] : table)
    if (name == text) return entry;
  throw FieldError(field, "is not one of its values");
}

[[noreturn]] void bad(const char* name, const char* what) { throw FieldError(name, what); }

const Json& field(const Json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || found->is_null()) bad(name, "is missing");
  return *found;
}

std::vector<std::string> texts_field(const Json& object, const char* name) {
  const auto& list = field(object, name);
  if (!list.is_array()) bad(name, "is not a list");
  std::vector<std::string> result;
  for (const auto& item : list) {
    if (!item.is_string()) bad(name, "holds something other than text");
    result.push_back(item.get<std::string>());
  }
  return result;
}

const Json& list_field(const Json& object, const char* name) {
  const auto& list = field(object, name);
  if (!list.is_array()) bad(name, "is not a list");
  return list;
}

std::vector<JobId> jobs_field(const Json& object, const char* name) {
  std::vector<JobId> jobs;
  std::set<JobId> seen;
  for (const auto& text : texts_field(object, name)) {
    auto id = parse_job_id(text);
    if (!id) bad(name, "holds something other than job ids");
    if (seen.insert(*id).second) jobs.push_back(std::move(*id));
  }
  return jobs;
}

MemberId member_field(const Json& object) {
  auto member = parse_member_id(text_field(object, "member"));
  if (!member) bad("member", "has the wrong form");
  return std::move(*member);
}

Amounts amounts_of(const Json& object) {
  return {amount_field(object, "cores"), amount_field(object, "accelerators"),
          amount_field(object, "ram_gb")};
}

void put_amounts(Json& object, const Amounts& amounts) {
  object["cores"] = amounts.cores;
  object["accelerators"] = amounts.accelerators;
  object["ram_gb"] = amounts.ram_gb;
}

}  // namespace

FieldError::FieldError(std::string field, std::string problem)
    : Malformed("field '" + field + "' " + problem), field_(std::move(field)), problem_(std::move(problem)) {}

Json parse_object(const std::string& text) {
  Json value = Json::parse(text, nullptr, false);
  if (value.is_discarded()) throw Malformed("body is not JSON");
  if (!value.is_object()) throw Malformed("body is not an object");
  return value;
}

bool absent(const Json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null();
}

std::string text_field(const Json& object, const char* name) {
  const auto& value = field(object, name);
  if (!value.is_string()) bad(name, "is not text");
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > kMaxText) bad(name, "is empty or too long");
  return text;
}

double amount_field(const Json& object, const char* name) {
  const auto& value = field(object, name);
  if (!value.is_number()) bad(name, "is not a number");
  const double amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > kMaxAmount) bad(name, "is out of range");
  return amount;
}

std::uint64_t count_field(const Json& object, const char* name) {
  const auto& value = field(object, name);
  if (!value.is_number_unsigned()) bad(name, "is not a whole number");
  return value.get<std::uint64_t>();
}

bool flag_field(const Json& object, const char* name) {
  const auto& value = field(object, name);
  if (!value.is_boolean()) bad(name, "is not true or false");
  return value.get<bool>();
}

bool Amounts::fits(const Amounts& room) const {
  return cores <= room.cores + kRounding && accelerators <= room.accelerators + kRounding &&
         ram_gb <= room.ram_gb + kRounding;
}

Amounts& Amounts::operator+=(const Amounts& other) {
  cores += other.cores;
  accelerators += other.accelerators;
  ram_gb += other.ram_gb;
  return *this;
}

Amounts& Amounts::operator-=(const Amounts& other) {
  cores -= other.cores;
  accelerators -= other.accelerators;
  ram_gb -= other.ram_gb;
  return *this;
}

const char* name_of(Shape shape) { return name_in(kShapes, shape); }
const char* name_of(Rank rank) { return name_in(kRanks, rank); }
const char* name_of(ExitCause cause) { return name_in(kCauses, cause); }

JobSpec parse_job(const Json& object) {
  JobSpec spec;
  auto uid = parse_job_id(text_field(object, "uid"));
  if (!uid) bad("uid", "has the wrong form");
  spec.uid = std::move(*uid);
  spec.queue = text_field(object, "queue");
  spec.owner = text_field(object, "owner");
  spec.shape = value_in(kShapes, text_field(object, "shape"), "shape");
  spec.rank = value_in(kRanks, text_field(object, "rank"), "rank");
  const auto members = count_field(object, "members");
  if (members < 1 || members > kMaxMembers) bad("members", "is out of range");
  spec.members = static_cast<std::uint32_t>(members);
  spec.need = amounts_of(object);
  if (spec.need.cores <= 0) bad("cores", "is out of range");
  if (!absent(object, "flavors")) spec.flavors = texts_field(object, "flavors");
  if (!absent(object, "rack_room")) spec.rack_room = text_field(object, "rack_room");
  spec.together = flag_field(object, "together");
  spec.scatter = flag_field(object, "scatter");
  spec.reclaimable = flag_field(object, "reclaimable");
  spec.bundle = text_field(object, "bundle");
  spec.size_gb = amount_field(object, "size_gb");
  spec.guess_s = amount_field(object, "guess_s");
  spec.snapshot_every_s = amount_field(object, "snapshot_every_s");
  spec.flush_s = amount_field(object, "flush_s");
  if (!absent(object, "due_s")) spec.due_s = amount_field(object, "due_s");
  if (!absent(object, "waits_on")) spec.waits_on = jobs_field(object, "waits_on");
  return spec;
}

Json to_json(const JobSpec& spec) {
  Json object{{"uid", spec.uid.value},
              {"queue", spec.queue},
              {"owner", spec.owner},
              {"shape", name_of(spec.shape)},
              {"rank", name_of(spec.rank)},
              {"members", spec.members},
              {"together", spec.together},
              {"scatter", spec.scatter},
              {"reclaimable", spec.reclaimable},
              {"bundle", spec.bundle},
              {"size_gb", spec.size_gb},
              {"guess_s", spec.guess_s},
              {"snapshot_every_s", spec.snapshot_every_s},
              {"flush_s", spec.flush_s}};
  put_amounts(object, spec.need);
  if (spec.flavors) object["flavors"] = *spec.flavors;
  if (spec.rack_room) object["rack_room"] = *spec.rack_room;
  if (spec.due_s) object["due_s"] = *spec.due_s;
  // Only where it is there: all other jobs look to version 0.2.0 as they always did.
  if (!spec.waits_on.empty()) {
    Json list = Json::array();
    for (const auto& id : spec.waits_on) list.push_back(id.value);
    object["waits_on"] = std::move(list);
  }
  return object;
}

std::vector<Flavor> parse_flavors(const Json& object) {
  std::vector<Flavor> flavors;
  for (const auto& item : list_field(object, "flavors")) {
    Flavor flavor;
    flavor.name = text_field(item, "name");
    flavor.size = amounts_of(item);
    flavor.local_gb = amount_field(item, "local_gb");
    flavor.pull_gb_per_s = amount_field(item, "pull_gb_per_s");
    flavor.rate = amount_field(item, "rate");
    flavor.low_price = amount_field(item, "low_price");
    flavor.boot_s = amount_field(item, "boot_s");
    flavor.rack_rooms = texts_field(item, "rack_rooms");
    flavors.push_back(std::move(flavor));
  }
  return flavors;
}

Json to_json(const std::vector<Flavor>& flavors) {
  Json list = Json::array();
  for (const auto& flavor : flavors) {
    Json item{{"name", flavor.name},
              {"local_gb", flavor.local_gb},
              {"pull_gb_per_s", flavor.pull_gb_per_s},
              {"rate", flavor.rate},
              {"low_price", flavor.low_price},
              {"boot_s", flavor.boot_s},
              {"rack_rooms", flavor.rack_rooms}};
    put_amounts(item, flavor.size);
    list.push_back(std::move(item));
  }
  return Json{{"flavors", std::move(list)}};
}

Report parse_report(const Json& object) {
  Report report;
  report.host = HostId{text_field(object, "host")};
  report.address = text_field(object, "address");
  report.flavor = text_field(object, "flavor");
  report.rack_room = text_field(object, "rack_room");
  report.reclaimable = flag_field(object, "reclaimable");
  report.tenure = Tenure{count_field(object, "tenure")};
  report.counter = count_field(object, "counter");
  report.fence = Fence{count_field(object, "fence")};
  if (!absent(object, "warning_s")) report.warning_s = amount_field(object, "warning_s");
  for (const auto& item : list_field(object, "members")) {
    MemberReport member;
    member.member = member_field(item);
    member.try_no = TryNo{count_field(item, "try_no")};
    member.phase = value_in(kPhases, text_field(item, "phase"), "phase");
    if (member.phase == MemberPhase::exited)
      member.cause = value_in(kCauses, text_field(item, "exit_cause"), "exit_cause");
    if (!absent(item, "kept")) member.kept = flag_field(item, "kept");
    report.members.push_back(std::move(member));
  }
  return report;
}

Json to_json(const Report& report) {
  Json members = Json::array();
  for (const auto& member : report.members) {
    Json item{{"member", member.member.text()},
              {"try_no", member.try_no.value},
              {"phase", name_in(kPhases, member.phase)}};
    if (member.phase == MemberPhase::exited) item["exit_cause"] = name_of(member.cause);
    if (member.kept) item["kept"] = true;
    members.push_back(std::move(item));
  }
  return Json{{"host", report.host.value},
              {"address", report.address},
              {"flavor", report.flavor},
              {"rack_room", report.rack_room},
              {"reclaimable", report.reclaimable},
              {"tenure", report.tenure.value},
              {"counter", report.counter},
              {"fence", report.fence.value},
              {"warning_s", report.warning_s ? Json(*report.warning_s) : Json(nullptr)},
              {"members", std::move(members)}};
}

Json to_json(const std::vector<Order>& orders) {
  Json list = Json::array();
  for (const auto& order : orders) {
    Json item{{"verb", name_in(kVerbs, order.verb)},
              {"member", order.member.text()},
              {"try_no", order.try_no.value}};
    if (order.verb == Verb::stop) item["wind_down_s"] = order.wind_down_s;
    list.push_back(std::move(item));
  }
  return list;
}

std::vector<Order> parse_orders(const Json& array) {
  std::vector<Order> orders;
  for (const auto& item : array) {
    Order order;
    order.verb = value_in(kVerbs, text_field(item, "verb"), "verb");
    order.member = member_field(item);
    order.try_no = TryNo{count_field(item, "try_no")};
    if (order.verb == Verb::stop) order.wind_down_s = amount_field(item, "wind_down_s");
    orders.push_back(std::move(order));
  }
  return orders;
}

HostPage parse_host_page(const Json& object) {
  HostPage page;
  for (const auto& item : list_field(object, "hosts")) {
    ListedHost host;
    host.uid = HostId{text_field(item, "uid")};
    host.address = absent(item, "address") ? "" : text_field(item, "address");
    host.flavor = text_field(item, "flavor");
    host.rack_room = text_field(item, "rack_room");
    host.reclaimable = flag_field(item, "reclaimable");
    host.phase = text_field(item, "phase");
    host.held_s = amount_field(item, "held_s");
    page.hosts.push_back(std::move(host));
  }
  page.has_next = !absent(object, "has_next") && flag_field(object, "has_next");
  return page;
}

}  // namespace bankhill::wire
