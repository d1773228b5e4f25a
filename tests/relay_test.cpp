// Tests what the relay reports about an endpoint when a connection to it ends.
#include "proxy/relay.hpp"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "requests/request_tracker.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr int kTimeoutMs = 20'000;  // reached only if the test hangs

std::string linesOf(std::size_t bytes) {
    std::string lines;
    while (lines.size() < bytes) {
        lines += std::string(998, 'x') + "\r\n";
    }
    return lines;
}

// Records the events and makes no decisions.
class RecordingEngine final : public DecisionEngine {
  public:
    explicit RecordingEngine(std::vector<Event>& events) : events_(events) {}
    void handle(Time, const Event& event, std::vector<Action>&) override { events_.push_back(event); }

  private:
    std::vector<Event>& events_;
};

// A connection that is established at one of two endpoints while the endpoint list is stale. The test holds
// the peer ends of both sockets.
struct RelayFixture : TrackerEnvironment {
    Scheduler scheduler;
    Metrics metrics;
    std::vector<Event> events;
    RequestTracker tracker{NodeSettings{}, *this,
                           [this](const Settings&) { return std::make_unique<RecordingEngine>(events); }};
    const EndpointId endpoint = endpointIdOf("s-1");
    std::array<int, 2> client{-1, -1};
    std::array<int, 2> server{-1, -1};
    std::string clientReceived;

    RelayFixture() {
        EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, client.data()), 0);
        EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, server.data()), 0);
        tracker.start({MemberEntry{"s-1", "", "", 0, 1.0, Availability::Ready, 0s},
                       MemberEntry{"s-2", "", "", 0, 1.0, Availability::Ready, 0s}});
        tracker.setListFreshness({ListFreshness::State::Stale, now()});
    }
    RelayFixture(const RelayFixture&) = delete;
    RelayFixture& operator=(const RelayFixture&) = delete;
    RelayFixture(RelayFixture&&) = delete;
    RelayFixture& operator=(RelayFixture&&) = delete;
    ~RelayFixture() override { ::close(server[1]); }

    Time now() const override { return scheduler.now(); }
    void startHealthCheck(EndpointId) override {}
    void startWatchingEndpointList() override {}

    Task<void> runRelay(bool migrationRequested) {
        ConnectionPair connections{scheduler, client[0]};
        connections.upstream = Connection{Socket{connections.signal, server[0]}};
        connections.migrationRequested = migrationRequested;
        TrackedRequest trackedRequest{tracker, connections, RequestAttributes{}};
        tracker.connectionResumed(trackedRequest, endpoint);
        RelayState state;
        Relay relay{connections, trackedRequest, tracker, metrics, state};
        co_await relay.run();
        scheduler.stop();
    }

    // Sends `text` as the endpoint, half-closes the connection and runs the relay until it returns.
    void endpointEndsWith(std::string_view text) {
        ASSERT_EQ(::send(server[1], text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
        ::shutdown(server[1], SHUT_WR);
        run(false);
    }

    // Reads as the client until the node ends the connection, then closes the connection.
    Task<void> readAsClient() {
        Signal signal{scheduler};
        Connection connection{Socket{signal, client[1]}};
        while (!connection.inputEnded()) {
            co_await signal.wait();
            connection.receive();
        }
        clientReceived = std::string(connection.input.view());
    }

    void run(bool migrationRequested) {
        scheduler.spawn(readAsClient());
        scheduler.spawn(runRelay(migrationRequested));
        scheduler.run();
    }
};

TEST(Relay, MoveFromTheEndpointWithholdsItWhileTheListIsStale) {
    RelayFixture fixture;
    fixture.endpointEndsWith("MOVE\r\n");
    EXPECT_EQ(fixture.clientReceived, "MOVE\r\n");
    EXPECT_FALSE(fixture.tracker.isEligible(fixture.endpoint));
    EXPECT_TRUE(fixture.tracker.isEligible(endpointIdOf("s-2")));
}

TEST(Relay, ByeOrAnEndWithoutNoticeDoesNotWithholdTheEndpoint) {
    for (const std::string_view text : {"BYE\r\n", "hello\r\n"}) {
        RelayFixture fixture;
        fixture.endpointEndsWith(text);
        EXPECT_EQ(fixture.clientReceived, text);
        EXPECT_TRUE(fixture.tracker.isEligible(fixture.endpoint)) << text;
    }
}

// Guards against infinite estimates: sums of loads that the wire format cannot hold overflow.
TEST(Relay, LoadLineThatExceedsSinglePrecisionIsRelayedButNotReported) {
    RelayFixture fixture;
    fixture.endpointEndsWith("LOAD 1e308\r\nLOAD 1000\r\n");
    EXPECT_EQ(fixture.clientReceived, "LOAD 1e308\r\nLOAD 1000\r\n");
    std::vector<double> loads;
    for (const Event& event : fixture.events) {
        if (const auto* measured = std::get_if<ConnectionLoadMeasured>(&event))
            loads.push_back(measured->load);
    }
    EXPECT_EQ(loads, (std::vector<double>{1000.0}));
}

// Guards against requests that are sent on after their client has left: a reset behind unread input went
// unnoticed while the endpoint did not read.
TEST(Relay, ResetOfTheClientEndsTheUpstreamConnectionThoughTheEndpointDoesNotRead) {
    RelayFixture fixture;
    Signal signal{fixture.scheduler};
    const Socket listener = Socket::listenOn(signal, *Address::parse("127.0.0.1:0"), -1);
    Socket client = Socket::connectTo(signal, listener.localAddress());
    pollfd incoming{listener.descriptor(), POLLIN, 0};
    ASSERT_EQ(::poll(&incoming, 1, kTimeoutMs), 1);
    ::close(fixture.client[0]);
    ::close(fixture.client[1]);
    ASSERT_EQ(listener.accept(fixture.client[0]), Socket::AcceptResult::Accepted);
    const int upstreamBytes = 4096;
    ::setsockopt(fixture.server[0], SOL_SOCKET, SO_SNDBUF, &upstreamBytes, sizeof upstreamBytes);
    const std::string lines = linesOf(200'000);
    ASSERT_GT(::send(client.descriptor(), lines.data(), lines.size(), 0), 60'000)
        << "more than the relay and the socket of the endpoint take";
    fixture.scheduler.spawn(fixture.runRelay(false));
    fixture.scheduler.spawn([](Scheduler& scheduler, Socket& leaving) -> Task<void> {
        Signal pause{scheduler};
        co_await pause.wait(scheduler.now() + 100ms);
        leaving.reset();
    }(fixture.scheduler, client));
    fixture.scheduler.run();
    EXPECT_EQ(fixture.metrics.closedByClient, 1U);
    EXPECT_EQ(fixture.metrics.migratedUnresponsive, 0U);
}

TEST(Relay, MoveFromTheNodeItselfDoesNotWithholdTheEndpoint) {
    RelayFixture fixture;
    fixture.run(true);
    EXPECT_EQ(fixture.clientReceived, "MOVE\r\n");
    EXPECT_TRUE(fixture.tracker.isEligible(fixture.endpoint));
}

}  // namespace
}  // namespace ivyreel
