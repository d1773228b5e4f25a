// Preference for endpoints in this node's own zone.
#pragma once

#include "decision/decision_context.hpp"
#include "decision/utilisation_estimate.hpp"

namespace ivyreel {

// Departure, own zone first: while this node's zone has spare capacity, endpoints of other zones get a lower
// weight. This prevents a fault between zones from breaking most connections, and avoids unnecessary delay.
// Returns the factor of the weight of endpoints in other zones, above 0 and at most 1. Below the saturation
// threshold it rises linearly with the mean load of this node's zone, from a minimum that depends on
// crossZoneCost to 1. It is 1 if this node's zone has no usable endpoint.
double crossZoneWeight(const DecisionContext& context, const UtilisationEstimate& utilisation);

}  // namespace ivyreel
