// How long a machine may be silent before it is asked, passed over or given up. Pure: times are told.
//
// Silence is of two kinds. One that answers questions may still reach no controller with its heartbeats: only
// an answered report extends its lease, so what is started there is lost with it.
#pragma once

#include "model/heartbeat_timing.hpp"

namespace bankhill::model {

// Whether its heartbeats come, whatever it answers to questions.
enum class UplinkState {
  up,
  overdue,  // nothing is started there any more
  lost      // its lease is surely over: others are rented in its place
};

class FailureDetector {
 public:
  struct Observation {
    bool runs_services = false;    // holds services: they are missed at once
    bool downlink_healthy = true;  // as far as is known
    bool unanswered = false;       // its last question
  };
  struct Thresholds {                // seconds of silence after which it is
    double probe_after_s = 0;        // asked directly
    double probe_again_after_s = 0;  // asked once more, counted from the last question
    double overdue_after_s = 0;      // given no more
    double dead_after_s = 0;         // given up, if it does not answer either
  };

  explicit FailureDetector(const HeartbeatTiming& times) : times_(times) {}
  Thresholds thresholds(const Observation& machine) const;
  UplinkState uplink_state(double unreported_s) const;
  // For so long that it is returned.
  bool should_terminate(double unreported_s) const;

 private:
  double round_s() const;  // that a worker takes which no controller answers

  HeartbeatTiming times_;
};

}  // namespace bankhill::model
