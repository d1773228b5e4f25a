// Tracks the requests that wait for a decision and the connections that came of them.
//
// The only code of the node that drives the decision module: it turns what the other parts report into
// events, and the module's actions into decisions for the owners of requests. It decides nothing and knows no
// sockets.
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

    // To be called once, before all other functions but the queries.
    void start(const std::vector<MemberEntry>& knownEndpoints);
    // All new settings take effect at once; requests that are under way keep the rules of their class.
    void applySettings(NodeSettings settings);
    // Runs the timers that are due and drops evidence that has expired; returns when to call it next.
    Time tick();
    // What this node has learned, for its successor.
    ExportedState exportState() const;
    // Continues with what the predecessor had learned. To be called after start().
    void importState(ExportedState state);

    // ---- requests ----

    // The next decision, if there is one. While the decision module still holds the request there is none;
    // the listener is notified when it comes.
    std::optional<Decision> takeDecision(TrackedRequest& request);
    // Whether the attempt at the endpoint may still begin: the list, a ban, withholding, a restart of the
    // endpoint or the time may speak against it by now. To be checked before the first byte is sent.
    bool isStillValid(const TrackedRequest& request, EndpointId endpoint) const;
    // Fails a request that is not established yet, and cancels its attempt.
    void abandon(TrackedRequest& request);

    // ---- reports on requests and connections ----

    // The connection was open at this endpoint before this node started.
    void connectionResumed(TrackedRequest& request, EndpointId endpoint);
    // `elapsed`: since the attempt began.
    void connectionEstablished(TrackedRequest& request, Micros elapsed);
    void attemptEnded(TrackedRequest& request, Outcome outcome, Micros elapsed,
                      const std::optional<LoadReport>& report);
    void connectionEnded(TrackedRequest& request, Outcome outcome, const std::optional<LoadReport>& report);
    // The figure on an endpoint's load line: the connection's load, or the latency of its messages.
    void loadFigureReceived(TrackedRequest& request, double figure);
    void messageDelayMeasured(TrackedRequest& request, Micros delay);

    // ---- reports on endpoints ----

    void healthCheckCompleted(EndpointId endpoint, Outcome outcome, Micros elapsed,
                              const std::optional<LoadReport>& report);
    // The endpoint ended a client's connection with MOVE. Not for a MOVE that this node sent.
    void movedByEndpoint(EndpointId endpoint);
    // Entries of the endpoint list: all of them, or those that changed.
    void endpointListReceived(bool full, const std::vector<MemberEntry>& entries);
    void endpointListFailed();
    // The list is live until the first call. When it becomes live again, the entries of the watch's first
    // message are to be reported by listed() before this: an endpoint that drains is then not chosen in
    // between.
    void setListFreshness(const ListFreshness& freshness);

    // ---- bans by operators ----

    // False for an endpoint that was never listed.
    bool setEndpointDisabled(EndpointId endpoint, bool disabled);
    // Takes over a ban of another node, which may know endpoints that this one does not.
    void applyOperatorBan(EndpointId endpoint, bool banned);

    // ---- queries ----

    // Whether neither the list, a ban nor withholding speaks against new connections at the endpoint.
    bool accepts(EndpointId endpoint) const;
    std::size_t listedEndpointCount() const { return endpoints_.listedCount(); }
    std::size_t avoidedEndpointCount() const { return engine_->avoidedEndpointCount(); }
    // Whether the present settings name the class.
    bool knowsRequestClass(std::string_view name) const { return configuredClasses_.contains(name); }
    // The longest request timeout of the classes that the present settings name.
    Micros longestRequestTimeout() const;
    // The Retry-After of requests that the node rejects by itself; 0: none.
    Micros retryAfterAdvice() const;
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

    // The decision module.
    void sendToEngine(const Event& event);
    void perform(const Action& action);
    void applyListChange(EndpointListKind kind, const std::vector<MemberEntry>& entries);

    // Bans and withholding.
    void updateBan(EndpointId endpoint);
    void recordEvidence(const DrainEvent& event);
    void recordLoad(EndpointId endpoint, const std::optional<LoadReport>& report);
    void recordListEntries(bool full, const std::vector<MemberEntry>& entries);
    void applyWithholding(const WithholdingChange& change);

    NodeSettings settings_;  // with every name that any settings had, see stable_indices.hpp
    std::set<std::string, std::less<>> configuredClasses_;  // of the present settings
    TrackerEnvironment& environment_;
    std::unique_ptr<DecisionEngine> engine_;
    std::uint64_t lastRequestId_ = 0;
    std::unordered_map<std::uint64_t, TrackedRequest*> requests_;  // those in the decision module
    TimerQueue timers_;
    EndpointDirectory endpoints_;
    DrainEvidence drainEvidence_;
};

}  // namespace ivyreel
