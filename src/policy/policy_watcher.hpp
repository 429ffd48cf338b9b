// Follows the policy records in the state service and commits this controller's policy file if it is newer.
// The records take precedence over the file, so that all controllers apply the same policy whichever leads,
// and a controller with an outdated file or none does no harm. See docs/CALENDARS.md, "The shared policy".
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

// Message to the watcher: keys of the state service were written or deleted.
struct StoreChanged {
  state::Changes changes;
};

// Holds the policy in force and writes this controller's file to the state service if it is newer.
class PolicyWatcher : public runtime::Actor<PolicyWatcher, StoreChanged> {
 public:
  // `file`: policy from this controller's file at start, if it has one; `retry_interval_s`: time in seconds
  // after which publishing the file is tried again.
  PolicyWatcher(runtime::Loop& loop, runtime::Log log, state::Store& store, std::optional<Policy> file,
                double retry_interval_s);
  void start();
  void on(StoreChanged& message);

  // The policy in force. The reference stays valid, and its content current, while the watcher exists.
  const Policy& policy() const { return policy_; }
  // Registers a callback that is called after the policy in force has changed.
  void subscribe(std::function<void()> callback) { subscribers_.push_back(std::move(callback)); }

 private:
  // Content of the header record: identifies the file that the tenants' records were written from.
  struct Header {
    std::uint64_t version = 0;
    std::string fingerprint;
    bool operator==(const Header&) const = default;
  };
  void apply_header(const state::Change& change);
  void apply_tenant(const std::string& team, const state::Change& change);
  // Commits the differences between the file and the stored records, and schedules itself again until there
  // are none or the records of another file take precedence.
  void publish_file();
  // The writes that make the tenants' records equal to the file.
  std::vector<state::Write> missing_writes() const;
  // Whether the file takes precedence over the stored records or is the one they were written from. Logs once
  // if it is not.
  bool check_file_precedence();
  void warn_of_difference();

  runtime::Log log_;
  state::Store& store_;
  std::optional<Policy> file_;
  Header file_header_;  // header record for `file_`
  double retry_interval_s_;
  Policy policy_;
  std::optional<Header> header_;            // stored header record; empty: none, or it cannot be read
  state::StoreCache records_;               // the policy's records in the state service
  std::set<std::string> readable_tenants_;  // tenants whose latest record could be read
  bool writing_ = false;                    // a transaction of publish_file() has not been answered
  bool logged_ = false;  // it was logged that the file is not in force or is too large to store
  std::vector<std::function<void()>> subscribers_;
  runtime::Timer timer_;  // next call of publish_file()
};

}  // namespace bankhill::policy
