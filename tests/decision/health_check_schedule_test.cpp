// Tests when endpoints are health-checked, and how requests wait for an outstanding health check.
#include "decision/health_check_schedule.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(HealthCheckSchedule, ChecksAllListedEndpointsIncludingDraining) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 3, 0.3);
    EndpointEntry draining = endpointEntry(3);
    draining.availability = Availability::Draining;
    d.updateEndpointList({draining}, EndpointListKind::Delta);
    for (int i = 0; i < 200; ++i) {
        d.serveRequests(1);
        d.advance(100ms);
    }
    for (const std::uint64_t id : {1U, 2U, 3U}) {
        EXPECT_GE(d.healthChecksOf(id), 18);
        EXPECT_LE(d.healthChecksOf(id), 22);
    }
}

TEST(HealthCheckSchedule, KeepsReportsFreshWithoutTrafficInSmallFleet) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 3, 0.3);
    const int atStart = d.healthChecksOf(1);
    d.advance(50s);
    EXPECT_GE(d.healthChecksOf(1) - atStart, 10) << "Checks are at most 5 s apart.";
    EXPECT_LE(d.healthChecksOf(1) - atStart, 20) << "Few checks run without traffic.";
}

// Creates one of 200 nodes that share 100 endpoints. Tests give it at most one request in two seconds.
DecisionEngineDriver largeFleet(std::uint64_t seed = 7) {
    Settings settings = defaultSettings();
    settings.nodes = 200;
    settings.seed = seed;
    return makeFleet(settings, 100, 0.5);
}

TEST(HealthCheckSchedule, InLargeFleetScalesWithRequestsNotEndpoints) {
    DecisionEngineDriver d = largeFleet();
    for (int i = 0; i < 50; ++i) {
        const RequestId request = d.submitRequest();
        d.advance(2s);
        d.endAttempt(request, Outcome::Ok, true);
    }
    EXPECT_GE(d.count<StartHealthCheck>(), 50) << "Every selection uses load reports.";
    EXPECT_LE(d.count<StartHealthCheck>(), 250) << "Periodic checks of all endpoints would be over 2,000.";
}

TEST(HealthCheckSchedule, InLargeFleetContinuesForEndpointsWithConnections) {
    DecisionEngineDriver d = largeFleet();
    const RequestId request = d.submitRequest();
    d.advance(20ms);
    d.establishConnection(request);
    const int before = d.healthChecksOf(d.target(request));
    d.advance(50s);
    EXPECT_GE(d.healthChecksOf(d.target(request)) - before, 10)
        << "The load report of the endpoint stays fresh.";
}

TEST(HealthCheckSchedule, InLargeFleetSelectionUsesOnDemandReport) {
    int busy = 0;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        Settings settings = defaultSettings();
        settings.nodes = 200;
        settings.seed = seed;
        std::vector<double> loads(30, 0.1);
        std::fill(loads.begin() + 15, loads.end(), 0.7);
        DecisionEngineDriver d = makeFleet(settings, loads);
        const RequestId request = d.submitRequest();
        d.advance(20ms);
        busy += d.target(request) > 15 ? 1 : 0;
    }
    EXPECT_NEAR(busy, 75, 30)
        << "Weights of 30 and 90 give a quarter; the tolerance is four standard deviations.";
}

TEST(HealthCheckSchedule, InLargeFleetUnansweredCheckDelaysRequestOnlyBriefly) {
    DecisionEngineDriver d = largeFleet();
    d.advance(30s);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        d.stopAnsweringHealthChecks(id);
    }
    const RequestId request = d.submitRequest();
    d.advance(100ms);
    EXPECT_EQ(d.attempts(request), 0) << "The request waits for a load report.";
    d.advance(700ms);
    EXPECT_EQ(d.finalAnswers(request) + d.attempts(request), 1) << "The wait for load reports is short.";
}

TEST(HealthCheckSchedule, ChecksOfDifferentEndpointsAreNotSynchronised) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 8, 0.3);
    const int atStart = d.count<StartHealthCheck>();
    EXPECT_EQ(atStart, 8);
    d.advance(2s);
    EXPECT_GT(d.count<StartHealthCheck>(), atStart);
    EXPECT_LT(d.count<StartHealthCheck>(), 2 * atStart);
}

TEST(HealthCheckSchedule, NoChecksWhereDisabled) {
    Settings settings = defaultSettings();
    settings.limits.healthChecks = false;
    DecisionEngineDriver d = makeFleet(settings, 3, 0.3);
    d.advance(10s);
    EXPECT_EQ(d.count<StartHealthCheck>(), 0);
    EXPECT_NE(d.target(d.submitRequest()), 0U);
}

TEST(HealthCheckSchedule, SuspectEndpointIsCheckedMoreOften) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 2, 0.3);
    d.advance(2500ms);
    const RequestId request = d.submitRequest();
    const std::uint64_t failing = d.target(request);
    const int before = d.healthChecksOf(failing);
    d.timeOutHealthChecks(failing);
    d.endAttempt(request, Outcome::ConnectFailed);
    d.advance(650ms);
    EXPECT_GE(d.healthChecksOf(failing) - before, 2)
        << "Two failures, enough to eject the endpoint, occur well within a second.";
}

