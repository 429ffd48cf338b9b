// Errors tell by their type and members what went wrong; their text, which operators and users see, is fixed.
#include "net/errors.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "app/settings.hpp"
#include "net/evhttp_server.hpp"
#include "net/peer_link.hpp"
#include "policy/policy.hpp"
#include "wire/records.hpp"

namespace bankhill {
namespace {

using wire::Json;

// The error of this type that `work` throws.
template <class Error, class Work>
Error thrown_by(Work work) {
  try {
    work();
  } catch (const Error& error) {
    return error;
  }
  throw std::logic_error("nothing was thrown");
}

constexpr const char* kPlatformFile = R"({"host_name":"worker-0","zone":"za","api_addr":"10.0.0.1:8080",
  "peer_listen":"10.0.0.1:8081","siblings":[],"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
  "params":{"teams":[{"name":"red"}],"workers":{"report_s":3.5,"lease_s":44.5,"cancel_s":69.5},
    "state":{"rps":250,"write_rps":60,"value_kb":8,"txn_ops":32},"cloud":{"rps":6,"list_lag_s":6}}})";

TEST(Errors, FieldOfAMessage) {
  const auto missing =
      thrown_by<wire::FieldError>([] { wire::parse_job(Json::parse(R"({"uid":"job-1"})")); });
  EXPECT_EQ(missing.field(), "queue");
  EXPECT_EQ(missing.problem(), "is missing");
  EXPECT_STREQ(missing.what(), "field 'queue' is missing");
  const auto unknown = thrown_by<wire::FieldError>([] {
    wire::parse_job_record(Json::parse(R"({"phase":"lost","spec":{"uid":"job-1","queue":"q","owner":"o",
      "shape":"sweep","rank":"high","members":1,"cores":1,"accelerators":0,"ram_gb":1,"bundle":"b","size_gb":1,
      "together":false,"scatter":false,"reclaimable":false,"guess_s":1,"snapshot_every_s":1,"flush_s":1}})"));
  });
  EXPECT_EQ(unknown.field(), "phase");
  EXPECT_STREQ(unknown.what(), "field 'phase' is not one of its values");
  const auto tier =
      thrown_by<wire::FieldError>([] { policy::parse_tenant(Json::parse(R"({"tiers":[{"tier":10}]})")); });
  EXPECT_EQ(tier.field(), "tier");
  EXPECT_EQ(tier.problem(), "is none");
  EXPECT_STREQ(tier.what(), "field 'tier' is none");
  EXPECT_THROW(wire::parse_job(Json::object()), wire::ProtocolError) << "is one of these too";
}

TEST(Errors, FieldOfThePlatformsFile) {
  const auto with = [](const char* pointer, const Json& value) {
    auto file = Json::parse(kPlatformFile);
    file[Json::json_pointer(pointer)] = value;
    return thrown_by<app::SettingsFieldError>([&] { app::parse_settings(file.dump()); });
  };
  const std::vector<std::tuple<const char*, Json, const char*, const char*>> cases{
      {"/host_name", nullptr, "host_name", "is missing"},
      {"/external", 7, "external", "is not an object"},
      {"/siblings", 7, "siblings", "is not a list"},
      {"/params/cloud/rps", 0, "rps", "must be above 0"},
      {"/api_addr", "10.0.0.1", "api_addr", "is not an address with a port"},
      {"/params/cloud/list_lag_s", "x", "list_lag_s", "is not a number"}};
  for (const auto& [pointer, value, field, problem] : cases) {
    const auto error = with(pointer, value);
    EXPECT_EQ(error.field(), field);
    EXPECT_EQ(error.problem(), problem);
    EXPECT_EQ(error.what(), std::string("settings: field '") + field + "' " + problem);
  }
  const auto budget = with("/params/workers/cancel_s", 44);
  EXPECT_EQ(budget.field(), "cancel_s");
  EXPECT_TRUE(budget.problem().starts_with("leaves too little beyond 'lease_s': ")) << budget.problem();
  EXPECT_THROW(app::parse_settings("{"), app::SettingsError);
}

