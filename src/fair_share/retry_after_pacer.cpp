#include "fair_share/retry_after_pacer.hpp"

#include <algorithm>
#include <cmath>

namespace bankhill::fair_share {

namespace {
constexpr double kLeastS = 1;
// Of the time that serving all of them takes: the longest that one is told. At 2 they come at just the rate
// at which they are served; a little faster, what is left free now and then is used, too.
constexpr double kSpread = 1.5;
}  // namespace

double RetryAfterPacer::retry_after_s(double now, const std::string& name, double chance) {
  // Whoever does not come here at its time came elsewhere, or gave up: counted on, the same one was waited
  // for by every controller, all were told up to 30 s, and a tenth of them gave up although puts were left.
  while (!due_.empty() && due_.begin()->first < now) request_served(std::string(due_.begin()->second));
  request_served(name);
  // Told one second each, 850 first submissions asked 8,000 times in vain.
  const double all_s = static_cast<double>(waiting_.size() + 1) / settings_.rate;
  const double wait_s = std::min(settings_.most_s, kLeastS + std::floor(chance * kSpread * all_s));
  // Until it was on its way and has arrived.
  const double due = now + wait_s + kLeastS;
  waiting_.emplace(name, due);
  due_.emplace(due, name);
  return wait_s;
}

void RetryAfterPacer::request_served(const std::string& name) {
  const auto found = waiting_.find(name);
  if (found == waiting_.end()) return;
  due_.erase({found->second, name});
  waiting_.erase(found);
}

}  // namespace bankhill::fair_share
