// The policy that decides when a node calls discovery and how long the node waits for the response.
#include "membership/call_policy.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr Micros kPropagationDeadline = 6s;  // for applying a change after any failure
constexpr Micros kLongestQueueTime = 3s;     // in discovery's queue
constexpr int kSeeds = 200;

CallEnd rejection() {
    return {CallFailure::Overloaded, 15ms, 0ms};
}

// The backoff after each of `count` consecutive rejections.
std::vector<Micros> backoffsAfterRejections(std::uint64_t seed, int count) {
    CallPolicy policy{seed};
    std::vector<Micros> delays;
    delays.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        delays.push_back(policy.nextRetry(rejection()).delay);
    }
    return delays;
}

// The range of the backoff after one kind of failure over kSeeds seeds.
struct DelayRange {
    Micros min = Micros::max();
    Micros max{0};
    Micros sum{0};
    void add(Micros delay) {
        min = std::min(min, delay);
        max = std::max(max, delay);
        sum += delay;
    }
    Micros mean() const { return sum / kSeeds; }
};

DelayRange backoffAfter(const CallEnd& end, std::uint32_t fleetSize = 1) {
    DelayRange range;
    for (int seed = 0; seed < kSeeds; ++seed) {
        CallPolicy policy{static_cast<std::uint64_t>(seed)};
        policy.setNodeCount(fleetSize);
        range.add(policy.nextRetry(end).delay);
    }
    return range;
}

TEST(CallPolicy, RejectionsBackOffExponentiallyWithFullJitter) {
    std::vector<DelayRange> steps(6);
    for (int seed = 0; seed < kSeeds; ++seed) {
        const std::vector<Micros> delays = backoffsAfterRejections(static_cast<std::uint64_t>(seed), 6);
        for (std::size_t i = 0; i < steps.size(); ++i) {
            steps[i].add(delays[i]);
        }
    }
    const std::array<Micros, 6> windows = {500ms, 1s, 2s, 2500ms, 2500ms, 2500ms};
    for (std::size_t i = 0; i < steps.size(); ++i) {
        EXPECT_LE(steps[i].max, windows[i]) << "step " << i;
        EXPECT_GT(steps[i].max, windows[i] * 9 / 10) << "step " << i;
        EXPECT_LT(steps[i].min, windows[i] / 10) << "full jitter starts at zero, step " << i;
        EXPECT_GT(steps[i].mean(), windows[i] * 2 / 5) << "step " << i;
        EXPECT_LT(steps[i].mean(), windows[i] * 3 / 5) << "step " << i;
    }
}

TEST(CallPolicy, MaxBackoffLeavesTimeForLongestQueueTime) {
    for (int seed = 0; seed < kSeeds; ++seed) {
        for (const Micros delay : backoffsAfterRejections(static_cast<std::uint64_t>(seed), 50)) {
            EXPECT_LT(delay + kLongestQueueTime, kPropagationDeadline);
        }
    }
}

TEST(CallPolicy, StableWatchResetsBackoff) {
    CallPolicy policy{7};
    for (int i = 0; i < 10; ++i) {
        policy.nextRetry(rejection());
    }
    policy.recordResponse(15ms);
    policy.nextRetry({CallFailure::WatchEnded, 15ms, 20s});
    EXPECT_LE(policy.nextRetry(rejection()).delay, 500ms);
}

// A discovery that closes watches immediately has a fault. Retries without backoff would cause a retry storm.
TEST(CallPolicy, BriefWatchDoesNotResetBackoff) {
    DelayRange last;
    for (int seed = 0; seed < kSeeds; ++seed) {
        CallPolicy policy{static_cast<std::uint64_t>(seed)};
        Micros delay{0};
        for (int i = 0; i < 6; ++i) {
            policy.recordResponse(15ms);
            delay = policy.nextRetry({CallFailure::WatchEnded, 15ms, 20ms}).delay;
        }
        last.add(delay);
    }
    EXPECT_GT(last.mean(), 1s);
}

TEST(CallPolicy, FailuresThatAreNoSignOfOverloadAreRetriedAfterAShortDelay) {
    for (const CallFailure failure :
         {CallFailure::Unreachable, CallFailure::ConnectTimeout, CallFailure::ResponseTimeout}) {
        CallPolicy policy{7};
        for (int i = 0; i < 20; ++i) {
            EXPECT_LE(policy.nextRetry({failure, 1s, 0ms}).delay, 600ms);
        }
    }
}

// A call that is rejected 1 s or later after its start was in the queue, which has already delayed the
// caller. Here the call is rejected after half of the propagation deadline.
TEST(CallPolicy, RejectionInQueueDoesNotIncreaseBackoff) {
    CallPolicy policy{7};
    for (int i = 0; i < 20; ++i) {
        EXPECT_LE(policy.nextRetry({CallFailure::Overloaded, 3s, 0ms}).delay, 500ms);
    }
}

TEST(CallPolicy, StableWatchIsReopenedImmediatelyAfterHeartbeatTimeout) {
    CallPolicy policy{7};
    const Retry retry = policy.nextRetry({CallFailure::HeartbeatTimeout, 15ms, 10s});
    EXPECT_EQ(retry.delay, 0ms);
    EXPECT_FALSE(retry.reportFailure);
}

