// Requests from their arrival to the end of their connections.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "request_tracker_fixture.hpp"

namespace ivyreel::test {
namespace {

using namespace std::chrono_literals;

TEST(RequestTracker, ReturnsADecisionThatTheEngineMakesImmediately) {
    TrackerFixture f;
    f.answer = [](const Event& event) { return forwardTo(event, EndpointId{7}); };
    CountingListener listener;
    TrackedRequest trackedRequest{f.tracker, listener, RequestAttributes{}};
    std::vector<Decision> decisions;
    takeInto(f.tracker, trackedRequest, decisions);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(std::get<ForwardTo>(decisions[0]).endpoint, EndpointId{7});
    EXPECT_EQ(std::get<ForwardTo>(decisions[0]).timeout, 300ms);
    EXPECT_FALSE(trackedRequest.hasPendingDecision());
}

TEST(RequestTracker, HasNoDecisionWhileTheEngineHoldsTheRequestAndThenNotifiesTheListenerOnce) {
    TrackerFixture f;
    CountingListener listener;
    TrackedRequest trackedRequest{f.tracker, listener, RequestAttributes{}};
    std::vector<Decision> decisions;
    takeInto(f.tracker, trackedRequest, decisions);
    EXPECT_TRUE(decisions.empty());
    const RequestId id = f.last<RequestArrived>().request;
    f.answer = [id](const Event&) { return std::vector<Action>{RejectRequest{id, 400ms}}; };
    f.tracker.healthCheckCompleted(EndpointId{1}, Outcome::Ok, 1ms, std::nullopt);
    EXPECT_EQ(listener.notifications, 1);
    EXPECT_TRUE(trackedRequest.hasPendingDecision());
    const std::size_t before = f.events.size();
    takeInto(f.tracker, trackedRequest, decisions);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(std::get<Rejection>(decisions[0]).retryAfter, 400ms);
    EXPECT_FALSE(trackedRequest.hasPendingDecision());
    EXPECT_EQ(listener.notifications, 1);
    EXPECT_EQ(f.events.size(), before) << "the engine gets the request only once";
}

TEST(RequestTracker, AFailedAttemptLeadsToTheNextDecision) {
    TrackerFixture f;
    f.answer = [](const Event& event) { return forwardTo(event, EndpointId{7}); };
    CountingListener listener;
    TrackedRequest trackedRequest{f.tracker, listener, RequestAttributes{}};
    std::vector<Decision> decisions;
    takeInto(f.tracker, trackedRequest, decisions);
    f.answer = [](const Event& event) {
        return std::vector<Action>{StartAttempt{std::get<AttemptEnded>(event).request, EndpointId{8}, 200ms}};
    };
    f.tracker.attemptEnded(trackedRequest, Outcome::Rejected, 3ms, std::nullopt);
    const AttemptEnded ended = f.last<AttemptEnded>();
    EXPECT_EQ(ended.endpoint, EndpointId{7});
    EXPECT_EQ(ended.attempt, AttemptIndex{0});
    EXPECT_EQ(ended.outcome, Outcome::Rejected);
    EXPECT_FALSE(ended.requestEnded);
    takeInto(f.tracker, trackedRequest, decisions);
    ASSERT_EQ(decisions.size(), 2U);
    EXPECT_EQ(std::get<ForwardTo>(decisions[1]).endpoint, EndpointId{8});
    f.answer = nullptr;
    f.tracker.connectionEstablished(trackedRequest, 5ms);
    EXPECT_EQ(f.last<ConnectionEstablished>().attempt, AttemptIndex{1});
    EXPECT_EQ(f.last<ConnectionEstablished>().endpoint, EndpointId{8});
}

TEST(RequestTracker, ADecisionDuringAnAttemptCancelsIt) {
    TrackerFixture f;
    f.answer = [](const Event& event) { return forwardTo(event, EndpointId{7}); };
    CountingListener listener;
    TrackedRequest trackedRequest{f.tracker, listener, RequestAttributes{}};
    std::vector<Decision> decisions;
    takeInto(f.tracker, trackedRequest, decisions);
    const RequestId id = f.last<RequestArrived>().request;
    const int before = listener.notifications;
    f.answer = [id](const Event&) {
        return std::vector<Action>{CancelAttempt{id, AttemptIndex{0}}, FailRequest{id}};
    };
    f.tracker.endpointListFailed();
    EXPECT_TRUE(trackedRequest.hasPendingDecision());
    EXPECT_EQ(listener.notifications, before + 1);
    takeInto(f.tracker, trackedRequest, decisions);
    ASSERT_EQ(decisions.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<RequestFailure>(decisions[1]));
}

TEST(RequestTracker, ReportsADisconnectedClientUnlessItsRequestHasEnded) {
    TrackerFixture f;
    f.answer = [](const Event& event) { return forwardTo(event, EndpointId{7}); };
    CountingListener listener;
    std::vector<Decision> decisions;
    {
        TrackedRequest trackedRequest{f.tracker, listener, RequestAttributes{}};
        takeInto(f.tracker, trackedRequest, decisions);
    }
    EXPECT_TRUE(std::holds_alternative<ClientDisconnected>(f.events.back()));
    {
        TrackedRequest trackedRequest{f.tracker, listener, RequestAttributes{}};
        takeInto(f.tracker, trackedRequest, decisions);
        f.tracker.connectionEstablished(trackedRequest, 1ms);
        f.tracker.connectionEnded(trackedRequest, Outcome::Ok, std::nullopt);
        EXPECT_TRUE(f.last<AttemptEnded>().requestEnded);
    }
    EXPECT_TRUE(std::holds_alternative<AttemptEnded>(f.events.back()));
    { const TrackedRequest never{f.tracker, listener, RequestAttributes{}}; }
    EXPECT_TRUE(std::holds_alternative<AttemptEnded>(f.events.back()))
        << "the engine does not know a request for which no decision was taken";
}

TEST(RequestTracker, AbandonFailsARequestAndCancelsItsAttempt) {
    TrackerFixture f;
    CountingListener listener;
    std::vector<Decision> decisions;
    TrackedRequest waiting{f.tracker, listener, RequestAttributes{}};
    takeInto(f.tracker, waiting, decisions);
    EXPECT_TRUE(decisions.empty());
    f.tracker.abandon(waiting);
    EXPECT_TRUE(std::holds_alternative<ClientDisconnected>(f.events.back()));
    EXPECT_EQ(listener.notifications, 1);
    takeInto(f.tracker, waiting, decisions);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<RequestFailure>(decisions[0]));

