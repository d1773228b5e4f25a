// The options that the node sets on its sockets, as the kernel reports them.
#include "io/socket.hpp"

#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <string>

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

// Guards against requests that are sent on after their client has left: while the buffer was full, a reset of
// the connection behind unread input went unnoticed.
TEST(Connection, NoticesAResetWhileItsBufferIsFull) {
    Scheduler scheduler;
    Signal signal{scheduler};
    const Socket listener = Socket::listenOn(signal, *Address::parse("127.0.0.1:0"), -1);
    Socket peer = Socket::connectTo(signal, listener.localAddress());
    pollfd incoming{listener.descriptor(), POLLIN, 0};
    ASSERT_EQ(::poll(&incoming, 1, kTimeoutMs), 1);
    int descriptor = -1;
    ASSERT_EQ(listener.accept(descriptor), Socket::AcceptResult::Accepted);
    Connection connection{Socket{signal, descriptor}};
    const std::string text(60'000, 'x');
    ASSERT_EQ(::send(peer.descriptor(), text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
    while (!connection.input.full()) {
        connection.receive();
    }
    connection.noticeReset();
    EXPECT_FALSE(connection.inputEnded());
    peer.reset();
    pollfd state{descriptor, 0, 0};
    ASSERT_EQ(::poll(&state, 1, kTimeoutMs), 1);
    EXPECT_FALSE(connection.receive());
    EXPECT_FALSE(connection.inputEnded()) << "a read returns the unread input first";
    connection.noticeReset();
    EXPECT_TRUE(connection.broken);
}

}  // namespace
}  // namespace ivyreel
