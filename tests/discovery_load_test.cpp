// The load of a fleet on a discovery that cannot serve all nodes at the same time, and the time until all
// nodes have the list. The tests use real sockets and virtual time.
#include "discovery_load.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace ivyreel {
namespace {

// Discovery serves one call of each of N followers in N/rate. A call is queued for at most the maximum queue
// time of 3 s, and 2 s are allowed for backoff: 4 s + 3 s + 2 s = 9 s, or 13 s if N/rate is 8 s.
constexpr Micros kBackoffAllowance = 2s;
Micros listDeadline(const DiscoveryLoad& load) {
    return load.timeToServeAll() + kMaxQueueTime + kBackoffAllowance;
}

constexpr Micros kResponseDelay = 1s;
// A node must apply a change within 6 s after discovery is reachable. A call without a response may follow
// the longest queue time, which is N/rate + the maximum queue time. With 6 s instead of the backoff, the
// deadline is 13 s, or 17 s if N/rate is 8 s.
constexpr Micros kPropagationDeadline = 6s;
Micros listDeadlineWithUnansweredCalls(const DiscoveryLoad& load) {
    return load.timeToServeAll() + kMaxQueueTime + kPropagationDeadline;
}

// The heartbeat interval of 2 s plus a margin.
constexpr Micros kHeartbeatTimeoutDetection = 2500ms;

class DiscoveryLoadTest : public testing::TestWithParam<FleetLoad> {};

std::string loadName(const testing::TestParamInfo<FleetLoad>& info) {
    return std::to_string(info.param.followers) + "FollowersServedIn" +
           std::to_string(info.param.timeToServeAll / 1s) + "Seconds";
}

// If discovery takes 8 s to serve all calls, the queue cannot hold the calls of all followers.
INSTANTIATE_TEST_SUITE_P(Fleets, DiscoveryLoadTest,
                         testing::Values(FleetLoad{32, 4s}, FleetLoad{350, 4s}, FleetLoad{32, 8s},
                                         FleetLoad{350, 8s}),
                         loadName);

// Disconnects all watches and changes the list. All followers must receive the change within the bound.
Task<void> runDisconnectedWatches(DiscoveryLoad& load, Micros bound) {
    const Time disconnectedAt = load.now();
    load.discovery().disconnectWatches();
    const std::uint64_t version = load.discovery().writeEntry("server-1", "leaving");
    co_await load.waitUntilAllReceived(version);
    load.expectAllReceived(load.discovery(), version, disconnectedAt, bound);
}

TEST_P(DiscoveryLoadTest, AllReceiveChangeInTimeAfterAllWatchesDisconnect) {
    DiscoveryLoad load{GetParam()};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) -> Task<void> {
        co_await l.openAllWatches();
        co_await runDisconnectedWatches(l, listDeadline(l));
    }));
}

TEST_P(DiscoveryLoadTest, AllReceiveChangeInTimeIfResponsesAreDelayed) {
    DiscoveryLoad load{GetParam()};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) -> Task<void> {
        co_await l.openAllWatches();
        DiscoveryFaults slow;
        slow.responseDelay = kResponseDelay;
        l.discovery().setFaults(slow);
        co_await runDisconnectedWatches(l, listDeadline(l) + kResponseDelay);
    }));
}

Task<void> runOutage(DiscoveryLoad& load, Outage kind) {
    co_await load.openAllWatches();
    load.discovery().setOutage(kind);
    co_await load.sleep(4s);
    const std::uint64_t version = load.discovery().writeEntry("server-1", "leaving");
    co_await load.sleep(4s);
    load.discovery().resetCounts();
    load.discovery().setOutage(Outage::None);
    const Time recoveredAt = load.now();
    co_await load.waitUntilAllReceived(version);
    load.expectAllReceived(load.discovery(), version, recoveredAt, listDeadline(load));
}

TEST_P(DiscoveryLoadTest, AllReceiveChangeInTimeAfterOutageWithStatus503) {
    DiscoveryLoad load{GetParam()};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) { return runOutage(l, Outage::Unavailable); }));
}

