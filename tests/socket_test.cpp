// The options that the node sets on its sockets, as the kernel reports them.
#include "io/socket.hpp"

#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace ivyreel {
namespace {

constexpr int kTimeoutMs = 20'000;  // reached only if the test hangs

bool isNagleDisabled(const Socket& socket) {
    int on = 0;
    socklen_t size = sizeof on;
    EXPECT_EQ(::getsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, &size), 0);
    return on != 0;
}

// Guards against lost bytes: a reset of the connection discards the bytes that Nagle's algorithm still
// delays.
TEST(Socket, AcceptedAndOpenedConnectionsDisableNagle) {
    Scheduler scheduler;
    Signal signal{scheduler};
    const Socket listener = Socket::listenOn(signal, *Address::parse("127.0.0.1:0"), -1);
    const Socket opened = Socket::connectTo(signal, listener.localAddress());
    pollfd incoming{listener.descriptor(), POLLIN, 0};
    ASSERT_EQ(::poll(&incoming, 1, kTimeoutMs), 1);
    int descriptor = -1;
    ASSERT_EQ(listener.accept(descriptor), Socket::AcceptResult::Accepted);
    const Socket accepted{signal, descriptor};
    EXPECT_TRUE(isNagleDisabled(opened));
    EXPECT_TRUE(isNagleDisabled(accepted));
}

}  // namespace
}  // namespace ivyreel
