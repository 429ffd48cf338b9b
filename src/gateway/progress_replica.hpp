// This controller's copy of what the leader knows of the live jobs' tasks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "wire/frames.hpp"
#include "wire/ids.hpp"

namespace bankhill::gateway {

// What the leader said last of one job.
struct KnownProgress {
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  std::string reason;    // why the job is not running; empty: none is known
  bool certain = false;  // false: tasks may run that the leader has not heard of yet
};

// Built from the updates of one leader after another. An update counts only as the continuation of what is
// there, so an update that was lost, repeated or late leaves no gap: the next request asks for it again.
// Memory is bounded by the number of live jobs. Pure; times are seconds on the caller's steady clock.
class ProgressReplica {
 public:
  // Applies an update whose sender knew at `as_of` all that it tells. Returns false, and changes nothing, if
  // the update is of an earlier term or does not continue this copy.
  bool apply(const wire::ProgressUpdate& update, double as_of);
  // Notes what a leader says that sends no updates (a version without kFeatureProgressSync).
  void note_unversioned(const wire::JobProgress& progress);
  // Removes a job that has ended.
  void remove(const wire::JobId& id);

  // The request for what this copy lacks; its id is left to the caller.
  wire::ProgressRequest next_request() const { return {0, stream_, version_}; }
  // Time at which a leader that had heard of its machines knew no more than what is here; long ago if this
  // copy was never complete.
  double complete_as_of() const { return complete_as_of_; }
  // Whether every job's entry is certain.
  bool all_certain() const { return uncertain_ == 0; }
  std::uint64_t stream() const { return stream_; }
  std::size_t size() const { return jobs_.size(); }
  // What was said last of the job; null if nothing was.
  const KnownProgress* find(const wire::JobId& id) const;

 private:
  struct Entry {
    KnownProgress progress;
    std::uint64_t copy = 0;  // number of the copy from the first version that told it last
  };
  void start_copy(std::uint64_t stream);
  void finish_copy();
  Entry& touch(const std::string& job, bool certain);
  void store(const wire::ProgressEntry& told);

  std::uint64_t stream_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t copy_ = 0;
  bool copying_ = false;  // a copy from the first version is not complete yet
  double complete_as_of_ = -1e9;
  std::size_t uncertain_ = 0;
  std::map<wire::JobId, Entry> jobs_;
};

}  // namespace bankhill::gateway
