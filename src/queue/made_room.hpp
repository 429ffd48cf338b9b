// Room on its way: tasks were stopped on a machine so that a task of this job can start there. Until it has,
// the room is nobody else's: by slack, what was stopped may well come before it, and went back to where it
// had been. Pure; times are seconds on the caller's steady clock.
#pragma once

#include <map>

#include "wire/records.hpp"

namespace bankhill::queue {

class MadeRoom {
 public:
  // The job's task of that rank needs so much there, and is waited for until then.
  void make(const wire::JobId& job, const wire::HostId& host, wire::Rank rank, const wire::Amounts& need,
            double now, double until);
  // A task of the job was placed there; `more` of its tasks wait.
  void placed(const wire::JobId& job, const wire::HostId& host, bool more);
  // The job needs none any more.
  void release(const wire::JobId& job);
  // Over slow links a stop and its news take longer than a pace: made again meanwhile on the next machine,
  // and the next, one batch stopped what it needed several times over.
  bool on_its_way(const wire::JobId& job, double now) const;
  bool made(const wire::HostId& host, double now) const;
  // Whether a task of another job may start in what is free there: in what is left, or before lower ranks.
  bool allows(const wire::HostId& host, const wire::JobId& job, wire::Rank rank, const wire::Amounts& need,
              const wire::Amounts& room, double now) const;
  // Whether the job's only task waits for room elsewhere: started here, others were stopped for nothing.
  bool waits_elsewhere(const wire::JobId& job, const wire::HostId& here, double now) const;
  void reset();

 private:
  struct Made {
    wire::JobId job;
    wire::Rank rank = wire::Rank::normal;
    wire::Amounts need;
    double until = 0;
  };
  std::map<wire::HostId, Made> hosts_;
  std::map<wire::JobId, wire::HostId> jobs_;
};

}  // namespace bankhill::queue
