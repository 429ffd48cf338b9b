// Transactions of the state service: writes that are applied together if all conditions hold.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/ids.hpp"
#include "wire/messages.hpp"

namespace bankhill::state {

// Requires the key to have this revision; revision 0 requires that the key does not exist.
struct Condition {
  std::string key;
  wire::KeyRevision revision;
};

// A new value of a key, or its deletion.
struct Write {
  std::string key;
  // Empty to delete the key.
  std::optional<wire::Json> data;
  // The key is deleted when this lease ends; empty for a key without a lease.
  std::optional<std::uint64_t> lease_id;
};

// An atomic compare-and-swap of several keys.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

// Result of a transaction.
enum class Outcome {
  committed,
  conflict,      // a condition failed: nothing was written
  refused,       // not executed
  rate_limited,  // not executed, since the limits are exhausted: a peer would be refused as well
  invalid,       // not executed, nor if sent again unchanged: too large, too many writes or an ended lease
  unknown,       // may have been executed, or may yet be executed
};

struct CommitResult {
  Outcome outcome = Outcome::unknown;
  // Revision of the store when the service responded.
  wire::StoreRevision revision;
};

}  // namespace bankhill::state
