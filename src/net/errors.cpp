#include "net/errors.hpp"

#include <cerrno>
#include <utility>

namespace bankhill::net {

AddressError::AddressError(std::string address)
    : std::runtime_error("not an address: " + address), address_(std::move(address)) {}

ListenError::ListenError(std::string address, std::error_code reason)
    : std::runtime_error("cannot listen on " + address), address_(std::move(address)), reason_(reason) {}

std::error_code last_system_error() {
  if (errno == 0) return std::make_error_code(std::errc::invalid_argument);
  return {errno, std::generic_category()};
}

}  // namespace bankhill::net
