#include "decision/utilisation_estimate.hpp"

#include <algorithm>

#include "decision/duration_arithmetic.hpp"
#include "decision/saturation_threshold.hpp"

namespace ivyreel {

// Departure, accounting between reports: the load that was sent to an endpoint since its last report is added
// to the report. Each other node is assumed to send as much as this one. Its distribution over the endpoints
// is assumed to be a mean of two: one in proportion to the weights in the weighted selection, and that of
// this node's own sends. The more recent sends this node has, the more the latter counts. This prevents
// herding onto an endpoint whose last report shows little load.
inline double UtilisationEstimate::sentByOtherNodes(const Endpoint& endpoint, double capacity) const {
    if (fleet_.totalSpareUtilisation <= 0.0) return 0.0;
    const bool fresh = hasFreshReport(endpoint, context_.now);
    const Micros age = fresh ? context_.now - endpoint.reportedAt : Micros{0};
    const double spare = spareUtilisation(reported(endpoint), context_.saturationThreshold);
    const double spread =
        fleet_.sendRate * seconds(age + kReportLag) * spare * capacity / fleet_.totalSpareUtilisation;
    const double nodes = context_.settings.nodes;
    const double confidence = fleet_.recentSendCount / (fleet_.recentSendCount + nodes);
    return (nodes - 1.0) * (confidence * recentNewLoad(endpoint) + (1.0 - confidence) * spread);
}

double UtilisationEstimate::current(const Endpoint& endpoint, double capacity) const {
    const double sent = recentLoad(endpoint) + sentByOtherNodes(endpoint, capacity);
    const double departed = kFullUtilisation * fleet_.loadFromOtherNodes * fleet_.capacityPerLoad;
    const double change = added(endpoint, sent, capacity) - departed;
    return std::clamp(reported(endpoint) + change, 0.0, kFullUtilisation);
}

}  // namespace ivyreel
