// Tests the estimated number of connections that endpoints of each kind carry.
#include "decision/kind_capacity.hpp"

#include <gtest/gtest.h>

#include <cstdint>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

constexpr KindIndex kKind{1};
constexpr KindIndex kOtherKind{2};
constexpr double kDefaultConnections = 60.0;

void recordReports(KindCapacityEstimate& estimate, KindIndex kind, double connections, double load,
                   int reports = 5'000) {
    Endpoint endpoint;
    endpoint.entry.kind = kind;
    endpoint.activeRequests = connections;
    endpoint.loadOverCapacity = load;
    for (int i = 0; i < reports; ++i)
        estimate.recordReport(endpoint, 1.0);
}

TEST(KindCapacityEstimate, IsInitiallyTheDefaultScaledBySize) {
    const KindCapacityEstimate estimate;
    EXPECT_DOUBLE_EQ(estimate.connectionsAtCapacity(kKind, 1.0, kDefaultConnections), kDefaultConnections);
    EXPECT_DOUBLE_EQ(estimate.connectionsAtCapacity(kKind, 0.5, kDefaultConnections),
                     kDefaultConnections / 2);
}

TEST(KindCapacityEstimate, LearnsConnectionsOverLoad) {
    KindCapacityEstimate estimate;
    recordReports(estimate, kKind, 50, 0.5);
    EXPECT_NEAR(estimate.connectionsAtCapacity(kKind, 1.0, kDefaultConnections), 100.0, 1.0);
    EXPECT_NEAR(estimate.connectionsAtCapacity(kKind, 2.0, kDefaultConnections), 200.0, 2.0);
}

TEST(KindCapacityEstimate, UnknownKindGetsTheMinimumOfOtherKindsAndTheDefault) {
    KindCapacityEstimate estimate;
    recordReports(estimate, kKind, 50, 0.5);
    EXPECT_DOUBLE_EQ(estimate.connectionsAtCapacity(kOtherKind, 1.0, kDefaultConnections),
                     kDefaultConnections);
    EXPECT_NEAR(estimate.connectionsAtCapacity(kOtherKind, 1.0, 1000.0), 100.0, 1.0);
}

TEST(KindCapacityEstimate, ReportsWithoutLoadLeaveTheDefault) {
    KindCapacityEstimate estimate;
    recordReports(estimate, kKind, 0, 0.0);
    EXPECT_DOUBLE_EQ(estimate.connectionsAtCapacity(kKind, 1.0, kDefaultConnections), kDefaultConnections);
    EXPECT_DOUBLE_EQ(estimate.connectionsAtCapacity(kOtherKind, 1.0, kDefaultConnections),
                     kDefaultConnections);
}

TEST(KindCapacityEstimate, RecentReportsReplaceOldOnes) {
    KindCapacityEstimate estimate;
    recordReports(estimate, kKind, 20, 0.5);
    recordReports(estimate, kKind, 50, 0.5);
    EXPECT_NEAR(estimate.connectionsAtCapacity(kKind, 1.0, kDefaultConnections), 100.0, 1.0);
}

}  // namespace
}  // namespace ivyreel::test
