// The saturation threshold: how it is learned, and how it limits what endpoints get.
#include "decision/saturation_threshold.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

// How many of 20 requests are sent to a fleet at 0.78 load over capacity, whose messages were late in the
// last 120 s if `late`, and on time otherwise.
int attemptsForTwentyRequests(bool late) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 2, 0.78);
    const RequestId open = d.submitRequest();
    d.establishConnection(open);
    for (int second = 0; second < 120; ++second) {
        for (std::uint64_t id = 1; id <= 2 && late; ++id) {
            d.deliver(MessageDelayMeasured{open, EndpointId{id}, 90.0});  // the objective is 100 ms
        }
        d.advance(1s);
    }
    int result = 0;
    for (int i = 0; i < 20; ++i) {
        const RequestId request = d.submitRequest();
        d.advance(20ms);
        result += d.target(request) != 0 ? 1 : 0;
        d.endAttempt(request, Outcome::Ok, true);
    }
    return result;
}

TEST(SaturationThreshold, IsLearnedFromLateMessages) {
    EXPECT_EQ(attemptsForTwentyRequests(false), 20);
    EXPECT_EQ(attemptsForTwentyRequests(true), 0);
}

// Guards against filling endpoints until a few messages are late, where a few late messages cost as much as
// many.
TEST(SaturationThreshold, StartsLowerWithAvailabilityWeight) {
    for (const double availabilityWeight : {0.0, 0.4}) {
        Settings settings = defaultSettings();
        settings.groupAffinity = true;
        settings.availabilityWeight = availabilityWeight;
        DecisionEngineDriver d = makeFleet(settings, 4, 0.7);
        EXPECT_EQ(d.attempts(d.submitRequest(5)), availabilityWeight > 0.0 ? 0 : 1);
    }
}

// ---- SaturationThreshold without the engine ----

// An endpoint that has one connection of this node and reports this load over capacity.
Endpoint loadedEndpoint(double load) {
    Endpoint endpoint;
    endpoint.connectionsFromThisNode = 1;
    endpoint.loadOverCapacity = load;
    return endpoint;
}

// The threshold after this many reports of a load equal to the threshold.
double thresholdAfter(int reports, bool late) {
    SaturationThreshold threshold{defaultSettings()};
    for (int i = 0; i < reports; ++i) {
        Endpoint endpoint = loadedEndpoint(threshold.value());
        if (late) endpoint.lastLateMessageAt = kNow;
        threshold.learn(endpoint, kNow);
    }
    return threshold.value();
}

TEST(SaturationThreshold, InitialValueDependsOnSettings) {
    Settings settings = defaultSettings();
    EXPECT_DOUBLE_EQ(SaturationThreshold{settings}.value(), 0.85);
    settings.groupAffinity = true;
    EXPECT_DOUBLE_EQ(SaturationThreshold{settings}.value(), 0.75);
    EXPECT_DOUBLE_EQ(SaturationThreshold{settings}.withTolerance(), 0.85);
    settings.availabilityWeight = 0.4;
    EXPECT_DOUBLE_EQ(SaturationThreshold{settings}.value(), 0.65);
}

TEST(SaturationThreshold, LateMessagesLowerItMoreThanPunctualOnesRaiseIt) {
    EXPECT_DOUBLE_EQ(thresholdAfter(1, true), 0.85 - 0.01);
    EXPECT_DOUBLE_EQ(thresholdAfter(1, false), 0.85 + 0.001);
}

TEST(SaturationThreshold, StaysWithinItsBounds) {
    EXPECT_DOUBLE_EQ(thresholdAfter(10'000, true), 0.6);
    EXPECT_DOUBLE_EQ(thresholdAfter(10'000, false), 0.9);
}

TEST(SaturationThreshold, IgnoresReportsFarFromThreshold) {
    SaturationThreshold threshold{defaultSettings()};
    for (const double load : {0.0, 0.74, 0.96, 30.0, -1.0}) {
        threshold.learn(loadedEndpoint(load), kNow);
        EXPECT_DOUBLE_EQ(threshold.value(), 0.85) << load;
    }
}

TEST(SaturationThreshold, IgnoresEndpointsWithoutOwnConnections) {
    SaturationThreshold threshold{defaultSettings()};
    Endpoint endpoint = loadedEndpoint(0.85);
    endpoint.connectionsFromThisNode = 0;
    threshold.learn(endpoint, kNow);
    EXPECT_DOUBLE_EQ(threshold.value(), 0.85);
}

TEST(SaturationThreshold, LateMessagesCountForLimitedTime) {
    for (const Micros age : {Micros{1700ms - 1us}, Micros{1700ms}}) {
        SaturationThreshold threshold{defaultSettings()};
        Endpoint endpoint = loadedEndpoint(0.85);
        endpoint.lastLateMessageAt = kNow - age;
        threshold.learn(endpoint, kNow);
        EXPECT_EQ(threshold.value() < 0.85, age < 1700ms) << age.count();
    }
}

TEST(SaturationThreshold, KeepsWhatItLearnedWhenSettingsChange) {
    const Settings withoutGroups = defaultSettings();
    Settings withGroups = withoutGroups;
    withGroups.groupAffinity = true;
    SaturationThreshold threshold{withoutGroups};
    Endpoint endpoint = loadedEndpoint(0.85);
    endpoint.lastLateMessageAt = kNow;
    threshold.learn(endpoint, kNow);
    threshold.changeSettings(withoutGroups, withGroups);
    EXPECT_NEAR(threshold.value(), 0.74, 1e-12);
    threshold.changeSettings(withGroups, withoutGroups);
    EXPECT_NEAR(threshold.value(), 0.84, 1e-12);
}

TEST(SaturationThreshold, IsRestoredAsStored) {
    SaturationThreshold threshold{defaultSettings()};
    threshold.learn(loadedEndpoint(0.85), kNow);
    LearnedFleetState learned;
    threshold.store(learned);
    SaturationThreshold restored{defaultSettings()};
    restored.restore(learned);
    EXPECT_EQ(restored.value(), threshold.value());
}

TEST(SpareUtilisation, IsZeroFromTheThresholdOn) {
    LearnedFleetState learned;
    learned.saturationThreshold = 0.75;
    SaturationThreshold threshold{defaultSettings()};
    threshold.restore(learned);
    EXPECT_DOUBLE_EQ(spareUtilisation(0.0, threshold), 100.0);
    EXPECT_DOUBLE_EQ(spareUtilisation(74.0, threshold), 26.0);
    EXPECT_EQ(spareUtilisation(75.0, threshold), 0.0);
    EXPECT_EQ(spareUtilisation(140.0, threshold), 0.0);
}

}  // namespace
}  // namespace ivyreel::test
