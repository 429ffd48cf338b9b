#include "sim/event_queue.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::sim {

void EventQueue::at(double time, std::function<void()> work) {
  events_.push({time, next_sequence_number_++, std::move(work)});
}

std::function<void()> EventQueue::take_due(double until) {
  if (events_.empty() || events_.top().time > until) return nullptr;
  // Moving leaves the time and the number, by which the queue orders, as they are.
  auto work = std::move(const_cast<Event&>(events_.top()).work);
  now_ = std::max(now_, events_.top().time);
  events_.pop();
  return work;
}

}  // namespace bankhill::sim
