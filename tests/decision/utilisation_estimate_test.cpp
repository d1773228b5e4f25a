// Tests the estimate of utilisation between two load reports, and for slow endpoints.
#include "decision/utilisation_estimate.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "decision/effective_capacity.hpp"
#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(UtilisationEstimate, BurstAfterLowReportIsSpreadOverEndpoints) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 2, 0.5);
    for (int i = 0; i < 40; ++i) {
        d.establishConnection(d.submitRequest());
    }
    d.advance(30s);  // time to learn the capacity
    d.setReportedLoad(1, 0.1);
    d.setReportedLoad(2, 0.8);
    d.advance(1s);
    const int before = d.attemptsTo(1);
    int first = 0;
    for (int i = 0; i < 60; ++i) {
        first += d.target(d.submitRequest()) == 1 ? 1 : 0;
    }
    EXPECT_EQ(d.attemptsTo(1) - before, first);
    EXPECT_GT(first, 10);
    EXPECT_LT(first, 46) << "By the stale load reports alone it would be 49.";
}

// Submits requests whose connections end immediately. Endpoint 1 takes `first` to set up a connection, the
// others take 5 ms.
void serveWithSetupTime(DecisionEngineDriver& d, int requests, Micros first) {
    for (int i = 0; i < requests; ++i) {
        const RequestId request = d.submitRequest();
        const std::uint64_t target = d.target(request);
        d.deliver(
            ConnectionEstablished{request, AttemptIndex{0}, EndpointId{target}, target == 1 ? first : 5ms});
        d.endAttempt(request, Outcome::Ok, true);
        d.advance(20ms);
    }
}

// Endpoint 1 reports as little load as the others, but takes 100 ms to set up a connection.
TEST(UtilisationEstimate, SlowConnectionSetupReducesWeight) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 4, 0.2);
    serveWithSetupTime(d, 100, 100ms);
    const int first = d.attemptsTo(1);
    EXPECT_LT(first, 20) << "An equal share would be 25.";
    serveWithSetupTime(d, 400, 100ms);
    EXPECT_LT(d.attemptsTo(1) - first, 60) << "An equal share would be 100.";
    EXPECT_GT(d.attemptsTo(1) - first, 10) << "Some attempts continue, so that recovery is detected.";
}

// If a typical endpoint takes a few milliseconds, an endpoint that takes twenty counts as slow too.
TEST(UtilisationEstimate, FastSetupOfOthersRevealsSlowEndpoint) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 8, 0.2);
    serveWithSetupTime(d, 1600, 20ms);
    const int slow = d.attemptsTo(1);
    EXPECT_LT(slow, 140) << "An equal share would be 200.";
    serveWithSetupTime(d, 1600, 5ms);
    EXPECT_GT(d.attemptsTo(1) - slow, 180) << "The endpoint has recovered.";
}

// Guards against giving an endpoint that is many times slower the same share as the others because groups
// share work. Only a small slowdown may be due to the groups.
TEST(UtilisationEstimate, WithGroupAffinityOnlyMuchSlowerEndpointLosesWeight) {
    const auto attemptsToSlowEndpoint = [](Micros setupTime) {
        Settings settings = defaultSettings();
        settings.groupAffinity = true;
        DecisionEngineDriver d = makeFleet(settings, 4, 0.2);
        serveWithSetupTime(d, 400, setupTime);
        return d.attemptsTo(1);
    };
    EXPECT_LT(attemptsToSlowEndpoint(200ms), 50) << "An equal share would be 100.";
    EXPECT_GT(attemptsToSlowEndpoint(30ms), 75);
}

