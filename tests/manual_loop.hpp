// A loop for tests of one module: time passes only where a test says so, timers never fire.
#pragma once

#include <functional>
#include <random>

#include "runtime/loop.hpp"

namespace bankhill {

class ManualLoop : public runtime::Loop {
 public:
  double now() const override { return now_; }
  double wall() const override { return now_; }
  void post(std::function<void()> work) override { work(); }
  [[nodiscard]] runtime::Timer after(double, std::function<void()>) override { return {}; }
  std::mt19937_64& random() override { return random_; }
  void pass(double seconds) { now_ += seconds; }

 private:
  double now_ = 1000;
  std::mt19937_64 random_{1};
};

}  // namespace bankhill
