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
  wire::Stamp stamp;
};

// A new value of a key, or its deletion.
struct Write {
  std::string key;
  std::optional<wire::Json> data;     // empty: delete
  std::optional<std::uint64_t> hold;  // the lease with whose end the key is deleted; empty: none
};

// Compare-and-swap on several keys.
struct Transaction {
  std::vector<Condition> when;
  std::vector<Write> writes;
};

// What became of a transaction.
enum class Outcome {
  done,
  conflict,   // a condition failed: nothing was written
  refused,    // not executed
  limited,    // not executed, since the limits are used up: no other controller would fare better
  malformed,  // not executed, and it will not be as it is: too large, too many writes, or an ended lease
  unknown,    // may have been executed, or may still be
};

struct CommitResult {
  Outcome outcome = Outcome::unknown;
  wire::Epoch epoch;  // of the store, with the answer
};

}  // namespace bankhill::state
