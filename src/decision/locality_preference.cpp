#include "decision/locality_preference.hpp"

#include <algorithm>

#include "decision/effective_capacity.hpp"

namespace ivyreel {
namespace {

// Load over capacity of the own zone up to which other zones get their minimum weight, unless the transition
// range is narrower or at its minimum.
constexpr double kFullPreferenceBelow = 0.65;
// Minimum width of the transition range, the range below the saturation threshold in which the weight of
// other zones rises to 1, in load over capacity. It applies where the threshold is low.
constexpr double kMinTransitionRange = 0.05;
// Cross-zone cost above which the transition range is narrower, in inverse proportion to the cost.
constexpr double kHighCrossZoneCost = 0.03;
constexpr double kHalvingCrossZoneCost = 0.005;  // cost that halves the weight of other zones' endpoints

}  // namespace

double crossZoneWeight(const DecisionContext& context, const UtilisationEstimate& utilisation) {
    double sum = 0.0;
    int count = 0;
    for (const Endpoint& endpoint : context.endpoints) {
        if (!context.endpoints.isUsable(endpoint)) continue;
        if (endpoint.entry.zone != context.settings.zone) continue;
        const double capacity = effectiveCapacity(endpoint, context.settings, context.now);
        sum += utilisation.current(endpoint, capacity);
        ++count;
    }
    if (count == 0) return 1.0;
    const double threshold = context.saturationThreshold.value();
    const double cost = context.settings.crossZoneCost;
    const double transitionRange = std::max(threshold - kFullPreferenceBelow, kMinTransitionRange) *
                                   std::min(1.0, kHighCrossZoneCost / cost);
    const double localLoad = sum / count / kFullUtilisation;
    const double transitionProgress = std::clamp((localLoad - threshold) / transitionRange + 1.0, 0.0, 1.0);
    const double minimumWeight = kHalvingCrossZoneCost / (kHalvingCrossZoneCost + cost);
    return minimumWeight + (1.0 - minimumWeight) * transitionProgress;
}

}  // namespace ivyreel
