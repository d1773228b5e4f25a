// The warm-up of an endpoint, and its effective capacity.
#include "decision/warm_up.hpp"

#include <gtest/gtest.h>

#include "decision/effective_capacity.hpp"
#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

OperatingLimits limitsOfWarmUp(Micros duration, double initialShare) {
    OperatingLimits limits;
    limits.slowStartDuration = duration;
    limits.slowStartInitialShare = initialShare;
    return limits;
}

Endpoint startedAt(Time at) {
    Endpoint endpoint;
    endpoint.entry.startedAt = at;
    endpoint.warmingUpSince = at;
    return endpoint;
}

TEST(WarmUp, ProgressesEvenlyOverTheDuration) {
    const OperatingLimits limits = limitsOfWarmUp(8s, 0.2);
    const Endpoint endpoint = startedAt(kNow);
    EXPECT_DOUBLE_EQ(warmUpProgress(endpoint, limits, kNow), 0.0);
    EXPECT_DOUBLE_EQ(warmUpProgress(endpoint, limits, kNow + 2s), 0.25);
    EXPECT_DOUBLE_EQ(warmUpShare(endpoint, limits, kNow + 2s), 0.4);
    EXPECT_TRUE(isWarmingUp(endpoint, limits, kNow + 8s - 1us));
    EXPECT_FALSE(isWarmingUp(endpoint, limits, kNow + 8s));
}

TEST(WarmUp, StaysWithinItsBounds) {
    const OperatingLimits limits = limitsOfWarmUp(8s, 0.2);
    const Endpoint endpoint = startedAt(kNow);
    EXPECT_DOUBLE_EQ(warmUpShare(endpoint, limits, kNow - 60s), 0.2) << "a time before the start";
    EXPECT_DOUBLE_EQ(warmUpShare(endpoint, limits, kNow + 3600s), 1.0);
}

TEST(WarmUp, EndpointOfUnknownStartIsWarm) {
    const OperatingLimits limits = limitsOfWarmUp(8s, 0.2);
    EXPECT_DOUBLE_EQ(warmUpShare(startedAt(Time{0}), limits, Time{0}), 1.0);
    EXPECT_DOUBLE_EQ(warmUpShare(startedAt(-5s), limits, Time{0}), 1.0);
}

TEST(WarmUp, EndpointIsWarmWithoutSlowStart) {
    for (const Micros duration : {Micros{0}, Micros{-1s}}) {
        EXPECT_DOUBLE_EQ(warmUpShare(startedAt(kNow), limitsOfWarmUp(duration, 0.2), kNow), 1.0);
    }
}

TEST(EffectiveCapacity, IsReducedByWarmUpAndSlowness) {
    Settings settings = defaultSettings();
    settings.operatingLimits = limitsOfWarmUp(8s, 0.2);
    Endpoint endpoint = startedAt(kNow);
    EXPECT_DOUBLE_EQ(effectiveCapacity(endpoint, settings, kNow + 2s), 0.4);
    endpoint.slowdown = 2.0;
    EXPECT_DOUBLE_EQ(effectiveCapacity(endpoint, settings, kNow + 2s), 0.2);
    settings.groupAffinity = true;
    EXPECT_DOUBLE_EQ(effectiveCapacity(endpoint, settings, kNow + 2s), 0.4)
        << "the slowdown may be due to the groups";
}

}  // namespace
}  // namespace ivyreel::test
