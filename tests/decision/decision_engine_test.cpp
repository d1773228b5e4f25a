// The decision engine at startup, its determinism, and unusual settings.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <vector>

#include "decision_engine_driver.hpp"

namespace ivyreel::test {
namespace {

TEST(DecisionEngine, WaitsBrieflyForFirstLoadReports) {
    Settings settings = defaultSettings();
    settings.seed = 11;
    DecisionEngineDriver d{settings};
    d.updateEndpointList({endpointEntry(1), endpointEntry(2)});
    const RequestId request = d.submitRequest();
    EXPECT_EQ(d.attempts(request), 0);
    d.deliver(HealthCheckCompleted{EndpointId{1}, Outcome::Ok, 1ms, loadReport(0.2)});
    EXPECT_EQ(d.attempts(request), 1);
}

TEST(DecisionEngine, StartsAttemptWithoutReportsIfHealthChecksStayUnanswered) {
    DecisionEngineDriver d{defaultSettings()};
    d.updateEndpointList({endpointEntry(1), endpointEntry(2)});
    const RequestId request = d.submitRequest();
    d.advance(250ms);
    EXPECT_EQ(d.attempts(request), 1);
}

std::vector<std::uint64_t> selectedEndpoints(std::uint64_t seed) {
    Settings settings = defaultSettings();
    settings.seed = seed;
    DecisionEngineDriver d = makeFleet(settings, 5, 0.5);
    std::vector<std::uint64_t> result;
    for (int i = 0; i < 200; ++i) {
        const RequestId request = d.submitRequest();
        result.push_back(d.target(request));
        d.endAttempt(request, i % 7 == 0 ? Outcome::Error : Outcome::Ok, i % 7 != 0);
        d.advance(30ms);
    }
    return result;
}

TEST(DecisionEngine, SelectionIsTheSameForOneSeedAndDiffersBetweenSeeds) {
    EXPECT_EQ(selectedEndpoints(3), selectedEndpoints(3));
    EXPECT_NE(selectedEndpoints(3), selectedEndpoints(4));
}

TEST(DecisionEngine, RetryGoesToTheOnlyEndpointAgain) {
    Settings settings = defaultSettings();
    settings.nodes = 1;
    DecisionEngineDriver d = makeFleet(settings, 1, 0.5);
    const RequestId request = d.submitRequest();
    EXPECT_EQ(d.target(request), 1U);
    d.endAttempt(request, Outcome::Reset);
    EXPECT_EQ(d.attempts(request), 2) << "the only endpoint has to get the retry";
}

TEST(DecisionEngine, UsesLoadReportsOfResponsesWithoutHealthChecks) {
    Settings settings = defaultSettings();
    settings.limits.healthChecks = false;
    settings.loadReportMode = LoadReportMode::WithResponses;
    DecisionEngineDriver d{settings};
    d.updateEndpointList({endpointEntry(1), endpointEntry(2)});
    const RequestId request = d.submitRequest();
    d.deliver(AttemptEnded{request, AttemptIndex{0}, EndpointId{d.target(request)}, Outcome::Ok, 5ms, true,
                           loadReport(1.0)});
    const std::uint64_t reportingEndpoint = d.target(request);
    for (int i = 0; i < 20; ++i) {
        const RequestId next = d.submitRequest();
        // The other endpoint has no report and is assumed to have the mean utilisation, 100 per cent too,
        // so neither has spare capacity.
        d.deliver(ClientDisconnected{next});
    }
    d.deliver(AttemptEnded{RequestId{999}, AttemptIndex{0}, EndpointId{3 - reportingEndpoint}, Outcome::Ok,
                           5ms, true, loadReport(0.2)});
    EXPECT_EQ(d.target(d.submitRequest()), 3 - reportingEndpoint);
}

TEST(DecisionEngine, InPassthroughModeNodesSelectSameEndpointByFlowKey) {
    Settings settings = defaultSettings();
    settings.forwardingMode = ForwardingMode::Passthrough;
    std::uint64_t target = 0;
    for (std::uint64_t seed = 1; seed < 5; ++seed) {
        settings.seed = seed;
        DecisionEngineDriver d = makeFleet(settings, 10, 0.4);
        RequestArrived request;
        request.request = RequestId{1};
        request.flowKey = FlowKey{4242};
        request.clientTimeout = 3s;
        request.continuesFlow = true;
        d.deliver(request);
        if (target == 0) target = d.target(RequestId{1});
        EXPECT_EQ(d.target(RequestId{1}), target);
    }
}

LearnedState inherited(double workSeconds, double slowdown) {
    LearnedState learned;
    learned.fleet.emplace();
    learned.fleet->workSeconds = workSeconds;
    learned.endpoints.push_back({EndpointId{1}, Time{0}, {}});
    learned.endpoints.back().state.slowdown = slowdown;
    return learned;
}

// Guards against bans that an upgrade loses: the text of a handover state cannot hold infinity and NaN.
TEST(DecisionEngine, LearnedStateIsFinite) {
    constexpr double kInfinity = std::numeric_limits<double>::infinity();
    DecisionEngineDriver d = makeFleet(defaultSettings(), 2, 0.5);
    const LearnedState fresh = d.engine().learnedState(d.now());
    d.deliver(LearnedStateInherited{inherited(kInfinity, std::nan(""))});
    const LearnedState learned = d.engine().learnedState(d.now());
    ASSERT_TRUE(learned.fleet);
    EXPECT_TRUE(isFinite(*learned.fleet));
    EXPECT_EQ(learned.fleet->saturationThreshold, fresh.fleet->saturationThreshold)
        << "the estimates of a new node replace those that are not finite";
    ASSERT_EQ(learned.endpoints.size(), 1U) << "the record that is not finite is left out";
    EXPECT_EQ(learned.endpoints[0].id, EndpointId{2});
}

TEST(DecisionEngine, InheritedEndpointsAreKeptWithoutTheFleetsEstimates) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 2, 0.5);
    LearnedState learned = inherited(0.0, 1.5);
    const LearnedState before = d.engine().learnedState(d.now());
    learned.fleet.reset();
    d.deliver(LearnedStateInherited{learned});
    const LearnedState after = d.engine().learnedState(d.now());
    EXPECT_EQ(after.fleet->saturationThreshold, before.fleet->saturationThreshold);
    EXPECT_EQ(after.fleet->typicalLoad, before.fleet->typicalLoad);
    EXPECT_EQ(after.endpoints.at(0).state.slowdown, 1.5);
}

}  // namespace
}  // namespace ivyreel::test
