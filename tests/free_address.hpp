// An address of this machine for servers of tests.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace bankhill {

// On loopback, with a port that was free a moment ago.
inline std::string free_address() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof address;
  EXPECT_EQ(::bind(socket, reinterpret_cast<sockaddr*>(&address), length), 0);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  ::close(socket);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

}  // namespace bankhill
