// Waiting for spare capacity, load shedding, and tenant quotas.
#include "decision/admission_control.hpp"

#include <gtest/gtest.h>

#include <cstdint>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(AdmissionControl, WaitsForCapacityThenRejectsWithinLatencyObjective) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 3, 1.3);
    const RequestId request = d.submitRequest();
    d.advance(300ms);
    EXPECT_EQ(d.finalAnswers(request), 0);
    d.advance(500ms);
    EXPECT_EQ(d.rejections(request), 1);
    EXPECT_EQ(d.attempts(request), 0);
    const int withRetryAfter = d.count<RejectRequest>(
        [](const RejectRequest& a) { return a.retryAfter > 0ms && a.retryAfter <= 1500ms; });
    EXPECT_EQ(withRetryAfter, 1);
}

TEST(AdmissionControl, SendsQueuedRequestWhenCapacityAppears) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 2, 1.3);
    const RequestId request = d.submitRequest();
    EXPECT_EQ(d.attempts(request), 0);
    d.deliver(HealthCheckCompleted{EndpointId{2}, Outcome::Ok, 1ms, loadReport(0.4)});
    EXPECT_EQ(d.target(request), 2U);
}

TEST(AdmissionControl, RetryThatMayNotBeRejectedIsSpreadEvenlyOverFullEndpoints) {
    Settings settings = defaultSettings();
    settings.classes[0].idempotency = Idempotency::WithKey;
    settings.classes[0].deduplicationScope = DeduplicationScope::Zone;
    int second = 0;
    for (std::uint64_t seed = 0; seed < 400; ++seed) {
        settings.seed = seed;
        DecisionEngineDriver d = makeFleet(settings, 3, 0.3);
        const RequestId request = d.submitRequest();
        const std::uint64_t first = d.target(request);
        for (std::uint64_t id = 1; id <= 3; ++id) {
            d.deliver(HealthCheckCompleted{EndpointId{id}, Outcome::Ok, 1ms, loadReport(1.5)});
        }
        d.endAttempt(request, Outcome::Error);
        ASSERT_EQ(d.attempts(request), 2);
        if (d.target(request) == first % 3 + 1) ++second;
    }
    EXPECT_NEAR(second, 200, 50);  // five standard deviations
}

TEST(AdmissionControl, TenantOverQuotaIsRejectedOnBusyFleet) {
    Settings settings = defaultSettings();
    settings.overQuotaPriorityWeight = 0.1;
    settings.tenants = {TenantSettings{0.5, 30.0}, TenantSettings{0.5, 30.0}};
    DecisionEngineDriver d = makeFleet(settings, 3, 0.5);
    for (int i = 0; i < 18; ++i) {
        // 18 connections at one of 3 nodes, whose part of the quota is 10.
        d.establishConnection(d.submitRequest(0, 3200ms, 0, 0));
        d.advance(1s);
    }
    EXPECT_NE(d.target(d.submitRequest(0, 3200ms, 0, 0)), 0U)
        << "no request is rejected while there is spare capacity";
    for (std::uint64_t id = 1; id <= 3; ++id) {
        d.setReportedLoad(id, 0.8);
    }
    d.advance(5s);
    EXPECT_EQ(d.rejections(d.submitRequest(0, 3200ms, 0, 0)), 1) << "the tenant is over its quota";
    EXPECT_EQ(d.rejections(d.submitRequest(0, 3200ms, 0, 1)), 0) << "the tenant is within its quota";
}

TEST(AdmissionControl, FewConnectionsDoNotPutTenantOverQuota) {
    Settings settings = defaultSettings();
    settings.nodes = 300;
    settings.overQuotaPriorityWeight = 0.1;
    settings.tenants = {TenantSettings{0.5, 450.0}, TenantSettings{0.5, 450.0}};
    DecisionEngineDriver d = makeFleet(settings, 3, 0.7);
    d.advance(2s);
    for (int i = 0; i < 3; ++i) {  // quota 1.5 a node; times 300 nodes: 900 of 450
        const RequestId request = d.submitRequest();
        d.advance(20ms);
        EXPECT_EQ(d.finalAnswers(request), 0);
        d.establishConnection(request);
    }
}

