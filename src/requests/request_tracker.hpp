// Tracks requests and the connections that they open, and drives the decision engine.
//
// No other code of the node calls the decision engine. The tracker converts the reports of the other modules
// to events, and converts the engine's actions to decisions for the owners of requests. It makes no decisions
// and uses no sockets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/settings_parser.hpp"
#include "decision/decision_engine.hpp"
#include "membership/drain_evidence.hpp"
#include "membership/list_freshness.hpp"
#include "requests/decision.hpp"
#include "requests/endpoint_directory.hpp"
#include "requests/event_conversion.hpp"
#include "requests/exported_state.hpp"
#include "requests/member_entry.hpp"
#include "requests/timer_queue.hpp"
#include "requests/tracked_request.hpp"
#include "requests/tracker_environment.hpp"

namespace ivyreel {

class RequestTracker {
  public:
    using EngineFactory = std::function<std::unique_ptr<DecisionEngine>(Settings)>;

    RequestTracker(NodeSettings settings, TrackerEnvironment& environment,
                   const EngineFactory& makeEngine = makeDecisionEngine);

    // ---- life cycle ----

    // Must be called once, before any other function except the queries. `knownEndpoints` is the endpoint
    // list that was cached before the start.
    void start(const std::vector<MemberEntry>& knownEndpoints);
    // Applies new settings immediately. Requests in flight keep the rules of their class.
    void applySettings(NodeSettings settings);
    // Runs the timers that are due and removes expired drain evidence. Returns the time of the next call.
    Time runDueTimers();
    // The state that the successor continues with after a hot restart.
    ExportedState exportState() const;
    // Continues with the state of the predecessor. Must be called after start().
    void importState(ExportedState state);

    // ---- requests ----

    // Submits the request to the decision engine at the first call. Returns the pending decision, or nullopt
    // while the decision engine holds the request; the listener is notified when there is a decision. If the
    // decision is ForwardTo, the attempt counts as started now. Must not be called again after the decision
    // was Rejection or RequestFailure.
    std::optional<Decision> takeDecision(TrackedRequest& request);
    // Whether the attempt at the endpoint may still start. Since the decision, the endpoint may have become
    // unavailable in the list, banned or withheld, it may have restarted, or the decision may have expired.
    // Must be checked before the first byte is sent.
    bool isAttemptStillValid(const TrackedRequest& request, EndpointId endpoint) const;
    // Fails a request whose connection is not established yet, and cancels its attempt.
    void abandon(TrackedRequest& request);

    // ---- reports on requests and connections ----

    // The connection was open at this endpoint before this node started.
    void connectionResumed(TrackedRequest& request, EndpointId endpoint);
    // `elapsed` is the time since the start of the attempt.
    void connectionEstablished(TrackedRequest& request, Micros elapsed);
    void attemptEnded(TrackedRequest& request, Outcome outcome, Micros elapsed,
                      const std::optional<LoadReport>& report);
    void connectionEnded(TrackedRequest& request, Outcome outcome, const std::optional<LoadReport>& report);
    // `value` is the number on an endpoint's load line: the connection's load in microseconds of work per
    // second, or the delay of its messages in milliseconds.
    void loadLineReceived(TrackedRequest& request, double value);
    void messageDelayMeasured(TrackedRequest& request, Micros delay);

    // ---- reports on endpoints ----

    void healthCheckCompleted(EndpointId endpoint, Outcome outcome, Micros elapsed,
                              const std::optional<LoadReport>& report);
    // The endpoint ended a client's connection with MOVE. A MOVE that this node sent must not be reported.
    void endpointSentMove(EndpointId endpoint);
    // Entries of the endpoint list: the complete list if `full`, otherwise the changed entries.
    void endpointListReceived(bool full, const std::vector<MemberEntry>& entries);
    void endpointListFailed();
    // Until this function is called for the first time, the list is treated as live, so that no drain
    // evidence is collected; the default state of ListFreshness is CatchingUp. When the list becomes live
    // again, the entries of the watch's first message must be reported by endpointListReceived() before this
    // function is called. Otherwise a draining endpoint would be selected between the two reports.
    void setListFreshness(const ListFreshness& freshness);

    // ---- bans by operators ----

    // Returns false if the endpoint is unknown: never listed by this node or its predecessor, and never
    // banned by an operator.
    bool setEndpointDisabled(EndpointId endpoint, bool disabled);
    // Applies a ban that another node reported. The endpoint need not be listed at this node.
    void applyOperatorBan(EndpointId endpoint, bool banned);

    // ---- queries ----

    // Whether the endpoint is eligible for new connections: ready in the list, not banned and not withheld.
    bool isEligible(EndpointId endpoint) const;
    std::size_t listedEndpointCount() const { return endpoints_.listedCount(); }
    std::size_t excludedEndpointCount() const { return engine_->excludedEndpointCount(); }
    // Whether the current settings name the class.
    bool knowsRequestClass(std::string_view name) const { return configuredClasses_.contains(name); }
    // The longest request timeout of the classes that the current settings name.
    Micros longestRequestTimeout() const;
    // The Retry-After delay for requests that the node rejects without a decision; 0: none.
    Micros defaultRetryAfter() const;
    bool wantsLoadReports() const { return settings_.settings.loadReportMode != LoadReportMode::None; }
    Micros connectTimeout() const { return settings_.settings.limits.connectTimeout; }
    Micros idleTimeout() const { return settings_.idleTimeout; }

  private:
    friend class TrackedRequest;

    // Requests.
    RequestArrived makeArrival(const RequestAttributes& attributes);
    TrackedRequest* findRequest(RequestId request);
    void addRequest(TrackedRequest& request);
    void removeRequest(TrackedRequest& request);
    void deliver(RequestId request, const Decision& decision);
    static void deliver(TrackedRequest& request, const Decision& decision);
    void requestMigration(RequestId request);

    // The decision engine.
    void sendToEngine(const Event& event);
    void perform(const Action& action);
    void applyListChange(EndpointListKind kind, const std::vector<MemberEntry>& entries);

    // Bans and withholding.
    void updateBan(EndpointId endpoint);
    void recordEvidence(const DrainEvent& event);
    void recordLoad(EndpointId endpoint, const std::optional<LoadReport>& report);
    void recordListEntries(bool full, const std::vector<MemberEntry>& entries);
    void applyWithholding(const WithholdingChange& change);

    NodeSettings settings_;  // all names since the start, see stable_indices.hpp
    std::set<std::string, std::less<>> configuredClasses_;  // in the current settings
    TrackerEnvironment& environment_;
    std::unique_ptr<DecisionEngine> engine_;
    std::uint64_t lastRequestId_ = 0;
    std::unordered_map<std::uint64_t, TrackedRequest*> requests_;  // tracked by the engine, by id
    TimerQueue timers_;
    EndpointDirectory endpoints_;
    DrainEvidence drainEvidence_;
};

}  // namespace ivyreel
