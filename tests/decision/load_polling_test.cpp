// Tests polling of endpoints' loads on behalf of a request.
#include "decision/load_polling.hpp"

#include <gtest/gtest.h>

#include <cstdint>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

Endpoint endpointOf(std::uint64_t id) {
    Endpoint endpoint;
    endpoint.entry = endpointEntry(id);
    return endpoint;
}

TEST(LoadPolling, LoadIsKnownForTwoSecondsAfterAReport) {
    const Settings settings = defaultSettings();
    Endpoint endpoint = endpointOf(1);
    EXPECT_FALSE(isLoadKnown(endpoint, settings, kNow));
    endpoint.reported = true;
    endpoint.reportedAt = kNow;
    EXPECT_TRUE(isLoadKnown(endpoint, settings, kNow + 2s - 1us));
    EXPECT_FALSE(isLoadKnown(endpoint, settings, kNow + 2s));
}

TEST(LoadPolling, LoadCountsAsKnownIfPollsCannotReturnIt) {
    Settings withoutChecks = defaultSettings();
    withoutChecks.limits.healthChecks = false;
    Settings withoutReports = defaultSettings();
    withoutReports.loadReportMode = LoadReportMode::None;
    for (const Settings& settings : {withoutChecks, withoutReports}) {
        EXPECT_TRUE(isLoadKnown(endpointOf(1), settings, kNow));
        EXPECT_FALSE(canBePolled(endpointOf(1), Request{}, settings, kNow));
    }
}

TEST(LoadPolling, RequestPollsAtMostFourEndpoints) {
    const Settings settings = defaultSettings();
    Request request;
    for (std::uint64_t id = 1; id <= 4; ++id) {
        EXPECT_TRUE(canBePolled(endpointOf(id), request, settings, kNow)) << id;
        recordLoadPoll(request, endpointOf(id), kNow);
        EXPECT_TRUE(wasPolledFor(request, endpointOf(id)));
    }
    EXPECT_FALSE(wasPolledFor(request, endpointOf(5)));
    EXPECT_FALSE(canBePolled(endpointOf(5), request, settings, kNow));
}

TEST(LoadPolling, WaitsBrieflyForTheAnswer) {
    const Settings settings = defaultSettings();
    Endpoint endpoint = endpointOf(1);
    Request request;
    recordLoadPoll(request, endpoint, kNow);
    endpoint.healthCheck.startedAt = kNow;
    endpoint.healthCheck.outstanding = true;
    EXPECT_TRUE(canBePolled(endpoint, request, settings, kNow + 150ms - 1us));
    EXPECT_FALSE(canBePolled(endpoint, request, settings, kNow + 150ms));
    endpoint.healthCheck.outstanding = false;
    EXPECT_FALSE(canBePolled(endpoint, request, settings, kNow + 1ms))
        << "The health check failed, or returned no load.";
}

TEST(LoadPolling, WaitsForOutstandingHealthCheckOnlyIfRecent) {
    const Settings settings = defaultSettings();
    Endpoint endpoint = endpointOf(1);
    endpoint.healthCheck.startedAt = kNow;
    endpoint.healthCheck.outstanding = true;
    EXPECT_TRUE(canBePolled(endpoint, Request{}, settings, kNow + 150ms - 1us));
    EXPECT_FALSE(canBePolled(endpoint, Request{}, settings, kNow + 150ms))
        << "The endpoint is slow to answer.";
}

}  // namespace
}  // namespace ivyreel::test