TEST_P(DiscoveryLoadTest, AllReceiveChangeInTimeAfterOutageWithRefusedConnections) {
    DiscoveryLoad load{GetParam()};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) { return runOutage(l, Outage::Refused); }));
}

TEST_P(DiscoveryLoadTest, AllReceiveChangeInTimeAfterOutageWithResetConnections) {
    DiscoveryLoad load{GetParam()};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) { return runOutage(l, Outage::Reset); }));
}

TEST_P(DiscoveryLoadTest, AllReceiveChangeInTimeIfOneCallInTenIsUnanswered) {
    DiscoveryLoad load{GetParam()};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) -> Task<void> {
        co_await l.openAllWatches();
        DiscoveryFaults faults;
        faults.unansweredEvery = 10;
        l.discovery().setFaults(faults);
        co_await runDisconnectedWatches(l, listDeadlineWithUnansweredCalls(l));
    }));
}

// Heartbeats stop until the followers detect the timeout. All followers then call at the same time.
TEST_P(DiscoveryLoadTest, AllReceiveChangeInTimeAfterAllHeartbeatsStop) {
    DiscoveryLoad load{GetParam()};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) -> Task<void> {
        co_await l.openAllWatches();
        DiscoveryFaults faults;
        faults.heartbeatsStopped = true;
        l.discovery().setFaults(faults);
        const Time silentSince = l.now();
        const std::uint64_t version = l.discovery().writeEntry("server-1", "leaving");
        co_await l.waitUntil([&l] { return l.discovery().counts().received > 0; });
        EXPECT_LE(l.now() - silentSince, kHeartbeatTimeoutDetection);
        const Time firstCall = l.discovery().counts().receivedAt.at(0);
        l.discovery().setFaults({});
        co_await l.waitUntilAllReceived(version);
        l.expectAllReceived(l.discovery(), version, firstCall, listDeadline(l));
    }));
}

// The list changes while calls are queued. The first message of the calls that are served later must contain
// the change.
TEST_P(DiscoveryLoadTest, ChangeDuringQueueTimeIsInFirstMessage) {
    DiscoveryLoad load{GetParam()};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) -> Task<void> {
        co_await l.openAllWatches();
        const std::uint64_t updatesBefore = l.firstFollower().metrics().listChanges;
        const Time disconnectedAt = l.now();
        l.discovery().disconnectWatches();
        co_await l.sleep(1s);
        std::vector<Follower*> waiting;
        for (const auto& follower : l.fleet().followers()) {
            if (!follower->watcher().live()) waiting.push_back(follower.get());
        }
        EXPECT_FALSE(waiting.empty());
        const std::uint64_t version = l.discovery().writeEntry("server-1", "leaving");
        co_await l.waitUntilAllReceived(version);
        l.expectAllReceived(l.discovery(), version, disconnectedAt, listDeadline(l));
        const auto informedByFirstMessage =
            std::count_if(waiting.begin(), waiting.end(), [version, updatesBefore](const Follower* follower) {
                const auto reception = follower->receptionOf(version);
                return reception && reception->updates == updatesBefore + 1;
            });
        EXPECT_EQ(static_cast<std::size_t>(informedByFirstMessage), waiting.size());
    }));
}

TEST_P(DiscoveryLoadTest, AllReceiveChangeInTimeAfterAllSwitchToAnotherDiscovery) {
    DiscoveryLoad load{GetParam()};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) -> Task<void> {
        OverloadedDiscovery& other = l.otherDiscovery();
        other.start();
        co_await l.openAllWatches();
        other.writeEntry("server-1", "active");
        other.writeEntry("server-2", "active");
        const std::uint64_t version = other.writeEntry("server-1", "leaving");
        const Time movedAt = l.now();
        l.fleet().setDiscoveryAddress(other.address());
        co_await l.waitUntilAllReceived(version);
        l.expectAllReceived(other, version, movedAt, listDeadline(l));
    }));
}

// ---- one follower, and a discovery without load ----

