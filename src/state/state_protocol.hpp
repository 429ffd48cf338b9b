// The protocol of the state service: its requests and answers as HTTP and JSON. Pure: it sends nothing.
//
// An answer that breaks the protocol within its own form (a field that is missing or of another type) throws
// wire::Malformed or Json::exception.
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

// Why an answer tells nothing of what was asked.
enum class AnswerError {
  unusable,   // none in time, or none of this protocol: to be asked again
  limited,    // the service's limit of requests is used up
  compacted,  // the changes that a watch asked for are no longer kept: all keys must be read
};

// One page of a list of all keys, in their order.
struct KeyPage {
  wire::StoreRevision epoch;  // that the whole list is as new as; of the first page only
  std::vector<std::pair<std::string, Entry>> entries;
  bool has_next = false;
};

// What has changed since a watch's starting point.
struct News {
  wire::StoreRevision epoch;  // up to which every change is told
  std::vector<Change> changes;
};

// A lease that was asked to go on.
enum class LeaseRenewal {
  renewed,
  ended,    // for good
  unknown,  // cannot tell
};

// What the service holds under one key.
enum class KeyStatus {
  unknown,  // cannot tell
  missing,  // no such key
  found,
};
struct KeyResponse {
  KeyStatus status = KeyStatus::unknown;
  std::optional<Entry> entry;  // of `found` only
};

// The page of keys after this one; empty: the first page.
net::Request list_request(const std::string& after_key);
// `is_first`: the answer to a request of the first page.
std::variant<KeyPage, AnswerError> parse_list(const net::Response& response, bool is_first);

// The changes after this revision. Without any the service waits this long for one; 0: it answers at once.
net::Request watch_request(wire::StoreRevision after, int block_ms);
// Changes up to `known` are left out.
std::variant<News, AnswerError> parse_watch(const net::Response& response, wire::StoreRevision known);

net::Request key_request(const std::string& key);
KeyResponse parse_key(const net::Response& response);

net::Request commit_request(const Transaction& transaction);
CommitResult parse_commit(const net::Response& response);

net::Request open_lease_request(double ttl_s);
// The lease; nothing: none was opened, or it cannot be told.
std::optional<std::uint64_t> parse_open_lease(const net::Response& response);

net::Request renew_lease_request(std::uint64_t lease_id);
LeaseRenewal parse_renew_lease(const net::Response& response);

net::Request end_lease_request(std::uint64_t lease_id);

}  // namespace bankhill::state::protocol
