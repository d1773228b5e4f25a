#include "decision/request_placement.hpp"

#include <cstdint>
#include <optional>

#include "decision/connection_accounting.hpp"
#include "decision/duration_arithmetic.hpp"
#include "decision/endpoint_supervision.hpp"
#include "decision/load_polling.hpp"
#include "decision/retry_policy.hpp"
#include "decision/slow_start.hpp"
#include "decision/timers.hpp"
#include "decision/weighted_selection.hpp"

namespace ivyreel {
namespace {

constexpr double kMaxWaitShare = 0.8;    // of the latency objective: longest wait for capacity
constexpr double kMinRetryAfter = 0.25;  // of the maximum Retry-After; jitter raises it to up to 0.75

std::optional<Selection> select(DecisionState& state, const Request& request, Time now) {
    const DecisionContext context = state.contextAt(now);
    const FleetSnapshot& fleet = state.fleet.refresh(context, state.arrivals);
    const SlowStart slowStart(context, state.fleet.capacity(), state.loads, state.kinds);
    return WeightedSelection(context, fleet, slowStart, state.groups, state.arrivals).select(request);
}

void pollLoad(DecisionState& state, Request& request, EndpointId id, EventContext eventContext) {
    Endpoint& endpoint = *state.endpoints.find(id);
    if (wasPolledFor(request, endpoint)) return;
    if (!endpoint.healthCheck.outstanding) startHealthCheck(state, endpoint, eventContext);
    recordLoadPoll(request, endpoint, eventContext.now);
}

// Gives the final answer if the request may not be sent again, or if it may be rejected and has waited for
// kMaxWaitShare of its latency objective. Otherwise the request stays in the table, waiting for a load report
// or for an endpoint that is usable and has spare capacity.
void finishUnlessWaiting(DecisionState& state, RequestId id, Request& request, EventContext eventContext) {
    const Micros maxWait = scaled(request.requestClass.latencyObjective, kMaxWaitShare);
    const bool maxWaitReached = eventContext.now >= request.arrivedAt + maxWait;
    const bool retryImpossible = !mayBeSent(request, state.settings, eventContext.now);
    if (retryImpossible || (maxWaitReached && mayReject(request)))
        finishRequest(state, id, request, eventContext);
}

void startAttempt(DecisionState& state, RequestId id, Request& request, Endpoint& endpoint,
                  EventContext eventContext) {
    request.target = endpoint.entry;
    request.sentAt = eventContext.now;
    request.attemptOutstanding = true;
    ++request.attempts;
    // Departure, a new node: in a small fleet, a client that reconnects to a node which has just started
    // without inherited connections had its connection at another node before, so its load is not new to the
    // fleet. This prevents a node that takes over the clients of a stopping node from estimating all
    // endpoints as full.
    const bool fromAnotherNode =
        request.arrival.reconnecting && eventContext.now < state.reconnectsAreExistingLoadUntil;
    const RecentSend send{id, eventContext.now, request.load, fromAnotherNode};
    endpoint.recentSends.push_back(send);
    state.fleet.recordSend(send);
    endpoint.slowStartSlotsUsedUntil = eventContext.now;  // slots that were due before are used up
    addToConnectionCounts(state, request);
    const Micros timeout =
        attemptTimeout(request, state.settings.limits, state.setupTimes.meanMicros(), eventContext.now);
    eventContext.actions.emplace_back(StartAttempt{id, endpoint.entry.id, timeout});
}

bool isReportAwaited(const DecisionState& state, const Request& request, Time now) {
    const Endpoint* endpoint = state.endpoints.find(request.polledEndpoints.back());
    return endpoint != nullptr && canBePolled(*endpoint, request, state.settings, now);
}

}  // namespace

void placeRequest(DecisionState& state, RequestId id, Request& request, EventContext eventContext) {
    if (areAttemptsExhausted(request, state.settings.limits))
        return finishRequest(state, id, request, eventContext);
    if (eventContext.now >= finalAnswerDeadline(request, state.settings))
        return finishRequest(state, id, request, eventContext);
    // The snapshot is the one that was computed last; the selection below refreshes it.
    const bool fleetBusy = isFleetBusy(state.fleet.snapshot(), state.saturationThreshold);
    if (state.admission.shouldShed(request, state.settings, fleetBusy))
        return finishRequest(state, id, request, eventContext);
    const std::optional<Selection> selection = select(state, request, eventContext.now);
    request.waitsForReport = selection && selection->pollFirst;
    if (!selection) return finishUnlessWaiting(state, id, request, eventContext);
    if (selection->pollFirst) {
        pollLoad(state, request, selection->endpoint, eventContext);
        return finishUnlessWaiting(state, id, request, eventContext);
    }
    startAttempt(state, id, request, *state.endpoints.find(selection->endpoint), eventContext);
}

void retryWaitingRequests(DecisionState& state, RetryScope scope, EventContext eventContext) {
    for (const RequestId id : state.requests.unconnected()) {
        Request& request = *state.requests.find(id);
        if (request.attemptOutstanding) continue;
        const bool retry = request.waitsForReport ? !isReportAwaited(state, request, eventContext.now)
                                                  : scope == RetryScope::AllExceptAwaitingReport;
        if (retry) placeRequest(state, id, request, eventContext);
    }
}

void finishExpiredRequests(DecisionState& state, EventContext eventContext) {
    for (const RequestId id : state.requests.unconnected()) {
        const Request& request = *state.requests.find(id);
        if (eventContext.now >= finalAnswerDeadline(request, state.settings))
            finishRequest(state, id, request, eventContext);
    }
}

void finishRequest(DecisionState& state, RequestId id, const Request& request, EventContext eventContext) {
    const RequestLimits& limits = state.settings.limits;
    if (request.attemptOutstanding && limits.canCancelAttempts) {
        const AttemptIndex attempt{static_cast<std::uint8_t>(request.attempts - 1)};
        eventContext.actions.emplace_back(CancelAttempt{id, attempt});
    }
    if (mayReject(request)) {
        const Micros retryAfter = limits.sendRetryAfter
                                      ? scaled(limits.maxRetryAfter, kMinRetryAfter + state.random.next() / 2)
                                      : Micros{0};
        eventContext.actions.emplace_back(RejectRequest{id, retryAfter});
    } else {
        eventContext.actions.emplace_back(FailRequest{id});
    }
    if (request.attemptOutstanding) removeFromConnectionCounts(state, request);
    state.requests.erase(id);
}

void setRequestTimer(DecisionState& state, EventContext eventContext) {
    if (state.requestTimerSet || !state.requests.hasUnconnected()) return;
    state.requestTimerSet = true;
    eventContext.actions.emplace_back(SetTimer{requestTimerInterval(state.settings), kRequestTimer});
}

}  // namespace ivyreel
