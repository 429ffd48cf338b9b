// Transactions of the state service: writes that are carried out together, if all conditions hold.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/ids.hpp"
#include "wire/messages.hpp"

namespace bankhill::state {

// The key must have this revision; 0: it must not exist.
struct Condition {
  std::string key;
  wire::KeyRevision revision;
};

// A new value of a key, or its deletion.
struct Write {
  std::string key;
  std::optional<wire::Json> data;         // empty: delete
  std::optional<std::uint64_t> lease_id;  // the lease with whose end the key is deleted; empty: none
};

// Compare-and-swap on several keys.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

// What became of a transaction.
enum class Outcome {
  committed,
  conflict,      // a condition failed: nothing was written
  refused,       // not executed
  rate_limited,  // not executed, since the limits are used up: no other controller would fare better
  invalid,       // not executed, and it will not be as it is: too large, too many writes, or an ended lease
  unknown,       // may have been executed, or may still be
};

struct CommitResult {
  Outcome outcome = Outcome::unknown;
  wire::StoreRevision revision;  // of the store, with the answer
};

}  // namespace bankhill::state
