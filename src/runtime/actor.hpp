// An actor owns its state; others speak to it only by messages put into its mailbox.
#pragma once

#include <deque>
#include <utility>
#include <variant>

#include "runtime/lifetime.hpp"
#include "runtime/loop.hpp"

namespace bankhill::runtime {

// Self must have a member function on(M&) for every message type M.
template <class Self, class... Messages>
class Actor {
 public:
  using Message = std::variant<Messages...>;

  explicit Actor(Loop& loop) : loop_(loop) {}
  Actor(const Actor&) = delete;
  Actor& operator=(const Actor&) = delete;

  // Puts a message into the mailbox; it is taken out on a later turn of the loop.
  void tell(Message message) {
    mailbox_.push_back(std::move(message));
    if (scheduled_) return;
    scheduled_ = true;
    loop_.post(guard([this] { drain(); }));
  }

 protected:
  ~Actor() = default;

  Loop& loop() { return loop_; }
  const Loop& loop() const { return loop_; }

  // Wraps a callback so that it does nothing once the actor is gone.
  template <class Work>
  auto guard(Work work) {
    return lifetime_.guard(std::move(work));
  }

 private:
  void drain() {
    scheduled_ = false;
    auto batch = std::exchange(mailbox_, {});
    for (auto& message : batch)
      std::visit([this](auto& content) { static_cast<Self*>(this)->on(content); }, message);
  }

  Loop& loop_;
  std::deque<Message> mailbox_;
  bool scheduled_ = false;
  Lifetime lifetime_;
};

}  // namespace bankhill::runtime
