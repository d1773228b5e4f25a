// Tests which opening lines the proxy server serves after a hot restart, in virtual time.
#include "proxy/proxy_server.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "virtual_clock.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kDescriptorLimit = 500;

// Rejects every request.
class RejectingEngine final : public DecisionEngine {
  public:
    void handle(Time, const Event& event, std::vector<Action>& actions) override {
        if (const auto* arrived = std::get_if<RequestArrived>(&event))
            actions.emplace_back(RejectRequest{arrived->request, Micros{0}});
    }
};

NodeSettings settingsWithClass(const std::string& name) {
    NodeSettings settings;
    settings.classNames = {name};
    settings.settings.classes.resize(1);
    return settings;
}

// The proxy server of a successor, whose clients connect over loopback.
struct ProxyServerFixture : TrackerEnvironment {
    Scheduler scheduler{std::make_unique<VirtualClock>()};
    Metrics metrics;
    RequestTracker tracker{settingsWithClass("chat"), *this,
                           [](const Settings&) { return std::make_unique<RejectingEngine>(); }};
    EndpointConnector connector{tracker, metrics};
    HealthChecker healthChecker{scheduler, tracker, connector, metrics};
    ProxyServer server{
        scheduler, tracker,         connector, healthChecker, metrics, *Address::parse("127.0.0.1:0"),
        -1,        kDescriptorLimit};
    std::array<int, 2> client{-1, -1};  // the adopted connection's sockets: the server's end and the peer's
    std::array<int, 2> upstream{-1, -1};

    ProxyServerFixture() {
        tracker.start({MemberEntry{"s-1", "", "", 0, 1.0, Availability::Ready, 0s}});
        scheduler.spawn(server.accept());
    }
    ProxyServerFixture(const ProxyServerFixture&) = delete;
    ProxyServerFixture& operator=(const ProxyServerFixture&) = delete;
    ProxyServerFixture(ProxyServerFixture&&) = delete;
    ProxyServerFixture& operator=(ProxyServerFixture&&) = delete;
    ~ProxyServerFixture() override {
        scheduler.destroyTasks();
        ::close(client[1]);
        ::close(upstream[1]);
    }

    Time now() const override { return scheduler.now(); }
    void startHealthCheck(EndpointId) override {}
    void startWatchingEndpointList() override {}

    PeerRequestIds& predecessor() { return server.peerRequestIds(HandoverPeer::Predecessor); }

    // The predecessor transfers an established connection with this opening line.
    void adopt(const std::string& opening) {
        ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, client.data()), 0);
        ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, upstream.data()), 0);
        EstablishedConnection connection;
        connection.openingLine = opening;
        connection.endpoint = endpointIdOf("s-1");
        connection.clientSocket = client[0];
        connection.upstreamSocket = upstream[0];
        server.adopt(connection);
    }

    Task<void> pause(Micros duration) {
        Signal timer{scheduler};
        co_await timer.wait(scheduler.now() + duration);
        scheduler.stop();
    }
    void run(Micros duration) {
        scheduler.spawn(pause(duration));
        scheduler.run([this] { return tracker.runDueTimers(); });
    }

    Task<void> exchange(const std::string& opening, std::string& answer) {
        Signal signal{scheduler};
        Connection connection{Socket::connectTo(signal, server.address())};
        std::size_t sent = 0;
        while (sent < opening.size()) {
            connection.send(opening, sent);
            if (sent < opening.size()) co_await signal.wait();
        }
        while (!connection.inputEnded()) {
            connection.receive();
            if (!connection.inputEnded()) co_await signal.wait();
        }
        answer = std::string(connection.input.view());
        scheduler.stop();
    }
    // The server's answer to a new connection with this opening line.
    std::string answerTo(const std::string& opening) {
        std::string answer;
        scheduler.spawn(exchange(opening, answer));
        scheduler.run([this] { return tracker.runDueTimers(); });
        return answer;
    }
};

const std::string kOpening = "OPEN 9b01 7f3a c=chat,d=20000\r\n";
const std::string kOtherOpening = "OPEN 9b02 7f3a c=chat,d=20000\r\n";

// Guards against a second run of an unsafe request after an upgrade: the id of an adopted connection was
// forgotten 10 s after the start of the successor although the connection was open.
TEST(ProxyServer, RejectsTheIdOfAnAdoptedConnectionForAsLongAsItIsOpen) {
    ProxyServerFixture fixture;
    fixture.predecessor().add(0x9b01);
    fixture.run(1s);
    fixture.adopt(kOpening);
    fixture.run(1s);
    fixture.predecessor().clear();
    fixture.run(60s);
    EXPECT_EQ(fixture.server.openRequestCount(), 1U);
    EXPECT_EQ(fixture.answerTo(kOpening), "ERR\r\n");
    EXPECT_EQ(fixture.answerTo(kOtherOpening), "BUSY\r\n") << "a new id reaches the decision engine";
    EXPECT_EQ(fixture.metrics.badId, 1U);
}

// Guards against the same failure while the predecessor runs: the id of a request that is still open there
// was forgotten 10 s after the start of the successor.
TEST(ProxyServer, RejectsTheIdOfARequestOfThePredecessorUntilTenSecondsAfterItsExit) {
    ProxyServerFixture fixture;
    fixture.predecessor().add(0x9b01);
    fixture.run(60s);
    EXPECT_EQ(fixture.answerTo(kOpening), "ERR\r\n");
    fixture.predecessor().clear();
    fixture.run(9s);
    EXPECT_EQ(fixture.answerTo(kOpening), "ERR\r\n");
    fixture.run(2s);
    EXPECT_EQ(fixture.answerTo(kOpening), "BUSY\r\n");
}

}  // namespace
}  // namespace ivyreel
