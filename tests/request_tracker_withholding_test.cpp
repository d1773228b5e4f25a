// Withholding of endpoints because of their own responses, and bans by operators.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "request_tracker_fixture.hpp"

namespace ivyreel::test {
namespace {

using namespace std::chrono_literals;

// Three ready endpoints and a stale list. The first endpoint drains, and the engine forwards every request to
// it.
struct StaleListFixture : TrackerFixture {
    const EndpointId draining = endpointIdOf("s-1");
    CountingListener listener;

    StaleListFixture() {
        tracker.start({ready("s-1"), ready("s-2"), ready("s-3")});
        freshness(ListFreshness::State::Stale);
        answer = [this](const Event& event) { return forwardTo(event, draining); };
    }

    static MemberEntry ready(const std::string& name) {
        return {name, "", "", 0, 1.0, Availability::Ready, 0s};
    }

    void freshness(ListFreshness::State state) { tracker.setListFreshness({state, clock}); }

    // The state of the latest ban event that the engine got for an endpoint; nullopt if there was none.
    std::optional<bool> reportedBan(EndpointId endpoint) const {
        std::optional<bool> reported;
        for (const Event& event : events) {
            const auto* ban = std::get_if<EndpointBanChanged>(&event);
            if (ban != nullptr && ban->endpoint == endpoint) reported = ban->banned;
        }
        return reported;
    }

    // Starts a request whose attempt is rejected with BUSY.
    void rejectAttempt(const std::optional<LoadReport>& load) {
        TrackedRequest trackedRequest{tracker, listener, RequestAttributes{}};
        ASSERT_TRUE(tracker.takeDecision(trackedRequest));
        tracker.attemptEnded(trackedRequest, Outcome::Rejected, 1ms, load);
    }

