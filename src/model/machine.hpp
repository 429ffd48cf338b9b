// Machines and the tasks bound to them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "model/hearing.hpp"
#include "model/silence.hpp"
#include "model/surely_gone.hpp"
#include "wire/records.hpp"

namespace bankhill::model {

struct PoolState;

enum class BindPhase { sent, pulling, running, flushing };

// A task told to start on a machine. It stays bound until there is proof that it is gone.
struct Bind {
  wire::MemberId member;
  wire::TryNo try_no;
  std::string owner;
  std::string queue;  // class of its job
  wire::Rank rank = wire::Rank::normal;
  bool service = false;
  bool largest = false;  // of its class, when it was bound
  wire::Amounts need;
  wire::Tenure tenure;  // session in which it was told to start
  BindPhase phase = BindPhase::sent;
  bool stopping = false;
  bool alien = false;  // found here although it is bound elsewhere or over: only to be stopped
  double wind_down_s = 0;
  double since = 0;  // steady clock: when it was bound
  double running_since = 0;
  StartsUnderWay starts;

  // How long it has been running.
  double running_s(double now) const { return running_since > 0 ? now - running_since : 0; }
};

// An exited attempt that the worker still lists.
struct Leftover {
  wire::TryNo try_no;
  bool stored = true;  // its exit needs no store, or is in the store
  StartsUnderWay starts;
};

// Running sums over machines, of a pool, a zone or all.
struct Sums {
  std::size_t up = 0;
  std::size_t quiet = 0;        // up, not heard for longer than reports take
  std::size_t deaf = 0;         // up and not quiet, suspected or known not to hear
  std::size_t coming = 0;       // rented, not up yet, and still expected
  std::size_t joining = 0;      // up, and about to take tasks: not recorded yet, or not asked or answered
  std::size_t unconfirmed = 0;  // inherited from an earlier leader, not heard in this reign
  wire::Amounts unconfirmed_size;
  double cores = 0;       // of machines that are up or coming and stay, without those that are deaf
  double free_cores = 0;  // of machines that take tasks now

  Sums& operator+=(const Sums& other);
};

// What the indexes hold of a machine.
struct Listed {
  PoolState* pool = nullptr;
  Sums part;
  bool open = false;
  double cores = 0;
};

struct Machine {
  wire::HostId host;
  std::uint64_t number = 0;  // in the order in which the leader came to know them
  std::string address;
  std::string flavor;
  std::string rack_room;
  bool reclaimable = false;
  wire::Amounts size;

  bool up = false;        // has reported, or is recorded as one that did
  bool recorded = false;  // its record is committed: it may hold tasks
  bool recording = false;
  bool inherited = false;  // was recorded when this reign began: may hold tasks of an earlier leader
  bool confirmed = false;  // has seen a fence of this reign, or never had another
  bool fresh = false;      // rented by this reign: nothing of it can be older
  bool lost = false;       // its lease has run out by our count and it was not heard since
  bool draining = false;   // takes no more tasks
  bool releasing = false;
  bool release_sent = false;
  bool late = false;   // booting for so long that it is no longer counted on
  bool quiet = false;  // not heard for longer than reports take
  Reporting reporting = Reporting::comes;
  std::string drain_reason;
  std::string group;  // where its record is kept

  wire::Tenure tenure;
  std::uint64_t counter = 0;
  std::uint64_t listed_counter = 0;  // of the last report whose list of tasks was applied
  std::uint64_t reported = 0;        // of the last report of this session, direct answers aside
  wire::Fence seen;
  double first_seen = 0;    // steady clock
  double last_contact = 0;  // last new report or direct answer
  Lease lease;              // as lengthened by answers at most
  double last_report = 0;
  double reported_at = 0;  // when any report came, one that is no news too
  bool regular = true;     // its last report came in its turn, not for a change
  double last_probe = 0;
  std::uint32_t probes_unanswered = 0;  // in a row
  double doubt_at = 0;
  double idle_since = 0;
  std::optional<double> warned_until;  // steady clock: when the cloud takes it

  std::map<wire::MemberId, Bind> binds;
  std::map<wire::MemberId, Leftover> leftovers;
  wire::Amounts used;
  wire::Amounts kept;            // for members of replicas to come (replicas/places.hpp)
  double service_cores = 0;      // the part of it that services use
  std::set<std::string> images;  // bundles seen ready here
  std::uint32_t errors_in_row = 0;
  std::set<wire::JobId> error_jobs;
  Hearing hearing;               // whether it hears what it is told
  std::optional<Listed> listed;  // how the fleet's indexes hold it

  wire::Amounts room() const {
    wire::Amounts free = size;
    free -= used;
    free -= kept;
    return free;
  }
  // Its worker sends one report at a time: one that is not above the last is a copy, or was given up.
  bool heard_already(const wire::Report& report) const {
    return std::pair(report.tenure, report.counter) <= std::pair(tenure, reported);
  }
  // What any answer to a question asked from now on must be above, as long as the machine stays the same.
  std::pair<wire::Tenure, std::uint64_t> newest_heard() const {
    // While it is lost, its session is only assumed.
    if (lost) return {wire::Tenure{tenure.value - 1}, listed_counter};
    return {tenure, std::max(counter, reported)};
  }
  // It could not be used and now can: an empty one has had no chance to be of use, and would else be returned
  // as idle this very moment.
  void restart_idle_time(double now) {
    if (binds.empty()) idle_since = now;
  }
  bool takes_tasks() const {
    return up && recorded && confirmed && !lost && !draining && !releasing && reporting == Reporting::comes &&
           hearing.takes_tasks();
  }
};

}  // namespace bankhill::model
