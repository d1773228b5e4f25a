#include "decision/decision_engine.hpp"

#include <utility>

#include "decision/endpoint_selection_engine.hpp"

namespace ivyreel {

std::unique_ptr<DecisionEngine> makeDecisionEngine(Settings settings) {
    return std::make_unique<EndpointSelectionEngine>(std::move(settings));
}

}  // namespace ivyreel
