// The interface of the decision module.
//
// One engine decides for one node. It knows only what its events contain, reads no clock, shares no state and
// does no input or output. Any protocol can drive the engine: the caller translates what happens into events
// and carries out the actions.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "decision/actions.hpp"
#include "decision/events.hpp"
#include "decision/learned_state.hpp"
#include "decision/settings.hpp"
#include "decision/types.hpp"

namespace ivyreel {

class DecisionEngine {
  public:
    DecisionEngine() = default;
    DecisionEngine(const DecisionEngine&) = delete;
    DecisionEngine& operator=(const DecisionEngine&) = delete;
    DecisionEngine(DecisionEngine&&) = delete;
    DecisionEngine& operator=(DecisionEngine&&) = delete;
    virtual ~DecisionEngine() = default;

    // Handles one event at the time `now` and appends the resulting actions to `actions`. The first event is
    // Started, which occurs once.
    virtual void handle(Time now, const Event& event, std::vector<Action>& actions) = 0;

    // Whether the latest attempt of the request may still send the request. The connection for the attempt
    // takes time to be established, and the facts behind the decision may have changed meanwhile.
    virtual bool isAttemptStillValid(Time /*now*/, RequestId /*request*/) const { return true; }

    // The number of listed endpoints that get no new connections because they are banned or unhealthy.
    virtual std::size_t excludedEndpointCount() const { return 0; }

    // The learned state, for the engine of a successor.
    virtual LearnedState learnedState(Time /*now*/) const { return {}; }
};

std::unique_ptr<DecisionEngine> makeDecisionEngine(Settings settings);

}  // namespace ivyreel
