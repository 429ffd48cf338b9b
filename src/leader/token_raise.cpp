#include "leader/token_raise.hpp"

namespace bankhill::leader {

bool TokenRaise::should_raise(double now) {
  if (demand_ == Demand::none) return false;
  const double interval_s = demand_ == Demand::urgent ? urgent_interval_s_ : routine_interval_s_;
  if (now - raised_at_ <= interval_s) return false;
  raised_at_ = now;
  return true;
}

}  // namespace bankhill::leader
