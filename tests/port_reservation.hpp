// Reserves a loopback port for a test: until a socket listens on the port, the kernel refuses connections to
// it and does not assign it to another socket.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "io/socket.hpp"

namespace ivyreel {

class PortReservation {
  public:
    PortReservation() : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const int on = 1;
        EXPECT_EQ(::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on), 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        EXPECT_EQ(::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), size), 0);
        EXPECT_EQ(::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size), 0);
        port_ = ntohs(address.sin_port);
    }
    ~PortReservation() { ::close(descriptor_); }
    PortReservation(const PortReservation&) = delete;
    PortReservation& operator=(const PortReservation&) = delete;
    PortReservation(PortReservation&&) = delete;
    PortReservation& operator=(PortReservation&&) = delete;

    // Socket::listenOn can bind the same address: both sockets set SO_REUSEADDR, and the reservation never
    // listens.
    Address address() const { return *Address::parse("127.0.0.1:" + std::to_string(port_)); }

  private:
    int descriptor_;
    int port_ = 0;
};

}  // namespace ivyreel
