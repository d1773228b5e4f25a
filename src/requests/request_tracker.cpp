#include "requests/request_tracker.hpp"

#include <algorithm>
#include <utility>

#include "requests/stable_indices.hpp"
#include "util/overloaded.hpp"

namespace ivyreel {

namespace {

// An idle connection causes about a tenth of its expected load. A value below this share of the expected
// load, which leaves a margin, is therefore not a load. Without a load hint, each value counts as a load.
constexpr double kMinLoadOverExpectedLoad = 0.03;

constexpr double kMicrosPerMilli = 1e3;

}  // namespace

RequestTracker::RequestTracker(NodeSettings settings, TrackerEnvironment& environment,
                               const EngineFactory& makeEngine)
    : settings_(std::move(settings)),
      configuredClasses_(settings_.classNames.begin(), settings_.classNames.end()),
      environment_(environment),
      engine_(makeEngine(settings_.settings)) {}

// ---- life cycle ----

void RequestTracker::start(const std::vector<MemberEntry>& knownEndpoints) {
    sendToEngine(Started{});
    applyListChange(EndpointListKind::Cached, knownEndpoints);
    recordListEntries(true, knownEndpoints);
}

void RequestTracker::applySettings(NodeSettings settings) {
    configuredClasses_ = {settings.classNames.begin(), settings.classNames.end()};
    keepIndices(settings, settings_);
    settings_ = std::move(settings);
    sendToEngine(SettingsChanged{settings_.settings});
}

Time RequestTracker::runDueTimers() {
    const Time now = environment_.now();
    while (const auto token = timers_.takeDue(now)) {
        sendToEngine(TimerExpired{*token});
    }
    applyWithholding(drainEvidence_.expire(now));
    return std::min(timers_.nextDue(), drainEvidence_.nextExpiry());
}

ExportedState RequestTracker::exportState() const {
    return {engine_->learnedState(environment_.now()), settings_.classNames, endpoints_.all(),
            endpoints_.banned()};
}

void RequestTracker::importState(ExportedState state) {
    if (state.learnedState.fleet) {
        std::vector<double>& loads = state.learnedState.fleet->meanLoadByClass;
        loads = reorderedValues(loads, state.classNames, settings_.classNames);
    }
    sendToEngine(LearnedStateInherited{std::move(state.learnedState)});
    for (const EndpointId endpoint : state.listed) {
        endpoints_.add(endpoint);
    }
    for (const EndpointId endpoint : state.banned) {
        applyOperatorBan(endpoint, true);
    }
}

// ---- requests ----

std::optional<Decision> RequestTracker::takeDecision(TrackedRequest& request) {
    if (!request.knownToEngine_ && !request.decision_) {
        addRequest(request);
        sendToEngine(request.arrival_);
    }
    const std::optional<Decision> decision = std::exchange(request.decision_, std::nullopt);
    const auto* forward = decision ? std::get_if<ForwardTo>(&*decision) : nullptr;
    if (forward != nullptr) {
        request.endpoint_ = forward->endpoint;
        request.attemptStartedAt_ = environment_.now();
        request.attemptTimeout_ = forward->timeout;
        ++request.attempts_;
    }
    return decision;
}

bool RequestTracker::isAttemptStillValid(const TrackedRequest& request, EndpointId endpoint) const {
    return isEligible(endpoint) && engine_->isAttemptStillValid(environment_.now(), request.arrival_.request);
}

void RequestTracker::abandon(TrackedRequest& request) {
    if (!request.knownToEngine_) return;
    sendToEngine(ClientDisconnected{request.arrival_.request});
    removeRequest(request);
    deliver(request, RequestFailure{});
}

RequestArrived RequestTracker::makeArrival(const RequestAttributes& attributes) {
    return toRequestArrived(RequestId{++lastRequestId_}, attributes, settings_);
}

TrackedRequest* RequestTracker::findRequest(RequestId request) {
    const auto found = requests_.find(static_cast<std::uint64_t>(request));
    return found == requests_.end() ? nullptr : found->second;
}

void RequestTracker::addRequest(TrackedRequest& request) {
    request.knownToEngine_ = true;
    requests_[static_cast<std::uint64_t>(request.arrival_.request)] = &request;
}

void RequestTracker::removeRequest(TrackedRequest& request) {
    request.knownToEngine_ = false;
    requests_.erase(static_cast<std::uint64_t>(request.arrival_.request));
}

void RequestTracker::deliver(RequestId request, const Decision& decision) {
    TrackedRequest* tracked = findRequest(request);
    if (tracked == nullptr) return;
    if (!std::holds_alternative<ForwardTo>(decision)) removeRequest(*tracked);
    deliver(*tracked, decision);
}

void RequestTracker::deliver(TrackedRequest& request, const Decision& decision) {
    request.decision_ = decision;
    request.listener_.onDecision();
}

void RequestTracker::requestMigration(RequestId request) {
    TrackedRequest* tracked = findRequest(request);
    if (tracked == nullptr) return;
    tracked->shouldMigrate_ = true;
    removeRequest(*tracked);
    tracked->listener_.onDecision();
}

// ---- reports on requests and connections ----

void RequestTracker::connectionResumed(TrackedRequest& request, EndpointId endpoint) {
    request.endpoint_ = endpoint;
    request.attempts_ = 1;
    addRequest(request);
    sendToEngine(ConnectionResumed{request.arrival_, endpoint});
}

void RequestTracker::connectionEstablished(TrackedRequest& request, Micros elapsed) {
    sendToEngine(
        ConnectionEstablished{request.arrival_.request, request.attemptIndex(), request.endpoint_, elapsed});
    recordEvidence(EndpointAcceptedConnection{request.endpoint_, request.attemptStartedAt_});
}

void RequestTracker::attemptEnded(TrackedRequest& request, Outcome outcome, Micros elapsed,
                                  const std::optional<LoadReport>& report) {
    // The evidence is recorded before the event is sent, so that the decision engine's next attempt is not at
    // an endpoint for which there is now sufficient drain evidence.
    if (outcome == Outcome::Rejected) {
        recordEvidence(
            EndpointRejectedConnection{request.endpoint_, report, elapsed, request.attemptTimeout_});
    } else {
        recordLoad(request.endpoint_, report);
    }
    sendToEngine(AttemptEnded{request.arrival_.request, request.attemptIndex(), request.endpoint_, outcome,
                              elapsed, false, report});
}

void RequestTracker::connectionEnded(TrackedRequest& request, Outcome outcome,
                                     const std::optional<LoadReport>& report) {
    if (!request.knownToEngine_) return;
    recordLoad(request.endpoint_, report);
    sendToEngine(AttemptEnded{request.arrival_.request, request.attemptIndex(), request.endpoint_, outcome,
                              Micros{0}, true, report});
    removeRequest(request);
}

// Endpoints report loads and message delays on the same line. If the settings announce both, a value far
// below the expected load is a delay in milliseconds. If a delay counted as a load, the connections of a slow
// endpoint would look idle, and the endpoint would get more connections.
void RequestTracker::loadLineReceived(TrackedRequest& request, double value) {
    if (settings_.reportsMessageDelay && value < kMinLoadOverExpectedLoad * request.expectedLoad_) {
        sendToEngine(MessageDelayMeasured{request.arrival_.request, request.endpoint_, value});
        return;
    }
    request.arrival_.loadHint = value;
    sendToEngine(ConnectionLoadMeasured{request.arrival_.request, request.endpoint_, value});
}

void RequestTracker::messageDelayMeasured(TrackedRequest& request, Micros delay) {
    const double delayMs = static_cast<double>(delay.count()) / kMicrosPerMilli;
    sendToEngine(MessageDelayMeasured{request.arrival_.request, request.endpoint_, delayMs});
}

// ---- reports on endpoints ----

void RequestTracker::healthCheckCompleted(EndpointId endpoint, Outcome outcome, Micros elapsed,
                                          const std::optional<LoadReport>& report) {
    recordLoad(endpoint, report);
    sendToEngine(HealthCheckCompleted{endpoint, outcome, elapsed, report});
}

void RequestTracker::endpointSentMove(EndpointId endpoint) {
    recordEvidence(EndpointSentMove{endpoint});
}

// The decision engine gets the list before an endpoint is released from withholding. Otherwise it could
// select an endpoint that the list has just reported as draining or gone.
void RequestTracker::endpointListReceived(bool full, const std::vector<MemberEntry>& entries) {
    applyListChange(full ? EndpointListKind::Full : EndpointListKind::Delta, entries);
    recordListEntries(full, entries);
}

void RequestTracker::endpointListFailed() {
    sendToEngine(EndpointListChanged{EndpointListKind::Failed, {}});
}

void RequestTracker::setListFreshness(const ListFreshness& freshness) {
    recordEvidence(ListFreshnessChanged{freshness});
}

// ---- bans and withholding ----

bool RequestTracker::setEndpointDisabled(EndpointId endpoint, bool disabled) {
    if (!endpoints_.contains(endpoint)) return false;
    applyOperatorBan(endpoint, disabled);
    return true;
}

void RequestTracker::applyOperatorBan(EndpointId endpoint, bool banned) {
    endpoints_.setBanned(endpoint, banned);
    recordEvidence(OperatorBanChanged{endpoint, banned});
    updateBan(endpoint);
}

// The decision engine does not distinguish between operator bans and withholding.
void RequestTracker::updateBan(EndpointId endpoint) {
    sendToEngine(
        EndpointBanChanged{endpoint, endpoints_.isBanned(endpoint) || drainEvidence_.withholds(endpoint)});
}

void RequestTracker::recordEvidence(const DrainEvent& event) {
    applyWithholding(drainEvidence_.handle(environment_.now(), event));
}

void RequestTracker::recordLoad(EndpointId endpoint, const std::optional<LoadReport>& report) {
    if (report) recordEvidence(EndpointReportedLoad{endpoint, *report});
}

void RequestTracker::recordListEntries(bool full, const std::vector<MemberEntry>& entries) {
    ListEntriesReceived received{full, {}};
    for (const MemberEntry& entry : entries) {
        received.entries.push_back({endpointIdOf(entry.name), entry.availability, entry.startedAt});
    }
    recordEvidence(received);
}

void RequestTracker::applyWithholding(const WithholdingChange& change) {
    for (const EndpointId endpoint : change.withheld) {
        environment_.onWithholdingChanged(endpoint, true);
        updateBan(endpoint);
    }
    for (const EndpointId endpoint : change.released) {
        environment_.onWithholdingChanged(endpoint, false);
        updateBan(endpoint);
    }
}

// ---- queries ----

bool RequestTracker::isEligible(EndpointId endpoint) const {
    return endpoints_.isUsable(endpoint) && !drainEvidence_.withholds(endpoint);
}

Micros RequestTracker::longestRequestTimeout() const {
    Micros longest{0};
    for (std::size_t i = 0; i < settings_.classNames.size(); ++i) {
        if (!knowsRequestClass(settings_.classNames[i])) continue;
        longest = std::max(longest, settings_.settings.classes[i].requestTimeout);
    }
    return longest;
}

// Half of the longest retry delay that the settings allow.
Micros RequestTracker::defaultRetryAfter() const {
    const RequestLimits& limits = settings_.settings.limits;
    return limits.sendRetryAfter ? limits.maxRetryAfter / 2 : Micros{0};
}

// ---- the decision engine ----

void RequestTracker::applyListChange(EndpointListKind kind, const std::vector<MemberEntry>& entries) {
    const EndpointListChanged change = toEndpointListChanged(kind, entries, settings_);
    endpoints_.update(change);
    sendToEngine(change);
}

void RequestTracker::sendToEngine(const Event& event) {
    std::vector<Action> actions;
    engine_->handle(environment_.now(), event, actions);
    for (const Action& action : actions) {
        perform(action);
    }
}

void RequestTracker::perform(const Action& action) {
    const Overloaded performer{
        [this](const StartAttempt& start) {
            deliver(start.request, ForwardTo{start.endpoint, start.timeout});
        },
        [this](const RejectRequest& reject) { deliver(reject.request, Rejection{reject.retryAfter}); },
        [this](const FailRequest& fail) { deliver(fail.request, RequestFailure{}); },
        // The decision engine cancels an attempt only together with RejectRequest or FailRequest. The owner
        // cancels the attempt when that decision is pending.
        [](const CancelAttempt&) {},
        [this](const MigrateConnection& migrate) { requestMigration(migrate.request); },
        [this](const StartHealthCheck& start) { environment_.startHealthCheck(start.endpoint); },
        [this](const WatchEndpoints&) { environment_.startWatchingEndpointList(); },
        [this](const SetTimer& timer) { timers_.add(environment_.now() + timer.after, timer.token); },
        [](const Log&) {},  // the node does not use the decision engine's log
    };
    std::visit(performer, action);
}

}  // namespace ivyreel
