// Callbacks that must not run once the object that issued them is gone.
#pragma once

#include <memory>
#include <utility>

namespace bankhill::runtime {

// A member of the object whose callbacks it guards.
class Lifetime {
 public:
  Lifetime() = default;
  Lifetime(const Lifetime&) = delete;
  Lifetime& operator=(const Lifetime&) = delete;

  // Wraps a callback so that it does nothing once this object is destroyed.
  template <class Callback>
  auto guard(Callback callback) const {
    return [alive = std::weak_ptr<int>(alive_), callback = std::move(callback)](auto&&... arguments) mutable {
      if (alive.lock()) callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace bankhill::runtime
