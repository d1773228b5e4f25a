// Drives one decision engine through test scenarios: simulates a clock, fires the engine's timers, completes
// its health checks and records its actions.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "decision/decision_engine.hpp"

namespace ivyreel::test {

using namespace std::chrono_literals;

inline Settings defaultSettings() {
    Settings s;
    s.seed = 7;
    s.nodes = 3;
    s.classes = {RequestClassSettings{800ms, 3200ms, Idempotency::Idempotent, DeduplicationScope::All, 5s,
                                      1.0, 100ms}};
    s.limits = RequestLimits{4, true, false, true, true, 1500ms, 250ms};
    s.operatingLimits = OperatingLimits{16ms, 500ms, 0.3, 9s, 4.0, 1500ms, 10s};
    s.loadReportMode = LoadReportMode::WithHealthChecks;
    return s;
}

inline EndpointEntry endpointEntry(std::uint64_t id, std::uint32_t zone = 0, std::uint32_t cell = 0) {
    EndpointEntry entry;
    entry.id = EndpointId{id};
    entry.zone = ZoneIndex{zone};
    entry.cell = CellId{cell};
    return entry;
}

inline LoadReport loadReport(double loadOverCapacity) {
    LoadReport report;
    report.loadOverCapacity = loadOverCapacity;
    return report;
}

class DecisionEngineDriver {
  public:
    explicit DecisionEngineDriver(Settings settings, Time start = 1000s)
        : now_(start), engine_(makeDecisionEngine(std::move(settings))) {
        deliver(Started{});
    }

    Time now() const { return now_; }
    const DecisionEngine& engine() const { return *engine_; }

    // Passes an event to the engine and records its actions.
    void deliver(const Event& event) {
        std::vector<Action> actions;
        engine_->handle(now_, event, actions);
        for (const Action& action : actions) {
            if (const auto* timer = std::get_if<SetTimer>(&action))
                timers_.emplace(now_ + timer->after, timer->token);
            if (const auto* attempt = std::get_if<StartAttempt>(&action)) {
                attempts_[attempt->request].endpoint = static_cast<std::uint64_t>(attempt->endpoint);
                ++attempts_[attempt->request].count;
            }
            actions_.push_back(action);
        }
    }

    // Advances the clock: timers fire when due, and health checks of endpoints with a reported load complete.
    void advance(Micros span) {
        const Time end = now_ + span;
        for (;;) {
            answerHealthChecks();
            if (timers_.empty() || timers_.begin()->first > end) break;
            const auto [due, token] = *timers_.begin();
            timers_.erase(timers_.begin());
            now_ = std::max(now_, due);
            deliver(TimerExpired{token});
        }
        now_ = end;
    }

    void updateEndpointList(std::vector<EndpointEntry> endpoints,
                            EndpointListKind kind = EndpointListKind::Full) {
        deliver(EndpointListChanged{kind, std::move(endpoints)});
        answerHealthChecks();
    }

    // Makes health checks of this endpoint succeed from now on, and report this load.
    void setReportedLoad(std::uint64_t id, double loadOverCapacity) {
        healthCheckResults_[EndpointId{id}] = {Outcome::Ok, loadOverCapacity};
    }
    // Makes health checks of this endpoint never complete, as for an endpoint without a reported load.
    void stopAnsweringHealthChecks(std::uint64_t id) { healthCheckResults_.erase(EndpointId{id}); }
    void setHealthCheckLatency(std::uint64_t id, Micros span) {
        healthCheckLatencies_[EndpointId{id}] = span;
    }
    // Makes health checks of this endpoint time out.
    void timeOutHealthChecks(std::uint64_t id) {
        healthCheckResults_[EndpointId{id}] = {Outcome::Timeout, std::nullopt};
    }
    // Makes this endpoint answer its health checks with an error, which counts as a failed check.
    void answerHealthChecksWithError(std::uint64_t id) {
        healthCheckResults_[EndpointId{id}] = {Outcome::Error, std::nullopt};
    }

    // Delivers a new request to the engine. Returns the id of the request.
    RequestId submitRequest(std::uint64_t group = 0, Micros clientTimeout = 3200ms,
                            std::uint32_t requestClass = 0, std::uint32_t tenant = 0) {
        RequestArrived request;
        request.request = RequestId{++lastRequestId_};
        request.requestClass = RequestClassIndex{requestClass};
        request.tenant = TenantIndex{tenant};
        request.group = GroupId{group};
        request.clientTimeout = clientTimeout;
        deliver(request);
        return request.request;
    }

    // Delivers a new request with a load hint, in microseconds of work per second. Returns the id of the
    // request.
    RequestId submitRequestWithLoad(double load) {
        RequestArrived request;
        request.request = RequestId{++lastRequestId_};
        request.clientTimeout = 3200ms;
        request.loadHint = load;
        deliver(request);
        return request.request;
    }

    // The endpoint of the request's last attempt; 0 if there was none.
    std::uint64_t target(RequestId request) const {
        const auto at = attempts_.find(request);
        return at == attempts_.end() ? 0 : at->second.endpoint;
    }

