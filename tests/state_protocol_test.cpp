// Tests of the state service's protocol against literal requests and responses.
#include "state/state_protocol.hpp"

#include <gtest/gtest.h>

#include <string>

namespace bankhill::state::protocol {
namespace {

using net::Method;
using net::Request;
using net::Response;
using wire::Json;
using wire::KeyRevision;
using wire::StoreRevision;

constexpr std::uint64_t kLeaseId = 31;

Response response(int status, std::string body = "") { return {status, std::move(body), std::nullopt}; }

void expect_request(const Request& request, Method method, const std::string& path, const std::string& body) {
  EXPECT_EQ(request.method, method) << path;
  EXPECT_EQ(request.path, path);
  EXPECT_EQ(request.body, body);
}

TEST(StateProtocol, EncodesRequests) {
  expect_request(list_request(""), Method::get, "/keys?starts=bankhill/&most=1000", "");
  expect_request(list_request("bankhill/job/job-1"), Method::get,
                 "/keys?starts=bankhill/&most=1000&after=bankhill/job/job-1", "");
  expect_request(watch_request(StoreRevision{17}, 10000), Method::get,
                 "/watch?starts=bankhill/&after=17&block_ms=10000", "");
  expect_request(watch_request(StoreRevision{}, 0), Method::get, "/watch?starts=bankhill/&after=0&block_ms=0",
                 "");
  expect_request(key_request("bankhill/term"), Method::get, "/keys/bankhill/term", "");
  expect_request(grant_lease_request(2.5), Method::post, "/leases", R"({"ttl_ms":2500})");
  expect_request(renew_lease_request(kLeaseId), Method::post, "/leases/31/touch", "{}");
  expect_request(revoke_lease_request(kLeaseId), Method::del, "/leases/31", "");
}

TEST(StateProtocol, EncodesTransactions) {
  Transaction transaction;
  transaction.conditions = {{"a", KeyRevision{0}}, {"b", KeyRevision{7}}};
  transaction.writes = {
      {"a", Json{{"x", 1}}, std::nullopt}, {"b", std::nullopt, std::nullopt}, {"c", Json(2), kLeaseId}};
  expect_request(commit_request(transaction), Method::post, "/commit",
                 R"({"when":[{"k":"a","stamp":0},{"k":"b","stamp":7}],)"
                 R"("writes":[{"data":{"x":1},"write":"a"},{"delete":"b"},)"
                 R"({"data":2,"hold":31,"write":"c"}]})");
  expect_request(commit_request({}), Method::post, "/commit", R"({"when":[],"writes":[]})");
}

TEST(StateProtocol, DerivesTheTransactionOutcomeFromTheStatus) {
  const auto outcome = [](int status) { return parse_commit(response(status, R"({"epoch":5})")).outcome; };
  EXPECT_EQ(outcome(200), Outcome::committed);
  EXPECT_EQ(outcome(409), Outcome::conflict);
  EXPECT_EQ(outcome(400), Outcome::invalid);
  EXPECT_EQ(outcome(429), Outcome::rate_limited);
  EXPECT_EQ(outcome(500), Outcome::refused);
  EXPECT_EQ(outcome(0), Outcome::unknown) << "without a response the transaction may have been executed";
  EXPECT_EQ(parse_commit(response(409, R"({"epoch":5,"failed":["a"]})")).revision, StoreRevision{5});
  EXPECT_EQ(parse_commit(response(200, "no JSON")).outcome, Outcome::committed);
  EXPECT_EQ(parse_commit(response(200, "no JSON")).revision, StoreRevision{0});
}

TEST(StateProtocol, ParsesListPages) {
  const auto first = response(200, R"({"items":[{"k":"a","data":{"x":1},"stamp":3},{"k":"b","stamp":4}],)"
                                   R"("has_next":true,"epoch":9})");
  const auto page = std::get<KeyPage>(parse_list(first, true));
  EXPECT_EQ(page.revision, StoreRevision{9});
  EXPECT_TRUE(page.has_next);
  ASSERT_EQ(page.entries.size(), 2U);
  EXPECT_EQ(page.entries[0].first, "a");
  EXPECT_EQ(page.entries[0].second.data, (Json{{"x", 1}}));
  EXPECT_EQ(page.entries[0].second.revision, KeyRevision{3});
  EXPECT_EQ(page.entries[1].first, "b");
  EXPECT_TRUE(page.entries[1].second.data.is_null());

  const auto last = std::get<KeyPage>(parse_list(response(200, R"({"items":[]})"), false));
  EXPECT_FALSE(last.has_next);
  EXPECT_TRUE(last.entries.empty());
  EXPECT_THROW(parse_list(response(200, R"({"items":[]})"), true), wire::ProtocolError)
      << "the first page must have a store revision";
}

TEST(StateProtocol, ParsesWatchUpdates) {
  const auto watch_response = response(200, R"({"epoch":9,"news":[{"write":"a","data":1,"stamp":7},)"
                                            R"({"write":"b","data":2,"stamp":8},{"delete":"a","stamp":9}]})");
  const auto update = std::get<WatchUpdate>(parse_watch(watch_response, StoreRevision{7}));
  EXPECT_EQ(update.revision, StoreRevision{9});
  ASSERT_EQ(update.changes.size(), 2U) << "changes up to the known revision are omitted";
  EXPECT_EQ(update.changes[0].key, "b");
  EXPECT_EQ(update.changes[0].data, Json(2));
  EXPECT_EQ(update.changes[0].revision, KeyRevision{8});
  EXPECT_EQ(update.changes[1].key, "a");
  EXPECT_FALSE(update.changes[1].data.has_value());

  for (const auto* body_without_changes :
       {R"({"epoch":9})", R"({"epoch":9,"news":null})", R"({"epoch":9,"news":[]})"})
    EXPECT_TRUE(std::get<WatchUpdate>(parse_watch(response(200, body_without_changes), StoreRevision{7}))
                    .changes.empty())
        << body_without_changes;
}

TEST(StateProtocol, ReportsErrorsOfListAndWatchResponses) {
  const auto list_error = [](int status, const char* body) {
    return std::get<ResponseError>(parse_list(response(status, body), true));
  };
  const auto watch_error = [](int status, const char* body) {
    return std::get<ResponseError>(parse_watch(response(status, body), StoreRevision{}));
  };
  for (const int status : {0, 404, 500, 503}) {
    EXPECT_EQ(list_error(status, "{}"), ResponseError::unusable) << status;
    EXPECT_EQ(watch_error(status, "{}"), ResponseError::unusable) << status;
  }
  for (const auto* body : {"", "[]", "{}", "no JSON"}) {
    EXPECT_EQ(list_error(200, body), ResponseError::unusable) << body;
    EXPECT_EQ(watch_error(200, body), ResponseError::unusable) << body;
  }
  EXPECT_EQ(list_error(429, ""), ResponseError::rate_limited);
  EXPECT_EQ(watch_error(429, ""), ResponseError::rate_limited);
  EXPECT_EQ(watch_error(410, ""), ResponseError::compacted);
}

TEST(StateProtocol, ParsesKeyResponses) {
  const auto found = parse_key(response(200, R"({"data":{"x":1},"stamp":3})"));
  EXPECT_EQ(found.status, KeyStatus::found);
  ASSERT_TRUE(found.entry.has_value());
  EXPECT_EQ(found.entry->data, (Json{{"x", 1}}));
  EXPECT_EQ(found.entry->revision, KeyRevision{3});
  EXPECT_EQ(parse_key(response(404, R"({"epoch":9})")).status, KeyStatus::missing);
  EXPECT_EQ(parse_key(response(0)).status, KeyStatus::unknown);
  EXPECT_EQ(parse_key(response(429)).status, KeyStatus::unknown);
  EXPECT_EQ(parse_key(response(200, "{}")).status, KeyStatus::unknown);
}

TEST(StateProtocol, ParsesLeaseResponses) {
  EXPECT_EQ(parse_grant_lease(response(200, R"({"hold":31})")), kLeaseId);
  EXPECT_EQ(parse_grant_lease(response(200, "{}")), std::nullopt);
  EXPECT_EQ(parse_grant_lease(response(429, R"({"hold":31})")), std::nullopt);
  EXPECT_EQ(parse_renew_lease(response(200, "{}")), LeaseRenewal::renewed);
  EXPECT_EQ(parse_renew_lease(response(404)), LeaseRenewal::ended);
  for (const int status : {0, 429, 500})
    EXPECT_EQ(parse_renew_lease(response(status)), LeaseRenewal::unknown) << status;
}

}  // namespace
}  // namespace bankhill::state::protocol