    f.answer = [](const Event& event) { return forwardTo(event, EndpointId{7}); };
    TrackedRequest out{f.tracker, listener, RequestAttributes{}};
    takeInto(f.tracker, out, decisions);
    EXPECT_FALSE(out.hasPendingDecision());
    f.tracker.abandon(out);
    EXPECT_TRUE(out.hasPendingDecision());
    const std::size_t before = f.events.size();
    f.tracker.abandon(out);
    EXPECT_EQ(f.events.size(), before) << "the second call has no effect";
}

TEST(RequestTracker, AMigrationNotifiesTheListenerAndEndsReportsToTheEngine) {
    TrackerFixture f;
    CountingListener listener;
    TrackedRequest trackedRequest{f.tracker, listener, RequestAttributes{}};
    f.tracker.connectionResumed(trackedRequest, EndpointId{3});
    EXPECT_EQ(f.last<ConnectionResumed>().endpoint, EndpointId{3});
    const RequestId id = f.last<ConnectionResumed>().request.request;
    f.answer = [id](const Event&) { return std::vector<Action>{MigrateConnection{id}}; };
    f.tracker.loadLineReceived(trackedRequest, 40'000);
    EXPECT_TRUE(trackedRequest.shouldMigrate());
    EXPECT_EQ(listener.notifications, 1);
    const std::size_t before = f.events.size();
    f.tracker.connectionEnded(trackedRequest, Outcome::Cancelled, std::nullopt);
    EXPECT_EQ(f.events.size(), before);
}

// An established connection with an expected load of 50,000 us of work per second.
struct EstablishedConnection : TrackerFixture {
    explicit EstablishedConnection(bool reportsMessageDelay)
        : TrackerFixture(settingsWith(reportsMessageDelay)) {
        tracker.connectionResumed(trackedRequest, EndpointId{3});
    }
    static NodeSettings settingsWith(bool reportsMessageDelay) {
        NodeSettings settings;
        settings.reportsMessageDelay = reportsMessageDelay;
        return settings;
    }
    static RequestAttributes attributesWithLoad() {
        RequestAttributes attributes;
        attributes.loadHint = 50'000;
        return attributes;
    }
    CountingListener listener;
    TrackedRequest trackedRequest{tracker, listener, attributesWithLoad()};
};

// Endpoints report loads and message delays on the same line. A delay that counts as a load would make a slow
// endpoint look idle.
TEST(RequestTracker, AFigureFarBelowTheExpectedLoadIsAMessageDelay) {
    EstablishedConnection f{true};
    f.tracker.loadLineReceived(f.trackedRequest, 23.5);
    EXPECT_EQ(f.last<MessageDelayMeasured>().delayMs, 23.5);
    EXPECT_EQ(f.trackedRequest.load(), 50'000);
    f.tracker.loadLineReceived(f.trackedRequest, 5'000);
    EXPECT_EQ(f.last<ConnectionLoadMeasured>().load, 5'000) << "idle";
}

TEST(RequestTracker, EveryFigureIsALoadWhereEndpointsReportNoMessageDelay) {
    EstablishedConnection f{false};
    f.tracker.loadLineReceived(f.trackedRequest, 23.5);
    EXPECT_EQ(f.last<ConnectionLoadMeasured>().load, 23.5);
}

TEST(RequestTracker, TickRunsTimersThatAreDueAndReturnsTheNextDueTime) {
    TrackerFixture f;
    EXPECT_EQ(f.tracker.runDueTimers(), Time::max());
    f.answer = [](const Event& event) {
        if (std::holds_alternative<Started>(event))
            return std::vector<Action>{SetTimer{20ms, TimerToken{1}}, SetTimer{50ms, TimerToken{2}},
                                       WatchEndpoints{}, StartHealthCheck{EndpointId{4}}};
        return std::vector<Action>{};
    };
    f.tracker.start({});
    EXPECT_EQ(f.listWatches, 1);
    EXPECT_EQ(f.healthChecks, std::vector{EndpointId{4}});
    EXPECT_EQ(f.tracker.runDueTimers(), f.clock + 20ms);
    f.clock += 30ms;
    EXPECT_EQ(f.tracker.runDueTimers(), f.clock + 20ms);
    EXPECT_EQ(f.last<TimerExpired>().token, TimerToken{1});
}

}  // namespace
}  // namespace ivyreel::test
