// The directory of a hot restart, and stubs of both processes that implement only the handover protocol.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstddef>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <string>
#include <vector>

#include "loopback.hpp"
#include "node_harness.hpp"

namespace ivyreel::test {

// The directory (TMPDIR) through which a successor finds its predecessor.
class SharedDirectory {
  public:
    explicit SharedDirectory(const std::string& name = "hot_restart")
        : path_(testing::TempDir() + "ivyreel_" + name + "_" + std::to_string(::getpid())) {
        std::filesystem::create_directories(path_);
    }
    SharedDirectory(const SharedDirectory&) = delete;
    SharedDirectory& operator=(const SharedDirectory&) = delete;
    ~SharedDirectory() { std::filesystem::remove_all(path_); }
    const std::string& path() const { return path_; }
    // The handover address of the node.
    sockaddr_un socketAddress() const {
        sockaddr_un address{};
        address.sun_family = AF_UNIX;
        const int length =
            std::snprintf(address.sun_path, sizeof address.sun_path, "%s/ivyreel-n0.sock", path_.c_str());
        EXPECT_LT(static_cast<std::size_t>(length), sizeof address.sun_path);
        return address;
    }
    bool hasSocketFile() const { return std::filesystem::exists(path_ + "/ivyreel-n0.sock"); }

  private:
    std::string path_;
};

inline NodeProcess::Options restartOptions(const StubServer& server, const SharedDirectory& directory) {
    NodeProcess::Options options = optionsFor(server);
    options.adminServer = true;
    options.directory = directory.path();
    return options;
}

// A successor that implements only the handover protocol. It connects in its constructor.
class FakeSuccessor {
  public:
    explicit FakeSuccessor(const SharedDirectory& directory)
        : descriptor_(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)), link_(descriptor_) {
        const sockaddr_un address = directory.socketAddress();
        EXPECT_EQ(::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    }

    void sendRequest() const { send("{\"successor\":1,\"listen\":\"127.0.0.1:0\"}\n"); }
    void send(const std::string& text) const { link_.send(text); }
    // The next message of the node, without its line end. Its descriptors are discarded.
    std::string nextMessage() {
        for (;;) {
            if (const std::size_t end = received_.find('\n'); end != std::string::npos) {
                std::string message = received_.substr(0, end);
                received_.erase(0, end + 1);
                return message;
            }
            const std::string more = link_.readAvailable();
            if (more.empty() || more == "(hang)") return "(end)";
            received_ += more;
        }
    }
    // The next message that contains the text.
    std::string nextMessageWith(const std::string& text) {
        std::string message = nextMessage();
        while (message != "(end)" && message.find(text) == std::string::npos) {
            message = nextMessage();
        }
        return message;
    }

  private:
    int descriptor_;
    TestConnection link_;
    std::string received_;
};

// A predecessor that implements only the handover protocol.
class FakePredecessor {
  public:
    explicit FakePredecessor(const SharedDirectory& directory)
        : listener_(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const sockaddr_un address = directory.socketAddress();
        EXPECT_EQ(::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
        EXPECT_EQ(::listen(listener_, 1), 0);
    }
    FakePredecessor(const FakePredecessor&) = delete;
    FakePredecessor& operator=(const FakePredecessor&) = delete;
    ~FakePredecessor() {
        ::close(link_);
        ::close(listener_);
    }

    void acceptRequest() {
        link_ = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        char request[4096];
        EXPECT_GT(::recv(link_, request, sizeof request, 0), 0);
    }
    void send(const std::string& text) const {
        EXPECT_EQ(::send(link_, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
    }
    // Sends a listening socket and a state that the node cannot use.
    void sendUnusableState() const { sendState("{}"); }
    // Sends a listening socket and this state.
    void sendState(const std::string& state) const {
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in address = loopback(0);
        EXPECT_EQ(::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
        EXPECT_EQ(::listen(listener, 16), 0);
        send(state + "\n", {listener});
    }
    // Sends a message with descriptors, which the peer owns from then on.
    void send(std::string text, const std::vector<int>& descriptors) const {
        alignas(cmsghdr) char control[CMSG_SPACE(2 * sizeof(int))] = {};
        iovec data{text.data(), text.size()};
        msghdr message{};
        message.msg_iov = &data;
        message.msg_iovlen = 1;
        message.msg_control = control;
        message.msg_controllen = CMSG_SPACE(descriptors.size() * sizeof(int));
        cmsghdr* descriptorRecord = CMSG_FIRSTHDR(&message);
        descriptorRecord->cmsg_level = SOL_SOCKET;
        descriptorRecord->cmsg_type = SCM_RIGHTS;
        descriptorRecord->cmsg_len = CMSG_LEN(descriptors.size() * sizeof(int));
        std::memcpy(CMSG_DATA(descriptorRecord), descriptors.data(), descriptors.size() * sizeof(int));
        EXPECT_EQ(::sendmsg(link_, &message, MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
        for (const int descriptor : descriptors) {
            ::close(descriptor);
        }
    }
    // Transfers a connection with this message. Returns the other ends of its sockets.
    EstablishedPair transfer(const std::string& message) const {
        int client[2];
        int server[2];
        EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, client), 0);
        EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, server), 0);
        send(message, {client[1], server[1]});
        return {TestConnection{client[0]}, TestConnection{server[0]}};
    }

  private:
    int listener_;
    int link_ = -1;
};

}  // namespace ivyreel::test