    int attempts(RequestId request) const {
        const auto at = attempts_.find(request);
        return at == attempts_.end() ? 0 : at->second.count;
    }
    int rejections(RequestId request) const {
        return count<RejectRequest>([request](const RejectRequest& a) { return a.request == request; });
    }
    int failures(RequestId request) const {
        return count<FailRequest>([request](const FailRequest& a) { return a.request == request; });
    }
    int finalAnswers(RequestId request) const { return rejections(request) + failures(request); }
    int attemptsTo(std::uint64_t id) const {
        return count<StartAttempt>([id](const StartAttempt& a) { return a.endpoint == EndpointId{id}; });
    }
    int healthChecksOf(std::uint64_t id) const {
        return count<StartHealthCheck>(
            [id](const StartHealthCheck& a) { return a.endpoint == EndpointId{id}; });
    }
    template <class A>
    int count() const {
        return count<A>([](const A&) { return true; });
    }
    template <class A, class Match>
    int count(Match match) const {
        return static_cast<int>(std::count_if(actions_.begin(), actions_.end(), [&](const Action& action) {
            const auto* found = std::get_if<A>(&action);
            return found != nullptr && match(*found);
        }));
    }

    // Whether the request's last attempt may still be started.
    bool isAttemptStillValid(RequestId request) const { return engine_->isAttemptStillValid(now_, request); }

    // Reports that the last attempt of the request established a connection.
    void establishConnection(RequestId request) {
        deliver(ConnectionEstablished{request, lastAttempt(request), EndpointId{target(request)}, 30ms});
    }

    // Reports the end of the last attempt of the request, or of the connection that it established.
    void endAttempt(RequestId request, Outcome outcome, bool requestEnded = false) {
        deliver(AttemptEnded{
            request, lastAttempt(request), EndpointId{target(request)}, outcome, 30ms, requestEnded, {}});
    }

    // Submits requests, each of which succeeds immediately.
    void serveRequests(int requests) {
        for (int i = 0; i < requests; ++i) {
            endAttempt(submitRequest(), Outcome::Ok, true);
        }
    }

  private:
    static constexpr Micros kHealthCheckTimeout = 250ms;
    static constexpr Micros kHealthCheckLatency = 1ms;

    struct HealthCheckResult {
        Outcome outcome = Outcome::Ok;
        std::optional<double> loadOverCapacity;
    };
    struct AttemptRecord {
        std::uint64_t endpoint = 0;  // endpoint of the last attempt
        int count = 0;
    };

    AttemptIndex lastAttempt(RequestId request) const {
        return AttemptIndex{static_cast<std::uint8_t>(attempts(request) - 1)};
    }

    // Completes the health checks that were started since the last call.
    void answerHealthChecks() {
        while (actionsSeen_ < actions_.size()) {
            const auto* check = std::get_if<StartHealthCheck>(&actions_[actionsSeen_++]);
            if (check == nullptr) continue;
            const EndpointId endpoint = check->endpoint;
            const auto result = healthCheckResults_.find(endpoint);
            if (result != healthCheckResults_.end()) completeHealthCheck(endpoint, result->second);
        }
    }

    void completeHealthCheck(EndpointId endpoint, HealthCheckResult result) {
        HealthCheckCompleted event{endpoint, result.outcome, kHealthCheckLatency, {}};
        if (result.outcome == Outcome::Timeout) event.elapsed = kHealthCheckTimeout;
        if (result.loadOverCapacity) {
            const auto latency = healthCheckLatencies_.find(endpoint);
            if (latency != healthCheckLatencies_.end()) event.elapsed = latency->second;
            event.report = loadReport(*result.loadOverCapacity);
        }
        deliver(event);
    }

    Time now_;
    std::map<RequestId, AttemptRecord> attempts_;
    std::unique_ptr<DecisionEngine> engine_;
    std::vector<Action> actions_;
    std::multimap<Time, TimerToken> timers_;
    std::map<EndpointId, HealthCheckResult> healthCheckResults_;
    std::map<EndpointId, Micros> healthCheckLatencies_;
    std::size_t actionsSeen_ = 0;
    std::uint64_t lastRequestId_ = 0;
};

// Creates an engine and a fleet of endpoints 1, 2, ... that report these loads over capacity.
inline DecisionEngineDriver makeFleet(Settings settings, const std::vector<double>& loads) {
    DecisionEngineDriver d{std::move(settings)};
    std::vector<EndpointEntry> entries;
    for (const double load : loads) {
        const std::uint64_t id = entries.size() + 1;
        d.setReportedLoad(id, load);
        entries.push_back(endpointEntry(id));
    }
    d.updateEndpointList(std::move(entries));
    return d;
}

inline DecisionEngineDriver makeFleet(Settings settings, std::size_t endpoints, double load) {
    return makeFleet(std::move(settings), std::vector<double>(endpoints, load));
}

inline Settings withIdempotency(Idempotency idempotency, DeduplicationScope scope = DeduplicationScope::All) {
    Settings settings = defaultSettings();
    settings.classes[0].idempotency = idempotency;
    settings.classes[0].deduplicationScope = scope;
    return settings;
}

// Creates an engine and a fleet of these endpoints, all of which report a load over capacity of 0.3.
inline DecisionEngineDriver makeDriver(Settings settings, std::vector<EndpointEntry> endpoints) {
    DecisionEngineDriver d{std::move(settings)};
    for (const EndpointEntry& entry : endpoints) {
        d.setReportedLoad(static_cast<std::uint64_t>(entry.id), 0.3);
    }
    d.updateEndpointList(std::move(endpoints));
    return d;
}

// Creates a single node and four endpoints, each of which has a quarter of the node's connections.
inline DecisionEngineDriver fleetWithEqualConnections() {
    Settings settings = defaultSettings();
    settings.nodes = 1;
    DecisionEngineDriver d = makeFleet(settings, 4, 0.15);
    d.advance(2s);
    for (int i = 0; i < 60; ++i) {
        d.establishConnection(d.submitRequest());
        d.advance(20ms);
    }
    return d;
}

}  // namespace ivyreel::test
