#include "decision/learned_state.hpp"

#include <algorithm>
#include <cmath>
#include <initializer_list>

namespace ivyreel {
namespace {

bool areFinite(std::initializer_list<double> values) {
    return std::all_of(values.begin(), values.end(), [](double value) { return std::isfinite(value); });
}

}  // namespace

bool isFinite(const LearnedEndpointState& learned) {
    return areFinite({learned.loadOverCapacity, learned.activeRequests, learned.slowdown,
                      learned.setupSlowdown, learned.roundTripMicros, learned.successRate});
}

bool isFinite(const LearnedFleetState& learned) {
    return areFinite({learned.saturationThreshold, learned.workSeconds, learned.loadSeconds,
                      learned.connectionSeconds, learned.arrivalRate, learned.meanSetupMicros,
                      learned.typicalSetupMicros, learned.typicalLoad}) &&
           std::all_of(learned.meanLoadByClass.begin(), learned.meanLoadByClass.end(),
                       [](double load) { return std::isfinite(load); });
}

}  // namespace ivyreel
