// A machine of the simulated site and the tasks on it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "wire/messages.hpp"

namespace bankhill::sim {

// A task as its machine has it, until its controller has the machine forget it.
struct SimTask {
  wire::TryNo try_no;
  wire::MemberPhase phase = wire::MemberPhase::pulling;
  wire::ExitCause cause = wire::ExitCause::none;
  double ends = 0;
  double ordered = 0;  // when the order that started it left its controller
};

// A machine from its rental to its end, with the worker on it and what ails them.
struct SimMachine {
  std::string host;
  std::string flavor;
  std::string zone;
  bool spot = false;
  bool up = false;
  bool dead = false;
  double born = 0;
  double hung_until = 0;
  double deaf_until = 0;  // its reports arrive, answers and commands do not
  double mute_since = 0;  // it reaches no controller; commands reach it
  double mute_until = 0;
  double taken_at = 0;  // 0: not warned
  bool sick = false;
  double up_since = 0;
  bool listed = false;  // by the cloud at some time
  double owned_at = 0;  // when it was last recorded, or could not be
  std::uint64_t tenure = 1;
  std::uint64_t counter = 0;
  std::uint64_t fence = 0;
  double lease_from = 0;
  double pending_from = 0;  // sending of the report whose answer waits in the hanging machine's socket
  int node = 0;             // reports to
  bool in_flight = false;
  bool report_wanted = false;
  double last_report = -1;
  std::uint64_t exchange = 0;
  std::map<wire::MemberId, SimTask> tasks;
  std::set<std::string> images;
  bool within_lease(double now, double lease_s) const;
  // A machine that hangs may go on at any moment within its lease, not after it: its tasks are there until
  // then, and end with it also where the hang hides it. An answer that came while it hangs, and that it still
  // takes when it goes on, lengthens the lease from the moment it came.
  bool on(const wire::MemberId& member, double now, double lease_s) const;
};

}  // namespace bankhill::sim