// An overload makes health checks slow immediately; load reports show the overload only later.
TEST(HealthCheckSchedule, SuddenlySlowEndpointIsCheckedAgainSoon) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 2, 0.3);
    d.advance(6s);
    d.setHealthCheckLatency(1, 10ms);
    const int slow = d.healthChecksOf(1);
    const int typical = d.healthChecksOf(2);
    d.advance(1900ms);
    EXPECT_GE(d.healthChecksOf(1) - slow, 3);
    EXPECT_LE(d.healthChecksOf(2) - typical, 2);
    const int later = d.healthChecksOf(1);
    d.advance(3s);
    EXPECT_LE(d.healthChecksOf(1) - later, 4) << "The mean round trip has adapted to the latency.";
}

// In a large fleet, periodic health checks are 4.5 s apart, which is too long for an endpoint with a growing
// backlog.
TEST(HealthCheckSchedule, MissedMessageLatencyObjectiveTriggersCheck) {
    DecisionEngineDriver d = largeFleet();
    const RequestId request = d.submitRequest();
    d.advance(300ms);
    ASSERT_NE(d.target(request), 0U);
    d.establishConnection(request);
    const EndpointId endpoint{d.target(request)};
    d.advance(1s);
    const int before = d.healthChecksOf(d.target(request));
    d.deliver(MessageDelayMeasured{request, endpoint, 80.0});
    d.advance(200ms);
    EXPECT_EQ(d.healthChecksOf(d.target(request)), before) << "The delay is within the objective of 100 ms.";
    d.deliver(MessageDelayMeasured{request, endpoint, 120.0});
    d.advance(200ms);
    EXPECT_EQ(d.healthChecksOf(d.target(request)), before + 1);
}

// ---- unit tests of health_check_schedule ----

constexpr Micros kMaxInterval = 4500ms;

HealthCheckCompleted resultOf(Outcome outcome, Micros elapsed = 1ms) {
    return {EndpointId{1}, outcome, elapsed, {}};
}

Endpoint listedEndpoint() {
    Endpoint endpoint;
    endpoint.listed = true;
    return endpoint;
}

// Returns an endpoint with a mean round trip of 1 ms, after another answer that took `elapsed`.
Endpoint endpointAfterAnswer(Micros elapsed, std::uint32_t nodes) {
    Settings settings = defaultSettings();
    settings.nodes = nodes;
    Endpoint endpoint = listedEndpoint();
    recordHealthCheckResult(endpoint, resultOf(Outcome::Ok, 1ms), settings, kNow);
    recordHealthCheckResult(endpoint, resultOf(Outcome::Ok, elapsed), settings, kNow);
    return endpoint;
}

TEST(HealthCheckSchedule, IntervalFollowsEndpointsPerRequest) {
    EXPECT_EQ(periodicHealthCheckInterval(100, 10.0, 300), Micros{2500ms});
    EXPECT_EQ(periodicHealthCheckInterval(1, 1000.0, 300), Micros{1s})
        << "The interval is at least one second.";
    EXPECT_EQ(periodicHealthCheckInterval(100, 1.0, 300), std::nullopt)
        << "There would be too many checks in a large fleet.";
    EXPECT_EQ(periodicHealthCheckInterval(100, 1.0, 4), kMaxInterval)
        << "A small fleet always has an interval.";
    EXPECT_EQ(periodicHealthCheckInterval(100, 1.0, 5), std::nullopt);
}

TEST(HealthCheckSchedule, IntervalIsDefinedWithoutEndpointsOrArrivals) {
    EXPECT_EQ(periodicHealthCheckInterval(0, 1.0, 300), Micros{1s});
    EXPECT_EQ(periodicHealthCheckInterval(10, 0.0, 3), kMaxInterval);
    EXPECT_EQ(periodicHealthCheckInterval(10, 0.0, 300), std::nullopt);
    EXPECT_EQ(periodicHealthCheckInterval(0, 0.0, 3), kMaxInterval);
}

TEST(HealthCheckSchedule, FirstCheckIsDueAtOnceAndSecondAfterRandomInterval) {
    SplitMix64 random{7};
    Endpoint endpoint = listedEndpoint();
    EXPECT_TRUE(isHealthCheckDue(endpoint, 1s, kNow));
    recordHealthCheckStart(endpoint, kNow, random);
    EXPECT_FALSE(isHealthCheckDue(endpoint, 1s, kNow + 100s)) << "The first check is outstanding.";
    endpoint.healthCheck.outstanding = false;
    EXPECT_FALSE(isHealthCheckDue(endpoint, 1s, kNow + 500ms - 1us));
    EXPECT_TRUE(isHealthCheckDue(endpoint, 1s, kNow + 1500ms));
    recordHealthCheckStart(endpoint, kNow + 1500ms, random);
    endpoint.healthCheck.outstanding = false;
    EXPECT_FALSE(isHealthCheckDue(endpoint, 1s, kNow + 2500ms - 1us))
        << "Further checks are due after the regular interval.";
    EXPECT_TRUE(isHealthCheckDue(endpoint, 1s, kNow + 2500ms));
}

