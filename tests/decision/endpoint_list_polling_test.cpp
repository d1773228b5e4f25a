// Tests polling of the endpoint list, and its retries if discovery does not respond.
#include "decision/endpoint_list_polling.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

Settings pollSettings() {
    Settings settings = defaultSettings();
    settings.discoveryMode = DiscoveryMode::Poll;
    return settings;
}

TEST(EndpointListPolling, WatchesFromStartInPollMode) {
    EXPECT_EQ(DecisionEngineDriver{pollSettings()}.count<WatchEndpoints>(), 1);
    EXPECT_EQ(DecisionEngineDriver{defaultSettings()}.count<WatchEndpoints>(), 0);
}

TEST(EndpointListPolling, RetriesAfterEachFailureWithinMaxPollInterval) {
    DecisionEngineDriver d{pollSettings()};
    for (int failures = 1; failures < 8; ++failures) {
        d.deliver(EndpointListChanged{EndpointListKind::Failed, {}});
        EXPECT_EQ(d.count<WatchEndpoints>(), failures)
            << "The retry is delayed, because discovery may be overloaded.";
        d.advance(5s);
        EXPECT_EQ(d.count<WatchEndpoints>(), failures + 1);
    }
}

TEST(EndpointListPolling, DoesNotPollWhileWatching) {
    DecisionEngineDriver d{pollSettings()};
    d.updateEndpointList({endpointEntry(1)});
    d.advance(60s);
    EXPECT_EQ(d.count<WatchEndpoints>(), 1);
}

TEST(EndpointListPolling, PollsAgainWithoutAnyResponse) {
    DecisionEngineDriver d{pollSettings()};
    d.updateEndpointList({endpointEntry(1)}, EndpointListKind::Cached);
    d.advance(9s);
    EXPECT_GE(d.count<WatchEndpoints>(), 2);
}

TEST(EndpointListPolling, UsesCachedListUntilFirstResponse) {
    DecisionEngineDriver d{pollSettings()};
    d.setReportedLoad(1, 0.3);
    d.updateEndpointList({endpointEntry(1)}, EndpointListKind::Cached);
    EXPECT_EQ(d.target(d.submitRequest()), 1U);
}

// ---- unit tests of endpoint_list_polling ----

constexpr Micros kMaxPollInterval = 10s;

// Returns the time from `from` until the next poll is due, in steps of 1 ms.
Micros dueAfter(const EndpointListPolling& polling, Time from) {
    Micros delay{0};
    while (!polling.isDue(from + delay))
        delay += 1ms;
    return delay;
}

// Returns the delays after consecutive failures; each failure occurs when the poll is due.
std::vector<Micros> delaysAfterFailures(std::uint64_t seed, int failures, Micros maxPollInterval) {
    SplitMix64 random{seed};
    EndpointListPolling polling;
    std::vector<Micros> delays;
    Time now = kNow;
    for (int i = 0; i < failures; ++i) {
        polling.recordFailure(now, maxPollInterval, random);
        delays.push_back(dueAfter(polling, now));
        now += delays.back();
    }
    return delays;
}

TEST(EndpointListPolling, IsNotDueInitially) {
    EXPECT_FALSE(EndpointListPolling{}.isDue(kNow + 1000h));
}

TEST(EndpointListPolling, RepeatsPollAfterHalfTheMaxInterval) {
    EndpointListPolling polling;
    polling.recordPoll(kNow, kMaxPollInterval);
    EXPECT_FALSE(polling.isDue(kNow + 5s - 1us));
    EXPECT_TRUE(polling.isDue(kNow + 5s));
}

TEST(EndpointListPolling, BackoffDoublesWithJitterUpToItsBound) {
    const std::array<Micros, 5> backoffs = {500ms, 1s, 2s, 2500ms, 2500ms};
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        const std::vector<Micros> delays = delaysAfterFailures(seed, 5, kMaxPollInterval);
        for (std::size_t i = 0; i < delays.size(); ++i) {
            EXPECT_GE(delays[i], backoffs[i] / 2) << "failure " << i;
            EXPECT_LE(delays[i], backoffs[i] * 3 / 2 + 1ms) << "failure " << i;
        }
    }
}

TEST(EndpointListPolling, BackoffIsBoundedByAShortMaxInterval) {
    for (const Micros delay : delaysAfterFailures(7, 5, 1s)) {
        EXPECT_LE(delay, 375ms + 1ms);
    }
    for (const Micros delay : delaysAfterFailures(7, 5, 0s)) {
        EXPECT_EQ(delay, 0ms);
    }
}

TEST(EndpointListPolling, JitterDependsOnTheSeedOnly) {
    EXPECT_EQ(delaysAfterFailures(3, 5, kMaxPollInterval), delaysAfterFailures(3, 5, kMaxPollInterval));
    EXPECT_NE(delaysAfterFailures(3, 5, kMaxPollInterval), delaysAfterFailures(4, 5, kMaxPollInterval));
}

TEST(EndpointListPolling, SuccessStopsPollingAndResetsBackoff) {
    SplitMix64 random{7};
    EndpointListPolling polling;
    for (int i = 0; i < 10; ++i)
        polling.recordFailure(kNow, kMaxPollInterval, random);
    polling.recordSuccess();
    EXPECT_FALSE(polling.isDue(kNow + 1000h));
    polling.recordFailure(kNow, kMaxPollInterval, random);
    EXPECT_LE(dueAfter(polling, kNow), 750ms + 1ms);
}

}  // namespace
}  // namespace ivyreel::test
