// A loop for tests of single classes: its clock is moved by hand.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "runtime/loop.hpp"

namespace bankhill {

class ManualLoop final : public runtime::Loop {
 public:
  double now() const override { return now_; }
  double wall() const override { return kWallOffset + now_; }
  void post(std::function<void()> work) override { posted_.push_back(std::move(work)); }
  runtime::Timer after(double seconds, std::function<void()> work) override {
    auto armed = std::make_shared<std::function<void()>>(std::move(work));
    timers_.push_back({now_ + seconds, armed});
    return armed;
  }
  std::mt19937_64& random() override { return random_; }

  void run_posted() {
    while (!posted_.empty()) {
      const auto work = std::move(posted_.front());
      posted_.pop_front();
      work();
    }
  }

  // Moves the clock and runs each timer that is due by then, once. Timers that these set wait for the next
  // call.
  void advance(double seconds) {
    now_ += seconds;
    for (const auto& timer : std::exchange(timers_, {})) {
      if (timer.due > now_)
        timers_.push_back(timer);
      else if (const auto work = timer.work.lock())
        (*work)();
    }
    run_posted();
  }

 private:
  struct Armed {
    double due = 0;
    std::weak_ptr<std::function<void()>> work;
  };
  static constexpr double kWallOffset = 1e9;
  double now_ = 100;
  std::deque<std::function<void()>> posted_;
  std::vector<Armed> timers_;
  std::mt19937_64 random_{1};
};

}  // namespace bankhill