constexpr FleetLoad kOneFollower{1, 4s};
constexpr Micros kPushGrace = 100ms;
constexpr Micros kReopenDeadline = 20ms;
// Long enough for a watch to be reopened without a delay.
constexpr Micros kLongerThanStableWatchAge = 1200ms;

Task<void> startWithPushedList(DiscoveryLoad& load) {
    load.firstFollower().watcher().setPushDeadline(kPushGrace);
    load.discovery().writeEntry("server-1", "active");
    load.fleet().start();
    co_await load.waitUntil([&load] { return load.fleet().allLive(); });
    co_await load.sleep(kLongerThanStableWatchAge);
    load.discovery().resetCounts();
}

TEST(PushedListTest, DisconnectedWatchIsReopenedImmediately) {
    DiscoveryLoad load{kOneFollower};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) -> Task<void> {
        co_await startWithPushedList(l);
        const Time disconnectedAt = l.now();
        l.discovery().disconnectWatches();
        const std::uint64_t version = l.discovery().writeEntry("server-1", "leaving");
        co_await l.waitUntilAllReceived(version);
        const auto receivedAt = l.fleet().timeAllReceived(version);
        EXPECT_TRUE(receivedAt && *receivedAt - disconnectedAt <= kReopenDeadline);
        EXPECT_EQ(l.discovery().counts().received, 1U);
    }));
}

// After an outage of any length, the next call must follow within half the grace period.
TEST(PushedListTest, RefusedConnectionIsRetriedWithinHalfTheGrace) {
    DiscoveryLoad load{kOneFollower};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) -> Task<void> {
        co_await startWithPushedList(l);
        for (const Micros outage : {Micros{30ms}, Micros{510ms}, Micros{3s}, Micros{20s}}) {
            l.discovery().setOutage(Outage::Refused);
            const std::uint64_t version = l.discovery().writeEntry("server-1", "leaving");
            co_await l.sleep(outage);
            l.discovery().setOutage(Outage::None);
            const Time recoveredAt = l.now();
            co_await l.waitUntilAllReceived(version);
            const auto receivedAt = l.fleet().timeAllReceived(version);
            EXPECT_TRUE(receivedAt && *receivedAt - recoveredAt <= kPushGrace / 2 + kPollInterval)
                << "after an outage of " << inSeconds(outage) << " s";
            co_await l.sleep(kLongerThanStableWatchAge);
        }
    }));
}

// ---- timing of the calls ----

constexpr FleetLoad kPartOfFleet{32, 4s};
constexpr std::uint32_t kFleetSize = 350;
constexpr Micros kMinSpread = 250ms;  // the first calls are spread over 500 ms
constexpr Micros kSlowResponse = 5s;  // longer than the usual hedging delay

TEST(CallTimingTest, FirstCallsToAnotherDiscoveryAreSpread) {
    DiscoveryLoad load{kPartOfFleet};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) -> Task<void> {
        OverloadedDiscovery& other = l.otherDiscovery();
        other.start();
        for (const auto& follower : l.fleet().followers()) {
            follower->watcher().setNodeCount(kFleetSize);
        }
        co_await l.openAllWatches();
        l.fleet().setDiscoveryAddress(other.address());
        co_await l.waitUntil([&] { return other.counts().received >= kPartOfFleet.followers; });
        const std::vector<Time>& calls = other.counts().receivedAt;
        EXPECT_EQ(calls.size(), kPartOfFleet.followers);
        EXPECT_GE(calls.back() - calls.front(), kMinSpread);
    }));
}

TEST(CallTimingTest, QueuedCallStaysOpenForMaxQueueTime) {
    DiscoveryLoad load{kOneFollower};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) -> Task<void> {
        DiscoveryFaults slow;
        slow.responseDelay = kMaxQueueTime;
        l.discovery().setFaults(slow);
        l.discovery().writeEntry("server-1", "active");
        l.fleet().start();
        co_await l.waitUntil([&l] { return l.fleet().allLive(); });
        EXPECT_EQ(l.discovery().counts().received, 1U);
        EXPECT_EQ(l.firstFollower().metrics().listCallsCancelled, 0U);
    }));
}

