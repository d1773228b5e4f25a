// Tests how a node learns the capacity of endpoints, and the confidence in the learned value.
#include "decision/fleet_capacity_estimate.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

// Submits sixty requests like `client` within a third of a second. Returns the number of those for which an
// attempt is started.
int acceptedOfSixty(DecisionEngineDriver& d, RequestArrived client = {}) {
    int accepted = 0;
    client.clientTimeout = 3200ms;
    for (std::uint64_t i = 0; i < 60; ++i) {
        client.request = RequestId{6000 + i};
        d.advance(5ms);
        d.deliver(client);
        accepted += d.target(client.request) != 0 ? 1 : 0;
    }
    return accepted;
}

// A node that has just restarted gets all clients at once when the other node restarts, before it has learned
// the capacity of the endpoints. It must accept them, based on the default capacity.
TEST(FleetCapacityEstimate, NewNodeAcceptsAllClientsByTheDefaultCapacity) {
    Settings settings = defaultSettings();
    settings.nodes = 2;
    DecisionEngineDriver fresh = makeFleet(settings, 4, 0.4);
    DecisionEngineDriver experienced = makeFleet(settings, 4, 0.4);
    RequestArrived resumed;
    for (std::uint64_t i = 0; i < 40; ++i) {
        resumed.request = RequestId{5000 + i};
        experienced.deliver(ConnectionResumed{
            resumed,
            EndpointId{1 + i % 4}});  // these are all connections of the fleet, so the endpoints are small
    }
    experienced.advance(60s);
    EXPECT_EQ(acceptedOfSixty(fresh), 60);
    EXPECT_LT(acceptedOfSixty(experienced), 60);
}

// The clients of lost connections reconnect to the other node, so the reported load stays the same. The
// capacity estimate must not drop to the tenth that this node's remaining connections suggest.
TEST(FleetCapacityEstimate, IsKeptAfterLosingMostConnections) {
    Settings settings = defaultSettings();
    settings.nodes = 2;
    settings.seed = 11;
    DecisionEngineDriver d = makeFleet(settings, 4, 0.4);
    RequestArrived resumed;
    resumed.loadHint = 200'000;
    for (std::uint64_t i = 0; i < 40; ++i) {
        resumed.request = RequestId{5000 + i};
        d.deliver(ConnectionResumed{resumed, EndpointId{1 + i % 4}});
    }
    d.advance(10s);
    for (std::uint64_t i = 0; i < 36; ++i) {
        d.deliver(AttemptEnded{
            RequestId{5000 + i}, AttemptIndex{0}, EndpointId{1 + i % 4}, Outcome::Ok, 30ms, true, {}});
    }
    d.advance(2s);
    EXPECT_EQ(acceptedOfSixty(d), 60);
}

// Load reports still include the load of the clients of a stopping node when these reconnect to a new node.
// The new node must not count that load twice and reject them.
TEST(FleetCapacityEstimate, NewNodeAcceptsClientsOfStoppingNode) {
    Settings settings = defaultSettings();
    settings.nodes = 2;
    RequestArrived first;
    first.loadHint = 145'000;
    RequestArrived again = first;
    again.reconnecting = true;
    DecisionEngineDriver replacement = makeFleet(settings, 4, 0.8);
    EXPECT_EQ(acceptedOfSixty(replacement, again), 60);
    DecisionEngineDriver growing = makeFleet(settings, 4, 0.8);
    EXPECT_LT(acceptedOfSixty(growing, first), 60) << "New clients add load.";
    DecisionEngineDriver later = makeFleet(settings, 4, 0.8);
    later.advance(6s);
    EXPECT_LT(acceptedOfSixty(later, again), 60) << "The node no longer counts as new.";
    DecisionEngineDriver withConnections = makeFleet(settings, 4, 0.8);
    RequestArrived connection;
    connection.request = RequestId{5000};
    withConnections.deliver(ConnectionResumed{connection, EndpointId{1}});
    EXPECT_LT(acceptedOfSixty(withConnections, again), 60) << "The node resumed connections at its start.";
    settings.nodes = 40;
    DecisionEngineDriver oneOfMany = makeFleet(settings, 4, 0.8);
    EXPECT_LT(acceptedOfSixty(oneOfMany, again), 30) << "Each other node gets as many requests.";
}

