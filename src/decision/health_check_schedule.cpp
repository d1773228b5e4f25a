#include "decision/health_check_schedule.hpp"

#include <algorithm>

#include "decision/duration_arithmetic.hpp"
#include "decision/outlier_detection.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

// A load report changes at most once a second (draft-rosenberg-dispatch-cloudsip, 9.2.1).
constexpr Micros kMinInterval = 1s;
constexpr Micros kMaxInterval = 4500ms;    // even a late answer arrives before the last report is 5 s old
constexpr double kChecksPerRequest = 4.0;  // periodic checks of all endpoints over requests, maximum
constexpr Micros kConfirmationInterval = 250ms;  // the draft's health check interval (9.1.1)
constexpr double kLateMultiple = 1.5;        // of the mean round trip; the network alone causes such delays
constexpr double kLateMarginMicros = 2'000;  // added to the limit; smaller differences are random
constexpr double kRoundTripWeight = 0.4;     // weight of one check in the mean round trip

void recordAnswer(Endpoint& endpoint, double roundTripMicros, bool confirmIfLate, Time now) {
    endpoint.healthCheckFailures = 0;
    const bool first = endpoint.roundTripMicros <= 0.0;
    const double limit = kLateMultiple * endpoint.roundTripMicros + kLateMarginMicros;
    if (!first && roundTripMicros > limit && confirmIfLate) scheduleConfirmation(endpoint, now);
    endpoint.roundTripMicros +=
        (roundTripMicros - endpoint.roundTripMicros) * (first ? 1.0 : kRoundTripWeight);
    recordAnsweredHealthCheck(endpoint);
}

}  // namespace

bool isSmallFleet(std::uint32_t nodes) {
    return nodes * kMinInterval <= kMaxInterval;
}

std::optional<Micros> periodicHealthCheckInterval(std::size_t endpoints, double arrivalsPerSecond,
                                                  std::uint32_t nodes) {
    const double checksPerSecond = kChecksPerRequest * arrivalsPerSecond;
    const double intervalSeconds = static_cast<double>(endpoints) / checksPerSecond;
    if (intervalSeconds <= seconds(kMaxInterval)) return std::max(kMinInterval, scaled(1s, intervalSeconds));
    return isSmallFleet(nodes) ? std::optional(kMaxInterval) : std::nullopt;
}

bool isHealthCheckDue(const Endpoint& endpoint, std::optional<Micros> periodicInterval, Time now) {
    const HealthCheckState& check = endpoint.healthCheck;
    if (!endpoint.listed || check.outstanding) return false;
    if (now >= check.extraCheckAt) return true;
    const bool isPeriodic =
        periodicInterval || endpoint.connectionsFromThisNode > 0 || endpoint.healthCheckFailures > 0;
    if (!isPeriodic) return false;
    const Time dueAt =
        check.startedAt + scaled(periodicInterval.value_or(kMaxInterval), check.nextIntervalFactor);
    return check.nextIntervalFactor == 0.0 || now >= dueAt;
}

void recordHealthCheckStart(Endpoint& endpoint, Time now, SplitMix64& random) {
    HealthCheckState& check = endpoint.healthCheck;
    check.nextIntervalFactor = check.nextIntervalFactor == 0.0 ? 0.5 + random.next() : 1.0;
    check.extraCheckAt = Time::max();
    check.startedAt = now;
    check.outstanding = true;
}

void scheduleConfirmation(Endpoint& endpoint, Time now) {
    if (endpoint.healthCheckFailures > kUnhealthyAfterFailures) return;
    endpoint.healthCheck.extraCheckAt = now + kConfirmationInterval;
}

void scheduleImmediateCheck(Endpoint& endpoint, Time now) {
    if (now - endpoint.healthCheck.startedAt >= kConfirmationInterval)
        endpoint.healthCheck.extraCheckAt = now;
}

void recordHealthCheckResult(Endpoint& endpoint, const HealthCheckCompleted& result, const Settings& settings,
                             Time now) {
    HealthCheckState& check = endpoint.healthCheck;
    check.outstanding = false;
    const bool unanswered =
        result.outcome == Outcome::Timeout ||
        (result.outcome == Outcome::ConnectFailed && result.elapsed >= settings.limits.connectTimeout);
    check.consecutiveUnanswered = unanswered ? check.consecutiveUnanswered + 1 : 0;
    if (result.outcome == Outcome::Ok) {
        const auto roundTripMicros = static_cast<double>(result.elapsed.count());
        recordAnswer(endpoint, roundTripMicros, isSmallFleet(settings.nodes), now);
    } else if (result.outcome != Outcome::Rejected) {
        ++endpoint.healthCheckFailures;
        scheduleConfirmation(endpoint, now);
    }
}

}  // namespace ivyreel
