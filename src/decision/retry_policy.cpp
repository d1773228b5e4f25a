#include "decision/retry_policy.hpp"

#include <algorithm>

#include "decision/timers.hpp"

namespace ivyreel {
namespace {

constexpr double kSetupTimesPerAttempt = 3.0;  // minimum timeout of an attempt, in mean setup times

bool isUnrestricted(const Request& request) {
    return !request.mayHaveExecuted || request.requestClass.idempotency == Idempotency::Idempotent;
}

// Compares with the list entry that the first endpoint had when the request was sent there, because the
// endpoint may have left the list since.
bool isInDeduplicationScope(const Request& request, const Endpoint& endpoint) {
    switch (request.requestClass.deduplicationScope) {
        case DeduplicationScope::All:
            return true;
        case DeduplicationScope::Zone:
            return request.firstExecution.zone == endpoint.entry.zone;
        case DeduplicationScope::Cell:
            return request.firstExecution.cell == endpoint.entry.cell;
    }
    return false;
}

}  // namespace

bool areAttemptsExhausted(const Request& request, const RequestLimits& limits) {
    return request.attempts >= std::min(request.maxAttempts, limits.maxAttempts);
}

bool mayBeSent(const Request& request, const Settings& settings, Time now) {
    if (isUnrestricted(request)) return true;
    if (request.requestClass.idempotency != Idempotency::WithKey) return false;
    const Time windowEnd = request.firstExecutionSentAt + request.requestClass.deduplicationWindow;
    return now + requestTimerInterval(settings) < windowEnd;
}

bool maySendTo(const Request& request, const Endpoint& endpoint, const Settings& settings, Time now) {
    if (isUnrestricted(request)) return true;
    return mayBeSent(request, settings, now) && isInDeduplicationScope(request, endpoint);
}

bool mayReject(const Request& request) {
    const RequestClassSettings& requestClass = request.requestClass;
    if (requestClass.idempotency == Idempotency::Idempotent) return true;
    const bool keyKnownEverywhere = requestClass.idempotency == Idempotency::WithKey &&
                                    requestClass.deduplicationScope == DeduplicationScope::All;
    return keyKnownEverywhere || (!request.mayHaveExecuted && !request.attemptOutstanding);
}

bool isExecutionPossible(Outcome outcome) {
    return outcome != Outcome::Rejected && outcome != Outcome::ConnectFailed && outcome != Outcome::NotSent;
}

Time finalAnswerDeadline(const Request& request, const Settings& settings) {
    return request.clientTimeoutAt - requestTimerInterval(settings) - settings.eventResolution;
}

Micros attemptTimeout(const Request& request, const RequestLimits& limits, double meanSetupMicros, Time now) {
    const Micros untilClientTimeout = request.clientTimeoutAt - now;
    if (areAttemptsExhausted(request, limits)) return untilClientTimeout;
    if (request.requestClass.idempotency == Idempotency::NonIdempotent) return untilClientTimeout;
    const Micros untilObjective = request.arrivedAt + request.requestClass.latencyObjective - now;
    const Micros setupAllowance{static_cast<Micros::rep>(kSetupTimesPerAttempt * meanSetupMicros)};
    const Micros minimumTimeout = std::max(limits.connectTimeout, setupAllowance);
    const Micros available = untilObjective > Micros{0} ? untilObjective : untilClientTimeout;
    return std::min(untilClientTimeout, std::max(minimumTimeout, available / 2));
}

}  // namespace ivyreel
