// Tests which endpoints may get new connections after list updates, draining, bans and restarts.
#include "decision/endpoint_table.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(EndpointTable, RestartDiscardsOldLoadReports) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 1, 1.5);
    const RequestId refused = d.submitRequest();
    EXPECT_EQ(d.attempts(refused), 0);
    EndpointEntry restarted = endpointEntry(1);
    restarted.startedAt = d.now();
    d.setReportedLoad(1, 0.0);
    d.updateEndpointList({restarted}, EndpointListKind::Delta);
    d.advance(2s);
    EXPECT_EQ(d.target(d.submitRequest()), 1U);
}

TEST(EndpointTable, DrainingOrGoneEndpointGetsNoNewRequests) {
    for (const Availability state : {Availability::Draining, Availability::Gone}) {
        DecisionEngineDriver d = makeDriver(defaultSettings(), {endpointEntry(1), endpointEntry(2)});
        EndpointEntry changed = endpointEntry(1);
        changed.availability = state;
        d.updateEndpointList({changed}, EndpointListKind::Delta);
        const int before = d.attemptsTo(1);
        d.serveRequests(200);
        EXPECT_EQ(d.attemptsTo(1), before);
    }
}

TEST(EndpointTable, EndpointMissingFromFullListIsGone) {
    DecisionEngineDriver d = makeDriver(defaultSettings(), {endpointEntry(1), endpointEntry(2)});
    d.updateEndpointList({endpointEntry(2)});
    d.serveRequests(100);
    EXPECT_EQ(d.attemptsTo(1), 0);
}

TEST(EndpointTable, ReturningEndpointIsUsedAgain) {
    DecisionEngineDriver d = makeDriver(defaultSettings(), {endpointEntry(1), endpointEntry(2)});
    d.updateEndpointList({endpointEntry(2)});
    d.updateEndpointList({endpointEntry(1)}, EndpointListKind::Delta);
    d.advance(2s);
    d.serveRequests(100);
    EXPECT_GT(d.attemptsTo(1), 20);
}

TEST(EndpointTable, BanOutlastsListChangesUntilLifted) {
    DecisionEngineDriver d = makeDriver(defaultSettings(), {endpointEntry(1), endpointEntry(2)});
    d.deliver(EndpointBanChanged{EndpointId{1}, true});
    d.deliver(EndpointBanChanged{EndpointId{1}, true});
    const int before = d.attemptsTo(1);
    d.updateEndpointList({endpointEntry(1), endpointEntry(2)});
    d.serveRequests(50);
    d.updateEndpointList({endpointEntry(2)});  // endpoint 1 is removed, and listed again after a restart
    EndpointEntry restarted = endpointEntry(1);
    restarted.startedAt = d.now();
    d.updateEndpointList({restarted}, EndpointListKind::Delta);
    d.deliver(EndpointListChanged{EndpointListKind::Failed, {}});
    d.serveRequests(50);
    EXPECT_EQ(d.attemptsTo(1), before);
    d.deliver(EndpointBanChanged{EndpointId{1}, false});
    d.advance(3s);
    d.serveRequests(100);
    EXPECT_GT(d.attemptsTo(1), before) << "One event lifts the ban, however often the ban was set.";
}

TEST(EndpointTable, EndpointRestartedDuringBanIsInSlowStart) {
    Settings settings = defaultSettings();
    DecisionEngineDriver d = makeDriver(settings, {endpointEntry(1), endpointEntry(2)});
    d.deliver(EndpointBanChanged{EndpointId{1}, true});
    EndpointEntry restarted = endpointEntry(1);
    restarted.startedAt = d.now();
    d.updateEndpointList({restarted}, EndpointListKind::Delta);
    d.deliver(EndpointBanChanged{EndpointId{1}, false});
    const int before = d.attemptsTo(1);
    for (int i = 0; i < 60; ++i) {
        d.establishConnection(d.submitRequest());
    }
    EXPECT_LE(d.attemptsTo(1) - before, 1) << "Attempts during slow start are limited.";
}

