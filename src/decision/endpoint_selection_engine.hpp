// The decision engine of one node: passes each event to the functions that update the DecisionState, which
// append their decisions as actions.
//
// The weighted draw is the normal path (9.1 and 9.2 of draft-rosenberg-dispatch-cloudsip): a new connection
// goes to a ready endpoint, selected at random in proportion to 100 minus its utilisation in per cent. Health
// checks report the utilisation, and a report counts for 5 s. Each deviation from the weighted draw has a
// comment that begins with "Departure" and names the failure that the deviation prevents. docs/design.md
// states when each of them applies.
#pragma once

#include <cstddef>
#include <vector>

#include "decision/decision_engine.hpp"
#include "decision/decision_state.hpp"
#include "decision/request.hpp"

namespace ivyreel {

class EndpointSelectionEngine final : public DecisionEngine {
  public:
    explicit EndpointSelectionEngine(Settings settings);

    void handle(Time now, const Event& event, std::vector<Action>& actions) override;
    bool isAttemptStillValid(Time now, RequestId request) const override;
    std::size_t excludedEndpointCount() const override { return state_.endpoints.excludedCount(); }
    LearnedState learnedState(Time now) const override;

  private:
    // Start, settings, learned state.
    void on(const Started& event, EventContext eventContext);
    void on(const SettingsChanged& event, EventContext eventContext);
    void on(const LearnedStateInherited& event, EventContext eventContext);
    LearnedFleetState learnedFleetState(Time now) const;
    void restore(const LearnedFleetState& learned, Time now);
    void applySettings();

    // Timers.
    void on(const TimerExpired& event, EventContext eventContext);
    void runRequestTimer(EventContext eventContext);
    void runEndpointTimer(EventContext eventContext);

    // Endpoint list, bans, health checks.
    void on(const EndpointListChanged& event, EventContext eventContext);
    void on(const EndpointBanChanged& event, EventContext eventContext);
    void on(const HealthCheckCompleted& event, EventContext eventContext);
    void pollEndpointList(EventContext eventContext);

    // Lifecycle of a request.
    void on(const RequestArrived& event, EventContext eventContext);
    void on(const ConnectionResumed& event, EventContext eventContext);
    void on(const ConnectionEstablished& event, EventContext eventContext);
    void on(const ConnectionLoadMeasured& event, EventContext eventContext);
    void on(const MessageDelayMeasured& event, EventContext eventContext);
    void on(const AttemptEnded& event, EventContext eventContext);
    void on(const ClientDisconnected& event, EventContext eventContext);
    void initialise(Request& request, const RequestArrived& arrival, Time now);

    DecisionState state_;
};

}  // namespace ivyreel
