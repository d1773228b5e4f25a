// Tests the ejection of endpoints that fail health checks, and the lower weights of endpoints that fail
// attempts or are slow.
#include "decision/outlier_detection.hpp"

#include <gtest/gtest.h>

#include <cstdint>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(OutlierDetection, TwoFailedChecksEjectAndOneSuccessReadmits) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 2, 0.3);
    d.timeOutHealthChecks(1);
    d.advance(3s);
    const int before = d.attemptsTo(1);
    d.serveRequests(50);
    EXPECT_EQ(d.attemptsTo(1), before);
    d.setReportedLoad(1, 0.3);
    d.advance(2s);
    d.serveRequests(50);
    EXPECT_GT(d.attemptsTo(1), before);
}

TEST(OutlierDetection, FastFailingEndpointGetsFewRequestsDespiteLowLoad) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 4, 0.5);
    d.setReportedLoad(1, 0.0);
    d.advance(2s);
    int failed = 0;
    for (int i = 0; i < 200; ++i) {
        const RequestId request = d.submitRequest();
        if (d.target(request) == 1) {
            d.endAttempt(request, Outcome::Error);
            ++failed;
        }
        d.endAttempt(request, Outcome::Ok, true);
    }
    EXPECT_LE(failed, 20) << "By its load report alone it would get 80 of the first attempts.";
}

// ---- unit tests of outlier_detection ----

constexpr double kCapacityPerLoad = 1e-7;  // for a capacity of 10e6 microseconds of work per second

// Returns an endpoint with connections of this node that cause a load over capacity of 0.4 at a typical
// endpoint.
Endpoint endpointWithConnections(double reportedLoad) {
    Endpoint endpoint;
    endpoint.connectionsFromThisNode = 100;
    endpoint.loadFromThisNode = 4e6;
    endpoint.loadOverCapacity = reportedLoad;
    return endpoint;
}

double slowdownAfterReports(Endpoint endpoint, int reports, std::uint32_t nodes = 1) {
    for (int i = 0; i < reports; ++i)
        learnSlowdown(endpoint, kCapacityPerLoad, 1.0, nodes);
    return endpoint.slowdown;
}

TEST(EndpointFailure, IsAnOutcomeCausedByTheEndpoint) {
    for (const Outcome outcome : {Outcome::Error, Outcome::Timeout, Outcome::ConnectFailed, Outcome::Reset}) {
        EXPECT_TRUE(isEndpointFailure(outcome));
    }
    for (const Outcome outcome : {Outcome::Ok, Outcome::Rejected, Outcome::Cancelled, Outcome::NotSent}) {
        EXPECT_FALSE(isEndpointFailure(outcome));
    }
}

TEST(SuccessRate, FollowsRecentAttemptsWithinItsBounds) {
    Endpoint endpoint;
    recordFailure(endpoint);
    EXPECT_DOUBLE_EQ(endpoint.successRate, 0.8);
    for (int i = 0; i < 100; ++i)
        recordFailure(endpoint);
    EXPECT_DOUBLE_EQ(endpoint.successRate, 0.05) << "Some attempts continue, so that recovery is detected.";
    for (int i = 0; i < 100; ++i)
        recordSuccess(endpoint);
    EXPECT_LE(endpoint.successRate, 1.0);
    EXPECT_NEAR(endpoint.successRate, 1.0, 1e-6);
}

TEST(SuccessRate, RecoversMoreSlowlyByHealthChecksThanByAttempts) {
    Endpoint checked;
    checked.successRate = 0.5;
    Endpoint used = checked;
    recordAnsweredHealthCheck(checked);
    recordSuccess(used);
    EXPECT_DOUBLE_EQ(checked.successRate, 0.55);
    EXPECT_DOUBLE_EQ(used.successRate, 0.6);
}

TEST(Slowdown, IsLearnedFromLoadOverExpectation) {
    EXPECT_DOUBLE_EQ(slowdownAfterReports(endpointWithConnections(0.4), 10), 1.0)
        << "The load is as expected.";
    EXPECT_DOUBLE_EQ(slowdownAfterReports(endpointWithConnections(0.1), 10), 1.0)
        << "The slowdown is never below 1.";
    // The ratio (0.95 + 0.15) / (0.4 + 0.15) is 2.
    EXPECT_DOUBLE_EQ(slowdownAfterReports(endpointWithConnections(0.95), 1), 1.4);
    EXPECT_NEAR(slowdownAfterReports(endpointWithConnections(0.95), 50), 2.0, 1e-6);
    EXPECT_NEAR(slowdownAfterReports(endpointWithConnections(1e9), 50), 10.0, 1e-6)
        << "The slowdown is clamped to 10.";
}

