#include "state/state_protocol.hpp"

#include <utility>

#include "wire/records.hpp"

namespace bankhill::state::protocol {

using net::Method;
using net::Request;
using net::Response;
using wire::Json;

namespace {
constexpr std::size_t kPageSize = 1000;

constexpr int kNoResponse = 0;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;

Json parse_body(const Response& response) { return Json::parse(response.body, nullptr, false); }

// Returns the body of a successful response, or null if the response is not successful or its body is not a
// JSON object with this field.
Json parse_success(const Response& response, const char* required_field) {
  if (response.status != kOk) return {};
  Json body = parse_body(response);
  return body.is_object() && body.contains(required_field) ? body : Json();
}

ResponseError response_error(const Response& response) {
  return response.status == kTooManyRequests ? ResponseError::rate_limited : ResponseError::unusable;
}

Change parse_change(const Json& item, wire::KeyRevision revision) {
  if (item.contains("write")) return {wire::text_field(item, "write"), item.value("data", Json()), revision};
  return {wire::text_field(item, "delete"), std::nullopt, revision};
}

Json encode(const Condition& condition) {
  return Json{{"k", condition.key}, {"stamp", condition.revision.value}};
}

Json encode(const Write& write) {
  if (!write.data) return Json{{"delete", write.key}};
  Json item{{"write", write.key}, {"data", *write.data}};
  if (write.lease_id) item["hold"] = *write.lease_id;
  return item;
}

template <class Item>
Json encode_all(const std::vector<Item>& items) {
  Json list = Json::array();
  for (const auto& item : items) list.push_back(encode(item));
  return list;
}

Outcome outcome_of(int status) {
  switch (status) {
    case kOk:
      return Outcome::committed;
    case kConflict:
      return Outcome::conflict;
    case kBadRequest:
      return Outcome::invalid;
    case kTooManyRequests:
      return Outcome::rate_limited;
    case kNoResponse:
      return Outcome::unknown;
    default:
      return Outcome::refused;
  }
}

std::string lease_path(std::uint64_t lease_id) { return "/leases/" + std::to_string(lease_id); }
}  // namespace

Request list_request(const std::string& after_key) {
  std::string path = "/keys?starts=" + wire::kKeyPrefix + "&most=" + std::to_string(kPageSize);
  if (!after_key.empty()) path += "&after=" + after_key;
  return {Method::get, std::move(path), ""};
}

std::variant<KeyPage, ResponseError> parse_list(const Response& response, bool is_first) {
  const Json body = parse_success(response, "items");
  if (body.is_null()) return response_error(response);
  KeyPage page;
  if (is_first) page.revision = wire::StoreRevision{wire::count_field(body, "epoch")};
  for (const auto& item : body["items"]) {
    const wire::KeyRevision revision{wire::count_field(item, "stamp")};
    page.entries.emplace_back(wire::text_field(item, "k"), Entry{item.value("data", Json()), revision});
  }
  page.has_next = body.value("has_next", false);
  return page;
}

Request watch_request(wire::StoreRevision after, int block_ms) {
  return {Method::get,
          "/watch?starts=" + wire::kKeyPrefix + "&after=" + std::to_string(after.value) +
              "&block_ms=" + std::to_string(block_ms),
          ""};
}

std::variant<WatchUpdate, ResponseError> parse_watch(const Response& response,
                                                     wire::StoreRevision last_revision) {
  if (response.status == kGone) return ResponseError::compacted;
  const Json body = parse_success(response, "epoch");
  if (body.is_null()) return response_error(response);
  WatchUpdate update;
  update.revision = wire::StoreRevision{wire::count_field(body, "epoch")};
  if (wire::absent(body, "news")) return update;
  for (const auto& item : body["news"]) {
    const wire::KeyRevision revision{wire::count_field(item, "stamp")};
    if (revision.value > last_revision.value) update.changes.push_back(parse_change(item, revision));
  }
  return update;
}

Request key_request(const std::string& key) { return {Method::get, "/keys/" + key, ""}; }

KeyResponse parse_key(const Response& response) {
  if (response.status == kNotFound) return {KeyStatus::missing, std::nullopt};
  const Json body = parse_success(response, "data");
  if (body.is_null()) return {KeyStatus::unknown, std::nullopt};
  return {KeyStatus::found, Entry{body["data"], wire::KeyRevision{wire::count_field(body, "stamp")}}};
}

Request commit_request(const Transaction& transaction) {
  const Json body{{"when", encode_all(transaction.conditions)}, {"writes", encode_all(transaction.writes)}};
  return {Method::post, "/commit", body.dump()};
}

CommitResult parse_commit(const Response& response) {
  CommitResult result;
  const Json body = parse_body(response);
  if (body.is_object() && body.contains("epoch"))
    result.revision = wire::StoreRevision{wire::count_field(body, "epoch")};
  result.outcome = outcome_of(response.status);
  return result;
}

Request grant_lease_request(double ttl_s) {
  const auto ttl_ms = static_cast<std::uint64_t>(ttl_s * 1000);
  return {Method::post, "/leases", Json{{"ttl_ms", ttl_ms}}.dump()};
}

std::optional<std::uint64_t> parse_grant_lease(const Response& response) {
  const Json body = parse_success(response, "hold");
  if (body.is_null()) return std::nullopt;
  return wire::count_field(body, "hold");
}

Request renew_lease_request(std::uint64_t lease_id) {
  return {Method::post, lease_path(lease_id) + "/touch", "{}"};
}

LeaseRenewal parse_renew_lease(const Response& response) {
  if (response.status == kOk) return LeaseRenewal::renewed;
  if (response.status == kNotFound) return LeaseRenewal::ended;
  return LeaseRenewal::unknown;
}

Request revoke_lease_request(std::uint64_t lease_id) { return {Method::del, lease_path(lease_id), ""}; }

}  // namespace bankhill::state::protocol
