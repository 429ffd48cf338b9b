#include "fair_share/retry_after_pacer.hpp"

#include <algorithm>
#include <cmath>

namespace bankhill::fair_share {

namespace {
constexpr double kMinDelayS = 1;
// Longest delay as a multiple of the time that serving all expected clients takes. At 2 clients would return
// at just the rate at which they can be served; a lower value also uses capacity that is left free now and
// then.
constexpr double kSpread = 1.5;
}  // namespace

double RetryAfterPacer::retry_after_s(double now, const std::string& name, double random_fraction) {
  // A client that has not returned here in time went to another controller or has given up. When such clients
  // were still counted, every controller expected the same clients, all were given delays of up to 30 s, and
  // a tenth of them gave up although writes were left.
  while (!by_due_time_.empty() && by_due_time_.begin()->first < now)
    request_served(std::string(by_due_time_.begin()->second));
  request_served(name);
  // Delays that grow with the number of clients avoid useless requests: with one second for each client, 850
  // first submissions led to 8,000 refused requests.
  const double serve_all_s = static_cast<double>(due_at_.size() + 1) / settings_.rate_per_s;
  const double delay_s =
      std::min(settings_.max_delay_s, kMinDelayS + std::floor(random_fraction * kSpread * serve_all_s));
  // One second more for the request to arrive.
  const double due_at = now + delay_s + kMinDelayS;
  due_at_.emplace(name, due_at);
  by_due_time_.emplace(due_at, name);
  return delay_s;
}

void RetryAfterPacer::request_served(const std::string& name) {
  const auto found = due_at_.find(name);
  if (found == due_at_.end()) return;
  by_due_time_.erase({found->second, name});
  due_at_.erase(found);
}

}  // namespace bankhill::fair_share