TEST(HealthCheckSchedule, WithoutIntervalOnlyEndpointsInUseOrFailingAreChecked) {
    Endpoint endpoint = listedEndpoint();
    EXPECT_FALSE(isHealthCheckDue(endpoint, std::nullopt, kNow));
    endpoint.connectionsFromThisNode = 1;
    EXPECT_TRUE(isHealthCheckDue(endpoint, std::nullopt, kNow));
    endpoint.connectionsFromThisNode = 0;
    endpoint.healthCheckFailures = 1;
    EXPECT_TRUE(isHealthCheckDue(endpoint, std::nullopt, kNow));
    endpoint.listed = false;
    EXPECT_FALSE(isHealthCheckDue(endpoint, 1s, kNow));
}

TEST(HealthCheckSchedule, FailureIsConfirmedSoonUntilFailureCountExceedsLimit) {
    const Settings settings = defaultSettings();
    Endpoint endpoint = listedEndpoint();
    for (int failures = 1; failures <= kUnhealthyAfterFailures; ++failures) {
        recordHealthCheckResult(endpoint, resultOf(Outcome::Error), settings, kNow);
        EXPECT_EQ(endpoint.healthCheck.extraCheckAt, kNow + 250ms);
        EXPECT_TRUE(isHealthCheckDue(endpoint, std::nullopt, kNow + 250ms));
    }
    endpoint.healthCheck.extraCheckAt = Time::max();
    recordHealthCheckResult(endpoint, resultOf(Outcome::Error), settings, kNow);
    EXPECT_EQ(endpoint.healthCheck.extraCheckAt, Time::max());
    recordHealthCheckResult(endpoint, resultOf(Outcome::Ok), settings, kNow);
    EXPECT_EQ(endpoint.healthCheckFailures, 0);
}

TEST(HealthCheckSchedule, OnlyTimeoutsCountAsUnanswered) {
    const Settings settings = defaultSettings();
    Endpoint endpoint = listedEndpoint();
    recordHealthCheckResult(endpoint, resultOf(Outcome::Timeout), settings, kNow);
    EXPECT_EQ(endpoint.healthCheck.consecutiveUnanswered, 1);
    recordHealthCheckResult(endpoint, resultOf(Outcome::ConnectFailed, settings.limits.connectTimeout),
                            settings, kNow);
    EXPECT_EQ(endpoint.healthCheck.consecutiveUnanswered, 2) << "The connection attempt timed out.";
    recordHealthCheckResult(endpoint, resultOf(Outcome::ConnectFailed, 1ms), settings, kNow);
    EXPECT_EQ(endpoint.healthCheck.consecutiveUnanswered, 0)
        << "The connection was refused, so there was a response.";
    EXPECT_EQ(endpoint.healthCheckFailures, 3);
}

TEST(HealthCheckSchedule, RejectedCheckIsNeitherFailureNorSuccess) {
    const Settings settings = defaultSettings();
    Endpoint endpoint = listedEndpoint();
    endpoint.healthCheckFailures = 1;
    endpoint.healthCheck.outstanding = true;
    recordHealthCheckResult(endpoint, resultOf(Outcome::Rejected), settings, kNow);
    EXPECT_EQ(endpoint.healthCheckFailures, 1);
    EXPECT_FALSE(endpoint.healthCheck.outstanding);
    EXPECT_EQ(endpoint.healthCheck.extraCheckAt, Time::max());
}

TEST(HealthCheckSchedule, LateAnswerIsConfirmedInASmallFleetOnly) {
    EXPECT_EQ(endpointAfterAnswer(3500us, 3).healthCheck.extraCheckAt, Time::max());
    EXPECT_EQ(endpointAfterAnswer(3501us, 3).healthCheck.extraCheckAt, kNow + 250ms);
    EXPECT_EQ(endpointAfterAnswer(100ms, 300).healthCheck.extraCheckAt, Time::max());
}

TEST(HealthCheckSchedule, RoundTripIsAveragedFromTheFirstOn) {
    EXPECT_DOUBLE_EQ(endpointAfterAnswer(1ms, 3).roundTripMicros, 1'000);
    EXPECT_DOUBLE_EQ(endpointAfterAnswer(2ms, 3).roundTripMicros, 1'400);
}

TEST(HealthCheckSchedule, ImmediateCheckIsNotScheduledRightAfterTheLast) {
    Endpoint endpoint = listedEndpoint();
    endpoint.healthCheck.startedAt = kNow;
    scheduleImmediateCheck(endpoint, kNow + 250ms - 1us);
    EXPECT_EQ(endpoint.healthCheck.extraCheckAt, Time::max());
    scheduleImmediateCheck(endpoint, kNow + 250ms);
    EXPECT_EQ(endpoint.healthCheck.extraCheckAt, kNow + 250ms);
}

}  // namespace
}  // namespace ivyreel::test
