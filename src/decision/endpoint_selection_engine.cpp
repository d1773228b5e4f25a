#include "decision/endpoint_selection_engine.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "decision/connection_accounting.hpp"
#include "decision/duration_arithmetic.hpp"
#include "decision/endpoint_supervision.hpp"
#include "decision/health_check_schedule.hpp"
#include "decision/message_delay.hpp"
#include "decision/outlier_detection.hpp"
#include "decision/request_placement.hpp"
#include "decision/retry_policy.hpp"
#include "decision/timers.hpp"

namespace ivyreel {
namespace {

using namespace std::chrono_literals;

constexpr Micros kNewNodePeriod = 5s;  // longer than a node takes to stop

const RequestClassSettings& classSettings(const Settings& settings, RequestClassIndex requestClass) {
    static const RequestClassSettings kUnlisted;  // strictest settings: not idempotent
    const auto index = static_cast<std::size_t>(requestClass);
    return index < settings.classes.size() ? settings.classes[index] : kUnlisted;
}

}  // namespace

EndpointSelectionEngine::EndpointSelectionEngine(Settings settings) : state_(std::move(settings)) {
    applySettings();
}

void EndpointSelectionEngine::handle(Time now, const Event& event, std::vector<Action>& actions) {
    const EventContext eventContext{now, actions};
    std::visit([this, eventContext](const auto& alternative) { on(alternative, eventContext); }, event);
}

// ---- start, settings, learned state ----

void EndpointSelectionEngine::on(const Started& /*event*/, EventContext eventContext) {
    state_.startedAt = eventContext.now;
    state_.arrivals.start(eventContext.now);
    if (isSmallFleet(state_.settings.nodes))
        state_.reconnectsAreExistingLoadUntil = eventContext.now + kNewNodePeriod;
    if (state_.settings.discoveryMode == DiscoveryMode::Poll) pollEndpointList(eventContext);
    const Micros firstDelay =
        scaled(endpointTimerInterval(state_.settings), state_.random.next()) + Micros{1};
    eventContext.actions.emplace_back(SetTimer{firstDelay, kEndpointTimer});
}

// The learned state is kept, and each request keeps the class settings of its arrival.
void EndpointSelectionEngine::on(const SettingsChanged& event, EventContext eventContext) {
    state_.saturationThreshold.changeSettings(state_.settings, event.settings);
    state_.settings = event.settings;
    applySettings();
    retryWaitingRequests(state_, RetryScope::AllExceptAwaitingReport, eventContext);
}

void EndpointSelectionEngine::applySettings() {
    state_.loads.setClassCount(state_.settings.classes.size());
    state_.admission.setTenantCount(state_.settings.tenants.size());
}

// An estimate that is not finite is useless to the successor: it gets the estimates of a new node, and no
// record of that endpoint.
LearnedState EndpointSelectionEngine::learnedState(Time now) const {
    LearnedState result;
    result.fleet = learnedFleetState(now);
    if (!isFinite(*result.fleet))
        result.fleet = EndpointSelectionEngine(state_.settings).learnedFleetState(now);
    for (const Endpoint& endpoint : state_.endpoints) {
        const LearnedEndpointState& learned = endpoint;
        if (isFinite(learned))
            result.endpoints.push_back({endpoint.entry.id, endpoint.entry.startedAt, learned});
    }
    return result;
}

LearnedFleetState EndpointSelectionEngine::learnedFleetState(Time now) const {
    LearnedFleetState learned;
    state_.arrivals.store(learned, now);
    state_.loads.store(learned);
    state_.saturationThreshold.store(learned);
    state_.setupTimes.store(learned);
    state_.fleet.store(learned);
    return learned;
}

// Departure, inherited state: after an upgrade the node continues with the learned state of its predecessor,
// except for endpoints that have restarted since. This prevents a node from losing all learned state at each
// upgrade.
void EndpointSelectionEngine::on(const LearnedStateInherited& event, EventContext eventContext) {
    if (event.learnedState.fleet) restore(*event.learnedState.fleet, eventContext.now);
    for (const LearnedState::EndpointRecord& record : event.learnedState.endpoints) {
        Endpoint* endpoint = state_.endpoints.find(record.id);
        if (endpoint != nullptr && endpoint->entry.startedAt == record.startedAt)
            static_cast<LearnedEndpointState&>(*endpoint) = record.state;
    }
}

void EndpointSelectionEngine::restore(const LearnedFleetState& learned, Time now) {
    state_.arrivals.restore(learned, now);
    state_.loads.restore(learned);
    state_.saturationThreshold.restore(learned);
    state_.setupTimes.restore(learned);
    state_.fleet.restore(learned);
    applySettings();
}

// ---- timers ----

void EndpointSelectionEngine::on(const TimerExpired& event, EventContext eventContext) {
    if (event.token == kRequestTimer) return runRequestTimer(eventContext);
    runEndpointTimer(eventContext);
}

void EndpointSelectionEngine::runRequestTimer(EventContext eventContext) {
    state_.requestTimerSet = false;
    finishExpiredRequests(state_, eventContext);
    retryWaitingRequests(state_, RetryScope::PollResolved, eventContext);
    setRequestTimer(state_, eventContext);
}

void EndpointSelectionEngine::runEndpointTimer(EventContext eventContext) {
    eventContext.actions.emplace_back(SetTimer{endpointTimerInterval(state_.settings), kEndpointTimer});
    // A report removes the sends that it includes; without reports, sends expire here.
    state_.endpoints.removeSendsBefore(eventContext.now - kReportLifetime);
    if (state_.settings.discoveryMode == DiscoveryMode::Poll && state_.listPolling.isDue(eventContext.now))
        pollEndpointList(eventContext);
    startDueHealthChecks(state_, eventContext);
    retryWaitingRequests(state_, RetryScope::AllExceptAwaitingReport, eventContext);
    evacuateEndpoints(state_, eventContext);
}

// ---- endpoint list and bans ----

void EndpointSelectionEngine::on(const EndpointListChanged& event, EventContext eventContext) {
    if (event.kind == EndpointListKind::Failed)
        return state_.listPolling.recordFailure(
            eventContext.now, state_.settings.operatingLimits.maxPollInterval, state_.random);
    if (event.kind != EndpointListKind::Cached) state_.listPolling.recordSuccess();
    state_.endpoints.apply(event, state_.settings.weightKind, eventContext.now, state_.startedAt);
    startDueHealthChecks(state_, eventContext);
    retryWaitingRequests(state_, RetryScope::AllExceptAwaitingReport, eventContext);
}

void EndpointSelectionEngine::on(const EndpointBanChanged& event, EventContext eventContext) {
    state_.endpoints.setBanned(event.endpoint, event.banned);
    retryWaitingRequests(state_, RetryScope::AllExceptAwaitingReport, eventContext);
}

void EndpointSelectionEngine::pollEndpointList(EventContext eventContext) {
    eventContext.actions.emplace_back(WatchEndpoints{});
    state_.listPolling.recordPoll(eventContext.now, state_.settings.operatingLimits.maxPollInterval);
}

// ---- health checks and load reports ----

void EndpointSelectionEngine::on(const HealthCheckCompleted& event, EventContext eventContext) {
    Endpoint* endpoint = state_.endpoints.find(event.endpoint);
    if (endpoint == nullptr) return;
    recordHealthCheckResult(*endpoint, event, state_.settings, eventContext.now);
    if (event.report) processLoadReport(state_, *endpoint, *event.report, eventContext);
    const double limit = kFullUtilisation * state_.saturationThreshold.withTolerance();
    const bool hasSpareCapacity = event.report && endpoint->utilisation < limit;
    retryWaitingRequests(state_,
                         hasSpareCapacity ? RetryScope::AllExceptAwaitingReport : RetryScope::PollResolved,
                         eventContext);
}

// ---- lifecycle of a request ----

void EndpointSelectionEngine::on(const RequestArrived& event, EventContext eventContext) {
    Request& request = state_.requests.findOrAdd(event.request);
    state_.requests.markUnconnected(event.request);
    initialise(request, event, eventContext.now);
    request.clientTimeoutAt = eventContext.now + event.clientTimeout;
    request.randomNumber = state_.random.bits();
    state_.arrivals.recordArrival(eventContext.now);
    state_.loads.recordArrival(request.load);
    placeRequest(state_, event.request, request, eventContext);
    setRequestTimer(state_, eventContext);
}

void EndpointSelectionEngine::initialise(Request& request, const RequestArrived& arrival, Time now) {
    request.arrival = arrival;
    request.requestClass = classSettings(state_.settings, arrival.requestClass);
    request.maxAttempts = state_.settings.limits.maxAttempts;
    request.arrivedAt = now;
    request.load = state_.loads.expected(arrival);
    if (hasAffinity(request, state_.settings)) state_.groups.recordArrival(arrival.group);
}

// An endpoint that has restarted since the selection is not the selected one: its new process is warming up.
bool EndpointSelectionEngine::isAttemptStillValid(Time now, RequestId request) const {
    const Request* found = state_.requests.find(request);
    if (found == nullptr || !found->attemptOutstanding) return false;
    const Endpoint* endpoint = state_.endpoints.find(found->target.id);
    return endpoint != nullptr && state_.endpoints.isReady(*endpoint) &&
           mayBeSent(*found, state_.settings, now) && endpoint->entry.startedAt == found->target.startedAt;
}

void EndpointSelectionEngine::on(const ConnectionResumed& event, EventContext eventContext) {
    Request& request = state_.requests.findOrAdd(event.request.request);
    initialise(request, event.request, eventContext.now);
    request.attempts = 1;
    request.target.id = event.endpoint;
    request.connected = true;
    state_.reconnectsAreExistingLoadUntil = eventContext.now;
    state_.endpoints.findOrAdd(event.endpoint);
    addToConnectionCounts(state_, request);
}

void EndpointSelectionEngine::on(const ConnectionEstablished& event, EventContext /*eventContext*/) {
    Request* request = state_.requests.find(event.request);
    if (request == nullptr) return;
    request->attemptOutstanding = false;
    request->connected = true;
    state_.requests.markConnected(event.request);
    state_.setupTimes.recordConnection(event.elapsed);
    Endpoint* endpoint = state_.endpoints.find(event.endpoint);
    if (endpoint == nullptr) return;
    recordSuccess(*endpoint);
    state_.setupTimes.learnSetupSlowdown(*endpoint, event.elapsed);
}

void EndpointSelectionEngine::on(const ConnectionLoadMeasured& event, EventContext /*eventContext*/) {
    Request* request = state_.requests.find(event.request);
    if (request == nullptr || !(event.load >= 0.0)) return;
    if (Endpoint* endpoint = state_.endpoints.find(request->target.id))
        endpoint->loadFromThisNode = std::max(0.0, endpoint->loadFromThisNode + event.load - request->load);
    request->load = event.load;
    state_.loads.recordMeasurement(request->arrival.requestClass, event.load);
}

void EndpointSelectionEngine::on(const MessageDelayMeasured& event, EventContext eventContext) {
    const Request* request = state_.requests.find(event.request);
    Endpoint* endpoint = state_.endpoints.find(event.endpoint);
    if (request == nullptr || endpoint == nullptr) return;
    recordMessageDelay(*endpoint, event.delayMs, request->requestClass.messageLatencyObjective,
                       eventContext.now);
}

void EndpointSelectionEngine::on(const AttemptEnded& event, EventContext eventContext) {
    Endpoint* endpoint = state_.endpoints.find(event.endpoint);
    if (endpoint != nullptr && event.report)
        processLoadReport(state_, *endpoint, *event.report, eventContext);
    Request* request = state_.requests.find(event.request);  // null if the report caused its migration
    if (request == nullptr) return;
    if (endpoint != nullptr && event.outcome == Outcome::Ok) recordSuccess(*endpoint);
    if (endpoint != nullptr && isEndpointFailure(event.outcome)) {
        scheduleConfirmation(*endpoint, eventContext.now);
        recordFailure(*endpoint);
    }
    removeFromConnectionCounts(state_, *request);
    request->attemptOutstanding = false;
    if (event.requestEnded) return state_.requests.erase(event.request);
    request->connected = false;
    state_.requests.markUnconnected(event.request);
    setRequestTimer(state_, eventContext);
    if (isExecutionPossible(event.outcome) && !request->mayHaveExecuted) {
        request->mayHaveExecuted = true;
        request->firstExecutionSentAt = request->sentAt;
        request->firstExecution = request->target;
    }
    request->triedEndpoints.push_back(event.endpoint);
    if (!mayBeSent(*request, state_.settings, eventContext.now))
        return finishRequest(state_, event.request, *request, eventContext);
    placeRequest(state_, event.request, *request, eventContext);
}

void EndpointSelectionEngine::on(const ClientDisconnected& event, EventContext /*eventContext*/) {
    const Request* request = state_.requests.find(event.request);
    if (request == nullptr) return;
    if (request->attemptOutstanding || request->connected) removeFromConnectionCounts(state_, *request);
    state_.requests.erase(event.request);
}

}  // namespace ivyreel