// One of a hundred nodes sends a request every few seconds. It has to assume that the others send requests in
// the meantime.
TEST(UtilisationEstimate, AssumesOtherNodesKeepSending) {
    Settings settings = defaultSettings();
    settings.nodes = 100;
    DecisionEngineDriver d = makeFleet(settings, 1, 0.8);
    const RequestId first = d.submitRequestWithLoad(100'000);
    d.advance(100ms);
    ASSERT_EQ(d.target(first), 1U);
    d.establishConnection(first);
    d.advance(4s);
    const RequestId second = d.submitRequestWithLoad(100'000);
    d.advance(100ms);
    EXPECT_EQ(d.attempts(second), 0) << "99 other nodes have filled the endpoint since its load report.";
}

// Each endpoint has a quarter of the connections; endpoint 1 reports four times the load of the others.
TEST(UtilisationEstimate, SlowEndpointGetsFewerRequestsThanItsReportSuggests) {
    DecisionEngineDriver d = fleetWithEqualConnections();
    d.setReportedLoad(1, 0.6);
    d.advance(6s);
    const int before = d.attemptsTo(1);
    d.serveRequests(200);
    // By the load reports alone, with weights of (100 - 60) and 3 * (100 - 15), it would get 27.
    EXPECT_LT(d.attemptsTo(1) - before, 16);
    EXPECT_GT(d.attemptsTo(1) - before, 0) << "Some attempts continue, so that recovery is detected.";
}

TEST(UtilisationEstimate, ManyNodesDoNotOverfillTheOnlyEndpointWithCapacity) {
    // There are 60 nodes and 20 endpoints. Each node has 16 of the fleet's 950 connections, so about 100
    // connections fill an endpoint. One endpoint reports a tenth of its capacity as free, which is 10
    // connections. Each node gets four requests within a second.
    int sent = 0;
    for (std::uint32_t node = 0; node < 60; ++node) {
        Settings settings = defaultSettings();
        settings.nodes = 60;
        settings.seed = 3000 + node;
        DecisionEngineDriver d = makeFleet(settings, 20, 0.45);
        for (int i = 0; i < 16; ++i) {
            const RequestId request = d.submitRequest();
            d.advance(1s);
            d.establishConnection(request);
        }
        for (std::uint64_t id = 1; id <= 20; ++id) {
            d.setReportedLoad(id, id == 7 ? 0.65 : 0.80);
        }
        d.advance(6s);
        const int before = d.attemptsTo(7);
        for (int i = 0; i < 4; ++i) {
            d.submitRequest();
            d.advance(250ms);
        }
        sent += d.attemptsTo(7) - before;
    }
    EXPECT_GT(sent, 10) << "The free capacity is used.";
    EXPECT_LT(sent, 180) << "By the load reports alone the endpoint would get all 240 requests.";
}

// ---- unit tests of utilisation_estimate ----

// One node and one endpoint with a capacity of 10e6 microseconds of work per second.
struct EstimateFixture : DecisionFixture {
    FleetSnapshot fleet;

    EstimateFixture() {
        settings.nodes = 1;
        list({endpointEntry(1)});
        fleet.meanUtilisation = 42.0;
        fleet.capacityPerLoad = 1e-7;
    }

    double capacity(Time now) { return effectiveCapacity(endpoint(1), settings, now); }
    double reported(Time now = kNow) {
        const DecisionContext at = context(now);
        return UtilisationEstimate{at, fleet}.reported(endpoint(1));
    }
    double current(Time now = kNow) {
        const DecisionContext at = context(now);
        return UtilisationEstimate{at, fleet}.current(endpoint(1), capacity(now));
    }
    double added(double load, Time now = kNow) {
        const DecisionContext at = context(now);
        return UtilisationEstimate{at, fleet}.added(endpoint(1), load, capacity(now));
    }
    void send(double load) { endpoint(1).recentSends.push_back({RequestId{1}, kNow, load, false}); }
};

TEST(UtilisationEstimate, IsTheMeanWithoutAFreshReport) {
    EstimateFixture f;
    EXPECT_DOUBLE_EQ(f.reported(), 42.0);
    f.report(1, 0.6);
    EXPECT_DOUBLE_EQ(f.reported(), 60.0);
    EXPECT_DOUBLE_EQ(f.reported(kNow + kReportLifetime - 1us), 60.0);
    EXPECT_DOUBLE_EQ(f.reported(kNow + kReportLifetime), 42.0);
}

TEST(UtilisationEstimate, AddsRecentSends) {
    EstimateFixture f;
    f.report(1, 0.6);
    f.send(1e6);
    f.send(0.5e6);
    EXPECT_DOUBLE_EQ(f.current(), 75.0);
}

TEST(UtilisationEstimate, StaysBetweenZeroAndFull) {
    EstimateFixture f;
    f.report(1, 0.6);
    f.fleet.loadFromOtherNodes = 1e9;
    EXPECT_DOUBLE_EQ(f.current(), 0.0);
    f.fleet.loadFromOtherNodes = 0.0;
    f.send(1e9);
    EXPECT_DOUBLE_EQ(f.current(), 100.0);
}

TEST(UtilisationEstimate, SubtractsLoadThatDepartedToThisNode) {
    EstimateFixture f;
    f.report(1, 0.6);
    f.fleet.loadFromOtherNodes = 1e6;
    EXPECT_DOUBLE_EQ(f.current(), 50.0);
}

TEST(UtilisationEstimate, LoadWeighsMoreOnSmallAndWarmingUpEndpoints) {
    EstimateFixture f;
    EXPECT_DOUBLE_EQ(f.added(1e6), 10.0);
    EndpointEntry small = endpointEntry(1);
    small.listedCapacity = 2.0;
    EndpointEntry large = endpointEntry(2);
    large.listedCapacity = 6.0;
    f.list({small, large}, WeightKind::Nominal);
    EXPECT_DOUBLE_EQ(f.added(1e6), 20.0);
    small.startedAt = kNow;
    f.list({small, large}, WeightKind::Nominal);
    EXPECT_DOUBLE_EQ(f.added(1e6), 20.0 / f.settings.operatingLimits.slowStartInitialShare);
}

TEST(UtilisationEstimate, ExpectsSendsOfOtherNodes) {
    EstimateFixture f;
    f.settings.nodes = 3;
    f.report(1, 0.6);
    f.fleet.sendRate = 1e6;
    f.fleet.totalSpareUtilisation = 40.0;  // of the only endpoint
    // Two other nodes send 1e6 per second since the report and its lag of 0.7 s: 1.4e6, then 3.4e6.
    EXPECT_DOUBLE_EQ(f.current(), 60.0 + 14.0);
    EXPECT_DOUBLE_EQ(f.current(kNow + 1s), 60.0 + 34.0);
}

TEST(UtilisationEstimate, WithoutSpareUtilisationOtherNodesSendNothing) {
    EstimateFixture f;
    f.settings.nodes = 3;
    f.report(1, 0.6);
    f.fleet.sendRate = 1e6;
    f.fleet.totalSpareUtilisation = 0.0;
    EXPECT_DOUBLE_EQ(f.current(), 60.0) << "There must be no division by zero.";
}

}  // namespace
}  // namespace ivyreel::test