    static LoadReport load(double share) {
        LoadReport report;
        report.loadOverCapacity = share;
        return report;
    }
};

TEST(RequestTracker, KeepsABanAcrossListChangesAndRejectsABanOfAnUnknownEndpoint) {
    TrackerFixture f;
    const MemberEntry endpoint{"s-1", "", "", 0, 1.0, Availability::Ready, 0s};
    EXPECT_FALSE(f.tracker.setEndpointDisabled(endpointIdOf("s-1"), true));
    EXPECT_TRUE(f.events.empty());
    f.tracker.start({endpoint});
    EXPECT_EQ(f.tracker.listedEndpointCount(), 1U);
    EXPECT_TRUE(f.tracker.setEndpointDisabled(endpointIdOf("s-1"), true));
    EXPECT_TRUE(f.last<EndpointBanChanged>().banned);
    EXPECT_FALSE(f.tracker.isEligible(endpointIdOf("s-1")));
    EXPECT_EQ(f.tracker.listedEndpointCount(), 1U) << "a banned endpoint is still listed";
    f.tracker.endpointListReceived(true, {});
    EXPECT_EQ(f.tracker.listedEndpointCount(), 0U);
    f.tracker.endpointListReceived(true, {endpoint});
    EXPECT_FALSE(f.tracker.isEligible(endpointIdOf("s-1"))) << "listed again, and still banned";
    f.tracker.endpointListReceived(false, {MemberEntry{"s-1", "", "", 0, 1.0, Availability::Gone, 0s}});
    EXPECT_TRUE(f.tracker.setEndpointDisabled(endpointIdOf("s-1"), false))
        << "an endpoint that is no longer listed is known";
    EXPECT_FALSE(f.last<EndpointBanChanged>().banned);
    f.tracker.endpointListReceived(false, {endpoint});
    EXPECT_TRUE(f.tracker.isEligible(endpointIdOf("s-1")));
}

TEST(RequestTrackerWithholding, AnEndpointThatSentMoveIsWithheldUntilTheListIsLive) {
    StaleListFixture f;
    EXPECT_EQ(f.reportedBan(f.draining), std::nullopt);
    f.tracker.endpointSentMove(f.draining);
    EXPECT_EQ(f.reportedBan(f.draining), true);
    EXPECT_FALSE(f.tracker.isEligible(f.draining));
    EXPECT_TRUE(f.tracker.isEligible(endpointIdOf("s-2")));
    EXPECT_EQ(f.withheld, 1);
    f.tracker.endpointSentMove(f.draining);
    EXPECT_EQ(f.withheld, 1) << "the second MOVE is from the same endpoint";
    f.freshness(ListFreshness::State::Live);
    EXPECT_EQ(f.reportedBan(f.draining), false);
    EXPECT_TRUE(f.tracker.isEligible(f.draining));
    EXPECT_EQ(f.withheldCleared, 1);
}

TEST(RequestTrackerWithholding, NothingIsWithheldWhileTheListIsLiveWhichIsItsInitialState) {
    TrackerFixture f;
    f.tracker.start({StaleListFixture::ready("s-1"), StaleListFixture::ready("s-2")});
    f.tracker.endpointSentMove(endpointIdOf("s-1"));
    EXPECT_TRUE(f.tracker.isEligible(endpointIdOf("s-1")));
    EXPECT_EQ(f.withheld, 0);
}

// Guards against a release before the list change, after which the engine would select the draining endpoint.
TEST(RequestTrackerWithholding, AnEndpointListedAsDrainingIsReleasedAfterTheEngineHasTheList) {
    StaleListFixture f;
    f.tracker.endpointSentMove(f.draining);
    f.tracker.endpointListReceived(false, {MemberEntry{"s-1", "", "", 0, 1.0, Availability::Draining, 0s}});
    ASSERT_GE(f.events.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<EndpointListChanged>(f.events[f.events.size() - 2]));
    EXPECT_FALSE(f.last<EndpointBanChanged>().banned);
    EXPECT_FALSE(f.tracker.isEligible(f.draining)) << "the list says that the endpoint drains";
}

TEST(RequestTrackerWithholding, ALaterStartTimeInTheListReleasesTheEndpoint) {
    StaleListFixture f;
    f.tracker.endpointSentMove(f.draining);
    f.tracker.endpointListReceived(false, {MemberEntry{"s-1", "", "", 0, 1.0, Availability::Ready, 5s}});
    EXPECT_TRUE(f.tracker.isEligible(f.draining));
}

TEST(RequestTrackerWithholding, AnAcceptedConnectionReleasesOnlyIfItsAttemptStartedAfterTheEvidence) {
    StaleListFixture f;
    TrackedRequest early{f.tracker, f.listener, RequestAttributes{}};
    ASSERT_TRUE(f.tracker.takeDecision(early));
    f.clock += 10ms;
    f.tracker.endpointSentMove(f.draining);
    f.clock += 10ms;
    f.tracker.connectionEstablished(early, 20ms);
    EXPECT_FALSE(f.tracker.isEligible(f.draining));
    TrackedRequest late{f.tracker, f.listener, RequestAttributes{}};
    ASSERT_TRUE(f.tracker.takeDecision(late));
    f.tracker.connectionEstablished(late, 20ms);
    EXPECT_TRUE(f.tracker.isEligible(f.draining));
    EXPECT_EQ(f.reportedBan(f.draining), false);
}

TEST(RequestTrackerWithholding, AnAttemptDecidedBeforeTheEvidenceIsNoLongerValid) {
    StaleListFixture f;
    TrackedRequest trackedRequest{f.tracker, f.listener, RequestAttributes{}};
    ASSERT_TRUE(f.tracker.takeDecision(trackedRequest));
    EXPECT_TRUE(f.tracker.isAttemptStillValid(trackedRequest, f.draining));
    f.tracker.endpointSentMove(f.draining);
    EXPECT_FALSE(f.tracker.isAttemptStillValid(trackedRequest, f.draining));
}

TEST(RequestTrackerWithholding, TwoRejectionsBelowCapacityWithholdBeforeTheEngineDecidesAgain) {
    StaleListFixture f;
    f.tracker.healthCheckCompleted(f.draining, Outcome::Ok, 1ms, StaleListFixture::load(0.3));
    f.rejectAttempt(std::nullopt);
    EXPECT_TRUE(f.tracker.isEligible(f.draining));
    TrackedRequest trackedRequest{f.tracker, f.listener, RequestAttributes{}};
    ASSERT_TRUE(f.tracker.takeDecision(trackedRequest));
    f.tracker.attemptEnded(trackedRequest, Outcome::Rejected, 1ms, std::nullopt);
    EXPECT_FALSE(f.tracker.isEligible(f.draining));
    EXPECT_TRUE(f.last<AttemptEnded>().endpoint == f.draining);
    EXPECT_TRUE(std::get<EndpointBanChanged>(f.events[f.events.size() - 2]).banned);
}

TEST(RequestTrackerWithholding, LoadReportsOfEndedConnectionsCountAsUtilisation) {
    StaleListFixture f;
    TrackedRequest served{f.tracker, f.listener, RequestAttributes{}};
    f.tracker.connectionResumed(served, f.draining);
    f.tracker.connectionEnded(served, Outcome::Ok, StaleListFixture::load(0.3));
    f.rejectAttempt(std::nullopt);
    f.rejectAttempt(std::nullopt);
    EXPECT_FALSE(f.tracker.isEligible(f.draining));
}

TEST(RequestTrackerWithholding, RejectionsAtCapacityDoNotWithhold) {
    StaleListFixture f;
    f.tracker.healthCheckCompleted(f.draining, Outcome::Ok, 1ms, StaleListFixture::load(0.3));
    for (int i = 0; i < 4; ++i) {
        f.rejectAttempt(StaleListFixture::load(0.95));
    }
    EXPECT_TRUE(f.tracker.isEligible(f.draining));
    EXPECT_EQ(f.withheld, 0);
}

TEST(RequestTrackerWithholding, OtherFailuresDoNotWithhold) {
    StaleListFixture f;
    f.tracker.healthCheckCompleted(f.draining, Outcome::Ok, 1ms, StaleListFixture::load(0.3));
    for (const Outcome outcome : {Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::ConnectFailed}) {
        TrackedRequest trackedRequest{f.tracker, f.listener, RequestAttributes{}};
        ASSERT_TRUE(f.tracker.takeDecision(trackedRequest));
        f.tracker.attemptEnded(trackedRequest, outcome, 1ms, std::nullopt);
    }
    EXPECT_TRUE(f.tracker.isEligible(f.draining));
}

TEST(RequestTrackerWithholding, AnOperatorBanAndWithholdingDoNotLiftEachOther) {
    StaleListFixture f;
    f.tracker.endpointSentMove(f.draining);
    f.tracker.setEndpointDisabled(f.draining, true);
    f.tracker.setEndpointDisabled(f.draining, false);
    EXPECT_EQ(f.reportedBan(f.draining), true) << "the endpoint is still withheld";
    EXPECT_FALSE(f.tracker.isEligible(f.draining));
    f.tracker.setEndpointDisabled(f.draining, true);
    f.freshness(ListFreshness::State::Live);
    EXPECT_EQ(f.reportedBan(f.draining), true) << "the endpoint is still banned";
    EXPECT_FALSE(f.tracker.isEligible(f.draining));
    f.tracker.setEndpointDisabled(f.draining, false);
    EXPECT_EQ(f.reportedBan(f.draining), false);
    EXPECT_TRUE(f.tracker.isEligible(f.draining));
}

// If the engine got a release while the other cause remains, it would forward waiting requests immediately.
TEST(RequestTrackerWithholding, TheEngineGetsNoReleaseWhileABanOrWithholdingRemains) {
    StaleListFixture f;
    f.tracker.endpointSentMove(f.draining);
    f.tracker.setEndpointDisabled(f.draining, true);
    f.tracker.setEndpointDisabled(f.draining, false);
    for (const Event& event : f.events) {
        const auto* ban = std::get_if<EndpointBanChanged>(&event);
        EXPECT_TRUE(ban == nullptr || ban->banned);
    }
}

TEST(RequestTrackerWithholding, NeverWithholdsTheLastEndpointThatIsNotBanned) {
    StaleListFixture f;
    f.tracker.setEndpointDisabled(endpointIdOf("s-2"), true);
    f.tracker.setEndpointDisabled(endpointIdOf("s-3"), true);
    f.tracker.endpointSentMove(f.draining);
    EXPECT_TRUE(f.tracker.isEligible(f.draining));
    f.tracker.setEndpointDisabled(endpointIdOf("s-2"), false);
    EXPECT_FALSE(f.tracker.isEligible(f.draining));
}

TEST(RequestTrackerWithholding, AWithheldEndpointIsNotExportedAsBanned) {
    StaleListFixture f;
    f.tracker.endpointSentMove(f.draining);
    f.tracker.setEndpointDisabled(endpointIdOf("s-2"), true);
    EXPECT_EQ(f.tracker.exportState().banned, std::vector{endpointIdOf("s-2")});
}

TEST(RequestTrackerWithholding, ExpiresAfterTheEvidenceLifetime) {
    StaleListFixture f;
    f.tracker.endpointSentMove(f.draining);
    EXPECT_EQ(f.tracker.runDueTimers(), f.clock + kEvidenceLifetime);
    f.clock += kEvidenceLifetime;
    EXPECT_EQ(f.tracker.runDueTimers(), Time::max());
    EXPECT_EQ(f.reportedBan(f.draining), false);
    EXPECT_TRUE(f.tracker.isEligible(f.draining));
}

// Uses the real decision engine.
TEST(RequestTrackerWithholding, TheDecisionEngineSelectsNoWithheldEndpoint) {
    struct SilentEnvironment final : TrackerEnvironment {
        Time clock = 1000s;
        Time now() const override { return clock; }
        void startHealthCheck(EndpointId) override {}
        void startWatchingEndpointList() override {}
    };
    SilentEnvironment environment;
    NodeSettings settings;
    settings.classNames = {"chat"};
    settings.settings.classes.emplace_back();
    settings.settings.limits.maxAttempts = 3;
    RequestTracker tracker{settings, environment};
    const EndpointId draining = endpointIdOf("s-1");
    tracker.start({StaleListFixture::ready("s-1"), StaleListFixture::ready("s-2")});
    CountingListener listener;
    const auto decisionsForDraining = [&] {
        int count = 0;
        for (int i = 0; i < 60; ++i) {
            environment.clock += 50ms;
            tracker.runDueTimers();
            RequestAttributes attributes;
            attributes.requestClass = "chat";
            attributes.clientTimeout = 3s;
            TrackedRequest trackedRequest{tracker, listener, attributes};
            const auto decision = tracker.takeDecision(trackedRequest);
            const auto* forward = decision ? std::get_if<ForwardTo>(&*decision) : nullptr;
            EXPECT_NE(forward, nullptr);
            if (forward != nullptr && forward->endpoint == draining) ++count;
        }
        return count;
    };
    EXPECT_GT(decisionsForDraining(), 0);
    tracker.setListFreshness({ListFreshness::State::Stale, environment.clock});
    tracker.endpointSentMove(draining);
    EXPECT_EQ(decisionsForDraining(), 0);
    tracker.setListFreshness({ListFreshness::State::Live, environment.clock});
    EXPECT_GT(decisionsForDraining(), 0);
}

}  // namespace
}  // namespace ivyreel::test
