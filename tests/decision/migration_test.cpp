// Tests the migration of open connections off overloaded, draining and unresponsive endpoints.
#include "decision/migration.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(Migration, OverloadedEndpointIsRelievedInSteps) {
    Settings settings = defaultSettings();
    settings.groupAffinity = true;  // so that a high load does not make the endpoint count as slow
    DecisionEngineDriver d = makeFleet(settings, 4, 0.4);
    for (int i = 0; i < 80; ++i) {
        d.establishConnection(d.submitRequest());
    }
    const int connections = d.attemptsTo(1);
    d.setReportedLoad(1, 1.6);
    d.advance(1500ms);
    const int migrated = d.count<MigrateConnection>();
    EXPECT_GE(migrated, connections / 4);
    EXPECT_LE(migrated, connections * 3 / 4);
    d.setReportedLoad(1, 0.8);
    d.advance(20s);
    EXPECT_EQ(d.count<MigrateConnection>(), migrated)
        << "No connection migrates once the endpoint is relieved.";
}

TEST(Migration, ManyNodesWithOneConnectionEachMigrateTheExcess) {
    // 300 nodes have one connection each to an endpoint whose load over capacity is 1.0, and no other
    // endpoint has spare capacity. A quarter of the load is above the saturation threshold and must migrate.
    int migrated = 0;
    for (std::uint32_t node = 0; node < 300; ++node) {
        Settings settings = defaultSettings();
        settings.nodes = 300;
        settings.seed = 2000 + node;
        DecisionEngineDriver d = makeFleet(settings, 2, 0.3);
        RequestArrived request;
        request.request = RequestId{5000};
        d.deliver(ConnectionResumed{request, EndpointId{1}});
        d.setReportedLoad(1, 1.0);
        d.setReportedLoad(2, 1.0);
        d.deliver(HealthCheckCompleted{EndpointId{2}, Outcome::Ok, 1ms, loadReport(1.0)});
        d.deliver(HealthCheckCompleted{EndpointId{1}, Outcome::Ok, 1ms, loadReport(1.0)});
        migrated += d.count<MigrateConnection>();
    }
    EXPECT_NEAR(migrated, 75, 38) << "The tolerance is five standard deviations.";
}

// A slow endpoint may become slower, so load is migrated down to half the threshold, and again after each
// report.
TEST(Migration, SlowEndpointIsRelievedFurtherAtEachReport) {
    DecisionEngineDriver d = fleetWithEqualConnections();
    const int connections = d.attemptsTo(1);
    ASSERT_GE(connections, 10);
    d.setReportedLoad(1, 0.6);
    d.advance(4s);
    ASSERT_EQ(d.count<MigrateConnection>(), 0);
    d.setReportedLoad(1, 1.0);
    while (d.count<MigrateConnection>() == 0) {
        d.advance(100ms);
    }
    const int first = d.count<MigrateConnection>();
    // The target is half the saturation threshold, so over half of the load migrates; a typical endpoint
    // would keep a load over capacity of 0.8.
    EXPECT_GE(first, connections * 2 / 5);
    EXPECT_LT(first, connections) << "Some connections stay.";
    d.advance(1100ms);
    EXPECT_GT(d.count<MigrateConnection>(), first) << "The next load report shows the same overload.";
}

TEST(Migration, NoMigrationOnSteadyFleet) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 4, 0.6);
    for (int i = 0; i < 80; ++i) {
        d.establishConnection(d.submitRequest());
    }
    d.advance(30s);
    EXPECT_EQ(d.count<MigrateConnection>(), 0);
}

// Establishes forty connections, then lists the first `leaving` endpoints as draining. Returns the number of
// their connections.
int drainFirst(DecisionEngineDriver& d, std::uint64_t leaving) {
    for (int i = 0; i < 40; ++i) {
        d.establishConnection(d.submitRequest());
    }
    int connections = 0;
    for (std::uint64_t id = 1; id <= leaving; ++id) {
        connections += d.attemptsTo(id);
        EndpointEntry entry = endpointEntry(id);
        entry.availability = Availability::Draining;
        d.answerHealthChecksWithError(id);
        d.updateEndpointList({entry}, EndpointListKind::Delta);
    }
    return connections;
}

TEST(Migration, LeavesDrainingEndpointWhileOthersHaveCapacity) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 6, 0.3);
    const int connections = drainFirst(d, 1);
    ASSERT_GT(connections, 3);
    d.advance(30s);
    EXPECT_EQ(d.count<MigrateConnection>(), connections);
}

// If a hundred nodes evacuated half of a fleet at once, all these clients would reconnect to the other half
// at the same time.
TEST(Migration, DrainingEndpointKeepsConnectionsIfOthersLackCapacity) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 6, 0.5);
    ASSERT_GT(drainFirst(d, 3), 10);
    d.advance(30s);
    EXPECT_EQ(d.count<MigrateConnection>(), 0)
        << "A draining endpoint serves its connections until it stops, even if its health checks fail.";
}

