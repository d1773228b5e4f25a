// Tests the aggregates over the whole fleet, and when they are recomputed.
#include "decision/fleet_snapshot.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

struct SnapshotFixture : DecisionFixture {
    FleetSnapshotCache cache;
    ArrivalRate arrivals;

    const FleetSnapshot& refresh(Time now = kNow) { return cache.refresh(context(now), arrivals); }
};

TEST(FleetSnapshot, OfAnEmptyFleetIsValid) {
    SnapshotFixture f;
    const FleetSnapshot& snapshot = f.refresh();
    EXPECT_EQ(snapshot.meanUtilisation, 50.0);
    EXPECT_EQ(snapshot.totalSpareUtilisation, 0.0);
    EXPECT_EQ(snapshot.loadFromOtherNodes, 0.0);
    EXPECT_EQ(snapshot.sendRate, 0.0);
    EXPECT_TRUE(std::isfinite(snapshot.capacityPerLoad));
}

TEST(FleetSnapshot, MeanCountsFreshReportsOnly) {
    SnapshotFixture f;
    f.list({endpointEntry(1), endpointEntry(2), endpointEntry(3), endpointEntry(4)});
    f.report(1, 0.2);
    f.report(2, 0.6);
    f.report(3, 0.9, kNow - kReportLifetime);
    EXPECT_DOUBLE_EQ(f.refresh().meanUtilisation, 40.0);
}

TEST(FleetSnapshot, SpareUtilisationCountsUnknownEndpointsAsMean) {
    SnapshotFixture f;
    f.list({endpointEntry(1), endpointEntry(2), endpointEntry(3)});
    f.report(1, 0.2);
    f.report(2, 0.6);
    EXPECT_DOUBLE_EQ(f.refresh().totalSpareUtilisation, 80.0 + 40.0 + 60.0);
}

TEST(FleetSnapshot, SpareUtilisationCountsUsableEndpointsOnly) {
    SnapshotFixture f;
    EndpointEntry draining = endpointEntry(2);
    draining.availability = Availability::Draining;
    f.list({endpointEntry(1), draining, endpointEntry(3), endpointEntry(4)});
    for (std::uint64_t id = 1; id <= 4; ++id)
        f.report(id, 0.2);
    f.endpoints.setBanned(EndpointId{3}, true);
    f.endpoint(4).healthCheckFailures = kUnhealthyAfterFailures;
    EXPECT_DOUBLE_EQ(f.refresh().totalSpareUtilisation, 80.0);
}

TEST(FleetSnapshot, IsRecomputedOnlyWhenOutdated) {
    SnapshotFixture f;
    f.list({endpointEntry(1)});
    f.report(1, 0.2);
    f.refresh();
    f.report(1, 0.6);
    EXPECT_DOUBLE_EQ(f.refresh().meanUtilisation, 20.0)
        << "No time has passed, and the snapshot was not invalidated.";
    f.cache.invalidate();
    EXPECT_DOUBLE_EQ(f.refresh().meanUtilisation, 60.0);
    f.report(1, 0.4);
    EXPECT_DOUBLE_EQ(f.refresh(kNow + 1us).meanUtilisation, 40.0) << "Time has passed.";
}

TEST(FleetSnapshot, ClientsOfOtherNodesCountAsDepartedNotAsSent) {
    SnapshotFixture f;
    f.list({endpointEntry(1), endpointEntry(2)});
    const RecentSend reconnected{RequestId{1}, kNow, 50'000, true};
    f.endpoint(1).recentSends.push_back(reconnected);
    f.cache.recordSend(reconnected);
    const FleetSnapshot& snapshot = f.refresh();
    EXPECT_DOUBLE_EQ(snapshot.loadFromOtherNodes, 25'000)
        << "The load from other nodes is the mean per endpoint.";
    EXPECT_EQ(snapshot.sendRate, 0.0);
    EXPECT_EQ(snapshot.recentSendCount, 0);
}

TEST(FleetSnapshot, CountsOwnSendsOfTheLastTwoSeconds) {
    SnapshotFixture f;
    f.list({endpointEntry(1)});
    for (const Time at : {Time{kNow - 2s}, Time{kNow - 1s}, kNow})
        f.endpoint(1).recentSends.push_back({RequestId{1}, at, 50'000, false});
    EXPECT_EQ(f.refresh().recentSendCount, 2);
}

TEST(FleetSnapshot, LearnsCapacityOverTime) {
    SnapshotFixture f;
    f.settings.nodes = 1;
    f.list({endpointEntry(1)});
    Time now = kNow;
    for (int i = 0; i < 600; ++i) {
        now += 1s;
        Endpoint& endpoint = f.report(1, 0.5, now);
        endpoint.connectionsFromThisNode = 100;
        endpoint.loadFromThisNode = 4e6;
        f.cache.invalidate();
        f.refresh(now);
    }
    EXPECT_NEAR(1.0 / f.cache.snapshot().capacityPerLoad, 8e6, 0.3e6);
}

}  // namespace
}  // namespace ivyreel::test
