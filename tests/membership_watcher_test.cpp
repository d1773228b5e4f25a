// The membership watcher with real sockets, a scheduler and a decision engine that only counts events.
#include "membership/membership_watcher.hpp"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "port_reservation.hpp"
#include "requests/request_tracker.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

struct EngineEvents {
    int failures = 0;
    int changes = 0;
};

class RecordingEngine final : public DecisionEngine {
  public:
    explicit RecordingEngine(EngineEvents& engineEvents) : events_(engineEvents) {}
    void handle(Time, const Event& event, std::vector<Action>&) override {
        if (const auto* list = std::get_if<EndpointListChanged>(&event))
            ++(list->kind == EndpointListKind::Failed ? events_.failures : events_.changes);
    }

  private:
    EngineEvents& events_;
};

struct Fixture : TrackerEnvironment {
    Scheduler scheduler;
    Metrics metrics;
    EngineEvents engineEvents;
    RequestTracker tracker{NodeSettings{}, *this, [this](const Settings&) {
                               return std::make_unique<RecordingEngine>(engineEvents);
                           }};
    EndpointConnector endpoints{tracker, metrics};
    PortReservation discovery;
    MembershipWatcher watcher{scheduler, tracker, endpoints, metrics, discovery.address(), 7};
    Signal listening{scheduler};
    Socket listener;

    Fixture() = default;
    Fixture(const Fixture&) = delete;
    Fixture& operator=(const Fixture&) = delete;
    Fixture(Fixture&&) = delete;
    Fixture& operator=(Fixture&&) = delete;
    ~Fixture() override { scheduler.destroyTasks(); }

    Time now() const override { return scheduler.now(); }
    void startHealthCheck(EndpointId) override {}
    void startWatchingEndpointList() override {}

    // Starts the watcher while discovery accepts calls.
    void startWithDiscovery() {
        listener = Socket::listenOn(listening, discovery.address());
        watcher.start();
    }

    // Discovery's side of one call, after the request was read.
    struct Call {
        explicit Call(Scheduler& scheduler) : signal(scheduler) {}
        Signal signal;
        Connection connection;
        void send(std::string_view text) {
            std::size_t sent = 0;
            connection.send(text, sent);
        }
        void sendHeader() { send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }
        // Opens the watch: sends a header and a heartbeat.
        void openWatch() {
            sendHeader();
            sendChunk("\n");
        }
        void sendChunk(std::string_view text) {
            std::array<char, 32> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
            send(std::string(size.data()).append(text).append("\r\n"));
        }
    };

    Task<std::unique_ptr<Call>> nextCall() {
        int descriptor = -1;
        while (listener.accept(descriptor) != Socket::AcceptResult::Accepted) {
            co_await listening.wait();
        }
        auto call = std::make_unique<Call>(scheduler);
        call->connection = Connection{Socket{call->signal, descriptor}};
        while (call->connection.input.view().find("\r\n\r\n") == std::string_view::npos &&
               !call->connection.inputEnded()) {
            if (!call->connection.receive()) co_await call->signal.wait();
        }
        co_return call;
    }

    Task<void> waitUntil(std::function<bool()> met) {
        Signal pause{scheduler};
        while (!met()) {
            co_await pause.wait(scheduler.now() + 5ms);
        }
    }

    // Runs a script beside the watcher. Returns false if the script has not ended after 20 s.
    bool run(const std::function<Task<void>(Fixture&)>& script) {
        bool ended = false;
        scheduler.spawn(watcher.run());
        scheduler.spawn(
            [](Fixture& f, const std::function<Task<void>(Fixture&)>& play, bool& end) -> Task<void> {
                co_await play(f);
                end = true;
                f.scheduler.stop();
            }(*this, script, ended));
        scheduler.spawn([](Scheduler& s) -> Task<void> {
            Signal pause{s};
            co_await pause.wait(s.now() + 20s);
            s.stop();
        }(scheduler));
        scheduler.run();
        return ended;
    }
};

constexpr std::string_view kIndented = R"({
  "version": 9,
  "full": true,
  "servers": [
    {
      "id": "s-{1}\"[",
      "addr": "127.0.0.1:1",
      "state": "active"
    }
  ]
})";

