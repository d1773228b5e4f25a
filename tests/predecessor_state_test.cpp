// What a successor receives on the handover link: the state and the messages behind it, over a real Unix
// socket.
#include "hot_restart/predecessor_state.hpp"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>
#include <filesystem>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "hot_restart/handover_link.hpp"
#include "io/unix_socket.hpp"

namespace ivyreel {
namespace {

constexpr unsigned kSeed = 20261206;
constexpr int kTimeoutMs = 20'000;  // reached only if the test hangs
const std::string kBan = "{\"ban\":42,\"on\":true}";
const std::string kTransfer = "{\"connection\":\"\"}";

// Listens at the socket file of the node "n0" in a directory of its own.
class StubPredecessor {
  public:
    StubPredecessor() : listener_(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        std::filesystem::create_directories(address_.directory);
        sockaddr_un address{};
        address.sun_family = AF_UNIX;
        std::snprintf(address.sun_path, sizeof address.sun_path, "%s/%s", address_.directory.c_str(),
                      address_.fileName().c_str());
        EXPECT_EQ(::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
        EXPECT_EQ(::listen(listener_, 1), 0);
    }
    StubPredecessor(const StubPredecessor&) = delete;
    StubPredecessor& operator=(const StubPredecessor&) = delete;
    StubPredecessor(StubPredecessor&&) = delete;
    StubPredecessor& operator=(StubPredecessor&&) = delete;
    ~StubPredecessor() {
        ::close(link_);
        ::close(listener_);
        std::filesystem::remove_all(address_.directory);
    }

    const HandoverAddress& address() const { return address_; }

    void acceptRequest() {
        link_ = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        std::array<char, 4096> request{};
        EXPECT_GT(::recv(link_, request.data(), request.size(), 0), 0);
    }
    // Sends the text in pieces of random size, and new descriptors with its first byte.
    void send(std::string_view text, std::size_t descriptorCount, std::minstd_rand& random) const {
        std::vector<int> descriptors(descriptorCount);
        std::generate(descriptors.begin(), descriptors.end(), [] { return ::dup(STDIN_FILENO); });
        for (bool first = true; !text.empty(); first = false) {
            std::uniform_int_distribution<std::size_t> size(1, 200'000);
            const std::string_view piece = text.substr(0, size(random));
            const ssize_t sent = first && descriptorCount > 0
                                     ? sendWithDescriptors(link_, piece, descriptors)
                                     : ::send(link_, piece.data(), piece.size(), MSG_NOSIGNAL);
            if (sent <= 0) break;
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        EXPECT_TRUE(text.empty()) << "the successor closed the link";
        closeAll(descriptors);
    }

  private:
    HandoverAddress address_{testing::TempDir() + "ivyreel_predecessor_" + std::to_string(::getpid()), "n0",
                             "127.0.0.1:0", ""};
    int listener_;
    int link_ = -1;
};

// The next message; none if there is none before the timeout.
std::optional<std::string> awaitMessage(HandoverLink& link, int descriptor) {
    for (;;) {
        link.receive();
        if (auto message = link.nextMessage()) return message;
        pollfd poll{descriptor, POLLIN, 0};
        if (link.ended() || ::poll(&poll, 1, kTimeoutMs) != 1) return std::nullopt;
    }
}

void expectDescriptor(HandoverLink& link) {
    const int descriptor = link.takeDescriptor();
    EXPECT_GE(descriptor, 0);
    ::close(descriptor);
}

void expectStateAndMessagesArrive(std::size_t stateBytes, std::minstd_rand& random) {
    const std::string text(stateBytes, 's');
    StubPredecessor predecessor;
    std::thread sender([&] {
        predecessor.acceptRequest();
        predecessor.send(text + "\n" + kBan + "\n", 2, random);
        predecessor.send(kTransfer + "\n" + kBan + "\n", 2, random);
    });
    std::optional<PredecessorState> state = PredecessorState::request(predecessor.address());
    if (state) {
        EXPECT_TRUE(state->handoverState() == text)
            << "received " << state->handoverState().size() << " bytes";
        for (const std::size_t index : {0U, 1U}) {
            const int listener = state->takeListener(index);
            EXPECT_GE(listener, 0) << index;
            ::close(listener);
        }
        Scheduler scheduler;
        const int descriptor = state->takeLink();
        HandoverLink link{scheduler, descriptor, state->takeReader()};
        EXPECT_EQ(awaitMessage(link, descriptor), kBan);
        EXPECT_EQ(awaitMessage(link, descriptor), kTransfer);
        expectDescriptor(link);
        expectDescriptor(link);
        EXPECT_EQ(awaitMessage(link, descriptor), kBan);
    }
    sender.join();
    EXPECT_TRUE(state);
}

// Guards against bans and request ids that an upgrade loses: the next message, when it was read along with
// the end of the state, was taken for a part of the state, which was then rejected as a whole.
TEST(PredecessorState, MessagesBehindAStateOfAnySizeAreNotTakenForAPartOfIt) {
    SCOPED_TRACE("seed " + std::to_string(kSeed));
    std::minstd_rand random(kSeed);
    for (const std::size_t boundary : {16'384U, 36'544U, 65'536U, 262'144U}) {
        for (const std::size_t bytes : {boundary - 1, boundary, boundary + 1}) {
            SCOPED_TRACE(bytes);
            expectStateAndMessagesArrive(bytes, random);
        }
    }
    for (const std::size_t bytes : {1UL, 20'000'000UL}) {
        SCOPED_TRACE(bytes);
        expectStateAndMessagesArrive(bytes, random);
    }
}

// Guards against messages that are handled late: the link stopped reading at its maximum and waited for the
// next event although more had arrived.
TEST(HandoverLink, AllMessagesThatHaveArrivedAreHandledWithoutAnotherEvent) {
    std::array<int, 2> ends{-1, -1};
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends.data()), 0);
    const int bufferBytes = 1'000'000;
    ::setsockopt(ends[1], SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof bufferBytes);
    std::size_t sent = 0;
    const std::string line = std::string(16'000, 'm') + "\n";
    while (::send(ends[1], line.data(), line.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(line.size())) {
        ++sent;
    }
    Scheduler scheduler;
    std::size_t received = 0;
    scheduler.spawn(
        [](Scheduler& loop, int descriptor, std::size_t expected, std::size_t& count) -> Task<void> {
            HandoverLink link{loop, descriptor};
            const Time deadline = loop.now() + std::chrono::seconds(5);
            while (count < expected && loop.now() < deadline) {
                link.receive();
                while (link.nextMessage()) {
                    ++count;
                }
                if (count < expected) co_await link.signal().wait(deadline);
            }
            loop.stop();
        }(scheduler, ends[0], sent, received));
    scheduler.run();
    EXPECT_GT(sent * line.size(), 256U * 1024) << "the socket holds less than the maximum of the link";
    EXPECT_EQ(received, sent);
    ::close(ends[1]);
}

}  // namespace
}  // namespace ivyreel
