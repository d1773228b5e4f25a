#include "proxy/request_session.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "protocol/keywords.hpp"
#include "proxy/relay.hpp"

namespace ivyreel {

namespace {

using namespace std::chrono_literals;

constexpr Micros kResumeTimeout = 35s;
constexpr Micros kResumeRetryInterval = 250ms;
constexpr double kClientTimeoutClampMs = 1e9;  // the timeout of a resumed connection is not validated
constexpr double kMicrosPerMilli = 1e3;

}  // namespace

RequestAttributes RequestSession::attributes() const {
    RequestAttributes result;
    result.requestClass = opening_.value(opening_attribute::kRequestClass);
    result.tenant = opening_.value(opening_attribute::kTenant);
    result.group = opening_.value(opening_attribute::kGroup);
    result.key = opening_.key();
    result.loadHint = opening_.loadHint();
    const double timeout = opening_.number(opening_attribute::kTimeout).value_or(0.0);
    const double timeoutMs = std::clamp(timeout, 0.0, kClientTimeoutClampMs);
    result.clientTimeout = Micros{static_cast<Micros::rep>(timeoutMs * kMicrosPerMilli)};
    result.reconnecting = opening_.value(opening_attribute::kReconnecting) == "1";
    return result;
}

// Waits for the next decision. Returns none as soon as the client has disconnected or sent more data, so that
// no further attempt is made for it.
Task<std::optional<Decision>> RequestSession::awaitDecision(TrackedRequest& trackedRequest) {
    for (;;) {
        connections_.client.receive();
        if (connections_.clientEndedRequest()) co_return std::nullopt;
        if (const auto decision = context_.tracker.takeDecision(trackedRequest)) co_return decision;
        co_await connections_.signal.wait();
    }
}

Task<void> RequestSession::serveNewRequest(RequestClassMetrics& classMetrics) {
    TrackedRequest trackedRequest{context_.tracker, connections_, attributes()};
    std::optional<ScopedRegistration<TrackedRequest>> pending{std::in_place, context_.active.pending,
                                                              trackedRequest};
    RelayState relayState;
    for (;;) {
        const std::optional<Decision> decision = co_await awaitDecision(trackedRequest);
        if (!decision) co_return co_await abandon(trackedRequest, classMetrics);
        if (const auto* rejection = std::get_if<Rejection>(&*decision))
            co_return co_await responses_.sendBusy(connections_, classMetrics, rejection->retryAfter);
        if (std::holds_alternative<RequestFailure>(*decision))
            co_return co_await responses_.sendFailure(connections_, classMetrics);
        const ForwardTo forward = std::get<ForwardTo>(*decision);
        const AttemptTarget target{forward.endpoint, forward.timeout, false};
        const AttemptResult result =
            co_await context_.connector.attempt(connections_, trackedRequest, opening_, target, classMetrics);
        switch (result.kind) {
            case AttemptResult::Kind::Up:
                context_.tracker.connectionEstablished(trackedRequest, result.elapsed);
                pending.reset();
                ++context_.metrics.established;
                ++classMetrics.answered;
                co_return co_await relay(trackedRequest, relayState);
            case AttemptResult::Kind::ClientEndedRequest:
                co_return co_await abandon(trackedRequest, classMetrics);
            case AttemptResult::Kind::Cancelled:
                ++context_.metrics.attemptsCancelled;
                break;
            case AttemptResult::Kind::Failed:
                context_.metrics.count(result.outcome);
                context_.tracker.attemptEnded(trackedRequest, result.outcome, result.elapsed, result.load);
                break;
        }
    }
}

Task<void> RequestSession::resume(RequestClassMetrics& classMetrics) {
    TrackedRequest trackedRequest{context_.tracker, connections_, attributes()};
    std::optional<ScopedRegistration<ConnectionPair>> established{
        std::in_place, context_.active.relayedOrResuming, connections_};
    const EndpointId endpoint = endpointIdOf(opening_.value(opening_attribute::kCurrentEndpoint));
    const Time deadline = context_.scheduler.now() + kResumeTimeout;
    RelayState relayState;
    while (context_.scheduler.now() < deadline && !connections_.migrationRequested) {
        const AttemptTarget target{endpoint, deadline - context_.scheduler.now(), true};
        const AttemptResult result =
            co_await context_.connector.attempt(connections_, trackedRequest, opening_, target, classMetrics);
        if (result.kind == AttemptResult::Kind::ClientEndedRequest)
            co_return co_await abandon(trackedRequest, classMetrics);
        if (result.kind == AttemptResult::Kind::Up) {
            established.reset();
            ++context_.metrics.resumed;
            context_.tracker.connectionResumed(trackedRequest, endpoint);
            ++context_.metrics.established;
            ++classMetrics.answered;
            co_return co_await relay(trackedRequest, relayState);
        }
        const bool clientWaits = co_await waitBeforeRetry();
        if (!clientWaits) co_return co_await abandon(trackedRequest, classMetrics);
    }
    co_await responses_.sendFailure(connections_, classMetrics);
}

// Waits until the next attempt to resume is due. Returns false if the client has disconnected or sent more
// data in the meantime.
Task<bool> RequestSession::waitBeforeRetry() {
    const Time retryAt = context_.scheduler.now() + kResumeRetryInterval;
    while (context_.scheduler.now() < retryAt && !connections_.migrationRequested) {
        connections_.client.receive();
        if (connections_.clientEndedRequest()) co_return false;
        co_await connections_.signal.wait(retryAt);
    }
    co_return true;
}

Task<void> RequestSession::relay(TrackedRequest& trackedRequest, RelayState& state) {
    const ScopedRegistration established{context_.active.relayedOrResuming, connections_};
    Relay relay{connections_, trackedRequest, context_.tracker, context_.metrics, state};
    const bool handedOver = co_await relay.run();
    if (!handedOver) co_return;
    ++context_.metrics.handedOver;
    connections_.successor->transferConnection(
        {opening_.withTimeout(Micros{0}), trackedRequest.endpoint(), trackedRequest.load(), std::move(state),
         connections_.client.socket.release(), connections_.upstream.socket.release()});
}

// Ends the request of a client that has disconnected, or has sent more data, before its answer.
Task<void> RequestSession::abandon(TrackedRequest& trackedRequest, RequestClassMetrics& classMetrics) {
    context_.tracker.abandon(trackedRequest);
    if (!connections_.client.input.empty())
        co_return co_await responses_.rejectInput(connections_, InputError::UnexpectedInput, &classMetrics);
    ++context_.metrics.clientsDisconnected;
}

}  // namespace ivyreel
