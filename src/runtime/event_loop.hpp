// The loop on libevent.
#pragma once

#include <event2/event.h>

#include <deque>
#include <memory>

#include "runtime/loop.hpp"

namespace bankhill::runtime {

class EventLoop final : public Loop {
 public:
  EventLoop();
  double now() const override;
  double wall() const override;
  void post(std::function<void()> work) override;
  Timer after(double seconds, std::function<void()> work) override;
  std::mt19937_64& random() override { return random_; }

  event_base* base() { return base_.get(); }
  void run();
  void stop();

 private:
  struct BaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
  };
  struct EventDeleter {
    void operator()(event* item) const { event_free(item); }
  };
  void run_posted();

  std::unique_ptr<event_base, BaseDeleter> base_;
  std::unique_ptr<event, EventDeleter> wake_;
  std::deque<std::function<void()>> posted_;
  std::mt19937_64 random_;
};

}  // namespace bankhill::runtime