TEST(JsonObjectScanner, FindsEndInPiecesOfAnySize) {
    const std::string whole(kIndented);
    for (std::size_t step = 1; step < whole.size(); ++step) {
        JsonObjectScanner first;
        std::string text;
        std::optional<std::size_t> end;
        for (std::size_t at = 0; at < whole.size(); at += step) {
            EXPECT_FALSE(end) << "found before the last byte of the object";
            text.append(whole.substr(at, step));
            end = first.findEnd(text);
        }
        ASSERT_TRUE(end);
        EXPECT_EQ(*end, whole.size());
    }
    EXPECT_EQ(JsonObjectScanner{}.findEnd("{}\n{}"), 2U);
    EXPECT_EQ(JsonObjectScanner{}.findEnd(R"({"a":"\\"}{)"), 10U);
}

// An update may be indented, so that it spans many lines, and may arrive in pieces that end anywhere.
TEST(MembershipWatcher, ParsesIndentedListInPieces) {
    Fixture f;
    f.startWithDiscovery();
    EXPECT_TRUE(f.run([](Fixture& g) -> Task<void> {
        const auto call = co_await g.nextCall();
        call->sendHeader();
        const std::string text = std::string(kIndented) + "\n\n" + R"({"version":10,"servers":[]})" + "\n";
        for (std::size_t at = 0; at < text.size(); at += 7) {
            call->sendChunk(std::string_view(text).substr(at, 7));
        }
        co_await g.waitUntil([&g] { return g.metrics.listChanges == 2 || g.metrics.listFailures > 0; });
    }));
    EXPECT_EQ(f.metrics.listFailures, 0U);
    ASSERT_EQ(f.watcher.snapshot().members.size(), 1U);
    EXPECT_EQ(f.watcher.snapshot().members[0].entry.name, R"(s-{1}"[)");
    EXPECT_EQ(f.watcher.snapshot().version, 10U);
}

// Changes that were missed since the last heartbeat must be applied soon. The backoff of the decision engine
// would take too long.
TEST(MembershipWatcher, HeartbeatTimeoutReopensWatchWithoutEngineBackoff) {
    Fixture f;
    f.startWithDiscovery();
    EXPECT_TRUE(f.run([](Fixture& g) -> Task<void> {
        const auto silent = co_await g.nextCall();
        silent->openWatch();
        const auto reopened = co_await g.nextCall();
        EXPECT_EQ(g.engineEvents.failures, 0) << "the failure was not reported to the engine";
        EXPECT_EQ(g.metrics.listFailures, 1U);
        reopened->openWatch();
        co_await g.waitUntil([&g] { return g.watcher.live(); });
    }));
}

// The watcher retries by itself, without the decision engine, after a refused connection, a rejected call, a
// call that is reset and a call without a response.
TEST(MembershipWatcher, RetriesAfterAnyFailure) {
    Fixture f;
    f.watcher.start();
    EXPECT_TRUE(f.run([](Fixture& g) -> Task<void> {
        co_await g.waitUntil([&g] { return g.metrics.listFailures >= 1; });  // connection refused
        g.listener = Socket::listenOn(g.listening, g.discovery.address());
        (co_await g.nextCall())->send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        (co_await g.nextCall())->connection.socket.reset();
        const auto silent = co_await g.nextCall();
        const auto answered = co_await g.nextCall();
        answered->openWatch();
        co_await g.waitUntil([&g] { return g.watcher.live(); });
    }));
    EXPECT_GE(f.metrics.listFailures, 4U);
}

TEST(MembershipWatcher, RetriesAtNewAddress) {
    Fixture f;
    PortReservation elsewhere;
    f.startWithDiscovery();
    EXPECT_TRUE(f.run([&elsewhere](Fixture& g) -> Task<void> {
        const auto first = co_await g.nextCall();
        first->openWatch();
        co_await g.waitUntil([&g] { return g.watcher.live(); });
        g.watcher.setDiscoveryAddress(elsewhere.address());
        co_await g.waitUntil([&g] { return g.metrics.listFailures >= 1; });  // connection refused
        g.listener = Socket::listenOn(g.listening, elsewhere.address());
        const auto callAtNewAddress = co_await g.nextCall();
        callAtNewAddress->openWatch();
        co_await g.waitUntil([&g] { return g.watcher.live(); });
    }));
}

TEST(MembershipWatcher, BriefWatchIsReportedToEngine) {
    Fixture f;
    f.watcher.setPushDeadline(100ms);
    f.startWithDiscovery();
    EXPECT_TRUE(f.run([](Fixture& g) -> Task<void> {
        {
            const auto brief = co_await g.nextCall();
            brief->openWatch();
            co_await g.waitUntil([&g] { return g.watcher.live(); });
        }
        co_await g.waitUntil([&g] { return g.engineEvents.failures == 1; });
        EXPECT_EQ(g.metrics.listFailures, 1U) << "no other call was made";
    }));
}

// A call is queued at discovery. A repeated call would be put at the end of the queue.
TEST(MembershipWatcher, QueuedCallIsNotRepeated) {
    Fixture f;
    f.startWithDiscovery();
    EXPECT_TRUE(f.run([](Fixture& g) -> Task<void> {
        const auto call = co_await g.nextCall();
        g.watcher.start();
        co_await g.waitUntil([turns = 0]() mutable { return ++turns > 4; });
        call->openWatch();
        co_await g.waitUntil([&g] { return g.watcher.live() || g.metrics.listFailures > 0; });
        EXPECT_EQ(g.metrics.listFailures, 0U);
    }));
}

// A listener with a full backlog drops SYN packets, as an unreachable host does.
TEST(MembershipWatcher, RetriesAfterConnectTimeout) {
    Fixture f;
    const Address address = f.discovery.address();
    f.listener = Socket::listenOn(f.listening, address);
    ASSERT_EQ(::listen(f.listener.descriptor(), 0), 0) << "a backlog of one connection";
    Signal others{f.scheduler};
    std::vector<Socket> queued;
    do {
        queued.push_back(Socket::connectTo(others, address));
    } while (queued.size() < 8 && queued.back().connectState() == Socket::ConnectState::Done);
    ASSERT_EQ(queued.back().connectState(), Socket::ConnectState::Pending);
    f.watcher.start();
    EXPECT_TRUE(f.run([&queued](Fixture& g) -> Task<void> {
        co_await g.waitUntil([&g] { return g.metrics.listCallsCancelled >= 1; });
        EXPECT_EQ(g.metrics.listCallsRejected, 0U) << "a connect timeout is not a sign of overload";
        EXPECT_EQ(g.metrics.listCalls, 1U) << "no hedging call has been started";
        queued.clear();
        for (int descriptor = -1; g.listener.accept(descriptor) == Socket::AcceptResult::Accepted;) {
            ::close(descriptor);
        }
        const auto call = co_await g.nextCall();
        call->openWatch();
        co_await g.waitUntil([&g] { return g.watcher.live(); });
    }));
}

// Changes of a pushed list must be applied as soon as discovery is reachable again. The decision engine
// would not request the list in time.
TEST(MembershipWatcher, PushedListIsWatchedAgainOnceDiscoveryIsReachable) {
    Fixture f;
    f.watcher.setPushDeadline(100ms);
    f.watcher.start();
    EXPECT_TRUE(f.run([](Fixture& g) -> Task<void> {
        co_await g.waitUntil([&g] { return g.metrics.listFailures >= 3; });
        g.listener = Socket::listenOn(g.listening, g.discovery.address());
        const auto call = co_await g.nextCall();
        call->openWatch();
        co_await g.waitUntil([&g] { return g.watcher.live(); });
    }));
    EXPECT_EQ(f.engineEvents.failures, 0);
}

TEST(MembershipWatcher, PushedListWatchIsReopenedImmediately) {
    Fixture f;
    f.watcher.setPushDeadline(100ms);
    f.startWithDiscovery();
    EXPECT_TRUE(f.run([](Fixture& g) -> Task<void> {
        {
            const auto broken = co_await g.nextCall();
            broken->openWatch();
            co_await g.waitUntil(
                [&g, since = g.scheduler.now()] { return g.scheduler.now() > since + 1200ms; });
            broken->connection.socket.reset();
        }
        const auto reopened = co_await g.nextCall();
        EXPECT_EQ(g.engineEvents.failures, 0);
    }));
}

}  // namespace
}  // namespace ivyreel
