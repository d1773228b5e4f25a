// The request table, and the connection count and load of an endpoint.
#include "decision/request_table.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(RequestTable, IsEmptyAtFirst) {
    RequestTable table;
    EXPECT_EQ(table.find(RequestId{1}), nullptr);
    EXPECT_FALSE(table.hasUnconnected());
    table.erase(RequestId{1});
    table.markConnected(RequestId{1});
    EXPECT_TRUE(table.unconnected().empty());
}

TEST(RequestTable, FindsWhatWasAdded) {
    RequestTable table;
    table.findOrAdd(RequestId{2}).load = 5.0;
    ASSERT_NE(table.find(RequestId{2}), nullptr);
    EXPECT_EQ(table.findOrAdd(RequestId{2}).load, 5.0) << "the same request";
    EXPECT_EQ(table.find(RequestId{1}), nullptr);
    EXPECT_EQ(table.find(RequestId{3}), nullptr);
}

TEST(RequestTable, ListsUnconnectedRequestsInTheOrderOfTheirIds) {
    RequestTable table;
    for (const RequestId id : {RequestId{5}, RequestId{1}, RequestId{3}}) {
        table.findOrAdd(id);
        table.markUnconnected(id);
    }
    table.markConnected(RequestId{3});
    EXPECT_EQ(table.unconnected(), (std::vector<RequestId>{RequestId{1}, RequestId{5}}));
    EXPECT_NE(table.find(RequestId{3}), nullptr);
}

TEST(RequestTable, ErasedRequestsAreNotUnconnected) {
    RequestTable table;
    table.findOrAdd(RequestId{1});
    table.markUnconnected(RequestId{1});
    table.erase(RequestId{1});
    EXPECT_FALSE(table.hasUnconnected());
    EXPECT_EQ(table.find(RequestId{1}), nullptr);
}

TEST(EndpointConnections, AreCountedInAndOut) {
    Endpoint endpoint;
    addConnection(endpoint, 30'000);
    addConnection(endpoint, 50'000);
    endpoint.recentSends.push_back({RequestId{1}, kNow, 30'000, false});
    EXPECT_EQ(endpoint.connectionsFromThisNode, 2);
    EXPECT_DOUBLE_EQ(endpoint.loadFromThisNode, 80'000);
    EXPECT_DOUBLE_EQ(reportedLoadFromThisNode(endpoint), 50'000);
    removeConnection(endpoint, RequestId{1}, 30'000);
    EXPECT_TRUE(endpoint.recentSends.empty());
    EXPECT_DOUBLE_EQ(endpoint.loadFromThisNode, 50'000);
}

TEST(EndpointConnections, LeaveNoResidualLoad) {
    Endpoint endpoint;
    addConnection(endpoint, 30'000);
    addConnection(endpoint, 30'000);
    removeConnection(endpoint, RequestId{1}, 100'000);
    EXPECT_DOUBLE_EQ(endpoint.loadFromThisNode, 0.0) << "the load is not negative";
    addConnection(endpoint, 30'000.1);
    removeConnection(endpoint, RequestId{2}, 10'000);
    removeConnection(endpoint, RequestId{3}, 10'000);
    EXPECT_EQ(endpoint.connectionsFromThisNode, 0);
    EXPECT_EQ(endpoint.loadFromThisNode, 0.0);
}

TEST(EndpointConnections, CountOnlyLoadThatIsNewToTheFleet) {
    Endpoint endpoint;
    endpoint.recentSends = {{RequestId{1}, kNow, 10.0, false}, {RequestId{2}, kNow, 5.0, true}};
    EXPECT_DOUBLE_EQ(recentLoad(endpoint), 15.0);
    EXPECT_DOUBLE_EQ(recentNewLoad(endpoint), 10.0);
}

}  // namespace
}  // namespace ivyreel::test