TEST(Slowdown, ExpectedLoadIncludesOtherNodes) {
    EXPECT_DOUBLE_EQ(slowdownAfterReports(endpointWithConnections(0.8), 10, 2), 1.0);
    Endpoint counted = endpointWithConnections(0.8);
    counted.activeRequests = 200;  // twice this node's connections
    EXPECT_DOUBLE_EQ(slowdownAfterReports(counted, 10, 50), 1.0)
        << "The reported number of requests takes precedence over the number of nodes.";
}

TEST(Slowdown, HighLoadOfWarmingUpEndpointIsNotASlowdown) {
    Endpoint endpoint = endpointWithConnections(0.8);
    learnSlowdown(endpoint, kCapacityPerLoad, 0.5, 1);
    EXPECT_DOUBLE_EQ(endpoint.slowdown, 1.0);
}

TEST(Slowdown, IsNotLearnedWithoutReportedConnections) {
    Endpoint endpoint = endpointWithConnections(5.0);
    endpoint.connectionsFromThisNode = 0;
    EXPECT_EQ(slowdownAfterReports(endpoint, 1), 1.0);
    endpoint.connectionsFromThisNode = 1;
    endpoint.recentSends.push_back({RequestId{1}, kNow, 40'000, false});
    EXPECT_EQ(slowdownAfterReports(endpoint, 1), 1.0)
        << "The only connection is too new to be included in the report.";
}

TEST(Slowdown, CountsAsSlowFromTheThresholdOn) {
    Endpoint endpoint;
    endpoint.slowdown = 1.29;
    EXPECT_FALSE(isSlow(endpoint, false));
    endpoint.setupSlowdown = 1.3;
    EXPECT_TRUE(isSlow(endpoint, false)) << "The larger of the two slowdowns counts.";
    endpoint.slowdown = 2.99;
    EXPECT_FALSE(isSlow(endpoint, true)) << "With group affinity, groups can cause such a load.";
    endpoint.slowdown = 3.0;
    EXPECT_TRUE(isSlow(endpoint, true));
}

TEST(SetupTimeEstimate, IgnoresRoundTrips) {
    SetupTimeEstimate estimate;
    Endpoint distant;
    distant.roundTripMicros = 50'000;
    for (int i = 0; i < 50; ++i)
        estimate.learnSetupSlowdown(distant, 60ms);  // less than the two round trips of a set-up
    EXPECT_DOUBLE_EQ(distant.setupSlowdown, 1.0);
}

TEST(SetupTimeEstimate, LearnsTheTypicalTime) {
    SetupTimeEstimate estimate;
    Endpoint endpoint;
    estimate.learnSetupSlowdown(endpoint, 200ms);
    EXPECT_GT(endpoint.setupSlowdown, 2.0) << "No set-up times of other endpoints are known yet.";
    for (int i = 0; i < 300; ++i)
        estimate.learnSetupSlowdown(endpoint, 200ms);
    EXPECT_NEAR(endpoint.setupSlowdown, 1.0, 0.001);
}

TEST(SetupTimeEstimate, DetectsOneSlowEndpointAndBoundsItsSlowdown) {
    SetupTimeEstimate estimate;
    Endpoint slow;
    Endpoint typical;
    for (int i = 0; i < 50; ++i) {
        estimate.learnSetupSlowdown(slow, 100s);
        for (int k = 0; k < 9; ++k)
            estimate.learnSetupSlowdown(typical, 5ms);
    }
    EXPECT_GT(slow.setupSlowdown, 9.0);
    EXPECT_LE(slow.setupSlowdown, 10.0);
    EXPECT_DOUBLE_EQ(typical.setupSlowdown, 1.0);
}

TEST(SetupTimeEstimate, IsRestoredAsStored) {
    SetupTimeEstimate estimate;
    estimate.recordConnection(80ms);
    EXPECT_DOUBLE_EQ(estimate.meanMicros(), 4'000);
    Endpoint endpoint;
    estimate.learnSetupSlowdown(endpoint, 80ms);
    LearnedFleetState learned;
    estimate.store(learned);
    EXPECT_GT(learned.typicalSetupMicros, 0.0);
    SetupTimeEstimate restored;
    restored.restore(learned);
    LearnedFleetState again;
    restored.store(again);
    EXPECT_EQ(again.meanSetupMicros, learned.meanSetupMicros);
    EXPECT_EQ(again.typicalSetupMicros, learned.typicalSetupMicros);
}

}  // namespace
}  // namespace ivyreel::test
