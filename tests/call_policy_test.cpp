// When a node calls discovery, and how long it waits for an answer.
#include "membership/call_policy.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr Micros kKnownWithin = 6s;  // a change counts as known then, whatever failed
constexpr Micros kQueueWait = 3s;    // in discovery's queue, at most
constexpr int kSeeds = 200;

CallEnd refused() {
    return {CallFailure::Overloaded, 15ms, 0ms};
}

// The pauses after so many refusals in a row.
std::vector<Micros> pausesAfterRefusals(std::uint64_t seed, int count) {
    CallPolicy policy{seed};
    std::vector<Micros> pauses;
    for (int i = 0; i < count; ++i) {
        pauses.push_back(policy.retryAfter(refused()).pause);
    }
    return pauses;
}

// Of one kind of end, over many seeds.
struct Range {
    Micros least = Micros::max();
    Micros most{0};
    Micros sum{0};
    void add(Micros pause) {
        least = std::min(least, pause);
        most = std::max(most, pause);
        sum += pause;
    }
    Micros mean() const { return sum / kSeeds; }
};

Range pausesAfter(const CallEnd& end, std::uint32_t fleetSize = 1) {
    Range range;
    for (int seed = 0; seed < kSeeds; ++seed) {
        CallPolicy policy{static_cast<std::uint64_t>(seed)};
        policy.setFleetSize(fleetSize);
        range.add(policy.retryAfter(end).pause);
    }
    return range;
}

TEST(CallPolicy, RefusalsBackOffExponentiallyWithFullJitter) {
    std::vector<Range> steps(6);
    for (int seed = 0; seed < kSeeds; ++seed) {
        const std::vector<Micros> pauses = pausesAfterRefusals(static_cast<std::uint64_t>(seed), 6);
        for (std::size_t i = 0; i < steps.size(); ++i) {
            steps[i].add(pauses[i]);
        }
    }
    const Micros windows[] = {500ms, 1s, 2s, 2500ms, 2500ms, 2500ms};
    for (std::size_t i = 0; i < steps.size(); ++i) {
        EXPECT_LE(steps[i].most, windows[i]) << "step " << i;
        EXPECT_GT(steps[i].most, windows[i] * 9 / 10) << "step " << i;
        EXPECT_LT(steps[i].least, windows[i] / 10) << "full jitter begins at nothing, step " << i;
        EXPECT_GT(steps[i].mean(), windows[i] * 2 / 5) << "step " << i;
        EXPECT_LT(steps[i].mean(), windows[i] * 3 / 5) << "step " << i;
    }
}

TEST(CallPolicy, TheLongestPauseLeavesTimeForTheLongestWait) {
    for (int seed = 0; seed < kSeeds; ++seed) {
        for (const Micros pause : pausesAfterRefusals(static_cast<std::uint64_t>(seed), 50)) {
            EXPECT_LT(pause + kQueueWait, kKnownWithin);
        }
    }
}

TEST(CallPolicy, AWatchThatWasSoundEndsTheBackOff) {
    CallPolicy policy{7};
    for (int i = 0; i < 10; ++i) {
        policy.retryAfter(refused());
    }
    policy.answered(15ms);
    policy.retryAfter({CallFailure::WatchEnded, 15ms, 20s});
    EXPECT_LE(policy.retryAfter(refused()).pause, 500ms);
}

// Discovery that answers and drops the watch at once is in trouble: to call it again without back-off would
// be a storm.
TEST(CallPolicy, AWatchThatEndsAtOnceDoesNotEndTheBackOff) {
    Range last;
    for (int seed = 0; seed < kSeeds; ++seed) {
        CallPolicy policy{static_cast<std::uint64_t>(seed)};
        Micros pause{0};
        for (int i = 0; i < 6; ++i) {
            policy.answered(15ms);
            pause = policy.retryAfter({CallFailure::WatchEnded, 15ms, 20ms}).pause;
        }
        last.add(pause);
    }
    EXPECT_GT(last.mean(), 1s);
}

TEST(CallPolicy, WhatIsNoLoadIsRetriedSoonHoweverOftenItFails) {
    for (const CallFailure failure :
         {CallFailure::Unreachable, CallFailure::ConnectTimeout, CallFailure::Unanswered}) {
        CallPolicy policy{7};
        for (int i = 0; i < 20; ++i) {
            EXPECT_LE(policy.retryAfter({failure, 1s, 0ms}).pause, 600ms);
        }
    }
}

// It waited its turn in vain, which has paced its caller; and half of the time is gone.
TEST(CallPolicy, ACallRefusedAfterItsWaitIsMadeAgainWithoutALongerPause) {
    CallPolicy policy{7};
    for (int i = 0; i < 20; ++i) {
        EXPECT_LE(policy.retryAfter({CallFailure::Overloaded, 3s, 0ms}).pause, 500ms);
    }
}

TEST(CallPolicy, ASoundWatchThatFellSilentIsOpenedAnewAtOnce) {
    CallPolicy policy{7};
    const Retry retry = policy.retryAfter({CallFailure::WatchSilent, 15ms, 10s});
    EXPECT_EQ(retry.pause, 0ms);
    EXPECT_FALSE(retry.reportFailure);
}