TEST(EndpointTable, QueuedRequestIsSentWhenBanIsLifted) {
    DecisionEngineDriver d = makeDriver(defaultSettings(), {endpointEntry(1)});
    d.deliver(EndpointBanChanged{EndpointId{1}, true});
    const RequestId request = d.submitRequest();
    EXPECT_EQ(d.attempts(request), 0);
    d.deliver(EndpointBanChanged{EndpointId{1}, false});
    EXPECT_EQ(d.target(request), 1U);
}

// ---- unit tests of endpoint_table ----

std::vector<std::uint64_t> idsOf(const EndpointTable& table) {
    std::vector<std::uint64_t> ids;
    for (const Endpoint& endpoint : table)
        ids.push_back(static_cast<std::uint64_t>(endpoint.entry.id));
    return ids;
}

EndpointEntry entryOfSize(std::uint64_t id, double capacityUnits) {
    EndpointEntry entry = endpointEntry(id);
    entry.listedCapacity = capacityUnits;
    return entry;
}

TEST(EndpointTable, FindsNothingInAnEmptyTable) {
    EndpointTable table;
    EXPECT_EQ(table.find(EndpointId{1}), nullptr);
    EXPECT_EQ(table.excludedCount(), 0U);
    table.setBanned(EndpointId{1}, false);
    table.removeSendsBefore(kNow);
    EXPECT_EQ(table.size(), 0U);
}

TEST(EndpointTable, IsOrderedByIdWhateverTheOrderOfTheList) {
    DecisionFixture f;
    f.list({endpointEntry(5), endpointEntry(1), endpointEntry(9), endpointEntry(3), endpointEntry(5)});
    EXPECT_EQ(idsOf(f.endpoints), (std::vector<std::uint64_t>{1, 3, 5, 9}));
    for (const std::uint64_t id : {1U, 3U, 5U, 9U}) {
        EXPECT_EQ(f.endpoint(id).entry.id, EndpointId{id});
    }
    EXPECT_EQ(f.endpoints.find(EndpointId{4}), nullptr);
}

TEST(EndpointTable, KeepsRemovedEndpointOnlyWhileItHasConnections) {
    DecisionFixture f;
    f.list({endpointEntry(1), endpointEntry(2), endpointEntry(3)});
    f.endpoint(2).connectionsFromThisNode = 1;
    f.list({endpointEntry(3)});
    EXPECT_EQ(idsOf(f.endpoints), (std::vector<std::uint64_t>{2, 3}));
    EXPECT_FALSE(f.endpoints.isReady(f.endpoint(2)));
    f.endpoint(2).connectionsFromThisNode = 0;
    f.list({endpointEntry(3)});
    EXPECT_EQ(idsOf(f.endpoints), (std::vector<std::uint64_t>{3}));
}

TEST(EndpointTable, DeltaChangesOnlyTheListedEndpoints) {
    DecisionFixture f;
    f.list({endpointEntry(1), endpointEntry(2)});
    EndpointEntry gone = endpointEntry(1);
    gone.availability = Availability::Gone;
    f.endpoints.apply({EndpointListKind::Delta, {gone, endpointEntry(3)}}, WeightKind::None, kNow, Time{0});
    EXPECT_EQ(idsOf(f.endpoints), (std::vector<std::uint64_t>{2, 3}));
}

