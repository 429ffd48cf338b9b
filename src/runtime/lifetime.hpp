// Ties callbacks to the object that they refer to.
#pragma once

#include <memory>
#include <utility>

namespace bankhill::runtime {

// A member of an object whose callbacks may outlive it.
class Lifetime {
 public:
  Lifetime() = default;
  Lifetime(const Lifetime&) = delete;
  Lifetime& operator=(const Lifetime&) = delete;

  // Wraps a callback so that it does nothing once this object is gone.
  template <class Work>
  auto guard(Work work) {
    return [alive = std::weak_ptr<int>(alive_), work = std::move(work)](auto&&... arguments) mutable {
      if (alive.lock()) work(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace bankhill::runtime
