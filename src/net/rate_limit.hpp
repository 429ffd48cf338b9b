// A token bucket, filled at `rate` a second, holding at most `burst`.
#pragma once

#include <algorithm>

namespace bankhill::net {

class RateLimit {
 public:
  RateLimit(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

  // Takes `amount` tokens if that many beyond `reserve` are there.
  bool take(double now, double amount = 1, double reserve = 0) {
    refill(now);
    if (tokens_ < amount + reserve) return false;
    tokens_ -= amount;
    return true;
  }

  // Takes what was used elsewhere or in any case; the bucket may owe as much as it holds.
  void spend(double now, double amount) {
    refill(now);
    tokens_ = std::max(-burst_, tokens_ - amount);
  }
  // Tokens that are there now; below 0 what is owed.
  double level(double now) {
    refill(now);
    return tokens_;
  }

 private:
  void refill(double now) {
    if (last_ >= 0) tokens_ = std::min(burst_, tokens_ + (now - last_) * rate_);
    last_ = now;
  }

  double rate_;
  double burst_;
  double tokens_;
  double last_ = -1;
};

}  // namespace bankhill::net
