// Tests how a load report changes the state of its endpoint.
#include "decision/load_report_handling.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(LoadReportHandling, UsesLoadOverCapacity) {
    Endpoint endpoint;
    LoadReport report = loadReport(0.617);
    report.cpuUtilisation = 0.9;
    report.activeRequests = 12;
    EXPECT_TRUE(applyLoadReport(endpoint, report, kNow));
    EXPECT_DOUBLE_EQ(endpoint.loadOverCapacity, 0.617);
    EXPECT_EQ(endpoint.utilisation, 62);
    EXPECT_DOUBLE_EQ(endpoint.activeRequests, 12);
    EXPECT_TRUE(hasFreshReport(endpoint, kNow));
}

TEST(LoadReportHandling, UsesCpuUtilisationWithoutLoadOverCapacity) {
    Endpoint endpoint;
    LoadReport report;
    report.cpuUtilisation = 0.4;
    EXPECT_TRUE(applyLoadReport(endpoint, report, kNow));
    EXPECT_EQ(endpoint.utilisation, 40);
}

TEST(LoadReportHandling, KeepsPreviousLoadIfReportHasNone) {
    Endpoint endpoint;
    applyLoadReport(endpoint, loadReport(0.4), kNow);
    LoadReport report;
    report.queuedRequests = 5.0;
    EXPECT_FALSE(applyLoadReport(endpoint, report, kNow + 1s));
    EXPECT_EQ(endpoint.utilisation, 40);
    EXPECT_EQ(endpoint.reportedAt, kNow);
}

TEST(LoadReportHandling, LimitsUtilisationButNotLoad) {
    Endpoint endpoint;
    applyLoadReport(endpoint, loadReport(7.5), kNow);
    EXPECT_DOUBLE_EQ(endpoint.loadOverCapacity, 7.5);
    EXPECT_EQ(endpoint.utilisation, 100);
}

TEST(LoadReportHandling, InvalidValuesCountAsZero) {
    for (const double invalid : {kNaN, -3.0}) {
        Endpoint endpoint;
        LoadReport report = loadReport(invalid);
        report.activeRequests = invalid;
        EXPECT_TRUE(applyLoadReport(endpoint, report, kNow));
        EXPECT_EQ(endpoint.loadOverCapacity, 0.0) << invalid;
        EXPECT_EQ(endpoint.utilisation, 0) << invalid;
        EXPECT_EQ(endpoint.activeRequests, 0.0) << invalid;
    }
}

TEST(LoadReportHandling, RemovesSendsIncludedInTheReport) {
    Endpoint endpoint;
    for (const Time at : {Time{kNow - kReportLag - 1us}, Time{kNow - kReportLag}, kNow})
        endpoint.recentSends.push_back({RequestId{1}, at, 1.0, false});
    LoadReport withoutLoad;
    applyLoadReport(endpoint, withoutLoad, kNow);
    EXPECT_EQ(endpoint.recentSends.size(), 3U);
    applyLoadReport(endpoint, loadReport(0.5), kNow);
    ASSERT_EQ(endpoint.recentSends.size(), 2U);
    EXPECT_EQ(endpoint.recentSends.front().sentAt, kNow - kReportLag);
}

}  // namespace
}  // namespace ivyreel::test
