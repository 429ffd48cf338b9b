// How long a machine may be silent before it is asked, passed over or given up. Pure: times are told.
//
// Silence is of two kinds. One that answers questions may still reach no controller with its reports: only an
// answered report extends its lease, so what is started there is lost with it.
#pragma once

#include "model/heartbeat_timing.hpp"

namespace bankhill::model {

// Whether its reports come, whatever it answers to questions.
enum class Reporting {
  comes,
  overdue,  // nothing is started there any more
  absent    // its lease is surely over: others are rented in its place
};

class Silence {
 public:
  struct Machine {
    bool watched = false;     // holds services: they are missed at once
    bool hears = true;        // as far as is known
    bool unanswered = false;  // its last question
  };
  struct Limits {      // seconds of silence after which it is
    double ask = 0;    // asked directly
    double again = 0;  // asked once more, counted from the last question
    double quiet = 0;  // given no more
    double gone = 0;   // given up, if it does not answer either
  };

  explicit Silence(const HeartbeatTiming& times) : times_(times) {}
  Limits limits(const Machine& machine) const;
  Reporting reporting(double unreported_s) const;
  // For so long that it is returned.
  bool give_up(double unreported_s) const;

 private:
  double round_s() const;  // that a worker takes which no controller answers

  HeartbeatTiming times_;
};

}  // namespace bankhill::model
