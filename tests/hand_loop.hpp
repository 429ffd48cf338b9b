// The loop of tests that build one module alone.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

#include "runtime/loop.hpp"

namespace bankhill {

// A loop whose clock is moved by hand.
class HandLoop final : public runtime::Loop {
 public:
  double now() const override { return now_; }
  double wall() const override { return now_; }
  void post(std::function<void()> work) override { posted_.push_back(std::move(work)); }
  runtime::Timer after(double seconds, std::function<void()> work) override {
    auto armed = std::make_shared<std::function<void()>>(std::move(work));
    timers_.push({now_ + seconds, order_++, armed});
    return armed;
  }
  std::mt19937_64& random() override { return random_; }

  void pass(double seconds) {
    const double until = now_ + seconds;
    run_posted();
    while (!timers_.empty() && timers_.top().at <= until) {
      const auto next = timers_.top();
      timers_.pop();
      now_ = std::max(now_, next.at);
      if (const auto work = next.work.lock()) (*work)();
      run_posted();
    }
    now_ = until;
  }

 private:
  struct Armed {
    double at;
    std::uint64_t order;
    std::weak_ptr<std::function<void()>> work;
    bool operator<(const Armed& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };
  void run_posted() {
    while (!posted_.empty()) {
      const auto work = std::move(posted_.front());
      posted_.pop_front();
      work();
    }
  }
  double now_ = 100;
  std::uint64_t order_ = 0;
  std::deque<std::function<void()>> posted_;
  std::priority_queue<Armed> timers_;
  std::mt19937_64 random_{1};
};

}  // namespace bankhill
