// Tests the expected load of a connection.
#include "decision/connection_load.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

constexpr double kInitialLoad = 40'000;

RequestArrived requestOf(std::uint32_t requestClass, std::optional<double> loadHint = std::nullopt) {
    RequestArrived request;
    request.requestClass = RequestClassIndex{requestClass};
    request.loadHint = loadHint;
    return request;
}

ConnectionLoadEstimate estimateWithClasses(std::size_t classes) {
    ConnectionLoadEstimate estimate;
    estimate.setClassCount(classes);
    return estimate;
}

TEST(ConnectionLoadEstimate, PrefersTheLoadHint) {
    ConnectionLoadEstimate estimate = estimateWithClasses(1);
    estimate.recordMeasurement(RequestClassIndex{0}, 100'000);
    EXPECT_EQ(estimate.expected(requestOf(0, 123.0)), 123.0);
}

TEST(ConnectionLoadEstimate, IgnoresInvalidLoadHints) {
    const ConnectionLoadEstimate estimate = estimateWithClasses(1);
    for (const double hint : {0.0, -5.0, kNaN}) {
        EXPECT_EQ(estimate.expected(requestOf(0, hint)), kInitialLoad) << hint;
    }
}

TEST(ConnectionLoadEstimate, IgnoresUnknownClasses) {
    ConnectionLoadEstimate estimate = estimateWithClasses(1);
    estimate.recordMeasurement(RequestClassIndex{7}, 1e6);
    EXPECT_EQ(estimate.expected(requestOf(7)), kInitialLoad);
    EXPECT_EQ(estimate.expected(requestOf(0)), kInitialLoad);
}

TEST(ConnectionLoadEstimate, OneMeasurementHasLittleWeight) {
    ConnectionLoadEstimate estimate = estimateWithClasses(2);
    estimate.recordMeasurement(RequestClassIndex{1}, 80'000);
    EXPECT_DOUBLE_EQ(estimate.expected(requestOf(1)), 42'000);
    EXPECT_EQ(estimate.expected(requestOf(0)), kInitialLoad) << "The measurement belongs to another class.";
}

TEST(ConnectionLoadEstimate, CapsOutliers) {
    ConnectionLoadEstimate estimate = estimateWithClasses(1);
    estimate.recordMeasurement(RequestClassIndex{0}, 1e15);
    EXPECT_DOUBLE_EQ(estimate.expected(requestOf(0)), kInitialLoad * (1.0 + 0.05 * 9.0));
    estimate.recordArrival(1e15);
    EXPECT_DOUBLE_EQ(estimate.typical(), kInitialLoad * (1.0 + 0.2 * 9.0));
}

TEST(ConnectionLoadEstimate, InitialTypicalLoadHasTheWeightOfFourArrivals) {
    ConnectionLoadEstimate estimate;
    EXPECT_EQ(estimate.typical(), kInitialLoad);
    estimate.recordArrival(90'000);
    EXPECT_DOUBLE_EQ(estimate.typical(), 50'000) << "The initial load has the weight of four arrivals.";
    for (int i = 0; i < 500; ++i)
        estimate.recordArrival(90'000);
    EXPECT_NEAR(estimate.typical(), 90'000, 1.0);
}

TEST(ConnectionLoadEstimate, KeepsMeansWhenClassCountShrinks) {
    ConnectionLoadEstimate estimate = estimateWithClasses(3);
    estimate.recordMeasurement(RequestClassIndex{2}, 80'000);
    estimate.setClassCount(1);
    EXPECT_DOUBLE_EQ(estimate.expected(requestOf(2)), 42'000);
}

TEST(ConnectionLoadEstimate, RestoredTypicalLoadReplacesTheInitialOne) {
    LearnedFleetState learned;
    learned.typicalLoad = 100'000;
    learned.meanLoadByClass = {70'000};
    ConnectionLoadEstimate estimate = estimateWithClasses(2);
    estimate.restore(learned);
    estimate.setClassCount(2);
    EXPECT_EQ(estimate.expected(requestOf(0)), 70'000);
    EXPECT_EQ(estimate.expected(requestOf(1)), kInitialLoad) << "This class was not stored.";
    estimate.recordArrival(200'000);
    EXPECT_DOUBLE_EQ(estimate.typical(), 105'000);
}

}  // namespace
}  // namespace ivyreel::test
