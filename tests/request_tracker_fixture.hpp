// A request tracker with a scripted decision engine, and an environment whose clock is set by the test.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "requests/request_tracker.hpp"

namespace ivyreel::test {

// The timeout of the attempts that forwardTo() starts.
inline constexpr Micros kAttemptTimeout = std::chrono::milliseconds(300);

// Records each event and returns the actions of the test's script.
class ScriptedEngine final : public DecisionEngine {
  public:
    using Answer = std::function<std::vector<Action>(const Event&)>;
    ScriptedEngine(std::vector<Event>& events, Answer& answer) : events_(events), answer_(answer) {}
    void handle(Time, const Event& event, std::vector<Action>& actions) override {
        events_.push_back(event);
        if (answer_) actions = answer_(event);
    }

  private:
    std::vector<Event>& events_;
    Answer& answer_;
};

struct TrackerFixture : TrackerEnvironment {
    std::vector<Event> events;
    ScriptedEngine::Answer answer;
    Time clock{1'000'000};
    std::vector<EndpointId> healthChecks;
    int listWatches = 0;
    int withheld = 0;
    int withheldCleared = 0;
    RequestTracker tracker;

    explicit TrackerFixture(NodeSettings settings = {})
        : tracker(std::move(settings), *this,
                  [this](const Settings&) { return std::make_unique<ScriptedEngine>(events, answer); }) {}

    Time now() const override { return clock; }
    void startHealthCheck(EndpointId endpoint) override { healthChecks.push_back(endpoint); }
    void startWatchingEndpointList() override { ++listWatches; }
    void onWithholdingChanged(EndpointId, bool on) override { ++(on ? withheld : withheldCleared); }

    template <class E>
    const E& last() const {
        return std::get<E>(events.back());
    }
};

// Counts the notifications about a request.
struct CountingListener final : DecisionListener {
    int notifications = 0;
    void onDecision() override { ++notifications; }
};

// Takes the request's next decision, if there is one, and appends it to `decisions`.
inline void takeInto(RequestTracker& tracker, TrackedRequest& trackedRequest,
                     std::vector<Decision>& decisions) {
    if (const auto decision = tracker.takeDecision(trackedRequest)) decisions.push_back(*decision);
}

// Starts an attempt for a RequestArrived event; returns no actions for other events.
inline std::vector<Action> forwardTo(const Event& event, EndpointId endpoint) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event))
        return {StartAttempt{arrived->request, endpoint, kAttemptTimeout}};
    return {};
}

}  // namespace ivyreel::test
