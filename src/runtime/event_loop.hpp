// The loop on libevent.
#pragma once

#include <event2/event.h>

#include <deque>
#include <memory>
#include <stdexcept>

#include "runtime/loop.hpp"

namespace bankhill::runtime {

// No event base could be had from libevent; what() is "cannot create an event base".
struct EventLoopError : std::runtime_error {
  EventLoopError();
};

// For libevent; below 0 counts as 0.
timeval to_timeval(double seconds);

// The loop of the program itself, of one thread.
class EventLoop final : public Loop {
 public:
  EventLoop();  // throws EventLoopError
  double now() const override;
  double wall() const override;
  void post(std::function<void()> work) override;
  Timer after(double seconds, std::function<void()> work) override;
  std::mt19937_64& random() override { return random_; }

  event_base* base() { return base_.get(); }
  // Until stop() is called.
  void run();
  void stop();

 private:
  struct BaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
  };
  struct EventDeleter {
    void operator()(event* item) const { event_free(item); }
  };
  using OwnedEvent = std::unique_ptr<event, EventDeleter>;
  struct ArmedTimer;
  void run_posted();

  std::unique_ptr<event_base, BaseDeleter> base_;
  OwnedEvent wake_;
  std::deque<std::function<void()>> posted_;
  std::mt19937_64 random_;
};

}  // namespace bankhill::runtime
