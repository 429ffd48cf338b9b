#include "runtime/event_loop.hpp"

#include <chrono>
#include <utility>

namespace bankhill::runtime {

// A timer that was set: its event is freed, and so disarmed, with it.
struct EventLoop::ArmedTimer {
  std::function<void()> work;
  OwnedEvent item;
};

EventLoopError::EventLoopError() : std::runtime_error("cannot create an event base") {}

timeval to_timeval(double seconds) {
  if (seconds < 0) seconds = 0;
  timeval value{};
  value.tv_sec = static_cast<time_t>(seconds);
  value.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(value.tv_sec)) * 1e6);
  return value;
}

EventLoop::EventLoop() : base_(event_base_new()) {
  if (!base_) throw EventLoopError();
  std::random_device device;
  random_.seed((std::uint64_t{device()} << 32) ^ device());
  wake_.reset(event_new(
      base_.get(), -1, 0,
      [](evutil_socket_t, short, void* self) { static_cast<EventLoop*>(self)->run_posted(); }, this));
}

double EventLoop::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

double EventLoop::wall() const {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void EventLoop::post(std::function<void()> work) {
  if (posted_.empty()) event_active(wake_.get(), EV_TIMEOUT, 1);
  posted_.push_back(std::move(work));
}

void EventLoop::run_posted() {
  // Work posted meanwhile waits for the next turn, so that input and timers are not starved.
  auto batch = std::exchange(posted_, {});
  for (auto& work : batch) work();
}

Timer EventLoop::after(double seconds, std::function<void()> work) {
  auto timer = std::make_shared<ArmedTimer>();
  timer->work = std::move(work);
  timer->item.reset(event_new(
      base_.get(), -1, 0,
      [](evutil_socket_t, short, void* armed) {
        // The work may let go of its own handle: run a moved copy.
        auto run = std::move(static_cast<ArmedTimer*>(armed)->work);
        run();
      },
      timer.get()));
  const timeval delay = to_timeval(seconds);
  event_add(timer->item.get(), &delay);
  return timer;
}

void EventLoop::run() { event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::stop() { event_base_loopbreak(base_.get()); }

}  // namespace bankhill::runtime
