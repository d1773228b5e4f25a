// The decision engine of one node: passes each event to the modules that own the state, and emits their
// decisions as actions.
//
// The weighted draw is the normal path (9.1 and 9.2 of the draft): a new connection goes to a ready endpoint,
// selected at random in proportion to 100 minus its utilisation in per cent. Health checks report the
// utilisation, and a report counts for 5 s. Each deviation from the weighted draw has a comment that begins
// with "Departure" and names the failure that the deviation prevents. docs/design.md states when each of them
// applies.
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
    bool isStillValid(Time now, RequestId request) const override;
    std::size_t avoidedEndpointCount() const override { return state_.endpoints.avoidedCount(); }
    LearnedState learnedState(Time now) const override;

  private:
    // Start, settings, learned state.
    void on(const Started& event, Step step);
    void on(const SettingsChanged& event, Step step);
    void on(const LearnedStateInherited& event, Step step);
    void applySettings();

    // Timers.
    void on(const TimerExpired& event, Step step);
    void runRequestTimer(Step step);
    void runEndpointTimer(Step step);

    // Endpoint list, bans, health checks.
    void on(const EndpointListChanged& event, Step step);
    void on(const EndpointBanChanged& event, Step step);
    void on(const HealthCheckCompleted& event, Step step);
    void pollEndpointList(Step step);

    // Lifecycle of a request.
    void on(const RequestArrived& event, Step step);
    void on(const ConnectionResumed& event, Step step);
    void on(const ConnectionEstablished& event, Step step);
    void on(const ConnectionLoadMeasured& event, Step step);
    void on(const MessageDelayMeasured& event, Step step);
    void on(const AttemptEnded& event, Step step);
    void on(const ClientDisconnected& event, Step step);
    void initialise(Request& request, const RequestArrived& arrival, Time now);

    DecisionState state_;
};

}  // namespace ivyreel
