// Errors of the network layer, by what went wrong.
#pragma once

#include <stdexcept>
#include <string>
#include <system_error>

namespace bankhill::net {

// Text that should be "HOST:PORT" and is not; what() is "not an address: TEXT".
class AddressError : public std::runtime_error {
 public:
  explicit AddressError(std::string address);
  const std::string& address() const noexcept { return address_; }

 private:
  std::string address_;
};

// No socket could be opened for incoming connections; what() is "cannot listen on ADDRESS".
class ListenError : public std::runtime_error {
 public:
  ListenError(std::string address, std::error_code reason);
  const std::string& address() const noexcept { return address_; }
  // The system's, such as std::errc::address_in_use; std::errc::invalid_argument where the system was not
  // even asked.
  const std::error_code& reason() const noexcept { return reason_; }

 private:
  std::string address_;
  std::error_code reason_;
};

// The reason of the system call that failed last, for a ListenError. Set errno to 0 before the attempt.
std::error_code last_system_error();

}  // namespace bankhill::net
