#include "decision/kind_capacity.hpp"

#include <algorithm>

namespace ivyreel {
namespace {

// The sum of reported load over capacity at which the reports of a kind weigh as much as the other kinds and
// the default.
constexpr double kPriorLoad = 1.0;
constexpr double kDecayPerReport = 0.005;  // share of the sums that each report removes

}  // namespace

void KindCapacityEstimate::recordReport(const Endpoint& endpoint, double relativeSize) {
    Sums& sums = sums_[endpoint.entry.kind];
    sums.connections += endpoint.activeRequests - sums.connections * kDecayPerReport;
    sums.load += endpoint.loadOverCapacity * relativeSize - sums.load * kDecayPerReport;
}

double KindCapacityEstimate::connectionsAtCapacity(KindIndex kind, double relativeSize,
                                                   double defaultConnections) const {
    double minimum = defaultConnections;
    for (const auto& [other, sums] : sums_)
        if (sums.load >= kPriorLoad) minimum = std::min(minimum, sums.connections / sums.load);
    const auto known = sums_.find(kind);
    const Sums sums = known == sums_.end() ? Sums{} : known->second;
    return relativeSize * (sums.connections + minimum * kPriorLoad) / (sums.load + kPriorLoad);
}

}  // namespace ivyreel
