// Attempts to open a connection at an endpoint: the bytes that are sent, and the result.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "proxy/endpoint_connector.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

// Makes no decisions. The test sets whether earlier decisions are still valid.
class SilentEngine final : public DecisionEngine {
  public:
    explicit SilentEngine(const bool& isAttemptStillValid) : isAttemptStillValid_(isAttemptStillValid) {}
    void handle(Time, const Event&, std::vector<Action>&) override {}
    bool isAttemptStillValid(Time, RequestId) const override { return isAttemptStillValid_; }

  private:
    const bool& isAttemptStillValid_;
};

// An endpoint, which the test may list, and the client of one attempt.
struct AttemptFixture : TrackerEnvironment {
    Scheduler scheduler;
    Metrics metrics;
    bool isAttemptStillValid = true;
    RequestTracker tracker{settings(), *this, [this](const Settings&) {
                               return std::make_unique<SilentEngine>(isAttemptStillValid);
                           }};
    EndpointConnector connector{tracker, metrics};
    Signal listening{scheduler};
    Socket listener{Socket::listenOn(listening, *Address::parse("127.0.0.1:0"))};
    int clientSocket = -1;

    AttemptFixture() = default;
    AttemptFixture(const AttemptFixture&) = delete;
    AttemptFixture& operator=(const AttemptFixture&) = delete;
    AttemptFixture(AttemptFixture&&) = delete;
    AttemptFixture& operator=(AttemptFixture&&) = delete;
    ~AttemptFixture() override {
        if (clientSocket >= 0) ::close(clientSocket);
    }

    static NodeSettings settings() {
        NodeSettings result;
        result.settings.limits.connectTimeout = 10s;
        return result;
    }

    Time now() const override { return scheduler.now(); }
    void startHealthCheck(EndpointId) override {}
    void startWatchingEndpointList() override {}

    void list(Availability availability) {
        tracker.endpointListReceived(true, {MemberEntry{"s-1", "", "", 0, 1.0, availability, 0s}});
        connector.setAddress(endpointIdOf("s-1"), listener.localAddress());
    }

    Task<void> attempt(std::optional<AttemptResult>& result, bool resumed) {
        std::array<int, 2> ends{};
        EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
        clientSocket = ends[1];
        ConnectionPair connections{scheduler, ends[0]};
        const auto opening = OpeningLine::parse("OPEN 1 2 c=x,d=900");
        TrackedRequest trackedRequest{tracker, connections, RequestAttributes{}};
        const AttemptTarget target{endpointIdOf("s-1"), 5s, resumed};
        result =
            co_await connector.attempt(connections, trackedRequest, *opening, target, metrics.classes["x"]);
        scheduler.stop();
    }

    // Runs an attempt to its end.
    std::optional<AttemptResult> runAttempt(bool resumed = false) {
        std::optional<AttemptResult> result;
        scheduler.spawn(attempt(result, resumed));
        scheduler.run();
        return result;
    }

    // Accepts the connection, reads one line and sends the answer.
    Task<void> serveEndpoint(std::string& received, std::string answer) {
        int descriptor = -1;
        while (listener.accept(descriptor) != Socket::AcceptResult::Accepted) {
            co_await listening.wait();
        }
        Signal signal{scheduler};
        Connection connection{Socket{signal, descriptor}};
        while (!firstLine(connection.input.view()) && !connection.inputEnded()) {
            connection.receive();
            if (connection.input.empty() && !connection.inputEnded()) co_await signal.wait();
        }
        received = std::string(connection.input.view());
        std::size_t sent = 0;
        connection.send(answer, sent);
        while (!connection.inputEnded()) {
            co_await signal.wait();
            connection.receive();
        }
    }
};

TEST(ConnectionAttempt, SucceedsWhenTheEndpointAccepts) {
    AttemptFixture fixture;
    fixture.list(Availability::Ready);
    std::string received;
    fixture.scheduler.spawn(fixture.serveEndpoint(received, "UP r1\r\n"));
    const auto result = fixture.runAttempt();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->kind, AttemptResult::Kind::Up);
    EXPECT_TRUE(received.starts_with("OPEN 1 2 c=x,d=")) << received;
}

TEST(ConnectionAttempt, SendsNothingToAnEndpointThatDrainsBeforeTheFirstByte) {
    AttemptFixture fixture;
    fixture.list(Availability::Draining);
    std::string received = "(nothing yet)";
    fixture.scheduler.spawn(fixture.serveEndpoint(received, ""));
    const auto result = fixture.runAttempt();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->kind, AttemptResult::Kind::Failed);
    EXPECT_EQ(result->outcome, Outcome::NotSent);
    EXPECT_EQ(fixture.metrics.notSent, 1U);
    EXPECT_EQ(fixture.metrics.attempts, 0U);
}

// A decision becomes invalid if the retry window of the request's idempotency key has passed or the endpoint
// has restarted.
TEST(ConnectionAttempt, SendsNothingWhenTheDecisionIsNoLongerValid) {
    AttemptFixture fixture;
    fixture.list(Availability::Ready);
    fixture.isAttemptStillValid = false;
    std::string received = "(nothing yet)";
    fixture.scheduler.spawn(fixture.serveEndpoint(received, ""));
    const auto result = fixture.runAttempt();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->outcome, Outcome::NotSent);
    EXPECT_EQ(fixture.metrics.attempts, 0U);
}

TEST(ConnectionAttempt, SucceedsAtADrainingEndpointForAResumedConnection) {
    AttemptFixture fixture;
    fixture.list(Availability::Draining);
    std::string received;
    fixture.scheduler.spawn(fixture.serveEndpoint(received, "UP r1\r\n"));
    const auto result = fixture.runAttempt(true);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->kind, AttemptResult::Kind::Up);
}

// A connection is evicted because its descriptor is needed for another connection. Its client must get the
// final line before the descriptor is closed.
TEST(FinalLine, IsSentBeforeAnEvictedConnectionIsClosed) {
    AttemptFixture fixture;
    std::array<int, 2> ends{};
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
    fixture.clientSocket = ends[1];
    ConnectionPair connections{fixture.scheduler, ends[0]};
    connections.evicted = true;
    fixture.scheduler.spawn([](ConnectionPair& one, Scheduler& scheduler) -> Task<void> {
        co_await closeWithFinalLine(one, "ERR\r\n");
        scheduler.stop();
    }(connections, fixture.scheduler));
    fixture.scheduler.run();
    std::array<char, 16> received{};
    EXPECT_EQ(::recv(fixture.clientSocket, received.data(), received.size(), 0), 5);
    EXPECT_EQ(std::string(received.data(), 5), "ERR\r\n");
    EXPECT_EQ(::recv(fixture.clientSocket, received.data(), received.size(), 0), 0)
        << "the connection is closed although the client is still connected";
}

TEST(ConnectionAttempt, FailsToConnectToAnEndpointWithoutAnAddress) {
    AttemptFixture fixture;
    const auto result = fixture.runAttempt();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->outcome, Outcome::ConnectFailed);
}

}  // namespace
}  // namespace ivyreel