TEST(CallTimingTest, NoHedgingWithinKnownResponseTime) {
    DiscoveryLoad load{kOneFollower};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) -> Task<void> {
        DiscoveryFaults slow;
        slow.responseDelay = kSlowResponse;
        l.discovery().setFaults(slow);
        l.discovery().writeEntry("server-1", "active");
        l.fleet().start();
        co_await l.waitUntil([&l] { return l.fleet().allLive(); });
        EXPECT_EQ(l.firstFollower().metrics().listAdditionalCalls, 1U)
            << "the response time is not known yet";
        co_await l.sleep(kLongerThanStableWatchAge);
        l.discovery().disconnectWatches();
        co_await l.waitUntilAllReceived(l.discovery().writeEntry("server-1", "leaving"));
        EXPECT_TRUE(l.fleet().allLive());
        EXPECT_EQ(l.firstFollower().metrics().listAdditionalCalls, 1U);
    }));
}

// ---- invalid responses ----

constexpr Micros kQuietPeriod = 15s;
constexpr Micros kDelayBeyondTimeouts = 10s;

// Checks that one call failed: the log has one line, which contains `text`, and the next call received the
// list.
void expectOneLogLineAndList(DiscoveryLoad& load, Time since, std::uint64_t version,
                             const std::string& text) {
    const auto receivedAt = load.fleet().timeAllReceived(version);
    EXPECT_TRUE(receivedAt && *receivedAt - since <= kPropagationDeadline);
    const std::vector<std::string> lines = load.log().lines();
    EXPECT_EQ(lines.size(), 1U);
    for (const std::string& line : lines) {
        EXPECT_NE(line.find(text), std::string::npos) << line;
    }
}

Task<void> runBadResponse(DiscoveryLoad& load, std::string response, std::string text) {
    load.discovery().writeEntry("server-1", "active");
    load.discovery().setNextResponse(std::move(response));
    const Time start = load.now();
    load.fleet().start();
    co_await load.waitUntilAllReceived(load.discovery().version());
    co_await load.sleep(kQuietPeriod);
    expectOneLogLineAndList(load, start, load.discovery().version(), text);
}

TEST(DiscoveryBadInputTest, NextCallGetsListAfterStatus503WithoutBody) {
    DiscoveryLoad load{kOneFollower};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) {
        return runBadResponse(l, "HTTP/1.1 503 Service Unavailable\r\n\r\n", "503");
    }));
}

TEST(DiscoveryBadInputTest, NextCallGetsListAfterIncompleteHeader) {
    DiscoveryLoad load{kOneFollower};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) {
        return runBadResponse(l, "HTTP/1.1 200 OK\r\nTransfer-Enc", "call to discovery cancelled after");
    }));
}

// A watch is open only after its first message.
TEST(DiscoveryBadInputTest, NextCallGetsListAfterHeaderWithoutMessage) {
    DiscoveryLoad load{kOneFollower};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) {
        return runBadResponse(l, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                              "call to discovery cancelled after");
    }));
}

TEST(DiscoveryBadInputTest, NextCallGetsListIfResponseIsLate) {
    DiscoveryLoad load{kOneFollower};
    EXPECT_TRUE(load.run([](DiscoveryLoad& l) -> Task<void> {
        l.discovery().writeEntry("server-1", "active");
        DiscoveryFaults slow;
        slow.responseDelay = kDelayBeyondTimeouts;
        l.discovery().setFaults(slow);
        const Time start = l.now();
        l.fleet().start();
        co_await l.waitUntil([&l] { return l.discovery().counts().received > 0; });
        co_await l.sleep(1s);
        l.discovery().setFaults({});
        co_await l.waitUntilAllReceived(l.discovery().version());
        co_await l.sleep(kQuietPeriod);
        expectOneLogLineAndList(l, start, l.discovery().version(), "call to discovery cancelled after");
        EXPECT_EQ(l.discovery().counts().respondedLate, 1U);
    }));
}

}  // namespace
}  // namespace ivyreel
