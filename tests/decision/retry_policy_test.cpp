// Which failed attempts are retried, at which endpoints, and until when.
#include "decision/retry_policy.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

#include "decision_fixture.hpp"

namespace ivyreel::test {
namespace {

TEST(RetryPolicy, IdempotentRequestIsRetriedElsewhereAfterAnyFailure) {
    for (const Outcome outcome :
         {Outcome::Error, Outcome::Rejected, Outcome::Timeout, Outcome::ConnectFailed, Outcome::Reset}) {
        DecisionEngineDriver d = makeDriver(defaultSettings(), {endpointEntry(1), endpointEntry(2)});
        const RequestId request = d.submitRequest();
        const std::uint64_t first = d.target(request);
        d.endAttempt(request, outcome);
        EXPECT_EQ(d.attempts(request), 2);
        EXPECT_NE(d.target(request), first);
    }
}

TEST(RetryPolicy, NonIdempotentRequestIsRetriedOnlyIfNeverExecuted) {
    for (const Outcome outcome : {Outcome::Rejected, Outcome::ConnectFailed}) {
        DecisionEngineDriver d =
            makeDriver(withIdempotency(Idempotency::NonIdempotent), {endpointEntry(1), endpointEntry(2)});
        const RequestId request = d.submitRequest();
        d.endAttempt(request, outcome);
        EXPECT_EQ(d.attempts(request), 2);
    }
    for (const Outcome outcome : {Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled}) {
        DecisionEngineDriver d =
            makeDriver(withIdempotency(Idempotency::NonIdempotent), {endpointEntry(1), endpointEntry(2)});
        const RequestId request = d.submitRequest();
        d.endAttempt(request, outcome);
        EXPECT_EQ(d.attempts(request), 1);
        EXPECT_EQ(d.rejections(request), 0);
        EXPECT_EQ(d.failures(request), 1);
    }
}

TEST(RetryPolicy, RetryWithKeyStaysInDeduplicationScope) {
    const std::vector<EndpointEntry> endpoints = {endpointEntry(1, 0, 1), endpointEntry(2, 0, 2),
                                                  endpointEntry(3, 1, 1), endpointEntry(4, 1, 2)};
    for (int i = 0; i < 40; ++i) {
        DecisionEngineDriver byZone =
            makeDriver(withIdempotency(Idempotency::WithKey, DeduplicationScope::Zone), endpoints);
        for (int skip = 0; skip < i; ++skip) {
            byZone.submitRequest();  // varies the random numbers
        }
        const RequestId request = byZone.submitRequest();
        const std::uint64_t first = byZone.target(request);
        byZone.endAttempt(request, Outcome::Timeout);
        EXPECT_EQ((byZone.target(request) + 1) / 2, (first + 1) / 2);
        byZone.endAttempt(request, Outcome::Timeout);
        EXPECT_EQ((byZone.target(request) + 1) / 2, (first + 1) / 2)
            << "the retry stays in the zone after both endpoints of the zone were tried";

        DecisionEngineDriver byCell =
            makeDriver(withIdempotency(Idempotency::WithKey, DeduplicationScope::Cell), endpoints);
        for (int skip = 0; skip < i; ++skip) {
            byCell.submitRequest();
        }
        const RequestId other = byCell.submitRequest();
        const std::uint64_t start = byCell.target(other);
        byCell.endAttempt(other, Outcome::Reset);
        EXPECT_EQ(byCell.target(other) % 2, start % 2);
    }
}

TEST(RetryPolicy, UnexecutedRequestWithKeyMayLeaveScope) {
    DecisionEngineDriver d = makeDriver(withIdempotency(Idempotency::WithKey, DeduplicationScope::Cell),
                                        {endpointEntry(1, 0, 1), endpointEntry(2, 0, 2)});
    const RequestId request = d.submitRequest();
    const std::uint64_t first = d.target(request);
    d.endAttempt(request, Outcome::ConnectFailed);
    EXPECT_EQ(d.target(request), 3 - first);
}

TEST(RetryPolicy, NoRetryAfterDeduplicationWindow) {
    Settings settings = withIdempotency(Idempotency::WithKey, DeduplicationScope::All);
    settings.classes[0].deduplicationWindow = 1s;
    DecisionEngineDriver d = makeDriver(settings, {endpointEntry(1), endpointEntry(2)});
    const RequestId request = d.submitRequest();
    d.advance(1100ms);
    d.endAttempt(request, Outcome::Timeout);
    EXPECT_EQ(d.attempts(request), 1);
    EXPECT_EQ(d.finalAnswers(request), 1);
}

// Guards against a second execution: if the connection is established after the window, the endpoints no
// longer know the idempotency key.
TEST(RetryPolicy, AttemptIsInvalidAfterDeduplicationWindow) {
    Settings settings = withIdempotency(Idempotency::WithKey, DeduplicationScope::All);
    settings.classes[0].deduplicationWindow = 1s;
    DecisionEngineDriver d = makeDriver(settings, {endpointEntry(1), endpointEntry(2)});
    const RequestId request = d.submitRequest();
    EXPECT_TRUE(d.isAttemptStillValid(request));
    d.advance(900ms);
    d.endAttempt(request, Outcome::Timeout);
    ASSERT_EQ(d.attempts(request), 2);
    EXPECT_TRUE(d.isAttemptStillValid(request));
    d.advance(90ms);
    EXPECT_FALSE(d.isAttemptStillValid(request));
    d.endAttempt(request, Outcome::NotSent);
    EXPECT_EQ(d.attempts(request), 2);
    EXPECT_EQ(d.finalAnswers(request), 1);
}

TEST(RetryPolicy, AttemptIsInvalidAfterEndpointChange) {
    EndpointEntry restarted = endpointEntry(1);
    restarted.startedAt = 900s;
    EndpointEntry draining = endpointEntry(1);
    draining.availability = Availability::Draining;
    for (const EndpointEntry& changed : {restarted, draining}) {
        DecisionEngineDriver d = makeDriver(defaultSettings(), {endpointEntry(1)});
        const RequestId request = d.submitRequest();
        EXPECT_TRUE(d.isAttemptStillValid(request));
        d.updateEndpointList({changed}, EndpointListKind::Delta);
        EXPECT_FALSE(d.isAttemptStillValid(request));
    }
    DecisionEngineDriver d = makeDriver(defaultSettings(), {endpointEntry(1)});
    const RequestId request = d.submitRequest();
    d.deliver(EndpointBanChanged{EndpointId{1}, true});
    EXPECT_FALSE(d.isAttemptStillValid(request));
    d.deliver(EndpointBanChanged{EndpointId{1}, false});
    EXPECT_TRUE(d.isAttemptStillValid(request));
    d.deliver(ClientDisconnected{request});
    EXPECT_FALSE(d.isAttemptStillValid(request));
}

// Guards against losing the deduplication scope when the first endpoint leaves the list.
TEST(RetryPolicy, RetryStaysInScopeOfEndpointThatLeft) {
    for (const DeduplicationScope scope : {DeduplicationScope::Zone, DeduplicationScope::Cell}) {
        DecisionEngineDriver d =
            makeDriver(withIdempotency(Idempotency::WithKey, scope), {endpointEntry(1, 1, 1)});
        const RequestId request = d.submitRequest();
        ASSERT_EQ(d.target(request), 1U);
        d.updateEndpointList({}, EndpointListKind::Full);
        d.endAttempt(request, Outcome::Reset);
        ASSERT_EQ(d.finalAnswers(request), 0);
        d.updateEndpointList({endpointEntry(2, 0, 0), endpointEntry(3, 1, 1)});
        d.advance(200ms);
        EXPECT_EQ(d.target(request), 3U);
    }
}

TEST(RetryPolicy, RequestWithKeyThatMayHaveExecutedIsRejectedOnlyIfScopeIsAll) {
    for (const DeduplicationScope scope :
         {DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell}) {
        Settings settings = withIdempotency(Idempotency::WithKey, scope);
        settings.limits.maxAttempts = 1;
        DecisionEngineDriver d = makeDriver(settings, {endpointEntry(1), endpointEntry(2)});
        const RequestId request = d.submitRequest();
        d.endAttempt(request, Outcome::Error);
        EXPECT_EQ(d.rejections(request), scope == DeduplicationScope::All ? 1 : 0);
        EXPECT_EQ(d.finalAnswers(request), 1);
    }
}

TEST(RetryPolicy, NoConcurrentAttemptsEvenWhereHedgingIsAllowed) {
    for (const bool hedging : {false, true}) {
        Settings settings = defaultSettings();
        settings.limits.hedgedRequests = hedging;
        DecisionEngineDriver d = makeDriver(settings, {endpointEntry(1), endpointEntry(2), endpointEntry(3)});
        const RequestId request = d.submitRequest();
        d.advance(2s);
        EXPECT_EQ(d.attempts(request), 1);
    }
}

TEST(RetryPolicy, UnknownClassIsNonIdempotent) {
    DecisionEngineDriver d = makeFleet(defaultSettings(), 2, 0.5);
    const RequestId request = d.submitRequest(0, 3200ms, 17);
    d.endAttempt(request, Outcome::Timeout);
    EXPECT_EQ(d.attempts(request), 1);
    EXPECT_EQ(d.failures(request), 1);
}

// ---- retry policy without the engine ----

// A request that an attempt may have executed.
Request executedRequest(Idempotency idempotency, DeduplicationScope scope = DeduplicationScope::All) {
    Request request;
    request.requestClass.idempotency = idempotency;
    request.requestClass.deduplicationScope = scope;
    request.requestClass.deduplicationWindow = 1s;
    request.mayHaveExecuted = true;
    request.firstExecutionSentAt = kNow;
    request.firstExecution = endpointEntry(1, 2, 3);
    return request;
}

Endpoint endpointIn(std::uint32_t zone, std::uint32_t cell) {
    Endpoint endpoint;
    endpoint.entry = endpointEntry(9, zone, cell);
    return endpoint;
}

TEST(RetryPolicy, OnlySomeOutcomesRuleOutExecution) {
    for (const Outcome outcome : {Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent}) {
        EXPECT_FALSE(isExecutionPossible(outcome));
    }
    for (const Outcome outcome :
         {Outcome::Ok, Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled}) {
        EXPECT_TRUE(isExecutionPossible(outcome));
    }
}

TEST(RetryPolicy, SmallerAttemptLimitApplies) {
    Request request;
    request.maxAttempts = 3;
    RequestLimits limits;
    limits.maxAttempts = 2;
    request.attempts = 1;
    EXPECT_FALSE(areAttemptsExhausted(request, limits));
    request.attempts = 2;
    EXPECT_TRUE(areAttemptsExhausted(request, limits));
    limits.maxAttempts = 5;
    EXPECT_FALSE(areAttemptsExhausted(request, limits));
    request.attempts = 3;
    EXPECT_TRUE(areAttemptsExhausted(request, limits));
}

TEST(RetryPolicy, DeduplicationWindowEndsOneTimerIntervalEarly) {
    const Settings settings = defaultSettings();
    const Request request = executedRequest(Idempotency::WithKey);
    const Time end = kNow + 1s - 20ms;
    EXPECT_TRUE(mayBeSent(request, settings, end - 1us));
    EXPECT_FALSE(mayBeSent(request, settings, end));
    EXPECT_TRUE(mayBeSent(executedRequest(Idempotency::Idempotent), settings, end));
    EXPECT_FALSE(mayBeSent(executedRequest(Idempotency::NonIdempotent), settings, kNow));
}

TEST(RetryPolicy, UnexecutedRequestIsNotRestricted) {
    Request request = executedRequest(Idempotency::NonIdempotent, DeduplicationScope::Cell);
    request.mayHaveExecuted = false;
    EXPECT_TRUE(mayBeSent(request, defaultSettings(), kNow + 3600s));
    EXPECT_TRUE(maySendTo(request, endpointIn(7, 7), defaultSettings(), kNow + 3600s));
}

TEST(RetryPolicy, EndpointsOutsideOfTheScopeAreExcluded) {
    const Settings settings = defaultSettings();
    const Request byZone = executedRequest(Idempotency::WithKey, DeduplicationScope::Zone);
    EXPECT_TRUE(maySendTo(byZone, endpointIn(2, 0), settings, kNow));
    EXPECT_FALSE(maySendTo(byZone, endpointIn(1, 3), settings, kNow));
    const Request byCell = executedRequest(Idempotency::WithKey, DeduplicationScope::Cell);
    EXPECT_TRUE(maySendTo(byCell, endpointIn(0, 3), settings, kNow));
    EXPECT_FALSE(maySendTo(byCell, endpointIn(2, 0), settings, kNow));
    EXPECT_TRUE(maySendTo(executedRequest(Idempotency::WithKey), endpointIn(7, 7), settings, kNow));
}

TEST(RetryPolicy, RejectionNeedsIdempotencyOrNoExecution) {
    Request request = executedRequest(Idempotency::NonIdempotent);
    EXPECT_FALSE(mayReject(request));
    request.mayHaveExecuted = false;
    EXPECT_TRUE(mayReject(request));
    request.attemptOutstanding = true;
    EXPECT_FALSE(mayReject(request));
    EXPECT_TRUE(mayReject(executedRequest(Idempotency::Idempotent)));
    EXPECT_TRUE(mayReject(executedRequest(Idempotency::WithKey, DeduplicationScope::All)));
    EXPECT_FALSE(mayReject(executedRequest(Idempotency::WithKey, DeduplicationScope::Zone)));
}

TEST(RetryPolicy, FinalAnswerDeadlineAllowsForTimerAndEventResolution) {
    Settings settings = defaultSettings();
    settings.eventResolution = 50ms;
    Request request;
    request.clientTimeoutAt = kNow;
    EXPECT_EQ(finalAnswerDeadline(request, settings), kNow - 100ms);
}

// The timeout of an attempt that starts `elapsed` after the arrival. The latency objective is 800 ms, the
// client timeout 3 s.
Micros timeoutAfter(Micros elapsed, int attempts = 1, double meanSetupMicros = 0.0,
                    Idempotency idempotency = Idempotency::Idempotent) {
    Request request;
    request.requestClass.idempotency = idempotency;
    request.requestClass.latencyObjective = 800ms;
    request.arrivedAt = kNow;
    request.clientTimeoutAt = kNow + 3s;
    request.maxAttempts = 4;
    request.attempts = attempts;
    RequestLimits limits;
    limits.maxAttempts = 4;
    limits.connectTimeout = 250ms;
    return attemptTimeout(request, limits, meanSetupMicros, kNow + elapsed);
}

TEST(RetryPolicy, AttemptTimeoutIsHalfOfRemainingTime) {
    EXPECT_EQ(timeoutAfter(0ms), 400ms);
    EXPECT_EQ(timeoutAfter(600ms), 250ms) << "no less than the connect timeout";
    EXPECT_EQ(timeoutAfter(1s), 1s)
        << "half of the time until the client timeout, as the objective has passed";
    EXPECT_EQ(timeoutAfter(0ms, 1, 200'000), 600ms) << "no less than three times the usual setup time";
}

TEST(RetryPolicy, AttemptTimeoutNeverExceedsClientTimeout) {
    EXPECT_EQ(timeoutAfter(2900ms), 100ms);
    EXPECT_EQ(timeoutAfter(0ms, 1, 1e9), 3s);
}

TEST(RetryPolicy, LastAttemptTimeoutExtendsToClientTimeout) {
    EXPECT_EQ(timeoutAfter(0ms, 4), 3s);
    EXPECT_EQ(timeoutAfter(0ms, 1, 0.0, Idempotency::NonIdempotent), 3s);
}

}  // namespace
}  // namespace ivyreel::test
