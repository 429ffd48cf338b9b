// Follows the policy in the state service, and commits this controller's file when it is newer. What rules
// are the records, so that all decide alike whoever leads: a controller with an old file, or none, does no
// harm. Source: docs/CALENDARS.md, "The shared policy".
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "policy/policy.hpp"
#include "runtime/actor.hpp"
#include "runtime/log.hpp"
#include "state/store.hpp"

namespace bankhill::policy {

// Message.
struct StoreChanged {
  state::Changes changes;
};

// Holds the policy in force, and writes this controller's file where it is newer.
class PolicyWatcher : public runtime::Actor<PolicyWatcher, StoreChanged> {
 public:
  // `file`: what this controller was started with; `again_s`: until what could not be written is tried again.
  PolicyWatcher(runtime::Loop& loop, runtime::Log log, state::Store& store, std::optional<Policy> file,
                double again_s);
  void start();
  void on(StoreChanged& message);

  // In force; the same object for good.
  const Policy& policy() const { return policy_; }
  // Called after the policy in force has changed.
  void subscribe(std::function<void()> changed) { subscribers_.push_back(std::move(changed)); }

 private:
  struct Head {  // which file the records are of
    std::uint64_t version = 0;
    std::string fingerprint;
    bool operator==(const Head&) const = default;
  };
  void learn_head(const state::Change& change);
  void learn_tenant(const std::string& team, const state::Change& change);
  // Commits what the records lack of the file, and sees to it that this is tried until nothing is lacking or
  // a newer file rules.
  void publish();
  std::vector<state::Write> lacking() const;
  bool file_rules();
  void warn_of_difference();

  runtime::Log log_;
  state::Store& store_;
  std::optional<Policy> file_;
  Head own_;  // of the file
  double again_s_;
  Policy policy_;
  std::optional<Head> head_;
  state::StoreCache view_;      // of the policy's records
  std::set<std::string> read_;  // tenants whose newest record could be read
  bool writing_ = false;
  bool told_ = false;  // that the file does not rule, or cannot be stored
  std::vector<std::function<void()>> subscribers_;
  runtime::Timer timer_;
};

}  // namespace bankhill::policy
