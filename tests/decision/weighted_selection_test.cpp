// Weighted random selection in proportion to 100 minus the utilisation in per cent, with fresh, stale and
// missing load reports.
#include "decision/weighted_selection.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

// Submits requests that succeed at once, and returns the share of the requests that each endpoint gets.
std::map<std::uint64_t, double> shares(DecisionEngineDriver& d, int requests, bool grouped = false) {
    std::map<std::uint64_t, double> result;
    for (int i = 0; i < requests; ++i) {
        const RequestId request = d.submitRequest(grouped ? static_cast<std::uint64_t>(i) + 1 : 0);
        result[d.target(request)] += 1.0 / requests;
        d.endAttempt(request, Outcome::Ok, true);
    }
    return result;
}

constexpr int kRequests = 20'000;
constexpr double kTolerance = 0.015;  // over four standard deviations of a share of 20,000 requests

TEST(WeightedSelection, SharesAreProportionalTo100MinusUtilisation) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), {0.50, 0.75, 0.10});
    const auto share = shares(d, kRequests);
    EXPECT_NEAR(share.at(1), 50.0 / 165, kTolerance);
    EXPECT_NEAR(share.at(2), 25.0 / 165, kTolerance);
    EXPECT_NEAR(share.at(3), 90.0 / 165, kTolerance);
}

TEST(WeightedSelection, EndpointAboveSaturationThresholdKeepsSmallShare) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), {0.30, 0.90, 0.30});
    EXPECT_NEAR(shares(d, kRequests).at(2), 10.0 / 150, kTolerance);
}

TEST(WeightedSelection, EndpointAboveCapacityGetsNoRequests) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), {0.50, 1.40});
    EXPECT_EQ(shares(d, 500).count(2), 0U);
}

TEST(WeightedSelection, MissingReportCountsAsMeanOfFreshReports) {
    DecisionEngineDriver d{defaultSettings()};
    d.setReportedLoad(1, 0.20);
    d.setReportedLoad(2, 0.60);
    d.updateEndpointList({endpointEntry(1), endpointEntry(2), endpointEntry(3)});
    d.advance(200ms);
    const auto share = shares(d, kRequests);
    EXPECT_NEAR(share.at(1), 80.0 / 180, kTolerance);
    EXPECT_NEAR(share.at(2), 40.0 / 180, kTolerance);
    EXPECT_NEAR(share.at(3), 60.0 / 180, kTolerance);
}

TEST(WeightedSelection, EqualWeightsWithoutFreshReports) {
    DecisionEngineDriver d{defaultSettings()};
    d.updateEndpointList({endpointEntry(1), endpointEntry(2)});
    d.advance(200ms);
    EXPECT_NEAR(shares(d, kRequests).at(1), 0.5, kTolerance);
}

TEST(WeightedSelection, ReportsExpireAfterFiveSeconds) {
    Settings settings = defaultSettings();
    settings.limits.healthChecks = false;
    for (const bool stale : {false, true}) {
        DecisionEngineDriver d{settings};
        d.updateEndpointList({endpointEntry(1), endpointEntry(2)});
        d.deliver(HealthCheckCompleted{EndpointId{1}, Outcome::Ok, 1ms, loadReport(0.7)});
        d.advance(stale ? 4s : 1s);
        d.deliver(HealthCheckCompleted{EndpointId{2}, Outcome::Ok, 1ms, loadReport(0.1)});
        d.advance(stale ? 1s : 3999ms);
        const auto share = shares(d, kRequests);
        // A stale first report is replaced by the mean of the fresh reports, which is the second report.
        EXPECT_NEAR(share.at(1), stale ? 0.5 : 30.0 / 120, kTolerance) << "stale " << stale;
    }
}

TEST(WeightedSelection, GroupedRequestsFollowTheSameWeights) {
    Settings settings = defaultSettings();
    settings.groupAffinity = true;
    DecisionEngineDriver d = makeFleet(settings, {0.50, 0.70, 0.10});
    const auto share = shares(d, kRequests, true);
    EXPECT_NEAR(share.at(1), 50.0 / 170, kTolerance);
    EXPECT_NEAR(share.at(2), 30.0 / 170, kTolerance);
    EXPECT_NEAR(share.at(3), 90.0 / 170, kTolerance);
}

// Guards against overload by a single connection: an endpoint at 0.6 has no spare capacity for a connection
// that needs half an endpoint, an endpoint at 0.2 has.
TEST(WeightedSelection, HeavyConnectionSelectsEndpointWithEnoughCapacity) {
    int fits = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        Settings settings = defaultSettings();
        settings.seed = seed;
        DecisionEngineDriver d = makeFleet(settings, {0.6, 0.2});
        RequestArrived heavy;
        heavy.request = RequestId{5000};
        heavy.clientTimeout = 3200ms;
        heavy.loadHint = 5.6e6;  // half of a medium endpoint, the size assumed initially
        d.deliver(heavy);
        fits += d.target(RequestId{5000}) == 2 ? 1 : 0;
    }
    EXPECT_EQ(fits, 200);
}

// ---- WeightedSelection without the engine ----

// One node and three endpoints with fresh reports.
struct SelectionFixture : DecisionFixture {
    FleetSnapshot fleet;
    FleetCapacityEstimate capacity;
    ConnectionLoadEstimate loads;
    KindCapacityEstimate kinds;
    AffinityGroups groups;
    ArrivalRate arrivals;