TEST(Migration, LeavesUnresponsiveEndpointButNotOneThatAnswersHealthChecksWithErrors) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 6, 0.3);
    for (int i = 0; i < 40; ++i) {
        d.establishConnection(d.submitRequest());
    }
    d.answerHealthChecksWithError(1);
    d.advance(10s);
    EXPECT_EQ(d.count<MigrateConnection>(), 0)
        << "The process of the endpoint runs and serves its connections.";
    d.timeOutHealthChecks(2);
    d.advance(10s);
    EXPECT_EQ(d.count<MigrateConnection>(), d.attemptsTo(2));
}

TEST(Migration, LeavesEndpointThatFailsHealthChecks) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 2, 0.3);
    for (int i = 0; i < 40; ++i) {
        d.establishConnection(d.submitRequest());
    }
    const int connections = d.attemptsTo(1);
    d.timeOutHealthChecks(1);
    d.advance(8s);
    EXPECT_EQ(d.count<MigrateConnection>(), connections);
}

TEST(Migration, AppliesToResumedConnections) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 2, 0.4);
    for (std::uint64_t id = 5000; id < 5010; ++id) {
        RequestArrived request;
        request.request = RequestId{id};
        d.deliver(ConnectionResumed{request, EndpointId{1}});
    }
    d.advance(10s);
    EXPECT_EQ(d.count<FailRequest>() + d.count<RejectRequest>() + d.count<StartAttempt>(), 0);
    d.setReportedLoad(1, 1.5);
    d.advance(1500ms);
    EXPECT_GE(d.count<MigrateConnection>(), 3);
}

// ---- unit tests of migration ----

// One node and three endpoints; all of this node's connections are at endpoint 1.
struct MigrationFixture : DecisionFixture {
    FleetSnapshot fleet;

    MigrationFixture() {
        settings.nodes = 1;
        fleet.capacityPerLoad = 1e-7;  // capacity of each endpoint: 10e6 microseconds of work per second
        fleet.meanUtilisation = 20.0;
        list({endpointEntry(1), endpointEntry(2), endpointEntry(3)});
        report(1, 1.0);
        report(2, 0.8);
        report(3, 0.8);
        endpoint(1).connectionsFromThisNode = 100;
        endpoint(1).loadFromThisNode = 4e6;
    }

    std::optional<double> relief() { return overloadRelief(endpoint(1), context(), fleet); }
    std::optional<double> evacuation() {
        const DecisionContext now = context();
        return Evacuation{now, fleet}.loadToMigrate(endpoint(1));
    }
    void drain(std::uint64_t id) { endpoint(id).entry.availability = Availability::Draining; }
};

TEST(OverloadRelief, NeedsLoadAboveTheThresholdAndItsTolerance) {
    MigrationFixture f;  // the threshold is 0.85, the tolerance 0.1
    f.report(1, 0.94);
    EXPECT_EQ(f.relief(), std::nullopt);
    f.report(1, 0.96);
    EXPECT_NE(f.relief(), std::nullopt);
}

TEST(OverloadRelief, IsNotRepeatedBeforeReportsShowIt) {
    MigrationFixture f;
    f.endpoint(1).nextMigrationAt = kNow + 1us;
    EXPECT_EQ(f.relief(), std::nullopt);
    f.endpoint(1).nextMigrationAt = kNow;
    EXPECT_NE(f.relief(), std::nullopt);
    f.endpoint(1).connectionsFromThisNode = 0;
    EXPECT_EQ(f.relief(), std::nullopt);
}

TEST(OverloadRelief, MigratesTheLoadAboveTheTarget) {
    MigrationFixture f;
    f.report(2, 0.1);
    EXPECT_DOUBLE_EQ(*f.relief(), 4e6 * (1.0 - 0.80))
        << "The target is five per cent of capacity below the threshold.";
    f.endpoint(1).slowdown = 2.0;
    EXPECT_DOUBLE_EQ(*f.relief(), 4e6 * (1.0 - 0.425))
        << "The target of a slow endpoint is half the threshold.";
}

TEST(OverloadRelief, IsBoundedByTheSpareCapacityOfOthers) {
    MigrationFixture f;
    f.endpoint(1).slowdown = 2.0;
    f.report(2, 0.72);  // endpoint 3 has no spare capacity, endpoint 2 has 0.08 below the target of 0.80
    EXPECT_NEAR(*f.relief(), 0.08 * 10e6, 1.0);
    f.report(2, 2.0);
    EXPECT_DOUBLE_EQ(*f.relief(), 4e6 * (1.0 - 0.85)) << "At least the load above the threshold migrates.";
}

