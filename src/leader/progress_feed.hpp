// The leader's side of the progress copies: which jobs changed, in the order of their changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "wire/frames.hpp"
#include "wire/ids.hpp"

namespace bankhill::leader {

// Numbers the changes of live jobs within one leadership term, so that a controller that names the last
// change it has gets all later ones. Each job counts once, with its last change: memory is bounded by the
// number of live jobs. Nothing is kept about the controllers that ask. Pure.
class ProgressFeed {
 public:
  // Returns the current progress of a live job.
  using Render = std::function<wire::ProgressEntry(const wire::JobId& id)>;

  // `stream` identifies the term; it must be greater than those of all earlier terms.
  void begin_term(std::uint64_t stream);
  // Records a change of the job. `version` is the job's previous one, 0 if it has none; returns the new one.
  std::uint64_t record(const wire::JobId& id, std::uint64_t version);
  // Removes a job that is no longer live.
  void remove(std::uint64_t version) { jobs_.erase(version); }
  // Returns the entries that answer the request, as many as one update may hold.
  wire::ProgressUpdate answer(const wire::ProgressRequest& request, const Render& render) const;

  std::uint64_t stream() const { return stream_; }
  std::size_t size() const { return jobs_.size(); }

 private:
  std::uint64_t stream_ = 0;
  std::uint64_t last_version_ = 0;
  std::map<std::uint64_t, wire::JobId> jobs_;  // live jobs by the version of their last change
};

}  // namespace bankhill::leader