TEST(EndpointTable, RestartKeepsOwnConnectionsOnly) {
    DecisionFixture f;
    f.list({endpointEntry(1)});
    Endpoint& before = f.report(1, 0.9);
    before.healthCheckFailures = 5;
    before.slowdown = 4.0;
    before.recentSends.push_back({RequestId{1}, kNow, 1.0, false});
    before.connectionsFromThisNode = 3;
    before.loadFromThisNode = 120'000;
    EndpointEntry restarted = endpointEntry(1);
    restarted.startedAt = kNow - 2s;
    f.list({restarted});
    const Endpoint& after = f.endpoint(1);
    EXPECT_FALSE(after.reported);
    EXPECT_EQ(after.healthCheckFailures, 0);
    EXPECT_EQ(after.slowdown, 1.0);
    EXPECT_TRUE(after.recentSends.empty());
    EXPECT_EQ(after.connectionsFromThisNode, 3);
    EXPECT_EQ(after.loadFromThisNode, 120'000);
    EXPECT_EQ(after.warmingUpSince, kNow - 2s);
}

TEST(EndpointTable, SlowStartBeginsNoLaterThanNowAndItsTurnsNoEarlierThanTheNode) {
    DecisionFixture f;
    EndpointEntry future = endpointEntry(1);
    future.startedAt = kNow + 3600s;
    EndpointEntry past = endpointEntry(2);
    past.startedAt = kNow - 20s;
    f.endpoints.apply({EndpointListKind::Full, {future, past}}, WeightKind::None, kNow, kNow - 5s);
    EXPECT_EQ(f.endpoint(1).warmingUpSince, kNow);
    EXPECT_EQ(f.endpoint(1).slowStartSlotsUsedUntil, kNow);
    EXPECT_EQ(f.endpoint(2).warmingUpSince, kNow - 20s);
    EXPECT_EQ(f.endpoint(2).slowStartSlotsUsedUntil, kNow - 5s);
}

TEST(EndpointTable, BannedAndUnhealthyEndpointsAreAvoided) {
    DecisionFixture f;
    f.list({endpointEntry(1), endpointEntry(2), endpointEntry(3)});
    f.endpoints.setBanned(EndpointId{1}, true);
    f.endpoints.setBanned(EndpointId{99}, true);
    f.endpoint(2).healthCheckFailures = kUnhealthyAfterFailures - 1;
    EXPECT_EQ(f.endpoints.excludedCount(), 1U) << "A ban of an unknown endpoint does not count.";
    EXPECT_TRUE(f.endpoints.isUsable(f.endpoint(2)));
    f.endpoint(2).healthCheckFailures = kUnhealthyAfterFailures;
    EXPECT_TRUE(f.endpoints.isReady(f.endpoint(2)));
    EXPECT_FALSE(f.endpoints.isUsable(f.endpoint(2)));
    EXPECT_FALSE(f.endpoints.isReady(f.endpoint(1)));
    EXPECT_EQ(f.endpoints.excludedCount(), 2U);
}

TEST(EndpointTable, SizesAreRelativeToTheMean) {
    DecisionFixture f;
    f.list({entryOfSize(1, 2.0), entryOfSize(2, 6.0)}, WeightKind::Nominal);
    EXPECT_DOUBLE_EQ(f.endpoints.meanListedSize(), 4.0);
    EXPECT_DOUBLE_EQ(f.endpoints.relativeSize(f.endpoint(1)), 0.5);
    EXPECT_DOUBLE_EQ(f.endpoints.relativeSize(f.endpoint(2)), 1.5);
    f.list({entryOfSize(1, 2.0), entryOfSize(2, 6.0)}, WeightKind::None);
    EXPECT_EQ(f.endpoints.meanListedSize(), 0.0);
    EXPECT_DOUBLE_EQ(f.endpoints.relativeSize(f.endpoint(2)), 1.0)
        << "Listed sizes are ignored with WeightKind::None.";
}

TEST(EndpointTable, EndpointsWithInvalidSizesHaveRelativeSizeOne) {
    DecisionFixture f;
    f.list({entryOfSize(1, kNaN), entryOfSize(2, -4.0), entryOfSize(3, 0.0), entryOfSize(4, 4.0)},
           WeightKind::Nominal);
    EXPECT_DOUBLE_EQ(f.endpoints.meanListedSize(), 1.0);
    for (const std::uint64_t id : {1U, 2U, 3U}) {
        EXPECT_DOUBLE_EQ(f.endpoints.relativeSize(f.endpoint(id)), 1.0) << id;
    }
}

TEST(EndpointTable, RemovesOldSends) {
    DecisionFixture f;
    f.list({endpointEntry(1)});
    for (const Time at : {Time{kNow - 1us}, kNow, Time{kNow + 1us}})
        f.endpoint(1).recentSends.push_back({RequestId{1}, at, 1.0, false});
    f.endpoints.removeSendsBefore(kNow);
    ASSERT_EQ(f.endpoint(1).recentSends.size(), 2U);
    EXPECT_EQ(f.endpoint(1).recentSends.front().sentAt, kNow);
}

}  // namespace
}  // namespace ivyreel::test