TEST(OverloadRelief, CountsEndpointsWithoutFreshReportsLikeTheRest) {
    MigrationFixture f;
    f.endpoint(1).slowdown = 2.0;
    f.report(2, 0.72);
    f.endpoint(3).reported = false;
    EXPECT_NEAR(*f.relief(), 2 * 0.08 * 10e6, 1.0);
    f.endpoint(2).reported = false;
    EXPECT_DOUBLE_EQ(*f.relief(), 4e6 * (1.0 - 0.85)) << "Without any report there is no division by zero.";
}

TEST(Evacuation, MigratesHalfOffAnUnresponsiveEndpoint) {
    MigrationFixture f;
    f.endpoint(1).healthCheck.consecutiveUnanswered = 2;
    EXPECT_EQ(f.evacuation(), std::nullopt);
    f.endpoint(1).healthCheck.consecutiveUnanswered = 3;
    EXPECT_DOUBLE_EQ(*f.evacuation(), 2e6);
    f.endpoint(1).connectionsFromThisNode = 0;
    EXPECT_EQ(f.evacuation(), std::nullopt);
}

TEST(Evacuation, NeedsAnEndpointThatCanTakeConnections) {
    MigrationFixture f;
    f.endpoint(1).healthCheck.consecutiveUnanswered = 3;
    for (const std::uint64_t id : {1U, 2U, 3U})
        f.report(id, 0.95);
    EXPECT_EQ(f.evacuation(), std::nullopt);
    f.report(3, 0.94);
    EXPECT_NE(f.evacuation(), std::nullopt);
    f.endpoints.setBanned(EndpointId{3}, true);
    EXPECT_EQ(f.evacuation(), std::nullopt);
}

TEST(Evacuation, MigratesOffADrainingEndpointInSmallSteps) {
    MigrationFixture f;
    f.drain(1);
    f.report(1, 0.1);
    f.report(2, 0.2);
    f.report(3, 0.2);
    EXPECT_DOUBLE_EQ(*f.evacuation(), 4e6 * 0.1 / 2.0);
}

TEST(Evacuation, NeedsSpareCapacityOfFourTimesTheDrainingLoad) {
    MigrationFixture f;
    f.drain(1);
    f.report(1, 0.2);
    f.report(2, 0.45);
    f.report(3, 0.45);
    EXPECT_NE(f.evacuation(), std::nullopt) << "The spare utilisation is 80 for a draining one of 20.";
    f.report(3, 0.46);
    EXPECT_EQ(f.evacuation(), std::nullopt);
}

TEST(Evacuation, IgnoresEndpointsThatAreNotListed) {
    MigrationFixture f;
    f.endpoint(1).healthCheck.consecutiveUnanswered = 3;
    f.endpoint(1).listed = false;
    EXPECT_EQ(f.evacuation(), std::nullopt);
}

// Adds a connection to an endpoint, with a load of 10 microseconds of work per second.
void addConnectionTo(RequestTable& requests, std::uint64_t id, std::uint64_t group, std::uint64_t endpoint) {
    Request& request = requests.findOrAdd(RequestId{id});
    request.connected = true;
    request.load = 10.0;
    request.arrival.group = GroupId{group};
    request.target.id = EndpointId{endpoint};
}

TEST(ConnectionsToMigrate, AreThoseAtTheEndpointOrderedByGroup) {
    RequestTable requests;
    addConnectionTo(requests, 1, 9, 1);
    addConnectionTo(requests, 2, 5, 1);
    addConnectionTo(requests, 3, 5, 1);
    addConnectionTo(requests, 4, 5, 2);
    addConnectionTo(requests, 5, 5, 1);
    requests.findOrAdd(RequestId{5}).connected = false;
    SplitMix64 random{7};
    const std::vector<RequestId> all = {RequestId{2}, RequestId{3}, RequestId{1}};
    EXPECT_EQ(connectionsToMigrate(requests, EndpointId{1}, 1e9, random), all);
    EXPECT_EQ(connectionsToMigrate(requests, EndpointId{1}, 30.0, random), all);
    EXPECT_TRUE(connectionsToMigrate(requests, EndpointId{1}, 0.0, random).empty());
    EXPECT_TRUE(connectionsToMigrate(requests, EndpointId{99}, 1e9, random).empty());
}

TEST(ConnectionsToMigrate, MatchTheRequestedLoadOnAverage) {
    RequestTable requests;
    for (std::uint64_t id = 1; id <= 5; ++id)
        addConnectionTo(requests, id, 0, 1);
    SplitMix64 random{7};
    std::size_t migrated = 0;
    for (int i = 0; i < 4000; ++i)
        migrated += connectionsToMigrate(requests, EndpointId{1}, 13.0, random).size();
    EXPECT_NEAR(static_cast<double>(migrated) / 4000, 1.3, 0.04)
        << "The tolerance is five standard deviations.";
}

}  // namespace
}  // namespace ivyreel::test
