// The protocol of the state service: encodes its requests and decodes its responses, as HTTP and JSON. These
// functions send nothing.
//
// Decoding a successful response in which a field is missing or has the wrong type throws wire::ProtocolError
// or Json::exception.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "net/http.hpp"
#include "state/store_cache.hpp"
#include "state/transaction.hpp"

namespace bankhill::state::protocol {

// Why a response carries no result.
enum class ResponseError {
  unusable,      // no response in time, or not one of this protocol: the request is to be repeated
  rate_limited,  // the service's request limit is exhausted
  compacted,     // the service no longer keeps the changes that a watch requested: all keys must be listed
};

// One page of the list of all keys, ordered by key.
struct KeyPage {
  // Store revision that the whole list reflects; only set for the first page.
  wire::StoreRevision revision;
  std::vector<std::pair<std::string, Entry>> entries;
  bool has_next = false;
};

// The changes since a watch's starting revision.
struct WatchUpdate {
  // Store revision up to which every change is included.
  wire::StoreRevision revision;
  std::vector<Change> changes;
};

// Result of a request to renew a lease.
enum class LeaseRenewal {
  renewed,
  ended,    // the lease no longer exists and cannot be renewed
  unknown,  // no usable response
};

// Whether the service has a value for a key.
enum class KeyStatus {
  unknown,  // no usable response
  missing,  // the key does not exist
  found,
};
struct KeyResponse {
  KeyStatus status = KeyStatus::unknown;
  std::optional<Entry> entry;  // only set if the status is `found`
};

// Requests the page of keys after `after_key`, or the first page if that is empty.
net::Request list_request(const std::string& after_key);
// `is_first`: whether the first page was requested.
std::variant<KeyPage, ResponseError> parse_list(const net::Response& response, bool is_first);

// Requests the changes after this revision. If there are none, the service waits for one for up to `block_ms`
// milliseconds; with 0 it responds at once.
net::Request watch_request(wire::StoreRevision after, int block_ms);
// Omits the changes up to `last_revision`.
std::variant<WatchUpdate, ResponseError> parse_watch(const net::Response& response,
                                                     wire::StoreRevision last_revision);

net::Request key_request(const std::string& key);
KeyResponse parse_key(const net::Response& response);

net::Request commit_request(const Transaction& transaction);
CommitResult parse_commit(const net::Response& response);

net::Request grant_lease_request(double ttl_s);
// Returns the id of the lease, or nothing if none was granted or the outcome is unknown.
std::optional<std::uint64_t> parse_grant_lease(const net::Response& response);

net::Request renew_lease_request(std::uint64_t lease_id);
LeaseRenewal parse_renew_lease(const net::Response& response);

net::Request revoke_lease_request(std::uint64_t lease_id);

}  // namespace bankhill::state::protocol
