// Simulated time and chance: work that waits for its moment, and the random numbers of the whole site.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

namespace bankhill::sim {

// Everything random of a site is drawn here, from one seed: the same seed gives the same day.
class EventQueue {
 public:
  explicit EventQueue(std::uint64_t seed) : random_(seed) {}

  // Seconds since the site began.
  double now() const { return now_; }
  // Has the work done at this time; work of one time is done in the order in which it was added.
  void at(double time, std::function<void()> work);
  // Takes out the earliest work if it is due by then, and sets the clock to its time; empty: none is due.
  std::function<void()> take_due(double until);
  void set_now(double time) { now_ = time; }

  std::mt19937_64& random() { return random_; }
  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }
  // One of 0 to `count` - 1.
  int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }
  bool chance(double probability) { return uniform(0, 1) < probability; }

 private:
  struct Event {
    double time;
    std::uint64_t sequence_number;
    std::function<void()> work;
    bool operator>(const Event& other) const {
      return std::tie(time, sequence_number) > std::tie(other.time, other.sequence_number);
    }
  };

  double now_ = 0;
  std::uint64_t next_sequence_number_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::mt19937_64 random_;
};

}  // namespace bankhill::sim