    SelectionFixture() {
        settings.nodes = 1;
        list({endpointEntry(1), endpointEntry(2), endpointEntry(3)});
        for (const std::uint64_t id : {1U, 2U, 3U})
            report(id, 0.3);
        arrivals.start(kNow);
    }

    std::optional<Selection> select(const Request& request) {
        const DecisionContext now = context();
        const SlowStart slowStart{now, capacity, loads, kinds};
        return WeightedSelection{now, fleet, slowStart, groups, arrivals}.select(request);
    }
    // The id of the selected endpoint; 0 if none is selected.
    std::uint64_t selected(const Request& request) {
        const std::optional<Selection> selection = select(request);
        return selection ? static_cast<std::uint64_t>(selection->endpoint) : 0;
    }
};

Request randomRequest(std::uint64_t randomNumber) {
    Request request;
    request.requestClass.idempotency = Idempotency::Idempotent;
    request.randomNumber = randomNumber;
    return request;
}

TEST(WeightedSelection, SelectsNothingWithoutUsableEndpoints) {
    SelectionFixture f;
    f.endpoints.setBanned(EndpointId{1}, true);
    f.endpoint(2).entry.availability = Availability::Draining;
    f.endpoint(3).healthCheckFailures = kUnhealthyAfterFailures;
    EXPECT_EQ(f.selected(randomRequest(1)), 0U);
    f.list({});
    EXPECT_EQ(f.selected(randomRequest(1)), 0U);
}

TEST(WeightedSelection, DependsOnRequestAndEndpointsOnly) {
    SelectionFixture f;
    SelectionFixture other;
    std::set<std::uint64_t> selected;
    for (std::uint64_t i = 0; i < 100; ++i) {
        EXPECT_EQ(f.selected(randomRequest(i)), other.selected(randomRequest(i)));
        selected.insert(f.selected(randomRequest(i)));
    }
    EXPECT_EQ(selected, (std::set<std::uint64_t>{1, 2, 3}));
}

TEST(WeightedSelection, LossOfAnEndpointMovesOnlyItsRequests) {
    SelectionFixture f;
    SelectionFixture withoutThird;
    withoutThird.endpoints.setBanned(EndpointId{3}, true);
    for (std::uint64_t i = 0; i < 200; ++i) {
        const std::uint64_t before = f.selected(randomRequest(i));
        if (before == 3) continue;
        EXPECT_EQ(withoutThird.selected(randomRequest(i)), before);
    }
}

TEST(WeightedSelection, PrefersEndpointsThatWereNotTried) {
    SelectionFixture f;
    for (std::uint64_t i = 0; i < 50; ++i) {
        Request request = randomRequest(i);
        request.triedEndpoints = {EndpointId{1}, EndpointId{3}};
        EXPECT_EQ(f.selected(request), 2U);
        request.triedEndpoints = {EndpointId{1}, EndpointId{2}, EndpointId{3}};
        EXPECT_EQ(f.selected(request), f.selected(randomRequest(i))) << "all endpoints were tried";
    }
}

TEST(WeightedSelection, EndpointsAboveCapacityGetOnlyRequestsThatMayNotBeRejected) {
    SelectionFixture f;
    for (const std::uint64_t id : {1U, 2U, 3U})
        f.report(id, 1.5);
    EXPECT_EQ(f.selected(randomRequest(1)), 0U);
    Request executed = randomRequest(1);
    executed.requestClass.idempotency = Idempotency::WithKey;
    executed.requestClass.deduplicationScope = DeduplicationScope::Cell;
    executed.requestClass.deduplicationWindow = 3600s;
    executed.mayHaveExecuted = true;
    executed.firstExecutionSentAt = kNow;
    EXPECT_NE(f.selected(executed), 0U);
}

TEST(WeightedSelection, BusyFleetUsesEndpointsWithSpareCapacityOnly) {
    SelectionFixture f;
    f.fleet.meanUtilisation = 90.0;
    f.report(1, 0.86);  // the threshold is 0.85
    f.report(2, 0.86);
    f.report(3, 0.84);
    for (std::uint64_t i = 0; i < 100; ++i) {
        EXPECT_EQ(f.selected(randomRequest(i)), 3U);
    }
}

TEST(WeightedSelection, PollsBestEndpointOfUnknownLoad) {
    SelectionFixture f;
    f.list({endpointEntry(1)});
    EXPECT_FALSE(f.select(randomRequest(1))->pollFirst);
    f.endpoint(1).reportedAt = kNow - 3s;
    EXPECT_TRUE(f.select(randomRequest(1))->pollFirst);
    f.settings.limits.healthChecks = false;
    EXPECT_FALSE(f.select(randomRequest(1))->pollFirst);
}

TEST(WeightedSelection, SuccessRateAndSlownessReduceTheShare) {
    SelectionFixture f;
    f.endpoint(1).successRate = 0.05;
    f.endpoint(2).slowdown = 10.0;
    std::map<std::uint64_t, int> counts;
    for (std::uint64_t i = 0; i < 2000; ++i)
        ++counts[f.selected(randomRequest(i))];
    EXPECT_NEAR(counts[1], 2000 * 0.05 / 1.15, 45);
    EXPECT_NEAR(counts[2], 2000 * 0.10 / 1.15, 60);
    EXPECT_EQ(counts[0], 0);
}

}  // namespace
}  // namespace ivyreel::test