TEST(Errors, KeyOfTheOperatorsFile) {
  using app::OperatorKeyError;
  const auto unknown =
      thrown_by<OperatorKeyError>([] { app::parse_operator_settings("alpha: 0.5\nalfa: 1\n"); });
  EXPECT_EQ(unknown.key(), "alfa");
  EXPECT_EQ(unknown.problem(), OperatorKeyError::Problem::unknown_key);
  EXPECT_STREQ(unknown.what(), "operator settings: unknown key 'alfa'");
  const std::vector<std::pair<const char*, const char*>> out_of_range{
      {"alpha", "1.1"},          {"phi", "-0.1"},           {"round_paces", "0.9"},
      {"round_paces", "1001"},   {"idle_boots", "1001"},    {"final_states_kept", "99"},
      {"begin_within_s", "9"},   {"largest_share", "1.01"}, {"worker_sockets", "0.91"},
      {"user_sockets", "0.001"}, {"direct_sockets", "0"},   {"spread_workers", "2"},
      {"alpha", ".nan"}};
  for (const auto& [key, value] : out_of_range) {
    const auto error = thrown_by<OperatorKeyError>(
        [&] { app::parse_operator_settings(std::string(key) + ": " + value + "\n"); });
    EXPECT_EQ(error.key(), key);
    EXPECT_EQ(error.problem(), OperatorKeyError::Problem::out_of_range);
    EXPECT_EQ(error.what(), std::string("operator settings: '") + key + "' is out of range");
  }
  const auto shares = thrown_by<app::SettingsError>(
      [] { app::parse_operator_settings("worker_sockets: 0.6\nuser_sockets: 0.2\ndirect_sockets: 0.2\n"); });
  EXPECT_STREQ(
      shares.what(),
      "operator settings: worker_sockets, user_sockets and direct_sockets leave less than a twentieth "
      "of the sockets");
}

TEST(Errors, LineOfThePolicy) {
  const auto error = thrown_by<policy::PolicyLineError>([] {
    policy::parse_policy("tenants:\n  version: 1\n  teams:\n    blue: {}\n", policy::Site{{"red"}, {}, 0});
  });
  EXPECT_EQ(error.line(), 4);
  EXPECT_EQ(error.problem(), "unknown team 'blue'");
  EXPECT_STREQ(error.what(), "operator settings: line 4: unknown team 'blue'");
}

TEST(Errors, FileThatCannotBeRead) {
  const auto error = thrown_by<app::FileError>([] { app::read_file("/nowhere/settings.json"); });
  EXPECT_EQ(error.path(), "/nowhere/settings.json");
  EXPECT_EQ(error.reason(), std::errc::no_such_file_or_directory);
  EXPECT_STREQ(error.what(), "cannot read /nowhere/settings.json");
}

// An address on which another socket listens.
class TakenAddress {
 public:
  TakenAddress() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    EXPECT_EQ(bind(socket_, reinterpret_cast<sockaddr*>(&address), length), 0);
    EXPECT_EQ(listen(socket_, 1), 0);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
    text_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  TakenAddress(const TakenAddress&) = delete;
  TakenAddress& operator=(const TakenAddress&) = delete;
  ~TakenAddress() { ::close(socket_); }
  const std::string& text() const { return text_; }

 private:
  int socket_;
  std::string text_;
};

class ListenErrors : public testing::Test {
 protected:
  net::ListenError of_server(const std::string& address) {
    return thrown_by<net::ListenError>([&] {
      net::EvhttpServer server(loop, log, address, 60, {1, 1}, [](const net::Request&, const net::Reply&) {});
    });
  }
  runtime::EventLoop loop;
  runtime::Log log = runtime::make_log("errors", "off");
  TakenAddress taken;
};

TEST_F(ListenErrors, OfTheServer) {
  const auto error = of_server(taken.text());
  EXPECT_EQ(error.address(), taken.text());
  EXPECT_EQ(error.reason(), std::errc::address_in_use);
  EXPECT_EQ(error.what(), "cannot listen on " + taken.text());
  for (const auto* address : {"127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:x"}) {
    const auto refused = of_server(address);
    EXPECT_EQ(refused.address(), address);
    EXPECT_EQ(refused.reason(), std::errc::invalid_argument);
    EXPECT_EQ(refused.what(), std::string("cannot listen on ") + address);
  }
}

TEST_F(ListenErrors, OfThePeerLink) {
  const auto error =
      thrown_by<net::ListenError>([&] { net::PeerLink link(loop, log, "worker-0", 1, taken.text(), {}, 1); });
  EXPECT_EQ(error.address(), taken.text());
  EXPECT_EQ(error.reason(), std::errc::address_in_use);
  EXPECT_EQ(error.what(), "cannot listen on " + taken.text());
}

TEST_F(ListenErrors, AddressThatIsNone) {
  const auto error =
      thrown_by<net::AddressError>([&] { net::PeerLink link(loop, log, "worker-0", 1, "here", {}, 1); });
  EXPECT_EQ(error.address(), "here");
  EXPECT_STREQ(error.what(), "not an address: here");
}

// Both are what callers caught before they had types of their own.
TEST(Errors, AreRuntimeErrors) {
  EXPECT_STREQ(runtime::EventLoopError().what(), "cannot create an event base");
  EXPECT_THROW(throw net::AddressError("x"), std::runtime_error);
  EXPECT_THROW(throw runtime::EventLoopError(), std::runtime_error);
}

TEST(Errors, TimesForLibevent) {
  EXPECT_EQ(runtime::to_timeval(2.25).tv_sec, 2);
  EXPECT_EQ(runtime::to_timeval(2.25).tv_usec, 250000);
  EXPECT_EQ(runtime::to_timeval(-1).tv_sec, 0);
  EXPECT_EQ(runtime::to_timeval(-1).tv_usec, 0);
}

}  // namespace
}  // namespace bankhill
