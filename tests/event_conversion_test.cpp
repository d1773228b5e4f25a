// Conversion of names to the decision engine's ids and indices, and the parser of load reports.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "request_tracker_fixture.hpp"
#include "requests/load_report_parser.hpp"

namespace ivyreel::test {
namespace {

using namespace std::chrono_literals;

TEST(RequestTracker, ConvertsNamesToIndicesAndAcceptsEndpointsThatAreReadyInTheList) {
    NodeSettings settings;
    settings.classNames = {"chat", "call"};
    settings.tenantNames = {"one", "two"};
    settings.zoneNames = {"a", "b"};
    settings.kindNames = {"m1", "m2"};
    settings.settings.groupAffinity = true;
    TrackerFixture f{settings};
    f.tracker.start({MemberEntry{"s-1", "b", "m2", 3, 2.0, Availability::Ready, 5s}});
    const EndpointListChanged cached = f.last<EndpointListChanged>();
    EXPECT_EQ(cached.kind, EndpointListKind::Cached);
    EXPECT_EQ(cached.endpoints.at(0).id, endpointIdOf("s-1"));
    EXPECT_EQ(cached.endpoints.at(0).zone, ZoneIndex{1});
    EXPECT_EQ(cached.endpoints.at(0).kind, KindIndex{1});
    EXPECT_EQ(cached.endpoints.at(0).startedAt, Time{5s});
    EXPECT_TRUE(f.tracker.isEligible(endpointIdOf("s-1")));

    f.tracker.endpointListReceived(false,
                                   {MemberEntry{"s-1", "b", "m2", 3, 2.0, Availability::Draining, 5s}});
    EXPECT_EQ(f.last<EndpointListChanged>().kind, EndpointListKind::Delta);
    EXPECT_FALSE(f.tracker.isEligible(endpointIdOf("s-1")));
    f.tracker.endpointListReceived(true, {MemberEntry{"s-2", "a", "m1", 0, 1.0, Availability::Ready, 0s}});
    EXPECT_EQ(f.last<EndpointListChanged>().kind, EndpointListKind::Full);
    EXPECT_TRUE(f.tracker.isEligible(endpointIdOf("s-2")));
    EXPECT_FALSE(f.tracker.isEligible(endpointIdOf("s-1")));
    f.tracker.endpointListReceived(false, {MemberEntry{"s-2", "a", "m1", 0, 1.0, Availability::Gone, 0s}});
    EXPECT_FALSE(f.tracker.isEligible(endpointIdOf("s-2")));

    f.tracker.endpointListReceived(false, {MemberEntry{"s-3", "c", "m1", 0, 1.0, Availability::Ready, 0s},
                                           MemberEntry{"s-4", "d", "m1", 0, 1.0, Availability::Ready, 0s},
                                           MemberEntry{"s-5", "c", "m1", 0, 1.0, Availability::Ready, 0s}});
    const EndpointListChanged further = f.last<EndpointListChanged>();
    EXPECT_EQ(further.endpoints.at(0).zone, further.endpoints.at(2).zone);
    EXPECT_NE(further.endpoints.at(0).zone, further.endpoints.at(1).zone)
        << "zones that the settings do not name have distinct indices: they share no idempotency keys";

    CountingListener listener;
    std::vector<Decision> decisions;
    TrackedRequest trackedRequest{f.tracker, listener,
                                  RequestAttributes{"call", "two", "g1", "k1", 900.0, 2s, true}};
    f.answer = [](const Event& event) { return forwardTo(event, EndpointId{7}); };
    takeInto(f.tracker, trackedRequest, decisions);
    const RequestArrived arrived = f.last<RequestArrived>();
    EXPECT_EQ(arrived.requestClass, RequestClassIndex{1});
    EXPECT_EQ(arrived.tenant, TenantIndex{1});
    EXPECT_NE(arrived.group, GroupId{0});
    EXPECT_EQ(arrived.loadHint, 900.0);
    EXPECT_EQ(arrived.clientTimeout, Micros{2s});
    EXPECT_TRUE(arrived.reconnecting);
}

TEST(RequestTracker, AnEmptyOrAllZeroGroupOrKeyMeansNoValue) {
    NodeSettings settings;
    settings.settings.groupAffinity = true;
    TrackerFixture f{settings};
    CountingListener listener;
    for (const char* none : {"", "0000000000000000"}) {
        RequestAttributes attributes;
        attributes.group = none;
        attributes.key = none;
        TrackedRequest trackedRequest{f.tracker, listener, attributes};
        std::vector<Decision> decisions;
        f.answer = [](const Event& event) { return forwardTo(event, EndpointId{7}); };
        takeInto(f.tracker, trackedRequest, decisions);
        EXPECT_EQ(f.last<RequestArrived>().group, GroupId{0});
        EXPECT_EQ(f.last<RequestArrived>().flowKey, FlowKey{0});
        f.answer = nullptr;
    }
}

TEST(LoadReportParser, ParsesKnownFieldsAndIgnoresOthers) {
    const auto load = parseLoadReport("inflight=7,queue=2,util=0.61,x0=1.5,odd=3,broken=,nonsense");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->activeRequests, 7.0);
    EXPECT_EQ(load->queuedRequests, 2.0);
    EXPECT_EQ(load->cpuUtilisation, 0.61);
    EXPECT_EQ(load->loadOverCapacity, 1.5);
    EXPECT_FALSE(load->latencyMs);
    EXPECT_FALSE(parseLoadReport(""));
    EXPECT_FALSE(parseLoadReport("broken"));
    EXPECT_FALSE(parseLoadReport("x0=inf,util=nan,inflight=-inf"))
        << "values that are not finite are ignored";
}

// Guards against infinite estimates: sums of values that the wire format cannot hold overflow.
TEST(LoadReportParser, IgnoresValuesThatExceedSinglePrecision) {
    EXPECT_FALSE(parseLoadReport("x0=1e308,util=-1e308,inflight=3.5e38"));
    const auto load = parseLoadReport("x0=1e308,util=3.4e38");
    ASSERT_TRUE(load);
    EXPECT_FALSE(load->loadOverCapacity);
    EXPECT_EQ(load->cpuUtilisation, 3.4e38);
}

}  // namespace
}  // namespace ivyreel::test
