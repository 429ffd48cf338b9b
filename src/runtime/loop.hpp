// What the program needs of its surroundings: clocks, timers and randomness, as interfaces.
#pragma once

#include <functional>
#include <memory>
#include <random>

namespace bankhill::runtime {

// Holding the handle keeps the timer armed; letting it go cancels it.
using Timer = std::shared_ptr<void>;

// Runs work in turn; nothing of the program runs beside it.
class Loop {
 public:
  Loop() = default;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  virtual ~Loop() = default;
  virtual double now() const = 0;   // steady clock, seconds
  virtual double wall() const = 0;  // time of day, seconds
  // Runs `work` on the next turn.
  virtual void post(std::function<void()> work) = 0;
  // Runs `work` once that many seconds have passed.
  [[nodiscard]] virtual Timer after(double seconds, std::function<void()> work) = 0;
  virtual std::mt19937_64& random() = 0;

  // Evenly distributed between the two.
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random());
  }
};

}  // namespace bankhill::runtime