// ---- AdmissionControl without the engine ----

// Three nodes. The quota of tenant 0 is 30 connections, 10 at each node; tenant 1 has no quota.
Settings quotaSettings() {
    Settings settings = defaultSettings();
    settings.overQuotaPriorityWeight = 0.1;
    settings.tenants = {TenantSettings{0.5, 30.0}, TenantSettings{0.5, 0.0}};
    return settings;
}

Request requestOfTenant(std::uint32_t tenant) {
    Request request;
    request.arrival.tenant = TenantIndex{tenant};
    request.requestClass.idempotency = Idempotency::Idempotent;
    return request;
}

AdmissionControl admissionWithConnections(std::uint32_t tenant, int connections) {
    AdmissionControl admission;
    admission.setTenantCount(2);
    admission.changeConnections(TenantIndex{tenant}, connections);
    return admission;
}

TEST(AdmissionControl, ShedsFromTwoDeviationsAboveTheQuotaOn) {
    // 10 + 2 * sqrt(10) is 16.3.
    EXPECT_FALSE(admissionWithConnections(0, 16).shouldShed(requestOfTenant(0), quotaSettings(), true));
    EXPECT_TRUE(admissionWithConnections(0, 17).shouldShed(requestOfTenant(0), quotaSettings(), true));
}

TEST(AdmissionControl, ShedsOnABusyFleetOnly) {
    EXPECT_FALSE(admissionWithConnections(0, 1000).shouldShed(requestOfTenant(0), quotaSettings(), false));
}

TEST(AdmissionControl, ShedsOnlyIfTenantsOverQuotaHaveLowerPriority) {
    Settings settings = quotaSettings();
    settings.overQuotaPriorityWeight = 1.0;
    EXPECT_FALSE(admissionWithConnections(0, 1000).shouldShed(requestOfTenant(0), settings, true));
}

TEST(AdmissionControl, IgnoresUnknownTenantsAndThoseWithoutQuota) {
    AdmissionControl admission = admissionWithConnections(1, 1000);
    admission.changeConnections(TenantIndex{7}, 1000);
    EXPECT_FALSE(admission.shouldShed(requestOfTenant(1), quotaSettings(), true));
    EXPECT_FALSE(admission.shouldShed(requestOfTenant(7), quotaSettings(), true));
    EXPECT_FALSE(AdmissionControl{}.shouldShed(requestOfTenant(0), quotaSettings(), true));
}

TEST(AdmissionControl, DoesNotShedRequestThatMayNotBeRejected) {
    Request request = requestOfTenant(0);
    request.requestClass.idempotency = Idempotency::NonIdempotent;
    request.mayHaveExecuted = true;
    EXPECT_FALSE(admissionWithConnections(0, 1000).shouldShed(request, quotaSettings(), true));
}

TEST(AdmissionControl, KeepsCountsWhenTenantsAreAdded) {
    AdmissionControl admission = admissionWithConnections(0, 17);
    admission.setTenantCount(5);
    admission.setTenantCount(1);
    EXPECT_TRUE(admission.shouldShed(requestOfTenant(0), quotaSettings(), true));
    admission.changeConnections(TenantIndex{0}, -1);
    EXPECT_FALSE(admission.shouldShed(requestOfTenant(0), quotaSettings(), true));
}

TEST(AdmissionControl, FleetIsBusyNearTheSaturationThreshold) {
    const SaturationThreshold threshold{defaultSettings()};  // 0.85
    FleetSnapshot fleet;
    fleet.meanUtilisation = 74.9;
    EXPECT_FALSE(isFleetBusy(fleet, threshold));
    fleet.meanUtilisation = 75.1;
    EXPECT_TRUE(isFleetBusy(fleet, threshold));
}

}  // namespace
}  // namespace ivyreel::test