// ---- unit tests of fleet_capacity_estimate ----

constexpr double kMaxCapacity = 64e6;

// Adds the sample once for each second.
void addForSeconds(FleetCapacityEstimate& estimate, const FleetLoadSample& sample, int seconds) {
    for (int i = 0; i < seconds; ++i)
        estimate.add(sample, 1.0);
}

TEST(FleetCapacityEstimate, IsInitiallyTheDefaultOrTheListedSize) {
    const FleetCapacityEstimate estimate;
    EXPECT_DOUBLE_EQ(estimate.typicalCapacity(kDefaultCapacity, 0.0), kDefaultCapacity);
    EXPECT_DOUBLE_EQ(estimate.typicalCapacity(kDefaultCapacity, 4.0), 4e6) << "Listed sizes are in cores.";
    EXPECT_DOUBLE_EQ(estimate.typicalCapacity(kDefaultCapacity, -4.0), kDefaultCapacity);
}

TEST(FleetCapacityEstimate, StaysWithinItsBounds) {
    const FleetCapacityEstimate estimate;
    EXPECT_DOUBLE_EQ(estimate.typicalCapacity(1.0, 0.0), kMinCapacity);
    EXPECT_DOUBLE_EQ(estimate.typicalCapacity(kDefaultCapacity, 1000.0), kMaxCapacity);
    FleetCapacityEstimate learned;
    addForSeconds(learned, {1e12, 0.001, 1000}, 60);
    EXPECT_DOUBLE_EQ(learned.typicalCapacity(kDefaultCapacity, 0.0), kMaxCapacity);
}

TEST(FleetCapacityEstimate, LearnsWorkOverLoad) {
    FleetCapacityEstimate estimate;
    addForSeconds(estimate, {12e6, 2.0, 10'000}, 60);
    EXPECT_NEAR(estimate.typicalCapacity(kDefaultCapacity, 0.0), 6e6, 0.01e6);
}

TEST(FleetCapacityEstimate, ConfidenceGrowsWithConnectionSeconds) {
    FleetCapacityEstimate estimate;
    estimate.add({6e6, 1.0, 200}, 1.0);
    EXPECT_DOUBLE_EQ(estimate.typicalCapacity(10e6, 0.0), 8e6)
        << "200 connection seconds give a confidence of one half.";
}

TEST(FleetCapacityEstimate, WithoutReportedLoadNothingIsLearned) {
    FleetCapacityEstimate estimate;
    addForSeconds(estimate, {8e6, 0.0, 1000}, 60);
    EXPECT_DOUBLE_EQ(estimate.typicalCapacity(kDefaultCapacity, 0.0), kDefaultCapacity);
}

TEST(FleetCapacityEstimate, IgnoresNegativeConnectionsAndEmptySpans) {
    FleetCapacityEstimate estimate;
    estimate.add({6e6, 1.0, -100}, 1.0);
    EXPECT_DOUBLE_EQ(estimate.typicalCapacity(10e6, 0.0), 10e6);
    estimate.add({6e6, 1.0, 1000}, 0.0);
    EXPECT_DOUBLE_EQ(estimate.typicalCapacity(10e6, 0.0), 10e6);
}

TEST(FleetCapacityEstimate, ReplacesOldSamplesWithinMinutes) {
    FleetCapacityEstimate estimate;
    addForSeconds(estimate, {40e6, 1.0, 10'000}, 60);
    addForSeconds(estimate, {4e6, 1.0, 10'000}, 600);
    EXPECT_NEAR(estimate.typicalCapacity(kDefaultCapacity, 0.0), 4e6, 0.05e6);
}

TEST(FleetCapacityEstimate, IsRestoredAsStored) {
    FleetCapacityEstimate estimate;
    addForSeconds(estimate, {12e6, 2.0, 50}, 7);
    LearnedFleetState learned;
    estimate.store(learned);
    FleetCapacityEstimate restored;
    restored.restore(learned);
    EXPECT_EQ(restored.typicalCapacity(kDefaultCapacity, 0.0),
              estimate.typicalCapacity(kDefaultCapacity, 0.0));
}

}  // namespace
}  // namespace ivyreel::test
