// Tests the average arrival rate of requests at a node.
#include "decision/arrival_rate.hpp"

#include <gtest/gtest.h>

#include <cmath>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(ArrivalRate, StartsAtOnePerSecond) {
    ArrivalRate rate;
    rate.start(kNow);
    EXPECT_DOUBLE_EQ(rate.perSecond(kNow), 1.0);
}

TEST(ArrivalRate, DecaysWithoutArrivals) {
    ArrivalRate rate;
    rate.start(kNow);
    EXPECT_DOUBLE_EQ(rate.perSecond(kNow + 10s), std::exp(-1.0));
    EXPECT_LT(rate.perSecond(kNow + 600s), 1e-20);
}

TEST(ArrivalRate, ConvergesToSteadyRate) {
    ArrivalRate rate;
    rate.start(kNow);
    Time now = kNow;
    for (int i = 0; i < 2000; ++i) {
        now += 50ms;
        rate.recordArrival(now);
    }
    EXPECT_NEAR(rate.perSecond(now), 20.0, 0.5);
}

TEST(ArrivalRate, CountsEachArrivalOfABurst) {
    ArrivalRate rate;
    rate.start(kNow);
    for (int i = 0; i < 30; ++i)
        rate.recordArrival(kNow);
    EXPECT_NEAR(rate.perSecond(kNow), 1.0 + 30 / 10.0, 1e-9);
}

TEST(ArrivalRate, RestoresTheStoredRate) {
    ArrivalRate rate;
    rate.start(kNow);
    rate.recordArrival(kNow);
    LearnedFleetState learned;
    rate.store(learned, kNow + 3s);
    ArrivalRate restored;
    restored.restore(learned, kNow + 60s);
    EXPECT_DOUBLE_EQ(restored.perSecond(kNow + 60s), rate.perSecond(kNow + 3s))
        << "The rate must not decay between storing and restoring.";
    EXPECT_DOUBLE_EQ(restored.perSecond(kNow + 70s), rate.perSecond(kNow + 3s) * std::exp(-1.0));
}

}  // namespace
}  // namespace ivyreel::test