TEST(CallPolicy, JitterSpreadsFleetWhenWatchesEndOrAddressChanges) {
    const CallEnd ended{CallFailure::WatchEnded, 15ms, 10s};
    EXPECT_LE(backoffAfter(ended, 1).max, 10ms);
    const DelayRange fleet = backoffAfter(ended, 350);
    EXPECT_LE(fleet.max, 500ms);
    EXPECT_GT(fleet.mean(), 200ms);
    DelayRange moved;
    for (int seed = 0; seed < kSeeds; ++seed) {
        CallPolicy policy{static_cast<std::uint64_t>(seed)};
        policy.setNodeCount(350);
        moved.add(policy.delayAfterAddressChange());
    }
    EXPECT_LE(moved.max, 500ms);
    EXPECT_GT(moved.mean(), 200ms);
}

TEST(CallPolicy, HedgingDelayExceedsLongestResponseTime) {
    CallPolicy policy{7};
    EXPECT_GT(policy.hedgingDelay(), kLongestQueueTime) << "before any response";
    policy.recordResponse(15ms);
    EXPECT_GT(policy.hedgingDelay(), kLongestQueueTime)
        << "a fast response does not show how long a full queue takes";
    policy.recordResponse(5s);
    EXPECT_GT(policy.hedgingDelay(), 5s);
    EXPECT_GT(policy.responseTimeout(), 2 * policy.hedgingDelay());
}

// Discovery has capacity again, but the response to the first accepted call is lost.
TEST(CallPolicy, RejectionAndLostCallFitIntoDeadlineOnIdleDiscovery) {
    constexpr Micros kResponseTime = 200ms;
    for (int seed = 0; seed < kSeeds; ++seed) {
        CallPolicy policy{static_cast<std::uint64_t>(seed)};
        for (int i = 0; i < 8; ++i) {
            const Micros delay = policy.nextRetry(rejection()).delay;
            EXPECT_LE(delay + policy.hedgingDelay() + kResponseTime, kPropagationDeadline);
        }
    }
}

TEST(CallPolicy, AddressChangeResetsBackoffAndQueueTimes) {
    CallPolicy policy{7};
    const Micros initialDelay = policy.hedgingDelay();
    for (int i = 0; i < 8; ++i) {
        policy.nextRetry(rejection());
    }
    policy.recordResponse(5s);
    EXPECT_LE(policy.delayAfterAddressChange(), 10ms);
    EXPECT_EQ(policy.hedgingDelay(), initialDelay);
    EXPECT_LE(policy.nextRetry(rejection()).delay, 500ms);
}

// If discovery is overloaded, a slow response is more likely than a lost one, and a hedging call would add
// load.
TEST(CallPolicy, RejectionIncreasesHedgingDelay) {
    CallPolicy policy{7};
    const Micros initialDelay = policy.hedgingDelay();
    policy.nextRetry(rejection());
    EXPECT_GE(policy.hedgingDelay(), initialDelay + 1s);
    policy.recordResponse(15ms);
    policy.nextRetry({CallFailure::WatchEnded, 15ms, 20s});
    EXPECT_EQ(policy.hedgingDelay(), initialDelay) << "a stable watch resets the hedging delay";
}

TEST(CallPolicy, RejectionInQueueCountsAsQueueTime) {
    CallPolicy policy{7};
    policy.nextRetry({CallFailure::Overloaded, 8s, 0ms});
    EXPECT_GT(policy.hedgingDelay(), 8s);
}

TEST(CallPolicy, OldQueueTimesAreDiscarded) {
    CallPolicy policy{7};
    policy.recordResponse(20s);
    for (int i = 0; i < 8; ++i) {
        policy.recordResponse(20ms);
    }
    EXPECT_LT(policy.hedgingDelay(), 4s);
}

// After a heartbeat timeout the response to the first call is lost.
TEST(CallPolicy, HeartbeatTimeoutAndLostCallFitIntoDeadlineOnIdleDiscovery) {
    const Micros heartbeatTimeout = 2300ms;
    EXPECT_LT(heartbeatTimeout + CallPolicy{7}.hedgingDelay(), kPropagationDeadline);
}

// Changes of a pushed list must be applied within the grace period.
TEST(CallPolicy, PushedListIsRetriedWithinGrace) {
    CallPolicy policy{7};
    policy.setNodeCount(350);
    policy.setPushDeadline(100ms);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(policy.nextRetry({CallFailure::WatchEnded, 1ms, 2s}).delay, 0ms);
        EXPECT_EQ(policy.nextRetry({CallFailure::HeartbeatTimeout, 1ms, 2s}).delay, 0ms);
        EXPECT_LE(policy.nextRetry({CallFailure::Unreachable, 0ms, 0ms}).delay, 50ms);
        EXPECT_LE(policy.nextRetry(rejection()).delay, 50ms);
        EXPECT_LE(policy.nextRetry({CallFailure::WatchEnded, 1ms, 5ms}).delay, 50ms);
        EXPECT_EQ(policy.delayAfterAddressChange(), 0ms);
        EXPECT_LE(policy.hedgingDelay(), 2600ms);
    }
}

}  // namespace
}  // namespace ivyreel