TEST(CallPolicy, AFleetIsSpreadWhenItsWatchesEndTogetherOrItsDiscoveryMoves) {
    const CallEnd ended{CallFailure::WatchEnded, 15ms, 10s};
    EXPECT_LE(pausesAfter(ended, 1).most, 10ms);
    const Range fleet = pausesAfter(ended, 350);
    EXPECT_LE(fleet.most, 500ms);
    EXPECT_GT(fleet.mean(), 200ms);
    Range moved;
    for (int seed = 0; seed < kSeeds; ++seed) {
        CallPolicy policy{static_cast<std::uint64_t>(seed)};
        policy.setFleetSize(350);
        moved.add(policy.pauseAfterMove());
    }
    EXPECT_LE(moved.most, 500ms);
    EXPECT_GT(moved.mean(), 200ms);
}

TEST(CallPolicy, ACallIsKeptForLongerThanAnyAnswerHasTaken) {
    CallPolicy policy{7};
    EXPECT_GT(policy.additionalCallAfter(), kQueueWait) << "before any answer has told";
    policy.answered(15ms);
    EXPECT_GT(policy.additionalCallAfter(), kQueueWait) << "a quick answer tells nothing of a full queue";
    policy.answered(5s);
    EXPECT_GT(policy.additionalCallAfter(), 5s);
    EXPECT_GT(policy.keepUnansweredFor(), 2 * policy.additionalCallAfter());
}

// Discovery has room again, and the first call that it takes is lost.
TEST(CallPolicy, ARefusalAndThenALostCallFitIntoTheTimeOnAnIdleDiscovery) {
    constexpr Micros kAnswer = 200ms;
    for (int seed = 0; seed < kSeeds; ++seed) {
        CallPolicy policy{static_cast<std::uint64_t>(seed)};
        for (int i = 0; i < 8; ++i) {
            const Micros pause = policy.retryAfter(refused()).pause;
            EXPECT_LE(pause + policy.additionalCallAfter() + kAnswer, kKnownWithin);
        }
    }
}

TEST(CallPolicy, AnotherDiscoveryIsCalledAsIfNothingHadFailed) {
    CallPolicy policy{7};
    const Micros unloaded = policy.additionalCallAfter();
    for (int i = 0; i < 8; ++i) {
        policy.retryAfter(refused());
    }
    policy.answered(5s);
    EXPECT_LE(policy.pauseAfterMove(), 10ms);
    EXPECT_EQ(policy.additionalCallAfter(), unloaded);
    EXPECT_LE(policy.retryAfter(refused()).pause, 500ms);
}

// Discovery is loaded: a slow answer is likelier than a lost one, and another call would add to the load.
TEST(CallPolicy, AfterARefusalACallIsGivenMoreTimeBeforeAnotherOneIsMade) {
    CallPolicy policy{7};
    const Micros unloaded = policy.additionalCallAfter();
    policy.retryAfter(refused());
    EXPECT_GE(policy.additionalCallAfter(), unloaded + 1s);
    policy.answered(15ms);
    policy.retryAfter({CallFailure::WatchEnded, 15ms, 20s});
    EXPECT_EQ(policy.additionalCallAfter(), unloaded) << "a sound watch has been open since";
}

TEST(CallPolicy, ARefusalAfterTheWaitTellsHowLongOneMayTake) {
    CallPolicy policy{7};
    policy.retryAfter({CallFailure::Overloaded, 8s, 0ms});
    EXPECT_GT(policy.additionalCallAfter(), 8s);
}

TEST(CallPolicy, OneLongWaitIsForgotten) {
    CallPolicy policy{7};
    policy.answered(20s);
    for (int i = 0; i < 8; ++i) {
        policy.answered(20ms);
    }
    EXPECT_LT(policy.additionalCallAfter(), 4s);
}

// A call that is never answered, noticed after a silent watch or at a loaded discovery.
TEST(CallPolicy, ASilentWatchAndAnUnansweredCallFitIntoTheTimeOnAnIdleDiscovery) {
    const Micros heartbeatTimeout = 2300ms;
    EXPECT_LT(heartbeatTimeout + CallPolicy{7}.additionalCallAfter(), kKnownWithin);
}

// What a pushed list's sender has counts at every moment.
TEST(CallPolicy, APushedListIsWatchedAgainAtOnceOrWithinItsGrace) {
    CallPolicy policy{7};
    policy.setFleetSize(350);
    policy.setPushGrace(100ms);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(policy.retryAfter({CallFailure::WatchEnded, 1ms, 2s}).pause, 0ms);
        EXPECT_EQ(policy.retryAfter({CallFailure::WatchSilent, 1ms, 2s}).pause, 0ms);
        EXPECT_LE(policy.retryAfter({CallFailure::Unreachable, 0ms, 0ms}).pause, 50ms);
        EXPECT_LE(policy.retryAfter(refused()).pause, 50ms);
        EXPECT_LE(policy.retryAfter({CallFailure::WatchEnded, 1ms, 5ms}).pause, 50ms);
        EXPECT_EQ(policy.pauseAfterMove(), 0ms);
        EXPECT_LE(policy.additionalCallAfter(), 2600ms);
    }
}

}  // namespace
}  // namespace ivyreel
