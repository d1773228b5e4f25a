// Blocking loopback sockets for tests: a connection of the line protocol, and a listener with one thread per
// connection. The kernel chooses all ports.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace ivyreel::test {

constexpr int kTestTimeoutMs = 20'000;  // the timeout of every wait; reached only if the test hangs

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// A blocking connection that sends text and reads lines.
class TestConnection {
  public:
    explicit TestConnection(int descriptor = -1) : descriptor_(descriptor) {}
    TestConnection(TestConnection&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1)), received_(std::move(other.received_)) {}
    TestConnection& operator=(TestConnection&& other) noexcept {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
        received_ = std::move(other.received_);
        return *this;
    }
    TestConnection(const TestConnection&) = delete;
    TestConnection& operator=(const TestConnection&) = delete;
    ~TestConnection() { close(); }

    static TestConnection connectTo(std::uint16_t port) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            ADD_FAILURE() << "cannot connect to port " << port;
        return TestConnection{descriptor};
    }

    void send(std::string_view text) const {
        while (!text.empty()) {
            const ssize_t count = ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
            if (count <= 0) return;
            text.remove_prefix(static_cast<std::size_t>(count));
        }
    }

    // The next line without its line end. If there is none, "(end)" after the peer has closed the connection,
    // "(reset)" after a reset, and "(hang)" after kTestTimeoutMs.
    std::string line() {
        for (;;) {
            if (const std::size_t end = received_.find("\r\n"); end != std::string::npos) {
                std::string result = received_.substr(0, end);
                received_.erase(0, end + 2);
                return result;
            }
            pollfd poll{descriptor_, POLLIN, 0};
            if (::poll(&poll, 1, kTestTimeoutMs) != 1) return "(hang)";
            std::array<char, 4096> chunk{};
            const ssize_t count = ::recv(descriptor_, chunk.data(), chunk.size(), 0);
            if (count == 0) return "(end)";
            if (count < 0) return "(reset)";
            received_.append(chunk.data(), static_cast<std::size_t>(count));
        }
    }

    // The next available input; empty if the peer has closed or reset the connection, "(hang)" after
    // kTestTimeoutMs.
    std::string readAvailable() {
        if (!received_.empty()) return std::exchange(received_, {});
        pollfd poll{descriptor_, POLLIN, 0};
        if (::poll(&poll, 1, kTestTimeoutMs) != 1) return "(hang)";
        std::array<char, 4096> chunk{};
        const ssize_t count = ::recv(descriptor_, chunk.data(), chunk.size(), 0);
        return count <= 0 ? std::string() : std::string(chunk.data(), static_cast<std::size_t>(count));
    }

    // Whether input is available or the connection has ended.
    bool hasInput() const {
        pollfd poll{descriptor_, POLLIN, 0};
        return ::poll(&poll, 1, 0) == 1;
    }
    void shutdownSend() const { ::shutdown(descriptor_, SHUT_WR); }
    void reset() {
        const linger now{1, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    void close() {
        if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
    }
    explicit operator bool() const { return descriptor_ >= 0; }

  private:
    int descriptor_;
    std::string received_;
};

// Serves each connection in a thread of its own.
class TestListener {
  public:
    explicit TestListener(std::function<void(TestConnection)> serve)
        : serve_(std::move(serve)), descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        if (::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
            ::listen(descriptor_, 128) != 0 ||
            ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            ADD_FAILURE() << "cannot listen on a loopback port";
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { run(); });
    }
    TestListener(const TestListener&) = delete;
    TestListener& operator=(const TestListener&) = delete;
    TestListener(TestListener&&) = delete;
    TestListener& operator=(TestListener&&) = delete;
    // The node must have exited before, because the threads end when their connections do.
    ~TestListener() {
        ::shutdown(descriptor_, SHUT_RDWR);
        thread_.join();
        ::close(descriptor_);
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

    std::uint16_t port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  private:
    void run() {
        for (;;) {
            const int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) return;
            threads_.emplace_back([this, descriptor] { serve_(TestConnection{descriptor}); });
        }
    }

    std::function<void(TestConnection)> serve_;
    int descriptor_;
    std::uint16_t port_ = 0;
    std::vector<std::thread> threads_;
    std::thread thread_;
};

}  // namespace ivyreel::test
